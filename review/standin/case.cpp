// Plays one case of the review: starts the store, executors, entries and agents
// on loopback, submits jobs, brings the disruption about and judges what clients
// and executors have seen.
//
//   case NAME FOLDER    with TROUBLE=0 in the environment: without the disruption
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <cstdlib>
#include <fstream>
#include <optional>

#include "platform.h"

namespace review {

constexpr int kEntries = 3;
constexpr int kAgents = 11;
constexpr const char* kHost = "jobs.example";

// A process of the project.
struct process {
  std::string name;
  std::string settings;
  pid_t id = 0;
};

class fleet {
 public:
  fleet(record& log, std::string folder)
      : log_(log), folder_(std::move(folder)), shared_(log) {}

  world& World() { return shared_; }

  bool Start(int max_attempts) {
    if (!FindPorts()) {
      log_.Line("no free ports");
      return false;
    }
    store_ = std::make_unique<store>(address{"127.0.0.1", base_});
    if (!store_->Start()) {
      return false;
    }
    json::array routes;
    for (const int priority : {0, 2}) {
      routes.push_back(json::object{{"name", priority == 0 ? "r-one" : "r-two"},
                                    {"host", kHost},
                                    {"prefix", priority == 0 ? "/one/" : "/two/"},
                                    {"kind", "unsafe"},
                                    {"timeout_ms", 3000},
                                    {"latency_target_ms", 1000},
                                    {"priority", priority},
                                    {"service", "cutting"},
                                    {"max_attempts", max_attempts},
                                    {"stretch", 2.0}});
    }
    store_->Put("op/config",
                json::serialize(json::object{
                    {"version", 7},
                    {"routes", std::move(routes)},
                    {"services",
                     json::array{json::object{{"name", "cutting"},
                                              {"rejects_overload", true}}}},
                    {"limits", json::object{{"max_body_bytes", 262144}}}}));
    for (int i = 0; i < kAgents; ++i) {
      shared_.executors.push_back(std::make_unique<executor>(
          shared_, i, App(i), Control(i),
          json::object{{"cpu", 16000}, {"mem_mb", 62500}, {"gpu", 0}}));
    }
    for (int i = 0; i < kEntries; ++i) {
      StartEntry(i);
    }
    for (int i = 0; i < kAgents; ++i) {
      StartAgent(i);
    }
    for (const auto& entry : shared_.executors) {
      if (!entry->Boot()) {
        return false;
      }
    }
    ticker_ = std::thread([this] {
      while (!stopping_) {
        {
          const std::lock_guard lock(shared_.mutex);
          for (const auto& entry : shared_.executors) {
            entry->Tick();
          }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
      }
    });
    return AwaitReady();
  }

  void Stop() {
    if (stopping_.exchange(true)) {
      return;
    }
    if (ticker_.joinable()) {
      ticker_.join();
    }
    for (const int signal : {SIGTERM, SIGKILL}) {
      for (const process& entry : processes_) {
        if (entry.id > 0) {
          kill(entry.id, signal);
        }
      }
      const std::int64_t until = Now() + 4000;
      for (process& entry : processes_) {
        while (entry.id > 0 && Now() < until) {
          if (waitpid(entry.id, nullptr, WNOHANG) == entry.id) {
            entry.id = 0;
          } else {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
          }
        }
      }
    }
    for (const process& entry : processes_) {
      if (entry.id > 0) {
        waitpid(entry.id, nullptr, 0);
      }
    }
  }

  // Submits a job until it is accepted; returns whether it was.
  bool Submit(const std::string& id,
              const json::object& job,
              const std::string& prefix = "/one/") {
    const std::string body = json::serialize(job);
    for (int attempt = 0; attempt < 40; ++attempt) {
      const http_message answer =
          Call(Front(attempt % kEntries), "POST", prefix + id, body, 3000, kHost,
               "X-Deadline-Remaining: 3000\r\n");
      log_.Line("client: POST " + id + " -> " + std::to_string(answer.status) +
                " " + answer.body);
      if (answer.status / 100 == 2) {
        return true;
      }
      Sleep(250);
    }
    return false;
  }

  // Returns what a GET shows; empty if there was no answer of 200.
  std::string StateOf(const std::string& id,
                      const std::string& prefix = "/one/") {
    for (int attempt = 0; attempt < 6; ++attempt) {
      const http_message answer =
          Call(Front(attempt % kEntries), "GET", prefix + id, "", 3000, kHost,
               "X-Deadline-Remaining: 3000\r\n");
      if (answer.status == 200) {
        return std::string(json::parse(answer.body).at("state").as_string());
      }
      Sleep(200);
    }
    return "";
  }

  // Returns the pending jobs of a queue; -1 if there was no answer of 200.
  int Pending(const std::string& prefix) {
    const http_message answer = Call(Front(0), "GET", prefix, "", 3000, kHost,
                                     "X-Deadline-Remaining: 3000\r\n");
    return answer.status == 200
               ? json::parse(answer.body).at("pending").to_number<int>()
               : -1;
  }

  static void Sleep(std::int64_t time) {
    std::this_thread::sleep_for(std::chrono::milliseconds(time));
  }

 private:
  address Front(int i) const { return {"127.0.1." + std::to_string(i + 1), base_ + 1}; }
  address Ready(int i) const { return {"127.0.1." + std::to_string(i + 1), base_ + 2}; }
  address App(int i) const { return {"127.0.2." + std::to_string(i + 1), base_ + 5}; }
  address Control(int i) const { return {"127.0.2." + std::to_string(i + 1), base_ + 6}; }

  static bool IsFree(const address& at) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in where = SocketAddress(at);
    const bool free = bind(fd, reinterpret_cast<const sockaddr*>(&where),
                           sizeof(where)) == 0;
    close(fd);
    return free;
  }

