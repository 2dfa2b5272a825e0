// Implements task placement and the recovery of tasks from silent agents.
#include <algorithm>
#include <queue>

#include "chervilkeel/cell_owner.h"

namespace chervilkeel {

namespace {

constexpr const char* kPart = "owner";
constexpr const char* kRepairPart = "repair";
constexpr std::size_t kMaxPlacementsInTick = 200;
// A task whose effect on requests is at most this may be queued on a worker
// even if the worker's remaining effect budget is smaller.
constexpr double kNegligibleEffect = 0.03;

// Reserves capacity for a task on a candidate other than the agent `name`.
// Returns false if no candidate has enough free capacity.
bool ReserveOnOtherWorker(const placement_request& request,
                          const std::string& name,
                          std::vector<placement_candidate>& candidates) {
  for (placement_candidate& candidate : candidates) {
    if (candidate.usable && candidate.agent != name &&
        Fits(request.need, candidate.free_capacity) &&
        EffectFits(request, candidate)) {
      candidate.free_capacity -= request.need;
      candidate.effect_headroom -=
          request.effect * ShareOfWorker(request.need, candidate);
      return true;
    }
  }
  return false;
}

// Returns how many tasks of size `need` are assigned to a worker beyond its
// capacity. `room` is its free capacity, negative where it is exceeded.
std::size_t QueuedTaskCount(const amount& need, const amount& room) {
  const auto count = [](std::int64_t needed, std::int64_t left) {
    return left >= 0 || needed <= 0 ? 0 : (needed - 1 - left) / needed;
  };
  const std::int64_t max_count =
      std::max({count(need.milli_processors, room.milli_processors),
                count(need.memory_mb, room.memory_mb),
                count(need.accelerators, room.accelerators)});
  return static_cast<std::size_t>(max_count);
}

}  // namespace

void cell_owner::Tick(millis now) {
  ReclaimLostTasks(now);
  StopFailingJobs();
  DropEndedJobs();
  UpdateUnplaceableJobs(now);
  if (MayGrant(now) && store_reachable_) {
    Place(now);
    RecallQueuedTasks(now);
  }
}

// Returns whether the agent's worker may get a task. A quarantined worker gets
// one probe task per interval, and only while it has no other.
bool cell_owner::Usable(const agent_entry& agent, millis now) const {
  if (agent.report.address().empty() || agent.report.draining() ||
      now - agent.last_report_at > options_.heartbeat_timeout) {
    return false;
  }
  if (agent.consecutive_failures < options_.quarantine_threshold) {
    return true;
  }
  return now >= agent.next_probe_at &&
         state_.AssignedTo(agent.report.agent()).empty();
}

// Marks agents without recent heartbeats as silent, and reclaims tasks of
// agents whose tenure and hold have ended.
void cell_owner::ReclaimLostTasks(millis now) {
  for (auto& [name, agent] : agents_) {
    const bool silent = now - agent.last_report_at > options_.heartbeat_timeout;
    if (silent && !agent.silent) {
      agent.silent = true;
      log_.Add(kRepairPart, name, "stopped assigning tasks to the agent",
               "no heartbeat for " +
                   std::to_string(now - agent.last_report_at) + " ms");
    }
    if (now >= agent.MayRunUntil()) {
      ReclaimTasksOf(name, agent);
    }
  }
}

// Returns the tasks to release once the agent's right to run them has ended:
// all of its tasks if it is silent, else those that were assigned to an earlier
// worker instance and are missing from its report. Tasks with a pending change
// are left out.
std::vector<wire::task_id> cell_owner::TasksToReclaim(
    const std::string& name,
    const agent_entry& agent) const {
  std::set<std::string> reported;
  if (!agent.silent) {
    for (const auto& task : agent.report.tasks()) {
      reported.insert(NameOf(task.id()));
    }
  }
  std::vector<wire::task_id> ids;
  for (const task_key& key : state_.AssignedTo(name)) {
    const wire::task_record& task = *state_.Find(key.job, key.index);
    const bool orphaned =
        task.worker_instance() != agent.report.worker_instance();
    wire::task_id id;
    id.set_job(key.job);
    id.set_index(key.index);
    id.set_attempt(task.attempt());
    if ((agent.silent || orphaned) && pending_changes_.count(key) == 0 &&
        reported.count(NameOf(id)) == 0) {
      ids.push_back(id);
    }
  }
  return ids;
}

// Releases the tasks of an agent whose tenure and hold have ended. First
// requests a query of its worker for how the tasks ended, and waits for the
// answer.
void cell_owner::ReclaimTasksOf(const std::string& name, agent_entry& agent) {
  const std::vector<wire::task_id> ids = TasksToReclaim(name, agent);
  if (ids.empty()) {
    return;
  }
  if (agent.query_state != worker_query_state::kAnswered) {
    if (agent.query_state == worker_query_state::kNone) {
      agent.query_state = worker_query_state::kPending;
    }
    return;
  }
  std::size_t reclaimed = 0;
  for (const wire::task_id& id : ids) {
    reclaimed += ReclaimTask(name, agent, id) ? 1 : 0;
  }
  agent.query_state = worker_query_state::kNone;
  agent.worker_answer.clear();
  if (reclaimed > 0) {
    reclaimed_tasks_ += reclaimed;
    log_.Add(kRepairPart, name,
             "released " + std::to_string(reclaimed) + " tasks of the agent",
             "its right to run them has ended");
  }
}

// Releases one task with the outcome that the worker reported, or as lost if it
// reported none. Does nothing if the worker still runs the task, and records
// the end if the task has finished. Returns whether the task was released.
bool cell_owner::ReclaimTask(const std::string& name,
                             const agent_entry& agent,
                             const wire::task_id& id) {
  wire::task_report last_report;
  for (const auto& report : agent.report.tasks()) {
    if (NameOf(report.id()) == NameOf(id)) {
      last_report = report;
    }
  }
  last_report.set_reason("the agent no longer reports the task");
  wire::release_cause cause = wire::release_lost;
  for (const worker_task& task : agent.worker_answer) {
    if (task.task != NameOf(id)) {
      continue;
    }
    if (task.state == worker_task_state::kRunning) {
      return false;
    }
    if (task.state == worker_task_state::kFinished) {
      ProposeFinish(id);
      return false;
    }
    if (task.state == worker_task_state::kFailed) {
      cause = wire::release_failed;
      last_report.set_reason(task.reason);
    }
    if (!task.checkpoint.empty()) {
      last_report.set_checkpoint(task.checkpoint);
      last_report.set_progress_ms(static_cast<std::uint64_t>(task.progress_ms));
    }
  }
  ProposeRelease(id, cause, &last_report, name);
  return true;
}

std::vector<worker_query> cell_owner::TakeWorkerQueries() {
  std::vector<worker_query> queries;
  for (auto& [name, agent] : agents_) {
    if (agent.query_state != worker_query_state::kPending) {
      continue;
    }
    agent.query_state = worker_query_state::kSent;
    for (const wire::task_id& id : TasksToReclaim(name, agent)) {
      const wire::task_record& task = *state_.Find(id.job(), id.index());
      queries.push_back({name, task.worker_address()});
      break;
    }
  }
  return queries;
}

void cell_owner::OnWorkerAnswer(const std::string& name,
                                std::optional<std::vector<worker_task>> tasks) {
  const auto agent = agents_.find(name);
  if (agent == agents_.end() ||
      agent->second.query_state != worker_query_state::kSent) {
    return;
  }
  agent->second.query_state = worker_query_state::kAnswered;
  if (tasks) {
    agent->second.worker_answer = std::move(*tasks);
  }
}

// Stops jobs with a task that failed on as many different workers as the job
// allows, or on as many as there are agents that report.
void cell_owner::StopFailingJobs() {
  std::size_t reporting_agents = 0;
  for (const auto& [name, agent] : agents_) {
    reporting_agents += agent.silent ? 0 : 1;
  }
  for (const auto& [name, job] : state_.Jobs()) {
    if (!job.ShouldRun()) {
      continue;
    }
    const auto limit = std::min<std::size_t>(job.specification.max_failures(),
                                             reporting_agents);
    for (const std::uint32_t index : job.waiting) {
      const wire::task_record& task = job.tasks[index];
      const auto workers = static_cast<std::size_t>(task.failed_on_size());
      const task_key marker{name, job.specification.tasks()};
      if (workers == 0 || workers < limit ||
          pending_changes_.count(marker) != 0) {
        continue;
      }
      pending_changes_.insert(marker);
      auto* stopped = Propose().mutable_stopped();
      stopped->set_job(name);
      stopped->set_reason("task " + std::to_string(index) + " failed on " +
                          std::to_string(workers) + " different workers");
      log_.Add(kPart, name, "stopped the job", stopped->reason());
      break;
    }
  }
}

// Drops jobs without assigned tasks that have ended or were cancelled and that
// the manifest no longer declares. A cancelled job that it declares again is
// dropped and accepted anew.
void cell_owner::DropEndedJobs() {
  if (manifest_version_ == 0) {
    return;
  }
  for (const auto& [name, job] : state_.Jobs()) {
    const task_key marker{name, job.specification.tasks()};
    const auto declared = manifest_.jobs.find(name);
    const bool undeclared = declared == manifest_.jobs.end();
    const bool redeclared = !undeclared && job.cancelled && !job.Ended();
    const bool removable = undeclared && (job.cancelled || job.Ended());
    if (!job.assigned.empty() || pending_changes_.count(marker) != 0 ||
        !(removable || redeclared)) {
      continue;
    }
    pending_changes_.insert(marker);
    Propose().mutable_dropped()->set_job(name);
    if (redeclared) {
      *Propose().mutable_accepted()->mutable_job() = declared->second;
      log_.Add(kPart, name, "accepted the job again",
               "the manifest declares it again after it was cancelled");
    }
  }
}

// Finds the jobs whose tasks fit no usable worker, even an empty one, and logs
// the lacking resource.
void cell_owner::UpdateUnplaceableJobs(millis now) {
  std::vector<amount> sizes;
  for (const auto& [name, agent] : agents_) {
    if (Usable(agent, now)) {
      sizes.push_back(FromWire(agent.report.capacity()));
    }
  }
  for (const auto& [name, job] : state_.Jobs()) {
    const amount need = FromWire(job.specification.need());
    const bool fits = sizes.empty() || std::any_of(sizes.begin(), sizes.end(),
                                                   [&](const amount& size) {
                                                     return Fits(need, size);
                                                   });
    if (fits || !job.ShouldRun()) {
      unplaceable_jobs_.erase(name);
      continue;
    }
    amount largest;
    for (const amount& size : sizes) {
      largest.milli_processors =
          std::max(largest.milli_processors, size.milli_processors);
      largest.memory_mb = std::max(largest.memory_mb, size.memory_mb);
      largest.accelerators = std::max(largest.accelerators, size.accelerators);
    }
    std::string lacking = DescribeShortfall(need, largest);
    if (lacking.empty()) {
      lacking = "no single worker has enough of every resource";
    }
    if (unplaceable_jobs_[name] != lacking) {
      unplaceable_jobs_[name] = lacking;
      log_.Add(kPart, name, "kept the job waiting",
               "it fits no worker: " + lacking);
    }
  }
}

// Calls `visit` with the job and the agent of each proposed assignment that is
// not durable yet.
template <class function_type>
void cell_owner::ForEachPendingAssignment(function_type visit) const {
  const auto visit_change = [&](const wire::cell_change& change) {
    if (!change.has_assigned()) {
      return;
    }
    const auto job = state_.Jobs().find(change.assigned().id().job());
    if (job != state_.Jobs().end()) {
      visit(job->second, change.assigned().agent());
    }
  };
  std::for_each(proposed_.begin(), proposed_.end(), visit_change);
  if (in_flight_) {
    std::for_each(in_flight_->changes().begin(), in_flight_->changes().end(),
                  visit_change);
  }
}

// Returns all agents as placement candidates, with the free capacity that
// remains after durable and proposed assignments.
std::vector<placement_candidate> cell_owner::Candidates(millis now) {
  std::vector<placement_candidate> candidates;
  candidates.reserve(agents_.size());
  for (const auto& [name, agent] : agents_) {
    placement_candidate candidate;
    candidate.agent = name;
    candidate.rack = agent.report.rack();
    candidate.capacity = FromWire(agent.report.capacity());
    candidate.free_capacity = FromWire(agent.report.batch_room());
    candidate.usable = Usable(agent, now);
    if (agent.report.has_effect_room()) {
      candidate.effect_headroom = agent.report.effect_room();
    }
    for (const task_key& key : state_.AssignedTo(name)) {
      const job_entry& job = state_.Jobs().at(key.job);
      candidate.free_capacity -= FromWire(job.specification.need());
      candidate.AddTask(job.specification.task_class());
    }
    candidates.push_back(std::move(candidate));
  }
  ForEachPendingAssignment([&](const job_entry& job, const std::string& agent) {
    for (placement_candidate& candidate : candidates) {
      if (candidate.agent == agent) {
        candidate.free_capacity -= FromWire(job.specification.need());
        candidate.AddTask(job.specification.task_class());
        candidate.effect_headroom -=
            effects_.EffectOf(job.specification.task_class()).mean *
            ShareOfWorker(FromWire(job.specification.need()), candidate);
      }
    }
  });
  return candidates;
}

// Returns the used share of a team's processor quota; 0 without a quota.
double cell_owner::ShareOfQuota(const std::string& team) const {
  const auto used = used_by_team_.find(team);
  const auto declared = manifest_.teams.find(team);
  if (used == used_by_team_.end() || declared == manifest_.teams.end() ||
      declared->second.quota.milli_processors == 0) {
    return 0;
  }
  return static_cast<double>(used->second.milli_processors) /
         static_cast<double>(declared->second.quota.milli_processors);
}

// Returns the jobs that have waiting tasks and fit at least one worker.
std::vector<const job_entry*> cell_owner::JobsToPlace() const {
  std::vector<const job_entry*> jobs;
  for (const auto& [name, job] : state_.Jobs()) {
    if (job.ShouldRun() && !job.waiting.empty() &&
        unplaceable_jobs_.count(name) == 0) {
      jobs.push_back(&job);
    }
  }
  return jobs;
}

bool cell_owner::WithinQuota(const job_entry& job, const amount& need) const {
  const auto team = manifest_.teams.find(job.specification.team());
  if (team == manifest_.teams.end()) {
    return true;
  }
  const auto used = used_by_team_.find(job.specification.team());
  const amount held = used == used_by_team_.end() ? amount() : used->second;
  return Fits(held + need, team->second.quota);
}

void cell_owner::Place(millis now) {
  used_by_team_.clear();
  for (const auto& [name, job] : state_.Jobs()) {
    amount& used = used_by_team_[job.specification.team()];
    for (std::size_t i = 0; i < job.assigned.size(); ++i) {
      used += FromWire(job.specification.need());
    }
  }
  ForEachPendingAssignment([&](const job_entry& job, const std::string&) {
    used_by_team_[job.specification.team()] +=
        FromWire(job.specification.need());
  });
  std::vector<placement_candidate> candidates = Candidates(now);
  PlaceByPriority(candidates, now);
}

// Places one task at a time, from the job with the highest priority and, among
// equal priorities, from the team that uses the smallest share of its quota.
// This keeps one team from taking all the free capacity in one tick. A job is
// skipped for the rest of the tick once one of its tasks finds no worker.
void cell_owner::PlaceByPriority(std::vector<placement_candidate>& candidates,
                                 millis now) {
  struct job_cursor {
    const job_entry* job = nullptr;
    std::set<std::uint32_t>::const_iterator next;
    double share = 0;
  };
  const auto lower_precedence = [](const job_cursor& left,
                                   const job_cursor& right) {
    const auto left_priority = left.job->specification.priority();
    const auto right_priority = right.job->specification.priority();
    if (left_priority != right_priority) {
      return left_priority < right_priority;
    }
    if (left.share != right.share) {
      return left.share > right.share;
    }
    return left.job->specification.name() > right.job->specification.name();
  };
  std::priority_queue<job_cursor, std::vector<job_cursor>,
                      decltype(lower_precedence)>
      queue(lower_precedence);
  for (const job_entry* job : JobsToPlace()) {
    queue.push(
        {job, job->waiting.begin(), ShareOfQuota(job->specification.team())});
  }
  std::size_t placed = 0;
  while (!queue.empty() && placed < kMaxPlacementsInTick) {
    job_cursor cursor = queue.top();
    queue.pop();
    const std::string& name = cursor.job->specification.name();
    while (cursor.next != cursor.job->waiting.end() &&
           pending_changes_.count({name, *cursor.next}) != 0) {
      ++cursor.next;
    }
    const double share = ShareOfQuota(cursor.job->specification.team());
    if (share > cursor.share) {
      cursor.share = share;  // A task of the same team was placed meanwhile.
      queue.push(cursor);
      continue;
    }
    if (cursor.next == cursor.job->waiting.end() ||
        !PlaceNextTask(*cursor.job, *cursor.next, candidates, now)) {
      continue;
    }
    ++placed;
    ++cursor.next;
    cursor.share = ShareOfQuota(cursor.job->specification.team());
    queue.push(cursor);
  }
}

// Places one task, or queues it on a full worker. Returns false if the quota is
// used up or no worker can take the task.
bool cell_owner::PlaceNextTask(const job_entry& job,
                               std::uint32_t index,
                               std::vector<placement_candidate>& candidates,
                               millis now) {
  const wire::task_record& task = job.tasks[index];
  placement_request request;
  request.task_class = job.specification.task_class();
  request.need = FromWire(job.specification.need());
  request.avoid = {task.failed_on().begin(), task.failed_on().end()};
  request.first_candidate = next_first_candidate_++;
  request.effect = effects_.EffectOf(request.task_class).mean;
  if (!WithinQuota(job, request.need)) {
    return false;
  }
  placement_choice choice = ChooseWorker(request, candidates, interference_);
  if (choice.index < 0) {
    choice = ChooseWorkerToQueueOn(request, candidates);
  }
  if (choice.index < 0) {
    return false;
  }
  auto& chosen = candidates[static_cast<std::size_t>(choice.index)];
  agent_entry& agent = agents_[chosen.agent];
  auto* assigned = Propose().mutable_assigned();
  assigned->mutable_id()->set_job(job.specification.name());
  assigned->mutable_id()->set_index(index);
  assigned->mutable_id()->set_attempt(task.attempt() + 1);
  assigned->set_agent(chosen.agent);
  assigned->set_worker_instance(agent.report.worker_instance());
  assigned->set_worker_address(agent.report.worker_address());
  pending_changes_.insert({job.specification.name(), index});
  log_.Add(kPart, NameOf(assigned->id()), "assigned to " + chosen.agent,
           choice.reason);
  chosen.free_capacity -= request.need;
  chosen.effect_headroom -=
      request.effect * ShareOfWorker(request.need, chosen);
  chosen.AddTask(request.task_class);
  used_by_team_[job.specification.team()] += request.need;
  if (agent.consecutive_failures >= options_.quarantine_threshold) {
    chosen.usable = false;
    agent.next_probe_at = now + options_.quarantine_probe_interval;
  }
  return true;
}

// Chooses the worker on which to queue a task when no worker has free capacity:
// of the workers whose total capacity fits the task, the one with the fewest
// queued tasks, if that is below the limit.
placement_choice cell_owner::ChooseWorkerToQueueOn(
    const placement_request& request,
    const std::vector<placement_candidate>& candidates) const {
  placement_choice choice;
  std::size_t fewest = options_.max_queued_tasks;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const placement_candidate& candidate = candidates[i];
    const agent_entry& agent = agents_.at(candidate.agent);
    const std::size_t queued =
        QueuedTaskCount(request.need, candidate.free_capacity);
    const bool probing =
        agent.consecutive_failures >= options_.quarantine_threshold;
    const double effect =
        request.effect * ShareOfWorker(request.need, candidate);
    if (candidate.usable && !probing && queued < fewest &&
        Fits(request.need, candidate.capacity) &&
        effect <= std::max(candidate.effect_headroom, kNegligibleEffect)) {
      choice.index = static_cast<int>(i);
      fewest = queued;
    }
  }
  if (choice.index >= 0) {
    choice.reason = "no worker has free capacity; fewest queued tasks (" +
                    std::to_string(fewest) + ")";
  }
  return choice;
}

// Recalls tasks that have been queued on a worker for too long while another
// worker has free capacity for them.
void cell_owner::RecallQueuedTasks(millis now) {
  std::vector<placement_candidate> candidates;
  for (const auto& [name, agent] : agents_) {
    for (const auto& [task_name, since] : agent.backlog_since) {
      const auto id = ParseTaskId(task_name);
      if (now - since < options_.recall_delay || !id.has_value() ||
          !state_.IsAssigned(id.value()) ||
          recalled_attempts_.count(task_name) != 0) {
        continue;
      }
      if (candidates.empty()) {
        candidates = Candidates(now);
      }
      const job_entry& job = state_.Jobs().at(id.value().job());
      placement_request request;
      request.task_class = job.specification.task_class();
      request.need = FromWire(job.specification.need());
      request.effect = effects_.EffectOf(request.task_class).mean;
      if (ReserveOnOtherWorker(request, name, candidates)) {
        recalled_attempts_.insert(task_name);
        log_.Add(kPart, task_name, "recalled the task from " + name,
                 "it has not started and another worker has free capacity");
      }
    }
  }
}

}  // namespace chervilkeel
