#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "sapphirebank/core/endpoint.h"
#include "sapphirebank/core/error.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/transport/fleet_secret.h"

namespace sapphirebank {

// Largest datagram payload in bytes. It stays below the MTU of the fleet's
// network paths, so that no datagram is fragmented.
inline constexpr std::size_t kMaxDatagramBytes = 1400;

// Sends and receives signed UDP datagrams: a CBOR array of sender, type and
// body, followed by a signature. Datagrams with a wrong signature are dropped
// and counted. Used on one event loop only.
class DatagramSocket {
 public:
  using Receiver =
      std::function<void(const HostId& from, const std::string& type,
                         const nlohmann::json& body, const Endpoint& sender)>;

  // Binds to `local`. Fails with kInvalidSettings when that fails.
  static Result<DatagramSocket> Open(boost::asio::io_context& loop,
                                     const Endpoint& local, HostId self,
                                     FleetSecret secret, Receiver receiver);

  // Sends a message; one larger than kMaxDatagramBytes is dropped and counted.
  void Send(const Endpoint& to, const std::string& type,
            const nlohmann::json& body);

  // Returns the address that the socket is bound to.
  Endpoint local() const;

  // Returns the number of payload bytes sent and received, without UDP and IP
  // headers.
  std::uint64_t bytes_sent() const;
  std::uint64_t bytes_received() const;

  // Returns the number of datagrams dropped because they were too long,
  // malformed or had a wrong signature.
  std::uint64_t dropped() const;

  // Stops receiving.
  void Close();

 private:
  class Core;

  explicit DatagramSocket(std::shared_ptr<Core> core)
      : core_(std::move(core)) {}

  std::shared_ptr<Core> core_;
};

}  // namespace sapphirebank
