#include "policy_engine.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace hickorystand {
namespace {

constexpr size_t kCachePieces = 4000;
constexpr int64_t kProgressEvery = 16;  // tokens between two progress events

// Fixed independently of the policies under test, so that no policy is
// favoured.
const std::map<EndpointRole, EngineProfile> kProfiles = {
    {EndpointRole::kMixed, {6000, 0.03, 16, 0.5}},
    {EndpointRole::kPrefill, {10000, 0.03, 12, 0.7}},
    {EndpointRole::kDecode, {3000, 0.03, 32, 0.3}},
    {EndpointRole::kPlain, {400, 0.001, 4, 0.9}},
};

}  // namespace

const EngineProfile& ProfileOf(EndpointRole role) {
  return kProfiles.at(role);
}

RoleRatesTable MeasuredRates() {
  RoleRatesTable rates;
  for (const auto& [role, profile] : kProfiles) {
    if (role != EndpointRole::kPlain) {
      rates[role] = {
          profile.prefill_rate,
          static_cast<double>(profile.capacity) / profile.token_seconds,
          profile.prefill_share};
    }
  }
  return rates;
}

BenchEngine::BenchEngine(Endpoint endpoint)
    : endpoint(std::move(endpoint)), role(this->endpoint.role) {}

bool BenchEngine::Submit(const EngineJob& job) {
  assert(this->up && "job submitted to a stopped engine");
  if (this->draining) {
    return false;
  }
  this->waiting.push_back(job);
  return true;
}

void BenchEngine::Cancel(size_t host, AttemptId attempt) {
  const auto matches = [&](const EngineJob& job) {
    return job.host == host && job.attempt == attempt;
  };
  this->waiting.remove_if(matches);
  this->decoding.remove_if(matches);
}

std::vector<AttemptId> BenchEngine::AttemptsOf(size_t host) const {
  std::vector<AttemptId> attempts;
  for (const auto* jobs : {&this->waiting, &this->decoding}) {
    for (const EngineJob& job : *jobs) {
      if (job.host == host) {
        attempts.push_back(job.attempt);
      }
    }
  }
  return attempts;
}

std::vector<EngineEvent> BenchEngine::Step(double seconds) {
  std::vector<EngineEvent> events;
  if (!this->up || this->Idle()) {
    return events;
  }
  const bool prompts =
      !this->waiting.empty() &&
      static_cast<int64_t>(this->decoding.size()) < this->Profile().capacity;
  const bool answers = !this->decoding.empty();
  const double share = this->Profile().prefill_share;
  const double for_prompts = !prompts ? 0 : (answers ? share : 1);
  this->Decode(seconds * (1 - for_prompts), events);
  this->Prefill(seconds * for_prompts, events);
  return events;
}

// Returns the prompt already being prefilled, else the oldest interactive one,
// else the oldest.
std::list<EngineJob>::iterator BenchEngine::NextPrompt() {
  const auto begun =
      std::ranges::find(this->waiting, true, &EngineJob::prefilling);
  if (begun != this->waiting.end()) {
    return begun;
  }
  const auto urgent =
      std::ranges::find_if(this->waiting, [](const EngineJob& job) {
        return job.request.request_class != RequestClass::kBatch;
      });
  return urgent != this->waiting.end() ? urgent : this->waiting.begin();
}

void BenchEngine::Prefill(double seconds, std::vector<EngineEvent>& events) {
  while (seconds > 0 && !this->waiting.empty() &&
         static_cast<int64_t>(this->decoding.size()) <
             this->Profile().capacity) {
    const auto job = this->NextPrompt();
    if (!job->prefilling) {
      job->prefilling = true;
      job->cached_tokens = this->Cached(*job);
      job->remaining_prompt_tokens = static_cast<double>(
          job->request.prompt_tokens - job->cached_tokens + job->resume_from);
    }
    const double done = std::min(job->remaining_prompt_tokens,
                                 seconds * this->Profile().prefill_rate);
    job->remaining_prompt_tokens -= done;
    seconds -= done / this->Profile().prefill_rate;
    if (job->remaining_prompt_tokens > 1e-6) {
      return;
    }
    if (job->kills) {
      events.push_back({EngineEvent::Kind::kEngineCrash, job->host,
                        job->attempt, job->request.id, 0, 0});
      return;
    }
    for (const uint64_t piece : job->request.prefix_hashes) {
      this->InsertCachedPiece(piece);
    }
    job->generated = 1;
    job->reported = 1;
    events.push_back({EngineEvent::Kind::kProgress, job->host, job->attempt,
                      job->request.id, 1, 0});
    this->decoding.splice(this->decoding.end(), this->waiting, job);
  }
}

