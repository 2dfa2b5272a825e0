#include "chervilkeel/cell_owner.h"

#include <utility>

namespace chervilkeel {

namespace {

constexpr const char* kPart = "owner";
constexpr int kMaxChangesInRecord = 400;  // Keeps records far below 1 MB.

bool IsEnded(wire::task_phase phase) {
  return phase == wire::phase_finished || phase == wire::phase_evicted ||
         phase == wire::phase_failed || phase == wire::phase_stopped;
}

// Returns how long `duration`, measured by another machine's clock, can last by
// this machine's clock.
millis WithDrift(millis duration, double drift) {
  return duration + static_cast<millis>(static_cast<double>(duration) * drift);
}

}  // namespace

cell_owner::cell_owner(std::string cell,
                       std::uint64_t epoch,
                       std::string owner,
                       const std::string& former_owner,
                       cell_state state,
                       owner_options options,
                       decision_log& log,
                       millis now)
    : cell_(std::move(cell)),
      epoch_(epoch),
      owner_(std::move(owner)),
      options_(options),
      state_(std::move(state)),
      log_(log),
      started_at_(now) {
  for (const std::string& name : state_.AgentsWithAssignments()) {
    agent_entry& agent = agents_[name];
    agent.report.set_agent(name);
    agent.last_report_at = now;
    // An owner never grants a hold to the agent of its own process, so that
    // tasks lost with an owner's VM restart after one tenure instead of a hold.
    const bool was_owner = name == former_owner;
    agent.hold_until =
        now + WithDrift(was_owner ? options_.tenure : options_.hold,
                        options_.clock_drift);
  }
}

// Returns whether this owner still holds its lease on the cell.
bool cell_owner::MayGrant(millis now) const {
  return now < lease_until_;
}

wire::cell_change& cell_owner::Propose() {
  return proposed_.emplace_back();
}

void cell_owner::UpdateIncarnation(agent_entry& agent,
                                   const wire::agent_report& report) {
  if (agent.report.incarnation() == report.incarnation()) {
    return;
  }
  if (agent.report.incarnation() != 0) {
    log_.Add(kPart, report.agent(), "accepted a new incarnation",
             "the agent restarted");
  }
  agent.backlog_since.clear();
}

wire::owner_reply cell_owner::OnReport(const wire::agent_report& report,
                                       millis now) {
  wire::owner_reply reply;
  reply.set_epoch(epoch_);
  if (report.epoch() > epoch_) {
    reply.set_outcome(wire::report_not_owner);
    reply.set_reason("the agent is in epoch " + std::to_string(report.epoch()) +
                     ", later than this owner's epoch " +
                     std::to_string(epoch_));
    return reply;
  }
  agent_entry& agent = agents_[report.agent()];
  if (agent.report.incarnation() > report.incarnation()) {
    reply.set_outcome(wire::report_not_owner);
    reply.set_reason("a later incarnation of this agent has reported");
    return reply;
  }
  UpdateIncarnation(agent, report);
  agent.report = report;
  agent.last_report_at = now;
  agent.silent = false;
  agent.query_state = worker_query_state::kNone;
  agent.worker_answer.clear();
  reply.set_sequence(++agent.reply_sequence);
  reply.set_manifest_version(manifest_version_);
  for (const auto& task : report.tasks()) {
    HandleTaskReport(agent, task, reply, now);
  }
  AddStartOrders(agent, reply);
  GrantExecutionRight(agent, reply, now);
  UpdateModels(report, now);
  effects_.AddToReply(reply);
  return reply;
}

// Updates the models of how tasks slow down requests and each other.
void cell_owner::UpdateModels(const wire::agent_report& report, millis now) {
  effects_.AddSample(report.effects());
  const auto class_of = [this](const wire::task_id& id) {
    const auto job = state_.Jobs().find(id.job());
    return job == state_.Jobs().end() ? std::string()
                                      : job->second.specification.task_class();
  };
  progress_.Observe(report, class_of, now, interference_);
}

// Grants the agent a tenure, or a hold while the store is unreachable. Ends an
// earlier hold if the agent has confirmed a later grant.
void cell_owner::GrantExecutionRight(agent_entry& agent,
                                     wire::owner_reply& reply,
                                     millis now) {
  // The agent runs under a later grant than the last hold.
  const bool hold_superseded =
      agent.report.epoch() == epoch_ &&
      agent.report.right_sequence() > agent.hold_sequence;
  if (hold_superseded) {
    agent.hold_until = 0;
  }
  if (!MayGrant(now)) {
    reply.set_lease_lapsed(true);
    return;
  }
  if (store_reachable_ || agent.report.agent() == owner_) {
    reply.set_tenure_ms(static_cast<std::uint64_t>(options_.tenure));
    agent.tenure_until = now + WithDrift(options_.tenure, options_.clock_drift);
    return;
  }
  reply.set_hold_ms(static_cast<std::uint64_t>(options_.hold));
  agent.hold_until = now + WithDrift(options_.hold, options_.clock_drift);
  agent.hold_sequence = reply.sequence();
}

// Processes the report on one task. A task that is not assigned to the agent is
// acknowledged if it has ended and withdrawn otherwise.
void cell_owner::HandleTaskReport(agent_entry& agent,
                                  const wire::task_report& task,
                                  wire::owner_reply& reply,
                                  millis now) {
  const std::string name = NameOf(task.id());
  const wire::task_record* record =
      state_.Find(task.id().job(), task.id().index());
  const bool current =
      state_.IsAssigned(task.id()) && record->agent() == agent.report.agent();
  if (!current) {
    agent.backlog_since.erase(name);
    recalled_attempts_.erase(name);
    *(IsEnded(task.phase()) ? reply.add_acknowledged() : reply.add_withdraw()) =
        task.id();
    return;
  }
  if (IsEnded(task.phase())) {
    HandleEndedTask(agent, task, now);
    return;
  }
  const job_entry& job = state_.Jobs().at(task.id().job());
  if (job.cancelled || !job.stopped.empty()) {
    *reply.add_withdraw() = task.id();
    return;
  }
  if (task.phase() != wire::phase_backlog) {
    agent.backlog_since.erase(name);
    recalled_attempts_.erase(name);
    return;
  }
  agent.backlog_since.try_emplace(name, now);
  if (recalled_attempts_.count(name) != 0) {
    *reply.add_give_back() = task.id();
  }
}

// Proposes the change that follows from the end of a task. The end is
// acknowledged only once that change is durable.
void cell_owner::HandleEndedTask(agent_entry& agent,
                                 const wire::task_report& task,
                                 millis now) {
  if (pending_changes_.count({task.id().job(), task.id().index()}) != 0) {
    return;
  }
  switch (task.phase()) {
    case wire::phase_finished:
      agent.consecutive_failures = 0;
      ProposeFinish(task.id());
      break;
    case wire::phase_failed:
      CountFailure(agent, now);
      ProposeRelease(task.id(), wire::release_failed, &task,
                     agent.report.agent());
      break;
    case wire::phase_evicted:
      ProposeRelease(task.id(), wire::release_evicted, &task,
                     agent.report.agent());
      break;
    default: {
      const job_entry& job = state_.Jobs().at(task.id().job());
      const auto cause =
          job.ShouldRun() ? wire::release_returned : wire::release_cancelled;
      ProposeRelease(task.id(), cause, &task, agent.report.agent());
      break;
    }
  }
}

// Counts a failed task and quarantines the worker at the threshold.
void cell_owner::CountFailure(agent_entry& agent, millis now) {
  ++agent.consecutive_failures;
  if (agent.consecutive_failures == options_.quarantine_threshold) {
    agent.next_probe_at = now + options_.quarantine_probe_interval;
    log_.Add(kPart, agent.report.agent(), "quarantined the worker",
             std::to_string(agent.consecutive_failures) +
                 " consecutive tasks failed on it");
  }
}

void cell_owner::ProposeFinish(const wire::task_id& id) {
  *Propose().mutable_finished()->mutable_id() = id;
  pending_changes_.insert({id.job(), id.index()});
  log_.Add(kPart, NameOf(id), "recorded the end",
           "the agent or its worker says it finished");
}

void cell_owner::ProposeRelease(const wire::task_id& id,
                                wire::release_cause cause,
                                const wire::task_report* report,
                                const std::string& agent) {
  auto* released = Propose().mutable_released();
  *released->mutable_id() = id;
  released->set_cause(cause);
  released->set_agent(agent);
  std::string why = agent + ": its right to run the task has ended";
  if (report) {
    released->set_checkpoint(report->checkpoint());
    released->set_progress_ms(report->progress_ms());
    why = agent + ": " + report->reason();
  }
  pending_changes_.insert({id.job(), id.index()});
  log_.Add(kPart, NameOf(id),
           "released the task (" + wire::release_cause_Name(cause) + ")", why);
}

// Adds the durable assignments that the agent has not reported yet, unless they
// belong to an earlier instance of its worker.
void cell_owner::AddStartOrders(const agent_entry& agent,
                                wire::owner_reply& reply) const {
  std::set<std::string> reported;
  for (const auto& task : agent.report.tasks()) {
    reported.insert(NameOf(task.id()));
  }
  for (const task_key& key : state_.AssignedTo(agent.report.agent())) {
    const job_entry& job = state_.Jobs().at(key.job);
    const wire::task_record& task = job.tasks[key.index];
    const wire::assignment assignment = MakeAssignment(job, task);
    const bool known = reported.count(NameOf(assignment.id())) != 0;
    const bool same_worker =
        task.worker_instance() == agent.report.worker_instance();
    if (!known && same_worker && job.ShouldRun() &&
        pending_changes_.count(key) == 0) {
      *reply.add_start() = assignment;
    }
  }
}

wire::assignment cell_owner::MakeAssignment(
    const job_entry& job,
    const wire::task_record& task) const {
  wire::assignment assignment;
  assignment.mutable_id()->set_job(job.specification.name());
  assignment.mutable_id()->set_index(task.index());
  assignment.mutable_id()->set_attempt(task.attempt());
  *assignment.mutable_need() = job.specification.need();
  assignment.set_run_ms(job.specification.run_ms());
  assignment.set_task_class(job.specification.task_class());
  assignment.set_checkpoint(task.checkpoint());
  assignment.set_priority(job.specification.priority());
  return assignment;
}

void cell_owner::OnManifest(const manifest& value, std::uint64_t version) {
  if (version <= manifest_version_) {
    return;
  }
  manifest_ = value;
  manifest_version_ = version;
  log_.SetContext(version, epoch_);
  for (const auto& [name, job] : value.jobs) {
    const bool known = state_.Jobs().count(name) != 0;
    if (!known && HomeCell(name, value.cells) == cell_) {
      *Propose().mutable_accepted()->mutable_job() = job;
      log_.Add(kPart, name, "accepted the job",
               "manifest version " + std::to_string(version));
    }
  }
  for (const auto& [name, job] : state_.Jobs()) {
    if (value.jobs.count(name) == 0 && !job.cancelled && !job.Ended()) {
      Propose().mutable_cancelled()->set_job(name);
      log_.Add(kPart, name, "cancelled the job",
               "it is not in manifest version " + std::to_string(version));
    }
  }
  if (version > state_.ManifestVersion()) {
    Propose().mutable_manifest()->set_version(version);
  }
}

std::optional<wire::claim_reply> cell_owner::Claim(
    const wire::claim_request& request,
    std::uint64_t wall_ms) {
  wire::claim_reply reply;
  const auto known = state_.Claims().find(request.key());
  if (known != state_.Claims().end()) {
    const wire::claim_record& claim = known->second;
    const auto pending = pending_settlements_.find(request.key());
    if (claim.has_settled()) {
      reply.set_state(wire::claim_answered);
      *reply.mutable_settled() = claim.settled();
    } else if (pending != pending_settlements_.end()) {
      reply.set_state(wire::claim_answered);
      *reply.mutable_settled() = pending->second;
    } else if (claim.request_id() == request.request_id()) {
      reply.set_state(wire::claim_granted);
    } else {
      reply.set_state(wire::claim_in_progress);
      reply.set_reason("request " + claim.request_id() +
                       " holds this idempotency key");
    }
    return reply;
  }
  const auto claiming = pending_claims_.find(request.key());
  if (claiming != pending_claims_.end()) {
    if (claiming->second == request.request_id()) {
      return std::nullopt;
    }
    reply.set_state(wire::claim_in_progress);
    reply.set_reason("another request is claiming this idempotency key");
    return reply;
  }
  if (!store_reachable_ ||
      state_.Claims().size() + pending_claims_.size() >= options_.max_claims) {
    reply.set_state(wire::claim_unavailable);
    reply.set_reason(store_reachable_
                         ? "the cell stores the maximum of " +
                               std::to_string(options_.max_claims) +
                               " idempotency keys"
                         : "the store does not answer");
    return reply;
  }
  auto* claimed = Propose().mutable_claimed();
  claimed->set_key(request.key());
  claimed->set_request_id(request.request_id());
  claimed->set_service(request.service());
  claimed->set_at_ms(wall_ms);
  pending_claims_.emplace(request.key(), request.request_id());
  const auto retention_ms =
      static_cast<std::uint64_t>(options_.claim_retention);
  if (++claim_count_ % 256 == 0 && wall_ms > retention_ms) {
    Propose().mutable_expired()->set_before_ms(wall_ms - retention_ms);
  }
  return std::nullopt;
}

// Returns whether that request has the claim of the key, durable or not.
bool cell_owner::HoldsClaim(const std::string& key,
                            const std::string& request_id) const {
  const auto pending = pending_claims_.find(key);
  if (pending != pending_claims_.end()) {
    return pending->second == request_id;
  }
  const auto known = state_.Claims().find(key);
  return known != state_.Claims().end() &&
         known->second.request_id() == request_id;
}

void cell_owner::Settle(const wire::settlement& settled) {
  if (!HoldsClaim(settled.key(), settled.request_id())) {
    return;
  }
  if (settled.outcome() == wire::outcome_not_run) {
    auto* released = Propose().mutable_unclaimed();
    released->set_key(settled.key());
    released->set_request_id(settled.request_id());
    return;
  }
  wire::settlement stored = settled;
  if (state_.StoredAnswerBytes() + settled.body().size() >
      options_.max_stored_answer_bytes) {
    stored.clear_body();
    stored.set_body_kept(false);
  }
  pending_settlements_[settled.key()] = stored;
  *Propose().mutable_settled() = std::move(stored);
}

std::optional<wire::journal_record> cell_owner::NextRecord() {
  if (in_flight_ || proposed_.empty()) {
    return std::nullopt;
  }
  wire::journal_record record;
  record.set_sequence(state_.Sequence() + 1);
  record.set_epoch(epoch_);
  record.set_owner(owner_);
  record.set_operation(owner_ + "/" + std::to_string(epoch_) + "/" +
                       std::to_string(record.sequence()));
  const std::size_t count =
      std::min<std::size_t>(proposed_.size(), kMaxChangesInRecord);
  for (std::size_t i = 0; i < count; ++i) {
    *record.add_changes() = std::move(proposed_[i]);
  }
  proposed_.erase(proposed_.begin(),
                  proposed_.begin() + static_cast<std::ptrdiff_t>(count));
  in_flight_ = record;
  return record;
}

// Clears the mark of a pending change to the whole job. The mark is a task key
// with the index after the last task.
void cell_owner::ClearJobMarker(const std::string& name) {
  const auto job = state_.Jobs().find(name);
  if (job != state_.Jobs().end()) {
    pending_changes_.erase({name, job->second.specification.tasks()});
  }
}

result<void> cell_owner::OnCommitted(millis /*now*/) {
  const wire::journal_record record = std::move(*in_flight_);
  in_flight_.reset();
  for (const auto& change : record.changes()) {
    const wire::task_id* id = nullptr;
    if (change.has_assigned()) {
      id = &change.assigned().id();
    } else if (change.has_released()) {
      id = &change.released().id();
    } else if (change.has_finished()) {
      id = &change.finished().id();
    } else if (change.has_claimed()) {
      pending_claims_.erase(change.claimed().key());
    } else if (change.has_settled()) {
      pending_settlements_.erase(change.settled().key());
    } else if (change.has_dropped()) {
      ClearJobMarker(change.dropped().job());
    } else if (change.has_stopped()) {
      ClearJobMarker(change.stopped().job());
    }
    if (id) {
      pending_changes_.erase({id->job(), id->index()});
    }
  }
  return state_.Apply(record);
}

}  // namespace chervilkeel
