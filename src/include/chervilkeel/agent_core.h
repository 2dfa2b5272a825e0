// The decisions of an agent about its own worker: what may run, what starts,
// what is throttled, checkpointed or stopped.
//
// Nothing here reads a clock or a socket. The worker's own list of tasks is
// the truth about what runs; the owner's replies say what may run; the actions
// that come out are carried out by the caller in order.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "chervilkeel/amount.h"
#include "chervilkeel/clock.h"
#include "chervilkeel/colocation_control.h"
#include "chervilkeel/decision_log.h"
#include "chervilkeel/placement.h"
#include "wire/chervilkeel.pb.h"

namespace chervilkeel {

// What the worker platform is asked to do with one task.
enum class worker_action_kind {
  kStart,
  kRenew,
  kThrottle,
  kCheckpoint,
  kEvict,  // Checkpoint, then stop.
  kStop,
  kForget,  // Drop the record of an ended task.
};

struct worker_action_name {
  worker_action_kind kind;
  const char* name;
};

// The names of the actions on the wire and in logs.
inline constexpr worker_action_name kWorkerActionNames[] = {
    {worker_action_kind::kStart, "start"},
    {worker_action_kind::kRenew, "renew"},
    {worker_action_kind::kThrottle, "throttle"},
    {worker_action_kind::kCheckpoint, "checkpoint"},
    {worker_action_kind::kEvict, "evict"},
    {worker_action_kind::kStop, "stop"},
    {worker_action_kind::kForget, "forget"},
};

// Returns the name of an action.
const char* NameOf(worker_action_kind kind);

// One order to the worker platform.
struct worker_action {
  worker_action_kind kind = worker_action_kind::kRenew;
  std::string task;             // The name of the attempt.
  millis lease_until = 0;       // kStart, kRenew: on the VM's monotonic clock.
  double share = 1.0;           // kThrottle: of the processors it needs.
  wire::assignment assignment;  // kStart.
};

// How a task stands on the worker.
enum class worker_task_state {
  kRunning,
  kFinished,
  kFailed,
  kStopped,
  kLapsed
};

struct worker_task_state_name {
  worker_task_state state;
  const char* name;
};

inline constexpr worker_task_state_name kWorkerTaskStateNames[] = {
    {worker_task_state::kRunning, "running"},
    {worker_task_state::kFinished, "finished"},
    {worker_task_state::kFailed, "failed"},
    {worker_task_state::kStopped, "stopped"},
    {worker_task_state::kLapsed, "lapsed"},
};

// One task as the worker platform lists it.
struct worker_task {
  std::string task;
  worker_task_state state = worker_task_state::kRunning;
  amount need;
  double share = 1.0;
  millis progress_ms = 0;
  std::string checkpoint;  // The newest one; empty when there is none.
  std::string reason;      // Why it failed.
};

// The settings of an agent's decisions. Durations in milliseconds.
struct agent_options {
  std::string name;
  amount capacity;                 // Of the worker.
  std::uint32_t slots = 8;         // Of the executor.
  std::int64_t slot_milli = 1000;  // Processors of one busy slot.
  std::int64_t executor_memory_mb = 4096;
  millis worker_lease = 5'000;  // At most half of a tenure.
  millis checkpoint_every = 5'000;
  millis evict_after = 3'000;    // Of unbroken pressure.
  millis give_back_after = 500;  // Without pressure.
  double lowest_share = 0.1;     // A throttled task keeps at least this.
  double give_back_step = 0.5;   // Of a share, a tick.
  colocation_options colocation;
};

// Returns the options with the durations that suit a lean.
agent_options WithLean(agent_options options, policy_lean lean);

// The decisions of one agent.
class agent_core {
 public:
  // `now` is when the process started. Starts that an earlier process of this
  // VM ordered may still take effect for the length of a worker lease.
  agent_core(agent_options options, decision_log& log, millis now);

  // Takes the answer to a report that was sent at `sent_at`. A grant counts
  // from then; an answer of an earlier epoch or out of order grants nothing.
  void OnReply(const wire::owner_reply& reply, millis sent_at, millis now);

  // Takes the worker's whole list of tasks, as asked at `asked_at`.
  void OnWorkerTasks(const std::vector<worker_task>& tasks, millis asked_at);

  // Takes what the requests met since the last tick, and the share of the
  // slots that they hold or wait for.
  void OnRequests(const std::vector<service_times>& times,
                  double slots_in_use,
                  millis now);

