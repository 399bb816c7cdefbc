// Finds what crashes endpoints: a request, or a part of the prompts of several
// requests.
//
// Each crash of an endpoint is recorded once, with the runs that it ended at
// any host. A cause that was there at `block_after_crashes` crashes is refused
// until enough of them are older than `retention`. More crashes are needed
// while runs without it are lost, too.
//
// What counts against a cause:
// - The crash of an endpoint that had such a run, unless a run that was sent
//   later went well: for a part, its answer has begun and gone on for some
//   time, for a request, it has been answered in full. A run that was sent
//   before the crash proves nothing, since a part may turn bad.
// - A run that had sent events counts half against its request, and not against
//   the parts of its prompt.
// - A crash counts half if another endpoint of the zone crashed at the same
//   time without the cause, as in the loss of a zone. Crashes within
//   `event_window` are one event, apart from runs that were sent in between.
// - A crash that a blocked cause explains doesn't count, so that requests that
//   ran beside it are served.
//
// A part is blocked for all accounts only if runs of two accounts were lost
// with it; until then it is blocked for the one account. A request that is
// repeated is blocked itself, not the parts of its prompt.
//
// A block ends with an answer, with the age of its crashes, or if another block
// explains all of them; a part is explained only by one with more crashes. So
// two causes that crash endpoints together don't release each other. It also
// ends if the endpoints turn out not to have crashed: while all hosts refuse
// what is blocked, no answer could show that it is sound.
//
// Reports of other hosts are merged by endpoint run, so it doesn't matter in
// which order, how often or over which host they arrive.
//
//   Suspects suspects(options);
//   suspects.OnCrash(now, {.endpoint = run, .zone = zone}, {lost_run});
//   Send(suspects.TakeUpdate(now));     // to the other hosts, if not empty
//   suspects.OnUpdate(now, received);   // from another host
//   if (const auto block = suspects.FindBlock(now, request)) { ... }
//
// Index
//   SuspectsOptions              thresholds and sizes
//   FingerprintText              a fingerprint as text
//   RequestTraits                what is known of a request
//   CauseKind, CrashCause        what crashes endpoints
//   LostRun                      a run that a crash ended
//   CrashedEndpoint              identifies a crash
//   CrashReport, AnswerReport, BlockReport   what hosts tell each other
//   SuspectsUpdate               a message of such reports
//   RequestBlock                 why and how long a request is refused
//   Suspects                     the crashes and their causes

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "decisions/digest.h"
#include "decisions/fleet_endpoint.h"
#include "kernel/ids.h"
#include "kernel/time.h"

namespace hickorystand {

// A fingerprint as written to logs: 16 hexadecimal digits.
std::string FingerprintText(uint64_t fingerprint);

// Thresholds and sizes.
struct SuspectsOptions {
  int64_t block_after_crashes = 2;  // crashes until a cause is refused
  Duration retention = std::chrono::minutes(10);
  // Crashes in one zone within this time can be a single event.
  Duration zone_loss_window = std::chrono::seconds(3);
  // Crashes anywhere within this time count as one event.
  Duration event_window = std::chrono::milliseconds(200);
  // Connections to one endpoint run that break within this time broke in the
  // same crash.
  Duration crash_window = std::chrono::seconds(1);
  // Runs between the first and the last crash of a cause, within this time,
  // show how often runs without it are lost.
  Duration comparison_window = std::chrono::seconds(10);
  // A part isn't blocked sooner after its first crash if there were crashes
  // without it.
  Duration settle_time = std::chrono::seconds(1);
  // An endpoint run that is alive this long after a crash has not crashed. A
  // process that replaces it is in the endpoint list by then.
  Duration survival_time = std::chrono::seconds(2);
  // Greatest probability that this many runs in succession are lost by chance.
  double chance = 1e-5;
  size_t max_crashes = 128;             // records kept, the newest
  size_t max_requests_per_crash = 128;  // fingerprints kept for each of them
  size_t max_parts_per_crash = 256;
  size_t max_answered = 4096;  // answers kept
  size_t max_compared = 1024;  // runs of this host
  size_t max_blocks = 256;
  size_t max_in_digest = 64;  // fingerprints in Own()

