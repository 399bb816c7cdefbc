#include "kernel/task.h"

#include <cassert>
#include <future>
#include <utility>

namespace hickorystand {
namespace {

using Work = std::function<void()>;

gboolean RunWork(gpointer data) {
  (*static_cast<Work*>(data))();
  return G_SOURCE_REMOVE;
}

void FreeWork(gpointer data) {
  delete static_cast<Work*>(data);
}

// Queues work on a context. g_main_context_invoke() would run it immediately on
// the caller's thread if no thread owned the context, so a source is used.
void AttachWork(GMainContext* context, Work work) {
  GSource* source = g_idle_source_new();
  g_source_set_priority(source, G_PRIORITY_DEFAULT);
  g_source_set_callback(source, &RunWork, new Work(std::move(work)), &FreeWork);
  g_source_attach(source, context);
  g_source_unref(source);
}

}  // namespace

Task::Task(std::string name)
    : name(std::move(name)),
      context(g_main_context_new()),
      loop(g_main_loop_new(this->context, FALSE)),
      thread([this] {
        g_main_context_push_thread_default(this->context);
        g_main_loop_run(this->loop);
        g_main_context_pop_thread_default(this->context);
      }) {}

Task::~Task() {
  this->Stop();
  g_main_loop_unref(this->loop);
  g_main_context_unref(this->context);
}

void Task::Post(std::function<void()> work) {
  AttachWork(this->context, std::move(work));
}

void Task::Call(const std::function<void()>& work) {
  assert(!this->IsCurrent() && "Call() from the task's own thread");
  std::promise<void> done;
  this->Post([&] {
    work();
    done.set_value();
  });
  done.get_future().wait();
}

void Task::Stop() {
  if (!this->thread.joinable()) {
    return;
  }
  assert(!this->IsCurrent() && "a task can't join itself");
  this->Post([this] { g_main_loop_quit(this->loop); });
  this->thread.join();
}

bool Task::IsCurrent() const {
  return std::this_thread::get_id() == this->thread.get_id();
}

std::unique_ptr<Timer> Timer::After(Duration delay,
                                    std::function<void()> fire) {
  return std::unique_ptr<Timer>(new Timer(delay, false, std::move(fire)));
}

std::unique_ptr<Timer> Timer::Every(Duration period,
                                    std::function<void()> fire) {
  return std::unique_ptr<Timer>(new Timer(period, true, std::move(fire)));
}

Timer::Timer(Duration period, bool repeat, std::function<void()> fire)
    : repeat(repeat), fire(std::move(fire)) {
  const auto milliseconds =
      std::chrono::ceil<std::chrono::milliseconds>(period).count();
  this->source = g_timeout_source_new(static_cast<guint>(milliseconds));
  g_source_set_callback(this->source, &Timer::OnFire, this, nullptr);
  g_source_attach(this->source, g_main_context_get_thread_default());
}

Timer::~Timer() {
  g_source_destroy(this->source);
  g_source_unref(this->source);
}

gboolean Timer::OnFire(gpointer self) {
  auto* timer = static_cast<Timer*>(self);
  const bool repeats = timer->repeat;
  const Work call = timer->fire;  // copied, since `fire` may destroy the timer
  call();
  return repeats ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

}  // namespace hickorystand
