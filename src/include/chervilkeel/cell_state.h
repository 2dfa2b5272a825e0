// The durable state of a cell: a deterministic state machine driven by journal
// records. Every owner that applies the same records reaches the same state.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "chervilkeel/result.h"
#include "wire/chervilkeel.pb.h"

namespace chervilkeel {

// Returns "job/index#attempt": the name of an attempt in logs and on workers.
std::string NameOf(const wire::task_id& id);

// Returns "job/index": the name of a task, common to all its attempts.
std::string TaskNameOf(const wire::task_id& id);

// Parses a name in the format of NameOf().
result<wire::task_id> ParseTaskId(const std::string& name);

// The number of attempts that ended without completing the task, by cause.
struct interruption_counts {
  std::uint32_t evictions = 0;
  std::uint32_t failures = 0;
  std::uint32_t losses = 0;
};

// A job, its tasks and an index of the tasks by phase.
struct job_entry {
  wire::job_specification specification;
  bool cancelled = false;
  std::string stopped;  // Reason why the job was abandoned; empty otherwise.
  std::vector<wire::task_record> tasks;
  std::set<std::uint32_t> waiting;   // Indices; no agent may run these.
  std::set<std::uint32_t> assigned;  // Indices; one agent may run each.
  std::uint32_t finished = 0;
  // Totals of the finished tasks that were restored from a snapshot, which
  // doesn't hold them one by one.
  interruption_counts snapshot_totals;
  // Attempts are numbered from attempt_base + 1. It is the sequence of the
  // record that accepted the job, so a job that is accepted again after it was
  // dropped never reuses an attempt number.
  std::uint32_t attempt_base = 0;

  // Returns the totals over all tasks.
  interruption_counts Interruptions() const;

  bool Ended() const { return finished == tasks.size(); }
  bool ShouldRun() const { return !cancelled && stopped.empty() && !Ended(); }
};

// Identifies a task of a job, regardless of the attempt.
struct task_key {
  std::string job;
  std::uint32_t index = 0;
  auto operator<=>(const task_key&) const = default;
};

// The state machine. Rejects a record that isn't the successor of the last one,
// and ignores single changes that no longer apply, so that replay is safe.
class cell_state {
 public:
  cell_state() = default;

  // Returns the state stored in a snapshot.
  static cell_state Restore(const wire::cell_snapshot& snapshot);

  // Applies the next record. Returns kConflict if its sequence isn't the next
  // one or its epoch is lower than that of the last record.
  result<void> Apply(const wire::journal_record& record);

  // Returns the whole state as one message.
  wire::cell_snapshot Snapshot() const;

  std::uint64_t Sequence() const { return sequence_; }
  std::uint64_t Epoch() const { return epoch_; }
  // The agent whose process wrote the last record.
  const std::string& Owner() const { return owner_; }
  std::uint64_t ManifestVersion() const { return manifest_version_; }
  const std::map<std::string, job_entry>& Jobs() const { return jobs_; }
  const std::map<std::string, wire::claim_record>& Claims() const {
    return claims_;
  }

  // Returns the total size of the replies stored with claims, in bytes.
  std::size_t StoredAnswerBytes() const { return stored_answer_bytes_; }

  // Returns the tasks assigned to one agent.
  const std::set<task_key>& AssignedTo(const std::string& agent) const;

  // Returns every agent with at least one assigned task.
  std::vector<std::string> AgentsWithAssignments() const;

  // Returns the record of a task, or nullptr if it doesn't exist.
  const wire::task_record* Find(const std::string& job,
                                std::uint32_t index) const;

  // Returns whether this very attempt of the task is assigned.
  bool IsAssigned(const wire::task_id& id) const;

 private:
  void RestoreTask(job_entry& job, const wire::task_record& task);
  void ApplyChange(const wire::cell_change& change);
  void Accept(const wire::job_specification& job, std::uint32_t attempt_base);
  void Assign(const wire::task_assigned& change);
  void Release(const wire::task_released& change);
  void Finish(const wire::task_finished& change);
  void Drop(const std::string& job);
  void Settle(const wire::settlement& settled);
  void ReleaseClaim(const wire::claim_released& change);
  void EraseClaim(const std::string& key);
  void ExpireClaims(std::uint64_t before_ms);
  wire::task_record* FindAttempt(const wire::task_id& id);
  void Unassign(job_entry& job, wire::task_record& task);

  std::uint64_t sequence_ = 0;
  std::uint64_t epoch_ = 0;
  std::uint64_t manifest_version_ = 0;
  std::string owner_;
  std::map<std::string, job_entry> jobs_;
  std::map<std::string, std::set<task_key>> assigned_to_;
  std::map<std::string, wire::claim_record> claims_;
  std::size_t stored_answer_bytes_ = 0;
};

}  // namespace chervilkeel
