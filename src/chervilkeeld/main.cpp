// chervilkeeld, the daemon. Its role stands in its INI settings.
#include <atomic>
#include <csignal>
#include <cstdio>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <CLI/CLI.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "agent_process.h"
#include "chervilkeel/event_log.h"
#include "chervilkeel/http_drain.h"
#include "chervilkeel/http_server.h"
#include "chervilkeel/log.h"
#include "chervilkeel/version.h"
#include "entry_process.h"
#include "job_agent_process.h"
#include "job_entry_process.h"
#include "process_core.h"

namespace chervilkeel {

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitBadInput = 2;

// Takes the signals of a process on a thread of its own, since a role's start
// and stop block the main one. To be made before anything listens: a signal
// that nobody takes ends the process at once.
class signal_thread {
 public:
  explicit signal_thread(std::atomic<bool>& stopping) {
    stops_.async_wait([this, &stopping](boost::system::error_code, int) {
      stopping = true;
      stopped_.set_value();
    });
    AwaitReload();
    thread_ = std::thread([this] { context_.run(); });
  }

  ~signal_thread() {
    context_.stop();
    thread_.join();
  }

  signal_thread(const signal_thread&) = delete;
  signal_thread& operator=(const signal_thread&) = delete;

  // Waits for SIGTERM or SIGINT.
  void AwaitStop() { stopped_.get_future().wait(); }

 private:
  void AwaitReload() {
    reloads_.async_wait([this](boost::system::error_code failure, int) {
      if (!failure) {
        LogInfo("process", "Reloaded, changed nothing.");
        AwaitReload();
      }
    });
  }

  boost::asio::io_context context_{1};
  boost::asio::signal_set stops_{context_, SIGTERM, SIGINT};
  boost::asio::signal_set reloads_{context_, SIGHUP};
  std::promise<void> stopped_;
  std::thread thread_;
};

// Runs one role until SIGTERM or SIGINT, then drains it.
template <class role_type>
int RunRole(process_core& core) {
  boost::asio::io_context context;
  const auto guard = boost::asio::make_work_guard(context);
  signal_thread signals(core.stopping);
  role_type role(core, context);
  http_server_options options;
  options.listen = {core.settings.address, core.settings.http_port};
  options.admission = core.admission;
  options.share = {"operators", kOperatorsPercent};
  const auto operators = std::make_shared<http_server>(
      context, options,
      [&](const http_request& request, const http_responder& respond) {
        role.Handle(request, respond);
      });
  std::vector<std::thread> pool;
  for (std::uint64_t i = 0; i < core.settings.threads; ++i) {
    pool.emplace_back([&] { context.run(); });
  }
  auto started = operators->Start();
  if (started) {
    started = role.Start();
  }
  if (started) {
    LogInfo("process", "Started.");
    signals.AwaitStop();
    role.Stop();
    operators->Stop();
    const std::uint64_t unanswered = AwaitAnswers(*operators, kLastWriteTime);
    if (unanswered > 0) {
      LogWarn("process", std::to_string(unanswered) +
                             " operators' calls were not answered.");
    }
  } else {
    LogError("process", "Starting failed; " + ToString(started.error()) + ".");
  }
  context.stop();
  for (std::thread& thread : pool) {
    thread.join();
  }
  // Threads of libraries may still hold parts of the role; the process ends
  // here with everything drained, without taking the role apart.
  std::fflush(nullptr);
  std::_Exit(started ? 0 : kExitFailed);
}

// Runs a role of jobs by request, on one thread: its decisions are short, and
// nothing in it blocks.
template <class role_type>
int RunJobRole(const process_settings& settings) {
  StartEventLog(settings.name);
  auto adapter = MakeAdapter(settings.adapter_kind);
  if (!adapter) {
    LogError("process", ToString(adapter.error()) + ".");
    return kExitBadInput;
  }
  boost::asio::io_context context(1);
  role_type role(context, settings, std::move(adapter.value()));
  http_server_options options;
  options.listen = {settings.address, settings.http_port};
  options.body_limit = 0;
  options.admission = role.Admission();
  options.share = {"operators", kOperatorsPercent};
  const auto operators = std::make_shared<http_server>(
      context, options,
      [&](const http_request& request, const http_responder& respond) {
        role.HandleOperator(request, respond);
      });
  // Signals that come during the start wait until the context runs.
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code, int) {
    LogEvent("process", "stopping", {}, true);
    role.Stop([&] { context.stop(); });
  });
  boost::asio::signal_set reloads(context, SIGHUP);
  std::function<void()> wait_for_reload = [&] {
    reloads.async_wait([&](boost::system::error_code failure, int) {
      if (!failure) {
        LogEvent("process", "reloaded", {{"changed", "nothing"}}, true);
        wait_for_reload();
      }
    });
  };
  wait_for_reload();
  auto started = operators->Start();
  if (started) {
    started = role.Start();
  }
  if (!started) {
    LogEvent("process", "start_failed", {{"error", ToString(started.error())}},
             true);
    StopEventLog();
    return kExitFailed;
  }
  LogEvent("process", "started",
           {{"role", settings.role == process_role::kJobEntry ? "job_entry"
                                                              : "job_agent"},
            {"version", kVersion}},
           true);
  context.run();
  LogEvent("process", "stopped", {}, true);
  StopEventLog();
  // gRPC's threads may still hold parts of the role.
  std::fflush(nullptr);
  std::_Exit(0);
}

