// Executors that crash, and the tasks that may be the cause.
#include <algorithm>

#include "chervilkeel/job_scheduler.h"

namespace chervilkeel {

bool job_scheduler::IsProven(const scheduled_worker& worker,
                             const task_run& run) {
  return run.phase != run_phase::kOrdered &&
         worker.listed_at - run.active_since >= kProvingTime;
}

void job_scheduler::ReportCrash(const scheduled_worker& worker) {
  std::uint64_t runs = 0;
  std::uint64_t unproven = 0;
  std::string names;
  for (const task_name& key : worker.tasks) {
    const scheduled_task* task = FindTask(key);
    if (task == nullptr) {
      continue;
    }
    for (const task_run& run : task->runs) {
      if (run.agent != worker.agent) {
        continue;
      }
      ++runs;
      if (!IsProven(worker, run) && ++unproven <= kMaxNamedRuns) {
        names += (names.empty() ? "" : ",") + key.ToString();
      }
    }
  }
  Emit("executor_crashed", worker.description.boot.id, worker.agent,
       "runs=" + std::to_string(runs) + " unproven=" +
           std::to_string(unproven) + " tasks=\"" + names + "\"");
}

}  // namespace chervilkeel
