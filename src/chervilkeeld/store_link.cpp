#include "store_link.h"

#include "chervilkeel/event_log.h"

namespace chervilkeel {

namespace {

constexpr const char* kPart = "store";

}  // namespace

millis store_link::Silent() const {
  return answered_ < 0 ? -1 : BootNow() - answered_;
}

void store_link::NoteAnswer() {
  if (reported_lost_) {
    LogEvent(kPart, "regained", {{"silent_ms", Silent()}}, true);
    reported_lost_ = false;
  }
  failures_ = 0;
  answered_ = BootNow();
}

void store_link::NoteFailure(const error& failure) {
  ++failures_;
  if (failures_ >= kFailuresToLost && !reported_lost_) {
    reported_lost_ = true;
    LogEvent(kPart, "lost",
             {{"error", ToString(failure)}, {"silent_ms", Silent()}}, true);
  }
}

}  // namespace chervilkeel