  bool FindPorts() {
    for (int attempt = 0; attempt < 50; ++attempt) {
      base_ = 20000 + (getpid() * 37 + attempt * 211) % 10000;
      bool free = true;
      for (int port = base_; port < base_ + 8 && free; ++port) {
        free = IsFree({"127.0.0.1", port});
        for (int i = 0; i < kAgents && free; ++i) {
          free = IsFree({"127.0.2." + std::to_string(i + 1), port});
        }
        for (int i = 0; i < kEntries && free; ++i) {
          free = IsFree({"127.0.1." + std::to_string(i + 1), port});
        }
      }
      if (free) {
        return true;
      }
    }
    return false;
  }

  std::string Seeds() const {
    std::string text;
    for (int i = 0; i < kEntries; ++i) {
      text += (i == 0 ? "" : ",") + std::string("127.0.1.") +
              std::to_string(i + 1) + ":" + std::to_string(base_ + 7);
    }
    return text;
  }

  std::string Common(const std::string& role,
                     const std::string& name,
                     const std::string& ip) const {
    return "[process]\nrole = " + role + "\nname = " + name + "\naddress = " + ip +
           "\nrpc_port = " + std::to_string(base_ + 3) +
           "\nhttp_port = " + std::to_string(base_ + 4) + "\ndata_centre = a\n";
  }

  // The settings are those that the templates in platform/ give.
  void StartEntry(int i) {
    const std::string name = "front-a-" + std::to_string(i + 1);
    Launch(name, Common("job_entry", name, Front(i).ip) +
                     "processors = 0.25\n[store]\nendpoint = 127.0.0.1:" +
                     std::to_string(base_) + "\n[jobs]\nadapter = platform\nfront = " +
                     Front(i).Text() + "\nreadiness = " + Ready(i).Text() +
                     "\nseeds = " + Seeds() + "\nlongest_lease_ms = 6000\n");
  }

  void StartAgent(int i) {
    const std::string name = "side-a-" + std::to_string(i + 1);
    Launch(name, Common("job_agent", name, App(i).ip) +
                     "[store]\nendpoint = 127.0.0.1:" + std::to_string(base_) +
                     "\n[jobs]\nadapter = platform\nannouncements = " +
                     Control(i).Text() + "\nexecutor = " + App(i).Text() +
                     "\nseeds = " + Seeds() + "\nlongest_lease_ms = 6000\n");
  }

