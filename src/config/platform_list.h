// The platform's list of workers as the project's own platforms tell it (design.md 7.7).
#pragma once

#include "config/worker_list.h"
#include "stonemount.h"

namespace stonemount {

struct PlatformList {
  std::uint64_t version = 0;
  std::vector<ListedWorker> workers;
};
std::optional<PlatformList> readPlatformList(const Bytes& body);

class PlatformListSource : public WorkerListSource {
 public:
  PlatformListSource(Ports& ports, Address platform) : ports_(ports), platform_(platform) {}
  Job<WorkerListVerdict> fetch() override;

 private:
  Ports& ports_;
  Address platform_;
};

}  // namespace stonemount
