#include "relay/served_versions_store.h"

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
      ledger(options),
      read(clock,
           store,
           {StoreGet(std::string(kKey))},
           kLookupTimeout,
           [this](Instant asked_at, const StoreReply& reply) {
             this->Apply(asked_at, reply);
             this->Write();
           }) {}

ServedVersionsStore::~ServedVersionsStore() {
  *this->alive = false;
}

void ServedVersionsStore::Start() {
  this->ledger.StartObserving(this->clock->Now());
  this->timer = Timer::Every(kTick, [this] {
    if (this->ledger.NeedsRead(this->clock->Now())) {
      this->read.Read();
    }
    this->Write();
    this->Publish();
  });
  this->read.Read();
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
  this->read.Await(
      [this, route, services, on_found = std::move(on_found)](bool answered) {
        on_found(answered && this->record
                     ? OnlyOrigin(*this->record, route, services,
                                  this->handlers.unix_ms())
                     : std::nullopt);
      });
}

std::set<ServiceId> ServedVersionsStore::ServicesOfSeveralVersions() const {
  std::set<ServiceId> several;
  if (this->record) {
    const int64_t now = this->handlers.unix_ms();
    for (const auto& [id, service] : this->record->services) {
      if (!OnlyVersion(*this->record, id, now)) {
        several.insert(id);
      }
    }
  }
  return several;
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
    this->read.Read();
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
