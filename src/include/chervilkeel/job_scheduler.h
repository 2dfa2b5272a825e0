// Decides which task runs on which worker and when. It has no sockets, threads
// or clock: events and the time go in, orders and durable changes come out.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chervilkeel/job.h"
#include "chervilkeel/pressure_model.h"
#include "chervilkeel/worker_health.h"
#include "chervilkeel/worker_report.h"

namespace chervilkeel {

// Durations in milliseconds.
struct scheduler_options {
  millis grant = 5'000;          // How long an agent may keep its runs alive.
  millis grant_margin = 400;     // Added before a silent agent's runs are dead.
  double clock_drift = 0.02;     // Of an executor's clock.
  millis longest_lease = 6'000;  // How long runs of a former scheduler may
                                 // live after this one began.
  millis retention = 150'000;    // Of a job after its end.
  std::uint64_t runs_per_epoch = 1'000'000;  // Keeps runs of owners apart.
  std::uint64_t epoch = 1;
  // How far the time of day may be off when a due time is compared with it.
  millis due_slack = 0;
  // Taken away only to show what each is worth (bench/sharing).
  bool paces_fillers = true;
  bool learns_pressure = true;
};

// A decision for the log: what, about what, with which inputs.
struct scheduler_event {
  const char* event;
  std::string subject;  // A job or a task.
  std::string worker;
  std::string detail;  // key=value pairs.
};

// Where a run is in its life, as the scheduler believes.
enum class run_phase {
  kOrdered,   // The order is on its way, or its outcome is not known.
  kRunning,   // The executor has it.
  kStopping,  // A stop was ordered.
};

// One run of a task.
struct task_run {
  std::string agent;
  executor_boot boot;
  std::uint64_t run = 0;
  run_phase phase = run_phase::kOrdered;
  millis since = 0;                 // When it was ordered or adopted.
  millis started = 0;               // About when it began to work.
  std::uint32_t percent = 0;        // Last reported.
  millis percent_at = 0;            // When the percent changed last.
  std::uint32_t pace = 100;         // Last ordered.
  std::uint32_t pace_before = 100;  // The one before it.
  millis held_back = 0;             // Time lost to paces below the full one.
  millis held_since = 0;            // Up to when that has been counted.
  millis paced_at = 0;              // When.
  std::int64_t load = 0;            // Last reported.
  double reported = 0;              // A service's tail in the last list, ms.
  double tail = 0;                  // The same with the smoothing undone, ms.
  millis load_at = 0;               // When the executor gave that list.
  millis over_since = 0;            // A service: over its target; 0: it is not.
  std::string checkpoint;
};

// A task of a step in one occurrence.
struct scheduled_task {
  bool done = false;
  bool unaccounted = false;  // May run on a worker that was not heard yet.
  std::set<std::uint64_t> failed_runs;
  std::uint64_t highest_run = 0;
  std::string checkpoint;
  std::vector<task_run> runs;
  std::vector<std::string> failed_on;  // Agents.
  millis ready_since = 0;
};

struct scheduled_step {
  std::vector<scheduled_task> tasks;
  std::uint32_t done = 0;
  bool ready = false;
};

struct scheduled_occurrence {
  std::vector<scheduled_step> steps;
  std::uint32_t steps_done = 0;
};

struct scheduled_job {
  job_record record;
  queue_policy policy;
  job_state state = job_state::kQueued;
  std::map<std::uint32_t, scheduled_occurrence> occurrences;
  std::uint32_t occurrences_done = 0;
  std::uint32_t next_occurrence = 0;
  std::int64_t ended_ms = 0;
  millis arrived = 0;        // On this process's monotonic clock.
  millis path = 0;           // Length of the critical path.
  bool has_waiting = false;  // Tasks of it may wait for a worker.
  bool durable_end = false;  // Its end has been written.
  std::uint64_t done_tasks = 0;
  std::uint64_t started_tasks = 0;
};

// A filler that has ended, as long as tails may still show it.
struct ended_filler {
  std::string image;
  double share = 0;  // Of the worker's cores, at its last pace.
  millis at = 0;
};

// A worker, its room and its runs.
struct scheduled_worker {
  std::string agent;
  executor_description description;
  bool known = false;              // Its runs have been listed.
  millis granted_until = 0;        // Its runs may live until then.
  std::uint64_t seen_end = 0;      // Highest end that was taken in.
  std::uint64_t recorded_end = 0;  // Highest end that is durable.
  amount used;                     // By all but fillers.
  std::int64_t service_milli = 0;  // Of it, by services.
  std::int64_t filler_milli = 0;
  std::set<task_name> tasks;
  worker_health health;
  std::vector<ended_filler> ended_fillers;  // Lately.
  bool has_new_tails = false;  // Since its fillers were paced last.
  millis full_until = 0;       // It refused a task for want of room.
  std::uint64_t order_number = 0;
  std::deque<std::pair<std::uint64_t, worker_order>> orders;  // Not yet acked.
};

// The part of the configuration that the scheduler needs.
struct scheduling_config {
  std::uint64_t version = 0;
  std::map<std::string, queue_policy> queues;
};

// What is to be written to the store in one commit.
struct durable_changes {
  std::uint64_t number = 0;  // Passed back to Committed().
  std::vector<job_progress> progress;
  std::vector<std::string> forgotten;  // Jobs whose retention is over.
  std::optional<std::set<std::string>> members;  // Agents that hold grants.
};

// The scheduler of all jobs. Not thread-safe.
class job_scheduler {
 public:
  job_scheduler(scheduler_options options, millis now);

