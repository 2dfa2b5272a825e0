#include "chervilkeel/http_admission.h"

#include <sys/resource.h>

#include <algorithm>
#include <utility>

#include "chervilkeel/event_log.h"

namespace chervilkeel {

namespace {

constexpr const char* kPart = "http";
constexpr std::uint64_t kMegabyte = 1U << 20U;
// The rest is for the process itself, the jobs and the store's answers.
constexpr std::uint64_t kBudgetPart = 4;
// For the store, peers, agents and logs: a sixteenth of the descriptors, and no
// less than a small process has open.
constexpr std::uint64_t kReservedPart = 16;
constexpr std::uint64_t kLeastReserved = 128;
constexpr std::uint64_t kDefaultDescriptors = 1'024;
constexpr millis kLogInterval = 1'000;

}  // namespace

const char* NameOf(refusal_cause cause) {
  for (const refusal_cause_name& entry : kRefusalCauseNames) {
    if (entry.cause == cause) {
      return entry.name;
    }
  }
  return "?";
}

std::uint64_t DescriptorLimit() {
  rlimit limit{};
  return getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur
                                               : kDefaultDescriptors;
}

http_limits MakeHttpLimits(const process_settings& settings,
                           std::uint64_t descriptors) {
  http_limits limits;
  if (settings.http_budget_mb > 0) {
    limits.budget_bytes = settings.http_budget_mb * kMegabyte;
  } else if (settings.memory_mb > 0) {
    limits.budget_bytes = settings.memory_mb * kMegabyte / kBudgetPart;
  }
  const std::uint64_t reserved =
      std::max(kLeastReserved, descriptors / kReservedPart);
  const std::uint64_t free = descriptors > 2 * reserved
                                 ? descriptors - reserved
                                 : std::max<std::uint64_t>(descriptors / 2, 1);
  limits.connections = settings.http_connections > 0
                           ? std::min(settings.http_connections, free)
                           : free;
  limits.header_bytes = settings.http_header_bytes;
  limits.header_fields = settings.http_header_fields;
  limits.header_time = static_cast<millis>(settings.http_header_time);
  limits.grace = static_cast<millis>(settings.http_grace);
  limits.bytes_per_s = settings.http_bytes_per_s;
  limits.json_depth = settings.http_json_depth;
  limits.json_values = settings.http_json_values;
  return limits;
}

admitted_connection::admitted_connection(
    std::shared_ptr<http_admission> admission,
    std::size_t listener,
    std::string client,
    std::function<void()> close)
    : admission_(std::move(admission)),
      listener_(listener),
      client_(std::move(client)),
      close_(std::move(close)) {}

admitted_connection::~admitted_connection() {
  const std::lock_guard lock(admission_->mutex_);
  auto& listener = admission_->listeners_[listener_];
  listener.open.erase(place_);
  if (!is_displaced_) {
    --listener.connections;
    listener.bytes -= http_admission::kConnectionBytes + bytes_;
  }
}

bool admitted_connection::Hold(std::uint64_t bytes, millis now) {
  std::vector<std::function<void()>> closing;
  bool fits = true;
  {
    const std::lock_guard lock(admission_->mutex_);
    auto& listener = admission_->listeners_[listener_];
    if (is_displaced_) {
      return false;
    }
    while (bytes > bytes_ &&
           listener.bytes - bytes_ + bytes > listener.byte_limit) {
      admitted_connection* stalled =
          admission_->FindStalled(listener, this, 1, now);
      if (stalled == nullptr) {
        fits = false;
        break;
      }
      admission_->Displace(listener, *stalled, closing);
    }
    if (fits) {
      listener.bytes = listener.bytes - bytes_ + bytes;
      bytes_ = bytes;
    }
  }
  for (const auto& close : closing) {
    close();
  }
  return fits;
}

void admitted_connection::HoldAnyway(std::uint64_t bytes) {
  const std::lock_guard lock(admission_->mutex_);
  if (!is_displaced_) {
    auto& listener = admission_->listeners_[listener_];
    listener.bytes = listener.bytes - bytes_ + bytes;
    bytes_ = bytes;
  }
}

void admitted_connection::Enter(connection_stage stage, millis now) {
  const std::lock_guard lock(admission_->mutex_);
  stage_ = stage;
  progress_ = now;
}

void admitted_connection::NoteProgress(millis now) {
  const std::lock_guard lock(admission_->mutex_);
  progress_ = now;
}

millis admitted_connection::WithoutProgress(millis now) const {
  const std::lock_guard lock(admission_->mutex_);
  return now - progress_;
}

void admitted_connection::Refuse(refusal_cause cause,
                                 std::uint64_t limit,
                                 std::uint64_t value,
                                 millis now) {
  admission_->Report(listener_, client_, cause, limit, value, now);
}

std::size_t http_admission::AddListener(const listener_share& share) {
  const std::lock_guard lock(mutex_);
  listener_state added;
  added.name = share.name;
  added.byte_limit = limits_.budget_bytes * share.percent / 100;
  added.connection_limit =
      std::max<std::uint64_t>(limits_.connections * share.percent / 100, 1);
  listeners_.push_back(std::move(added));
  return listeners_.size() - 1;
}

std::unique_ptr<admitted_connection> http_admission::Admit(
    std::size_t listener,
    const std::string& client,
    millis now,
    std::function<void()> close) {
  std::vector<std::function<void()>> closing;
  std::unique_ptr<admitted_connection> admitted;
  std::uint64_t open = 0;
  std::uint64_t limit = 0;
  {
    const std::lock_guard lock(mutex_);
    listener_state& state = listeners_[listener];
    limit = state.connection_limit;
    open = state.open.size();
    bool fits = false;
    while (true) {
      fits = state.connections < state.connection_limit &&
             state.bytes + kConnectionBytes <= state.byte_limit;
      admitted_connection* stalled =
          fits ? nullptr : FindStalled(state, nullptr, 0, now);
      if (stalled == nullptr) {
        break;
      }
      Displace(state, *stalled, closing);
    }
    if (fits) {
      admitted = std::make_unique<admitted_connection>(
          shared_from_this(), listener, client, std::move(close));
      admitted->place_ = state.open.insert(state.open.end(), admitted.get());
      admitted->progress_ = now;
      ++state.connections;
      state.bytes += kConnectionBytes;
    }
  }
  for (const auto& each : closing) {
    each();
  }
  if (!admitted) {
    Report(listener, client, refusal_cause::kConnections, limit, open, now);
  }
  return admitted;
}

std::uint64_t http_admission::HeldBytes() const {
  const std::lock_guard lock(mutex_);
  std::uint64_t bytes = 0;
  for (const listener_state& listener : listeners_) {
    bytes += listener.bytes;
  }
  return bytes;
}

std::uint64_t http_admission::Connections() const {
  const std::lock_guard lock(mutex_);
  std::uint64_t connections = 0;
  for (const listener_state& listener : listeners_) {
    connections += listener.connections;
  }
  return connections;
}

admitted_connection* http_admission::FindStalled(
    const listener_state& listener,
    const admitted_connection* except,
    std::uint64_t least_bytes,
    millis now) const {
  admitted_connection* longest = nullptr;
  for (admitted_connection* each : listener.open) {
    if (each == except || each->is_displaced_ ||
        each->stage_ == connection_stage::kInService ||
        each->bytes_ < least_bytes || now - each->progress_ < kStalledAfter) {
      continue;
    }
    if (longest == nullptr || each->progress_ < longest->progress_) {
      longest = each;
    }
  }
  return longest;
}

// Its part is free at once: the connection's thread closes it before it reads
// more.
void http_admission::Displace(listener_state& listener,
                              admitted_connection& stalled,
                              std::vector<std::function<void()>>& closing) {
  stalled.is_displaced_ = true;
  --listener.connections;
  listener.bytes -= kConnectionBytes + stalled.bytes_;
  closing.push_back(stalled.close_);
}

void http_admission::Report(std::size_t listener,
                            const std::string& client,
                            refusal_cause cause,
                            std::uint64_t limit,
                            std::uint64_t value,
                            millis now) {
  if (refused_) {
    refused_(cause);
  }
  std::uint64_t count = 0;
  std::string name;
  {
    const std::lock_guard lock(mutex_);
    cause_state& state = causes_[static_cast<std::size_t>(cause)];
    ++state.unlogged;
    if (state.logged != 0 && now - state.logged < kLogInterval) {
      return;
    }
    state.logged = now;
    count = std::exchange(state.unlogged, 0);
    name = listeners_[listener].name;
  }
  LogEvent(kPart, "refused",
           {{"cause", NameOf(cause)},
            {"listener", name},
            {"client", client},
            {"limit", limit},
            {"value", value},
            {"count", count}},
           true);
}

}  // namespace chervilkeel
