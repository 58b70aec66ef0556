// Fault cases of leases: one holder or two, three voters, stated outcomes.

#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>

#include "sapphirebank/lease/lease_codec.h"
#include "sapphirebank/lease/lease_holder.h"
#include "sapphirebank/lease/lease_voter.h"

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::vector<std::string> kKeys = {"service:permit"};
constexpr Duration kTick = milliseconds(50);
constexpr const char* kKey = "service:permit";

VoterSet Voters(VoterEpoch epoch, const std::vector<const char*>& hosts,
                const std::vector<const char*>& previous = {}) {
  VoterSet set;
  set.epoch = epoch;
  for (const char* host : hosts) set.hosts.emplace_back(host);
  for (const char* host : previous) set.previous.emplace_back(host);
  return set;
}

// Voters "v1" to "v3" and holders "a" and "b" on one clock.
class TestCluster {
 public:
  TestCluster() {
    for (const HostId& voter : set_.hosts) StartVoter(voter);
    for (const char* name : {"a", "b"}) {
      holders_.emplace(HostId(name),
                       *LeaseHolder::Create(HostId(name), {}, set_, *name));
    }
    now += seconds(4);
  }

  void StartVoter(const HostId& voter) {
    voters_.insert_or_assign(voter,
                             *LeaseVoter::Create(voter, {}, set_, 0, now));
  }

  LeaseHolder& Holder(const char* name) { return holders_.at(HostId(name)); }

  void SetDesired(const char* name) {
    Apply(HostId(name), Holder(name).SetDesiredKeys(now, kKeys));
  }

  // Runs both holders for `length`; messages arrive at once.
  void Run(Duration length) {
    for (const Instant end = now + length; now < end; now += kTick) {
      for (auto& [name, holder] : holders_) {
        if (!frozen.contains(name)) Apply(name, holder.Tick(now));
      }
      Deliver();
    }
  }

  std::optional<Term> Holds(const char* name) {
    return Holder(name).Holds(now, kKey);
  }

  struct Message {
    HostId from;
    HostId to;
    LeaseMessage message;
  };

  void Send(Message message) { queue_.push_back(std::move(message)); }

  void Deliver() {
    while (!queue_.empty()) {
      const Message message = std::move(queue_.front());
      queue_.pop_front();
      if (keep && keep(message)) kept.push_back(message);
      if (cut && cut(message)) continue;
      Handle(message);
    }
  }

  Instant now;
  std::set<HostId> frozen;
  std::function<bool(const Message&)> cut;
  std::function<bool(const Message&)> keep;
  std::vector<Message> kept;
  std::vector<LeaseEvent> events;

 private:
  void Handle(const Message& message) {
    if (const auto* ask = std::get_if<LeaseRequest>(&message.message)) {
      OutgoingLeaseMessage effect =
          voters_.at(message.to).OnRequest(now, message.from, *ask);
      Send({message.to, effect.to, std::move(effect.message)});
    }
    if (const auto* response = std::get_if<LeaseResponse>(&message.message)) {
      Apply(message.to,
            holders_.at(message.to).OnResponse(now, message.from, *response));
    }
  }

  void Apply(const HostId& from, LeaseEffects output) {
    for (LeaseEvent& event : output.events) events.push_back(event);
    for (OutgoingLeaseMessage& effect : output.messages) {
      Send({from, effect.to, std::move(effect.message)});
    }
  }

  VoterSet set_ = Voters(1, {"v1", "v2", "v3"});
  std::map<HostId, LeaseVoter> voters_;
  std::map<HostId, LeaseHolder> holders_;
  std::deque<Message> queue_;
};

bool IsExtend(const TestCluster::Message& message) {
  const auto* ask = std::get_if<LeaseRequest>(&message.message);
  return ask != nullptr && !ask->items.empty() &&
         ask->items.front().operation == LeaseOperation::kExtend;
}

bool IsPropose(const TestCluster::Message& message) {
  const auto* ask = std::get_if<LeaseRequest>(&message.message);
  return ask != nullptr && !ask->items.empty() &&
         ask->items.front().operation == LeaseOperation::kPropose;
}