  // Called for each decision that is worth a line in the log.
  std::function<void(const scheduler_event&)> on_event;

  // Takes what a former scheduler left in the store. Has to come first.
  void Restore(const std::vector<job_record>& records,
               const std::vector<job_progress>& progress,
               const std::set<std::string>& cancelled,
               const std::set<std::string>& members,
               millis now);

  // Continues under a higher epoch, with no other scheduler in between.
  void RaiseEpoch(std::uint64_t epoch) { options_.epoch = epoch; }

  void SetConfig(scheduling_config config);

  // Adds a job that is stored; repeated calls have no effect.
  void AddJob(const job_record& record, millis now);

  // Cancels a job; false when there is no such job.
  bool CancelJob(const std::string& id);

  // Takes an agent's report in, and extends its grant.
  void OnReport(const worker_report& report, millis now);

  // An agent says that its worker's executor has left for good.
  void OnWorkerGone(const std::string& agent,
                    const executor_boot& boot,
                    millis now);

  // Does what is due by time, and places waiting tasks. `wall_ms` is since
  // 1970.
  void Tick(millis now, std::int64_t wall_ms);

  // Returns the changes since the last call, if there are any. The next call
  // is allowed after Committed() or CommitFailed().
  std::optional<durable_changes> TakeChanges(std::int64_t wall_ms);
  void Committed(std::uint64_t number);
  void CommitFailed(const durable_changes& changes);

  // True when TakeChanges() would return something.
  bool HasChanges() const;

  // Drops the orders that an agent has taken, and returns the others.
  std::vector<std::pair<std::uint64_t, worker_order>> OrdersFor(
      const std::string& agent,
      std::uint64_t acked);

  // Returns up to which end the agent's executor may forget.
  std::uint64_t RecordedEnd(const std::string& agent) const;

  // True when the agent may be granted anything: its membership is durable.
  bool IsMember(const std::string& agent) const;

  // A job's state as callers may see it; nothing when it is not known.
  std::optional<job_state> StateOf(const std::string& id) const;

  // Accepted jobs of a queue of which no task has started.
  std::uint64_t PendingOf(const std::string& queue) const;

  // Core-milliseconds of work that wait, and cores of usable workers.
  double BacklogSeconds(const std::string& service) const;

  // What was learned of how batch work presses on services; see
  // pressure_model. It outlives this scheduler in the store.
  std::string LearnedPressure() const { return pressure_.Encode(); }
  result<void> RestorePressure(const std::string& text) {
    return pressure_.Restore(text);
  }

  const std::map<std::string, scheduled_job>& Jobs() const { return jobs_; }
  const std::map<std::string, scheduled_worker>& Workers() const {
    return workers_;
  }

