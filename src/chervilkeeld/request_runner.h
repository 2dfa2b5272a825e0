// Runs requests on the executor of the agent's VM, through its slots.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "chervilkeel/colocation_control.h"
#include "chervilkeel/http_client.h"
#include "chervilkeel/slot_admission.h"
#include "process_core.h"

namespace chervilkeel {

// Serves Execute and Probe. A request is answered "not run" only if it was
// never handed to the executor.
class request_runner : public wire::agent_service::CallbackService {
 public:
  request_runner(process_core& core, boost::asio::io_context& context);

  // Begins to look after queued requests.
  void Start();

  // Sets how many slots have processors.
  void SetGrantedSlots(std::uint32_t granted);

  // What the requests want of the worker, for its next control step.
  struct request_demand {
    std::uint32_t wanted_slots = 0;
    double slots_in_use = 0;           // Share of the slots.
    std::vector<service_times> times;  // Of requests since the last step.
  };

  // Returns the demand, and lets requests take no more slots than wanted until
  // SetGrantedSlots() is called, so that the rest can go to batch tasks.
  request_demand ReserveSlots(millis now);

  // Sets what to call, from any thread, when requests wait for processors that
  // only the next control step can free.
  void SetWake(std::function<void()> wake) { wake_ = std::move(wake); }

  // Refuses new requests from now on; those inside go on.
  void Drain() { draining_ = true; }

  // Requests that are queued or running.
  std::size_t Inside() const;

  void FillLoad(wire::upstream_load& load) const;

  grpc::ServerUnaryReactor* Execute(grpc::CallbackServerContext* context,
                                    const wire::execute_request* request,
                                    wire::execute_reply* reply) override;
  grpc::ServerUnaryReactor* Probe(grpc::CallbackServerContext* context,
                                  const wire::probe_request* request,
                                  wire::probe_reply* reply) override;

 private:
  // A request from its arrival to its answer.
  struct request_entry {
    grpc::CallbackServerContext* context = nullptr;
    grpc::ServerUnaryReactor* reactor = nullptr;
    const wire::execute_request* request = nullptr;
    wire::execute_reply* reply = nullptr;
    admission_ticket ticket;
    std::int64_t arrived_us = 0;
    std::int64_t started_us = 0;
  };

  void Pump();
  void Launch(std::uint64_t id);
  void OnExecutorAnswer(std::uint64_t id, result<http_response> answer);
  void FinishNotRun(std::uint64_t id, const std::string& reason);
  request_entry Remove(std::uint64_t id);
  void FillLoadLocked(wire::upstream_load& load) const;
  static admission_options OptionsOf(const process_settings& settings);

  process_core& core_;
  boost::asio::io_context& context_;
  boost::asio::steady_timer timer_;
  const std::shared_ptr<http_pool> executor_;
  std::function<void()> wake_;
  std::atomic<bool> draining_{false};

  mutable std::mutex mutex_;  // Guards what follows.
  slot_admission admission_;
  service_time_sums times_;
  std::map<std::uint64_t, request_entry> entries_;
  std::uint64_t next_id_ = 1;
};

}  // namespace chervilkeel
