// An owner that has lost the store: it goes on granting only while no other
// entry can own the jobs.
#include "job_entry_fixture.h"

namespace chervilkeel {

namespace {

constexpr const char* kOtherPeerAddress = "127.0.0.3";

struct outage_fixture : ownership_fixture {
  outage_fixture() {
    settings.seeds = {{kAddress, 1}, {kPeerAddress, 1}, {kOtherPeerAddress, 1}};
  }

  std::string OwnerAddress() const {
    return endpoint{kAddress, settings.rpc_port}.ToString();
  }

  // Whether the owner answers an agent as one that may grant.
  bool IsGranting() {
    const auto call = MakeCall<wire::agent_sync, wire::agent_orders>(
        peers.At(OwnerAddress()), {}, kCallTimeout);
    call->request.set_agent("agent");
    call->request.set_incarnation(1);
    call->request.set_number(++calls_);
    call->request.set_sent_at_ms(BootNow());
    const auto is_answered = std::make_shared<std::atomic<bool>>(false);
    call->peer->jobs->async()->Sync(
        &call->context, &call->request, &call->reply,
        [call, is_answered](const grpc::Status& status) {
          *is_answered = status.ok();
        });
    for (millis waited = 0; !*is_answered && waited < kCallTimeout;
         waited += kPollInterval) {
      RunFor(kPollInterval);
    }
    return *is_answered && call->reply.is_owner();
  }

  // Returns whether the owner granted at any poll within the time.
  bool GrantsWithin(millis time) {
    const millis until = BootNow() + time;
    while (BootNow() < until) {
      if (IsGranting()) {
        return true;
      }
      RunFor(kAskInterval);
    }
    return false;
  }

  // Returns whether the owner granted at each poll within the time.
  bool GrantsThroughout(millis time) {
    const millis until = BootNow() + time;
    while (BootNow() < until) {
      if (!IsGranting()) {
        return false;
      }
      RunFor(kAskInterval);
    }
    return true;
  }

  // Asks the owner what entries ask each other, and returns its answer.
  wire::fleet_reply AskAsPeer(wire::fleet_question question) {
    question.set_from(endpoint{kPeerAddress, settings.rpc_port}.ToString());
    const auto call = MakeCall<wire::fleet_question, wire::fleet_reply>(
        peers.At(OwnerAddress()), std::move(question), kCallTimeout);
    call->peer->jobs->async()->Fleet(&call->context, &call->request,
                                     &call->reply,
                                     [call](const grpc::Status&) {});
    RunFor(kAskInterval);
    return call->reply;
  }

  static constexpr std::size_t kLongText = 100'000;
  static constexpr millis kPollInterval = 5;
  static constexpr millis kAskInterval = 200;
  // From the last answer of the store until the right has lapsed: the lease of
  // the owner, and what the peers have said before.
  static constexpr millis kLapsedWithin = 2'500;
  // Longer than an entry may be silent before it counts as gone.
  static constexpr millis kLongAfter = 5'000;
  // A pause in what entries say after which the right can't be resumed.
  static constexpr millis kLongPause = 3'500;

