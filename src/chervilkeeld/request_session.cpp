#include "request_session.h"

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/json.hpp>

#include "chervilkeel/log.h"

namespace chervilkeel {

namespace {

constexpr const char* kPart = "requests";
constexpr const char* kRequestPath = "/v1/request/";
constexpr const char* kEndReason = "this entry is leaving and waits no longer";
constexpr millis kMaxDeadline = 600'000;
constexpr millis kReplyGrace = 50;  // For a refusal at the deadline.
constexpr millis kSettleTimeout = 2'000;
constexpr millis kClaimPause = 200;
constexpr millis kClaimTimeout = 1'000;
constexpr double kHedgeFactor = 4;           // Times the expected service time.
constexpr std::size_t kMaxKeptBody = 1'024;  // Bytes of a settled answer.
constexpr std::size_t kMaxKeyLength = 128;
constexpr double kMicrosInSecond = 1e6;

constexpr outcome_answer kNotRunAnswer{wire::outcome_not_run, 503, "not run",
                                       "not-run", "was not run"};
constexpr outcome_answer kUnknownAnswer{wire::outcome_unknown, 504, "unknown",
                                        "unknown", "may have run"};

std::string MakeId(entry_tables& tables) {
  return tables.core.settings.name + "-" +
         std::to_string(tables.core.incarnation) + "-" +
         std::to_string(++tables.sequence);
}

}  // namespace

request_session::request_session(boost::asio::io_context& context,
                                 entry_tables& tables,
                                 http_request request,
                                 http_responder respond)
    : strand_(boost::asio::make_strand(context)),
      timer_(strand_),
      tables_(tables),
      request_(std::move(request)),
      respond_(std::move(respond)),
      id_(MakeId(tables)),
      arrived_us_(MonotonicMicros()) {
  ++tables_.in_flight;
}

request_session::~request_session() {
  --tables_.in_flight;
}

// A request is listed before it looks whether the entry refuses it, so that
// EndOpenRequests() misses none that is not refused.
void request_session::Start() {
  {
    const std::lock_guard lock(tables_.mutex);
    tables_.open.insert(shared_from_this());
  }
  boost::asio::post(strand_, [self = shared_from_this()] {
    if (self->responded_ || !self->ReadRequest()) {
      return;
    }
    if (self->key_.empty()) {
      self->Begin();
    } else {
      self->Claim();
    }
  });
}

// Checks the request; answers it and returns false when it is not sound.
bool request_session::ReadRequest() {
  const std::string name =
      request_.path.substr(std::string(kRequestPath).size());
  const auto view = tables_.core.manifests.View();
  const auto found = view->value.services.find(name);
  if (tables_.draining) {
    AnswerNotRun("this entry is leaving");
    return false;
  }
  if (tables_.in_flight > tables_.core.settings.requests_in_flight) {
    AnswerNotRun("this entry has as many requests in flight as it may");
    return false;
  }
  if (found == view->value.services.end()) {
    Respond(
        ErrorResponse(404, "no service \"" + name + "\" in manifest version " +
                               std::to_string(view->root.version())),
        "refused");
    return false;
  }
  if (request_.method != "POST") {
    Respond(ErrorResponse(405, "a request to a service must be a POST"),
            "refused");
    return false;
  }
  service_ = found->second;
  const std::string key = request_.Header("Idempotency-Key");
  if (key.size() > kMaxKeyLength) {
    Respond(ErrorResponse(400, "Idempotency-Key is longer than " +
                                   std::to_string(kMaxKeyLength) + " bytes"),
            "refused");
    return false;
  }
  if (!service_.idempotent && !key.empty()) {
    key_ = name + ":" + key;
  }
  return ReadDeadline();
}

bool request_session::ReadDeadline() {
  millis duration = service_.deadline_ms;
  const std::string text = request_.Header("X-Deadline-Ms");
  if (!text.empty()) {
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, duration);
    if (parsed.ec != std::errc() || parsed.ptr != end || duration < 1 ||
        duration > kMaxDeadline) {
      Respond(ErrorResponse(400,
                            "X-Deadline-Ms must be a whole number from 1 "
                            "to " +
                                std::to_string(kMaxDeadline)),
              "refused");
      return false;
    }
  }
  deadline_ = arrived_us_ / 1000 + duration;
  return true;
}

