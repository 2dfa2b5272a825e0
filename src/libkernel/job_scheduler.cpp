// Jobs, their progress and its storage.
#include "chervilkeel/job_scheduler.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace chervilkeel {

job_scheduler::job_scheduler(scheduler_options options, millis now)
    : options_(std::move(options)), former_may_act_(options_.former_may_act) {
  next_pace_update_ = now;
}

void job_scheduler::Emit(const char* event,
                         const std::string& subject,
                         const std::string& worker,
                         const std::string& detail) const {
  if (on_event) {
    on_event({event, subject, worker, detail});
  }
}

void job_scheduler::Restore(std::vector<job_record> records,
                            const std::vector<job_progress>& progress,
                            const std::set<std::string>& cancelled,
                            const std::set<std::string>& members,
                            millis now) {
  durable_members_ = members;
  wanted_members_ = members;
  former_members_ = members.size();
  const auto max_lease =
      static_cast<millis>(static_cast<double>(options_.longest_lease) *
                          (1.0 + options_.clock_drift));
  for (const std::string& agent : members) {
    unreported_members_[agent] = now + max_lease + options_.grant_margin;
  }
  std::map<std::string, const job_progress*> by_id;
  for (const job_progress& entry : progress) {
    by_id[entry.id] = &entry;
  }
  for (job_record& record : records) {
    const std::string id = record.id;
    AddJob(std::move(record), now);
    const auto added = jobs_.find(id);
    if (added == jobs_.end()) {
      continue;  // Stored under a later epoch.
    }
    scheduled_job& job = added->second;
    const auto found = by_id.find(id);
    if (found != by_id.end()) {
      RestoreProgress(job, *found->second);
    }
    if (!IsFinal(job.state) && cancelled.count(id) != 0) {
      EndJob(job, job_state::kCancelled);
    }
    for (const auto& [number, occurrence] : job.occurrences) {
      UpdateReadiness(job, number, now);
    }
  }
}

void job_scheduler::RaiseEpoch(std::uint64_t epoch) {
  options_.epoch = epoch;
  for (auto& [agent, worker] : workers_) {
    worker.has_forgotten_orders = true;
  }
}

void job_scheduler::RestoreProgress(scheduled_job& job,
                                    const job_progress& progress) {
  job.ended_ms = progress.ended_ms;
  if (IsFinal(progress.state)) {
    job.state = progress.state;
    job.end_is_durable = true;
    active_jobs_.erase(job.record.id);
    repeating_jobs_.erase(job.record.id);
    DropWork(job);
    return;
  }
  for (const step_progress& saved : progress.steps) {
    OpenOccurrences(job, saved.occurrence);
    scheduled_occurrence& occurrence = job.occurrences.at(saved.occurrence);
    if (saved.step >= occurrence.steps.size()) {
      continue;
    }
    scheduled_step& step = occurrence.steps[saved.step];
    const auto tasks = static_cast<std::uint32_t>(
        std::min(saved.done.size(), step.tasks.Size()));
    for (std::uint32_t i = 0; i < tasks; ++i) {
      if (saved.done[i] == '1' && !job.record.spec.steps[saved.step].service) {
        step.tasks.SetDone(i);
        ++job.done_tasks;
        ++job.begun_runs;
      }
    }
    for (const auto& [index, runs] : saved.failed_runs) {
      if (index < step.tasks.Size()) {
        step.tasks.Track(index).failed_runs = runs;
        job.begun_runs += runs.size();
      }
    }
    for (const auto& [index, runs] : saved.crashed_runs) {
      if (index < step.tasks.Size()) {
        scheduled_task& task = step.tasks.Track(index);
        task.crashed_runs = runs;
        task.is_suspect = true;
      }
    }
    for (const auto& [index, run] : saved.proven_runs) {
      if (index < step.tasks.Size()) {
        step.tasks.Track(index).proven_run = run;
        ++job.begun_runs;
      }
    }
    for (const auto& [index, runs] : saved.late_crashed_runs) {
      if (index < step.tasks.Size()) {
        step.tasks.Track(index).late_crashed_runs = runs;
        job.begun_runs += runs.size();
      }
    }
    for (const auto& [index, checkpoint] : saved.checkpoints) {
      if (index < step.tasks.Size()) {
        step.tasks.Track(index).checkpoint = checkpoint;
        ++job.begun_runs;
      }
    }
    if (step.tasks.IsComplete()) {
      ++occurrence.steps_done;
    }
  }
  for (const auto& [number, occurrence] : job.occurrences) {
    if (occurrence.steps_done == occurrence.steps.size()) {
      ++job.occurrences_done;
    }
  }
  if (job.begun_runs > 0) {
    job.state = job_state::kRunning;
  }
}

