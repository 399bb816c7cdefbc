// The "etcd-json" plug-in: the published etcd v3 JSON gateway over HTTP.
//
// Index
//   EtcdCalls   one call over several addresses, and what its failure means
//   EtcdWatch   one watch, and how it notices that it has gone silent
//   EtcdStore   the plug-in

#include <algorithm>
#include <cassert>
#include <map>
#include <optional>
#include <utility>

#include "kernel/backoff.h"
#include "kernel/log.h"
#include "kernel/registry.h"
#include "kernel/task.h"
#include "platform/etcd_messages.h"
#include "platform/json_client.h"
#include "platform/key_value_store.h"

namespace hickorystand {
namespace {

constexpr std::string_view kPart = "store";

// An outage's first wait and its longest. Short, as a lease must be renewed
// soon after the service is back.
constexpr Duration kFirstWait = std::chrono::milliseconds(50);
constexpr Duration kLongestWait = std::chrono::seconds(1);

// Failures in a row after which transactions are refused without a try.
constexpr int kFailuresToStop = 3;

// How often a quiet watch is checked, how long an event may come late, and how
// many checks may fail in a row.
constexpr Duration kProbePeriod = std::chrono::seconds(1);
constexpr Duration kProbeGrace = std::chrono::milliseconds(500);
constexpr int kProbeFailures = 3;

// The longest line that a watch takes; a longer one ends it, and the state is
// read anew.
constexpr size_t kMaxWatchLine = size_t{32} << 20;
constexpr Duration kNoLimit = std::chrono::hours(24 * 365);

// Statuses by which the service says for certain that it did nothing. Others,
// such as 500 and 503, also come when it gave up waiting for its own members
// while the write went on.
bool SurelyRefused(int status) {
  return status >= 400 && status < 500 && status != SOUP_STATUS_REQUEST_TIMEOUT;
}

// One request body with its path, and what it counts as.
struct EtcdRequest {
  std::string path;
  std::string body;
  bool read = false;  // changes nothing, so it may be sent twice
};

// Sends calls to whichever address answers.
class EtcdCalls {
 public:
  explicit EtcdCalls(const KeyValueStoreOptions& options)
      : options(options), backoff(kFirstWait, kLongestWait, options.seed) {
    assert(!options.addresses.empty() && "the store has no address");
  }

  const SocketAddress& Preferred() const {
    return this->options.addresses[this->preferred];
  }
  void AvoidPreferred() {
    this->preferred = (this->preferred + 1) % this->options.addresses.size();
  }

  // Whether an outage is known and the next try is not due yet.
  bool Waiting() const {
    return this->backoff.Failures() >= kFailuresToStop &&
           this->clock.Now() < this->next_try;
  }

  void Send(const EtcdRequest& request, std::function<void(JsonReply)> done) {
    this->Count(request.read ? "store_reads_total" : "store_writes_total");
    this->Try(request, this->clock.Now() + this->options.timeout,
              this->options.addresses.size(), std::move(done));
  }

  void Count(std::string_view counter) const {
    if (this->options.metrics != nullptr) {
      this->options.metrics->Add(counter, 1);
    }
  }
  void CountWatch(int change) {
    this->watches += change;
    if (this->options.metrics != nullptr) {
      this->options.metrics->Set("store_watches_waiting",
                                 static_cast<double>(this->watches));
    }
  }
  Duration Timeout() const { return this->options.timeout; }

 private:
  // Tries one address. The next one is tried when it is certain that nothing
  // was sent, or when sending twice does no harm.
  void Try(const EtcdRequest& request,
           Instant deadline,
           size_t left,
           std::function<void(JsonReply)> done) {
    const Duration rest =
        std::max(deadline - this->clock.Now(), Duration(1000));
    JsonRequest call{
        .address = this->Preferred(),
        .target = request.path,
        .body = request.body,
        .timeout = request.read ? rest / static_cast<int64_t>(left) : rest,
        .idempotent = request.read};
    if (request.read) {
      // An empty handler is enough: setting one restarts the timeout whenever
      // data arrives, so a large response is not cut off on a slow link.
      call.on_progress = [] {};
    }
    this->client.Send(
        std::move(call), [this, request, deadline, left,
                          done = std::move(done)](const JsonReply& reply) {
          const bool answered = reply.outcome == JsonOutcome::kAnswered;
          if (answered && reply.status < SOUP_STATUS_INTERNAL_SERVER_ERROR) {
            this->backoff.Reset();
            done(reply);
            return;
          }
          this->AvoidPreferred();
          const bool again =
              reply.outcome == JsonOutcome::kNotSent || request.read;
          if (again && left > 1 && this->clock.Now() < deadline) {
            this->Try(request, deadline, left - 1, done);
            return;
          }
          this->NoteFailure(reply);
          done(reply);
        });
  }

