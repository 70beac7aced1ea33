// The HTTP client against servers that break off, send what is no answer, or cannot be reached: nothing of it
// passes for whole, and what is called unsent was not sent (design.md 3.2).
#include <dirent.h>

#include "raw_peer.h"

using namespace stonemount;

namespace {
void brokenAnswers() {
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string& text :
       {chunked + "4\r\nabcd\r\n", chunked + "4\r\nab", chunked + "4\r\nabcd\r\n0\r\n",
        chunked + "zz\r\nabcd\r\n0\r\n\r\n", std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabcd"),
        std::string("HTTP/1.1 200 OK\r\n\r\nabcd"),
        std::string("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcd"),
        std::string("HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nabcd"), std::string("\x16\x03\x01 no answer\r\n\r\n"),
        std::string("HTTP/1.1 102 Processing\r\n\r\n"), std::string("HTTP/1.1 100 Continue\r\n\r\n"),
        std::string("HTTP/1.1"), std::string("HTTP/1.1 200 OK\r\nno colon here\r\n\r\n"),
        std::string("HTTP/1.1 7 odd\r\nContent-Length: 0\r\n\r\n"), std::string()}) {
    OutRig rig;
    Gathered got(rig.open());
    UNTIL(rig.loop, rig.server.ends.size() == 1 && rig.end(0).has("body-1"));
    rig.end(0).say(text);
    rig.end(0).close();
    UNTIL(rig.loop, got.over());
    EXPECT(got.broken && !got.broken->provenUnsent && !got.broken->reused && rig.kept() == 0);
    EXPECT(got.body.empty() || std::string("abcd").starts_with(got.body));
  }
}

std::size_t openFiles() {
  std::size_t count = 0;
  DIR* folder = opendir("/proc/self/fd");
  while (readdir(folder) != nullptr) ++count;
  closedir(folder);
  return count;
}

void unsent() {
  OutRig rig;
  Address nobody;
  {
    RawServer gone(rig.loop);
    nobody = gone.address;
  }
  const std::size_t before = openFiles();
  for (int i = 0; i < 20; ++i) {
    Gathered got(rig.out.open(nobody, rig.ask(), rig.via()));
    UNTIL(rig.loop, got.over());
    EXPECT(got.broken && got.broken->provenUnsent && !got.broken->reused);
  }
  EXPECT(openFiles() == before && rig.out.channels(nobody) == 0);
  // A machine that answers nothing, not even the opening of a channel: its queue is full.
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in where = socketAddress({(127u << 24) | 1, 0});
  socklen_t length = sizeof(where);
  EXPECT(bind(listener, reinterpret_cast<sockaddr*>(&where), length) == 0 && listen(listener, 0) == 0);
  getsockname(listener, reinterpret_cast<sockaddr*>(&where), &length);
  std::vector<std::unique_ptr<Gathered>> asked;
  for (int i = 0; i < 6; ++i)
    asked.push_back(
        std::make_unique<Gathered>(rig.out.open({(127u << 24) | 1, ntohs(where.sin_port)}, rig.ask(), rig.via())));
  UNTIL(rig.loop, asked.back()->over());
  EXPECT(asked.back()->broken && asked.back()->broken->provenUnsent && !asked.front()->over());
  asked.clear();
  close(listener);
  UNTIL(rig.loop, openFiles() == before);
}
}  // namespace

int main() {
  brokenAnswers();
  unsent();
  return closingLine();
}
