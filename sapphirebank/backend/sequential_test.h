#pragma once

namespace sapphirebank {

// Sequential test of whether a backend server has more bad events than its
// peers: a cumulative sum (CUSUM) of log-likelihood ratios that is never below
// zero (Page, Continuous Inspection Schemes, 1954; Wald, Sequential Tests of
// Statistical Hypotheses, 1945). It needs no fixed number of events, so that
// the same rule judges servers with few requests and with many.
class SequentialTest {
 public:
  // Adds `bad` bad and `good` good events. `peer_share` is the share of bad
  // events among the peers, in (0, 1).
  void Add(double bad, double good, double peer_share);

  // Adds evidence of a known weight, in nats.
  void AddWeight(double weight) { score_ += weight; }

  // Multiplies the accumulated evidence by `factor`.
  void Decay(double factor) { score_ *= factor; }

  // Restarts with `score`.
  void Reset(double score = 0) { *this = SequentialTest(score); }

  double score() const { return score_; }

  // Returns the share of bad events since the score was last zero.
  double bad_share() const { return total_ > 0 ? bad_ / total_ : 0; }

  // Returns the evidence of one bad event, in nats.
  static double BadWeight(double peer_share);

  SequentialTest() = default;

 private:
  explicit SequentialTest(double score) : score_(score) {}

  double score_ = 0;
  double bad_ = 0;
  double total_ = 0;
};

}  // namespace sapphirebank
