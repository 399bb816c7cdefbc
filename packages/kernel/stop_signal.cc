#include "kernel/stop_signal.h"

#include <fcntl.h>
#include <glib-unix.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cassert>
#include <cerrno>
#include <csignal>

namespace hickorystand {
namespace {

// State of the signal handler: lock-free, so that the handler is
// async-signal-safe, and set before the handler is installed.
std::atomic<int> write_end{-1};
std::atomic<int64_t> first_arrival{
    0};  // BootClock time in microseconds; 0: no signal yet

static_assert(std::atomic<int64_t>::is_always_lock_free);

void OnSignal(int /*signal*/) {
  const int saved_errno = errno;
  int64_t none = 0;
  first_arrival.compare_exchange_strong(
      none, BootClock().Now().time_since_epoch().count());
  const char byte = 0;
  // A failed write is harmless: a full pipe already wakes up the main loop.
  [[maybe_unused]] const ssize_t written = write(write_end, &byte, 1);
  errno = saved_errno;
}

}  // namespace

StopSignal::StopSignal(Handler handler) : handler(std::move(handler)) {
  assert(write_end == -1 && "a process has one StopSignal");
  std::array<gint, 2> ends{-1, -1};
  const gboolean opened = g_unix_open_pipe(ends.data(), FD_CLOEXEC, nullptr);
  assert(opened && "no descriptors are left at the start of the process");
  for (const int end : ends) {
    g_unix_set_fd_nonblocking(end, TRUE, nullptr);
  }
  this->read_end = ends[0];
  write_end = ends[1];
  this->source =
      g_unix_fd_add(this->read_end, G_IO_IN, &StopSignal::OnReadable, this);
  struct sigaction action{};
  action.sa_handler = &OnSignal;
  action.sa_flags = SA_RESTART;
  for (const int signal : {SIGTERM, SIGINT}) {
    sigaction(signal, &action, nullptr);
  }
}

StopSignal::~StopSignal() {
  for (const int signal : {SIGTERM, SIGINT}) {
    std::signal(signal, SIG_DFL);
  }
  g_source_remove(this->source);
  close(write_end.exchange(-1));
  close(this->read_end);
  first_arrival = 0;
}

gboolean StopSignal::OnReadable(gint descriptor,
                                GIOCondition /*condition*/,
                                gpointer self) {
  std::array<char, 16> bytes{};
  while (read(descriptor, bytes.data(), bytes.size()) > 0) {
  }
  static_cast<StopSignal*>(self)->handler(Instant(Duration(first_arrival)));
  return G_SOURCE_CONTINUE;
}

}  // namespace hickorystand
