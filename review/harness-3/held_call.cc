#include "review/harness-3/held_call.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdlib>

namespace review {
namespace {

using Clock = std::chrono::steady_clock;

// A round trip between the operator and a machine: 8 ms one way.
constexpr auto kRoundTrip = std::chrono::milliseconds(16);
constexpr auto kLook = std::chrono::milliseconds(10);

}  // namespace

HeldCall::HeldCall(const std::string& ip, int port, const std::string& target,
                   std::chrono::milliseconds hold)
    : thread_([this, ip, port, hold,
               bytes = fmt::format("POST {} HTTP/1.1\r\nHost: {}:{}\r\n"
                                   "Content-Length: 0\r\n\r\n",
                                   target, ip, port)] {
        Run(ip, port, bytes, hold);
      }) {}

HeldCall::~HeldCall() {
  stops_ = true;
  thread_.join();
}

int HeldCall::AwaitStatus(std::chrono::milliseconds time) const {
  const auto end = Clock::now() + time;
  while (status_ == 0 && Clock::now() < end) std::this_thread::sleep_for(kLook);
  return status_;
}

void HeldCall::Run(const std::string& ip, int port, const std::string& bytes,
                   std::chrono::milliseconds hold) {
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, ip.c_str(), &to.sin_addr);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
    ::close(fd);
    return;
  }
  const auto arrival = Clock::now() + hold;
  while (Clock::now() < arrival && !stops_) std::this_thread::sleep_for(kLook);
  has_arrived_ = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                 static_cast<ssize_t>(bytes.size());
  std::this_thread::sleep_for(kRoundTrip);
  if (is_closed_) ::shutdown(fd, SHUT_WR);
  while (!stops_) {
    pollfd readable{fd, POLLIN, 0};
    if (::poll(&readable, 1, static_cast<int>(kLook.count())) <= 0) continue;
    std::array<char, 4096> answer{};
    const ssize_t got = ::recv(fd, answer.data(), answer.size() - 1, 0);
    if (got <= 0) break;
    constexpr std::size_t kStatusAt = 9;
    // The answer to a call that was closed is lost.
    if (!is_closed_ && status_ == 0) status_ = std::atoi(&answer[kStatusAt]);
  }
  ::close(fd);
}

}  // namespace review
