// The messages that hosts send each other, in the form that the rest of the
// program uses. peers/wire.h encodes and decodes them.
//
// Index
//   BucketsRequest, Bucket, BucketsReply    configuration
//   FreshnessQuestion, FreshnessAnswer      proof that it is the newest
//   UsageCopyMessage, Released              usage counters, leases
//   ForwardedRequest, ForwardedBody         request, ingress host to scheduler
//   ForwardedHead, ForwardedAnswer          response, scheduler to ingress host
//   AnswerEnd, ForwardAction, ForwardControl
//   SchedulerStatus                         state of the sending host
//   PaceMessage, CacheUpdate, PrefillLoad   state of engines
//   LimitTokens                             client accounts' rate limits
//   SuspectsUpdate (decisions/suspects.h)   crashes of endpoints
//   EndpointRatesUpdate (decisions/endpoint_rates.h)   rates they state
//   StreamReports, StreamQuestion, StreamAnswer
//     (decisions/stream_directory.h)        where streams began
//   PeerMessage                             any of these, or an EndpointStatus
//
//   links.Send(host, BucketsRequest{.above_revision = 7});

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "decisions/account_limiter.h"
#include "decisions/digest.h"
#include "decisions/endpoint_load.h"
#include "decisions/endpoint_rates.h"
#include "decisions/engine_cache.h"
#include "decisions/engine_pace.h"
#include "decisions/fleet_endpoint.h"
#include "decisions/stream_directory.h"
#include "decisions/suspects.h"
#include "http/http_types.h"
#include "kernel/ids.h"

namespace hickorystand {

// Requests the buckets of the configuration that changed after a revision.
struct BucketsRequest {
  int64_t above_revision = 0;

  bool operator==(const BucketsRequest&) const = default;
};

// One bucket of the configuration, as stored in the key-value service.
struct Bucket {
  std::string name;
  int64_t revision = 0;  // head revision of its last change
  std::string value;

  bool operator==(const Bucket&) const = default;
};

// The requested buckets. A long reply is split into several messages, each
// with the same head revision.
struct BucketsReply {
  int64_t head_revision = 0;
  std::vector<Bucket> buckets;

  bool operator==(const BucketsReply&) const = default;
};

// A copy of a host's usage counters, which a peer stores in case the host is
// lost.
struct UsageCopyMessage {
  HostId host;
  uint64_t incarnation = 0;
  std::string value;
  std::optional<int64_t> time;  // sender's clock, Unix milliseconds

  bool operator==(const UsageCopyMessage&) const = default;
};

// The sender has released a data centre's lease, which it held with this
// fencing number, and will send no further orders under it.
struct Released {
  DataCentreId data_centre;
  uint64_t incarnation = 0;  // of the sender's process
  int64_t fencing = 0;

  bool operator==(const Released&) const = default;
};

// Requests proof that the configuration record of a revision is the newest.
struct FreshnessQuestion {
  int64_t number = 0;  // request id, chosen by the requesting host
  int64_t revision = 0;

  auto operator<=>(const FreshnessQuestion&) const = default;
};

// The reply to a FreshnessQuestion: a record, and the time between the moment
// when it was last verified to be the newest and the moment of the reply.
struct FreshnessAnswer {
  int64_t number = 0;  // that of the FreshnessQuestion
  int64_t revision = 0;
  Duration age{};
  std::string record;  // empty: the requesting host already has it

  bool operator==(const FreshnessAnswer&) const = default;
};

// What the sender has measured of the speed of services, for hosts that have
// just started, and of single endpoints.
struct PaceMessage {
  std::map<ServiceId, PaceFigures> services;
  EndpointSpeeds speeds;

  bool operator==(const PaceMessage&) const = default;
};

// A caller's request, forwarded to a scheduler by the ingress host that
// received it.
struct ForwardedRequest {
  int64_t number = 0;  // request id, unique within the sending process
  std::string method;
  std::string target;
  HttpHeaders headers;
  std::string body;          // the first part
  uint64_t body_length = 0;  // whole body; the rest follows as ForwardedBody
  Duration age{};            // since the request was received
  // How many times the request was sent to schedulers that were then lost;
  // each of them may have run it.
  int64_t earlier_sends = 0;
  std::optional<int64_t> resume_after;  // last event the caller received
  bool stream_begun = false;  // the response head was sent to the caller
  bool until_close = false;   // ForwardedHead::until_close of that head
  // ForwardedHead::origin of that head, or of the caller's earlier attempt;
  // nullopt: unknown, or no event was sent to the caller.
  std::optional<StreamOrigin> origin;
  // The sender records ForwardedHead::origin when it sends the head.
  bool records_origin = false;
  // Time until the sending process exits; nullopt: it isn't stopping.
  std::optional<Duration> finish_within;
  // Another scheduler got the request before, and may have counted it.
  bool resent = false;

