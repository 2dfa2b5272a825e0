// How the agent carries out orders, also when the executor gives no answer.
#include <algorithm>
#include <limits>
#include <set>

#include "chervilkeel/event_log.h"
#include "job_agent_process.h"

namespace chervilkeel {

namespace {

constexpr const char* kPart = "agent";
constexpr millis kOrderTimeout = 400;  // A healthy executor takes a few ms.
constexpr millis kOrderRetry = 100;
constexpr int kStartTries = 3;            // Before the start is taken back.
constexpr millis kSettledMemory = 5'000;  // Above the time of a reply's way.
// An owner that has stored an end, or a cancellation, must not see the task
// start later than 1 s after. A call that the owner has answered without a stop
// was sent before that, and calls time out after kSyncTimeout.
constexpr millis kMaxOwnerSilence = 900;
constexpr millis kLeastLease = 300;  // A start under less is not worth it.

start_outcome OutcomeOf(executor_verdict verdict) {
  switch (verdict) {
    case executor_verdict::kAccepted:
      return start_outcome::kStarted;
    case executor_verdict::kNoCapacity:
      return start_outcome::kNoCapacity;
    case executor_verdict::kOutdated:
      return start_outcome::kOutdated;
    case executor_verdict::kUnhealthy:
      return start_outcome::kUnhealthy;
    case executor_verdict::kFenced:
    case executor_verdict::kLeaseExpired:
    case executor_verdict::kBadTicket:
    case executor_verdict::kInvalid:
    case executor_verdict::kOtherBoot:
      return start_outcome::kRefused;
  }
  return start_outcome::kRefused;
}

}  // namespace

void job_agent_process::Carry(worker_order order, bool is_stopped) {
  const run_name name{order.task, order.run};
  if (order.boot != worker_.boot) {
    LogEvent(kPart, "order_for_other_boot",
             {{"id", order.task.ToString()}, {"executor", order.boot.id}});
    return;
  }
  switch (order.kind) {
    case order_kind::kStart:
      if (WasStartOrdered(name)) {
        LogEvent(kPart, "start_already_ordered",
                 {{"id", order.task.ToString()}, {"run", order.run}});
        return;
      }
      open_starts_[name] = MakeOpenOrder(std::move(order));
      open_starts_[name].is_stopped = is_stopped;
      SendStart(name);
      break;
    case order_kind::kStop:
      CarryStop(std::move(order));
      break;
    case order_kind::kPace:
      SendPace(order);
      break;
  }
}

job_agent_process::open_order job_agent_process::MakeOpenOrder(
    worker_order order) const {
  open_order open;
  open.order = std::move(order);
  open.since = BootNow();
  open.granted_until = granted_until_;
  return open;
}

void job_agent_process::CarryStop(worker_order order) {
  const run_name name{order.task, order.run};
  const auto start = open_starts_.find(name);
  const bool is_start_open = start != open_starts_.end();
  if (is_start_open && !start->second.withdrawing) {
    LogEvent(kPart, "start_stopped",
             {{"id", name.first.ToString()},
              {"run", name.second},
              {"tries", start->second.tries},
              {"waited_ms", BootNow() - start->second.since}});
    start->second.withdrawing = true;
    start->second.is_stopped = true;
  }
  const auto [open, is_new] =
      open_stops_.try_emplace(name, MakeOpenOrder(std::move(order)));
  open->second.withdrawing = is_start_open;
  if (is_new) {
    SendStop(name);
  }
}

bool job_agent_process::WasStartOrdered(const run_name& name) const {
  return open_starts_.count(name) != 0 || withdrawn_.count(name) != 0 ||
         settled_.count(name) != 0 ||
         std::any_of(starts_.begin(), starts_.end(),
                     [&](const untold_start& started) {
                       return started.result.task == name.first &&
                              started.result.run == name.second;
                     });
}

void job_agent_process::Report(const run_name& name, start_outcome outcome) {
  const millis now = BootNow();
  std::erase_if(settled_, [now](const auto& entry) {
    return now - entry.second > kSettledMemory;
  });
  settled_[name] = now;
  starts_.push_back({++last_start_, {name.first, name.second, outcome, now}});
  LogEvent(kPart, "start",
           {{"id", name.first.ToString()},
            {"run", name.second},
            {"outcome", NameOf(outcome)},
            {"epoch", epoch_},
            {"lease_ms", granted_until_ - BootNow()}});
  if (outcome != start_outcome::kStarted) {
    Sync(false);
  }
}

void job_agent_process::SendStart(const run_name& name) {
  const auto open = open_starts_.find(name);
  if (open == open_starts_.end() || open->second.withdrawing ||
      open->second.is_stopped || leaving_) {
    return;
  }
  if (open->second.granted_until - BootNow() < kLeastLease ||
      (open->second.tries == 0 && (!clock_known_ || worker_.draining))) {
    GiveUpStart(name);
    return;
  }
  if (evacuations_.IsEvacuated(worker_.data_centre)) {
    LogEvent(kPart, "start_refused",
             {{"id", name.first.ToString()},
              {"run", name.second},
              {"cause", "the data centre is evacuated"},
              {"revision", evacuations_.List().revision},
              {"tries", open->second.tries}});
    // Told as refused: only a call without an answer says that the executor is
    // unresponsive.
    open->second.is_stopped = open->second.tries == 0;
    GiveUpStart(name);
    return;
  }
  if (!IsOwnerHeard()) {
    AwaitOwner(name);
    return;
  }
  open->second.awaits_owner = false;
  ++open->second.tries;
  LogEvent(kPart, "start_sent",
           {{"id", name.first.ToString()},
            {"run", name.second},
            {"try", open->second.tries},
            {"executor", worker_.boot.id},
            {"started_ms", worker_.boot.started_ms},
            {"epoch", epoch_},
            {"order_age_ms", BootNow() - open->second.since},
            {"owner_heard_ms", BootNow() - owner_heard_},
            {"lease_ms", granted_until_ - BootNow()}});
  history_.OnStartSent(name.first, name.second, BootNow());
  const order_context context = Context(kOrderTimeout);
  executor_->Start(
      context, open->second.order, LeaseEnd(),
      [this, name, context](const result<executor_answer>& answer) {
        if (IsCurrent(context)) {
          OnStartAnswer(name, answer);
        }
      });
}

bool job_agent_process::IsOwnerHeard() const {
  return BootNow() - owner_heard_ <= kMaxOwnerSilence;
}

void job_agent_process::AwaitOwner(const run_name& name) {
  open_order& open = open_starts_.at(name);
  if (!std::exchange(open.awaits_owner, true)) {
    LogEvent(kPart, "start_awaits_owner",
             {{"id", name.first.ToString()},
              {"run", name.second},
              {"tries", open.tries},
              {"order_age_ms", BootNow() - open.since},
              {"owner_heard_ms", BootNow() - owner_heard_}});
  }
  Sync(false);
  Later(kOrderRetry, [this, name] {
    const auto waiting = open_starts_.find(name);
    if (waiting != open_starts_.end() && waiting->second.awaits_owner) {
      SendStart(name);
    }
  });
}

void job_agent_process::ResumeStarts() {
  if (!IsOwnerHeard()) {
    return;
  }
  std::vector<run_name> waiting;
  for (const auto& [name, open] : open_starts_) {
    if (open.awaits_owner) {
      waiting.push_back(name);
    }
  }
  for (const run_name& name : waiting) {
    SendStart(name);
  }
}

void job_agent_process::GiveUpStart(const run_name& name) {
  const auto open = open_starts_.find(name);
  if (open->second.tries > 0 || open->second.order.was_tried) {
    TakeBack(name);
    return;
  }
  open_starts_.erase(open);
  Report(name, start_outcome::kRefused);
}

// Another boot says nothing about the runs of the one that was called.
void job_agent_process::NoteStartAnswer(const run_name& name,
                                        const result<executor_answer>& answer) {
  if (!answer) {
    if (answer.error().code == error_code::kUnavailable) {
      history_.OnStartWithoutEffect(name.first, name.second);
    }
    return;
  }
  const executor_verdict verdict = answer.value().verdict;
  if (verdict != executor_verdict::kOtherBoot) {
    history_.OnAnswer(BootNow());
  }
  if (verdict != executor_verdict::kAccepted &&
      verdict != executor_verdict::kOutdated) {
    history_.OnStartWithoutEffect(name.first, name.second);
  }
}

void job_agent_process::OnStartAnswer(const run_name& name,
                                      const result<executor_answer>& answer) {
  NoteStartAnswer(name, answer);
  const auto open = open_starts_.find(name);
  if (open == open_starts_.end()) {
    return;
  }
  if (answer) {
    NoteClock(answer.value().clock);
    start_outcome outcome = OutcomeOf(answer.value().verdict);
    const bool is_only_try =
        open->second.tries == 1 && !open->second.order.was_tried;
    // Refused as outdated after a try without an answer: that try ran, and the
    // list of ends says how it went.
    if (outcome == start_outcome::kOutdated && !is_only_try) {
      outcome = start_outcome::kStarted;
    }
    const bool certain = is_only_try || outcome == start_outcome::kStarted;
    if (outcome == start_outcome::kStarted) {
      history_.OnStarted(name.first, name.second);
    }
    // A stop has overtaken the try: lists tell when the run is gone.
    if (open->second.withdrawing) {
      return;
    }
    if (certain) {
      open_starts_.erase(open);
      Report(name, outcome);
      return;
    }
  }
  if (open->second.withdrawing) {
    return;
  }
  // An earlier try may still be carried out. Repeating the same run is safe;
  // to let the task run elsewhere, the run has to be stopped here first.
  if (open->second.tries < kStartTries && !answer) {
    Later(kOrderRetry, [this, name] { SendStart(name); });
    return;
  }
  TakeBack(name);
}

void job_agent_process::TakeBack(const run_name& name) {
  const auto open = open_starts_.find(name);
  LogEvent(kPart, "start_unanswered",
           {{"id", name.first.ToString()},
            {"run", name.second},
            {"tries", open->second.tries},
            {"waited_ms", BootNow() - open->second.since}});
  open->second.withdrawing = true;
  open_stops_[name] = MakeOpenOrder(open->second.order);
  open_stops_[name].withdrawing = true;
  SendStop(name);
}

void job_agent_process::SendStop(const run_name& name) {
  const auto open = open_stops_.find(name);
  if (open == open_stops_.end() || leaving_) {
    return;
  }
  ++open->second.tries;
  const order_context context = Context(kOrderTimeout);
  executor_->Stop(context, name.first, name.second,
                  [this, name, context](const result<executor_answer>& answer) {
                    if (IsCurrent(context)) {
                      OnStopAnswer(name, answer);
                    }
                  });
}

void job_agent_process::OnStopAnswer(const run_name& name,
                                     const result<executor_answer>& answer) {
  const auto open = open_stops_.find(name);
  if (open == open_stops_.end()) {
    return;
  }
  const bool done =
      answer && answer.value().verdict == executor_verdict::kAccepted;
  if (!done) {
    Later(kOrderRetry, [this, name] { SendStop(name); });
    return;
  }
  const bool withdrawn = open->second.withdrawing;
  open_stops_.erase(open);
  if (!withdrawn) {
    LogEvent(kPart, "stop",
             {{"id", name.first.ToString()}, {"run", name.second}});
    return;
  }
  const auto start = open_starts_.find(name);
  // A stop takes its time: a run that was there works on for a little.
  withdrawn_[name] = {BootNow(), start->second.is_stopped
                                     ? start_outcome::kRefused
                                     : start_outcome::kWithdrawn};
  open_starts_.erase(start);
  if (!holding_) {
    HoldAfter(0);
  }
}

// Learns from a list of runs what became of orders without answers.
void job_agent_process::SettleOrders(const executor_run_list& listing,
                                     millis asked) {
  std::set<run_name> running;
  for (const run_status& status : listing.running) {
    running.emplace(status.task, status.run);
  }
  for (auto open = open_starts_.begin(); open != open_starts_.end();) {
    if (open->second.withdrawing || running.count(open->first) == 0) {
      ++open;
      continue;
    }
    const run_name name = open->first;
    open = open_starts_.erase(open);
    Report(name, start_outcome::kStarted);
  }
  for (auto entry = withdrawn_.begin(); entry != withdrawn_.end();) {
    if (!runs_complete_ || asked <= entry->second.stopped_at ||
        running.count(entry->first) != 0) {
      ++entry;
      continue;
    }
    const run_name name = entry->first;
    const start_outcome outcome = entry->second.outcome;
    entry = withdrawn_.erase(entry);
    Report(name, outcome);
  }
}

void job_agent_process::NoteUnreadableRows(const executor_run_list& listing) {
  const std::uint64_t first = listing.first_unreadable_end;
  if (first != 0) {
    unreadable_end_ =
        has_unreadable_end_ ? std::min(unreadable_end_, first) : first;
  }
  if (first != 0 || has_unreadable_end_) {
    unreadable_end_until_ = listed_;
  }
  has_unreadable_end_ = first != 0;
  runs_complete_ = listing.IsComplete();
  const std::size_t rows = listing.unreadable_runs + listing.unreadable_ends;
  if (std::exchange(unreadable_rows_, rows) == rows || rows == 0) {
    return;
  }
  metrics_.CountEvent("list_rows_unreadable", static_cast<double>(rows));
  LogEvent(kPart, "list_rows_unreadable",
           {{"executor", worker_.boot.id},
            {"runs", listing.unreadable_runs},
            {"ends", listing.unreadable_ends},
            {"first_end", first}});
}

std::uint64_t job_agent_process::LastReadableEnd(millis asked) const {
  const bool is_bounded =
      unreadable_end_ != 0 &&
      (has_unreadable_end_ || asked <= unreadable_end_until_);
  return is_bounded ? unreadable_end_ - 1
                    : std::numeric_limits<std::uint64_t>::max();
}

void job_agent_process::SendPace(const worker_order& order) {
  executor_->SetPace(
      Context(kOrderTimeout), order,
      [id = order.task.ToString()](const result<executor_answer>& answer) {
        if (!answer) {
          LogEvent(kPart, "pace_unanswered",
                   {{"id", id}, {"error", ToString(answer.error())}});
        }
      });
}

}  // namespace chervilkeel