 private:
  std::uint64_t calls_ = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(owner_without_the_store, outage_fixture)

// Guards against runs that lapse in an outage of the store.
BOOST_AUTO_TEST_CASE(owner_grants_while_all_entries_have_lost_the_store) {
  StartPeer({1, 700});
  StartPeer({1, 700}, kOtherPeerAddress);
  StartOwner();
  RunFor(kHeardWithin);
  memory.is_silent = true;
  BOOST_TEST(GrantsThroughout(kLapsedWithin + kLongAfter));
}

// Guards against an owner that grants again after its right has lapsed (TWICE):
// the entry that it hears no more may have the store, and own the jobs.
BOOST_AUTO_TEST_CASE(
    owner_cut_off_from_an_entry_with_the_store_does_not_grant_again) {
  StartPeer({});
  StartPeer({1, 700}, kOtherPeerAddress);
  StartOwner();
  RunFor(kHeardWithin);
  BOOST_TEST(IsGranting());
  memory.is_silent = true;
  StopPeer();
  RunFor(kLapsedWithin);
  BOOST_TEST(!GrantsWithin(kLongAfter));
}

// Guards against a right that comes back without the store (TWICE): another
// entry may have owned the jobs in between.
BOOST_AUTO_TEST_CASE(right_that_has_lapsed_does_not_return_in_the_outage) {
  StartPeer({1, 700});
  StartPeer({1, 700}, kOtherPeerAddress);
  StartOwner();
  RunFor(kHeardWithin);
  memory.is_silent = true;
  RunFor(kLapsedWithin);
  StopPeer();
  RunFor(kLongPause);
  StartPeer({1, 700});
  BOOST_TEST(!GrantsWithin(kLongAfter));
}

// Guards against an old answer that counts as fresh (TWICE): an entry that asks
// is heard, but what it says of the store may have changed since.
BOOST_AUTO_TEST_CASE(question_of_an_entry_does_not_refresh_its_last_answer) {
  constexpr int kAnswers = 3;
  StartPeer({1, 700, kAnswers});
  StartOwner();
  RunFor(kHeardWithin);
  memory.is_silent = true;
  bool grants = false;
  for (millis waited = 0; waited < kLapsedWithin + kLongAfter;
       waited += kAskInterval) {
    AskAsPeer({});
    grants = waited > kLapsedWithin && (grants || IsGranting());
  }
  BOOST_TEST(!grants);
}

// Guards against an election that the owner doesn't hear of (TWICE): a former
// owner has listed an entry that this one has never reached.
BOOST_AUTO_TEST_CASE(candidate_that_was_never_heard_ends_the_right) {
  memory.Put(kCandidatesKey,
             EncodeCandidates("127.0.0.9:1", {OwnerAddress(), "127.0.0.9:1"}));
  StartPeer({1, 700});
  StartOwner();
  RunFor(kHeardWithin);
  memory.is_silent = true;
  RunFor(kLapsedWithin);
  BOOST_TEST(!GrantsWithin(kLongAfter));
}

// Guards against a right to grant while any entry can be elected (TWICE): the
// stored list names the owner alone, and the answers to longer ones are lost.
BOOST_AUTO_TEST_CASE(owner_whose_list_may_still_be_open_does_not_grant) {
  StartOwner();
  memory.late_commits = 1'000;
  StartPeer({1, 700});
  RunFor(kHeardWithin);
  memory.is_silent = true;
  RunFor(kLapsedWithin);
  BOOST_TEST(!GrantsWithin(kLongAfter / 2));
}

// Guards against a right that an entry ends which the owner can't yet need: it
// is elected only after it has been listed.
BOOST_AUTO_TEST_CASE(entry_that_came_in_the_outage_does_not_end_the_right) {
  StartPeer({1, 700});
  StartOwner();
  RunFor(kHeardWithin);
  memory.is_silent = true;
  RunFor(kLapsedWithin);
  StartPeer({}, kOtherPeerAddress);
  BOOST_TEST(GrantsThroughout(kLongAfter));
}

// Guards against links that are full for good: each entry that lost the store
// made all others read the whole configuration.
BOOST_AUTO_TEST_CASE(probe_of_the_store_reads_a_short_value) {
  memory.Put("config", "2 /paths/ " + std::string(kLongText, 'p'));
  StartOwner();
  const int reads = memory.reads;
  const std::size_t bytes = memory.read_bytes;
  wire::fleet_question question;
  question.set_store_lost(true);
  AskAsPeer(question);
  BOOST_TEST(memory.reads > reads);
  BOOST_TEST(memory.read_bytes - bytes < kLongText);
}

// The same for gossip, of which each answer held the configuration.
BOOST_AUTO_TEST_CASE(gossip_holds_no_configuration_unless_it_is_asked_for) {
  StartOwner();
  wire::fleet_question question;
  BOOST_TEST(AskAsPeer(question).config().empty());
  question.set_wants_config(true);
  BOOST_TEST(AskAsPeer(question).config() == "1 /paths/ paths");
}

BOOST_AUTO_TEST_CASE(
    entry_without_the_store_takes_the_configuration_of_a_peer) {
  peer_script peer;
  peer.config_version = 2;
  peer.config = "2 /added/ added";
  StartPeer(peer);
  StartOwner();
  RunFor(kHeardWithin);
  BOOST_TEST(AskAsPeer({}).config_version() == 1);
  memory.is_silent = true;
  RunFor(kLapsedWithin);
  BOOST_TEST(AskAsPeer({}).config_version() == 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
