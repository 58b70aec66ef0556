#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <thread>
#include <utility>

#include "programs/sapphirebank/subcommand.h"
#include "sapphirebank/core/endpoint.h"
#include "sapphirebank/operators/generated_key.h"
#include "sapphirebank/transport/operator_client.h"

namespace sapphirebank {
namespace {

constexpr const char* kKeyVariable = "SAPPHIREBANK_OPERATOR_KEY";
constexpr const char* kControlVariable = "SAPPHIREBANK_CONTROL";
constexpr const char* kDefaultControl = "127.0.0.1:7080";
constexpr std::size_t kChangeIdBytes = 12;

std::string ReadEnvironment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

Result<std::vector<Endpoint>> ParseEndpoints(const std::string& list) {
  std::vector<Endpoint> endpoints;
  const std::string_view text = list;
  std::size_t start = 0;
  while (start <= list.size()) {
    const std::size_t comma = std::min(list.find(',', start), list.size());
    auto endpoint = EndpointFromString(text.substr(start, comma - start));
    if (!endpoint) {
      return Fail(ErrorKind::kInvalidSettings,
                  fmt::format("--control: {}", endpoint.error().detail));
    }
    endpoints.push_back(std::move(*endpoint));
    start = comma + 1;
  }
  return endpoints;
}

// Returns the first line of the file, without its line break.
Result<std::string> ReadKeyFile(const std::string& name) {
  auto text = ReadFile(name);
  if (!text) return text;
  return text->substr(0, text->find_first_of("\r\n"));
}

}  // namespace

bool CommandContext::Has(const std::string& option) const {
  return values_.count(option) > 0;
}

std::string CommandContext::Value(const std::string& option) const {
  return Has(option) ? values_[option].as<std::string>() : "";
}

std::vector<std::string> CommandContext::Values(
    const std::string& option) const {
  if (!Has(option)) return {};
  return values_[option].as<std::vector<std::string>>();
}

Result<std::string> CommandContext::ChangeId() const {
  if (Has("change-id")) return Value("change-id");
  std::array<unsigned char, kChangeIdBytes> bytes = {};
  if (!SystemSecureRandom()(bytes)) {
    return Fail(ErrorKind::kInternal,
                "cannot generate a change id: the system has no random bytes");
  }
  std::string id = "c-";
  for (const unsigned char byte : bytes) id += fmt::format("{:02x}", byte);
  return id;
}

Result<std::unique_ptr<OperatorApi>> CommandContext::CreateApi() const {
  std::string control = Value("control");
  if (control.empty()) control = ReadEnvironment(kControlVariable);
  if (control.empty()) control = kDefaultControl;
  auto endpoints = ParseEndpoints(control);
  if (!endpoints) return tl::unexpected(endpoints.error());
  OperatorClientSettings settings;
  settings.control_hosts = std::move(*endpoints);
  settings.operator_key = ReadEnvironment(kKeyVariable);
  if (Has("key-file")) {
    auto key = ReadKeyFile(Value("key-file"));
    if (!key) return tl::unexpected(key.error());
    settings.operator_key = std::move(*key);
  }
  if (settings.operator_key.empty()) {
    return Fail(
        ErrorKind::kOperatorUnknown,
        fmt::format("no operator's key: expected --key-file or the environment "
                    "variable {}",
                    kKeyVariable));
  }
  auto client = OperatorClient::Create(std::move(settings), [](Duration wait) {
    std::this_thread::sleep_for(wait);
  });
  if (!client) return tl::unexpected(client.error());
  return std::make_unique<OperatorClient>(std::move(*client));
}

Result<std::string> ReadFile(const std::string& name) {
  if (name == "-") {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  }
  std::ifstream file(name, std::ios::binary);
  std::string bytes(std::istreambuf_iterator<char>(file), {});
  if (file.is_open() && !file.bad()) return bytes;
  return Fail(ErrorKind::kNotFound, fmt::format("cannot read file {}", name));
}

Result<void> WriteFile(const std::string& name, const std::string& bytes) {
  std::ofstream file(name, std::ios::binary | std::ios::trunc);
  file << bytes;
  file.close();
  if (file) return {};
  return Fail(ErrorKind::kStorageFailed,
              fmt::format("cannot write file {}", name));
}

}  // namespace sapphirebank
