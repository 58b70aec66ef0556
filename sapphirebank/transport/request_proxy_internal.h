#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "sapphirebank/request/execution_record.h"
#include "sapphirebank/transport/request_proxy.h"

namespace sapphirebank {

// Header fields that are exchanged with callers and backend servers.
inline constexpr std::string_view kRequestIdField = "x-sapphirebank-request-id";
inline constexpr std::string_view kDeadlineField = "x-sapphirebank-deadline-ms";

// State of one request from its acceptance to its answer.
struct RequestProxy::ProxiedRequest {
  std::shared_ptr<const RouteTable> table;  // Owns what `match` points to.
  RouteTable::Match match;
  RequestId id;
  WorkspaceId workspace;
  double weight = 1;
  HttpRequestHead head;  // As sent to backend servers.
  std::string body;
  std::shared_ptr<CallerWatch> watch;
  std::string idempotency_key;
  std::string digest;
  Instant start_time;
  Instant deadline;
  Duration time_on_backend{};  // Sum over all attempts.
  bool forwarded = false;
  int attempts = 0;
  ExecutionRecord execution;
  bool fresh_connection = false;
  std::vector<BackendId> attempted_backends;
  std::vector<HostId> attempted_hosts;

  bool needs_claim() const {
    return !forwarded && !match.route->idempotent && !idempotency_key.empty();
  }
  bool hung_up() const { return watch && watch->hung_up(); }
};

// Body of a streamed answer. Releases the backend server's slot when the last
// byte has been read, when the source fails, or on destruction because the
// caller disconnected.
class RequestProxy::SlotStream : public BodyStream {
 public:
  SlotStream(std::shared_ptr<BodyStream> source,
             std::function<void(OutcomeKind)> finish)
      : source_(std::move(source)), finish_(std::move(finish)) {}

  ~SlotStream() override { Finish(OutcomeKind::kCancelled); }

  boost::asio::awaitable<Result<std::string>> Next() override {
    Result<std::string> piece = co_await source_->Next();
    if (!piece) Finish(OutcomeKind::kConnectionLost);
    if (piece && piece->empty()) Finish(OutcomeKind::kSuccess);
    co_return piece;
  }

 private:
  void Finish(OutcomeKind kind) {
    const auto finish = std::exchange(finish_, nullptr);
    if (finish) finish(kind);
  }

  std::shared_ptr<BodyStream> source_;
  std::function<void(OutcomeKind)> finish_;
};

}  // namespace sapphirebank
