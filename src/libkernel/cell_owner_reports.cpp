// Implements the owner's replies to entry processes and operators.
#include "chervilkeel/cell_owner.h"

namespace chervilkeel {

namespace {

constexpr const char* kRepairPart = "repair";
constexpr std::size_t kMaxRepairsReported = 50;
// A task that has run this many times its declared run time is a straggler.
constexpr std::uint64_t kStragglerFactor = 4;

}  // namespace

void cell_owner::FillRoster(wire::roster_reply& reply, millis now) const {
  reply.set_cell(cell_);
  reply.set_epoch(epoch_);
  reply.set_manifest_version(manifest_version_);
  reply.set_lease_lapsed(!MayGrant(now));
  for (const auto& [name, agent] : agents_) {
    if (agent.report.address().empty() ||
        now - agent.last_report_at > options_.roster_retention) {
      continue;
    }
    auto* member = reply.add_members();
    member->set_agent(name);
    member->set_address(agent.report.address());
    member->set_data_centre(agent.report.data_centre());
    member->set_rack(agent.report.rack());
    member->set_incarnation(agent.report.incarnation());
    member->set_heard_ms_ago(
        static_cast<std::uint64_t>(now - agent.last_report_at));
    member->set_draining(agent.report.draining());
    *member->mutable_load() = agent.report.load();
  }
}

const char* cell_owner::ConditionOf(const agent_entry& agent) const {
  if (agent.silent) {
    return "silent";
  }
  if (agent.report.draining()) {
    return "leaving";
  }
  return agent.consecutive_failures >= options_.quarantine_threshold
             ? "quarantined"
             : "in use";
}

// Counts the running and queued tasks of one worker, and adds the running tasks
// to the counts of their jobs.
void cell_owner::CountTasks(const agent_entry& agent,
                            wire::worker_report& worker,
                            std::map<std::string, running_counts>& jobs) const {
  for (const auto& task : agent.report.tasks()) {
    if (task.phase() == wire::phase_backlog) {
      worker.set_backlog(worker.backlog() + 1);
    }
    if (task.phase() != wire::phase_running) {
      continue;
    }
    worker.set_running(worker.running() + 1);
    running_counts& counts = jobs[task.id().job()];
    ++counts.running;
    const auto job = state_.Jobs().find(task.id().job());
    if (job != state_.Jobs().end() &&
        task.progress_ms() >
            kStragglerFactor * job->second.specification.run_ms()) {
      ++counts.stragglers;
    }
  }
}

void cell_owner::FillWorker(const std::string& name,
                            const agent_entry& agent,
                            wire::worker_report& worker) const {
  worker.set_agent(name);
  worker.set_data_centre(agent.report.data_centre());
  worker.set_rack(agent.report.rack());
  *worker.mutable_capacity() = agent.report.capacity();
  worker.set_condition(ConditionOf(agent));
  amount assigned;
  for (const task_key& key : state_.AssignedTo(name)) {
    assigned += FromWire(state_.Jobs().at(key.job).specification.need());
  }
  *worker.mutable_assigned() = ToWire(assigned);
}

void cell_owner::FillJob(const std::string& name,
                         const job_entry& job,
                         const running_counts& counts,
                         wire::job_report& report) const {
  report.set_job(name);
  report.set_tasks(static_cast<std::uint32_t>(job.tasks.size()));
  report.set_waiting(static_cast<std::uint32_t>(job.waiting.size()));
  report.set_assigned(static_cast<std::uint32_t>(job.assigned.size()));
  report.set_running(counts.running);
  report.set_stragglers(counts.stragglers);
  report.set_finished(job.finished);
  const interruption_counts troubles = job.Interruptions();
  report.set_evictions(troubles.evictions);
  report.set_failures(troubles.failures);
  report.set_losses(troubles.losses);
  const auto unplaceable = unplaceable_jobs_.find(name);
  if (job.Ended()) {
    report.set_state("finished");
  } else if (job.cancelled) {
    report.set_state("cancelled");
  } else if (!job.stopped.empty()) {
    report.set_state("stopped");
    report.set_reason(job.stopped);
  } else if (unplaceable != unplaceable_jobs_.end()) {
    report.set_state("fits nowhere");
    report.set_reason(unplaceable->second);
  } else {
    report.set_state(job.assigned.empty() ? "waiting" : "running");
  }
}

void cell_owner::FillJobs(wire::jobs_reply& reply, millis now) const {
  reply.set_cell(cell_);
  reply.set_epoch(epoch_);
  reply.set_owner(owner_);
  std::map<std::string, running_counts> running;
  for (const auto& [name, agent] : agents_) {
    wire::worker_report& worker = *reply.add_workers();
    FillWorker(name, agent, worker);
    if (now - agent.last_report_at <= options_.heartbeat_timeout) {
      CountTasks(agent, worker, running);
    }
  }
  for (const auto& [name, job] : state_.Jobs()) {
    FillJob(name, job, running[name], *reply.add_jobs());
  }
  for (const auto& record : log_.Latest(kRepairPart, kMaxRepairsReported)) {
    *reply.add_repairs() = record;
  }
}

}  // namespace chervilkeel
