#include "programs/sapphirebankd/operator_port.h"

#include <future>
#include <utility>

#include "sapphirebank/config/declarations_document.h"
#include "sapphirebank/config/operator_lookup.h"

namespace sapphirebank {
namespace {

constexpr std::chrono::seconds kAnswerTimeout{5};

// Calls `start` with a callback and blocks until the callback is invoked. Fails
// with kNoQuorum after kAnswerTimeout.
template <typename T>
Result<T> Await(std::function<void(std::function<void(Result<T>)>)> start) {
  auto promise = std::make_shared<std::promise<Result<T>>>();
  auto future = promise->get_future();
  start([promise](Result<T> result) { promise->set_value(std::move(result)); });
  if (future.wait_for(kAnswerTimeout) == std::future_status::ready) {
    return future.get();
  }
  return Fail(ErrorKind::kNoQuorum,
              "no answer in time: the change may still be accepted; send it "
              "again with the same change id");
}

Result<ChangeResult> Apply(ControlDaemon& control, const ApplyChange& change) {
  return Await<ChangeResult>([&](auto callback) {
    control.Propose(change, [callback](const Completion& completion) {
      if (!completion.result) {
        callback(tl::unexpected(completion.result.error()));
      } else if (const auto* answer =
                     std::get_if<ChangeResult>(&*completion.result)) {
        callback(*answer);
      } else {
        callback(
            Fail(ErrorKind::kInternal, "unexpected result type for a change"));
      }
    });
  });
}

Result<DocumentAtRevision> ReadDeclarations(ControlDaemon& control) {
  return Await<DocumentAtRevision>([&](auto callback) {
    control.Read([&control, callback](const Completion& completion) {
      if (!completion.result) {
        callback(tl::unexpected(completion.result.error()));
        return;
      }
      const DeclarationStore& store = control.state().declarations();
      callback(DocumentAtRevision{store.revision(), *store.document()});
    });
  });
}

// Returns the declarations against which operators are authenticated. A host
// that has just started may store changes that it does not yet know to be
// committed, so without declarations it reads through the quorum. Otherwise it
// would accept the first operator of its settings although other operators are
// declared.
Result<std::shared_ptr<const Declarations>> KnownDeclarations(
    ControlDaemon& control) {
  if (auto known = control.declarations()) return known;
  const auto current = ReadDeclarations(control);
  if (!current) return tl::unexpected(current.error());
  if (current->revision == 0) return std::make_shared<const Declarations>();
  return DeclarationsFromDocument(current->document)
      .map([](Declarations declarations) {
        return std::make_shared<const Declarations>(std::move(declarations));
      });
}

}  // namespace

Result<std::unique_ptr<OperatorServer>> OpenOperatorPort(
    const DaemonSettings& settings, ControlDaemon& control) {
  OperatorServerSettings server;
  server.endpoint = settings.listeners.operators;
  OperatorHooks hooks;
  hooks.operator_of_digest =
      [&control, first = settings.first_operator_sha256](
          std::string_view sha256) -> Result<std::optional<std::string>> {
    const auto declarations = KnownDeclarations(control);
    if (!declarations) return tl::unexpected(declarations.error());
    return OperatorOfDigest(**declarations, sha256, first);
  };
  hooks.declarations = [&control] { return ReadDeclarations(control); };
  hooks.apply = [&control](const ApplyChange& change) {
    return Apply(control, change);
  };
  hooks.status = [&control] {
    return Await<FleetStatus>([&](auto callback) {
      control.Post([&control, callback] { callback(control.Status()); });
    });
  };
  hooks.backends = [&control] {
    return Await<std::vector<BackendStatus>>([&](auto callback) {
      control.Post([&control, callback] { callback(control.Backends()); });
    });
  };
  hooks.totals = [](const std::string& day) -> Result<DayReport> {
    return Fail(ErrorKind::kNotFound,
                "totals of " + day + " are not collected by this release");
  };
  hooks.leader = []() -> std::optional<Endpoint> { return std::nullopt; };
  return OperatorServer::Start(server, std::move(hooks));
}

}  // namespace sapphirebank
