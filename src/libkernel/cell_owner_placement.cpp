// The part of the owner that decides where waiting tasks go, and when the
// tasks of a silent agent move.
#include <algorithm>
#include <queue>

#include "chervilkeel/cell_owner.h"

namespace chervilkeel {

namespace {

constexpr const char* kPart = "owner";
constexpr const char* kRepairPart = "repair";
constexpr std::size_t kMaxPlacementsInTick = 200;
constexpr double kSmallEffect = 0.03;  // Of a task that may always wait ahead.

// Takes room for a task from a candidate other than the named one; false when
// none has it.
bool TakeRoomElsewhere(const placement_request& request,
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

// Counts the tasks of one size by which a worker is assigned more than fits.
std::size_t TasksAhead(const amount& need, const amount& room) {
  const auto count = [](std::int64_t needed, std::int64_t left) {
    return left >= 0 || needed <= 0 ? 0 : (needed - 1 - left) / needed;
  };
  const std::int64_t most =
      std::max({count(need.milli_processors, room.milli_processors),
                count(need.memory_mb, room.memory_mb),
                count(need.accelerators, room.accelerators)});
  return static_cast<std::size_t>(most);
}

}  // namespace

void cell_owner::Tick(millis now) {
  MoveLostTasks(now);
  StopFailingJobs();
  DropEndedJobs();
  ReportMisfits(now);
  if (MayGrant(now) && store_reachable_) {
    Place(now);
    TakeBackBacklog(now);
  }
}

bool cell_owner::Usable(const agent_entry& agent, millis now) const {
  if (agent.report.address().empty() || agent.report.draining() ||
      now - agent.heard_at > options_.silent_after) {
    return false;
  }
  if (agent.failures_in_row < options_.quarantine_failures) {
    return true;
  }
  return now >= agent.probe_at &&
         state_.AssignedTo(agent.report.agent()).empty();
}

void cell_owner::MoveLostTasks(millis now) {
  for (auto& [name, agent] : agents_) {
    const bool silent = now - agent.heard_at > options_.silent_after;
    if (silent && !agent.silent) {
      agent.silent = true;
      log_.Add(
          kRepairPart, name, "stopped giving work to the agent",
          "no heartbeat for " + std::to_string(now - agent.heard_at) + " ms");
    }
    if (now >= agent.MayRunUntil()) {
      MoveTasksOf(name, agent);
    }
  }
}

// Lists what a silent agent held, and what an earlier worker of its name held.
std::vector<wire::task_id> cell_owner::TasksToMove(
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
    if ((agent.silent || orphaned) && changing_.count(key) == 0 &&
        reported.count(NameOf(id)) == 0) {
      ids.push_back(id);
    }
  }
  return ids;
}

// Past the end of every right the agent may hold, asks its worker how its
// tasks ended, and then releases them.
void cell_owner::MoveTasksOf(const std::string& name, agent_entry& agent) {
  const std::vector<wire::task_id> ids = TasksToMove(name, agent);
  if (ids.empty()) {
    return;
  }
  if (agent.inquiry != inquiry_state::kAnswered) {
    if (agent.inquiry == inquiry_state::kNone) {
      agent.inquiry = inquiry_state::kWanted;
    }
    return;
  }
  std::size_t moved = 0;
  for (const wire::task_id& id : ids) {
    moved += MoveTask(name, agent, id) ? 1 : 0;
  }
  agent.inquiry = inquiry_state::kNone;
  agent.worker_word.clear();
  if (moved > 0) {
    moved_tasks_ += moved;
    log_.Add(kRepairPart, name,
             "moved " + std::to_string(moved) + " tasks from the agent",
             "its right to run them has ended");
  }
}

// Releases one task by the worker's own word, or else as lost. A task that the
// worker still runs is left where it is.
bool cell_owner::MoveTask(const std::string& name,
                          const agent_entry& agent,
                          const wire::task_id& id) {
  wire::task_report last;
  for (const auto& report : agent.report.tasks()) {
    if (NameOf(report.id()) == NameOf(id)) {
      last = report;
    }
  }
  last.set_reason("its agent died");
  wire::release_cause cause = wire::release_lost;
  for (const worker_task& task : agent.worker_word) {
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
      last.set_reason(task.reason);
    }
    if (!task.checkpoint.empty()) {
      last.set_checkpoint(task.checkpoint);
      last.set_progress_ms(static_cast<std::uint64_t>(task.progress_ms));
    }
  }
  ProposeRelease(id, cause, &last, name);
  return true;
}

