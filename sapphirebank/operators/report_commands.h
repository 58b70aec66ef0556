#pragma once

#include <istream>
#include <string>

#include "sapphirebank/operators/command_output.h"
#include "sapphirebank/transport/operator_api.h"

namespace sapphirebank {

// `status`: prints the revision in force, the leader, the revision that each
// host has reached, and the leases.
Result<ExitCode> PrintStatus(OperatorApi& api, const CommandOutput& output);

// `backends`: prints the backend servers of `service`, or of all services if it
// is empty.
Result<ExitCode> PrintBackends(OperatorApi& api, const ServiceId& service,
                               const CommandOutput& output);

// `totals`: prints the totals of a day "YYYY-MM-DD". With `csv`, prints all
// columns as CSV for a spreadsheet.
Result<ExitCode> PrintTotals(OperatorApi& api, const std::string& day, bool csv,
                             const CommandOutput& output);

// `explain`: prints the log lines of one request in chronological order. Lines
// that are not JSON objects are skipped, and their number is printed on the
// progress stream. Fails with kNotFound if no line has the request's id.
Result<ExitCode> ExplainRequest(std::istream& log, const RequestId& request,
                                const CommandOutput& output);

}  // namespace sapphirebank
