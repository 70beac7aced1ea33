// The HTTP server on the real loop, which writes down what it was asked; tests answer.
#pragma once

#include "raw_peer.h"

namespace stonemount {

inline constexpr Address kAnyPort{(127u << 24) | 1, 0};

struct InRig : public sigc::trackable {
  explicit InRig(const HttpLimits& limits = {}) {
    in->setLimits(limits);
    EXPECT(in->listen());
    in->asked.connect(sigc::mem_fun(*this, &InRig::put));
  }
  void put(const HttpAsk& ask, ReplyPtr reply) {
    asks.push_back(ask);
    reply->gone.connect(sigc::mem_fun(*this, &InRig::left));
    replies.push_back(std::move(reply));
  }
  void left() { ++gone; }
  Loop loop;
  std::unique_ptr<HttpInEv> in = std::make_unique<HttpInEv>(loop, kAnyPort);
  std::vector<HttpAsk> asks;
  std::vector<ReplyPtr> replies;
  int gone = 0;
};
inline const std::string kGet = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

}  // namespace stonemount
