#include <fmt/format.h>
#include <httplib.h>
#include <unistd.h>

#include <atomic>
#include <boost/program_options.hpp>
#include <chrono>
#include <csignal>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

// A small backend server for tests, benchmarks and demonstrations. It announces
// itself to entry hosts, counts the requests that it runs, and can be made slow
// or faulty at run time.

namespace {

using nlohmann::json;
namespace options = boost::program_options;
using std::chrono::milliseconds;

// Names the request of an answer, so that entry hosts keep the connection.
constexpr const char* kRequestIdField = "x-sapphirebank-request-id";
constexpr int kServerThreads = 64;
constexpr milliseconds kAnnouncePeriod{1000};
constexpr milliseconds kPollPeriod{20};
// Minimum time between the announcement that the server is draining and its
// shutdown.
constexpr milliseconds kDrainTime{1500};

std::atomic<bool> stop_requested{false};

void RequestStop(int) { stop_requested = true; }

struct StandInSettings {
  std::string id;
  std::string service;
  std::string zone;
  std::string ip;
  int port = 0;
  int slots = 3;
  int max_connections = 400;
  std::string secret;
  std::vector<std::string> announce_to;
};

// Simulated latency and faults. POST /stand-in/behaviour changes them at run
// time.
struct Behaviour {
  int work_ms = 5;
  int error_percent = 0;
  bool hang = false;
  bool cut_answers = false;
};

// Records the number of requests, the highest number in progress at once, and
// how often each effect ran. A request names its effect in the x-effect header.
class RequestStatistics {
 public:
  void Begin(const std::string& effect) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++in_work_;
    most_in_work_ = std::max(most_in_work_, in_work_);
    ++requests_;
    if (!effect.empty()) ++effects_[effect];
  }

  void End() {
    const std::lock_guard<std::mutex> lock(mutex_);
    --in_work_;
  }

  int in_work() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return in_work_;
  }

  json ToJson() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return {{"requests", requests_},
            {"most_in_work", most_in_work_},
            {"effects", effects_}};
  }

 private:
  mutable std::mutex mutex_;
  int in_work_ = 0;
  int most_in_work_ = 0;
  long requests_ = 0;
  std::map<std::string, int> effects_;
};

class StandInBackend {
 public:
  explicit StandInBackend(StandInSettings settings)
      : settings_(std::move(settings)) {
    server_.new_task_queue = [] {
      return new httplib::ThreadPool(kServerThreads);
    };
    server_.Get("/stand-in/stats", [this](const auto&, auto& response) {
      response.set_content(statistics_.ToJson().dump(), "application/json");
    });
    server_.Get("/health", [](const auto&, auto& response) {
      response.set_content("ok", "text/plain");
    });
    server_.Post("/stand-in/behaviour",
                 [this](const auto& request, auto& response) {
                   SetBehaviour(request.body, response);
                 });
    const auto handle_request = [this](const httplib::Request& request,
                                       httplib::Response& response) {
      HandleRequest(request, response);
    };
    server_.Get(".*", handle_request);
    server_.Post(".*", handle_request);
    server_.Put(".*", handle_request);
    server_.Delete(".*", handle_request);
  }

  int Run() {
    if (settings_.port == 0) {
      settings_.port = server_.bind_to_any_port(settings_.ip.c_str());
    } else if (!server_.bind_to_port(settings_.ip.c_str(), settings_.port)) {
      fmt::print(stderr, "cannot listen on {}:{}\n", settings_.ip,
                 settings_.port);
      return 1;
    }
    std::thread announce_thread([this] { AnnounceLoop(); });
    std::thread stop_thread([this] { DrainAndStop(); });
    server_.listen_after_bind();
    stop_requested = true;
    announce_thread.join();
    stop_thread.join();
    return 0;
  }

 private:
  void SetBehaviour(const std::string& text, httplib::Response& response) {
    const json body = json::parse(text, nullptr, false);
    if (!body.is_object()) {
      response.status = 400;
      return;
    }
    const std::lock_guard<std::mutex> lock(behaviour_mutex_);
    behaviour_.work_ms = body.value("work_ms", behaviour_.work_ms);
    behaviour_.error_percent =
        body.value("error_percent", behaviour_.error_percent);
    behaviour_.hang = body.value("hang", behaviour_.hang);
    behaviour_.cut_answers = body.value("cut_answers", behaviour_.cut_answers);
  }

  Behaviour behaviour() const {
    const std::lock_guard<std::mutex> lock(behaviour_mutex_);
    return behaviour_;
  }

