// Serves callers: takes jobs in, tells their state, cancels and counts them.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "chervilkeel/platform_adapter.h"
#include "config_follower.h"
#include "metrics.h"
#include "owner_election.h"
#include "rpc_async.h"
#include "store_link.h"

namespace chervilkeel {

// One request of a caller. It lives until it is answered.
struct job_request {
  http_request request;
  http_responder respond;
  job_call call;
  std::string id;  // Of the job.
  std::string queue;
  std::string service;
  millis began = 0;
  millis until = 0;            // Answered by then.
  bool may_be_stored = false;  // A write without an answer may take effect.
  bool is_writing = false;     // A try has no answer yet.
  int tries = 0;
  // Revision of the job's cancellation, as the store has shown it; 0: there is
  // none.
  std::uint64_t cancel_revision = 0;
  const char* waits_for = "nothing";  // Whose answer the request needs next.
  job_record record;                  // Of a submission.
};

using job_request_ptr = std::shared_ptr<job_request>;

// Used on the io_context's thread only.
class job_front {
 public:
  // Asks the owner, wherever it is.
  using ask_function =
      std::function<void(const wire::job_question& question,
                         millis timeout,
                         std::function<void(result<wire::job_reply>)>)>;

  job_front(boost::asio::io_context& context,
            store_link& store,
            process_metrics& metrics,
            const platform_adapter& adapter,
            config_follower& config,
            ask_function ask);

  // Sets what tells whether the store is away for all entries, and not only out
  // of this one's reach. Without it, the store never is.
  void SetOutageCheck(std::function<bool()> is_store_away) {
    is_store_away_ = std::move(is_store_away);
  }

  // Takes one request; `respond` is called exactly once.
  void Handle(http_request request, http_responder respond);

  std::uint64_t InFlight() const { return open_.size(); }

  // Refuses all requests from now on. Those that it has go on.
  void Close() { is_closed_ = true; }

  // Answers the requests that it has, as far as they have come.
  void AnswerAll();

  // Logs and counts the requests that are not answered yet, for a process that
  // is about to end.
  void ReportUnanswered() const;

 private:
  // The newest epoch, as the store has shown it.
  struct known_epoch {
    std::uint64_t number = 0;
    std::uint64_t revision = 0;  // Of its item; 0: there is none.
  };

  bool IsAnswered(const job_request_ptr& request) const {
    return open_.count(request) == 0;
  }
  const queue_route* FindRoute(const job_call& call) const;
  // Routes a request by the configuration in force.
  void Dispatch(const job_request_ptr& request, const queue_route& route);
  // Routes a request, or refuses it, once the store has confirmed that the
  // configuration in force is the newest. Nothing can have changed it while the
  // whole store is away.
  void DispatchWhenConfirmed(const job_request_ptr& request);
  void Submit(const job_request_ptr& request, const queue_route& route);
  // Whether a submission can't be stored in the time that a caller gives it.
  bool IsStoreSilent() const;
  void RefuseWithoutStore(const job_request_ptr& request);
  void Store(const job_request_ptr& request);
  void OnStored(const job_request_ptr& request,
                const result<transaction_outcome>& outcome);
  // The transaction had no effect: the job is stored already, or the epoch has
  // changed.
  void OnConflict(const job_request_ptr& request,
                  const std::vector<stored_item>& conflicts);
  void Accept(const job_request_ptr& request,
              const std::string& record,
              const char* cause);
  // Asks the owner for the job's state, then goes on by the kind of request.
  void AskState(const job_request_ptr& request);
  void State(const job_request_ptr& request);
  void StateFromStore(const job_request_ptr& request);
  void Cancel(const job_request_ptr& request);
  void CheckStored(const job_request_ptr& request);
  // Stores the cancellation of the request's job on these conditions.
  void CommitCancel(
      const job_request_ptr& request,
      std::vector<store_condition> conditions,
      std::function<void(const result<transaction_outcome>&)> done);
  void StoreCancel(const job_request_ptr& request);
  // Cancels a job that is not stored: its write may be under way.
  void StoreEarlyCancel(const job_request_ptr& request);
  void OnEarlyCancelStored(const job_request_ptr& request,
                           const result<transaction_outcome>& outcome);
  // A stored cancellation of which no owner has taken note.
  struct untold_cancel {
    std::string id;
    millis stored_at = 0;
  };

  // Tells the owner, whoever it is by then, of a stored cancellation until it
  // has taken note: its own watch of the store may be late.
  void TellCancelled(const std::string& id);
  void AskAboutCancel(
      const std::string& id,
      std::function<void(bool is_told, const std::string& cause)> done);
  // Repeats the cancellations that were not taken note of, one at a time.
  void TellAgain();
  void TellAgainAfterPause();
  void Count(const job_request_ptr& request);
  void Again(const job_request_ptr& request, std::function<void()> step);
  void Answer(const job_request_ptr& request,
              const job_answer& answer,
              const std::string& cause);

  boost::asio::io_context& context_;
  store_link& store_;
  process_metrics& metrics_;
  const platform_adapter& adapter_;
  const ask_function ask_;
  config_follower& config_;
  std::function<bool()> is_store_away_;
  known_epoch epoch_;
  std::unordered_set<job_request_ptr> open_;  // Not answered yet.
  std::deque<untold_cancel> untold_cancels_;  // The oldest first.
  bool is_closed_ = false;
};

}  // namespace chervilkeel
