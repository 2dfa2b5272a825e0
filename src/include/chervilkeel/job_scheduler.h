// Decides which task runs on which worker and when. It uses no sockets, threads
// or clock: the caller passes in events and the current time, and takes out the
// orders for agents and the changes to be stored.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "chervilkeel/evacuation_state.h"
#include "chervilkeel/job.h"
#include "chervilkeel/move_cost.h"
#include "chervilkeel/pressure_model.h"
#include "chervilkeel/room_reservations.h"
#include "chervilkeel/room_timeline.h"
#include "chervilkeel/task_table.h"
#include "chervilkeel/worker_health.h"
#include "chervilkeel/worker_report.h"

namespace chervilkeel {

// Durations are in milliseconds.
struct scheduler_options {
  // How long an agent may keep its runs alive after a report.
  millis grant = 5'000;
  // Added to an expired grant or lease before its runs count as ended.
  millis grant_margin = 400;
  // Highest relative drift of an executor's clock.
  double clock_drift = 0.02;
  // How long runs of a former scheduler may live after this one has begun.
  millis longest_lease = 6'000;
  // Whether a former scheduler may go on without a lease. This one then waits
  // for the consent of most members; see FormerMayAct().
  bool former_may_act = false;
  // How old the lists of runs may be by which a scheduler without a lease goes
  // on. A new scheduler takes the former one to have the same value.
  millis list_freshness = 2'000;
  // How long a job is stored after its end.
  millis retention = 150'000;
  // Run numbers of an epoch start at a multiple of this, so that schedulers of
  // different epochs never assign the same number.
  std::uint64_t runs_per_epoch = 1'000'000;
  std::uint64_t epoch = 1;
  // Added to due times, since the wall clock may be off by this much.
  millis due_time_tolerance = 0;
  // The data centres in which nothing is started, kept up to date by the owner.
  // Null if operators evacuate none; otherwise nothing is started anywhere
  // before a list of them is known.
  std::shared_ptr<const evacuation_state> evacuations;
  // What a move of a throttled best-effort task costs in this deployment.
  move_times moves;
  // How long a large task waits before a worker is reserved for it; 0: no
  // worker is ever reserved.
  millis lookahead = 0;
  // Switched off only by bench/sharing, to measure the effect of each.
  bool limits_best_effort_pace = true;
  bool learns_interference = true;
  bool orders_by_value = true;  // Otherwise jobs go in the order of acceptance.
};

// A decision for the log, with the values it was based on.
struct scheduler_event {
  const char* event;
  std::string subject;  // A job or a task.
  std::string worker;
  std::string detail;  // key=value pairs.
};

// The failed runs of a step on one worker.
struct worker_failures {
  std::size_t runs = 0;
  millis first_at = 0;
  millis last_at = 0;
  millis longest = 0;  // Working time of the longest of them.
};

struct scheduled_step {
  task_table tasks;
  bool ready = false;
  std::map<std::string, worker_failures> failures;  // By agent.
  // Whether more runs have failed lately than have succeeded or have been at
  // work for longer than any of those.
  bool most_runs_fail = false;
  // Whether failures are put down to the step and not to its workers.
  bool is_at_fault = false;
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
  // By the monotonic clock of this process.
  millis added_at = 0;
  millis critical_path = 0;
  std::vector<millis> remaining_paths;  // By step; see RemainingPaths().
  // By step: the first one with the same needs.
  std::vector<std::uint32_t> first_alike;
  double total_work = 0;  // Of one occurrence, in milli-processor ms.
  // True when a scheduler of an earlier epoch may have started tasks of the
  // job.
  bool may_have_former_runs = false;
  // True when tasks of the job may wait for a worker; false when none does.
  bool has_waiting_tasks = false;
  // True when the end of the job has been stored.
  bool end_is_durable = false;
  std::uint64_t done_tasks = 0;
  // Runs that have begun; an order alone starts nothing.
  std::uint64_t begun_runs = 0;
  std::uint64_t runs = 0;  // That have not ended, including ordered ones.
  // Sums over all tasks, in ms: time in which they waited for a worker, and
  // working time that their runs lost to paces below 100.
  millis waited = 0;
  millis throttled = 0;
  std::uint64_t moves = 0;  // Runs stopped for a worker that allows more.
};

// How services and best-effort tasks share the workers at the moment.
struct sharing_summary {
  std::uint64_t workers = 0;  // That may get tasks.
  std::uint64_t workers_without_services = 0;
  // Mean number of images of services with a tail latency target, over the
  // workers that run such services.
  double service_images_per_worker = 0;
  std::int64_t service_milli_processors = 0;  // Reserved.
  std::uint64_t best_effort_runs = 0;
  std::int64_t best_effort_milli_processors = 0;  // At full speed.
  double mean_pace_percent = 100;  // Of the best-effort runs, by their cores.
  std::uint64_t waiting_tasks = 0;
  std::uint64_t reserved_workers = 0;  // For large tasks that wait.
  // Of the durations that are expected of runs, as a fraction of the actual.
  double mean_duration_error = 0;
};

// Orders to agents whose outcome the scheduler has not heard for long: their
// tasks neither run nor start elsewhere, and their workers stay reserved.
struct overdue_orders {
  std::uint64_t starts = 0;
  std::uint64_t stops = 0;
  task_name oldest;
  std::string worker;  // Of the oldest.
  millis oldest_age = 0;
};

// What keeps a worker from getting a task.
enum class start_obstacle {
  kNoRunList,     // Its runs are not known yet.
  kDraining,      // Its executor is leaving.
  kOtherService,  // It runs tasks of another service.
  kBackOff,       // It has just refused a start for lack of capacity.
  kUnhealthy,     // Most runs fail there, and its next probe is not due.
  kLabel,         // It lacks the label that the step requires.
  kCapacity,      // Its free capacity is too small.
  kNoMember,      // Its membership is not stored yet.
  kNoConsent,     // Most members may obey a former scheduler.
  kTaskLimit,     // It has as many tasks of the step as may run on one worker.
  kReserved,      // It is kept for trials of suspect tasks.
  kPace,          // Its services leave a best-effort task too little.
  kEvacuated,     // Its data centre is being evacuated.
  kEvacuationUnknown,  // Whether it is, has not been read yet.
  kHeld,               // The task would delay one for which it is reserved.
  kOrderWindow,        // Too many of its starts have no outcome yet.
  kRunLimit,           // It has as many runs as jobs with many may add to.
};

struct start_obstacle_name {
  start_obstacle obstacle;
  const char* name;
};

inline constexpr start_obstacle_name kStartObstacleNames[] = {
    {start_obstacle::kNoRunList, "no_run_list"},
    {start_obstacle::kDraining, "draining"},
    {start_obstacle::kOtherService, "other_service"},
    {start_obstacle::kBackOff, "back_off"},
    {start_obstacle::kUnhealthy, "unhealthy"},
    {start_obstacle::kLabel, "label"},
    {start_obstacle::kCapacity, "capacity"},
    {start_obstacle::kNoMember, "no_member"},
    {start_obstacle::kNoConsent, "no_consent"},
    {start_obstacle::kTaskLimit, "task_limit"},
    {start_obstacle::kReserved, "reserved"},
    {start_obstacle::kPace, "pace"},
    {start_obstacle::kEvacuated, "evacuated"},
    {start_obstacle::kEvacuationUnknown, "evacuation_unknown"},
    {start_obstacle::kHeld, "held"},
    {start_obstacle::kOrderWindow, "order_window"},
    {start_obstacle::kRunLimit, "run_limit"},
};

const char* NameOf(start_obstacle obstacle);

// A job with a waiting task and no runs, and what keeps each worker from
// getting that task.
struct idle_job {
  task_name task;
  millis waited = 0;
  bool is_suspect = false;  // The task starts only as a trial.
  // The task waits until all workers of the former scheduler have reported.
  bool awaits_former_workers = false;
  millis restart_in = 0;  // The rest of a delay after early ends.
  std::uint64_t startable_workers = 0;
  std::map<start_obstacle, std::uint64_t> obstacles;  // To numbers of workers.
};

// An ended run of a best-effort task. It is remembered while the tail latencies
// of colocated services may still show its interference.
struct ended_best_effort_run {
  std::string image;
  double core_share = 0;  // Of the worker's cores, at its last pace.
  millis ended_at = 0;
};

// A worker, its reserved resources and its tasks.
struct scheduled_worker {
  std::string agent;
  std::uint64_t incarnation = 0;  // Of the agent's process; 0: not known.
  // The processes that have called; the latest last.
  std::deque<std::uint64_t> known_incarnations;
  std::uint64_t last_call = 0;  // Number and time of the latest call.
  millis last_call_sent_at = 0;
  // This process's clock less the agent's, by the call that was fastest.
  millis clock_offset = 0;
  // Set if the agent has forgotten the orders that it has acknowledged.
  bool has_forgotten_orders = false;
  executor_description description;
  // True when a report of the present boot has listed the worker's runs.
  bool runs_known = false;
  // Set if the boot was first reported while there was no lease.
  bool came_without_lease = false;
  millis listed_at = 0;  // When the last list of the executor's runs came.
  // Until when the worker's runs may live by the last grant.
  millis granted_until = 0;
  // Highest number of a run's end that was received, and of one that is stored.
  std::uint64_t last_received_end = 0;
  std::uint64_t recorded_end = 0;
  // Lower numbers whose ends have not been received. The agent may have failed
  // to read them, and report them later.
  std::set<std::uint64_t> missed_ends;
  // Reserved resources, without the cores of best-effort tasks.
  amount used;
  // The part of `used` that services reserve.
  std::int64_t service_milli_processors = 0;
  std::int64_t best_effort_milli_processors = 0;
  std::set<task_name> tasks;
  worker_health health;
  std::vector<ended_best_effort_run> ended_best_effort_runs;
  // True when tail latencies have come since the last update of the paces.
  bool has_new_tail_latencies = false;
  // No starts until then, after the worker refused one for lack of capacity.
  millis start_backoff_until = 0;
  // Runs that were given up when the worker fell silent, and when.
  std::vector<lost_run> silent_runs;
  millis silent_since = 0;
  // The latest boots that were found to have crashed, and when the last one
  // was found. Agents tell of a crash more than once.
  std::deque<executor_boot> crashed_boots;
  millis crashed_at = 0;
  // Until then only trials of suspect tasks start here, first that of the task
  // for which the worker was reserved.
  millis reserved_until = 0;
  task_name reserved_for;
  // When the last trial began here, and with how many tasks. The worker stays
  // reserved until all runs are proven or gone, but not beyond `trial_until`.
  millis trial_began = 0;
  std::size_t trial_size = 0;
  millis trial_until = 0;
  std::uint64_t last_order_number = 0;
  // Orders that the agent has not acknowledged, with their numbers. They lack
  // the payload.
  std::deque<std::pair<std::uint64_t, worker_order>> orders;
  // Starts without a known outcome, and their bytes.
  std::size_t open_starts = 0;
  std::size_t open_start_bytes = 0;
};

// The part of the configuration that the scheduler needs.
struct scheduling_config {
  std::uint64_t version = 0;
  std::map<std::string, queue_policy> queues;
};

// Changes to be stored in one transaction.
struct durable_changes {
  std::uint64_t number = 0;  // To be passed to Committed().
  std::vector<job_progress> progress;
  std::vector<std::string> expired_jobs;  // Jobs whose retention has expired.
  std::optional<std::set<std::string>> members;  // Agents that hold grants.
};

// Schedules the tasks of all jobs. Not thread-safe.
class job_scheduler {
 public:
  job_scheduler(scheduler_options options, millis now);

