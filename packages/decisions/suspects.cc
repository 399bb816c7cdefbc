#include "decisions/suspects.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cmath>
#include <cstdio>
#include <iterator>
#include <limits>
#include <ranges>
#include <tuple>
#include <utility>

namespace hickorystand {
namespace {

constexpr size_t kPeers = 1024;
constexpr size_t kMaxParts = 32;

// A crash counts for two half crashes, or for one if the cause is less likely
// to have caused it.
constexpr int64_t kWholeCrash = 2;
constexpr int64_t kHalfCrash = 1;

// With fewer runs than this, the share of lost runs is unknown.
constexpr int64_t kMinCompared = 5;

// Crashes needed for a part while that share is unknown, as a multiple.
constexpr int64_t kUnknownShareFactor = 4;

// Greatest probability that crashes have a part by chance, since many runs do,
// at which it stands out.
constexpr double kCommonPart = 0.2;

// More crashes than are ever kept: nothing is blocked.
constexpr int64_t kNever = std::numeric_limits<int32_t>::max();

// Crashes beyond those of a block that make a cause strong: its crashes don't
// show how often runs without a cause are lost.
constexpr int64_t kStrongCrashes = 2;

// That holds while at least so many runs go well for each that is lost.
constexpr int64_t kMinAnswersPerLoss = 2;

// A repeated request is a likelier cause than a part that many requests share.
constexpr double kRequestChanceFactor = 1000;

// Requests with a part that must have been lost before the part is blocked.
constexpr size_t kMinRequestsOfPart = 2;
constexpr size_t kMinAccountsOfPart = 2;

// The finalizer of SplitMix64.
uint64_t Mix(uint64_t value) {
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
  return value ^ (value >> 31U);
}

CrashCause Request(uint64_t fingerprint) {
  return {.kind = CauseKind::kRequest, .hash = fingerprint};
}

CrashCause Part(uint64_t hash) {
  return {.kind = CauseKind::kPart, .hash = hash};
}

// The part in the prompts of any account.
CrashCause WithoutAccount(const CrashCause& cause) {
  return cause.kind == CauseKind::kRequest ? cause : Part(cause.hash);
}

bool IsPart(const CrashCause& cause) {
  return cause.kind != CauseKind::kRequest;
}

// The causes for which a request may be refused.
std::vector<CrashCause> CausesOf(const RequestTraits& request) {
  std::vector<CrashCause> all{Request(request.fingerprint)};
  for (const uint64_t part : request.parts) {
    all.push_back(Part(part));
    all.push_back({.kind = CauseKind::kAccountPart,
                   .hash = part,
                   .account = request.account});
  }
  return all;
}

Duration Between(Instant a, Instant b) {
  return std::max(a, b) - std::min(a, b);
}

template <typename List>
int64_t SumOf(const List& counted) {
  int64_t sum = 0;
  for (const auto& one : counted) {
    sum += one.half_crashes;
  }
  return sum;
}

}  // namespace

std::string FingerprintText(uint64_t fingerprint) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64, fingerprint);
  return text.data();
}

std::vector<uint64_t> LimitParts(std::vector<uint64_t> parts,
                                 uint64_t account) {
  if (parts.size() > kMaxParts) {
    parts.resize(kMaxParts - 1);
    parts.push_back(Mix(account + kMaxParts));
  }
  return parts;
}

Suspects::Suspects(const SuspectsOptions& options) : options(options) {}

// --- Crashes ----------------------------------------------------------------

void Suspects::OnCrash(Instant now,
                       const CrashedEndpoint& crash,
                       const std::vector<LostRun>& runs) {
  this->Expire(now);
  if (!this->Merge(crash, now, runs, true)) {
    return;
  }
  auto news = std::ranges::find(this->new_crashes, crash, &NewCrash::crashed);
  if (news == this->new_crashes.end()) {
    news = this->new_crashes.insert(news, {.crashed = crash, .time = now});
  }
  std::ranges::copy(runs, std::back_inserter(news->runs));
  this->Evaluate();
}

void Suspects::Withdraw(Instant now, const std::vector<CrashedEndpoint>& lost) {
  this->Expire(now);
  const auto is_lost = [&lost](const auto& crash) {
    return std::ranges::find(lost, crash.crashed) != lost.end();
  };
  this->RemoveCrashesIf(is_lost);
  std::erase_if(this->new_crashes, is_lost);
  this->Evaluate();
}

bool Suspects::OnAlive(Instant now, const EndpointRun& run, Instant at) {
  this->Expire(now);
  Instant& until = this->alive_until[run];
  until = std::max(until, at - this->options.survival_time);
  const size_t before = this->crashes.size();
  const auto survived = [&](const auto& crash) {
    return crash.crashed.endpoint == run && crash.time <= until;
  };
  this->RemoveCrashesIf(survived);
  std::erase_if(this->new_crashes, survived);
  if (this->crashes.size() == before) {
    return false;
  }
  this->Evaluate();
  return true;
}

