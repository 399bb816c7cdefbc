// The messages that hosts exchange over peer links, in Thrift's compact
// protocol, one Message per frame. peers/frame.h describes the framing and the
// authentication.
//
// Fields are only added, always with new numbers, because hosts of two releases
// exchange messages while a fleet is being upgraded.

namespace cpp hickorystand.wire

// The first frame in each direction.
struct Hello {
  1: string host
  2: string data_centre
  3: i64 incarnation
  4: binary nonce
  5: string receiver  // the host that the dialling side intended to reach
}

// Assigns an index to an id for the rest of the sender's incarnation.
struct Definition {
  1: i32 index
  2: string id
}

// The changed entries of one kind, as columns of equal length: one struct per
// entry would cost an extra byte for each field of each entry.
struct Entries {
  1: list<Definition> definitions
  2: list<i32> indexes  // delta-encoded: difference from the previous index
  3: list<i64> first
  4: list<i64> second
}

struct Suspicion {
  1: i64 fingerprint
  2: i64 crashes
}

struct EndpointNews {
  1: string endpoint
  2: i64 incarnation
  3: bool leaving
  4: bool down
}

// Acknowledges the digests of one scope that the receiver has.
struct Ack {
  1: i32 scope
  2: optional i64 incarnation  // absent: that of the session
  3: i64 sequence
  4: optional bool gap
}

// A digest, as the changes since the sequence `base` of the same incarnation.
// The session determines its host and incarnation. The acks refer to the
// receiver's own digests.
struct DigestDelta {
  1: optional i32 scope  // DigestScope; absent: the sending host only
  4: i64 sequence
  5: i64 base  // encoded as sequence minus base
  6: i64 configuration_revision
  7: optional bool leaving
  8: optional Entries outstanding
  9: optional Entries served
  10: optional list<Suspicion> suspicions
  11: optional Entries endpoints
  12: optional list<Ack> acks
}

struct BucketsRequest {
  1: i64 above_revision
}

struct Bucket {
  1: string name
  2: i64 revision
  3: binary value
}

struct BucketsReply {
  1: i64 head_revision
  2: list<Bucket> buckets
}

struct UsageCopy {
  1: string host
  2: i64 incarnation
  3: binary value
  4: optional i64 time  // of the sender's clock, Unix milliseconds
}

struct Released {
  1: string data_centre
  2: i64 fencing
  3: i64 incarnation
}

// Asks for proof that a record of the configuration is the newest one.
struct FreshnessQuestion {
  1: i64 number  // chosen by the asking process, to look up when it asked
  2: i64 revision  // of the asking host's record
}

// States that the record was the newest `age` microseconds before this answer
// was written.
struct FreshnessAnswer {
  1: i64 number
  2: i64 revision
  3: i64 age
  4: optional binary record  // absent: the asking host already has it
}

// A typical duration of one engine operation, and its number of measurements.
struct PaceFigure {
  1: double seconds
  2: i64 measurements
}

// The durations that a host has measured for the engines of a service.
struct ServicePace {
  1: string service_id
  2: PaceFigure token_prefill  // per prompt token
  3: PaceFigure token_decode
  4: PaceFigure first_token
  5: PaceFigure after_reading
  6: PaceFigure copy_setup
}

// How long an endpoint's work takes, relative to that of its service.
struct EndpointSpeed {
  1: string endpoint
  2: i64 started  // identifies the endpoint's run, as in EndpointRun
  3: i32 kind  // 0: prefill, 1: decode, 2: call of a plain service
  4: i32 thousandths
  5: i64 measurements
}

struct EnginePaces {
  1: list<ServicePace> services
  2: optional list<EndpointSpeed> speeds
}

struct Header {
  1: string name
  2: string value
}

// The service and the software version of the endpoint that sent the first event
// of a stream.
struct StreamOrigin {
  1: string service_id
  2: string software
}

// A caller's request, forwarded to a scheduler. A long body follows in parts.
struct ForwardedRequest {
  1: i64 number  // unique within the sending process
  2: string method
  3: string target
  4: list<Header> headers
  5: binary body
  6: i64 body_length
  7: i64 age  // microseconds since the request was read
  8: optional i64 earlier_sends
  9: optional i64 resume_after
  10: optional bool stream_begun
  11: optional i64 finish_within  // microseconds
  12: optional bool resent  // another scheduler may have counted it
  13: optional bool until_close  // of the head that the caller received
  14: optional StreamOrigin origin  // of the stream that the caller received
  // The sender records the origin of a stream that begins.
  15: optional bool records_origin
}

struct ForwardedBody {
  1: i64 number
  2: binary bytes
}

// The next part of the answer to a forwarded request.
struct ForwardedAnswer {
  1: i64 number
  2: optional i32 status  // sent with the head
  3: optional list<Header> headers
  4: optional i64 length
  5: optional binary bytes
  6: optional i32 ending  // AnswerEnd; absent: more follows
  7: optional bool declined  // not run by this scheduler; another one may run it
  8: optional bool until_close  // sent with the head
  // The end proves nothing. Sent with the `ending` of an aborted answer, which
  // hosts that don't know this field take it for.
  9: optional bool unproven
  10: optional StreamOrigin origin  // sent with the head of a stream
}

