// Decoders fed what nobody wrote: random bytes, and sound bytes with damage. None may stop the
// process; all answer with a failure of their own type. Run under sanitizers too.
#include <rapidcheck.h>

#include "config/config_check.h"
#include "config/platform_list.h"
#include "config/settings.h"
#include "control/control_machine.h"
#include "proxy/sealed_reader.h"
#include "replication/messages.h"
#include "runtime/rpc_endpoint.h"
#include "store/store_machine.h"

using namespace stonemount;

namespace {
Bytes randomBytes(Chance& chance) {
  Bytes bytes;
  const std::size_t length = chance.below(300);
  for (std::size_t i = 0; i < length; ++i) bytes += static_cast<char>(chance.below(256));
  return bytes;
}

Bytes damaged(Bytes bytes, Chance& chance) {
  for (std::uint64_t i = 0; i <= chance.below(3); ++i) {
    if (bytes.empty()) break;
    if (chance.oneIn(3))
      bytes.resize(chance.below(bytes.size()));
    else
      bytes[chance.below(bytes.size())] = static_cast<char>(chance.below(256));
  }
  return bytes;
}

Bytes soundCommand(Chance& chance) {
  SubmitLot submit{"event", "key", "route", chance.next(), {{"a", "body"}, {"b", "body"}}, 5};
  GrantRuns grant{{1, 2}, 5, {{"lot-1", 0, {3, 4}, 2}}, true};
  CutProposal proposal{1, 2, 3, 4, 5, 6, 7, {8, 9}, 3};
  const StoreCommand commands[] = {submit, grant, proposal, CreateEvent{"event", 1, 2}, Sweep{true, 5}};
  return pack(commands[chance.below(5)]);
}

void framesAndCommands(std::uint64_t seed) {
  Chance chance(seed);
  const Bytes sound = soundCommand(chance);
  for (const Bytes& bytes : {randomBytes(chance), damaged(sound, chance)}) {
    unpack<Envelope>(bytes);
    unpack<Append>(bytes);
    unpack<Pong>(bytes);
    unpack<ControlNews>(bytes);
    StoreMachine store(chance, StorePlan());
    store.stamp(bytes, {1, 2, 3, 4, {5, 6}, 3});
    RC_ASSERT(!store.apply(bytes).empty());
    RC_ASSERT(!store.apply(pack(StoreEntry{static_cast<Us>(chance.next()), {}}) + bytes).empty());
    store.answer(bytes, true);
    const bool loaded = store.load(bytes);
    if (loaded) store.save();
    ControlMachine control;
    RC_ASSERT(!control.apply(bytes).empty());
    control.answer(bytes, true);
    control.load(bytes);
  }
}

void texts(std::uint64_t seed) {
  Chance chance(seed);
  const Bytes sound = R"({"base":0,"routes":[{"name":"a","kind":"whole","pool":"p","lots":true}]})";
  for (const Bytes& text : {randomBytes(chance), damaged(sound, chance), Bytes(chance.below(100000), '[')}) {
    JsonVerdict read = parseJson(text);
    if (auto* document = std::get_if<JsonDocument>(&read)) {
      readConfig(*document, true);
      readConfig(*document, false);
      canonicalJson(*document);
    }
    readSettings(text, {}, SettingsFor::kNode);
    readPlatformList(text);
    SealedReader reader("x");
    std::vector<Bytes> parts;
    reader.feed(text, parts);
    RC_ASSERT(!reader.sealed());
  }
}

// A refusal names the field and says why.
void refusalsNameTheField() {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {R"({"routes":[]})", "/base"},
      {R"({"base":0,"routes":[],"colour":1})", "/colour"},
      {R"({"base":0,"routes":[{"name":"a","kind":"whole"}]})", "/routes/0/pool"},
      {R"({"base":0,"routes":[{"name":"a","kind":"odd","pool":"p"}]})", "/routes/0/kind"},
      {R"({"base":0,"routes":[{"name":"A b","kind":"whole","pool":"p"}]})", "/routes/0/name"},
      {R"({"base":0,"routes":[{"name":"a","kind":"lookup","pool":"p","lots":true}]})", "/routes/0/lots"},
      {R"({"base":0,"routes":[{"name":"a","kind":"whole","pool":"p"},{"name":"a","kind":"whole","pool":"p"}]})",
       "/routes/1/name"},
      {R"({"base":0,"routes":[{"name":"a","kind":"whole","pool":"p","limitUs":1}]})", "/routes/0/limitUs"},
      {R"({"base":0})", "/routes"}};
  for (const auto& [text, field] : cases) {
    JsonVerdict read = parseJson(text);
    const ConfigVerdict verdict = readConfig(std::get<JsonDocument>(read), true);
    RC_ASSERT(std::holds_alternative<ConfigFault>(verdict));
    RC_ASSERT(std::get<ConfigFault>(verdict).field == field);
    RC_ASSERT(!std::get<ConfigFault>(verdict).why.empty());
  }
  const HeaderMap good{
      {"wire", "127.0.0.1:1"}, {"http", "127.0.0.1:2"}, {"zone", "z"}, {"seeds", "127.0.0.1:3"}, {"data", "d"}};
  RC_ASSERT(std::holds_alternative<Settings>(readSettings("", good, SettingsFor::kCore)));
  for (const SettingsFor role : {SettingsFor::kCore, SettingsFor::kStore}) {
    for (const char* key : {"wire", "http", "zone", "seeds", "data"}) {
      HeaderMap lacking = good;
      lacking.erase(key);
      // A core without a folder stands by; it may not where it is to found, and a store may never.
      if (role == SettingsFor::kCore && std::string(key) == "data") {
        RC_ASSERT(std::holds_alternative<Settings>(readSettings("", lacking, role)));
        lacking["founders"] = good.at("wire") + ",127.0.0.1:3";
      }
      const SettingsVerdict verdict = readSettings("", lacking, role);
      RC_ASSERT(std::holds_alternative<SettingsFault>(verdict));
      RC_ASSERT(std::get<SettingsFault>(verdict).key == key);
    }
  }
  HeaderMap named = good;
  named["wire"] = "core.example:7000";
  RC_ASSERT(std::get<SettingsFault>(readSettings("", named, SettingsFor::kCore)).key == "wire");
}
}  // namespace

int main() {
  bool well = rc::check("frames and commands", framesAndCommands);
  well &= rc::check("texts", texts);
  well &= rc::check("refusals name the field", refusalsNameTheField);
  return well ? 0 : 1;
}
