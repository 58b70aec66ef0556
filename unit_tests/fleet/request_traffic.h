#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <vector>

#include "sapphirebank/core/random.h"
#include "sapphirebank/fleet/entry_view.h"

namespace sapphirebank {

// The ways by which a request reaches a server; docs/design/view-leases.md has
// what bounds each of them.
enum class RequestWay {
  kKeptConnection,
  kNewConnection,
  kRetry,     // At another server, after an attempt has failed.
  kHedge,     // At a server that was chosen while another attempt went on.
  kDetour,    // By way of another entry host.
  kPipeline,  // Behind an earlier request of its caller.
};
inline constexpr std::uint64_t kRequestWays = 6;

// What bounds the ways of requests. The simulation has to notice the lack of
// each of them.
struct RequestGuards {
  bool checks_lease = true;   // Before the first byte.
  bool checks_server = true;  // The same.
  bool cuts_with_lease = true;
  bool cuts_after_departure = true;
};

// Requests of one entry host by simulated time, with the checks of the product.
class RequestTraffic {
 public:
  // Returns the view of another entry host that takes requests now, or null.
  using Detour = std::function<const EntryView*()>;

  RequestTraffic(const ViewLeaseSettings& lease, const RequestGuards& guards,
                 Duration longest_way)
      : lease_(lease), guards_(guards), longest_way_(longest_way) {}

  // Starts a request by a random way.
  void Start(Instant now, const EntryView& view, Random& random,
             const Detour& detour) {
    Request request;
    request.way = static_cast<RequestWay>(random.Below(kRequestWays));
    request.view = &view;
    if (request.way == RequestWay::kDetour) request.view = detour();
    if (request.view == nullptr) return;
    if (!request.view->IsCurrent(now)) return;
    switch (request.way) {
      case RequestWay::kKeptConnection:
        request.checked_at = now;
        break;
      case RequestWay::kNewConnection:
        request.checked_at = now + Between(random, 0, 200);
        break;
      case RequestWay::kHedge:
        request.checked_at = now + Between(random, 0, 720);
        break;
      default:
        // A server is chosen once the first attempt, the other host or the
        // request before is done with it.
        request.chosen_at = now + Between(random, 0, 2500);
        request.checked_at = *request.chosen_at;
    }
    if (!request.chosen_at) request.server = Choose(*request.view, random);
    const double kind = random.Unit();
    const std::uint64_t longest_ms =
        static_cast<std::uint64_t>(ToSeconds(longest_way_) * 1e3);
    request.time = kind < 0.6   ? Between(random, 1, 100)
                   : kind < 0.9 ? Between(random, 1, 1000)
                                : Between(random, 1, 3000);
    request.time =
        std::min<Duration>(request.time, std::chrono::milliseconds(longest_ms));
    request.expected_time =
        FromSeconds(ToSeconds(request.time) * random.Unit());
    requests_.push_back(std::move(request));
  }

  // Advances all requests; `arrived` is called with the server of each that
  // reaches it.
  void Run(Instant now, Random& random,
           const std::function<void(const BackendId&)>& arrived) {
    requests_.remove_if([&](Request& request) {
      return IsOver(now, random, request, arrived);
    });
  }

  // The process of the host has ended.
  void Clear() { requests_.clear(); }

  // Drops the requests that were sent on to the host of `view`.
  void ForgetView(const EntryView* view) {
    requests_.remove_if(
        [&](const Request& request) { return request.view == view; });
  }

  // The host has stood still for `time`.
  void Delay(Duration time) {
    for (Request& request : requests_) {
      if (request.arrives_at) *request.arrives_at += time;
    }
  }

 private:
  struct Request {
    RequestWay way = RequestWay::kKeptConnection;
    const EntryView* view = nullptr;
    KnownServerPtr server;
    std::optional<Instant> chosen_at;
    Instant checked_at;
    // Time of its bytes on their way, and what the host expects of it.
    Duration time{};
    Duration expected_time{};
    std::optional<Instant> arrives_at;
  };

  static Duration Between(Random& random, std::uint64_t low_ms,
                          std::uint64_t high_ms) {
    return std::chrono::milliseconds(low_ms +
                                     random.Below(high_ms - low_ms + 1));
  }

  static KnownServerPtr Choose(const EntryView& view, Random& random) {
    const auto& servers = view.ServersOf(ServiceId("desk"));
    return servers.empty() ? nullptr : servers[random.Below(servers.size())];
  }

  bool MaySend(Instant now, const Request& request) const {
    const EntryView& view = *request.view;
    if (guards_.checks_lease && !view.HasTimeFor(now, request.expected_time)) {
      return false;
    }
    return !guards_.checks_server ||
           view.MayReceiveRequests(now, *request.server);
  }

  Instant Limit(const Request& request) const {
    const Instant by_lease =
        guards_.cuts_with_lease ? request.view->current_until() + lease_.way / 2
                                : Instant::max();
    if (!request.server->arrival_limit) return by_lease;
    return guards_.cuts_after_departure ? *request.server->arrival_limit
                                        : by_lease;
  }

  bool IsOver(Instant now, Random& random, Request& request,
              const std::function<void(const BackendId&)>& arrived) {
    if (!request.arrives_at) {
      if (now < request.checked_at) return false;
      if (request.chosen_at) request.server = Choose(*request.view, random);
      if (!request.server || !MaySend(now, request)) return true;
      request.arrives_at = now + request.time;
    }
    if (guards_.cuts_with_lease && guards_.cuts_after_departure) {
      if (now >= request.view->ArrivalLimit(*request.server)) return true;
    } else if (now >= Limit(request)) {
      return true;
    }
    if (now < *request.arrives_at) return false;
    arrived(request.server->state.announcement.id);
    return true;
  }

  ViewLeaseSettings lease_;
  RequestGuards guards_;
  Duration longest_way_;
  std::list<Request> requests_;
};

}  // namespace sapphirebank
