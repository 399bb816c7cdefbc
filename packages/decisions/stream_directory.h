// StreamDirectory: finds the origin of a stream that its caller continues with
// a new attempt, at any host.
//
// The host that has the caller's connection records the origin before it sends
// the first event, and tells it a few other hosts, some in its own zone and at
// least one in another. The record outlives any of them. A host that gets a
// continuation and has no record asks all others; the first record decides.
// Without one the origin is unknown, and the stream must not continue:
//
//   - the host that began it and all hosts that it told were killed, or can't
//     be reached within `answer_timeout`;
//   - it began at a host of an earlier release, or at one without links.
//
// The loss of all hosts is survived by records in the key-value service, for
// which TakeUnstored() returns each stream once (decisions/stream_records.h).
//
// Only the host with the caller's connection records an origin, once per
// stream: a scheduler may send a first event that never reaches the caller. If
// hosts still report different origins, the stream's origin is unknown. It is
// recorded as unknown if the endpoint's version was in doubt.
//
// Records expire when the caller has given up. A host that drains passes its
// records on, and a host that finds a new one to tell (after a restart or a
// lost link) tells it all of its own records again.
//
// Performs no I/O. Calls return the messages to be sent.
//
//   StreamDirectory directory(self, zone);
//   Send(directory.SetPeers(now, peers));
//   Send(directory.Record(now, stream, origin, remaining));  // first event
//   if (auto found = directory.Find(now, stream)) { ... }    // continuation
//   else Send(directory.Ask(now, stream));
//   for (const auto& decided : directory.TakeDecisions(now)) { ... }
//
// Index
//   StreamKey, StreamKeyOf     identify a stream
//   StreamReport               the origin of a stream
//   StreamReports, StreamQuestion, StreamAnswer   messages between hosts
//   StreamMail                 a message and its receiver
//   StreamPeer                 another host
//   StreamDecision             the result of a question
//   StreamDirectoryOptions     numbers of copies, timeouts and sizes
//   StreamDirectory            the records and questions of one host

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "decisions/stream_origin.h"
#include "kernel/ids.h"
#include "kernel/time.h"

namespace hickorystand {

// Identifies a stream: a hash of the id of the attempt that brought its first
// event.
using StreamKey = uint64_t;
StreamKey StreamKeyOf(const RequestId& first_attempt);

// The origin of a stream.
struct StreamReport {
  StreamKey stream = 0;
  // nullopt: certainly unknown, or hosts reported different ones.
  std::optional<StreamOrigin> origin;
  Duration remaining{};  // until the caller has given up

  auto operator<=>(const StreamReport&) const = default;
};

// Origins that the sender has recorded.
struct StreamReports {
  std::vector<StreamReport> streams;

  auto operator<=>(const StreamReports&) const = default;
};

// Asks for the origins of streams.
struct StreamQuestion {
  std::vector<StreamKey> streams;

  auto operator<=>(const StreamQuestion&) const = default;
};

// The answer to a StreamQuestion.
struct StreamAnswer {
  std::vector<StreamReport> known;
  std::vector<StreamKey> unknown;

  auto operator<=>(const StreamAnswer&) const = default;
};

using StreamMessage = std::variant<StreamReports, StreamQuestion, StreamAnswer>;

// A message and its receiver.
struct StreamMail {
  HostId to;
  StreamMessage message;

  auto operator<=>(const StreamMail&) const = default;
};

using StreamMails = std::vector<StreamMail>;

// Another host that keeps records of streams.
struct StreamPeer {
  HostId id;
  ZoneId zone;
  bool linked = false;    // messages can be sent to it
  bool draining = false;  // it is not told further streams

  auto operator<=>(const StreamPeer&) const = default;
};

// The result of a question.
struct StreamDecision {
  StreamKey stream = 0;
  StreamProgress progress;  // never "not begun"
  bool recorded = false;    // a host has a record, even if of an unknown origin
  HostId source;            // which one; empty: this host
  int64_t asked = 0;        // hosts that were asked
  int64_t silent = 0;       // hosts that didn't answer or couldn't be asked
  Duration waited{};

