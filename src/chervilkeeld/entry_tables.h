// What the requests inside an entry share.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_set>

#include "chervilkeel/request_flight.h"
#include "chervilkeel/upstream_table.h"
#include "process_core.h"

namespace chervilkeel {

class request_session;

// The tables of an entry. See process_core for the lock order. Requests are
// ended with no lock held.
struct entry_tables {
  explicit entry_tables(process_core& process)
      : core(process),
        upstreams(OptionsOf(process.settings), process.incarnation),
        budget(kRetryShare, kRetryLimit) {}

  static constexpr double kRetryShare = 0.1;   // Retries per request.
  static constexpr double kRetryLimit = 50.0;  // Retries saved up at most.

  static upstream_options OptionsOf(const process_settings& settings) {
    upstream_options options;
    options.data_centre = settings.data_centre;
    options.contact_timeout = 3 * static_cast<millis>(settings.heartbeat);
    return options;
  }

  process_core& core;
  std::atomic<std::uint64_t> sequence{0};   // Of requests.
  std::atomic<std::uint64_t> in_flight{0};  // Requests with work left.
  std::atomic<bool> leaving{false};         // /healthz says so.
  std::atomic<bool> draining{false};        // New requests are refused.

  std::mutex mutex;  // Guards what follows.
  upstream_table upstreams;
  retry_budget budget;
  std::map<std::string, wire::cell_location> owners;          // By cell.
  std::unordered_set<std::shared_ptr<request_session>> open;  // Not answered.
};

}  // namespace chervilkeel
