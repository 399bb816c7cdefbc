#include "relay/served_versions_store.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "kernel/log.h"

namespace hickorystand {
namespace {

constexpr std::string_view kPart = "versions";
constexpr std::string_view kKey = "hickorystand/software";

// Interval at which failed calls are repeated and the record's age is checked.
constexpr Duration kTick = std::chrono::seconds(1);

// Longest wait of a lookup for the service.
constexpr Duration kLookupTimeout = std::chrono::milliseconds(200);

}  // namespace

ServedVersionsStore::ServedVersionsStore(const Clock& clock,
                                         KeyValueStore& store,
                                         const VersionLedgerOptions& options,
                                         ServedVersionsHandlers handlers)
    : clock(&clock),
      store(&store),
      handlers(std::move(handlers)),
      ledger(options) {}

ServedVersionsStore::~ServedVersionsStore() {
  *this->alive = false;
}

void ServedVersionsStore::Start() {
  this->ledger.StartObserving(this->clock->Now());
  this->timer = Timer::Every(kTick, [this] {
    if (this->ledger.NeedsRead(this->clock->Now())) {
      this->Read();
    }
    this->Write();
    this->Publish();
  });
  this->Read();
}

void ServedVersionsStore::SetEndpoints(const FleetEndpoints& endpoints) {
  this->ledger.SetEndpoints(this->clock->Now(), endpoints);
  this->Write();
}

void ServedVersionsStore::SetConfiguration(
    const FleetConfiguration& configuration) {
  std::map<std::string, std::set<ServiceId>> routes;
  for (const Route& route : configuration.routes) {
    if (route.kind == Repeatability::kStreamResumable) {
      routes[route.Pattern()] = ServicesOf(route);
    }
  }
  this->ledger.SetRoutes(configuration.version, std::move(routes));
  this->Write();
}

void ServedVersionsStore::FindOnlyOrigin(const std::string& route,
                                         const std::set<ServiceId>& services,
                                         OnOrigin on_found) {
  const bool silent = this->reading && !this->reading->timeout;
  if (silent) {
    on_found({});
    return;
  }
  this->lookups.push_back(
      {.route = route, .services = services, .on_found = std::move(on_found)});
  this->Read();
}

// A lookup is answered by a read that was sent after it, since a version may
// have been added meanwhile.
void ServedVersionsStore::Read() {
  if (this->reading) {
    return;
  }
  const auto read = std::make_shared<PendingRead>();
  read->lookups = std::exchange(this->lookups, {});
  read->timeout = Timer::After(kLookupTimeout, [this, read] {
    std::ranges::move(std::exchange(this->lookups, {}),
                      std::back_inserter(read->lookups));
    this->Finish(*read, {});
  });
  this->reading = read;
  this->store->Transact(
      {.then = {StoreGet(std::string(kKey))}},
      [this, alive = this->alive, read,
       asked_at = this->clock->Now()](const StoreReply& reply) {
        if (*alive) {
          this->OnRead(read, asked_at, reply);
        }
      });
}

void ServedVersionsStore::OnRead(const std::shared_ptr<PendingRead>& read,
                                 Instant asked_at,
                                 const StoreReply& reply) {
  if (this->reading == read) {
    this->reading.reset();
  }
  const bool answered = reply.outcome == StoreOutcome::kThen;
  if (answered) {
    this->Apply(asked_at, reply);
  }
  this->Finish(*read, answered ? this->record : std::nullopt);
  if (answered) {
    this->Write();
  }
  if (!this->lookups.empty()) {
    this->Read();
  }
}

void ServedVersionsStore::Finish(PendingRead& read,
                                 const std::optional<ServedVersions>& found) {
  // It may have called this, and keeps `read` alive.
  const std::unique_ptr<Timer> timeout = std::move(read.timeout);
  const int64_t now = this->handlers.unix_ms();
  for (const Lookup& lookup : std::exchange(read.lookups, {})) {
    lookup.on_found(found
                        ? OnlyOrigin(*found, lookup.route, lookup.services, now)
                        : std::nullopt);
  }
}

void ServedVersionsStore::Apply(Instant asked_at, const StoreReply& reply) {
  const StoreRecord* stored = FindRecord(reply, kKey);
  std::optional<ServedVersions> read;
  if (stored != nullptr) {
    auto decoded = DecodeServedVersions(stored->value);
    if (decoded) {
      read = std::move(*decoded);
    } else {
      LogWarning(kPart, "Malformed record of software versions.",
                 {{"why", decoded.error().message}});
    }
  }
  this->record = read;
  this->ledger.OnRecord(asked_at, stored == nullptr ? 0 : stored->mod_revision,
                        std::move(read));
  this->Publish();
}

void ServedVersionsStore::Write() {
  if (!this->timer || this->writing) {
    return;
  }
  const Instant now = this->clock->Now();
  const auto wanted = this->ledger.Wanted(now, this->handlers.unix_ms(),
                                          this->handlers.cleans_up());
  if (!wanted) {
    return;
  }
  this->writing = true;
  const std::string key(kKey);
  this->store->Transact(
      {.conditions = {{.key = key, .revision = this->ledger.Revision()}},
       .then = {StorePut(key, EncodeServedVersions(*wanted))},
       .otherwise = {StoreGet(key)}},
      [this, alive = this->alive, written = *wanted,
       now](const StoreReply& reply) {
        if (*alive) {
          this->OnWritten(written, now, reply);
        }
      });
}

// Without an answer the record may have been written; the timer reads it.
void ServedVersionsStore::OnWritten(const ServedVersions& written,
                                    Instant asked_at,
                                    const StoreReply& reply) {
  this->writing = false;
  if (reply.outcome == StoreOutcome::kThen) {
    this->record = written;
    this->ledger.OnRecord(asked_at, reply.revision, written);
    LogInfo(kPart, "Record of software versions written.",
            {{"revision", std::to_string(reply.revision)},
             {"services", std::to_string(written.services.size())}});
    this->Publish();
  } else if (reply.outcome == StoreOutcome::kOtherwise) {
    this->Apply(asked_at, reply);
    this->Write();
  } else {
    this->Read();
  }
}

void ServedVersionsStore::Publish() {
  auto beginnable = this->ledger.Beginnable(this->clock->Now());
  if (this->published != beginnable) {
    this->published = beginnable;
    this->handlers.on_beginnable(beginnable);
  }
}

}  // namespace hickorystand
