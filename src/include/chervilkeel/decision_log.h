// In-memory log of the recent decisions of a process and their reasons.
#pragma once

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "wire/chervilkeel.pb.h"

namespace chervilkeel {

// Bounded log that drops its oldest records first. Thread-safe. Its mutex is
// the last in the lock order: no other lock is acquired while it is held.
class decision_log {
 public:
  // Stores at most `limit` records; each carries the process name `process`.
  decision_log(std::string process, std::size_t limit);

  // Sets the manifest version and the epoch that are attached to later records.
  void SetContext(std::uint64_t manifest_version, std::uint64_t epoch);

  // Records that the component `part` took the decision `what` on `subject` for
  // the reason `why`.
  void Add(const std::string& part,
           const std::string& subject,
           const std::string& what,
           const std::string& why);

  // Returns the records of a subject, oldest first. A job's name also selects
  // the records of its tasks and their attempts ("job/3", "job/3#1").
  std::vector<wire::decision_record> FindBySubject(
      const std::string& subject) const;

  // Returns the newest `count` records of one component, oldest first.
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
