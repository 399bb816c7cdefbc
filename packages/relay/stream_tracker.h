// StreamTracker: records where the streams of this host's callers began, and
// finds the origin of streams that callers continue here. It drives
// StreamDirectory (decisions/stream_directory.h) over the links between hosts.
//
//   StreamTracker tracker(self, zone, clock, metrics, send);
//   tracker.Record(first_attempt, origin, remaining);  // at the first event
//   if (const auto found = tracker.Find(first_attempt, on_decision, lookup)) {
//     ...
//   }
//
// Index
//   StreamLookup    a wait for a decision
//   StreamTracker   the tracker, one per host

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "decisions/stream_directory.h"
#include "kernel/metrics.h"
#include "kernel/task.h"
#include "peers/message.h"

namespace hickorystand {

// A wait for a decision. Destroying it cancels the wait.
class StreamLookup {
 public:
  using Callback = std::function<void(const StreamDecision&)>;

  explicit StreamLookup(Callback on_decision)
      : on_decision(std::move(on_decision)) {}

 private:
  friend class StreamTracker;

  Callback on_decision;
};

// Runs on the main loop, on a timer of its own while it asks other hosts.
class StreamTracker {
 public:
  using SendTo = std::function<bool(const HostId&, const PeerMessage&)>;

  StreamTracker(const HostId& self,
                const ZoneId& zone,
                const Clock& clock,
                Metrics& metrics,
                SendTo send,
                const StreamDirectoryOptions& options = {});

  // Replaces the list of other hosts that keep records of streams.
  void SetPeers(const std::vector<StreamPeer>& peers);

  // Records the origin of a stream of a caller of this host, who gives up after
  // `remaining`; nullopt if it isn't known. To be called before the first event
  // is sent.
  void Record(const RequestId& first_attempt,
              const std::optional<StreamOrigin>& origin,
              Duration remaining);

  // What this host has recorded itself or was told.
  std::optional<StreamProgress> FindRecord(
      const RequestId& first_attempt) const;

  // Returns the decision if there is one already. Otherwise asks the other
  // hosts and calls back, unless `lookup` is destroyed before.
  std::optional<StreamDecision> Find(const RequestId& first_attempt,
                                     StreamLookup::Callback on_decision,
                                     std::shared_ptr<StreamLookup>& lookup);

  // The origins that this host has to write to the key-value service, each
  // once.
  std::vector<StreamReport> TakeUnstored(const std::set<ServiceId>& services);

  // A message of another host.
  void OnMessage(const HostId& from, const StreamMessage& message);

  // This host drains.
  void StartDrain();

  // Sets the gauge of the records kept here.
  void SetMetrics();

 private:
  static constexpr Duration kTick = std::chrono::milliseconds(20);

  void Send(const StreamMails& mails);
  void Decide();

  const Clock* clock;
  Metrics* metrics;
  SendTo send;
  StreamDirectory directory;
  std::multimap<StreamKey, std::weak_ptr<StreamLookup>> lookups;
  std::unique_ptr<Timer> timer;  // set while questions are open
};

}  // namespace hickorystand
