// The daemon's processes, and the stand-ins that they speak with.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "executor.h"
#include "judge.h"
#include "links.h"
#include "relay.h"
#include "store.h"

namespace chervilkeel::soak {

struct fleet_options {
  std::string daemon;
  std::string folder;  // Gets settings and logs.
  std::uint64_t seed = 0;
  std::size_t entries = 10;
  std::size_t agents = 61;
  std::string more_settings;    // Lines at the end of each entry's settings.
  std::size_t descriptors = 0;  // An entry's limit; 0: that of this process.
};

// The executors are in these, by rack in turn.
inline constexpr const char* kDataCentres[] = {"a", "b", "c"};

// Places: entries first, then agents, then the store. All listen on loopback,
// each process at an address of its own.
class fleet {
 public:
  fleet(boost::asio::io_context& context,
        record& log,
        judge& judged,
        fleet_options options);
  ~fleet();

  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  // Returns false if a port is taken or a process can't be started.
  bool Start();

  // Whether all processes run.
  bool IsWhole();

  // Sends SIGTERM to all, and SIGKILL to those that go on after `grace`.
  void Stop(millis grace);

  // Kills a process, starts a killed one, stops and continues one.
  void Kill(place process);
  void Launch(place process);
  void Pause(place process);
  void Continue(place process);

  // As the operator writes and removes requests.
  void Evacuate(const std::string& data_centre);
  void EndEvacuation(const std::string& data_centre);

  // Whether the store answers no entry.
  bool IsStoreSilent() const;

  // Tells the judge which agents are paused, killed or cut off, and whether the
  // store was silent since the last call.
  void WatchFaults();

  // The entry that owns the jobs by the store.
  std::optional<place> Owner() const;

  std::string NameOf(place process) const;
  std::vector<endpoint> Fronts() const;
  endpoint Front(place process) const { return At(process, port::kFront); }
  endpoint Readiness(place process) const { return At(process, port::kReady); }
  // 0 if it was killed or has ended.
  pid_t ProcessOf(place process) const { return processes_[process]; }
  std::size_t Entries() const { return options_.entries; }
  std::size_t Agents() const { return options_.agents; }
  place StorePlace() const { return options_.entries + options_.agents; }
  links& Links() { return links_; }
  store& Store() { return store_; }

 private:
  enum class port {
    kStore,
    kRpc,
    kRelay,
    kHttp,
    kFront,
    kReady,
    kAnnounce,
    kExecutor
  };

  bool FindPorts();
  std::string Ip(place process) const;
  endpoint At(place process, port kind) const;
  std::optional<place> FindPlace(const std::string& ip) const;
  void WriteSettings(place process) const;
  std::string File(place process, const char* suffix) const;
  static std::string DataCentre(std::size_t executor);

  record& log_;
  const fleet_options options_;
  boost::asio::io_context& context_;
  links links_;
  store store_;
  std::vector<std::shared_ptr<relay>> relays_;
  std::vector<std::unique_ptr<executor>> executors_;
  std::vector<pid_t> processes_;
  std::set<place> paused_;
  millis watched_ = MonotonicNow();  // Last, for faults.
  judge& judge_;
  std::string net_;  // The first two numbers of all addresses.
  int first_port_ = 0;
};

}  // namespace chervilkeel::soak
