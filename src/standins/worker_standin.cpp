// A stand-in for the platform's workers and their executors, many of them in
// one process, each worker and executor on a port of its own. It keeps a
// ledger of every run of a task and every request, which GET /ledger on the
// control port returns.
//
// A task makes progress at its share, slowed by its neighbours; its lease and
// everything else stand on the monotonic clock. POST /control/worker sets
// faults of one worker: {"worker": N, "fail_starts": true} makes every task
// fail, {"worker": N, "down": true} takes the VM away.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include "chervilkeel/amount.h"
#include "chervilkeel/clock.h"
#include "chervilkeel/http_server.h"
#include "chervilkeel/log.h"
#include "standin_server.h"

namespace chervilkeel {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr double kBatchSlowdown = 0.3;  // Of requests beside a full worker.
constexpr double kTaskSlowdown = 0.2;   // Of tasks beside a full worker.
constexpr millis kStep = 20;            // Between steps of the fake time.

// How long the executor takes for a service, in milliseconds.
struct service_time {
  const char* service;
  double mean_ms;
};

constexpr service_time kServiceTimes[] = {
    {"preview", 20},  {"plotter", 250}, {"quote", 12},
    {"contract", 60}, {"invoice", 60},  {"proof", 300},
};
constexpr double kOtherServiceMs = 30;

struct fake_task {
  std::string name;
  amount need;
  double share = 1.0;
  double progress_ms = 0;
  millis run_ms = 0;
  millis lease_until = 0;
  std::string state = "running";
  std::string checkpoint;
  std::string reason;
  std::size_t ledger_index = 0;
};

struct fake_worker {
  int number = 0;
  std::string instance;
  amount capacity;
  std::uint32_t slots = 8;
  std::uint32_t busy_slots = 0;
  bool fail_starts = false;
  bool down = false;
  std::map<std::string, fake_task> tasks;
};

// One run of one attempt, or one request, in the ledger. Instants are on the
// monotonic clock, in milliseconds.
struct run_record {
  std::string task;
  int worker = 0;
  millis from = 0;
  millis until = 0;
  double progress_from = 0;
  double progress_until = 0;
  std::string end;
};

struct request_record {
  std::string id;
  std::string service;
  int worker = 0;
  millis from = 0;
  millis until = 0;
};

// All workers, their executors and the ledger. Runs on one thread.
class worker_standin {
 public:
  worker_standin(asio::io_context& context,
                 int workers,
                 const amount& capacity,
                 std::uint32_t slots,
                 double straggler_share,
                 std::uint64_t seed)
      : context_(context),
        timer_(context),
        straggler_share_(straggler_share),
        random_(seed) {
    for (int number = 0; number < workers; ++number) {
      fake_worker worker;
      worker.number = number;
      worker.instance =
          "vm-" + std::to_string(number) + "-" + std::to_string(WallNow());
      worker.capacity = capacity;
      worker.slots = slots;
      workers_.push_back(std::move(worker));
    }
    Step();
  }

  void HandleWorker(int number,
                    const http_request& request,
                    const http_responder& respond) {
    fake_worker& worker = workers_[static_cast<std::size_t>(number)];
    if (worker.down) {
      return;  // The VM is gone: no answer ever comes.
    }
    if (request.path == "/v1/worker") {
      json::object description = AmountOf(worker.capacity);
      description["instance"] = worker.instance;
      respond(Json(description));
    } else if (request.path == "/v1/actions") {
      const json::object body = json::parse(request.body).as_object();
      for (const json::value& action : body.at("actions").as_array()) {
        Act(worker, action.as_object());
      }
      respond(Json(List(worker)));
    } else {
      respond(ErrorResponse(404, "no call " + request.path));
    }
  }

