// The agent beside an executor: keeps its runs alive while the owner of the
// jobs grants it, carries out the owner's orders and reports what became of
// them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "announcement_filter.h"
#include "chervilkeel/evacuation_state.h"
#include "chervilkeel/http_server.h"
#include "chervilkeel/platform_adapter.h"
#include "executor_history.h"
#include "metrics.h"
#include "owner_locator.h"
#include "process_admission.h"
#include "rpc_async.h"
#include "store_link.h"

namespace chervilkeel {

class job_agent_process {
 public:
  job_agent_process(boost::asio::io_context& context,
                    const process_settings& settings,
                    std::unique_ptr<platform_adapter> adapter);

  result<void> Start();

  // Leaves gracefully: the runs stay alive as long as the grant allows, so
  // that the next process of this VM finds them. The announcements that it has
  // taken are answered.
  void Stop(std::function<void()> done);

  // Shared by all HTTP servers of the process.
  const std::shared_ptr<http_admission>& Admission() const {
    return admission_;
  }

  void HandleOperator(const http_request& request,
                      const http_responder& respond);

  // Takes what an executor says of itself, and answers it.
  void TakeAnnouncement(const http_request& request,
                        const http_responder& respond);

 private:
  // An order to start or stop that the executor has not answered yet.
  struct open_order {
    worker_order order;
    int tries = 0;
    bool withdrawing = false;  // A start that is being taken back.
    // A start that the owner or an evacuation has stopped.
    bool is_stopped = false;
    bool awaits_owner = false;  // A start, until the owner is heard again.
    millis since = 0;
    // Of a start: the end of the grant under which it was ordered. The owner
    // holds the run in its books until then, but maybe not under a later grant.
    millis granted_until = 0;
  };

  // A start that was taken back.
  struct withdrawn_start {
    millis stopped_at = 0;  // The executor accepted the stop.
    start_outcome outcome = start_outcome::kWithdrawn;  // Once it is gone.
  };

  // A result of a start that the owner has not acknowledged. Results are
  // numbered, as calls that carry them overlap.
  struct untold_start {
    std::uint64_t number = 0;
    start_result result;
  };

  using run_name = std::pair<task_name, std::uint64_t>;

  void EndWhenAnswered(std::function<void()> done);
  void TakeBoot(const announcement& said);
  // Follows an announced boot once the executor says that it is this boot.
  void ConfirmBoot(const announcement& said);
  void FollowBoot(const announcement& said);
  void NoteEndOfBoot();
  // Takes an executor for gone that has announced it, once it answers no more.
  // The announcement names no boot, and may be a late one of a former boot.
  void ConfirmLeave(const executor_boot& boot);
  void OnExecutorLeft();

  // Holding and listing.
  void Hold();
  void HoldAfter(millis delay);
  void OnListing(const result<executor_run_list>& listing,
                 std::uint64_t epoch,
                 millis asked);
  void TakeListing(const executor_run_list& listing,
                   std::uint64_t epoch,
                   millis asked);
  // Counts and logs the rows of a list that could not be read.
  void NoteUnreadableRows(const executor_run_list& listing);
  // Returns the highest end that a reply to a call of `asked` may acknowledge:
  // while an end can't be read, neither it nor a later one. Nor does a reply to
  // a call of that time acknowledge it, which can't have told it.
  std::uint64_t LastReadableEnd(millis asked) const;
  millis LeaseEnd() const;
  void NoteClock(millis clock);

  // Talking to the owner.
  void Sync(bool wait);
  void OnReply(const result<wire::agent_orders>& reply,
               const std::string& address,
               const executor_boot& told_boot,
               millis asked,
               // The highest number of a result that the call has told.
               std::uint64_t last_start,
               std::uint64_t crashes,
               bool wait);
  void NoteOwner(bool answers,
                 const std::string& address,
                 const std::string& cause);
  // `told_boot` is the executor's boot whose runs the call of `asked` has told;
  // empty if it has told none, or the owner has left them aside.
  void TakeOrders(const wire::agent_orders& reply,
                  const executor_boot& told_boot,
                  millis asked);
  void NoteGrantor(const std::string& address);
  // Takes the evacuations that an owner tells. They hold whoever orders a
  // start: an owner that lags may not know of them yet.
  void TakeEvacuations(const wire::agent_orders& reply);
  void AdoptEpoch(std::uint64_t epoch);