void job_scheduler::SetConfig(scheduling_config config) {
  if (config.version <= config_.version) {
    return;
  }
  config_ = std::move(config);
  placement_requested_ = true;
  for (const std::string& id : active_jobs_) {
    scheduled_job& job = jobs_.at(id);
    const auto queue = config_.queues.find(job.record.queue.name);
    if (queue != config_.queues.end()) {
      job.policy = queue->second;
    }
  }
}

void job_scheduler::AddJob(job_record added, millis now) {
  if (jobs_.count(added.id) != 0 || HasExpired(added.id)) {
    return;
  }
  if (added.epoch > options_.epoch) {
    Emit("job_of_later_epoch", added.id, "",
         "epoch=" + std::to_string(options_.epoch) +
             " job_epoch=" + std::to_string(added.epoch));
    return;
  }
  scheduled_job& job = jobs_[added.id];
  job.record = std::move(added);
  const job_record& record = job.record;
  job.may_have_former_runs = record.epoch < options_.epoch;
  job.added_at = now;
  job.critical_path = CriticalPath(record.spec);
  job.remaining_paths = RemainingPaths(record.spec);
  job.first_alike = FirstAlike(record.spec);
  // A job whose queue was removed keeps the policy it was accepted under.
  const auto queue = config_.queues.find(record.queue.name);
  job.policy = queue != config_.queues.end() ? queue->second : record.queue;
  active_jobs_.insert(record.id);
  placement_requested_ = true;
  if (record.spec.repeats > 0) {
    repeating_jobs_.insert(record.id);
  } else {
    OpenOccurrences(job, 0);
    UpdateReadiness(job, 0, now);
  }
  std::uint64_t tasks = 0;
  std::int64_t milli_processors = 0;
  for (const job_step& step : record.spec.steps) {
    tasks += step.tasks;
    milli_processors += step.tasks * step.size.milli_processors;
    job.total_work += static_cast<double>(step.tasks) *
                      static_cast<double>(step.size.milli_processors) *
                      static_cast<double>(step.expected);
  }
  work_mean& mean = mean_work_[record.queue.name];
  mean.sum += job.total_work;
  mean.jobs += 1;
  Emit("job_added", record.id, "",
       "queue=" + record.queue.name +
           " steps=" + std::to_string(record.spec.steps.size()) +
           " tasks=" + std::to_string(tasks) +
           " milli_processors=" + std::to_string(milli_processors) +
           " path_ms=" + std::to_string(job.critical_path));
}

void job_scheduler::OpenOccurrences(scheduled_job& job, std::uint32_t last) {
  while (job.next_occurrence <= last) {
    OpenOccurrence(job, job.next_occurrence++);
  }
}

void job_scheduler::OpenOccurrence(scheduled_job& job, std::uint32_t number) {
  scheduled_occurrence& occurrence = job.occurrences[number];
  occurrence.steps.resize(job.record.spec.steps.size());
  for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
    task_table& tasks = occurrence.steps[i].tasks;
    tasks.Resize(job.record.spec.steps[i].tasks);
    if (job.may_have_former_runs && !unreported_members_.empty()) {
      tasks.SetPossiblyRunning();
    }
  }
}

