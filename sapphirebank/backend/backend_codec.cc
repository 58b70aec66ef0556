#include "sapphirebank/backend/backend_codec.h"

#include <fmt/format.h>

#include <limits>
#include <stdexcept>
#include <string>
#include <type_traits>

#include "sapphirebank/core/json_read.h"

namespace sapphirebank {
namespace {

using nlohmann::json;

// Largest duration accepted in a message.
constexpr std::int64_t kMaxMicroseconds =
    Duration(std::chrono::hours(24 * 365)).count();

// Reads the fields of one JSON object; throws std::invalid_argument, naming the
// field, when one is missing or invalid.
class FieldReader {
 public:
  explicit FieldReader(const json& object) : object_(object) {
    if (!object.is_object()) throw std::invalid_argument("expected an object");
  }

  const json& Field(const char* name) const {
    const auto found = object_.find(name);
    if (found == object_.end()) ThrowInvalid(name, "to be present");
    return *found;
  }

  std::string String(const char* name) const {
    const json& field = Field(name);
    if (!field.is_string()) ThrowInvalid(name, "a string");
    return field.get<std::string>();
  }

  template <typename T>
  T Id(const char* name) const {
    return T(String(name));
  }

  template <typename T>
  T Count(const char* name) const {
    return CountOf<T>(Field(name), name);
  }

  template <typename T>
  T CountOrZero(const char* name) const {
    return object_.contains(name) ? Count<T>(name) : T{0};
  }

  Duration Microseconds(const char* name) const {
    const auto count = CountOrZero<std::uint64_t>(name);
    if (count > static_cast<std::uint64_t>(kMaxMicroseconds)) {
      ThrowInvalid(name, "a duration of at most a year");
    }
    return Duration(static_cast<std::int64_t>(count));
  }

  bool Bool(const char* name) const {
    if (!object_.contains(name)) return false;
    const json& field = Field(name);
    if (!field.is_boolean()) ThrowInvalid(name, "true or false");
    return field.get<bool>();
  }

  template <typename E>
  E Enum(const char* name, E last) const {
    const auto value = Count<std::uint32_t>(name);
    if (value > static_cast<std::uint32_t>(last)) {
      ThrowInvalid(name, "a known enum value");
    }
    return static_cast<E>(value);
  }

  const json& List(const char* name) const {
    static const json empty = json::array();
    if (!object_.contains(name)) return empty;
    const json& field = Field(name);
    if (!field.is_array()) ThrowInvalid(name, "a list");
    return field;
  }

  std::vector<Fingerprint> Fingerprints(const char* name) const {
    std::vector<Fingerprint> all;
    for (const json& item : List(name)) {
      all.push_back(CountOf<Fingerprint>(item, name));
    }
    return all;
  }

  template <typename T>
  static T CountOf(const json& field, const char* name) {
    static_assert(std::is_unsigned_v<T>);
    const bool valid = IsCount(field) && field.get<std::uint64_t>() <=
                                             std::numeric_limits<T>::max();
    if (!valid) ThrowInvalid(name, "a number in range");
    return field.get<T>();
  }

  [[noreturn]] static void ThrowInvalid(const char* name,
                                        const char* expected) {
    throw std::invalid_argument(
        fmt::format("field \"{}\": expected {}", name, expected));
  }