std::set<EndpointRun> Suspects::BlockingCrashes(Instant now) const {
  std::set<EndpointRun> found;
  for (const auto& [cause, block] : this->blocks) {
    for (const Crash* crash : this->CrashesWith(cause)) {
      if (crash->time + this->options.survival_time <= now) {
        found.insert(crash->crashed.endpoint);
      }
    }
  }
  return found;
}

Suspects::Crash& Suspects::FindOrAdd(const CrashedEndpoint& crash,
                                     Instant time) {
  auto found = std::ranges::find_if(this->crashes, [&](const auto& known) {
    return known->crashed == crash &&
           Between(known->time, time) <= this->options.crash_window;
  });
  if (found == this->crashes.end()) {
    this->LimitCrashes();
    this->crashes.push_back(
        std::make_unique<Crash>(Crash{.crashed = crash, .time = time}));
    found = std::prev(this->crashes.end());
  }
  Crash& record = **found;
  record.time = std::min(record.time, time);
  std::ranges::sort(this->crashes, {}, [](const auto& one) {
    return std::tie(one->time, one->crashed);
  });
  return record;
}

// Makes room for another crash. Crashes of blocked causes are kept longer.
void Suspects::LimitCrashes() {
  while (this->crashes.size() >= this->options.max_crashes) {
    const auto unblocked =
        std::ranges::find_if(this->crashes, [this](const auto& crash) {
          return std::ranges::none_of(this->blocks, [&](const auto& block) {
            return Find(*crash, block.first) != nullptr;
          });
        });
    this->RemoveCrash(unblocked == this->crashes.end()
                          ? 0
                          : static_cast<size_t>(std::distance(
                                this->crashes.begin(), unblocked)));
  }
}

// Returns whether any of the runs is new to the crash. A request counts once
// for each endpoint run, however often connections to it break.
bool Suspects::Merge(const CrashedEndpoint& crash,
                     Instant time,
                     const std::vector<LostRun>& runs,
                     bool own) {
  if (const auto known = this->alive_until.find(crash.endpoint);
      known != this->alive_until.end() && time <= known->second) {
    return false;
  }
  std::vector<LostRun> added;
  std::ranges::copy_if(
      runs, std::back_inserter(added), [&](const LostRun& run) {
        return run.request.fingerprint == 0 ||
               std::ranges::none_of(this->crashes, [&](const auto& known) {
                 return known->crashed == crash &&
                        known->runs.contains(run.request.fingerprint);
               });
      });
  if (added.empty()) {
    return false;
  }
  Crash& record = this->FindOrAdd(crash, time);
  bool any = false;
  for (const LostRun& run : added) {
    any = this->AddRun(record, run) || any;
    if (own && !run.answering) {
      record.own.insert(run.request.fingerprint);
    }
  }
  return any;
}

// Whether another crash has the request or one of its parts, too.
bool Suspects::Recurs(const LostRun& run) const {
  const auto recurs = [this](const CrashCause& cause) {
    const auto found = this->mentions.find(cause);
    return found != this->mentions.end() && found->second.size() > 1;
  };
  return recurs(Request(run.request.fingerprint)) ||
         (!run.answering &&
          std::ranges::any_of(run.request.parts, [&](uint64_t part) {
            return recurs(Part(part));
          }));
}

// Drops another run of a full record, or returns false if this one is to be
// dropped. Which of many runs are kept doesn't depend on their order, so that
// no caller can push out others by being first.
bool Suspects::MakeRoom(Crash& record, const LostRun& run) {
  const auto parts = [](const Crash& crash) {
    size_t sum = 0;
    for (const auto& [fingerprint, one] : crash.runs) {
      sum += one.answering ? 0 : one.request.parts.size();
    }
    return sum;
  };
  const size_t more = run.answering ? 0 : run.request.parts.size();
  const auto rank = [this, &record](const LostRun& one) {
    return std::tuple(
        this->Recurs(one), !one.answering,
        Mix(one.request.fingerprint ^
            static_cast<uint64_t>(record.crashed.endpoint.started)));
  };
  while (record.runs.size() >= this->options.max_requests_per_crash ||
         parts(record) + more > this->options.max_parts_per_crash) {
    if (record.runs.empty()) {
      return false;
    }
    const auto least = std::ranges::min_element(
        record.runs, {}, [&](const auto& entry) { return rank(entry.second); });
    if (rank(run) < rank(least->second)) {
      return false;
    }
    record.runs.erase(least);
    this->Reindex(record);
  }
  return true;
}

