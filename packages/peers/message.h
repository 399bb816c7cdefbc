// What entry hosts send each other, as the rest of the program sees it.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "decisions/account_limiter.h"
#include "decisions/digest.h"
#include "decisions/engine_cache.h"
#include "decisions/engine_pace.h"
#include "decisions/fleet_endpoint.h"
#include "http/http_types.h"
#include "kernel/ids.h"

namespace hickorystand {

// Asks for the configuration's buckets that changed above a revision.
struct BucketsRequest {
  int64_t above_revision = 0;

  bool operator==(const BucketsRequest&) const = default;
};

// One bucket of the configuration, as it stands in the key-value service.
struct Bucket {
  std::string name;
  int64_t revision = 0;  // the head revision at which it last changed
  std::string value;

  bool operator==(const Bucket&) const = default;
};

// The buckets asked for. A long answer is sent as several replies, each with
// the same head revision.
struct BucketsReply {
  int64_t head_revision = 0;
  std::vector<Bucket> buckets;

  bool operator==(const BucketsReply&) const = default;
};

// A copy of a host's usage counters, kept by a peer in case the host is lost.
struct UsageCopyMessage {
  HostId host;
  uint64_t incarnation = 0;
  std::string value;
  std::optional<int64_t> time;  // the sender's, Unix milliseconds

  bool operator==(const UsageCopyMessage&) const = default;
};

// The sender held a data centre's lease with this fencing number and has let
// go: none of its orders will leave any more.
struct Released {
  DataCentreId data_centre;
  uint64_t incarnation = 0;  // of the sender's process
  int64_t fencing = 0;

  bool operator==(const Released&) const = default;
};

// Asks for proof that the configuration record of a revision is the newest.
struct FreshnessQuestion {
  int64_t number = 0;  // chosen by the asking host
  int64_t revision = 0;

  auto operator<=>(const FreshnessQuestion&) const = default;
};

// The answer to it: a record, and how long ago it was the newest for certain
// when the answer was made.
struct FreshnessAnswer {
  int64_t number = 0;  // of the question
  int64_t revision = 0;
  Duration age{};
  std::string record;  // empty: the asking host has it

  bool operator==(const FreshnessAnswer&) const = default;
};

// What the sender has learned of engines, for hosts that have just started.
struct PaceMessage {
  std::map<ServiceId, PaceFigures> services;

  bool operator==(const PaceMessage&) const = default;
};

// A caller's request that the host which read it hands to a scheduler.
struct ForwardedRequest {
  int64_t number = 0;  // chosen by the sending process, never used twice
  std::string method;
  std::string target;
  HttpHeaders headers;
  std::string body;          // its beginning
  uint64_t body_length = 0;  // the rest follows as ForwardedBody
  Duration age{};            // since the request was read
  // Runs that may have been started by schedulers that were lost.
  int64_t earlier_sends = 0;
  std::optional<int64_t> resume_after;  // the last event that the caller has
  bool stream_begun = false;            // the caller has the answer's head
  // Time until the sending process ends; nullopt: it isn't stopping.
  std::optional<Duration> finish_within;

  bool operator==(const ForwardedRequest&) const = default;
};

// The next part of a forwarded request's body.
struct ForwardedBody {
  int64_t number = 0;
  std::string bytes;

  bool operator==(const ForwardedBody&) const = default;
};

// Whether an answer goes on.
enum class AnswerEnd { kMore, kWhole, kBroken };

// The head of an answer.
struct ForwardedHead {
  int status = 200;
  HttpHeaders headers;
  std::optional<uint64_t> length;  // unknown: until the end

  bool operator==(const ForwardedHead&) const = default;
};

// The next part of the answer to a forwarded request.
struct ForwardedAnswer {
  int64_t number = 0;
  std::optional<ForwardedHead> head;
  std::string bytes;
  AnswerEnd end = AnswerEnd::kMore;
  // The request hasn't run at the sender and won't, but another scheduler may
  // take it. The answer is for the caller if none does.
  bool declined = false;

  bool operator==(const ForwardedAnswer&) const = default;
};

// What the host that has the caller asks of the scheduler.
enum class ForwardAction { kCancel, kPause, kResume };

struct ForwardControl {
  int64_t number = 0;
  ForwardAction action = ForwardAction::kCancel;

  auto operator<=>(const ForwardControl&) const = default;
};

// What a scheduler, and any host that drains, tells every linked host.
struct SchedulerNews {
  bool scheduler = false;  // it still is one
  bool busy = false;       // it doesn't keep up with its work
  bool ready = false;
  bool keys_proven = false;  // API keys can be trusted now
  int64_t configuration_version = 0;
  int64_t head_bytes = 0;  // bounds on what callers may send
  int64_t body_bytes = 0;
  Duration head_timeout{};
  Duration idle_timeout{};
  bool draining = false;     // its process ends within the grace time
  bool last_resort = false;  // not ready, but takes what nobody else can

  auto operator<=>(const SchedulerNews&) const = default;
};

// What an engine keeps of prompts has changed.
struct CacheUpdate {
  EndpointRun engine;
  bool reset = false;             // nothing else is kept
  std::vector<PartTokens> parts;  // no tokens: not kept any more

  bool operator==(const CacheUpdate&) const = default;
};

// Prompt tokens a second that the sender's requests ask engines to prefill.
struct PrefillLoad {
  std::map<ServiceId, double> tokens_per_second;

  bool operator==(const PrefillLoad&) const = default;
};

// Parts of client accounts' limits that change hands between schedulers.
struct LimitTokens {
  int64_t revision = 0;  // of the newest record of share holders read
  std::vector<TokenWant> wants;
  std::vector<TokenGrant> grants;

  bool operator==(const LimitTokens&) const = default;
};

// Everything but digests, which PeerLinks sends and takes as whole values.
using PeerMessage = std::variant<BucketsRequest,
                                 BucketsReply,
                                 UsageCopyMessage,
                                 Released,
                                 EndpointNews,
                                 FreshnessQuestion,
                                 FreshnessAnswer,
                                 PaceMessage,
                                 ForwardedRequest,
                                 ForwardedBody,
                                 ForwardedAnswer,
                                 ForwardControl,
                                 SchedulerNews,
                                 CacheUpdate,
                                 PrefillLoad,
                                 LimitTokens>;

}  // namespace hickorystand
