// The control logic of an agent for its own worker: decides which batch tasks
// to start, throttle, checkpoint, evict or stop.
//
// The logic is deterministic and reads neither clocks nor sockets. The task
// list of the worker is authoritative for what runs, the owner's replies for
// what may run. The caller carries out the returned actions in order.
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

// An operation on one task of the worker platform.
enum class worker_action_kind {
  kStart,
  kRenew,
  kThrottle,
  kCheckpoint,
  kEvict,  // Checkpoint, then stop.
  kStop,
  kForget,  // Remove the record of an ended task.
};

struct worker_action_name {
  worker_action_kind kind;
  const char* name;
};

// The action names used on the wire and in logs.
inline constexpr worker_action_name kWorkerActionNames[] = {
    {worker_action_kind::kStart, "start"},
    {worker_action_kind::kRenew, "renew"},
    {worker_action_kind::kThrottle, "throttle"},
    {worker_action_kind::kCheckpoint, "checkpoint"},
    {worker_action_kind::kEvict, "evict"},
    {worker_action_kind::kStop, "stop"},
    {worker_action_kind::kForget, "forget"},
};

const char* NameOf(worker_action_kind kind);

// One request to the worker platform.
struct worker_action {
  worker_action_kind kind = worker_action_kind::kRenew;
  std::string task;             // Task id with the attempt number.
  millis lease_until = 0;       // kStart, kRenew: on the VM's monotonic clock.
  double share = 1.0;           // kThrottle: fraction of the needed processors.
  wire::assignment assignment;  // kStart.
};

// The state of a task on the worker.
enum class worker_task_state {
  kRunning,
  kFinished,
  kFailed,
  kStopped,
  kLapsed  // Ended because its lease expired.
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

// A task as listed by the worker platform.
struct worker_task {
  std::string task;
  worker_task_state state = worker_task_state::kRunning;
  amount need;
  double share = 1.0;
  millis progress_ms = 0;
  std::string checkpoint;  // The latest one; empty if there is none.
  std::string reason;      // The cause of a failure.
};

// Settings of the agent's control logic. Durations are in milliseconds.
struct agent_options {
  std::string name;
  amount capacity;          // Of the worker.
  std::uint32_t slots = 8;  // Request slots of the executor.
  std::int64_t milli_processors_per_slot = 1000;
  std::int64_t executor_memory_mb = 4096;
  millis worker_lease = 5'000;  // At most half of a tenure.
  millis checkpoint_interval = 5'000;
  millis eviction_delay = 3'000;  // Of uninterrupted overload.
  millis restore_delay = 500;     // Without overload.
  double min_share = 0.1;         // Lower limit of throttling.
  double max_restore_step = 0.5;  // Largest increase of a share per tick.
  colocation_options colocation;
};

// Returns `options` with the durations and colocation settings of a scheduling
// policy, which favours either batch throughput or the tail latency of
// requests.
agent_options OptionsForPolicy(agent_options options, policy_lean lean);

// Controls the batch tasks of one worker.
class agent_core {
 public:
  // `now` is the start time of the process. Tasks that an earlier agent process
  // on this VM asked to start may still start until one worker lease has
  // passed.
  agent_core(agent_options options, decision_log& log, millis now);

  // Handles the reply to a report that was sent at `sent_at`. The duration of
  // a grant is counted from `sent_at`. Replies of an earlier epoch and replies
  // out of order are ignored.
  void OnReply(const wire::owner_reply& reply, millis sent_at, millis now);

  // Ends the present right a tenure from now at the latest, also if former
  // owners go on giving longer ones. To be called before this process becomes
  // the cell's owner: the owner after it waits no longer for this agent,
  // whatever a former one has granted.
  void ShortenRight(millis tenure, millis now);

  // Handles the complete task list of the worker, requested at `asked_at`.
  void OnWorkerTasks(const std::vector<worker_task>& tasks, millis asked_at);

  // Records the service times of requests that ended since the last tick.
  // `slots_in_use` is the share of the slots that requests hold or wait for.
  void OnRequests(const std::vector<service_times>& times,
                  double slots_in_use,
                  millis now);

  // Runs one control step and returns the actions for the worker.
  // `wanted_slots` is the number of slots that the requests need.
  std::vector<worker_action> Tick(std::uint32_t wanted_slots, millis now);

  // Returns whether the grant to run tasks is still valid. The caller must read
  // `now` from the clock immediately before the call.
  bool MayRun(millis now) const { return now < grant_expires_at_; }

