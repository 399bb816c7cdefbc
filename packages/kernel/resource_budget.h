// Budget of what a process holds for others: bytes in memory, and descriptors.
//
// Everything that a client, an endpoint or another host makes the process hold
// is a Holding of the one budget of the process. When the budget is exceeded,
// holdings whose length of stay depends on the other side yield until it isn't:
// the one with the most byte-seconds first. So one that holds much and moves
// little yields to one that holds little or moves fast, and a newcomer finds
// room whatever the others do.
//
//   ResourceBudget budget(LimitsOf(MachineOf(settings)), clock, metrics);
//   Holding request(&budget, HoldingState::kReceiving,
//                   [this] { this->Refuse(503); });
//   request.SetBytes(received);
//
// Yielding is asynchronous: a holding yields from the main loop, or when
// whoever is about to read calls MakeRoom(), never from within a change of a
// holding.
//
// A budget belongs to one task; several tasks divide what the process may hold.
// Index
//   MachineLimits    memory and descriptors of a machine
//   ResourceLimits   what may be held
//   HoldingState     who decides how long it is held
//   Holding          what is held for one purpose
//   ResourceBudget   the sums
//   SharedBytes      bytes that are counted until nobody needs them

#pragma once

#include <glib.h>

#include <array>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "kernel/metrics.h"
#include "kernel/time.h"

namespace hickorystand {

// What the machine gives the process. Zero: not stated.
struct MachineLimits {
  int64_t memory_bytes = 0;
  int64_t descriptors = 0;

  auto operator<=>(const MachineLimits&) const = default;
};

// The limits that the operating system imposes on this process: the memory of
// the machine or of the control group, and the limit of descriptors.
MachineLimits ReadMachineLimits();

// The smaller one of each limit that is stated.
MachineLimits Tighter(const MachineLimits& one, const MachineLimits& other);

// What a process may hold for others.
struct ResourceLimits {
  int64_t bytes = int64_t{1} << 40;
  // Including the connections that the process itself opens, of which the last
  // eighth is reserved for these.
  int64_t descriptors = int64_t{1} << 30;

  // Requests that are in work may take three quarters of the bytes, and small
  // ones the rest too.
  int64_t InWork() const { return this->bytes / 4 * 3; }
  int64_t ForClients() const {
    return this->descriptors - this->descriptors / 8;
  }

  // An equal part of them, for one of several tasks.
  ResourceLimits DividedBy(int64_t parts) const {
    return {.bytes = this->bytes / parts,
            .descriptors = this->descriptors / parts};
  }

  auto operator<=>(const ResourceLimits&) const = default;
};

// The default limits on a machine: half of its memory, less what the process
// needs for itself, and its descriptors, less those for files.
ResourceLimits LimitsOf(const MachineLimits& machine);

// Who decides how long something is held.
enum class HoldingState {
  kSilent,     // the client: it has connected, and sent nothing yet
  kIdle,       // the client: its connection is between two requests
  kReceiving,  // the sender, who hasn't sent everything
  kSending,    // the reader, who hasn't taken everything
  kInWork,     // this process; doesn't yield
};

inline constexpr std::array kHoldingStates = {
    HoldingState::kSilent, HoldingState::kIdle, HoldingState::kReceiving,
    HoldingState::kSending, HoldingState::kInWork};

// The name of a state, as used in logs and metrics.
std::string_view NameOf(HoldingState state);

class ResourceBudget;

// What is held for one purpose. Without a budget, and once that is destroyed,
// it counts nothing.
class Holding {
 public:
  // `yield` must free what is held, and may destroy the holding. It is called
  // from the main loop.
  Holding(ResourceBudget* budget,
          HoldingState state,
          std::function<void()> yield = {});
  ~Holding();
  Holding(const Holding&) = delete;
  Holding& operator=(const Holding&) = delete;

  // Begins a state. Its age counts from now on.
  void SetState(HoldingState to);

