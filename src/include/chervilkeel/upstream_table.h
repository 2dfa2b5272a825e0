// Load balancing of an entry: selects the upstream for each request.
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

// Settings of the load balancing. Durations are in milliseconds.
struct upstream_options {
  std::string data_centre;             // Of this entry.
  millis contact_timeout = 1'500;      // Since the last contact with the agent.
  double remote_cost_ms = 1.0;         // Added for other data centres.
  std::uint32_t local_candidates = 4;  // Sampled in the own data centre.
  std::uint32_t remote_candidates = 2;  // Sampled in other ones.
  millis failure_pause = 1'000;         // After a failed connection.
};

// The state of one upstream as known to the entry.
struct upstream_entry {
  wire::roster_member member;
  std::string cell;
  bool is_local = false;  // In the entry's data centre.
  millis last_contact = 0;
  millis paused_until = 0;
  std::uint32_t in_flight = 0;          // Sent by this entry.
  std::uint32_t sent_since_report = 0;  // Requests since the load report.
  double short_ms = 0;                  // Mean service time; 0 until measured.
  double long_ms = 0;
};

struct upstream_choice {
  std::string agent;  // Empty if no upstream is available.
  std::string address;
  double expected_ms = 0;
  std::size_t sampled = 0;
  std::size_t known = 0;

  // Returns the reason for the choice, or for the lack of one.
  std::string Reason() const;
};

// The upstreams known to one entry. Entries share no state. Only a few random
// candidates are compared, so that entries with stale load reports don't all
// choose the same upstream (Mitzenmacher, "The power of two choices in
// randomized load balancing"). The cost of a choice does not depend on the
// number of upstreams, unless most of them are unusable.
class upstream_table {
 public:
  upstream_table(upstream_options options, std::uint64_t seed);
  ~upstream_table() = default;

  // Not copyable, because the index holds pointers into the table.
  upstream_table(const upstream_table&) = delete;
  upstream_table& operator=(const upstream_table&) = delete;
  upstream_table(upstream_table&&) = default;
  upstream_table& operator=(upstream_table&&) = delete;

  // Applies the roster of a cell. Upstreams that are no longer listed are
  // removed once they have no requests in flight.
  void ApplyRoster(const wire::roster_reply& roster, millis now);

  // Applies the reply of an agent to a probe.
  void ApplyProbeReply(const std::string& agent,
                       const wire::probe_reply& reply,
                       millis now);

  // Selects the upstream with the lowest expected time, except `excluded` ones.
  upstream_choice Choose(request_class duration,
                         double expected_ms,
                         const std::set<std::string>& excluded,
                         millis now);

  // Records that a request is sent.
  void OnRequestSent(const std::string& agent);

  // Records that a request ended, with the load report of the reply, if any.
  void OnRequestEnded(const std::string& agent,
                      request_class duration,
                      const wire::execute_reply* reply);

  // Records a failed connection to the agent.
  void MarkFailed(const std::string& agent, millis now);

  // Returns the upstreams without contact for more than `age`, for probing.
  std::vector<upstream_entry> WithoutContactFor(millis age, millis now) const;

  // Returns whether an upstream may get new requests now.
  bool Usable(const upstream_entry& upstream, millis now) const;

  const std::map<std::string, upstream_entry>& All() const {
    return upstreams_;
  }

 private:
  double CostMs(const upstream_entry& upstream,
                request_class duration,
                double expected_ms,
                double fastest_ms) const;
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
  std::vector<const upstream_entry*> local_;   // In the own data centre.
  std::vector<const upstream_entry*> remote_;  // In other data centres.
  std::vector<const upstream_entry*> sampled_;
  std::mt19937_64 random_;
};

}  // namespace chervilkeel
