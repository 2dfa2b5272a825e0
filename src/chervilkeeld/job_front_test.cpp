#include "job_front.h"

#include <optional>

#include <boost/test/unit_test.hpp>

#include "job_keys.h"
#include "store_in_memory.h"

namespace chervilkeel {

namespace {

// An adapter whose answers name their result.
class plain_adapter : public platform_adapter {
 public:
  std::unique_ptr<coordination_store> MakeStore(
      boost::asio::io_context& /*context*/,
      const endpoint& /*peer*/) const override {
    return nullptr;
  }
  std::unique_ptr<task_executor> MakeExecutor(
      boost::asio::io_context& /*context*/,
      const endpoint& /*peer*/) const override {
    return nullptr;
  }
  std::string ConfigKey() const override { return "config"; }
  result<deployed_config> DecodeConfig(
      const std::string& /*text*/) const override {
    return deployed_config();
  }
  job_call DecodeCall(const http_request& request) const override {
    return {request.method == "POST"     ? job_call_kind::kSubmit
            : request.method == "DELETE" ? job_call_kind::kCancel
                                         : job_call_kind::kState,
            "house", request.path, 2'000};
  }
  result<job_spec> DecodeJob(const std::string& body) const override {
    if (body == "bad") {
      return Fail(error_code::kInvalid, "bad job");
    }
    job_spec spec;
    spec.steps.emplace_back();
    spec.steps[0].tasks = 1;
    return spec;
  }
  http_response EncodeAnswer(const job_answer& answer) const override {
    http_response response;
    response.body = NameOf(answer.result);
    return response;
  }
  bool IsReadinessCall(const http_request& /*request*/) const override {
    return false;
  }
  result<announcement> DecodeAnnouncement(
      const http_request& /*request*/) const override {
    return Fail(error_code::kInvalid, "no executors here");
  }
};

// A front without an owner: everything has to come from the store.
struct front_fixture {
  boost::asio::io_context context;
  store_in_memory* memory = new store_in_memory(context);
  store_link link{std::unique_ptr<coordination_store>(memory)};
  process_metrics metrics;
  plain_adapter adapter;
  job_front front{context, link, metrics, adapter,
                  [](const wire::job_question&, millis, const auto& callback) {
                    callback(Fail(error_code::kUnavailable, "no owner"));
                  }};

  front_fixture() {
    auto config = std::make_shared<deployed_config>();
    config->version = 1;
    queue_route route{"house", "/paths/", {}};
    route.queue.name = "paths";
    config->routes.push_back(route);
    front.SetConfig(config);
  }

  // Sends a request and returns the name of its result.
  std::string Call(const std::string& method,
                   const std::string& path,
                   const std::string& body = "") {
    http_request request;
    request.method = method;
    request.path = path;
    request.body = body;
    std::optional<std::string> answer;
    front.Handle(request, [&](const http_response& response) {
      answer = response.body;
    });
    context.restart();
    while (!answer && context.run_one() > 0) {
    }
    return answer.value_or("no answer");
  }

  bool IsStored() const { return memory->items.count(kJobPrefix + id) != 0; }

  const std::string id = "0123456789abcdef";
  const std::string path = "/paths/" + id;
};

constexpr int kAlways = 1'000;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(job_front_answers, front_fixture)

BOOST_AUTO_TEST_CASE(submitted_job_is_stored_before_it_is_accepted) {
  BOOST_TEST(Call("POST", path) == "accepted");
  BOOST_TEST(IsStored());
}

BOOST_AUTO_TEST_CASE(job_submitted_twice_is_accepted_and_stored_once) {
  Call("POST", path);
  const auto revision = memory->items.at(kJobPrefix + id).revision;
  BOOST_TEST(Call("POST", path) == "accepted");
  BOOST_TEST(memory->items.at(kJobPrefix + id).revision == revision);
}

BOOST_AUTO_TEST_CASE(job_that_the_store_refuses_is_refused_and_not_stored) {
  memory->refused_commits = kAlways;
  BOOST_TEST(Call("POST", path) == "unavailable");
  BOOST_TEST(!IsStored());
}

BOOST_AUTO_TEST_CASE(job_whose_stored_answer_was_lost_is_accepted) {
  memory->lost_answers = 1;
  BOOST_TEST(Call("POST", path) == "accepted");
  BOOST_TEST(IsStored());
}

// A refusal says that the job never runs; a try without an answer may be
// stored.
BOOST_AUTO_TEST_CASE(job_that_may_be_stored_is_never_refused) {
  memory->lost_answers = 1;
  http_request request;
  request.method = "POST";
  request.path = path;
  std::string answer;
  front.Handle(request,
               [&](const http_response& response) { answer = response.body; });
  context.run_one();
  memory->items.clear();
  memory->refused_commits = kAlways;
  while (answer.empty() && context.run_one() > 0) {
  }
  BOOST_TEST(answer == "unknown");
}

BOOST_AUTO_TEST_CASE(bad_input_is_refused_with_its_reason) {
  BOOST_TEST(Call("POST", path, "bad") == "invalid");
  BOOST_TEST(Call("POST", "/paths/") == "invalid");
  BOOST_TEST(Call("POST", "/paths/a/b") == "invalid");
  BOOST_TEST(Call("POST", "/nowhere/" + id) == "no such queue");
}

BOOST_AUTO_TEST_CASE(state_comes_from_the_store_without_an_owner) {
  BOOST_TEST(Call("GET", path) == "no such job");
  Call("POST", path);
  BOOST_TEST(Call("GET", path) == "state");
}

BOOST_AUTO_TEST_CASE(cancellation_is_stored_before_it_is_acknowledged) {
  BOOST_TEST(Call("DELETE", path) == "no such job");
  Call("POST", path);
  BOOST_TEST(Call("DELETE", path) == "cancelled");
  BOOST_TEST(memory->items.count(kCancelPrefix + id) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
