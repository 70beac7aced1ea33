#include "adapters/http_text.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <event2/keyvalq_struct.h>

#include <array>
#include <cstdlib>

namespace stonemount {

namespace {
constexpr absl::string_view kVersionMark = "HTTP/1.";  // with which the status line of every answer begins

struct Method {
  evhttp_cmd_type type;
  const char* name;
};
constexpr std::array<Method, 5> kMethods{{{EVHTTP_REQ_GET, "GET"},
                                          {EVHTTP_REQ_POST, "POST"},
                                          {EVHTTP_REQ_PUT, "PUT"},
                                          {EVHTTP_REQ_PATCH, "PATCH"},
                                          {EVHTTP_REQ_DELETE, "DELETE"}}};

void appendEncoded(std::string& target, const std::string& text) {
  char* encoded = evhttp_uriencode(text.data(), static_cast<ssize_t>(text.size()), 0);
  target += encoded;
  free(encoded);
}
}  // namespace

const char* httpReason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 202:
      return "Accepted";
    case 204:
      return "No Content";
    case 206:
      return "Partial Content";
    case 301:
      return "Moved Permanently";
    case 302:
      return "Found";
    case 303:
      return "See Other";
    case 304:
      return "Not Modified";
    case 307:
      return "Temporary Redirect";
    case 308:
      return "Permanent Redirect";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 406:
      return "Not Acceptable";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 410:
      return "Gone";
    case 411:
      return "Length Required";
    case 412:
      return "Precondition Failed";
    case 413:
      return "Content Too Large";
    case 414:
      return "URI Too Long";
    case 415:
      return "Unsupported Media Type";
    case 416:
      return "Range Not Satisfiable";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Content";
    case 425:
      return "Too Early";
    case 428:
      return "Precondition Required";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 501:
      return "Not Implemented";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Other";
  }
}

const char* httpMethodName(evhttp_cmd_type type) {
  for (const Method& method : kMethods)
    if (method.type == type) return method.name;
  return "OTHER";
}

evhttp_cmd_type httpMethod(const std::string& name) {
  for (const Method& method : kMethods)
    if (name == method.name) return method.type;
  return EVHTTP_REQ_POST;
}

bool httpFraming(const std::string& name) {
  return name == "connection" || name == "keep-alive" || name == "transfer-encoding" || name == "expect";
}

// Names in a query are told apart by case; those of headers are not.
void copyPairs(const evkeyvalq* pairs, HeaderMap& out) {
  for (const evkeyval* pair = pairs->tqh_first; pair != nullptr; pair = pair->next.tqe_next)
    out[pair->key] = pair->value;
}

void joinPairs(const evkeyvalq* pairs, HeaderMap& out) {
  for (const evkeyval* pair = pairs->tqh_first; pair != nullptr; pair = pair->next.tqe_next) {
    const auto [place, added] = out.try_emplace(absl::AsciiStrToLower(pair->key), pair->value);
    if (!added) absl::StrAppend(&place->second, ", ", pair->value);
  }
}

bool httpHeadsJoined(const evhttp_request* request) {
  const char* reason = evhttp_request_get_response_code_line(request);
  const absl::string_view phrase = reason != nullptr ? reason : "";
  if (absl::StrContains(phrase, kVersionMark)) return true;
  if (!phrase.empty() && absl::ascii_isdigit(static_cast<unsigned char>(phrase.front()))) return true;  // a second code
  const evkeyvalq* headers = evhttp_request_get_input_headers(const_cast<evhttp_request*>(request));
  for (const evkeyval* pair = headers->tqh_first; pair != nullptr; pair = pair->next.tqe_next)
    if (absl::StrContains(pair->key, kVersionMark) || absl::StrContains(pair->value, kVersionMark)) return true;
  return false;
}

std::string httpTarget(const HttpAsk& ask) {
  if (!ask.target.empty()) return ask.target;
  std::string target = ask.path;
  char mark = '?';
  for (const auto& [name, value] : ask.query) {
    target += mark;
    appendEncoded(target, name);
    target += '=';
    appendEncoded(target, value);
    mark = '&';
  }
  return target;
}

bool httpFramedOnce(const HeaderMap& headers) {
  const auto length = headers.find("content-length");
  const auto coding = headers.find("transfer-encoding");
  if (coding != headers.end()) return length == headers.end() && absl::EqualsIgnoreCase(coding->second, "chunked");
  return length == headers.end() || std::all_of(length->second.begin(), length->second.end(), absl::ascii_isdigit);
}

}  // namespace stonemount
