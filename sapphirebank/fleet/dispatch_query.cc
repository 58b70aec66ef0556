#include "sapphirebank/fleet/dispatch_query.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "sapphirebank/core/json_read.h"

namespace sapphirebank {

using nlohmann::json;

void to_json(json& out, const DispatchQuery& query) {
  json names = json::array();
  for (const BackendId& id : query.excluded) names.push_back(id.value());
  out = {{"s", query.service.value()},
         {"z", query.zone.value()},
         {"r", query.repeatable},
         {"again", query.is_retry},
         {"o", query.latency_objective.count()},
         {"d", query.time_left.count()},
         {"x", std::move(names)},
         {"route", query.route},
         {"bytes", query.body_bytes},
         {"rank", {query.rank.workspace, query.rank.route}}};
  if (!query.workspace.empty()) out["w"] = query.workspace.value();
  if (!query.caller.empty()) out["caller"] = query.caller.value();
  if (query.fingerprint != 0) out["print"] = query.fingerprint;
}

void from_json(const json& in, DispatchQuery& query) {
  query.service = ServiceId(in.at("s").get<std::string>());
  query.zone = ZoneId(in.at("z").get<std::string>());
  in.at("r").get_to(query.repeatable);
  in.at("again").get_to(query.is_retry);
  query.latency_objective = ReadDuration(in.at("o"));
  query.time_left = ReadDuration(in.at("d"));
  for (const json& id : in.at("x")) {
    query.excluded.insert(BackendId(id.get<std::string>()));
  }
  query.workspace = WorkspaceId(in.value("w", std::string()));
  query.route = in.value("route", std::string());
  query.body_bytes = in.value("bytes", std::uint64_t{0});
  if (const auto rank = in.find("rank"); rank != in.end()) {
    rank->at(0).get_to(query.rank.workspace);
    rank->at(1).get_to(query.rank.route);
  }
  query.caller = WorkspaceId(in.value("caller", std::string()));
  query.fingerprint = in.value("print", RequestFingerprint{0});
}

void to_json(json& out, const DispatchChoice& choice) {
  out = {{"id", choice.server.value()},
         {"busy", choice.is_busy},
         {"token", choice.has_token}};
  if (choice.refusal) {
    out["refusal"] = AnswerFor(choice.refusal->kind).name;
    out["return"] = choice.refusal->retry_after.count();
    if (choice.refusal->hold) out["hold"] = true;
  }
}

void from_json(const json& in, DispatchChoice& choice) {
  choice.server = BackendId(in.at("id").get<std::string>());
  in.at("busy").get_to(choice.is_busy);
  in.at("token").get_to(choice.has_token);
  if (const auto refusal = in.find("refusal"); refusal != in.end()) {
    // By name, as the numbers of kinds may change between builds.
    const auto kind = ErrorKindFromName(refusal->get<std::string>());
    choice.refusal =
        DispatchRefusal{kind.value_or(ErrorKind::kNoBackendServer),
                        ReadDuration(in.at("return")), in.value("hold", false)};
  }
}

}  // namespace sapphirebank
