// The decisions of a cell's owner: which agent may run which task, when a
// silent agent's work may move, and what the journal has to record first.
//
// Nothing here reads a clock, a socket or the store. Events come in with the
// time; replies, journal records and reasons come out. A decision takes effect
// only once OnCommitted() says that its record is durable.
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

// The settings of an owner. Durations in milliseconds.
struct owner_options {
  millis tenure = 10'000;        // An agent's right to run, from one heartbeat.
  millis hold = 1'800'000;       // The right during an outage of the store.
  millis silent_after = 1'000;   // Without a heartbeat: takes no new work.
  millis forget_after = 60'000;  // Without one and without tasks: not listed.
  double clock_drift = 0.01;     // Largest difference of two clocks' rates.
  std::uint32_t assign_ahead = 2;  // Tasks a worker, beyond what fits now.
  millis return_after = 3'000;     // A task not started is offered elsewhere.
  std::uint32_t quarantine_failures = 3;   // In a row on one worker.
  millis quarantine_probe = 5'000;         // Between single tasks given to it.
  millis claim_kept = 24LL * 3600 * 1000;  // How long a key is remembered.
  std::size_t claim_limit = 4'000;         // Keys remembered at most.
  std::size_t kept_answers = 100'000;      // Bytes of answers kept with them.
};

// How far the owner is in asking a worker whose agent is silent.
enum class inquiry_state { kNone, kWanted, kAsked, kAnswered };

// A worker to be asked for its list of tasks.
struct worker_inquiry {
  std::string agent;
  std::string worker_address;
};

// What the owner knows of one agent.
struct agent_entry {
  wire::agent_report report;
  millis heard_at = 0;
  std::uint64_t reply_sequence = 0;
  millis tenure_until = 0;  // The latest end of any tenure it may hold.
  millis hold_until = 0;    // The same of any hold; 0 once it is taken back.
  std::uint64_t hold_sequence = 0;  // The newest reply that granted a hold.
  std::uint32_t failures_in_row = 0;
  millis probe_at = 0;
  bool silent = false;
  inquiry_state inquiry = inquiry_state::kNone;
  std::vector<worker_task> worker_word;  // The worker's answer, if any.
  std::map<std::string, millis> backlog_since;

  // The instant from which the agent certainly runs nothing on its own right.
  millis MayRunUntil() const { return std::max(tenure_until, hold_until); }
};

// The owner of one cell under one epoch.
class cell_owner {
 public:
  // Takes over a cell whose journal holds `state`, under `epoch`, at `now`.
  // `former_owner` is the agent that owned it last, or empty.
  // Agents that hold assignments may still run until a hold granted by the
  // predecessor ends, or until they report here.
  cell_owner(std::string cell,
             std::uint64_t epoch,
             std::string owner,
             const std::string& former_owner,
             cell_state state,
             owner_options options,
             decision_log& log,
             millis now);

  // Sets until when this owner holds the cell's lease, counted from before
  // the renewal was sent. Past it no tenure is granted.
  void SetLeaseUntil(millis until) { lease_until_ = until; }

  // Says whether the store answers. While it does not, and the lease still
  // stands, agents are told to hold.
  void SetStoreReachable(bool reachable) { store_reachable_ = reachable; }

  // Brings the jobs in line with a manifest of a higher version.
  void OnManifest(const manifest& value, std::uint64_t version);

  // Takes an agent's heartbeat and answers it.
  wire::owner_reply OnReport(const wire::agent_report& report, millis now);

  // Places waiting tasks and moves those of agents whose right has ended.
  void Tick(millis now);

  // Returns the workers to ask now, each once. Their tasks move only after the
  // answer: what a worker finished while its agent was dead is not run again.
  std::vector<worker_inquiry> TakeInquiries();

  // Takes a worker's list of tasks, or nothing if it could not be reached.
  void OnWorkerAnswer(const std::string& agent,
                      std::optional<std::vector<worker_task>> tasks);

