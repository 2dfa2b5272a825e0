#include "chervilkeel/worker_report.h"

#include "chervilkeel/name_table.h"
#include "chervilkeel/task_executor.h"

namespace chervilkeel {

const char* NameOf(run_end end) {
  return NameIn(kRunEndNames, end);
}

bool ParseRunEnd(std::string_view name, run_end& out) {
  return ValueIn(kRunEndNames, name, out);
}

const char* NameOf(start_outcome outcome) {
  return NameIn(kStartOutcomeNames, outcome);
}

const char* NameOf(executor_verdict verdict) {
  return NameIn(kExecutorVerdictNames, verdict);
}

}  // namespace chervilkeel
