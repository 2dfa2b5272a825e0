// Operators' calls that every role answers.
#pragma once

#include <boost/json.hpp>

#include "chervilkeel/http_server.h"
#include "process_core.h"

namespace chervilkeel {

// Begins the dump of a process: who it is and what manifest it has in force.
boost::json::object DumpProcess(const process_core& core);

// Answers /metrics and /v1/explain; false when the call is another one.
bool AnswerCommonCall(process_core& core,
                      const http_request& request,
                      const http_responder& respond);

}  // namespace chervilkeel
