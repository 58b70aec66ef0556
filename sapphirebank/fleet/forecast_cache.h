#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/dispatch_forecast.h"
#include "sapphirebank/fleet/dispatch_query.h"

namespace sapphirebank {

// Forecasts of room by service and route, which are made from all servers of a
// service and therefore not for each request.
class ForecastCache {
 public:
  struct Entry {
    DispatchForecast forecast;
    Instant made_at;
  };

  // Forecasts change little in a tenth of the shortest work of a request.
  static constexpr Duration kMaxAge = std::chrono::milliseconds(25);

  // Returns the forecast for the query, which `make` makes if the last one is
  // too old.
  const Entry& Find(Instant now, const DispatchQuery& query,
                    const std::function<DispatchForecast()>& make) {
    const auto [entry, is_new] =
        entries_.try_emplace({query.service, query.route});
    if (is_new || now - entry->second.made_at >= kMaxAge) {
      entry->second = {make(), now};
    }
    return entry->second;
  }

  // Forgets the forecasts of routes that are no longer used.
  void Tick(Instant now) {
    constexpr Duration kRetention = std::chrono::seconds(10);
    std::erase_if(entries_, [&](const auto& item) {
      return now - item.second.made_at >= kRetention;
    });
  }

 private:
  std::map<std::pair<ServiceId, std::string>, Entry> entries_;
};

}  // namespace sapphirebank