 private:
  const json& object_;
};

template <typename T, typename Read>
Result<T> ParseMessage(const json& value, const char* message_name, Read read) {
  try {
    return read(value);
  } catch (const std::exception& e) {
    return Fail(ErrorKind::kMalformedRequest,
                fmt::format("{}: {}", message_name, e.what()));
  }
}

void PutCount(json& object, const char* name, std::uint64_t count) {
  if (count > 0) object[name] = count;
}

void PutTime(json& object, const char* name, Duration time) {
  PutCount(object, name, static_cast<std::uint64_t>(time.count()));
}

template <typename T>
void PutList(json& object, const char* name, const std::vector<T>& list) {
  if (!list.empty()) object[name] = list;
}

json SketchJson(const LatencySketch& sketch) {
  json list = json::array();
  for (std::size_t i = 0; i < LatencySketch::kBuckets; ++i) {
    const auto count = static_cast<std::uint64_t>(sketch.counts()[i]);
    if (count == 0) continue;
    list.push_back(i);
    list.push_back(count);
  }
  return list;
}

LatencySketch ReadSketch(const json& list) {
  LatencySketch sketch;
  if (list.size() % 2 != 0) FieldReader::ThrowInvalid("latency", "pairs");
  for (std::size_t i = 0; i < list.size(); i += 2) {
    const auto bucket = FieldReader::CountOf<std::uint32_t>(list[i], "latency");
    if (bucket >= LatencySketch::kBuckets) {
      FieldReader::ThrowInvalid("latency", "a bucket in range");
    }
    sketch.AddCount(
        bucket, FieldReader::CountOf<std::uint32_t>(list[i + 1], "latency"));
  }
  return sketch;
}

ServerWindow ReadServerWindow(const json& value) {
  const FieldReader reader(value);
  ServerWindow window;
  window.backend = reader.Id<BackendId>("backend");
  window.process_id = reader.String("process");
  window.state = reader.Enum("state", BackendState::kSilent);
  window.slots = reader.Count<std::uint32_t>("slots");
  window.in_flight = reader.CountOrZero<std::uint32_t>("in_flight");
  window.overdue_fresh = reader.CountOrZero<std::uint32_t>("overdue_fresh");
  window.overdue_old = reader.CountOrZero<std::uint32_t>("overdue_old");
  window.oldest_in_flight = reader.Microseconds("oldest_us");
  window.successes = reader.CountOrZero<std::uint32_t>("successes");
  window.http_errors = reader.CountOrZero<std::uint32_t>("http_errors");
  window.timeouts_fresh = reader.CountOrZero<std::uint32_t>("timeouts_fresh");
  window.timeouts_old = reader.CountOrZero<std::uint32_t>("timeouts_old");
  window.refused = reader.CountOrZero<std::uint32_t>("refused");
  window.lost_connections = reader.CountOrZero<std::uint32_t>("died");
  window.crashes = reader.CountOrZero<std::uint32_t>("crashes");
  window.probes_good = reader.CountOrZero<std::uint32_t>("probes_good");
  window.probes_bad = reader.CountOrZero<std::uint32_t>("probes_bad");
  window.latency = ReadSketch(reader.List("latency"));
  window.ejection_left = reader.Microseconds("ejection_left_us");
  window.ejection_level = reader.CountOrZero<std::uint32_t>("ejection_level");
  return window;
}

Verdict ReadVerdict(const json& value) {
  const FieldReader reader(value);
  Verdict verdict;
  verdict.backend = reader.Id<BackendId>("backend");
  verdict.kind = reader.Enum("kind", VerdictKind::kLimit);
  verdict.cause = reader.Enum("cause", VerdictCause::kInherited);
  verdict.slot_limit = reader.CountOrZero<std::uint32_t>("slot_limit");
  verdict.left = reader.Microseconds("left_us");
  verdict.level = reader.CountOrZero<std::uint32_t>("level");
  return verdict;
}

std::vector<Quarantine> ReadQuarantines(const FieldReader& reader) {
  std::vector<Quarantine> all;
  for (const json& item : reader.List("quarantined")) {
    const FieldReader entry(item);
    all.push_back({entry.Count<Fingerprint>("fingerprint"),
                   entry.Microseconds("left_us")});
  }
  return all;
}

BackendKey ReadKey(const FieldReader& reader) {
  return {reader.Id<ServiceId>("service"), reader.Id<ZoneId>("zone")};
}

}  // namespace

static void to_json(json& object, const Quarantine& value) {
  object = {{"fingerprint", value.fingerprint}};
  PutTime(object, "left_us", value.left);
}

static void to_json(json& object, const CrashReport& value) {
  object = {{"backend", value.backend.value()}, {"running", value.running}};
}

void to_json(json& object, const Announcement& value) {
  object = {{"backend", value.backend.value()},
            {"incarnation", value.incarnation},
            {"process", value.process_id},
            {"service", value.key.service.value()},
            {"zone", value.key.zone.value()},
            {"ip", value.address.ip},
            {"port", value.address.port},
            {"slots", value.slots},
            {"max_connections", value.max_connections},
            {"running", value.running},
            {"draining", value.draining}};
}

void to_json(json& object, const ServerWindow& value) {
  object = {{"backend", value.backend.value()},
            {"process", value.process_id},
            {"state", static_cast<std::uint32_t>(value.state)},
            {"slots", value.slots}};
  PutCount(object, "in_flight", value.in_flight);
  PutCount(object, "overdue_fresh", value.overdue_fresh);
  PutCount(object, "overdue_old", value.overdue_old);
  PutTime(object, "oldest_us", value.oldest_in_flight);
  PutCount(object, "successes", value.successes);
  PutCount(object, "http_errors", value.http_errors);
  PutCount(object, "timeouts_fresh", value.timeouts_fresh);
  PutCount(object, "timeouts_old", value.timeouts_old);
  PutCount(object, "refused", value.refused);
  PutCount(object, "died", value.lost_connections);
  PutCount(object, "crashes", value.crashes);
  PutCount(object, "probes_good", value.probes_good);
  PutCount(object, "probes_bad", value.probes_bad);
  if (value.latency.total() > 0) object["latency"] = SketchJson(value.latency);
  PutTime(object, "ejection_left_us", value.ejection_left);
  PutCount(object, "ejection_level", value.ejection_level);
}

void to_json(json& object, const WindowReport& value) {
  object = {
      {"owner", value.owner.value()},         {"term", value.term},
      {"service", value.key.service.value()}, {"zone", value.key.zone.value()},
      {"sequence", value.sequence},           {"servers", value.servers}};
  PutTime(object, "window_us", value.window);
  PutList(object, "crashes", value.crashes);
  PutList(object, "survived", value.survived);
  PutList(object, "quarantined", value.quarantined);
}

void to_json(json& object, const Verdict& value) {
  object = {{"backend", value.backend.value()},
            {"kind", static_cast<std::uint32_t>(value.kind)},
            {"cause", static_cast<std::uint32_t>(value.cause)}};
  PutCount(object, "slot_limit", value.slot_limit);
  PutTime(object, "left_us", value.left);
  PutCount(object, "level", value.level);
}

void to_json(json& object, const VerdictSet& value) {
  object = {{"coordinator", value.coordinator.value()},
            {"term", value.term},
            {"service", value.key.service.value()},
            {"zone", value.key.zone.value()},
            {"owner_term", value.owner_term},
            {"in_reply_to", value.in_reply_to}};
  PutTime(object, "ttl_us", value.ttl);
  PutList(object, "verdicts", value.verdicts);
  PutList(object, "suspects", value.suspects);
  PutList(object, "quarantined", value.quarantined);
  if (value.owner_suspected) object["owner_suspected"] = true;
}

void to_json(json& object, const Handover& value) {
  object = json::object();
  json& servers = object["servers"] = json::array();
  for (const auto& server : value.servers) {
    servers.push_back({{"backend", server.backend.value()},
                       {"process", server.process_id},
                       {"taken", server.taken},
                       {"warm", server.warm}});
  }
}

Result<Announcement> ParseAnnouncement(const json& value) {
  return ParseMessage<Announcement>(
      value, "announcement", [](const json& object) {
        const FieldReader reader(object);
        Announcement message;
        message.backend = reader.Id<BackendId>("backend");
        message.incarnation = reader.CountOrZero<Incarnation>("incarnation");
        message.process_id = reader.String("process");
        message.key = ReadKey(reader);
        message.address = {reader.String("ip"),
                           reader.Count<std::uint16_t>("port")};
        message.slots = reader.Count<std::uint32_t>("slots");
        message.max_connections =
            reader.Count<std::uint32_t>("max_connections");
        message.running = reader.CountOrZero<std::uint32_t>("running");
        message.draining = reader.Bool("draining");
        return message;
      });
}

Result<WindowReport> ParseWindowReport(const json& value) {
  return ParseMessage<WindowReport>(
      value, "window report", [](const json& object) {
        const FieldReader reader(object);
        WindowReport message;
        message.owner = reader.Id<HostId>("owner");
        message.term = reader.Count<Term>("term");
        message.key = ReadKey(reader);
        message.sequence = reader.Count<std::uint64_t>("sequence");
        message.window = reader.Microseconds("window_us");
        for (const json& item : reader.List("servers")) {
          message.servers.push_back(ReadServerWindow(item));
        }
        for (const json& item : reader.List("crashes")) {
          const FieldReader crash(item);
          message.crashes.push_back(
              {crash.Id<BackendId>("backend"), crash.Fingerprints("running")});
        }
        message.survived = reader.Fingerprints("survived");
        message.quarantined = ReadQuarantines(reader);
        return message;
      });
}

Result<VerdictSet> ParseVerdictSet(const json& value) {
  return ParseMessage<VerdictSet>(value, "verdicts", [](const json& object) {
    const FieldReader reader(object);
    VerdictSet message;
    message.coordinator = reader.Id<HostId>("coordinator");
    message.term = reader.Count<Term>("term");
    message.key = ReadKey(reader);
    message.owner_term = reader.Count<Term>("owner_term");
    message.in_reply_to = reader.Count<std::uint64_t>("in_reply_to");
    message.ttl = reader.Microseconds("ttl_us");
    for (const json& item : reader.List("verdicts")) {
      message.verdicts.push_back(ReadVerdict(item));
    }
    message.suspects = reader.Fingerprints("suspects");
    message.quarantined = ReadQuarantines(reader);
    message.owner_suspected = reader.Bool("owner_suspected");
    return message;
  });
}

Result<Handover> ParseHandover(const json& value) {
  return ParseMessage<Handover>(value, "handover", [](const json& object) {
    Handover message;
    for (const json& item : FieldReader(object).List("servers")) {
      const FieldReader server(item);
      message.servers.push_back(
          {server.Id<BackendId>("backend"), server.String("process"),
           server.Count<std::uint32_t>("taken"), server.Bool("warm")});
    }
    return message;
  });
}

}  // namespace sapphirebank
