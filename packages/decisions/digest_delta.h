// Delta encoding of digests, so that their cost depends on the number of
// changes and not on the size of the fleet.
//
// The sender stamps every entry with the sequence number at which it last
// changed. A delta with base B holds the entries stamped after B, with their
// current values. It can be applied to any state at or after B, and one delta
// covers everything that was lost since B. Ids are sent once per
// incarnation of the sender, when an index is assigned to them; afterwards the
// index identifies the entry.
//
// Ids are not numbered by their position in a configuration revision. That
// would save the definitions, but while a configuration change propagates, two
// hosts would number differently and could not decode each other's digests.
//
// Index
//   NormaliseDigest          rounds a digest as the encoding does
//   DigestDelta, DigestAck   the messages
//   SentEntries              the entries of one kind at the sender
//   DigestSender             one host's state, for any number of receivers
//   DigestReceiver           the state of one other host, as received

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "decisions/digest.h"
#include "kernel/error.h"

namespace hickorystand {

// Prompt tokens and served cost are encoded in these units. The router's
// estimates are coarser, and with a smaller unit more entries would count as
// changed.
inline constexpr int64_t kOutstandingUnit = 64;
inline constexpr int64_t kServedUnit = 256;

// Maximum number of ids of one kind that a receiver stores per sender.
inline constexpr int32_t kMaxDigestEntries = 16384;

// Returns the digest rounded up to the units above, sorted, and without empty
// entries. This is exactly the digest that receivers reconstruct.
Digest NormaliseDigest(Digest digest);

// How long a sender retains the ids of removed entries.
struct DigestSenderOptions {
  // In digests. An endpoint without work is removed from the digest and added
  // again with its next request; sending its id again each time would cost more
  // than the rest of the entry.
  uint64_t removed_retention = 4096;
  // With more removed entries of a kind than this, receivers that are behind
  // with their acknowledgements are sent the full state, so that the entries
  // can be freed.
  size_t max_removed = 8192;

  auto operator<=>(const DigestSenderOptions&) const = default;
};

// One entry's current value. Both numbers are 0 if the entry was removed.
struct DigestEntry {
  int32_t index = 0;
  std::string id;  // set only if the index was assigned after the base
  int64_t first = 0;
  int64_t second = 0;

  auto operator<=>(const DigestEntry&) const = default;
};

// The changes of a host's digest since `base`.
struct DigestDelta {
  HostId host;
  DataCentreId data_centre;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  uint64_t base = 0;  // 0: the full state
  int64_t configuration_revision = 0;
  bool leaving = false;
  std::vector<DigestEntry> outstanding;              // tokens, requests
  std::vector<DigestEntry> served;                   // cost, waiting
  std::vector<DigestEntry> endpoints;                // incarnation, state
  std::optional<std::vector<Suspicion>> suspicions;  // absent: unchanged

  bool operator==(const DigestDelta&) const = default;
};

// The last state of a sender that a receiver has applied.
struct DigestAck {
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  bool gap = false;  // a delta could not be applied to this state

  auto operator<=>(const DigestAck&) const = default;
};

// The entries of one kind at the sender, with their indexes and change stamps.
class SentEntries {
 public:
  struct Values {
    int64_t first = 0;
    int64_t second = 0;

    auto operator<=>(const Values&) const = default;
  };

  // Sets the current entries; those missing from `present` are removed.
  void Update(const std::map<std::string, Values>& present, uint64_t sequence);

  // Returns the entries that changed after `base`, by ascending index.
  std::vector<DigestEntry> Since(uint64_t base) const;

  // Frees the indexes of entries that were removed at or before this sequence,
  // which all receivers have acknowledged.
  void FreeRemoved(uint64_t acknowledged);

  // The number of removed entries whose indexes are not yet freed.
  size_t RemovedCount() const;

 private:
  struct Entry {
    std::string id;
    uint64_t assigned_at = 0;
    uint64_t changed_at = 0;
    Values values;
  };

  int32_t IndexFor(const std::string& id, uint64_t sequence);

  std::vector<Entry> entries;  // by index; a free one has an empty id
  std::map<std::string, int32_t> indexes;
  std::set<int32_t> free_indexes;
};

// One host's digest, and for each receiver what was sent and acknowledged. Call
// Update() once per digest, then Next() for each receiver.
class DigestSender {
 public:
  explicit DigestSender(const DigestSenderOptions& options = {})
      : options(options) {}

  // Sets the host's current state and assigns it the next sequence number.
  void Update(const Digest& digest);

  // Call on a new connection to a receiver. Deltas in flight on the previous
  // connection may be lost, so they are sent again.
  void OnConnected(const HostId& receiver, uint64_t receiver_incarnation);

  // Handles an acknowledgement.
  void OnAck(const HostId& receiver, const DigestAck& ack);

  // Call when a delta for this receiver was dropped before it was sent.
  void OnDropped(const HostId& receiver);

  // Removes a receiver that won't return.
  void Remove(const HostId& receiver) { this->receivers.erase(receiver); }

  // Returns the next delta for a receiver and marks it as sent.
  DigestDelta Next(const HostId& receiver);

  uint64_t Sequence() const { return this->state.sequence; }
  uint64_t Incarnation() const { return this->state.incarnation; }

 private:
  struct Receiver {
    uint64_t incarnation = 0;
    uint64_t acked = 0;
    uint64_t sent = 0;
    uint64_t full_sent_at =
        0;  // sequence at which the full state was last sent
  };

  void FreeRemovedEntries();

  DigestSenderOptions options;
  Digest state;  // of its lists, only the suspicions
  uint64_t suspicions_changed_at = 0;
  SentEntries outstanding;
  SentEntries served;
  SentEntries endpoints;
  std::map<HostId, Receiver> receivers;
};

// The result of DigestReceiver::Apply().
enum class DeltaOutcome {
  kApplied,
  kStale,      // not newer than the current state
  kGap,        // an earlier delta was lost; the next ack reports the gap
  kMalformed,  // malformed: no sender of this release produces it
};

// The state of one other host.
class DigestReceiver {
 public:
  DeltaOutcome Apply(const DigestDelta& delta);

  // The sender's digest as last applied; its lists are sorted by id.
  const Digest& Current() const { return this->current; }

  // The acknowledgement to send.
  DigestAck Ack() const;

 private:
  struct Slot {
    std::string id;
    SentEntries::Values values;
  };
  using Slots = std::vector<Slot>;

  static bool ApplyEntries(const std::vector<DigestEntry>& entries,
                           Slots& slots);
  void Rebuild();

  Digest current;
  bool gap = false;
  Slots outstanding;
  Slots served;
  Slots endpoints;
};

}  // namespace hickorystand
