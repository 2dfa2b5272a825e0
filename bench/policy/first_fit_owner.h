// A simpler owner for comparison: gives each task to the first worker on which
// its declared size fits.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>

#include "chervilkeel/amount.h"
#include "chervilkeel/manifest.h"

namespace chervilkeel::bench {

class first_fit_owner {
 public:
  explicit first_fit_owner(const manifest& value);

  // Answers a heartbeat with a tenure and the tasks to start.
  wire::owner_reply OnReport(const wire::agent_report& report);

 private:
  void Assign(const wire::agent_report& report);

  std::map<std::string, std::deque<wire::assignment>> waiting_;  // By job.
  std::map<std::string, std::map<std::string, wire::assignment>> held_;
  std::uint64_t sequence_ = 0;
};

}  // namespace chervilkeel::bench