  void HandleRequest(const httplib::Request& request,
                     httplib::Response& response) {
    const Behaviour current = behaviour();
    if (request.has_header(kRequestIdField)) {
      response.set_header(kRequestIdField,
                          request.get_header_value(kRequestIdField));
    }
    statistics_.Begin(request.get_header_value("x-effect"));
    std::this_thread::sleep_for(milliseconds(current.work_ms));
    while (behaviour().hang && !stop_requested) {
      std::this_thread::sleep_for(kPollPeriod);
    }
    const long number = ++answers_;
    if (number % 100 < current.error_percent) {
      response.status = 500;
    } else if (request.has_param("answer_bytes")) {
      response.set_content(
          std::string(std::stoul(request.get_param_value("answer_bytes")), 'x'),
          "application/octet-stream");
    } else {
      response.set_content(Echo(request).dump(), "application/json");
    }
    statistics_.End();
  }

  json Echo(const httplib::Request& request) const {
    json headers = json::object();
    for (const auto& [name, value] : request.headers) headers[name] = value;
    return {{"backend", settings_.id},
            {"method", request.method},
            {"target", request.target},
            {"body_bytes", request.body.size()},
            {"headers", headers}};
  }

  void AnnounceLoop() {
    while (!stop_requested) {
      Announce(false);
      const auto until = std::chrono::steady_clock::now() + kAnnouncePeriod;
      while (!stop_requested && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(kPollPeriod);
      }
    }
    Announce(true);
  }

  void Announce(bool draining) {
    const json body = {{"backend", settings_.id},
                       {"incarnation", incarnation_},
                       {"process", std::to_string(incarnation_)},
                       {"service", settings_.service},
                       {"zone", settings_.zone},
                       {"ip", settings_.ip},
                       {"port", settings_.port},
                       {"slots", settings_.slots},
                       {"max_connections", settings_.max_connections},
                       {"running", statistics_.in_work()},
                       {"draining", draining}};
    httplib::Headers headers;
    if (!settings_.secret.empty()) {
      headers.emplace("x-announcement-secret", settings_.secret);
    }
    for (const std::string& address : settings_.announce_to) {
      httplib::Client client("http://" + address);
      client.set_connection_timeout(milliseconds(300));
      client.set_read_timeout(milliseconds(500));
      const auto answer = client.Post("/announcements", headers, body.dump(),
                                      "application/json");
      if (answer && answer->status == 202) return;
    }
  }

  void DrainAndStop() {
    while (!stop_requested) std::this_thread::sleep_for(kPollPeriod);
    std::this_thread::sleep_for(kDrainTime);
    while (statistics_.in_work() > 0) std::this_thread::sleep_for(kPollPeriod);
    server_.stop();
  }

  StandInSettings settings_;
  // Milliseconds since the Unix epoch at start, so that each incarnation has a
  // higher number than the previous one.
  const long incarnation_ =
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  httplib::Server server_;
  RequestStatistics statistics_;
  mutable std::mutex behaviour_mutex_;
  Behaviour behaviour_;
  std::atomic<long> answers_{0};
};

}  // namespace

int main(int argc, char** argv) {
  StandInSettings settings;
  options::options_description description("Stand-in backend server");
  auto add = description.add_options();
  add("help", "print this help");
  add("id", options::value(&settings.id)->required(),
      "id of the backend server");
  add("service", options::value(&settings.service)->required(),
      "service that it belongs to");
  add("zone", options::value(&settings.zone)->required(), "availability zone");
  add("ip", options::value(&settings.ip)->default_value("127.0.0.1"),
      "address to listen on");
  add("port", options::value(&settings.port)->default_value(0),
      "port to listen on; 0 selects a free port");
  add("slots", options::value(&settings.slots)->default_value(3),
      "announced number of requests that it runs at once");
  add("secret", options::value(&settings.secret),
      "secret that authenticates its announcements");
  add("announce-to", options::value(&settings.announce_to)->multitoken(),
      "IP:PORT of entry hosts; announces to the first that accepts");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description),
                   values);
    if (values.count("help") != 0) {
      std::cout << description;
      return 0;
    }
    options::notify(values);
  } catch (const options::error& e) {
    fmt::print(stderr, "stand_in_backend: {}\n", e.what());
    return 2;
  }
  std::signal(SIGTERM, RequestStop);
  std::signal(SIGINT, RequestStop);
  return StandInBackend(std::move(settings)).Run();
}
