// Cores on simulated machines that face the users' platform: its list of workers in pages, and its operator.
#pragma once

#include <absl/strings/numbers.h>

#include <cstdio>

#include "control/core.h"
#include "platform/operator.h"
#include "platform/worker_list.h"
#include "platform_texts.h"
#include "simulator/world.h"

namespace stonemount {

struct Instance {
  std::string id, service, zone, state;
  Address address;
  double coldMs = 0;
};

// Lists by pages, and turns away what comes too often.
class InstancesStandIn {
 public:
  explicit InstancesStandIn(SimHost& host) : host_(host) {
    asked_ = host.asked.connect(sigc::mem_fun(*this, &InstancesStandIn::onAsked));
  }
  ~InstancesStandIn() { asked_.disconnect(); }
  std::vector<Instance> instances;
  std::size_t pageSize = 2;
  std::uint64_t turnAway = 0;  // so many of the calls to come
  std::uint64_t calls = 0;
  std::string broken;  // told instead, if set

 private:
  void onAsked(const HttpAsk& ask, ReplyPtr reply) {
    ++calls;
    if (turnAway > 0) {
      --turnAway;
      return reply->whole(429, {}, "");
    }
    if (ask.path != "/instances" || !broken.empty()) return reply->whole(broken.empty() ? 404 : 200, {}, broken);
    std::size_t from = 0;
    const auto token = ask.query.find("PageToken");
    if (token != ask.query.end() && !absl::SimpleAtoi(token->second.substr(2), &from)) return reply->whole(400, {}, "");
    JsonOut out;
    out.object().key("Instances").array();
    for (std::size_t i = from; i < std::min(instances.size(), from + pageSize); ++i) {
      const Instance& one = instances[i];
      out.raw(absl::StrCat(R"({"Id":")", one.id, R"(","Service":")", one.service, R"(","Address":")",
                           addressText(one.address), R"(","Zone":")", one.zone,
                           R"(","Revision":"v1","Capacity":32,"State":")", one.state, R"(","WarmupLeftMs":)",
                           one.coldMs, R"(,"Phase":"dual","Models":[]})"));
    }
    out.closeArray().key("NextToken");
    if (from + pageSize < instances.size())
      out.text(absl::StrCat("p-", from + pageSize));
    else
      out.raw("null");
    out.closeObject();
    reply->whole(200, {}, out.take());
  }
  SimHost& host_;
  sigc::connection asked_;
};

struct Heard {
  int status = 0;
  Bytes body;
  Us afterUs = 0;
};

class PlatformRig {
 public:
  struct CoreProcess {
    SimHost* host = nullptr;
    Settings settings;
    std::unique_ptr<Ports> ports;
    std::unique_ptr<PlatformWorkerList> list;
    std::unique_ptr<Core> core;
    std::unique_ptr<PlatformOperator> face;
  };
  explicit PlatformRig(std::uint64_t seed) : world(seed) {
    SimHost& cloud = world.addHost("cloud", "z1", {kNet + 90, 7000}, {kNet + 90, 8000});
    cloud.rise();
    instances = std::make_unique<InstancesStandIn>(cloud);
    for (std::uint32_t i = 0; i < 3; ++i) {
      CoreProcess& one = cores.emplace_back();
      const Address wire{kNet + 1 + i, 7000}, http{kNet + 1 + i, 8000};
      one.host = &world.addHost(absl::StrCat("core-", i + 1), absl::StrCat("z", i + 1), wire, http);
      one.host->disk = std::make_unique<SimDisk>(*one.host, 8, 1 << 20);
      one.settings.wire = wire;
      one.settings.http = http;
      one.settings.zone = one.host->zone();
      for (std::uint32_t j = 0; j < 3; ++j) one.settings.founders.push_back({kNet + 1 + j, 7000});
    }
    for (CoreProcess& one : cores) start(one);
    run(4 * kSecondUs);
  }
  ~PlatformRig() {
    for (CoreProcess& one : cores) kill(one, false);
  }
  void start(CoreProcess& one) {
    one.host->rise();
    one.ports = std::make_unique<Ports>(one.host->ports());
    one.list = std::make_unique<PlatformWorkerList>(*one.ports, Address{kNet + 90, 8000});
    CorePlan plan;
    for (const Address& founder : one.settings.founders)
      if (founder != one.settings.wire) plan.gossip.seeds.push_back(founder);
    plan.list = one.list.get();
    one.core = std::make_unique<Core>(*one.ports, one.settings, plan);
    one.core->begin();
    one.face = std::make_unique<PlatformOperator>(one.core->operators(), nullptr,
                                                  absl::btree_set<std::string>{"z1", "z2", "z3"});
  }
  void kill(CoreProcess& one, bool power) {
    if (!one.host->up()) return;
    one.face.reset();
    one.core.reset();
    one.list.reset();
    one.host->fall();
    one.ports.reset();
    one.host->disk->losePower(power ? world.chance() : one.host->chance);
  }
  void run(Us lengthUs) { world.runUntil(world.nowUs() + lengthUs); }
  void isolate(CoreProcess& one, bool cut) {
    for (const auto& other : world.hosts()) {
      if (other.get() == one.host) continue;
      world.setCut(*one.host, *other, cut);
      world.setCut(*other, *one.host, cut);
    }
  }
  // Several may be open at once; `finish` runs until they are answered.
  void send(std::size_t core, const HttpAsk& ask, Heard& heard) {
    ++open_;
    cores[core].face->handle(ask, std::make_shared<Reply>(*this, heard));
  }
  Heard ask(std::size_t core, const std::string& method, const std::string& path, const Bytes& body = "",
            const std::string& match = "") {
    HttpAsk wish = configAsk(method, match, body);
    wish.path = wish.target = path;
    Heard heard;
    send(core, wish, heard);
    finish();
    return heard;
  }
  void finish() {
    for (int i = 0; i < 4000 && open_ > 0; ++i) run(2 * kMilliUs);
  }
  void expect(bool well, const std::string& what) {
    ++(well ? passed : failed);
    if (!well) std::printf("FAILED %s\n", what.c_str());
  }
  World world;
  std::unique_ptr<InstancesStandIn> instances;
  std::deque<CoreProcess> cores;
  inline static int passed = 0, failed = 0;
  static constexpr std::uint32_t kNet = (127u << 24) | (2u << 16);

 private:
  class Reply : public HttpReply {
   public:
    Reply(PlatformRig& rig, Heard& heard) : rig_(rig), heard_(heard), askedUs_(rig.world.nowUs()) {}
    ~Reply() override { --rig_.open_; }
    void begin(int status, const HeaderMap&) override { heard_.status = status; }
    void chunk(const Bytes& bytes) override { heard_.body += bytes; }
    void end() override { heard_.afterUs = rig_.world.nowUs() - askedUs_; }
    void whole(int status, const HeaderMap& headers, const Bytes& body) override {
      begin(status, headers);
      chunk(body);
      end();
    }
    std::size_t backlogBytes() const override { return 0; }

   private:
    PlatformRig& rig_;
    Heard& heard_;
    Us askedUs_;
  };
  int open_ = 0;
};

}  // namespace stonemount
