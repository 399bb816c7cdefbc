// Minimal model of an engine in virtual time, with the features that the
// policies must handle: continuous batching, a prefix cache, roles, drains and
// crashes.
//
// Prompts are prefilled one at a time and share the engine's time with
// decoding; the role sets how time and memory are divided. A prefill-leaning
// engine prefills faster and decodes fewer answers at once; a decode-leaning
// engine is the reverse.
//
// Index
//   EngineProfile   speed and capacity of an engine in one role
//   MeasuredRates   the same figures as the planner's table
//   EngineJob       one attempt on an engine
//   EngineEvent     progress or end of a job
//   BenchEngine     the engine

#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "decisions/configuration.h"
#include "decisions/placement.h"
#include "decisions/request.h"

namespace hickorystand {

// Speed and capacity of an engine in one role.
struct EngineProfile {
  double prefill_rate = 0;   // prompt tokens per second without decoding
  double token_seconds = 0;  // per token of one answer without prefill
  int64_t capacity = 0;      // concurrent answers
  double prefill_share = 0;  // of the time while both kinds of work are pending

  bool operator==(const EngineProfile&) const = default;
};

const EngineProfile& ProfileOf(EndpointRole role);

// Returns the planner's rate table, derived from the same profiles.
RoleRatesTable MeasuredRates();

// One attempt on an engine.
struct EngineJob {
  size_t host = 0;
  AttemptId attempt = 0;
  Request request;
  int64_t output_tokens = 0;  // tokens actually generated
  int64_t resume_from = 0;
  bool kills = false;  // crashes the engine at the end of its prefill
  double remaining_prompt_tokens = 0;
  int64_t cached_tokens = 0;
  double generated = 0;
  bool prefilling = false;
  bool reported_first = false;
  int64_t reported = 0;  // tokens already reported
};

// Progress or end of a job in one step.
struct EngineEvent {
  enum class Kind { kProgress, kDone, kEngineCrash };

  Kind kind = Kind::kProgress;
  size_t host = 0;
  AttemptId attempt = 0;
  RequestId request;
  int64_t generated = 0;  // kProgress: since the last event; kDone: total
  int64_t cached_tokens = 0;
};

// One engine, or one runner of the plain service.
class BenchEngine {
 public:
  explicit BenchEngine(Endpoint endpoint);

  // Accepts a job; returns false while the engine is draining.
  bool Submit(const EngineJob& job);
  void Cancel(size_t host, AttemptId attempt);

  // Returns the attempts of a host that run or wait here.
  std::vector<AttemptId> AttemptsOf(size_t host) const;

  // Advances by `seconds` and returns the events in that time.
  std::vector<EngineEvent> Step(double seconds);

  // Stops the engine; returns the jobs that ran or waited here.
  std::vector<EngineJob> Crash();
  void Start(EndpointRole role);
  void Drain() { this->draining = true; }

  bool Up() const { return this->up; }
  bool Draining() const { return this->draining; }
  bool Idle() const { return this->waiting.empty() && this->decoding.empty(); }
  int64_t Jobs() const {
    return static_cast<int64_t>(this->waiting.size() + this->decoding.size());
  }
  int64_t Capacity() const { return this->Profile().capacity; }
  EndpointRole Role() const { return this->role; }
  const Endpoint& Identity() const { return this->endpoint; }

  LoadReport Report();
  CacheEvent TakeCacheEvent(bool snapshot);

 private:
  const EngineProfile& Profile() const { return ProfileOf(this->role); }
  void Prefill(double seconds, std::vector<EngineEvent>& events);
  void Decode(double seconds, std::vector<EngineEvent>& events);
  int64_t Cached(const EngineJob& job);
  void InsertCachedPiece(uint64_t piece);
  std::list<EngineJob>::iterator NextPrompt();

  Endpoint endpoint;
  EndpointRole role;
  bool up = true;
  bool draining = false;
  uint64_t incarnation = 1;
  int64_t report_sequence = 0;
  int64_t event_sequence = 0;
  std::list<EngineJob> waiting;
  std::list<EngineJob> decoding;
  std::list<uint64_t> recent;  // prefix pieces, most recently used first
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> pieces;
  std::vector<uint64_t> added;
  std::vector<uint64_t> removed;
};

}  // namespace hickorystand