  auto operator<=>(const StreamDecision&) const = default;
};

// Numbers of copies, timeouts and sizes.
struct StreamDirectoryOptions {
  // Hosts that a record is told to, in the own zone and in others. If one of
  // the two has too few, the other gets more.
  size_t own_zone_copies = 2;
  size_t other_zone_copies = 1;
  // Longest wait for answers. Hosts that answer do so within a round trip.
  Duration answer_timeout = std::chrono::milliseconds(200);
  // Added to the time in which the caller gives up, for clocks and delays.
  Duration expiry_margin = std::chrono::seconds(2);
  Duration max_retention = std::chrono::seconds(60);
  size_t max_records = 50000;  // the first to expire are dropped
  size_t max_reports_per_message = 1000;

  auto operator<=>(const StreamDirectoryOptions&) const = default;
};

// The records and questions of one host.
class StreamDirectory {
 public:
  StreamDirectory(HostId self,
                  ZoneId zone,
                  const StreamDirectoryOptions& options = {})
      : self(std::move(self)), zone(std::move(zone)), options(options) {}

  // Replaces the list of other hosts. A host whose link was lost has to be
  // listed as not linked once before it is listed as linked again.
  StreamMails SetPeers(Instant now, const std::vector<StreamPeer>& listed);

  // Records the origin of a stream whose caller is connected to this host and
  // gives up after `remaining`; nullopt if it isn't known. To be called before
  // the first event is sent.
  StreamMails Record(Instant now,
                     StreamKey stream,
                     const std::optional<StreamOrigin>& origin,
                     Duration remaining);

  // The stream's progress if this host has a record of it.
  std::optional<StreamProgress> Find(Instant now, StreamKey stream) const;

  // Asks the other hosts for a stream's origin. TakeDecisions() returns the
  // result, at the latest after `answer_timeout`.
  StreamMails Ask(Instant now, StreamKey stream);
  std::vector<StreamDecision> TakeDecisions(Instant now);
  bool Asking() const { return !this->questions.empty(); }

  // Messages of other hosts.
  StreamMails OnMessage(Instant now,
                        const HostId& from,
                        const StreamMessage& message);

  // This host drains: passes its records on.
  StreamMails StartDrain(Instant now);

  // Returns the origins that this host has to write to the key-value service,
  // each once: of its own streams at these services, and of those that a host
  // told which keeps no records of others.
  std::vector<StreamReport> TakeUnstored(Instant now,
                                         const std::set<ServiceId>& services);

  // The hosts that are told this host's records.
  const std::set<HostId>& Copies() const { return this->copies; }
  size_t Records() const { return this->records.size(); }

 private:
  struct Entry {
    std::optional<StreamOrigin> origin;  // nullopt: unknown
    Instant expires{};
    bool own = false;  // recorded by this host
  };
  struct Question {
    Instant asked_at{};
    std::set<HostId> asked;
    std::set<HostId> waiting;  // asked, and not answered yet
    HostId source;
  };

  bool Merge(Instant now,
             const HostId& from,
             const StreamReport& report,
             bool own);
  void Expire(Instant now);
  void Erase(StreamKey stream);
  StreamReport ReportOf(Instant now,
                        StreamKey stream,
                        const Entry& entry) const;
  std::set<HostId> ChooseCopies() const;
  StreamMails ReportTo(Instant now, const HostId& to, bool own_only) const;
  void AskPeer(const HostId& peer,
               StreamKey stream,
               Question& question,
               StreamMails& mails);
  int64_t SilentHosts(const Question& question) const;
  StreamMails OnReports(Instant now,
                        const HostId& from,
                        const StreamReports& reports);
  StreamMails Answer(Instant now,
                     const HostId& from,
                     const StreamQuestion& question);
  void OnAnswer(Instant now, const HostId& from, const StreamAnswer& answer);

  HostId self;
  ZoneId zone;
  StreamDirectoryOptions options;
  std::map<HostId, StreamPeer> peers;
  std::set<HostId> copies;
  std::map<StreamKey, Entry> records;
  std::set<std::pair<Instant, StreamKey>> expiries;
  std::map<ServiceId, std::set<StreamKey>> unstored;
  std::map<StreamKey, Question> questions;
  bool draining = false;
};

}  // namespace hickorystand
