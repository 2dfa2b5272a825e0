#include "job_agent_process.h"

#include <chrono>
#include <functional>
#include <limits>
#include <map>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "job_agent_fixture.h"

namespace chervilkeel {

BOOST_FIXTURE_TEST_SUITE(job_agent, agent_fixture)

// An executor that listens no more may be gone: its agent must not go on
// vouching for what runs there, or the tasks would never start elsewhere.
BOOST_AUTO_TEST_CASE(executor_that_gives_no_lists_is_vouched_for_no_more) {
  Announce();
  RunForUntil([this] { return not_obeying > 0; });
  BOOST_TEST(obeying > 0);
  BOOST_TEST(not_obeying > 0);
}

// Guards against an end that the executor forgets although nobody could read
// it: the owner records a later one. The call that tells the end, once it can
// be read, is the first whose reply may acknowledge it.
BOOST_AUTO_TEST_CASE(end_that_cannot_be_read_is_not_acknowledged) {
  constexpr int kManyLists = 20;
  script.listings = 1'000'000;
  for (const std::uint64_t number : {1, 3}) {
    ended_run ended;
    ended.number = number;
    ended.task = {"job", 0, 0, 0};
    ended.run = number;
    script.ends.push_back(ended);
  }
  script.first_unreadable_end = 2;
  owner->acknowledged_end = 3;
  Announce();
  RunUntil([this] { return last_report.ends.size() == 2; });
  RunUntil([this] { return script.highest_recorded > 0; });
  const int lists_before = script.lists;
  RunUntil([&] { return script.lists > lists_before + kManyLists; });
  BOOST_REQUIRE(!last_report.ends.empty());
  BOOST_TEST(last_report.ends.back().number == 3);
  BOOST_TEST(script.highest_recorded == 1);
  script.first_unreadable_end = 0;
  RunUntil([this] { return script.highest_recorded == 3; });
  BOOST_TEST(script.highest_recorded == 3);
}

// The owner's reply to a call of the former boot arrives after the executor has
// started anew, with the same id. Its ends are numbered from 1 again: none of
// them is recorded, and an executor that forgets them loses finished work.
BOOST_AUTO_TEST_CASE(
    late_reply_for_a_former_boot_records_no_end_of_the_new_one) {
  script.listings = 1'000'000;
  owner->holds_one_reply = true;
  Announce();
  RunUntil([this] { return owner->held_reactor.load() != nullptr; });
  script.started_ms = 6;
  script.lists = 0;
  ended_run ended;
  ended.number = 1;
  ended.task = {"job", 0, 0, 0};
  ended.run = 1;
  script.ends.push_back(ended);
  AnnounceBoot();
  RunUntil([this] { return script.lists > 3; });
  owner->ReleaseReply(9);
  RunUntil([this] { return script.lists > 20; });
  BOOST_TEST(script.highest_recorded == 0);
}

// Guards against an end that is lost: a call that was sent before the first
// list of a boot names no boot to the owner, so that its reply acknowledged
// ends of the former boot, and the agent took that for ends of the present one.
BOOST_AUTO_TEST_CASE(reply_to_a_call_without_a_report_records_no_end) {
  script.listings = 1'000'000;
  owner->acknowledged_end = 9;
  owner->holds = [](const wire::agent_sync& sync) {
    return sync.epoch() != 0 && !sync.obeys();
  };
  Announce();
  RunForUntil([this] { return owner->HeldCalls() > 0; });
  owner->acknowledged_end = 0;
  ended_run ended;
  ended.number = 1;
  ended.task = {"job", 0, 0, 0};
  ended.run = 1;
  script.ends.push_back(ended);
  RunForUntil([this] { return script.lists > 3; });
  BOOST_REQUIRE_EQUAL(owner->HeldCalls(), 1);
  owner->Answer(0);
  RunForUntil([this] { return !last_report.ends.empty(); });
  const int lists_before = script.lists;
  RunForUntil([&] { return script.lists > lists_before + 5; });
  BOOST_TEST(!last_report.ends.empty());
  BOOST_TEST(script.highest_recorded == 0);
}

// Guards against an agent that counts as having reported to a new owner by a
// list from before (TWICE): the executor may carry out a start of the former
// owner until it has seen the new epoch.
BOOST_AUTO_TEST_CASE(list_asked_for_under_a_former_epoch_is_not_reported) {
  script.listings = 1'000'000;
  Announce();
  RunForUntil([this] { return obeying_in_epoch[1] > 0; });
  script.holds_list = true;
  RunForUntil([this] { return script.answer_list != nullptr; });
  owner->epoch = 2;
  int calls_before = calls;
  RunForUntil([&] { return calls > calls_before + 2; });
  script.answer_list();
  script.listings = 0;
  calls_before = calls;
  RunForUntil([&] { return calls > calls_before + 20; });
  BOOST_TEST(obeying_in_epoch[1] > 0);
  BOOST_TEST(obeying_in_epoch[2] == 0);
  script.listings = 1'000'000;
  RunForUntil([this] { return obeying_in_epoch[2] > 0; });
  BOOST_TEST(obeying_in_epoch[2] > 0);
}

// The owner changes after the crash: the next one has to learn which task may
// have been the cause, or each owner starts it anew.
BOOST_AUTO_TEST_CASE(
    each_owner_is_told_once_of_the_runs_of_a_crashed_executor) {
  script.listings = 1'000'000;
  owner->starts_task = true;
  Announce();
  RunUntil([this] { return outcome.has_value(); });
  owner->starts_task = false;
  script.lists_start = false;
  script.started_ms = 6;
  AnnounceBoot();
  RunUntil([this] { return crashes.count(1) != 0; });
  const int obeying_before = obeying;
  RunUntil([&] { return obeying > obeying_before + 20; });
  owner->epoch = 2;
  RunUntil([this] { return crashes.count(2) != 0; });
  for (const auto& [epoch, told] : crashes) {
    BOOST_REQUIRE_GE(told.size(), 1);
    BOOST_TEST(told.size() <= 2);  // Two calls may be open at once.
    BOOST_TEST(told[0].boot.started_ms == 5);
    BOOST_REQUIRE_EQUAL(told[0].runs.size(), 1);
    BOOST_TEST(told[0].runs[0].run == 7);
  }
  BOOST_TEST(crashes.size() == 2);
}

// The next boot refuses a call to the former one before it is announced. That
// answer says nothing about the runs of the former boot.
BOOST_AUTO_TEST_CASE(refusal_by_the_next_boot_proves_no_run_of_the_former_one) {
  script.listings = 1'000'000;
  script.start_verdicts[0] = executor_verdict::kAccepted;
  script.start_verdicts[1] = executor_verdict::kOtherBoot;
  owner->starts_task = true;
  // No list comes after the start.
  Announce();
  RunUntil([this] {
    script.listings = outcome ? 0 : 1;
    return outcome.has_value();
  });
  const millis started = BootNow();
  RunUntil([&] { return BootNow() > started + 2 * kProvingTime; });
  outcome.reset();
  owner->starts_second_task = true;
  const millis ordered = BootNow();
  RunUntil([&] { return BootNow() > ordered + kProvingTime; });
  script.lists_start = false;
  script.listings = 1'000'000;
  script.started_ms = 6;
  AnnounceBoot();
  RunUntil([this] { return crashes.count(1) != 0; });
  BOOST_REQUIRE_EQUAL(crashes.count(1), 1);
  for (const lost_run& run : crashes.at(1)[0].runs) {
    BOOST_TEST_MESSAGE("run " << run.run << " proven " << run.proven);
    if (run.run == 7) {
      BOOST_TEST(!run.proven);
    }
  }
}

// Guards against a task that goes on crashing executors: an answer of the
// former boot, which came late, proved the run on the present one.
BOOST_AUTO_TEST_CASE(late_answer_of_a_former_boot_proves_no_run_of_the_next) {
  script.listings = 1'000'000;
  script.lists_start = false;
  script.start_verdicts[0] = executor_verdict::kAccepted;
  script.start_verdicts[1] = executor_verdict::kAccepted;
  script.holds_start = true;
  owner->starts_task = true;
  Announce();
  RunForUntil([this] { return script.answer_start != nullptr; });
  script.started_ms = 6;
  AnnounceBoot();
  RunForUntil([this] { return last_report.worker.boot.started_ms == 6; });
  script.lists_start = true;
  owner->second_task_boot = 6;
  owner->starts_second_task = true;
  // No list comes after the second start.
  RunForUntil([this] {
    script.listings = told_runs.count(8) != 0 ? 0 : 1;
    return script.listings == 0;
  });
  RunFor(2 * kProvingTime);
  script.answer_start();
  script.lists_start = false;
  script.listings = 1'000'000;
  script.started_ms = 7;
  AnnounceBoot();
  const auto find_run = [this]() -> const lost_run* {
    for (const crashed_executor& crashed : crashes[1]) {
      for (const lost_run& run : crashed.runs) {
        if (crashed.boot.started_ms == 6 && run.run == 8) {
          return &run;
        }
      }
    }
    return nullptr;
  };
  RunForUntil([&] { return find_run() != nullptr; });
  BOOST_REQUIRE(find_run() != nullptr);
  BOOST_TEST(!find_run()->proven);
}

// A start at an executor that is down already can't have crashed it.
BOOST_AUTO_TEST_CASE(start_at_a_dead_executor_is_not_among_its_lost_runs) {
  script.listings = 1'000'000;
  script.refuses_connections = true;
  owner->starts_task = true;
  Announce();
  RunUntil([this] {
    script.listings = script.unsent_starts > 0 ? 0 : 1;
    return script.unsent_starts > 0;
  });
  script.lists_start = false;
  script.listings = 1'000'000;
  script.started_ms = 6;
  AnnounceBoot();
  RunUntil([this] { return crashes.count(1) != 0; });
  BOOST_REQUIRE_EQUAL(crashes.count(1), 1);
  BOOST_TEST(crashes.at(1)[0].runs.empty());
}

// A start that the executor has refused is none: its task can't be the cause.
BOOST_AUTO_TEST_CASE(refused_start_is_not_among_the_runs_of_a_crash) {
  script.listings = 1'000'000;
  script.start_verdicts[0] = executor_verdict::kNoCapacity;
  owner->starts_task = true;
  Announce();
  RunUntil([this] {
    script.listings = outcome ? 0 : 1;
    return outcome.has_value();
  });
  script.lists_start = false;
  script.listings = 1'000'000;
  script.started_ms = 6;
  AnnounceBoot();
  RunUntil([this] { return crashes.count(1) != 0; });
  BOOST_REQUIRE_EQUAL(crashes.count(1), 1);
  BOOST_TEST(crashes.at(1)[0].runs.empty());
}

// Guards against an agent that follows its executor no more: one announcement
// by another writer, with a number too large, made all true ones look outdated.
BOOST_AUTO_TEST_CASE(announcement_with_numbers_out_of_range_is_passed_over) {
  constexpr auto kLargest = std::numeric_limits<std::int64_t>::max();
  script.listings = 1'000'000;
  Announce();
  RunUntil([this] { return obeying > 0; });
  const std::function<void(announcement&)> distortions[] = {
      [](announcement& said) { said.worker.boot.started_ms = kLargest; },
      [](announcement& said) {
        said.sequence = std::numeric_limits<std::uint64_t>::max();
      },
      [](announcement& said) {
        said.worker.capacity.milli_processors = kLargest;
      },
      [](announcement& said) { said.worker.capacity.memory_mb = -1; },
  };
  for (const auto& distort : distortions) {
    script.distort = distort;
    AnnounceBoot(400);
  }
  script.distort = [](announcement& said) {
    said.sequence = 2;
    said.worker.draining = true;
  };
  AnnounceBoot();
  constexpr millis kLongestWait = 5'000;
  const millis until = BootNow() + kLongestWait;
  while (!last_report.worker.draining && BootNow() < until) {
    context.run_one_for(std::chrono::milliseconds(50));
  }
  BOOST_TEST(last_report.worker.draining);
  BOOST_TEST(last_report.worker.boot.started_ms == 5);
  BOOST_TEST(last_report.worker.capacity.milli_processors == 4'000);
  BOOST_TEST(last_report.worker.capacity.memory_mb == 8'000);
}

// Guards against an executor that is taken away by one announcement of another
// writer, with its boot, a service that nobody knows and a high sequence
// (LOST).
BOOST_AUTO_TEST_CASE(announcement_of_another_service_is_passed_over) {
  script.listings = 1'000'000;
  Announce();
  RunUntil([this] { return obeying > 0; });
  script.distort = [](announcement& said) {
    said.worker.service = "unknown";
    said.sequence = 1'001;
  };
  AnnounceBoot();
  script.distort = [](announcement& said) {
    said.sequence = 2;
    said.worker.draining = true;
  };
  AnnounceBoot();
  RunForUntil([this] { return last_report.worker.draining; });
  BOOST_TEST(last_report.worker.draining);
  BOOST_TEST(last_report.worker.service == "cutting");
}

// Guards against an agent that follows its executor no more: another writer has
// announced a boot that never was, a little ahead of the clock.
BOOST_AUTO_TEST_CASE(boot_that_the_executor_denies_displaces_none) {
  script.listings = 1'000'000;
  Announce();
  RunUntil([this] { return obeying > 0; });
  const std::int64_t ahead = static_cast<std::int64_t>(WallNow()) + 30'000;
  script.distort = [=](announcement& said) {
    said.worker.boot.started_ms = ahead;
  };
  AnnounceBoot();
  const int lists_before = script.lists;
  RunForUntil([&] { return script.lists > lists_before + 5; });
  script.distort = [=](announcement& said) {
    said.worker.boot = {"impostor", ahead};
  };
  AnnounceBoot();
  RunForUntil([&] { return script.lists > lists_before + 10; });
  script.distort = [](announcement& said) {
    said.sequence = 2;
    said.worker.draining = true;
  };
  AnnounceBoot();
  RunForUntil([this] { return last_report.worker.draining; });
  BOOST_TEST(last_report.worker.draining);
  BOOST_TEST(last_report.worker.boot.started_ms == 5);
  BOOST_TEST(crashes.empty());
}

// Guards against an agent that never follows its executor: the announcement of
// a boot that never was came first, with a later time.
BOOST_AUTO_TEST_CASE(boot_that_the_executor_names_is_taken_with_a_lower_time) {
  script.listings = 1'000'000;
  script.distort = [](announcement& said) {
    said.worker.boot.started_ms = static_cast<std::int64_t>(WallNow()) + 30'000;
  };
  Announce();
  RunForUntil([this] { return script.lists > 2; });
  BOOST_TEST(obeying == 0);
  script.distort = nullptr;
  AnnounceBoot();
  RunForUntil([this] { return obeying > 5; });
  BOOST_TEST(obeying > 5);
  BOOST_TEST(last_report.worker.boot.started_ms == 5);
  BOOST_TEST(crashes.empty());
}

BOOST_AUTO_TEST_CASE(delayed_announcement_of_a_former_boot_is_passed_over) {
  script.listings = 1'000'000;
  Announce();
  RunUntil([this] { return obeying > 0; });
  script.started_ms = 6;
  AnnounceBoot();
  RunForUntil([this] { return last_report.worker.boot.started_ms == 6; });
  script.distort = [](announcement& said) {
    said.worker.boot.started_ms = 5;
    said.sequence = 9;
  };
  AnnounceBoot();
  const int obeying_before = obeying;
  RunForUntil([&] { return obeying > obeying_before + 5; });
  BOOST_TEST(last_report.worker.boot.started_ms == 6);
  BOOST_TEST(crashes.size() == 1);
  for (const auto& [epoch, told] : crashes) {
    for (const crashed_executor& crashed : told) {
      BOOST_TEST(crashed.boot.started_ms == 5);
    }
  }
}

// Guards against two runs of one task (TWICE): the announcement that a former
// boot leaves came after the next one had begun under its id.
BOOST_AUTO_TEST_CASE(
    leave_that_the_executor_denies_by_its_answers_is_not_told) {
  script.listings = 1'000'000;
  Announce();
  RunForUntil([this] { return obeying > 0; });
  RunFor(100);
  AnnounceLeave();
  RunFor(1'000);
  BOOST_TEST(!gone.has_value());
}

BOOST_AUTO_TEST_CASE(leave_is_told_once_the_executor_is_down) {
  script.listings = 1'000'000;
  Announce();
  RunForUntil([this] { return obeying > 0; });
  RunFor(100);
  AnnounceLeave();
  RunFor(300);
  BOOST_TEST(!gone.has_value());
  script.is_down = true;
  RunForUntil([this] { return gone.has_value(); });
  BOOST_REQUIRE(gone.has_value());
  BOOST_TEST(gone->started_ms == 5);
}

BOOST_AUTO_TEST_CASE(leave_is_told_once_another_boot_answers) {
  script.listings = 1'000'000;
  Announce();
  RunForUntil([this] { return obeying > 0; });
  RunFor(100);
  AnnounceLeave();
  RunFor(300);
  script.started_ms = 6;
  RunForUntil([this] { return gone.has_value(); });
  BOOST_REQUIRE(gone.has_value());
  BOOST_TEST(gone->started_ms == 5);
}

// The next boot is announced before the former one has been asked again.
BOOST_AUTO_TEST_CASE(boot_that_left_before_the_next_one_is_no_crash) {
  script.listings = 1'000'000;
  script.start_verdicts[0] = executor_verdict::kAccepted;
  owner->starts_task = true;
  Announce();
  RunForUntil([this] { return outcome.has_value(); });
  AnnounceLeave();
  script.started_ms = 6;
  AnnounceBoot();
  RunForUntil([this] { return last_report.worker.boot.started_ms == 6; });
  RunFor(300);
  BOOST_REQUIRE(gone.has_value());
  BOOST_TEST(gone->started_ms == 5);
  BOOST_TEST(crashes.empty());
}

// Guards against tasks that wait for an executor that is gone: its leave was
// forgotten at a reply to a call that had not told it.
BOOST_AUTO_TEST_CASE(leave_is_told_after_a_reply_to_an_earlier_call) {
  script.listings = 1'000'000;
  Announce();
  RunForUntil([this] { return obeying > 0; });
  RunFor(100);
  owner->is_silent = true;
  script.distort = [](announcement& said) {
    said.sequence = 2;
    said.worker.draining = true;
  };
  AnnounceBoot();
  RunForUntil([this] { return owner->HeldCalls() == 2; });
  AnnounceLeave();
  script.is_down = true;
  RunFor(300);
  owner->is_silent = false;
  owner->AnswerAll();
  RunForUntil([this] { return gone.has_value(); });
  BOOST_REQUIRE(gone.has_value());
  BOOST_TEST(gone->started_ms == 5);
}

// Guards against an executor that sees its connection close: SIGTERM comes
// while an announcement that was read whole is being answered.
BOOST_AUTO_TEST_CASE(announcement_is_answered_before_the_agent_ends) {
  using boost::asio::ip::tcp;
  boost::asio::io_context client_context;
  {
    tcp::acceptor probe(client_context,
                        {boost::asio::ip::address_v4::loopback(), 0});
    settings.announcements = {"127.0.0.1", probe.local_endpoint().port()};
  }
  agent.emplace(context, settings,
                std::make_unique<one_executor_adapter>(script));
  BOOST_REQUIRE(agent->Start());
  tcp::socket client(client_context);
  client.connect(
      {boost::asio::ip::address_v4::loopback(), settings.announcements.port});
  boost::asio::write(
      client, boost::asio::buffer(
                  std::string("PUT /instances/executor HTTP/1.1\r\nHost: h\r\n"
                              "Content-Length: 5\r\n\r\nready")));
  while (script.announcements == 0) {
    context.run_one();
  }
  bool ended = false;
  agent->Stop([&] {
    ended = true;
    context.stop();
  });
  context.run_for(std::chrono::seconds(2));
  BOOST_TEST(ended);
  BOOST_TEST(client.available() > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
