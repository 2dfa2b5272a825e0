// The owner of all jobs: recovers them from the store, lets the scheduler
// decide, carries its orders to the agents and its changes to the store.
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
  // Says whether grants may be given: no other owner can exist.
  using may_grant_function = std::function<bool()>;
  using deposed_function = std::function<void(const std::string& reason)>;

  job_owner(boost::asio::io_context& context,
            store_link& store,
            process_metrics& metrics,
            const process_settings& settings,
            may_grant_function may_grant,
            deposed_function deposed);

  // Starts to own, or continues under a higher epoch.
  void Begin(const ownership& won);

  // Ends the ownership. Its state is kept, in case it goes on uninterrupted.
  void End();

  // Writes what is left, and then calls back.
  void Finish(std::function<void()> done);

  void SetConfig(const scheduling_config& config);

  // True once the jobs have been read.
  bool IsActive() const { return active_; }

  void OnSync(const sync_call& call);
  void OnAsk(const ask_call& call);
  void AnswerQuestion(const wire::job_question& question,
                      wire::job_reply& reply);

  // Entries that agents may turn to.
  void SetEntries(std::vector<std::string> entries) {
    entries_ = std::move(entries);
  }

  // The whole state, for operators.
  std::string Dump() const;

 private:
  struct recovered_state {
    std::vector<job_record> records;
    std::vector<job_progress> progress;
    std::set<std::string> cancelled;
    std::set<std::string> members;
    std::string pressure;  // Empty: nothing was kept.
    std::uint64_t inbox_revision = 0;
    std::uint64_t commit_revision = 0;
  };

  struct waiting_sync {
    sync_call call;
    millis until = 0;
    std::uint64_t acked = 0;
    bool obeys = false;  // It came with a report of the worker.
  };

  // Reading the store.
  void RecoverInbox(const std::string& after);
  void RecoverProgress(const std::string& after);
  void RecoverMembers();
  void RecoverPressure();
  void RecoverCommit();
  void Recovered();
  void Continue();
  void Retry(std::function<void()> step);
  void TakeInboxItem(const stored_item& item);
  void WatchInbox();
  void ReadInboxAgain(const std::string& after);

  // Deciding and writing.
  void Step();
  void StepSoon();
  void ScheduleTick();
  void Commit();
  void CommitPart();
  void OnPart(const result<transaction_outcome>& outcome);
  void PartDone();
  void KeepPressure();
  std::vector<store_transaction> SplitChanges(
      const durable_changes& changes) const;

  // Answering agents.
  void Answer(const std::string& agent, waiting_sync& waiting);
  void AnswerWoken();
  void FillReply(const std::string& agent,
                 const waiting_sync& waiting,
                 wire::agent_orders& reply);

  store_link& store_;
  process_metrics& metrics_;
  const process_settings& settings_;
  const millis grant_;  // Given to agents with each answer.
  const may_grant_function may_grant_;
  const deposed_function deposed_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer step_timer_;
  boost::asio::steady_timer commit_timer_;
  boost::asio::steady_timer retry_timer_;
  boost::asio::steady_timer inbox_timer_;
  std::unique_ptr<job_scheduler> scheduler_;
  scheduling_config config_;
  ownership ownership_;
  recovered_state recovered_;
  std::uint64_t term_ = 0;  // Rises with Begin() and End(); drops old answers.
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
  bool step_waits_ = false;
  millis next_step_ = 0;  // Not earlier, so that others get their turn.
  millis committed_at_ = 0;
  millis next_pressure_ = 0;  // When what was learned is kept again.
  millis recovery_began_ = 0;
};

}  // namespace chervilkeel