  void NoteFailure(const JsonReply& reply) {
    this->next_try = this->clock.Now() + this->backoff.Next();
    this->Count("store_failures_total");
    if (this->limiter.Allow(this->clock.Now())) {
      LogWarning(kPart, "The key-value service does not answer.",
                 {{"error", reply.error},
                  {"suppressed", std::to_string(this->limiter.Suppressed())}});
    }
  }

  KeyValueStoreOptions options;
  BootClock clock;
  JsonClient client;
  Backoff backoff;
  Instant next_try{};
  size_t preferred = 0;
  int64_t watches = 0;
  LogLimiter limiter{3, std::chrono::seconds(10)};
};

// One watch. The service sends nothing while nothing changes, so a connection
// that has gone silent for good looks like a quiet one: keys revoked
// meanwhile would stay good on this host. So a quiet watch is checked: a read
// asks which keys changed above the last revision seen; one that did, and whose
// event doesn't come within a grace, shows that the watch is dead. Records
// deleted meanwhile don't show in the check; what is watched is never deleted
// unseen, as whoever depends on that reads it before it acts.
class EtcdWatch final : public StoreWatch {
 public:
  using OnChange =
      std::function<void(int64_t revision, std::vector<StoreChange>)>;

  EtcdWatch(std::shared_ptr<EtcdCalls> calls,
            std::string prefix,
            int64_t after_revision,
            OnChange on_change,
            std::function<void(Error)> on_lost)
      : calls(std::move(calls)),
        prefix(std::move(prefix)),
        seen(after_revision),
        on_change(std::move(on_change)),
        on_lost(std::move(on_lost)),
        alive(std::make_shared<bool>(true)) {
    this->calls->CountWatch(1);
    this->stream = this->client.Send(
        {.address = this->calls->Preferred(),
         .method = "POST",
         .target = "/v3/watch",
         .content_type = "application/json",
         .body = WriteWatch(this->prefix, after_revision),
         .timeouts = HttpTimeouts{.connect = this->calls->Timeout(),
                                  .first_byte = this->calls->Timeout(),
                                  .between_bytes = kNoLimit}},
        {.on_head =
             [this](const HttpResponseHead& head) {
               if (head.status != SOUP_STATUS_OK) {
                 this->Lose({ErrorKind::kPlatformDown,
                             "the watch was refused with status " +
                                 std::to_string(head.status),
                             {}});
               }
             },
         .on_bytes = [this](std::string_view bytes) { this->Take(bytes); },
         .on_end =
             [this](HttpEnd, const std::string& detail) {
               this->calls->AvoidPreferred();
               this->Lose({ErrorKind::kPlatformDown,
                           detail.empty() ? "the stream ended" : detail,
                           {}});
             }});
    this->check = Timer::After(this->calls->Timeout(), [this] {
      if (!this->created) {
        this->Lose({ErrorKind::kTimeout, "the watch was not confirmed", {}});
      } else {
        this->check =
            Timer::Every(kProbePeriod, [this] { this->ProbeIfQuiet(); });
      }
    });
  }

  ~EtcdWatch() override {
    *this->alive = false;
    this->Close();
    this->calls->CountWatch(-1);
  }

 private:
  // Closes the connection, which goes with the last pointer to the stream. A
  // lost watch would otherwise wait on at the service, which bills it.
  void Close() {
    if (this->stream) {
      this->stream->Cancel();
      this->stream.reset();
    }
  }

  // Splits the stream into its lines.
  void Take(std::string_view bytes) {
    this->partial += bytes;
    size_t start = 0;
    for (size_t end = this->partial.find('\n'); end != std::string::npos;
         end = this->partial.find('\n', start)) {
      const std::string line = this->partial.substr(start, end - start);
      start = end + 1;
      if (!line.empty() && !this->lost) {
        this->TakeLine(line);
      }
    }
    this->partial.erase(0, start);
    if (this->partial.size() > kMaxWatchLine) {
      this->Lose({ErrorKind::kTooLarge, "a line of the watch is too long", {}});
    }
  }