  // Called for each decision to be logged.
  std::function<void(const scheduler_event&)> on_event;

  // Restores what a former scheduler has stored. Has to be called before any
  // job or report is added.
  void Restore(std::vector<job_record> records,
               const std::vector<job_progress>& progress,
               const std::set<std::string>& cancelled,
               const std::set<std::string>& members,
               millis now);

  // Continues under a higher epoch, when no other scheduler was elected in
  // between. Agents forget their orders of the former epoch.
  void RaiseEpoch(std::uint64_t epoch);

  void SetConfig(scheduling_config config);

  // Sets whether the lease of the owner is valid; the default is yes. Without
  // it a silent agent may have a new owner, so that its runs live on longer.
  void SetHasLease(bool has_lease);

  // Whether most members have listed their runs lately, without which a
  // scheduler that has no lease may not act: they may have a new owner, which
  // has the consent of most. Executors that came without the lease don't
  // count: they have not told whom they obeyed before.
  bool HearsMostMembers(millis now) const;

  // True while a former scheduler may act without a lease. Until most members
  // have reported, this one keeps no runs alive and starts none; until the
  // former one has noticed that it lacks them, this one acknowledges no ends
  // and changes no members.
  bool FormerMayAct() const { return former_may_act_; }

  // Adds a stored job. Idempotent. A job that was stored under a later epoch is
  // left to the scheduler of that epoch.
  void AddJob(job_record added, millis now);

