// Reads the configuration and the list of endpoints from the platform's
// key-value service, again and again, and says how fresh they are.
//
// Polls are linearizable: a condition on the configuration's record, which is
// only sent if it has changed, and a read of the endpoints' prefix. A watch was
// weighed: on the endpoints' prefix it wakes with every heartbeat, about 17
// times a second on a fleet of 21 endpoints, against one read a second here.

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

// How often is read, and what holds after an outage.
struct FleetSourceOptions {
  // A revoked key, a new route and a leaving endpoint are known this much
  // later at most; the tightest bound on them is 2 s.
  Duration poll = std::chrono::milliseconds(1000);
  // The first reads come faster: until they are answered nothing is served.
  Duration first_poll = std::chrono::milliseconds(250);
  // Reads of one kind under way at once. While the service is slow, the next
  // read is asked before the last one is answered, except while an answer is
  // arriving, as both would share the link.
  int64_t most_under_way = 3;
  // Entries that lapsed while the service was away are back within this time
  // after its return; what is missing after that is gone.
  Duration return_grace = std::chrono::milliseconds(2200);
  // Without an answer for this long, the service counts as having been away.
  Duration away_after = std::chrono::milliseconds(1900);
  // With a proof older than this, other hosts are asked for theirs, this often.
  Duration ask_peers_after = std::chrono::milliseconds(2000);
  Duration ask_peers_every = std::chrono::milliseconds(500);
};

// Callbacks of FleetSource.
struct FleetSourceHandlers {
  std::function<void(FleetConfigurationPtr)> on_configuration;
  std::function<void(const FleetEndpoints&)> on_endpoints;
  // The configuration told last was the newest at that moment.
  std::function<void(Instant)> on_fresh;
  // The store doesn't answer this host; others may have what it would say.
  std::function<void(const FreshnessQuestion&)> ask_peers;
  // The store has just said that this run leaves.
  std::function<void(const EndpointRun&)> on_leaving;
};

class FleetSource {
 public:
  FleetSource(FleetSourceOptions options,
              const Clock& clock,
              KeyValueStore& store,
              const FleetRecords& records,
              FleetSourceHandlers handlers);

  // Starts and stops reading. Starting again keeps the known configuration but
  // discards its proof and the endpoints.
  void Start();
  void Stop() { this->timer.reset(); }

  // Reads as these options say from now on.
  void SetOptions(const FleetSourceOptions& changed) {
    this->options = changed;
  }

  // What this host can say to another one that the store doesn't answer;
  // nothing if it has no proof itself.
  std::optional<FreshnessAnswer> Answer(const FreshnessQuestion& asked) const;

  // Takes what another host says: as good as the store's own answer, dated by
  // when this host asked.
  void TakeAnswer(const FreshnessAnswer& answer);

  // Reads a newer configuration version that another host has reported, without
  // waiting for the next poll. Further reports of that version are ignored.
  void PollConfigurationNow(int64_t version);

  // Another host has heard from the store that a run leaves.
  void LearnLeaving(const EndpointRun& run);

 private:
  struct Polling;

  void Tick();
  bool ShouldPoll(const Polling& polling, Instant now) const;
  void Read(Polling& polling,
            const StoreTransaction& transaction,
            std::function<void(StoreReply)> done);
  void AskConfiguration(Instant now);
  StoreTransaction ReadIfNewer(int64_t known) const;
  void AskEndpoints(Instant now);
  void AskPeers(Instant now);
  void TakeConfiguration(Instant asked,
                         int64_t revision,
                         const std::string& value);
  void TakeEndpoints(Instant asked, const StoreReply& reply);
  void LogConfigurationRead(Instant asked, size_t bytes, int64_t version) const;
  void NoteReachable(bool reachable);
  void NoteProof(bool by_peer, Duration age);
  bool StoreWasAway(Instant now) const;
  FleetEndpoints VisibleEndpoints(Instant now);
  void PublishEndpoints(Instant now);

  // One kind of read.
  struct Polling {
    Instant next{};
    int64_t under_way = 0;
    int64_t revision = -1;    // of the newest answer that was taken
    Instant last_progress{};  // when a part of an answer last arrived
  };

  FleetSourceOptions options;
  const Clock* clock;
  KeyValueStore* store;
  const FleetRecords* records;
  FleetSourceHandlers handlers;
  Polling configuration;
  Polling list;
  int64_t record_revision = 0;  // of the configuration record last read
  std::string record;           // as it was read, for hosts that lack it
  int64_t newest_reported_version = 0;  // by other hosts
  Instant proven{};          // when that record was the newest for certain
  Instant proof_regained{};  // after nobody had any for a while
  int64_t last_question = 0;
  std::map<int64_t, Instant> questions;  // to peers, and when each was asked
  Instant next_question{};
  Instant started_at{};
  bool proven_by_peer = false;  // and not by the store itself
  std::optional<Instant> last_list;
  Instant grace_until{};
  FleetEndpoints listed;              // as read last
  std::set<EndpointId> listed_since;  // in the grace after an outage
  FleetEndpoints endpoints;
  bool endpoints_published = false;  // since Start()
  std::set<EndpointRun> leaving;  // runs that said they leave, or were told to
  bool reachable = false;
  std::unique_ptr<Timer> timer;
};

}  // namespace hickorystand
