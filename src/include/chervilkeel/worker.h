// The platform's worker as the shell sees it, and the registry of plug-ins
// that speak to one.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "chervilkeel/agent_core.h"
#include "chervilkeel/result.h"
#include "chervilkeel/settings.h"

namespace chervilkeel {

// What a worker carries, as the platform describes it.
struct worker_description {
  amount capacity;
  std::string instance;  // New with each VM, the same for its whole life.
};

// The interface that worker plug-ins implement. A worker takes each attempt
// once; it refuses a start or a renewal whose lease has already ended; it ends
// a task when its lease lapses. Lease ends are instants on the monotonic clock
// of the VM, which agent and worker share. Calls block.
class worker_platform {
 public:
  virtual ~worker_platform() = default;

  // Returns what the worker carries.
  virtual result<worker_description> Describe() = 0;

  // Carries out the actions in order, then lists all tasks.
  virtual result<std::vector<worker_task>> Act(
      const std::vector<worker_action>& actions) = 0;
};

using worker_factory =
    std::function<std::unique_ptr<worker_platform>(endpoint, millis timeout)>;

// Registers a plug-in under the name that settings use.
bool RegisterWorker(const std::string& kind, worker_factory factory);

// Makes a client of the named kind; kNotFound lists the kinds there are.
result<std::unique_ptr<worker_platform>> MakeWorker(const std::string& kind,
                                                    const endpoint& peer,
                                                    millis timeout);

}  // namespace chervilkeel