  // Cancels a job. Returns false when there is no such job.
  bool CancelJob(const std::string& id);

  // Removes what is stored under an id, unless there is such a job.
  void RemoveUnknownJob(const std::string& id);

  // Processes an agent's report and extends its grant.
  void OnReport(const worker_report& report, millis now);

  // Takes note of an agent's call, and of the process that makes it: before the
  // process gets orders, which another one may have tried. Calls of an agent
  // overlap, are held up and overtake each other.
  call_order NoteCall(const std::string& agent,
                      const agent_call& call,
                      millis now);

  // Called when an agent reports that its worker's executor has left for good.
  void OnExecutorLeft(const std::string& agent,
                      const executor_boot& boot,
                      millis now);

  // Does what is due by now and places waiting tasks. `wall_ms` is the wall
  // clock in ms since 1970.
  void Tick(millis now, std::int64_t wall_ms);

  // Returns the changes since the last call, if there are any. Each result has
  // to be settled by Committed() or CommitFailed() before the next call returns
  // any.
  std::optional<durable_changes> TakeChanges(std::int64_t wall_ms);
  // Settles the changes of that number as stored, or puts them back.
  void Committed(std::uint64_t number);
  void CommitFailed(const durable_changes& changes);

  // True when TakeChanges() would return changes.
  bool HasChanges() const;

  // Drops the orders that an agent has acknowledged and returns the others, as
  // far as they fit one reply. Starts get their job's payload here: while they
  // wait, it is held once a job.
  std::vector<std::pair<std::uint64_t, worker_order>> OrdersFor(
      const std::string& agent,
      std::uint64_t acked);

  // True when an agent has orders that it has not acknowledged.
  bool HasOrdersFor(const std::string& agent, std::uint64_t acked) const;

  // Returns the highest number of an end that the agent's executor may forget.
  std::uint64_t RecordedEnd(const std::string& agent) const;

  // True when the agent's membership is stored, which a grant requires.
  bool IsMember(const std::string& agent) const;

  // True if runs on the agent's executor may be kept alive. That requires
  // membership, the consent of most members if that is waited for, and of a
  // former scheduler's worker a complete list of its runs: one that is not
  // known would live on while its task starts elsewhere.
  bool MayGrant(const std::string& agent) const;

  // Returns a job's state as callers may see it, or nothing for an unknown job.
  // An end other than by cancellation shows only once it is stored.
  std::optional<job_state> StateOf(const std::string& id) const;

  // Returns the number of accepted jobs of a queue of which no task is known to
  // have begun.
  std::uint64_t PendingJobCount(const std::string& queue) const;

  // Returns how many seconds the usable workers of a service would take for all
  // batch work that is not done.
  double BacklogSeconds(const std::string& service) const;

  // What was learned of the interference of batch tasks with services; see
  // pressure_model. It is stored, so that the next scheduler can use it.
  std::string EncodePressureModel() const { return pressure_model_.Encode(); }
  result<void> RestorePressureModel(const std::string& text) {
    return pressure_model_.Restore(text);
  }

  const std::map<std::string, scheduled_job>& Jobs() const { return jobs_; }
  const std::map<std::string, scheduled_worker>& Workers() const {
    return workers_;
  }

  sharing_summary SummarizeSharing();

  // Returns the decisions on moves of throttled tasks since the last call.
  move_counts TakeMoveCounts() { return std::exchange(move_counts_, {}); }

  // Returns the orders that have been without an outcome for kOverdueTime.
  overdue_orders FindOverdueOrders(millis now);

  // Returns the job that has waited longest of those without runs, if it has
  // waited for kOverdueTime.
  std::optional<idle_job> FindIdleJob(millis now);

  // Returns the agents whose orders, membership or recorded end have changed
  // since the last call.
  std::set<std::string> TakeAgentsToNotify();

 private:
  // The highest end of a boot that the commit in progress will make durable.
  struct committing_end {
    executor_boot boot;
    std::uint64_t end_number = 0;
  };

