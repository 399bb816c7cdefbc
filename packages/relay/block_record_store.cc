#include "relay/block_record_store.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iterator>
#include <utility>

#include "kernel/json.h"
#include "kernel/log.h"

namespace hickorystand {
namespace {

constexpr std::string_view kPart = "blocks";
constexpr std::string_view kKey = "hickorystand/crash-causes";

// Interval at which missing calls are made.
constexpr Duration kTick = std::chrono::milliseconds(200);

// Interval of reads while hosts aren't linked.
constexpr Duration kReadPeriod = std::chrono::seconds(1);

// The other hosts write only what the first one hasn't written by then.
constexpr Duration kWriteDelay = std::chrono::milliseconds(700);

struct KindName {
  CauseKind kind;
  std::string_view name;
};

constexpr std::array kKindNames = {
    KindName{CauseKind::kRequest, "request"},
    KindName{CauseKind::kPart, "part"},
    KindName{CauseKind::kAccountPart, "account_part"}};

uint64_t ReadHash(const Json& from) {
  return std::strtoull(from.Text().c_str(), nullptr, 16);
}

void WriteHashes(JsonWriter& out, const std::vector<uint64_t>& hashes) {
  out.Name("parts").BeginArray();
  for (const uint64_t hash : hashes) {
    out.Value(FingerprintText(hash));
  }
  out.EndArray();
}

std::vector<uint64_t> ReadHashes(const Json& from) {
  std::vector<uint64_t> hashes;
  std::ranges::transform(from.Items(), std::back_inserter(hashes), ReadHash);
  return hashes;
}

std::set<CrashCause> CausesIn(const SuspectsUpdate& blocks) {
  std::set<CrashCause> causes;
  std::ranges::transform(blocks.blocks, std::inserter(causes, causes.end()),
                         &BlockReport::cause);
  return causes;
}

}  // namespace

std::string EncodeBlocks(const SuspectsUpdate& blocks, int64_t unix_ms) {
  JsonWriter out;
  out.BeginObject().Name("crashes").BeginArray();
  for (const CrashReport& crash : blocks.crashes) {
    out.BeginObject()
        .Member("endpoint", crash.crash.endpoint.id.Text())
        .Member("started", crash.crash.endpoint.started)
        .Member("zone", crash.crash.zone.Text())
        .Member("time", unix_ms - ToMilliseconds(crash.age))
        .Name("runs")
        .BeginArray();
    for (const CrashReport::Run& run : crash.runs) {
      out.BeginObject()
          .Member("request", FingerprintText(run.request.fingerprint))
          .Member("account", FingerprintText(run.request.account))
          .Member("answering", run.answering);
      WriteHashes(out, run.request.parts);
      out.EndObject();
    }
    out.EndArray().EndObject();
  }
  out.EndArray().Name("blocks").BeginArray();
  for (const BlockReport& block : blocks.blocks) {
    const auto* kind =
        std::ranges::find(kKindNames, block.cause.kind, &KindName::kind);
    out.BeginObject()
        .Member("kind", std::string(kind->name))
        .Member("hash", FingerprintText(block.cause.hash))
        .Member("account", FingerprintText(block.cause.account));
    WriteHashes(out, block.parts);
    out.EndObject();
  }
  return out.EndArray().EndObject().Text();
}

Result<SuspectsUpdate> DecodeBlocks(const std::string& text, int64_t unix_ms) {
  const auto read = Json::ParseObject(text);
  if (!read) {
    return tl::unexpected(read.error());
  }
  if (!read->At("crashes").IsArray() || !read->At("blocks").IsArray()) {
    return Fail(ErrorKind::kBadRequest, "no crashes or no blocks");
  }
  SuspectsUpdate blocks;
  for (const Json& crash : read->At("crashes").Items()) {
    const std::string endpoint = crash.At("endpoint").Text();
    const std::string zone = crash.At("zone").Text();
    if (endpoint.empty()) {
      return Fail(ErrorKind::kBadRequest, "a crash without an endpoint");
    }
    CrashReport& report = blocks.crashes.emplace_back(CrashReport{
        .crash = {.endpoint = {.id = EndpointId(endpoint),
                               .started = crash.At("started").Integer()},
                  .zone = ZoneId(zone)},
        .age = std::max<Duration>(
            std::chrono::milliseconds(unix_ms - crash.At("time").Integer()),
            Duration{})});
    for (const Json& run : crash.At("runs").Items()) {
      report.runs.push_back(
          {.request = {.fingerprint = ReadHash(run.At("request")),
                       .account = ReadHash(run.At("account")),
                       .parts = ReadHashes(run.At("parts"))},
           .answering = run.At("answering").Flag()});
    }
  }
  for (const Json& block : read->At("blocks").Items()) {
    const std::string name = block.At("kind").Text();
    const auto* kind =
        std::ranges::find(kKindNames, std::string_view(name), &KindName::name);
    if (kind != kKindNames.end()) {
      blocks.blocks.push_back(
          {.cause = {.kind = kind->kind,
                     .hash = ReadHash(block.At("hash")),
                     .account = ReadHash(block.At("account"))},
           .parts = ReadHashes(block.At("parts"))});
    }
  }
  return blocks;
}

BlockRecordStore::BlockRecordStore(const Clock& clock,
                                   KeyValueStore& store,
                                   BlockRecordHandlers handlers)
    : clock(&clock), store(&store), handlers(std::move(handlers)) {}

BlockRecordStore::~BlockRecordStore() {
  *this->alive = false;
}

void BlockRecordStore::Start() {
  this->read_needed = true;
  this->timer = Timer::Every(kTick, [this] { this->Tick(); });
  this->Tick();
}

// Whether the record has all blocks that this host knows.
bool BlockRecordStore::IsComplete() const {
  return std::ranges::includes(this->recorded,
                               CausesIn(this->handlers.known()));
}

void BlockRecordStore::OnBlocked() {
  if (this->timer && !this->IsComplete()) {
    this->write_at = this->clock->Now() +
                     (this->handlers.rank() == 0 ? Duration{} : kWriteDelay);
    this->read_needed = this->handlers.rank() != 0;
    this->next_read = this->write_at;
    this->Tick();
  }
}

void BlockRecordStore::Tick() {
  const Instant now = this->clock->Now();
  if (this->calling || !this->timer) {
    return;
  }
  const bool read = this->read_needed || this->handlers.misses_links();
  if (read && now >= this->next_read) {
    this->Read();
  } else if (!read && now >= this->write_at && !this->IsComplete()) {
    this->Write();
  }
}

void BlockRecordStore::Read() {
  this->calling = true;
  this->next_read = this->clock->Now() + kReadPeriod;
  this->store->Transact({.then = {StoreGet(std::string(kKey))}},
                        [this, alive = this->alive](const StoreReply& reply) {
                          if (!*alive) {
                            return;
                          }
                          this->calling = false;
                          if (reply.outcome == StoreOutcome::kThen) {
                            this->read_needed = false;
                            this->Apply(reply);
                            if (!this->IsComplete()) {
                              this->Write();
                            }
                          }
                        });
}

void BlockRecordStore::Apply(const StoreReply& reply) {
  const StoreRecord* stored = FindRecord(reply, kKey);
  const int64_t found = stored == nullptr ? 0 : stored->mod_revision;
  if (std::exchange(this->revision, found) == found) {
    return;
  }
  this->recorded.clear();
  if (stored == nullptr) {
    return;
  }
  const auto decoded = DecodeBlocks(stored->value, this->handlers.unix_ms());
  if (!decoded) {
    LogWarning(kPart, "Malformed record of what crashes endpoints.",
               {{"why", decoded.error().message}});
    return;
  }
  LogInfo(kPart, "Record of what crashes endpoints read.",
          {{"revision", std::to_string(found)},
           {"blocks", std::to_string(decoded->blocks.size())}});
  this->recorded = CausesIn(*decoded);
  this->handlers.on_read(*decoded);
}

// Writes what this host knows. What it has read has become a part of that.
void BlockRecordStore::Write() {
  if (this->calling) {
    return;
  }
  this->calling = true;
  const std::string key(kKey);
  const SuspectsUpdate known = this->handlers.known();
  this->store->Transact(
      {.conditions = {{.key = key, .revision = this->revision.value_or(0)}},
       .then = {StorePut(key, EncodeBlocks(known, this->handlers.unix_ms()))},
       .otherwise = {StoreGet(key)}},
      [this, alive = this->alive,
       written = CausesIn(known)](const StoreReply& reply) {
        if (*alive) {
          this->OnWritten(written, reply);
        }
      });
}

// Without an answer the record may have been written; the timer reads it.
void BlockRecordStore::OnWritten(const std::set<CrashCause>& written,
                                 const StoreReply& reply) {
  this->calling = false;
  if (reply.outcome == StoreOutcome::kThen) {
    this->revision = reply.revision;
    this->recorded = written;
    LogInfo(kPart, "Record of what crashes endpoints written.",
            {{"revision", std::to_string(reply.revision)},
             {"blocks", std::to_string(written.size())}});
  } else if (reply.outcome == StoreOutcome::kOtherwise) {
    this->Apply(reply);
  } else {
    this->read_needed = true;
  }
}

}  // namespace hickorystand
