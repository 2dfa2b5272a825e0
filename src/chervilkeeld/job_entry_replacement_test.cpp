// An entry that the last owner has not listed: all listed ones are gone.
#include "job_entry_fixture.h"

namespace chervilkeel {

namespace {

constexpr const char* kGoneOwner = "127.0.0.8:1";
constexpr const char* kGoneEntry = "127.0.0.9:1";

struct replacement_fixture : ownership_fixture {
  replacement_fixture() {
    settings.grant = kGrant;
    settings.outage_grant = kOutageGrant;
    memory.Put(kEpochKey, "6");
  }

  // Stores what an owner leaves behind that is gone with all entries.
  void LoseAllEntries() {
    memory.Put(kCandidatesKey,
               EncodeCandidates(kGoneOwner, {kGoneOwner, kGoneEntry}));
  }

  bool IsFormerGrantStored() const {
    return memory.items.count(kFormerGrantKey) != 0;
  }

  static constexpr millis kGrant = 500;
  static constexpr millis kOutageGrant = 2'000;
  // From its election an owner waits for a silent agent as long as that may be
  // granted: by a lease until the first of these, in an outage for longer.
  static constexpr millis kLeaseWaited = 2'200;
  static constexpr millis kOutageWaited = 3'200;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(owner_after_all_entries_are_replaced,
                         replacement_fixture)

// Guards against jobs that nobody owns for as long as an outage may last
// (LOST).
BOOST_AUTO_TEST_CASE(jobs_have_an_owner_within_two_seconds) {
  LoseAllEntries();
  StartOwner();
  BOOST_TEST(Epoch() == "7");
}

// Guards against a task that starts although the former owner may keep its run
// alive at an agent that is not heard (TWICE).
BOOST_AUTO_TEST_CASE(silent_agent_is_waited_for_as_long_as_an_outage_may_last) {
  memory.Put(kMembersKey, "agent\n");
  LoseAllEntries();
  StartOwner();
  RunFor(kLeaseWaited);
  BOOST_TEST(IsFormerGrantStored());
  RunFor(kOutageWaited - kLeaseWaited);
  BOOST_TEST(!IsFormerGrantStored());
}

// The same for the owner after that one.
BOOST_AUTO_TEST_CASE(silent_agent_is_waited_for_by_a_later_owner) {
  memory.Put(kMembersKey, "agent\n");
  memory.Put(kFormerGrantKey, "6");
  StartOwner();
  RunFor(kLeaseWaited);
  BOOST_TEST(IsFormerGrantStored());
  RunFor(kOutageWaited - kLeaseWaited);
  BOOST_TEST(!IsFormerGrantStored());
}

// Guards against waits of later owners that are not needed any more.
BOOST_AUTO_TEST_CASE(grant_in_an_outage_is_settled_when_no_agent_is_silent) {
  LoseAllEntries();
  StartOwner();
  RunFor(kHeardWithin);
  BOOST_TEST(!IsFormerGrantStored());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
