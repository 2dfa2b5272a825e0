#include "chervilkeel/upstream_table.h"

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <limits>
#include <utility>

namespace chervilkeel {

namespace {

// The weight of a new service time in the moving average.
constexpr double kServiceWeight = 0.02;

// The weight of the difference in service time to the fastest candidate.
constexpr double kExcessServiceWeight = 1.0;

// The limit on random draws for each candidate.
constexpr std::uint32_t kDrawsPerCandidate = 3;

constexpr double kMicrosInMilli = 1000.0;

}  // namespace

upstream_table::upstream_table(upstream_options options, std::uint64_t seed)
    : options_(std::move(options)), random_(seed) {}

void upstream_table::ApplyRoster(const wire::roster_reply& roster, millis now) {
  std::set<std::string> listed;
  for (const auto& member : roster.members()) {
    listed.insert(member.agent());
    upstream_entry& upstream = upstreams_[member.agent()];
    const millis last_contact =
        now - static_cast<millis>(member.heard_ms_ago());
    const bool newer = last_contact > upstream.last_contact;
    upstream.cell = roster.cell();
    if (upstream.member.incarnation() != member.incarnation()) {
      upstream.paused_until = 0;
    }
    upstream.member = member;
    if (newer) {
      upstream.last_contact = last_contact;
      upstream.sent_since_report = 0;
    }
  }
  std::erase_if(upstreams_, [&](const auto& entry) {
    return entry.second.cell == roster.cell() &&
           listed.count(entry.first) == 0 && entry.second.in_flight == 0;
  });
  RebuildIndex();
}

void upstream_table::ApplyProbeReply(const std::string& agent,
                                     const wire::probe_reply& reply,
                                     millis now) {
  const auto found = upstreams_.find(agent);
  if (found == upstreams_.end()) {
    return;
  }
  upstream_entry& upstream = found->second;
  upstream.last_contact = now;
  upstream.sent_since_report = 0;
  upstream.member.set_draining(reply.draining());
  *upstream.member.mutable_load() = reply.load();
}

bool upstream_table::Usable(const upstream_entry& upstream, millis now) const {
  return !upstream.member.draining() && now >= upstream.paused_until &&
         now - upstream.last_contact <= options_.contact_timeout;
}

double upstream_table::ServiceMs(const upstream_entry& upstream,
                                 request_class duration,
                                 double expected_ms) {
  const double mean_ms =
      duration == request_class::kShort ? upstream.short_ms : upstream.long_ms;
  return mean_ms > 0 ? mean_ms : expected_ms;
}

// Estimates the queueing and service time of another request from the reported
// load and the requests that this entry has sent since. Service time above that
// of the fastest candidate is counted again, because the slowest requests
// determine the tail latency. A part of the service time is added even before
// all slots are busy, because the load report may be outdated.
double upstream_table::CostMs(const upstream_entry& upstream,
                              request_class duration,
                              double expected_ms,
                              double fastest_ms) const {
  const double service = ServiceMs(upstream, duration, expected_ms);
  const auto& load = upstream.member.load();
  const double slots = std::max(1U, load.slots());
  const std::uint32_t queued = duration == request_class::kShort
                                   ? load.queued_short()
                                   : load.queued_short() + load.queued_long();
  const double outstanding =
      std::max<double>(load.busy_slots() + queued + upstream.sent_since_report,
                       upstream.in_flight);
  const double waiting = std::max(0.0, outstanding + 1 - slots);
  const double occupancy = std::min(1.0, outstanding / slots);
  return service * (1 + waiting / slots + occupancy * occupancy) +
         kExcessServiceWeight * (service - fastest_ms) +
         (upstream.is_local ? 0.0 : options_.remote_cost_ms);
}

// Adds up to `count` distinct usable upstreams, drawn at random. Draws of
// unusable ones and repeated draws count towards the limit, so that the cost is
// bounded.
void upstream_table::Sample(const std::vector<const upstream_entry*>& from,
                            std::uint32_t count,
                            const std::set<std::string>& excluded,
                            millis now) {
  const auto eligible = [&](const upstream_entry& upstream) {
    return Usable(upstream, now) &&
           excluded.count(upstream.member.agent()) == 0;
  };
  if (from.size() <= count) {
    std::copy_if(
        from.begin(), from.end(), std::back_inserter(sampled_),
        [&](const upstream_entry* candidate) { return eligible(*candidate); });
    return;
  }
  const std::size_t first = sampled_.size();
  std::uniform_int_distribution<std::size_t> pick(0, from.size() - 1);
  for (std::uint32_t draw = 0; draw < kDrawsPerCandidate * count; ++draw) {
    const upstream_entry* drawn = from[pick(random_)];
    if (std::find(sampled_.begin() + static_cast<std::ptrdiff_t>(first),
                  sampled_.end(), drawn) != sampled_.end() ||
        !eligible(*drawn)) {
      continue;
    }
    sampled_.push_back(drawn);
    if (sampled_.size() - first == count) {
      return;
    }
  }
}

// Adds every usable upstream; the fallback if random draws found none.
void upstream_table::SampleAll(const std::set<std::string>& excluded,
                               millis now) {
  for (const auto& [name, upstream] : upstreams_) {
    if (Usable(upstream, now) && excluded.count(name) == 0) {
      sampled_.push_back(&upstream);
    }
  }
}

void upstream_table::RebuildIndex() {
  local_.clear();
  remote_.clear();
  for (auto& [name, upstream] : upstreams_) {
    upstream.is_local = upstream.member.data_centre() == options_.data_centre;
    (upstream.is_local ? local_ : remote_).push_back(&upstream);
  }
}

upstream_choice upstream_table::Choose(request_class duration,
                                       double expected_ms,
                                       const std::set<std::string>& excluded,
                                       millis now) {
  sampled_.clear();
  Sample(local_, options_.local_candidates, excluded, now);
  Sample(remote_, options_.remote_candidates, excluded, now);
  if (sampled_.empty()) {
    SampleAll(excluded, now);
  }
  upstream_choice choice;
  choice.sampled = sampled_.size();
  choice.known = upstreams_.size();
  double fastest_ms = std::numeric_limits<double>::infinity();
  for (const upstream_entry* upstream : sampled_) {
    fastest_ms =
        std::min(fastest_ms, ServiceMs(*upstream, duration, expected_ms));
  }
  const upstream_entry* best = nullptr;
  for (const upstream_entry* upstream : sampled_) {
    const double cost = CostMs(*upstream, duration, expected_ms, fastest_ms);
    if (!best || cost < choice.expected_ms) {
      best = upstream;
      choice.expected_ms = cost;
    }
  }
  if (best) {
    choice.agent = best->member.agent();
    choice.address = best->member.address();
  }
  return choice;
}

std::string upstream_choice::Reason() const {
  if (agent.empty()) {
    return "none of the " + std::to_string(known) +
           " known upstreams is available";
  }
  char text[120];
  std::snprintf(
      text, sizeof text,
      "expected cost %.1f ms, lowest of %zu sampled upstreams (%zu known)",
      expected_ms, sampled, known);
  return text;
}

void upstream_table::OnRequestSent(const std::string& agent) {
  const auto found = upstreams_.find(agent);
  if (found != upstreams_.end()) {
    ++found->second.in_flight;
    ++found->second.sent_since_report;
  }
}

void upstream_table::OnRequestEnded(const std::string& agent,
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
    upstream.sent_since_report = 0;
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
    found->second.paused_until = now + options_.failure_pause;
  }
}

std::vector<upstream_entry> upstream_table::WithoutContactFor(
    millis age,
    millis now) const {
  std::vector<upstream_entry> found;
  for (const auto& [name, upstream] : upstreams_) {
    if (now - upstream.last_contact > age) {
      found.push_back(upstream);
    }
  }
  return found;
}

}  // namespace chervilkeel
