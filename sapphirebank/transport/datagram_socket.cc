#include "sapphirebank/transport/datagram_socket.h"

#include <fmt/format.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "sapphirebank/core/cbor.h"

namespace sapphirebank {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;
using nlohmann::json;

constexpr std::string_view kPurpose = "datagram";
constexpr std::size_t kReceiveBytes = std::size_t{64} << 10U;

std::string_view AsText(std::span<const std::uint8_t> bytes) {
  return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

}  // namespace

class DatagramSocket::Core : public std::enable_shared_from_this<Core> {
 public:
  Core(asio::io_context& loop, HostId self, FleetSecret secret,
       Receiver receiver)
      : socket_(loop),
        self_(std::move(self)),
        secret_(std::move(secret)),
        receiver_(std::move(receiver)),
        incoming_(kReceiveBytes) {}

  Result<void> Open(const Endpoint& local) {
    try {
      const udp::endpoint endpoint(asio::ip::make_address(local.ip),
                                   local.port);
      socket_.open(endpoint.protocol());
      socket_.bind(endpoint);
      socket_.non_blocking(true);
    } catch (const boost::system::system_error& e) {
      return Fail(ErrorKind::kInvalidSettings,
                  fmt::format("cannot open UDP {}:{}: {}", local.ip, local.port,
                              e.what()));
    }
    Receive();
    return {};
  }

  void Send(const Endpoint& to, const std::string& type, const json& body) {
    std::vector<std::uint8_t> bytes =
        json::to_cbor(json::array({self_.value(), type, body}));
    const auto signature = secret_.Sign(kPurpose, AsText(bytes));
    bytes.insert(bytes.end(), signature.begin(), signature.end());
    if (bytes.size() > kMaxDatagramBytes) {
      ++dropped_;
      return;
    }
    error_code ignored;
    const auto address = asio::ip::make_address(to.ip, ignored);
    bytes_sent_ += socket_.send_to(asio::buffer(bytes),
                                   udp::endpoint(address, to.port), 0, ignored);
  }

  Endpoint local() const {
    const auto endpoint = socket_.local_endpoint();
    return {endpoint.address().to_string(), endpoint.port()};
  }

  void Close() {
    error_code ignored;
    socket_.close(ignored);
  }

  std::uint64_t bytes_sent() const { return bytes_sent_; }
  std::uint64_t bytes_received() const { return bytes_received_; }
  std::uint64_t dropped() const { return dropped_; }

 private:
  void Receive() {
    socket_.async_receive_from(
        asio::buffer(incoming_), sender_,
        [self = shared_from_this()](error_code error, std::size_t size) {
          if (error == asio::error::operation_aborted) return;
          if (!self->socket_.is_open()) return;
          if (!error) self->Accept(std::span(self->incoming_).first(size));
          self->Receive();
        });
  }

  void Accept(std::span<const std::uint8_t> bytes) {
    bytes_received_ += bytes.size();
    if (bytes.size() <= FleetSecret::kSignatureSize) {
      ++dropped_;
      return;
    }
    const auto text = bytes.first(bytes.size() - FleetSecret::kSignatureSize);
    const auto signature = bytes.last(FleetSecret::kSignatureSize);
    if (!secret_.Verify(kPurpose, AsText(text), signature)) {
      ++dropped_;
      return;
    }
    const std::optional<json> parsed = ParseCbor(text);
    const json message = parsed.value_or(json());
    if (!message.is_array() || message.size() != 3 || !message[0].is_string() ||
        !message[1].is_string()) {
      ++dropped_;
      return;
    }
    receiver_(HostId(message[0].get<std::string>()),
              message[1].get<std::string>(), message[2],
              {sender_.address().to_string(), sender_.port()});
  }

  udp::socket socket_;
  HostId self_;
  FleetSecret secret_;
  Receiver receiver_;
  std::vector<std::uint8_t> incoming_;
  udp::endpoint sender_;
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t bytes_received_ = 0;
  std::uint64_t dropped_ = 0;
};

Result<DatagramSocket> DatagramSocket::Open(asio::io_context& loop,
                                            const Endpoint& local, HostId self,
                                            FleetSecret secret,
                                            Receiver receiver) {
  auto core = std::make_shared<Core>(loop, std::move(self), std::move(secret),
                                     std::move(receiver));
  const Result<void> opened = core->Open(local);
  if (!opened) return tl::unexpected(opened.error());
  return DatagramSocket(std::move(core));
}

void DatagramSocket::Send(const Endpoint& to, const std::string& type,
                          const json& body) {
  core_->Send(to, type, body);
}

Endpoint DatagramSocket::local() const { return core_->local(); }

std::uint64_t DatagramSocket::bytes_sent() const { return core_->bytes_sent(); }

std::uint64_t DatagramSocket::bytes_received() const {
  return core_->bytes_received();
}

std::uint64_t DatagramSocket::dropped() const { return core_->dropped(); }

void DatagramSocket::Close() { core_->Close(); }

}  // namespace sapphirebank
