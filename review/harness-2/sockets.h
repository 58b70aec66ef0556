#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "review/harness-2/record.h"

namespace review {

// A connected TCP socket. The destructor closes it.
class Socket {
 public:
  explicit Socket(int handle = -1) : handle_(handle) {}
  ~Socket() { Close(); }
  Socket(Socket&& other) noexcept : handle_(std::exchange(other.handle_, -1)) {}
  Socket& operator=(Socket&& other) noexcept {
    Close();
    handle_ = std::exchange(other.handle_, -1);
    return *this;
  }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  // Connects, or returns a closed socket when that fails or takes longer.
  static Socket Connect(const std::string& ip, int port, milliseconds limit) {
    Socket socket(::socket(AF_INET, SOCK_STREAM, 0));
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &to.sin_addr);
    ::fcntl(socket.handle_, F_SETFL, O_NONBLOCK);
    const int one = 1;
    ::setsockopt(socket.handle_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    const auto* address = reinterpret_cast<const sockaddr*>(&to);
    if (::connect(socket.handle_, address, sizeof(to)) == 0) return socket;
    pollfd ready{socket.handle_, POLLOUT, 0};
    int error = errno;
    if (error == EINPROGRESS &&
        ::poll(&ready, 1, static_cast<int>(limit.count())) == 1) {
      socklen_t size = sizeof(error);
      ::getsockopt(socket.handle_, SOL_SOCKET, SO_ERROR, &error, &size);
    }
    if (error != 0) socket.Close();
    return socket;
  }

  bool is_open() const { return handle_ >= 0; }
  int handle() const { return handle_; }

  // Returns whether all of `bytes` were taken by the system.
  bool Write(const std::string& bytes) const {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const auto count = ::send(handle_, bytes.data() + sent,
                                bytes.size() - sent, MSG_NOSIGNAL);
      if (count > 0) {
        sent += static_cast<std::size_t>(count);
        continue;
      }
      pollfd ready{handle_, POLLOUT, 0};
      constexpr int kWriteLimitMs = 5000;
      const bool may_wait = count < 0 && (errno == EAGAIN || errno == EINTR);
      if (!may_wait || ::poll(&ready, 1, kWriteLimitMs) != 1) return false;
    }
    return true;
  }

  // Appends what arrives to `bytes`. Returns false at the end of the
  // connection, after an error, or when nothing arrives until `deadline`.
  bool Read(std::string& bytes, Clock::time_point deadline) const {
    while (true) {
      const auto left =
          std::chrono::ceil<milliseconds>(deadline - Clock::now());
      pollfd ready{handle_, POLLIN, 0};
      if (left.count() <= 0 ||
          ::poll(&ready, 1, static_cast<int>(left.count())) == 0) {
        return false;
      }
      char buffer[16384];
      const auto count = ::recv(handle_, buffer, sizeof(buffer), MSG_DONTWAIT);
      if (count > 0) {
        bytes.append(buffer, static_cast<std::size_t>(count));
        return true;
      }
      if (count == 0 || (errno != EAGAIN && errno != EINTR)) return false;
    }
  }

  void Shutdown() const {
    if (is_open()) ::shutdown(handle_, SHUT_RDWR);
  }
  void Close() {
    if (is_open()) ::close(std::exchange(handle_, -1));
  }

 private:
  int handle_;
};

// A message of HTTP/1.1 with a body of known length.
struct Message {
  std::string first_line;
  std::map<std::string, std::string> fields;  // Names in lower case.
  std::string body;

  std::string Field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
  }
  // Returns the second word of the first line: a target, or a status.
  std::string SecondWord() const {
    const auto begin = first_line.find(' ') + 1;
    return first_line.substr(begin, first_line.find(' ', begin) - begin);
  }
  int Status() const { return std::atoi(SecondWord().c_str()); }
};

inline Message ParseHead(const std::string& head) {
  Message message;
  std::size_t at = head.find("\r\n");
  message.first_line = head.substr(0, at);
  while (at + 2 < head.size()) {
    const std::size_t begin = at + 2;
    at = head.find("\r\n", begin);
    const std::string line = head.substr(begin, at - begin);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) break;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    message.fields[name] =
        value == std::string::npos ? std::string() : line.substr(value);
  }
  return message;
}

// Reads one message. `received` keeps what comes behind it. Returns nothing
// when the connection ends or `deadline` passes before the message is complete.
// An answer without a length, which is not chunked, ends with the connection.
inline std::optional<Message> ReadMessage(const Socket& socket,
                                          std::string& received,
                                          Clock::time_point deadline) {
  std::size_t end = 0;
  while ((end = received.find("\r\n\r\n")) == std::string::npos) {
    if (!socket.Read(received, deadline)) return std::nullopt;
  }
  Message message = ParseHead(received.substr(0, end + 2));
  received.erase(0, end + 4);
  const std::string length = message.Field("content-length");
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (received.size() < size) {
    if (!socket.Read(received, deadline)) return std::nullopt;
  }
  message.body = received.substr(0, size);
  received.erase(0, size);
  return message;
}

}  // namespace review
