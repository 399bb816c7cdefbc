// Tasks: threads that each run a GLib main loop and own their sockets and
// state.
//
// Tasks share no state. They communicate with Post(), and the values captured
// in posted work belong to the receiving task from then on.
//
//   Task task("store");
//   task.Post([] { ... });
//
// Index
//   Task    a thread with a main loop
//   Timer   a one-shot or periodic timer on the current task

#pragma once

#include <glib.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "kernel/time.h"

namespace hickorystand {

// A thread that runs a GLib main loop until it is stopped.
class Task {
 public:
  // Starts the thread; `name` is for debugging.
  explicit Task(std::string name);
  ~Task();
  Task(const Task&) = delete;
  Task& operator=(const Task&) = delete;

  // Queues `work` for this task's thread, in order. Thread-safe. Work posted
  // after Stop() is dropped.
  void Post(std::function<void()> work);

  // Runs `work` on this task's thread and waits for it. Calling it from this
  // task's own thread would deadlock and fails an assertion.
  void Call(const std::function<void()>& work);

  // Stops the loop after the work posted so far, and joins the thread.
  void Stop();

  // The context for the sources of this task.
  GMainContext* Context() const { return this->context; }

  // Whether the calling thread is this task's own.
  bool IsCurrent() const;

 private:
  std::string name;
  GMainContext* context;
  GMainLoop* loop;
  std::thread thread;
};

// Calls a function on the thread-default context, once after a delay or
// periodically. Durations are rounded up to whole milliseconds. Destroying the
// timer cancels it; the callback may do so.
class Timer {
 public:
  // Fires once.
  static std::unique_ptr<Timer> After(Duration delay,
                                      std::function<void()> fire);
  // Fires periodically until destroyed.
  static std::unique_ptr<Timer> Every(Duration period,
                                      std::function<void()> fire);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

 private:
  Timer(Duration period, bool repeat, std::function<void()> fire);
  static gboolean OnFire(gpointer self);

  bool repeat;
  std::function<void()> fire;
  GSource* source;
};

}  // namespace hickorystand
