#include "sapphirebank/backend/sequential_test.h"

#include <algorithm>
#include <cmath>

namespace sapphirebank {
namespace {

// Odds of a bad event on a faulty server, as a multiple of the odds on its
// peers.
constexpr double kOddsRatio = 20;

double FaultyShare(double peer_share) {
  const double odds = kOddsRatio * peer_share / (1 - peer_share);
  return odds / (1 + odds);
}

}  // namespace

double SequentialTest::BadWeight(double peer_share) {
  return std::log(FaultyShare(peer_share) / peer_share);
}

void SequentialTest::Add(double bad, double good, double peer_share) {
  const double good_weight =
      std::log((1 - FaultyShare(peer_share)) / (1 - peer_share));
  score_ =
      std::max(0.0, score_ + bad * BadWeight(peer_share) + good * good_weight);
  bad_ = score_ > 0 ? bad_ + bad : 0;
  total_ = score_ > 0 ? total_ + bad + good : 0;
}

}  // namespace sapphirebank
