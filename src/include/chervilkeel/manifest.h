// The operators' manifest: services, jobs and teams, as JSON text in, checked
// specifications out, and its split into sections addressed by content.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "chervilkeel/amount.h"
#include "chervilkeel/finding.h"
#include "wire/chervilkeel.pb.h"

namespace chervilkeel {

// How long requests of a service hold a slot. Short ones never wait behind
// long ones.
enum class request_class { kShort, kLong };

// A service whose requests the executors answer.
struct service_specification {
  std::string name;
  std::string team;
  request_class duration = request_class::kShort;
  bool idempotent = true;
  std::uint32_t milli_processors = 1000;  // Of one request while it runs.
  std::uint32_t deadline_ms = 2000;       // When a request names none.
  std::uint32_t expected_ms = 50;         // Prior of the service time.
};

// What one team may hold at once over all cells.
struct team_specification {
  std::string name;
  amount quota;
};

// A manifest whose every part passed the checks.
struct manifest {
  std::string house;
  std::vector<std::string> cells;
  std::map<std::string, team_specification> teams;
  std::map<std::string, service_specification> services;
  std::map<std::string, wire::job_specification> jobs;
};

// A manifest, or the findings that speak against it.
struct manifest_reading {
  manifest value;
  findings found;
};

// Reads and checks a whole manifest. All findings are collected, each with
// its place in the JSON text; `value` is complete only when there are none.
manifest_reading ReadManifest(std::string_view text);

// Splits a manifest without findings into its sections: "settings", "teams",
// "services", and "jobs/TEAM" for each team that has jobs.
std::vector<wire::manifest_section> SplitSections(std::string_view text);

// Joins sections back into the JSON text of a whole manifest.
std::string JoinSections(const std::vector<wire::manifest_section>& sections);

// Returns the content address of a section: XXH3, 128 bits, in hexadecimal.
std::string HashContent(std::string_view content);

// Names the sections in which two roots differ.
std::vector<std::string> DifferingSections(const wire::manifest_root& left,
                                           const wire::manifest_root& right);

// Names the cell that a job or an idempotency key belongs to: the highest
// random weight of XXH64 over the cells (Thaler and Ravishankar, 1998).
// Empty when there are no cells.
std::string HomeCell(const std::string& key,
                     const std::vector<std::string>& cells);

}  // namespace chervilkeel
