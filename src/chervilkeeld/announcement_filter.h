// Tells the announcements of an executor from those that another writer sends
// in its name.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "chervilkeel/clock.h"
#include "chervilkeel/platform_adapter.h"

namespace chervilkeel {

// What an announcement of the followed boot is taken for.
enum class announcement_verdict {
  kAccepted,
  kOutdated,     // A later one has come.
  kLeaps,        // Its sequence is higher than can have been reached.
  kContradicts,  // It changes what a boot cannot change.
};

struct announcement_verdict_name {
  announcement_verdict verdict;
  const char* name;
};

inline constexpr announcement_verdict_name kAnnouncementVerdictNames[] = {
    {announcement_verdict::kAccepted, "accepted"},
    {announcement_verdict::kOutdated, "outdated"},
    {announcement_verdict::kLeaps, "the sequence leaps"},
    {announcement_verdict::kContradicts, "contradicts the boot"},
};

const char* NameOf(announcement_verdict verdict);

// Judges the announcements of one boot. Those that fit the accepted ones are
// accepted. If none of these comes for a while, but others that fit one
// another do, the latter are the executor's.
class announcement_filter {
 public:
  // Starts with the first announcement of a boot.
  void Follow(const announcement& said, millis now);

  // Judges another announcement of that boot, and takes note of it.
  announcement_verdict Judge(const announcement& said, millis now);

  std::uint64_t Sequence() const { return followed_.sequence; }

 private:
  // Announcements that fit one another.
  struct series {
    std::string service;
    std::vector<std::string> labels;
    amount capacity;
    std::uint64_t sequence = 0;  // Of the last one.
    millis first_at = 0;
    millis last_at = 0;
    int count = 0;
  };

  static series Begin(const announcement& said, millis now);
  static announcement_verdict Compare(const series& known,
                                      const announcement& said,
                                      millis now);
  static void Extend(series& known, const announcement& said, millis now);

  // Executors announce themselves about once a second.
  static constexpr millis kMinInterval = 100;
  static constexpr std::uint64_t kSequenceSlack = 10;
  // Others that fit one another are the executor's after so many of them over
  // this time, ms. Delayed ones come in a burst.
  static constexpr int kRivalCount = 3;
  static constexpr millis kRivalTime = 1'500;

  series followed_;
  series rival_;
};

}  // namespace chervilkeel
