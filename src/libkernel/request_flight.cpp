#include "chervilkeel/request_flight.h"

#include <algorithm>

namespace chervilkeel {

retry_budget::retry_budget(double share, double limit)
    : share_(share), limit_(limit), tokens_(limit) {}

void retry_budget::OnRequest() {
  tokens_ = std::min(limit_, tokens_ + share_);
}

bool retry_budget::TryTake() {
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

request_flight::request_flight(flight_options options, retry_budget& budget)
    : options_(options), budget_(budget) {}

flight_step request_flight::Begin(millis now) {
  begin_time_ = now;
  budget_.OnRequest();
  if (now >= options_.deadline) {
    return EndWithoutAnswer("the deadline had passed on arrival");
  }
  return Send();
}

flight_step request_flight::Send() {
  const std::uint32_t attempt = ++attempts_;
  in_flight_[attempt] = true;
  return {flight_action::kSend, attempt, ""};
}

flight_step request_flight::End(flight_action action,
                                std::uint32_t attempt,
                                const std::string& reason) {
  ended_ = true;
  return {action, attempt, reason};
}

flight_step request_flight::EndWithoutAnswer(const std::string& reason) {
  const bool proved_not_run = in_flight_.empty() && !may_have_run_;
  return End(proved_not_run ? flight_action::kNotRun : flight_action::kUnknown,
             0, reason);
}

bool request_flight::TryTakeRetry(millis now) {
  return attempts_ < options_.max_attempts && now < options_.deadline &&
         budget_.TryTake();
}

flight_step request_flight::OnNoUpstream(std::uint32_t attempt,
                                         const std::string& reason,
                                         millis /*now*/) {
  if (ended_ || in_flight_.erase(attempt) == 0) {
    return {};
  }
  return in_flight_.empty() ? EndWithoutAnswer(reason) : flight_step{};
}

flight_step request_flight::OnOutcome(std::uint32_t attempt,
                                      wire::request_outcome outcome,
                                      const std::string& reason,
                                      millis now) {
  if (ended_ || in_flight_.erase(attempt) == 0) {
    return {};
  }
  if (outcome == wire::outcome_answered) {
    return End(flight_action::kAnswer, attempt, reason);
  }
  const bool proved_not_run = outcome == wire::outcome_not_run;
  may_have_run_ = may_have_run_ || !proved_not_run;
  if ((proved_not_run || options_.idempotent) && in_flight_.empty() &&
      TryTakeRetry(now)) {
    return Send();
  }
  return in_flight_.empty() ? EndWithoutAnswer(reason) : flight_step{};
}

flight_step request_flight::OnTime(millis now) {
  if (ended_) {
    return {};
  }
  if (now >= options_.deadline) {
    return EndWithoutAnswer("the deadline has passed");
  }
  if (options_.idempotent && options_.hedge_after > 0 && !hedged_ &&
      now >= begin_time_ + options_.hedge_after) {
    hedged_ = true;
    if (in_flight_.size() == 1 && TryTakeRetry(now)) {
      return Send();
    }
  }
  return {};
}

flight_step request_flight::OnLeaving(const std::string& reason) {
  return ended_ ? flight_step{} : EndWithoutAnswer(reason);
}

millis request_flight::NextTime() const {
  if (options_.idempotent && options_.hedge_after > 0 && !hedged_) {
    return std::min(options_.deadline, begin_time_ + options_.hedge_after);
  }
  return options_.deadline;
}

}  // namespace chervilkeel
