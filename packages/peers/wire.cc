#include "peers/wire.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <array>
#include <exception>
#include <memory>
#include <utility>
#include <vector>

#include "peers/frame.h"
#include "peers_types.h"

namespace hickorystand {
namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using Protocol = TCompactProtocolT<TMemoryBuffer>;

// Limits on single fields. The length of a list is checked before memory is
// allocated for it, so that a short frame can't make this host allocate
// gigabytes.
constexpr int32_t kMaxStringBytes = static_cast<int32_t>(kMaxFrameBytes);
constexpr int32_t kMaxListLength = 2 * kMaxDigestEntries;
constexpr size_t kMaxId = 256;

// Factors of endpoints' speeds are sent in thousandths.
constexpr double kThousandths = 1000;
constexpr int kMaxDepth = 8;

template <typename Struct>
std::string Encode(const Struct& value) {
  const auto buffer = std::make_shared<TMemoryBuffer>();
  Protocol protocol(buffer);
  value.write(&protocol);
  return buffer->getBufferAsString();
}

template <typename Struct>
Result<Struct> Decode(std::string_view payload) {
  try {
    const auto limits = std::make_shared<TConfiguration>(
        static_cast<int>(kMaxFrameBytes), static_cast<int>(kMaxFrameBytes),
        kMaxDepth);
    // The constructor takes a pointer to non-const bytes, but a buffer in mode
    // OBSERVE only reads them.
    auto* bytes = reinterpret_cast<uint8_t*>(const_cast<char*>(payload.data()));
    const auto buffer = std::make_shared<TMemoryBuffer>(
        bytes, static_cast<uint32_t>(payload.size()), TMemoryBuffer::OBSERVE,
        limits);
    Protocol protocol(buffer, kMaxStringBytes, kMaxListLength);
    Struct value;
    value.read(&protocol);
    if (buffer->available_read() != 0) {
      return Fail(ErrorKind::kBadRequest, "trailing bytes after the message");
    }
    return value;
  } catch (const std::exception& fault) {
    return Fail(ErrorKind::kBadRequest, fault.what());
  }
}

bool IsValidId(const std::string& id) {
  return id.size() <= kMaxId;
}

wire::Entries ToWire(const std::vector<DigestEntry>& entries) {
  wire::Entries columns;
  int32_t previous = 0;
  for (const auto& entry : entries) {
    if (!entry.id.empty()) {
      wire::Definition definition;
      definition.index = entry.index;
      definition.id = entry.id;
      columns.definitions.push_back(std::move(definition));
    }
    columns.indexes.push_back(entry.index -
                              std::exchange(previous, entry.index));
    columns.first.push_back(entry.first);
    columns.second.push_back(entry.second);
  }
  return columns;
}

// Appends the entries in the columns to `entries`; false if the columns are
// inconsistent or an index or id is out of range.
bool FromWire(const wire::Entries& columns, std::vector<DigestEntry>& entries) {
  const size_t count = columns.indexes.size();
  if (columns.first.size() != count || columns.second.size() != count) {
    return false;
  }
  int64_t index = 0;
  auto definition = columns.definitions.begin();
  for (size_t i = 0; i < count; ++i) {
    index += columns.indexes[i];
    if (index < 0 || index >= kMaxDigestEntries) {
      return false;
    }
    DigestEntry entry{.index = static_cast<int32_t>(index),
                      .id = {},
                      .first = columns.first[i],
                      .second = columns.second[i]};
    if (definition != columns.definitions.end() && definition->index == index) {
      if (!IsValidId(definition->id) || definition->id.empty()) {
        return false;
      }
      entry.id = definition->id;
      ++definition;
    }
    entries.push_back(std::move(entry));
  }
  return definition == columns.definitions.end();
}

wire::EndpointNews ToWire(const EndpointStatus& news) {
  wire::EndpointNews out;
  out.endpoint = news.endpoint.Text();
  out.incarnation = static_cast<int64_t>(news.incarnation);
  out.leaving = news.leaving;
  out.down = news.down;
  return out;
}

wire::DigestDelta ToWire(const PeerDigest& digest) {
  const DigestDelta& delta = digest.delta;
  wire::DigestDelta out;
  out.sequence = static_cast<int64_t>(delta.sequence);
  out.base = static_cast<int64_t>(delta.sequence - delta.base);
  out.configuration_revision = delta.configuration_revision;
  if (digest.scope != DigestScope::kHost) {
    out.__set_scope(static_cast<int32_t>(digest.scope));
  }
  if (delta.leaving) {
    out.__set_leaving(true);
  }
  if (!delta.outstanding.empty()) {
    out.__set_outstanding(ToWire(delta.outstanding));
  }
  if (!delta.served.empty()) {
    out.__set_served(ToWire(delta.served));
  }
  if (!delta.endpoints.empty()) {
    out.__set_endpoints(ToWire(delta.endpoints));
  }
  if (delta.suspicions) {
    std::vector<wire::Suspicion> list;
    for (const auto& suspicion : *delta.suspicions) {
      wire::Suspicion item;
      item.fingerprint = static_cast<int64_t>(suspicion.fingerprint);
      item.crashes = suspicion.crashes;
      list.push_back(item);
    }
    out.__set_suspicions(list);
  }
  for (const auto& [scope, ack] : digest.acks) {
    out.__isset.acks = true;
    wire::Ack item;
    item.scope = static_cast<int32_t>(scope);
    item.sequence = static_cast<int64_t>(ack.sequence);
    if (ack.incarnation != 0) {
      item.__set_incarnation(static_cast<int64_t>(ack.incarnation));
    }
    if (ack.gap) {
      item.__set_gap(true);
    }
    out.acks.push_back(item);
  }
  return out;
}

bool IsValidScope(int32_t scope) {
  return scope >= 0 && scope < static_cast<int32_t>(kDigestScopes);
}

ScopedAck FromWire(const wire::Ack& in) {
  return {.scope = static_cast<DigestScope>(in.scope),
          .ack = {.incarnation = static_cast<uint64_t>(in.incarnation),
                  .sequence = static_cast<uint64_t>(in.sequence),
                  .gap = in.gap}};
}

Result<PeerDigest> FromWire(const wire::DigestDelta& in) {
  PeerDigest digest;
  digest.scope = static_cast<DigestScope>(in.scope);
  DigestDelta& delta = digest.delta;
  delta.sequence = static_cast<uint64_t>(in.sequence);
  delta.base =
      static_cast<uint64_t>(in.sequence) - static_cast<uint64_t>(in.base);
  delta.configuration_revision = in.configuration_revision;
  delta.leaving = in.leaving;
  const bool good =
      IsValidScope(in.scope) && in.acks.size() <= kDigestScopes &&
      std::ranges::all_of(in.acks, &IsValidScope, &wire::Ack::scope) &&
      delta.base <= delta.sequence &&
      FromWire(in.outstanding, delta.outstanding) &&
      FromWire(in.served, delta.served) &&
      FromWire(in.endpoints, delta.endpoints);
  if (!good) {
    return Fail(ErrorKind::kBadRequest,
                "digest delta with a field out of range");
  }
  if (in.__isset.suspicions) {
    delta.suspicions.emplace();
    std::ranges::transform(
        in.suspicions, std::back_inserter(*delta.suspicions),
        [](const wire::Suspicion& item) {
          return Suspicion{
              .fingerprint = static_cast<uint64_t>(item.fingerprint),
              .crashes = item.crashes};
        });
  }
  std::ranges::transform(in.acks, std::back_inserter(digest.acks),
                         [](const wire::Ack& ack) { return FromWire(ack); });
  return digest;
}

// Maps a member of PaceFigures to its field of the Thrift message.
struct PaceField {
  PaceFigures::Figure PaceFigures::* figure;
  wire::PaceFigure wire::ServicePace::* field;
};

constexpr std::array kPaceFields = {
    PaceField{&PaceFigures::token_prefill, &wire::ServicePace::token_prefill},
    PaceField{&PaceFigures::token_decode, &wire::ServicePace::token_decode},
    PaceField{&PaceFigures::first_token, &wire::ServicePace::first_token},
    PaceField{&PaceFigures::first_token_after_handover,
              &wire::ServicePace::after_reading},
    PaceField{&PaceFigures::copy_setup, &wire::ServicePace::copy_setup}};

wire::ServicePace ToWire(const ServiceId& service, const PaceFigures& figures) {
  wire::ServicePace out;
  out.service_id = service.Text();
  for (const PaceField& one : kPaceFields) {
    (out.*one.field).seconds = (figures.*one.figure).seconds;
    (out.*one.field).measurements = (figures.*one.figure).measurements;
  }
  return out;
}

PaceMessage ReadPaceMessage(const wire::EnginePaces& in) {
  PaceMessage message;
  for (const wire::ServicePace& from : in.services) {
    if (!IsValidId(from.service_id)) {
      continue;
    }
    PaceFigures& figures = message.services[ServiceId(from.service_id)];
    for (const PaceField& one : kPaceFields) {
      figures.*one.figure = {.seconds = (from.*one.field).seconds,
                             .measurements = (from.*one.field).measurements};
    }
  }
  for (const wire::EndpointSpeed& from : in.speeds) {
    if (IsValidId(from.endpoint) && from.kind >= 0 &&
        static_cast<size_t>(from.kind) < kWorkKinds.size()) {
      message.speeds.push_back(
          {.endpoint = {.id = EndpointId(from.endpoint),
                        .started = from.started},
           .kind = kWorkKinds.at(static_cast<size_t>(from.kind)),
           .factor = from.thousandths / kThousandths,
           .measurements = from.measurements});
    }
  }
  return message;
}

wire::EndpointSpeed ToWire(const EndpointSpeed& speed) {
  wire::EndpointSpeed out;
  out.endpoint = speed.endpoint.id.Text();
  out.started = speed.endpoint.started;
  out.kind = static_cast<int32_t>(speed.kind);
  out.thousandths =
      static_cast<int32_t>(std::lround(speed.factor * kThousandths));
  out.measurements = speed.measurements;
  return out;
}

std::vector<wire::Header> ToWire(const HttpHeaders& headers) {
  std::vector<wire::Header> out;
  std::ranges::transform(headers, std::back_inserter(out),
                         [](const HttpHeader& header) {
                           wire::Header item;
                           item.name = header.name;
                           item.value = header.value;
                           return item;
                         });
  return out;
}

HttpHeaders ReadHeaders(std::vector<wire::Header>& in) {
  HttpHeaders headers;
  std::ranges::transform(in, std::back_inserter(headers),
                         [](wire::Header& item) {
                           return HttpHeader{.name = std::move(item.name),
                                             .value = std::move(item.value)};
                         });
  return headers;
}

wire::StreamOrigin ToWire(const StreamOrigin& origin) {
  wire::StreamOrigin out;
  out.service_id = origin.service.Text();
  out.software = origin.software.Text();
  return out;
}

// A malformed origin counts as unknown.
std::optional<StreamOrigin> ReadOrigin(const wire::StreamOrigin& in) {
  if (!IsValidId(in.service_id) || !IsValidId(in.software)) {
    return {};
  }
  return StreamOrigin{.service = ServiceId(in.service_id),
                      .software = SoftwareVersion(in.software)};
}

ForwardedRequest ReadForwardedRequest(wire::ForwardedRequest& in) {
  return {.number = in.number,
          .method = std::move(in.method),
          .target = std::move(in.target),
          .headers = ReadHeaders(in.headers),
          .body = std::move(in.body),
          .body_length = static_cast<uint64_t>(in.body_length),
          .age = Duration(std::max<int64_t>(in.age, 0)),
          .earlier_sends = std::max<int64_t>(in.earlier_sends, 0),
          .resume_after = in.__isset.resume_after
                              ? std::optional(in.resume_after)
                              : std::nullopt,
          .stream_begun = in.stream_begun,
          .until_close = in.until_close,
          .origin = in.__isset.origin ? ReadOrigin(in.origin) : std::nullopt,
          .records_origin = in.records_origin,
          .finish_within = in.__isset.finish_within
                               ? std::optional(Duration(in.finish_within))
                               : std::nullopt,
          .resent = in.resent};
}

bool IsValidAnswer(const wire::ForwardedAnswer& in) {
  return in.ending >= 0 && in.ending <= static_cast<int>(AnswerEnd::kBroken) &&
         in.length >= 0;
}

ForwardedAnswer ReadAnswer(wire::ForwardedAnswer& in) {
  ForwardedAnswer answer{.number = in.number,
                         .bytes = std::move(in.bytes),
                         .end = in.unproven ? AnswerEnd::kUnproven
                                            : static_cast<AnswerEnd>(in.ending),
                         .declined = in.declined};
  if (in.__isset.status) {
    answer.head = {
        .status = in.status,
        .headers = ReadHeaders(in.headers),
        .length = in.__isset.length ? std::optional<uint64_t>(in.length)
                                    : std::nullopt,
        .until_close = in.until_close,
        .origin = in.__isset.origin ? ReadOrigin(in.origin) : std::nullopt};
  }
  return answer;
}

CacheUpdate ReadCacheUpdate(const wire::CacheUpdate& in) {
  CacheUpdate update{
      .engine = {.id = EndpointId(in.endpoint), .started = in.started},
      .reset = in.reset};
  for (size_t i = 0; i < in.parts.size(); ++i) {
    update.parts.push_back(
        {.part = static_cast<uint64_t>(in.parts[i]), .tokens = in.tokens[i]});
  }
  return update;
}

wire::LimitTokens ToWire(const LimitTokens& tokens) {
  wire::LimitTokens out;
  out.revision = tokens.revision;
  for (const TokenWant& want : tokens.wants) {
    wire::TokenWant item;
    item.number = want.number;
    item.account = want.account.Text();
    item.tokens = want.tokens;
    if (want.priority != 0) {
      item.__set_priority(want.priority);
    }
    if (want.pull) {
      item.__set_pull(true);
    }
    out.wants.push_back(std::move(item));
  }
  for (const TokenGrant& grant : tokens.grants) {
    wire::TokenGrant item;
    item.number = grant.number;
    item.account = grant.account.Text();
    item.tokens = grant.tokens;
    if (grant.retry_after > Duration{}) {
      item.__set_retry_after(grant.retry_after.count());
    }
    out.grants.push_back(std::move(item));
  }
  return out;
}

// Drops requests and grants with a negative number of tokens or an id that is
// too long: a malformed message must not create tokens.
LimitTokens ReadLimitTokens(const wire::LimitTokens& in) {
  LimitTokens tokens{.revision = in.revision};
  for (const wire::TokenWant& want : in.wants) {
    if (IsValidId(want.account) && want.tokens >= 0) {
      tokens.wants.push_back({.number = want.number,
                              .account = AccountId(want.account),
                              .tokens = want.tokens,
                              .priority = std::max<int64_t>(want.priority, 0),
                              .pull = want.pull});
    }
  }
  for (const wire::TokenGrant& grant : in.grants) {
    if (IsValidId(grant.account) && grant.tokens >= 0) {
      tokens.grants.push_back(
          {.number = grant.number,
           .account = AccountId(grant.account),
           .tokens = grant.tokens,
           .retry_after = Duration(std::max<int64_t>(grant.retry_after, 0))});
    }
  }
  return tokens;
}

PrefillLoad ReadLoad(const wire::PrefillLoad& in) {
  PrefillLoad load;
  for (const wire::ServiceLoad& one : in.services) {
    if (IsValidId(one.service_id) && one.tokens_per_second >= 0) {
      load.tokens_per_second[ServiceId(one.service_id)] = one.tokens_per_second;
    }
  }
  return load;
}

// A run that had sent events was sent long before the crash.
constexpr Duration kAnsweringBefore = std::chrono::minutes(1);

std::vector<int64_t> ToWire(const std::vector<uint64_t>& hashes) {
  std::vector<int64_t> out;
  std::ranges::transform(hashes, std::back_inserter(out), [](uint64_t hash) {
    return static_cast<int64_t>(hash);
  });
  return out;
}

std::vector<uint64_t> ReadHashes(const std::vector<int64_t>& in) {
  std::vector<uint64_t> hashes;
  std::ranges::transform(in, std::back_inserter(hashes), [](int64_t hash) {
    return static_cast<uint64_t>(hash);
  });
  return hashes;
}

wire::CrashReport ToWire(const CrashReport& report) {
  wire::CrashReport out;
  out.endpoint = report.crash.endpoint.id.Text();
  out.started = report.crash.endpoint.started;
  out.zone = report.crash.zone.Text();
  out.age = report.age.count();
  out.__isset.waiting = true;
  for (const CrashReport::Run& run : report.runs) {
    const auto fingerprint = static_cast<int64_t>(run.request.fingerprint);
    if (fingerprint != 0) {
      out.fingerprints.push_back(fingerprint);
    }
    if (!run.answering) {
      wire::LostRun item;
      item.fingerprint = fingerprint;
      item.account = static_cast<int64_t>(run.request.account);
      item.parts = ToWire(run.request.parts);
      item.before = run.before.count();
      out.waiting.push_back(std::move(item));
    }
  }
  return out;
}

CrashReport ReadCrash(const wire::CrashReport& in) {
  CrashReport report{.crash = {.endpoint = {.id = EndpointId(in.endpoint),
                                            .started = in.started},
                               .zone = ZoneId(in.zone)},
                     .age = Duration(in.age)};
  std::set<int64_t> waiting;
  for (const wire::LostRun& item : in.waiting) {
    waiting.insert(item.fingerprint);
    report.runs.push_back(
        {.request = {.fingerprint = static_cast<uint64_t>(item.fingerprint),
                     .account = static_cast<uint64_t>(item.account),
                     .parts = ReadHashes(item.parts)},
         .before = Duration(std::max<int64_t>(item.before, 0))});
  }
  const bool told = in.__isset.waiting;
  for (const int64_t fingerprint : in.fingerprints) {
    if (!waiting.contains(fingerprint)) {
      report.runs.push_back(
          {.request = {.fingerprint = static_cast<uint64_t>(fingerprint)},
           .before = told ? kAnsweringBefore : Duration{},
           .answering = told});
    }
  }
  return report;
}

struct CauseNumber {
  CauseKind kind;
  int32_t number;
};

constexpr std::array kCauseNumbers = {CauseNumber{CauseKind::kRequest, 0},
                                      CauseNumber{CauseKind::kPart, 1},
                                      CauseNumber{CauseKind::kAccountPart, 2}};

wire::SuspectsUpdate ToWire(const SuspectsUpdate& update) {
  wire::SuspectsUpdate out;
  std::ranges::transform(
      update.crashes, std::back_inserter(out.crashes),
      [](const CrashReport& report) { return ToWire(report); });
  for (const AnswerReport& report : update.answers) {
    wire::AnswerReport item;
    item.fingerprint = static_cast<int64_t>(report.cause.hash);
    item.age = report.age.count();
    if (report.cause.kind != CauseKind::kRequest) {
      item.__set_part(true);
    }
    out.answers.push_back(item);
  }
  for (const BlockReport& report : update.blocks) {
    wire::CrashBlock item;
    item.kind =
        std::ranges::find(kCauseNumbers, report.cause.kind, &CauseNumber::kind)
            ->number;
    item.hash = static_cast<int64_t>(report.cause.hash);
    item.account = static_cast<int64_t>(report.cause.account);
    item.parts = ToWire(report.parts);
    out.blocks.push_back(std::move(item));
  }
  out.__isset.blocks = !out.blocks.empty();
  return out;
}

SuspectsUpdate ReadSuspects(const wire::SuspectsUpdate& in) {
  SuspectsUpdate update;
  for (const wire::CrashReport& item : in.crashes) {
    if (IsValidId(item.endpoint) && IsValidId(item.zone)) {
      update.crashes.push_back(ReadCrash(item));
    }
  }
  std::ranges::transform(
      in.answers, std::back_inserter(update.answers),
      [](const wire::AnswerReport& item) {
        return AnswerReport{
            .cause = {.kind =
                          item.part ? CauseKind::kPart : CauseKind::kRequest,
                      .hash = static_cast<uint64_t>(item.fingerprint)},
            .age = Duration(item.age)};
      });
  for (const wire::CrashBlock& item : in.blocks) {
    const auto* known =
        std::ranges::find(kCauseNumbers, item.kind, &CauseNumber::number);
    if (known != kCauseNumbers.end()) {
      update.blocks.push_back(
          {.cause = {.kind = known->kind,
                     .hash = static_cast<uint64_t>(item.hash),
                     .account = static_cast<uint64_t>(item.account)},
           .parts = ReadHashes(item.parts)});
    }
  }
  return update;
}

wire::EndpointRates ToWire(const EndpointRatesUpdate& update) {
  wire::EndpointRates out;
  for (const RateReport& report : update.rates) {
    wire::RateReport item;
    item.endpoint = report.endpoint.id.Text();
    item.started = report.endpoint.started;
    if (report.per_second) {
      item.__set_per_second(*report.per_second);
    }
    item.age = report.age.count();
    out.rates.push_back(std::move(item));
  }
  return out;
}

EndpointRatesUpdate ReadRates(const wire::EndpointRates& in) {
  EndpointRatesUpdate update;
  for (const wire::RateReport& item : in.rates) {
    if (IsValidId(item.endpoint)) {
      update.rates.push_back({.endpoint = {.id = EndpointId(item.endpoint),
                                           .started = item.started},
                              .per_second = item.__isset.per_second
                                                ? std::optional(item.per_second)
                                                : std::nullopt,
                              .age = Duration(item.age)});
    }
  }
  return update;
}

// Streams of one origin share a group, so that its names are sent once.
std::vector<wire::StreamGroup> ToWire(
    const std::vector<StreamReport>& reports) {
  std::map<std::optional<StreamOrigin>, wire::StreamGroup> groups;
  for (const StreamReport& report : reports) {
    wire::StreamGroup& group = groups[report.origin];
    if (report.origin) {
      group.__set_origin(ToWire(*report.origin));
    }
    group.streams.push_back(static_cast<int64_t>(report.stream));
    group.remaining.push_back(report.remaining.count());
  }
  std::vector<wire::StreamGroup> out;
  std::ranges::transform(groups, std::back_inserter(out),
                         [](auto& entry) { return std::move(entry.second); });
  return out;
}

// A malformed origin counts as a contradictory one, so that nobody takes the
// stream's origin from elsewhere.
std::vector<StreamReport> ReadReports(
    const std::vector<wire::StreamGroup>& in) {
  std::vector<StreamReport> reports;
  for (const wire::StreamGroup& group : in) {
    const auto origin =
        group.__isset.origin ? ReadOrigin(group.origin) : std::nullopt;
    const size_t length =
        std::min(group.streams.size(), group.remaining.size());
    for (size_t i = 0; i < length; ++i) {
      reports.push_back({.stream = static_cast<StreamKey>(group.streams[i]),
                         .origin = origin,
                         .remaining = Duration(group.remaining[i])});
    }
  }
  return reports;
}

// Sets the field of the Thrift union that corresponds to a message.
struct MessageWriter {
  wire::Message out;