  bool operator==(const ForwardedRequest&) const = default;
};

// The next part of a forwarded request's body.
struct ForwardedBody {
  int64_t number = 0;
  std::string bytes;

  bool operator==(const ForwardedBody&) const = default;
};

// Whether a part of a response is the last one: more follows, the response is
// complete, it was aborted, or it ended by a close that proves nothing.
enum class AnswerEnd { kMore, kWhole, kBroken, kUnproven };

// The head of a response.
struct ForwardedHead {
  int status = 200;
  HttpHeaders headers;
  // Body length in bytes; nullopt: unknown, the body ends with the last part.
  std::optional<uint64_t> length;
  // The body has neither length nor chunks, and must be forwarded so.
  bool until_close = false;
  // Of a stream; nullopt: no stream, or the sender doesn't know.
  std::optional<StreamOrigin> origin;

  bool operator==(const ForwardedHead&) const = default;
};

// The next part of the response to a forwarded request.
struct ForwardedAnswer {
  int64_t number = 0;
  std::optional<ForwardedHead> head;
  std::string bytes;
  AnswerEnd end = AnswerEnd::kMore;
  // The sender has not run the request and will not, but another scheduler may
  // accept it. If none does, this response goes to the caller.
  bool declined = false;

  bool operator==(const ForwardedAnswer&) const = default;
};

// A command of the ingress host, which holds the caller's connection, to the
// scheduler that runs the request.
enum class ForwardAction { kCancel, kPause, kResume };

struct ForwardControl {
  int64_t number = 0;
  ForwardAction action = ForwardAction::kCancel;

  auto operator<=>(const ForwardControl&) const = default;
};

// The state of the sender, which schedulers and all draining hosts send to
// every linked host.
struct SchedulerStatus {
  bool scheduler = false;  // the sender still has the scheduler role
  bool busy = false;       // overloaded
  bool ready = false;
  bool keys_proven = false;  // API keys were proven current recently
  int64_t configuration_version = 0;
  int64_t head_bytes = 0;  // these four: limits on callers' requests
  int64_t body_bytes = 0;
  Duration head_timeout{};
  Duration idle_timeout{};
  bool draining = false;     // its process exits within the grace period
  bool last_resort = false;  // not ready, but accepts what no other host can
  // Services of which it reaches no endpoint.
  std::set<ServiceId> cut_off;
  // It continues a stream only at the software version that began it.
  bool keeps_software = false;

  auto operator<=>(const SchedulerStatus&) const = default;
};

// A change in the contents of an engine's prefix cache.
struct CacheUpdate {
  EndpointRun engine;
  bool reset = false;             // `parts` is all that the cache holds
  std::vector<PartTokens> parts;  // 0 tokens: evicted

  bool operator==(const CacheUpdate&) const = default;
};

// Prefill load, in prompt tokens per second, of the sender's requests.
struct PrefillLoad {
  std::map<ServiceId, double> tokens_per_second;

  bool operator==(const PrefillLoad&) const = default;
};

// Requests for and grants of client accounts' rate-limit tokens, exchanged by
// schedulers.
struct LimitTokens {
  int64_t revision = 0;  // of the newest share holder record read
  std::vector<TokenWant> wants;
  std::vector<TokenGrant> grants;

  bool operator==(const LimitTokens&) const = default;
};

// Any message except digests, which PeerLinks encodes as deltas.
using PeerMessage = std::variant<BucketsRequest,
                                 BucketsReply,
                                 UsageCopyMessage,
                                 Released,
                                 EndpointStatus,
                                 FreshnessQuestion,
                                 FreshnessAnswer,
                                 PaceMessage,
                                 ForwardedRequest,
                                 ForwardedBody,
                                 ForwardedAnswer,
                                 ForwardControl,
                                 SchedulerStatus,
                                 CacheUpdate,
                                 PrefillLoad,
                                 LimitTokens,
                                 SuspectsUpdate,
                                 EndpointRatesUpdate,
                                 StreamReports,
                                 StreamQuestion,
                                 StreamAnswer>;

}  // namespace hickorystand
