#include "key_value.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "http/http_server.h"
#include "kernel/json.h"
#include "platform/etcd_messages.h"

namespace hickorystand::fakes {
namespace {

constexpr int64_t kMaxBody = int64_t{96} << 20;
constexpr Duration kExpiryPeriod = std::chrono::milliseconds(20);

// The real gateway omits members that have their default value. The stand-in
// writes some of them. Clients must accept both forms.
void WriteHeader(int64_t revision, JsonWriter& out) {
  out.Name("header").BeginObject();
  out.Member("revision", std::to_string(revision)).EndObject();
}

void WriteRecord(const StoreRecord& record, bool keys_only, JsonWriter& out) {
  out.BeginObject()
      .Member("key", ToBase64(record.key))
      .Member("create_revision", std::to_string(record.create_revision))
      .Member("mod_revision", std::to_string(record.mod_revision))
      .Member("version", "1");
  if (!keys_only) {
    out.Member("value", ToBase64(record.value));
  }
  if (record.lease != 0) {
    out.Member("lease", std::to_string(record.lease));
  }
  out.EndObject();
}

void WriteRecords(const std::vector<StoreRecord>& records,
                  bool keys_only,
                  JsonWriter& out) {
  out.Name("kvs").BeginArray();
  for (const StoreRecord& record : records) {
    WriteRecord(record, keys_only, out);
  }
  out.EndArray().Member("count", std::to_string(records.size()));
}

StoreCompare ReadCompare(const Json& json) {
  const std::string target = json.At("target").Text();
  StoreCompare compare{.key = FromBase64(json.At("key").Text())};
  if (target == "CREATE") {
    compare.field = StoreCompare::Field::kCreateRevision;
    compare.revision = json.At("create_revision").Integer();
  } else if (target == "VALUE") {
    compare.field = StoreCompare::Field::kValue;
    compare.value = FromBase64(json.At("value").Text());
  } else {
    compare.revision = json.At("mod_revision").Integer();
  }
  return compare;
}

StoreOperation ReadOperation(const Json& json) {
  const Json put = json.At("request_put");
  if (put.Exists()) {
    return {.kind = StoreOperation::Kind::kPut,
            .key = FromBase64(put.At("key").Text()),
            .value = FromBase64(put.At("value").Text()),
            .lease = put.At("lease").Integer()};
  }
  const Json removal = json.At("request_delete_range");
  if (removal.Exists()) {
    return {.kind = StoreOperation::Kind::kDelete,
            .key = FromBase64(removal.At("key").Text())};
  }
  const Json range = json.At("request_range");
  return {.kind = range.At("range_end").Exists()
                      ? StoreOperation::Kind::kGetPrefix
                      : StoreOperation::Kind::kGet,
          .key = FromBase64(range.At("key").Text())};
}

StoreTransaction ReadTransaction(const Json& json) {
  StoreTransaction transaction;
  for (const Json& item : json.At("compare").Items()) {
    transaction.conditions.push_back(ReadCompare(item));
  }
  for (const Json& item : json.At("success").Items()) {
    transaction.then.push_back(ReadOperation(item));
  }
  for (const Json& item : json.At("failure").Items()) {
    transaction.otherwise.push_back(ReadOperation(item));
  }
  return transaction;
}

}  // namespace

// The HTTP server and the state. Used on the task's thread only.
class FakeKeyValue::Server {
 public:
  explicit Server(const SocketAddress& listen)
      : http({.listen = listen, .max_body_bytes = kMaxBody},
             [this](const HttpCallPtr& call) { this->Take(call); }) {
    const auto listening = this->http.Start();
    assert(listening && "the port of the fake key-value service is taken");
    this->address = *listening;
    this->expiry = Timer::Every(kExpiryPeriod, [this] {
      this->state.Expire(this->clock.Now());
      this->SendWatchEvents();
    });
  }