  void operator()(const PeerHeartbeat& /*unused*/) { out.__set_heartbeat({}); }
  void operator()(const PeerDigest& digest) {
    out.__set_digest(ToWire(digest));
  }
  void operator()(const PeerMessage& message) { std::visit(*this, message); }
  void operator()(const BucketsRequest& request) {
    wire::BucketsRequest item;
    item.above_revision = request.above_revision;
    out.__set_buckets_request(item);
  }
  void operator()(const BucketsReply& reply) {
    wire::BucketsReply item;
    item.head_revision = reply.head_revision;
    for (const auto& bucket : reply.buckets) {
      wire::Bucket one;
      one.name = bucket.name;
      one.revision = bucket.revision;
      one.value = bucket.value;
      item.buckets.push_back(std::move(one));
    }
    out.__set_buckets_reply(item);
  }
  void operator()(const UsageCopyMessage& copy) {
    wire::UsageCopy item;
    item.host = copy.host.Text();
    item.incarnation = static_cast<int64_t>(copy.incarnation);
    item.value = copy.value;
    if (copy.time) {
      item.__set_time(*copy.time);
    }
    out.__set_usage_copy(item);
  }
  void operator()(const Released& released) {
    wire::Released item;
    item.data_centre = released.data_centre.Text();
    item.fencing = released.fencing;
    item.incarnation = static_cast<int64_t>(released.incarnation);
    out.__set_released(item);
  }
  void operator()(const EndpointStatus& news) {
    out.__set_endpoint_news(ToWire(news));
  }
  void operator()(const FreshnessQuestion& question) {
    wire::FreshnessQuestion item;
    item.number = question.number;
    item.revision = question.revision;
    out.__set_freshness_question(item);
  }
  void operator()(const FreshnessAnswer& answer) {
    wire::FreshnessAnswer item;
    item.number = answer.number;
    item.revision = answer.revision;
    item.age = answer.age.count();
    if (!answer.record.empty()) {
      item.__set_record(answer.record);
    }
    out.__set_freshness_answer(item);
  }
  void operator()(const PaceMessage& message) {
    wire::EnginePaces item;
    for (const auto& [service, figures] : message.services) {
      item.services.push_back(ToWire(service, figures));
    }
    if (!message.speeds.empty()) {
      std::vector<wire::EndpointSpeed> speeds;
      std::ranges::transform(
          message.speeds, std::back_inserter(speeds),
          [](const EndpointSpeed& speed) { return ToWire(speed); });
      item.__set_speeds(speeds);
    }
    out.__set_engine_paces(item);
  }
  void operator()(const ForwardedRequest& request) {
    wire::ForwardedRequest item;
    item.number = request.number;
    item.method = request.method;
    item.target = request.target;
    item.headers = ToWire(request.headers);
    item.body = request.body;
    item.body_length = static_cast<int64_t>(request.body_length);
    item.age = request.age.count();
    if (request.earlier_sends > 0) {
      item.__set_earlier_sends(request.earlier_sends);
    }
    if (request.resume_after) {
      item.__set_resume_after(*request.resume_after);
    }
    if (request.stream_begun) {
      item.__set_stream_begun(true);
    }
    if (request.until_close) {
      item.__set_until_close(true);
    }
    if (request.finish_within) {
      item.__set_finish_within(request.finish_within->count());
    }
    if (request.resent) {
      item.__set_resent(true);
    }
    if (request.origin) {
      item.__set_origin(ToWire(*request.origin));
    }
    if (request.records_origin) {
      item.__set_records_origin(true);
    }
    out.__set_forwarded_request(item);
  }
  void operator()(const ForwardedBody& body) {
    wire::ForwardedBody item;
    item.number = body.number;
    item.bytes = body.bytes;
    out.__set_forwarded_body(item);
  }
  void operator()(const ForwardedAnswer& answer) {
    wire::ForwardedAnswer item;
    item.number = answer.number;
    if (answer.head) {
      item.__set_status(answer.head->status);
      item.__set_headers(ToWire(answer.head->headers));
      if (answer.head->length) {
        item.__set_length(static_cast<int64_t>(*answer.head->length));
      }
      if (answer.head->until_close) {
        item.__set_until_close(true);
      }
      if (answer.head->origin) {
        item.__set_origin(ToWire(*answer.head->origin));
      }
    }
    if (!answer.bytes.empty()) {
      item.__set_bytes(answer.bytes);
    }
    if (answer.end == AnswerEnd::kUnproven) {
      item.__set_ending(static_cast<int>(AnswerEnd::kBroken));
      item.__set_unproven(true);
    } else if (answer.end != AnswerEnd::kMore) {
      item.__set_ending(static_cast<int>(answer.end));
    }
    if (answer.declined) {
      item.__set_declined(true);
    }
    out.__set_forwarded_answer(item);
  }
  void operator()(const ForwardControl& control) {
    wire::ForwardControl item;
    item.number = control.number;
    item.action = static_cast<int>(control.action);
    out.__set_forward_control(item);
  }
  void operator()(const SchedulerStatus& news) {
    wire::SchedulerNews item;
    item.scheduler = news.scheduler;
    item.busy = news.busy;
    item.ready = news.ready;
    item.keys_proven = news.keys_proven;
    item.configuration_version = news.configuration_version;
    item.head_bytes = news.head_bytes;
    item.body_bytes = news.body_bytes;
    item.head_timeout = news.head_timeout.count();
    item.idle_timeout = news.idle_timeout.count();
    if (news.draining) {
      item.__set_draining(true);
    }
    if (news.last_resort) {
      item.__set_last_resort(true);
    }
    if (!news.cut_off.empty()) {
      std::vector<std::string> services;
      std::ranges::transform(news.cut_off, std::back_inserter(services),
                             &ServiceId::Text);
      item.__set_cut_off(services);
    }
    if (news.keeps_software) {
      item.__set_keeps_software(true);
    }
    out.__set_scheduler_news(item);
  }
  void operator()(const CacheUpdate& update) {
    wire::CacheUpdate item;
    item.endpoint = update.engine.id.Text();
    item.started = update.engine.started;
    item.reset = update.reset;
    for (const PartTokens& part : update.parts) {
      item.parts.push_back(static_cast<int64_t>(part.part));
      item.tokens.push_back(part.tokens);
    }
    out.__set_cache_update(item);
  }
  void operator()(const LimitTokens& tokens) {
    out.__set_limit_tokens(ToWire(tokens));
  }
  void operator()(const SuspectsUpdate& update) {
    out.__set_suspects_update(ToWire(update));
  }
  void operator()(const EndpointRatesUpdate& update) {
    out.__set_endpoint_rates(ToWire(update));
  }
  void operator()(const StreamReports& reports) {
    wire::StreamReports item;
    item.groups = ToWire(reports.streams);
    out.__set_stream_reports(item);
  }
  void operator()(const StreamQuestion& question) {
    wire::StreamQuestion item;
    item.streams = ToWire(question.streams);
    out.__set_stream_question(item);
  }
  void operator()(const StreamAnswer& answer) {
    wire::StreamAnswer item;
    item.known = ToWire(answer.known);
    item.unknown = ToWire(answer.unknown);
    out.__set_stream_answer(item);
  }
  void operator()(const PrefillLoad& load) {
    wire::PrefillLoad item;
    for (const auto& [service, rate] : load.tokens_per_second) {
      wire::ServiceLoad one;
      one.service_id = service.Text();
      one.tokens_per_second = rate;
      item.services.push_back(one);
    }
    out.__set_prefill_load(item);
  }
};

PeerMessage ReadBuckets(wire::BucketsReply& in) {
  BucketsReply reply{.head_revision = in.head_revision, .buckets = {}};
  for (auto& bucket : in.buckets) {
    reply.buckets.push_back({.name = std::move(bucket.name),
                             .revision = bucket.revision,
                             .value = std::move(bucket.value)});
  }
  return reply;
}

}  // namespace