  void HandleExecutor(int number,
                      const http_request& request,
                      const http_responder& respond) {
    fake_worker& worker = workers_[static_cast<std::size_t>(number)];
    if (worker.down) {
      return;
    }
    const std::string service = request.path.substr(1);
    const std::string id = request.Header("X-Request-Id");
    ++worker.busy_slots;
    if (worker.busy_slots > worker.slots) {
      Violate("executor of worker " + std::to_string(number) + " got " +
              std::to_string(worker.busy_slots) + " requests at once");
    }
    CheckSize(worker, "request " + id);
    const std::size_t index = requests_.size();
    requests_.push_back({id, service, number, MonotonicNow(), 0});
    const double duration = ServiceMs(worker, service);
    auto timer = std::make_shared<asio::steady_timer>(
        context_,
        std::chrono::microseconds(static_cast<std::int64_t>(duration * 1000)));
    timer->async_wait(
        [this, timer, &worker, index, request, id, respond](auto) {
          --worker.busy_slots;
          requests_[index].until = MonotonicNow();
          if (worker.down) {
            return;
          }
          http_response response;
          response.content_type = request.content_type;
          response.body = "answer to " + id + ": " + request.body;
          respond(std::move(response));
        });
  }

  void HandleControl(const http_request& request,
                     const http_responder& respond) {
    if (request.path == "/ledger") {
      respond(Json(Ledger()));
      return;
    }
    const json::object body = json::parse(request.body).as_object();
    fake_worker& worker =
        workers_.at(body.at("worker").to_number<std::size_t>());
    if (const json::value* flag = body.if_contains("fail_starts")) {
      worker.fail_starts = flag->as_bool();
    }
    if (const json::value* flag = body.if_contains("down")) {
      worker.down = flag->as_bool();
      if (worker.down) {
        EndAll(worker, "VM failed");
        worker.instance += "'";
      }
    }
    respond(Json({}));
  }

 private:
  static http_response Json(const json::object& body) {
    http_response response;
    response.body = json::serialize(body);
    return response;
  }

  static json::object AmountOf(const amount& value) {
    return {{"milli_processors", value.milli_processors},
            {"memory_mb", value.memory_mb},
            {"accelerators", value.accelerators}};
  }

  void Violate(const std::string& what) { violations_.push_back(what); }

  static amount InUse(const fake_worker& worker) {
    amount used;
    for (const auto& [name, task] : worker.tasks) {
      if (task.state == "running") {
        amount need = task.need;
        need.milli_processors = static_cast<std::int64_t>(
            static_cast<double>(need.milli_processors) * task.share);
        used += need;
      }
    }
    return used;
  }

  // The brief's promise: no worker beyond its size, requests included.
  void CheckSize(const fake_worker& worker, const std::string& cause) {
    amount used = InUse(worker);
    used.milli_processors += 1000LL * worker.busy_slots;
    if (!Fits(used, worker.capacity)) {
      Violate("worker " + std::to_string(worker.number) +
              " is over its size with " + cause + ": " +
              DescribeShortfall(used, worker.capacity));
    }
  }

  static double Crowding(const fake_worker& worker) {
    return static_cast<double>(InUse(worker).milli_processors) /
           static_cast<double>(worker.capacity.milli_processors);
  }

  double ServiceMs(const fake_worker& worker, const std::string& service) {
    double mean = kOtherServiceMs;
    for (const service_time& entry : kServiceTimes) {
      if (service == entry.service) {
        mean = entry.mean_ms;
      }
    }
    std::gamma_distribution<double> spread(8.0, mean / 8.0);
    return spread(random_) * (1.0 + kBatchSlowdown * Crowding(worker));
  }

  void Act(fake_worker& worker, const json::object& action) {
    const std::string kind(action.at("action").as_string());
    const std::string name(action.at("task").as_string());
    if (kind == "start") {
      Start(worker, name, action);
      return;
    }
    const auto found = worker.tasks.find(name);
    if (found == worker.tasks.end()) {
      return;
    }
    fake_task& task = found->second;
    if (kind == "forget") {
      if (task.state != "running") {
        worker.tasks.erase(found);
      }
      return;
    }
    if (task.state != "running") {
      return;
    }
    if (kind == "renew") {
      const auto until = action.at("lease_until").to_number<millis>();
      task.lease_until = std::max(task.lease_until, until);
    } else if (kind == "throttle") {
      task.share = action.at("share").to_number<double>();
      CheckSize(worker, "throttled " + name);
    } else if (kind == "checkpoint") {
      task.checkpoint = Checkpoint(task);
    } else if (kind == "evict") {
      task.checkpoint = Checkpoint(task);
      End(task, "stopped");
    } else if (kind == "stop") {
      End(task, "stopped");
    }
  }

