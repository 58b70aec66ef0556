#pragma once

namespace sapphirebank {

// Decides, event by event, whether a backend server has more bad events than
// its peers: a cumulative sum of log-likelihood ratios that is never below
// zero (Page, Continuous Inspection Schemes, 1954; Wald, Sequential Tests of
// Statistical Hypotheses, 1945). It needs no fixed number of events, so that a
// server with few requests and one with many are judged by the same rule.
class SequentialTest {
 public:
  // Adds events of which `bad` were bad. `peer_share` is the share of bad
  // events among the peers, in (0, 1).
  void Add(double bad, double good, double peer_share);

  // Adds evidence of a known weight, in nats.
  void AddWeight(double weight) { score_ += weight; }

  // Multiplies the evidence so far by `factor`.
  void Decay(double factor) { score_ *= factor; }

  // Starts anew with `score`.
  void Reset(double score = 0) { *this = SequentialTest(score); }

  double score() const { return score_; }

  // Returns the share of bad events since the score was last zero.
  double bad_share() const { return total_ > 0 ? bad_ / total_ : 0; }

  // Returns the weight of one bad event.
  static double BadWeight(double peer_share);

  SequentialTest() = default;

 private:
  explicit SequentialTest(double score) : score_(score) {}

  double score_ = 0;
  double bad_ = 0;
  double total_ = 0;
};

}  // namespace sapphirebank
