// Jobs that callers submit by request: their steps, the queue they belong to,
// and what is kept of them in the store.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "chervilkeel/amount.h"
#include "chervilkeel/clock.h"
#include "chervilkeel/finding.h"
#include "chervilkeel/result.h"

namespace chervilkeel {

// One step of a job: tasks that are alike.
struct job_step {
  std::uint32_t tasks = 0;
  amount size;          // What one task needs.
  millis expected = 0;  // The submitter's rough estimate of a task's run time.
  std::vector<std::uint32_t> after;    // Steps that have to be done before.
  bool gang = false;                   // All tasks start and end together.
  bool one_rack = false;               // A gang that is slower across racks.
  bool checkpoints = false;            // A stop saves the progress.
  bool speculative = false;            // Copies may run side by side.
  bool service = false;                // Runs until the job is cancelled.
  bool filler = false;                 // Uses only cores that are left over.
  std::string required_label;          // Empty: any worker.
  std::string data_rack;               // Slower elsewhere. Empty: anywhere.
  std::uint32_t most_per_worker = 0;   // 0: no limit.
  std::uint32_t tolerated_misses = 0;  // Tasks that may be away at once.
  std::string image;                   // Tasks of one image behave alike.
  millis tail_target = 0;              // Of a service's answers; 0: none.
};

// What a client submits.
struct job_spec {
  std::string payload;  // Handed to the executor as it is.
  std::vector<job_step> steps;
  std::uint32_t repeats = 0;      // 0: runs once, at once.
  std::int64_t first_due_ms = 0;  // Wall clock, since 1970.
  millis repeat_interval = 0;
};

// How the jobs of one queue are treated.
struct queue_policy {
  std::string name;
  std::string service;
  std::uint32_t priority = 0;  // 0 comes first.
  std::uint32_t max_attempts = 3;
  double stretch = 2.0;       // Of the shortest possible run time.
  millis latency_target = 0;  // Added to the stretched run time.
  bool needs_advice = false;  // Only advised workers may run its steps.
};

// A job as it was accepted. Never changes afterwards.
struct job_record {
  std::string id;
  queue_policy queue;            // At the time of its acceptance.
  std::int64_t accepted_ms = 0;  // Wall clock, since 1970.
  job_spec spec;
};

enum class job_state { kQueued, kRunning, kCompleted, kFailed, kCancelled };

struct job_state_name {
  job_state state;
  const char* name;
};

inline constexpr job_state_name kJobStateNames[] = {
    {job_state::kQueued, "queued"},       {job_state::kRunning, "running"},
    {job_state::kCompleted, "completed"}, {job_state::kFailed, "failed"},
    {job_state::kCancelled, "cancelled"},
};

const char* NameOf(job_state state);

// Finds a state by its name; false when there is none.
bool ParseJobState(std::string_view name, job_state& out);

// True for states that never change again.
bool IsFinal(job_state state);

// What has happened to the tasks of one step of one occurrence.
struct step_progress {
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::string done;  // A character a task: '1' once it has ended as done.
  // By task: the runs that failed, as an end may be listed more than once.
  std::map<std::uint32_t, std::set<std::uint64_t>> failed_runs;
  std::map<std::uint32_t, std::string> checkpoints;  // By task.
};

// The durable progress of a job, rewritten whole with each change.
struct job_progress {
  std::string id;
  job_state state = job_state::kQueued;
  std::int64_t ended_ms = 0;  // Wall clock; 0 while the job goes on.
  std::vector<step_progress> steps;
};

// The largest number of tasks that a step may have, and of steps a job.
inline constexpr std::uint32_t kMaxTasksPerStep = 10'000;
inline constexpr std::size_t kMaxSteps = 1'000;

// Checks a submitted job: every finding, with its place.
findings CheckJob(const job_spec& spec, std::size_t max_payload_bytes);

// The length of the longest chain of steps by their estimates; the least time
// that one occurrence of the job can take.
millis CriticalPath(const job_spec& spec);

// The formats of the store. Reading fails with kInvalid and the place.
std::string EncodeJobRecord(const job_record& record);
result<job_record> DecodeJobRecord(const std::string& text);
std::string EncodeJobProgress(const job_progress& progress);
result<job_progress> DecodeJobProgress(const std::string& text);

// A task of a job: ID.OCCURRENCE.STEP.INDEX.
struct task_name {
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  std::string ToString() const;
  auto operator<=>(const task_name&) const = default;
};

// Reads a task's name; false when it isn't one.
bool ParseTaskName(std::string_view text, task_name& out);

}  // namespace chervilkeel
