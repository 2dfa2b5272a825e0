#include "chervilkeel/decision_log.h"

#include <algorithm>
#include <utility>

#include "chervilkeel/clock.h"

namespace chervilkeel {

namespace {

// Returns whether `recorded` is `subject` or a name below it: `subject`
// followed by one of the separators '/', '#' and '@'.
bool MatchesSubject(const std::string& recorded, const std::string& subject) {
  if (recorded.compare(0, subject.size(), subject) != 0) {
    return false;
  }
  if (recorded.size() == subject.size()) {
    return true;
  }
  const char next = recorded[subject.size()];
  return next == '/' || next == '#' || next == '@';
}

}  // namespace

decision_log::decision_log(std::string process, std::size_t limit)
    : process_(std::move(process)), limit_(limit) {}

void decision_log::SetContext(std::uint64_t manifest_version,
                              std::uint64_t epoch) {
  const std::lock_guard lock(mutex_);
  manifest_version_ = manifest_version;
  epoch_ = epoch;
}

void decision_log::Add(const std::string& part,
                       const std::string& subject,
                       const std::string& what,
                       const std::string& why) {
  wire::decision_record record;
  record.set_at_ms(WallNow());
  record.set_process(process_);
  record.set_part(part);
  record.set_subject(subject);
  record.set_what(what);
  record.set_why(why);
  const std::lock_guard lock(mutex_);
  record.set_manifest_version(manifest_version_);
  record.set_epoch(epoch_);
  records_.push_back(std::move(record));
  if (records_.size() > limit_) {
    records_.pop_front();
  }
}

std::vector<wire::decision_record> decision_log::FindBySubject(
    const std::string& subject) const {
  const std::lock_guard lock(mutex_);
  std::vector<wire::decision_record> found;
  std::copy_if(records_.begin(), records_.end(), std::back_inserter(found),
               [&](const auto& record) {
                 return MatchesSubject(record.subject(), subject);
               });
  return found;
}

std::vector<wire::decision_record> decision_log::Latest(
    const std::string& part,
    std::size_t count) const {
  const std::lock_guard lock(mutex_);
  std::vector<wire::decision_record> found;
  for (auto record = records_.rbegin();
       record != records_.rend() && found.size() < count; ++record) {
    if (record->part() == part) {
      found.push_back(*record);
    }
  }
  std::reverse(found.begin(), found.end());
  return found;
}

}  // namespace chervilkeel