  // Returns the number of slots whose processors are not used by batch tasks,
  // according to the latest task list of the worker.
  std::uint32_t GrantedSlots() const { return granted_slots_; }

  // Fills in the task-related fields of a heartbeat.
  void FillReport(wire::agent_report& report) const;

  // Returns the service times observed since the last call, for the next
  // heartbeat.
  wire::effect_sample TakeEffectSample() { return colocation_.TakeSample(); }

  const colocation_control& Colocation() const { return colocation_; }

  // Starts draining: returns the backlog to the owner and evicts running tasks.
  void Drain();

  // Returns whether draining is complete and no task is left to report.
  bool Drained() const { return draining_ && tasks_.empty(); }

  std::uint64_t Evictions() const { return evictions_; }
  std::uint64_t Epoch() const { return epoch_; }
  millis GrantExpiry() const { return grant_expires_at_; }
  amount BatchInUse() const;

 private:
  enum class local_phase { kBacklog, kStarting, kRunning, kEnded };

  struct local_task {
    wire::task_id id;
    wire::assignment assignment;
    amount need;
    local_phase phase = local_phase::kBacklog;
    wire::task_phase end_phase = wire::phase_stopped;
    double share = 1.0;
    millis progress_ms = 0;
    millis start_deadline = 0;  // A requested start can't take effect later.
    millis checkpoint_at = 0;   // Time of the last checkpoint request.
    std::string checkpoint;
    std::string reason;
    bool stopping = false;
    bool withdrawn = false;
    bool acknowledged = false;
  };

  void HandleStart(const wire::assignment& assignment);
  void HandleWithdrawal(const wire::task_id& id);
  void HandleRecall(const wire::task_id& id, millis now);
  void EndWithdrawnBacklog(millis now);
  void HandleAcknowledgement(const wire::task_id& id);
  void Adopt(const worker_task& listed);
  void UpdateListedTask(local_task& task, const worker_task& listed);
  void HandleUnlistedTask(local_task& task, millis asked_at);
  static wire::task_phase EndPhaseOf(const local_task& task,
                                     worker_task_state state);
  void MaintainRunningTasks(std::vector<worker_action>& actions, millis now);
  void AddForgetActions(std::vector<worker_action>& actions);
  void ResolveOverload(std::vector<worker_action>& actions,
                       const amount& allowed,
                       millis now);
  // A running task with its target share.
  struct planned_task {
    local_task* task = nullptr;
    double effect = 0;  // Slowdown of requests at a share of 1.
    double share = 1.0;
  };

  std::vector<planned_task> PlanShares(const amount& allowed);
  double EffectOf(const local_task& task) const;
  double EffectInUse() const;
  double EffectHeadroom() const;
  std::vector<class_share> Loads() const;
  void Throttle(std::vector<worker_action>& actions,
                const std::vector<planned_task>& plan,
                bool overcommitted);
  void EvictOnOverload(std::vector<worker_action>& actions,
                       const std::vector<planned_task>& plan,
                       const amount& allowed,
                       millis now);
  void EvictCheapest(std::vector<worker_action>& actions,
                     millis now,
                     const std::string& why);
  void RestoreShares(std::vector<worker_action>& actions,
                     const std::vector<planned_task>& plan,
                     const amount& allowed);
  void StartBacklog(std::vector<worker_action>& actions,
                    const amount& allowed,
                    millis now);
  void Evict(std::vector<worker_action>& actions,
             local_task& task,
             const std::string& why);
  millis LeaseEnd(millis now);
  amount BatchCapacity(std::uint32_t wanted_slots) const;

  const agent_options options_;
  decision_log& log_;
  colocation_control colocation_;
  // No task start of an earlier agent process takes effect after this time.
  const millis earlier_starts_expire_at_;
  std::map<std::string, local_task> tasks_;
  std::uint64_t epoch_ = 0;
  std::uint64_t last_sequence_ = 0;
  std::uint64_t grant_sequence_ = 0;
  millis grant_expires_at_ = 0;
  // The longest right that replies of the present epoch may give; 0: any.
  millis longest_right_ = 0;
  millis latest_lease_end_ = 0;  // Over all leases that were requested.
  std::uint32_t granted_slots_ = 0;
  std::uint32_t planned_slots_ = 0;
  millis overloaded_since_ = 0;  // Start of the overload; 0 if there is none.
  millis normal_since_ = 0;
  bool draining_ = false;
  std::uint64_t evictions_ = 0;
};

}  // namespace chervilkeel
