// Chooses the upstream of each request at an entry.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "chervilkeel/clock.h"
#include "chervilkeel/manifest.h"
#include "wire/chervilkeel.pb.h"

namespace chervilkeel {

// The settings of the choice. Durations in milliseconds.
struct upstream_options {
  std::string data_centre;             // Of this entry.
  millis usable_for = 1'500;           // Since the agent was last heard.
  double remote_cost_ms = 1.0;         // Of leaving the own data centre.
  std::uint32_t own_candidates = 4;    // Random ones of the own data centre.
  std::uint32_t other_candidates = 2;  // Random ones of all others.
  millis failed_for = 1'000;           // Not chosen after a failed connection.
};

// One upstream as an entry sees it.
struct upstream_entry {
  wire::roster_member member;
  std::string cell;
  bool own_data_centre = false;  // The entry's.
  millis heard_at = 0;
  millis failed_until = 0;
  std::uint32_t in_flight = 0;     // Of this entry.
  std::uint32_t since_report = 0;  // Sent since the load was reported.
  double short_ms = 0;             // Learned service time; 0 until learned.
  double long_ms = 0;
};

struct upstream_choice {
  std::string agent;  // Empty when there is none.
  std::string address;
  double expected_ms = 0;
  std::size_t sampled = 0;
  std::size_t known = 0;

  // Says why it was chosen, or why there is none.
  std::string Reason() const;
};

// The upstreams that the entry knows. Each of several entries holds its own
// and shares nothing; a few random candidates keep stale views from herding
// (Mitzenmacher, "The power of two choices in randomized load balancing").
// A choice costs the same however many upstreams there are, unless most of
// them are not usable.
class upstream_table {
 public:
  upstream_table(upstream_options options, std::uint64_t seed);
  ~upstream_table() = default;

  // The index points into the table, so that a copy would share it.
  upstream_table(const upstream_table&) = delete;
  upstream_table& operator=(const upstream_table&) = delete;
  upstream_table(upstream_table&&) = default;
  upstream_table& operator=(upstream_table&&) = delete;

  // Takes the roster of a cell. Upstreams that it no longer lists go.
  void TakeRoster(const wire::roster_reply& roster, millis now);

  // Takes an agent's own word that it lives.
  void TakeProbe(const std::string& agent,
                 const wire::probe_reply& reply,
                 millis now);

  // Chooses an upstream outside `excluded`.
  upstream_choice Choose(request_class duration,
                         double expected_ms,
                         const std::set<std::string>& excluded,
                         millis now);

  // Counts a request as sent.
  void Begin(const std::string& agent);

  // Counts a request as ended, with the load the reply carried, if any.
  void End(const std::string& agent,
           request_class duration,
           const wire::execute_reply* reply);

  // Notes that the agent could not be reached.
  void MarkFailed(const std::string& agent, millis now);

  // Lists upstreams that were not heard for `age`, for probing.
  std::vector<upstream_entry> NotHeardFor(millis age, millis now) const;

  // Says whether an upstream may get new work now.
  bool Usable(const upstream_entry& upstream, millis now) const;

  const std::map<std::string, upstream_entry>& All() const {
    return upstreams_;
  }

 private:
  double CostMs(const upstream_entry& upstream,
                request_class duration,
                double expected_ms,
                double quickest) const;
  static double ServiceMs(const upstream_entry& upstream,
                          request_class duration,
                          double expected_ms);
  void Sample(const std::vector<const upstream_entry*>& from,
              std::uint32_t count,
              const std::set<std::string>& excluded,
              millis now);
  void SampleAll(const std::set<std::string>& excluded, millis now);
  void RebuildIndex();

  const upstream_options options_;
  std::map<std::string, upstream_entry> upstreams_;
  std::vector<const upstream_entry*> own_;    // Of the own data centre.
  std::vector<const upstream_entry*> other_;  // Of the others.
  std::vector<const upstream_entry*> sampled_;
  std::mt19937_64 random_;
};

}  // namespace chervilkeel
