#include "first_fit_owner.h"

#include "chervilkeel/cell_state.h"

namespace chervilkeel::bench {

namespace {

constexpr std::uint64_t kTenureMs = 10'000;

}  // namespace

first_fit_owner::first_fit_owner(const manifest& value) {
  for (const auto& [name, job] : value.jobs) {
    for (std::uint32_t index = 0; index < job.tasks(); ++index) {
      wire::assignment task;
      task.mutable_id()->set_job(name);
      task.mutable_id()->set_index(index);
      task.mutable_id()->set_attempt(1);
      *task.mutable_need() = job.need();
      task.set_run_ms(job.run_ms());
      task.set_task_class(job.task_class());
      waiting_[name].push_back(task);
    }
  }
}

// Takes tasks of the jobs in turn while they fit beside what the worker holds.
void first_fit_owner::Assign(const wire::agent_report& report) {
  amount room = FromWire(report.batch_room());
  auto& held = held_[report.agent()];
  for (const auto& [name, task] : held) {
    room -= FromWire(task.need());
  }
  bool placed = true;
  while (placed) {
    placed = false;
    for (auto& [job, tasks] : waiting_) {
      if (!tasks.empty() && Fits(FromWire(tasks.front().need()), room)) {
        room -= FromWire(tasks.front().need());
        held[NameOf(tasks.front().id())] = tasks.front();
        tasks.pop_front();
        placed = true;
      }
    }
  }
}

wire::owner_reply first_fit_owner::OnReport(const wire::agent_report& report) {
  wire::owner_reply reply;
  reply.set_epoch(1);
  reply.set_sequence(++sequence_);
  reply.set_tenure_ms(kTenureMs);
  auto& held = held_[report.agent()];
  for (const auto& task : report.tasks()) {
    const auto found = held.find(NameOf(task.id()));
    if (task.phase() == wire::phase_backlog ||
        task.phase() == wire::phase_running || found == held.end()) {
      continue;
    }
    *reply.add_acknowledged() = task.id();
    if (task.phase() != wire::phase_finished) {
      wire::assignment again = found->second;
      again.mutable_id()->set_attempt(again.id().attempt() + 1);
      again.set_checkpoint(task.checkpoint());
      waiting_[again.id().job()].push_front(again);
    }
    held.erase(found);
  }
  Assign(report);
  for (const auto& [name, task] : held) {
    *reply.add_start() = task;
  }
  return reply;
}

}  // namespace chervilkeel::bench