  // Answers a claim at once, or returns nothing and proposes it: the answer
  // follows when a record that holds the claim is durable.
  std::optional<wire::claim_reply> Claim(const wire::claim_request& request,
                                         std::uint64_t wall_ms);

  // Proposes the end of a claimed request.
  void Settle(const wire::settlement& settled);

  // Returns the next record to make durable; nothing while one is in flight
  // or when nothing has changed.
  std::optional<wire::journal_record> NextRecord();

  // Returns the record that NextRecord() gave last, until it is committed.
  const wire::journal_record& InFlight() const { return *in_flight_; }

  // Applies the record in flight, which the store now holds.
  result<void> OnCommitted(millis now);

  const cell_state& State() const { return state_; }
  const std::string& Cell() const { return cell_; }
  std::uint64_t Epoch() const { return epoch_; }

  // Lists the upstreams of the cell for an entry.
  void FillRoster(wire::roster_reply& reply, millis now) const;

  // Reports jobs, workers and the latest repairs.
  void FillJobs(wire::jobs_reply& reply, millis now) const;

  // Counts the tasks taken from agents whose right had ended.
  std::uint64_t MovedTasks() const { return moved_tasks_; }

 private:
  bool MayGrant(millis now) const;
  bool Usable(const agent_entry& agent, millis now) const;
  void GrantRight(agent_entry& agent, wire::owner_reply& reply, millis now);
  void TakeIncarnation(agent_entry& agent, const wire::agent_report& report);
  void TakeTaskReport(agent_entry& agent,
                      const wire::task_report& task,
                      wire::owner_reply& reply,
                      millis now);
  void TakeEndedTask(agent_entry& agent,
                     const wire::task_report& task,
                     millis now);
  void AddStarts(const agent_entry& agent, wire::owner_reply& reply) const;
  void Learn(const wire::agent_report& report, millis now);
  wire::assignment MakeAssignment(const job_entry& job,
                                  const wire::task_record& task) const;
  void ProposeRelease(const wire::task_id& id,
                      wire::release_cause cause,
                      const wire::task_report* report,
                      const std::string& agent);
  void ProposeFinish(const wire::task_id& id);
  void CountFailure(agent_entry& agent, millis now);
  void MoveLostTasks(millis now);
  void MoveTasksOf(const std::string& name, agent_entry& agent);
  bool MoveTask(const std::string& name,
                const agent_entry& agent,
                const wire::task_id& id);
  std::vector<wire::task_id> TasksToMove(const std::string& name,
                                         const agent_entry& agent) const;
  void DropEndedJobs();
  void StopFailingJobs();
  void ReportMisfits(millis now);
  void Place(millis now);
  void PlaceInTurn(std::vector<placement_candidate>& candidates, millis now);
  bool PlaceOne(const job_entry& job,
                std::uint32_t index,
                std::vector<placement_candidate>& candidates,
                millis now);
  template <class function_type>
  void ForEachPendingAssignment(function_type visit) const;
  placement_choice ChooseAhead(
      const placement_request& request,
      const std::vector<placement_candidate>& candidates) const;
  std::vector<placement_candidate> Candidates(millis now);
  std::vector<const job_entry*> JobsToPlace() const;
  double ShareOfQuota(const std::string& team) const;
  bool WithinQuota(const job_entry& job, const amount& need) const;
  void TakeBackBacklog(millis now);
  // Counts of one job's tasks by the agents' reports.
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
  std::set<task_key> changing_;     // Tasks with a change not yet durable.
  std::set<std::string> claiming_;  // Keys with a claim not yet durable.
  // Ends of claimed requests that are not durable yet. They are told to who
  // repeats a request: an answer that was given stays given.
  std::map<std::string, wire::settlement> settling_;
  std::map<std::string, amount> used_by_team_;
  std::map<std::string, std::string> misfits_;  // Job to the lacking dimension.
  std::set<std::string> returning_;  // Attempts that agents must give back.
  std::uint64_t moved_tasks_ = 0;
  std::size_t placement_turn_ = 0;  // Spreads the candidates to begin with.
  std::uint64_t record_count_ = 0;
};

}  // namespace chervilkeel
