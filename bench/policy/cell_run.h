// One run of one cell in virtual time: the kernel's decisions, or a simpler
// policy in place of one of them, against fake workers.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "chervilkeel/cell_owner.h"
#include "chervilkeel/slot_admission.h"
#include "chervilkeel/upstream_table.h"
#include "first_fit_owner.h"
#include "scenario.h"
#include "worker_fake.h"

namespace chervilkeel::bench {

enum class policy_kind {
  kChervilkeel,
  kNoBatch,
  kBatchOnly,
  kStaticSplit,
  kNoControl,
  kFirstFit,
  kRandomUpstream,
  kLeastConnections,
  kFifo,
};

struct policy_name {
  policy_kind kind;
  const char* name;
  const char* meaning;
};

inline constexpr std::array<policy_name, 9> kPolicyNames = {{
    {policy_kind::kChervilkeel, "chervilkeel", "the kernel's decisions"},
    {policy_kind::kNoBatch, "no batch", "requests alone on the machines"},
    {policy_kind::kBatchOnly, "batch only", "batch tasks alone"},
    {policy_kind::kStaticSplit, "static split",
     "machines for one or the other"},
    {policy_kind::kNoControl, "no control", "no throttling, no reservation"},
    {policy_kind::kFirstFit, "first fit", "placement by declared sizes"},
    {policy_kind::kRandomUpstream, "random", "a random upstream"},
    {policy_kind::kLeastConnections, "least connections", "of the entry's own"},
    {policy_kind::kFifo, "one FIFO", "one queue for short and long requests"},
}};

const char* NameOf(policy_kind kind);

// One second of a run, for the plot.
struct run_second {
  double slowest_ms = 0;  // Of the short requests that arrived in it.
  double batch_processors = 0;
};

// What a run gave. Short requests only, where requests are meant.
struct run_figures {
  double steady_p99_ms = 0;
  double crest_p50_ms = 0;
  double crest_p99_ms = 0;
  double wait_p99_ms = 0;    // For a slot, over the whole run.
  double mean_slowdown = 0;  // Service time against that without neighbours.
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  double batch_processor_seconds = 0;  // Useful work after the warm-up.
  double request_processor_seconds = 0;
  double task_hours = 0;
  std::uint64_t evictions = 0;
  std::uint64_t finished = 0;
  std::uint64_t over_size = 0;
  std::vector<run_second> seconds;
};

class cell_run {
 public:
  cell_run(const house_scenario& house, policy_kind policy, std::uint64_t seed);

  run_figures Run();

 private:
  static constexpr std::size_t kEntries = 3;

  enum class event_kind {
    kArrival,    // Of a stream's next request.
    kReach,      // A request reaches its agent.
    kEnd,        // The executor answers.
    kReply,      // The answer reaches the entry.
    kAgentTick,  // A control step of an agent.
    kWakeTick,   // The same, because a request waits.
    kHeartbeat,  // Of an agent, and of entries to the roster.
    kOwnerTick,
    kSecond,  // For the plot.
  };

  struct event {
    double at = 0;
    std::uint64_t order = 0;
    event_kind kind = event_kind::kArrival;
    std::size_t index = 0;
    bool operator>(const event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  struct request {
    std::size_t stream = 0;
    std::size_t entry = 0;
    std::size_t worker = 0;
    std::set<std::string> tried;
    double arrived = 0;
    double reached = 0;
    double started = 0;
    double alone_seconds = 0;
    admission_ticket ticket;
    wire::execute_reply reply;
  };

  struct node {
    std::string name;
    std::unique_ptr<worker_fake> worker;
    std::unique_ptr<agent_core> agent;
    std::unique_ptr<slot_admission> admission;
    service_time_sums times;  // Since the last step.
    std::deque<std::size_t> fifo;
    std::uint32_t fifo_busy = 0;
    std::uint64_t reports = 0;
    bool serves_requests = true;
    bool runs_batch = true;
    bool wake_pending = false;
    worker_totals at_warm_up;
  };

  void MakeNodes(std::uint64_t seed);
  void Commit(const manifest& value);
  manifest MakeManifest() const;
  std::size_t UrgentWorkers() const;
  bool Controls() const;

  void Push(double at, event_kind kind, std::size_t index);
  void Handle(const event& next);
  void OnArrival(std::size_t stream);
  void Route(std::size_t id);
  std::size_t ChooseWorker(request& item);
  void OnReach(std::size_t id);
  void Admit(std::size_t id, node& place);
  void Launch(std::size_t id, node& place);
  void OnEnd(std::size_t id);
  void OnReply(std::size_t id);
  void Refuse(std::size_t id);
  void Pump(node& place);
  void PumpFifo(node& place);
  void Wake(std::size_t worker);
  void Tick(std::size_t worker);
  void Heartbeat(std::size_t worker);
  void FillLoad(const node& place, wire::upstream_load& load) const;
  void OwnerTick();
  void TakeRosters();
  void CountSecond();
  millis Now() const;

  const house_scenario& house_;
  const policy_kind policy_;
  std::mt19937_64 random_;         // Of the arrivals, alike for each policy.
  std::mt19937_64 policy_random_;  // Of the simpler policies' choices.
  decision_log log_{"bench", 100};
  double at_ = 0;
  std::uint64_t order_ = 0;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  std::vector<node> nodes_;
  std::vector<upstream_table> entries_;
  std::array<std::vector<std::uint32_t>, kEntries> open_;  // By worker.
  std::unique_ptr<cell_owner> owner_;
  std::unique_ptr<first_fit_owner> first_fit_;
  std::deque<request> requests_;
  std::vector<double> crest_ms_;
  std::vector<double> steady_ms_;
  std::vector<double> waits_ms_;
  double slowdown_sum_ = 0;
  run_figures figures_;
  run_second second_;
};

}  // namespace chervilkeel::bench
