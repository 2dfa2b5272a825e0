// Conversions between the kernel's types and the messages of jobs.proto.
#pragma once

#include "chervilkeel/evacuation_state.h"
#include "chervilkeel/result.h"
#include "chervilkeel/worker_report.h"
#include "wire/jobs.pb.h"

namespace chervilkeel {

executor_boot FromWire(const wire::boot_id& boot);
wire::boot_id ToWire(const executor_boot& boot);
wire::worker_state ToWire(const executor_description& worker);
wire::run_state ToWire(const run_status& status);
wire::run_ending ToWire(const ended_run& ended);
wire::start_state ToWire(const start_result& started);
wire::order ToWire(std::uint64_t number, const worker_order& order);
wire::crashed_boot ToWire(const crashed_executor& crashed);
crashed_executor FromWire(const wire::crashed_boot& crashed);
wire::evacuations ToWire(const evacuation_list& list);
evacuation_list FromWire(const wire::evacuations& list);

agent_call CallOf(const wire::agent_sync& sync);

// Leaves out rows that can't be read, and counts them. A list of runs is then
// not taken for complete, since the run of a row may be anyone's. Of the ends
// those after such a row are left out, too: to record them would acknowledge
// it. A start without a readable outcome stays open; a list or an end settles
// it.
worker_report FromWire(const wire::agent_sync& sync);
// Fails if the order names no task or its kind is unknown.
result<worker_order> FromWire(const wire::order& order);

}  // namespace chervilkeel
