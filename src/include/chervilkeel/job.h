// Jobs that clients submit through the API: their steps, the policy of their
// queue, and the formats in which the store holds them.
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

// One step of a job: a set of identical tasks.
struct job_step {
  std::uint32_t tasks = 0;
  amount size;          // Resources that one task needs.
  millis expected = 0;  // The submitter's rough estimate of a task's run time.
  std::vector<std::uint32_t> after;  // Indices of steps to complete first.
  bool gang = false;                 // All tasks start and end together.
  bool one_rack = false;             // Gang that runs slower across racks.
  bool checkpoints = false;          // Stopping a task saves its progress.
  bool speculative = false;          // Speculative copies are allowed.
  bool service = false;              // Runs until the job is cancelled.
  // Best-effort: uses cores that services reserve but leave idle.
  bool filler = false;
  std::string required_label;         // Empty: any worker.
  std::string data_rack;              // Slower in other racks. Empty: any.
  std::uint32_t most_per_worker = 0;  // 0: no limit.
  // Tasks that may be unavailable at the same time.
  std::uint32_t tolerated_misses = 0;
  std::string image;       // Tasks of one image share interference estimates.
  millis tail_target = 0;  // Tail latency target of a service; 0: none.
};

// What a client submits.
struct job_spec {
  std::string payload;  // Passed to the executor unchanged.
  std::vector<job_step> steps;
  std::uint32_t repeats = 0;      // 0: runs once, immediately.
  std::int64_t first_due_ms = 0;  // Wall clock, since 1970.
  millis repeat_interval = 0;
};

// The scheduling policy for the jobs of one queue.
struct queue_policy {
  std::string name;
  std::string service;
  std::uint32_t priority = 0;  // 0 is the highest.
  std::uint32_t max_attempts = 3;
  // A job is due after `stretch` times its critical path plus the target.
  double stretch = 2.0;
  millis latency_target = 0;
  bool needs_advice = false;  // Only advised workers may run its steps.
};

// A job as it was accepted; immutable.
struct job_record {
  std::string id;
  queue_policy queue;            // The policy when the job was accepted.
  std::int64_t accepted_ms = 0;  // Wall clock, since 1970.
  // The newest epoch in the store when the job was stored. Owners of earlier
  // epochs never start the job.
  std::uint64_t epoch = 0;
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

// Looks up a state by its name. Returns false for an unknown name.
bool ParseJobState(std::string_view name, job_state& out);

// Returns true for the terminal states: completed, failed and cancelled.
bool IsFinal(job_state state);

// The progress of one step in one occurrence of a job.
struct step_progress {
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::string done;  // One character per task: '1' when it has completed.
  // Numbers of the failed runs by task. A set, since the end of one run may be
  // reported more than once.
  std::map<std::uint32_t, std::set<std::uint64_t>> failed_runs;
  // Numbers of the runs that may have crashed their executors, by task: right
  // after their start, and later.
  std::map<std::uint32_t, std::set<std::uint64_t>> crashed_runs;
  std::map<std::uint32_t, std::set<std::uint64_t>> late_crashed_runs;
  // The highest run of a task that has cleared it of such crashes.
  std::map<std::uint32_t, std::uint64_t> proven_runs;
  std::map<std::uint32_t, std::string> checkpoints;  // By task.
};

// The durable progress of a job. Each change rewrites the whole value.
struct job_progress {
  std::string id;
  job_state state = job_state::kQueued;
  std::int64_t ended_ms = 0;  // Wall clock; 0 until the job ends.
  std::vector<step_progress> steps;
};

// Limits on the tasks of a step, the steps of a job and the tasks of one
// occurrence of a job.
inline constexpr std::uint32_t kMaxTasksPerStep = 10'000;
inline constexpr std::size_t kMaxSteps = 1'000;
inline constexpr std::uint64_t kMaxTasksPerJob = 1'000'000;
// A refusal names no more: a body of legal size can hold a hundred thousand.
inline constexpr std::size_t kMaxFindings = 20;

// Validates a submitted job. Returns every violation and its location, not
// just the first one.
findings CheckJob(const job_spec& spec, std::size_t max_payload_bytes);

// Drops what a job that has ended does not need: the payload, and what is said
// of the steps apart from their tasks and sizes.
void DropDetails(job_spec& spec);

// Returns the estimated duration of the longest chain of dependent steps: the
// minimum time that one occurrence of the job takes.
millis CriticalPath(const job_spec& spec);

// Returns for each step the estimated duration of the longest chain of
// dependent steps that begins with it.
std::vector<millis> RemainingPaths(const job_spec& spec);

// Returns for each step the first one that needs the same of a worker.
std::vector<std::uint32_t> FirstAlike(const job_spec& spec);

// Convert between values and their JSON form in the store. Decoding malformed
// text returns kInvalid and a message that names the kind of value.
std::string EncodeJobRecord(const job_record& record);
result<job_record> DecodeJobRecord(const std::string& text);
std::string EncodeJobProgress(const job_progress& progress);
result<job_progress> DecodeJobProgress(const std::string& text);

// Identifies a step in an occurrence of a job, written as JOB.OCCURRENCE.STEP.
struct step_name {
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  std::string ToString() const;
  auto operator<=>(const step_name&) const = default;
};

// Identifies a task of a job, written as JOB.OCCURRENCE.STEP.INDEX.
struct task_name {
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  step_name Step() const { return {job, occurrence, step}; }
  std::string ToString() const;
  auto operator<=>(const task_name&) const = default;
};

// Parses a task name. Returns false for malformed text.
bool ParseTaskName(std::string_view text, task_name& out);

}  // namespace chervilkeel
