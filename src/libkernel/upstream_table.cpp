#include "chervilkeel/upstream_table.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace chervilkeel {

namespace {

constexpr double kServiceWeight = 0.1;  // Of the newest service time.
constexpr double kMicrosInMilli = 1000.0;

}  // namespace

upstream_table::upstream_table(upstream_options options, std::uint64_t seed)
    : options_(std::move(options)), random_(seed) {}

void upstream_table::TakeRoster(const wire::roster_reply& roster, millis now) {
  std::set<std::string> listed;
  for (const auto& member : roster.members()) {
    listed.insert(member.agent());
    upstream_entry& upstream = upstreams_[member.agent()];
    const millis heard_at = now - static_cast<millis>(member.heard_ms_ago());
    const bool newer = heard_at > upstream.heard_at;
    upstream.cell = roster.cell();
    if (upstream.member.incarnation() != member.incarnation()) {
      upstream.failed_until = 0;
    }
    upstream.member = member;
    if (newer) {
      upstream.heard_at = heard_at;
      upstream.since_report = 0;
    }
  }
  std::erase_if(upstreams_, [&](const auto& entry) {
    return entry.second.cell == roster.cell() &&
           listed.count(entry.first) == 0 && entry.second.in_flight == 0;
  });
}

void upstream_table::TakeProbe(const std::string& agent,
                               const wire::probe_reply& reply,
                               millis now) {
  const auto found = upstreams_.find(agent);
  if (found == upstreams_.end()) {
    return;
  }
  upstream_entry& upstream = found->second;
  upstream.heard_at = now;
  upstream.since_report = 0;
  upstream.member.set_draining(reply.draining());
  *upstream.member.mutable_load() = reply.load();
}

bool upstream_table::Usable(const upstream_entry& upstream, millis now) const {
  return !upstream.member.draining() && now >= upstream.failed_until &&
         now - upstream.heard_at <= options_.usable_for;
}

// Estimates the wait and service of one more request: what was reported, plus
// what this entry has sent since.
double upstream_table::CostMs(const upstream_entry& upstream,
                              request_class duration,
                              double expected_ms) const {
  const double learned =
      duration == request_class::kShort ? upstream.short_ms : upstream.long_ms;
  const double service = learned > 0 ? learned : expected_ms;
  const auto& load = upstream.member.load();
  const double slots = std::max(1U, load.slots());
  const std::uint32_t queued = duration == request_class::kShort
                                   ? load.queued_short()
                                   : load.queued_short() + load.queued_long();
  const double outstanding = load.busy_slots() + queued + upstream.since_report;
  const double waiting = std::max(0.0, outstanding + 1 - slots);
  const double crowding = outstanding / slots;
  return service * (1 + waiting / slots) + crowding +
         (upstream.member.data_centre() == options_.data_centre
              ? 0.0
              : options_.remote_cost_ms);
}

std::vector<const upstream_entry*> upstream_table::Sample(
    std::vector<const upstream_entry*>& from) {
  std::vector<const upstream_entry*> chosen;
  while (!from.empty() && chosen.size() < options_.candidates) {
    std::uniform_int_distribution<std::size_t> pick(0, from.size() - 1);
    const std::size_t index = pick(random_);
    chosen.push_back(from[index]);
    from[index] = from.back();
    from.pop_back();
  }
  return chosen;
}

upstream_choice upstream_table::Choose(request_class duration,
                                       double expected_ms,
                                       const std::set<std::string>& excluded,
                                       millis now) {
  std::vector<const upstream_entry*> own;
  std::vector<const upstream_entry*> other;
  for (const auto& [name, upstream] : upstreams_) {
    if (Usable(upstream, now) && excluded.count(name) == 0) {
      (upstream.member.data_centre() == options_.data_centre ? own : other)
          .push_back(&upstream);
    }
  }
  const std::size_t usable = own.size() + other.size();
  std::vector<const upstream_entry*> sampled = Sample(own);
  for (const upstream_entry* upstream : Sample(other)) {
    sampled.push_back(upstream);
  }
  const upstream_entry* best = nullptr;
  double lowest = 0;
  for (const upstream_entry* upstream : sampled) {
    const double cost = CostMs(*upstream, duration, expected_ms);
    if (!best || cost < lowest) {
      best = upstream;
      lowest = cost;
    }
  }
  if (!best) {
    return {"", "",
            "none of " + std::to_string(upstreams_.size()) +
                " known upstreams may take the request"};
  }
  char reason[120];
  std::snprintf(reason, sizeof reason,
                "expected %.1f ms, the least of %zu sampled from %zu usable",
                lowest, sampled.size(), usable);
  return {best->member.agent(), best->member.address(), reason};
}

void upstream_table::Begin(const std::string& agent) {
  const auto found = upstreams_.find(agent);
  if (found != upstreams_.end()) {
    ++found->second.in_flight;
    ++found->second.since_report;
  }
}

void upstream_table::End(const std::string& agent,
                         request_class duration,
                         const wire::execute_reply* reply) {
  const auto found = upstreams_.find(agent);
  if (found == upstreams_.end()) {
    return;
  }
  upstream_entry& upstream = found->second;
  if (upstream.in_flight > 0) {
    --upstream.in_flight;
  }
  if (!reply) {
    return;
  }
  if (reply->has_load()) {
    *upstream.member.mutable_load() = reply->load();
    upstream.since_report = 0;
  }
  if (reply->outcome() == wire::outcome_answered) {
    double& mean = duration == request_class::kShort ? upstream.short_ms
                                                     : upstream.long_ms;
    const double service = reply->service_us() / kMicrosInMilli;
    mean = mean > 0 ? mean + kServiceWeight * (service - mean) : service;
  }
}

void upstream_table::MarkFailed(const std::string& agent, millis now) {
  const auto found = upstreams_.find(agent);
  if (found != upstreams_.end()) {
    found->second.failed_until = now + options_.failed_for;
  }
}

std::vector<upstream_entry> upstream_table::NotHeardFor(millis age,
                                                        millis now) const {
  std::vector<upstream_entry> found;
  for (const auto& [name, upstream] : upstreams_) {
    if (now - upstream.heard_at > age) {
      found.push_back(upstream);
    }
  }
  return found;
}

}  // namespace chervilkeel
