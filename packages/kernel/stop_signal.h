// Delivers SIGTERM and SIGINT as a callback on the main loop, with the time at
// which the first signal arrived.
//
// The arrival time is recorded in the signal handler, because a busy main loop
// makes the call late, while the time until the process is killed counts from
// the signal.
//
//   StopSignal signal([&host](Instant arrived) { host.Drain(arrived); });

#pragma once

#include <glib.h>

#include <functional>

#include "kernel/time.h"

namespace hickorystand {

// Handles SIGTERM and SIGINT. A process has at most one instance.
class StopSignal {
 public:
  // Called after each signal with the BootClock time of the first one. Signals
  // in quick succession may be merged into one call.
  using Handler = std::function<void(Instant arrived)>;

  explicit StopSignal(Handler handler);
  ~StopSignal();
  StopSignal(const StopSignal&) = delete;
  StopSignal& operator=(const StopSignal&) = delete;

 private:
  static gboolean OnReadable(gint descriptor, GIOCondition, gpointer self);

  Handler handler;
  int read_end = -1;
  guint source = 0;
};

}  // namespace hickorystand
