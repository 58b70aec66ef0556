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
  std::vector<Endpoint> control_hosts;  // In the order in which to ask them.
  std::string operator_key;
  Duration connect_timeout = std::chrono::seconds(2);
  Duration answer_timeout = std::chrono::seconds(10);
  // How often all control hosts are asked before giving up, and the wait in
  // between.
  int rounds = 3;
  Duration round_wait = std::chrono::milliseconds(500);
};

// Asks control hosts over HTTP until one answers: it goes on to the next one
// when a host cannot be reached or does not lead, and to the leader when it is
// named. A change is resent as it is, so that it is applied at most once.
class OperatorClient : public OperatorApi {
 public:
  using Wait = std::function<void(Duration)>;

  // `wait` lets the time between rounds pass. Fails with kInvalidSettings when
  // there is no control host or no key.
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
    std::string body;  // Empty for reading.
  };

  OperatorClient(OperatorClientSettings settings, Wait wait)
      : settings_(std::move(settings)), wait_(std::move(wait)) {}

  // Returns the body of the first answer that settles the call.
  Result<std::string> CallWithRetries(const Call& call);
  // Asks each control host once, the named leader out of turn.
  Result<std::string> CallEachHost(const Call& call);
  // Asks one control host; kNoQuorum when it gave no answer.
  tl::expected<std::string, OperatorRefusal> CallHost(const Endpoint& endpoint,
                                                      const Call& call);

  template <typename T>
  Result<T> Get(const std::string& path);

  OperatorClientSettings settings_;
  Wait wait_;
};

}  // namespace sapphirebank