  void SetFault(KeyValueFault new_fault, Duration new_delay) {
    this->fault = new_fault;
    this->slow_by = new_delay;
    if (new_fault == KeyValueFault::kDown) {
      const auto open = std::exchange(this->watches, {});
      for (const auto& [call, watch] : open) {
        call->Abort();
      }
      this->calls.watches_waiting = 0;
    }
  }

  void Restore(const KeyValueState& older) {
    this->state = older;
    for (auto& [call, watch] : this->watches) {
      watch.sent = std::min(watch.sent, this->state.Revision());
    }
  }

  StoreReply Transact(const StoreTransaction& transaction) {
    const StoreReply reply = this->state.Transact(transaction);
    this->SendWatchEvents();
    return reply;
  }

  SocketAddress address;
  KeyValueState state;
  KeyValueCalls calls;

 private:
  struct Watch {
    std::string prefix;
    int64_t sent = 0;  // all changes up to this revision have been sent
    bool silent = false;
  };

  // Sets faults and reports the counters; not affected by faults.
  void Control(const HttpCallPtr& call) {
    static const std::map<std::string, KeyValueFault> kFaults = {
        {"none", KeyValueFault::kNone},
        {"down", KeyValueFault::kDown},
        {"slow", KeyValueFault::kSlow},
        {"reply_lost", KeyValueFault::kReplyLost},
        {"unavailable", KeyValueFault::kUnavailable},
        {"silent_watch", KeyValueFault::kSilentWatch}};
    if (call->Request().path == "/fake/calls") {
      Answer(call, SOUP_STATUS_OK,
             JsonWriter()
                 .BeginObject()
                 .Member("reads", this->calls.reads)
                 .Member("writes", this->calls.writes)
                 .Member("watches", this->calls.watches)
                 .Member("watches_waiting", this->calls.watches_waiting)
                 .EndObject()
                 .Text());
      return;
    }
    const auto json = Json::ParseObject(call->Request().body);
    const auto named =
        json ? kFaults.find(json->At("fault").Text()) : kFaults.end();
    if (named == kFaults.end()) {
      Answer(call, SOUP_STATUS_BAD_REQUEST, R"({"error":"no such fault"})");
      return;
    }
    this->SetFault(named->second, std::chrono::milliseconds(
                                      json->At("slow_by_ms").Integer(200)));
    Answer(call, SOUP_STATUS_OK, "{}");
  }

  static void Answer(const HttpCallPtr& call,
                     int status,
                     const std::string& body) {
    call->Answer(status, {{"Content-Type", "application/json"}}, body);
  }

  void Take(const HttpCallPtr& call) {
    if (call->Request().path.starts_with("/fake/")) {
      this->Control(call);
      return;
    }
    if (this->fault == KeyValueFault::kDown) {
      call->Abort();
      return;
    }
    if (this->fault == KeyValueFault::kUnavailable) {
      Answer(call, SOUP_STATUS_SERVICE_UNAVAILABLE,
             R"({"error":"etcdserver: no leader","code":14})");
      return;
    }
    const auto json = Json::Parse(call->Request().body);
    if (!json) {
      Answer(call, SOUP_STATUS_BAD_REQUEST,
             R"({"error":"invalid JSON","code":3})");
      return;
    }
    if (call->Request().path == "/v3/watch") {
      this->OpenWatch(call, *json);
      return;
    }
    this->Handle(call, call->Request().path, *json);
  }

