// A folder of a test's own, below the directory that the test runs in, removed with the object.
// Not below /tmp: the build directory is known to be writable, since the test was linked there.
#pragma once
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <string>

namespace stonemount {

class ScratchFolder {
 public:
  ScratchFolder() {
    std::string name = (std::filesystem::current_path() / "scratch-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
      std::printf("FAILED no scratch folder %s: %s\n", name.c_str(), std::strerror(errno));
      std::exit(1);
    }
    path_ = name;
  }
  ~ScratchFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  ScratchFolder(const ScratchFolder&) = delete;
  ScratchFolder& operator=(const ScratchFolder&) = delete;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace stonemount