bool Suspects::AddRun(Crash& record, const LostRun& run) {
  if (!this->MakeRoom(record, run)) {
    return false;
  }
  // Runs of unknown requests are told apart by the part.
  const uint64_t key = run.request.fingerprint != 0 || run.request.parts.empty()
                           ? run.request.fingerprint
                           : run.request.parts.front() ^ run.request.account;
  record.runs.insert_or_assign(key, run);
  this->Index(record, run);
  return true;
}

void Suspects::Index(Crash& record, const LostRun& run) {
  const auto involve = [&](const CrashCause& cause) -> Involvement& {
    const auto [at, added] = record.causes.try_emplace(cause);
    if (added) {
      this->Mention(cause, record);
    }
    at->second.sent = std::max(at->second.sent, run.sent);
    at->second.answering = at->second.answering && run.answering;
    return at->second;
  };
  if (run.request.fingerprint != 0) {
    involve(Request(run.request.fingerprint));
  }
  if (run.answering) {
    return;
  }
  size_t position = 0;
  for (const uint64_t part : run.request.parts) {
    Involvement& involved = involve(Part(part));
    involved.position = ++position;
    involved.accounts.insert(run.request.account);
    if (run.request.fingerprint != 0) {
      involved.requests.insert(run.request.fingerprint);
    }
  }
}

void Suspects::Reindex(Crash& record) {
  for (const auto& [cause, involved] : std::exchange(record.causes, {})) {
    this->Unmention(cause, record);
  }
  for (const auto& [fingerprint, run] : record.runs) {
    this->Index(record, run);
  }
}

void Suspects::Mention(const CrashCause& cause, Crash& record) {
  std::vector<Crash*>& list = this->mentions[cause];
  list.push_back(&record);
  if (static_cast<int64_t>(list.size()) >= this->options.block_after_crashes) {
    this->frequent.insert(cause);
  }
}

void Suspects::Unmention(const CrashCause& cause, const Crash& record) {
  const auto at = this->mentions.find(cause);
  std::erase(at->second, &record);
  if (static_cast<int64_t>(at->second.size()) <
      this->options.block_after_crashes) {
    this->frequent.erase(cause);
  }
  if (at->second.empty()) {
    this->mentions.erase(at);
  }
}

void Suspects::RemoveCrash(size_t index) {
  Crash& crash = *this->crashes[index];
  crash.runs.clear();
  this->Reindex(crash);
  this->crashes.erase(this->crashes.begin() +
                      static_cast<std::ptrdiff_t>(index));
}

template <typename Condition>
void Suspects::RemoveCrashesIf(Condition condition) {
  for (size_t i = this->crashes.size(); i > 0; --i) {
    if (condition(*this->crashes[i - 1])) {
      this->RemoveCrash(i - 1);
    }
  }
}

void Suspects::Expire(Instant now) {
  this->now = std::max(this->now, now);
  const Instant oldest = now - this->options.retention;
  this->RemoveCrashesIf(
      [oldest](const Crash& crash) { return crash.time < oldest; });
  std::erase_if(this->answered, [oldest](const auto& entry) {
    return entry.second.sent < oldest;
  });
  std::erase_if(this->alive_until,
                [oldest](const auto& entry) { return entry.second < oldest; });
}

// --- Answers ----------------------------------------------------------------

bool Suspects::OnBegun(Instant now,
                       const RequestTraits& request,
                       Instant sent) {
  this->Expire(now);
  if (request.parts.empty()) {
    return false;  // of another service, mostly: no comparison
  }
  ++this->begun;
  this->went_well.push_back(sent);
  if (this->went_well.size() > this->options.max_compared) {
    this->went_well.pop_front();
  }
  bool suspected = false;
  for (const uint64_t part : request.parts) {
    suspected = this->RecordAnswer(Part(part), sent) || suspected;
    ++this->answered[Part(part)].count;
  }
  this->LimitAnswers();
  if (suspected) {
    this->Evaluate();
  }
  return suspected;
}

bool Suspects::OnAnswered(Instant now,
                          const RequestTraits& request,
                          Instant sent) {
  const CrashCause cause = Request(request.fingerprint);
  if (!this->IsMentioned(cause)) {
    return false;
  }
  this->Expire(now);
  this->RecordAnswer(cause, sent);
  this->LimitAnswers();
  this->Evaluate();
  return true;
}

// Records a run of this host that went well. Returns whether it clears the
// cause of a crash.
bool Suspects::RecordAnswer(const CrashCause& cause, Instant sent) {
  const bool clears = this->MergeAnswer(cause, sent);
  if (clears) {
    this->new_answers.insert(cause);
  }
  return clears;
}

// Returns whether the answer clears the cause of a crash.
bool Suspects::MergeAnswer(const CrashCause& cause, Instant sent) {
  const auto mentioned = this->mentions.find(cause);
  const bool clears =
      mentioned != this->mentions.end() &&
      std::ranges::any_of(mentioned->second, [&](const Crash* crash) {
        return crash->time <= sent && !this->IsCleared(cause, crash->time);
      });
  Answers& known = this->answered[cause];
  known.sent = std::max(known.sent, sent);
  return clears;
}

