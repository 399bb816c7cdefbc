#include "kernel/resource_budget.h"

#include <sys/resource.h>
#include <sys/sysinfo.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <optional>
#include <utility>

#include "kernel/log.h"

namespace hickorystand {
namespace {

constexpr std::string_view kPart = "budget";
constexpr int64_t kMiB = int64_t{1} << 20;

// What a process needs for itself, whatever it holds.
constexpr int64_t kOwnBytes = 32 * kMiB;
constexpr int64_t kLeastBytes = 8 * kMiB;

// Descriptors of files, logs and the store's client: at most this many, or a
// quarter of all.
constexpr int64_t kFileDescriptors = 200;
constexpr int64_t kLeastDescriptors = 32;

// A request up to this size is small.
constexpr int64_t kSmallRequestBytes = int64_t{64} << 10;

// Retry-After: the memory of the rate at which bytes are freed, and its range.
constexpr double kFreedMemorySeconds = 10;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(500);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(10);

constexpr Duration kLogInterval = std::chrono::seconds(1);

// A connection that has never carried a request yields its descriptor before
// one between two requests of the same age, and that before one in use.
constexpr double kSilentWeight = 4;
constexpr double kIdleWeight = 2;

std::optional<int64_t> ReadNumber(const char* path) {
  std::ifstream in(path);
  int64_t number = 0;
  return in >> number ? std::optional(number) : std::nullopt;
}

// The shared string of HoldInWork.
struct HeldBytes {
  HeldBytes(ResourceBudget* budget, std::string bytes, int64_t more)
      : bytes(std::move(bytes)), holding(budget, HoldingState::kInWork) {
    this->holding.SetBytes(std::ssize(this->bytes) + more);
  }