std::string request_session::OwnerOfKey() {
  const auto view = tables_.core.manifests.View();
  const std::string cell = HomeCell(key_, view->value.cells);
  const std::lock_guard lock(tables_.mutex);
  const auto owner = tables_.owners.find(cell);
  return owner == tables_.owners.end() ? "" : owner->second.address();
}

void request_session::Claim() {
  if (responded_) {
    return;
  }
  claim_owner_ = OwnerOfKey();
  if (claim_owner_.empty()) {
    ClaimAgain("no owner is known for the idempotency key");
    return;
  }
  wire::claim_request request;
  request.set_key(key_);
  request.set_request_id(id_);
  request.set_service(service_.name);
  claiming_ = true;
  const auto call = MakeCall<wire::claim_request, wire::claim_reply>(
      tables_.core.peers.At(claim_owner_), std::move(request),
      std::min(kClaimTimeout, deadline_ - MonotonicNow()));
  call->peer->owner->async()->ClaimRequest(
      &call->context, &call->request, &call->reply,
      [self = shared_from_this(), call](const grpc::Status& status) {
        boost::asio::post(self->strand_, [self, call, status] {
          self->OnClaim(status, call->reply);
        });
      });
}

void request_session::OnClaim(const grpc::Status& status,
                              const wire::claim_reply& reply) {
  claiming_ = false;
  if (responded_) {
    OnLateClaim(status, reply);
    return;
  }
  if (!status.ok()) {
    // The claim may have been recorded; nothing was sent to an executor.
    claimed_ = true;
    ClaimAgain("claiming the idempotency key failed: " +
               status.error_message());
    return;
  }
  switch (reply.state()) {
    case wire::claim_granted:
      claimed_ = true;
      Begin();
      break;
    case wire::claim_answered:
      Replay(reply.settled());
      break;
    case wire::claim_in_progress:
      AnswerUnknown("the idempotency key was used before: " + reply.reason());
      break;
    default:
      ClaimAgain("the idempotency key cannot be claimed: " + reply.reason());
      break;
  }
}

// Repeats a claim that got no answer, as the owner may be changing. A claim of
// the same request is granted however often it is asked for.
void request_session::ClaimAgain(const std::string& reason) {
  const millis left = deadline_ - MonotonicNow();
  if (left < kClaimPause + static_cast<millis>(service_.expected_ms)) {
    AnswerNotRun(reason);
    return;
  }
  timer_.expires_after(std::chrono::milliseconds(kClaimPause));
  timer_.async_wait(
      [self = shared_from_this()](boost::system::error_code failure) {
        if (!failure) {
          self->Claim();
        }
      });
}

// Frees a key that was granted to a request that has been ended: it never runs.
void request_session::OnLateClaim(const grpc::Status& status,
                                  const wire::claim_reply& reply) {
  if (status.ok() && reply.state() == wire::claim_granted) {
    claimed_ = true;
    Settle(wire::outcome_not_run, nullptr);
  }
}

// Gives a repeated request the answer that the first one got.
void request_session::Replay(const wire::settlement& settled) {
  if (settled.outcome() != wire::outcome_answered || !settled.body_kept()) {
    AnswerUnknown("request " + settled.request_id() +
                  " ran under this idempotency key; its answer is not kept");
    return;
  }
  http_response response;
  response.status = settled.status();
  response.body = settled.body();
  response.content_type = settled.content_type();
  response.headers.push_back({"X-Replayed", settled.request_id()});
  Respond(std::move(response), "answered");
}

void request_session::Begin() {
  flight_options options;
  options.idempotent = service_.idempotent;
  options.deadline = deadline_;
  if (service_.duration == request_class::kShort) {
    options.hedge_after =
        static_cast<millis>(kHedgeFactor * service_.expected_ms);
  }
  flight_step step;
  {
    const std::lock_guard lock(tables_.mutex);
    flight_.emplace(options, tables_.budget);
    step = flight_->Begin(MonotonicNow());
  }
  Do(step);
}

void request_session::Do(const flight_step& step) {
  switch (step.action) {
    case flight_action::kSend:
      if (step.attempt > 1) {
        tables_.core.metrics.CountEvent("retries_and_hedges");
      }
      Send(step.attempt);
      Arm();
      break;
    case flight_action::kAnswer:
      Answer(last_reply_);
      break;
    case flight_action::kNotRun:
      AnswerNotRun(step.reason);
      break;
    case flight_action::kUnknown:
      AnswerUnknown(step.reason);
      break;
    case flight_action::kWait:
      break;
  }
}

