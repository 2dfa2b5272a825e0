#include "chervilkeel/event_log.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <mutex>

#include "chervilkeel/clock.h"

namespace chervilkeel {

namespace {

constexpr double kLinesPerSecond = 400;  // About 60 KB/s at most.
constexpr double kBurstLines = 800;
constexpr int kQueuedLines = 1'024;  // Later ones are dropped.

// Admits lines up to a rate, and counts the others.
class line_limiter {
 public:
  // Returns false for a line that has to be left out.
  bool Admit(std::uint64_t& left_out) {
    const std::lock_guard lock(mutex_);
    const millis now = MonotonicNow();
    lines_ = std::min(kBurstLines, lines_ + static_cast<double>(now - last_) *
                                                kLinesPerSecond / 1'000.0);
    last_ = now;
    if (lines_ < 1) {
      ++left_out_;
      return false;
    }
    lines_ -= 1;
    left_out = std::exchange(left_out_, 0);
    return true;
  }

 private:
  std::mutex mutex_;
  double lines_ = kBurstLines;
  millis last_ = MonotonicNow();
  std::uint64_t left_out_ = 0;
};

line_limiter& Limiter() {
  static line_limiter limiter;
  return limiter;
}

std::shared_ptr<log4cxx::AsyncAppender>& Queue() {
  static std::shared_ptr<log4cxx::AsyncAppender> queue;
  return queue;
}

const log4cxx::LoggerPtr& EventLogger() {
  static const log4cxx::LoggerPtr kLogger =
      log4cxx::Logger::getLogger("events");
  return kLogger;
}

void AppendField(std::string& line,
                 std::string_view key,
                 const std::string& value) {
  line += ' ';
  line += key;
  line += '=';
  if (value.empty() || value.find_first_of(" \"\n") != std::string::npos) {
    line += '"';
    for (const char letter : value) {
      line += letter == '"' ? '\'' : letter == '\n' ? ' ' : letter;
    }
    line += '"';
  } else {
    line += value;
  }
}

}  // namespace

void StartEventLog(const std::string& process) {
  const auto layout = std::make_shared<log4cxx::PatternLayout>(
      "time=\"%d{yyyy-MM-dd HH:mm:ss.SSS}\" process=" + process + " %m%n");
  const auto console = std::make_shared<log4cxx::ConsoleAppender>(
      layout, log4cxx::ConsoleAppender::getSystemOut());
  Queue() = std::make_shared<log4cxx::AsyncAppender>();
  Queue()->setBufferSize(kQueuedLines);
  Queue()->setBlocking(false);
  Queue()->addAppender(console);
  EventLogger()->setAdditivity(false);
  EventLogger()->addAppender(Queue());
  EventLogger()->setLevel(log4cxx::Level::getInfo());
}

void StopEventLog() {
  if (Queue()) {
    Queue()->close();
  }
}

void LogEventText(const char* part,
                  const char* event,
                  const std::string& text) {
  if (!Queue()) {
    return;
  }
  std::uint64_t left_out = 0;
  if (!Limiter().Admit(left_out)) {
    return;
  }
  std::string line = "part=" + std::string(part) + " event=" + event;
  line += text.empty() ? "" : " " + text;
  if (left_out > 0) {
    AppendField(line, "lines_left_out", std::to_string(left_out));
  }
  LOG4CXX_INFO(EventLogger(), line);
}

void LogEvent(const char* part,
              const char* event,
              std::initializer_list<event_field> fields,
              bool important) {
  if (!Queue()) {
    return;
  }
  std::uint64_t left_out = 0;
  if (!Limiter().Admit(left_out) && !important) {
    return;
  }
  std::string line = "part=" + std::string(part) + " event=" + event;
  for (const event_field& field : fields) {
    AppendField(line, field.key, field.value);
  }
  if (left_out > 0) {
    AppendField(line, "lines_left_out", std::to_string(left_out));
  }
  LOG4CXX_INFO(EventLogger(), line);
}

}  // namespace chervilkeel
