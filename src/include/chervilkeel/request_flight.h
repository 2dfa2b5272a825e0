// The life of one client's request at an entry: when it is sent, sent again,
// hedged, answered, or given up, and with which of the three outcomes.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "chervilkeel/clock.h"
#include "wire/chervilkeel.pb.h"

namespace chervilkeel {

// Limits retries and hedges to a share of the requests, so that they can't
// multiply an overload. A token bucket.
class retry_budget {
 public:
  // Each request adds `share` of a token, up to `limit`.
  retry_budget(double share, double limit);
  void OnRequest();
  bool TryTake();
  double Tokens() const { return tokens_; }

 private:
  const double share_;
  const double limit_;
  double tokens_;
};

struct flight_options {
  bool idempotent = true;
  millis deadline = 0;     // On the monotonic clock.
  millis hedge_after = 0;  // After the first send; 0 means never.
  std::uint32_t max_attempts = 3;
};

enum class flight_action {
  kWait,     // Nothing to do until the next event.
  kSend,     // Choose an upstream and send the attempt `attempt`.
  kAnswer,   // Give the client the answer of the attempt `attempt`.
  kNotRun,   // Tell the client that the request was not run.
  kUnknown,  // Tell the client that the request may have run.
};

struct flight_step {
  flight_action action = flight_action::kWait;
  std::uint32_t attempt = 0;
  std::string reason;
};

// The state machine of one request. Only an attempt that was proved not run,
// or an idempotent request, is tried again. Exactly one step ends the flight;
// every event after it yields kWait.
class request_flight {
 public:
  request_flight(flight_options options, retry_budget& budget);

  // Begins the flight: the first send.
  flight_step Begin(millis now);

  // No upstream may take the attempt.
  flight_step OnNoUpstream(std::uint32_t attempt,
                           const std::string& reason,
                           millis now);

  // The attempt ended with an outcome.
  flight_step OnOutcome(std::uint32_t attempt,
                        wire::request_outcome outcome,
                        const std::string& reason,
                        millis now);

  // Time has passed: the deadline or the time to hedge may have come.
  flight_step OnTime(millis now);

  // When OnTime() should be called next.
  millis NextTime() const;

  bool Ended() const { return ended_; }
  std::uint32_t Attempts() const { return attempts_; }

 private:
  flight_step Send();
  flight_step End(flight_action action,
                  std::uint32_t attempt,
                  const std::string& reason);
  flight_step EndWithoutAnswer(const std::string& reason);
  bool MayTryAgain(millis now);

  const flight_options options_;
  retry_budget& budget_;
  std::uint32_t attempts_ = 0;
  std::map<std::uint32_t, bool> in_flight_;
  bool may_have_run_ = false;  // Some attempt ended without proof.
  bool hedged_ = false;
  bool ended_ = false;
  millis begun_at_ = 0;
};

}  // namespace chervilkeel
