// State machine of one client request at an entry process. It decides when the
// request is sent, retried or hedged, and which of three outcomes the client
// gets: an answer, "not run" or "unknown".
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "chervilkeel/clock.h"
#include "wire/chervilkeel.pb.h"

namespace chervilkeel {

// Token bucket that limits retries and hedged attempts to a fraction of the
// requests, so that they cannot amplify an overload.
class retry_budget {
 public:
  // Each request adds `share` of a token, up to `limit` tokens. The bucket
  // starts full.
  retry_budget(double share, double limit);
  void OnRequest();

  // Takes one token; returns false if less than one token is left.
  bool TryTake();
  double Tokens() const { return tokens_; }

 private:
  const double share_;
  const double limit_;
  double tokens_;
};

struct flight_options {
  bool idempotent = true;
  millis deadline = 0;     // On the monotonic clock of this VM.
  millis hedge_after = 0;  // From the start; 0 disables hedging.
  std::uint32_t max_attempts = 3;
};

enum class flight_action {
  kWait,     // Do nothing until the next event.
  kSend,     // Choose an upstream and send it attempt `attempt`.
  kAnswer,   // Return the answer of attempt `attempt` to the client.
  kNotRun,   // Report to the client that the request did not run.
  kUnknown,  // Report to the client that the request may have run.
};

struct flight_step {
  flight_action action = flight_action::kWait;
  std::uint32_t attempt = 0;
  std::string reason;
};

// State machine of one request. The request is retried only if it is
// idempotent or its last attempt is proved not to have run, and only idempotent
// requests are hedged. Exactly one step ends the request; every later event
// returns kWait.
class request_flight {
 public:
  request_flight(flight_options options, retry_budget& budget);

  // Starts the request and returns the step for its first attempt.
  flight_step Begin(millis now);

  // Handles an attempt that was not sent because no upstream can take it.
  flight_step OnNoUpstream(std::uint32_t attempt,
                           const std::string& reason,
                           millis now);

  // Handles the outcome of an attempt. Attempts that are not in flight are
  // ignored.
  flight_step OnOutcome(std::uint32_t attempt,
                        wire::request_outcome outcome,
                        const std::string& reason,
                        millis now);

  // Ends the request at its deadline, and sends the hedged attempt when it is
  // due.
  flight_step OnTime(millis now);

  // Ends the request before its deadline: the entry waits no longer.
  flight_step OnLeaving(const std::string& reason);

  // Returns the time at which OnTime() should be called next.
  millis NextTime() const;

  bool Ended() const { return ended_; }
  std::uint32_t Attempts() const { return attempts_; }

 private:
  flight_step Send();
  flight_step End(flight_action action,
                  std::uint32_t attempt,
                  const std::string& reason);
  flight_step EndWithoutAnswer(const std::string& reason);

  // Returns whether another attempt is allowed, and takes its token from the
  // budget if so.
  bool TryTakeRetry(millis now);

  const flight_options options_;
  retry_budget& budget_;
  std::uint32_t attempts_ = 0;
  std::map<std::uint32_t, bool> in_flight_;
  bool may_have_run_ = false;  // An attempt ended as unknown.
  bool hedged_ = false;
  bool ended_ = false;
  millis begin_time_ = 0;
};

}  // namespace chervilkeel
