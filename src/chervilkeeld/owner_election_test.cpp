#include "owner_election.h"

#include <optional>

#include <boost/test/unit_test.hpp>

#include "job_keys.h"
#include "shared_store.h"
#include "store_in_memory.h"

namespace chervilkeel {

namespace {

constexpr millis kLease = 1'000;
// Of the claim of an entry that waits: pauses before it, and a busy machine.
constexpr millis kClaimDelay = 1'000;

struct election_fixture {
  boost::asio::io_context context;
  store_in_memory* memory = new store_in_memory(context);
  store_link link{std::unique_ptr<coordination_store>(memory)};
  std::optional<ownership> won;
  int lost = 0;
  owner_election election{context,
                          link,
                          {"entry-1", "127.0.0.1:1", kLease, 1.0},
                          [this](const ownership& value) { won = value; },
                          [this](const std::string&) { ++lost; }};

  // Runs handlers until the condition holds or no work is left.
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

constexpr const char* kFormerOwner = "127.0.0.1:2";

struct candidate_fixture : election_fixture {
  // Stores a list of candidates as the former owner would.
  void StoreList(const std::set<std::string>& entries) {
    memory->Put(kCandidatesKey, EncodeCandidates(kFormerOwner, entries));
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

BOOST_AUTO_TEST_CASE(claim_with_a_lost_answer_is_recognized_by_the_owner_key) {
  memory->lost_answers = 1;
  Win();
  BOOST_REQUIRE(won);
  BOOST_TEST(won->epoch == 1);
  BOOST_TEST(won->owner_revision == memory->items.at(kOwnerKey).revision);
}

BOOST_AUTO_TEST_CASE(owner_notified_of_a_higher_epoch_loses_ownership) {
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

BOOST_AUTO_TEST_CASE(entry_without_configuration_is_not_elected) {
  election.Start();
  for (int i = 0; i < 3; ++i) {
    context.run_one();
  }
  BOOST_TEST(!won);
  BOOST_TEST(memory->items.count(kOwnerKey) == 0);
}

BOOST_AUTO_TEST_CASE(
    reelected_owner_without_another_in_between_is_uninterrupted) {
  Win();
  won.reset();
  memory->items.erase(kOwnerKey);
  election.NoteLost("the lease has expired");
  RunUntil([this] { return won.has_value(); });
  BOOST_REQUIRE(won);
  BOOST_TEST(won->epoch == 2);
  BOOST_TEST(won->uninterrupted);
}

BOOST_AUTO_TEST_CASE(owner_that_hands_over_frees_the_key_and_ends_its_term) {
  Win();
  election.HandOver("a faster VM");
  BOOST_TEST(lost == 1);
  BOOST_TEST(!election.IsOwner());
  BOOST_TEST(memory->items.count(kOwnerKey) == 0);
}

// Guards against an owner by another lease than its key's: the key is removed
// with that one, and the next owner is elected beside it.
BOOST_AUTO_TEST_CASE(claim_of_a_former_campaign_is_not_taken_for_a_later_one) {
  memory->late_commits = 2;
  election.SetReady(true);
  election.Start();
  RunUntil([this] { return memory->late_commits == 0; });
  memory->ApplyLateCommits();
  RunUntil([this] { return won || memory->watches > 0; });
  BOOST_TEST(!won.has_value());
}

// Guards against an entry with little CPU winning the election. Two entries see
// the key free at the same time; the one with a full core has to win, whatever
// delay the hash of its name gives.
BOOST_AUTO_TEST_CASE(entry_with_little_cpu_loses_to_an_entry_with_a_full_core) {
  std::optional<ownership> slow_won;
  store_link other_link{
      std::unique_ptr<coordination_store>(new shared_store(*memory))};
  owner_election slow{context,
                      other_link,
                      {"entry-0", "127.0.0.1:2", 1'000, 0.05},
                      [&](const ownership& value) { slow_won = value; },
                      [](const std::string&) {}};
  slow.SetReady(true);
  slow.Start();
  Win();
  BOOST_TEST(won.has_value());
  BOOST_TEST(!slow_won.has_value());
}

// Guards against jobs without an owner after all listed entries are gone for
// good (LOST), and against an election while the last owner has its lease.
BOOST_FIXTURE_TEST_CASE(entry_that_is_not_listed_is_elected_after_a_lease,
                        candidate_fixture) {
  StoreList({kFormerOwner, "127.0.0.1:3"});
  const millis began = BootNow();
  Win();
  BOOST_REQUIRE(won);
  BOOST_TEST(BootNow() - began >= kLease);
  BOOST_TEST(BootNow() - began < kLease + kClaimDelay);
}

// Guards against an owner beside one that grants in an outage of the store
// (TWICE): that one does not wait for the answers of entries that it has not
// listed, so owners have to know of it, also those elected later.
BOOST_FIXTURE_TEST_CASE(claim_of_an_entry_that_is_not_listed_tells_of_grants,
                        candidate_fixture) {
  StoreList({kFormerOwner, "127.0.0.1:3"});
  Win();
  BOOST_TEST(memory->items.count(kFormerGrantKey) == 1);
  memory->items.erase(kOwnerKey);
  won.reset();
  election.NoteLost("the lease has expired");
  RunUntil([this] { return won.has_value(); });
  BOOST_TEST(memory->items.count(kFormerGrantKey) == 1);
}

BOOST_FIXTURE_TEST_CASE(claim_of_a_listed_entry_tells_of_no_grants,
                        candidate_fixture) {
  StoreList({kFormerOwner, "127.0.0.1:1", "127.0.0.1:3"});
  Win();
  BOOST_TEST(memory->items.count(kFormerGrantKey) == 0);
}

// Guards against a listed entry that comes too late, so that all wait for a
// former owner: it has the jobs at once, and the other one waits.
BOOST_FIXTURE_TEST_CASE(listed_entry_goes_before_one_that_is_not,
                        candidate_fixture) {
  StoreList({kFormerOwner, "127.0.0.1:1"});
  std::optional<ownership> other_won;
  store_link other_link{
      std::unique_ptr<coordination_store>(new shared_store(*memory))};
  owner_election other{context,
                       other_link,
                       {"entry-0", "127.0.0.1:4", kLease},
                       [&](const ownership& value) { other_won = value; },
                       [](const std::string&) {}};
  other.SetReady(true);
  other.Start();
  const millis listed_from = BootNow() + kLease / 2;
  RunUntil([&] { return BootNow() >= listed_from; });
  Win();
  BOOST_TEST(won.has_value());
  BOOST_TEST(!other_won.has_value());
}

// Guards against a wait that has passed under a living owner (TWICE): the list
// of that owner was read while it held the key.
BOOST_FIXTURE_TEST_CASE(wait_of_an_entry_begins_when_the_key_is_free,
                        candidate_fixture) {
  StoreList({kFormerOwner, "127.0.0.1:3"});
  election.SetReady(true);
  election.Start();
  RunUntil([this] { return memory->reads >= 2; });
  memory->Put(kOwnerKey, std::string(kFormerOwner) + " 1");
  memory->failed_watches = 1'000;
  const millis held_until = BootNow() + 2 * kLease;
  RunUntil([&] { return BootNow() >= held_until; });
  memory->items.erase(kOwnerKey);
  const millis began = BootNow();
  RunUntil([this] { return won.has_value(); });
  BOOST_TEST(BootNow() - began >= kLease);
}

BOOST_FIXTURE_TEST_CASE(listed_entry_is_elected_at_once, candidate_fixture) {
  StoreList({kFormerOwner, "127.0.0.1:1", "127.0.0.1:3"});
  const millis began = BootNow();
  Win();
  BOOST_TEST(BootNow() - began < kLease);
}

// Guards against a cell that waits for nothing: an owner that has listed only
// itself does not grant without its lease.
BOOST_FIXTURE_TEST_CASE(successor_of_an_owner_without_peers_is_elected_at_once,
                        candidate_fixture) {
  StoreList({kFormerOwner});
  const millis began = BootNow();
  Win();
  BOOST_TEST(BootNow() - began < kLease);
}

BOOST_FIXTURE_TEST_CASE(claim_lists_all_known_entries, candidate_fixture) {
  StoreList({kFormerOwner, "127.0.0.1:1"});
  election.SetKnownEntries({"127.0.0.1:4"});
  Win();
  BOOST_REQUIRE(won);
  const std::set<std::string> all{"127.0.0.1:1", kFormerOwner, "127.0.0.1:4"};
  BOOST_TEST((won->candidates == all));
  const candidate_names stored =
      DecodeCandidates(memory->items.at(kCandidatesKey).value);
  BOOST_TEST(stored.owner == "127.0.0.1:1");
  BOOST_TEST((stored.entries == all));
}

// Guards against a claim on a list that another owner has replaced since.
BOOST_FIXTURE_TEST_CASE(claim_on_an_outdated_list_has_no_effect,
                        candidate_fixture) {
  StoreList({kFormerOwner, "127.0.0.1:1"});
  election.SetReady(true);
  election.Start();
  RunUntil([this] { return memory->leases > 0; });
  StoreList({kFormerOwner, "127.0.0.1:3"});
  const millis began = BootNow();
  RunUntil([this] { return won.has_value(); });
  BOOST_TEST(BootNow() - began >= kLease);
}

BOOST_FIXTURE_TEST_CASE(owner_that_resigns_lists_nobody_else,
                        candidate_fixture) {
  StoreList({kFormerOwner, "127.0.0.1:1"});
  Win();
  election.Resign();
  const candidate_names stored =
      DecodeCandidates(memory->items.at(kCandidatesKey).value);
  BOOST_TEST((stored.entries == std::set<std::string>{"127.0.0.1:1"}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