  static std::string Checkpoint(const fake_task& task) {
    return "progress:" + std::to_string(static_cast<millis>(task.progress_ms));
  }

  void Start(fake_worker& worker,
             const std::string& name,
             const json::object& action) {
    const auto lease_until = action.at("lease_until").to_number<millis>();
    if (worker.tasks.count(name) != 0 || lease_until <= MonotonicNow()) {
      return;
    }
    fake_task task;
    task.name = name;
    task.need = {action.at("milli_processors").to_number<std::int64_t>(),
                 action.at("memory_mb").to_number<std::int64_t>(),
                 action.at("accelerators").to_number<std::int64_t>()};
    task.run_ms = TrueRunMs(name, action.at("run_ms").to_number<millis>());
    task.lease_until = lease_until;
    const std::string checkpoint(action.at("checkpoint").as_string());
    if (checkpoint.rfind("progress:", 0) == 0) {
      task.progress_ms = std::stod(checkpoint.substr(9));
      task.checkpoint = checkpoint;
    }
    task.ledger_index = runs_.size();
    runs_.push_back({name, worker.number, MonotonicNow(), 0, task.progress_ms,
                     task.progress_ms, ""});
    fake_task& placed = worker.tasks[name] = task;
    CheckSize(worker, name);
    if (worker.fail_starts || name.rfind("broken", 0) == 0) {
      placed.reason = "exit status 1";
      End(placed, "failed");
    }
  }

  // Declared run times are off: some tasks are shorter, a few are stragglers.
  millis TrueRunMs(const std::string& name, millis declared) {
    const std::string task =
        name.substr(0, name.rfind('#')) + "=" + std::to_string(declared);
    const auto known = true_run_ms_.find(task);
    if (known != true_run_ms_.end()) {
      return known->second;
    }
    std::lognormal_distribution<double> spread(0.0, 0.3);
    std::bernoulli_distribution straggler(straggler_share_);
    const double factor = spread(random_) * (straggler(random_) ? 6 : 1);
    const auto run_ms =
        static_cast<millis>(static_cast<double>(declared) * factor);
    return true_run_ms_[task] = run_ms;
  }

  void End(fake_task& task, const std::string& state) {
    task.state = state;
    run_record& run = runs_[task.ledger_index];
    run.until = MonotonicNow();
    run.progress_until = task.progress_ms;
    run.end = state;
  }

  void EndAll(fake_worker& worker, const std::string& how) {
    for (auto& [name, task] : worker.tasks) {
      if (task.state == "running") {
        End(task, how);
      }
    }
    worker.tasks.clear();
  }

  json::object List(const fake_worker& worker) {
    json::array tasks;
    for (const auto& [name, task] : worker.tasks) {
      json::object entry = AmountOf(task.need);
      entry["task"] = name;
      entry["state"] = task.state;
      entry["share"] = task.share;
      entry["progress_ms"] = static_cast<millis>(task.progress_ms);
      entry["checkpoint"] = task.checkpoint;
      entry["reason"] = task.reason;
      tasks.push_back(std::move(entry));
    }
    return {{"tasks", std::move(tasks)}};
  }

  json::object Ledger() const {
    json::array runs;
    for (const run_record& run : runs_) {
      runs.push_back(json::object{{"task", run.task},
                                  {"worker", run.worker},
                                  {"from", run.from},
                                  {"until", run.until},
                                  {"progress_from", run.progress_from},
                                  {"progress_until", run.progress_until},
                                  {"end", run.end}});
    }
    json::array requests;
    for (const request_record& request : requests_) {
      requests.push_back(json::object{{"id", request.id},
                                      {"service", request.service},
                                      {"worker", request.worker},
                                      {"from", request.from},
                                      {"until", request.until}});
    }
    json::array violations;
    for (const std::string& violation : violations_) {
      violations.push_back(json::string(violation));
    }
    return {{"now", MonotonicNow()},
            {"runs", std::move(runs)},
            {"requests", std::move(requests)},
            {"violations", std::move(violations)}};
  }

