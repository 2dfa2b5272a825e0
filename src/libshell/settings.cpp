#include "chervilkeel/settings.h"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <set>
#include <sstream>

#include <ini.h>
#include <boost/asio/ip/address.hpp>

namespace chervilkeel {

namespace {

enum class needed_by {
  kAll,
  kBoth,
  kEntry,
  kAgent,
  kJobEntry,
  kJobAgent,
  kNobody
};

// One setting: where it stands, who has to set it, and how it is read. `read`
// returns what is wrong with the text, or nothing.
struct setting {
  const char* section;
  const char* key;
  needed_by needed;
  const char* unit;
  const char* meaning;
  std::function<std::string(process_settings&, const std::string&)> read;
  std::function<std::string(const process_settings&)> show;
};

bool ParseWhole(std::string_view text, std::uint64_t& out) {
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, out);
  return !text.empty() && parsed.ec == std::errc() && parsed.ptr == end;
}

setting Text(const char* section,
             const char* key,
             needed_by needed,
             std::string process_settings::*member,
             const char* meaning) {
  return {section,
          key,
          needed,
          "",
          meaning,
          [member](process_settings& out, const std::string& text) {
            out.*member = text;
            return text.empty() ? std::string("must not be empty")
                                : std::string();
          },
          [member](const process_settings& value) { return value.*member; }};
}

// A whole number from `low` to `high`; `kind` names it in a finding.
template <class number_type>
setting Whole(const char* section,
              const char* key,
              needed_by needed,
              number_type process_settings::*member,
              std::uint64_t low,
              std::uint64_t high,
              const char* kind,
              const char* unit,
              const char* meaning) {
  return {section,
          key,
          needed,
          unit,
          meaning,
          [=](process_settings& out, const std::string& text) {
            std::uint64_t number = 0;
            if (!ParseWhole(text, number) || number < low || number > high) {
              return std::string("must be a ") + kind + " from " +
                     std::to_string(low) + " to " + std::to_string(high);
            }
            out.*member = static_cast<number_type>(number);
            return std::string();
          },
          [member](const process_settings& value) {
            return std::to_string(value.*member);
          }};
}

setting Number(const char* section,
               const char* key,
               std::uint64_t process_settings::*member,
               std::uint64_t low,
               std::uint64_t high,
               const char* unit,
               const char* meaning) {
  return Whole(section, key, needed_by::kNobody, member, low, high,
               "whole number", unit, meaning);
}

// Whether a decimal number may be 0.
enum class decimal_range { kAboveZero, kFromZero };

// A decimal number of a range, at most `high`.
setting Decimal(const char* section,
                const char* key,
                double process_settings::*member,
                decimal_range range,
                double high,
                const char* unit,
                const char* meaning) {
  return {section,
          key,
          needed_by::kNobody,
          unit,
          meaning,
          [=](process_settings& out, const std::string& text) {
            const char* end = text.data() + text.size();
            const auto parsed = std::from_chars(text.data(), end, out.*member);
            const bool fits =
                parsed.ec == std::errc() && parsed.ptr == end &&
                out.*member <= high &&
                (out.*member > 0 ||
                 (range == decimal_range::kFromZero && out.*member == 0));
            std::ostringstream wrong;
            wrong << "must be a number "
                  << (range == decimal_range::kAboveZero ? "above 0" : "from 0")
                  << ", at most " << high;
            return fits ? std::string() : wrong.str();
          },
          [member](const process_settings& value) {
            std::ostringstream shown;
            shown << value.*member;
            return shown.str();
          }};
}

setting Port(const char* section,
             const char* key,
             needed_by needed,
             std::uint16_t process_settings::*member,
             const char* meaning) {
  return Whole(section, key, needed, member, 1, 65'535, "port", "port",
               meaning);
}

setting Endpoint(const char* section,
                 const char* key,
                 needed_by needed,
                 endpoint process_settings::*member,
                 const char* meaning) {
  return {section,
          key,
          needed,
          "IP:PORT",
          meaning,
          [member](process_settings& out, const std::string& text) {
            return ParseEndpoint(text, out.*member)
                       ? std::string()
                       : std::string(
                             "must be an IP number and a port, "
                             "like 127.0.0.1:7000");
          },
          [](const process_settings&) { return std::string(); }};
}

template <class table_type, class value_type>
setting Choice(const char* section,
               const char* key,
               needed_by needed,
               const table_type& table,
               value_type process_settings::*member,
               const char* meaning) {
  return {section,
          key,
          needed,
          "",
          meaning,
          [&table, member](process_settings& out, const std::string& text) {
            std::string names;
            for (const auto& [value, name] : table) {
              if (text == name) {
                out.*member = value;
                return std::string();
              }
              names += (names.empty() ? "" : " or ") + std::string(name);
            }
            return "must be " + names;
          },
          [&table, member](const process_settings& settings) {
            for (const auto& [value, name] : table) {
              if (value == settings.*member) {
                return std::string(name);
              }
            }
            return std::string();
          }};
}

std::string ReadAddress(process_settings& out, const std::string& text) {
  boost::system::error_code failure;
  boost::asio::ip::make_address(text, failure);
  out.address = text;
  return failure ? "must be an IP number" : "";
}

// Reads a list of endpoints; what is wrong with it, or nothing.
std::string ReadEndpoints(std::vector<endpoint>& out, const std::string& text) {
  std::stringstream parts(text);
  std::string part;
  while (std::getline(parts, part, ',')) {
    part.erase(0, part.find_first_not_of(' '));
    part.erase(part.find_last_not_of(' ') + 1);
    endpoint parsed;
    if (!ParseEndpoint(part, parsed)) {
      return "\"" + part + "\" must be an IP number and a port";
    }
    out.push_back(parsed);
  }
  return "";
}

std::string ReadEntries(process_settings& out, const std::string& text) {
  const std::string wrong = ReadEndpoints(out.entries, text);
  return wrong.empty() && out.entries.empty() ? "must name one or more entries"
                                              : wrong;
}

std::string ReadSeeds(process_settings& out, const std::string& text) {
  return ReadEndpoints(out.seeds, text);
}

std::string ReadLogLevel(process_settings& out, const std::string& text) {
  static const std::set<std::string> kLevels = {"debug", "info", "warn",
                                                "error"};
  out.log_level = text;
  return kLevels.count(text) != 0 ? "" : "must be debug, info, warn or error";
}

std::vector<setting> ProcessSettings() {
  using settings = process_settings;
  return {
      Choice("process", "role", needed_by::kAll, kRoleNames, &settings::role,
             "What the daemon does."),
      Text("process", "name", needed_by::kAll, &settings::name,
           "The process's name, unique in the fleet."),
      {"process", "address", needed_by::kAll, "IP",
       "The address that others reach this process at.", ReadAddress,
       [](const settings&) { return std::string(); }},
      Port("process", "rpc_port", needed_by::kAll, &settings::rpc_port,
           "gRPC between the processes."),
      Port("process", "http_port", needed_by::kAll, &settings::http_port,
           "Operators: reports, /metrics, /dump."),
      Text("process", "data_centre", needed_by::kAll, &settings::data_centre,
           "The data centre of this VM."),
      Text("process", "rack", needed_by::kNobody, &settings::rack,
           "The rack of this VM."),
      Decimal("process", "processors", &settings::processors,
              decimal_range::kAboveZero, 1'024, "cores",
              "What this process may use; entries with more own the jobs."),
      Number("process", "memory_mb", &settings::memory_mb, 0, 10'000'000, "MB",
             "The memory of this VM; 0: not told."),
      Number("process", "threads", &settings::threads, 1, 64, "threads",
             "The pool that serves HTTP."),
      {"process", "entries", needed_by::kAgent, "IP:PORT, ...",
       "gRPC endpoints of entries, asked when the store is down.", ReadEntries,
       [](const settings&) { return std::string(); }},
      {"log", "level", needed_by::kNobody, "", "debug, info, warn or error.",
       ReadLogLevel, [](const settings& value) { return value.log_level; }},
  };
}

std::vector<setting> PlatformSettings() {
  using settings = process_settings;
  return {
      Text("store", "kind", needed_by::kNobody, &settings::store_kind,
           "The plug-in that speaks to the store."),
      Endpoint("store", "endpoint", needed_by::kAll, &settings::store,
               "The platform's key-value store."),
      Number("store", "timeout_ms", &settings::store_timeout, 50, 60'000, "ms",
             "Of one call."),
      Text("worker", "kind", needed_by::kNobody, &settings::worker_kind,
           "The plug-in that speaks to the worker platform."),
      Endpoint("worker", "endpoint", needed_by::kAgent, &settings::worker,
               "The platform's worker on this VM."),
      Endpoint("worker", "executor", needed_by::kAgent, &settings::executor,
               "The executor of this VM's upstream."),
      Number("worker", "slots", &settings::slots, 1, 1024, "slots",
             "Requests the executor runs at once."),
      Number("worker", "connections", &settings::connections, 1, 65'536,
             "connections", "Requests inside the agent at once."),
      Number("worker", "executor_memory_mb", &settings::executor_memory_mb, 0,
             10'000'000, "MB", "Kept from batch tasks for the executor."),
  };
}

std::vector<setting> RoleSettings() {
  using settings = process_settings;
  return {
      Port("entry", "client_port", needed_by::kEntry, &settings::client_port,
           "Where clients send requests."),
      Number("entry", "body_limit_bytes", &settings::body_limit, 1,
             64ULL << 20U, "bytes", "Largest body of a request or an answer."),
      Number("entry", "client_connections", &settings::client_connections, 1,
             100'000, "connections", "Clients connected at once."),
      Number("entry", "requests_in_flight", &settings::requests_in_flight, 1,
             100'000, "requests", "Requests inside the entry at once."),
      Number("entry", "leave_notice_ms", &settings::leave_notice, 0, 600'000,
             "ms",
             "How long a leaving entry serves on while /healthz fails; longer "
             "than the balancer's check takes to notice."),
      Text("agent", "cell", needed_by::kAgent, &settings::cell,
           "The cell that this worker belongs to."),
      Choice("policy", "lean", needed_by::kNobody, kLeanNames, &settings::lean,
             "What weighs more: batch throughput or tail latency."),
      Number("policy", "tenure_ms", &settings::tenure, 1'000, 600'000, "ms",
             "An agent's right to run, from one heartbeat."),
      Number("policy", "hold_ms", &settings::hold, 1'000, 86'400'000, "ms",
             "The right to run while the store is down."),
      Number("policy", "heartbeat_ms", &settings::heartbeat, 50, 10'000, "ms",
             "Between heartbeats, and between looks at a roster."),
      Number("policy", "worker_interval_ms", &settings::worker_interval, 20,
             5'000, "ms", "Between control steps on a worker."),
      Number("policy", "commit_interval_ms", &settings::commit_interval, 10,
             10'000, "ms", "Least time between two journal writes of a cell."),
      Number("policy", "owner_lease_ms", &settings::owner_lease, 1'000, 60'000,
             "ms", "The lease by which an agent owns a cell."),
      Number("policy", "drain_limit_ms", &settings::drain_limit, 1'000, 600'000,
             "ms", "How long a graceful shutdown may take."),
  };
}

std::vector<setting> HttpSettings() {
  using settings = process_settings;
  return {
      Number("http", "budget_mb", &settings::http_budget_mb, 0, 1'000'000, "MB",
             "What all connections may hold; 0: a quarter of [process] "
             "memory_mb, or 1024 if that is not told."),
      Number("http", "connections", &settings::http_connections, 0, 1'000'000,
             "connections",
             "Of all listeners; 0: the descriptors without those kept for the "
             "store, peers and agents."),
      Number("http", "header_bytes", &settings::http_header_bytes, 1'024,
             1U << 20U, "bytes", "Largest header of a request."),
      Number("http", "header_fields", &settings::http_header_fields, 16, 10'000,
             "fields", "Most fields of a header."),
      Number("http", "header_ms", &settings::http_header_time, 100, 600'000,
             "ms",
             "From the first byte of a request to the end of its header."),
      Number("http", "grace_ms", &settings::http_grace, 100, 600'000, "ms",
             "What a body or an answer may take beyond the least rate."),
      Number("http", "bytes_per_s", &settings::http_bytes_per_s, 1, 1U << 30U,
             "bytes/s", "Least rate of sending a body and reading an answer."),
      Number("http", "json_depth", &settings::http_json_depth, 4, 32, "levels",
             "Deepest nesting of what callers and executors send."),
      Number("http", "json_values", &settings::http_json_values, 100,
             100'000'000, "values", "Most values in it."),
  };
}

std::vector<setting> JobSettings() {
  using settings = process_settings;
  return {
      Text("jobs", "adapter", needed_by::kNobody, &settings::adapter_kind,
           "The plug-in that speaks to the platform."),
      Endpoint("jobs", "front", needed_by::kJobEntry, &settings::job_front,
               "Where callers submit jobs."),
      Endpoint("jobs", "readiness", needed_by::kJobEntry,
               &settings::job_readiness, "Where the balancer asks."),
      Endpoint("jobs", "announcements", needed_by::kJobAgent,
               &settings::announcements, "Where the executor reports."),
      Endpoint("jobs", "executor", needed_by::kJobAgent,
               &settings::job_executor, "The executor of this VM."),
      {"jobs", "seeds", needed_by::kNobody, "IP:PORT, ...",
       "VMs to ask for the owner when the store is down; the gRPC port is "
       "this process's own.",
       ReadSeeds, [](const settings&) { return std::string(); }},
      Number("jobs", "longest_lease_ms", &settings::longest_lease, 500, 60'000,
             "ms", "The longest lease that an executor grants its runs."),
      Number(
          "jobs", "grant_ms", &settings::grant, 500, 60'000, "ms",
          "How long an agent keeps runs alive after the owner's last word, at "
          "most the longest lease."),
      Number("jobs", "owner_ttl_ms", &settings::owner_ttl, 1'000, 60'000, "ms",
             "The lease in the store by which an entry owns the jobs."),
      Number("jobs", "outage_grant_ms", &settings::outage_grant, 0, 3'600'000,
             "ms",
             "How long the owner keeps runs alive in an outage of the store, "
             "and how long an owner that it did not list waits for most agents "
             "to report."),
      Number("jobs", "retention_s", &settings::job_retention, 1, 86'400, "s",
             "How long ended jobs are remembered."),
      Number("jobs", "shutdown_ms", &settings::shutdown_time, 100, 600'000,
             "ms", "From SIGTERM until an entry takes no more requests."),
      Number("jobs", "answer_ms", &settings::answer_time, 0, 600'000, "ms",
             "From then until the requests that it has taken are answered. The "
             "platform has to wait for both times before it kills a process."),
      Number("jobs", "commit_interval_ms", &settings::job_commit_interval, 1,
             10'000, "ms", "Least time between two commits of progress."),
      Number("jobs", "evacuation_ms", &settings::evacuation_time, 0, 600'000,
             "ms",
             "Within this time of an operator's request to evacuate a data "
             "centre no task is started there any more; 0: such requests are "
             "not followed."),
      Number(
          "jobs", "stop_ms", &settings::stop_time, 0, 600'000, "ms",
          "The longest stop of a run by its executor; 0: not known. Moves of "
          "throttled batch tasks are weighed against their cost if this and "
          "the next two are known."),
      Number("jobs", "restore_ms", &settings::restore_time, 0, 600'000, "ms",
             "How long a run takes to go on from a checkpoint; 0: not known."),
      Decimal("jobs", "checkpoint_s", &settings::checkpoint_interval,
              decimal_range::kFromZero, 3'600, "s",
              "Between two checkpoints of a run; 0: not known."),
      Number("jobs", "lookahead_ms", &settings::lookahead_time, 0, 600'000,
             "ms",
             "How long a large task waits before a worker is reserved for it; "
             "0: none ever is."),
  };
}

const std::vector<setting>& Table() {
  static const std::vector<setting> kTable = [] {
    std::vector<setting> all = ProcessSettings();
    for (auto part :
         {PlatformSettings(), RoleSettings(), HttpSettings(), JobSettings()}) {
      all.insert(all.end(), part.begin(), part.end());
    }
    return all;
  }();
  return kTable;
}

// Feeds inih line by line, so that each value's line is known.
struct ini_input {
  std::istringstream stream;
  int line = 0;
  settings_reading* reading = nullptr;
  std::map<std::string, int> seen;
};

char* ReadLine(char* buffer, int size, void* opaque) {
  auto* input = static_cast<ini_input*>(opaque);
  std::string line;
  if (!std::getline(input->stream, line)) {
    return nullptr;
  }
  ++input->line;
  line = line.substr(0, static_cast<std::size_t>(size) - 2) + "\n";
  std::memcpy(buffer, line.c_str(), line.size() + 1);
  return buffer;
}

std::string PlaceOfLine(int line) {
  return "line " + std::to_string(line);
}

int TakeValue(void* opaque,
              const char* section,
              const char* key,
              const char* value) {
  auto* input = static_cast<ini_input*>(opaque);
  findings& found = input->reading->found;
  const std::string place = PlaceOfLine(input->line);
  const std::string name = "[" + std::string(section) + "] " + key;
  const auto known =
      std::find_if(Table().begin(), Table().end(), [&](const setting& entry) {
        return std::strcmp(entry.section, section) == 0 &&
               std::strcmp(entry.key, key) == 0;
      });
  if (known == Table().end()) {
    found.push_back({place, name + " is not a known setting"});
    return 1;
  }
  const auto [first, added] = input->seen.emplace(name, input->line);
  if (!added) {
    found.push_back({place, name + " is already set on line " +
                                std::to_string(first->second)});
    return 1;
  }
  const std::string wrong = known->read(input->reading->value, value);
  if (!wrong.empty()) {
    found.push_back({place, name + " " + wrong});
  }
  return 1;
}

bool IsNeeded(needed_by needed, process_role role) {
  switch (needed) {
    case needed_by::kAll:
      return true;
    case needed_by::kBoth:
      return role == process_role::kEntry || role == process_role::kAgent;
    case needed_by::kEntry:
      return role == process_role::kEntry;
    case needed_by::kAgent:
      return role == process_role::kAgent;
    case needed_by::kJobEntry:
      return role == process_role::kJobEntry;
    case needed_by::kJobAgent:
      return role == process_role::kJobAgent;
    case needed_by::kNobody:
      return false;
  }
  return false;
}

}  // namespace

bool ParseEndpoint(std::string_view text, endpoint& out) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  std::uint64_t port = 0;
  boost::system::error_code failure;
  const std::string address(text.substr(0, colon));
  boost::asio::ip::make_address(address, failure);
  if (failure || !ParseWhole(text.substr(colon + 1), port) || port < 1 ||
      port > 65535) {
    return false;
  }
  out = {address, static_cast<std::uint16_t>(port)};
  return true;
}

settings_reading ReadSettings(std::string_view text) {
  settings_reading reading;
  ini_input input;
  input.stream.str(std::string(text));
  input.reading = &reading;
  const int bad_line = ini_parse_stream(ReadLine, &input, TakeValue, &input);
  if (bad_line > 0) {
    reading.found.push_back(
        {PlaceOfLine(bad_line), "is neither a [section] nor KEY = VALUE"});
  }
  for (const setting& entry : Table()) {
    const std::string name =
        "[" + std::string(entry.section) + "] " + entry.key;
    if (IsNeeded(entry.needed, reading.value.role) &&
        input.seen.count(name) == 0) {
      reading.found.push_back({"end of file", name + " is missing"});
    }
  }
  return reading;
}

settings_reading ReadSettingsFile(const std::string& path,
                                  const setting_overrides& overrides) {
  std::ifstream file(path);
  if (!file) {
    settings_reading reading;
    reading.found.push_back({path, "cannot be opened"});
    return reading;
  }
  std::stringstream text;
  text << file.rdbuf() << "\n";
  findings malformed;
  for (const std::string& entry : overrides) {
    const auto equals = entry.find('=');
    const auto dot = entry.substr(0, equals).find('.');
    if (equals == std::string::npos || dot == std::string::npos) {
      malformed.push_back({entry, "is not SECTION.KEY=VALUE"});
    } else if (equals + 1 < entry.size()) {
      text << "[" << entry.substr(0, dot) << "]\n"
           << entry.substr(dot + 1, equals - dot - 1) << " = "
           << entry.substr(equals + 1) << "\n";
    }
  }
  settings_reading reading = ReadSettings(text.str());
  reading.found.insert(reading.found.end(), malformed.begin(), malformed.end());
  return reading;
}

std::vector<setting_description> DescribeSettings() {
  const process_settings defaults;
  std::vector<setting_description> described;
  for (const setting& entry : Table()) {
    described.push_back({entry.section, entry.key, entry.unit,
                         entry.needed == needed_by::kNobody
                             ? entry.show(defaults)
                             : "(must be set)",
                         entry.meaning});
  }
  return described;
}

}  // namespace chervilkeel
