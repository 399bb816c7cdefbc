// Polls the configuration and the list of endpoints from the platform's
// key-value service, and tracks how fresh the configuration is.
//
// A freshness proof is a point in time at which the configuration held here was
// certainly the newest. It comes from the store, or from another host if the
// store doesn't answer this one.
//
// Reads are linearizable: a compare on the configuration record, whose value is
// transferred only if it has changed, and a read of the endpoints' prefix.
// Polls are used rather than a watch because a watch on that prefix would fire
// with every heartbeat: about 17 times a second on a fleet of 21 endpoints,
// against one read a second.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "kernel/task.h"
#include "peers/message.h"
#include "platform/key_value_store.h"
#include "relay/fleet_records.h"

namespace hickorystand {

// Poll periods, and the handling of outages.
struct FleetSourceOptions {
  // Period of polls, and so the maximum delay until a revoked key, a new route
  // or a leaving endpoint is seen; the tightest bound on these delays is 2 s.
  Duration poll_period = std::chrono::milliseconds(1000);
  // Period until the first reply; shorter, as nothing is served before it.
  Duration first_poll_period = std::chrono::milliseconds(250);
  // Maximum concurrent reads of one kind. While the service is slow, the next
  // read is sent before the last reply has arrived, but not while a reply is
  // being received, as both would share the link.
  int64_t max_pending_reads = 3;
  // After an outage of the service, endpoints keep being used for this long
  // although their entries expired, so that heartbeats can restore the entries.
  // Endpoints that are still missing then are removed.
  Duration outage_grace = std::chrono::milliseconds(2200);
  // A gap between replies above this counts as an outage of the service.
  Duration outage_after = std::chrono::milliseconds(1900);
  // If this host's freshness proof is older than ask_peers_after, it asks other
  // hosts for theirs, every ask_peers_every.
  Duration ask_peers_after = std::chrono::milliseconds(2000);
  Duration ask_peers_every = std::chrono::milliseconds(500);
};

// Callbacks of FleetSource.
struct FleetSourceHandlers {
  std::function<void(FleetConfigurationPtr)> on_configuration;
  std::function<void(const FleetEndpoints&)> on_endpoints;
  // The list passed to on_endpoints was read by a call made at that time.
  std::function<void(Instant)> on_list_read = [](Instant) {};
  // The last configuration passed to on_configuration was still the newest at
  // that time.
  std::function<void(Instant)> on_freshness_proof;
  // Sends a question to other hosts, which may have a newer freshness proof.
  std::function<void(const FreshnessQuestion&)> ask_peers;
  // The endpoint list newly shows that this run is leaving.
  std::function<void(const EndpointRun&)> on_leaving;
};

// Polls the store from Start() to Stop() and reports results to its handlers.
class FleetSource {
 public:
  FleetSource(FleetSourceOptions options,
              const Clock& clock,
              KeyValueStore& store,
              const FleetRecords& records,
              FleetSourceHandlers handlers);

  // Starts and stops polling. Starting again keeps the known configuration but
  // discards its freshness proof and the endpoints.
  void Start();
  void Stop() { this->timer.reset(); }

  // Replaces the options, effective immediately.
  void SetOptions(const FleetSourceOptions& new_options) {
    this->options = new_options;
  }

  // The answer to another host's question, or nullopt if this host has no
  // freshness proof or an older record than the other host.
  std::optional<FreshnessAnswer> Answer(
      const FreshnessQuestion& question) const;

  // Handles another host's answer: equivalent to a reply of the store, dated by
  // when this host sent the question.
  void OnFreshnessAnswer(const FreshnessAnswer& answer);

  // Reads a newer configuration version that another host has reported, without
  // waiting for the next poll. Further reports of that version are ignored.
  void PollConfigurationNow(int64_t version);

  // Another host has read from the store that a run is leaving.
  void MarkLeaving(const EndpointRun& run);

 private:
  struct PollState;

  void Tick();
  bool ShouldPoll(const PollState& polling, Instant now) const;
  void Read(PollState& polling,
            const StoreTransaction& transaction,
            std::function<void(StoreReply)> on_reply);
  void PollConfiguration(Instant now);
  StoreTransaction ReadIfNewer(int64_t known_revision) const;
  void PollEndpoints(Instant now);
  void AskPeers(Instant now);
  void ApplyConfigurationRecord(Instant asked,
                                int64_t revision,
                                const std::string& value);
  void ApplyEndpointList(Instant asked, const StoreReply& reply);
  void LogConfigurationRead(Instant asked, size_t bytes, int64_t version) const;
  void RecordReachability(bool now_reachable);
  void RecordProofSource(bool by_peer, Duration age);
  bool StoreWasDown(Instant now) const;
  FleetEndpoints VisibleEndpoints(Instant now);
  void PublishEndpoints(Instant now);

  // State of one kind of read.
  struct PollState {
    Instant next{};
    int64_t pending = 0;
    int64_t revision = -1;    // of the newest reply that was applied
    Instant last_progress{};  // when a part of a reply last arrived
  };

  FleetSourceOptions options;
  const Clock* clock;
  KeyValueStore* store;
  const FleetRecords* records;
  FleetSourceHandlers handlers;
  PollState configuration_poll;
  PollState endpoint_poll;
  int64_t record_revision = 0;  // of the configuration record last read
  std::string record;           // as stored, for hosts with an older one
  int64_t newest_reported_version = 0;  // by other hosts
  Instant proven_at{};  // when that record was last known to be the newest
  Instant proof_regained_at{};  // when proofs resumed after a gap on all hosts
  int64_t last_question = 0;
  std::map<int64_t, Instant> questions;  // to peers: time sent, by number
  Instant next_question{};
  Instant started_at{};
  bool proven_by_peer = false;  // whether the last proof came from a peer
  std::optional<Instant> last_listed_at;
  Instant grace_until{};
  FleetEndpoints listed;                 // as last read
  std::set<EndpointId> listed_in_grace;  // listed during the grace period
  FleetEndpoints endpoints;
  bool endpoints_published = false;  // since Start()
  std::set<EndpointRun> leaving;  // runs that announced it, or were ordered to
  bool reachable = false;
  std::unique_ptr<Timer> timer;
};

}  // namespace hickorystand
