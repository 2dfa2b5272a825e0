// The decision logic of a cell's owner: which agent may run which task, when
// the tasks of an unresponsive agent may be reassigned, and which journal
// records have to be durable first.
//
// This code performs no I/O and reads no clock. Callers pass events together
// with the current time and get replies, journal records and log entries. A
// decision takes effect only when OnCommitted() reports that its record is
// durable.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chervilkeel/agent_core.h"
#include "chervilkeel/cell_state.h"
#include "chervilkeel/clock.h"
#include "chervilkeel/decision_log.h"
#include "chervilkeel/manifest.h"
#include "chervilkeel/placement.h"
#include "chervilkeel/progress_monitor.h"
#include "chervilkeel/request_effects.h"

namespace chervilkeel {

// Settings of a cell owner. Durations are in milliseconds.
struct owner_options {
  // Lease of an agent on running its tasks, renewed by each heartbeat reply.
  millis tenure = 10'000;
  // Longer lease, granted instead while the coordination store does not answer.
  millis hold = 1'800'000;
  // An agent without a heartbeat for this long gets no new tasks.
  millis heartbeat_timeout = 1'000;
  // An agent without a heartbeat for this long is left out of the roster.
  millis roster_retention = 60'000;
  // Largest relative difference between the rates of two machines' clocks.
  double clock_drift = 0.01;
  // Tasks that may be queued on a worker beyond its free capacity.
  std::uint32_t max_queued_tasks = 2;
  // A queued task that has not started after this time is recalled as soon as
  // another worker has free capacity for it.
  millis recall_delay = 3'000;
  // Consecutive task failures after which a worker is quarantined.
  std::uint32_t quarantine_threshold = 3;
  // Interval between the single probe tasks given to a quarantined worker.
  millis quarantine_probe_interval = 5'000;
  // How long the claim of an idempotency key is stored.
  millis claim_retention = 24LL * 3600 * 1000;
  // Largest number of stored claims.
  std::size_t max_claims = 4'000;
  // Largest total size in bytes of the answers stored with the claims.
  std::size_t max_stored_answer_bytes = 100'000;
};

// State of the query that asks a silent agent's worker for its tasks.
enum class worker_query_state { kNone, kPending, kSent, kAnswered };

// A query for the list of tasks of one worker.
struct worker_query {
  std::string agent;
  std::string worker_address;
};

// The owner's view of one agent.
struct agent_entry {
  wire::agent_report report;
  millis last_report_at = 0;
  // Sequence number of the latest reply to the agent.
  std::uint64_t reply_sequence = 0;
  // Latest possible end of any tenure granted to the agent.
  millis tenure_until = 0;
  // Latest possible end of any hold granted to the agent; 0 once the agent has
  // confirmed a later grant.
  millis hold_until = 0;
  // Sequence number of the latest reply that granted a hold.
  std::uint64_t hold_sequence = 0;
  std::uint32_t consecutive_failures = 0;
  // When a quarantined worker may get its next probe task.
  millis next_probe_at = 0;
  // Whether the agent has sent no heartbeat for heartbeat_timeout.
  bool silent = false;
  worker_query_state query_state = worker_query_state::kNone;
  // The worker's answer to the query; empty if it could not be reached.
  std::vector<worker_task> worker_answer;
  // When each queued task of the agent was first reported as queued.
  std::map<std::string, millis> backlog_since;

  // Returns the time after which no tenure or hold lets the agent run tasks.
  millis MayRunUntil() const { return std::max(tenure_until, hold_until); }
};

// The owner of one cell in one epoch.
class cell_owner {
 public:
  // Takes over the cell at `now` in `epoch`, with the `state` restored from its
  // journal. `former_owner` is the agent that owned the cell last, or empty.
  // The previous owner may have granted a hold to any agent with assignments,
  // so such an agent is assumed to run its tasks until that hold ends or until
  // it reports to this owner.
  cell_owner(std::string cell,
             std::uint64_t epoch,
             std::string owner,
             const std::string& former_owner,
             cell_state state,
             owner_options options,
             decision_log& log,
             millis now);

  // Sets the end of this owner's lease on the cell. The lease duration counts
  // from before the renewal was sent. After `until` no tenure or hold is
  // granted.
  void SetLeaseUntil(millis until) { lease_until_ = until; }

  // Sets whether the coordination store answers. While it does not and the
  // lease is still valid, agents are granted holds instead of tenures.
  void SetStoreReachable(bool reachable) { store_reachable_ = reachable; }

  // Accepts and cancels jobs as the manifest declares them. A manifest whose
  // version is not higher than the current one is ignored.
  void OnManifest(const manifest& value, std::uint64_t version);

  // Processes an agent's heartbeat and returns the reply.
  wire::owner_reply OnReport(const wire::agent_report& report, millis now);

  // Places waiting tasks and releases the tasks of agents whose tenure and hold
  // have ended.
  void Tick(millis now);

  // Returns the workers to query now; each is returned once. Their tasks are
  // released only after OnWorkerAnswer(), so that a task which finished while
  // its agent was dead does not run again.
  std::vector<worker_query> TakeWorkerQueries();

  // Processes a worker's list of tasks; nullopt if it could not be reached.
  void OnWorkerAnswer(const std::string& agent,
                      std::optional<std::vector<worker_task>> tasks);

  // Claims an idempotency key. Returns the reply if it is already known.
  // Otherwise proposes the claim, unless the same request has done so, and
  // returns nullopt; the caller asks again once a record with the claim is
  // durable.
  std::optional<wire::claim_reply> Claim(const wire::claim_request& request,
                                         std::uint64_t wall_ms);

