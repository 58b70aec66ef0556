#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>

#include "sapphirebank/core/endpoint.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/transport/fleet_secret.h"
#include "sapphirebank/transport/link_handshake.h"
#include "sapphirebank/transport/websocket_link.h"

namespace sapphirebank {

// Links between processes of one fleet: websocket connections that carry CBOR
// messages. A link is up once both ends have proved in a handshake that they
// know the fleet secret.
class FleetLink {
 public:
  using LinkId = WebsocketLink::ConnectionId;

  // Called on the links' thread; must not block.
  struct Hooks {
    std::function<void(LinkId, const HostId& peer)> up;
    std::function<void(LinkId, const HostId& peer, nlohmann::json message)>
        received;
    // `reason` says why this end rejected the peer; empty when the connection
    // was closed or lost.
    std::function<void(LinkId, const std::string& reason)> down;
  };

  FleetLink(HostId self, FleetSecret secret, Hooks hooks);

  // Accepts links on `local`. Throws std::runtime_error when the port cannot be
  // opened.
  void Listen(const Endpoint& local);

  // Starts to connect; `down` is called when that fails. Thread-safe.
  LinkId Connect(const Endpoint& to);

  // Sends a message over a link that is up. Thread-safe.
  void Send(LinkId link, const nlohmann::json& message);

  // Closes a link. Thread-safe.
  void Close(LinkId link);

 private:
  void Opened(LinkId link, const std::string& name);
  void Received(LinkId link, const std::string& text);
  void Closed(LinkId link);
  void Reject(LinkId link, const std::string& reason);

  HostId self_;
  FleetSecret secret_;
  Hooks hooks_;
  std::mutex mutex_;
  std::unordered_map<LinkId, LinkHandshake> handshakes_;
  std::unordered_map<LinkId, std::string> rejection_reasons_;
  std::unique_ptr<WebsocketLink> connections_;
};

}  // namespace sapphirebank