void BenchEngine::Decode(double seconds, std::vector<EngineEvent>& events) {
  const double tokens = seconds / this->Profile().token_seconds;
  for (auto job = this->decoding.begin(); job != this->decoding.end();) {
    job->generated += tokens;
    const auto left =
        static_cast<double>(job->output_tokens - job->resume_from);
    if (job->generated >= left) {
      events.push_back(
          {EngineEvent::Kind::kDone, job->host, job->attempt, job->request.id,
           std::max<int64_t>(1, std::llround(left)), job->cached_tokens});
      job = this->decoding.erase(job);
      continue;
    }
    const int64_t more = static_cast<int64_t>(job->generated) - job->reported;
    if (more >= kProgressEvery) {
      job->reported += more;
      events.push_back({EngineEvent::Kind::kProgress, job->host, job->attempt,
                        job->request.id, more, 0});
    }
    ++job;
  }
}

std::vector<EngineJob> BenchEngine::Crash() {
  std::vector<EngineJob> lost(this->waiting.begin(), this->waiting.end());
  lost.insert(lost.end(), this->decoding.begin(), this->decoding.end());
  this->waiting.clear();
  this->decoding.clear();
  this->up = false;
  return lost;
}

void BenchEngine::Start(EndpointRole role) {
  assert(this->Idle() && "an engine starts empty");
  this->role = role;
  this->up = true;
  this->draining = false;
  this->incarnation += 1;
  this->report_sequence = 0;
  this->event_sequence = 0;
  this->recent.clear();
  this->pieces.clear();
  this->added.clear();
  this->removed.clear();
}

int64_t BenchEngine::Cached(const EngineJob& job) {
  const auto& hashes = job.request.prefix_hashes;
  const auto miss = std::ranges::find_if(
      hashes, [this](uint64_t piece) { return !this->pieces.contains(piece); });
  return hashes.empty() ? 0
                        : job.request.prompt_tokens * (miss - hashes.begin()) /
                              static_cast<int64_t>(hashes.size());
}

void BenchEngine::InsertCachedPiece(uint64_t piece) {
  const auto found = this->pieces.find(piece);
  if (found != this->pieces.end()) {
    this->recent.splice(this->recent.begin(), this->recent, found->second);
    return;
  }
  this->recent.push_front(piece);
  this->pieces[piece] = this->recent.begin();
  this->added.push_back(piece);
  if (this->pieces.size() > kCachePieces) {
    this->removed.push_back(this->recent.back());
    this->pieces.erase(this->recent.back());
    this->recent.pop_back();
  }
}

LoadReport BenchEngine::Report() {
  const EngineProfile& profile = this->Profile();
  double queued = 0;
  for (const EngineJob& job : this->waiting) {
    queued += job.prefilling ? job.remaining_prompt_tokens
                             : static_cast<double>(job.request.prompt_tokens);
  }
  return {.endpoint = this->endpoint.id,
          .incarnation = this->incarnation,
          .sequence = ++this->report_sequence,
          .role = this->role,
          .leaving = this->draining,
          .queued_prompt_tokens = std::llround(queued),
          .running = this->Jobs(),
          .capacity = profile.capacity,
          .prefill_rate = profile.prefill_rate *
                          (this->decoding.empty() ? 1 : profile.prefill_share),
          .decode_rate =
              static_cast<double>(profile.capacity) / profile.token_seconds,
          .cache_pieces = static_cast<int64_t>(kCachePieces),
          .cache_pieces_used = static_cast<int64_t>(this->pieces.size())};
}

CacheEvent BenchEngine::TakeCacheEvent(bool snapshot) {
  CacheEvent event{.endpoint = this->endpoint.id,
                   .incarnation = this->incarnation,
                   .sequence = ++this->event_sequence,
                   .snapshot = snapshot,
                   .added = std::exchange(this->added, {}),
                   .removed = std::exchange(this->removed, {})};
  if (snapshot) {
    event.added.assign(this->recent.begin(), this->recent.end());
    event.removed.clear();
  }
  return event;
}

}  // namespace hickorystand
