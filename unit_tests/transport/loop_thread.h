#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

namespace sapphirebank {

// An event loop that runs on a dedicated thread.
class LoopThread {
 public:
  LoopThread()
      : guard_(loop_.get_executor()), thread_([this] { loop_.run(); }) {}
  ~LoopThread() { Stop(); }
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

  boost::asio::io_context& loop() { return loop_; }

  // Ends the thread, so that objects that work on the loop may be destroyed.
  void Stop() {
    loop_.stop();
    if (thread_.joinable()) thread_.join();
  }

  // Runs a coroutine on the loop, waits for it and returns its result.
  template <typename T>
  T Run(boost::asio::awaitable<T> work) {
    return boost::asio::co_spawn(loop_, std::move(work),
                                 boost::asio::use_future)
        .get();
  }

 private:
  boost::asio::io_context loop_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard_;
  std::thread thread_;
};

// A blocking TCP connection to a local port that sends and receives raw bytes.
class RawConnection {
 public:
  explicit RawConnection(std::uint16_t port) : socket_(loop_) {
    socket_.connect({boost::asio::ip::address_v4::loopback(), port});
  }

  void Send(std::string_view bytes) {
    boost::system::error_code ignored;
    boost::asio::write(socket_, boost::asio::buffer(bytes), ignored);
  }

  // Shuts down the sending direction.
  void EndSending() {
    boost::system::error_code ignored;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  }

  // Reads until the peer closes the connection.
  std::string ReadAll() {
    std::string text;
    boost::system::error_code end;
    boost::asio::read(socket_, boost::asio::dynamic_buffer(text), end);
    return text;
  }

 private:
  boost::asio::io_context loop_;
  boost::asio::ip::tcp::socket socket_;
};

}  // namespace sapphirebank