  void TakeLine(const std::string& line) {
    auto message = ReadWatchMessage(line);
    if (!message) {
      this->Lose(message.error());
      return;
    }
    if (message->cancelled) {
      this->Lose({ErrorKind::kPlatformDown,
                  "the watch was cancelled: " + message->reason,
                  {}});
      return;
    }
    this->created = true;
    this->quiet = false;
    if (message->changes.empty()) {
      return;
    }
    for (const StoreChange& change : message->changes) {
      this->seen = std::max(this->seen, change.record.mod_revision);
    }
    this->on_change(message->revision, std::move(message->changes));
  }

  void ProbeIfQuiet() {
    if (!std::exchange(this->quiet, true)) {
      return;
    }
    this->calls->Send({.path = "/v3/kv/range",
                       .body = WriteProbe(this->prefix, this->seen),
                       .read = true},
                      [this, alive = this->alive](const JsonReply& reply) {
                        if (*alive) {
                          this->TakeProbe(reply);
                        }
                      });
  }

  void TakeProbe(const JsonReply& reply) {
    const auto changed = reply.outcome == JsonOutcome::kAnswered
                             ? ReadRangeReply(reply.body)
                             : std::nullopt;
    if (!changed) {
      if (++this->failures >= kProbeFailures) {
        this->Lose(
            {ErrorKind::kPlatformDown, "the watch can't be checked", {}});
      }
      return;
    }
    this->failures = 0;
    const auto newest = std::ranges::max_element(changed->records, {},
                                                 &StoreRecord::mod_revision);
    if (newest == changed->records.end()) {
      return;
    }
    this->grace = Timer::After(kProbeGrace, [this, due = newest->mod_revision] {
      if (this->seen < due) {
        this->Lose({ErrorKind::kTimeout, "the watch has gone silent", {}});
      }
    });
  }

  // Ends the watch. The callback may destroy it, so it comes last and from a
  // timer of its own.
  void Lose(const Error& error) {
    if (!std::exchange(this->lost, true)) {
      LogWarning(kPart, "A watch was lost.",
                 {{"prefix", this->prefix}, {"error", error.message}});
      this->calls->Count("store_watches_lost_total");
      this->ending = Timer::After(Duration::zero(), [this, error] {
        this->Close();
        this->check.reset();
        this->grace.reset();
        const auto call = std::move(this->on_lost);
        call(error);
      });
    }
  }

  std::shared_ptr<EtcdCalls> calls;
  std::string prefix;
  int64_t seen;  // highest revision of an event that came
  OnChange on_change;
  std::function<void(Error)> on_lost;
  std::shared_ptr<bool> alive;
  HttpClient client;
  HttpExchangePtr stream;
  std::string partial;  // a line whose end has not come yet
  std::unique_ptr<Timer> check;
  std::unique_ptr<Timer> grace;
  std::unique_ptr<Timer> ending;
  bool created = false;
  bool quiet = false;  // nothing came since the last look
  bool lost = false;
  int failures = 0;
};

// A lease's answer, or why there is none.
Result<Json> ReadLeaseReply(const JsonReply& reply) {
  if (reply.outcome != JsonOutcome::kAnswered) {
    return Fail(reply.outcome == JsonOutcome::kNotSent
                    ? ErrorKind::kPlatformDown
                    : ErrorKind::kTimeout,
                reply.error);
  }
  auto json = Json::Parse(reply.body);
  if (reply.status == SOUP_STATUS_NOT_FOUND) {
    return Fail(ErrorKind::kNotFound, "the lease has expired");
  }
  if (!json || reply.status != SOUP_STATUS_OK) {
    return Fail(ErrorKind::kPlatformDown, "the key-value service answered " +
                                              std::to_string(reply.status) +
                                              ": " + reply.body);
  }
  return json;
}

std::string LeaseBody(int64_t lease) {
  return JsonWriter()
      .BeginObject()
      .Member("ID", std::to_string(lease))
      .EndObject()
      .Text();
}

class EtcdStore final : public KeyValueStore {
 public:
  explicit EtcdStore(const KeyValueStoreOptions& options)
      : calls(std::make_shared<EtcdCalls>(options)) {}