void request_session::Send(std::uint32_t attempt) {
  const millis now = MonotonicNow();
  upstream_choice choice;
  {
    const std::lock_guard lock(tables_.mutex);
    choice = tables_.upstreams.Choose(service_.duration, service_.expected_ms,
                                      tried_, now);
    if (!choice.agent.empty()) {
      tables_.upstreams.OnRequestSent(choice.agent);
    }
  }
  tables_.core.decisions.Add(
      kPart, id_,
      choice.agent.empty() ? "found no upstream" : "chose " + choice.agent,
      choice.Reason());
  if (choice.agent.empty()) {
    flight_step step;
    {
      const std::lock_guard lock(tables_.mutex);
      step = flight_->OnNoUpstream(attempt, choice.Reason(), now);
    }
    Do(step);
    return;
  }
  tried_.insert(choice.agent);
  const auto peer = tables_.core.peers.At(choice.address);
  if (peer->channel->GetState(true) == GRPC_CHANNEL_TRANSIENT_FAILURE) {
    OnNotSent(attempt, choice.agent, "no connection to " + choice.agent);
    return;
  }
  wire::execute_request request;
  request.set_request_id(id_ + "." + std::to_string(attempt));
  request.set_service(service_.name);
  request.set_body(request_.body);
  request.set_content_type(request_.content_type);
  request.set_deadline_ms(
      static_cast<std::uint32_t>(std::max<millis>(1, deadline_ - now)));
  request.set_idempotent(service_.idempotent);
  request.set_long_service(service_.duration == request_class::kLong);
  request.set_expected_ms(service_.expected_ms);
  const auto call = MakeCall<wire::execute_request, wire::execute_reply>(
      peer, std::move(request), deadline_ - now + kReplyGrace);
  call->peer->agent->async()->Execute(
      &call->context, &call->request, &call->reply,
      [self = shared_from_this(), call, attempt,
       agent = choice.agent](const grpc::Status& status) {
        boost::asio::post(self->strand_, [self, call, attempt, agent, status] {
          self->OnReply(attempt, agent, status, call->reply);
        });
      });
}

// The connection was down before the request was handed to it.
void request_session::OnNotSent(std::uint32_t attempt,
                                const std::string& agent,
                                const std::string& reason) {
  const millis now = MonotonicNow();
  flight_step step;
  {
    const std::lock_guard lock(tables_.mutex);
    tables_.upstreams.OnRequestEnded(agent, service_.duration, nullptr);
    tables_.upstreams.MarkFailed(agent, now);
    step = flight_->OnOutcome(attempt, wire::outcome_not_run, reason, now);
  }
  Do(step);
}

void request_session::OnReply(std::uint32_t attempt,
                              const std::string& agent,
                              const grpc::Status& status,
                              const wire::execute_reply& reply) {
  const millis now = MonotonicNow();
  const std::string expected = id_ + "." + std::to_string(attempt);
  const bool own = status.ok() && reply.request_id() == expected;
  const wire::request_outcome outcome =
      own ? reply.outcome() : wire::outcome_unknown;
  const std::string reason =
      own ? agent + ": " + reply.reason()
          : agent + " did not answer: " + status.error_message();
  flight_step step;
  {
    const std::lock_guard lock(tables_.mutex);
    tables_.upstreams.OnRequestEnded(agent, service_.duration,
                                     own ? &reply : nullptr);
    if (status.error_code() == grpc::StatusCode::UNAVAILABLE) {
      tables_.upstreams.MarkFailed(agent, now);
    }
    step = flight_->OnOutcome(attempt, outcome, reason, now);
  }
  if (step.action == flight_action::kAnswer) {
    last_reply_ = reply;
    upstream_ = agent;
  }
  if (outcome != wire::outcome_answered) {
    tables_.core.decisions.Add(
        kPart, id_, "attempt " + std::to_string(attempt) + " gave no answer",
        reason);
  }
  Do(step);
}

void request_session::Arm() {
  if (flight_->Ended()) {
    return;
  }
  timer_.expires_after(std::chrono::milliseconds(
      std::max<millis>(1, flight_->NextTime() - MonotonicNow())));
  timer_.async_wait(
      [self = shared_from_this()](boost::system::error_code failure) {
        if (failure) {
          return;
        }
        flight_step step;
        {
          const std::lock_guard lock(self->tables_.mutex);
          step = self->flight_->OnTime(MonotonicNow());
        }
        if (step.action == flight_action::kWait) {
          self->Arm();
        } else {
          self->Do(step);
        }
      });
}