  // Agents whose orders have changed since the last call.
  std::set<std::string> TakeWoken();

 private:
  // Up to which end of a boot everything will be durable.
  struct recorded_ends {
    executor_boot boot;
    std::uint64_t upto = 0;
  };

  // A step with tasks that wait for a worker.
  struct waiting_step {
    scheduled_job* job;
    std::uint32_t occurrence;
    std::uint32_t number;
    std::vector<std::uint32_t> tasks;
    int lateness;  // 0: in time, 1: late, 2: too late to be worth anything.
    double rank;   // Lower goes first.
  };

  // A worker that may run tasks of a step. Tasks of one step are alike, so this
  // is worked out once for all of them.
  struct candidate {
    scheduled_worker* worker;
    double score;
    double pace;  // At which a filler may start beside the worker's services.
  };

  // job_scheduler.cpp: jobs and their state.
  void OpenOccurrence(scheduled_job& job, std::uint32_t number);
  void UpdateReadiness(scheduled_job& job, std::uint32_t number, millis now);
  void MarkDone(scheduled_job& job, const task_name& key, millis now);
  void Finish(scheduled_job& job, job_state state);
  static bool HasRuns(const scheduled_job& job);
  void StopAllRuns(scheduled_job& job, const char* reason);
  scheduled_task* FindTask(const task_name& key);
  job_progress ProgressOf(const scheduled_job& job, std::int64_t wall_ms) const;
  void RestoreProgress(scheduled_job& job, const job_progress& progress);
  void OpenDueOccurrences(std::int64_t wall_ms, millis now);
  void ForgetOldJobs(std::int64_t wall_ms);

  // job_scheduler_workers.cpp: what workers report.
  void ChangeBoot(scheduled_worker& worker,
                  const executor_description& to,
                  millis now);
  void TakeRuns(scheduled_worker& worker,
                const worker_report& report,
                millis now);
  void TakeEnd(scheduled_worker& worker, const ended_run& ended, millis now);
  void TakeStart(scheduled_worker& worker,
                 const start_result& result,
                 millis now);
  void AdoptRun(scheduled_worker& worker, const run_status& status, millis now);
  void DropRun(const task_name& key,
               const std::string& agent,
               std::uint64_t run,
               millis now);
  void DropAllRuns(scheduled_worker& worker, const char* reason, millis now);
  void ExpireSilentWorkers(millis now);
  void EvacuateDraining();
  void Release(scheduled_worker& worker,
               const scheduled_job& job,
               const task_name& key);
  void Occupy(scheduled_worker& worker,
              const scheduled_job& job,
              const task_name& key);

  // job_scheduler_placement.cpp: who runs what.
  std::vector<waiting_step> WaitingSteps();
  void PlaceWaiting(millis now);
  void PlaceTasks(const waiting_step& waiting, millis now);
  void PlaceGang(const waiting_step& waiting, millis now);
  std::vector<candidate> Candidates(const scheduled_job& job,
                                    const task_name& step_key,
                                    millis now);
  std::optional<candidate> Evaluate(scheduled_worker& worker,
                                    const scheduled_job& job,
                                    const task_name& step_key,
                                    millis now);
  static candidate* BestCandidate(std::vector<candidate>& candidates,
                                  const task_name& key,
                                  const scheduled_task& task,
                                  bool is_filler,
                                  millis now);
  scheduled_worker* ChooseWorker(const scheduled_job& job,
                                 const task_name& key,
                                 const scheduled_task& task,
                                 millis now);
  static std::int64_t FillerRoom(const scheduled_worker& worker);
  bool MayRun(const scheduled_worker& worker,
              const scheduled_job& job,
              const task_name& key,
              millis now) const;
  std::uint64_t NextRun(const scheduled_task& task) const;
  void OrderStart(scheduled_worker& worker,
                  scheduled_job& job,
                  const task_name& key,
                  scheduled_task& task,
                  std::uint64_t run,
                  millis now);
  void OrderStop(const task_name& key, task_run& run, const char* reason);
  void AddOrder(const std::string& agent, worker_order order);
  void CopySlowTasks(millis now);
  void MoveStuckTasks(millis now);
  void MoveSlowedFillers(millis now);

