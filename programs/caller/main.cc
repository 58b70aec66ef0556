#include <fmt/format.h>
#include <httplib.h>

#include <boost/program_options.hpp>
#include <iostream>
#include <string>
#include <vector>

// Sends one request to the fleet as a caller does and prints the status and
// body of the answer.

namespace {

namespace options = boost::program_options;

struct CallerSettings {
  std::string address;
  std::string key;
  std::string idempotency_key;
  std::string body;
  std::vector<std::string> request;  // Method and path.
};

int SendRequest(const CallerSettings& settings) {
  httplib::Client client("http://" + settings.address);
  httplib::Request request;
  request.method = settings.request[0];
  request.path = settings.request[1];
  request.body = settings.body;
  if (!settings.key.empty()) request.set_header("x-api-key", settings.key);
  if (!settings.idempotency_key.empty()) {
    request.set_header("Idempotency-Key", settings.idempotency_key);
  }
  const auto answer = client.send(request);
  if (!answer) {
    fmt::print(stderr, "caller: no answer from {}: {}\n", settings.address,
               httplib::to_string(answer.error()));
    return 1;
  }
  fmt::print("{} {}\n", answer->status, answer->body);
  return answer->status < 400 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  CallerSettings settings;
  options::options_description description("caller [OPTION...] METHOD PATH");
  auto add = description.add_options();
  add("help", "print this help");
  add("address", options::value(&settings.address)->required(),
      "IP:PORT of an entry host");
  add("key", options::value(&settings.key), "API key of the caller");
  add("idempotency-key", options::value(&settings.idempotency_key),
      "idempotency key: a request with the same key runs only once");
  add("body", options::value(&settings.body), "body of the request");
  options::options_description hidden;
  hidden.add_options()("request", options::value(&settings.request));
  options::options_description all;
  all.add(description).add(hidden);
  options::positional_options_description positional;
  positional.add("request", 2);
  try {
    options::variables_map values;
    options::store(options::command_line_parser(argc, argv)
                       .options(all)
                       .positional(positional)
                       .run(),
                   values);
    if (values.count("help") != 0) {
      std::cout << description;
      return 0;
    }
    options::notify(values);
  } catch (const options::error& e) {
    fmt::print(stderr, "caller: {}\n", e.what());
    return 2;
  }
  if (settings.request.size() != 2) {
    std::cout << description;
    return 2;
  }
  return SendRequest(settings);
}
