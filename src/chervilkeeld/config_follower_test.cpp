#include "config_follower.h"

#include <chrono>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "store_in_memory.h"
#include "versioned_adapter.h"

namespace chervilkeel {

namespace {

struct follower_fixture {
  boost::asio::io_context context;
  store_in_memory* memory = new store_in_memory(context);
  store_link link{std::unique_ptr<coordination_store>(memory)};
  versioned_adapter adapter;
  config_follower follower{context, link, adapter};
  std::vector<std::uint64_t> versions;  // In the order in which they came.

  follower_fixture() {
    follower.OnChange(
        [this](const auto& config) { versions.push_back(config->version); });
  }

  void Start() {
    follower.Start();
    while (follower.Version() == 0 && context.run_one() > 0) {
    }
  }

  int Reads() const { return memory->reads + memory->lists; }

  std::optional<bool> Confirm() {
    std::optional<bool> confirmed;
    follower.Confirm([&](bool value) { confirmed = value; });
    context.restart();
    while (!confirmed && context.run_one() > 0) {
    }
    return confirmed;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(config_follower_versions, follower_fixture)

BOOST_AUTO_TEST_CASE(older_version_from_a_peer_is_ignored) {
  follower.OfferFromPeer("5 /paths/ paths");
  follower.OfferFromPeer("4 /paths/ paths");
  BOOST_TEST(versions == std::vector<std::uint64_t>{5},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(older_item_that_arrives_late_is_ignored) {
  follower.Offer({"config", "5 /paths/ paths", 20, 0});
  follower.Offer({"config", "6 /paths/ paths", 19, 0});
  BOOST_TEST(follower.Version() == 5);
}

BOOST_AUTO_TEST_CASE(unreadable_item_leaves_the_version_in_force) {
  follower.Offer({"config", "5 /paths/ paths", 20, 0});
  follower.Offer({"config", "bad", 21, 0});
  BOOST_TEST(follower.Version() == 5);
  follower.Offer({"config", "6 /paths/ paths", 22, 0});
  BOOST_TEST(follower.Version() == 6);
}

BOOST_AUTO_TEST_CASE(confirmation_brings_the_newest_version_into_force) {
  memory->Put("config", "5 /paths/ paths");
  follower.OfferFromPeer("4 /paths/ paths");
  BOOST_TEST(!follower.IsConfirmed());
  BOOST_TEST(Confirm().value());
  BOOST_TEST(follower.Version() == 5);
  BOOST_TEST(follower.IsConfirmed());
}

BOOST_AUTO_TEST_CASE(confirmation_fails_when_the_store_does_not_answer) {
  follower.OfferFromPeer("4 /paths/ paths");
  memory->refused_reads = 1;
  BOOST_TEST(!Confirm().value());
  BOOST_TEST(!follower.IsConfirmed());
}

// A configuration of a thousand queues takes half a second on a slow link.
BOOST_AUTO_TEST_CASE(confirmation_does_not_read_an_unchanged_configuration) {
  memory->Put("config", "5 /paths/ paths");
  Start();
  const int reads = Reads();
  BOOST_TEST(Confirm().value());
  BOOST_TEST(Reads() == reads);
  BOOST_TEST(memory->watches == 1);
}

BOOST_AUTO_TEST_CASE(confirmation_brings_a_change_that_the_watch_missed) {
  memory->Put("config", "5 /paths/ paths");
  Start();
  memory->Put("config", "6 /paths/ paths");
  BOOST_TEST(Confirm().value());
  BOOST_TEST(follower.Version() == 6);
}

BOOST_AUTO_TEST_CASE(confirmation_reads_anew_when_the_store_lost_its_history) {
  memory->Put("config", "5 /paths/ paths");
  Start();
  memory->Put("config", "6 /paths/ paths");
  memory->oldest_revision = 1'000;
  BOOST_TEST(Confirm().value());
  BOOST_TEST(follower.Version() == 6);
}

// Guards against a link that is full for good: a configuration that has not
// changed for longer than the store keeps its history was read again and again.
BOOST_AUTO_TEST_CASE(configuration_older_than_the_history_is_read_once) {
  memory->Put("config", "5 /paths/ paths");
  memory->Put("other", "");
  memory->Put("other", "");
  memory->oldest_revision = 2;
  memory->failed_watches = 1;  // The first watch is answered.
  Start();
  context.run_for(std::chrono::milliseconds(500));
  BOOST_TEST(memory->watches == 1);
  BOOST_TEST(Reads() == 1);
}

// Guards against an entry that asks the store without a pause: nothing that it
// reads becomes a configuration.
BOOST_AUTO_TEST_CASE(unreadable_first_item_is_watched_for_a_change) {
  memory->Put("config", "bad");
  follower.Start();
  context.run_for(std::chrono::milliseconds(500));
  BOOST_TEST(memory->watches == 0);
  BOOST_TEST(Reads() == 1);
}

// All entries lose their watches in an outage of the store, and its end is no
// time for reading a long configuration thirty times.
BOOST_AUTO_TEST_CASE(watch_that_failed_goes_on_without_reading_the_value) {
  memory->Put("config", "5 /paths/ paths");
  memory->failed_watches = 3;
  Start();
  memory->Put("config", "6 /paths/ paths");
  while (follower.Version() == 5 && context.run_one() > 0) {
  }
  BOOST_TEST(follower.Version() == 6);
  BOOST_TEST(Reads() == 1);
}

// Guards against a removed queue that takes jobs (CONFIG): a watch that ended
// early without changes confirmed the configuration for times to come.
BOOST_AUTO_TEST_CASE(watch_that_ends_early_confirms_no_later_time) {
  constexpr auto kLongerThanAConfirmation = std::chrono::milliseconds(1'700);
  memory->Put("config", "5 /paths/ paths");
  memory->failed_watches = 1;  // Answered at once; the next is not answered.
  Start();
  BOOST_TEST(follower.IsConfirmed());
  context.restart();
  context.poll();
  std::this_thread::sleep_for(kLongerThanAConfirmation);
  BOOST_TEST(!follower.IsConfirmed());
}

BOOST_AUTO_TEST_CASE(confirmations_at_the_same_time_share_one_read) {
  memory->Put("config", "5 /paths/ paths");
  int answers = 0;
  for (int i = 0; i < 3; ++i) {
    follower.Confirm([&](bool) { ++answers; });
  }
  context.run();
  BOOST_TEST(answers == 3);
  BOOST_TEST(Reads() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