  // Moves every task on, and ends those that finish or whose lease lapses. A
  // task whose lease lapsed while this process was held up ends at the lease.
  void Step() {
    const millis now = MonotonicNow();
    const millis elapsed = stepped_at_ == 0 ? 0 : now - stepped_at_;
    stepped_at_ = now;
    for (fake_worker& worker : workers_) {
      const double slowed = 1.0 + kTaskSlowdown * Crowding(worker);
      for (auto& [name, task] : worker.tasks) {
        if (task.state != "running") {
          continue;
        }
        task.progress_ms += static_cast<double>(elapsed) * task.share / slowed;
        if (now >= task.lease_until) {
          End(task, "lapsed");
          runs_[task.ledger_index].until = task.lease_until;
        } else if (task.progress_ms >= static_cast<double>(task.run_ms)) {
          End(task, "finished");
        }
      }
    }
    timer_.expires_after(std::chrono::milliseconds(kStep));
    timer_.async_wait([this](auto failure) {
      if (!failure) {
        Step();
      }
    });
  }

  asio::io_context& context_;
  asio::steady_timer timer_;
  const double straggler_share_;
  std::mt19937_64 random_;
  millis stepped_at_ = 0;
  std::vector<fake_worker> workers_;
  std::map<std::string, millis> true_run_ms_;
  std::vector<run_record> runs_;
  std::vector<request_record> requests_;
  std::vector<std::string> violations_;
};

struct standin_options {
  int workers = 11;
  std::string address = "127.0.0.1";
  int worker_port = 7300;
  int executor_port = 7400;
  int control_port = 7299;
  std::int64_t milli_processors = 16'000;
  std::int64_t memory_mb = 60'000;
  std::int64_t accelerators = 0;
  std::uint32_t slots = 8;
  double straggler_share = 0.02;
  std::uint64_t seed = 1;
};

int Run(const standin_options& options) {
  constexpr std::uint64_t kBodyLimit = 64U << 20U;
  standin_server server;
  worker_standin standin(
      server.Context(), options.workers,
      {options.milli_processors, options.memory_mb, options.accelerators},
      options.slots, options.straggler_share, options.seed);
  const auto listen = [&](int port, http_handler handler) {
    return server.Listen({options.address, static_cast<std::uint16_t>(port)},
                         kBodyLimit, std::move(handler));
  };
  bool listening =
      listen(options.control_port,
             [&](const http_request& request, const http_responder& respond) {
               standin.HandleControl(request, respond);
             });
  for (int number = 0; listening && number < options.workers; ++number) {
    listening = listen(options.worker_port + number,
                       [&standin, number](const http_request& request,
                                          const http_responder& respond) {
                         standin.HandleWorker(number, request, respond);
                       }) &&
                listen(options.executor_port + number,
                       [&standin, number](const http_request& request,
                                          const http_responder& respond) {
                         standin.HandleExecutor(number, request, respond);
                       });
  }
  if (!listening) {
    return 1;
  }
  server.Run();
  return 0;
}

}  // namespace

}  // namespace chervilkeel

int main(int argc, char** argv) {
  CLI::App app("A stand-in for the platform's workers and executors.");
  chervilkeel::standin_options options;
  app.add_option("--workers", options.workers, "How many workers");
  app.add_option("--worker-port", options.worker_port, "Of the first worker");
  app.add_option("--executor-port", options.executor_port,
                 "Of the first executor");
  app.add_option("--control-port", options.control_port, "Ledger and faults");
  app.add_option("--milli-processors", options.milli_processors, "Of a worker");
  app.add_option("--memory-mb", options.memory_mb, "Of a worker");
  app.add_option("--accelerators", options.accelerators, "Of a worker");
  app.add_option("--slots", options.slots, "Of an executor");
  app.add_option("--straggler-share", options.straggler_share,
                 "Share of tasks that run six times longer");
  app.add_option("--seed", options.seed, "Of the fake durations");
  CLI11_PARSE(app, argc, argv);
  chervilkeel::StartLogging("workers", "warn");
  return chervilkeel::Run(options);
}
