// Test rig of the review.
#pragma once

#include "fleet.h"
#include "stand_ins.h"

namespace rig {

inline std::string route(const char* name, const char* prefix, const char* type, const char* service,
                         const char* more) {
  return text(
      "{\"Name\":\"%s\",\"Authority\":\"a.example\",\"PathPrefix\":\"%s\",\"Type\":\"%s\",\"TargetMs\":400,"
      "\"Precedence\":0,\"Service\":\"%s\",%s}",
      name, prefix, type, service, more);
}
inline std::string service(const char* name) {
  return text(
      "{\"Name\":\"%s\",\"HealthPath\":\"/health\",\"MaxConnections\":650,\"Protocol\":\"h1\",\"Tls\":false,"
      "\"WarmupS\":0.0,\"WarmupRateS\":0.0}",
      name);
}
inline std::string configuration(int revision, const std::string& routes, const std::string& services) {
  return text("{\"Revision\":%d,\"Routes\":[", revision) + routes + "],\"Services\":[" + services +
         "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderGuardMs\":3000,\"IdleGuardMs\":15000}"
         "}";
}
inline std::string lotText(const std::string& prefix, int items) {
  std::string out = "{\"Entries\":[";
  for (int i = 0; i < items; ++i)
    out += text(
        "%s{\"Id\":\"%s%04x\",\"Path\":\"/lots/%d\",\"Headers\":{\"Model\":\"m\",\"Token-Count\":\"1290,400\","
        "\"Prompt-Prefix\":\"9c2e41:1050,5d07b8:240\"},\"Body\":\"aGVsbG8=\",\"Tokens\":1690}",
        i > 0 ? "," : "", prefix.c_str(), i, i);
  return out + "]}";
}
inline int countOf(const std::string& body, const std::string& what) {
  int count = 0;
  for (std::size_t at = body.find(what); at != std::string::npos; at = body.find(what, at + what.size())) ++count;
  return count;
}
inline Message submitLot(const std::string& front, const std::string& lot, const std::string& body) {
  const Message answer =
      call(front, "POST", "/lots/" + lot, {{"Attempt-Id", lot}, {"Content-Type", "application/json"}}, body, 4);
  record.line(text("client sends lot %s: %d", lot.c_str(), answer.status));
  return answer;
}
inline Message readLot(const std::string& front, const std::string& lot) {
  return call(front, "GET", "/api/lots/" + lot + "?StartAfter=0", {}, "", 3);
}
inline bool trouble() {
  const char* given = getenv("TROUBLE");
  return given == nullptr || strcmp(given, "0") != 0;
}
[[noreturn]] inline void finish(Fleet& fleet, int code, const std::string& why) {
  record.line(text("result %d: %s", code, why.c_str()));
  printf("result %d: %s\n", code, why.c_str());
  fflush(stdout);
  fleet.stop();
  _exit(code);
}

}  // namespace rig
