// The journal of a cell and the manifest, on a store with faults.
#include <boost/test/unit_test.hpp>

#include "chervilkeel/cell_journal.h"
#include "chervilkeel/manifest_holder.h"
#include "chervilkeel/manifest_store.h"
#include "store_fake.h"

namespace chervilkeel {

namespace {

struct journal_fixture {
  // A record that accepts one job, with an operation of its own.
  static wire::journal_record Record(const cell_state& state,
                                     std::uint64_t epoch,
                                     const std::string& owner) {
    wire::journal_record record;
    record.set_sequence(state.Sequence() + 1);
    record.set_epoch(epoch);
    record.set_owner(owner);
    record.set_operation(owner + "/" + std::to_string(record.sequence()));
    auto* job = record.add_changes()->mutable_accepted()->mutable_job();
    job->set_name("job-" + std::to_string(record.sequence()));
    job->set_tasks(1);
    return record;
  }

  // Appends and applies `count` records, with snapshots when they are due.
  static void Write(cell_journal<store_fake>& journal,
                    cell_state& state,
                    int count,
                    const std::string& owner) {
    for (int i = 0; i < count; ++i) {
      const auto record = Record(state, 1, owner);
      BOOST_TEST_REQUIRE(journal.Append(record).has_value());
      BOOST_TEST_REQUIRE(state.Apply(record).has_value());
      if (journal.SnapshotDue(state.Sequence())) {
        BOOST_TEST_REQUIRE(
            journal.SaveSnapshot(state, record.operation()).has_value());
      }
    }
  }

