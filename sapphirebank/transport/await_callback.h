#pragma once

#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <memory>
#include <utility>

namespace sapphirebank {

// Calls `start` with a callback, suspends the calling coroutine, and resumes it
// on `loop` with the value passed to the callback. The callback must be invoked
// exactly once, on any thread. `start` should be a lambda that captures by
// reference, or a named object: g++ 12 destroys temporaries with by-value
// captures twice in a statement that suspends.
template <typename T>
boost::asio::awaitable<T> AwaitCallback(
    boost::asio::io_context& loop,
    std::function<void(std::function<void(T)>)> start) {
  auto initiate = [&loop, start = std::move(start)](auto handler) {
    using Handler = decltype(handler);
    // std::function needs a copyable target, but the handler is move-only.
    auto shared = std::make_shared<Handler>(std::move(handler));
    start([&loop, shared](T value) {
      boost::asio::post(loop, [shared, moved = std::move(value)]() mutable {
        (*shared)(std::move(moved));
      });
    });
  };
  co_return co_await boost::asio::async_initiate<
      const boost::asio::use_awaitable_t<>, void(T)>(
      std::move(initiate), boost::asio::use_awaitable);
}

}  // namespace sapphirebank