  void Handle(const HttpCallPtr& call,
              const std::string& path,
              const Json& json) {
    this->state.Expire(this->clock.Now());
    using Handler = std::string (Server::*)(const Json&, bool&);
    static const std::map<std::string, Handler> kHandlers = {
        {"/v3/kv/range", &Server::Range},
        {"/v3/kv/txn", &Server::Txn},
        {"/v3/kv/put", &Server::Put},
        {"/v3/lease/grant", &Server::Grant},
        {"/v3/lease/keepalive", &Server::KeepAlive},
        {"/v3/lease/revoke", &Server::Revoke},
        {"/v3/kv/lease/revoke", &Server::Revoke}};
    const auto handler = kHandlers.find(path);
    if (handler == kHandlers.end()) {
      Answer(call, SOUP_STATUS_NOT_FOUND, R"({"error":"Not Found"})");
      return;
    }
    bool writes = false;
    const int64_t before = this->state.Revision();
    const std::string body = (this->*handler->second)(json, writes);
    ++(writes ? this->calls.writes : this->calls.reads);
    this->SendWatchEvents();
    const bool took_effect =
        this->state.Revision() != before || path == "/v3/lease/grant";
    if (this->fault == KeyValueFault::kReplyLost && took_effect) {
      call->Abort();
      return;
    }
    const Duration late =
        this->fault == KeyValueFault::kSlow ? this->slow_by : Duration::zero();
    this->AnswerAfter(late, call, body);
  }

  void AnswerAfter(Duration delay,
                   const HttpCallPtr& call,
                   const std::string& body) {
    const auto answer = [call, body] {
      Answer(call, body.empty() ? SOUP_STATUS_NOT_FOUND : SOUP_STATUS_OK,
             body.empty() ? R"({"error":"requested lease not found","code":5})"
                          : body);
    };
    if (delay == Duration::zero()) {
      answer();
      return;
    }
    const uint64_t ticket = ++this->tickets;
    this->delays[ticket] = Timer::After(delay, [this, answer, ticket] {
      answer();
      const auto keep = this->delays.extract(ticket);
    });
  }

  std::string Range(const Json& json, bool& /*writes*/) {
    JsonWriter out;
    out.BeginObject();
    WriteHeader(this->state.Revision(), out);
    WriteRecords(this->state.Read(FromBase64(json.At("key").Text()),
                                  json.At("range_end").Exists(),
                                  json.At("min_mod_revision").Integer()),
                 json.At("keys_only").Flag(), out);
    return out.EndObject().Text();
  }

  std::string Txn(const Json& json, bool& writes) {
    const StoreTransaction transaction = ReadTransaction(json);
    writes = !IsReadOnly(transaction);
    const StoreReply reply = this->state.Transact(transaction);
    JsonWriter out;
    out.BeginObject();
    WriteHeader(reply.revision, out);
    if (reply.outcome == StoreOutcome::kThen) {
      out.Member("succeeded", true);
    }
    out.Name("responses").BeginArray().BeginObject();
    out.Name("response_range").BeginObject();
    WriteRecords(reply.records, false, out);
    return out.EndObject().EndObject().EndArray().EndObject().Text();
  }

  std::string Put(const Json& json, bool& writes) {
    writes = true;
    const StoreReply reply = this->state.Transact(
        {.then = {{.kind = StoreOperation::Kind::kPut,
                   .key = FromBase64(json.At("key").Text()),
                   .value = FromBase64(json.At("value").Text()),
                   .lease = json.At("lease").Integer()}}});
    JsonWriter out;
    out.BeginObject();
    WriteHeader(reply.revision, out);
    return out.EndObject().Text();
  }

  std::string Grant(const Json& json, bool& writes) {
    writes = true;
    const int64_t seconds = json.At("TTL").Integer();
    const int64_t id =
        this->state.Grant(std::chrono::seconds(seconds), this->clock.Now());
    JsonWriter out;
    out.BeginObject();
    WriteHeader(this->state.Revision(), out);
    out.Member("ID", std::to_string(id));
    return out.Member("TTL", std::to_string(seconds)).EndObject().Text();
  }

  std::string KeepAlive(const Json& json, bool& writes) {
    writes = true;
    const auto left =
        this->state.Renew(json.At("ID").Integer(), this->clock.Now());
    JsonWriter out;
    out.BeginObject().Name("result").BeginObject();
    WriteHeader(this->state.Revision(), out);
    out.Member("ID", json.At("ID").Text());
    if (left) {
      out.Member("TTL",
                 std::to_string(
                     std::chrono::ceil<std::chrono::seconds>(*left).count()));
    }
    return out.EndObject().EndObject().Text();
  }