  store_fake store;
};

// Fails the first call about keys with a prefix.
store_fake::fault Once(const std::string& prefix, error_code code) {
  return [prefix, code, done = false](const std::string& key) mutable {
    if (done || key.rfind(prefix, 0) != 0) {
      return store_fake::kNoFault;
    }
    done = true;
    return code;
  };
}

std::string Manifest(int tracing_tasks, int cutting_tasks) {
  return R"({"house": "h", "cells": ["c"], "teams": [
      {"name": "tracing", "processors": 1, "memory_mb": 1},
      {"name": "cutting", "processors": 1, "memory_mb": 1}],
    "jobs": [
      {"name": "j1", "team": "tracing", "kind": "batch", "processors": 1,
       "memory_mb": 1, "run_ms": 1, "tasks": )" +
         std::to_string(tracing_tasks) + R"(},
      {"name": "j2", "team": "cutting", "kind": "batch", "processors": 1,
       "memory_mb": 1, "run_ms": 1, "tasks": )" +
         std::to_string(cutting_tasks) + "}]}";
}

manifest_commit Commit(const std::string& text, const std::string& operation) {
  manifest_commit commit;
  commit.text = text;
  commit.operation = operation;
  commit.author = "operator";
  return commit;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(cell_journal_suite, journal_fixture)

BOOST_AUTO_TEST_CASE(journal_of_many_laps_is_recovered_whole) {
  cell_journal<store_fake> journal(store, "c");
  cell_state state = journal.Recover().value();
  Write(journal, state, 5 * static_cast<int>(kJournalSlots) + 7, "a");
  cell_journal<store_fake> other(store, "c");
  const auto recovered = other.Recover();
  BOOST_TEST_REQUIRE(recovered.has_value());
  BOOST_TEST(recovered.value().Snapshot().SerializeAsString() ==
             state.Snapshot().SerializeAsString());
}

BOOST_AUTO_TEST_CASE(append_whose_answer_was_lost_is_settled_by_reading_back) {
  cell_journal<store_fake> journal(store, "c");
  cell_state state = journal.Recover().value();
  const auto record = Record(state, 1, "a");
  store.after = Once("cell/c/journal/", error_code::kUnknown);
  BOOST_TEST((journal.Append(record).error().code == error_code::kUnknown));
  BOOST_TEST(journal.Append(record).has_value());
  BOOST_TEST_REQUIRE(state.Apply(record).has_value());
  Write(journal, state, 3, "a");
}

BOOST_AUTO_TEST_CASE(former_owner_cannot_append_after_a_take_over) {
  cell_journal<store_fake> former(store, "c");
  cell_state state = former.Recover().value();
  Write(former, state, 10, "a");
  cell_journal<store_fake> next(store, "c");
  cell_state taken = next.Recover().value();
  const auto fence = Record(taken, 2, "b");
  BOOST_TEST_REQUIRE(next.Append(fence).has_value());
  BOOST_TEST((former.Append(Record(state, 1, "a")).error().code ==
              error_code::kConflict));
}

BOOST_AUTO_TEST_CASE(take_over_paused_for_a_whole_lap_fails_and_starts_anew) {
  cell_journal<store_fake> owner(store, "c");
  cell_state state = owner.Recover().value();
  Write(owner, state, 10, "a");
  cell_journal<store_fake> paused(store, "c");
  const cell_state seen = paused.Recover().value();
  Write(owner, state, static_cast<int>(kJournalSlots) + 20, "a");
  BOOST_TEST((paused.Append(Record(seen, 2, "b")).error().code ==
              error_code::kConflict));
  const auto again = paused.Recover();
  BOOST_TEST_REQUIRE(again.has_value());
  BOOST_TEST(again.value().Sequence() == state.Sequence());
  BOOST_TEST(paused.Append(Record(again.value(), 2, "b")).has_value());
}

BOOST_AUTO_TEST_CASE(former_owner_cannot_write_a_snapshot_over_a_newer_one) {
  cell_journal<store_fake> former(store, "c");
  cell_state state = former.Recover().value();
  Write(former, state, 5, "a");
  BOOST_TEST_REQUIRE(former.SaveSnapshot(state, "s1").has_value());
  cell_journal<store_fake> next(store, "c");
  cell_state taken = next.Recover().value();
  Write(next, taken, 5, "b");
  BOOST_TEST_REQUIRE(next.SaveSnapshot(taken, "s2").has_value());
  BOOST_TEST(
      (former.SaveSnapshot(state, "s3").error().code == error_code::kConflict));
}

BOOST_AUTO_TEST_CASE(store_calls_do_not_grow_with_the_changes_in_a_record) {
  cell_journal<store_fake> journal(store, "c");
  cell_state state = journal.Recover().value();
  wire::journal_record record = Record(state, 1, "a");
  for (int i = 0; i < 300; ++i) {
    auto* job = record.add_changes()->mutable_accepted()->mutable_job();
    job->set_name("more-" + std::to_string(i));
    job->set_tasks(1);
  }
  const int before = store.writes;
  BOOST_TEST_REQUIRE(journal.Append(record).has_value());
  BOOST_TEST(store.writes == before + 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(manifest_store_suite, journal_fixture)

BOOST_AUTO_TEST_CASE(bad_manifest_changes_nothing) {
  manifest_store<store_fake> manifests(store);
  const auto report = manifests.Commit(Commit("{}", "o1"));
  BOOST_TEST(!report.value().found.empty());
  BOOST_TEST(store.writes == 0);
}

BOOST_AUTO_TEST_CASE(commits_of_two_operators_do_not_overwrite_each_other) {
  manifest_store<store_fake> manifests(store);
  (void)manifests.Commit(Commit(Manifest(1, 1), "o1"));
  // A second operator's commit lands just before ours reaches the root.
  bool raced = false;
  store.before = [&](const std::string& key) {
    if (key == kManifestRootKey && !raced) {
      raced = true;
      manifest_store<store_fake> rival(store);
      BOOST_TEST(rival.Commit(Commit(Manifest(1, 9), "o2")).has_value());
    }
    return store_fake::kNoFault;
  };
  const auto report = manifests.Commit(Commit(Manifest(1, 5), "o3"));
  BOOST_TEST_REQUIRE(report.has_value());
  BOOST_TEST_REQUIRE(report.value().conflicts.size() == 1U);
  BOOST_TEST(report.value().conflicts[0] == "jobs/cutting");
  BOOST_TEST(manifests.ReadRoot().value().root.operation() == "o2");
}

BOOST_AUTO_TEST_CASE(commits_to_different_sections_are_rebased_when_asked) {
  manifest_store<store_fake> manifests(store);
  (void)manifests.Commit(Commit(Manifest(1, 1), "o1"));
  (void)manifests.Commit(Commit(Manifest(1, 9), "o2"));
  manifest_commit ours = Commit(Manifest(7, 1), "o3");
  ours.base_version = 1;
  BOOST_TEST(!manifests.Commit(ours).value().conflicts.empty());
  ours.rebase = true;
  const auto report = manifests.Commit(ours);
  BOOST_TEST_REQUIRE(report.has_value());
  BOOST_TEST(report.value().rebased);
  const auto root = manifests.ReadRoot().value().root;
  BOOST_TEST(root.version() == 3U);
  const auto joined =
      ReadManifest(JoinSections(manifests.ReadSections(root, {}).value()));
  BOOST_TEST(joined.value.jobs.at("j1@1").tasks() == 7U);
  BOOST_TEST(joined.value.jobs.at("j2@1").tasks() == 9U);
}

BOOST_AUTO_TEST_CASE(commit_whose_answer_was_lost_is_found_in_the_store) {
  manifest_store<store_fake> manifests(store);
  store.after = Once(kManifestRootKey, error_code::kUnknown);
  const auto report = manifests.Commit(Commit(Manifest(1, 1), "o1"));
  BOOST_TEST_REQUIRE(report.has_value());
  BOOST_TEST(report.value().root.version() == 1U);
  const auto again = manifests.Commit(Commit(Manifest(1, 1), "o1"));
  BOOST_TEST(again.value().root.version() == 1U);
}

BOOST_AUTO_TEST_CASE(commit_lost_and_then_replaced_is_found_in_the_history) {
  manifest_store<store_fake> manifests(store);
  (void)manifests.Commit(Commit(Manifest(1, 1), "o1"));
  bool raced = false;
  store.after = [&](const std::string& key) {
    if (key != kManifestRootKey || raced) {
      return store_fake::kNoFault;
    }
    raced = true;
    manifest_store<store_fake> rival(store);
    BOOST_TEST(rival.Commit(Commit(Manifest(2, 2), "o3")).has_value());
    return error_code::kUnknown;
  };
  const auto report = manifests.Commit(Commit(Manifest(1, 5), "o2"));
  BOOST_TEST_REQUIRE(report.has_value());
  BOOST_TEST(report.value().conflicts.empty());
  BOOST_TEST(report.value().root.version() == 2U);
  BOOST_TEST(manifests.ReadRoot().value().root.operation() == "o3");
}

BOOST_AUTO_TEST_CASE(holder_never_goes_back_to_a_lower_version) {
  manifest_store<store_fake> manifests(store);
  (void)manifests.Commit(Commit(Manifest(1, 1), "o1"));
  const auto first = manifests.ReadRoot().value().root;
  const auto old = manifests.ReadSections(first, {}).value();
  (void)manifests.Commit(Commit(Manifest(2, 2), "o2"));
  const auto second = manifests.ReadRoot().value().root;
  manifest_holder holder;
  BOOST_TEST(
      holder.Take(second, manifests.ReadSections(second, {}).value()).value());
  BOOST_TEST(!holder.Take(first, old).value());
  BOOST_TEST(holder.Version() == 2U);
}

BOOST_AUTO_TEST_CASE(holder_refuses_a_section_that_does_not_have_its_hash) {
  manifest_store<store_fake> manifests(store);
  (void)manifests.Commit(Commit(Manifest(1, 1), "o1"));
  const auto root = manifests.ReadRoot().value().root;
  auto sections = manifests.ReadSections(root, {}).value();
  sections[0].set_content("{}");
  manifest_holder holder;
  BOOST_TEST(
      (holder.Take(root, sections).error().code == error_code::kInvalid));
  BOOST_TEST(holder.Version() == 0U);
}

BOOST_AUTO_TEST_CASE(only_changed_sections_are_fetched) {
  manifest_store<store_fake> manifests(store);
  (void)manifests.Commit(Commit(Manifest(1, 1), "o1"));
  manifest_holder holder;
  const auto first = manifests.ReadRoot().value().root;
  BOOST_TEST(
      holder.Take(first, manifests.ReadSections(first, {}).value()).value());
  (void)manifests.Commit(Commit(Manifest(2, 1), "o2"));
  const auto second = manifests.ReadRoot().value().root;
  const auto fetched =
      manifests.ReadSections(second, holder.KnownHashes()).value();
  BOOST_TEST(fetched.size() == 1U);
  BOOST_TEST(holder.Take(second, fetched).value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
