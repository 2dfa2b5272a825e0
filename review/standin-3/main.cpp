// Plays one scenario of a review case against the project's processes.
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
#include <sys/prctl.h>
#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>

#include "scenarios.h"

int main(int argc, char** argv) {
  if (argc != 6) {
    std::fprintf(stderr, "standin SCENARIO ROOT FOLDER RECORD TROUBLE\n");
    return 2;
  }
  world::Now();
  signal(SIGPIPE, SIG_IGN);
  const std::string scenario = argv[1];
  world::record log(argv[4]);
  const bool trouble = std::string(argv[5]) != "0";
  log.Say("scenario " + scenario + (trouble ? "" : ", without the disruption"));
  int code = 2;
  {
    world::asio::io_context context(1);
    world::fleet processes(context, log, argv[2], argv[3]);
    world::play played{context, log, processes, trouble};
    const auto run = world::FindScenario(scenario);
    if (run == nullptr) {
      log.Say("no such scenario");
    } else if (processes.Start()) {
      world::asio::co_spawn(
          context,
          [&]() -> world::asio::awaitable<void> {
            if (co_await world::AwaitReady(played)) {
              code = co_await run(played);
            }
          },
          [&](std::exception_ptr failure) {
            if (failure) {
              log.Say("the scenario ended with an error");
              code = 2;
            }
            context.stop();
          });
      context.run();
    }
    processes.Stop();
    for (const auto& entry : processes.Processes()) {
      std::string ends;
      for (const std::string& end : entry.ends) {
        ends += (ends.empty() ? "; ended: " : ", ") + end;
      }
      log.Line(entry.name + ": peak " + std::to_string(entry.peak_mb) + " MB" +
               ends);
    }
    log.Say(code == 0   ? "the rule held"
            : code == 1 ? "the rule was broken"
                        : "could not run");
    std::fflush(stdout);
    std::_Exit(code);
  }
}