  // A ready step with tasks that wait for a worker.
  struct waiting_step {
    scheduled_job* job;
    std::uint32_t occurrence;
    std::uint32_t step_index;
    std::vector<std::uint32_t> tasks;  // Those that are tracked.
    bool has_untouched;  // Whether tasks that are not tracked wait as well.
    int lateness;        // 0: in time; 1: late; 2: too late to be of any value.
    double rank;         // Lower goes first.
  };

  // Trials may start on workers that are reserved for them.
  enum class start_kind { kNormal, kTrial };

  // Whether a suspect task has crashed enough executors to be tried alone.
  enum class suspect_kind { kFirst, kRepeat };

  // A worker that may run tasks of a step. All tasks of a step have the same
  // requirements, so they share their candidates.
  struct candidate {
    scheduled_worker* worker;
    double score;
    // At which a best-effort task may start alongside the worker's services.
    double pace;
  };

  // job_scheduler.cpp: jobs and their state.
  // Whether the members have to be stored.
  bool HasNewMembers() const;
  // Opens all occurrences up to `last` that are not open yet. Their steps are
  // not marked as ready.
  void OpenOccurrences(scheduled_job& job, std::uint32_t last);
  void OpenOccurrence(scheduled_job& job, std::uint32_t number);
  // Marks the steps of an occurrence as ready once their predecessors are done.
  void UpdateReadiness(scheduled_job& job, std::uint32_t number, millis now);
  void MarkDone(scheduled_job& job, const task_name& key, millis now);
  // Takes note that a run has begun, and with it the job.
  static void NoteBegun(scheduled_job& job, task_run& run);
  void EndJob(scheduled_job& job, job_state state);
  static bool HasRuns(const scheduled_job& job) { return job.runs > 0; }
  void StopAllRuns(scheduled_job& job, const char* reason);
  // Returns a task for changes, or null. It is tracked from now on.
  scheduled_task* FindTask(const task_name& key);
  // Returns a task for reading, or null; see task_table.
  const scheduled_task* PeekTask(const task_name& key) const;
  // Returns a copy of a task that exists, without tracking it.
  scheduled_task TaskCopy(const task_name& key) const {
    return jobs_.at(key.job)
        .occurrences.at(key.occurrence)
        .steps[key.step]
        .tasks.CopyOf(key.index);
  }
  // Stops tracking the tasks that are done and have no runs. Not called while
  // a task is held by reference.
  void ReleaseFinishedTasks();
  // The same for a task that an executor has listed: a former scheduler may
  // have opened its occurrence although it is not due by this VM's clock.
  scheduled_task* FindOrOpenTask(const task_name& key, millis now);
  job_progress ProgressOf(const scheduled_job& job, std::int64_t wall_ms) const;
  void RestoreProgress(scheduled_job& job, const job_progress& progress);
  void OpenDueOccurrences(std::int64_t wall_ms, millis now);
  // Whether a job's retention has expired, though the store may still have it.
  bool HasExpired(const std::string& id) const;
  // Removes ended jobs whose retention has expired, and drops the work of
  // others.
  void ExpireEndedJobs(std::int64_t wall_ms);
  // Drops the tasks of an ended job, and all of its steps but their sizes. An
  // executor that still lists a run of it reserves room for that.
  static void DropWork(scheduled_job& job);

  // job_scheduler_workers.cpp: reports from workers.

  // Handles a report of a new boot: the runs of the former one are lost.
  // The new process of an agent knows nothing of former orders.
  void OnProcessChanged(scheduled_worker& worker);
  void ForEachRun(scheduled_worker& worker,
                  const std::function<void(task_run&)>& change);
  void OnBootChanged(scheduled_worker& worker,
                     const executor_description& description,
                     millis now);
  // Notes that an end was received; returns whether that is new. An agent that
  // can't read an end tells later ones meanwhile.
  bool NoteReceivedEnd(scheduled_worker& worker, std::uint64_t number);
  // Updates or adopts the runs that a worker lists, and removes those that are
  // missing if the list is complete.
  void ProcessRunList(scheduled_worker& worker,
                      const worker_report& report,
                      millis now);
  // Whether a run that a list lacks is gone.
  bool HasVanished(const task_name& key,
                   const task_run& run,
                   millis listed_at,
                   millis listed_after);
  void ProcessRunEnd(scheduled_worker& worker,
                     const ended_run& ended,
                     millis now);
  void ProcessStartResult(scheduled_worker& worker,
                          const start_result& result,
                          millis now);
  void UpdateOrAdoptRun(scheduled_worker& worker,
                        const run_status& status,
                        millis listed_before,
                        millis now);
  // Tells the worker's health what the progress of a run means for it.
  void NoteProgress(scheduled_worker& worker,
                    const run_status& status,
                    const task_run& run);
  // Removes a run that has ended, and releases what it reserved.
  void RemoveRun(const task_name& key,
                 const std::string& agent,
                 std::uint64_t run,
                 millis now);
  void RemoveAllRuns(scheduled_worker& worker, const char* reason, millis now);
  // Returns whether the silence of a worker is its own. After a pause of this
  // process, reports that arrived in the meantime have to be processed first.
  bool MayJudgeSilence(millis now);
  // Removes the runs of agents whose grants have expired, and stops waiting for
  // former members whose leases have.
  void ExpireSilentWorkers(millis now);
  void EvacuateDrainingWorkers();
  // Account for the resources that a task reserves on a worker.
  void ReleaseResources(scheduled_worker& worker,
                        const scheduled_job& job,
                        const task_name& key);
  void ReserveResources(scheduled_worker& worker,
                        const scheduled_job& job,
                        const task_name& key);

  // job_scheduler_consent.cpp: two schedulers, of which most members obey one.
  // Finds out whether most former members have reported, and whether the former
  // scheduler knows that it lacks them.
  void UpdateConsent(millis now);
  bool HasConsent() const { return !former_may_act_ || consented_at_ != 0; }
  bool HearsMostOf(const std::set<std::string>& members, millis now) const;
  void NotifyAllAgents();

