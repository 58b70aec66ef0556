// Tests of leases under single faults, with two holders and three voters.

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

// Runs the voters "v1" to "v3" and the holders "a" and "b" on one clock.
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

  // Runs both holders for `length`; messages are delivered at once.
  void Run(Duration length) {
    for (const Instant end = now + length; now < end; now += kTick) {
      for (auto& [name, holder] : holders_) {
        if (!suspended.contains(name)) Apply(name, holder.Tick(now));
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
      if (record_filter && record_filter(message)) recorded.push_back(message);
      if (drop_filter && drop_filter(message)) continue;
      HandleMessage(message);
    }
  }

  Instant now;
  std::set<HostId> suspended;
  std::function<bool(const Message&)> drop_filter;
  std::function<bool(const Message&)> record_filter;
  std::vector<Message> recorded;
  std::vector<LeaseEvent> events;

 private:
  void HandleMessage(const Message& message) {
    if (const auto* request = std::get_if<LeaseRequest>(&message.message)) {
      OutgoingLeaseMessage outgoing =
          voters_.at(message.to).OnRequest(now, message.from, *request);
      Send({message.to, outgoing.to, std::move(outgoing.message)});
    }
    if (const auto* response = std::get_if<LeaseResponse>(&message.message)) {
      Apply(message.to,
            holders_.at(message.to).OnResponse(now, message.from, *response));
    }
  }

  void Apply(const HostId& from, LeaseEffects effects) {
    for (LeaseEvent& event : effects.events) events.push_back(event);
    for (OutgoingLeaseMessage& outgoing : effects.messages) {
      Send({from, outgoing.to, std::move(outgoing.message)});
    }
  }

  VoterSet set_ = Voters(1, {"v1", "v2", "v3"});
  std::map<HostId, LeaseVoter> voters_;
  std::map<HostId, LeaseHolder> holders_;
  std::deque<Message> queue_;
};

bool IsExtend(const TestCluster::Message& message) {
  const auto* request = std::get_if<LeaseRequest>(&message.message);
  return request != nullptr && !request->items.empty() &&
         request->items.front().operation == LeaseOperation::kExtend;
}

bool IsPropose(const TestCluster::Message& message) {
  const auto* request = std::get_if<LeaseRequest>(&message.message);
  return request != nullptr && !request->items.empty() &&
         request->items.front().operation == LeaseOperation::kPropose;
}

