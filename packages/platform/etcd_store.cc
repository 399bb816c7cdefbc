// The "etcd-json" key-value store: a client of the public etcd v3 JSON gateway
// over HTTP.
//
// Index
//   EtcdCalls   sends calls, with failover between addresses and backoff
//   EtcdWatch   one watch, with detection of dead connections
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

// Backoff during an outage. Short, because a lease must be renewed soon after
// the service has recovered.
constexpr Duration kInitialRetryDelay = std::chrono::milliseconds(50);
constexpr Duration kMaxRetryDelay = std::chrono::seconds(1);

// Consecutive failures after which transactions fail without being sent until
// the backoff delay has passed.
constexpr int kFailFastThreshold = 3;

// Probes of an idle watch: their period, how late an event may arrive after a
// probe has found its change, and the consecutive failures that end the watch.
constexpr Duration kProbePeriod = std::chrono::seconds(1);
constexpr Duration kEventGracePeriod = std::chrono::milliseconds(500);
constexpr int kMaxProbeFailures = 3;

// The longest line accepted from a watch stream. A longer one ends the watch,
// after which the caller reads the state again.
constexpr size_t kMaxWatchLine = size_t{32} << 20;
constexpr Duration kNoLimit = std::chrono::hours(24 * 365);

// Whether a status means that the request certainly had no effect. Others, such
// as 500 and 503, are also sent when the service timed out on its own members
// while the write continued.
bool IsDefiniteRejection(int status) {
  return status >= 400 && status < 500 && status != SOUP_STATUS_REQUEST_TIMEOUT;
}

// A request; `read` also selects the metric that counts it.
struct EtcdRequest {
  std::string path;
  std::string body;
  bool read = false;  // read-only, so it may be sent twice
};

// Sends calls to the preferred address and fails over to the next address after
// an error. Shared by a store and its watches.
class EtcdCalls {
 public:
  explicit EtcdCalls(const KeyValueStoreOptions& options)
      : options(options),
        client(options.metrics),
        backoff(kInitialRetryDelay, kMaxRetryDelay, options.seed) {
    assert(!options.addresses.empty() && "the store has no address");
  }

  const SocketAddress& Preferred() const {
    return this->options.addresses[this->preferred];
  }
  void SelectNextAddress() {
    this->preferred = (this->preferred + 1) % this->options.addresses.size();
  }

