// Parses and validates the manifest, the JSON document in which operators
// declare services, jobs and teams, and splits it into content-addressed
// sections.
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

// Duration class of a service's requests. Short requests never queue behind
// long ones.
enum class request_class { kShort, kLong };

// A service whose requests are served by executors.
struct service_specification {
  std::string name;
  std::string team;
  request_class duration = request_class::kShort;
  bool idempotent = true;
  std::uint32_t milli_processors = 1000;  // Per running request.
  std::uint32_t deadline_ms = 2000;       // Default for requests without one.
  std::uint32_t expected_ms = 50;  // Initial estimate of the service time.
};

// A team and its quota: the resources that it may use at once across all cells.
struct team_specification {
  std::string name;
  amount quota;
};

// A parsed and validated manifest.
struct manifest {
  std::string house;
  std::vector<std::string> cells;
  std::map<std::string, team_specification> teams;
  std::map<std::string, service_specification> services;
  std::map<std::string, wire::job_specification> jobs;
};

// The result of reading a manifest: the manifest and any validation errors.
struct manifest_reading {
  manifest value;
  findings found;
};

// Parses and validates a whole manifest. Reports all findings rather than just
// the first, each with its location in the JSON text. `value` is complete only
// if there are no findings.
manifest_reading ReadManifest(std::string_view text);

// Splits a valid manifest into its sections: "settings", "teams", "services",
// and "jobs/TEAM" for each team that has jobs. The text must have been read by
// ReadManifest() without findings.
std::vector<wire::manifest_section> SplitSections(std::string_view text);

// Joins sections into the JSON text of a whole manifest.
std::string JoinSections(const std::vector<wire::manifest_section>& sections);

// Returns the content address of a section: its 128-bit XXH3 hash in
// hexadecimal.
std::string HashContent(std::string_view content);

// Returns the names of the sections that differ between two roots, including
// those that only one of them has.
std::vector<std::string> DifferingSections(const wire::manifest_root& left,
                                           const wire::manifest_root& right);

// Returns the cell that a job or an idempotency key belongs to, chosen by
// rendezvous (highest random weight) hashing with XXH64 (Thaler and
// Ravishankar, 1998). Returns an empty string if there are no cells.
std::string HomeCell(const std::string& key,
                     const std::vector<std::string>& cells);

}  // namespace chervilkeel