  // job_scheduler_crashes.cpp: executors that crash.
  // See kProvingTime.
  static bool IsProven(const scheduled_worker& worker, const task_run& run);
  // Returns the runs that end with the present boot of a worker's executor.
  std::vector<lost_run> RunsOnWorker(const scheduled_worker& worker);
  // Finds the tasks that may have crashed a worker's executor, and gives up
  // those that surely or too often did.
  void OnExecutorCrashed(scheduled_worker& worker,
                         const crashed_executor& crashed,
                         millis now);
  // Whether a crash of that run has been counted, or is settled.
  static bool IsSettled(const scheduled_task& task, const lost_run& lost);
  // Remembers the runs of a worker that has fallen silent: whether its executor
  // has crashed will only be known when it reports again.
  void RememberSilentRuns(scheduled_worker& worker, millis now);
  // Drops the doubts that those runs have raised.
  void ForgetSilentRuns(scheduled_worker& worker);
  // Drops what the task is suspected of once a run of it is proven: a task that
  // crashes its executors does so each time.
  void ClearSuspect(const task_name& key,
                    scheduled_task& task,
                    std::uint64_t proven_run);
  bool HasUnprovenRuns(const scheduled_worker& worker);
  // Counts a crash against the task of a run, and gives up the task's job if it
  // is the cause. `is_only_suspect`: no other run of the executor was unproven.
  void BlameRun(const lost_run& lost,
                const std::string& agent,
                bool is_only_suspect);
  // What trials may use of a service's workers.
  struct trial_room {
    std::size_t tasks = 1;  // That may be tried together.
    bool may_reserve = false;
    bool has_free_worker = false;  // Among those that are reserved.
    scheduled_worker* reserved_for_task = nullptr;
  };
  trial_room FindTrialRoom(const std::string& service,
                           const task_name& key,
                           const scheduled_task& task,
                           millis now);
  static bool IsRepeatSuspect(const scheduled_task& task);
  // Whether a worker's executor has listed its runs lately. One that has not
  // may have crashed, which is known for sure only once it is back.
  static bool IsAnswering(const scheduled_worker& worker, millis now);
  // Starts trials of those tasks of a step, as far as there is room.
  void StartTrials(const waiting_step& waiting, suspect_kind kind, millis now);
  // Starts trials of the suspect tasks that have waited for kMaxTrialWait,
  // those that have waited longest first, whatever their crashes and
  // priorities.
  void StartOverdueTrials(const std::vector<waiting_step>& steps, millis now);
  // Starts a suspect task where nothing else can be taken for the cause of a
  // crash, or reserves a worker for it. Returns false if there is none.
  bool StartTrial(scheduled_job& job,
                  const task_name& key,
                  scheduled_task& task,
                  millis now);
  void BeginTrial(scheduled_worker& worker,
                  const scheduled_task& task,
                  millis now);
  // Whether a worker takes only trials now.
  bool IsReserved(scheduled_worker& worker, millis now);
  // Whether a trial of that task may begin on a worker now.
  bool IsFreeForTrial(const scheduled_worker& worker,
                      const scheduled_task& task,
                      std::size_t trial_size,
                      millis now);

  // job_scheduler_failures.cpp: runs that fail.
  // Counts a failure against the worker, unless its step is at fault.
  void NoteFailure(scheduled_worker& worker,
                   const step_name& name,
                   millis worked,
                   millis now);
  scheduled_step& StepOf(const step_name& name);
  static bool MostRunsFail(const scheduled_step& step, millis now);
  // Decides for each step with failures whether the step is at fault or its
  // workers are.
  void JudgeFailures(millis now);
  bool IsAtFault(const step_name& name, millis now);
  // Delays the next start of a service that has ended early, the longer the
  // more often it did so in a row.
  void DelayRestart(const task_name& key,
                    scheduled_task& task,
                    millis worked,
                    millis now);

