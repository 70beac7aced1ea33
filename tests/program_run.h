// A program of ours as a process of its own, and one HTTP request to it. Nothing sleeps: both wait for what is said.
#pragma once

#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <string>
#include <utility>

#include "platform/settings.h"

namespace stonemount {

// Runs a role with the platform's settings file; ends it, if need be, with the object.
class Program {
 public:
  Program(const std::string& path, const std::string& role, const std::string& bootFile) {
    int ends[2];
    if (pipe2(ends, O_CLOEXEC) != 0) return;
    output_ = ends[0];
    id_ = fork();
    if (id_ == 0) {
      dup2(ends[1], STDOUT_FILENO);
      dup2(ends[1], STDERR_FILENO);
      setenv(platform::kBootFileVariable, bootFile.c_str(), 1);
      execl(path.c_str(), path.c_str(), role.c_str(), nullptr);
      _exit(127);
    }
    close(ends[1]);
  }
  ~Program() {
    if (id_ > 0) kill(id_, SIGKILL), waitpid(id_, nullptr, 0);
    if (output_ >= 0) close(output_);
  }
  // Reads what it says until this is there; false: it ended, or said nothing of it for 10 s.
  bool says(const std::string& text) {
    char part[4096];
    pollfd wait{output_, POLLIN, 0};
    while (said.find(text) == std::string::npos) {
      if (poll(&wait, 1, 10'000) <= 0) return false;
      const ssize_t came = read(output_, part, sizeof(part));
      if (came <= 0) return false;
      said.append(part, static_cast<std::size_t>(came));
    }
    return true;
  }
  // The exit status after this signal; -1: it was ended otherwise.
  int endsBy(int signal) {
    if (id_ <= 0) return -1;
    kill(id_, signal);
    while (says("\n\n never said")) continue;
    int status = -1;
    waitpid(std::exchange(id_, -1), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  std::string said;

 private:
  pid_t id_ = -1;
  int output_ = -1;
};

// The answer of a server on the loopback, up to the end of its head; empty: none.
inline std::string answerOf(std::uint16_t port, const std::string& request) {
  const int channel = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in where{};
  where.sin_family = AF_INET;
  where.sin_port = htons(port);
  where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  std::string answer;
  if (connect(channel, reinterpret_cast<const sockaddr*>(&where), sizeof(where)) == 0 &&
      send(channel, request.data(), request.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(request.size())) {
    char part[4096];
    pollfd wait{channel, POLLIN, 0};
    while (answer.find("\r\n\r\n") == std::string::npos && poll(&wait, 1, 5'000) > 0) {
      const ssize_t came = read(channel, part, sizeof(part));
      if (came <= 0) break;
      answer.append(part, static_cast<std::size_t>(came));
    }
  }
  close(channel);
  return answer;
}

}  // namespace stonemount
