// Words of HTTP/1.1 that both adapters need (design.md 3.2).
#pragma once

#include <event2/http.h>

#include "stonemount.h"

struct evkeyvalq;

namespace stonemount {

const char* httpReason(int status);
const char* httpMethodName(evhttp_cmd_type type);
evhttp_cmd_type httpMethod(const std::string& name);  // POST for any that is not known
// Headers of one channel only, which whoever holds the channel sets: not handed on from another one.
bool httpFraming(const std::string& name);
void copyPairs(const evkeyvalq* pairs, HeaderMap& out);  // the last of one name stands
void joinPairs(const evkeyvalq* pairs, HeaderMap& out);  // values of one name joined by ", "
// A head that begins with the cut end of another answer: left over on the channel, it ran on into the status line
// or a header of the answer that came behind it. Its status or headers may be the other's.
bool httpHeadsJoined(const evhttp_request* request);
// Where a body ends must not be open to two readings: what one takes for the body is the next request to the other.
bool httpFramedOnce(const HeaderMap& headers);
// What is sent as the request's target: path and query, the latter encoded.
std::string httpTarget(const HttpAsk& ask);

}  // namespace stonemount