// Drops the oldest answers beyond the maximum, first those that say nothing of
// a crash.
void Suspects::LimitAnswers() {
  if (this->answered.size() <= this->options.max_answered) {
    return;
  }
  std::vector<std::tuple<bool, Instant, CrashCause>> all;
  std::ranges::transform(this->answered, std::back_inserter(all),
                         [this](const auto& entry) {
                           return std::tuple(this->IsMentioned(entry.first),
                                             entry.second.sent, entry.first);
                         });
  const size_t dropped = all.size() - this->options.max_answered * 3 / 4;
  std::ranges::nth_element(all,
                           all.begin() + static_cast<std::ptrdiff_t>(dropped));
  for (const auto& [mentioned, sent, cause] : all | std::views::take(dropped)) {
    this->answered.erase(cause);
  }
}

bool Suspects::IsMentioned(const CrashCause& cause) const {
  return this->mentions.contains(WithoutAccount(cause));
}

// The crashes that count against a cause unless another one explains them,
// oldest first.
std::vector<const Suspects::Crash*> Suspects::CrashesWith(
    const CrashCause& cause) const {
  std::vector<const Crash*> found;
  const auto at = this->mentions.find(WithoutAccount(cause));
  if (at != this->mentions.end()) {
    std::ranges::copy_if(at->second, std::back_inserter(found),
                         [&](const Crash* crash) {
                           return Find(*crash, cause) != nullptr &&
                                  !this->IsCleared(cause, crash->time);
                         });
  }
  std::ranges::sort(found, {}, [](const Crash* crash) {
    return std::tie(crash->time, crash->crashed);
  });
  return found;
}

bool Suspects::IsCleared(const CrashCause& cause, Instant crash) const {
  const auto found = this->answered.find(WithoutAccount(cause));
  return found != this->answered.end() && found->second.sent >= crash;
}

int64_t Suspects::AnswersOf(const CrashCause& cause) const {
  const auto found = this->answered.find(WithoutAccount(cause));
  return found == this->answered.end() ? 0 : found->second.count;
}

// --- Messages ---------------------------------------------------------------

void Suspects::OnUpdate(Instant now, const SuspectsUpdate& update) {
  this->Expire(now);
  const auto fresh = [this](const auto& report) {
    return report.age >= Duration{} && report.age < this->options.retention;
  };
  for (const CrashReport& one : update.crashes | std::views::filter(fresh)) {
    const Instant time = now - one.age;
    std::vector<LostRun> runs;
    std::ranges::transform(one.runs, std::back_inserter(runs),
                           [time](const CrashReport::Run& run) {
                             return LostRun{.request = run.request,
                                            .sent = time - run.before,
                                            .answering = run.answering};
                           });
    this->Merge(one.crash, time, runs, false);
  }
  for (const AnswerReport& one : update.answers | std::views::filter(fresh)) {
    this->MergeAnswer(one.cause, now - one.age);
  }
  this->LimitAnswers();
  for (const BlockReport& one : update.blocks) {
    if (!this->blocks.contains(one.cause)) {
      this->AddBlock(one.cause, {one.parts.begin(), one.parts.end()});
    }
  }
  this->Evaluate();
}

CrashReport Suspects::ReportOf(const CrashedEndpoint& crashed,
                               Instant time,
                               const std::vector<LostRun>& runs) const {
  CrashReport report{.crash = crashed, .age = this->now - time};
  std::ranges::transform(runs, std::back_inserter(report.runs),
                         [time](const LostRun& run) {
                           return CrashReport::Run{.request = run.request,
                                                   .before = time - run.sent,
                                                   .answering = run.answering};
                         });
  return report;
}

SuspectsUpdate Suspects::TakeUpdate(Instant now) {
  this->now = std::max(this->now, now);
  SuspectsUpdate update;
  for (const NewCrash& crash : std::exchange(this->new_crashes, {})) {
    update.crashes.push_back(
        this->ReportOf(crash.crashed, crash.time, crash.runs));
  }
  for (const CrashCause& cause : std::exchange(this->new_answers, {})) {
    if (const auto found = this->answered.find(cause);
        found != this->answered.end()) {
      update.answers.push_back(
          {.cause = cause, .age = now - found->second.sent});
    }
  }
  for (const CrashCause& cause : std::exchange(this->new_blocks, {})) {
    if (const auto found = this->blocks.find(cause);
        found != this->blocks.end()) {
      update.blocks.push_back(
          {.cause = cause,
           .parts = {found->second.parts.begin(), found->second.parts.end()}});
    }
  }
  return update;
}

