#include "sapphirebank/request/refusal.h"

#include <nlohmann/json.hpp>

namespace sapphirebank {

std::string RefusalBody(const Error& error, const RequestId& id) {
  const ErrorAnswer& answer = AnswerFor(error.kind);
  nlohmann::ordered_json body;
  body["type"] = "urn:sapphirebank:error:" + std::string(answer.name);
  body["title"] = answer.title;
  body["status"] = answer.http_status;
  body["detail"] = error.detail;
  body["kind"] = answer.name;
  body["execution"] = ExecutionName(answer.execution);
  if (answer.retry_after > Duration::zero()) {
    body["retry_after_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            answer.retry_after)
            .count();
  }
  if (!id.empty()) body["request_id"] = id.value();
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace sapphirebank
