#include "job_front.h"

#include <algorithm>
#include <chrono>
#include <optional>

#include <boost/test/unit_test.hpp>

#include "job_keys.h"
#include "store_in_memory.h"
#include "versioned_adapter.h"

namespace chervilkeel {

namespace {

// A front without an owner: everything has to come from the store.
struct front_fixture {
  boost::asio::io_context context;
  store_in_memory* memory = new store_in_memory(context);
  store_link link{std::unique_ptr<coordination_store>(memory)};
  process_metrics metrics;
  versioned_adapter adapter;
  config_follower config{context, link, adapter};
  job_front front{
      context,
      link,
      metrics,
      adapter,
      config,
      [this](const wire::job_question& question, millis, const auto& callback) {
        Ask(question, callback);
      }};
  std::vector<wire::job_question> questions;
  bool has_owner = false;
  bool knows_job = false;

  front_fixture() {
    Configure("1 /paths/ paths");
    config.Start();
    while (config.Current() == nullptr && context.run_one() > 0) {
    }
    context.restart();
  }

  void Configure(const std::string& text) { memory->Put("config", text); }

  void Ask(const wire::job_question& question,
           const std::function<void(result<wire::job_reply>)>& callback) {
    questions.push_back(question);
    if (!has_owner) {
      callback(Fail(error_code::kUnavailable, "no owner"));
      return;
    }
    wire::job_reply reply;
    reply.set_is_owner(true);
    reply.set_is_known(knows_job);
    callback(std::move(reply));
  }

  job_record StoredJob() const {
    return DecodeJobRecord(memory->items.at(kJobPrefix + id).value).value();
  }

