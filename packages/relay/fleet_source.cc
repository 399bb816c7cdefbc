#include "relay/fleet_source.h"

#include <algorithm>
#include <utility>

#include "kernel/log.h"

namespace hickorystand {
namespace {

constexpr std::string_view kPart = "source";

// How often it is checked whether a read is due.
constexpr Duration kTick = std::chrono::milliseconds(50);

}  // namespace

FleetSource::FleetSource(FleetSourceOptions options,
                         const Clock& clock,
                         KeyValueStore& store,
                         const FleetRecords& records,
                         FleetSourceHandlers handlers)
    : options(options),
      clock(&clock),
      store(&store),
      records(&records),
      handlers(std::move(handlers)) {}

void FleetSource::Start() {
  this->timer = Timer::Every(kTick, [this] { this->Tick(); });
  this->Tick();
}

void FleetSource::Tick() {
  const Instant now = this->clock->Now();
  if (now >= this->configuration.next &&
      this->configuration.under_way < this->options.most_under_way) {
    this->AskConfiguration(now);
  }
  if (now >= this->list.next &&
      this->list.under_way < this->options.most_under_way) {
    this->AskEndpoints(now);
  }
}

void FleetSource::AskConfiguration(Instant now) {
  this->configuration.next =
      now + (this->record_revision == 0 ? this->options.first_poll
                                        : this->options.poll);
  ++this->configuration.under_way;
  this->store->Transact(
      {.then = {StoreGet(this->records->ConfigurationKey())}},
      [this, now](const StoreReply& reply) {
        --this->configuration.under_way;
        this->NoteReachable(reply.outcome == StoreOutcome::kThen);
        if (reply.outcome == StoreOutcome::kThen) {
          this->TakeConfiguration(now, reply);
        }
      });
}

void FleetSource::TakeConfiguration(Instant asked, const StoreReply& reply) {
  if (reply.records.empty()) {
    return;  // none was written yet
  }
  const StoreRecord& record = reply.records.front();
  if (record.mod_revision < this->record_revision) {
    return;  // answers may overtake each other
  }
  if (record.mod_revision > this->record_revision) {
    auto read = this->records->ReadConfiguration(record.value);
    if (!read) {
      LogError(kPart, "Configuration can't be read.",
               {{"revision", std::to_string(record.mod_revision)},
                {"why", read.error().message}});
      return;
    }
    this->record_revision = record.mod_revision;
    this->handlers.on_configuration(
        std::make_shared<const FleetConfiguration>(std::move(*read)));
  }
  this->handlers.on_fresh(asked);
}

void FleetSource::AskEndpoints(Instant now) {
  this->list.next =
      now + (this->last_list ? this->options.poll : this->options.first_poll);
  ++this->list.under_way;
  this->store->Transact({.then = {{.kind = StoreOperation::Kind::kGetPrefix,
                                   .key = this->records->EndpointPrefix()}}},
                        [this, now](const StoreReply& reply) {
                          --this->list.under_way;
                          if (reply.outcome == StoreOutcome::kThen) {
                            this->TakeEndpoints(now, reply);
                          }
                        });
}

void FleetSource::TakeEndpoints(Instant asked, const StoreReply& reply) {
  if (reply.revision < this->list.revision) {
    return;  // answers may overtake each other
  }
  this->list.revision = reply.revision;
  const Instant now = this->clock->Now();
  if (this->last_list && asked - *this->last_list > this->options.away_after) {
    this->grace_until = now + this->options.return_grace;
    LogInfo(kPart, "Endpoints are listed again after an outage.",
            {{"known", std::to_string(this->endpoints.size())},
             {"listed", std::to_string(reply.records.size())}});
  }
  this->last_list = now;
  FleetEndpoints listed;
  for (const StoreRecord& record : reply.records) {
    auto read = this->records->ReadEndpoint(record);
    if (read) {
      listed[read->run.id] = std::move(*read);
    } else {
      LogDebug(kPart, "Entry names no endpoint.",
               {{"key", record.key}, {"why", read.error().message}});
    }
  }
  const FleetEndpoints judged = this->Judge(now, listed);
  if (judged != this->endpoints) {
    this->endpoints = judged;
    this->handlers.on_endpoints(this->endpoints);
  }
}

// What holds of a list that was just read.
FleetEndpoints FleetSource::Judge(Instant now, const FleetEndpoints& listed) {
  FleetEndpoints judged = listed;
  for (auto& [id, endpoint] : judged) {
    if (endpoint.leaving) {
      this->leaving.insert(endpoint.run);
    }
    // An older heartbeat may be written after the news that the endpoint
    // leaves; it must not be taken for a change of mind.
    endpoint.leaving = this->leaving.contains(endpoint.run);
  }
  // Entries lapse while the service is away although their endpoints live.
  // Taking all of them for gone would leave nobody to serve.
  if (now < this->grace_until) {
    for (const auto& [id, endpoint] : this->endpoints) {
      judged.try_emplace(id, endpoint);
    }
  }
  return judged;
}

void FleetSource::NoteReachable(bool answered) {
  if (std::exchange(this->reachable, answered) != answered) {
    LogInfo(kPart, answered ? "Store answers." : "Store doesn't answer.");
  }
}

}  // namespace hickorystand
