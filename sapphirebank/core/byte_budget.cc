#include "sapphirebank/core/byte_budget.h"

#include <cassert>
#include <utility>

namespace sapphirebank {

ByteBudget::ByteBudget(std::size_t capacity, double share)
    : capacity_(capacity), share_(share) {
  assert(share > 0);
}

bool ByteBudget::MayGrow(std::size_t from, std::size_t to) const {
  const std::size_t others = held_ - from;
  if (to > capacity_ - others) return false;
  const auto free = static_cast<double>(capacity_ - others - to);
  return static_cast<double>(to) <= share_ * free;
}

ByteReservation::ByteReservation(std::shared_ptr<ByteBudget> budget)
    : budget_(std::move(budget)) {
  assert(budget_);
}

ByteReservation::~ByteReservation() {
  if (budget_) budget_->held_ -= bytes_;
}

ByteReservation::ByteReservation(ByteReservation&& other) noexcept
    : budget_(std::move(other.budget_)),
      bytes_(std::exchange(other.bytes_, 0)) {}

bool ByteReservation::TryResize(std::size_t bytes) {
  if (bytes > bytes_ && !budget_->MayGrow(bytes_, bytes)) return false;
  budget_->held_ = budget_->held_ - bytes_ + bytes;
  bytes_ = bytes;
  return true;
}

}  // namespace sapphirebank
