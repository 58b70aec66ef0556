#pragma once

#include <cstddef>
#include <memory>

namespace sapphirebank {

// Memory that many holders share. One holder gets at most a fixed part of what
// is free (dynamic thresholds: Choudhury and Hahne, "Dynamic Queue Length
// Thresholds for Shared-Memory Packet Switches", IEEE/ACM ToN 1998). So holders
// that take all they can get leave some for those that need little, however
// many they are. Not thread-safe.
class ByteBudget {
 public:
  // `share` is the part of the free bytes that one holder may have, above 0.
  ByteBudget(std::size_t capacity, double share);

  std::size_t capacity() const { return capacity_; }
  std::size_t held() const { return held_; }

 private:
  friend class ByteReservation;

  // Returns whether a holder of `from` bytes may have `to` bytes.
  bool MayGrow(std::size_t from, std::size_t to) const;

  std::size_t capacity_;
  double share_;
  std::size_t held_ = 0;
};

// Bytes of a budget, which are free again once this object is destroyed.
class ByteReservation {
 public:
  // Holds nothing at first.
  explicit ByteReservation(std::shared_ptr<ByteBudget> budget);
  ~ByteReservation();
  ByteReservation(ByteReservation&& other) noexcept;
  ByteReservation& operator=(ByteReservation&&) = delete;
  ByteReservation(const ByteReservation&) = delete;
  ByteReservation& operator=(const ByteReservation&) = delete;

  // Changes the number of bytes held. Returns false, and changes nothing, when
  // the budget does not allow that many. Fewer are always allowed.
  bool TryResize(std::size_t bytes);

  std::size_t bytes() const { return bytes_; }

 private:
  std::shared_ptr<ByteBudget> budget_;
  std::size_t bytes_ = 0;
};

}  // namespace sapphirebank