// Opens the occurrences that are due. Due times are wall-clock times, as their
// submitter gave them.
void job_scheduler::OpenDueOccurrences(std::int64_t wall_ms, millis now) {
  for (const std::string& id : repeating_jobs_) {
    scheduled_job& job = jobs_.at(id);
    const job_spec& spec = job.record.spec;
    const auto is_due = [&](std::uint32_t number) {
      const std::int64_t since_first =
          wall_ms - options_.due_time_tolerance -
          std::max<std::int64_t>(spec.first_due_ms, 0);
      return number == 0 ? since_first >= 0
                         : since_first >= 0 &&
                               spec.repeat_interval <= since_first / number;
    };
    while (job.next_occurrence < spec.repeats &&
           job.next_occurrence - job.occurrences_done < kMaxOpenOccurrences &&
           is_due(job.next_occurrence)) {
      const std::uint32_t number = job.next_occurrence;
      OpenOccurrences(job, number);
      UpdateReadiness(job, number, now);
    }
  }
}

void job_scheduler::UpdateReadiness(scheduled_job& job,
                                    std::uint32_t number,
                                    millis now) {
  scheduled_occurrence& occurrence = job.occurrences.at(number);
  for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
    scheduled_step& step = occurrence.steps[i];
    if (step.ready) {
      continue;
    }
    const auto& after = job.record.spec.steps[i].after;
    step.ready = std::all_of(after.begin(), after.end(), [&](auto other) {
      return occurrence.steps[other].tasks.IsComplete();
    });
    if (step.ready) {
      job.has_waiting_tasks = true;
      placement_requested_ = true;
      step.tasks.SetReadySince(now);
    }
  }
}

const scheduled_task* job_scheduler::PeekTask(const task_name& key) const {
  const auto job = jobs_.find(key.job);
  if (job == jobs_.end()) {
    return nullptr;
  }
  const auto occurrence = job->second.occurrences.find(key.occurrence);
  if (occurrence == job->second.occurrences.end() ||
      key.step >= occurrence->second.steps.size()) {
    return nullptr;
  }
  const task_table& tasks = occurrence->second.steps[key.step].tasks;
  return key.index < tasks.Size() ? &tasks[key.index] : nullptr;
}

scheduled_task* job_scheduler::FindTask(const task_name& key) {
  const auto job = jobs_.find(key.job);
  if (job == jobs_.end()) {
    return nullptr;
  }
  const auto occurrence = job->second.occurrences.find(key.occurrence);
  if (occurrence == job->second.occurrences.end() ||
      key.step >= occurrence->second.steps.size()) {
    return nullptr;
  }
  task_table& tasks = occurrence->second.steps[key.step].tasks;
  if (key.index >= tasks.Size()) {
    return nullptr;
  }
  scheduled_task& task = tasks.Track(key.index);
  if (task.done && task.runs.empty()) {
    finished_tasks_.insert(key);
  }
  return &task;
}

scheduled_task* job_scheduler::FindOrOpenTask(const task_name& key,
                                              millis now) {
  const auto found = jobs_.find(key.job);
  if (found != jobs_.end() && IsFinal(found->second.state)) {
    scheduled_job& job = found->second;
    if (key.occurrence < std::max(job.record.spec.repeats, 1U) &&
        job.occurrences.count(key.occurrence) == 0) {
      OpenOccurrence(job, key.occurrence);
    }
    return FindTask(key);
  }
  if (found != jobs_.end() &&
      key.occurrence < found->second.record.spec.repeats &&
      key.occurrence < found->second.next_occurrence + kMaxOccurrenceLead) {
    scheduled_job& job = found->second;
    const std::uint32_t first = job.next_occurrence;
    OpenOccurrences(job, key.occurrence);
    for (std::uint32_t i = first; i < job.next_occurrence; ++i) {
      UpdateReadiness(job, i, now);
    }
  }
  return FindTask(key);
}