  // Sends a request and returns the name of its result.
  std::string Call(const std::string& method,
                   const std::string& target,
                   const std::string& body = "") {
    http_request request;
    request.method = method;
    request.path = target;
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

  // Submits the job; its write has no answer and may take effect later. Returns
  // the name of the result.
  std::string SubmitWithoutAnswer() {
    memory->late_commits = 1;
    http_request request;
    request.method = "POST";
    request.path = path;
    std::string answer;
    front.Handle(request, [&](const http_response& response) {
      answer = response.body;
    });
    context.run_one();
    front.AnswerAll();
    return answer;
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

// Guards against a job that runs after its cancel was answered (UNASKED): the
// write of the job had no answer, and takes effect after the cancel.
// Guards against a task that starts or runs long after its job was cancelled
// (UNASKED): the owner was told once, and that call was lost.
BOOST_AUTO_TEST_CASE(cancellation_is_told_until_the_owner_takes_note) {
  Call("POST", path);
  BOOST_TEST(Call("DELETE", path) == "cancelled");
  context.restart();
  context.run_for(std::chrono::milliseconds(250));
  has_owner = true;
  questions.clear();
  context.run_for(std::chrono::milliseconds(500));
  const auto told = std::count_if(
      questions.begin(), questions.end(), [](const auto& question) {
        return question.kind() == wire::job_question::cancelled;
      });
  BOOST_TEST(told == 1);
}

BOOST_AUTO_TEST_CASE(job_whose_write_lands_after_its_cancel_is_not_stored) {
  BOOST_TEST(SubmitWithoutAnswer() == "unknown");
  BOOST_TEST(Call("DELETE", path) == "no such job");
  memory->ApplyLateCommits();
  BOOST_TEST(!IsStored());
}

// The same for a try that follows the cancel: the owner has to find both.
BOOST_AUTO_TEST_CASE(job_submitted_after_its_cancel_keeps_the_cancellation) {
  Call("DELETE", path);
  const auto revision = memory->items.at(kCancelPrefix + id).revision;
  BOOST_TEST(Call("POST", path) == "accepted");
  BOOST_TEST(IsStored());
  BOOST_TEST(memory->items.at(kCancelPrefix + id).revision == revision);
}

// Guards against a job that is cancelled, and told not to exist: its write
// takes effect between the look for it and the cancellation.
BOOST_AUTO_TEST_CASE(job_stored_just_before_its_cancel_is_told_as_cancelled) {
  SubmitWithoutAnswer();
  std::string answer;
  http_request request;
  request.method = "DELETE";
  request.path = path;
  context.restart();
  front.Handle(request,
               [&](const http_response& response) { answer = response.body; });
  memory->ApplyLateCommits();
  while (answer.empty() && context.run_one() > 0) {
  }
  BOOST_TEST(answer == "cancelled");
  BOOST_TEST(memory->items.count(kCancelPrefix + id) == 1);
}

// Guards against a cancel that is answered although nothing stops the job.
BOOST_AUTO_TEST_CASE(cancel_that_the_store_refuses_is_not_acknowledged) {
  memory->refused_commits = kAlways;
  BOOST_TEST(Call("DELETE", path) == "unavailable");
}

// Guards against keys of any length and form in the store.
BOOST_AUTO_TEST_CASE(cancel_of_an_id_that_no_job_has_is_not_stored) {
  const std::size_t items = memory->items.size();
  BOOST_TEST(Call("DELETE", "/paths/") == "no such job");
  BOOST_TEST(Call("DELETE", "/paths/a/b") == "no such job");
  BOOST_TEST(Call("DELETE", "/paths/" + std::string(200, 'a')) ==
             "no such job");
  BOOST_TEST(memory->items.size() == items);
}

BOOST_AUTO_TEST_CASE(submitted_job_carries_the_newest_epoch) {
  memory->Put(kEpochKey, "7");
  BOOST_TEST(Call("POST", path) == "accepted");
  BOOST_TEST(StoredJob().epoch == 7);
}

// The entry has stored jobs under epoch 7 and has not heard of the election of
// epoch 8.
BOOST_AUTO_TEST_CASE(job_submitted_after_an_election_carries_the_new_epoch) {
  memory->Put(kEpochKey, "7");
  Call("POST", "/paths/other");
  memory->Put(kEpochKey, "8");
  BOOST_TEST(Call("POST", path) == "accepted");
  BOOST_TEST(StoredJob().epoch == 8);
  BOOST_TEST(questions.back().record() ==
             memory->items.at(kJobPrefix + id).value);
}

// The answer of a try under epoch 7 is lost, and epoch 8 begins before the next
// try. The job stays under the epoch in which it was stored.
BOOST_AUTO_TEST_CASE(job_stored_before_an_election_keeps_its_epoch) {
  memory->Put(kEpochKey, "7");
  Call("POST", "/paths/other");
  memory->lost_answers = 1;
  std::string answer;
  http_request request;
  request.method = "POST";
  request.path = path;
  context.restart();
  front.Handle(request,
               [&](const http_response& response) { answer = response.body; });
  context.run_one();
  memory->Put(kEpochKey, "8");
  while (answer.empty() && context.run_one() > 0) {
  }
  BOOST_TEST(answer == "accepted");
  BOOST_TEST(StoredJob().epoch == 7);
}

// After an election all entries meet the conflict at once, and a configuration
// of a thousand queues does not fit through a slow link in the time of a
// request.
BOOST_AUTO_TEST_CASE(
    conflict_with_an_election_does_not_return_the_configuration) {
  Configure("2 /paths/ " + std::string(100'000, 'p'));
  memory->Put(kEpochKey, "7");
  Call("POST", "/paths/other");
  memory->Put(kEpochKey, "8");
  BOOST_TEST(Call("POST", path) == "accepted");
  BOOST_TEST(memory->conflict_bytes > 0);
  BOOST_TEST(memory->conflict_bytes < 100);
}

// Neither a watch nor another entry has brought the new configuration yet.
BOOST_AUTO_TEST_CASE(job_for_an_added_queue_is_accepted_before_the_news_come) {
  Configure("2 /added/ added");
  config.Expire();
  BOOST_TEST(Call("POST", "/added/" + id) == "accepted");
  BOOST_TEST(StoredJob().queue.name == "added");
}

BOOST_AUTO_TEST_CASE(job_for_a_removed_queue_is_refused_before_the_news_come) {
  Configure("2 /added/ added");
  config.Expire();
  BOOST_TEST(Call("POST", path) == "no such queue");
  BOOST_TEST(!IsStored());
}

BOOST_AUTO_TEST_CASE(
    job_is_stored_with_the_policy_of_the_newest_configuration) {
  Configure("2 /paths/ renamed");
  config.Expire();
  BOOST_TEST(Call("POST", path) == "accepted");
  BOOST_TEST(StoredJob().queue.name == "renamed");
}

BOOST_AUTO_TEST_CASE(count_of_a_removed_queue_is_refused_before_the_news_come) {
  has_owner = true;
  BOOST_TEST(Call("COUNT", "/paths/") == "count");
  Configure("2 /added/ added");
  config.Expire();
  BOOST_TEST(Call("COUNT", "/paths/") == "no such queue");
}

// Guards against a removed queue that is served (CONFIG): the store has a newer
// configuration, which does not come.
BOOST_AUTO_TEST_CASE(
    count_is_refused_while_a_newer_configuration_may_be_in_force) {
  has_owner = true;
  memory->refused_reads = kAlways;
  config.Expire();
  BOOST_TEST(Call("COUNT", "/paths/") == "unavailable");
}

BOOST_AUTO_TEST_CASE(
    job_is_refused_while_a_newer_configuration_may_be_in_force) {
  memory->refused_reads = kAlways;
  config.Expire();
  BOOST_TEST(Call("POST", path) == "unavailable");
  BOOST_TEST(!IsStored());
}

// No store, no change.
BOOST_AUTO_TEST_CASE(queue_is_served_while_the_whole_store_is_away) {
  has_owner = true;
  memory->refused_reads = kAlways;
  config.Expire();
  front.SetOutageCheck([] { return true; });
  BOOST_TEST(Call("COUNT", "/paths/") == "count");
}

// "No such queue" is final to a caller; without the store it can't be known.
BOOST_AUTO_TEST_CASE(unknown_queue_without_the_store_may_be_tried_again) {
  memory->refused_reads = kAlways;
  config.Expire();
  BOOST_TEST(Call("POST", "/added/" + id) == "unavailable");
  BOOST_TEST(!IsStored());
}

// Neither the owner nor the store answers at first; then a new owner does.
BOOST_AUTO_TEST_CASE(cancellation_tried_again_at_a_new_owner_is_stored) {
  Call("POST", path);
  memory->refused_reads = 1;
  std::string answer;
  http_request request;
  request.method = "DELETE";
  request.path = path;
  context.restart();
  front.Handle(request,
               [&](const http_response& response) { answer = response.body; });
  context.run_one();
  has_owner = true;
  knows_job = true;
  while (answer.empty() && context.run_one() > 0) {
  }
  BOOST_TEST(answer == "cancelled");
  BOOST_TEST(memory->items.count(kCancelPrefix + id) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
