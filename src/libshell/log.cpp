#include "chervilkeel/log.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace chervilkeel {

void StartLogging(const std::string& process, const std::string& level) {
  const auto layout = std::make_shared<log4cxx::PatternLayout>(
      "%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p " + process + " %c: %m%n");
  const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
      layout, log4cxx::ConsoleAppender::getSystemErr());
  const auto root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  root->addAppender(appender);
  root->setLevel(log4cxx::Level::toLevel(level, log4cxx::Level::getInfo()));
}

void Log(log_level level, const char* part, const std::string& sentence) {
  const auto logger = log4cxx::Logger::getLogger(part);
  switch (level) {
    case log_level::kDebug:
      LOG4CXX_DEBUG(logger, sentence);
      break;
    case log_level::kInfo:
      LOG4CXX_INFO(logger, sentence);
      break;
    case log_level::kWarn:
      LOG4CXX_WARN(logger, sentence);
      break;
    case log_level::kError:
      LOG4CXX_ERROR(logger, sentence);
      break;
  }
}

}  // namespace chervilkeel