  // job_scheduler_sharing.cpp: batch tasks beside services.
  struct service_run {
    task_name name;
    task_run* run = nullptr;
    const job_step* step = nullptr;
  };
  struct filler_run {
    task_name name;
    task_run* run = nullptr;
    const job_step* step = nullptr;
  };
  // The runs of a worker that matter for sharing.
  struct worker_runs {
    std::vector<service_run> services;
    std::vector<filler_run> fillers;
  };
  worker_runs RunsOf(const scheduled_worker& worker);
  const worker_runs& CachedRunsOf(const scheduled_worker& worker);
  static std::string LoadGroup(const task_name& name);
  static std::vector<colocated_work> WorkBeside(scheduled_worker& worker,
                                                const worker_runs& runs,
                                                millis listed);
  void LearnPressure(scheduled_worker& worker, millis listed, millis now);
  double RoomBeside(const scheduled_worker& worker,
                    const worker_runs& runs,
                    const service_run& service,
                    millis now) const;
  void LeaveRoom(const scheduled_worker& worker,
                 const worker_runs& runs,
                 const service_run& service,
                 double room,
                 const std::vector<std::size_t>& order,
                 std::vector<double>& paces) const;
  std::vector<std::size_t> ByUrgency(const worker_runs& runs) const;
  static double ObjectiveOf(const scheduled_job& job);
  void PaceFillers(millis now);
  void PaceWorker(scheduled_worker& worker, millis now);
  double LeastBlamed(const worker_runs& runs, const std::string& service) const;
  static void NoteEndedFiller(scheduled_worker& worker,
                              const job_step& step,
                              const task_run& run,
                              millis now);
  void OrderPace(const task_name& name,
                 task_run& run,
                 std::uint32_t percent,
                 millis now);
  double PaceBeside(const scheduled_worker& worker,
                    const job_step& filler,
                    millis now);

  void Emit(const char* event,
            const std::string& subject,
            const std::string& worker,
            const std::string& detail) const;

  // Between two looks for runs that are stuck, slow or due for a copy: what
  // they look for takes seconds.
  static constexpr millis kScanInterval = 100;

  // Waiting tasks are tried again after this time even if nothing has changed,
  // as paces and pauses change with time alone.
  static constexpr millis kPlacingInterval = 100;

  // How long a worker that refused a task for want of room gets no other.
  static constexpr millis kFullPause = 250;

  // How much longer than a list's age a run has to be confirmed before its
  // absence from the list counts: answers overtake each other.
  static constexpr millis kListSlack = 500;

  scheduler_options options_;
  scheduling_config config_;
  std::map<std::string, scheduled_job> jobs_;
  std::map<std::string, scheduled_worker> workers_;
  std::map<std::string, millis> unheard_;  // Former members, and until when
                                           // their runs may live.
  std::set<std::string> active_;           // Jobs that have not ended.
  std::set<std::string> members_;          // As written last.
  std::set<std::string> wanted_members_;
  std::set<std::string> dirty_;  // Jobs to be written.
  std::vector<std::string> forgotten_;
  std::set<std::string> woken_;
  std::uint64_t commit_number_ = 0;
  std::optional<std::uint64_t> committing_;
  std::set<std::string> committing_members_;
  std::map<std::string, recorded_ends> committing_ends_;  // By agent.
  std::map<std::string, std::int64_t> committing_final_;  // Job to its end.
  millis next_pace_ = 0;
  millis next_scan_ = 0;
  millis next_placing_ = 0;
  bool placing_wanted_ = true;  // Something has changed since the last time.
  // Within one Tick(); see CachedRunsOf().
  std::map<const scheduled_worker*, std::shared_ptr<worker_runs>> runs_cache_;
  std::set<std::string> repeating_;  // Jobs with occurrences to come.
  pressure_model pressure_;
  std::int64_t wall_ms_ = 0;
  std::uint64_t rotation_ = 0;
};

}  // namespace chervilkeel