  std::string Revoke(const Json& json, bool& writes) {
    writes = true;
    if (!this->state.Revoke(json.At("ID").Integer())) {
      return "";
    }
    JsonWriter out;
    out.BeginObject();
    WriteHeader(this->state.Revision(), out);
    return out.EndObject().Text();
  }

  void OpenWatch(const HttpCallPtr& call, const Json& json) {
    const Json create = json.At("create_request");
    const int64_t start = create.At("start_revision").Integer();
    ++this->calls.watches;
    ++this->calls.watches_waiting;
    this->watches[call] = {
        .prefix = FromBase64(create.At("key").Text()),
        .sent = start > 0 ? start - 1 : this->state.Revision(),
        .silent = this->fault == KeyValueFault::kSilentWatch};
    call->OnGone([this, gone = call.get()] {
      this->calls.watches_waiting -= static_cast<int64_t>(std::erase_if(
          this->watches,
          [gone](const auto& item) { return item.first.get() == gone; }));
    });
    call->StartStream(SOUP_STATUS_OK, {{"Content-Type", "application/json"}});
    JsonWriter out;
    out.BeginObject().Name("result").BeginObject();
    WriteHeader(this->state.Revision(), out);
    out.Member("created", true).EndObject().EndObject();
    call->Write(out.Text() + "\n");
    this->SendWatchEvents();
  }

  // Sends each watch the changes that it has not received yet.
  void SendWatchEvents() {
    for (auto& [call, watch] : this->watches) {
      if (watch.silent || this->fault == KeyValueFault::kSilentWatch) {
        watch.silent = true;
        continue;
      }
      const auto changes = this->state.Changes(watch.prefix, watch.sent);
      watch.sent = this->state.Revision();
      if (!changes.empty()) {
        call->Write(this->WriteChanges(changes) + "\n");
      }
    }
  }

  std::string WriteChanges(const std::vector<StoreChange>& changes) const {
    JsonWriter out;
    out.BeginObject().Name("result").BeginObject();
    WriteHeader(this->state.Revision(), out);
    out.Name("events").BeginArray();
    for (const StoreChange& change : changes) {
      out.BeginObject();
      if (change.deleted) {
        out.Member("type", "DELETE");
      }
      out.Name("kv");
      WriteRecord(change.record, change.deleted, out);
      out.EndObject();
    }
    return out.EndArray().EndObject().EndObject().Text();
  }

  BootClock clock;
  KeyValueFault fault = KeyValueFault::kNone;
  Duration slow_by{};
  std::map<HttpCallPtr, Watch> watches;
  std::unique_ptr<Timer> expiry;
  uint64_t tickets = 0;
  std::map<uint64_t, std::unique_ptr<Timer>> delays;
  // Last, so that its calls end before the members that they use.
  HttpServer http;
};

FakeKeyValue::FakeKeyValue(const SocketAddress& listen) {
  this->task.Call([&] { this->server = std::make_unique<Server>(listen); });
}

FakeKeyValue::~FakeKeyValue() {
  this->task.Call([this] { this->server.reset(); });
}

SocketAddress FakeKeyValue::Address() const {
  return this->server->address;
}

void FakeKeyValue::SetFault(KeyValueFault fault, Duration slow_by) {
  this->task.Call([&] { this->server->SetFault(fault, slow_by); });
}

KeyValueCalls FakeKeyValue::Calls() {
  KeyValueCalls calls;
  this->task.Call([&] { calls = this->server->calls; });
  return calls;
}

KeyValueState FakeKeyValue::Backup() {
  KeyValueState state;
  this->task.Call([&] { state = this->server->state; });
  return state;
}

void FakeKeyValue::Restore(const KeyValueState& state) {
  this->task.Call([&] { this->server->Restore(state); });
}

StoreReply FakeKeyValue::Transact(const StoreTransaction& transaction) {
  StoreReply reply;
  this->task.Call([&] { reply = this->server->Transact(transaction); });
  return reply;
}

}  // namespace hickorystand::fakes
