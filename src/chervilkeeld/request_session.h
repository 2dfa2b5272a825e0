// One client's request at an entry, from its arrival to its answer.
#pragma once

#include <future>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "chervilkeel/http_server.h"
#include "entry_tables.h"

namespace chervilkeel {

// How a request that no executor answered is told to its client.
struct outcome_answer {
  wire::request_outcome outcome;
  unsigned status;       // Of HTTP.
  const char* name;      // In the body.
  const char* header;    // X-Outcome, and the label of the metric.
  const char* decision;  // In the decision log.
};

// Carries out what request_flight decides. It keeps itself alive while a call
// or a timer is pending; all its work runs on its own strand.
class request_session : public std::enable_shared_from_this<request_session> {
 public:
  request_session(boost::asio::io_context& context,
                  entry_tables& tables,
                  http_request request,
                  http_responder respond);
  ~request_session();
  request_session(const request_session&) = delete;
  request_session& operator=(const request_session&) = delete;

  // Checks the request and sets it going.
  void Start();

  // Answers the request as far as it has come, on its strand, unless it is
  // answered; it is never tried again. Tells whether this gave the answer.
  std::future<bool> End();

 private:
  using execute_call = rpc_call<wire::execute_request, wire::execute_reply>;
  using claim_call = rpc_call<wire::claim_request, wire::claim_reply>;

  bool ReadRequest();
  bool ReadDeadline();
  void Claim();
  void OnClaim(const grpc::Status& status, const wire::claim_reply& reply);
  void ClaimAgain(const std::string& reason);
  void OnLateClaim(const grpc::Status& status, const wire::claim_reply& reply);
  bool EndNow();
  void Replay(const wire::settlement& settled);
  void Begin();
  void Do(const flight_step& step);
  void Send(std::uint32_t attempt);
  void OnReply(std::uint32_t attempt,
               const std::string& agent,
               const grpc::Status& status,
               const wire::execute_reply& reply);
  void OnNotSent(std::uint32_t attempt,
                 const std::string& agent,
                 const std::string& reason);
  void Arm();
  void Answer(const wire::execute_reply& reply);
  void AnswerNotRun(const std::string& reason);
  void AnswerUnknown(const std::string& reason);
  void AnswerWithout(const outcome_answer& answer, const std::string& reason);
  void Settle(wire::request_outcome outcome, const wire::execute_reply* reply);
  void Respond(http_response response, const char* outcome);
  std::string OwnerOfKey();

  boost::asio::strand<boost::asio::io_context::executor_type> strand_;
  boost::asio::steady_timer timer_;
  entry_tables& tables_;
  http_request request_;
  http_responder respond_;
  const std::string id_;
  const std::int64_t arrived_us_;
  std::string key_;  // The client's idempotency key, for one non-idempotent.
  std::string claim_owner_;
  service_specification service_;
  millis deadline_ = 0;
  std::optional<request_flight> flight_;
  std::set<std::string> tried_;
  wire::execute_reply last_reply_;
  std::string upstream_;
  bool claiming_ = false;  // A claim has no reply yet.
  bool claimed_ = false;
  bool responded_ = false;
};

// Ends the requests of a leaving entry that have no answer yet, and returns how
// many got their answer by it. Blocks until all have one. To be called after
// tables.draining is set, from a thread that the requests don't run on.
std::uint64_t EndOpenRequests(entry_tables& tables);

}  // namespace chervilkeel
