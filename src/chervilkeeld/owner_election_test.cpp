#include "owner_election.h"

#include <map>
#include <optional>

#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

#include "job_keys.h"

namespace chervilkeel {

namespace {

// A store in memory. It can lose the answer of a commit that took effect.
class store_in_memory : public coordination_store {
 public:
  explicit store_in_memory(boost::asio::io_context& context)
      : context_(context) {}

  void Read(const std::string& key,
            millis /*timeout*/,
            store_callback<std::optional<stored_item>> callback) override {
    const auto found = items.find(key);
    Answer<std::optional<stored_item>>(
        std::move(callback),
        found == items.end() ? std::nullopt : std::optional(found->second));
  }

  void List(const std::string& /*prefix*/,
            const std::string& /*after*/,
            bool /*stale_allowed*/,
            millis /*timeout*/,
            store_callback<item_page> callback) override {
    Answer<item_page>(std::move(callback), item_page());
  }

  // Never answers: nothing changes while a test runs.
  void Watch(const std::string& /*prefix*/,
             std::uint64_t /*after_revision*/,
             millis /*wait*/,
             millis /*timeout*/,
             store_callback<item_changes> /*callback*/) override {}

  void Commit(const store_transaction& transaction,
              millis /*timeout*/,
              store_callback<transaction_outcome> callback) override {
    transaction_outcome outcome;
    outcome.applied = true;
    for (const store_condition& condition : transaction.conditions) {
      const auto found = items.find(condition.key);
      const std::uint64_t revision =
          found == items.end() ? 0 : found->second.revision;
      outcome.applied = outcome.applied && revision == condition.revision;
    }
    if (outcome.applied) {
      outcome.revision = ++revision_;
      for (const store_write& write : transaction.writes) {
        items[write.key] = {write.key, write.value, revision_, write.lease};
      }
    }
    if (lose_next_commit) {
      lose_next_commit = false;
      boost::asio::post(context_, [callback = std::move(callback)] {
        callback(Fail(error_code::kUnknown, "no answer"));
      });
      return;
    }
    Answer<transaction_outcome>(std::move(callback), outcome);
  }

  void GrantLease(millis duration,
                  millis /*timeout*/,
                  store_callback<store_lease> callback) override {
    Answer<store_lease>(std::move(callback), {++lease_, duration});
  }

  void RenewLease(std::uint64_t lease,
                  millis /*timeout*/,
                  store_callback<store_lease> callback) override {
    Answer<store_lease>(std::move(callback), {lease, 0});
  }

  void EndLease(std::uint64_t lease,
                millis /*timeout*/,
                store_callback<bool> callback) override {
    std::erase_if(items,
                  [&](const auto& item) { return item.second.lease == lease; });
    Answer<bool>(std::move(callback), true);
  }

  std::map<std::string, stored_item> items;
  bool lose_next_commit = false;

 private:
  template <class value_type>
  void Answer(store_callback<value_type> callback, value_type value) {
    boost::asio::post(
        context_, [callback = std::move(callback), value = std::move(value)] {
          callback(value);
        });
  }

  boost::asio::io_context& context_;
  std::uint64_t revision_ = 0;
  std::uint64_t lease_ = 0;
};

struct election_fixture {
  boost::asio::io_context context;
  store_in_memory* memory = new store_in_memory(context);
  store_link link{std::unique_ptr<coordination_store>(memory)};
  std::optional<ownership> won;
  int lost = 0;
  owner_election election{context,
                          link,
                          {"entry-1", "127.0.0.1:1", 1'000},
                          [this](const ownership& value) { won = value; },
                          [this](const std::string&) { ++lost; }};

  // Runs what is due until the condition holds, or nothing is left to do.
  template <class condition_type>
  void RunUntil(condition_type condition) {
    while (!condition() && context.run_one() > 0) {
    }
  }

  void Win() {
    election.SetReady(true);
    election.Start();
    RunUntil([this] { return won.has_value(); });
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(owner_election_steps, election_fixture)

BOOST_AUTO_TEST_CASE(only_entry_wins_with_the_next_epoch) {
  memory->items[kEpochKey] = {kEpochKey, "6", 3, 0};
  Win();
  BOOST_REQUIRE(won);
  BOOST_TEST(won->epoch == 7);
  BOOST_TEST(!won->uninterrupted);
  BOOST_TEST(election.IsLeaseValid());
}

BOOST_AUTO_TEST_CASE(claim_whose_answer_was_lost_is_found_again) {
  memory->lose_next_commit = true;
  Win();
  BOOST_REQUIRE(won);
  BOOST_TEST(won->epoch == 1);
  BOOST_TEST(won->owner_revision == memory->items.at(kOwnerKey).revision);
}

BOOST_AUTO_TEST_CASE(owner_that_hears_a_higher_epoch_yields_at_once) {
  Win();
  election.Learn({"127.0.0.1:2", 2, 0});
  BOOST_TEST(lost == 1);
  BOOST_TEST(!election.IsOwner());
  BOOST_TEST(!election.IsLeaseValid());
}

BOOST_AUTO_TEST_CASE(owner_that_resigns_frees_the_key) {
  Win();
  election.Resign();
  BOOST_TEST(memory->items.count(kOwnerKey) == 0);
}

BOOST_AUTO_TEST_CASE(entry_without_configuration_stays_out) {
  election.Start();
  for (int i = 0; i < 3; ++i) {
    context.run_one();
  }
  BOOST_TEST(!won);
  BOOST_TEST(memory->items.count(kOwnerKey) == 0);
}

BOOST_AUTO_TEST_CASE(owner_elected_again_without_another_in_between_continues) {
  Win();
  won.reset();
  memory->items.erase(kOwnerKey);
  election.NoteLost("the lease has ended");
  RunUntil([this] { return won.has_value(); });
  BOOST_REQUIRE(won);
  BOOST_TEST(won->epoch == 2);
  BOOST_TEST(won->uninterrupted);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
