#include "programs/sapphirebankd/control_daemon.h"

#include <thread>
#include <utility>
#include <vector>

#include "programs/sapphirebankd/process.h"
#include "sapphirebank/config/declarations_document.h"
#include "sapphirebank/membership/freshness_monitor.h"

namespace sapphirebank {
namespace {

using nlohmann::json;

constexpr Duration kTickPeriod = std::chrono::milliseconds(20);
constexpr Duration kConnectPeriod = std::chrono::milliseconds(500);
constexpr Duration kLeadershipTransferTime = std::chrono::milliseconds(300);

std::vector<std::uint8_t> Bytes(std::string_view text) {
  return {text.begin(), text.end()};
}

std::string Text(const json& binary) {
  const auto& bytes = binary.get_binary();
  return {bytes.begin(), bytes.end()};
}

Result<void> CheckDocument(const json& document) {
  const auto declarations = DeclarationsFromDocument(document);
  if (!declarations) return tl::unexpected(declarations.error());
  return {};
}

}  // namespace

Result<std::unique_ptr<ControlDaemon>> ControlDaemon::Start(
    caf::actor_system& system, const DaemonSettings& settings,
    FleetSecret secret, LogWriter& log) {
  ControlHostSettings host_settings;
  host_settings.host = settings.host_id;
  for (const PeerSettings& peer : settings.control_hosts) {
    host_settings.control_hosts.push_back(peer.id);
  }
  host_settings.validate = CheckDocument;
  auto files = PosixFileSystem::Open(settings.data_folder);
  if (!files) return tl::unexpected(files.error());
  auto host = ControlHost::Create(std::move(host_settings), **files,
                                  MonotonicNow(), RandomSeed());
  if (!host) return tl::unexpected(host.error());
  std::unique_ptr<ControlDaemon> daemon(
      new ControlDaemon(system, settings, std::move(*files), std::move(*host),
                        std::move(secret), log));
  try {
    daemon->links_.Listen(settings.listeners.fleet);
  } catch (const std::runtime_error& e) {
    return Fail(ErrorKind::kInvalidSettings, e.what());
  }
  daemon->thread_.StartTicks(kTickPeriod,
                             [raw = daemon.get()] { raw->Tick(); });
  return daemon;
}

ControlDaemon::ControlDaemon(caf::actor_system& system,
                             const DaemonSettings& settings,
                             std::unique_ptr<FileSystem> files,
                             ControlHost host, FleetSecret secret,
                             LogWriter& log)
    : settings_(settings),
      log_(log),
      file_system_(std::move(files)),
      host_(std::move(host)),
      thread_(system),
      links_(settings.host_id, std::move(secret), LinkHooks()) {
  const Duration max_report_age = FreshnessSettings().max_report_age;
  auto tracker = InForceTracker::Create(settings_.lease_voters, max_report_age);
  if (tracker) in_force_ = std::move(*tracker);
  if (host_.state().declarations().revision() > 0) AdoptDeclarations();
}

ControlDaemon::~ControlDaemon() {
  Post([this] {
    host_.TransferLeadership(MonotonicNow());
    Flush();
  });
  std::this_thread::sleep_for(kLeadershipTransferTime);
  thread_.Stop();
}

FleetLink::Hooks ControlDaemon::LinkHooks() {
  FleetLink::Hooks hooks;
  hooks.up = [this](FleetLink::LinkId link, const HostId& peer) {
    Post([this, link, peer] { peers_[link].host = peer; });
  };
  hooks.received = [this](FleetLink::LinkId link, const HostId& peer,
                          json message) {
    Post([this, link, peer, moved = std::move(message)] {
      OnMessage(link, peer, moved);
    });
  };
  hooks.down = [this](FleetLink::LinkId link, const std::string& reason) {
    Post([this, link, reason] {
      peers_.erase(link);
      std::erase_if(outgoing_,
                    [&](const auto& item) { return item.second == link; });
      if (!reason.empty()) {
        log_.Write(LogLevel::kWarning, "link_refused", {{"cause", reason}});
      }
    });
  };
  return hooks;
}

void ControlDaemon::Propose(ControlCommand command, Callback callback) {
  Post([this, moved = std::move(command), callback = std::move(callback)] {
    const RequestToken token = next_token_++;
    callbacks_.emplace(token, callback);
    host_.Propose(MonotonicNow(), moved, token);
    FlushSoon();
  });
}

void ControlDaemon::Read(Callback callback) {
  Post([this, callback = std::move(callback)] {
    const RequestToken token = next_token_++;
    callbacks_.emplace(token, callback);
    host_.Read(MonotonicNow(), token);
    FlushSoon();
  });
}

void ControlDaemon::Post(std::function<void()> step) {
  thread_.Post(std::move(step));
}

FleetStatus ControlDaemon::Status() {
  FleetStatus status;
  status.revision = host_.state().declarations().revision();
  if (in_force_) status.revision = in_force_->RevisionInForce(MonotonicNow());
  status.leader = host_.leader();
  status.term = host_.raft().term();
  status.hosts.push_back({settings_.host_id, "control", settings_.zone, "alive",
                          host_.state().declarations().revision()});
  for (const auto& [link, peer] : peers_) {
    const bool entry = peer.subscribed;
    status.hosts.push_back({peer.host, entry ? "entry" : "control", peer.zone,
                            "linked", peer.in_force});
    status.leases.insert(status.leases.end(), peer.leases.begin(),
                         peer.leases.end());
  }
  return status;
}

std::vector<BackendStatus> ControlDaemon::Backends() const {
  std::vector<BackendStatus> all;
  for (const auto& [link, peer] : peers_) {
    all.insert(all.end(), peer.backends.begin(), peer.backends.end());
  }
  return all;
}

void ControlDaemon::Tick() {
  const Instant now = MonotonicNow();
  host_.Tick(now, WallNow());
  if (now >= next_connect_) {
    next_connect_ = now + kConnectPeriod;
    ConnectToOthers();
  }
  Flush();
}

// Queues a flush behind the messages that are already queued, so that one disk
// write covers all of them.
void ControlDaemon::FlushSoon() {
  if (flush_is_posted_) return;
  flush_is_posted_ = true;
  Post([this] { Flush(); });
}

void ControlDaemon::Flush() {
  flush_is_posted_ = false;
  const Instant now = MonotonicNow();
  Send(host_.TakeEarlyMessages(now));
  ControlEffects effects = host_.Flush(now);
  Send(effects.messages);
  for (Completion& completion : effects.completions) {
    const auto callback = callbacks_.extract(completion.token);
    if (!callback.empty()) callback.mapped()(std::move(completion));
  }
  if (effects.revision) {
    log_.Write(LogLevel::kInfo, "configuration_accepted",
               {{"revision", *effects.revision}});
    AdoptDeclarations();
    for (auto& [link, peer] : peers_) {
      if (peer.subscribed) SendDeclarations(link, peer);
    }
  }
  if (effects.failure) {
    log_.Write(LogLevel::kError, "data_folder_failed",
               {{"cause", effects.failure->detail}});
  }
  if (effects.recovered) {
    log_.Write(LogLevel::kInfo, "data_folder_recovered",
               {{"term", host_.raft().term()},
                {"last_index", host_.raft().log().last().index}});
  }
}

void ControlDaemon::Send(const std::vector<PeerEnvelope>& messages) {
  for (const PeerEnvelope& envelope : messages) {
    const json message = {
        {"t", "raft"},
        {"m", json::binary(Bytes(EncodePeerMessage(envelope.message)))}};
    for (const auto& [link, peer] : peers_) {
      if (peer.host != envelope.host) continue;
      links_.Send(link, message);
      break;
    }
  }
}

void ControlDaemon::ConnectToOthers() {
  for (const PeerSettings& peer : settings_.control_hosts) {
    if (peer.id == settings_.host_id || outgoing_.contains(peer.id)) continue;
    outgoing_[peer.id] = links_.Connect(peer.endpoint);
  }
}

void ControlDaemon::OnMessage(FleetLink::LinkId link, const HostId& from,
                              const json& message) {
  try {
    const std::string type = message.at("t").get<std::string>();
    if (type == "raft") {
      const auto decoded = DecodePeerMessage(Text(message.at("m")));
      if (decoded) host_.Receive(MonotonicNow(), from, *decoded);
      FlushSoon();
    } else if (type == "command") {
      OnCommand(link, message);
    } else if (type == "subscribe") {
      Peer& peer = peers_[link];
      peer.subscribed = true;
      peer.sent = message.at("revision").get<Revision>();
      SendDeclarations(link, peer);
    } else if (type == "poll") {
      OnPoll(link, message);
    } else if (type == "report") {
      OnReport(link, message);
    }
  } catch (const json::exception& e) {
    log_.Write(LogLevel::kWarning, "message_refused",
               {{"from", from.value()}, {"cause", e.what()}});
  }
}

void ControlDaemon::OnCommand(FleetLink::LinkId link, const json& message) {
  const auto token = message.at("token").get<std::uint64_t>();
  const auto command = DecodeCommand(Text(message.at("command")));
  const auto reply = [this, link, token](Result<CommandResult> result,
                                         const std::optional<HostId>& leader) {
    json body = EncodeControlResponse({token, std::move(result), leader});
    body["t"] = "reply";
    links_.Send(link, body);
  };
  if (!command) {
    reply(tl::unexpected(command.error()), std::nullopt);
    return;
  }
  // Only operators may change declarations, through the operators' port.
  if (std::holds_alternative<ApplyChange>(*command)) {
    reply(Fail(ErrorKind::kPeerRejected,
               "an entry host may not change declarations"),
          std::nullopt);
    return;
  }
  Propose(*command, [reply](Completion completion) {
    reply(std::move(completion.result), completion.leader);
  });
}

void ControlDaemon::SendDeclarations(FleetLink::LinkId link, Peer& peer) {
  const DeclarationStore& store = host_.state().declarations();
  if (peer.sent >= store.revision()) return;
  const auto deltas = store.PatchesSince(peer.sent);
  if (deltas && peer.sent > 0) {
    json patches = json::array();
    for (const DeclarationPatch& patch : *deltas) {
      patches.push_back({{"revision", patch.revision},
                         {"patch", json::binary(Bytes(patch.patch))}});
    }
    links_.Send(link, {{"t", "patches"}, {"patches", std::move(patches)}});
  } else {
    links_.Send(link, {{"t", "snapshot"},
                       {"revision", store.revision()},
                       {"document", *store.document()}});
  }
  peer.sent = store.revision();
}

// Answers an entry host's poll with a stamp: proof that this host was the
// leader after the poll was sent, and the last committed revision at that time.
// Followers do not answer.
void ControlDaemon::OnPoll(FleetLink::LinkId link, const json& message) {
  Peer& peer = peers_[link];
  peer.in_force = message.at("revision").get<Revision>();
  const auto sent = message.at("sent").get<std::int64_t>();
  if (in_force_ && message.contains("asked")) {
    // `asked` is a reading of this process's clock that the peer echoes; a
    // value in the future cannot be genuine and is ignored.
    const Instant asked{Duration(message.at("asked").get<Duration::rep>())};
    if (asked <= MonotonicNow()) {
      in_force_->Report(peer.host, peer.in_force, asked);
    }
  }
  if (!host_.IsLeader()) return;
  Read([this, link, sent](const Completion& completion) {
    if (!completion.result) return;
    links_.Send(link, {{"t", "stamp"},
                       {"sent", sent},
                       {"revision", completion.revision},
                       {"asked", MonotonicNow().time_since_epoch().count()}});
  });
}

void ControlDaemon::OnReport(FleetLink::LinkId link, const json& message) {
  Peer& peer = peers_[link];
  peer.zone = ZoneId(message.at("zone").get<std::string>());
  peer.backends = message.at("backends").get<std::vector<BackendStatus>>();
  peer.leases = message.at("leases").get<std::vector<LeaseStatus>>();
}

void ControlDaemon::AdoptDeclarations() {
  const DeclarationStore& store = host_.state().declarations();
  auto declarations = DeclarationsFromDocument(*store.document());
  if (!declarations) {
    log_.Write(LogLevel::kError, "declarations_unreadable",
               {{"cause", declarations.error().detail}});
    return;
  }
  std::atomic_store(&declarations_, std::make_shared<const Declarations>(
                                        std::move(*declarations)));
}

}  // namespace sapphirebank