void job_scheduler::MarkDone(scheduled_job& job,
                             const task_name& key,
                             millis now) {
  scheduled_occurrence& occurrence = job.occurrences.at(key.occurrence);
  scheduled_step& step = occurrence.steps[key.step];
  if (step.tasks.IsDone(key.index)) {
    return;
  }
  step.tasks.SetDone(key.index);
  ++job.done_tasks;
  dirty_.insert(key.job);
  const auto tracked = step.tasks.Tracked().find(key.index);
  if (tracked != step.tasks.Tracked().end()) {
    scheduled_task& task = tracked->second;
    task.checkpoint.clear();
    for (task_run& run : task.runs) {
      OrderStop(key, run, "another copy is done");
    }
    finished_tasks_.insert(key);
  }
  if (!step.tasks.IsComplete()) {
    return;
  }
  ++occurrence.steps_done;
  if (occurrence.steps_done < occurrence.steps.size()) {
    UpdateReadiness(job, key.occurrence, now);
    return;
  }
  ++job.occurrences_done;
  if (job.occurrences_done >= std::max(job.record.spec.repeats, 1U)) {
    EndJob(job, job_state::kCompleted);
  }
}

void job_scheduler::NoteBegun(scheduled_job& job, task_run& run) {
  if (std::exchange(run.has_begun, true)) {
    return;
  }
  ++job.begun_runs;
  if (job.state == job_state::kQueued) {
    job.state = job_state::kRunning;
  }
}

void job_scheduler::EndJob(scheduled_job& job, job_state state) {
  job.state = state;
  active_jobs_.erase(job.record.id);
  repeating_jobs_.erase(job.record.id);
  dirty_.insert(job.record.id);
  StopAllRuns(job, NameOf(state));
  Emit("job_ended", job.record.id, "",
       std::string("state=") + NameOf(state) +
           " done_tasks=" + std::to_string(job.done_tasks) +
           " begun_runs=" + std::to_string(job.begun_runs) + " objective_ms=" +
           std::to_string(static_cast<millis>(ObjectiveOf(job))) +
           " waited_ms=" + std::to_string(job.waited) +
           " throttled_ms=" + std::to_string(job.throttled) +
           " moves=" + std::to_string(job.moves));
}

void job_scheduler::StopAllRuns(scheduled_job& job, const char* reason) {
  for (auto& [number, occurrence] : job.occurrences) {
    for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
      for (auto& [i, task] : occurrence.steps[s].tasks.Tracked()) {
        for (task_run& run : task.runs) {
          OrderStop({job.record.id, number, s, i}, run, reason);
        }
      }
    }
  }
}

bool job_scheduler::CancelJob(const std::string& id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    return false;
  }
  if (!IsFinal(found->second.state)) {
    EndJob(found->second, job_state::kCancelled);
  }
  return true;
}

void job_scheduler::RemoveUnknownJob(const std::string& id) {
  if (jobs_.count(id) == 0 && !HasExpired(id)) {
    expired_jobs_.push_back(id);
  }
}

job_progress job_scheduler::ProgressOf(const scheduled_job& job,
                                       std::int64_t wall_ms) const {
  job_progress progress;
  progress.id = job.record.id;
  progress.state = job.state;
  if (IsFinal(job.state)) {
    progress.ended_ms = job.ended_ms == 0 ? wall_ms : job.ended_ms;
    return progress;
  }
  for (const auto& [number, occurrence] : job.occurrences) {
    for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
      const scheduled_step& step = occurrence.steps[s];
      step_progress saved;
      saved.occurrence = number;
      saved.step = s;
      for (const auto& [i, task] : step.tasks.Tracked()) {
        if (!task.failed_runs.empty() && !task.done) {
          saved.failed_runs[i] = task.failed_runs;
        }
        if (!task.crashed_runs.empty() && !task.done) {
          saved.crashed_runs[i] = task.crashed_runs;
        }
        if (!task.late_crashed_runs.empty() && !task.done) {
          saved.late_crashed_runs[i] = task.late_crashed_runs;
        }
        if (task.proven_run != 0 && !task.done) {
          saved.proven_runs[i] = task.proven_run;
        }
        if (!task.checkpoint.empty()) {
          saved.checkpoints[i] = task.checkpoint;
        }
      }
      if (step.tasks.DoneCount() > 0 || !saved.failed_runs.empty() ||
          !saved.crashed_runs.empty() || !saved.late_crashed_runs.empty() ||
          !saved.proven_runs.empty() || !saved.checkpoints.empty()) {
        saved.done = step.tasks.DoneText();
        progress.steps.push_back(std::move(saved));
      }
    }
  }
  return progress;
}

