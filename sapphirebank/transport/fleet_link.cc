#include "sapphirebank/transport/fleet_link.h"

#include <optional>
#include <utility>
#include <vector>

#include "sapphirebank/core/cbor.h"

namespace sapphirebank {
namespace {

using nlohmann::json;

constexpr std::size_t kNonceBytes = 16;
constexpr const char* kOutgoingName = "out";

std::string Encode(const json& message) {
  std::string bytes;
  json::to_cbor(message, bytes);
  return bytes;
}

}  // namespace

FleetLink::FleetLink(HostId self, FleetSecret secret, Hooks hooks)
    : self_(std::move(self)),
      secret_(std::move(secret)),
      hooks_(std::move(hooks)) {
  WebsocketLink::Hooks link_hooks;
  link_hooks.opened = [this](LinkId link, const std::string& name) {
    Opened(link, name);
  };
  link_hooks.received = [this](LinkId link, const std::string& text) {
    Received(link, text);
  };
  link_hooks.closed = [this](LinkId link) { Closed(link); };
  connections_ = std::make_unique<WebsocketLink>(std::move(link_hooks));
}

void FleetLink::Listen(const Endpoint& local) {
  connections_->Listen(local.ip, local.port);
}

FleetLink::LinkId FleetLink::Connect(const Endpoint& to) {
  return connections_->Connect(kOutgoingName, to.ip, to.port);
}

void FleetLink::Send(LinkId link, const json& message) {
  connections_->Send(link, Encode(message));
}

void FleetLink::Close(LinkId link) { connections_->Close(link); }

void FleetLink::Opened(LinkId link, const std::string& name) {
  LinkHandshake handshake(self_, secret_, RandomHex(kNonceBytes),
                          name == kOutgoingName);
  Send(link, handshake.Hello());
  const std::lock_guard<std::mutex> lock(mutex_);
  handshakes_.emplace(link, std::move(handshake));
}

void FleetLink::Received(LinkId link, const std::string& text) {
  std::optional<json> parsed = ParseCbor(text);
  if (!parsed) {
    Reject(link, "received a message that is not CBOR");
    return;
  }
  json& message = *parsed;
  std::optional<HostId> established;
  std::optional<HostId> peer;
  std::optional<json> reply;
  std::string rejection;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = handshakes_.find(link);
    if (found == handshakes_.end()) return;
    LinkHandshake& handshake = found->second;
    if (handshake.done()) {
      peer = handshake.peer();
    } else if (auto step = handshake.Receive(message); !step) {
      rejection = step.error().detail;
    } else {
      reply = std::move(*step);
      if (handshake.done()) established = handshake.peer();
    }
  }
  if (!rejection.empty()) Reject(link, rejection);
  if (reply) Send(link, *reply);
  if (established) hooks_.up(link, *established);
  if (peer) hooks_.received(link, *peer, std::move(message));
}

void FleetLink::Closed(LinkId link) {
  std::string reason;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    handshakes_.erase(link);
    const auto found = rejection_reasons_.find(link);
    if (found != rejection_reasons_.end()) {
      reason = std::move(found->second);
      rejection_reasons_.erase(found);
    }
  }
  hooks_.down(link, reason);
}

void FleetLink::Reject(LinkId link, const std::string& reason) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    handshakes_.erase(link);
    rejection_reasons_[link] = reason;
  }
  connections_->Close(link);
}

}  // namespace sapphirebank