SuspectsUpdate Suspects::Snapshot(Instant now) const {
  SuspectsUpdate update;
  for (const auto& crash : this->crashes) {
    std::vector<LostRun> runs;
    std::ranges::copy(crash->runs | std::views::values,
                      std::back_inserter(runs));
    update.crashes.push_back(this->ReportOf(crash->crashed, crash->time, runs));
    update.crashes.back().age = now - crash->time;
  }
  for (const auto& [cause, answer] : this->answered) {
    if (this->IsMentioned(cause)) {
      update.answers.push_back({.cause = cause, .age = now - answer.sent});
    }
  }
  for (const auto& [cause, block] : this->blocks) {
    update.blocks.push_back(
        {.cause = cause, .parts = {block.parts.begin(), block.parts.end()}});
  }
  return update;
}

SuspectsUpdate Suspects::BlocksOnly(Instant now) const {
  SuspectsUpdate update;
  for (const auto& crash : this->crashes) {
    CrashReport report{.crash = crash->crashed, .age = now - crash->time};
    for (const auto& [cause, block] : this->blocks) {
      const Involvement* involved = Find(*crash, cause);
      if (involved == nullptr || this->IsCleared(cause, crash->time)) {
        continue;
      }
      CrashReport::Run run{.before = crash->time - involved->sent,
                           .answering = involved->answering};
      if (!IsPart(cause)) {
        run.request.fingerprint = cause.hash;
        report.runs.push_back(run);
        continue;
      }
      run.request.parts = {cause.hash};
      for (const uint64_t account : involved->accounts) {
        run.request.account = account;
        report.runs.push_back(run);
      }
    }
    if (!report.runs.empty()) {
      update.crashes.push_back(std::move(report));
    }
  }
  for (const auto& [cause, block] : this->blocks) {
    update.blocks.push_back(
        {.cause = cause, .parts = {block.parts.begin(), block.parts.end()}});
  }
  return update;
}

void Suspects::OnPeer(Instant now,
                      const HostId& host,
                      const std::vector<Suspicion>& suspicions) {
  if (this->peers.size() >= kPeers && !this->peers.contains(host)) {
    return;
  }
  auto& entries = this->peers[host];
  entries.clear();
  for (const Suspicion& suspicion :
       suspicions | std::views::take(this->options.max_in_digest)) {
    entries[suspicion.fingerprint] = {suspicion.crashes, now};
  }
}

std::vector<Suspicion> Suspects::Own() const {
  std::vector<Suspicion> all;
  for (const auto& [cause, list] : this->mentions) {
    const int64_t halves = this->CountOf(cause).unexplained;
    const bool told = !IsPart(cause) || this->blocks.contains(cause);
    if (told && halves >= kWholeCrash) {
      all.push_back({cause.hash, halves / kWholeCrash});
    }
  }
  std::ranges::sort(all, [](const Suspicion& a, const Suspicion& b) {
    return std::pair(b.crashes, a.fingerprint) <
           std::pair(a.crashes, b.fingerprint);
  });
  all.resize(std::min(all.size(), this->options.max_in_digest));
  return all;
}

// --- Queries ----------------------------------------------------------------

int64_t Suspects::CrashesOf(Instant now, const CrashCause& cause) const {
  const Instant oldest = now - this->options.retention;
  EvidenceList counted = this->EvidenceOf(cause);
  const std::vector<CrashCause> explanations =
      this->blocks.contains(cause) ? std::vector<CrashCause>()
                                   : this->ExplanationsOf(cause);
  std::erase_if(counted, [&](const Evidence& one) {
    return one.crash->time < oldest ||
           std::ranges::any_of(
               explanations,
               [&](const CrashCause& blocked) {
                 return Find(*one.crash, blocked) != nullptr;
               });
  });
  return SumOf(counted) / kWholeCrash;
}

int64_t Suspects::Crashes(Instant now, uint64_t fingerprint) const {
  int64_t sum = this->CrashesOf(now, Request(fingerprint));
  for (const auto& [host, entries] : this->peers) {
    const auto found = entries.find(fingerprint);
    const bool fresh = found != entries.end() &&
                       now - found->second.seen <= this->options.retention;
    sum += fresh ? found->second.crashes : 0;
  }
  return sum;
}

bool Suspects::IsSuspected(Instant now, uint64_t fingerprint) const {
  return this->Crashes(now, fingerprint) > 0;
}

bool Suspects::IsBlocked(Instant now, const RequestTraits& request) const {
  const int64_t limit = this->options.block_after_crashes;
  const auto told = [&](uint64_t hash) {
    return !this->peers.empty() && this->Crashes(now, hash) >= limit;
  };
  return this->FindBlock(now, request).has_value() ||
         told(request.fingerprint) || std::ranges::any_of(request.parts, told);
}

std::optional<RequestBlock> Suspects::FindBlock(
    Instant now,
    const RequestTraits& request) const {
  if (this->blocks.empty()) {
    return {};
  }
  for (const CrashCause& cause : CausesOf(request)) {
    if (const auto block = this->FindBlock(now, cause)) {
      return block;
    }
  }
  return {};
}

