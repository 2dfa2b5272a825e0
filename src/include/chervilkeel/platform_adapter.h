// What the daemon needs of a platform: its store, its executors, and the forms
// in which callers, executors and operators speak. Adapters are plug-ins; they
// translate and decide nothing.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "chervilkeel/coordination_store.h"
#include "chervilkeel/http_server.h"
#include "chervilkeel/job.h"
#include "chervilkeel/settings.h"
#include "chervilkeel/task_executor.h"

namespace chervilkeel {

// Sends the requests of a host whose path begins with a prefix to a queue.
struct queue_route {
  std::string host;
  std::string prefix;
  queue_policy queue;
};

// What operators have put in force.
struct deployed_config {
  std::uint64_t version = 0;
  std::vector<queue_route> routes;
  std::uint64_t max_body_bytes = 0;
};

enum class job_call_kind { kSubmit, kState, kCancel, kCount, kUnsupported };

// A caller's request, without its queue.
struct job_call {
  job_call_kind kind = job_call_kind::kUnsupported;
  std::string host;
  std::string path;
  millis deadline = 0;  // How long the caller waits; 0: not said.
};

// What became of a caller's request.
enum class job_result {
  kAccepted,
  kState,  // `state` holds it.
  kCount,  // `count` holds it.
  kCancelled,
  kNoJob,        // There is no such job.
  kNoQueue,      // No queue has that address.
  kInvalid,      // `message` says what is wrong.
  kOverloaded,   // Not accepted; never runs. `retry_after` says when to return.
  kUnavailable,  // Not accepted; never runs.
  kUnknown,      // It may have been accepted.
};

struct job_result_name {
  job_result value;
  const char* name;
};

inline constexpr job_result_name kJobResultNames[] = {
    {job_result::kAccepted, "accepted"},
    {job_result::kState, "state"},
    {job_result::kCount, "count"},
    {job_result::kCancelled, "cancelled"},
    {job_result::kNoJob, "no such job"},
    {job_result::kNoQueue, "no such queue"},
    {job_result::kInvalid, "invalid"},
    {job_result::kOverloaded, "overloaded"},
    {job_result::kUnavailable, "unavailable"},
    {job_result::kUnknown, "unknown"},
};

const char* NameOf(job_result value);

struct job_answer {
  job_result result = job_result::kUnavailable;
  job_state state = job_state::kQueued;
  std::uint64_t count = 0;
  millis retry_after = 0;
  std::string message;
};

// What an executor says of itself.
struct announcement {
  bool leaving = false;  // It has ended; only the id is set.
  executor_description worker;
  endpoint address;
  millis clock = 0;            // Its steady clock.
  std::uint64_t sequence = 0;  // Rises within a boot.
};

class platform_adapter {
 public:
  virtual ~platform_adapter() = default;

  virtual std::unique_ptr<coordination_store> MakeStore(
      boost::asio::io_context& context,
      const endpoint& peer) const = 0;

  virtual std::unique_ptr<task_executor> MakeExecutor(
      boost::asio::io_context& context,
      const endpoint& peer) const = 0;

  // The key under which operators keep the configuration.
  virtual std::string ConfigKey() const = 0;

  // The prefix of the keys by which operators evacuate data centres; the rest
  // of a key names one.
  virtual std::string EvacuationPrefix() const = 0;

  // Reads the configuration; kInvalid with the place.
  virtual result<deployed_config> DecodeConfig(
      const std::string& text) const = 0;

  virtual job_call DecodeCall(const http_request& request) const = 0;
  virtual result<job_spec> DecodeJob(const std::string& body) const = 0;
  virtual http_response EncodeAnswer(const job_answer& answer) const = 0;

  // True for the balancer's question whether the process takes requests.
  virtual bool IsReadinessCall(const http_request& request) const = 0;

  virtual result<announcement> DecodeAnnouncement(
      const http_request& request) const = 0;
};

using adapter_factory = std::function<std::unique_ptr<platform_adapter>()>;

// Registers an adapter under the name that settings use.
bool RegisterAdapter(const std::string& kind, adapter_factory factory);

// Makes the named adapter; kNotFound lists the adapters there are.
result<std::unique_ptr<platform_adapter>> MakeAdapter(const std::string& kind);

}  // namespace chervilkeel
