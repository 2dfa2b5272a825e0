// Requests inside an entry that ends: each gets its answer, and only one.
#include "request_session.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <grpcpp/grpcpp.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/test/unit_test.hpp>

namespace chervilkeel {

namespace {

constexpr const char* kManifest = R"({"house": "h", "cells": ["c"],
  "teams": [{"name": "t", "processors": 1, "memory_mb": 1}],
  "services": [
    {"name": "page", "team": "t", "class": "short", "deadline_ms": 8000,
     "expected_ms": 25},
    {"name": "pay", "team": "t", "class": "short", "idempotent": false,
     "deadline_ms": 8000, "expected_ms": 70}],
  "jobs": []})";

// Calls that a peer has got and not answered yet.
struct held_calls {
  std::atomic<int> calls{0};
  std::atomic<bool> holds{true};
  std::atomic<grpc::ServerUnaryReactor*> reactor{nullptr};

  grpc::ServerUnaryReactor* Hold(grpc::CallbackServerContext* context) {
    auto* held = context->DefaultReactor();
    reactor = held;
    ++calls;
    if (!holds) {
      Release();
    }
    return held;
  }

  void Release() {
    grpc::ServerUnaryReactor* held = reactor.exchange(nullptr);
    if (held != nullptr) {
      held->Finish(grpc::Status::OK);
    }
  }
};

// An owner that grants each claim, when the test lets it.
class holding_owner : public wire::owner_service::CallbackService {
 public:
  grpc::ServerUnaryReactor* ClaimRequest(grpc::CallbackServerContext* context,
                                         const wire::claim_request* /*request*/,
                                         wire::claim_reply* reply) override {
    reply->set_state(wire::claim_granted);
    return claims.Hold(context);
  }

  grpc::ServerUnaryReactor* SettleRequest(
      grpc::CallbackServerContext* context,
      const wire::settlement* request,
      wire::settle_reply* /*reply*/) override {
    settled = request->outcome();
    ++settlements;
    auto* reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }

  held_calls claims;
  std::atomic<int> settlements{0};
  std::atomic<wire::request_outcome> settled{wire::outcome_unknown};
};

// An upstream that answers each request as not run, when the test lets it.
class holding_agent : public wire::agent_service::CallbackService {
 public:
  grpc::ServerUnaryReactor* Execute(grpc::CallbackServerContext* context,
                                    const wire::execute_request* request,
                                    wire::execute_reply* reply) override {
    reply->set_request_id(request->request_id());
    reply->set_outcome(wire::outcome_not_run);
    return requests.Hold(context);
  }

  held_calls requests;
};

// What the callbacks of an entry's calls use.
struct entry_parts {
  explicit entry_parts(process_settings settings) : core(std::move(settings)) {}

  process_core core;
  entry_tables tables{core};
  boost::asio::io_context context;
};

// An entry's requests on two threads, with an owner and an upstream that can be
// made known to it.
struct ending_entry_fixture {
  ending_entry_fixture() {
    grpc::ServerBuilder builder;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(),
                             &port);
    builder.RegisterService(&owner);
    builder.RegisterService(&agent);
    server = builder.BuildAndStart();
    wire::manifest_root root;
    root.set_version(1);
    const auto sections = SplitSections(kManifest);
    for (const wire::manifest_section& section : sections) {
      auto* reference = root.add_sections();
      reference->set_name(section.name());
      reference->set_hash(section.hash());
    }
    BOOST_TEST_REQUIRE(core.manifests.Take(root, sections).value());
    for (int i = 0; i < 2; ++i) {
      pool.emplace_back([this] { context.run(); });
    }
  }

  ~ending_entry_fixture() {
    for (held_calls* held : {&owner.claims, &agent.requests}) {
      held->holds = false;
      held->Release();
    }
    server->Shutdown(std::chrono::system_clock::now());
    context.stop();
    for (std::thread& thread : pool) {
      thread.join();
    }
  }

  // Keeps the parts to the end of the program: gRPC may still be in a callback
  // when a test ends.
  static entry_parts& MakeParts() {
    static std::vector<std::unique_ptr<entry_parts>> all;
    process_settings settings;
    settings.name = "entry";
    all.push_back(std::make_unique<entry_parts>(std::move(settings)));
    return *all.back();
  }

  std::string Address() const { return "127.0.0.1:" + std::to_string(port); }

  void LearnOwner() {
    const std::lock_guard lock(tables.mutex);
    tables.owners["c"].set_address(Address());
  }

  void LearnUpstream() {
    wire::roster_reply roster;
    roster.set_cell("c");
    auto* member = roster.add_members();
    member->set_agent("agent");
    member->set_address(Address());
    member->mutable_load()->set_slots(1);
    const std::lock_guard lock(tables.mutex);
    tables.upstreams.ApplyRoster(roster, MonotonicNow());
  }

  std::future<http_response> Send(const std::string& service) {
    http_request request;
    request.method = "POST";
    request.path = "/v1/request/" + service;
    request.headers.push_back({"Idempotency-Key", "key"});
    auto answer = std::make_shared<std::promise<http_response>>();
    std::make_shared<request_session>(context, tables, std::move(request),
                                      [answer](http_response response) {
                                        answer->set_value(std::move(response));
                                      })
        ->Start();
    return answer->get_future();
  }

  std::uint64_t End() {
    tables.draining = true;
    return EndOpenRequests(tables);
  }

  static bool Await(const std::function<bool()>& condition) {
    const millis until = MonotonicNow() + kMostWait;
    while (!condition() && MonotonicNow() < until) {
      Pause(5);
    }
    return condition();
  }

  static void Pause(millis time) {
    std::this_thread::sleep_for(std::chrono::milliseconds(time));
  }

  static void CheckAnswer(std::future<http_response>& answer,
                          unsigned status,
                          const std::string& outcome) {
    BOOST_TEST_REQUIRE((answer.wait_for(std::chrono::seconds(0)) ==
                        std::future_status::ready));
    const http_response response = answer.get();
    BOOST_TEST(response.status == status);
    BOOST_TEST(response.body.find("\"outcome\":\"" + outcome + "\"") !=
               std::string::npos);
  }

  static constexpr millis kMostWait = 5'000;
  static constexpr millis kPastRetries = 400;  // Above the pause of claims.

  holding_owner owner;
  holding_agent agent;
  int port = 0;
  std::unique_ptr<grpc::Server> server;
  entry_parts& parts = MakeParts();
  process_core& core = parts.core;
  entry_tables& tables = parts.tables;
  boost::asio::io_context& context = parts.context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard{context.get_executor()};
  std::vector<std::thread> pool;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(request_session_suite, ending_entry_fixture)