  // Orders.
  // `is_stopped` if the same reply orders its stop.
  void Carry(worker_order order, bool is_stopped);
  // Stops a run. A start of it that has no outcome is not tried any more, and
  // is told as refused when the run is gone.
  open_order MakeOpenOrder(worker_order order) const;
  void CarryStop(worker_order order);
  // A start is tried only while the owner has been heard lately: it may have
  // stored the task's end, or a cancellation, that it couldn't tell yet.
  bool IsOwnerHeard() const;
  void AwaitOwner(const run_name& name);
  // Goes on with the starts that wait for the owner.
  void ResumeStarts();
  // Ends a start that is not tried any more.
  void GiveUpStart(const run_name& name);
  void SendStart(const run_name& name);
  // Stops a run whose start may still be carried out, and tells it as withdrawn
  // when it is gone.
  void TakeBack(const run_name& name);
  void SendStop(const run_name& name);
  void SendPace(const worker_order& order);
  void NoteStartAnswer(const run_name& name,
                       const result<executor_answer>& answer);
  void OnStartAnswer(const run_name& name,
                     const result<executor_answer>& answer);
  void SettleOrders(const executor_run_list& listing, millis asked);
  void OnStopAnswer(const run_name& name,
                    const result<executor_answer>& answer);
  // Whether a start was ordered before, and its outcome is not known, not
  // acknowledged, or was acknowledged lately. It is not tried beside that: the
  // refusal of one try says nothing of another without an answer. Nor is it
  // tried after that: replies may overtake each other, and the task may run
  // elsewhere since the owner has heard of the outcome.
  bool WasStartOrdered(const run_name& name) const;
  void Report(const run_name& name, start_outcome outcome);
  void Later(millis delay, std::function<void()> step);
  order_context Context(millis timeout) const;
  // Whether an answer is to a call of the present epoch to the present boot.
  bool IsCurrent(const order_context& asked) const;

  boost::asio::io_context& context_;
  const process_settings settings_;
  std::unique_ptr<platform_adapter> adapter_;
  store_link store_;
  process_metrics metrics_;
  const std::shared_ptr<http_admission> admission_;
  rpc_peers peers_;
  owner_locator locator_;
  std::unique_ptr<task_executor> executor_;
  std::shared_ptr<http_server> announcements_;
  boost::asio::steady_timer hold_timer_;
  boost::asio::steady_timer sync_timer_;

  evacuation_state evacuations_;
  executor_description worker_;
  executor_boot unconfirmed_;    // Announced, and its answer is awaited.
  announcement_filter filter_;   // Of those of the boot that is followed.
  std::uint64_t announced_ = 0;  // How many were taken.
  executor_boot gone_;           // An executor that has left, not yet told.
  executor_boot leaving_boot_;   // It has announced that it leaves ...
  millis leave_announced_ = 0;   // ... then.
  std::uint64_t epoch_ = 0;
  std::uint64_t obeyed_epoch_ = 0;  // The executor obeys it.
  millis granted_until_ = 0;
  std::string grantor_;  // The owner of the last grant, and its epoch.
  std::uint64_t granted_epoch_ = 0;
  millis owner_heard_ = 0;   // When a call that it has answered was sent.
  millis clock_offset_ = 0;  // The executor's clock less this VM's.
  bool clock_known_ = false;
  bool holding_ = false;
  int hold_failures_ = 0;
  bool syncing_ = false;    // A call that waits for orders is open.
  bool news_open_ = false;  // A call that carries news is open.
  bool news_waiting_ = false;
  bool owner_answers_ = false;
  bool leaving_ = false;
  std::vector<run_status> runs_;
  bool runs_listed_ = false;
  bool runs_complete_ = true;         // No row of the last list was unreadable.
  std::size_t unreadable_rows_ = 0;   // Of the last list.
  std::uint64_t unreadable_end_ = 0;  // The lowest; 0: there was none.
  millis unreadable_end_until_ = 0;   // Up to then, or now if it is ...
  bool has_unreadable_end_ = false;   // ... in the last list.
  millis asked_ = 0;   // When the last list was asked for, and when ...
  millis listed_ = 0;  // ... it came. It was made in between.
  std::uint64_t last_report_ = 0;  // Highest number of a report.
  millis runs_told_ = 0;
  std::vector<ended_run> ends_;
  std::uint64_t told_end_ = 0;  // The owner has been told up to it.
  std::uint64_t recorded_end_ = 0;
  executor_history history_;
  std::uint64_t told_crashes_ = 0;  // Of history_, to the owner of this epoch.
  std::uint64_t acked_order_ = 0;
  std::vector<untold_start> starts_;
  std::uint64_t last_start_ = 0;  // Highest number of a result.
  std::map<run_name, open_order> open_starts_;
  std::map<run_name, open_order> open_stops_;
  // The runs of these starts may work on until a later list shows them no more.
  std::map<run_name, withdrawn_start> withdrawn_;
  // Starts with an outcome, and when it was known.
  std::map<run_name, millis> settled_;
  std::uint64_t incarnation_ = 0;
};

}  // namespace chervilkeel
