// A process that hands commands to a modelled chain, with a connection of its own, as a node does.
#pragma once

#include "chain_rig.h"

namespace stonemount {

struct ChainSender {
  ChainSender(Rig& rig, std::uint16_t number)
      : host(rig.world.addHost("sender-" + std::to_string(number), "zone-0", {3, number}, {4, number})) {
    host.rise();
    ports = std::make_unique<Ports>(host.ports());
    rpc = std::make_unique<RpcEndpoint>(host, host, host.chance);
    client = std::make_unique<ChainClient>(*ports, *rpc, rig.addresses);
  }
  SimHost& host;
  std::unique_ptr<Ports> ports;
  std::unique_ptr<RpcEndpoint> rpc;
  std::unique_ptr<ChainClient> client;
};

}  // namespace stonemount