void job_scheduler::ReleaseFinishedTasks() {
  for (const task_name& key : std::exchange(finished_tasks_, {})) {
    const auto job = jobs_.find(key.job);
    if (job == jobs_.end()) {
      continue;
    }
    const auto occurrence = job->second.occurrences.find(key.occurrence);
    if (occurrence != job->second.occurrences.end()) {
      occurrence->second.steps[key.step].tasks.ReleaseDone(key.index);
    }
  }
}

bool job_scheduler::HasExpired(const std::string& id) const {
  const auto names_it = [&](const std::vector<std::string>& ids) {
    return std::find(ids.begin(), ids.end(), id) != ids.end();
  };
  return names_it(expired_jobs_) || names_it(committing_expired_jobs_) ||
         removed_jobs_.count(id) != 0;
}

void job_scheduler::ExpireEndedJobs(std::int64_t wall_ms) {
  for (auto job = jobs_.begin(); job != jobs_.end();) {
    if (job->second.end_is_durable && !HasRuns(job->second) &&
        !job->second.occurrences.empty()) {
      DropWork(job->second);
    }
    if (job->second.end_is_durable && job->second.ended_ms > 0 &&
        wall_ms - job->second.ended_ms > options_.retention &&
        !HasRuns(job->second)) {
      expired_jobs_.push_back(job->first);
      job = jobs_.erase(job);
    } else {
      ++job;
    }
  }
}

void job_scheduler::DropWork(scheduled_job& job) {
  job.occurrences.clear();
  DropDetails(job.record.spec);
}

bool job_scheduler::HasNewMembers() const {
  return !former_may_act_ &&
         (durable_members_ != wanted_members_ || !doubtful_members_.empty());
}

bool job_scheduler::HasChanges() const {
  return !committing_ &&
         (!dirty_.empty() || !expired_jobs_.empty() || HasNewMembers());
}

std::optional<durable_changes> job_scheduler::TakeChanges(
    std::int64_t wall_ms) {
  if (!HasChanges()) {
    return std::nullopt;
  }
  durable_changes changes;
  changes.number = ++commit_number_;
  committing_ended_jobs_.clear();
  for (const std::string& id : dirty_) {
    const auto job = jobs_.find(id);
    if (job != jobs_.end()) {
      changes.progress.push_back(ProgressOf(job->second, wall_ms));
      if (IsFinal(job->second.state)) {
        committing_ended_jobs_[id] = changes.progress.back().ended_ms;
      }
    }
  }
  dirty_.clear();
  changes.expired_jobs = std::exchange(expired_jobs_, {});
  committing_expired_jobs_ = changes.expired_jobs;
  is_committing_members_ = HasNewMembers();
  if (is_committing_members_) {
    changes.members = wanted_members_;
    std::set_difference(
        durable_members_.begin(), durable_members_.end(),
        wanted_members_.begin(), wanted_members_.end(),
        std::inserter(doubtful_members_, doubtful_members_.end()));
    committing_members_ = wanted_members_;
  } else {
    committing_members_ = durable_members_;
  }
  committing_ = changes.number;
  committing_ends_.clear();
  for (const auto& [agent, worker] : workers_) {
    committing_ends_[agent] = {worker.description.boot,
                               worker.last_received_end};
  }
  return changes;
}

