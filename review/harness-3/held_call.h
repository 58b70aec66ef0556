#pragma once

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

namespace review {

// A POST without a body whose bytes the network holds up for a time, as behind
// a partition. The caller's close follows the bytes by the time of a round
// trip: a sender that retransmits after a partition sends its FIN once the
// bytes before it are acknowledged.
class HeldCall {
 public:
  HeldCall(const std::string& ip, int port, const std::string& target,
           std::chrono::milliseconds hold);
  ~HeldCall();
  HeldCall(const HeldCall&) = delete;
  HeldCall& operator=(const HeldCall&) = delete;

  // Returns the status of the answer, or 0 when none comes in time.
  int AwaitStatus(std::chrono::milliseconds time) const;

  // The caller closes its connection.
  void Close() { is_closed_ = true; }

  // Returns whether the bytes have been delivered.
  bool HasArrived() const { return has_arrived_; }

 private:
  void Run(const std::string& ip, int port, const std::string& bytes,
           std::chrono::milliseconds hold);

  std::atomic<int> status_ = 0;
  std::atomic<bool> is_closed_ = false;
  std::atomic<bool> has_arrived_ = false;
  std::atomic<bool> stops_ = false;
  std::thread thread_;
};

}  // namespace review
