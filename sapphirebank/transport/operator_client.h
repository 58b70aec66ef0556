#pragma once

#include <functional>
#include <string>
#include <vector>

#include "sapphirebank/core/endpoint.h"
#include "sapphirebank/core/error.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/transport/operator_api.h"

namespace sapphirebank {

struct OperatorClientSettings {
  std::vector<Endpoint> control_hosts;  // In the order to try them.
  std::string operator_key;
  Duration connect_timeout = std::chrono::seconds(2);
  Duration answer_timeout = std::chrono::seconds(10);
  // Number of times that all control hosts are tried, and the wait between two
  // rounds.
  int rounds = 3;
  Duration round_wait = std::chrono::milliseconds(500);
};

// Calls control hosts over HTTP. When a host cannot be reached or is not the
// leader, it tries the next one, or the leader if the host named it. A change
// is resent with the same change id, so that it is applied at most once.
class OperatorClient : public OperatorApi {
 public:
  using Wait = std::function<void(Duration)>;

  // `wait` sleeps between rounds. Fails with kInvalidSettings when there is no
  // control host, or the key is missing or has bytes other than visible ASCII.
  static Result<OperatorClient> Create(OperatorClientSettings settings,
                                       Wait wait);

  Result<DocumentAtRevision> Declarations() override;
  Result<ChangeResult> Apply(const ApplyChange& change) override;
  Result<FleetStatus> Status() override;
  Result<std::vector<BackendStatus>> Backends() override;
  Result<DayReport> Totals(const std::string& day) override;

 private:
  struct Call {
    std::string path;
    std::string body;  // Empty for a GET request.
  };

  OperatorClient(OperatorClientSettings settings, Wait wait)
      : settings_(std::move(settings)), wait_(std::move(wait)) {}

  // Calls the control hosts in up to `rounds` rounds and returns the body of
  // the response.
  Result<std::string> CallWithRetries(const Call& call);
  // Calls each control host once; a leader that a host names is called next.
  Result<std::string> CallEachHost(const Call& call);
  // Calls one control host; fails with kNoQuorum when it did not respond.
  tl::expected<std::string, OperatorRefusal> CallHost(const Endpoint& endpoint,
                                                      const Call& call);

  template <typename T>
  Result<T> Get(const std::string& path);

  OperatorClientSettings settings_;
  Wait wait_;
};

}  // namespace sapphirebank