int Run(const process_settings& settings) {
  StartLogging(settings.name, settings.log_level);
  if (settings.role == process_role::kJobEntry) {
    return RunJobRole<job_entry_process>(settings);
  }
  if (settings.role == process_role::kJobAgent) {
    return RunJobRole<job_agent_process>(settings);
  }
  process_core core(settings);
  core.incarnation = WallNow();
  auto store =
      MakeStore(settings.store_kind,
                {settings.store, static_cast<millis>(settings.store_timeout),
                 settings.name});
  if (!store) {
    LogError("process", ToString(store.error()) + ".");
    return kExitBadInput;
  }
  core.store = std::move(store.value());
  return settings.role == process_role::kEntry ? RunRole<entry_process>(core)
                                               : RunRole<agent_process>(core);
}

void PrintSettings() {
  for (const setting_description& entry : DescribeSettings()) {
    std::printf("[%s] %s = %s%s%s\n    %s\n", entry.section.c_str(),
                entry.key.c_str(), entry.fallback.c_str(),
                entry.unit.empty() ? "" : "  ; ", entry.unit.c_str(),
                entry.meaning.c_str());
  }
}

}  // namespace

}  // namespace chervilkeel

int main(int argc, char** argv) {
  using chervilkeel::kExitBadInput;
  CLI::App app(
      "chervilkeeld, the scheduler's daemon.\n"
      "Exit codes: 0 drained, 1 failed to start, 2 bad settings or arguments.");
  std::string config;
  std::vector<std::string> overrides;
  bool check = false;
  bool list = false;
  app.add_option("--config", config, "The INI file with the settings");
  app.add_option("--set", overrides,
                 "SECTION.KEY=VALUE: a setting that the file doesn't have; "
                 "ignored without a value")
      ->take_all();
  app.add_flag("--check", check, "Check the settings and exit");
  app.add_flag("--list-settings", list, "List every setting and exit");
  app.set_version_flag("--version", chervilkeel::kVersion);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& failure) {
    return app.exit(failure) == 0 ? 0 : kExitBadInput;
  }
  if (list) {
    chervilkeel::PrintSettings();
    return 0;
  }
  if (config.empty()) {
    std::fprintf(stderr, "chervilkeeld: --config FILE is missing\n");
    return kExitBadInput;
  }
  const auto reading = chervilkeel::ReadSettingsFile(config, overrides);
  if (!reading.found.empty()) {
    std::fputs(chervilkeel::ToText(reading.found, config + ": ").c_str(),
               stderr);
    return kExitBadInput;
  }
  if (check) {
    std::printf("%s: no findings\n", config.c_str());
    return 0;
  }
  return chervilkeel::Run(reading.value);
}
