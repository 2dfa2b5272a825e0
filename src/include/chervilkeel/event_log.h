// The log of decisions on standard output: one line an event, as key=value
// pairs. Lines beyond the rate are counted and left out; writing never blocks.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace chervilkeel {

// A pair of a line. Values with spaces are quoted.
struct event_field {
  std::string_view key;
  std::string value;

  event_field(std::string_view name, std::string text)
      : key(name), value(std::move(text)) {}
  event_field(std::string_view name, const char* text)
      : key(name), value(text) {}
  event_field(std::string_view name, std::int64_t number)
      : key(name), value(std::to_string(number)) {}
  event_field(std::string_view name, std::uint64_t number)
      : key(name), value(std::to_string(number)) {}
  event_field(std::string_view name, int number)
      : key(name), value(std::to_string(number)) {}
  event_field(std::string_view name, double number)
      : key(name), value(std::to_string(number)) {}
  event_field(std::string_view name, bool flag)
      : key(name), value(flag ? "true" : "false") {}
};

// Sends events to standard output. To be called once, early.
void StartEventLog(const std::string& process);

// Writes what is queued; to be called before the process ends.
void StopEventLog();

// Writes one line: the time, the process, the part, the event, the fields.
// Events that are `important` (start, stop, a lost dependency) pass the limit
// of the rate.
void LogEvent(const char* part,
              const char* event,
              std::initializer_list<event_field> fields,
              bool important = false);

// The same with fields that are already text.
void LogEventText(const char* part, const char* event, const std::string& text);

}  // namespace chervilkeel
