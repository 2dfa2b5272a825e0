#include "job_front.h"

#include <algorithm>
#include <charconv>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "chervilkeel/event_log.h"
#include "job_keys.h"

namespace chervilkeel {

namespace {

constexpr const char* kPart = "front";
constexpr millis kDefaultDeadline = 3'000;  // Of callers that name none.
constexpr millis kAnswerMargin = 150;       // Kept for the way back.
constexpr millis kStoreTimeout = 700;       // Of one call.
constexpr millis kAskTimeout = 500;         // Of one question to the owner.
constexpr millis kPause = 100;              // Before another try.
constexpr millis kRefuseAfter = 600;        // Nothing was stored in this time.
constexpr millis kRetryAfter = 1'000;
// Tries without a pause, after conflicts with a change of owner. The conflict
// shows the new epoch.
constexpr int kQuickRetries = 4;
constexpr std::size_t kMaxPayload = 4'000;  // Bytes.
constexpr std::size_t kMaxIdLength = 100;
constexpr const char* kShuttingDown = "this entry is shutting down";
constexpr int kMaxUnansweredLines = 50;  // In the log, of one process.
// How long the owner is told of a cancellation. Later it knows by the store.
constexpr millis kMaxTellTime = 10'000;

// A job's id stands in keys of the store and in names of tasks.
bool IsJobId(const std::string& id) {
  return !id.empty() && id.size() <= kMaxIdLength &&
         std::all_of(id.begin(), id.end(), [](const char letter) {
           return (letter >= '0' && letter <= '9') ||
                  (letter >= 'a' && letter <= 'z') ||
                  (letter >= 'A' && letter <= 'Z') || letter == '-' ||
                  letter == '_';
         });
}

job_answer Refusal(job_result value, std::string message) {
  job_answer answer;
  answer.result = value;
  answer.message = std::move(message);
  if (value == job_result::kUnavailable || value == job_result::kOverloaded) {
    answer.retry_after = kRetryAfter;
  }
  return answer;
}

job_answer Success(job_result value) {
  job_answer answer;
  answer.result = value;
  return answer;
}

const char* NameOf(job_call_kind kind) {
  switch (kind) {
    case job_call_kind::kSubmit:
      return "submit";
    case job_call_kind::kState:
      return "state";
    case job_call_kind::kCancel:
      return "cancel";
    case job_call_kind::kCount:
      return "count";
    case job_call_kind::kUnsupported:
      return "unsupported";
  }
  return "?";
}

}  // namespace

job_front::job_front(boost::asio::io_context& context,
                     store_link& store,
                     process_metrics& metrics,
                     const platform_adapter& adapter,
                     config_follower& config,
                     ask_function ask)
    : context_(context),
      store_(store),
      metrics_(metrics),
      adapter_(adapter),
      ask_(std::move(ask)),
      config_(config) {}

const queue_route* job_front::FindRoute(const job_call& call) const {
  const queue_route* best = nullptr;
  for (const queue_route& route : config_.Current()->routes) {
    if (route.host == call.host && call.path.rfind(route.prefix, 0) == 0 &&
        (best == nullptr || route.prefix.size() > best->prefix.size())) {
      best = &route;
    }
  }
  return best;
}

void job_front::Handle(http_request http, http_responder respond) {
  auto request = std::make_shared<job_request>();
  open_.insert(request);
  request->request = std::move(http);
  request->respond = std::move(respond);
  request->call = adapter_.DecodeCall(request->request);
  request->began = BootNow();
  const millis deadline =
      request->call.deadline > 0 ? request->call.deadline : kDefaultDeadline;
  request->until =
      request->began + std::max<millis>(deadline - kAnswerMargin, deadline / 2);
  if (is_closed_) {
    Answer(request, Refusal(job_result::kUnavailable, kShuttingDown), "closed");
    return;
  }
  if (config_.Current() == nullptr) {
    Answer(request, Refusal(job_result::kUnavailable, "no configuration yet"),
           "no configuration");
    return;
  }
  // A job that exists has its state whatever the routes are.
  const queue_route* route = FindRoute(request->call);
  const bool depends_on_newest = route == nullptr ||
                                 request->call.kind == job_call_kind::kCount ||
                                 request->call.kind == job_call_kind::kSubmit;
  if (depends_on_newest && !config_.IsConfirmed()) {
    DispatchWhenConfirmed(request);
  } else if (route == nullptr) {
    Answer(request, Refusal(job_result::kNoQueue, "no such queue"), "no route");
  } else {
    Dispatch(request, *route);
  }
}

void job_front::DispatchWhenConfirmed(const job_request_ptr& request) {
  if (request->call.kind == job_call_kind::kSubmit && IsStoreSilent()) {
    RefuseWithoutStore(request);
    return;
  }
  request->waits_for = "configuration";
  config_.Confirm([this, request](bool confirmed) {
    if (IsAnswered(request)) {
      return;
    }
    const queue_route* route = FindRoute(request->call);
    if (route != nullptr &&
        (confirmed || (is_store_away_ && is_store_away_()))) {
      Dispatch(request, *route);
    } else if (confirmed) {
      Answer(request, Refusal(job_result::kNoQueue, "no such queue"),
             "no route");
    } else if (BootNow() < request->began + kRefuseAfter) {
      Again(request, [this, request] { DispatchWhenConfirmed(request); });
    } else {
      Answer(request,
             Refusal(job_result::kUnavailable,
                     "the newest configuration is not known here"),
             "configuration not confirmed");
    }
  });
}

void job_front::Dispatch(const job_request_ptr& request,
                         const queue_route& route) {
  request->queue = route.queue.name;
  request->service = route.queue.service;
  request->id = request->call.path.substr(route.prefix.size());
  switch (request->call.kind) {
    case job_call_kind::kSubmit:
      Submit(request, route);
      break;
    case job_call_kind::kState:
      State(request);
      break;
    case job_call_kind::kCancel:
      Cancel(request);
      break;
    case job_call_kind::kCount:
      Count(request);
      break;
    case job_call_kind::kUnsupported:
      Answer(request, Refusal(job_result::kInvalid, "method not supported"),
             "unsupported method");
      break;
  }
}

void job_front::Answer(const job_request_ptr& request,
                       const job_answer& answer,
                       const std::string& cause) {
  if (open_.erase(request) == 0) {
    return;
  }
  const millis took = BootNow() - request->began;
  metrics_.CountRequest(NameOf(request->call.kind), NameOf(answer.result),
                        static_cast<double>(took) / 1'000.0);
  LogEvent(kPart, NameOf(request->call.kind),
           {{"id", request->id.empty() ? request->call.path : request->id},
            {"queue", request->queue},
            {"result", NameOf(answer.result)},
            {"state", answer.result == job_result::kState
                          ? chervilkeel::NameOf(answer.state)
                          : "-"},
            {"cause", cause},
            {"tries", request->tries},
            {"config", config_.Version()},
            {"config_confirmed", config_.IsConfirmed()},
            {"config_confirmed_age_ms", config_.ConfirmedAge()},
            {"took_ms", took}});
  request->respond(adapter_.EncodeAnswer(answer));
}

void job_front::AnswerAll() {
  for (const job_request_ptr& request :
       std::unordered_set<job_request_ptr>(open_)) {
    const bool may_have_effect = request->may_be_stored || request->is_writing;
    Answer(request,
           Refusal(may_have_effect ? job_result::kUnknown
                                   : job_result::kUnavailable,
                   kShuttingDown),
           std::string("shutdown, waits_for=") + request->waits_for);
  }
}

void job_front::ReportUnanswered() const {
  int lines = 0;
  for (const job_request_ptr& request : open_) {
    const millis age = BootNow() - request->began;
    metrics_.CountRequest(NameOf(request->call.kind), "unanswered",
                          static_cast<double>(age) / 1'000.0);
    if (++lines > kMaxUnansweredLines) {
      continue;
    }
    LogEvent(kPart, "unanswered",
             {{"id", request->id.empty() ? request->call.path : request->id},
              {"kind", NameOf(request->call.kind)},
              {"queue", request->queue},
              {"waits_for", request->waits_for},
              {"tries", request->tries},
              {"age_ms", age},
              {"left_ms", request->until - BootNow()}},
             true);
  }
}

// Runs a step after a pause, unless the request is answered in the meantime.
void job_front::Again(const job_request_ptr& request,
                      std::function<void()> step) {
  ++request->tries;
  auto timer = std::make_shared<boost::asio::steady_timer>(context_);
  timer->expires_after(std::chrono::milliseconds(kPause));
  timer->async_wait([this, timer, request,
                     step = std::move(step)](boost::system::error_code) {
    if (!IsAnswered(request)) {
      step();
    }
  });
}

void job_front::Submit(const job_request_ptr& request,
                       const queue_route& route) {
  if (!IsJobId(request->id)) {
    Answer(request, Refusal(job_result::kInvalid, "the path names no job"),
           "bad id");
    return;
  }
  auto spec = adapter_.DecodeJob(request->request.body);
  if (!spec) {
    Answer(request, Refusal(job_result::kInvalid, spec.error().message),
           "unreadable");
    return;
  }
  const findings found = CheckJob(spec.value(), kMaxPayload);
  if (!found.empty()) {
    Answer(request, Refusal(job_result::kInvalid, ToText(found, "")),
           "findings");
    return;
  }
  job_record& record = request->record;
  record.id = request->id;
  record.queue = route.queue;
  record.accepted_ms = static_cast<std::int64_t>(WallNow());
  record.spec = std::move(spec.value());
  if (IsStoreSilent()) {
    RefuseWithoutStore(request);
    return;
  }
  Store(request);
}

bool job_front::IsStoreSilent() const {
  return !store_.IsUp() && store_.Silent() > kRefuseAfter;
}

void job_front::RefuseWithoutStore(const job_request_ptr& request) {
  Answer(request, Refusal(job_result::kUnavailable, "the store is away"),
         "store_silent_ms=" + std::to_string(store_.Silent()));
}

// Stores the job on condition that no other owner has been elected in the
// meantime, and that it hasn't been cancelled since the request came: a try
// without an answer may take effect seconds later. The configuration is no
// condition: each conflict would return it, and it may be longer than a slow
// link carries in the time of a request.
void job_front::Store(const job_request_ptr& request) {
  if (IsAnswered(request)) {
    return;
  }
  request->waits_for = "store";
  request->is_writing = true;
  request->record.epoch = epoch_.number;
  const std::string key = kJobPrefix + request->id;
  store_transaction transaction;
  transaction.conditions = {
      {key, 0},
      {kEpochKey, epoch_.revision},
      {kCancelPrefix + request->id, request->cancel_revision}};
  transaction.writes = {{key, EncodeJobRecord(request->record), 0}};
  const millis timeout = std::min(kStoreTimeout, request->until - BootNow());
  store_.Client().Commit(
      transaction, std::max<millis>(timeout, 1),
      [this, request](const result<transaction_outcome>& outcome) {
        store_.Note(outcome);
        OnStored(request, outcome);
      });
}

void job_front::Accept(const job_request_ptr& request,
                       const std::string& record,
                       const char* cause) {
  wire::job_question question;
  question.set_kind(wire::job_question::added);
  question.set_id(request->id);
  question.set_record(record);
  ask_(question, kAskTimeout, [](const auto&) {});
  Answer(request, Success(job_result::kAccepted), cause);
}

void job_front::OnConflict(const job_request_ptr& request,
                           const std::vector<stored_item>& conflicts) {
  known_epoch epoch;
  request->cancel_revision = 0;
  for (const stored_item& item : conflicts) {
    if (item.revision == 0) {
      continue;
    }
    // The job is stored beside its cancellation, and shown as cancelled.
    if (item.key == kCancelPrefix + request->id) {
      request->cancel_revision = item.revision;
    }
    if (item.key == kJobPrefix + request->id) {
      Accept(request, item.value, "stored before");
      return;
    }
    if (item.key == kEpochKey) {
      epoch.revision = item.revision;
      std::from_chars(item.value.data(), item.value.data() + item.value.size(),
                      epoch.number);
    }
  }
  epoch_ = epoch;
  ++request->tries;
  if (request->tries <= kQuickRetries) {
    Store(request);
  } else if (BootNow() + kPause < request->until) {
    Again(request, [this, request] { Store(request); });
  } else {
    Answer(request,
           Refusal(request->may_be_stored ? job_result::kUnknown
                                          : job_result::kUnavailable,
                   "the owner changes too often"),
           "conflicts");
  }
}

void job_front::OnStored(const job_request_ptr& request,
                         const result<transaction_outcome>& outcome) {
  request->is_writing = false;
  if (outcome) {
    if (outcome.value().applied) {
      Accept(request, EncodeJobRecord(request->record), "stored");
    } else {
      OnConflict(request, outcome.value().conflicts);
    }
    return;
  }
  if (outcome.error().code == error_code::kInvalid) {
    Answer(request, Refusal(job_result::kInvalid, outcome.error().message),
           "store refused");
    return;
  }
  if (outcome.error().code == error_code::kUnknown) {
    request->may_be_stored = true;
  }
  const millis now = BootNow();
  if (now + kPause < request->until &&
      (request->may_be_stored || now < request->began + kRefuseAfter)) {
    Again(request, [this, request] { Store(request); });
    return;
  }
  Answer(request,
         Refusal(request->may_be_stored ? job_result::kUnknown
                                        : job_result::kUnavailable,
                 "the store did not answer"),
         ToString(outcome.error()));
}

void job_front::State(const job_request_ptr& request) {
  request->waits_for = "owner";
  wire::job_question question;
  question.set_kind(wire::job_question::state);
  question.set_id(request->id);
  ask_(question, kAskTimeout,
       [this, request](const result<wire::job_reply>& reply) {
         if (reply && reply.value().is_owner() && reply.value().is_known()) {
           job_answer answer = Success(job_result::kState);
           answer.state = static_cast<job_state>(reply.value().state());
           Answer(request, answer, "owner");
         } else {
           StateFromStore(request);
         }
       });
}

// The owner is away, or has not heard of the job yet.
void job_front::StateFromStore(const job_request_ptr& request) {
  request->waits_for = "store";
  store_.Client().Read(
      kProgressPrefix + request->id, kStoreTimeout,
      [this, request](const result<std::optional<stored_item>>& item) {
        store_.Note(item);
        if (item && item.value()) {
          const auto progress = DecodeJobProgress(item.value()->value);
          if (progress) {
            job_answer answer = Success(job_result::kState);
            answer.state = progress.value().state;
            Answer(request, answer, "store");
            return;
          }
        }
        CheckStored(request);
      });
}

void job_front::AskState(const job_request_ptr& request) {
  if (request->call.kind == job_call_kind::kCancel) {
    Cancel(request);
  } else {
    State(request);
  }
}

// Tells whether the job was accepted at all.
void job_front::CheckStored(const job_request_ptr& request) {
  request->waits_for = "store";
  store_.Client().Read(
      kJobPrefix + request->id, kStoreTimeout,
      [this, request](const result<std::optional<stored_item>>& item) {
        store_.Note(item);
        if (!item) {
          if (BootNow() + kPause < request->until) {
            Again(request, [this, request] { AskState(request); });
          } else {
            Answer(request,
                   Refusal(job_result::kUnavailable, "the state is not known"),
                   ToString(item.error()));
          }
          return;
        }
        if (request->call.kind == job_call_kind::kCancel) {
          if (item.value()) {
            StoreCancel(request);
          } else {
            StoreEarlyCancel(request);
          }
          return;
        }
        if (!item.value()) {
          Answer(request, Refusal(job_result::kNoJob, "no such job"), "store");
          return;
        }
        job_answer answer = Success(job_result::kState);
        answer.state = job_state::kQueued;
        Answer(request, answer, "store");
      });
}

void job_front::Cancel(const job_request_ptr& request) {
  if (!IsJobId(request->id)) {
    Answer(request, Refusal(job_result::kNoJob, "no such job"), "bad id");
    return;
  }
  request->waits_for = "owner";
  wire::job_question question;
  question.set_kind(wire::job_question::state);
  question.set_id(request->id);
  ask_(question, kAskTimeout,
       [this, request](const result<wire::job_reply>& reply) {
         if (reply && reply.value().is_owner() && reply.value().is_known()) {
           StoreCancel(request);
         } else {
           CheckStored(request);
         }
       });
}

void job_front::CommitCancel(
    const job_request_ptr& request,
    std::vector<store_condition> conditions,
    std::function<void(const result<transaction_outcome>&)> done) {
  if (IsAnswered(request)) {
    return;
  }
  request->waits_for = "store";
  request->is_writing = true;
  store_transaction transaction;
  transaction.conditions = std::move(conditions);
  transaction.writes = {{kCancelPrefix + request->id, "cancelled", 0}};
  const millis timeout =
      std::max<millis>(std::min(kStoreTimeout, request->until - BootNow()), 1);
  store_.Client().Commit(
      transaction, timeout,
      [this, request,
       done = std::move(done)](const result<transaction_outcome>& outcome) {
        store_.Note(outcome);
        request->is_writing = false;
        request->may_be_stored =
            request->may_be_stored ||
            (!outcome && outcome.error().code == error_code::kUnknown);
        done(outcome);
      });
}

void job_front::StoreCancel(const job_request_ptr& request) {
  CommitCancel(
      request, {}, [this, request](const result<transaction_outcome>& outcome) {
        if (outcome) {
          TellCancelled(request->id);
          Answer(request, Success(job_result::kCancelled), "stored");
        } else if (BootNow() + kPause < request->until) {
          Again(request, [this, request] { StoreCancel(request); });
        } else {
          Answer(request,
                 Refusal(job_result::kUnknown, "the store did not answer"),
                 ToString(outcome.error()));
        }
      });
}

void job_front::TellCancelled(const std::string& id) {
  AskAboutCancel(id, [this, id, stored_at = BootNow()](
                         bool is_told, const std::string& cause) {
    if (is_told) {
      return;
    }
    LogEvent(kPart, "cancel_to_be_told_again",
             {{"id", id},
              {"cause", cause},
              {"age_ms", BootNow() - stored_at},
              {"untold", untold_cancels_.size()}});
    untold_cancels_.push_back({id, stored_at});
    if (untold_cancels_.size() == 1) {
      TellAgainAfterPause();
    }
  });
}

void job_front::AskAboutCancel(
    const std::string& id,
    std::function<void(bool is_told, const std::string& cause)> done) {
  wire::job_question question;
  question.set_kind(wire::job_question::cancelled);
  question.set_id(id);
  ask_(question, kAskTimeout,
       [done = std::move(done)](const result<wire::job_reply>& reply) {
         done(reply && reply.value().is_owner(),
              reply ? "no owner" : ToString(reply.error()));
       });
}

void job_front::TellAgainAfterPause() {
  auto timer = std::make_shared<boost::asio::steady_timer>(context_);
  timer->expires_after(std::chrono::milliseconds(kPause));
  timer->async_wait([this, timer](boost::system::error_code) { TellAgain(); });
}

void job_front::TellAgain() {
  if (untold_cancels_.empty()) {
    return;
  }
  AskAboutCancel(untold_cancels_.front().id,
                 [this](bool is_told, const std::string& cause) {
                   const untold_cancel& told = untold_cancels_.front();
                   const millis age = BootNow() - told.stored_at;
                   if (!is_told && age < kMaxTellTime) {
                     TellAgainAfterPause();
                     return;
                   }
                   LogEvent(kPart, is_told ? "cancel_told" : "cancel_not_told",
                            {{"id", told.id},
                             {"cause", is_told ? "-" : cause},
                             {"age_ms", age},
                             {"untold", untold_cancels_.size() - 1}},
                            !is_told);
                   untold_cancels_.pop_front();
                   boost::asio::post(context_, [this] { TellAgain(); });
                 });
}

// "No such job" has to stay true: the condition decides whether the job or its
// cancellation was stored first, and Store() has the opposite one.
void job_front::StoreEarlyCancel(const job_request_ptr& request) {
  CommitCancel(request, {{kJobPrefix + request->id, 0}},
               [this, request](const result<transaction_outcome>& outcome) {
                 OnEarlyCancelStored(request, outcome);
               });
}

void job_front::OnEarlyCancelStored(
    const job_request_ptr& request,
    const result<transaction_outcome>& outcome) {
  if (outcome) {
    if (outcome.value().applied) {
      TellCancelled(request->id);
      Answer(request, Refusal(job_result::kNoJob, "no such job"),
             "cancelled before it was stored");
    } else {
      StoreCancel(request);
    }
    return;
  }
  if (BootNow() + kPause < request->until) {
    Again(request, [this, request] { Cancel(request); });
    return;
  }
  Answer(request,
         Refusal(request->may_be_stored ? job_result::kUnknown
                                        : job_result::kUnavailable,
                 "the store did not answer"),
         ToString(outcome.error()));
}

void job_front::Count(const job_request_ptr& request) {
  request->waits_for = "owner";
  wire::job_question question;
  question.set_kind(wire::job_question::pending);
  question.set_id(request->queue);
  ask_(question, kAskTimeout,
       [this, request](const result<wire::job_reply>& reply) {
         if (reply && reply.value().is_owner()) {
           job_answer answer = Success(job_result::kCount);
           answer.count = reply.value().count();
           Answer(request, answer, "owner");
         } else if (BootNow() + kPause < request->until) {
           Again(request, [this, request] { Count(request); });
         } else {
           Answer(request,
                  Refusal(job_result::kUnavailable, "the owner is away"),
                  "no owner");
         }
       });
}

}  // namespace chervilkeel
