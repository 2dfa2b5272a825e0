// Decides which connections and requests the HTTP servers of a process take, so
// that clients can't use up its memory or its descriptors. All servers of a
// process share one object. Does no input or output; times are passed in.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <iterator>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "chervilkeel/clock.h"
#include "chervilkeel/settings.h"

namespace chervilkeel {

// Why a connection was closed or a request refused.
enum class refusal_cause {
  kConnections,
  kBudget,
  kHeaderBytes,
  kHeaderFields,
  kHeaderTime,
  kBodyBytes,
  kBodyRate,
  kAnswerRate,
  kJsonDepth,
  kJsonValues,
  kDisplaced
};

struct refusal_cause_name {
  refusal_cause cause;
  const char* name;
};

inline constexpr refusal_cause_name kRefusalCauseNames[] = {
    {refusal_cause::kConnections, "connections"},
    {refusal_cause::kBudget, "budget"},
    {refusal_cause::kHeaderBytes, "header_bytes"},
    {refusal_cause::kHeaderFields, "header_fields"},
    {refusal_cause::kHeaderTime, "header_time"},
    {refusal_cause::kBodyBytes, "body_bytes"},
    {refusal_cause::kBodyRate, "body_rate"},
    {refusal_cause::kAnswerRate, "answer_rate"},
    {refusal_cause::kJsonDepth, "json_depth"},
    {refusal_cause::kJsonValues, "json_values"},
    {refusal_cause::kDisplaced, "displaced"},
};

const char* NameOf(refusal_cause cause);

// What a connection is doing.
enum class connection_stage { kIdle, kReceiving, kInService, kAnswering };

// The limits of a process, by `[http]` and `[process] memory_mb`.
struct http_limits {
  std::uint64_t budget_bytes = 1U << 30U;
  std::uint64_t connections = 1'000;
  std::uint64_t header_bytes = 16'384;
  std::uint64_t header_fields = 256;
  millis header_time = 10'000;
  millis grace = 10'000;
  std::uint64_t bytes_per_s = 4'096;
  std::uint64_t json_depth = 32;
  std::uint64_t json_values = 131'072;

  // The latest end of a transfer that began at `start`, after so many bytes.
  millis LatestEnd(millis start, std::uint64_t bytes) const {
    return start + grace + static_cast<millis>(bytes * 1'000 / bytes_per_s);
  }
};

// Derives the limits; `descriptors` is how many the process may open.
http_limits MakeHttpLimits(const process_settings& settings,
                           std::uint64_t descriptors);

// Returns how many descriptors this process may open.
std::uint64_t DescriptorLimit();

// A listener's part of the budget and of the connections. The shares of a
// process are at most 100 together, so no listener uses up another one's.
struct listener_share {
  std::string name;
  std::uint64_t percent = 100;
};

class http_admission;

// What one connection holds of the budget. Gives it back when it is destroyed.
class admitted_connection {
 public:
  admitted_connection(std::shared_ptr<http_admission> admission,
                      std::size_t listener,
                      std::string client,
                      std::function<void()> close);
  ~admitted_connection();
  admitted_connection(const admitted_connection&) = delete;
  admitted_connection& operator=(const admitted_connection&) = delete;

  // Sets how many bytes the connection holds beside its fixed cost. If the
  // budget does not allow more, the connection of this listener that has been
  // without progress for longest is closed first; returns false if that does
  // not help. A connection in service is never closed.
  bool Hold(std::uint64_t bytes, millis now);

  // The same for an answer, which is sent even if it exceeds the budget.
  void HoldAnyway(std::uint64_t bytes);

  // Begins a stage, which is progress.
  void Enter(connection_stage stage, millis now);
  void NoteProgress(millis now);
  millis WithoutProgress(millis now) const;

  // Counts and logs a refusal; `value` is what exceeds the limit.
  void Refuse(refusal_cause cause,
              std::uint64_t limit,
              std::uint64_t value,
              millis now);

 private:
  friend class http_admission;

  const std::shared_ptr<http_admission> admission_;
  const std::size_t listener_;
  const std::string client_;
  const std::function<void()> close_;
  // Guarded by the admission's mutex.
  std::list<admitted_connection*>::iterator place_;
  connection_stage stage_ = connection_stage::kIdle;
  std::uint64_t bytes_ = 0;
  millis progress_ = 0;
  bool is_displaced_ = false;
};

// Thread-safe. `close` of a connection is called without the lock, from the
// thread of the connection that needs the room.
class http_admission : public std::enable_shared_from_this<http_admission> {
 public:
  using refused_function = std::function<void(refusal_cause)>;

  // The fixed cost of a connection: 3,000 idle ones take 2.7 kB each.
  static constexpr std::uint64_t kConnectionBytes = 4'096;
  // A connection without progress for a shorter time may be of a client that
  // only waits for its turn on a slow machine.
  static constexpr millis kStalledAfter = 1'000;

  explicit http_admission(const http_limits& limits) : limits_(limits) {}

  const http_limits& Limits() const { return limits_; }

  // Sets what is called for each refusal. To be called before any listener.
  void OnRefused(refused_function refused) { refused_ = std::move(refused); }

  std::size_t AddListener(const listener_share& share);

  // Returns null if the listener's share of connections or bytes is used up,
  // and no connection of it has been without progress for a while.
  std::unique_ptr<admitted_connection> Admit(std::size_t listener,
                                             const std::string& client,
                                             millis now,
                                             std::function<void()> close);

  std::uint64_t HeldBytes() const;
  std::uint64_t Connections() const;

 private:
  friend class admitted_connection;

  struct listener_state {
    std::string name;
    std::uint64_t byte_limit = 0;
    std::uint64_t connection_limit = 0;
    std::uint64_t bytes = 0;
    // Without those that are being closed.
    std::uint64_t connections = 0;
    std::list<admitted_connection*> open;
  };

  struct cause_state {
    millis logged = 0;
    std::uint64_t unlogged = 0;
  };

  // Both expect the lock to be held.
  admitted_connection* FindStalled(const listener_state& listener,
                                   const admitted_connection* except,
                                   std::uint64_t least_bytes,
                                   millis now) const;
  void Displace(listener_state& listener,
                admitted_connection& stalled,
                std::vector<std::function<void()>>& closing);

  void Report(std::size_t listener,
              const std::string& client,
              refusal_cause cause,
              std::uint64_t limit,
              std::uint64_t value,
              millis now);

  const http_limits limits_;
  refused_function refused_;
  mutable std::mutex mutex_;
  std::vector<listener_state> listeners_;
  cause_state causes_[std::size(kRefusalCauseNames)];
};

}  // namespace chervilkeel