  auto operator<=>(const SuspectsOptions&) const = default;
};

// What is known of a request. Values are hashes.
struct RequestTraits {
  uint64_t fingerprint = 0;  // the same for all repeats; 0: unknown
  uint64_t account = 0;
  std::vector<uint64_t> parts;  // of its prompt that other requests may share

  auto operator<=>(const RequestTraits&) const = default;
};

// The parts of a prompt as RequestTraits hold them, at most 32. Those of a
// longer prompt beyond the first 31 are represented by one value of the
// account.
std::vector<uint64_t> LimitParts(std::vector<uint64_t> parts, uint64_t account);

// What crashes endpoints: a request, a part of prompts, or a part in the
// prompts of one account.
enum class CauseKind { kRequest, kPart, kAccountPart };

struct CrashCause {
  CauseKind kind = CauseKind::kRequest;
  uint64_t hash = 0;     // fingerprint of the request, or the part
  uint64_t account = 0;  // kAccountPart

  auto operator<=>(const CrashCause&) const = default;
};

// A run that ended in the crash of its endpoint.
struct LostRun {
  RequestTraits request;
  Instant sent{};          // to the endpoint
  bool answering = false;  // it had sent events

  auto operator<=>(const LostRun&) const = default;
};

// A run of an endpoint that ended in a crash.
struct CrashedEndpoint {
  EndpointRun endpoint;
  ZoneId zone;  // may be empty

  auto operator<=>(const CrashedEndpoint&) const = default;
};

// Runs that were in progress when an endpoint crashed.
struct CrashReport {
  // `before` is the time from the send to the crash.
  struct Run {
    RequestTraits request;
    Duration before{};
    bool answering = false;

    auto operator<=>(const Run&) const = default;
  };

  CrashedEndpoint crash;
  Duration age{};  // since the crash
  std::vector<Run> runs;

  auto operator<=>(const CrashReport&) const = default;
};

// A run of a suspected cause went well.
struct AnswerReport {
  CrashCause cause;  // kRequest or kPart
  Duration age{};    // since the run was sent

  auto operator<=>(const AnswerReport&) const = default;
};

// A cause was blocked. The crashes are reported beside it.
struct BlockReport {
  CrashCause cause;
  std::vector<uint64_t> parts;  // of a request

  auto operator<=>(const BlockReport&) const = default;
};

// Reports from one host to another.
struct SuspectsUpdate {
  std::vector<CrashReport> crashes;
  std::vector<AnswerReport> answers;
  std::vector<BlockReport> blocks;

  bool Empty() const {
    return this->crashes.empty() && this->answers.empty() &&
           this->blocks.empty();
  }
  bool operator==(const SuspectsUpdate&) const = default;
};

// Why a request is refused, and for how long.
struct RequestBlock {
  CrashCause cause;
  std::vector<EndpointRun> crashed;  // endpoints that ran it, oldest first
  Duration newest_age{};             // since the last of these crashes
  Duration remaining{};              // until it would be accepted again

  auto operator<=>(const RequestBlock&) const = default;
};

// Records crashes and finds their causes. All calls take the current time.
class Suspects {
 public:
  explicit Suspects(const SuspectsOptions& options = {});

  // Records that an endpoint crashed while it had these runs of this host.
  // Calls for the same endpoint run add to one record.
  void OnCrash(Instant now,
               const CrashedEndpoint& crash,
               const std::vector<LostRun>& runs);

  // Forgets crashes that were losses of this host's own links.
  void Withdraw(Instant now, const std::vector<CrashedEndpoint>& lost);

  // Records that an endpoint run was alive at a time: it had not crashed
  // `survival_time` before, though connections to it broke. Returns whether a
  // crash is forgotten. Later reports of such crashes are ignored.
  bool OnAlive(Instant now, const EndpointRun& run, Instant at);

  // The endpoint runs whose crashes block causes, and that may turn out to be
  // alive.
  std::set<EndpointRun> BlockingCrashes(Instant now) const;

