#include "stand_ins/platform.h"

#include "config/json.h"

namespace stonemount {

// Versions go on from one start of the platform to the next.
RehearsePlatform::RehearsePlatform(Ports& ports)
    : ports_(ports), version_(static_cast<std::uint64_t>(ports.clock.wallUs())) {}

void RehearsePlatform::begin() {
  asked_ = ports_.httpIn.asked.connect(sigc::mem_fun(*this, &RehearsePlatform::onAsked));
}

void RehearsePlatform::put(const ListedWorker& worker) {
  auto found = workers_.find(worker.address);
  if (found != workers_.end() && found->second.sameAs(worker)) return;
  change();
  workers_[worker.address] = worker;
}

void RehearsePlatform::leave(const Address& worker) {
  auto found = workers_.find(worker);
  if (found == workers_.end() || found->second.leaving) return;
  change();
  found->second.leaving = true;
}

void RehearsePlatform::remove(const Address& worker) {
  if (!workers_.contains(worker)) return;
  change();
  workers_.erase(worker);
}

void RehearsePlatform::change() {
  oldWorkers_ = workers_;
  oldVersion_ = version_++;
}

void RehearsePlatform::sendList(HttpReply& reply) const {
  JsonOut out;
  out.object().field("version", tellsOld_ ? oldVersion_ : version_).key("workers").array();
  for (const auto& [address, worker] : tellsOld_ ? oldWorkers_ : workers_) {
    out.object().field("address", addressText(address)).field("pool", worker.pool).field("zone", worker.zone);
    out.field("slots", worker.slots).field("leaving", worker.leaving).closeObject();
  }
  out.closeArray().closeObject();
  reply.whole(200, {}, out.take() + "\n");
}

void RehearsePlatform::onAsked(const HttpAsk& ask, ReplyPtr reply) {
  if (ask.path == "/platform/workers") return sendList(*reply);
  JsonVerdict read = parseJson(ask.body);
  auto* document = std::get_if<JsonDocument>(&read);
  auto address = parseAddress(document != nullptr ? jsonString(*document, "address") : "");
  if (!std::holds_alternative<Address>(address))
    return reply->whole(400, {}, "{\"verdict\":\"bad_request\",\"field\":\"address\"}\n");
  ListedWorker worker;
  worker.address = std::get<Address>(address);
  worker.pool = jsonString(*document, "pool");
  worker.zone = jsonString(*document, "zone");
  worker.slots = static_cast<std::uint32_t>(jsonNumber(*document, "slots", 1));
  worker.leaving = jsonFlag(*document, "leaving");
  // A worker that has itself listed again and again does not take its mark off; its removal does.
  auto known = workers_.find(worker.address);
  worker.leaving |= known != workers_.end() && known->second.leaving;
  if (ask.path == "/platform/put")
    put(worker);
  else if (ask.path == "/platform/leave")
    leave(worker.address);
  else if (ask.path == "/platform/remove")
    remove(worker.address);
  else
    return reply->whole(404, {}, "{\"verdict\":\"unknown_path\"}\n");
  reply->whole(200, {}, "{\"verdict\":\"taken\"}\n");
}

}  // namespace stonemount