TEST_CASE("faults of leases end as stated", "[lease]") {
  struct Row {
    const char* fault;
    std::function<void(TestCluster&)> inject;
    // After the fault, "b" wants the key too, and 7 s pass: a holder extends
    // for one length at most after the last answer it heard, and voters keep
    // to that extension for another one.
    bool a_holds;
    bool b_holds;
  };
  const auto to = [](const char* host) {
    return
        [host](const TestCluster::Message& m) { return m.to == HostId(host); };
  };
  const Row rows[] = {
      {"none", [](TestCluster&) {}, true, false},
      {"holder frozen",
       [](TestCluster& cluster) { cluster.frozen.insert(HostId("a")); }, false,
       true},
      {"holder cut from the answers",
       [&](TestCluster& cluster) { cluster.cut = to("a"); }, false, true},
      {"holder cut from the voters",
       [](TestCluster& cluster) {
         cluster.cut = [](const TestCluster::Message& m) {
           return m.from == HostId("a");
         };
       },
       false, true},
      {"one voter lost", [&](TestCluster& cluster) { cluster.cut = to("v1"); },
       true, false},
      {"two voters lost",
       [](TestCluster& cluster) {
         cluster.cut = [](const TestCluster::Message& m) {
           return m.to == HostId("v1") || m.to == HostId("v2");
         };
       },
       false, false},
      {"one voter restarts",
       [](TestCluster& cluster) { cluster.StartVoter(HostId("v1")); }, true,
       false},
      {"two voters restart, holder frozen",
       [](TestCluster& cluster) {
         cluster.StartVoter(HostId("v1"));
         cluster.StartVoter(HostId("v2"));
         cluster.frozen.insert(HostId("a"));
       },
       false, true},
      {"holder releases",
       [](TestCluster& cluster) {
         cluster.Holder("a").ReleaseAll(cluster.now);
       },
       false, true},
  };
  for (const Row& row : rows) {
    INFO(row.fault);
    TestCluster cluster;
    cluster.SetDesired("a");
    cluster.Run(seconds(1));
    REQUIRE(cluster.Holds("a"));
    const Term first = *cluster.Holds("a");
    row.inject(cluster);
    cluster.SetDesired("b");
    cluster.Run(seconds(7));
    CHECK(cluster.Holds("a").has_value() == row.a_holds);
    CHECK(cluster.Holds("b").has_value() == row.b_holds);
    if (row.b_holds) CHECK(cluster.Holds("b") > first);
  }
}

TEST_CASE("a restarted voter grants nothing for a longest lease", "[lease]") {
  TestCluster cluster;
  cluster.SetDesired("a");
  cluster.Run(milliseconds(100));
  cluster.frozen.insert(HostId("a"));
  cluster.StartVoter(HostId("v1"));
  cluster.StartVoter(HostId("v2"));
  cluster.SetDesired("b");
  cluster.Run(milliseconds(2800));
  CHECK_FALSE(cluster.Holds("b"));
}

TEST_CASE("a lease counts from before its request was sent", "[lease]") {
  TestCluster cluster;
  cluster.SetDesired("a");
  cluster.Run(seconds(1));
  // An extension is sent within the first second, its answers come later.
  const Instant start = cluster.now;
  const auto to_holder = [](const TestCluster::Message& m) {
    return m.to == HostId("a");
  };
  cluster.keep = to_holder;
  cluster.cut = to_holder;
  cluster.Run(milliseconds(1100));
  cluster.frozen.insert(HostId("a"));
  cluster.keep = nullptr;
  cluster.cut = nullptr;
  cluster.now = start + milliseconds(1900);
  for (const TestCluster::Message& message : cluster.kept)
    cluster.Send(message);
  cluster.Deliver();
  CHECK(cluster.Holds("a"));
  cluster.now = start + milliseconds(1100) + seconds(3);
  CHECK_FALSE(cluster.Holds("a"));
}

TEST_CASE("an expired lease is not revived by a late answer", "[lease]") {
  TestCluster cluster;
  cluster.SetDesired("a");
  cluster.Run(seconds(1));
  cluster.cut = [](const TestCluster::Message& m) {
    return m.to == HostId("a");
  };
  cluster.keep = IsExtend;
  cluster.Run(seconds(4));
  cluster.cut = nullptr;
  cluster.events.clear();
  // A voter's answer to the newest extension, after the end.
  REQUIRE_FALSE(cluster.kept.empty());
  cluster.Send(cluster.kept.back());
  cluster.Deliver();
  CHECK_FALSE(cluster.Holds("a"));
}

TEST_CASE("a late proposal of a released term is not granted", "[lease]") {
  TestCluster cluster;
  cluster.keep = IsPropose;
  cluster.SetDesired("a");
  cluster.Run(milliseconds(200));
  REQUIRE(cluster.Holds("a"));
  cluster.keep = nullptr;
  const auto output = cluster.Holder("a").ReleaseAll(cluster.now);
  for (const OutgoingLeaseMessage& effect : output.messages) {
    cluster.Send({HostId("a"), effect.to, effect.message});
  }
  for (const TestCluster::Message& message : cluster.kept)
    cluster.Send(message);
  cluster.Deliver();
  cluster.SetDesired("b");
  cluster.Run(milliseconds(500));
  CHECK(cluster.Holds("b"));
}

