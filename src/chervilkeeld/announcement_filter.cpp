#include "announcement_filter.h"

#include "chervilkeel/name_table.h"

namespace chervilkeel {

const char* NameOf(announcement_verdict verdict) {
  return NameIn(kAnnouncementVerdictNames, verdict);
}

void announcement_filter::Follow(const announcement& said, millis now) {
  followed_ = Begin(said, now);
  rival_ = series();
}

announcement_verdict announcement_filter::Judge(const announcement& said,
                                                millis now) {
  const announcement_verdict verdict = Compare(followed_, said, now);
  if (verdict == announcement_verdict::kAccepted) {
    Extend(followed_, said, now);
    rival_ = series();
    return verdict;
  }
  const bool fits_rival =
      rival_.count > 0 && said.sequence > rival_.sequence &&
      Compare(rival_, said, now) == announcement_verdict::kAccepted;
  if (!fits_rival) {
    rival_ = Begin(said, now);
    return verdict;
  }
  Extend(rival_, said, now);
  if (rival_.count < kRivalCount || now - rival_.first_at < kRivalTime) {
    return verdict;
  }
  followed_ = rival_;
  rival_ = series();
  return announcement_verdict::kAccepted;
}

announcement_filter::series announcement_filter::Begin(const announcement& said,
                                                       millis now) {
  return {said.worker.service,
          said.worker.labels,
          said.worker.capacity,
          said.sequence,
          now,
          now,
          1};
}

announcement_verdict announcement_filter::Compare(const series& known,
                                                  const announcement& said,
                                                  millis now) {
  if (said.worker.service != known.service ||
      said.worker.labels != known.labels ||
      !(said.worker.capacity == known.capacity)) {
    return announcement_verdict::kContradicts;
  }
  if (said.sequence < known.sequence) {
    return announcement_verdict::kOutdated;
  }
  const auto most = kSequenceSlack + static_cast<std::uint64_t>(
                                         (now - known.last_at) / kMinInterval);
  return said.sequence - known.sequence > most
             ? announcement_verdict::kLeaps
             : announcement_verdict::kAccepted;
}

void announcement_filter::Extend(series& known,
                                 const announcement& said,
                                 millis now) {
  known.sequence = said.sequence;
  known.last_at = now;
  ++known.count;
}

}  // namespace chervilkeel