std::optional<RequestBlock> Suspects::FindBlock(Instant now,
                                                const CrashCause& cause) const {
  if (!this->blocks.contains(cause)) {
    return {};
  }
  const Instant oldest = now - this->options.retention;
  const int64_t limit = this->options.block_after_crashes * kWholeCrash;
  std::vector<Evidence> counted;
  for (const Crash* crash : this->CrashesWith(cause)) {
    if (crash->time >= oldest) {
      counted.push_back({.crash = crash,
                         .half_crashes = Find(*crash, cause)->answering
                                             ? kHalfCrash
                                             : kWholeCrash});
    }
  }
  int64_t left = SumOf(counted);
  if (left < limit) {
    return {};
  }
  RequestBlock block{.cause = cause};
  Instant end{};
  for (const auto& [crash, half_crashes] : counted) {
    block.crashed.push_back(crash->crashed.endpoint);
    block.newest_age = now - crash->time;
    left -= half_crashes;
    // The oldest crash whose expiry leaves too few ends the block.
    if (left < limit && end == Instant{}) {
      end = crash->time + this->options.retention;
    }
  }
  block.remaining = end - now;
  return block;
}

std::set<CrashCause> Suspects::Blocked() const {
  std::set<CrashCause> all;
  std::ranges::transform(this->blocks, std::inserter(all, all.end()),
                         [](const auto& entry) { return entry.first; });
  return all;
}

// --- Causes -----------------------------------------------------------------

const Suspects::Involvement* Suspects::Find(const Crash& crash,
                                            const CrashCause& cause) {
  const auto found = crash.causes.find(WithoutAccount(cause));
  const bool involved = found != crash.causes.end() &&
                        (cause.kind != CauseKind::kAccountPart ||
                         found->second.accounts.contains(cause.account));
  return involved ? &found->second : nullptr;
}

// Whether another endpoint of the zone crashed at the same time without the
// cause, which then can't have caused both crashes.
bool Suspects::IsSimultaneous(const Crash& crash,
                              const CrashCause& cause) const {
  const auto time_of = [](const auto& one) { return one->time; };
  const auto first = std::ranges::lower_bound(
      this->crashes, crash.time - this->options.zone_loss_window, {}, time_of);
  const auto last = std::ranges::upper_bound(
      this->crashes, crash.time + this->options.zone_loss_window, {}, time_of);
  return !crash.crashed.zone.Empty() &&
         std::any_of(first, last, [&](const auto& other) {
           return other->crashed.zone == crash.crashed.zone &&
                  other->crashed.endpoint != crash.crashed.endpoint &&
                  Find(*other, cause) == nullptr;
         });
}

// The crashes that count against a cause, oldest first.
Suspects::EvidenceList Suspects::EvidenceOf(const CrashCause& cause) const {
  EvidenceList counted;
  for (const Crash* crash : this->CrashesWith(cause)) {
    const Involvement* involved = Find(*crash, cause);
    if (!counted.empty()) {
      const Instant last = counted.back().crash->time;
      if (crash->time - last <= this->options.event_window &&
          involved->sent < last) {
        continue;
      }
    }
    const bool half =
        involved->answering || this->IsSimultaneous(*crash, cause);
    counted.push_back(
        {.crash = crash, .half_crashes = half ? kHalfCrash : kWholeCrash});
  }
  return counted;
}

// How likely a part is the cause of crashes that have several: by its crashes,
// by how few runs have had it, and by its position in the prompt. Other
// requests share the parts before it, but not the ones behind it.
Suspects::Likelihood Suspects::LikelihoodOf(const CrashCause& part) const {
  const std::vector<const Crash*> found = this->CrashesWith(part);
  return {this->RawHalfCrashes(part), -this->AnswersOf(part),
          found.empty() ? 0 : Find(*found.back(), part)->position, part};
}

// Whether a blocked cause accounts for crashes that it has in common with
// another one, so that they don't count against that. A blocked request says
// nothing about the parts of its prompt, and a part that is blocked for an
// account nothing about the part itself.
bool Suspects::Explains(const CrashCause& blocked,
                        const Block& block,
                        const CrashCause& cause) const {
  if (blocked == cause || !IsPart(cause)) {
    return blocked != cause;
  }
  if (!IsPart(blocked)) {
    return !block.parts.contains(cause.hash);
  }
  return blocked.hash == cause.hash
             ? blocked.kind == CauseKind::kPart
             : this->LikelihoodOf(blocked) > this->LikelihoodOf(cause);
}

std::vector<CrashCause> Suspects::ExplanationsOf(
    const CrashCause& cause) const {
  std::vector<CrashCause> all;
  for (const auto& [blocked, block] : this->blocks) {
    if (this->Explains(blocked, block, cause)) {
      all.push_back(blocked);
    }
  }
  return all;
}

