// WindowSum: the sum of amounts within a sliding window, in bounded memory.

#pragma once

#include <cstdint>
#include <deque>

#include "kernel/time.h"

namespace hickorystand {

// Amounts are collected in slots of 1/32 of the window.
class WindowSum {
 public:
  explicit WindowSum(Duration window = std::chrono::seconds(8))
      : window(window) {}

  // Adds an amount, which may be negative, at the time `now`.
  void Add(Instant now, int64_t amount);

  // The sum over the window. A slot leaves the window as a whole when its start
  // does, so amounts may be dropped up to one slot early.
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
