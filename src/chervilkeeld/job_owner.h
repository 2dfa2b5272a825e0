// The elected owner of all jobs. It recovers the jobs from the store, runs the
// scheduler, sends the scheduler's orders to the agents and writes its changes
// to the store.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "chervilkeel/job_scheduler.h"
#include "chervilkeel/settings.h"
#include "grant_right.h"
#include "metrics.h"
#include "owner_election.h"
#include "rpc_async.h"
#include "store_link.h"

namespace chervilkeel {

using sync_call = held_call<wire::agent_sync, wire::agent_orders>;
using ask_call = held_call<wire::job_question, wire::job_reply>;

// Used on the io_context's thread only.
class job_owner {
 public:
  // Returns on what the right to issue grants rests: no other process can be
  // the owner.
  using grant_basis_function = std::function<grant_basis()>;
  using deposed_function = std::function<void(const std::string& reason)>;

  job_owner(boost::asio::io_context& context,
            store_link& store,
            process_metrics& metrics,
            const process_settings& settings,
            grant_basis_function grant_basis_now,
            deposed_function deposed);

  // Takes ownership of the jobs. Recovers them from the store, or reuses the
  // state in memory if the ownership was uninterrupted.
  void Begin(const ownership& won);

  // Ends the ownership. The state stays in memory, so that an uninterrupted
  // re-election needs no recovery.
  void End();

  // Commits the outstanding changes, then calls `done`.
  void Finish(std::function<void()> done);

  void SetConfig(const scheduling_config& config);

  // Sets where the evacuations of data centres are kept up to date; never set
  // where operators evacuate none.
  void SetEvacuations(std::shared_ptr<const evacuation_state> evacuations) {
    evacuations_ = std::move(evacuations);
  }

  // Tells the agents that the evacuations have changed, without waiting for
  // their next calls.
  void AnnounceEvacuations();

  // Returns how many runs each evacuated data centre still has; nothing unless
  // the jobs are here.
  std::map<std::string, std::uint64_t> RunsInEvacuatedDataCentres() const;

  // True once the jobs have been recovered from the store.
  bool IsActive() const { return active_; }

  // Whether most agents have listed their runs lately.
  bool HearsMostAgents() const;

  void OnSync(const sync_call& call);
  void OnAsk(const ask_call& call);
  void AnswerQuestion(const wire::job_question& question,
                      wire::job_reply& reply);

  // Sets the addresses of the entries that agents may connect to.
  void SetEntries(std::vector<std::string> entries) {
    entries_ = std::move(entries);
  }

  // Returns the workers and jobs as JSON, for operators.
  std::string Dump() const;

 private:
  struct recovered_state {
    std::vector<job_record> records;
    std::vector<job_progress> progress;
    std::set<std::string> ended;  // Jobs that have ended, by the progress.
    std::set<std::string> cancelled;
    std::set<std::string> members;
    bool former_may_grant = false;  // See kFormerGrantKey.
    std::string pressure;           // Encoded model; empty if none is stored.
    std::uint64_t inbox_revision = 0;
    std::uint64_t commit_revision = 0;
  };

  struct waiting_sync {
    sync_call call;
    millis until = 0;
    std::uint64_t acked = 0;
    bool obeys = false;  // The call carried a report of the worker's runs.
  };

  // Recovery from the store. The progress is read first, so that ended jobs
  // are never held in full.
  void RecoverProgress(const std::string& after);
  void RecoverInbox(const std::string& after);
  void RecoverMembers();
  void RecoverFormerGrant();
  void RecoverPressureModel();
  void RecoverCommit();
  void FinishRecovery();
  void ResumeOwnership();
  void Retry(std::function<void()> step);
  void ApplyInboxItem(const stored_item& item);
  void AddJob(const job_record& record, millis now);
  // Cancels a job, also one that is heard of later. Returns whether the job is
  // known. `source` says how this process heard of it, for the log.
  bool CancelJob(const std::string& id, const char* source);
  // Removes the cancellations of jobs that have not come for the time that
  // ended jobs are remembered.
  void ExpireEarlyCancellations();
  void WatchInbox();
  void RereadInbox(const std::string& after);

  // Scheduling steps and commits.
  void Step();
  void ScheduleStep();
  void ScheduleTick();
  void Commit();
  void CommitPart();
  void OnPartOutcome(const result<transaction_outcome>& outcome);
  void OnPartCommitted();
  void StorePressureModel();
  // Lets later owners know that no former owner can grant any more.
  void SettleFormerGrant();
  bool MayGrant() const { return grant_basis_now_() != grant_basis::kNone; }
  // Tells in the log and in metrics, once in a while, what goes on.
  void ReportState();
  // How services and batch work share workers.
  void ReportSharing();
  // What still runs in evacuated data centres.
  void ReportEvacuations(millis now);
  // Orders to agents without an outcome, with the oldest one.
  void ReportOverdueOrders(millis now);
  // The job that has been without runs for longest, and why it waits.
  void ReportIdleJob(millis now);
  std::vector<store_transaction> SplitChanges(
      const durable_changes& changes) const;

  // Replies to agents.
  void Answer(const std::string& agent, waiting_sync& waiting);
  void AnswerWaitingAgents();
  void FillReply(const std::string& agent,
                 const waiting_sync& waiting,
                 wire::agent_orders& reply);

  store_link& store_;
  process_metrics& metrics_;
  const process_settings& settings_;
  const millis grant_;  // Duration of the grant in each reply to an agent.
  const grant_basis_function grant_basis_now_;
  const deposed_function deposed_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer step_timer_;
  boost::asio::steady_timer commit_timer_;
  boost::asio::steady_timer retry_timer_;
  boost::asio::steady_timer inbox_timer_;
  std::unique_ptr<job_scheduler> scheduler_;
  scheduling_config config_;
  std::shared_ptr<const evacuation_state> evacuations_;
  ownership ownership_;
  recovered_state recovered_;
  // Stored cancellations of jobs that this process has not heard of yet: lists
  // of the inbox name them before the jobs, and calls overtake each other.
  // With the time at which each was heard of.
  std::map<std::string, millis> early_cancellations_;
  // Incremented by Begin() and End(); callbacks of an older term are ignored.
  std::uint64_t term_ = 0;
  bool active_ = false;
  bool finishing_ = false;
  std::function<void()> finished_;
  std::map<std::string, waiting_sync> waiting_;
  std::vector<std::string> entries_;
  std::optional<durable_changes> changes_;
  std::vector<store_transaction> parts_;
  std::size_t part_ = 0;
  std::uint64_t commit_revision_ = 0;
  std::uint64_t inbox_revision_ = 0;
  std::string operation_;
  std::uint64_t operation_number_ = 0;
  bool step_scheduled_ = false;
  millis next_step_ = 0;  // Earliest next step; leaves time for other work.
  millis committed_at_ = 0;
  millis next_pressure_write_ =
      0;  // When the interference model is next written.
  millis recovery_began_ = 0;
  bool former_may_grant_ = false;  // As stored; see kFormerGrantKey.
  bool is_settling_former_grant_ = false;
  millis next_state_report_ = 0;
};

}  // namespace chervilkeel
