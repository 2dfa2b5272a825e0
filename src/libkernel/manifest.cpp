#include "chervilkeel/manifest.h"

#include <algorithm>
#include <cstdio>
#include <set>

#include <xxhash.h>
#include <boost/json.hpp>

#include "manifest_reader.h"

namespace chervilkeel {

namespace json = boost::json;

namespace {

constexpr std::uint64_t kMaxTasksOfJob = 100'000;
constexpr std::uint64_t kMaxRunMs = 30ULL * 24 * 3600 * 1000;
constexpr std::uint64_t kMaxDeadlineMs = 600'000;

void ReadTeam(object_reader& reader, manifest& out) {
  team_specification team;
  team.name = reader.Name("name");
  team.quota.milli_processors =
      static_cast<std::int64_t>(reader.Milli("processors", 0, 10'000'000));
  team.quota.memory_mb =
      static_cast<std::int64_t>(reader.Whole("memory_mb", 0, 1'000'000'000));
  team.quota.accelerators =
      static_cast<std::int64_t>(reader.WholeOr("accelerators", 0, 0, 100'000));
  reader.ReportUnknownKeys();
  if (!out.teams.emplace(team.name, team).second) {
    reader.AddFinding("name", "team \"" + team.name + "\" is declared twice");
  }
}

void ReadService(object_reader& reader, manifest& out) {
  service_specification service;
  service.name = reader.Name("name");
  service.team = reader.Name("team");
  service.duration = reader.Choice("class", {"short", "long"}) == "long"
                         ? request_class::kLong
                         : request_class::kShort;
  service.idempotent = reader.BoolOr("idempotent", true);
  service.milli_processors =
      static_cast<std::uint32_t>(reader.MilliOr("processors", 1000, 1, 64'000));
  service.deadline_ms = static_cast<std::uint32_t>(
      reader.WholeOr("deadline_ms", service.deadline_ms, 1, kMaxDeadlineMs));
  service.expected_ms = static_cast<std::uint32_t>(
      reader.WholeOr("expected_ms", service.expected_ms, 1, kMaxDeadlineMs));
  reader.ReportUnknownKeys();
  if (!out.services.emplace(service.name, service).second) {
    reader.AddFinding("name",
                      "service \"" + service.name + "\" is declared twice");
  }
}

void ReadJob(object_reader& reader, manifest& out) {
  wire::job_specification job;
  const std::string name = reader.Name("name");
  job.set_run(static_cast<std::uint32_t>(reader.WholeOr("run", 1, 1, 1 << 30)));
  job.set_name(name + "@" + std::to_string(job.run()));
  job.set_team(reader.Name("team"));
  job.set_kind(reader.Choice("kind", {"batch", "rendering"}));
  job.set_task_class(reader.NameOr("class", name));
  job.set_tasks(
      static_cast<std::uint32_t>(reader.Whole("tasks", 1, kMaxTasksOfJob)));
  auto* need = job.mutable_need();
  need->set_milli_processors(
      static_cast<std::uint32_t>(reader.Milli("processors", 1, 10'000'000)));
  need->set_memory_mb(
      static_cast<std::uint32_t>(reader.Whole("memory_mb", 1, 100'000'000)));
  need->set_accelerators(
      static_cast<std::uint32_t>(reader.WholeOr("accelerators", 0, 0, 1000)));
  job.set_run_ms(reader.Whole("run_ms", 1, kMaxRunMs));
  job.set_priority(
      static_cast<std::uint32_t>(reader.WholeOr("priority", 100, 0, 1000)));
  job.set_max_failures(
      static_cast<std::uint32_t>(reader.WholeOr("max_failures", 3, 1, 100)));
  reader.ReportUnknownKeys();
  const auto [at, added] = out.jobs.emplace(job.name(), job);
  if (!added) {
    reader.AddFinding("name", "job \"" + name +
                                  "\" is declared twice with run " +
                                  std::to_string(at->second.run()));
  }
}

void ReadCells(object_reader& reader, manifest& out) {
  out.cells = reader.Names("cells");
  const std::set<std::string> distinct(out.cells.begin(), out.cells.end());
  if (distinct.size() != out.cells.size()) {
    reader.AddFinding("cells", "a cell is named twice");
  }
}

template <class owner_type>
void CheckTeam(const manifest& value,
               const std::string& place,
               const owner_type& owner,
               const std::string& team,
               findings& found) {
  if (!team.empty() && value.teams.count(team) == 0) {
    found.push_back({place, "\"" + owner + "\" names team \"" + team +
                                "\", which is not declared"});
  }
}

void CheckReferences(const manifest& value, findings& found) {
  for (const auto& [name, service] : value.services) {
    CheckTeam(value, "services", name, service.team, found);
  }
  for (const auto& [name, job] : value.jobs) {
    CheckTeam(value, "jobs", name, job.team(), found);
  }
}

std::string PlaceOfOffset(std::string_view text, std::size_t offset) {
  const auto before = text.substr(0, std::min(offset, text.size()));
  const auto line = 1 + std::count(before.begin(), before.end(), '\n');
  const auto start = before.rfind('\n');
  const auto column =
      start == std::string_view::npos ? before.size() : before.size() - start;
  return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

// Parses JSON text. Reports a syntax error, or text after the end of the JSON
// value, as a finding with line and column.
json::value ParseText(std::string_view text, findings& found) {
  json::parser parser;
  boost::system::error_code failure;
  const std::size_t consumed =
      parser.write_some(text.data(), text.size(), failure);
  if (failure) {
    found.push_back({PlaceOfOffset(text, consumed), failure.message()});
    return nullptr;
  }
  const auto rest = text.find_first_not_of(" \t\r\n", consumed);
  if (rest != std::string_view::npos) {
    found.push_back({PlaceOfOffset(text, rest), "text after the manifest"});
    return nullptr;
  }
  return parser.release();
}

wire::manifest_section MakeSection(const std::string& name,
                                   const json::value& content) {
  wire::manifest_section section;
  section.set_name(name);
  section.set_content(json::serialize(content));
  section.set_hash(HashContent(section.content()));
  return section;
}

}  // namespace

manifest_reading ReadManifest(std::string_view text) {
  manifest_reading reading;
  const json::value root = ParseText(text, reading.found);
  if (!reading.found.empty()) {
    return reading;
  }
  if (!root.is_object()) {
    reading.found.push_back({"manifest", "must be an object"});
    return reading;
  }
  manifest& out = reading.value;
  object_reader reader(root.as_object(), "", reading.found);
  out.house = reader.Name("house");
  ReadCells(reader, out);
  reader.ForEachObject("teams",
                       [&](object_reader& team) { ReadTeam(team, out); });
  reader.ForEachObject(
      "services", [&](object_reader& service) { ReadService(service, out); });
  reader.ForEachObject("jobs", [&](object_reader& job) { ReadJob(job, out); });
  reader.ReportUnknownKeys();
  CheckReferences(out, reading.found);
  return reading;
}

std::vector<wire::manifest_section> SplitSections(std::string_view text) {
  const json::object root = json::parse(text).as_object();
  json::object settings;
  settings["house"] = root.at("house");
  settings["cells"] = root.at("cells");
  std::map<std::string, json::array> jobs_of_team;
  if (const json::value* jobs = root.if_contains("jobs")) {
    for (const json::value& job : jobs->as_array()) {
      const std::string team(job.as_object().at("team").as_string());
      jobs_of_team[team].push_back(job);
    }
  }
  std::vector<wire::manifest_section> sections;
  sections.push_back(MakeSection("settings", settings));
  for (const char* name : {"teams", "services"}) {
    const json::value* list = root.if_contains(name);
    sections.push_back(MakeSection(name, list ? *list : json::array()));
  }
  for (const auto& [team, jobs] : jobs_of_team) {
    sections.push_back(MakeSection("jobs/" + team, jobs));
  }
  return sections;
}

std::string JoinSections(const std::vector<wire::manifest_section>& sections) {
  json::object root;
  json::array jobs;
  for (const auto& section : sections) {
    json::value content = json::parse(section.content());
    if (section.name() == "settings") {
      for (auto& entry : content.as_object()) {
        root[entry.key()] = entry.value();
      }
    } else if (section.name().rfind("jobs/", 0) == 0) {
      for (auto& job : content.as_array()) {
        jobs.push_back(job);
      }
    } else {
      root[section.name()] = content;
    }
  }
  root["jobs"] = jobs;
  return json::serialize(root);
}

std::string HashContent(std::string_view content) {
  const XXH128_hash_t hash = XXH3_128bits(content.data(), content.size());
  char text[33];
  std::snprintf(text, sizeof text, "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return text;
}

std::vector<std::string> DifferingSections(const wire::manifest_root& left,
                                           const wire::manifest_root& right) {
  std::map<std::string, std::string> hashes;
  for (const auto& section : left.sections()) {
    hashes[section.name()] = section.hash();
  }
  std::vector<std::string> differing;
  for (const auto& section : right.sections()) {
    const auto known = hashes.find(section.name());
    if (known == hashes.end() || known->second != section.hash()) {
      differing.push_back(section.name());
    }
    if (known != hashes.end()) {
      hashes.erase(known);
    }
  }
  for (const auto& [name, hash] : hashes) {
    differing.push_back(name);
  }
  return differing;
}

std::string HomeCell(const std::string& key,
                     const std::vector<std::string>& cells) {
  std::string home;
  std::uint64_t highest = 0;
  for (const std::string& cell : cells) {
    std::string text = cell;
    text += "\n";
    text += key;
    const std::uint64_t weight = XXH64(text.data(), text.size(), 0);
    if (home.empty() || weight > highest) {
      home = cell;
      highest = weight;
    }
  }
  return home;
}

}  // namespace chervilkeel
