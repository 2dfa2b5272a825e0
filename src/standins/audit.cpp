// Holds the ledgers of the stand-ins against the promises. It knows nothing of
// chervilkeel's insides: only what ran where and when, and what each client was
// told. Prints one line a promise; exit 1 if any is broken.
#include <algorithm>
#include <cstdio>
#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <boost/json.hpp>

namespace chervilkeel {

namespace {

namespace json = boost::json;

constexpr double kProgressSlackMs = 1.0;  // Checkpoints are whole milliseconds.

struct run {
  std::string task;  // Without the attempt.
  std::string attempt;
  std::int64_t worker = 0;
  std::int64_t from = 0;
  std::int64_t until = 0;  // 0 while it runs.
  double progress_from = 0;
  double progress_until = 0;
  std::string end;
};

json::object ReadObject(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return json::parse(text.str()).as_object();
}

std::string Text(const json::object& object, const char* key) {
  return std::string(object.at(key).as_string());
}

class audit {
 public:
  explicit audit(const json::object& ledger) : ledger_(ledger) {
    for (const json::value& value : ledger.at("runs").as_array()) {
      const json::object& entry = value.as_object();
      run record;
      const std::string name = Text(entry, "task");
      record.task = name.substr(0, name.rfind('#'));
      record.attempt = name;
      record.worker = entry.at("worker").to_number<std::int64_t>();
      record.from = entry.at("from").to_number<std::int64_t>();
      record.until = entry.at("until").to_number<std::int64_t>();
      record.progress_from = entry.at("progress_from").to_number<double>();
      record.progress_until = entry.at("progress_until").to_number<double>();
      record.end = Text(entry, "end");
      by_task_[record.task].push_back(record);
    }
    for (auto& [task, runs] : by_task_) {
      std::stable_sort(runs.begin(), runs.end(),
                       [](const run& left, const run& right) {
                         return left.from < right.from;
                       });
    }
  }

  bool Passed() const { return passed_; }

  // Nothing was over its size, by the stand-ins' own count.
  void CheckSizes() {
    std::vector<std::string> broken;
    for (const json::value& entry : ledger_.at("violations").as_array()) {
      broken.emplace_back(entry.as_string());
    }
    Say("no worker or executor was given more than it holds", broken);
  }

  // No task ran in two places at once.
  void CheckOnePlace() {
    std::vector<std::string> broken;
    for (const auto& [task, runs] : by_task_) {
      for (std::size_t i = 1; i < runs.size(); ++i) {
        const run& earlier = runs[i - 1];
        if (earlier.until == 0 || earlier.until > runs[i].from) {
          broken.push_back(task + " ran on worker " +
                           std::to_string(earlier.worker) + " and " +
                           std::to_string(runs[i].worker));
        }
      }
    }
    Say("no task ran in two places at once", broken);
  }

  // No attempt started twice, and each run resumed from what an earlier run
  // had reached, never from beyond it.
  void CheckResumes() {
    std::vector<std::string> broken;
    std::size_t resumed = 0;
    for (const auto& [task, runs] : by_task_) {
      std::set<std::string> attempts;
      double reached = 0;
      for (const run& record : runs) {
        if (!attempts.insert(record.attempt).second) {
          broken.push_back(record.attempt + " started twice");
        }
        if (record.progress_from > reached + kProgressSlackMs) {
          broken.push_back(record.attempt + " resumed beyond what was reached");
        }
        resumed += record.progress_from > 0 ? 1 : 0;
        reached = std::max(reached, record.progress_until);
      }
    }
    Say("each resume happened once, from a point that was reached (" +
            std::to_string(resumed) + " resumes)",
        broken);
  }

