// Tasks: one thread with one GMainContext, which owns its sockets and state.
//
// Nothing is shared between tasks. A task is handed work by Post(), and the
// values it is handed are its own from then on.

#pragma once

#include <glib.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "kernel/time.h"

namespace hickorystand {

// A thread that runs a GLib main loop until stopped.
class Task {
 public:
  // Starts the thread; `name` shows in debuggers and logs.
  explicit Task(std::string name);
  ~Task();
  Task(const Task&) = delete;
  Task& operator=(const Task&) = delete;

  // Runs `work` on this task's thread, after all that was posted before.
  // May be called from any thread. Work posted after Stop() is dropped.
  void Post(std::function<void()> work);

  // Runs `work` on this task's thread and waits for it. Calling it from this
  // task's own thread would deadlock and is asserted against.
  void Call(const std::function<void()>& work);

  // Ends the loop after the work posted so far, and joins the thread.
  void Stop();

  // The context to which sources of this task are attached.
  GMainContext* Context() const { return this->context; }

  // Whether the calling thread is this task's own.
  bool IsCurrent() const;

 private:
  std::string name;
  GMainContext* context;
  GMainLoop* loop;
  std::thread thread;
};

// Calls a function on the thread-default context: once after a delay, or
// repeatedly. Destroying the timer cancels it.
class Timer {
 public:
  // Fires once.
  static std::unique_ptr<Timer> After(Duration delay,
                                      std::function<void()> fire);
  // Fires again and again until destroyed.
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