std::vector<worker_inquiry> cell_owner::TakeInquiries() {
  std::vector<worker_inquiry> inquiries;
  for (auto& [name, agent] : agents_) {
    if (agent.inquiry != inquiry_state::kWanted) {
      continue;
    }
    agent.inquiry = inquiry_state::kAsked;
    for (const wire::task_id& id : TasksToMove(name, agent)) {
      const wire::task_record& task = *state_.Find(id.job(), id.index());
      inquiries.push_back({name, task.worker_address()});
      break;
    }
  }
  return inquiries;
}

void cell_owner::OnWorkerAnswer(const std::string& name,
                                std::optional<std::vector<worker_task>> tasks) {
  const auto agent = agents_.find(name);
  if (agent == agents_.end() ||
      agent->second.inquiry != inquiry_state::kAsked) {
    return;
  }
  agent->second.inquiry = inquiry_state::kAnswered;
  if (tasks) {
    agent->second.worker_word = std::move(*tasks);
  }
}

void cell_owner::StopFailingJobs() {
  std::size_t heard = 0;
  for (const auto& [name, agent] : agents_) {
    heard += agent.silent ? 0 : 1;
  }
  for (const auto& [name, job] : state_.Jobs()) {
    if (!job.ShouldRun()) {
      continue;
    }
    const auto limit =
        std::min<std::size_t>(job.specification.max_failures(), heard);
    for (const std::uint32_t index : job.waiting) {
      const wire::task_record& task = job.tasks[index];
      const auto workers = static_cast<std::size_t>(task.failed_on_size());
      const task_key marker{name, job.specification.tasks()};
      if (workers == 0 || workers < limit || changing_.count(marker) != 0) {
        continue;
      }
      changing_.insert(marker);
      auto* stopped = Propose().mutable_stopped();
      stopped->set_job(name);
      stopped->set_reason("task " + std::to_string(index) + " failed on " +
                          std::to_string(workers) + " different workers");
      log_.Add(kPart, name, "stopped the job", stopped->reason());
      break;
    }
  }
}

void cell_owner::DropEndedJobs() {
  if (manifest_version_ == 0) {
    return;
  }
  for (const auto& [name, job] : state_.Jobs()) {
    const task_key marker{name, job.specification.tasks()};
    const auto declared = manifest_.jobs.find(name);
    const bool gone = declared == manifest_.jobs.end();
    const bool came_back = !gone && job.cancelled && !job.Ended();
    const bool over = gone && (job.cancelled || job.Ended());
    if (!job.assigned.empty() || changing_.count(marker) != 0 ||
        !(over || came_back)) {
      continue;
    }
    changing_.insert(marker);
    Propose().mutable_dropped()->set_job(name);
    if (came_back) {
      *Propose().mutable_accepted()->mutable_job() = declared->second;
      log_.Add(kPart, name, "accepted the job again",
               "it came back after it was cancelled");
    }
  }
}

void cell_owner::ReportMisfits(millis now) {
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
      misfits_.erase(name);
      continue;
    }
    amount largest;
    for (const amount& size : sizes) {
      largest.milli_processors =
          std::max(largest.milli_processors, size.milli_processors);
      largest.memory_mb = std::max(largest.memory_mb, size.memory_mb);
      largest.accelerators = std::max(largest.accelerators, size.accelerators);
    }
    std::string lack = DescribeShortfall(need, largest);
    if (lack.empty()) {
      lack = "no single worker has all dimensions at once";
    }
    if (misfits_[name] != lack) {
      misfits_[name] = lack;
      log_.Add(kPart, name, "left the job waiting", "it fits nowhere: " + lack);
    }
  }
}

// Calls `visit` with the job and the agent of each assignment that has been
// decided but is not durable yet.
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

