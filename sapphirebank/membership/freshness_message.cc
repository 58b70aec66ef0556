#include "sapphirebank/membership/freshness_message.h"

#include <fmt/format.h>

#include <exception>

#include "sapphirebank/membership/array_fields.h"

namespace sapphirebank {
namespace {

using nlohmann::json;

// Maximum age of a stamp in microseconds. It keeps sums of ages far from
// overflow.
constexpr std::uint64_t kMaxAge = std::uint64_t{1} << 52U;
constexpr std::size_t kQueryFields = 2;
constexpr std::size_t kResponseFields = 4;

template <typename Message, typename Read>
Result<Message> ReadMessageFields(const Read& read) {
  try {
    Message message;
    read(message);
    return message;
  } catch (const std::exception& e) {
    return Fail(ErrorKind::kMalformedRequest,
                fmt::format("freshness message: {}", e.what()));
  }
}

}  // namespace

json RevisionStampToJson(const std::optional<RevisionStamp>& stamp) {
  if (!stamp) return json::array();
  return json::array(
      {stamp->revision, static_cast<std::uint64_t>(stamp->age.count())});
}

std::optional<RevisionStamp> RevisionStampFromJson(const json& json) {
  if (json.is_array() && json.empty()) return std::nullopt;
  RevisionStamp stamp;
  stamp.revision = ReadUnsigned<Revision>(FieldAt(json, 0, 2));
  const auto age = ReadUnsigned<std::uint64_t>(json[1]);
  if (age > kMaxAge) throw std::out_of_range("age too large");
  stamp.age = Duration(static_cast<Duration::rep>(age));
  return stamp;
}

json WitnessQueryToJson(const WitnessQuery& query) {
  return json::array({query.round, query.from.value()});
}

json WitnessResponseToJson(const WitnessResponse& response) {
  return json::array({response.round, response.from.value(), response.revision,
                      RevisionStampToJson(response.stamp)});
}

Result<WitnessQuery> WitnessQueryFromJson(const json& json) {
  return ReadMessageFields<WitnessQuery>([&](WitnessQuery& query) {
    query.round = ReadUnsigned<std::uint32_t>(FieldAt(json, 0, kQueryFields));
    query.from = ReadHost(json[1]);
  });
}

Result<WitnessResponse> WitnessResponseFromJson(const json& json) {
  return ReadMessageFields<WitnessResponse>([&](WitnessResponse& response) {
    response.round =
        ReadUnsigned<std::uint32_t>(FieldAt(json, 0, kResponseFields));
    response.from = ReadHost(json[1]);
    response.revision = ReadUnsigned<Revision>(json[2]);
    response.stamp = RevisionStampFromJson(json[3]);
  });
}

}  // namespace sapphirebank