  // job_scheduler_placement.cpp: choice of workers, and orders.
  std::vector<waiting_step> WaitingSteps(millis now);
  // Returns the estimated work left of an occurrence, in milli-processor ms.
  static double RemainingWork(const scheduled_job& job,
                              const scheduled_occurrence& occurrence);
  // Returns the remaining work of an occurrence, divided by the value of its
  // job. Occurrences with the lowest ratio go first, so that under overload the
  // jobs that are nearly done end in time.
  double WorkPerValue(const scheduled_job& job,
                      const scheduled_occurrence& occurrence) const;
  void PlaceWaiting(millis now);
  // Returns whether all tasks of the step have found a worker.
  bool PlaceTasks(const waiting_step& waiting, millis now);
  void PlaceGang(const waiting_step& waiting, millis now);
  std::vector<candidate> Candidates(const scheduled_job& job,
                                    const task_name& step_key,
                                    start_kind kind,
                                    millis now);
  std::optional<candidate> Evaluate(scheduled_worker& worker,
                                    const scheduled_job& job,
                                    const task_name& step_key,
                                    start_kind kind,
                                    millis now);
  // Returns how long a best-effort task of a job waits for a worker that lets
  // it run at kMinStartPace, in ms.
  static millis MaxWaitForPace(const scheduled_job& job);
  // Returns the best candidate for a task, or nothing. A task that has waited
  // for less than `max_wait_for_pace` (ms) takes no worker that would slow it
  // below kMinStartPace.
  static candidate* BestCandidate(std::vector<candidate>& candidates,
                                  const task_name& key,
                                  const scheduled_task& task,
                                  millis max_wait_for_pace,
                                  millis now);
  scheduled_worker* ChooseWorker(const scheduled_job& job,
                                 const task_name& key,
                                 const scheduled_task& task,
                                 millis now);
  // Returns the cores (in thousandths) that best-effort tasks may use beyond
  // those they have.
  static std::int64_t BestEffortHeadroom(const scheduled_worker& worker);
  // Returns what the evacuations of data centres say against starts on a
  // worker, if anything.
  std::optional<start_obstacle> FindEvacuation(
      const scheduled_worker& worker) const;
  // Returns what keeps a worker from running a task of a step, if anything
  // does. Reservations and paces are not looked at.
  std::optional<start_obstacle> FindObstacle(const scheduled_worker& worker,
                                             const scheduled_job& job,
                                             const task_name& key,
                                             millis now) const;
  // Returns how many runs a worker may have for jobs with many runs to add to.
  std::size_t RunLimit() const;
  std::uint64_t NextRunNumber(const scheduled_task& task) const;
  // Whether a worker gets no more starts before the outcome of others is known.
  static bool IsOrderWindowFull(const scheduled_worker& worker);
  // Takes note that the outcome of a run's start is known.
  void CloseStart(task_run& run);
  void OrderStart(scheduled_worker& worker,
                  scheduled_job& job,
                  const task_name& key,
                  scheduled_task& task,
                  std::uint64_t run,
                  millis now);
  void SendStart(const task_name& key,
                 const scheduled_task& task,
                 const task_run& run);
  // Orders the starts again whose outcome the agent's former process has not
  // told. An executor that has the run already takes it as the same one.
  void RepeatOpenStarts(const scheduled_worker& worker);
  // Whether the agent has not acknowledged the order to start or stop a run.
  static bool IsOrderQueued(const scheduled_worker& worker,
                            order_kind kind,
                            const task_name& key,
                            std::uint64_t run);
  // Removes the order to start a run that is gone: its task may run elsewhere.
  static void DropQueuedStart(scheduled_worker& worker,
                              const task_name& key,
                              std::uint64_t run);
  // `detail`: more for the log line, with a space before it.
  void OrderStop(const task_name& key,
                 task_run& run,
                 const char* reason,
                 const std::string& detail = "");
  // Orders a stop again if lists still show the run long after the order.
  void RepeatLostStop(const scheduled_worker& worker,
                      const task_name& key,
                      task_run& run);
  void AddOrder(const std::string& agent, worker_order order);
  void StartSpeculativeCopies(millis now);

  // job_scheduler_moves.cpp: runs that would do better elsewhere.
  void MoveStuckTasks(millis now);
  void MoveThrottledTasks(millis now);
  void DeclineMove(const task_name& key,
                   task_run& run,
                   const movable_run& movable,
                   const scheduled_worker* new_worker,
                   double new_pace);

  // job_scheduler_lookahead.cpp: workers reserved for large tasks that wait.
  static worker_room RoomOf(const scheduled_worker& worker);
  static task_need NeedOf(const job_step& step);
  static std::string DurationGroup(const scheduled_job& job,
                                   const job_step& step);
  // Whether a worker has all tasks of a step that may run there.
  static bool IsAtTaskLimit(const scheduled_worker& worker,
                            const job_step& step,
                            const task_name& key);
  room_timeline TimelineOf(const scheduled_worker& worker, millis now);
  // Returns by when a task that starts now has surely ended; nothing for a
  // service.
  std::optional<millis> LatestEnd(const scheduled_job& job,
                                  const job_step& step,
                                  millis now) const;
  // Gives up reservations that have become pointless, and updates the others.
  void UpdateReservations(millis now);
  std::optional<reservation_end> FindEnd(const room_reservation& reservation,
                                         millis now);
  // Reserves a worker for a task that has found none, or as many as the tasks
  // of a gang need, if it is large, has waited for long enough and can still
  // end in time. Reservations for late ones gained nothing in bench/sharing.
  void ReserveRoom(const waiting_step& waiting,
                   std::uint32_t index,
                   millis now);
  // Returns workers that could be reserved for a step, with the given need on
  // each. Empty if one of them takes a task now.
  std::vector<room_offer> FindOffers(const scheduled_job& job,
                                     const task_name& key,
                                     const task_need& need,
                                     millis now);
  // Whether a task would delay the one for which the worker is reserved.
  bool IsHeld(const scheduled_worker& worker,
              const scheduled_job& job,
              const task_name& key,
              millis now);
  void NoteStartForReservations(const scheduled_worker& worker,
                                const scheduled_job& job,
                                const task_name& key,
                                millis now);
  // Learns from a run that is done how long tasks take.
  void LearnDuration(const scheduled_job& job,
                     const task_name& key,
                     const task_run& run,
                     millis now);
  bool BeganAnew(const task_run& run) const;
  void EmitReleased(const room_reservation& reservation,
                    reservation_end cause,
                    millis now) const;