// Lists the jobs with tasks that could be placed.
std::vector<const job_entry*> cell_owner::JobsToPlace() const {
  std::vector<const job_entry*> jobs;
  for (const auto& [name, job] : state_.Jobs()) {
    if (job.ShouldRun() && !job.waiting.empty() && misfits_.count(name) == 0) {
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
  PlaceInTurn(candidates, now);
}

// Places one task after another, each time of the job with the highest
// priority whose team uses the least of its quota, so that no team takes all
// room of one tick. A job leaves the round when its next task finds no worker.
void cell_owner::PlaceInTurn(std::vector<placement_candidate>& candidates,
                             millis now) {
  struct job_turn {
    const job_entry* job = nullptr;
    std::set<std::uint32_t>::const_iterator next;
    double share = 0;
  };
  const auto later = [](const job_turn& left, const job_turn& right) {
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
  std::priority_queue<job_turn, std::vector<job_turn>, decltype(later)> turns(
      later);
  for (const job_entry* job : JobsToPlace()) {
    turns.push(
        {job, job->waiting.begin(), ShareOfQuota(job->specification.team())});
  }
  std::size_t placed = 0;
  while (!turns.empty() && placed < kMaxPlacementsInTick) {
    job_turn turn = turns.top();
    turns.pop();
    const std::string& name = turn.job->specification.name();
    while (turn.next != turn.job->waiting.end() &&
           changing_.count({name, *turn.next}) != 0) {
      ++turn.next;
    }
    const double share = ShareOfQuota(turn.job->specification.team());
    if (share > turn.share) {
      turn.share = share;  // Another job of the team was placed meanwhile.
      turns.push(turn);
      continue;
    }
    if (turn.next == turn.job->waiting.end() ||
        !PlaceOne(*turn.job, *turn.next, candidates, now)) {
      continue;
    }
    ++placed;
    ++turn.next;
    turn.share = ShareOfQuota(turn.job->specification.team());
    turns.push(turn);
  }
}

bool cell_owner::PlaceOne(const job_entry& job,
                          std::uint32_t index,
                          std::vector<placement_candidate>& candidates,
                          millis now) {
  const wire::task_record& task = job.tasks[index];
  placement_request request;
  request.task_class = job.specification.task_class();
  request.need = FromWire(job.specification.need());
  request.avoid = {task.failed_on().begin(), task.failed_on().end()};
  request.first_candidate = placement_turn_++;
  request.effect = effects_.EffectOf(request.task_class).mean;
  if (!WithinQuota(job, request.need)) {
    return false;
  }
  placement_choice choice = ChooseWorker(request, candidates, interference_);
  if (choice.index < 0) {
    choice = ChooseAhead(request, candidates);
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
  changing_.insert({job.specification.name(), index});
  log_.Add(kPart, NameOf(assigned->id()), "assigned to " + chosen.agent,
           choice.reason);
  chosen.free_capacity -= request.need;
  chosen.effect_headroom -=
      request.effect * ShareOfWorker(request.need, chosen);
  chosen.AddTask(request.task_class);
  used_by_team_[job.specification.team()] += request.need;
  if (agent.failures_in_row >= options_.quarantine_failures) {
    chosen.usable = false;
    agent.probe_at = now + options_.quarantine_probe;
  }
  return true;
}

// Chooses a worker on which a task waits when every worker is full: of those
// whose whole size it fits, the one with the fewest tasks waiting on it, below
// the limit of tasks assigned ahead.
placement_choice cell_owner::ChooseAhead(
    const placement_request& request,
    const std::vector<placement_candidate>& candidates) const {
  placement_choice choice;
  std::size_t fewest = options_.assign_ahead;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const placement_candidate& candidate = candidates[i];
    const agent_entry& agent = agents_.at(candidate.agent);
    const std::size_t ahead = TasksAhead(request.need, candidate.free_capacity);
    const bool probing = agent.failures_in_row >= options_.quarantine_failures;
    const double effect =
        request.effect * ShareOfWorker(request.need, candidate);
    if (candidate.usable && !probing && ahead < fewest &&
        Fits(request.need, candidate.capacity) &&
        effect <= std::max(candidate.effect_headroom, kSmallEffect)) {
      choice.index = static_cast<int>(i);
      fewest = ahead;
    }
  }
  if (choice.index >= 0) {
    choice.reason = "no worker has room now; fewest tasks ahead (" +
                    std::to_string(fewest) + ")";
  }
  return choice;
}

// Asks for tasks back that wait on a worker while another has room for them.
void cell_owner::TakeBackBacklog(millis now) {
  std::vector<placement_candidate> candidates;
  for (const auto& [name, agent] : agents_) {
    for (const auto& [task_name, since] : agent.backlog_since) {
      const auto id = ParseTaskId(task_name);
      if (now - since < options_.return_after || !id.has_value() ||
          !state_.IsAssigned(id.value()) || returning_.count(task_name) != 0) {
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
      if (TakeRoomElsewhere(request, name, candidates)) {
        returning_.insert(task_name);
        log_.Add(kPart, task_name, "asked the task back from " + name,
                 "it has not started and another worker has room");
      }
    }
  }
}

}  // namespace chervilkeel