std::future<bool> request_session::End() {
  auto ended = std::make_shared<std::promise<bool>>();
  boost::asio::post(strand_, [self = shared_from_this(), ended] {
    ended->set_value(self->EndNow());
  });
  return ended->get_future();
}

bool request_session::EndNow() {
  if (responded_) {
    return false;
  }
  if (flight_) {
    flight_step step;
    {
      const std::lock_guard lock(tables_.mutex);
      step = flight_->OnLeaving(kEndReason);
    }
    Do(step);
  } else if (claiming_ || claimed_) {
    // Whether the key is this request's is not known: settling it might free
    // the key of another one.
    claimed_ = false;
    AnswerUnknown(kEndReason);
  } else {
    AnswerNotRun(kEndReason);
  }
  return true;
}

void request_session::Answer(const wire::execute_reply& reply) {
  Settle(wire::outcome_answered, &reply);
  http_response response;
  response.status = reply.status();
  response.body = reply.body();
  response.content_type = reply.content_type();
  response.headers.push_back({"X-Upstream", upstream_});
  Respond(std::move(response), "answered");
}

void request_session::AnswerNotRun(const std::string& reason) {
  AnswerWithout(kNotRunAnswer, reason);
}

void request_session::AnswerUnknown(const std::string& reason) {
  AnswerWithout(kUnknownAnswer, reason);
}

// Ends a request that has no answer of an executor.
void request_session::AnswerWithout(const outcome_answer& answer,
                                    const std::string& reason) {
  Settle(answer.outcome, nullptr);
  tables_.core.decisions.Add(kPart, id_, answer.decision, reason);
  http_response response;
  response.status = answer.status;
  response.body = boost::json::serialize(boost::json::object{
      {"outcome", answer.name}, {"request", id_}, {"reason", reason}});
  Respond(std::move(response), answer.header);
}

// Tells the owner how a claimed request ended. If this is lost, the key stays
// claimed: a repetition is then refused, which is safe.
void request_session::Settle(wire::request_outcome outcome,
                             const wire::execute_reply* reply) {
  if (!claimed_) {
    return;
  }
  claimed_ = false;
  wire::settlement settled;
  settled.set_key(key_);
  settled.set_request_id(id_);
  settled.set_outcome(outcome);
  if (reply) {
    settled.set_status(reply->status());
    settled.set_content_type(reply->content_type());
    settled.set_body_kept(reply->body().size() <= kMaxKeptBody);
    if (settled.body_kept()) {
      settled.set_body(reply->body());
    }
  }
  const auto call = MakeCall<wire::settlement, wire::settle_reply>(
      tables_.core.peers.At(claim_owner_), std::move(settled), kSettleTimeout);
  call->peer->owner->async()->SettleRequest(
      &call->context, &call->request, &call->reply,
      [call](const grpc::Status& status) {
        if (!status.ok()) {
          LogWarn(kPart, "Settling the key of request " +
                             call->request.request_id() + " failed; " +
                             status.error_message() + ".");
        }
      });
}

void request_session::Respond(http_response response, const char* outcome) {
  if (responded_) {
    return;
  }
  responded_ = true;
  timer_.cancel();
  {
    const std::lock_guard lock(tables_.mutex);
    tables_.open.erase(shared_from_this());
  }
  response.headers.push_back({"X-Request-Id", id_});
  response.headers.push_back({"X-Outcome", outcome});
  tables_.core.metrics.CountRequest(
      service_.name.empty() ? "(none)" : service_.name, outcome,
      static_cast<double>(MonotonicMicros() - arrived_us_) / kMicrosInSecond);
  respond_(std::move(response));
}

std::uint64_t EndOpenRequests(entry_tables& tables) {
  std::vector<std::shared_ptr<request_session>> open;
  {
    const std::lock_guard lock(tables.mutex);
    open.assign(tables.open.begin(), tables.open.end());
  }
  std::vector<std::future<bool>> ends;
  ends.reserve(open.size());
  for (const auto& session : open) {
    ends.push_back(session->End());
  }
  std::uint64_t ended = 0;
  for (std::future<bool>& end : ends) {
    ended += end.get() ? 1 : 0;
  }
  return ended;
}

}  // namespace chervilkeel
