#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/program_options.hpp>
#include <chrono>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "sapphirebank/core/endpoint.h"
#include "sapphirebank/transport/http_client.h"

// Measures the latency that an entry host adds to a request. Sends requests at
// a constant rate, alternately straight to a backend server and through the
// entry host, so that both are measured under the same load of the machine.
// Options add connections that stay idle and callers that upload slowly. Prints
// one JSON line.

namespace {

namespace asio = boost::asio;
namespace options = boost::program_options;
using asio::ip::tcp;
using sapphirebank::Duration;
using sapphirebank::Endpoint;
using sapphirebank::HttpClient;
using Clock = std::chrono::steady_clock;

struct BenchSettings {
  std::string direct;
  std::string entry;
  std::string key;
  std::string path;
  // Requests per second, direct and through the entry host together.
  int rate = 100;
  int seconds = 5;
  int idle_callers = 0;
  int slow_callers = 0;
};

struct LatencySamples {
  std::vector<double> milliseconds;
  int failures = 0;
};

// Returns the quantile of `values` at `fraction` (0 to 1), or 0 if there are no
// values.
double Quantile(std::vector<double> values, double fraction) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto last_index = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(fraction * last_index)];
}

nlohmann::json Summary(const LatencySamples& samples) {
  return {{"requests", samples.milliseconds.size()},
          {"failures", samples.failures},
          {"p50_ms", Quantile(samples.milliseconds, 0.5)},
          {"p99_ms", Quantile(samples.milliseconds, 0.99)},
          {"p999_ms", Quantile(samples.milliseconds, 0.999)}};
}

class ProxyBench {
 public:
  explicit ProxyBench(const BenchSettings& settings)
      : settings_(settings),
        client_(io_context_,
                sapphirebank::HttpClientSettings{.max_idle_per_endpoint = 512}),
        direct_(*sapphirebank::EndpointFromString(settings.direct)),
        entry_(*sapphirebank::EndpointFromString(settings.entry)) {}

  void Run() {
    for (int i = 0; i < settings_.idle_callers; ++i) OpenIdleConnection();
    for (int i = 0; i < settings_.slow_callers; ++i) {
      asio::co_spawn(io_context_, SendSlowly(), asio::detached);
    }
    asio::co_spawn(io_context_, SendAtConstantRate(), asio::detached);
    io_context_.run();
    const nlohmann::json line = {{"bench", "proxy"},
                                 {"rate", settings_.rate},
                                 {"idle_callers", settings_.idle_callers},
                                 {"slow_callers", settings_.slow_callers},
                                 {"direct", Summary(direct_samples_)},
                                 {"entry", Summary(entry_samples_)},
                                 {"added_p50_ms", AddedMilliseconds(0.5)},
                                 {"added_p99_ms", AddedMilliseconds(0.99)},
                                 {"added_p999_ms", AddedMilliseconds(0.999)}};
    std::cout << line.dump() << std::endl;
  }

 private:
  double AddedMilliseconds(double fraction) const {
    return Quantile(entry_samples_.milliseconds, fraction) -
           Quantile(direct_samples_.milliseconds, fraction);
  }

  void OpenIdleConnection() {
    idle_sockets_.emplace_back(io_context_);
    idle_sockets_.back().connect(
        tcp::endpoint(asio::ip::make_address(entry_.ip), entry_.port));
  }

  // Uploads a body at one byte per 100 ms until the run is finished.
  asio::awaitable<void> SendSlowly() {
    const std::string request_head = fmt::format(
        "POST {} HTTP/1.1\r\nHost: a\r\nx-api-key: {}\r\n"
        "Content-Length: 1000\r\n\r\n",
        settings_.path, settings_.key);
    tcp::socket socket(io_context_);
    boost::system::error_code error;
    const tcp::endpoint to(asio::ip::make_address(entry_.ip), entry_.port);
    co_await socket.async_connect(
        to, asio::redirect_error(asio::use_awaitable, error));
    co_await asio::async_write(
        socket, asio::buffer(request_head),
        asio::redirect_error(asio::use_awaitable, error));
    asio::steady_timer timer(io_context_);
    while (!error && !finished_) {
      timer.expires_after(std::chrono::milliseconds(100));
      co_await timer.async_wait(asio::use_awaitable);
      co_await asio::async_write(
          socket, asio::buffer("x", 1),
          asio::redirect_error(asio::use_awaitable, error));
    }
  }