  void SetBytes(int64_t to);
  void SetDescriptors(int64_t to);

  HoldingState State() const { return this->state; }
  int64_t Bytes() const { return this->bytes; }

  // ResourceBudget::RoomPending().
  bool RoomPending() const;

  // ResourceBudget::MakeRoom().
  void MakeRoom() const;

 private:
  friend class ResourceBudget;

  // Byte-seconds of the bytes that are held now.
  double ByteSeconds(Instant now) const;

  ResourceBudget* budget;
  HoldingState state;
  std::function<void()> yield;
  int64_t bytes = 0;
  int64_t descriptors = 0;
  bool yielded = false;  // in this state
  Instant since{};       // of the state
  Instant arrived{};     // of the bytes, in the mean
  std::list<Holding*>::iterator place;
};

// All holdings of a process.
class ResourceBudget {
 public:
  // `labels` are those of the budget's metrics, if the process has several.
  ResourceBudget(const ResourceLimits& limits,
                 const Clock& clock,
                 Metrics& metrics,
                 MetricLabels labels = {});
  ~ResourceBudget();
  ResourceBudget(const ResourceBudget&) = delete;
  ResourceBudget& operator=(const ResourceBudget&) = delete;

  // Whether a complete request of this size may be taken into work. Small
  // requests may use what large ones must leave free.
  bool MayTakeIntoWork(int64_t bytes) const;

  // Whether holdings are about to yield.
  bool RoomPending() const { return this->room_source != nullptr; }

  // Lets holdings yield now if they are about to, the caller's own included.
  // Not to be called while a holding yields.
  void MakeRoom();

  // Estimate of the time until `bytes` are free, from the rate at which bytes
  // were freed lately.
  Duration RetryAfter(int64_t bytes) const;

  // Counts a request that is refused for lack of room, and logs it.
  void CountRefusal(int64_t bytes);

  // Counts a connection that couldn't be accepted, and logs it.
  void CountFailedAccept(std::string_view why);

  // Sets the gauges of what is held.
  void Report();

  int64_t Bytes() const { return this->bytes; }
  int64_t Descriptors() const { return this->descriptors; }
  const ResourceLimits& Limits() const { return this->limits; }

 private:
  friend class Holding;

  // A resource of which holdings may have to yield.
  struct Resource {
    std::string_view name;
    bool (ResourceBudget::*exceeded)() const;
    double (ResourceBudget::*cost)(const Holding&, Instant now) const;
  };
  static const std::array<Resource, 2> kResources;

  bool BytesExceeded() const { return this->bytes > this->limits.bytes; }
  bool DescriptorsExceeded() const {
    return this->descriptors > this->limits.ForClients();
  }
  double MemoryCost(const Holding& holding, Instant now) const;
  double DescriptorCost(const Holding& holding, Instant now) const;

  void Change(const Holding& holding, int64_t bytes, int64_t descriptors);
  void Freed(int64_t bytes);
  static gboolean OnMakeRoom(gpointer self);
  void MakeRoom(const Resource& resource);
  Holding* Costliest(const Resource& resource, Instant now) const;
  bool MayLog();
  void CountYield(const Resource& resource, HoldingState state, double yields);

  ResourceLimits limits;
  const Clock* clock;
  Metrics* metrics;
  MetricLabels labels;
  std::list<Holding*> holdings;
  int64_t bytes = 0;
  int64_t descriptors = 0;
  int64_t in_work_bytes = 0;
  double freed_lately = 0;  // bytes, with a weight that decays
  Instant freed_at{};
  GSource* room_source = nullptr;
  Instant next_log{};
  int64_t unlogged = 0;  // events since the last log line
};

// Bytes that several owners read.
using SharedBytes = std::shared_ptr<const std::string>;

// Bytes that count as in work until the last pointer to them is dropped.
// `more` is what the request holds besides.
SharedBytes HoldInWork(ResourceBudget* budget,
                       std::string bytes,
                       int64_t more = 0);

}  // namespace hickorystand