Suspects::Count Suspects::CountOf(const CrashCause& cause) const {
  Count count;
  const std::vector<CrashCause> explanations = this->ExplanationsOf(cause);
  std::map<CrashCause, int64_t> explaining;
  for (const Evidence& one : this->EvidenceOf(cause)) {
    bool explained = false;
    for (const CrashCause& blocked : explanations) {
      if (Find(*one.crash, blocked) != nullptr) {
        explained = true;
        explaining[blocked] += one.half_crashes;
      }
    }
    count.all += one.half_crashes;
    count.unexplained += explained ? 0 : one.half_crashes;
    const Involvement* involved = Find(*one.crash, cause);
    count.accounts.insert(involved->accounts.begin(), involved->accounts.end());
    count.requests.insert(involved->requests.begin(), involved->requests.end());
  }
  count.exceeds_blocks =
      std::ranges::all_of(explaining, [&](const auto& entry) {
        return SumOf(this->EvidenceOf(entry.first)) < count.all;
      });
  count.has_explanation = std::ranges::any_of(
      explaining, [&](const auto& entry) { return entry.second == count.all; });
  return count;
}

// The crashes that have the cause, however likely it is to have caused them.
int64_t Suspects::RawHalfCrashes(const CrashCause& cause) const {
  int64_t sum = 0;
  for (const Crash* crash : this->CrashesWith(cause)) {
    sum += Find(*crash, cause)->answering ? kHalfCrash : kWholeCrash;
  }
  return sum;
}

int64_t Suspects::WentWell(Instant from, Instant until) const {
  return std::ranges::count_if(this->went_well, [=](Instant sent) {
    return sent >= from && sent <= until;
  });
}

// Causes with so many crashes that they hardly come together by chance.
std::set<CrashCause> Suspects::StrongCauses() const {
  const int64_t least =
      (this->options.block_after_crashes + kStrongCrashes) * kWholeCrash;
  std::set<CrashCause> strong;
  std::ranges::copy_if(this->frequent, std::inserter(strong, strong.end()),
                       [&](const CrashCause& cause) {
                         return this->RawHalfCrashes(cause) >= least &&
                                SumOf(this->EvidenceOf(cause)) >= least;
                       });
  return strong;
}

Suspects::Comparison Suspects::Compare(
    const CrashCause& cause,
    Instant from,
    const std::set<CrashCause>& left_out) const {
  Comparison found;
  std::set<uint64_t> seen;
  for (const auto& crash : this->crashes) {
    const auto in_crash = [&crash](const CrashCause& one) {
      return Find(*crash, one) != nullptr;
    };
    if (crash->time < from - this->options.comparison_window ||
        in_crash(cause)) {
      continue;
    }
    ++found.crashes;
    if (crash->time < from ||
        std::ranges::any_of(this->blocks | std::views::keys, in_crash) ||
        std::ranges::any_of(left_out, in_crash)) {
      continue;
    }
    const size_t before = seen.size();
    seen.insert(crash->own.begin(), crash->own.end());
    found.lost += seen.size() > before ? 1 : 0;
  }
  return found;
}

// So many crashes that lost runs without the cause, as in a wave of crashes
// that no request causes, hardly ever come one after the other by chance.
int64_t Suspects::HalfCrashesNeeded(const CrashCause& cause,
                                    const std::set<CrashCause>& strong) const {
  const int64_t least = this->options.block_after_crashes * kWholeCrash;
  const std::vector<const Crash*> counted = this->CrashesWith(cause);
  if (counted.empty()) {
    return least;
  }
  const Instant from =
      std::max(counted.front()->time,
               counted.back()->time - this->options.comparison_window);
  const int64_t well = this->WentWell(from, counted.back()->time);
  Comparison others = this->Compare(cause, from, {});
  if (well >= std::max(others.lost * kMinAnswersPerLoss, kMinCompared) &&
      !strong.empty()) {
    others = this->Compare(cause, from, strong);
  }
  if (others.crashes == 0 && (!IsPart(cause) || this->StandsOut(cause))) {
    return least;
  }
  const int64_t compared = others.lost + well;
  if (compared < kMinCompared) {
    const bool in_most = others.crashes < static_cast<int64_t>(counted.size());
    return !IsPart(cause)        ? least
           : in_most && well > 0 ? least * kUnknownShareFactor
                                 : kNever;
  }
  const double share =
      static_cast<double>(others.lost + 1) / static_cast<double>(compared + 2);
  const double chance =
      this->options.chance * (IsPart(cause) ? 1 : kRequestChanceFactor);
  const double needed = std::ceil(std::log(chance) / std::log(share));
  return std::max(least, static_cast<int64_t>(needed) * kWholeCrash);
}