std::string EncodeHello(const PeerHello& hello) {
  wire::Hello out;
  out.host = hello.host.Text();
  out.data_centre = hello.data_centre.Text();
  out.incarnation = static_cast<int64_t>(hello.incarnation);
  out.nonce = hello.nonce;
  out.receiver = hello.receiver.Text();
  return Encode(out);
}

Result<PeerHello> DecodeHello(std::string_view payload) {
  const auto in = Decode<wire::Hello>(payload);
  if (!in) {
    return tl::unexpected(in.error());
  }
  if (in->host.empty() || !IsValidId(in->host) || !IsValidId(in->data_centre) ||
      in->nonce.size() != kNonceBytes) {
    return Fail(ErrorKind::kBadRequest, "hello with a field out of range");
  }
  return PeerHello{.host = HostId(in->host),
                   .data_centre = DataCentreId(in->data_centre),
                   .incarnation = static_cast<uint64_t>(in->incarnation),
                   .nonce = in->nonce,
                   .receiver = HostId(in->receiver)};
}

std::string EncodeMessage(const WireMessage& message) {
  MessageWriter writer;
  std::visit(writer, message);
  return Encode(writer.out);
}

Result<WireMessage> DecodeMessage(std::string_view payload) {
  auto in = Decode<wire::Message>(payload);
  if (!in) {
    return tl::unexpected(in.error());
  }
  const auto& set = in->__isset;
  if (set.digest) {
    auto digest = FromWire(in->digest);
    if (!digest) {
      return tl::unexpected(digest.error());
    }
    return WireMessage(std::move(*digest));
  }
  if (set.buckets_request) {
    return WireMessage(PeerMessage(
        BucketsRequest{.above_revision = in->buckets_request.above_revision}));
  }
  if (set.buckets_reply) {
    return WireMessage(ReadBuckets(in->buckets_reply));
  }
  if (set.usage_copy && IsValidId(in->usage_copy.host)) {
    return WireMessage(PeerMessage(UsageCopyMessage{
        .host = HostId(in->usage_copy.host),
        .incarnation = static_cast<uint64_t>(in->usage_copy.incarnation),
        .value = std::move(in->usage_copy.value),
        .time = in->usage_copy.__isset.time ? std::optional(in->usage_copy.time)
                                            : std::nullopt}));
  }
  if (set.released && IsValidId(in->released.data_centre)) {
    return WireMessage(PeerMessage(
        Released{.data_centre = DataCentreId(in->released.data_centre),
                 .incarnation = static_cast<uint64_t>(in->released.incarnation),
                 .fencing = in->released.fencing}));
  }
  if (set.endpoint_news && IsValidId(in->endpoint_news.endpoint)) {
    const auto& news = in->endpoint_news;
    return WireMessage(PeerMessage(
        EndpointStatus{.endpoint = EndpointId(news.endpoint),
                       .incarnation = static_cast<uint64_t>(news.incarnation),
                       .leaving = news.leaving,
                       .down = news.down}));
  }
  if (set.freshness_question) {
    return WireMessage(PeerMessage(
        FreshnessQuestion{.number = in->freshness_question.number,
                          .revision = in->freshness_question.revision}));
  }
  // A negative age would date the proof later than the request for it.
  if (set.freshness_answer && in->freshness_answer.age >= 0) {
    return WireMessage(PeerMessage(
        FreshnessAnswer{.number = in->freshness_answer.number,
                        .revision = in->freshness_answer.revision,
                        .age = Duration(in->freshness_answer.age),
                        .record = std::move(in->freshness_answer.record)}));
  }
  if (set.engine_paces) {
    return WireMessage(PeerMessage(ReadPaceMessage(in->engine_paces)));
  }
  if (set.forwarded_request && in->forwarded_request.body_length >= 0) {
    return WireMessage(
        PeerMessage(ReadForwardedRequest(in->forwarded_request)));
  }
  if (set.forwarded_body) {
    return WireMessage(PeerMessage(
        ForwardedBody{.number = in->forwarded_body.number,
                      .bytes = std::move(in->forwarded_body.bytes)}));
  }
  if (set.forwarded_answer && IsValidAnswer(in->forwarded_answer)) {
    return WireMessage(PeerMessage(ReadAnswer(in->forwarded_answer)));
  }
  if (set.forward_control && in->forward_control.action >= 0 &&
      in->forward_control.action <= static_cast<int>(ForwardAction::kResume)) {
    return WireMessage(PeerMessage(ForwardControl{
        .number = in->forward_control.number,
        .action = static_cast<ForwardAction>(in->forward_control.action)}));
  }
  if (set.scheduler_news) {
    const auto& news = in->scheduler_news;
    std::set<ServiceId> cut_off;
    for (const std::string& service : news.cut_off) {
      if (IsValidId(service)) {
        cut_off.insert(ServiceId(service));
      }
    }
    return WireMessage(PeerMessage(
        SchedulerStatus{.scheduler = news.scheduler,
                        .busy = news.busy,
                        .ready = news.ready,
                        .keys_proven = news.keys_proven,
                        .configuration_version = news.configuration_version,
                        .head_bytes = news.head_bytes,
                        .body_bytes = news.body_bytes,
                        .head_timeout = Duration(news.head_timeout),
                        .idle_timeout = Duration(news.idle_timeout),
                        .draining = news.draining,
                        .last_resort = news.last_resort,
                        .cut_off = std::move(cut_off),
                        .keeps_software = news.keeps_software}));
  }
  if (set.cache_update && IsValidId(in->cache_update.endpoint) &&
      in->cache_update.parts.size() == in->cache_update.tokens.size()) {
    return WireMessage(PeerMessage(ReadCacheUpdate(in->cache_update)));
  }
  if (set.prefill_load) {
    return WireMessage(PeerMessage(ReadLoad(in->prefill_load)));
  }
  if (set.limit_tokens) {
    return WireMessage(PeerMessage(ReadLimitTokens(in->limit_tokens)));
  }
  if (set.suspects_update) {
    return WireMessage(PeerMessage(ReadSuspects(in->suspects_update)));
  }
  if (set.endpoint_rates) {
    return WireMessage(PeerMessage(ReadRates(in->endpoint_rates)));
  }
  if (set.stream_reports) {
    return WireMessage(PeerMessage(
        StreamReports{.streams = ReadReports(in->stream_reports.groups)}));
  }
  if (set.stream_question) {
    return WireMessage(PeerMessage(
        StreamQuestion{.streams = ReadHashes(in->stream_question.streams)}));
  }
  if (set.stream_answer) {
    return WireMessage(PeerMessage(
        StreamAnswer{.known = ReadReports(in->stream_answer.known),
                     .unknown = ReadHashes(in->stream_answer.unknown)}));
  }
  // A message of a kind that only a later release knows says no more than that
  // its sender is alive. Closing the link would lose the requests on it.
  if (set.heartbeat || *in == wire::Message()) {
    return WireMessage(PeerHeartbeat{});
  }
  return Fail(ErrorKind::kBadRequest, "message with a field out of range");
}

}  // namespace hickorystand