// Guards against a client that waits for an owner and sees its connection
// close.
BOOST_AUTO_TEST_CASE(request_without_an_owner_is_not_run_at_the_end) {
  auto answer = Send("pay");
  Pause(50);
  BOOST_TEST(End() == 1U);
  CheckAnswer(answer, 503, "not run");
}

// Guards against a request that runs after its client was told "not run".
BOOST_AUTO_TEST_CASE(request_told_not_run_is_never_claimed) {
  auto answer = Send("pay");
  Pause(50);
  BOOST_TEST(End() == 1U);
  LearnOwner();
  LearnUpstream();
  Pause(kPastRetries);
  BOOST_TEST(owner.claims.calls == 0);
  BOOST_TEST(agent.requests.calls == 0);
}

// Guards against "not run" for a request that the owner may have recorded.
BOOST_AUTO_TEST_CASE(request_with_an_open_claim_is_unknown_at_the_end) {
  LearnOwner();
  auto answer = Send("pay");
  BOOST_TEST_REQUIRE(Await([this] { return owner.claims.calls == 1; }));
  BOOST_TEST(End() == 1U);
  CheckAnswer(answer, 504, "unknown");
}

// Guards against a claim that is granted after the answer: the request must not
// run, and its key must not stay taken.
BOOST_AUTO_TEST_CASE(claim_granted_after_the_end_is_given_back) {
  LearnOwner();
  LearnUpstream();
  auto answer = Send("pay");
  BOOST_TEST_REQUIRE(Await([this] { return owner.claims.calls == 1; }));
  BOOST_TEST(End() == 1U);
  BOOST_TEST(owner.settlements == 0);
  owner.claims.Release();
  BOOST_TEST(Await([this] { return owner.settlements == 1; }));
  BOOST_TEST((owner.settled == wire::outcome_not_run));
  BOOST_TEST(agent.requests.calls == 0);
}

// Guards against "not run" for a request that an executor may be running, and
// against a further try after the answer.
BOOST_AUTO_TEST_CASE(request_at_an_upstream_is_unknown_and_never_sent_again) {
  LearnUpstream();
  auto answer = Send("page");
  BOOST_TEST_REQUIRE(Await([this] { return agent.requests.calls == 1; }));
  BOOST_TEST(End() == 1U);
  CheckAnswer(answer, 504, "unknown");
  agent.requests.Release();
  Pause(kPastRetries);
  BOOST_TEST(agent.requests.calls == 1);
}

// Guards against a second answer, and a false count, for a request that has
// one while its last call is still open.
BOOST_AUTO_TEST_CASE(answered_request_is_not_ended) {
  auto answer = Send("nothing");
  BOOST_TEST(Await([&] {
    return answer.wait_for(std::chrono::seconds(0)) ==
           std::future_status::ready;
  }));
  BOOST_TEST(End() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
