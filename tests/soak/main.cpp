// Runs the daemon as processes on loopback, with stand-ins for the platform and
// faults from outside by a seeded plan, and judges by what executors have seen.
#include <sys/prctl.h>

#include <csignal>
#include <filesystem>
#include <optional>

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>

#include "fleet.h"
#include "load.h"
#include "plan.h"

namespace chervilkeel::soak {

namespace {

constexpr int kExitHeld = 0;
constexpr int kExitBroken = 1;
constexpr int kExitCannotRun = 2;

constexpr millis kStartTime = 6'000;  // Of the processes, before the load.
constexpr millis kWarmTime = 6'000;   // Of the load, before the faults.
constexpr millis kCalmTime = 12'000;  // After the faults.
constexpr millis kStopGrace = 3'000;
constexpr millis kSampleInterval = 2'000;
constexpr int kLastingJobs = 2;

struct soak_options {
  fleet_options processes;
  plan_kind plan = plan_kind::kCut;
  millis length = 60'000;
  double jobs_per_s = 4;
};

class soak_run {
 public:
  soak_run(record& log, const soak_options& options)
      : options_(options),
        log_(log),
        judge_(log),
        fleet_(context_, log, judge_, options.processes),
        faults_(context_, log, fleet_, options.plan, options.processes.seed),
        evacuations_(context_,
                     log,
                     fleet_,
                     plan_kind::kEvacuations,
                     options.processes.seed),
        signals_(context_, SIGTERM, SIGINT) {}

  int Run() {
    const int code = Play();
    fleet_.Stop(kStopGrace);
    return code;
  }

 private:
  int Play() {
    signals_.async_wait(
        [this](auto failure, int) { interrupted_ = interrupted_ || !failure; });
    if (!fleet_.Start() || !Wait(kStartTime) || !fleet_.IsWhole()) {
      return kExitCannotRun;
    }
    clients_.emplace(context_, log_,
                     load_options{options_.processes.seed, options_.jobs_per_s,
                                  kLastingJobs, fleet_.Fronts()});
    clients_->Start();
    bool is_whole = Wait(kWarmTime);
    const std::size_t warm_runs = judge_.Runs();
    faults_.Start();
    evacuations_.Start();
    is_whole = is_whole && Wait(options_.length);
    faults_.End();
    evacuations_.End();
    is_whole = is_whole && Wait(kCalmTime / 2);
    clients_->Stop();
    is_whole = is_whole && Wait(kCalmTime / 2);
    log_.Say(clients_->Summary());
    const std::size_t findings = judge_.Report();
    if (findings > 0) {
      return kExitBroken;
    }
    return is_whole && warm_runs > 0 ? kExitHeld : kExitCannotRun;
  }

  // Returns false if a process has ended by itself or a signal has come.
  bool Wait(millis time) {
    const millis until = MonotonicNow() + time;
    bool is_whole = true;
    while (MonotonicNow() < until && !interrupted_) {
      context_.run_for(std::chrono::milliseconds(50));
      is_whole = fleet_.IsWhole() && is_whole;
      fleet_.WatchFaults();
      if (MonotonicNow() >= next_sample_) {
        next_sample_ = MonotonicNow() + kSampleInterval;
        const auto owner = fleet_.Owner();
        log_.Line("running " + std::to_string(judge_.Running()) + ", runs " +
                  std::to_string(judge_.Runs()) + ", owner " +
                  (owner ? fleet_.NameOf(*owner) : "none"));
      }
    }
    return is_whole && !interrupted_;
  }

  const soak_options options_;
  boost::asio::io_context context_{1};
  record& log_;
  judge judge_;
  fleet fleet_;
  std::optional<load> clients_;
  plan faults_;
  plan evacuations_;
  boost::asio::signal_set signals_;
  millis next_sample_ = 0;
  bool interrupted_ = false;
};

}  // namespace

}  // namespace chervilkeel::soak

int main(int argc, char** argv) {
  using namespace chervilkeel::soak;
  CLI::App app(
      "soak, processes of the daemon under faults from outside.\n"
      "Exit codes: 0 the rules held, 1 one was broken, 2 it could not run.");
  soak_options options;
  std::string plan = "cut";
  double seconds = 60;
  fleet_options& processes = options.processes;
  app.add_option("--daemon", processes.daemon, "The daemon's program")
      ->required()
      ->check(CLI::ExistingFile);
  app.add_option("--folder", processes.folder, "Gets the record and the logs")
      ->required();
  app.add_option("--seed", processes.seed, "Of the faults and the load");
  app.add_option("--seconds", seconds, "How long faults come");
  app.add_option("--entries", processes.entries)->check(CLI::Range(2, 50));
  app.add_option("--agents", processes.agents)->check(CLI::Range(1, 200));
  app.add_option("--rate", options.jobs_per_s, "Jobs per second")
      ->check(CLI::Range(0.1, 100.0));
  app.add_option("--plan", plan, "calm, cut, pause or mixed");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& failure) {
    return app.exit(failure) == 0 ? kExitHeld : kExitCannotRun;
  }
  options.length = static_cast<chervilkeel::millis>(seconds * 1'000);
  bool is_known = false;
  for (const plan_name& entry : kPlanNames) {
    if (plan == entry.name) {
      options.plan = entry.kind;
      is_known = true;
    }
  }
  std::error_code failure;
  std::filesystem::create_directories(processes.folder, failure);
  record log;
  if (!is_known || !log.Open(processes.folder + "/record.txt")) {
    std::fprintf(stderr, "soak: no such plan, or the folder can't be used\n");
    return kExitCannotRun;
  }
  log.Say("plan " + plan + ", seed " + std::to_string(processes.seed) + ", " +
          std::to_string(processes.entries) + " entries, " +
          std::to_string(processes.agents) + " agents, daemon " +
          processes.daemon);
  // Not taken apart: calls that are held still know its parts.
  const int code = (new soak_run(log, options))->Run();
  log.Say(code == kExitHeld     ? "the rules held"
          : code == kExitBroken ? "a rule was broken"
                                : "could not run");
  std::fflush(nullptr);
  std::_Exit(code);
}
