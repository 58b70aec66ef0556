#include "sapphirebank/transport/stored_answer.h"

#include <fmt/format.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

#include "sapphirebank/request/answer_sequence.h"

namespace sapphirebank {

using nlohmann::json;

std::string EncodeAnswer(const HttpAnswer& answer) {
  json fields = json::array();
  for (const HeaderField& field : answer.fields) {
    fields.push_back({field.name, field.value});
  }
  const std::vector<std::uint8_t> body(answer.body.begin(), answer.body.end());
  std::string bytes;
  json::to_cbor(json::array({answer.status, fields, json::binary(body)}),
                bytes);
  return bytes;
}

Result<HttpAnswer> DecodeAnswer(std::string_view bytes) {
  try {
    const json stored = json::from_cbor(bytes);
    HttpAnswer answer;
    answer.status = stored.at(0).get<int>();
    if (answer.status < kFirstFinalStatus || answer.status > kLastStatus) {
      return Fail(
          ErrorKind::kMalformedRequest,
          fmt::format("a stored answer has the status {}", answer.status));
    }
    for (const json& field : stored.at(1)) {
      answer.fields.push_back(
          {field.at(0).get<std::string>(), field.at(1).get<std::string>()});
    }
    const auto& body = stored.at(2).get_binary();
    answer.body.assign(body.begin(), body.end());
    return answer;
  } catch (const json::exception& e) {
    return Fail(ErrorKind::kMalformedRequest,
                std::string("cannot decode a stored answer: ") + e.what());
  }
}

}  // namespace sapphirebank