  // Sends the requests at the configured rate. Allows one second for the last
  // answers, then ends the idle and slow callers.
  asio::awaitable<void> SendAtConstantRate() {
    const int total = settings_.rate * settings_.seconds;
    const auto started_at = Clock::now();
    asio::steady_timer timer(io_context_);
    for (int i = 0; i < total; ++i) {
      timer.expires_at(started_at + std::chrono::microseconds(1'000'000LL * i /
                                                              settings_.rate));
      co_await timer.async_wait(asio::use_awaitable);
      const bool direct = i % 2 == 0;
      asio::co_spawn(io_context_, SendRequest(direct), asio::detached);
    }
    timer.expires_after(std::chrono::seconds(1));
    co_await timer.async_wait(asio::use_awaitable);
    finished_ = true;
    idle_sockets_.clear();
  }

  // Sends one request and records its latency, or a failure unless the answer
  // has status 200.
  asio::awaitable<void> SendRequest(bool direct) {
    sapphirebank::HttpExchange exchange;
    exchange.to = direct ? direct_ : entry_;
    exchange.method = "GET";
    exchange.target = settings_.path;
    exchange.fields.push_back({"x-api-key", settings_.key});
    LatencySamples& samples = direct ? direct_samples_ : entry_samples_;
    const auto started_at = Clock::now();
    const auto result = co_await client_.Exchange(exchange, nullptr);
    const std::chrono::duration<double, std::milli> elapsed =
        Clock::now() - started_at;
    const auto* answer = std::get_if<sapphirebank::HttpAnswer>(&result.outcome);
    if (answer == nullptr || answer->status != 200) {
      ++samples.failures;
      co_return;
    }
    samples.milliseconds.push_back(elapsed.count());
  }

  BenchSettings settings_;
  asio::io_context io_context_{1};
  HttpClient client_;
  Endpoint direct_;
  Endpoint entry_;
  std::vector<tcp::socket> idle_sockets_;
  LatencySamples direct_samples_;
  LatencySamples entry_samples_;
  bool finished_ = false;
};

}  // namespace

int main(int argc, char** argv) {
  BenchSettings settings;
  options::options_description description("Time that an entry host adds");
  auto add_option = description.add_options();
  add_option("help", "print this help");
  add_option("direct", options::value(&settings.direct)->required(),
             "IP:PORT of a backend server");
  add_option("entry", options::value(&settings.entry)->required(),
             "IP:PORT of an entry host");
  add_option("key", options::value(&settings.key)->required(),
             "a caller's key");
  add_option("path",
             options::value(&settings.path)->default_value("/permits/1"),
             "path to ask for");
  add_option("rate", options::value(&settings.rate)->default_value(100),
             "requests a second, half of them each way");
  add_option("seconds", options::value(&settings.seconds)->default_value(5),
             "length of the run");
  add_option("idle-callers",
             options::value(&settings.idle_callers)->default_value(0),
             "connections that send nothing");
  add_option("slow-callers",
             options::value(&settings.slow_callers)->default_value(0),
             "uploads of ten bytes a second");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description),
                   values);
    if (values.count("help") != 0) {
      std::cout << description;
      return 0;
    }
    options::notify(values);
    ProxyBench(settings).Run();
  } catch (const std::exception& e) {
    fmt::print(stderr, "proxy_bench: {}\n", e.what());
    return 2;
  }
  return 0;
}