TEST_CASE("each fault leaves exactly the expected holder of a key", "[lease]") {
  struct Row {
    const char* fault;
    std::function<void(TestCluster&)> inject;
    // Expected holders after the fault, when "b" requests the key too and 7 s
    // have passed: a holder extends for at most one lease length after the last
    // response it received, and voters honor that extension for another one.
    bool a_holds;
    bool b_holds;
  };
  const auto to = [](const char* host) {
    return
        [host](const TestCluster::Message& m) { return m.to == HostId(host); };
  };
  const Row rows[] = {
      {"none", [](TestCluster&) {}, true, false},
      {"holder suspended",
       [](TestCluster& cluster) { cluster.suspended.insert(HostId("a")); },
       false, true},
      {"holder receives no responses",
       [&](TestCluster& cluster) { cluster.drop_filter = to("a"); }, false,
       true},
      {"voters receive no requests of the holder",
       [](TestCluster& cluster) {
         cluster.drop_filter = [](const TestCluster::Message& m) {
           return m.from == HostId("a");
         };
       },
       false, true},
      {"one voter lost",
       [&](TestCluster& cluster) { cluster.drop_filter = to("v1"); }, true,
       false},
      {"two voters lost",
       [](TestCluster& cluster) {
         cluster.drop_filter = [](const TestCluster::Message& m) {
           return m.to == HostId("v1") || m.to == HostId("v2");
         };
       },
       false, false},
      {"one voter restarts",
       [](TestCluster& cluster) { cluster.StartVoter(HostId("v1")); }, true,
       false},
      {"two voters restart, holder suspended",
       [](TestCluster& cluster) {
         cluster.StartVoter(HostId("v1"));
         cluster.StartVoter(HostId("v2"));
         cluster.suspended.insert(HostId("a"));
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

TEST_CASE("a restarted voter gives no new grant for a maximum lease",
          "[lease]") {
  TestCluster cluster;
  cluster.SetDesired("a");
  cluster.Run(milliseconds(100));
  cluster.suspended.insert(HostId("a"));
  cluster.StartVoter(HostId("v1"));
  cluster.StartVoter(HostId("v2"));
  cluster.SetDesired("b");
  cluster.Run(milliseconds(2800));
  CHECK_FALSE(cluster.Holds("b"));
}

TEST_CASE("a lease is counted from when its request was sent", "[lease]") {
  TestCluster cluster;
  cluster.SetDesired("a");
  cluster.Run(seconds(1));
  // An extension is sent within the first second; its responses arrive later.
  const Instant start = cluster.now;
  const auto to_holder = [](const TestCluster::Message& m) {
    return m.to == HostId("a");
  };
  cluster.record_filter = to_holder;
  cluster.drop_filter = to_holder;
  cluster.Run(milliseconds(1100));
  cluster.suspended.insert(HostId("a"));
  cluster.record_filter = nullptr;
  cluster.drop_filter = nullptr;
  cluster.now = start + milliseconds(1900);
  for (const TestCluster::Message& message : cluster.recorded)
    cluster.Send(message);
  cluster.Deliver();
  CHECK(cluster.Holds("a"));
  cluster.now = start + milliseconds(1100) + seconds(3);
  CHECK_FALSE(cluster.Holds("a"));
}

TEST_CASE("a delayed response does not revive an expired lease", "[lease]") {
  TestCluster cluster;
  cluster.SetDesired("a");
  cluster.Run(seconds(1));
  cluster.drop_filter = [](const TestCluster::Message& m) {
    return m.to == HostId("a");
  };
  cluster.record_filter = IsExtend;
  cluster.Run(seconds(4));
  cluster.drop_filter = nullptr;
  cluster.events.clear();
  // Resends the latest extension request, so that the voter responds after the
  // lease expired.
  REQUIRE_FALSE(cluster.recorded.empty());
  cluster.Send(cluster.recorded.back());
  cluster.Deliver();
  CHECK_FALSE(cluster.Holds("a"));
}

TEST_CASE("a delayed proposal of a released term is not granted", "[lease]") {
  TestCluster cluster;
  cluster.record_filter = IsPropose;
  cluster.SetDesired("a");
  cluster.Run(milliseconds(200));
  REQUIRE(cluster.Holds("a"));
  cluster.record_filter = nullptr;
  const auto effects = cluster.Holder("a").ReleaseAll(cluster.now);
  for (const OutgoingLeaseMessage& outgoing : effects.messages) {
    cluster.Send({HostId("a"), outgoing.to, outgoing.message});
  }
  for (const TestCluster::Message& message : cluster.recorded)
    cluster.Send(message);
  cluster.Deliver();
  cluster.SetDesired("b");
  cluster.Run(milliseconds(500));
  CHECK(cluster.Holds("b"));
}

TEST_CASE("the drift margin covers clocks that differ by the maximum drift",
          "[lease]") {
  for (const double drift : {0.0, 0.0005, 0.001, 0.01}) {
    for (const Duration length :
         {Duration(1), Duration(500'000), Duration(3'000'000)}) {
      const Duration counted = length - DriftMargin(length, drift);
      // In true time, a slow clock takes longer than a fast one.
      const double by_slow = ToSeconds(counted) / (1 - drift);
      const double by_fast = ToSeconds(length) / (1 + drift);
      CHECK(by_slow < by_fast);
    }
  }
}

TEST_CASE("a takeover reports the previous holder", "[lease]") {
  TestCluster cluster;
  cluster.SetDesired("a");
  cluster.Run(seconds(1));
  cluster.suspended.insert(HostId("a"));
  cluster.events.clear();
  cluster.SetDesired("b");
  cluster.Run(seconds(4));
  REQUIRE(cluster.events.size() == 1);
  CHECK(cluster.events[0].kind == LeaseEvent::Kind::kAcquired);
  CHECK(cluster.events[0].takeover);
  CHECK(cluster.events[0].previous_holder == HostId("a"));
}

TEST_CASE("a voter refuses requests of other epochs", "[lease]") {
  Instant now;
  auto voter = LeaseVoter::Create(HostId("v1"), {}, Voters(2, {"v1"}), 0, now);
  REQUIRE(voter);
  now += seconds(4);
  for (const VoterEpoch epoch : {1, 3}) {
    LeaseRequest request;
    request.epoch = epoch;
    request.length = seconds(3);
    request.items = {{LeaseOperation::kPrepare, kKey, 1}};
    const OutgoingLeaseMessage outgoing =
        voter->OnRequest(now, HostId("a"), request);
    const auto& response = std::get<LeaseResponse>(outgoing.message);
    CHECK(response.state == VoterState::kWrongEpoch);
    CHECK(response.results.empty());
  }
}

TEST_CASE("a voter of a new epoch waits until a majority left the previous one",
          "[lease]") {
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
  // A host that is not a voter of the previous epoch does not count.
  voter->OnNotice(now, HostId("v4"), {2, false});
  voter->OnNotice(now, HostId("v1"), {1, false});
  now += seconds(60);
  CHECK_FALSE(voter->Ready(now));
  voter->OnNotice(now, HostId("v1"), {2, false});
  CHECK_FALSE(voter->Ready(now + seconds(3)));
  CHECK(voter->Ready(now + milliseconds(3100)));
}

TEST_CASE(
    "a voter set that changes two hosts, is empty or has duplicates is "
    "rejected",
    "[lease]") {
  auto voter = LeaseVoter::Create(HostId("v1"), {}, Voters(1, {"v1"}), 0, {});
  REQUIRE(voter);
  CHECK_FALSE(voter->AdoptVoters({}, Voters(2, {"v2"}, {"v1"})));
  CHECK(voter->epoch() == 1);
  CHECK_FALSE(LeaseVoter::Create(HostId("v1"), {}, Voters(1, {}), 0, {}));
  CHECK_FALSE(
      LeaseVoter::Create(HostId("v1"), {}, Voters(1, {"v1", "v1"}), 0, {}));
}

TEST_CASE("lease messages round-trip and malformed ones are rejected",
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
