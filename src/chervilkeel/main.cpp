// chervilkeel, the operators' command-line tool.
//
// It commits manifests and reads reports; no verb changes anything else.
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <boost/json.hpp>

#include "chervilkeel/http_client.h"
#include "chervilkeel/manifest.h"
#include "chervilkeel/percent_encoding.h"
#include "chervilkeel/version.h"
#include "print_reports.h"

namespace chervilkeel {

namespace {

namespace json = boost::json;

// The exit codes, as the help text lists them.
enum exit_code {
  kExitDone = 0,
  kExitFailed = 1,
  kExitBadInput = 2,
  kExitConflict = 3,
  kExitUnreachable = 4,
  kExitUnknown = 5,
};

constexpr millis kCallTimeout = 15'000;

struct command_options {
  std::vector<std::string> entries = {"127.0.0.1:7201"};
  std::string process;
  std::string file;
  std::string author;
  std::string note;
  std::string subject;
  std::uint64_t base_version = 0;
  bool rebase = false;
  bool as_json = false;
};

result<std::string> ReadFile(const std::string& path) {
  std::stringstream text;
  if (path == "-") {
    text << std::cin.rdbuf();
    return text.str();
  }
  std::ifstream file(path);
  if (!file) {
    return Fail(error_code::kNotFound, path + " cannot be opened");
  }
  text << file.rdbuf();
  return text.str();
}

std::string UniqueOperation() {
  std::random_device random;
  char name[40];
  std::snprintf(name, sizeof name, "cli-%08x%08x", random(), random());
  return name;
}

std::string DefaultAuthor() {
  const char* user = std::getenv("USER");
  return user ? user : "unknown";
}

int ExitCodeOf(const error& failure) {
  std::fprintf(stderr, "chervilkeel: %s\n", ToString(failure).c_str());
  switch (failure.code) {
    case error_code::kInvalid:
    case error_code::kNotFound:
      return kExitBadInput;
    case error_code::kConflict:
      return kExitConflict;
    case error_code::kUnavailable:
      return kExitUnreachable;
    case error_code::kUnknown:
      return kExitUnknown;
  }
  return kExitFailed;
}

// Asks the entries in turn until one answers. A call that may have taken
// effect is repeated elsewhere too: every call either only reads or carries an
// operation that takes effect once.
result<http_response> Ask(const command_options& options,
                          const http_call& call) {
  error last{error_code::kUnavailable, "no entry is named"};
  for (const std::string& entry : options.entries) {
    endpoint peer;
    if (!ParseEndpoint(entry, peer)) {
      return Fail(error_code::kInvalid, "--entry " + entry + " is not IP:PORT");
    }
    http_client client(peer);
    auto response = client.Call(call, kCallTimeout);
    const bool gone = response && (response.value().status == 503 ||
                                   response.value().status == 504);
    if (response && !gone) {
      return response;
    }
    if (response) {
      last = {response.value().status == 503 ? error_code::kUnavailable
                                             : error_code::kUnknown,
              entry + ": " + response.value().body};
    } else {
      last = response.error();
    }
  }
  return boost::outcome_v2::failure(last);
}

// Gets a report and prints it: as it came, or in words by `print`.
template <class printer_type>
int Report(const command_options& options,
           const std::string& target,
           printer_type print) {
  http_call call;
  call.method = "GET";
  call.target = target;
  const auto response = Ask(options, call);
  if (!response) {
    return ExitCodeOf(response.error());
  }
  const std::string& body = response.value().body;
  if (response.value().status != 200) {
    std::fprintf(stderr, "chervilkeel: %s", body.c_str());
    return response.value().status == 404 ? kExitBadInput : kExitFailed;
  }
  if (options.as_json) {
    std::printf("%s\n", body.c_str());
    return kExitDone;
  }
  try {
    print(json::parse(body).as_object());
  } catch (const std::exception& failure) {
    std::fprintf(stderr, "chervilkeel: the report %s cannot be read: %s\n",
                 target.c_str(), failure.what());
    return kExitFailed;
  }
  return kExitDone;
}

void PrintFindings(const std::string& file, const findings& found) {
  std::fputs(ToText(found, file + ": ").c_str(), stderr);
  std::fprintf(stderr, "%zu finding%s; nothing was changed\n", found.size(),
               found.size() == 1 ? "" : "s");
}

int CheckManifest(const command_options& options) {
  const auto text = ReadFile(options.file);
  if (!text) {
    return ExitCodeOf(text.error());
  }
  const manifest_reading reading = ReadManifest(text.value());
  if (options.as_json) {
    json::array list;
    for (const finding& entry : reading.found) {
      list.push_back(
          json::object{{"place", entry.place}, {"message", entry.message}});
    }
    std::printf(
        "%s\n",
        json::serialize(json::object{{"findings", std::move(list)}}).c_str());
  } else if (reading.found.empty()) {
    std::printf("%s: no findings; %zu services, %zu jobs, %zu teams\n",
                options.file.c_str(), reading.value.services.size(),
                reading.value.jobs.size(), reading.value.teams.size());
  } else {
    PrintFindings(options.file, reading.found);
  }
  return reading.found.empty() ? kExitDone : kExitBadInput;
}

int CommitManifest(const command_options& options) {
  const auto text = ReadFile(options.file);
  if (!text) {
    return ExitCodeOf(text.error());
  }
  const manifest_reading reading = ReadManifest(text.value());
  if (!reading.found.empty()) {
    PrintFindings(options.file, reading.found);
    return kExitBadInput;
  }
  const std::string operation = UniqueOperation();
  http_call call;
  call.target = "/v1/manifest";
  call.body = json::serialize(json::object{
      {"text", text.value()},
      {"author", options.author.empty() ? DefaultAuthor() : options.author},
      {"note", options.note},
      {"operation", operation},
      {"base_version", options.base_version},
      {"rebase", options.rebase}});
  const auto response = Ask(options, call);
  if (!response) {
    const int code = ExitCodeOf(response.error());
    if (code == kExitUnknown || code == kExitUnreachable) {
      std::fprintf(stderr,
                   "The commit may have taken effect as operation %s; "
                   "\"chervilkeel manifest history\" tells.\n",
                   operation.c_str());
      return kExitUnknown;
    }
    return code;
  }
  if (options.as_json) {
    std::printf("%s", response.value().body.c_str());
  } else {
    PrintCommit(response.value().status, response.value().body);
  }
  switch (response.value().status) {
    case 200:
      return kExitDone;
    case 409:
      return kExitConflict;
    case 400:
    case 413:
    case 422:
      return kExitBadInput;
    default:
      return kExitFailed;
  }
}

int DumpOfProcess(command_options options) {
  if (!options.process.empty()) {
    options.entries = {options.process};
  }
  options.as_json = true;
  return Report(options, "/dump", [](const json::object&) {});
}

void AddReports(CLI::App& app, command_options& options, int& code) {
  app.add_subcommand("status", "Show upstreams, workers, cells and repairs")
      ->callback([&] { code = Report(options, "/v1/status", PrintStatus); });
  app.add_subcommand("jobs", "Show every job and how far it is")->callback([&] {
    code = Report(options, "/v1/jobs", PrintJobs);
  });
  auto* explain = app.add_subcommand(
      "explain", "Show every decision about a job, task, request or agent");
  explain->add_option("subject", options.subject, "A name, like JOB@1/3")
      ->required();
  explain->callback([&] {
    code = Report(options,
                  "/v1/explain?subject=" + PercentEncoded(options.subject),
                  PrintExplanation);
  });
  auto* dump = app.add_subcommand("dump", "Show the whole state of a process");
  dump->add_option("--process", options.process,
                   "IP:PORT of its HTTP port; the entry when absent");
  dump->callback([&] { code = DumpOfProcess(options); });
}

void AddManifestVerbs(CLI::App& app, command_options& options, int& code) {
  auto* verbs = app.add_subcommand("manifest", "Check, commit, show manifests");
  verbs->require_subcommand(1);
  auto* check = verbs->add_subcommand("check", "Check a file; change nothing");
  check->add_option("file", options.file, "The manifest, or -")->required();
  check->callback([&] { code = CheckManifest(options); });
  auto* commit = verbs->add_subcommand("commit", "Put a manifest in force");
  commit->add_option("file", options.file, "The manifest, or -")->required();
  commit->add_option("--author", options.author, "Who commits");
  commit->add_option("--note", options.note, "Why");
  commit->add_option("--base", options.base_version,
                     "The version that the file was made from");
  commit->add_flag("--rebase", options.rebase,
                   "Keep others' changes since --base in other sections");
  commit->callback([&] { code = CommitManifest(options); });
  verbs->add_subcommand("show", "Show the manifest in force")->callback([&] {
    code = Report(options, "/v1/manifest", PrintManifest);
  });
  verbs->add_subcommand("history", "List the latest versions")->callback([&] {
    code = Report(options, "/v1/manifest/history", PrintHistory);
  });
}

int Main(int argc, char** argv) {
  CLI::App app(
      "chervilkeel, the operators' tool.\n"
      "Exit codes: 0 done, 1 failed, 2 bad input, 3 conflict with another "
      "commit, 4 no entry or store reachable, 5 outcome unknown.");
  command_options options;
  int code = kExitDone;
  app.add_option("--entry", options.entries,
                 "IP:PORT of an entry's HTTP port; more than one may be given")
      ->take_all();
  app.add_flag("--json", options.as_json, "Print the report as JSON");
  app.set_version_flag("--version", kVersion);
  app.require_subcommand(1);
  app.fallthrough();
  AddManifestVerbs(app, options, code);
  AddReports(app, options, code);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& failure) {
    return app.exit(failure) == 0 ? kExitDone : kExitBadInput;
  }
  return code;
}

}  // namespace

}  // namespace chervilkeel

int main(int argc, char** argv) {
  return chervilkeel::Main(argc, argv);
}
