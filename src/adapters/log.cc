#include "adapters/log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace stonemount {

Log4cxxSink::Log4cxxSink(const std::string& process) : process_(process) {
  log4cxx::LayoutPtr layout(new log4cxx::PatternLayout("time=%d{yyyy-MM-dd_HH:mm:ss.SSS} level=%p %m%n"));
  log4cxx::ConsoleAppenderPtr appender(new log4cxx::ConsoleAppender(layout, log4cxx::ConsoleAppender::getSystemErr()));
  log4cxx::BasicConfigurator::configure(appender);
}

void Log4cxxSink::line(bool doubt, const std::string& text) {
  static const log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("stonemount");
  const std::string whole = "process=" + process_ + " " + text;
  if (doubt)
    LOG4CXX_WARN(logger, whole);
  else
    LOG4CXX_INFO(logger, whole);
}

}  // namespace stonemount
