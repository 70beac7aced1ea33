// A file to which a stand-in writes what it saw, a line as each thing happens: a crash loses none (docs/soak.md).
#pragma once

#include <cstdio>

#include "stonemount.h"

namespace stonemount {

class RecordFile {
 public:
  // Lines are added to what the file holds; an empty path: they go nowhere.
  explicit RecordFile(const std::string& path)
      : file_(std::fopen(path.empty() ? "/dev/null" : path.c_str(), "a"), &std::fclose) {}
  bool open() const { return file_ != nullptr; }
  void write(const std::string& line) {
    std::fprintf(file_.get(), "%s\n", line.c_str());
    std::fflush(file_.get());
  }

 private:
  std::unique_ptr<std::FILE, int (*)(std::FILE*)> file_;
};

}  // namespace stonemount
