#include "sapphirebank/transport/websocket_link.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <atomic>
#include <map>
#include <stdexcept>
#include <thread>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace sapphirebank {
namespace {

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using boost::system::error_code;
using websocketpp::connection_hdl;

// A host that does not complete the handshake within this time is retried later
// or skipped.
constexpr int kOpenTimeoutMs = 1000;
constexpr int kCloseTimeoutMs = 500;
// A connection is closed when sent bytes stay unacknowledged for this long
// (TCP_USER_TIMEOUT).
constexpr unsigned kUnacknowledgedMs = 2000;

}  // namespace

class WebsocketLink::Core {
 public:
  explicit Core(Hooks hooks)
      : hooks_(std::move(hooks)), keep_running_(loop_.get_executor()) {
    ConfigureEndpoint(server_);
    ConfigureEndpoint(client_);
    thread_ = std::thread([this] { loop_.run(); });
  }

  ~Core() {
    keep_running_.reset();
    loop_.stop();
    thread_.join();
  }

  Core(const Core&) = delete;
  Core& operator=(const Core&) = delete;

  void Listen(const std::string& ip, std::uint16_t port) {
    server_.set_reuse_addr(true);
    websocketpp::lib::error_code error;
    const boost::asio::ip::tcp::endpoint endpoint(
        boost::asio::ip::make_address(ip), port);
    server_.listen(endpoint, error);
    if (!error) server_.start_accept(error);
    if (error) {
      throw std::runtime_error("cannot listen on " + ip + ":" +
                               std::to_string(port) + ": " + error.message());
    }
  }

  ConnectionId Connect(const std::string& name, const std::string& ip,
                       std::uint16_t port) {
    const ConnectionId id = next_id_++;
    boost::asio::post(loop_, [this, id, name, ip, port] {
      const std::string uri =
          "ws://" + ip + ":" + std::to_string(port) + "/links";
      websocketpp::lib::error_code error;
      const auto connection = client_.get_connection(uri, error);
      if (error) {
        hooks_.closed(id);
        return;
      }
      names_[id] = name;
      Add(id, connection->get_handle(), true);
      client_.connect(connection);
    });
    return id;
  }

  void Send(ConnectionId id, std::string message) {
    boost::asio::post(loop_, [this, id, text = std::move(message)] {
      const auto found = connections_.find(id);
      if (found == connections_.end()) return;
      websocketpp::lib::error_code ignored;
      const auto binary = websocketpp::frame::opcode::binary;
      if (found->second.outgoing) {
        client_.send(found->second.handle, text, binary, ignored);
      } else {
        server_.send(found->second.handle, text, binary, ignored);
      }
    });
  }

  void Close(ConnectionId id) {
    boost::asio::post(loop_, [this, id] {
      const auto found = connections_.find(id);
      if (found == connections_.end()) return;
      websocketpp::lib::error_code ignored;
      const auto status = websocketpp::close::status::normal;
      if (found->second.outgoing) {
        client_.close(found->second.handle, status, "", ignored);
      } else {
        server_.close(found->second.handle, status, "", ignored);
      }
    });
  }

 private:
  struct Connection {
    connection_hdl handle;
    bool outgoing;
  };

  static void SetSocketOptions(int socket) {
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnacknowledgedMs,
                 sizeof(kUnacknowledgedMs));
  }

  template <typename Endpoint>
  void ConfigureEndpoint(Endpoint& endpoint) {
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(&loop_);
    endpoint.set_max_message_size(kMaxMessageBytes);
    endpoint.set_open_handshake_timeout(kOpenTimeoutMs);
    endpoint.set_close_handshake_timeout(kCloseTimeoutMs);
    endpoint.set_tcp_post_init_handler([&endpoint](
                                           const connection_hdl& handle) {
      SetSocketOptions(
          endpoint.get_con_from_hdl(handle)->get_raw_socket().native_handle());
    });
    endpoint.set_open_handler(
        [this](const connection_hdl& handle) { Opened(handle); });
    endpoint.set_close_handler(
        [this](const connection_hdl& handle) { Closed(handle); });
    endpoint.set_fail_handler(
        [this](const connection_hdl& handle) { Closed(handle); });
    endpoint.set_message_handler(
        [this](const connection_hdl& handle,
               typename Endpoint::message_ptr message) {
          const auto id = IdOf(handle);
          if (id != 0) hooks_.received(id, message->get_payload());
        });
  }

  void Add(ConnectionId id, const connection_hdl& handle, bool outgoing) {
    connections_[id] = Connection{handle, outgoing};
    ids_[handle] = id;
  }

  ConnectionId IdOf(const connection_hdl& handle) const {
    const auto found = ids_.find(handle);
    return found == ids_.end() ? 0 : found->second;
  }

  void Opened(const connection_hdl& handle) {
    ConnectionId id = IdOf(handle);
    if (id == 0) {
      id = next_id_++;
      Add(id, handle, false);
    }
    const auto name = names_.find(id);
    hooks_.opened(id, name == names_.end() ? std::string() : name->second);
  }

  void Closed(const connection_hdl& handle) {
    const ConnectionId id = IdOf(handle);
    if (id == 0) return;
    ids_.erase(handle);
    connections_.erase(id);
    names_.erase(id);
    hooks_.closed(id);
  }

  Hooks hooks_;
  boost::asio::io_context loop_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      keep_running_;
  Server server_;
  Client client_;
  std::atomic<ConnectionId> next_id_{1};
  std::map<ConnectionId, Connection> connections_;
  std::map<ConnectionId, std::string> names_;
  std::map<connection_hdl, ConnectionId, std::owner_less<connection_hdl>> ids_;
  std::thread thread_;
};

WebsocketLink::WebsocketLink(Hooks hooks)
    : core_(std::make_unique<Core>(std::move(hooks))) {}

WebsocketLink::~WebsocketLink() = default;

void WebsocketLink::Listen(const std::string& ip, std::uint16_t port) {
  core_->Listen(ip, port);
}

WebsocketLink::ConnectionId WebsocketLink::Connect(const std::string& name,
                                                   const std::string& ip,
                                                   std::uint16_t port) {
  return core_->Connect(name, ip, port);
}

void WebsocketLink::Send(ConnectionId connection, std::string message) {
  core_->Send(connection, std::move(message));
}

void WebsocketLink::Close(ConnectionId connection) { core_->Close(connection); }

}  // namespace sapphirebank
