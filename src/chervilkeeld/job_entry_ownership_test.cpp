// An entry that owns the jobs and is shut down: it keeps them until another
// entry can take them.
#include "job_entry_fixture.h"

namespace chervilkeel {

BOOST_FIXTURE_TEST_SUITE(leaving_owner, ownership_fixture)

// Guards against the jobs being without an owner while all entries leave: the
// last one gave them up at once, and its callers' counts were refused.
BOOST_AUTO_TEST_CASE(count_at_the_last_entry_is_answered_while_it_leaves) {
  StartOwner();
  owner->Leave();
  RunFor(kShutdownTime / 2);
  BOOST_TEST(owner->IsCounted());
  RunFor(kShutdownTime / 4);
  BOOST_TEST(owner->IsCounted());
  BOOST_TEST(!owner->ended);
}

// Guards against an owner whose lease lapses while it leaves: it has to renew
// the lease, whose time is shorter than the time to leave.
BOOST_AUTO_TEST_CASE(owner_that_leaves_keeps_its_epoch_beyond_one_lease) {
  constexpr millis kLease = 200;
  settings.owner_ttl = kLease;
  StartOwner();
  const std::string epoch = Epoch();
  owner->Leave();
  RunFor(3 * kLease);
  BOOST_TEST(owner->IsCounted());
  BOOST_TEST(Epoch() == epoch);
}

// Guards against jobs that are given up to a peer that leaves as well.
BOOST_AUTO_TEST_CASE(owner_whose_only_peer_leaves_too_keeps_the_jobs) {
  StartOwner();
  tested_entry second(context, memory, PeerSettings());
  RunFor(kHeardWithin);
  second.Leave();
  RunFor(kHeardWithin);
  owner->Leave();
  RunFor(kHeardWithin / 2);
  BOOST_TEST(IsOwned());
  BOOST_TEST(owner->IsCounted());
}

// Guards against a question of another leaving entry without an answer.
BOOST_AUTO_TEST_CASE(count_at_a_leaving_peer_is_answered_by_the_leaving_owner) {
  StartOwner();
  tested_entry second(context, memory, PeerSettings());
  RunFor(kHeardWithin);
  second.Leave();
  RunFor(kHeardWithin);
  owner->Leave();
  RunFor(kHeardWithin / 4);
  BOOST_TEST(second.IsCounted());
}

// Guards against jobs that are given up to a peer that can't be elected.
BOOST_AUTO_TEST_CASE(owner_whose_peer_has_no_configuration_keeps_the_jobs) {
  StartPeer({0, 0});
  StartOwner();
  RunFor(kHeardWithin);
  owner->Leave();
  RunFor(kShutdownTime / 2);
  BOOST_TEST(owner->IsCounted());
}

// Guards against jobs that are given up to a peer whose claim can't arrive.
BOOST_AUTO_TEST_CASE(owner_whose_peer_has_lost_the_store_keeps_the_jobs) {
  StartPeer({1, 700});
  StartOwner();
  RunFor(kHeardWithin);
  owner->Leave();
  RunFor(kShutdownTime / 2);
  BOOST_TEST(owner->IsCounted());
}

// Guards against an owner that leaves on a word which is no longer true.
BOOST_AUTO_TEST_CASE(owner_whose_peer_has_gone_silent_keeps_the_jobs) {
  StartPeer({});
  StartOwner();
  RunFor(kHeardWithin);
  StopPeer();
  RunFor(kHeardWithin + kTimerDelay);
  owner->Leave();
  RunFor(kShutdownTime / 2);
  BOOST_TEST(owner->IsCounted());
}

// Guards against a handover that is put off although a peer can take the jobs.
BOOST_AUTO_TEST_CASE(owner_with_a_ready_peer_resigns_at_once_when_it_leaves) {
  StartPeer({});
  StartOwner();
  RunFor(kHeardWithin);
  owner->Leave();
  RunFor(tested_entry::kAnswerWithin);
  BOOST_TEST(!IsOwned());
  BOOST_TEST(!owner->ended);
}

// Guards against an owner that keeps the jobs to its end although a peer has
// come back.
BOOST_AUTO_TEST_CASE(leaving_owner_resigns_when_it_hears_of_a_ready_peer) {
  StartOwner();
  owner->Leave();
  RunFor(kHeardWithin / 4);
  BOOST_TEST(IsOwned());
  StartPeer({});
  RunFor(kHeardWithin);
  BOOST_TEST(!IsOwned());
  BOOST_TEST(!owner->ended);
}

// Guards against a lease that lasts beyond its process: the next owner would
// wait for it.
BOOST_AUTO_TEST_CASE(owner_without_a_peer_resigns_before_its_process_ends) {
  StartOwner();
  owner->Leave();
  RunFor(kShutdownTime / 2);
  BOOST_TEST(IsOwned());
  RunToTheEnd();
  BOOST_TEST(!IsOwned());
  BOOST_TEST(owner->took >= kShutdownTime);
  BOOST_TEST(owner->took < kShutdownTime + kAnswerTime);
}

// Guards against the loss of what the owner has decided last: the commit is due
// only after the shutdown time.
BOOST_AUTO_TEST_CASE(change_just_before_the_end_of_the_owner_is_committed) {
  settings.answer_time = 1'000;
  settings.job_commit_interval = 1'000;
  StartOwner();
  owner->Leave();
  RunFor(kShutdownTime - 500);
  CancelJob("first");
  CancelJob("second");
  BOOST_TEST(!IsEndStored("second"));
  RunToTheEnd();
  BOOST_TEST(IsEndStored("second"));
  BOOST_TEST(!IsOwned());
}

// Guards against a process that the platform has to kill: its last commit and
// the end of its lease are never answered.
BOOST_AUTO_TEST_CASE(owner_whose_store_is_silent_ends_within_its_limits) {
  settings.job_commit_interval = 1'000;
  StartOwner();
  CancelJob("first");
  owner->Leave();
  CancelJob("second");
  BOOST_TEST(!IsEndStored("second"));
  memory.is_silent = true;
  RunToTheEnd();
  BOOST_TEST(owner->took >= kShutdownTime);
  BOOST_TEST(owner->took <
             kShutdownTime + kAnswerTime + kLastWriteTime + kTimerDelay);
}

// Guards against a process that the platform has to kill: the store refuses
// what the owner commits last.
BOOST_AUTO_TEST_CASE(owner_whose_store_refuses_commits_ends_within_its_limits) {
  settings.job_commit_interval = 1'000;
  StartOwner();
  CancelJob("first");
  owner->Leave();
  CancelJob("second");
  BOOST_TEST(!IsEndStored("second"));
  memory.refused_commits = 1'000;
  RunToTheEnd();
  BOOST_TEST(owner->took <
             kShutdownTime + kAnswerTime + kLastWriteTime + kTimerDelay);
  BOOST_TEST(!IsOwned());
}

// Guards against a new term of a process that is about to end, after another
// process has shown it a higher epoch; a new configuration must not make it a
// candidate again.
BOOST_AUTO_TEST_CASE(leaving_owner_that_is_replaced_is_not_elected_again) {
  StartOwner();
  const std::string epoch = Epoch();
  owner->Leave();
  RunFor(kShutdownTime / 4);
  memory.items.erase(kOwnerKey);  // The store answers no watch on it.
  ReportHigherEpoch();
  memory.Put("config", "2 /paths/ paths");
  RunFor(kShutdownTime / 2);
  BOOST_TEST(!IsOwned());
  BOOST_TEST(Epoch() == epoch);
}

// Guards against an election of an entry that leaves: the owner's key becomes
// free while the entry, which reads the key again and again, is leaving.
BOOST_AUTO_TEST_CASE(leaving_entry_that_is_not_the_owner_is_never_elected) {
  memory.Put(kOwnerKey, endpoint{kPeerAddress, 1}.ToString() + " 5");
  memory.Put(kEpochKey, "5");
  memory.failed_watches = 1'000;
  owner.emplace(context, memory, settings);
  owner->Leave();
  RunFor(kShutdownTime / 4);
  memory.items.erase(kOwnerKey);
  RunFor(kShutdownTime / 2);
  BOOST_TEST(!IsOwned());
  BOOST_TEST(Epoch() == "5");
  RunToTheEnd();
  BOOST_TEST(Epoch() == "5");
}

// Guards against a cancelled job that runs (UNASKED): it was stored and
// cancelled while its owner was not the owner for a moment. The store lists
// cancellations before jobs, and the owner passed over the cancellation of an
// unknown job.
BOOST_AUTO_TEST_CASE(job_cancelled_between_two_terms_of_its_owner_is_ended) {
  StartOwner();
  memory.items.erase(kOwnerKey);
  ReportHigherEpoch();
  job_record record;
  record.id = "0123456789abcdef";
  record.queue.name = "paths";
  record.epoch = 1;
  record.spec.steps.emplace_back();
  record.spec.steps[0].tasks = 1;
  memory.Put(kJobPrefix + record.id, EncodeJobRecord(record));
  memory.Put(kCancelPrefix + record.id, "cancelled");
  RunFor(kElectedWithin);
  BOOST_REQUIRE_EQUAL(Epoch(), "2");
  BOOST_TEST(IsEndStored(record.id));
}

// Guards against a cancelled job that runs (UNASKED): it comes after its
// cancellation, to an owner that was elected in between.
BOOST_AUTO_TEST_CASE(job_that_comes_after_its_cancellation_is_ended) {
  const std::string id = "0123456789abcdef";
  memory.Put(kCancelPrefix + id, "cancelled");
  StartOwner();
  BOOST_TEST(owner->Call("POST", kQueuePath + id).find("accepted") !=
             std::string::npos);
  RunFor(tested_entry::kAnswerWithin);
  BOOST_TEST(IsEndStored(id));
}

// Guards against a store that fills with cancellations of ids without a job.
BOOST_AUTO_TEST_CASE(cancellation_without_a_job_is_removed_in_the_end) {
  const std::string id = "0123456789abcdef";
  settings.job_retention = 1;
  StartOwner();
  BOOST_TEST(owner->Call("DELETE", kQueuePath + id).find("no such job") !=
             std::string::npos);
  BOOST_TEST(memory.items.count(kCancelPrefix + id) == 1);
  RunFor(1'500);
  BOOST_TEST(memory.items.count(kCancelPrefix + id) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