  void Transact(const StoreTransaction& transaction,
                std::function<void(StoreReply)> done) override {
    if (this->calls->Waiting()) {
      this->AnswerLater(std::move(done));
      return;
    }
    const bool range = IsSingleRead(transaction);
    const EtcdRequest request{.path = range ? "/v3/kv/range" : "/v3/kv/txn",
                              .body = range
                                          ? WriteRange(transaction.then.front())
                                          : WriteTransaction(transaction),
                              .read = OnlyReads(transaction)};
    this->calls->Send(request,
                      [range, done = std::move(done)](const JsonReply& reply) {
                        done(ReadReply(reply, range));
                      });
  }

  void GrantLease(Duration length,
                  std::function<void(Result<int64_t>)> done) override {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(length).count();
    const std::string body = JsonWriter()
                                 .BeginObject()
                                 .Member("TTL", std::to_string(seconds))
                                 .Member("ID", "0")
                                 .EndObject()
                                 .Text();
    this->calls->Send({.path = "/v3/lease/grant", .body = body},
                      [done = std::move(done)](const JsonReply& reply) {
                        done(ReadLeaseReply(reply).and_then(
                            [](const Json& json) -> Result<int64_t> {
                              const int64_t id = json.At("ID").Integer();
                              if (id == 0) {
                                return Fail(ErrorKind::kPlatformDown,
                                            "no lease was granted");
                              }
                              return id;
                            }));
                      });
  }

  void RenewLease(int64_t lease,
                  std::function<void(Result<Duration>)> done) override {
    this->calls->Send(
        {.path = "/v3/lease/keepalive", .body = LeaseBody(lease)},
        [done = std::move(done)](const JsonReply& reply) {
          done(ReadLeaseReply(reply).and_then(
              [](const Json& json) -> Result<Duration> {
                const int64_t left = json.At("result").At("TTL").Integer();
                if (left <= 0) {
                  return Fail(ErrorKind::kNotFound, "the lease has expired");
                }
                return std::chrono::seconds(left);
              }));
        });
  }

  void RevokeLease(int64_t lease,
                   std::function<void(Result<int64_t>)> done) override {
    this->calls->Send({.path = "/v3/lease/revoke", .body = LeaseBody(lease)},
                      [done = std::move(done)](const JsonReply& reply) {
                        done(ReadLeaseReply(reply).map([](const Json& json) {
                          return json.At("header").At("revision").Integer();
                        }));
                      });
  }

  std::unique_ptr<StoreWatch> Watch(
      const std::string& prefix,
      int64_t after_revision,
      std::function<void(int64_t revision, std::vector<StoreChange>)> on_change,
      std::function<void(Error)> on_lost) override {
    return std::make_unique<EtcdWatch>(this->calls, prefix, after_revision,
                                       std::move(on_change),
                                       std::move(on_lost));
  }

 private:
  static StoreReply ReadReply(const JsonReply& reply, bool range) {
    if (reply.outcome == JsonOutcome::kNotSent) {
      return {.outcome = StoreOutcome::kNotApplied};
    }
    if (reply.outcome == JsonOutcome::kUnknown) {
      return {.outcome = StoreOutcome::kUnknown};
    }
    if (reply.status != SOUP_STATUS_OK) {
      return {.outcome = SurelyRefused(reply.status) ? StoreOutcome::kNotApplied
                                                     : StoreOutcome::kUnknown};
    }
    const auto read =
        range ? ReadRangeReply(reply.body) : ReadTransactionReply(reply.body);
    return read.value_or(StoreReply{.outcome = StoreOutcome::kUnknown});
  }

  // Refuses a transaction during an outage, without a call and not before the
  // caller has returned.
  void AnswerLater(std::function<void(StoreReply)> done) {
    const uint64_t ticket = ++this->tickets;
    this->refusals[ticket] =
        Timer::After(Duration::zero(), [this, ticket, done = std::move(done)] {
          const auto keep = this->refusals.extract(ticket);
          done({.outcome = StoreOutcome::kNotApplied});
        });
  }

  std::shared_ptr<EtcdCalls> calls;
  uint64_t tickets = 0;
  std::map<uint64_t, std::unique_ptr<Timer>> refusals;
};

const bool kRegistered = Registry<KeyValueStore>::Add(
    "etcd-json",
    [](const KeyValueStoreOptions& options) -> std::unique_ptr<KeyValueStore> {
      return std::make_unique<EtcdStore>(options);
    });

}  // namespace
}  // namespace hickorystand
