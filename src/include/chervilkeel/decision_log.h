// The decisions that a process took lately, and why.
#pragma once

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "wire/chervilkeel.pb.h"

namespace chervilkeel {

// Keeps the newest decisions in memory, oldest out first. Safe to call from
// any thread; its mutex is the last in the lock order.
class decision_log {
 public:
  // Keeps at most `limit` records of the process named `process`.
  decision_log(std::string process, std::size_t limit);

  // Sets the manifest version and the epoch that later records carry.
  void SetContext(std::uint64_t manifest_version, std::uint64_t epoch);

  // Records that `part` decided `what` about `subject`, because of `why`.
  void Add(const std::string& part,
           const std::string& subject,
           const std::string& what,
           const std::string& why);

  // Returns the records about a subject, oldest first. A job's name also
  // selects the records about its tasks ("job/3", "job/3#1").
  std::vector<wire::decision_record> About(const std::string& subject) const;

  // Returns the newest `count` records of one part, oldest first.
  std::vector<wire::decision_record> Latest(const std::string& part,
                                            std::size_t count) const;

 private:
  const std::string process_;
  const std::size_t limit_;
  mutable std::mutex mutex_;
  std::uint64_t manifest_version_ = 0;
  std::uint64_t epoch_ = 0;
  std::deque<wire::decision_record> records_;
};

}  // namespace chervilkeel
