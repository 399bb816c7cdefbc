// Turns: divide the time of a main loop among connections that have more work
// than one piece.
//
// A connection does one piece of its work, such as parsing what one read
// returned, and waits for its next turn. In each iteration of the loop, turns
// are given in order of arrival for a few milliseconds, and then all other
// sources are served. So no connection's input keeps the loop from others.
//
//   if (!turns.MayGoOn()) {
//     this->turn = turns.Wait([this] { this->GoOn(); });
//   }
//
// Index
//   Turn        a place in the queue; destroying it gives it up
//   TurnQueue   the queue

#pragma once

#include <glib.h>

#include <functional>
#include <list>
#include <memory>

#include "kernel/time.h"

namespace hickorystand {

class TurnQueue;

// A place in the queue, until its turn has come.
class Turn {
 public:
  Turn(TurnQueue* queue, std::function<void()> action);
  ~Turn();
  Turn(const Turn&) = delete;
  Turn& operator=(const Turn&) = delete;

 private:
  friend class TurnQueue;

  TurnQueue* queue;  // null once the turn has come
  std::function<void()> action;
  std::list<Turn*>::iterator place;
};

// Belongs to the thread that first calls Wait(), and outlives its turns.
class TurnQueue {
 public:
  TurnQueue() = default;
  ~TurnQueue();
  TurnQueue(const TurnQueue&) = delete;
  TurnQueue& operator=(const TurnQueue&) = delete;

  // Whether more work may be done at once: nobody waits, and the loop's
  // iteration has only begun.
  bool MayGoOn() const;

  // Calls `action` when its turn comes, which may destroy the turn.
  std::unique_ptr<Turn> Wait(std::function<void()> action);

 private:
  friend class Turn;

  struct Source;

  void Attach();
  void GiveTurns();

  std::list<Turn*> waiting;
  Source* source = nullptr;
  Duration began{};  // when this iteration's sources were found ready
};

}  // namespace hickorystand
