#include "relay/fleet_source.h"

#include <algorithm>
#include <utility>

#include "kernel/log.h"

namespace hickorystand {
namespace {

constexpr std::string_view kPart = "source";

// Period of the timer that starts due reads.
constexpr Duration kTick = std::chrono::milliseconds(50);

// Maximum number of pending questions to other hosts. At two questions a
// second, an answer to an older one would be too old to prove freshness.
constexpr size_t kMaxQuestions = 16;

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
  this->started_at = this->clock->Now();
  this->proven_at = {};
  this->last_listed_at.reset();
  this->grace_until = {};
  this->listed.clear();
  this->endpoints.clear();
  this->endpoints_published = false;
  this->timer = Timer::Every(kTick, [this] { this->Tick(); });
  this->Tick();
}

void FleetSource::Tick() {
  const Instant now = this->clock->Now();
  if (this->ShouldPoll(this->configuration_poll, now)) {
    this->PollConfiguration(now);
  }
  if (this->ShouldPoll(this->endpoint_poll, now)) {
    this->PollEndpoints(now);
  }
  if (this->grace_until != Instant{} && now >= this->grace_until) {
    this->grace_until = {};
    this->PublishEndpoints(now);
  }
  if (now - this->proven_at > this->options.ask_peers_after &&
      now >= this->next_question) {
    this->AskPeers(now);
  }
}

bool FleetSource::ShouldPoll(const PollState& polling, Instant now) const {
  const bool receiving = polling.pending > 0 && now - polling.last_progress <
                                                    this->options.poll_period;
  return now >= polling.next && !receiving &&
         polling.pending < this->options.max_pending_reads;
}

void FleetSource::Read(PollState& polling,
                       const StoreTransaction& transaction,
                       std::function<void(StoreReply)> on_reply) {
  ++polling.pending;
  this->store->TransactWithProgress(
      transaction,
      [this, &polling] { polling.last_progress = this->clock->Now(); },
      [&polling, on_reply = std::move(on_reply)](const StoreReply& reply) {
        --polling.pending;
        polling.last_progress = {};
        on_reply(reply);
      });
}

void FleetSource::AskPeers(Instant now) {
  this->next_question = now + this->options.ask_peers_every;
  this->questions[++this->last_question] = now;
  if (this->questions.size() > kMaxQuestions) {
    this->questions.erase(this->questions.begin());
  }
  this->handlers.ask_peers(
      {.number = this->last_question, .revision = this->record_revision});
}

std::optional<FreshnessAnswer> FleetSource::Answer(
    const FreshnessQuestion& question) const {
  if (this->proven_at == Instant{} ||
      this->record_revision < question.revision) {
    return {};
  }
  return FreshnessAnswer{
      .number = question.number,
      .revision = this->record_revision,
      .age = this->clock->Now() - this->proven_at,
      .record = this->record_revision > question.revision ? this->record : ""};
}

// The other host created its answer after this host sent the question, so its
// record was still the newest at `age` before the time of sending, or later,
// regardless of network delay. This never compares clocks of two hosts.
void FleetSource::OnFreshnessAnswer(const FreshnessAnswer& answer) {
  const auto asked = this->questions.find(answer.number);
  if (asked == this->questions.end()) {
    return;
  }
  if (answer.revision >= this->record_revision) {
    this->RecordProofSource(true, answer.age);
  }
  this->ApplyConfigurationRecord(asked->second - answer.age, answer.revision,
                                 answer.record);
}

void FleetSource::PollConfigurationNow(int64_t version) {
  if (this->timer && version > this->newest_reported_version) {
    this->newest_reported_version = version;
    this->configuration_poll.next = {};
    this->Tick();
  }
}

void FleetSource::MarkLeaving(const EndpointRun& run) {
  this->leaving.insert(run);
  const auto found = this->endpoints.find(run.id);
  if (found != this->endpoints.end() && found->second.run == run &&
      !found->second.leaving) {
    found->second.leaving = true;
    this->handlers.on_endpoints(this->endpoints);
  }
}

void FleetSource::PollConfiguration(Instant now) {
  this->configuration_poll.next =
      now + (this->record_revision == 0 ? this->options.first_poll_period
                                        : this->options.poll_period);
  const int64_t known_revision = this->record_revision;
  this->Read(this->configuration_poll, this->ReadIfNewer(known_revision),
             [this, now, known_revision](const StoreReply& reply) {
               const bool unchanged =
                   known_revision > 0 && reply.outcome == StoreOutcome::kThen;
               const bool answered = unchanged ||
                                     reply.outcome == StoreOutcome::kThen ||
                                     reply.outcome == StoreOutcome::kOtherwise;
               this->RecordReachability(answered);
               if (unchanged) {
                 this->RecordProofSource(false, this->clock->Now() - now);
                 this->ApplyConfigurationRecord(now, known_revision, "");
               } else if (answered && !reply.records.empty()) {
                 // No record means that none has been written yet.
                 const StoreRecord& read = reply.records.front();
                 this->RecordProofSource(false, this->clock->Now() - now);
                 this->ApplyConfigurationRecord(now, read.mod_revision,
                                                read.value);
               }
             });
}

// If a record is known, a compare that it hasn't changed proves freshness as
// well as reading it again does. Reading a large configuration could take a
// slow host longer than the poll period.
StoreTransaction FleetSource::ReadIfNewer(int64_t known_revision) const {
  const std::string key = this->records->ConfigurationKey();
  if (known_revision == 0) {
    return {.then = {StoreGet(key)}};
  }
  return {.conditions = {{.key = key, .revision = known_revision}},
          .otherwise = {StoreGet(key)}};
}

// Applies a record that was the newest at `asked`. `value` is needed only if
// `revision` is above the known one.
void FleetSource::ApplyConfigurationRecord(Instant asked,
                                           int64_t revision,
                                           const std::string& value) {
  if (revision < this->record_revision) {
    return;  // replies may arrive out of order
  }
  const Instant previous_proof = this->proven_at;
  if (revision > this->record_revision) {
    auto parsed = this->records->ReadConfiguration(value);
    if (!parsed) {
      LogError(kPart, "Configuration record can't be parsed.",
               {{"revision", std::to_string(revision)},
                {"why", parsed.error().message}});
      return;
    }
    this->record_revision = revision;
    this->record = value;
    this->proven_at = {};  // the proof was for the previous record
    this->LogConfigurationRead(asked, value.size(), parsed->version);
    this->handlers.on_configuration(
        std::make_shared<const FleetConfiguration>(std::move(*parsed)));
  }
  if (asked - previous_proof > this->options.outage_after) {
    this->proof_regained_at = this->clock->Now();
  }
  this->proven_at = std::max(this->proven_at, asked);
  this->handlers.on_freshness_proof(this->proven_at);
}

// The size, age and pending polls distinguish a slow store from a record that
// takes long to transfer.
void FleetSource::LogConfigurationRead(Instant asked,
                                       size_t bytes,
                                       int64_t version) const {
  const Duration age = this->clock->Now() - asked;
  LogInfo(kPart, "Configuration read.",
          {{"version", std::to_string(version)},
           {"revision", std::to_string(this->record_revision)},
           {"bytes", std::to_string(bytes)},
           {"age_ms", std::to_string(age / std::chrono::milliseconds(1))},
           {"pending_polls", std::to_string(this->configuration_poll.pending)},
           {"source", this->proven_by_peer ? "another host" : "the store"}});
}

void FleetSource::PollEndpoints(Instant now) {
  this->endpoint_poll.next =
      now + (this->last_listed_at ? this->options.poll_period
                                  : this->options.first_poll_period);
  this->Read(this->endpoint_poll,
             {.then = {{.kind = StoreOperation::Kind::kGetPrefix,
                        .key = this->records->EndpointPrefix()}}},
             [this, now](const StoreReply& reply) {
               if (reply.outcome == StoreOutcome::kThen) {
                 this->ApplyEndpointList(now, reply);
               }
             });
}

void FleetSource::ApplyEndpointList(Instant asked, const StoreReply& reply) {
  if (reply.revision < this->endpoint_poll.revision ||
      asked < this->started_at) {
    return;  // out of order, or requested before Start()
  }
  this->endpoint_poll.revision = reply.revision;
  const Instant now = this->clock->Now();
  if (this->last_listed_at &&
      asked - *this->last_listed_at > this->options.outage_after &&
      this->StoreWasDown(now)) {
    this->grace_until = now + this->options.outage_grace;
    this->listed_in_grace.clear();
    LogInfo(kPart, "Endpoint list read again after a store outage.",
            {{"known", std::to_string(this->endpoints.size())},
             {"listed", std::to_string(reply.records.size())}});
  }
  this->last_listed_at = now;
  this->listed.clear();
  for (const StoreRecord& record : reply.records) {
    auto parsed = this->records->ReadEndpoint(record);
    if (parsed) {
      if (now < this->grace_until) {
        this->listed_in_grace.insert(parsed->run.id);
      }
      this->listed[parsed->run.id] = std::move(*parsed);
    } else {
      LogDebug(kPart, "Endpoint entry can't be parsed.",
               {{"key", record.key}, {"why", parsed.error().message}});
    }
  }
  this->PublishEndpoints(now);
  this->handlers.on_list_read(asked);
}

// Whether the store didn't answer the other hosts either. If their proofs show
// that it did, no entry expired because of an outage, and endpoints that are
// missing from the list have left.
bool FleetSource::StoreWasDown(Instant now) const {
  return now - this->proven_at > this->options.outage_after ||
         now - this->proof_regained_at < this->options.outage_grace;
}

void FleetSource::PublishEndpoints(Instant now) {
  const FleetEndpoints visible = this->VisibleEndpoints(now);
  if (visible != this->endpoints || !this->endpoints_published) {
    this->endpoints_published = true;
    this->endpoints = visible;
    this->handlers.on_endpoints(this->endpoints);
  }
}

// The endpoints to publish: the last list, with leaving runs marked, and during
// the grace period the endpoints whose entries may have expired in the outage.
FleetEndpoints FleetSource::VisibleEndpoints(Instant now) {
  FleetEndpoints visible = this->listed;
  for (auto& [id, endpoint] : visible) {
    if (endpoint.leaving && this->leaving.insert(endpoint.run).second) {
      this->handlers.on_leaving(endpoint.run);
    }
    // A heartbeat sent before the endpoint began to leave may be written after
    // the notice that it leaves; it must not clear the leaving flag.
    endpoint.leaving = this->leaving.contains(endpoint.run);
  }
  // Entries expire during an outage of the service although their endpoints are
  // alive; removing them all would leave no endpoint to serve requests. But an
  // endpoint that was listed since the outage and is missing now has left, and
  // work sent to it would be cut off.
  if (now < this->grace_until) {
    for (const auto& [id, endpoint] : this->endpoints) {
      if (!this->listed_in_grace.contains(id)) {
        visible.try_emplace(id, endpoint);
      }
    }
  }
  return visible;
}

void FleetSource::RecordProofSource(bool by_peer, Duration age) {
  if (std::exchange(this->proven_by_peer, by_peer) != by_peer) {
    LogInfo(kPart, "Configuration freshness is proven by another source.",
            {{"source", by_peer ? "another host" : "the store"},
             {"revision", std::to_string(this->record_revision)},
             {"age_ms", std::to_string(age / std::chrono::milliseconds(1))}});
  }
}

void FleetSource::RecordReachability(bool now_reachable) {
  if (std::exchange(this->reachable, now_reachable) != now_reachable) {
    if (now_reachable) {
      this->endpoint_poll.next = {};  // a leaving endpoint may have been missed
    }
    LogInfo(kPart, now_reachable ? "Store answers." : "Store doesn't answer.");
  }
}

}  // namespace hickorystand