  std::string bytes;
  Holding holding;
};

}  // namespace

std::string_view NameOf(HoldingState state) {
  switch (state) {
    case HoldingState::kSilent:
      return "silent";
    case HoldingState::kIdle:
      return "idle";
    case HoldingState::kReceiving:
      return "receiving";
    case HoldingState::kSending:
      return "sending";
    case HoldingState::kInWork:
      break;
  }
  return "in_work";
}

MachineLimits ReadMachineLimits() {
  MachineLimits machine;
  struct sysinfo system{};
  if (sysinfo(&system) == 0) {
    machine.memory_bytes =
        static_cast<int64_t>(system.totalram) * system.mem_unit;
  }
  // Of the control group, version 2 and version 1.
  for (const char* path : {"/sys/fs/cgroup/memory.max",
                           "/sys/fs/cgroup/memory/memory.limit_in_bytes"}) {
    if (const auto limit = ReadNumber(path); limit && *limit > 0) {
      machine.memory_bytes = std::min(machine.memory_bytes, *limit);
    }
  }
  rlimit most{};
  if (getrlimit(RLIMIT_NOFILE, &most) == 0 && most.rlim_cur != RLIM_INFINITY) {
    machine.descriptors = static_cast<int64_t>(most.rlim_cur);
  }
  return machine;
}

MachineLimits Tighter(const MachineLimits& one, const MachineLimits& other) {
  const auto smaller = [](int64_t left, int64_t right) {
    return left == 0 || right == 0 ? std::max(left, right)
                                   : std::min(left, right);
  };
  return {.memory_bytes = smaller(one.memory_bytes, other.memory_bytes),
          .descriptors = smaller(one.descriptors, other.descriptors)};
}

ResourceLimits LimitsOf(const MachineLimits& machine) {
  ResourceLimits limits;
  if (machine.memory_bytes > 0) {
    limits.bytes =
        std::max((machine.memory_bytes - kOwnBytes) / 2, kLeastBytes);
  }
  if (machine.descriptors > 0) {
    limits.descriptors =
        std::max(machine.descriptors -
                     std::min(kFileDescriptors, machine.descriptors / 4),
                 kLeastDescriptors);
  }
  return limits;
}

Holding::Holding(ResourceBudget* budget,
                 HoldingState state,
                 std::function<void()> yield)
    : budget(budget), state(state), yield(std::move(yield)) {
  if (this->budget != nullptr) {
    this->since = this->arrived = this->budget->clock->Now();
    this->place =
        this->budget->holdings.insert(this->budget->holdings.end(), this);
  }
}

Holding::~Holding() {
  if (this->budget != nullptr) {
    this->SetBytes(0);
    this->SetDescriptors(0);
    this->budget->holdings.erase(this->place);
  }
}

void Holding::SetState(HoldingState to) {
  if (this->budget == nullptr || this->state == to) {
    return;
  }
  const int64_t held = std::exchange(this->bytes, 0);
  this->budget->Change(*this, -held, 0);
  this->state = to;
  this->yielded = false;
  this->bytes = held;
  this->budget->Change(*this, held, 0);
  this->since = this->arrived = this->budget->clock->Now();
}

void Holding::SetBytes(int64_t to) {
  if (this->budget == nullptr || this->bytes == to) {
    return;
  }
  const Instant now = this->budget->clock->Now();
  const auto age = static_cast<double>((now - this->arrived).count());
  const auto before = static_cast<double>(this->bytes);
  const auto after = static_cast<double>(to);
  // New bytes have no age; those that leave are the oldest.
  const double share = to > this->bytes ? before / after : after / before;
  this->arrived =
      now - Duration(static_cast<Duration::rep>(std::llround(age * share)));
  this->budget->Change(*this, to - std::exchange(this->bytes, to), 0);
}

void Holding::SetDescriptors(int64_t to) {
  if (this->budget != nullptr) {
    this->budget->Change(*this, 0, to - std::exchange(this->descriptors, to));
  }
}

bool Holding::RoomPending() const {
  return this->budget != nullptr && this->budget->RoomPending();
}

void Holding::MakeRoom() const {
  if (this->budget != nullptr) {
    this->budget->MakeRoom();
  }
}

double Holding::ByteSeconds(Instant now) const {
  return static_cast<double>(this->bytes) * ToSeconds(now - this->arrived);
}

const std::array<ResourceBudget::Resource, 2> ResourceBudget::kResources = {
    Resource{"memory", &ResourceBudget::BytesExceeded,
             &ResourceBudget::MemoryCost},
    Resource{"descriptors", &ResourceBudget::DescriptorsExceeded,
             &ResourceBudget::DescriptorCost}};

ResourceBudget::ResourceBudget(const ResourceLimits& limits,
                               const Clock& clock,
                               Metrics& metrics,
                               MetricLabels labels)
    : limits(limits),
      clock(&clock),
      metrics(&metrics),
      labels(std::move(labels)) {
  for (const Resource& resource : kResources) {
    for (const HoldingState state : kHoldingStates) {
      if (state != HoldingState::kInWork) {
        this->CountYield(resource, state, 0);
      }
    }
  }
  this->metrics->Add("budget_refusals_total", 0, this->labels);
  this->metrics->Add("accept_failures_total", 0, this->labels);
  this->metrics->Set("held_bytes_limit",
                     static_cast<double>(this->limits.bytes), this->labels);
  this->metrics->Set("held_descriptors_limit",
                     static_cast<double>(this->limits.ForClients()),
                     this->labels);
}

void ResourceBudget::CountYield(const Resource& resource,
                                HoldingState state,
                                double yields) {
  MetricLabels of = this->labels;
  of.emplace_back("resource", resource.name);
  of.emplace_back("state", NameOf(state));
  this->metrics->Add("budget_yields_total", yields, of);
}

ResourceBudget::~ResourceBudget() {
  std::ranges::for_each(this->holdings,
                        [](Holding* holding) { holding->budget = nullptr; });
  if (this->room_source != nullptr) {
    g_source_destroy(this->room_source);
    g_source_unref(this->room_source);
  }
}

bool ResourceBudget::MayTakeIntoWork(int64_t wanted) const {
  const int64_t in_work = this->in_work_bytes + wanted;
  return in_work <= this->limits.InWork() ||
         (wanted <= kSmallRequestBytes && in_work <= this->limits.bytes);
}

Duration ResourceBudget::RetryAfter(int64_t wanted) const {
  const double missing = static_cast<double>(
      std::max(this->in_work_bytes + wanted - this->limits.InWork(),
               this->bytes + wanted - this->limits.bytes));
  const double rate = this->freed_lately *
                      std::exp(-ToSeconds(this->clock->Now() - this->freed_at) /
                               kFreedMemorySeconds) /
                      kFreedMemorySeconds;
  if (missing <= 0) {
    return kMinRetryAfter;
  }
  if (missing >= rate * ToSeconds(kMaxRetryAfter)) {
    return kMaxRetryAfter;
  }
  return std::max(FromSeconds(missing / rate), kMinRetryAfter);
}

bool ResourceBudget::MayLog() {
  const Instant now = this->clock->Now();
  if (now < this->next_log) {
    ++this->unlogged;
    return false;
  }
  this->next_log = now + kLogInterval;
  return true;
}

void ResourceBudget::CountRefusal(int64_t wanted) {
  this->metrics->Add("budget_refusals_total", 1, this->labels);
  if (this->MayLog()) {
    LogWarning(
        kPart, "Refused a request: too much is in work.",
        {{"bytes", std::to_string(wanted)},
         {"in_work_bytes", std::to_string(this->in_work_bytes)},
         {"in_work_limit", std::to_string(this->limits.InWork())},
         {"unlogged", std::to_string(std::exchange(this->unlogged, 0))}});
  }
}

void ResourceBudget::CountFailedAccept(std::string_view why) {
  this->metrics->Add("accept_failures_total", 1, this->labels);
  if (this->MayLog()) {
    LogWarning(
        kPart, "Can't accept a connection.",
        {{"why", std::string(why)},
         {"descriptors", std::to_string(this->descriptors)},
         {"unlogged", std::to_string(std::exchange(this->unlogged, 0))}});
  }
}

void ResourceBudget::Report() {
  this->metrics->Set("held_bytes", static_cast<double>(this->bytes),
                     this->labels);
  this->metrics->Set("held_in_work_bytes",
                     static_cast<double>(this->in_work_bytes), this->labels);
  this->metrics->Set("held_descriptors", static_cast<double>(this->descriptors),
                     this->labels);
}

void ResourceBudget::Change(const Holding& holding,
                            int64_t more_bytes,
                            int64_t more_descriptors) {
  this->bytes += more_bytes;
  this->descriptors += more_descriptors;
  if (holding.state == HoldingState::kInWork) {
    this->in_work_bytes += more_bytes;
  }
  if (more_bytes < 0) {
    this->Freed(-more_bytes);
  }
  const bool grew = more_bytes > 0 || more_descriptors > 0;
  if (grew && this->room_source == nullptr &&
      (this->BytesExceeded() || this->DescriptorsExceeded())) {
    this->room_source = g_idle_source_new();
    g_source_set_priority(this->room_source, G_PRIORITY_HIGH);
    g_source_set_callback(this->room_source, &ResourceBudget::OnMakeRoom, this,
                          nullptr);
    g_source_attach(this->room_source, g_main_context_get_thread_default());
  }
}

void ResourceBudget::Freed(int64_t freed) {
  const Instant now = this->clock->Now();
  this->freed_lately =
      this->freed_lately *
          std::exp(-ToSeconds(now - this->freed_at) / kFreedMemorySeconds) +
      static_cast<double>(freed);
  this->freed_at = now;
}

gboolean ResourceBudget::OnMakeRoom(gpointer self) {
  static_cast<ResourceBudget*>(self)->MakeRoom();
  return G_SOURCE_REMOVE;
}

void ResourceBudget::MakeRoom() {
  if (this->room_source == nullptr) {
    return;
  }
  std::ranges::for_each(kResources, [this](const Resource& resource) {
    this->MakeRoom(resource);
  });
  g_source_destroy(this->room_source);
  g_source_unref(std::exchange(this->room_source, nullptr));
}

void ResourceBudget::MakeRoom(const Resource& resource) {
  while ((this->*resource.exceeded)()) {
    const Instant now = this->clock->Now();
    Holding* const holding = this->Costliest(resource, now);
    if (holding == nullptr) {
      return;
    }
    this->CountYield(resource, holding->state, 1);
    if (this->MayLog()) {
      LogWarning(
          kPart, "A connection yields: too much is held.",
          {{"resource", std::string(resource.name)},
           {"state", std::string(NameOf(holding->state))},
           {"bytes", std::to_string(holding->bytes)},
           {"state_age_ms", MillisecondsText(now - holding->since)},
           {"held_bytes", std::to_string(this->bytes)},
           {"held_bytes_limit", std::to_string(this->limits.bytes)},
           {"held_descriptors", std::to_string(this->descriptors)},
           {"held_descriptors_limit",
            std::to_string(this->limits.ForClients())},
           {"unlogged", std::to_string(std::exchange(this->unlogged, 0))}});
    }
    holding->yielded = true;
    const auto yield = holding->yield;  // which may destroy the holding
    yield();
  }
}

double ResourceBudget::MemoryCost(const Holding& holding, Instant now) const {
  return holding.bytes > 0 ? holding.ByteSeconds(now) : -1;
}

double ResourceBudget::DescriptorCost(const Holding& holding,
                                      Instant now) const {
  if (holding.descriptors == 0) {
    return -1;
  }
  const double weight = holding.state == HoldingState::kSilent ? kSilentWeight
                        : holding.state == HoldingState::kIdle ? kIdleWeight
                                                               : 1;
  return weight * ToSeconds(now - holding.since);
}

// The holding that yields next; null if none can.
Holding* ResourceBudget::Costliest(const Resource& resource,
                                   Instant now) const {
  const auto cost = [&](const Holding* holding) {
    const bool yields = holding->yield && !holding->yielded &&
                        holding->state != HoldingState::kInWork;
    return yields ? (this->*resource.cost)(*holding, now) : -1;
  };
  const auto most = std::ranges::max_element(this->holdings, {}, cost);
  return most != this->holdings.end() && cost(*most) >= 0 ? *most : nullptr;
}

SharedBytes HoldInWork(ResourceBudget* budget,
                       std::string bytes,
                       int64_t more) {
  const auto held =
      std::make_shared<const HeldBytes>(budget, std::move(bytes), more);
  return {held, &held->bytes};
}

}  // namespace hickorystand