  // Whether the service is unavailable and the backoff delay has not passed
  // yet.
  bool InBackoff() const {
    return this->backoff.Failures() >= kFailFastThreshold &&
           this->clock.Now() < this->next_attempt;
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
  Metrics* Counters() const { return this->options.metrics; }

 private:
  // Sends to one address. On failure, tries the next one if nothing was sent or
  // if the request is read-only.
  void Try(const EtcdRequest& request,
           Instant deadline,
           size_t attempts_left,
           std::function<void(JsonReply)> done) {
    const Duration remaining =
        std::max(deadline - this->clock.Now(), Duration(1000));
    JsonRequest call{.address = this->Preferred(),
                     .target = request.path,
                     .body = request.body,
                     .timeout = request.read ? remaining / static_cast<int64_t>(
                                                               attempts_left)
                                             : remaining,
                     .idempotent = request.read};
    if (request.read) {
      // An empty handler is enough: setting one restarts the timeout whenever
      // data arrives, so a large response is not cut off on a slow link.
      call.on_progress = [] {};
    }
    this->client.Send(
        std::move(call), [this, request, deadline, attempts_left,
                          done = std::move(done)](const JsonReply& reply) {
          const bool answered = reply.outcome == JsonOutcome::kAnswered;
          if (answered && reply.status < SOUP_STATUS_INTERNAL_SERVER_ERROR) {
            this->backoff.Reset();
            done(reply);
            return;
          }
          this->SelectNextAddress();
          const bool retry =
              reply.outcome == JsonOutcome::kNotSent || request.read;
          if (retry && attempts_left > 1 && this->clock.Now() < deadline) {
            this->Try(request, deadline, attempts_left - 1, done);
            return;
          }
          this->RecordFailure(reply);
          done(reply);
        });
  }

  void RecordFailure(const JsonReply& reply) {
    this->next_attempt = this->clock.Now() + this->backoff.Next();
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
  Instant next_attempt{};
  size_t preferred = 0;
  int64_t watches = 0;
  LogLimiter limiter{3, std::chrono::seconds(10)};
};

// One watch. The service sends nothing while nothing changes, so a dead
// connection looks like an idle one, and API keys that were revoked meanwhile
// would remain valid on this host. Therefore an idle watch is probed: a read
// asks for keys that changed after the last revision received. If there is one
// and its event does not arrive within the grace period, the watch is dead.
// Probes don't detect deleted records; code that depends on a deletion reads
// the record before it acts.
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
        alive(std::make_shared<bool>(true)),
        client({.metrics = this->calls->Counters()}) {
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
                 this->ReportLost({ErrorKind::kPlatformDown,
                                   "the watch was refused with status " +
                                       std::to_string(head.status),
                                   {}});
               }
             },
         .on_bytes = [this](std::string_view bytes) { this->OnBytes(bytes); },
         .on_end =
             [this](HttpEnd, const std::string& detail) {
               this->calls->SelectNextAddress();
               this->ReportLost({ErrorKind::kPlatformDown,
                                 detail.empty() ? "the stream ended" : detail,
                                 {}});
             }});
    this->check = Timer::After(this->calls->Timeout(), [this] {
      if (!this->created) {
        this->ReportLost(
            {ErrorKind::kTimeout, "the watch was not confirmed", {}});
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
  // Closes the connection, which happens when the last pointer to the stream is
  // released. Otherwise a lost watch would stay open at the service, which
  // bills for it.
  void Close() {
    if (this->stream) {
      this->stream->Cancel();
      this->stream.reset();
    }
  }

  // Appends received bytes and processes the complete lines.
  void OnBytes(std::string_view bytes) {
    this->partial += bytes;
    size_t start = 0;
    for (size_t end = this->partial.find('\n'); end != std::string::npos;
         end = this->partial.find('\n', start)) {
      const std::string line = this->partial.substr(start, end - start);
      start = end + 1;
      if (!line.empty() && !this->lost) {
        this->OnLine(line);
      }
    }
    this->partial.erase(0, start);
    if (this->partial.size() > kMaxWatchLine) {
      this->ReportLost(
          {ErrorKind::kTooLarge, "a line of the watch is too long", {}});
    }
  }

  void OnLine(const std::string& line) {
    auto message = ReadWatchMessage(line);
    if (!message) {
      this->ReportLost(message.error());
      return;
    }
    if (message->cancelled) {
      this->ReportLost({ErrorKind::kPlatformDown,
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
                          this->OnProbeReply(reply);
                        }
                      });
  }

  void OnProbeReply(const JsonReply& reply) {
    const auto changed = reply.outcome == JsonOutcome::kAnswered
                             ? ReadRangeReply(reply.body)
                             : std::nullopt;
    if (!changed) {
      if (++this->failures >= kMaxProbeFailures) {
        this->ReportLost(
            {ErrorKind::kPlatformDown, "the probes of the watch failed", {}});
      }
      return;
    }
    this->failures = 0;
    const auto newest = std::ranges::max_element(changed->records, {},
                                                 &StoreRecord::mod_revision);
    if (newest == changed->records.end()) {
      return;
    }
    this->grace = Timer::After(
        kEventGracePeriod, [this, expected_revision = newest->mod_revision] {
          if (this->seen < expected_revision) {
            this->ReportLost({ErrorKind::kTimeout,
                              "the watch missed a change that a probe found",
                              {}});
          }
        });
  }

  // Ends the watch and reports the error once. The callback may destroy the
  // watch, so it is called last and from a separate timer.
  void ReportLost(const Error& error) {
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
  int64_t seen;  // highest revision of the events received
  OnChange on_change;
  std::function<void(Error)> on_lost;
  std::shared_ptr<bool> alive;
  HttpClient client;
  HttpExchangePtr stream;
  std::string partial;  // an incomplete line
  std::unique_ptr<Timer> check;
  std::unique_ptr<Timer> grace;
  std::unique_ptr<Timer> ending;
  bool created = false;
  bool quiet = false;  // no message since the last timer tick
  bool lost = false;
  int failures = 0;
};

// Decodes the response to a lease call; kNotFound if the lease has expired,
// kTimeout if the call may have had an effect.
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
    if (this->calls->InBackoff()) {
      this->RefuseLater(std::move(done));
      return;
    }
    const bool range = IsSingleRead(transaction);
    const EtcdRequest request{.path = range ? "/v3/kv/range" : "/v3/kv/txn",
                              .body = range
                                          ? WriteRange(transaction.then.front())
                                          : WriteTransaction(transaction),
                              .read = IsReadOnly(transaction)};
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
      return {.outcome = IsDefiniteRejection(reply.status)
                             ? StoreOutcome::kNotApplied
                             : StoreOutcome::kUnknown};
    }
    const auto read =
        range ? ReadRangeReply(reply.body) : ReadTransactionReply(reply.body);
    return read.value_or(StoreReply{.outcome = StoreOutcome::kUnknown});
  }

  // Fails a transaction during an outage without sending it. The callback runs
  // from a timer, after the caller has returned.
  void RefuseLater(std::function<void(StoreReply)> done) {
    const uint64_t ticket = ++this->tickets;
    this->refusals[ticket] =
        Timer::After(Duration::zero(), [this, ticket, done = std::move(done)] {
          const auto running_timer = this->refusals.extract(ticket);
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
