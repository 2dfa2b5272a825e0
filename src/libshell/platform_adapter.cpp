#include "chervilkeel/platform_adapter.h"

#include "chervilkeel/name_table.h"

namespace chervilkeel {

const char* NameOf(job_result value) {
  return NameIn(kJobResultNames, value);
}

}  // namespace chervilkeel