struct ForwardControl {
  1: i64 number
  2: i32 action  // ForwardAction
}

struct SchedulerNews {
  1: bool ready
  2: i64 configuration_version
  3: i64 head_bytes
  4: i64 body_bytes
  5: i64 head_timeout  // microseconds
  6: i64 idle_timeout  // microseconds
  7: bool keys_proven
  8: bool scheduler  // false: no longer a scheduler
  9: bool busy
  10: optional bool draining
  11: optional bool last_resort
  12: optional list<string> cut_off  // services of which it reaches no endpoint
  // It continues a stream only at the software version that began it.
  13: optional bool keeps_software
}

// Reports changes of an engine's prefix cache.
struct CacheUpdate {
  1: string endpoint
  2: i64 started  // identifies the endpoint's run, as in EndpointRun
  3: bool reset  // everything not listed here was dropped
  4: list<i64> parts  // hashes
  5: list<i64> tokens  // for each part; 0: no longer cached
}

struct ServiceLoad {
  1: string service_id
  2: double tokens_per_second
}

// The prompt tokens that the sender's requests require engines to prefill.
struct PrefillLoad {
  1: list<ServiceLoad> services
}

// Requests tokens from a client account's limit.
struct TokenWant {
  1: i64 number  // of the sending process
  2: string account
  3: i64 tokens
  4: optional i64 priority
  5: optional bool pull  // the sender pools the account's tokens
}

// The answer to a TokenWant. The granted tokens belong to the receiver.
struct TokenGrant {
  1: i64 number
  2: string account
  3: i64 tokens
  4: optional i64 retry_after  // microseconds; set if no tokens were granted
}

struct LimitTokens {
  1: i64 revision  // of the record of share holders that the sender has read
  2: list<TokenWant> wants
  3: list<TokenGrant> grants
}

// A run that a crash ended before its first event.
struct LostRun {
  1: i64 fingerprint  // of the request; 0: unknown
  2: i64 account  // a hash, like the parts
  3: list<i64> parts  // of the prompt, that other requests may share
  4: i64 before  // microseconds from the send to the crash
}

// Requests that were in progress when an endpoint crashed.
struct CrashReport {
  1: string endpoint
  2: i64 started  // identifies the endpoint's run, as in EndpointRun
  3: string zone
  4: i64 age  // microseconds
  5: list<i64> fingerprints
  // Those of the runs that had sent no event; the others had. Absent: not told,
  // by an earlier release.
  6: optional list<LostRun> waiting
}

// A suspected request was answered in full.
struct AnswerReport {
  1: i64 fingerprint  // or the hash of a part of its prompt
  2: i64 age  // microseconds since it was sent
  3: optional bool part
}

// A request or a part of prompts was blocked because endpoints crash.
struct CrashBlock {
  1: i32 kind  // 0: request, 1: part, 2: part of an account's prompts
  2: i64 hash
  3: i64 account
  4: list<i64> parts  // of the request
}

struct SuspectsUpdate {
  1: list<CrashReport> crashes
  2: list<AnswerReport> answers
  3: optional list<CrashBlock> blocks
}

// A rate that an endpoint stated in an answer.
struct RateReport {
  1: string endpoint
  2: i64 started  // identifies the endpoint's run, as in EndpointRun
  3: optional double per_second  // absent: the endpoint no longer states one
  4: i64 age  // microseconds since the answer
}

struct EndpointRates {
  1: list<RateReport> rates
}

// Streams of one origin.
struct StreamGroup {
  1: optional StreamOrigin origin  // absent: hosts reported different ones
  2: list<i64> streams  // hashes of the first attempts' ids
  3: list<i64> remaining  // microseconds until each caller has given up
}

// Where streams began, as the sender has recorded.
struct StreamReports {
  1: list<StreamGroup> groups
}

// Asks where streams began.
struct StreamQuestion {
  1: list<i64> streams
}

struct StreamAnswer {
  1: list<StreamGroup> known
  2: list<i64> unknown
}

struct Heartbeat {
}

union Message {
  1: Heartbeat heartbeat
  2: DigestDelta digest
  3: BucketsRequest buckets_request
  4: BucketsReply buckets_reply
  5: UsageCopy usage_copy
  6: Released released
  7: EndpointNews endpoint_news
  8: FreshnessQuestion freshness_question
  9: FreshnessAnswer freshness_answer
  10: EnginePaces engine_paces
  11: ForwardedRequest forwarded_request
  12: ForwardedBody forwarded_body
  13: ForwardedAnswer forwarded_answer
  14: ForwardControl forward_control
  15: SchedulerNews scheduler_news
  16: CacheUpdate cache_update
  17: PrefillLoad prefill_load
  18: LimitTokens limit_tokens
  19: SuspectsUpdate suspects_update
  20: EndpointRates endpoint_rates
  21: StreamReports stream_reports
  22: StreamQuestion stream_question
  23: StreamAnswer stream_answer
}