  // job_scheduler_sharing.cpp: best-effort tasks colocated with services.
  struct service_run {
    task_name name;
    task_run* run = nullptr;
    const job_step* step = nullptr;
  };
  struct best_effort_run {
    task_name name;
    task_run* run = nullptr;
    const job_step* step = nullptr;
  };
  // The services of a worker that have a tail latency target, and its
  // best-effort tasks.
  struct worker_runs {
    std::vector<service_run> services;
    std::vector<best_effort_run> best_effort;
    // By service: its InterferenceHeadroom(), and what the best-effort tasks
    // would add to its utilization at full speed. Filled by RoomsOf().
    std::vector<std::pair<double, double>> rooms;
  };
  worker_runs RunsOf(const scheduled_worker& worker);
  // The same with the rooms. They don't depend on the task to be placed, so
  // they are computed once for all waiting steps.
  const worker_runs& RoomsOf(const scheduled_worker& worker, millis now);
  static std::string LoadGroup(const task_name& name);
  static std::vector<colocated_work> InterferingWork(scheduled_worker& worker,
                                                     const worker_runs& runs,
                                                     millis listed);
  void UpdatePressureModel(scheduled_worker& worker, millis listed, millis now);
  double InterferenceHeadroom(const scheduled_worker& worker,
                              const worker_runs& runs,
                              const service_run& service,
                              millis now) const;
  void LimitInterference(const scheduled_worker& worker,
                         const worker_runs& runs,
                         const service_run& service,
                         double headroom,
                         const std::vector<std::size_t>& order,
                         std::vector<double>& paces) const;
  std::vector<std::size_t> OrderByUrgency(const worker_runs& runs) const;
  static double ObjectiveOf(const scheduled_job& job);
  void UpdatePaces(millis now);
  void UpdateWorkerPaces(scheduled_worker& worker, millis now);
  double MinBlamedFactor(const worker_runs& runs,
                         const std::string& service) const;
  static void RecordEndedBestEffortRun(scheduled_worker& worker,
                                       const job_step& step,
                                       const task_run& run,
                                       millis now);
  void OrderPace(const task_name& name,
                 task_run& run,
                 std::uint32_t percent,
                 millis now);
  double PaceAlongsideServices(const scheduled_worker& worker,
                               const job_step& step,
                               millis now);

  // job_scheduler_reports.cpp: what operators are told of stalled work.
  // Returns the first task of a job that is ready and not done.
  std::optional<task_name> FirstWaitingTask(const scheduled_job& job) const;
  idle_job ExplainWait(scheduled_job& job, const task_name& key, millis now);

  void Emit(const char* event,
            const std::string& subject,
            const std::string& worker,
            const std::string& detail) const;

  // Starts of a worker that may be without an outcome, and their bytes: each
  // takes up memory here, on its way and at the agent.
  static constexpr std::size_t kMaxOpenStarts = 128;
  static constexpr std::size_t kMaxOpenStartBytes = 262'144;
  static constexpr std::size_t kOrderBytes = 256;  // Without its payload.
  // Of the orders in one reply; the rest follows in the next one.
  static constexpr std::size_t kMaxReplyBytes = 524'288;

  // A job with more runs takes no worker that has as many as RunLimit() says:
  // runs take up memory, and each list of them processor time.
  static constexpr std::uint64_t kManyRuns = 64;
  static constexpr std::size_t kMaxRunsPerWorker = 256;
  static constexpr std::size_t kMinRunsPerWorker = 16;
  static constexpr std::size_t kMaxRunsOfLargeJobs = 40'000;

  // Occurrences of a job that are open at the same time. Later ones that are
  // due open as these are done.
  static constexpr std::uint32_t kMaxOpenOccurrences = 100;

  // How many occurrences a former scheduler may have opened beyond those that
  // are known. A list of runs that names a later one opens none.
  static constexpr std::uint64_t kMaxOccurrenceLead = 1'000;

  // Period of the scans for runs that are stuck, throttled or due for a
  // speculative copy. These conditions take seconds to develop.
  static constexpr millis kScanInterval = 100;

  // Placement is retried after this time even if no event has asked for it, as
  // paces and back-offs change with time alone.
  static constexpr millis kPlacementInterval = 100;

  // While best-effort tasks find no worker, all of them are examined again
  // after this time only: each pass judges every waiting step on every worker,
  // and other tasks and calls have to be served in between.
  static constexpr millis kCrowdedPlacementInterval = 50;

  // How long a worker that refused a start for lack of capacity gets no other.
  static constexpr millis kStartBackoff = 250;

  // A run counts as vanished only if it had been active for this long when the
  // executor made the list that lacks it: messages may arrive out of order.
  static constexpr millis kRunListGrace = 500;

  // When an agent's clock starts anew, or a process that was not known calls
  // late, no run counts as missing for so long.
  static constexpr millis kClockRestartGrace = 5'000;

  // A list of stored jobs is not older than that when it is processed.
  static constexpr millis kRemovedJobMemory = 30'000;

  // Processes of an agent that are remembered.
  static constexpr std::size_t kMaxKnownProcesses = 16;

  // So long after the order to stop a run, a list that shows it means that the
  // order was lost with the agent's process, and one that lacks it that the run
  // is gone, if the agent has taken the order.
  static constexpr millis kStopRepeatInterval = 1'500;

  // A task is given up when it was the only possible cause of a crash and the
  // executor of an earlier run has crashed, too; or after kMaxCrashes, however
  // many other tasks were there.
  static constexpr std::size_t kCrashesOfCause = 2;
  static constexpr std::size_t kMaxCrashes = 4;

  // How long a worker that is reserved waits until its runs are proven. It
  // covers kProvingTime, a list of runs and its way.
  static constexpr millis kReservationTime = 1'000;

  // A trial whose outcome is not known by then no longer keeps its worker: its
  // executor has been silent for longer than a grant.
  static constexpr millis kMaxTrialTime = 6'000;

  // An executor whose last list is older may have crashed. Starts ordered so
  // long after the last list did not reach it before its crash.
  static constexpr millis kMaxListGap = 1'000;

  // Each service has at most one in so many of its workers reserved, and one at
  // least. Those that have fallen silent in a trial count apart: a crash keeps
  // a worker away for seconds, in which other trials go on.
  static constexpr std::size_t kWorkersPerReservation = 3;
  static constexpr std::size_t kWorkersPerTrialOrCrash = 2;

  // Suspects of one crash are tried together if many wait; those that have
  // crashed again are always tried alone.
  static constexpr std::size_t kMaxTrialSize = 4;
  // So many trials one after the other are few on a worker.
  static constexpr std::size_t kFewTrials = 2;

