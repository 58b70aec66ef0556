#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "sapphirebank/core/error.h"
#include "sapphirebank/telemetry/totals.h"

namespace sapphirebank {

void to_json(nlohmann::json& json, const TotalsReport& report);
void from_json(const nlohmann::json& json, TotalsReport& report);
void to_json(nlohmann::json& json, const DayReport& report);
void from_json(const nlohmann::json& json, DayReport& report);

// Encodes a report as CBOR, to be sent to a control host.
std::string EncodeTotalsReport(const TotalsReport& report);

// Decodes the output of EncodeTotalsReport. Fails with kMalformedRequest.
Result<TotalsReport> DecodeTotalsReport(std::string_view bytes);

// Encodes all totals and the sequence numbers of the reports that they include
// as CBOR, to be stored on disk.
std::string EncodeDayTotals(const DayTotals& totals);

// Decodes the output of EncodeDayTotals. Fails with kStorageFailed.
Result<DayTotals> DecodeDayTotals(std::string_view bytes);

// Formats a day as CSV (RFC 4180) with a header and a row for each workspace,
// service and availability zone. Each error kind has two columns: the number of
// all refusals, and of those within the workspace's rate.
std::string DayReportCsv(const DayReport& report);

}  // namespace sapphirebank
