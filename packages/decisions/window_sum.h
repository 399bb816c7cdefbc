// The sum of what was counted within a sliding window, in bounded memory.

#pragma once

#include <cstdint>
#include <deque>

#include "kernel/time.h"

namespace hickorystand {

class WindowSum {
 public:
  explicit WindowSum(Duration window = std::chrono::seconds(8))
      : window(window) {}

  // Adds an amount, which may be negative, that came now.
  void Add(Instant now, int64_t amount);

  // The sum over the window; up to a slot older amounts count as well.
  int64_t Sum(Instant now) const;

 private:
  struct Slot {
    Instant begins{};
    int64_t amount = 0;
  };

  static constexpr int64_t kSlots = 32;

  Duration window;
  std::deque<Slot> slots;  // oldest first
};

}  // namespace hickorystand
