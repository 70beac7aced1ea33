#include "proxy/warmth_probe.h"

namespace stonemount {

namespace {
constexpr Us kLimitUs = 2 * kSecondUs;  // it waits for a slot as requests do
}  // namespace

WarmthProbe::WarmthProbe(Ports& ports, TaskRoom& room, PoolLoadTable& table, const ControlState& control,
                         const WorkerDialect& dialect)
    : ports_(ports), room_(room), table_(table), control_(control), dialect_(dialect) {
  wanted_ = table_.probeWanted.connect(sigc::mem_fun(*this, &WarmthProbe::onWanted));
}

void WarmthProbe::onWanted(const Address& worker) {
  auto pool = control_.pools().find(table_.workers().at(worker).listed.pool);
  if (pool == control_.pools().end() || pool->second.warmPerKs == 0 || pool->second.healthPath.empty()) return;
  if (!table_.takeProbe(worker)) return;
  ++counts_.sent;
  room_.start(probe(worker, pool->second.healthPath));
}

Task WarmthProbe::probe(Address worker, std::string path) {
  const std::string life = table_.lifeOf(worker);
  const Us askedUs = ports_.clock.monoUs();
  HttpAsk ask;
  ask.method = "GET";
  ask.path = std::move(path);
  HttpVia via;
  via.keep = true;
  table_.boundChannels(worker, via);
  HttpCall call(ports_, worker, std::move(ask), kLimitUs, via);
  const HttpVerdict verdict = co_await call;
  const PoolLoadTable::Ending ending = read(worker, life, askedUs, verdict);
  table_.giveBack(worker, false, ending);
}

PoolLoadTable::Ending WarmthProbe::read(const Address& worker, const std::string& life, Us askedUs,
                                        const HttpVerdict& verdict) {
  using Ending = PoolLoadTable::Ending;
  if (table_.lifeOf(worker) != life) return Ending::kLeft;  // of its former life; says nothing of this one
  auto* answer = std::get_if<HttpWhole>(&verdict);
  if (answer == nullptr) {
    ++counts_.unanswered;
    return Ending::kLeft;  // the request beside it tells what is to be learned of that
  }
  const WorkerHealth health = dialect_.readHealth({answer->status, answer->headers}, life);
  if (health.state == WorkerHealth::State::kOtherLife) return Ending::kOtherLife;
  table_.contact(worker, life);
  if (health.load) table_.heard(worker, *health.load);
  if (health.state != WorkerHealth::State::kWell) return Ending::kRefused;
  ++(health.coldLeftUs > 0 ? counts_.cold : counts_.warm);
  table_.toldWarmth(worker, life, askedUs, health.coldLeftUs);
  return Ending::kWhole;
}

}  // namespace stonemount