  void Launch(const std::string& name, const std::string& settings) {
    process entry;
    entry.name = name;
    entry.settings = folder_ + "/" + name + ".ini";
    std::ofstream(entry.settings) << settings;
    const std::string output = folder_ + "/" + name + ".log";
    entry.id = fork();
    if (entry.id == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // Ends with the case in any event.
      const int fd = open(output.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
      dup2(fd, 1);
      dup2(fd, 2);
      execl("target/src/chervilkeeld/chervilkeeld", "chervilkeeld", "--config",
            entry.settings.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    log_.Line("started " + name + ", process " + std::to_string(entry.id));
    processes_.push_back(entry);
  }

  bool AwaitReady() {
    const std::int64_t until = Now() + 20'000;
    for (int i = 0; i < kEntries; ++i) {
      while (Call(Ready(i), "GET", "/readiness", "", 500).status != 200) {
        if (Now() > until) {
          log_.Line("entry " + std::to_string(i) + " does not become ready");
          return false;
        }
        Sleep(100);
      }
    }
    Sleep(4000);  // Traffic starts some seconds after the machines.
    return true;
  }

  record& log_;
  const std::string folder_;
  world shared_;
  std::unique_ptr<store> store_;
  std::vector<process> processes_;
  std::thread ticker_;
  std::atomic<bool> stopping_{false};
  int base_ = 0;
};

// Jobs beside the odd ones: these are one in twenty, or fewer.
constexpr int kOthersBefore = 27;
constexpr int kOthersAfter = 30;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

std::vector<seen_run> RunsOf(world& shared, const std::string& task) {
  const std::lock_guard lock(shared.mutex);
  std::vector<seen_run> found;
  for (const auto& run : shared.runs) {
    if (run->task.rfind(task, 0) == 0) {
      found.push_back(*run);
    }
  }
  return found;
}

std::size_t CountOf(const std::vector<seen_run>& runs, const std::string& how) {
  std::size_t count = 0;
  for (const seen_run& run : runs) {
    count += run.how == how ? 1 : 0;
  }
  return count;
}

// Tasks that last and end by themselves, as `done`.
int PlayService(fleet& play, record& log, bool trouble) {
  world& shared = play.World();
  behaviour lasting;
  lasting.lasts = true;
  lasting.exits_after = trouble ? 4000 : 0;
  shared.behaviours["lasting"] = lasting;
  const std::string id = "5e0000000000000a";
  constexpr std::size_t kTasks = 3;
  if (!play.Submit(id, {{"spec", "lasting"},
                        {"steps", json::array{json::object{{"count", kTasks},
                                                           {"cpu", 1000},
                                                           {"mem_mb", 512},
                                                           {"estimate_ms", 1000},
                                                           {"long_running", true},
                                                           {"image", "web"}}}}})) {
    return kCannotRun;
  }
  std::int64_t last_end = 0;
  for (int waited = 0; waited < 100; ++waited) {
    fleet::Sleep(100);
    const auto runs = RunsOf(shared, id);
    if (trouble && CountOf(runs, "done") == kTasks) {
      for (const seen_run& run : runs) {
        last_end = std::max(last_end, run.ended);
      }
      break;
    }
  }
  if (trouble && last_end == 0) {
    return kCannotRun;
  }
  // A task that lasts is owed from 6 s after its last run; 3 s without it break
  // the rule.
  fleet::Sleep(11'000);
  const std::string state = play.StateOf(id);
  log.Line("client: GET " + id + " -> " + state);
  int missing = 0;
  for (std::size_t i = 0; i < kTasks; ++i) {
    const std::string task = id + ".0.0." + std::to_string(i);
    bool runs = false;
    {
      const std::lock_guard lock(shared.mutex);
      for (const auto& entry : shared.executors) {
        runs = runs || entry->Runs(task);
      }
    }
    log.Line(task + ": " + std::to_string(RunsOf(shared, task).size()) + " runs, " +
             (runs ? "at work" : "not running"));
    missing += runs ? 0 : 1;
  }
  if (missing > 0) {
    log.Line("LOST: " + std::to_string(missing) +
             " tasks that last do not run, more than 9 s after their last runs; "
             "nobody has cancelled the job, which is shown as " + state);
  }
  return missing > 0 ? kBroken : kHeld;
}

// A long task whose executors crash, each for 2 s.
int PlayCrashes(fleet& play, record& log, bool trouble) {
  world& shared = play.World();
  behaviour tracing;
  tracing.work = 20'000;
  shared.behaviours["long"] = tracing;
  const std::string id = "5e0000000000000b";
  if (!play.Submit(id, {{"spec", "long"},
                        {"steps", json::array{json::object{{"count", 1},
                                                           {"cpu", 2000},
                                                           {"mem_mb", 512},
                                                           {"estimate_ms", 20'000}}}}})) {
    return kCannotRun;
  }
  constexpr int kCrashes = 4;
  int crashes = 0;
  const std::int64_t until = Now() + 75'000;
  std::string state;
  while (Now() < until) {
    fleet::Sleep(100);
    executor* at = nullptr;
    for (const seen_run& run : RunsOf(shared, id)) {
      if (run.ended == 0 && Now() - run.started >= 3'000) {
        for (const auto& entry : shared.executors) {
          at = entry->Id() == run.executor ? entry.get() : at;
        }
      }
    }
    if (trouble && at != nullptr && crashes < kCrashes) {
      ++crashes;
      at->Crash();
      fleet::Sleep(2000);
      if (!at->Boot()) {
        return kCannotRun;
      }
    }
    state = play.StateOf(id);
    if (state == "completed" || state == "failed") {
      break;
    }
  }
  log.Line("client: GET " + id + " -> " + state);
  const auto runs = RunsOf(shared, id);
  log.Line(std::to_string(runs.size()) + " runs, " +
           std::to_string(CountOf(runs, "failed")) + " ended failed, " +
           std::to_string(CountOf(runs, "lost")) + " lost with their executors");
  if (state == "failed" && CountOf(runs, "failed") == 0) {
    log.Line("LOST: the job is shown as failed, and none of its runs has ended so");
    return kBroken;
  }
  return state == "completed" ? kHeld : kCannotRun;
}

// A job that can be done.
struct sound_job {
  std::string prefix;  // Of its queue.
  std::string id;
  std::size_t tasks = 0;
};

// Samples jobs for 6 s, and returns those that have had nothing running for 3 s
// on end though not all of their tasks are done. Next to nothing of the capacity
// is in use when this is called.
std::set<std::string> FindIdle(fleet& play,
                               const std::vector<sound_job>& jobs,
                               std::map<std::string, std::string>& states) {
  std::map<std::string, std::int64_t> idle_since;
  std::set<std::string> idle;
  const std::int64_t until = Now() + 6'000;
  while (Now() < until) {
    for (const auto& [prefix, id, tasks] : jobs) {
      const std::vector<seen_run> seen = RunsOf(play.World(), id);
      bool runs = CountOf(seen, "done") == tasks;  // Or has nothing to run.
      for (const seen_run& run : seen) {
        runs = runs || run.ended == 0;
      }
      std::string& state = states[id];
      if (state != "completed") {
        state = play.StateOf(id, prefix);
      }
      if (runs) {
        idle_since.erase(id);
      } else if (Now() - idle_since.try_emplace(id, Now()).first->second >=
                 3'000) {
        idle.insert(id);
      }
    }
    fleet::Sleep(100);
  }
  return idle;
}

// A job with many times, among others of two steps.
int PlayTimes(fleet& play, record& log, bool trouble) {
  world& shared = play.World();
  behaviour tiny;
  tiny.work = 60;
  tiny.is_quiet = true;
  shared.behaviours["tiny"] = tiny;
  behaviour batch;
  batch.work = 800;
  shared.behaviours["batch"] = batch;
  constexpr int kTimes = 8000;
  constexpr int kSteps = 5;
  constexpr int kInterval = 5;  // ms
  json::array steps;
  for (int i = 0; i < kSteps; ++i) {
    steps.push_back(json::object{
        {"count", 1}, {"cpu", 50}, {"mem_mb", 10}, {"estimate_ms", 60}});
  }
  const std::string id = "5e0000000000000d";
  if (!play.Submit(id, {{"spec", "tiny"},
                        {"repeats", trouble ? kTimes : 60},
                        {"start_at_ms", WallNow()},
                        {"interval_ms", kInterval},
                        {"steps", steps}})) {
    return kCannotRun;
  }
  const auto log_ends = [&] {
    std::size_t open = 0;
    std::size_t done = 0;
    const std::lock_guard lock(shared.mutex);
    for (const auto& entry : shared.executors) {
      open += entry->OpenEnds();
    }
    for (const auto& run : shared.runs) {
      done += run->how == "done" ? 1 : 0;
    }
    log.Line(std::to_string(done) + " runs done; " + std::to_string(open) +
             " ends not taken note of");
  };
  for (int i = 0; i < 24; ++i) {
    fleet::Sleep(2'000);
    log_ends();
  }
  std::vector<sound_job> jobs;
  for (int i = 0; i < 10; ++i) {
    const std::string other = "5e000000000001" + std::to_string(10 + i);
    const json::object step{
        {"count", 2}, {"cpu", 1000}, {"mem_mb", 512}, {"estimate_ms", 800}};
    json::object second = step;
    second["after"] = json::array{0};
    if (!play.Submit(other,
                     {{"spec", "batch"}, {"steps", json::array{step, second}}},
                     "/two/")) {
      return kCannotRun;
    }
    jobs.push_back({"/two/", other, 4});
    fleet::Sleep(200);
  }
  log.Line("the traffic has ended");
  fleet::Sleep(14'000);  // finish_s
  log_ends();
  std::map<std::string, std::string> states;
  const std::set<std::string> idle = FindIdle(play, jobs, states);
  for (const auto& [job, state] : states) {
    log.Line("client: GET " + job + " -> " + state + ", " +
             std::to_string(CountOf(RunsOf(shared, job), "done")) +
             " of 4 tasks done");
  }
  if (!idle.empty()) {
    log.Line("LOST: " + std::to_string(idle.size()) +
             " accepted jobs have had nothing running for 3 s");
    return kBroken;
  }
  for (const auto& [job, state] : states) {
    if (state != "completed") {
      return kCannotRun;
    }
  }
  return kHeld;
}

json::object SmallJob() {
  return {{"spec", "batch"},
          {"steps", json::array{json::object{{"count", 1},
                                             {"cpu", 1000},
                                             {"mem_mb", 512},
                                             {"estimate_ms", 800}}}}};
}

std::string SmallJobId(int number) {
  char id[17];
  std::snprintf(id, sizeof(id), "5e000000000000%02x", number);
  return id;
}

// Not a case, see REPORT.md: a liveness report by another writer under each
// executor's id.
int PlayForeign(fleet& play, record& log, bool trouble) {
  world& shared = play.World();
  behaviour batch;
  batch.work = 800;
  shared.behaviours["batch"] = batch;
  if (trouble) {
    for (const auto& entry : shared.executors) {
      log.Line("report by another writer, " + entry->Id() + " -> " +
               std::to_string(entry->SendForeignReport()));
    }
  }
  fleet::Sleep(4'000);
  std::vector<sound_job> jobs;
  for (int i = 0; i < 5; ++i) {
    if (!play.Submit(SmallJobId(i), SmallJob(), "/two/")) {
      return kCannotRun;
    }
    jobs.push_back({"/two/", SmallJobId(i), 1});
  }
  fleet::Sleep(14'000);  // finish_s
  std::map<std::string, std::string> states;
  const std::set<std::string> idle = FindIdle(play, jobs, states);
  for (const auto& [id, state] : states) {
    log.Line("client: GET " + id + " -> " + state);
  }
  if (!idle.empty()) {
    log.Line("LOST: " + std::to_string(idle.size()) +
             " accepted jobs have had nothing running for 3 s");
    return kBroken;
  }
  return kHeld;
}

// Not a case, see REPORT.md: while ten executors are full, the last one is lost
// for good, and jobs come.
int PlayPending(fleet& play, record& log, bool trouble) {
  world& shared = play.World();
  behaviour fill;
  fill.work = 25'000;
  shared.behaviours["fill"] = fill;
  behaviour batch;
  batch.work = 800;
  shared.behaviours["batch"] = batch;
  const auto fill_executors = [&](const std::string& id, int count) {
    return play.Submit(
        id, {{"spec", "fill"},
             {"steps", json::array{json::object{{"count", count},
                                                {"cpu", 16000},
                                                {"mem_mb", 512},
                                                {"estimate_ms", 25'000}}}}});
  };
  if (!fill_executors("5e00000000000f00", kAgents - 1)) {
    return kCannotRun;
  }
  fleet::Sleep(2'500);
  executor* last = nullptr;
  {
    const std::lock_guard lock(shared.mutex);
    for (const auto& entry : shared.executors) {
      last = entry->IsIdle() ? entry.get() : last;
    }
  }
  if (last == nullptr) {
    return kCannotRun;
  }
  if (trouble) {
    std::thread([last] { last->Crash(); }).detach();
  } else if (!fill_executors("5e00000000000f01", 1)) {
    return kCannotRun;
  }
  fleet::Sleep(100);
  constexpr int kJobs = 4;
  const std::int64_t accepted = Now();
  for (int i = 0; i < kJobs; ++i) {
    if (!play.Submit(SmallJobId(i), SmallJob(), "/two/")) {
      return kCannotRun;
    }
  }
  bool is_broken = false;
  while (Now() < accepted + 13'000) {
    fleet::Sleep(800);
    const int pending = play.Pending("/two/");
    int begun = 0;
    for (int i = 0; i < kJobs; ++i) {
      begun += RunsOf(shared, SmallJobId(i)).empty() ? 0 : 1;
    }
    log.Line("client: GET /two/ -> pending " + std::to_string(pending) + "; " +
             std::to_string(kJobs - begun) + " jobs have not begun, accepted " +
             std::to_string(Now() - accepted) + " ms before");
    // visible_ms + 2 s, and what the calls take.
    is_broken = is_broken || (Now() - accepted > 5'500 && pending >= 0 &&
                              2 * pending < kJobs - begun);
  }
  if (is_broken) {
    log.Line("MIXED: under half of the jobs that have not begun are pending");
  }
  return is_broken ? kBroken : kHeld;
}

// Some jobs of 12 tasks among others of 4 tasks, in the queue that goes first.
// `odd` says how their tasks behave. Judged are the others, and the odd ones
// too if they can be done.
int PlayAmong(fleet& play,
              record& log,
              int odd_jobs,
              const behaviour& odd,
              json::object step) {
  world& shared = play.World();
  behaviour batch;
  batch.work = 800;
  shared.behaviours["batch"] = batch;
  shared.behaviours["odd"] = odd;
  step["count"] = 12;
  step["cpu"] = 1000;
  step["mem_mb"] = 512;
  const auto submit_batch = [&](int number) {
    char id[17];
    std::snprintf(id, sizeof(id), "5e00000000000%03x", number);
    const bool accepted =
        play.Submit(id,
                    {{"spec", "batch"},
                     {"steps", json::array{json::object{{"count", 4},
                                                        {"cpu", 1000},
                                                        {"mem_mb", 512},
                                                        {"estimate_ms", 800}}}}},
                    "/two/");
    return accepted ? std::string(id) : std::string();
  };
  std::vector<sound_job> jobs;
  for (int i = 0; i < kOthersBefore; ++i) {
    jobs.push_back({"/two/", submit_batch(i), 4});
    fleet::Sleep(150);
  }
  for (int i = 0; i < odd_jobs; ++i) {
    const std::string id = "5e000000000000f" + std::to_string(i);
    if (!play.Submit(id, {{"spec", "odd"}, {"steps", json::array{step}}})) {
      return kCannotRun;
    }
    if (!odd.lasts) {
      jobs.push_back({"/one/", id, 12});
    }
  }
  fleet::Sleep(4000);
  for (int i = 0; i < kOthersAfter; ++i) {
    jobs.push_back({"/two/", submit_batch(kOthersBefore + i), 4});
    fleet::Sleep(150);
  }
  for (const sound_job& job : jobs) {
    if (job.id.empty()) {
      return kCannotRun;
    }
  }
  log.Line("the traffic has ended");
  fleet::Sleep(14'000);  // finish_s
  std::map<std::string, std::string> states;
  const std::set<std::string> broken = FindIdle(play, jobs, states);
  const auto odd_runs = RunsOf(shared, "5e000000000000f");
  std::size_t running = 0;
  {
    const std::lock_guard lock(shared.mutex);
    for (const auto& run : shared.runs) {
      running += run->ended == 0 ? 1 : 0;
    }
  }
  log.Line(std::to_string(odd_runs.size()) + " runs of the odd jobs, " +
           std::to_string(CountOf(odd_runs, "stopped")) + " of them stopped; " +
           std::to_string(running) + " tasks of one core run now, of 176 cores");
  for (const auto& [id, state] : states) {
    log.Line("client: GET " + id + " -> " + state + ", " +
             std::to_string(RunsOf(shared, id).size()) + " runs");
  }
  if (!broken.empty()) {
    log.Line("LOST: " + std::to_string(broken.size()) +
             " accepted jobs have had nothing running for 3 s");
    return kBroken;
  }
  return kHeld;
}

// A job whose tasks last, and fail soon after each start.
int PlayLoop(fleet& play, record& log, bool trouble) {
  behaviour odd;
  odd.lasts = true;
  odd.fails_after = trouble ? 200 : 0;
  return PlayAmong(play, log, 1, odd,
                   {{"estimate_ms", 1000}, {"long_running", true}, {"image", "web"}});
}

// Jobs whose tasks take long.
int PlayLong(fleet& play, record& log, bool trouble) {
  behaviour odd;
  odd.work = trouble ? 420'000 : 1400;
  return PlayAmong(play, log, 3, odd, {{"estimate_ms", 1400}});
}

}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: case NAME FOLDER\n");
    return review::kCannotRun;
  }
  signal(SIGPIPE, SIG_IGN);
  const char* wish = std::getenv("TROUBLE");
  const bool trouble = wish == nullptr || std::string(wish) != "0";
  char folder[] = "/tmp/chervilkeel-review-XXXXXX";
  if (mkdtemp(folder) == nullptr) {
    return review::kCannotRun;
  }
  review::record log(std::string(argv[2]) + "/record.txt");
  log.Line(std::string("case ") + argv[1] + (trouble ? "" : ", without the disruption"));
  int outcome = review::kCannotRun;
  // Its threads go on until the process ends.
  review::fleet& play = *new review::fleet(log, folder);
  const std::string name = argv[1];
  if (play.Start(2)) {
    outcome = name == "service"   ? review::PlayService(play, log, trouble)
              : name == "crashes" ? review::PlayCrashes(play, log, trouble)
              : name == "loop"    ? review::PlayLoop(play, log, trouble)
              : name == "long"    ? review::PlayLong(play, log, trouble)
              : name == "foreign" ? review::PlayForeign(play, log, trouble)
              : name == "pending" ? review::PlayPending(play, log, trouble)
              : name == "times"   ? review::PlayTimes(play, log, trouble)
                                  : review::kCannotRun;
  }
  play.Stop();
  log.Line(outcome == 0   ? "the rule held"
           : outcome == 1 ? "the rule was broken"
                          : "the case could not run");
  std::printf("%s\n", outcome == 0   ? "held"
                      : outcome == 1 ? "broken"
                                     : "could not run");
  std::fflush(nullptr);
  if (std::getenv("KEEP") == nullptr) {
    const std::string command = std::string("rm -rf ") + folder;
    if (std::system(command.c_str()) != 0) {
      std::printf("could not remove %s\n", folder);
    }
  } else {
    std::printf("logs in %s\n", folder);
  }
  std::fflush(nullptr);
  _exit(outcome);
}
