// The signals that stop the process, as a call on the main loop that knows when
// the first of them arrived.
//
// A busy main loop makes the call late, while the time until the process is
// killed counts from the signal.
//
//   StopSignal signal([&host](Instant arrived) { host.Drain(arrived); });

#pragma once

#include <glib.h>

#include <functional>

#include "kernel/time.h"

namespace hickorystand {

// Watches SIGTERM and SIGINT. A process has one of these at most.
class StopSignal {
 public:
  // Is told when the first signal arrived, by BootClock, at each signal.
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
