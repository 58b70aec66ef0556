#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace sapphirebank {

// Sends and receives binary messages over websocket connections (RFC 6455) on a
// dedicated thread. It does not authenticate peers; FleetLink does. This header
// is plain C++17, as its implementation must be.
class WebsocketLink {
 public:
  // Identifies a connection; not reused within a process.
  using ConnectionId = std::uint64_t;

  // Called on the link's thread; must not block. `name` is the argument of
  // Connect(), and empty for an accepted connection.
  struct Hooks {
    std::function<void(ConnectionId, const std::string& name)> opened;
    std::function<void(ConnectionId, std::string message)> received;
    // Also called when connecting fails, with the id that Connect() returned.
    std::function<void(ConnectionId)> closed;
  };

  // Largest message in bytes that is accepted.
  static constexpr std::size_t kMaxMessageBytes = std::size_t{64} << 20U;

  // Starts the thread.
  explicit WebsocketLink(Hooks hooks);

  // Closes all connections and stops the thread.
  ~WebsocketLink();

  WebsocketLink(const WebsocketLink&) = delete;
  WebsocketLink& operator=(const WebsocketLink&) = delete;

  // Accepts connections on a port. Throws std::runtime_error when it cannot be
  // opened.
  void Listen(const std::string& ip, std::uint16_t port);

  // Starts to connect. Thread-safe.
  ConnectionId Connect(const std::string& name, const std::string& ip,
                       std::uint16_t port);

  // Sends a message; drops it when the connection is closed. Thread-safe.
  void Send(ConnectionId connection, std::string message);

  // Closes a connection. Thread-safe.
  void Close(ConnectionId connection);

 private:
  class Core;

  std::unique_ptr<Core> core_;
};

}  // namespace sapphirebank
