#pragma once

#include <nlohmann/json.hpp>

namespace sapphirebank {

// A configuration of the operators with a value in each field.
inline nlohmann::json ConfigurationJson() {
  return nlohmann::json::parse(R"({"version":"r7","routes":{
    "r-1":{"host":"a.example","pathPrefix":"/x/","kind":"safe",
           "timeout":"800ms","targetLatency":"400ms","priority":2,
           "trafficSplit":[{"service":"s1","weight":90},
                           {"service":"s2","weight":10}],
           "maxAttempts":2,"public":false},
    "r-2":{"host":"a.example","pathPrefix":"/y/","kind":"unsafe",
           "timeout":"1000ms","targetLatency":"400ms","priority":1,
           "service":"s1","maxAttempts":2,"public":true}},
    "services":{"s1":{"healthPath":"/health","maxConnections":360,
                      "protocol":"h1","tls":false,"warmup":"3s",
                      "warmupPerS":6.7},
                "s2":{"healthPath":"/health","maxConnections":360}},
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,
              "headerTimeout":"3000ms","idleTimeout":"15000ms"},
    "tenants":{"t1":{"apiKeys":["k1","k2"],"priority":1,"ratePerS":64,
                     "burst":64}}})");
}

}  // namespace sapphirebank
