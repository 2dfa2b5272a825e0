#include "chervilkeel/cell_state.h"

#include <algorithm>
#include <charconv>

namespace chervilkeel {

namespace {

bool ParseNumber(std::string_view text, std::uint32_t& number) {
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  return !text.empty() && parsed.ec == std::errc() && parsed.ptr == end;
}

void RestoreFinished(const wire::job_record& record, job_entry& job) {
  const auto& ranges = record.finished_ranges();
  for (int i = 0; i + 1 < ranges.size(); i += 2) {
    for (std::uint32_t index = ranges[i];
         index < ranges[i] + ranges[i + 1] && index < job.tasks.size();
         ++index) {
      job.tasks[index].set_phase(wire::phase_finished);
      job.waiting.erase(index);
      ++job.finished;
    }
  }
  job.snapshot_totals = {record.finished_evictions(),
                         record.finished_failures(), record.finished_losses()};
}

// Adds a finished task to the index ranges (start, length) and the totals of
// its job's record, which hold finished tasks in compact form.
void AddFinished(const wire::task_record& task, wire::job_record& record) {
  auto& ranges = *record.mutable_finished_ranges();
  const int size = ranges.size();
  if (size >= 2 && ranges[size - 2] + ranges[size - 1] == task.index()) {
    ranges[size - 1] += 1;
  } else {
    ranges.Add(task.index());
    ranges.Add(1);
  }
  record.set_finished_evictions(record.finished_evictions() + task.evictions());
  record.set_finished_failures(record.finished_failures() + task.failures());
  record.set_finished_losses(record.finished_losses() + task.losses());
}

}  // namespace

std::string TaskNameOf(const wire::task_id& id) {
  return id.job() + "/" + std::to_string(id.index());
}

std::string NameOf(const wire::task_id& id) {
  return TaskNameOf(id) + "#" + std::to_string(id.attempt());
}

result<wire::task_id> ParseTaskId(const std::string& name) {
  const auto hash = name.rfind('#');
  const auto slash = hash == std::string::npos ? hash : name.rfind('/', hash);
  std::uint32_t index = 0;
  std::uint32_t attempt = 0;
  if (slash == std::string::npos ||
      !ParseNumber(std::string_view(name).substr(slash + 1, hash - slash - 1),
                   index) ||
      !ParseNumber(std::string_view(name).substr(hash + 1), attempt)) {
    return Fail(error_code::kInvalid,
                "\"" + name + "\" is not a task attempt name");
  }
  wire::task_id id;
  id.set_job(name.substr(0, slash));
  id.set_index(index);
  id.set_attempt(attempt);
  return id;
}

interruption_counts job_entry::Interruptions() const {
  interruption_counts sum = snapshot_totals;
  for (const auto& task : tasks) {
    sum.evictions += task.evictions();
    sum.failures += task.failures();
    sum.losses += task.losses();
  }
  return sum;
}

void cell_state::RestoreTask(job_entry& job, const wire::task_record& task) {
  job.tasks[task.index()] = task;
  if (task.phase() == wire::phase_assigned) {
    job.waiting.erase(task.index());
    job.assigned.insert(task.index());
    assigned_to_[task.agent()].insert({job.specification.name(), task.index()});
  }
}

cell_state cell_state::Restore(const wire::cell_snapshot& snapshot) {
  cell_state state;
  state.sequence_ = snapshot.sequence();
  state.epoch_ = snapshot.epoch();
  state.manifest_version_ = snapshot.manifest_version();
  state.owner_ = snapshot.owner();
  for (const auto& record : snapshot.jobs()) {
    state.Accept(record.job(), record.attempt_base());
    job_entry& job = state.jobs_[record.job().name()];
    job.cancelled = record.cancelled();
    job.stopped = record.stopped();
    for (const auto& task : record.tasks()) {
      if (task.index() < job.tasks.size()) {
        state.RestoreTask(job, task);
      }
    }
    RestoreFinished(record, job);
  }
  for (const auto& claim : snapshot.claims()) {
    state.claims_[claim.key()] = claim;
    state.stored_answer_bytes_ += claim.settled().body().size();
  }
  return state;
}

result<void> cell_state::Apply(const wire::journal_record& record) {
  if (record.sequence() != sequence_ + 1) {
    return Fail(error_code::kConflict,
                "journal record " + std::to_string(record.sequence()) +
                    " does not follow record " + std::to_string(sequence_));
  }
  if (record.epoch() < epoch_) {
    return Fail(error_code::kConflict,
                "journal record " + std::to_string(record.sequence()) +
                    " has epoch " + std::to_string(record.epoch()) +
                    ", lower than the current epoch " + std::to_string(epoch_));
  }
  sequence_ = record.sequence();
  epoch_ = record.epoch();
  owner_ = record.owner();
  for (const auto& change : record.changes()) {
    ApplyChange(change);
  }
  return boost::outcome_v2::success();
}

void cell_state::ApplyChange(const wire::cell_change& change) {
  switch (change.change_case()) {
    case wire::cell_change::kAccepted:
      Accept(change.accepted().job(), static_cast<std::uint32_t>(sequence_));
      break;
    case wire::cell_change::kCancelled:
      if (const auto job = jobs_.find(change.cancelled().job());
          job != jobs_.end()) {
        job->second.cancelled = true;
      }
      break;
    case wire::cell_change::kStopped:
      if (const auto job = jobs_.find(change.stopped().job());
          job != jobs_.end()) {
        job->second.stopped = change.stopped().reason();
      }
      break;
    case wire::cell_change::kDropped:
      Drop(change.dropped().job());
      break;
    case wire::cell_change::kAssigned:
      Assign(change.assigned());
      break;
    case wire::cell_change::kReleased:
      Release(change.released());
      break;
    case wire::cell_change::kFinished:
      Finish(change.finished());
      break;
    case wire::cell_change::kClaimed: {
      wire::claim_record claim;
      claim.set_key(change.claimed().key());
      claim.set_request_id(change.claimed().request_id());
      claim.set_service(change.claimed().service());
      claim.set_at_ms(change.claimed().at_ms());
      claims_.emplace(claim.key(), claim);
      break;
    }
    case wire::cell_change::kSettled:
      Settle(change.settled());
      break;
    case wire::cell_change::kUnclaimed:
      ReleaseClaim(change.unclaimed());
      break;
    case wire::cell_change::kExpired:
      ExpireClaims(change.expired().before_ms());
      break;
    case wire::cell_change::kManifest:
      manifest_version_ = change.manifest().version();
      break;
    case wire::cell_change::CHANGE_NOT_SET:
      break;
  }
}

void cell_state::Accept(const wire::job_specification& job,
                        std::uint32_t attempt_base) {
  const auto [at, added] = jobs_.try_emplace(job.name());
  if (!added) {
    return;
  }
  at->second.specification = job;
  at->second.attempt_base = attempt_base;
  at->second.tasks.resize(job.tasks());
  for (std::uint32_t index = 0; index < job.tasks(); ++index) {
    at->second.tasks[index].set_index(index);
    at->second.tasks[index].set_attempt(attempt_base);
    at->second.waiting.insert(at->second.waiting.end(), index);
  }
}

void cell_state::Assign(const wire::task_assigned& change) {
  const auto job = jobs_.find(change.id().job());
  if (job == jobs_.end() ||
      job->second.waiting.count(change.id().index()) == 0) {
    return;
  }
  wire::task_record& task = job->second.tasks[change.id().index()];
  if (change.id().attempt() != task.attempt() + 1) {
    return;
  }
  task.set_phase(wire::phase_assigned);
  task.set_attempt(change.id().attempt());
  task.set_agent(change.agent());
  task.set_worker_instance(change.worker_instance());
  task.set_worker_address(change.worker_address());
  job->second.waiting.erase(task.index());
  job->second.assigned.insert(task.index());
  assigned_to_[change.agent()].insert({change.id().job(), task.index()});
}

wire::task_record* cell_state::FindAttempt(const wire::task_id& id) {
  if (!IsAssigned(id)) {
    return nullptr;
  }
  return &jobs_[id.job()].tasks[id.index()];
}

void cell_state::Unassign(job_entry& job, wire::task_record& task) {
  const auto holder = assigned_to_.find(task.agent());
  holder->second.erase({job.specification.name(), task.index()});
  if (holder->second.empty()) {
    assigned_to_.erase(holder);
  }
  job.assigned.erase(task.index());
  task.clear_agent();
  task.clear_worker_instance();
  task.clear_worker_address();
}

void cell_state::Release(const wire::task_released& change) {
  wire::task_record* task = FindAttempt(change.id());
  if (!task) {
    return;
  }
  job_entry& job = jobs_[change.id().job()];
  const std::string agent = task->agent();
  Unassign(job, *task);
  task->set_phase(wire::phase_waiting);
  job.waiting.insert(task->index());
  if (!change.checkpoint().empty()) {
    task->set_checkpoint(change.checkpoint());
    task->set_progress_ms(change.progress_ms());
  }
  switch (change.cause()) {
    case wire::release_evicted:
      task->set_evictions(task->evictions() + 1);
      break;
    case wire::release_failed:
      task->set_failures(task->failures() + 1);
      if (std::count(task->failed_on().begin(), task->failed_on().end(),
                     agent) == 0) {
        task->add_failed_on(agent);
      }
      break;
    case wire::release_lost:
      task->set_losses(task->losses() + 1);
      break;
    default:
      break;
  }
}

void cell_state::Finish(const wire::task_finished& change) {
  wire::task_record* task = FindAttempt(change.id());
  if (!task) {
    return;
  }
  job_entry& job = jobs_[change.id().job()];
  Unassign(job, *task);
  task->set_phase(wire::phase_finished);
  task->clear_checkpoint();
  ++job.finished;
}

void cell_state::Drop(const std::string& name) {
  const auto job = jobs_.find(name);
  if (job != jobs_.end() && job->second.assigned.empty()) {
    jobs_.erase(job);
  }
}

void cell_state::Settle(const wire::settlement& settled) {
  const auto claim = claims_.find(settled.key());
  if (claim != claims_.end() &&
      claim->second.request_id() == settled.request_id()) {
    stored_answer_bytes_ -= claim->second.settled().body().size();
    stored_answer_bytes_ += settled.body().size();
    *claim->second.mutable_settled() = settled;
  }
}

// A record of an earlier release names no request. It frees the key whoever
// holds it, as it did then: later records rely on that.
void cell_state::ReleaseClaim(const wire::claim_released& change) {
  const auto claim = claims_.find(change.key());
  if (claim != claims_.end() &&
      (change.request_id().empty() ||
       claim->second.request_id() == change.request_id())) {
    EraseClaim(change.key());
  }
}

void cell_state::EraseClaim(const std::string& key) {
  const auto claim = claims_.find(key);
  if (claim != claims_.end()) {
    stored_answer_bytes_ -= claim->second.settled().body().size();
    claims_.erase(claim);
  }
}

void cell_state::ExpireClaims(std::uint64_t before_ms) {
  std::vector<std::string> expired;
  for (const auto& [key, claim] : claims_) {
    if (claim.at_ms() < before_ms) {
      expired.push_back(key);
    }
  }
  for (const std::string& key : expired) {
    EraseClaim(key);
  }
}

wire::cell_snapshot cell_state::Snapshot() const {
  wire::cell_snapshot snapshot;
  snapshot.set_sequence(sequence_);
  snapshot.set_epoch(epoch_);
  snapshot.set_manifest_version(manifest_version_);
  snapshot.set_owner(owner_);
  for (const auto& [name, job] : jobs_) {
    auto* record = snapshot.add_jobs();
    *record->mutable_job() = job.specification;
    record->set_cancelled(job.cancelled);
    record->set_stopped(job.stopped);
    record->set_attempt_base(job.attempt_base);
    record->set_finished_evictions(job.snapshot_totals.evictions);
    record->set_finished_failures(job.snapshot_totals.failures);
    record->set_finished_losses(job.snapshot_totals.losses);
    for (const auto& task : job.tasks) {
      if (task.phase() == wire::phase_finished) {
        AddFinished(task, *record);
      } else if (task.attempt() > job.attempt_base) {
        *record->add_tasks() = task;
      }
    }
  }
  for (const auto& [key, claim] : claims_) {
    *snapshot.add_claims() = claim;
  }
  return snapshot;
}

const std::set<task_key>& cell_state::AssignedTo(
    const std::string& agent) const {
  static const std::set<task_key> kNone;
  const auto found = assigned_to_.find(agent);
  return found == assigned_to_.end() ? kNone : found->second;
}

std::vector<std::string> cell_state::AgentsWithAssignments() const {
  std::vector<std::string> agents;
  for (const auto& [agent, tasks] : assigned_to_) {
    agents.push_back(agent);
  }
  return agents;
}

const wire::task_record* cell_state::Find(const std::string& job,
                                          std::uint32_t index) const {
  const auto found = jobs_.find(job);
  if (found == jobs_.end() || index >= found->second.tasks.size()) {
    return nullptr;
  }
  return &found->second.tasks[index];
}

bool cell_state::IsAssigned(const wire::task_id& id) const {
  const wire::task_record* task = Find(id.job(), id.index());
  return task && task->phase() == wire::phase_assigned &&
         task->attempt() == id.attempt();
}

}  // namespace chervilkeel
