#include "sapphirebank/transport/operator_messages.h"

#include <fmt/format.h>

#include <utility>

#include "sapphirebank/config/strict_json.h"
#include "sapphirebank/request/refusal.h"

namespace sapphirebank {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxChangeIdLength = 128;

// Returns whether `text` is a valid change id: 1 to kMaxChangeIdLength letters,
// digits, '.', '_', ':' or '-'.
bool IsChangeId(const std::string& text) {
  if (text.empty() || text.size() > kMaxChangeIdLength) return false;
  return text.find_first_not_of(
             "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
             "0123456789._:-") == std::string::npos;
}

template <typename Tag>
Json IdJson(const Id<Tag>& id) {
  return id.value();
}

template <typename Tag>
void ReadId(const Json& json, const char* name, Id<Tag>& id) {
  id = Id<Tag>(json.at(name).get<std::string>());
}

tl::unexpected<Error> BadChange(std::string_view cause) {
  return Fail(ErrorKind::kMalformedRequest,
              fmt::format("the change {}", cause));
}

}  // namespace

void to_json(Json& json, const DocumentAtRevision& value) {
  json = {{"revision", value.revision}, {"document", value.document}};
}

void from_json(const Json& json, DocumentAtRevision& value) {
  json.at("revision").get_to(value.revision);
  value.document = json.at("document");
}

void to_json(Json& json, const HostStatus& value) {
  json = {{"host", IdJson(value.host)},
          {"role", value.role},
          {"zone", IdJson(value.zone)},
          {"state", value.state},
          {"revision", value.revision}};
}

void from_json(const Json& json, HostStatus& value) {
  ReadId(json, "host", value.host);
  json.at("role").get_to(value.role);
  ReadId(json, "zone", value.zone);
  json.at("state").get_to(value.state);
  json.at("revision").get_to(value.revision);
}

void to_json(Json& json, const LeaseStatus& value) {
  json = {
      {"key", value.key}, {"owner", IdJson(value.owner)}, {"term", value.term}};
}

void from_json(const Json& json, LeaseStatus& value) {
  json.at("key").get_to(value.key);
  ReadId(json, "owner", value.owner);
  json.at("term").get_to(value.term);
}

void to_json(Json& json, const FleetStatus& value) {
  json = {{"revision", value.revision},
          {"leader", nullptr},
          {"term", value.term},
          {"hosts", value.hosts},
          {"leases", value.leases}};
  if (value.leader) json["leader"] = IdJson(*value.leader);
}

void from_json(const Json& json, FleetStatus& value) {
  json.at("revision").get_to(value.revision);
  json.at("term").get_to(value.term);
  json.at("hosts").get_to(value.hosts);
  json.at("leases").get_to(value.leases);
  value.leader.reset();
  if (json.at("leader").is_null()) return;
  ReadId(json, "leader", value.leader.emplace());
}

void to_json(Json& json, const BackendStatus& value) {
  json = {{"backend", IdJson(value.backend)},
          {"service", IdJson(value.service)},
          {"zone", IdJson(value.zone)},
          {"owner", IdJson(value.owner)},
          {"state", value.state},
          {"slots", value.slots},
          {"open_slots", value.open_slots},
          {"busy", value.busy}};
}

void from_json(const Json& json, BackendStatus& value) {
  ReadId(json, "backend", value.backend);
  ReadId(json, "service", value.service);
  ReadId(json, "zone", value.zone);
  ReadId(json, "owner", value.owner);
  json.at("state").get_to(value.state);
  json.at("slots").get_to(value.slots);
  json.at("open_slots").get_to(value.open_slots);
  json.at("busy").get_to(value.busy);
}

Json ChangeBody(const ApplyChange& change) {
  return {{"base_revision", change.base_revision},
          {"change_id", change.change_id},
          {"patch", change.patch}};
}

Result<ApplyChange> ChangeFromBody(std::string_view body) {
  const auto json =
      ParseStrictJson(body, "change", ErrorKind::kMalformedRequest);
  if (!json) return tl::unexpected(json.error());
  if (!json->is_object()) return BadChange("is not an object");
  for (const auto& [name, member] : json->items()) {
    if (name != "base_revision" && name != "change_id" && name != "patch") {
      return BadChange(fmt::format("has the unknown member \"{}\"", name));
    }
  }
  ApplyChange change;
  const auto base = json->find("base_revision");
  if (base == json->end() || !base->is_number_unsigned()) {
    return BadChange("has no base_revision, expected a whole number");
  }
  change.base_revision = base->get<Revision>();
  const auto id = json->find("change_id");
  if (id == json->end() || !id->is_string() ||
      !IsChangeId(id->get_ref<const std::string&>())) {
    return BadChange(
        "has no change_id, expected 1 to 128 letters, digits, '.', '_', ':' "
        "or '-'");
  }
  change.change_id = id->get<std::string>();
  const auto patch = json->find("patch");
  if (patch == json->end() || !patch->is_array()) {
    return BadChange("has no patch, expected a list (RFC 6902)");
  }
  change.patch = *patch;
  return change;
}

std::string RefusalToBody(const OperatorRefusal& refusal) {
  std::string body = RefusalBody(refusal.error, RequestId());
  if (!refusal.leader) return body;
  auto json = nlohmann::ordered_json::parse(body);
  json["leader"] = ToString(*refusal.leader);
  return json.dump();
}

OperatorRefusal RefusalFromBody(std::string_view body, int http_status) {
  OperatorRefusal refusal;
  try {
    const Json json = Json::parse(body);
    const auto kind = ErrorKindFromName(json.at("kind").get<std::string>());
    if (kind) {
      refusal.error = {*kind, json.at("detail").get<std::string>()};
      const auto leader =
          EndpointFromString(json.value("leader", std::string()));
      if (leader) refusal.leader = *leader;
      return refusal;
    }
  } catch (const Json::exception&) {
    refusal.leader.reset();
  }
  refusal.error = {
      ErrorKind::kInternal,
      fmt::format("HTTP status {} without a known error kind", http_status)};
  return refusal;
}

}  // namespace sapphirebank
