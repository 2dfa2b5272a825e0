// The INI settings of a process: a table of what may be set, and a reader that
// collects every finding with its line.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "chervilkeel/clock.h"
#include "chervilkeel/finding.h"
#include "chervilkeel/placement.h"

namespace chervilkeel {

// What a daemon does.
enum class process_role { kEntry, kAgent, kJobEntry, kJobAgent };

struct role_name {
  process_role role;
  const char* name;
};

inline constexpr role_name kRoleNames[] = {
    {process_role::kEntry, "entry"},
    {process_role::kAgent, "agent"},
    {process_role::kJobEntry, "job_entry"},
    {process_role::kJobAgent, "job_agent"},
};

// An IP number and a port.
struct endpoint {
  std::string address;
  std::uint16_t port = 0;
  std::string ToString() const { return address + ":" + std::to_string(port); }
};

// Every setting of a daemon. Durations in milliseconds.
struct process_settings {
  process_role role = process_role::kEntry;
  std::string name;
  std::string address;
  std::uint16_t rpc_port = 0;
  std::uint16_t http_port = 0;
  std::string data_centre;
  std::string rack;
  std::uint64_t threads = 2;
  std::vector<endpoint> entries;

  double processors = 1.0;
  std::uint64_t memory_mb = 0;  // 0: not told.

  std::uint64_t http_budget_mb = 0;    // 0: by the memory.
  std::uint64_t http_connections = 0;  // 0: by the descriptors.
  std::uint64_t http_header_bytes = 16'384;
  std::uint64_t http_header_fields = 256;
  std::uint64_t http_header_time = 10'000;
  std::uint64_t http_grace = 10'000;
  std::uint64_t http_bytes_per_s = 4'096;
  std::uint64_t http_json_depth = 32;
  std::uint64_t http_json_values = 131'072;

  std::string store_kind = "http";
  endpoint store;
  std::uint64_t store_timeout = 1'000;

  std::uint16_t client_port = 0;
  std::uint64_t body_limit = 4U << 20U;
  std::uint64_t client_connections = 1'000;
  std::uint64_t requests_in_flight = 1'000;
  std::uint64_t leave_notice = 2'000;

  std::string cell;
  std::string worker_kind = "http";
  endpoint worker;
  endpoint executor;
  std::uint64_t slots = 8;
  std::uint64_t connections = 64;
  std::uint64_t executor_memory_mb = 4'096;

  policy_lean lean = policy_lean::kBatch;
  std::uint64_t tenure = 10'000;
  std::uint64_t hold = 1'800'000;
  std::uint64_t heartbeat = 500;
  std::uint64_t worker_interval = 200;
  std::uint64_t commit_interval = 200;
  std::uint64_t owner_lease = 5'000;
  std::uint64_t drain_limit = 30'000;

  std::string adapter_kind = "platform";
  endpoint job_front;
  endpoint job_readiness;
  endpoint announcements;
  endpoint job_executor;
  std::vector<endpoint> seeds;
  std::uint64_t longest_lease = 6'000;
  std::uint64_t grant = 2'600;
  std::uint64_t owner_ttl = 1'000;
  std::uint64_t outage_grant = 60'000;
  std::uint64_t job_retention = 180;
  std::uint64_t shutdown_time = 3'500;
  std::uint64_t answer_time = 1'000;
  std::uint64_t job_commit_interval = 20;
  std::uint64_t evacuation_time = 0;  // 0: no evacuations.
  std::uint64_t stop_time = 0;        // 0: not known.
  std::uint64_t restore_time = 0;     // 0: not known.
  double checkpoint_interval = 0;     // In s; 0: not known.
  std::uint64_t lookahead_time = 0;   // 0: no worker is reserved.

  std::string log_level = "info";
};

struct settings_reading {
  process_settings value;
  findings found;
};

// Reads settings from INI text. Every finding is collected with its line;
// `value` is complete only when there are none.
settings_reading ReadSettings(std::string_view text);

// Settings given beside a file, each as "SECTION.KEY=VALUE". One without a
// value is not set, so that a platform can pass on what only some deployments
// have.
using setting_overrides = std::vector<std::string>;

// Reads settings from a file and what is given beside it; a file that can't be
// opened is a finding, and so is a setting that is given twice.
settings_reading ReadSettingsFile(const std::string& path,
                                  const setting_overrides& overrides = {});

// Reads "IP:PORT"; returns false when the text is not of that form.
bool ParseEndpoint(std::string_view text, endpoint& out);

// One line of the table of settings, for the operators' page.
struct setting_description {
  std::string section;
  std::string key;
  std::string unit;
  std::string fallback;
  std::string meaning;
};

// Lists every setting with its unit, default and meaning.
std::vector<setting_description> DescribeSettings();

}  // namespace chervilkeel
