#include "sapphirebank/transport/operator_client.h"

#include <fmt/format.h>
#include <httplib.h>

#include <algorithm>
#include <deque>
#include <utility>

#include "sapphirebank/telemetry/totals_codec.h"

namespace sapphirebank {
namespace {

constexpr const char* kJsonMediaType = "application/json";
constexpr int kOkStatus = 200;
// Redirects to a named leader that are followed in one round; without a limit
// two hosts that name each other would loop.
constexpr int kMaxLeaderRedirects = 5;

// Returns whether another control host may accept a request that one refused
// with `kind`.
bool IsRetriableOnAnotherHost(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kNotLeader:
    case ErrorKind::kNoQuorum:
    case ErrorKind::kStorageFailed:
    case ErrorKind::kQueueFull:
    case ErrorKind::kHostLeaving:
    case ErrorKind::kInternal:
      return true;
    default:
      return false;
  }
}

}  // namespace

Result<OperatorClient> OperatorClient::Create(OperatorClientSettings settings,
                                              Wait wait) {
  if (settings.control_hosts.empty()) {
    return Fail(ErrorKind::kInvalidSettings, "no control host is given");
  }
  const std::string& key = settings.operator_key;
  const bool is_visible_ascii = std::all_of(
      key.begin(), key.end(), [](char c) { return c > ' ' && c < 127; });
  if (key.empty() || !is_visible_ascii) {
    return Fail(ErrorKind::kInvalidSettings,
                "the operator's key is missing, or has bytes other than "
                "visible ASCII");
  }
  return OperatorClient(std::move(settings), std::move(wait));
}

tl::expected<std::string, OperatorRefusal> OperatorClient::CallHost(
    const Endpoint& endpoint, const Call& call) {
  httplib::Client client(endpoint.ip, endpoint.port);
  client.set_connection_timeout(settings_.connect_timeout);
  client.set_read_timeout(settings_.answer_timeout);
  client.set_write_timeout(settings_.answer_timeout);
  client.set_bearer_token_auth(settings_.operator_key);
  const httplib::Result result =
      call.body.empty() ? client.Get(call.path)
                        : client.Post(call.path, call.body, kJsonMediaType);
  if (!result) {
    return tl::unexpected(OperatorRefusal{
        {ErrorKind::kNoQuorum,
         fmt::format("{} gave no answer: {}", ToString(endpoint),
                     httplib::to_string(result.error()))},
        std::nullopt});
  }
  if (result->status == kOkStatus) return result->body;
  OperatorRefusal refusal = RefusalFromBody(result->body, result->status);
  refusal.error.detail =
      fmt::format("{}: {}", ToString(endpoint), refusal.error.detail);
  return tl::unexpected(std::move(refusal));
}

Result<std::string> OperatorClient::CallEachHost(const Call& call) {
  std::deque<Endpoint> queue(settings_.control_hosts.begin(),
                             settings_.control_hosts.end());
  int redirects = 0;
  std::string causes;
  while (!queue.empty()) {
    const Endpoint endpoint = queue.front();
    queue.pop_front();
    auto answer = CallHost(endpoint, call);
    if (answer) return std::move(*answer);
    const OperatorRefusal& refusal = answer.error();
    if (!IsRetriableOnAnotherHost(refusal.error.kind)) {
      return tl::unexpected(refusal.error);
    }
    if (!causes.empty()) causes += "; ";
    causes += refusal.error.detail;
    if (refusal.leader && redirects++ < kMaxLeaderRedirects) {
      std::erase(queue, *refusal.leader);
      queue.push_front(*refusal.leader);
    }
  }
  return Fail(ErrorKind::kNoQuorum, std::move(causes));
}

Result<std::string> OperatorClient::CallWithRetries(const Call& call) {
  auto answer = CallEachHost(call);
  for (int round = 1; round < settings_.rounds; ++round) {
    if (answer || answer.error().kind != ErrorKind::kNoQuorum) break;
    wait_(settings_.round_wait);
    answer = CallEachHost(call);
  }
  return answer;
}

template <typename T>
Result<T> OperatorClient::Get(const std::string& path) {
  const auto body = CallWithRetries({path, ""});
  if (!body) return tl::unexpected(body.error());
  return FromAnswerBody<T>(*body);
}

Result<DocumentAtRevision> OperatorClient::Declarations() {
  return Get<DocumentAtRevision>("/v1/declarations");
}

Result<ChangeResult> OperatorClient::Apply(const ApplyChange& change) {
  const auto body = CallWithRetries({"/v1/changes", ChangeBody(change).dump()});
  if (!body) return tl::unexpected(body.error());
  const auto json = FromAnswerBody<nlohmann::json>(*body);
  if (json && json->is_object() && json->contains("revision") &&
      json->at("revision").is_number_unsigned()) {
    return ChangeResult{json->at("revision").get<Revision>()};
  }
  return Fail(ErrorKind::kPeerRejected, "the answer names no revision");
}

Result<FleetStatus> OperatorClient::Status() {
  return Get<FleetStatus>("/v1/status");
}

Result<std::vector<BackendStatus>> OperatorClient::Backends() {
  return Get<std::vector<BackendStatus>>("/v1/backends");
}

Result<DayReport> OperatorClient::Totals(const std::string& day) {
  return Get<DayReport>("/v1/totals?day=" + day);
}

}  // namespace sapphirebank
