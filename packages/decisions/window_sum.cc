#include "decisions/window_sum.h"

#include <numeric>

namespace hickorystand {

void WindowSum::Add(Instant now, int64_t amount) {
  while (!this->slots.empty() &&
         now - this->slots.front().begins > this->window) {
    this->slots.pop_front();
  }
  if (this->slots.empty() ||
      now - this->slots.back().begins >= this->window / kSlots) {
    this->slots.push_back({.begins = now});
  }
  this->slots.back().amount += amount;
}

int64_t WindowSum::Sum(Instant now) const {
  return std::accumulate(
      this->slots.begin(), this->slots.end(), int64_t{0},
      [&](int64_t sum, const Slot& slot) {
        return now - slot.begins > this->window ? sum : sum + slot.amount;
      });
}

}  // namespace hickorystand