  // Proposes the outcome of a claimed request. An outcome of "not run" gives
  // up the claim. It is ignored if another request holds the key: a request
  // whose claim got no answer settles the key without knowing whose it is.
  void Settle(const wire::settlement& settled);

  // Returns the next record to store; nullopt while a record is in flight or
  // when there is no change.
  std::optional<wire::journal_record> NextRecord();

  // Returns the record in flight. Valid from NextRecord() to OnCommitted().
  const wire::journal_record& InFlight() const { return *in_flight_; }

  // Applies the record in flight after the store has committed it.
  result<void> OnCommitted(millis now);

  const cell_state& State() const { return state_; }
  const std::string& Cell() const { return cell_; }
  std::uint64_t Epoch() const { return epoch_; }

  // Fills in the cell's members that an entry process may send requests to.
  void FillRoster(wire::roster_reply& reply, millis now) const;

  // Fills in the jobs, the workers and the latest log entries on recovery.
  void FillJobs(wire::jobs_reply& reply, millis now) const;

  // Returns the number of tasks released from agents whose right had ended.
  std::uint64_t ReclaimedTasks() const { return reclaimed_tasks_; }

 private:
  bool MayGrant(millis now) const;
  bool Usable(const agent_entry& agent, millis now) const;
  void GrantExecutionRight(agent_entry& agent,
                           wire::owner_reply& reply,
                           millis now);
  void UpdateIncarnation(agent_entry& agent, const wire::agent_report& report);
  void HandleTaskReport(agent_entry& agent,
                        const wire::task_report& task,
                        wire::owner_reply& reply,
                        millis now);
  void HandleEndedTask(agent_entry& agent,
                       const wire::task_report& task,
                       millis now);
  void AddStartOrders(const agent_entry& agent, wire::owner_reply& reply) const;
  void UpdateModels(const wire::agent_report& report, millis now);
  wire::assignment MakeAssignment(const job_entry& job,
                                  const wire::task_record& task) const;
  void ProposeRelease(const wire::task_id& id,
                      wire::release_cause cause,
                      const wire::task_report* report,
                      const std::string& agent);
  void ProposeFinish(const wire::task_id& id);
  void CountFailure(agent_entry& agent, millis now);
  void ReclaimLostTasks(millis now);
  void ReclaimTasksOf(const std::string& name, agent_entry& agent);
  bool ReclaimTask(const std::string& name,
                   const agent_entry& agent,
                   const wire::task_id& id);
  std::vector<wire::task_id> TasksToReclaim(const std::string& name,
                                            const agent_entry& agent) const;
  void DropEndedJobs();
  void StopFailingJobs();
  void UpdateUnplaceableJobs(millis now);
  void Place(millis now);
  void PlaceByPriority(std::vector<placement_candidate>& candidates,
                       millis now);
  bool PlaceNextTask(const job_entry& job,
                     std::uint32_t index,
                     std::vector<placement_candidate>& candidates,
                     millis now);
  template <class function_type>
  void ForEachPendingAssignment(function_type visit) const;
  placement_choice ChooseWorkerToQueueOn(
      const placement_request& request,
      const std::vector<placement_candidate>& candidates) const;
  std::vector<placement_candidate> Candidates(millis now);
  std::vector<const job_entry*> JobsToPlace() const;
  double ShareOfQuota(const std::string& team) const;
  bool WithinQuota(const job_entry& job, const amount& need) const;
  void RecallQueuedTasks(millis now);
  // Number of running tasks of one job according to the agents' reports.
  struct running_counts {
    std::uint32_t running = 0;
    std::uint32_t stragglers = 0;
  };

  const char* ConditionOf(const agent_entry& agent) const;
  void CountTasks(const agent_entry& agent,
                  wire::worker_report& worker,
                  std::map<std::string, running_counts>& jobs) const;
  void FillWorker(const std::string& name,
                  const agent_entry& agent,
                  wire::worker_report& worker) const;
  void FillJob(const std::string& name,
               const job_entry& job,
               const running_counts& counts,
               wire::job_report& report) const;
  void ClearJobMarker(const std::string& name);
  bool HoldsClaim(const std::string& key, const std::string& request_id) const;
  wire::cell_change& Propose();

  const std::string cell_;
  const std::uint64_t epoch_;
  const std::string owner_;
  const owner_options options_;
  cell_state state_;
  decision_log& log_;
  const millis started_at_;
  millis lease_until_ = 0;
  bool store_reachable_ = true;
  manifest manifest_;
  std::uint64_t manifest_version_ = 0;
  std::map<std::string, agent_entry> agents_;
  interference_model interference_;
  progress_monitor progress_;
  request_effect_model effects_;
  std::vector<wire::cell_change> proposed_;
  std::optional<wire::journal_record> in_flight_;
  // Tasks and jobs with a change that is not durable yet.
  std::set<task_key> pending_changes_;
  // Idempotency keys with a claim that is not durable yet, and the id of the
  // request that claims each.
  std::map<std::string, std::string> pending_claims_;
  // Outcomes of claimed requests that are not durable yet, by key. A repeated
  // request already gets the outcome, so that it never gets a different one.
  std::map<std::string, wire::settlement> pending_settlements_;
  std::map<std::string, amount> used_by_team_;
  // Jobs that fit no worker, with the resource that is lacking.
  std::map<std::string, std::string> unplaceable_jobs_;
  // Queued attempts that agents are asked to return.
  std::set<std::string> recalled_attempts_;
  std::uint64_t reclaimed_tasks_ = 0;
  // Index of the next search's first candidate, so that searches start at
  // different workers.
  std::size_t next_first_candidate_ = 0;
  std::uint64_t claim_count_ = 0;
};

}  // namespace chervilkeel
