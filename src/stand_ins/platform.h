// The stand-in platform: it keeps the list of workers and serves it (docs/worker-contract.md).
#pragma once

#include "config/control_state.h"
#include "runtime/await.h"

namespace stonemount {

class RehearsePlatform {
 public:
  explicit RehearsePlatform(Ports& ports);
  ~RehearsePlatform() { asked_.disconnect(); }
  void begin();
  void put(const ListedWorker& worker);
  void leave(const Address& worker);
  void remove(const Address& worker);
  void tellOld(bool old) { tellsOld_ = old; }  // the list as it was before its last change

 private:
  void onAsked(const HttpAsk& ask, ReplyPtr reply);
  void sendList(HttpReply& reply) const;
  Ports& ports_;
  sigc::connection asked_;
  std::uint64_t version_ = 0;
  std::map<Address, ListedWorker> workers_;
  std::map<Address, ListedWorker> oldWorkers_;
  std::uint64_t oldVersion_ = 0;
  bool tellsOld_ = false;
  void change();
};

}  // namespace stonemount