// Whether all crashes since a part's first one have it, though not nearly all
// runs do.
bool Suspects::StandsOut(const CrashCause& part) const {
  const std::vector<const Crash*> found = this->CrashesWith(part);
  // Of a host that has just started, all runs may have the part.
  const double share = static_cast<double>(this->AnswersOf(part) + 1) /
                       static_cast<double>(this->begun + 1);
  return std::pow(share, static_cast<double>(found.size())) < kCommonPart &&
         this->Compare(part, found.front()->time, {}).crashes == 0;
}

// Whether a part stands out, or sound runs with it have had the time to show
// that it is not the cause.
bool Suspects::IsSettled(const CrashCause& part) const {
  const Instant first = this->CrashesWith(part).front()->time;
  return this->now - first >= this->options.settle_time ||
         this->StandsOut(part);
}

// What is to be blocked for a frequent request or part, if anything.
std::optional<CrashCause> Suspects::AsCandidate(
    const CrashCause& cause,
    const Count& count,
    const std::set<CrashCause>& strong) const {
  CrashCause candidate = cause;
  if (IsPart(cause)) {
    if (count.requests.size() < kMinRequestsOfPart) {
      return {};
    }
    if (count.accounts.size() < kMinAccountsOfPart) {
      candidate = {.kind = CauseKind::kAccountPart,
                   .hash = cause.hash,
                   .account = *count.accounts.begin()};
    }
  }
  if (this->blocks.contains(candidate)) {
    return {};
  }
  if (IsPart(cause) && !this->IsSettled(cause)) {
    return {};
  }
  const int64_t needed = this->HalfCrashesNeeded(cause, strong);
  const bool enough =
      count.unexplained >= needed ||
      (count.all >= needed && count.unexplained >= kWholeCrash &&
       count.exceeds_blocks);
  return enough ? std::optional(candidate) : std::nullopt;
}

// The candidate with the most unexplained crashes, and of these the likeliest.
std::optional<CrashCause> Suspects::NextCause() const {
  const int64_t least = this->options.block_after_crashes * kWholeCrash;
  std::optional<std::set<CrashCause>> strong;
  std::optional<CrashCause> best;
  std::pair<int64_t, Likelihood> best_rank;
  for (const CrashCause& cause : this->frequent) {
    if (this->blocks.contains(cause) || this->RawHalfCrashes(cause) < least) {
      continue;
    }
    const Count count = this->CountOf(cause);
    if (count.all < least || count.unexplained < kWholeCrash) {
      continue;
    }
    if (!strong) {
      strong = this->StrongCauses();
    }
    const auto candidate = this->AsCandidate(cause, count, *strong);
    const std::pair rank(count.unexplained, this->LikelihoodOf(cause));
    if (candidate && (!best || rank > best_rank)) {
      best = candidate;
      best_rank = rank;
    }
  }
  return best;
}

// The parts of a request's prompt.
std::set<uint64_t> Suspects::PartsOf(const CrashCause& request) const {
  std::set<uint64_t> parts;
  for (const Crash* crash : this->CrashesWith(request)) {
    if (const auto run = crash->runs.find(request.hash);
        run != crash->runs.end()) {
      parts.insert(run->second.request.parts.begin(),
                   run->second.request.parts.end());
    }
  }
  return parts;
}

void Suspects::AddBlock(const CrashCause& cause,
                        const std::set<uint64_t>& parts) {
  if (this->blocks.size() < this->options.max_blocks) {
    this->blocks.emplace(cause, Block{.parts = parts});
  }
}

// The block that ends next: one without enough crashes, or the one with the
// fewest crashes of those that other blocks explain.
std::optional<CrashCause> Suspects::NextRelease() const {
  const int64_t least = this->options.block_after_crashes * kWholeCrash;
  std::optional<CrashCause> weakest;
  int64_t weakest_crashes = 0;
  for (const auto& [cause, block] : this->blocks) {
    if (this->RawHalfCrashes(cause) < least) {
      return cause;
    }
    const Count count = this->CountOf(cause);
    if (count.has_explanation && (!weakest || count.all < weakest_crashes)) {
      weakest = cause;
      weakest_crashes = count.all;
    }
  }
  return weakest;
}

void Suspects::ReleaseBlocks() {
  while (const auto released = this->NextRelease()) {
    this->blocks.erase(*released);
  }
}

void Suspects::Evaluate() {
  this->ReleaseBlocks();
  for (size_t i = 0; i < this->options.max_blocks; ++i) {
    const auto next = this->NextCause();
    if (!next || this->blocks.size() >= this->options.max_blocks) {
      return;
    }
    this->AddBlock(*next,
                   IsPart(*next) ? std::set<uint64_t>() : this->PartsOf(*next));
    this->new_blocks.insert(*next);
    this->ReleaseBlocks();
  }
}

}  // namespace hickorystand