void job_scheduler::Committed(std::uint64_t number) {
  if (committing_ != number) {
    return;
  }
  committing_.reset();
  for (const std::string& agent : committing_members_) {
    if (durable_members_.count(agent) == 0 ||
        doubtful_members_.count(agent) != 0) {
      agents_to_notify_.insert(agent);
    }
  }
  placement_requested_ = placement_requested_ ||
                         durable_members_ != committing_members_ ||
                         !doubtful_members_.empty();
  durable_members_ = committing_members_;
  doubtful_members_.clear();
  if (is_committing_members_) {
    possible_members_.clear();
  }
  std::erase_if(removed_jobs_, [this](const auto& entry) {
    return last_tick_ - entry.second > kRemovedJobMemory;
  });
  for (const std::string& id : std::exchange(committing_expired_jobs_, {})) {
    removed_jobs_[id] = last_tick_;
  }
  for (const auto& [id, ended_ms] : committing_ended_jobs_) {
    const auto job = jobs_.find(id);
    if (job != jobs_.end()) {
      job->second.end_is_durable = true;
      job->second.ended_ms = ended_ms;
    }
  }
  for (const auto& [agent, ends] : committing_ends_) {
    const auto worker = workers_.find(agent);
    if (worker != workers_.end() &&
        worker->second.description.boot == ends.boot &&
        worker->second.recorded_end < ends.end_number) {
      worker->second.recorded_end = ends.end_number;
      agents_to_notify_.insert(agent);
    }
  }
}

void job_scheduler::CommitFailed(const durable_changes& changes) {
  if (committing_ != changes.number) {
    return;
  }
  committing_.reset();
  if (changes.members) {
    possible_members_.push_back(*changes.members);
  }
  for (const job_progress& progress : changes.progress) {
    dirty_.insert(progress.id);
  }
  expired_jobs_.insert(expired_jobs_.end(), changes.expired_jobs.begin(),
                       changes.expired_jobs.end());
  committing_expired_jobs_.clear();
}

std::uint64_t job_scheduler::RecordedEnd(const std::string& agent) const {
  const auto worker = workers_.find(agent);
  if (worker == workers_.end() || former_may_act_) {
    return 0;
  }
  // Without pending changes, every received end has been stored.
  const bool nothing_pending = !committing_ && dirty_.empty();
  return nothing_pending ? worker->second.last_received_end
                         : worker->second.recorded_end;
}

bool job_scheduler::IsMember(const std::string& agent) const {
  return durable_members_.count(agent) != 0 &&
         wanted_members_.count(agent) != 0 &&
         doubtful_members_.count(agent) == 0;
}

bool job_scheduler::MayGrant(const std::string& agent) const {
  return IsMember(agent) && HasConsent() &&
         unreported_members_.count(agent) == 0;
}

std::optional<job_state> job_scheduler::StateOf(const std::string& id) const {
  const auto job = jobs_.find(id);
  if (job == jobs_.end()) {
    return std::nullopt;
  }
  const bool is_visible = !IsFinal(job->second.state) ||
                          job->second.end_is_durable ||
                          job->second.state == job_state::kCancelled;
  return is_visible ? job->second.state : job_state::kRunning;
}

std::uint64_t job_scheduler::PendingJobCount(const std::string& queue) const {
  return static_cast<std::uint64_t>(std::count_if(
      active_jobs_.begin(), active_jobs_.end(), [&](const auto& id) {
        const scheduled_job& job = jobs_.at(id);
        return job.record.queue.name == queue && job.begun_runs == 0;
      }));
}

std::set<std::string> job_scheduler::TakeAgentsToNotify() {
  return std::exchange(agents_to_notify_, {});
}

void job_scheduler::Tick(millis now, std::int64_t wall_ms) {
  wall_ms_ = wall_ms;
  ExpireSilentWorkers(now);
  UpdateConsent(now);
  OpenDueOccurrences(wall_ms, now);
  EvacuateDrainingWorkers();
  UpdatePaces(now);
  const bool scan_due = now >= next_scan_;
  if (scan_due) {
    next_scan_ = now + kScanInterval;
    JudgeFailures(now);
    MoveStuckTasks(now);
    MoveThrottledTasks(now);
  }
  PlaceWaiting(now);
  if (scan_due) {
    StartSpeculativeCopies(now);
    ExpireEndedJobs(wall_ms);
  }
  runs_cache_.clear();
  ReleaseFinishedTasks();
}

}  // namespace chervilkeel
