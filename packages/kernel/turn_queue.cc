#include "kernel/turn_queue.h"

#include <utility>

namespace hickorystand {
namespace {

// How long turns are given in each iteration of the loop.
constexpr Duration kSlice = std::chrono::milliseconds(2);

Duration SteadyNow() {
  return Duration(g_get_monotonic_time());
}

}  // namespace

// A source whose check runs in every iteration, after the wait for events.
struct TurnQueue::Source {
  GSource base;
  TurnQueue* queue;

  bool Ready() const {
    this->queue->began = SteadyNow();
    return !this->queue->waiting.empty();
  }

  static gboolean Prepare(GSource* source, gint* timeout) {
    *timeout = -1;
    return Check(source);
  }
  static gboolean Check(GSource* source) {
    return reinterpret_cast<Source*>(source)->Ready() ? TRUE : FALSE;  // NOLINT
  }
  static gboolean Dispatch(GSource* source, GSourceFunc, gpointer) {
    reinterpret_cast<Source*>(source)->queue->GiveTurns();  // NOLINT
    return G_SOURCE_CONTINUE;
  }
};

Turn::Turn(TurnQueue* queue, std::function<void()> action)
    : queue(queue),
      action(std::move(action)),
      place(queue->waiting.insert(queue->waiting.end(), this)) {}

Turn::~Turn() {
  if (this->queue != nullptr) {
    this->queue->waiting.erase(this->place);
  }
}

TurnQueue::~TurnQueue() {
  if (this->source != nullptr) {
    g_source_destroy(&this->source->base);
    g_source_unref(&this->source->base);
  }
}

bool TurnQueue::MayGoOn() const {
  return this->waiting.empty() && SteadyNow() - this->began < kSlice;
}

std::unique_ptr<Turn> TurnQueue::Wait(std::function<void()> action) {
  if (this->source == nullptr) {
    this->Attach();
  }
  return std::make_unique<Turn>(this, std::move(action));
}

void TurnQueue::Attach() {
  static GSourceFuncs functions = {.prepare = &Source::Prepare,
                                   .check = &Source::Check,
                                   .dispatch = &Source::Dispatch};
  this->source = reinterpret_cast<Source*>(  // NOLINT: how GLib makes sources
      g_source_new(&functions, sizeof(Source)));
  this->source->queue = this;
  g_source_attach(&this->source->base, g_main_context_get_thread_default());
}

void TurnQueue::GiveTurns() {
  const Duration start = SteadyNow();
  while (!this->waiting.empty() && SteadyNow() - start < kSlice) {
    Turn* const turn = this->waiting.front();
    this->waiting.pop_front();
    turn->queue = nullptr;
    const auto action = std::move(turn->action);  // which may destroy the turn
    action();
  }
}

}  // namespace hickorystand