  // Returns what the worker should do now. `wanted_slots` is how many slots
  // the executor's requests want.
  std::vector<worker_action> Tick(std::uint32_t wanted_slots, millis now);

  // Says that the right to run still stands. Read the clock just before.
  bool MayRun(millis now) const { return now < right_until_; }

  // How many slots' processors no batch task holds, by the worker's own word.
  std::uint32_t GrantedSlots() const { return granted_slots_; }

  // Fills in the parts of a heartbeat that concern tasks.
  void FillReport(wire::agent_report& report) const;

  // Returns what requests met since the last call, for the next heartbeat.
  wire::effect_sample TakeEffectSample() { return colocation_.TakeSample(); }

  const colocation_control& Colocation() const { return colocation_; }

  // Gives everything up: the backlog goes back, running tasks are evicted.
  void Drain();

  // Says whether draining has left nothing to report.
  bool Drained() const { return draining_ && tasks_.empty(); }

  std::uint64_t Evictions() const { return evictions_; }
  std::uint64_t Epoch() const { return epoch_; }
  millis RightUntil() const { return right_until_; }
  amount BatchInUse() const;

 private:
  enum class local_phase { kBacklog, kStarting, kRunning, kEnded };

  struct local_task {
    wire::task_id id;
    wire::assignment assignment;
    amount need;
    local_phase phase = local_phase::kBacklog;
    wire::task_phase ended_as = wire::phase_stopped;
    double share = 1.0;
    millis progress_ms = 0;
    millis start_until = 0;    // A start that was ordered can't act later.
    millis checkpoint_at = 0;  // When a checkpoint was last ordered.
    std::string checkpoint;
    std::string reason;
    bool stopping = false;
    bool withdrawn = false;
    bool acknowledged = false;
  };

  void TakeStart(const wire::assignment& assignment);
  void TakeWithdraw(const wire::task_id& id);
  void TakeGiveBack(const wire::task_id& id, millis now);
  void EndWithdrawnBacklog(millis now);
  void TakeAcknowledged(const wire::task_id& id);
  void Adopt(const worker_task& listed);
  void TakeWorkerTask(local_task& task, const worker_task& listed);
  void NoteMissing(local_task& task, millis asked_at);
  static wire::task_phase EndedAs(const local_task& task,
                                  worker_task_state state);
  void AddRenewals(std::vector<worker_action>& actions, millis now);
  void AddForgets(std::vector<worker_action>& actions);
  void RelievePressure(std::vector<worker_action>& actions,
                       const amount& allowed,
                       millis now);
  // A running task with the share of its need that it should be given.
  struct planned_task {
    local_task* task = nullptr;
    double effect = 0;  // On requests, if its share were 1.
    double share = 1.0;
  };

  std::vector<planned_task> PlanShares(const amount& allowed);
  double EffectOf(const local_task& task) const;
  double EffectInUse() const;
  double EffectRoom() const;
  std::vector<class_share> Loads() const;
  void Throttle(std::vector<worker_action>& actions,
                const std::vector<planned_task>& plan,
                bool crowded);
  void EvictUnderPressure(std::vector<worker_action>& actions,
                          const std::vector<planned_task>& plan,
                          const amount& allowed,
                          millis now);
  void EvictCheapest(std::vector<worker_action>& actions,
                     millis now,
                     const std::string& why);
  void GiveBack(std::vector<worker_action>& actions,
                const std::vector<planned_task>& plan,
                const amount& allowed);
  void StartBacklog(std::vector<worker_action>& actions,
                    const amount& allowed,
                    millis now);
  void Evict(std::vector<worker_action>& actions,
             local_task& task,
             const std::string& why);
  millis LeaseEnd(millis now);
  amount BatchAllowed(std::uint32_t wanted_slots) const;

  const agent_options options_;
  decision_log& log_;
  colocation_control colocation_;
  const millis settled_at_;  // No earlier process's start acts after this.
  std::map<std::string, local_task> tasks_;
  std::uint64_t epoch_ = 0;
  std::uint64_t last_sequence_ = 0;
  std::uint64_t right_sequence_ = 0;
  millis right_until_ = 0;
  millis latest_lease_end_ = 0;  // Of all leases ever ordered.
  std::uint32_t granted_slots_ = 0;
  std::uint32_t planned_slots_ = 0;
  millis pressure_since_ = 0;  // 0 while there is none.
  millis calm_since_ = 0;
  bool draining_ = false;
  std::uint64_t evictions_ = 0;
};

}  // namespace chervilkeel