  // No task finished twice; with `names`, each of them finished.
  void CheckFinished(const std::vector<std::string>& names) {
    std::vector<std::string> broken;
    std::size_t finished = 0;
    for (const auto& [task, runs] : by_task_) {
      const auto times = std::count_if(
          runs.begin(), runs.end(),
          [](const run& record) { return record.end == "finished"; });
      finished += times > 0 ? 1 : 0;
      if (times > 1) {
        broken.push_back(task + " finished " + std::to_string(times) +
                         " times");
      }
    }
    for (const std::string& expected : names) {
      const std::string job = expected.substr(0, expected.rfind(':'));
      const auto count = std::stoul(expected.substr(expected.rfind(':') + 1));
      const auto done = std::count_if(
          by_task_.begin(), by_task_.end(), [&](const auto& entry) {
            const auto& [task, runs] = entry;
            return task.rfind(job + "/", 0) == 0 &&
                   std::any_of(runs.begin(), runs.end(), [](const run& record) {
                     return record.end == "finished";
                   });
          });
      if (static_cast<std::size_t>(done) != count) {
        broken.push_back(job + " has " + std::to_string(done) + " of " +
                         std::to_string(count) + " tasks finished");
      }
    }
    Say("every task finished exactly as often as it should (" +
            std::to_string(finished) + " finished)",
        broken);
  }

  // What clients were told is true.
  void CheckClients(const json::object& clients) {
    std::map<std::string, int> ran;  // Request, without the attempt.
    for (const json::value& value : ledger_.at("requests").as_array()) {
      const std::string id = Text(value.as_object(), "id");
      ++ran[id.substr(0, id.rfind('.'))];
    }
    std::vector<std::string> not_whole;
    std::vector<std::string> untrue;
    std::vector<std::string> twice;
    std::map<std::string, int> runs_of_key;
    std::set<std::string> seen;
    for (const json::value& value : clients.at("requests").as_array()) {
      const json::object& entry = value.as_object();
      const std::string id = Text(entry, "request_id");
      const std::string outcome = Text(entry, "outcome");
      if (!entry.at("whole").as_bool()) {
        not_whole.push_back(Text(entry, "token"));
      }
      if (outcome == "not-run" && ran.count(id) != 0) {
        untrue.push_back(id);
      }
      const std::string key = Text(entry, "key");
      if (!key.empty() && !id.empty() && seen.insert(id).second) {
        runs_of_key[key] += ran.count(id) != 0 ? ran.at(id) : 0;
      }
    }
    for (const auto& [key, runs] : runs_of_key) {
      if (runs > 1) {
        twice.push_back(key + " ran " + std::to_string(runs) + " times");
      }
    }
    Say("each client got the whole answer to its own request", not_whole);
    Say("what was said not to have run did not run", untrue);
    Say("non-idempotent requests ran at most once (" +
            std::to_string(runs_of_key.size()) + " keys)",
        twice);
  }

 private:
  void Say(const std::string& promise, const std::vector<std::string>& broken) {
    constexpr std::size_t kMostExamples = 5;
    std::printf("  %-6s %s\n", broken.empty() ? "kept" : "BROKEN",
                promise.c_str());
    for (std::size_t i = 0; i < broken.size() && i < kMostExamples; ++i) {
      std::printf("         %s\n", broken[i].c_str());
    }
    if (broken.size() > kMostExamples) {
      std::printf("         and %zu more\n", broken.size() - kMostExamples);
    }
    passed_ = passed_ && broken.empty();
  }

  const json::object& ledger_;
  std::map<std::string, std::vector<run>> by_task_;
  bool passed_ = true;
};

}  // namespace

}  // namespace chervilkeel

int main(int argc, char** argv) {
  CLI::App app("Holds the stand-ins' ledgers against the promises.");
  std::string ledger_path;
  std::vector<std::string> client_paths;
  std::vector<std::string> finished;
  app.add_option("--ledger", ledger_path, "Of the workers")->required();
  app.add_option("--clients", client_paths, "Of the clients");
  app.add_option("--finished", finished, "JOB:TASKS that must have finished");
  CLI11_PARSE(app, argc, argv);
  try {
    const auto ledger = chervilkeel::ReadObject(ledger_path);
    chervilkeel::audit audit(ledger);
    audit.CheckSizes();
    audit.CheckOnePlace();
    audit.CheckResumes();
    audit.CheckFinished(finished);
    for (const std::string& path : client_paths) {
      audit.CheckClients(chervilkeel::ReadObject(path));
    }
    return audit.Passed() ? 0 : 1;
  } catch (const std::exception& failure) {
    std::fprintf(stderr, "audit: %s\n", failure.what());
    return 2;
  }
}