TEST_CASE("the margin covers clocks that differ by the drift", "[lease]") {
  for (const double drift : {0.0, 0.0005, 0.001, 0.01}) {
    for (const Duration length :
         {Duration(1), Duration(500'000), Duration(3'000'000)}) {
      const Duration counted = length - DriftMargin(length, drift);
      // In true time, a slow clock counts longer than a fast one.
      const double by_slow = ToSeconds(counted) / (1 - drift);
      const double by_fast = ToSeconds(length) / (1 + drift);
      CHECK(by_slow < by_fast);
    }
  }
}

TEST_CASE("a takeover names the holder before", "[lease]") {
  TestCluster cluster;
  cluster.SetDesired("a");
  cluster.Run(seconds(1));
  cluster.frozen.insert(HostId("a"));
  cluster.events.clear();
  cluster.SetDesired("b");
  cluster.Run(seconds(4));
  REQUIRE(cluster.events.size() == 1);
  CHECK(cluster.events[0].kind == LeaseEvent::Kind::kAcquired);
  CHECK(cluster.events[0].takeover);
  CHECK(cluster.events[0].previous_holder == HostId("a"));
}

TEST_CASE("a voter refuses other epochs", "[lease]") {
  Instant now;
  auto voter = LeaseVoter::Create(HostId("v1"), {}, Voters(2, {"v1"}), 0, now);
  REQUIRE(voter);
  now += seconds(4);
  for (const VoterEpoch epoch : {1, 3}) {
    LeaseRequest request;
    request.epoch = epoch;
    request.length = seconds(3);
    request.items = {{LeaseOperation::kPrepare, kKey, 1}};
    const OutgoingLeaseMessage effect =
        voter->OnRequest(now, HostId("a"), request);
    const auto& response = std::get<LeaseResponse>(effect.message);
    CHECK(response.state == VoterState::kWrongEpoch);
    CHECK(response.results.empty());
  }
}

TEST_CASE("a new epoch waits until the one before was left", "[lease]") {
  Instant now;
  auto voter = LeaseVoter::Create(HostId("v3"), {},
                                  Voters(1, {"v1", "v2", "v3"}), 0, now);
  REQUIRE(voter);
  const VoterSet next = Voters(2, {"v1", "v2", "v3", "v4"}, {"v1", "v2", "v3"});
  now += seconds(10);
  REQUIRE(voter->AdoptVoters(now, next));
  now += seconds(60);
  CHECK_FALSE(voter->Ready(now));
  CHECK(voter->Tick(now).size() == 2);
  // A host that is no member of the epoch before does not count.
  voter->OnNotice(now, HostId("v4"), {2, false});
  voter->OnNotice(now, HostId("v1"), {1, false});
  now += seconds(60);
  CHECK_FALSE(voter->Ready(now));
  voter->OnNotice(now, HostId("v1"), {2, false});
  CHECK_FALSE(voter->Ready(now + seconds(3)));
  CHECK(voter->Ready(now + milliseconds(3100)));
}

TEST_CASE("a voter set that changes two hosts is refused", "[lease]") {
  auto voter = LeaseVoter::Create(HostId("v1"), {}, Voters(1, {"v1"}), 0, {});
  REQUIRE(voter);
  CHECK_FALSE(voter->AdoptVoters({}, Voters(2, {"v2"}, {"v1"})));
  CHECK(voter->epoch() == 1);
  CHECK_FALSE(LeaseVoter::Create(HostId("v1"), {}, Voters(1, {}), 0, {}));
  CHECK_FALSE(
      LeaseVoter::Create(HostId("v1"), {}, Voters(1, {"v1", "v1"}), 0, {}));
}

TEST_CASE("lease messages survive their encoding, others are refused",
          "[lease]") {
  const LeaseItem item{LeaseOperation::kExtend, kKey, 7};
  const std::vector<LeaseMessage> messages = {
      LeaseRequest{3, 9, seconds(3), {item}},
      LeaseResponse{3,
                    9,
                    VoterState::kWaiting,
                    {{item, LeaseVerdict::kHeld, 8, HostId("a"), seconds(1)}}},
      VoterEpochNotice{4, true},
      OwnerAnnouncement{HostId("a"), {{kKey, 7}}, {{"rate:1", 2}}}};
  for (const LeaseMessage& message : messages) {
    const auto bytes = nlohmann::json::to_cbor(EncodeLeaseMessage(message));
    const auto read = DecodeLeaseMessage(nlohmann::json::from_cbor(bytes));
    REQUIRE(read);
    CHECK(*read == message);
  }
  for (
      const char* text :
      {"null", "[]", R"({"type":"x"})", R"({"type":"voter_notice"})",
       R"({"type":"voter_notice","epoch":-1,"wants_answer":true})",
       R"({"type":"lease_request","epoch":1,"round":1,"length":-5,"items":[]})",
       R"({"type":"lease_request","epoch":1,"round":1,"length":5,
            "items":[[9,"k",1]]})",
       R"({"type":"lease_answer","epoch":1,"round":1,"state":0,
            "replies":[[]]})",
       R"({"type":"owners","host":"a","held":[["k"]],"released":[]})"}) {
    INFO(text);
    const auto read = DecodeLeaseMessage(nlohmann::json::parse(text));
    REQUIRE_FALSE(read);
    CHECK(read.error().kind == ErrorKind::kPeerRejected);
  }
}

}  // namespace
}  // namespace sapphirebank
