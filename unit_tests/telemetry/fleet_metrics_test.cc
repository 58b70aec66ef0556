#include "sapphirebank/telemetry/fleet_metrics.h"

#include <catch2/catch.hpp>

namespace sapphirebank {
namespace {

std::unique_ptr<FleetMetrics> MakeMetrics(std::size_t service_limit = 512) {
  auto metrics = FleetMetrics::Create({.host = HostId("e1"),
                                       .zone = ZoneId("kochi"),
                                       .service_limit = service_limit});
  REQUIRE(metrics);
  return *std::move(metrics);
}

bool Contains(const std::string& text, std::string_view expected_text) {
  return text.find(expected_text) != std::string::npos;
}

TEST_CASE("metrics are exposed as Prometheus text with their labels",
          "[telemetry]") {
  const auto metrics = MakeMetrics();
  const ServiceId desk("desk");
  metrics->CountAnswer(desk);
  metrics->CountRefusal(desk, ErrorKind::kQueueFull);
  metrics->CountRefusalInsideRate(desk, ErrorKind::kRateUnavailable);
  metrics->ObserveAddedLatency(desk, std::chrono::microseconds(700));
  metrics->ObserveViewAge(std::chrono::milliseconds(1300));
  metrics->ObserveDetection(DetectionSubject::kHost, std::chrono::seconds(2));
  metrics->SetConfigurationRevision(41);
  metrics->SetMembers({.alive = 44, .suspect = 1});
  metrics->CountRolloutRequest(desk, true);
  metrics->CountRolloutRequest(desk, false);
  metrics->CountRolloutRequest(desk, false);
  metrics->SetRolloutPhase(desk, RolloutPhase::kSwitch);
  metrics->CountRolloutDecision(desk, RolloutPhase::kSwitch);
  metrics->CountRolloutRefusal(ErrorKind::kNotFound);
  metrics->SetZoneInService(ZoneId("fann"), false);
  metrics->SetControlMemory({.log = 4096, .pending_calls = 77});
  metrics->SetProcessMemory(9000, 7000);
  const std::string text = metrics->Serialize();
  const std::string_view expected_texts[] = {
      R"(sapphirebank_requests_total{host="e1",zone="kochi",)",
      R"(outcome="answered",service="desk"} 1)",
      R"(outcome="queue_full",service="desk"} 1)",
      R"(sapphirebank_refusals_inside_rate_total{host="e1",zone="kochi",)",
      R"(outcome="rate_unavailable",service="desk"} 1)",
      R"(service="desk",le="0.0005"} 0)",
      R"(service="desk",le="0.0008"} 1)",
      R"(sapphirebank_view_age_seconds_bucket{host="e1",zone="kochi",le="1.25"} 0)",
      R"(sapphirebank_view_age_seconds_bucket{host="e1",zone="kochi",le="1.5"} 1)",
      R"(subject="host",le="2"} 1)",
      R"(sapphirebank_configuration_revision{host="e1",zone="kochi"} 41)",
      R"(sapphirebank_members{host="e1",zone="kochi",state="alive"} 44)",
      R"(availability_zone="fann"} 0)",
      R"(service="desk",version="new"} 1)",
      R"(service="desk",version="other"} 2)",
      R"(phase="trial",service="desk"} 0)",
      R"(phase="switch",service="desk"} 1)",
      R"(sapphirebank_rollout_decisions_total{host="e1",zone="kochi",)",
      R"(kind="not_found"} 1)",
      R"(sapphirebank_control_memory_bytes{host="e1",zone="kochi",part="log"} 4096)",
      R"(part="pending_calls"} 77)",
      R"(kind="resident"} 9000)",
      R"(kind="anonymous"} 7000)",
  };
  for (const std::string_view expected : expected_texts) {
    INFO(expected << "\n" << text);
    CHECK(Contains(text, expected));
  }
}

TEST_CASE("services above the limit share the label value other",
          "[telemetry]") {
  const auto metrics = MakeMetrics(2);
  for (const char* service : {"a", "b", "c", "d", "a"}) {
    metrics->CountAnswer(ServiceId(service));
  }
  const std::string text = metrics->Serialize();
  CHECK(Contains(text, R"(service="a"} 2)"));
  CHECK(Contains(text, R"(service="other"} 2)"));
  CHECK_FALSE(Contains(text, R"(service="c")"));
}

TEST_CASE("creating metrics fails without a host or a zone", "[telemetry]") {
  CHECK_FALSE(FleetMetrics::Create({.host = HostId("e1")}));
  CHECK_FALSE(FleetMetrics::Create({.zone = ZoneId("kochi")}));
}

}  // namespace
}  // namespace sapphirebank
