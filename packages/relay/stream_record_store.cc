#include "relay/stream_record_store.h"

#include <algorithm>
#include <string>
#include <utility>

#include "decisions/served_versions.h"
#include "kernel/log.h"

namespace hickorystand {
namespace {

constexpr std::string_view kPart = "streams";
constexpr std::string_view kPrefix = "hickorystand/streams/";

// All hosts together write this often a second, and each no more often than
// kMinPeriod allows.
constexpr double kFleetWritesPerSecond = 32;
constexpr Duration kMinPeriod = std::chrono::milliseconds(150);

// Interval at which a host looks whether records are needed.
constexpr Duration kIdlePeriod = std::chrono::seconds(1);

constexpr Duration kRetryPeriod = std::chrono::seconds(1);
constexpr Duration kLookupTimeout = std::chrono::milliseconds(200);

// A lease is used for new records for so long, and outlives the callers of the
// streams that were written last.
constexpr Duration kLeaseUse = std::chrono::seconds(18);
constexpr Duration kLeaseLength =
    kLeaseUse + kLongestPatience + std::chrono::seconds(2);

}  // namespace

StreamRecordStore::StreamRecordStore(const Clock& clock,
                                     KeyValueStore& store,
                                     Metrics& metrics,
                                     StreamRecordHandlers handlers)
    : clock(&clock),
      store(&store),
      metrics(&metrics),
      handlers(std::move(handlers)),
      read(clock,
           store,
           {{.kind = StoreOperation::Kind::kGetPrefix,
             .key = std::string(kPrefix)}},
           kLookupTimeout,
           [this](Instant, const StoreReply& reply) { this->OnRead(reply); }) {
  for (const char* name :
       {"stream_records_written_total", "stream_records_lost_total",
        "stream_record_writes_failed_total"}) {
    this->metrics->Add(name, 0);
  }
}

StreamRecordStore::~StreamRecordStore() {
  *this->alive = false;
}

void StreamRecordStore::Start() {
  this->ArmTimer();
}

void StreamRecordStore::ArmTimer() {
  const auto writers = static_cast<double>(this->handlers.writers());
  const Duration period =
      !this->handlers.services().empty()
          ? std::max(kMinPeriod, FromSeconds(writers / kFleetWritesPerSecond))
          : kIdlePeriod;
  this->timer = Timer::After(period, [this] {
    this->Write();
    this->ArmTimer();
  });
}

void StreamRecordStore::Write() {
  const Instant now = this->clock->Now();
  this->writer.Add(now, this->handlers.take(this->handlers.services()));
  if (this->calling || now < this->next_call) {
    return;
  }
  const bool lease_ends =
      this->lease == 0 || now - this->lease_asked_at >= kLeaseUse;
  if (lease_ends && this->writer.Waiting() > 0) {
    this->GrantLease();
    return;
  }
  const auto next = this->writer.Next(now);
  if (const int64_t lost = this->writer.TakeLost(); lost > 0) {
    this->metrics->Add("stream_records_lost_total", static_cast<double>(lost));
    LogWarning(kPart, "Streams were not recorded in the key-value service.",
               {{"streams", std::to_string(lost)}});
  }
  if (!next) {
    return;
  }
  this->calling = true;
  const std::string key = std::string(kPrefix) + std::to_string(this->lease) +
                          "-" + std::to_string(next->number);
  this->store->Transact(
      {.then = {StorePut(key, next->text, this->lease)}},
      [this, alive = this->alive,
       streams = this->writer.Sending()](const StoreReply& reply) {
        if (*alive) {
          this->OnWritten(streams, reply);
        }
      });
}

// A new lease has new keys, so the open record is closed.
void StreamRecordStore::GrantLease() {
  this->calling = true;
  this->writer.CloseRecord();
  this->store->GrantLease(
      kLeaseLength, [this, alive = this->alive, asked_at = this->clock->Now()](
                        const Result<int64_t>& granted) {
        if (!*alive) {
          return;
        }
        this->calling = false;
        if (!granted) {
          this->Fail();
          return;
        }
        this->lease = *granted;
        this->lease_asked_at = asked_at;
        this->Write();
      });
}

// The lease may have ended.
void StreamRecordStore::Fail() {
  this->lease = 0;
  this->next_call = this->clock->Now() + kRetryPeriod;
  this->metrics->Add("stream_record_writes_failed_total", 1);
}

void StreamRecordStore::OnWritten(size_t streams, const StoreReply& reply) {
  this->calling = false;
  const bool written = reply.outcome == StoreOutcome::kThen;
  this->writer.OnWritten(this->clock->Now(), written);
  if (!written) {
    this->Fail();
    return;
  }
  this->metrics->Add("stream_records_written_total",
                     static_cast<double>(streams));
  LogDebug(kPart, "Streams recorded in the key-value service.",
           {{"revision", std::to_string(reply.revision)},
            {"streams", std::to_string(streams)}});
}

// Records that can't be read are left out, so their streams are unknown.
void StreamRecordStore::OnRead(const StoreReply& reply) {
  this->found = {};
  for (const StoreRecord& record : reply.records) {
    if (const auto decoded = DecodeStreamRecord(record.value)) {
      this->found.Add(*decoded);
    } else {
      LogWarning(kPart, "Malformed record of streams.",
                 {{"key", record.key}, {"why", decoded.error().message}});
    }
  }
  LogInfo(kPart, "Records of streams read.",
          {{"records", std::to_string(reply.records.size())},
           {"streams", std::to_string(this->found.Size())},
           {"revision", std::to_string(reply.revision)}});
}

void StreamRecordStore::Find(StreamKey stream, OnFound on_found) {
  this->read.Await(
      [this, stream, on_found = std::move(on_found)](bool answered) {
        on_found(answered ? this->found.Find(stream) : std::nullopt);
      });
}

}  // namespace hickorystand
