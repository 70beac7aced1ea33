#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>

#include "stonemount.h"

namespace stonemount {

inline sockaddr_in socketAddress(const Address& address) {
  sockaddr_in where{};
  where.sin_family = AF_INET;
  where.sin_port = htons(address.port);
  where.sin_addr.s_addr = htonl(address.ip);
  return where;
}
inline std::string ipText(const Address& address) {
  std::string text = addressText(address);
  return text.substr(0, text.find(':'));
}

}  // namespace stonemount