  // A suspect that has waited for so long is tried before those that came
  // later, which would pass it by for as long as they come. Shorter times cost
  // more than they gain: tasks that have crashed twice are more often the
  // cause.
  static constexpr millis kMaxTrialWait = 10'000;

  // A worker whose executor has crashed in the last kCrashMemory ms is the last
  // choice for a trial: the executor itself may be the cause.
  static constexpr millis kCrashMemory = 10'000;
  static constexpr double kCrashPenalty = 8.0;  // Of a score.
  // A worker on which a trial can begin at once goes before one that has to be
  // reserved first.
  static constexpr double kReadyForTrialBonus = 4.0;

  // How long a silent worker raises doubts; executors are back within seconds.
  static constexpr millis kMaxDoubt = 10'000;
  // With so many doubtful runs a task waits until one of them is settled.
  static constexpr std::size_t kMaxDoubtfulRuns = 2;

  // A step whose runs have failed on so many workers may be at fault; on fewer,
  // if its service has no more. From the first failure on, other runs of the
  // step have kMinFaultTime to last longer.
  static constexpr std::size_t kMinWorkersOfFault = 2;
  static constexpr std::size_t kMaxWorkersOfFault = 3;
  static constexpr millis kMinFaultTime = 500;
  // The failures of a step on a worker count for so long after the last one.
  static constexpr millis kFailureMemory = 30'000;

  // A service that has been at work for so long has started well.
  static constexpr millis kSettledTime = 5'000;
  // The second early end in a row delays the next start by the first of these;
  // each one after it doubles the delay.
  static constexpr millis kFirstRestartDelay = 250;
  static constexpr millis kMaxRestartDelay = 2'000;

  // Crashes of a worker that are remembered: more than agents tell of.
  static constexpr std::size_t kMaxKnownCrashes = 16;

  // Tasks that a log line about a crash names.
  static constexpr std::uint64_t kMaxNamedRuns = 8;

  // A best-effort task starts on a worker where it can run at this fraction of
  // full speed or more.
  static constexpr double kMinStartPace = 0.5;

  // Fraction of its reserved cores that a service uses most of the time.
  static constexpr double kServiceUtilization = 0.6;

  // Orders without an outcome and jobs without runs are reported after it.
  static constexpr millis kOverdueTime = 2'000;

  // Ticks further apart show that this process was paused or had too little
  // processor time.
  static constexpr millis kMaxTickGap = 1'000;

  // Time after such a pause in which agents repeat the reports that had no
  // answer: the timeout of their calls and a retry.
  static constexpr millis kReportCatchUp = 1'300;

  // A process that is paused again and again postpones at most this often, so
  // that workers that have gone are given up.
  static constexpr millis kPostponementInterval = 6'000;

  scheduler_options options_;
  scheduling_config config_;
  std::map<std::string, scheduled_job> jobs_;
  std::map<std::string, scheduled_worker> workers_;
  // Members under the former scheduler that have not reported yet, and until
  // when their runs may live.
  std::map<std::string, millis> unreported_members_;
  std::set<std::string> active_jobs_;  // Jobs that have not ended.
  bool former_may_act_ = false;
  std::size_t former_members_ = 0;  // Their number.
  // When most former members had reported; 0 until then.
  millis consented_at_ = 0;
  bool has_lease_ = true;
  std::set<std::string> durable_members_;  // As stored last.
  // Members of commits without a known outcome, since one was stored last.
  std::vector<std::set<std::string>> possible_members_;
  std::set<std::string> wanted_members_;
  // Stored members that a commit without a known outcome removes.
  std::set<std::string> doubtful_members_;
  std::set<step_name> failing_steps_;  // With failures that still count.
  std::set<std::string> dirty_;        // Jobs whose progress has to be stored.
  // Tasks that are done and may have no runs left; see ReleaseFinishedTasks().
  std::set<task_name> finished_tasks_;
  std::vector<std::string> expired_jobs_;  // To be removed from the store.
  std::vector<std::string> committing_expired_jobs_;
  // Jobs whose removal is stored, and since when. A list of stored jobs that
  // was read before may still name them.
  std::map<std::string, millis> removed_jobs_;
  std::set<std::string> agents_to_notify_;
  std::uint64_t commit_number_ = 0;
  // Number and contents of the commit in progress.
  std::optional<std::uint64_t> committing_;
  std::set<std::string> committing_members_;
  bool is_committing_members_ = false;  // Whether the commit stores them.
  std::map<std::string, committing_end> committing_ends_;      // By agent.
  std::map<std::string, std::int64_t> committing_ended_jobs_;  // To ended_ms.
  millis last_tick_ = 0;
  millis judges_silence_from_ = 0;
  millis next_postponement_ = 0;
  millis next_pace_update_ = 0;
  millis next_scan_ = 0;
  millis next_placement_ = 0;
  millis next_best_effort_placement_ = 0;
  bool placement_requested_ = true;  // By a change since the last placement.
  // Valid within one Tick(); see RoomsOf().
  std::map<const scheduled_worker*, std::shared_ptr<worker_runs>> runs_cache_;
  // Sum and number of the total works of a queue's jobs.
  struct work_mean {
    double sum = 0;
    double jobs = 0;
  };
  std::map<std::string, work_mean> mean_work_;  // By queue.
  // Services that have no worker for a trial, and how many suspect tasks wait
  // for one; valid within one PlaceWaiting().
  std::set<std::string> services_without_trials_;
  std::map<std::string, std::size_t> waiting_suspects_;
  std::set<std::string> repeating_jobs_;  // Jobs with occurrences to come.
  pressure_model pressure_model_;
  move_counts move_counts_;  // Since the last TakeMoveCounts().
  duration_model durations_;
  room_reservations reservations_;
  std::int64_t wall_ms_ = 0;
  std::uint64_t rotation_ = 0;
};

}  // namespace chervilkeel
