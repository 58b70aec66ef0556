#pragma once

#include <nlohmann/json.hpp>

#include "sapphirebank/backend/announcement.h"
#include "sapphirebank/backend/backend_pool.h"
#include "sapphirebank/backend/verdict.h"
#include "sapphirebank/backend/window_report.h"
#include "sapphirebank/core/error.h"

namespace sapphirebank {

// JSON representations of the messages. Durations are whole microseconds, in
// fields whose names end in "_us". Counts of zero may be omitted.
void to_json(nlohmann::json& json, const Announcement& value);
void to_json(nlohmann::json& json, const ServerWindow& value);
void to_json(nlohmann::json& json, const WindowReport& value);
void to_json(nlohmann::json& json, const Verdict& value);
void to_json(nlohmann::json& json, const VerdictSet& value);
void to_json(nlohmann::json& json, const Handover& value);

// Parse functions fail with kMalformedRequest, naming the field, when a field
// is missing or its type or range differs from that of the member.
Result<Announcement> ParseAnnouncement(const nlohmann::json& json);
Result<WindowReport> ParseWindowReport(const nlohmann::json& json);
Result<VerdictSet> ParseVerdictSet(const nlohmann::json& json);
Result<Handover> ParseHandover(const nlohmann::json& json);

}  // namespace sapphirebank
