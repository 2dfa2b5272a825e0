// Client interface to the worker of the platform, and the registry of the
// plug-ins that implement it.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "chervilkeel/agent_core.h"
#include "chervilkeel/result.h"
#include "chervilkeel/settings.h"

namespace chervilkeel {

// Capacity and identity of a worker, as reported by the platform.
struct worker_description {
  amount capacity;
  std::string instance;  // Differs for each VM and never changes.
};

// Interface that worker plug-ins implement. A worker accepts each attempt only
// once, rejects a start or renewal whose lease has already expired, and ends a
// task when its lease expires. Lease ends are times on the monotonic clock of
// the VM, which agent and worker share. Calls block.
class worker_platform {
 public:
  virtual ~worker_platform() = default;

  // Returns the capacity and identity of the worker.
  virtual result<worker_description> Describe() = 0;

  // Applies the actions in order, then returns all tasks of the worker.
  virtual result<std::vector<worker_task>> Act(
      const std::vector<worker_action>& actions) = 0;
};

using worker_factory =
    std::function<std::unique_ptr<worker_platform>(endpoint, millis timeout)>;

// Registers a plug-in under the name by which settings select it.
bool RegisterWorker(const std::string& kind, worker_factory factory);

// Creates a client of the given kind. For an unknown kind, returns kNotFound
// with a message that lists the registered kinds.
result<std::unique_ptr<worker_platform>> MakeWorker(const std::string& kind,
                                                    const endpoint& peer,
                                                    millis timeout);

}  // namespace chervilkeel
