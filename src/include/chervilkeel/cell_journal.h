// The journal and the snapshot of a cell in the store.
//
// The journal is a ring buffer of keys. Record n is written to slot
// n mod kJournalSlots and replaces record n - kJournalSlots by
// compare-and-swap, so a writer that has not read every earlier record cannot
// append. To take over a cell, a new owner appends one record with a higher
// epoch; every later append of the former owner then fails. Keys are never
// deleted.
#pragma once

#include <cstdint>
#include <cstdio>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "chervilkeel/cell_state.h"
#include "chervilkeel/result.h"
#include "chervilkeel/store.h"
#include "chervilkeel/wire_json.h"

namespace chervilkeel {

inline constexpr std::uint64_t kJournalSlots = 128;
inline constexpr std::uint64_t kRecordsPerSnapshot = 48;

// Reads and writes the durable state of a cell in any store.
template <store_like store_type>
class cell_journal {
 public:
  cell_journal(store_type& store, std::string cell)
      : store_(store), prefix_("cell/" + std::move(cell) + "/") {}

  // Reads the snapshot and applies the records after it. Returns kConflict if
  // another owner appended to the journal in the meantime; the caller retries.
  result<cell_state> Recover() {
    versions_.clear();
    const auto snapshot = ReadSnapshot();
    if (!snapshot) {
      return snapshot.as_failure();
    }
    cell_state state = cell_state::Restore(snapshot.value());
    const auto listed = store_.List(prefix_ + "journal/");
    if (!listed) {
      return listed.as_failure();
    }
    std::map<std::uint64_t, wire::journal_record> records;
    for (const store_entry& entry : listed.value()) {
      wire::journal_record record;
      const auto read = FromJson(entry.value, entry.key, record);
      if (!read) {
        return read.as_failure();
      }
      versions_[record.sequence() % kJournalSlots] = entry.version;
      records[record.sequence()] = std::move(record);
    }
    for (const auto& [sequence, record] : records) {
      if (sequence <= state.Sequence()) {
        continue;
      }
      const auto applied = state.Apply(record);
      if (!applied) {
        return applied.as_failure();
      }
    }
    return state;
  }

  // Makes a record durable. Returns kConflict if another owner has written to
  // the journal; this is permanent. After kUnavailable or kUnknown, the caller
  // retries with the same record; if the earlier write took effect, the retry
  // conflicts with it, and reading the slot back tells so.
  result<void> Append(const wire::journal_record& record) {
    const std::uint64_t slot = record.sequence() % kJournalSlots;
    const std::string key = KeyOf(slot);
    const auto written = store_.Put(key, ToJson(record), versions_[slot], 0);
    if (written) {
      versions_[slot] = written.value();
      return boost::outcome_v2::success();
    }
    if (written.error().code != error_code::kConflict) {
      return written.as_failure();
    }
    return ResolveAppendConflict(record, slot, key, written.error());
  }

  // Writes a snapshot of the state. Returns kConflict if another owner has
  // written one.
  result<void> SaveSnapshot(const cell_state& state,
                            const std::string& operation) {
    wire::cell_snapshot snapshot = state.Snapshot();
    snapshot.set_operation(operation);
    const std::string text = ToJson(snapshot);
    snapshot_bytes_ = text.size();
    const auto written =
        store_.Put(prefix_ + "snapshot", text, snapshot_version_, 0);
    if (!written && written.error().code == error_code::kConflict) {
      return ResolveSnapshotConflict(snapshot, written.error());
    }
    if (!written) {
      return written.as_failure();
    }
    snapshot_version_ = written.value();
    snapshot_sequence_ = snapshot.sequence();
    return boost::outcome_v2::success();
  }

  // Returns whether a snapshot must be written before the next append, which
  // would overwrite a record that the last snapshot doesn't cover.
  bool SnapshotNeeded(std::uint64_t sequence) const {
    return sequence + 1 >= snapshot_sequence_ + kJournalSlots;
  }

  // Returns whether enough records have been appended for a new snapshot.
  bool SnapshotDue(std::uint64_t sequence) const {
    return sequence >= snapshot_sequence_ + kRecordsPerSnapshot;
  }

  // Returns the size of the latest snapshot, in bytes.
  std::size_t SnapshotBytes() const { return snapshot_bytes_; }

 private:
  std::string KeyOf(std::uint64_t slot) const {
    char text[8];
    std::snprintf(text, sizeof text, "%03u", static_cast<unsigned>(slot));
    return prefix_ + "journal/" + text;
  }

  result<wire::cell_snapshot> ReadSnapshot() {
    wire::cell_snapshot snapshot;
    snapshot_version_ = 0;
    snapshot_sequence_ = 0;
    const auto entry = store_.Get(prefix_ + "snapshot");
    if (!entry) {
      if (entry.error().code == error_code::kNotFound) {
        return snapshot;
      }
      return entry.as_failure();
    }
    const auto read =
        FromJson(entry.value().value, entry.value().key, snapshot);
    if (!read) {
      return read.as_failure();
    }
    snapshot_version_ = entry.value().version;
    snapshot_sequence_ = snapshot.sequence();
    snapshot_bytes_ = entry.value().value.size();
    return snapshot;
  }

  // A conflict may be caused by an earlier write of the same record whose reply
  // was lost. The operation ID in the stored record shows whether it was.
  result<void> ResolveAppendConflict(const wire::journal_record& record,
                                     std::uint64_t slot,
                                     const std::string& key,
                                     const error& conflict) {
    const auto entry = store_.Get(key);
    if (!entry) {
      return entry.error().code == error_code::kNotFound
                 ? Fail(error_code::kConflict, conflict.message)
                 : entry.as_failure();
    }
    wire::journal_record found;
    const auto read = FromJson(entry.value().value, key, found);
    if (!read) {
      return read.as_failure();
    }
    if (found.operation() != record.operation() ||
        found.sequence() != record.sequence()) {
      return Fail(
          error_code::kConflict,
          "journal slot " + key +
              " was written by another operation: " + found.operation());
    }
    versions_[slot] = entry.value().version;
    return boost::outcome_v2::success();
  }

  result<void> ResolveSnapshotConflict(const wire::cell_snapshot& snapshot,
                                       const error& conflict) {
    const auto found = ReadSnapshot();
    if (!found) {
      return found.as_failure();
    }
    if (found.value().operation() != snapshot.operation()) {
      return Fail(error_code::kConflict, conflict.message);
    }
    return boost::outcome_v2::success();
  }

  store_type& store_;
  const std::string prefix_;
  std::map<std::uint64_t, std::uint64_t> versions_;  // By slot.
  std::uint64_t snapshot_version_ = 0;
  std::uint64_t snapshot_sequence_ = 0;
  std::size_t snapshot_bytes_ = 0;
};

}  // namespace chervilkeel
