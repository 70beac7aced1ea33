// Configurations as the users' platform sends them, made up from a seed.
#pragma once

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include "platform/config.h"

namespace stonemount {

inline HttpAsk configAsk(const std::string& method, const std::string& match, const std::string& body) {
  HttpAsk ask;
  ask.method = method;
  ask.path = ask.target = "/api/configuration";
  ask.headers["if-match"] = match;
  ask.body = body;
  return ask;
}

inline std::string serviceText(const std::string& name) {
  return absl::StrCat(
      R"({"Name":")", name, R"(","HealthPath":"/health","MaxConnections":230,"Protocol":"h1","Tls":false,)",
      R"("WarmupS":3.5,"WarmupRateS":32.25,"Engine":{"Capacity":32,"CacheTokens":830505,"LinkMbps":260000.0,)",
      R"("Models":[{"Name":"m"}]}})");
}

struct RouteWish {
  std::string name = "r-1";
  std::string host = "a.example";
  std::string prefix = "/one/";
  std::string type = "streaming";
  std::string guard = "4000.5";
  std::string services = R"("Service":"s0")";
};
inline std::string routeText(const RouteWish& wish) {
  return absl::StrCat(R"({"Name":")", wish.name, R"(","Authority":")", wish.host, R"(","PathPrefix":")", wish.prefix,
                      R"(","Type":")", wish.type, R"(","GuardMs":)", wish.guard, R"(,"TargetMs":400,"Precedence":0,)",
                      wish.services, R"(,"MaxAttempts":2,"Affinity":true,"Resumable":)",
                      wish.type == "streaming" ? "true" : "false",
                      R"(,"GapTargetMs":200,"Further":{"x":[1,0.1,"\u00e9"]}})");
}

inline std::string putText(std::uint64_t revision, const std::vector<std::string>& routes,
                           const std::vector<std::string>& services) {
  return absl::StrCat(
      R"({"Revision":)", revision, R"(,"Routes":[)", absl::StrJoin(routes, ","), R"(],"Services":[)",
      absl::StrJoin(services, ","),
      R"(],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderGuardMs":3000,"IdleGuardMs":15000}})");
}

inline std::string plainPut(std::uint64_t revision) { return putText(revision, {routeText({})}, {serviceText("s0")}); }

inline std::string patchText(std::uint64_t revision, const std::vector<std::string>& routes,
                             const std::vector<std::string>& removed) {
  std::vector<std::string> names;
  for (const std::string& name : removed) names.push_back(absl::StrCat("\"", name, "\""));
  return absl::StrCat(R"({"Revision":)", revision, R"(,"Upsert":{"Routes":[)", absl::StrJoin(routes, ","),
                      R"(]},"Remove":{"Routes":[)", absl::StrJoin(names, ","), "]}}");
}

// The bodies that the platform's page calls invalid, on top of revision 5 as plainPut(5) left it.
inline std::vector<std::pair<const char*, std::string>> invalidPuts() {
  const std::vector<std::string> services = {serviceText("s0")};
  const std::string whole = plainPut(7);
  return {
      {"cut short", whole.substr(0, whole.size() - 1)},
      {"cut in half", whole.substr(0, whole.size() / 2)},
      {"empty", ""},
      {"more behind it", whole + "{}"},
      {"no object", "[]"},
      {"unknown service", putText(7, {routeText({.services = R"("Service":"s9")"})}, services)},
      {"unknown service in a share",
       putText(7,
               {routeText({.services = R"("Distribution":[{"Service":"s0","Share":1},{"Service":"s9","Share":0}])"})},
               services)},
      {"no services", putText(7, {routeText({})}, {})},
      {"same place", putText(7, {routeText({}), routeText({.name = "r-2", .host = "A.EXAMPLE"})}, services)},
      {"same name", putText(7, {routeText({}), routeText({.prefix = "/two/"})}, services)},
      {"no weight", putText(7, {routeText({.services = R"("Distribution":[{"Service":"s0","Share":0}])"})}, services)},
      {"no service", putText(7, {routeText({.services = R"("Service":null)"})}, services)},
      {"no share", putText(7, {routeText({.services = R"("Distribution":[])"})}, services)},
      {"no time", putText(7, {routeText({.guard = "0"})}, services)},
      {"no time, as a fraction", putText(7, {routeText({.guard = "0.0"})}, services)},
      {"time below nothing", putText(7, {routeText({.guard = "-1"})}, services)},
      {"time as text", putText(7, {routeText({.guard = "\"4000\""})}, services)},
      {"unknown type", putText(7, {routeText({.type = "odd"})}, services)},
      {"prefix without its slash", putText(7, {routeText({.prefix = "/one"})}, services)},
      {"the same number", plainPut(5)},
      {"an older number", plainPut(4)},
      {"half a number", R"({"Revision":7.5,"Routes":[],"Services":[]})"},
      {"no number", R"({"Routes":[],"Services":[]})"},
      {"no routes", R"({"Revision":7,"Services":[]})"}};
}

inline std::vector<std::pair<const char*, std::string>> invalidPatches() {
  return {
      {"cut short", patchText(7, {routeText({})}, {}).substr(0, 40)},
      {"unknown service", patchText(7, {routeText({.services = R"("Service":"s9")"})}, {})},
      {"same place", patchText(7, {routeText({.name = "r-2"})}, {})},
      {"no weight", patchText(7, {routeText({.services = R"("Distribution":[{"Service":"s0","Share":0.0}])"})}, {})},
      {"no time", patchText(7, {routeText({.guard = "0"})}, {})},
      {"an older number", patchText(5, {}, {"r-1"})},
      {"altered and removed", patchText(7, {routeText({})}, {"r-1"})},
      {"a service in use removed", R"({"Revision":7,"Remove":{"Services":["s0"]}})"},
      {"a kind of item that nobody knows", R"({"Revision":7,"Upsert":{"Doors":[]}})"}};
}

}  // namespace stonemount
