// A fake engine in virtual time: continuous batching, a prefix cache, roles,
// drains and crashes, in as few lines as show what the policies must handle.
//
// Prompts are computed one at a time and share the engine's time with decoding;
// the role sets how time and memory are divided. A prompt-leaning engine
// computes prompts faster and holds fewer answers; an answer-leaning one the
// other way round.

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

// What a role makes of an engine.
struct EngineProfile {
  double prefill_rate = 0;   // prompt tokens a second, alone
  double token_seconds = 0;  // between two tokens of one answer, alone
  int64_t capacity = 0;      // answers at once
  double prefill_share = 0;  // of the time while both kinds of work wait

  bool operator==(const EngineProfile&) const = default;
};

const EngineProfile& ProfileOf(EndpointRole role);

// The planner's table, from the same profiles.
RoleRatesTable MeasuredRates();

// One attempt on an engine.
struct EngineJob {
  size_t host = 0;
  AttemptId attempt = 0;
  Request request;
  int64_t output_tokens = 0;  // what it really generates
  int64_t resume_from = 0;
  bool kills = false;  // crashes the engine at the end of its prompt
  double prompt_left = 0;
  int64_t cached_tokens = 0;
  double generated = 0;
  bool prefilling = false;
  bool reported_first = false;
  int64_t reported = 0;  // tokens told of
};

// What became of a job in one step.
struct EngineEvent {
  enum class Kind { kProgress, kDone, kKilled };

  Kind kind = Kind::kProgress;
  size_t host = 0;
  AttemptId attempt = 0;
  RequestId request;
  int64_t generated = 0;  // kProgress: since the last one; kDone: in all
  int64_t cached_tokens = 0;
};

// One engine or plain runner.
class BenchEngine {
 public:
  explicit BenchEngine(Endpoint endpoint);

  // Takes a job; false if it refuses because it drains.
  bool Submit(const EngineJob& job);
  void Cancel(size_t host, AttemptId attempt);

  // What a host has running or waiting here.
  std::vector<AttemptId> AttemptsOf(size_t host) const;

  // Works for so long.
  std::vector<EngineEvent> Step(double seconds);

  // Dies; answers the jobs that ran or waited here.
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
  void Remember(uint64_t piece);
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
  std::list<uint64_t> recent;  // prefix pieces, last used first
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> pieces;
  std::vector<uint64_t> added;
  std::vector<uint64_t> removed;
};

}  // namespace hickorystand
