// log4cxx behind the log sink (design.md 12).
#pragma once

#include "stonemount.h"

namespace stonemount {

class Log4cxxSink : public LogSink {
 public:
  explicit Log4cxxSink(const std::string& process);
  void line(bool doubt, const std::string& text) override;

 private:
  std::string process_;
};

}  // namespace stonemount
