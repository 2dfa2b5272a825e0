#include "job_wire.h"

namespace chervilkeel {

namespace {

// Sets `out` to the value with this number; returns false if the table of names
// does not contain it.
template <class table_type, class value_type>
bool ReadValue(const table_type& table, std::uint32_t number, value_type& out) {
  for (const auto& [value, name] : table) {
    if (static_cast<std::uint32_t>(value) == number) {
      out = value;
      return true;
    }
  }
  return false;
}

bool ReadEnd(const wire::run_ending& ending, ended_run& out) {
  out.number = ending.number();
  out.run = ending.run();
  out.checkpoint = ending.checkpoint();
  return ParseTaskName(ending.task(), out.task) &&
         ReadValue(kRunEndNames, ending.how(), out.end);
}

}  // namespace

executor_boot FromWire(const wire::boot_id& boot) {
  return {boot.id(), boot.started_ms()};
}

wire::boot_id ToWire(const executor_boot& boot) {
  wire::boot_id out;
  out.set_id(boot.id);
  out.set_started_ms(boot.started_ms);
  return out;
}

wire::worker_state ToWire(const executor_description& worker) {
  wire::worker_state out;
  *out.mutable_boot() = ToWire(worker.boot);
  out.set_service(worker.service);
  out.set_data_centre(worker.data_centre);
  for (const std::string& label : worker.labels) {
    out.add_labels(label);
  }
  out.set_milli_processors(worker.capacity.milli_processors);
  out.set_memory_mb(worker.capacity.memory_mb);
  out.set_accelerators(worker.capacity.accelerators);
  out.set_draining(worker.draining);
  out.set_remaining_ms(worker.remaining);
  return out;
}

wire::run_state ToWire(const run_status& status) {
  wire::run_state out;
  out.set_task(status.task.ToString());
  out.set_run(status.run);
  out.set_checkpoint(status.checkpoint);
  out.set_percent(status.percent);
  out.set_load(status.load);
  return out;
}

wire::run_ending ToWire(const ended_run& ended) {
  wire::run_ending out;
  out.set_number(ended.number);
  out.set_task(ended.task.ToString());
  out.set_run(ended.run);
  out.set_how(static_cast<std::uint32_t>(ended.end));
  out.set_checkpoint(ended.checkpoint);
  return out;
}

wire::start_state ToWire(const start_result& started) {
  wire::start_state out;
  out.set_task(started.task.ToString());
  out.set_run(started.run);
  out.set_outcome(static_cast<std::uint32_t>(started.outcome));
  out.set_known_at_ms(started.known_at);
  return out;
}

wire::order ToWire(std::uint64_t number, const worker_order& order) {
  wire::order out;
  out.set_number(number);
  out.set_kind(static_cast<std::uint32_t>(order.kind));
  *out.mutable_boot() = ToWire(order.boot);
  out.set_task(order.task.ToString());
  out.set_run(order.run);
  out.set_payload(order.payload);
  out.set_checkpoint(order.checkpoint);
  out.set_reason(order.reason);
  out.set_percent(order.percent);
  out.set_was_tried(order.was_tried);
  return out;
}

wire::crashed_boot ToWire(const crashed_executor& crashed) {
  wire::crashed_boot out;
  *out.mutable_boot() = ToWire(crashed.boot);
  for (const lost_run& lost : crashed.runs) {
    wire::lost_run_state& run = *out.add_runs();
    run.set_task(lost.task.ToString());
    run.set_run(lost.run);
    run.set_proven(lost.proven);
  }
  return out;
}

crashed_executor FromWire(const wire::crashed_boot& crashed) {
  crashed_executor out;
  out.boot = FromWire(crashed.boot());
  for (const wire::lost_run_state& run : crashed.runs()) {
    lost_run lost{{}, run.run(), run.proven()};
    if (ParseTaskName(run.task(), lost.task)) {
      out.runs.push_back(std::move(lost));
    }
  }
  return out;
}

wire::evacuations ToWire(const evacuation_list& list) {
  wire::evacuations out;
  out.set_revision(list.revision);
  for (const std::string& data_centre : list.data_centres) {
    out.add_data_centres(data_centre);
  }
  return out;
}

evacuation_list FromWire(const wire::evacuations& list) {
  return {list.revision(),
          {list.data_centres().begin(), list.data_centres().end()}};
}

agent_call CallOf(const wire::agent_sync& sync) {
  return {sync.incarnation(), sync.number(), sync.sent_at_ms()};
}

worker_report FromWire(const wire::agent_sync& sync) {
  worker_report report;
  report.agent = sync.agent();
  report.call = CallOf(sync);
  const wire::worker_state& worker = sync.worker();
  report.worker.boot = FromWire(worker.boot());
  report.worker.service = worker.service();
  report.worker.data_centre = worker.data_centre();
  report.worker.labels.assign(worker.labels().begin(), worker.labels().end());
  report.worker.capacity = {worker.milli_processors(), worker.memory_mb(),
                            worker.accelerators()};
  report.worker.draining = worker.draining();
  report.worker.remaining = worker.remaining_ms();
  report.runs_age = sync.runs_age_ms();
  report.listed_after = sync.listed_after_ms();
  report.listed_before = sync.listed_before_ms();
  for (const wire::run_state& run : sync.runs()) {
    run_status status;
    if (ParseTaskName(run.task(), status.task)) {
      status.run = run.run();
      status.checkpoint = run.checkpoint();
      status.percent = run.percent();
      status.load = run.load();
      report.runs.push_back(std::move(status));
    } else {
      ++report.unreadable_rows;
    }
  }
  for (const wire::run_ending& ending : sync.ends()) {
    ended_run ended;
    if (!ReadEnd(ending, ended)) {
      ++report.unreadable_rows;
      break;
    }
    report.ends.push_back(std::move(ended));
  }
  report.has_runs = sync.lists_runs() && report.unreadable_rows == 0;
  for (const wire::start_state& start : sync.starts()) {
    start_result started;
    if (ParseTaskName(start.task(), started.task) &&
        ReadValue(kStartOutcomeNames, start.outcome(), started.outcome)) {
      started.run = start.run();
      started.known_at = start.known_at_ms();
      report.starts.push_back(std::move(started));
    } else {
      ++report.unreadable_rows;
    }
  }
  for (const wire::crashed_boot& crashed : sync.crashes()) {
    report.crashes.push_back(FromWire(crashed));
  }
  return report;
}

result<worker_order> FromWire(const wire::order& order) {
  worker_order out;
  if (!ParseTaskName(order.task(), out.task)) {
    return Fail(error_code::kInvalid,
                "order names no task: \"" + order.task() + "\"");
  }
  if (!ReadValue(kOrderKindNames, order.kind(), out.kind)) {
    return Fail(error_code::kInvalid,
                "order of unknown kind " + std::to_string(order.kind()));
  }
  out.boot = FromWire(order.boot());
  out.run = order.run();
  out.payload = order.payload();
  out.checkpoint = order.checkpoint();
  out.reason = order.reason();
  out.percent = order.percent();
  out.was_tried = order.was_tried();
  return out;
}

}  // namespace chervilkeel