  // Records that the answer of a run has begun and gone on for some time: the
  // parts of its prompt are not the cause of crashes before it was sent. Call
  // once for each run, also if it is answered at once. Returns whether a part
  // was suspected.
  bool OnBegun(Instant now, const RequestTraits& request, Instant sent);

  // Records that a run was answered in full: the request is not the cause of
  // crashes before it was sent. Returns whether it was suspected.
  bool OnAnswered(Instant now, const RequestTraits& request, Instant sent);

  // Merges the reports of another host.
  void OnUpdate(Instant now, const SuspectsUpdate& update);

  // What this host has recorded itself since the last call.
  SuspectsUpdate TakeUpdate(Instant now);

  // All that is recorded here, for a host that has just been linked.
  SuspectsUpdate Snapshot(Instant now) const;

  // The blocked causes and their crashes, without what else is known of these.
  SuspectsUpdate BlocksOnly(Instant now) const;

  // Replaces the list that a peer reported in its digest.
  void OnPeer(Instant now,
              const HostId& host,
              const std::vector<Suspicion>& suspicions);

  // Crashes that count against a request, on this host and in the digests of
  // its peers.
  int64_t Crashes(Instant now, uint64_t fingerprint) const;

  // The same for any cause, on this host.
  int64_t CrashesOf(Instant now, const CrashCause& cause) const;

  bool IsSuspected(Instant now, uint64_t fingerprint) const;

  // Whether the request, or a part of its prompt, is refused.
  bool IsBlocked(Instant now, const RequestTraits& request) const;
  bool IsBlocked(Instant now, uint64_t fingerprint) const {
    return this->IsBlocked(now, RequestTraits{.fingerprint = fingerprint});
  }

  // Why a request is refused by the crashes recorded here; nullopt if it isn't.
  std::optional<RequestBlock> FindBlock(Instant now,
                                        const RequestTraits& request) const;
  std::optional<RequestBlock> FindBlock(Instant now,
                                        uint64_t fingerprint) const {
    return this->FindBlock(now, RequestTraits{.fingerprint = fingerprint});
  }

  // The same for one cause.
  std::optional<RequestBlock> FindBlock(Instant now,
                                        const CrashCause& cause) const;

  // Requests with crashes recorded here and blocked parts, most crashes first.
  std::vector<Suspicion> Own() const;

  // What is refused, as of the last change.
  std::set<CrashCause> Blocked() const;

  // Crashes on record.
  size_t RecordedCrashes() const { return this->crashes.size(); }

 private:
  // A cause in a crash.
  struct Involvement {
    Instant sent{};               // the last of its runs
    bool answering = true;        // all of its runs had sent events
    size_t position = 0;          // of a part in the prompt
    std::set<uint64_t> accounts;  // of the runs with a part
    std::set<uint64_t> requests;  // with a part
  };
  struct Crash {
    CrashedEndpoint crashed;
    Instant time{};
    std::map<uint64_t, LostRun> runs;          // by fingerprint
    std::map<CrashCause, Involvement> causes;  // requests and parts
    std::set<uint64_t> own;  // requests of this host that had sent no event
  };
  // Runs of this host that the others aren't told of yet.
  struct NewCrash {
    CrashedEndpoint crashed;
    Instant time{};
    std::vector<LostRun> runs;
  };
  struct PeerEntry {
    int64_t crashes = 0;
    Instant seen{};
  };
  // Runs with a cause that went well.
  struct Answers {
    Instant sent{};     // the last of them
    int64_t count = 0;  // at this host
  };
  // Crashes without a cause.
  struct Comparison {
    int64_t crashes = 0;  // also in the comparison window before
    // Those since then that ended runs of this host and have no other likely
    // cause.
    int64_t lost = 0;
  };
  struct Block {
    std::set<uint64_t> parts;  // of a blocked request
  };
  // A crash that counts against a cause, in half crashes.
  struct Evidence {
    const Crash* crash = nullptr;
    int64_t half_crashes = 0;
  };
  using EvidenceList = std::vector<Evidence>;
  // The evidence against a cause.
  struct Count {
    int64_t all = 0;  // half crashes
    int64_t unexplained = 0;
    bool has_explanation = false;  // one block explains all of them
    std::set<uint64_t> accounts;   // of the runs with a part
    std::set<uint64_t> requests;   // with a part
    bool exceeds_blocks = true;    // more crashes than each explaining block
  };
  using Blocks = std::map<CrashCause, Block>;

