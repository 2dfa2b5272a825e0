// Logs: one line an event, with the time, the level and the part's prefix.
#pragma once

#include <string>

namespace chervilkeel {

enum class log_level { kDebug, kInfo, kWarn, kError };

// Sends logs to standard error from `level` up. To be called once, early.
void StartLogging(const std::string& process, const std::string& level);

// Writes one short sentence under the prefix of a part, like "owner".
void Log(log_level level, const char* part, const std::string& sentence);

inline void LogInfo(const char* part, const std::string& sentence) {
  Log(log_level::kInfo, part, sentence);
}

inline void LogWarn(const char* part, const std::string& sentence) {
  Log(log_level::kWarn, part, sentence);
}

inline void LogError(const char* part, const std::string& sentence) {
  Log(log_level::kError, part, sentence);
}

}  // namespace chervilkeel
