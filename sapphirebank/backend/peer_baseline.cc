#include "sapphirebank/backend/peer_baseline.h"

#include <algorithm>
#include <cmath>

namespace sapphirebank {
namespace {

// Share of the servers that may be bad without affecting the baseline. With few
// events per server, most of the best servers are best only by chance, so fewer
// servers are left out.
constexpr double kTrimmedShare = 0.5;
constexpr double kTrimmedShareOfFew = 0.3;
constexpr double kFewEvents = 5;
constexpr double kMinSlowRatio = 2.0;
constexpr double kMadsAboveMedian = 3.0;
// Scales the median absolute deviation to the standard deviation of a normal
// distribution.
constexpr double kMadScale = 1.4826;

// Number of events that HistoricalShare covers.
constexpr double kHistoryEvents = 100;

}  // namespace

void HistoricalShare::Add(EventCount events) {
  sum_.bad += events.bad;
  sum_.total += events.total;
  if (sum_.total <= kHistoryEvents) return;
  sum_.bad *= kHistoryEvents / sum_.total;
  sum_.total = kHistoryEvents;
}

double TrimmedBadShare(std::span<const EventCount> servers) {
  std::vector<EventCount> active;
  double events = 0;
  for (const EventCount& server : servers) {
    if (server.total > 0) active.push_back(server);
    events += server.total;
  }
  std::sort(active.begin(), active.end(),
            [](const EventCount& left, const EventCount& right) {
              return left.bad * right.total < right.bad * left.total;
            });
  const auto count = static_cast<double>(active.size());
  const double trimmed =
      events < kFewEvents * count ? kTrimmedShareOfFew : kTrimmedShare;
  const auto kept = static_cast<std::size_t>(std::floor(count * (1 - trimmed)));
  EventCount sum;
  for (std::size_t i = 0; i < kept; ++i) {
    sum.bad += active[i].bad;
    sum.total += active[i].total;
  }
  return sum.total > 0 ? sum.bad / sum.total : 0;
}

double Median(std::vector<double> values) {
  if (values.empty()) return 0;
  const auto middle = values.begin() + static_cast<long>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

Duration SlowThreshold(std::vector<Duration> medians) {
  std::erase(medians, Duration::zero());
  if (medians.size() < 2) return Duration::zero();
  std::vector<double> logs;
  logs.reserve(medians.size());
  for (const Duration median : medians) {
    logs.push_back(std::log(ToSeconds(median)));
  }
  const double center = Median(logs);
  for (double& value : logs) value = std::abs(value - center);
  const double spread = kMadScale * Median(logs);
  const double ratio =
      std::max(kMinSlowRatio, std::exp(kMadsAboveMedian * spread));
  return FromSeconds(std::exp(center) * ratio);
}

}  // namespace sapphirebank