  bool Merge(const CrashedEndpoint& crash,
             Instant time,
             const std::vector<LostRun>& runs,
             bool own);
  Crash& FindOrAdd(const CrashedEndpoint& crash, Instant time);
  bool AddRun(Crash& record, const LostRun& run);
  bool MakeRoom(Crash& record, const LostRun& run);
  bool Recurs(const LostRun& run) const;
  void Index(Crash& record, const LostRun& run);
  void Reindex(Crash& record);
  void Mention(const CrashCause& cause, Crash& record);
  void Unmention(const CrashCause& cause, const Crash& record);
  void RemoveCrash(size_t index);
  template <typename Condition>
  void RemoveCrashesIf(Condition condition);
  void LimitCrashes();
  bool MergeAnswer(const CrashCause& cause, Instant sent);
  void LimitAnswers();
  void Expire(Instant now);
  bool IsMentioned(const CrashCause& cause) const;
  bool RecordAnswer(const CrashCause& cause, Instant sent);
  bool IsCleared(const CrashCause& cause, Instant crash) const;
  std::vector<const Crash*> CrashesWith(const CrashCause& cause) const;
  int64_t AnswersOf(const CrashCause& cause) const;
  static const Involvement* Find(const Crash& crash, const CrashCause& cause);
  bool IsSimultaneous(const Crash& crash, const CrashCause& cause) const;
  EvidenceList EvidenceOf(const CrashCause& cause) const;
  bool Explains(const CrashCause& blocked,
                const Block& block,
                const CrashCause& cause) const;
  std::vector<CrashCause> ExplanationsOf(const CrashCause& cause) const;
  using Likelihood = std::tuple<int64_t, int64_t, size_t, CrashCause>;
  Likelihood LikelihoodOf(const CrashCause& part) const;
  bool StandsOut(const CrashCause& part) const;
  bool IsSettled(const CrashCause& part) const;
  Count CountOf(const CrashCause& cause) const;
  int64_t WentWell(Instant from, Instant until) const;
  int64_t RawHalfCrashes(const CrashCause& cause) const;
  std::set<CrashCause> StrongCauses() const;
  Comparison Compare(const CrashCause& cause,
                     Instant from,
                     const std::set<CrashCause>& left_out) const;
  int64_t HalfCrashesNeeded(const CrashCause& cause,
                            const std::set<CrashCause>& strong) const;
  std::optional<CrashCause> AsCandidate(
      const CrashCause& cause,
      const Count& count,
      const std::set<CrashCause>& strong) const;
  std::optional<CrashCause> NextCause() const;
  void AddBlock(const CrashCause& cause, const std::set<uint64_t>& parts);
  std::set<uint64_t> PartsOf(const CrashCause& request) const;
  std::optional<CrashCause> NextRelease() const;
  void ReleaseBlocks();
  void Evaluate();
  CrashReport ReportOf(const CrashedEndpoint& crashed,
                       Instant time,
                       const std::vector<LostRun>& runs) const;

  SuspectsOptions options;
  std::vector<std::unique_ptr<Crash>> crashes;         // oldest first
  std::map<CrashCause, std::vector<Crash*>> mentions;  // requests and parts
  std::set<CrashCause> frequent;  // with enough crashes to be blocked
  std::map<CrashCause, Answers> answered;
  std::deque<Instant> went_well;  // when runs of this host were sent
  // Until when connections that broke are known not to be crashes.
  std::map<EndpointRun, Instant> alive_until;
  std::map<HostId, std::map<uint64_t, PeerEntry>> peers;
  int64_t begun = 0;  // runs of this host that went well, ever
  Blocks blocks;
  // Not yet returned by TakeUpdate().
  std::vector<NewCrash> new_crashes;
  std::set<CrashCause> new_answers;
  std::set<CrashCause> new_blocks;
  Instant now{};  // of the last change
};

}  // namespace hickorystand
