// Digests as differences, so that what a host spends on them follows what
// changes and not how large the fleet is.
//
// The sender stamps every entry with the sequence number at which it last
// changed. A delta with base B holds the entries stamped after B, with their
// present values: it may be applied to any state from B on, and one delta
// covers whatever was lost since B. Ids travel once per incarnation of the
// sender and are indexes from then on.
//
// Numbering ids by their place in a configuration revision was weighed too. It
// saves the definitions, but while a change spreads, two hosts number
// differently and can't read each other's digests.
//
// Index
//   DigestDelta, DigestAck   what travels
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

// Prompt tokens and served cost travel in these units. The router's estimates
// are coarser, and a smaller unit would make more entries count as changed.
inline constexpr int64_t kOutstandingUnit = 64;
inline constexpr int64_t kServedUnit = 256;

// Most ids of one kind that a receiver keeps for a sender.
inline constexpr int32_t kMaxDigestEntries = 16384;

// A digest rounded to the units above, sorted, without entries that say
// nothing. Receivers end up with exactly this.
Digest NormaliseDigest(Digest digest);

// How long a sender remembers ids of entries that are gone.
struct DigestSenderOptions {
  // In digests. An endpoint without work is gone from the digest, but is there
  // again with its next request; sending its id anew each time would cost more
  // than the rest of the entry.
  uint64_t keep_gone = 4096;
  // Beyond this many gone entries that a receiver doesn't acknowledge, it is
  // sent the whole state instead.
  size_t max_gone = 8192;

  auto operator<=>(const DigestSenderOptions&) const = default;
};

// One entry's present value. Both numbers 0: there is no such entry any more.
struct DigestEntry {
  int32_t index = 0;
  std::string id;  // only if the index was bound to this id after the base
  int64_t first = 0;
  int64_t second = 0;

  auto operator<=>(const DigestEntry&) const = default;
};

// What changed in a host's digest since `base`.
struct DigestDelta {
  HostId host;
  DataCentreId data_centre;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  uint64_t base = 0;  // 0: the whole state
  int64_t configuration_revision = 0;
  bool leaving = false;
  std::vector<DigestEntry> outstanding;              // tokens, requests
  std::vector<DigestEntry> served;                   // cost, waiting
  std::vector<DigestEntry> endpoints;                // incarnation, state
  std::optional<std::vector<Suspicion>> suspicions;  // absent: unchanged

  bool operator==(const DigestDelta&) const = default;
};

// What a receiver has of a sender.
struct DigestAck {
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  bool gap = false;  // a delta came that doesn't fit onto this state

  auto operator<=>(const DigestAck&) const = default;
};

// The entries of one kind at the sender.
class SentEntries {
 public:
  struct Values {
    int64_t first = 0;
    int64_t second = 0;

    auto operator<=>(const Values&) const = default;
  };

  // Takes the present entries; what is missing from them is gone.
  void Update(const std::map<std::string, Values>& present, uint64_t sequence);

  // The entries that changed after `base`, by rising index.
  std::vector<DigestEntry> Since(uint64_t base) const;

  // Forgets entries that are gone and that everybody knows to be gone.
  void Forget(uint64_t known_to_all);

  // Entries that are gone but not yet forgotten.
  size_t Gone() const;

 private:
  struct Entry {
    std::string id;
    uint64_t bound_at = 0;
    uint64_t changed_at = 0;
    Values values;
  };

  int32_t IndexFor(const std::string& id, uint64_t sequence);

  std::vector<Entry> entries;  // by index; a free one has an empty id
  std::map<std::string, int32_t> indexes;
  std::set<int32_t> free_indexes;
};

// One host's digest and how far each receiver has followed it.
class DigestSender {
 public:
  explicit DigestSender(const DigestSenderOptions& options = {})
      : options(options) {}

  // Takes the host's present state and gives it the next sequence number.
  void Update(const Digest& digest);

  // A new connection to a receiver was made: what was under way on the one
  // before may be lost.
  void OnConnected(const HostId& receiver, uint64_t receiver_incarnation);

  // A receiver said what it has.
  void OnAck(const HostId& receiver, const DigestAck& ack);

  // A delta made for this receiver was dropped before it was sent.
  void OnDropped(const HostId& receiver);

  // The receiver has left for good.
  void Remove(const HostId& receiver) { this->receivers.erase(receiver); }

  // The next delta for a receiver, which counts as sent from now on.
  DigestDelta Next(const HostId& receiver);

  uint64_t Sequence() const { return this->state.sequence; }
  uint64_t Incarnation() const { return this->state.incarnation; }

 private:
  struct Receiver {
    uint64_t incarnation = 0;
    uint64_t acked = 0;
    uint64_t sent = 0;
    uint64_t whole_at = 0;  // when it was last sent the whole state
  };

  void ForgetWhatIsGone();

  DigestSenderOptions options;
  Digest state;  // without its lists, but for the suspicions
  uint64_t suspicions_changed_at = 0;
  SentEntries outstanding;
  SentEntries served;
  SentEntries endpoints;
  std::map<HostId, Receiver> receivers;
};

// What became of a delta.
enum class DeltaOutcome {
  kApplied,
  kStale,  // not above what is already here
  kGap,    // something before it was lost; the next ack says so
  kWrong,  // not what a sender of this release makes
};

// The state of one other host.
class DigestReceiver {
 public:
  // Takes a delta.
  DeltaOutcome Apply(const DigestDelta& delta);

  // The sender's digest as known here; its lists are sorted by id.
  const Digest& Current() const { return this->current; }

  // What to tell the sender.
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
