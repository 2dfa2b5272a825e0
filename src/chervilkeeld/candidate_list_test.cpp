#include "candidate_list.h"

#include <set>
#include <string>

#include <boost/test/unit_test.hpp>

#include "job_keys.h"
#include "store_in_memory.h"

namespace chervilkeel {

namespace {

using names = std::set<std::string>;

struct list_fixture {
  boost::asio::io_context context;
  store_in_memory* memory = new store_in_memory(context);
  store_link link{std::unique_ptr<coordination_store>(memory)};
  int deposed = 0;
  candidate_list list{link, "a", [this](const std::string&) { ++deposed; }};

  list_fixture() {
    ownership won;
    won.candidates = {"a", "b"};
    store_transaction claim;
    claim.writes = {{kOwnerKey, "a 1", 0},
                    {kCandidatesKey, EncodeCandidates("a", won.candidates), 0}};
    memory->Commit(claim, 0, [&](const result<transaction_outcome>& outcome) {
      won.owner_revision = outcome.value().revision;
    });
    Run();
    list.Begin(won);
  }

  void Run() {
    context.run();
    context.restart();
  }

  void Store(const names& wanted) {
    list.Store(wanted);
    Run();
  }

  names Stored() const {
    return DecodeCandidates(memory->items.at(kCandidatesKey).value).entries;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(list_of_candidates, list_fixture)

BOOST_AUTO_TEST_CASE(entry_that_comes_is_stored) {
  Store({"a", "b", "c"});
  BOOST_TEST((Stored() == names{"a", "b", "c"}));
  BOOST_TEST((list.Possible() == names{"a", "b", "c"}));
}

// Guards against an entry that is left out while it can still be elected.
BOOST_AUTO_TEST_CASE(entry_that_goes_counts_until_that_is_stored) {
  list.Store({"a"});
  BOOST_TEST((list.Possible() == names{"a", "b"}));
  Run();
  BOOST_TEST((list.Possible() == names{"a"}));
}

// Guards against an entry that is elected by a write which the owner takes for
// lost.
BOOST_AUTO_TEST_CASE(entry_of_an_unanswered_write_counts_until_it_is_settled) {
  memory->late_commits = 1;
  Store({"a", "b", "c"});
  Store({"a", "b"});
  BOOST_TEST((Stored() == names{"a", "b"}));
  BOOST_TEST((list.Possible() == names{"a", "b"}));
  memory->ApplyLateCommits();
  BOOST_TEST((Stored() == names{"a", "b"}));
}

// Guards against a list that differs from the stored one: a write took effect
// before the next one, which was conditional on the same revision.
BOOST_AUTO_TEST_CASE(write_that_took_effect_unnoticed_is_learned_of) {
  memory->late_commits = 1;
  Store({"a", "b", "c"});
  BOOST_TEST((list.Possible() == names{"a", "b", "c"}));
  memory->ApplyLateCommits();
  Store({"a", "b"});
  BOOST_TEST((list.Possible() == names{"a", "b", "c"}));
  Store({"a", "b"});
  BOOST_TEST((Stored() == names{"a", "b"}));
  BOOST_TEST((list.Possible() == names{"a", "b"}));
}

BOOST_AUTO_TEST_CASE(replaced_owner_stores_nothing) {
  memory->Put(kOwnerKey, "b 2");
  Store({"a", "b", "c"});
  BOOST_TEST((Stored() == names{"a", "b"}));
  BOOST_TEST(deposed == 1);
}

// Guards against a right to grant while any entry can be elected (TWICE): the
// owner sends a longer list, but the one that names it alone is still stored.
BOOST_AUTO_TEST_CASE(list_that_may_name_the_owner_alone_is_open) {
  Store({"a"});
  BOOST_TEST(list.MayBeOpen());
  memory->late_commits = 1;
  Store({"a", "b"});
  BOOST_TEST(list.MayBeOpen());
  memory->ApplyLateCommits();
  Store({"a", "b", "c"});
  BOOST_TEST(!list.MayBeOpen());
}

BOOST_AUTO_TEST_CASE(write_without_effect_is_not_in_doubt) {
  memory->refused_commits = 1;
  Store({"a"});
  BOOST_TEST(!list.MayBeOpen());
  BOOST_TEST((list.Possible() == names{"a", "b"}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
