#include "platform/etcd_messages.h"

#include <glib.h>

#include <algorithm>

namespace hickorystand {
namespace {

const char* CompareTarget(StoreCompare::Field field) {
  switch (field) {
    case StoreCompare::Field::kCreateRevision:
      return "CREATE";
    case StoreCompare::Field::kModRevision:
      return "MOD";
    case StoreCompare::Field::kValue:
      return "VALUE";
  }
  return "";
}

void WriteCompare(const StoreCompare& compare, JsonWriter& out) {
  out.BeginObject()
      .Member("result", "EQUAL")
      .Member("target", CompareTarget(compare.field))
      .Member("key", ToBase64(compare.key));
  switch (compare.field) {
    case StoreCompare::Field::kCreateRevision:
      out.Member("create_revision", std::to_string(compare.revision));
      break;
    case StoreCompare::Field::kModRevision:
      out.Member("mod_revision", std::to_string(compare.revision));
      break;
    case StoreCompare::Field::kValue:
      out.Member("value", ToBase64(compare.value));
      break;
  }
  out.EndObject();
}

void WriteRangeBody(const StoreOperation& read, JsonWriter& out) {
  out.BeginObject().Member("key", ToBase64(read.key));
  if (read.kind == StoreOperation::Kind::kGetPrefix) {
    out.Member("range_end", ToBase64(PrefixRangeEnd(read.key)));
  }
  out.EndObject();
}

void WriteOperation(const StoreOperation& operation, JsonWriter& out) {
  out.BeginObject();
  switch (operation.kind) {
    case StoreOperation::Kind::kPut:
      out.Name("request_put")
          .BeginObject()
          .Member("key", ToBase64(operation.key))
          .Member("value", ToBase64(operation.value));
      if (operation.lease != 0) {
        out.Member("lease", std::to_string(operation.lease));
      }
      out.EndObject();
      break;
    case StoreOperation::Kind::kDelete:
      out.Name("request_delete_range")
          .BeginObject()
          .Member("key", ToBase64(operation.key))
          .EndObject();
      break;
    case StoreOperation::Kind::kGet:
    case StoreOperation::Kind::kGetPrefix:
      out.Name("request_range");
      WriteRangeBody(operation, out);
      break;
  }
  out.EndObject();
}

void WriteOperations(const char* name,
                     const std::vector<StoreOperation>& operations,
                     JsonWriter& out) {
  out.Name(name).BeginArray();
  for (const StoreOperation& operation : operations) {
    WriteOperation(operation, out);
  }
  out.EndArray();
}

bool IsRead(const StoreOperation& operation) {
  return operation.kind == StoreOperation::Kind::kGet ||
         operation.kind == StoreOperation::Kind::kGetPrefix;
}

StoreRecord ReadRecord(const Json& json) {
  return {.key = FromBase64(json.At("key").Text()),
          .value = FromBase64(json.At("value").Text()),
          .create_revision = json.At("create_revision").Integer(),
          .mod_revision = json.At("mod_revision").Integer(),
          .lease = json.At("lease").Integer()};
}

void ReadRecords(const Json& range, std::vector<StoreRecord>& records) {
  for (const Json& item : range.At("kvs").Items()) {
    records.push_back(ReadRecord(item));
  }
}

// The revision in a response's header; every valid response has one.
std::optional<int64_t> HeaderRevision(const Json& answer) {
  const int64_t revision = answer.At("header").At("revision").Integer(-1);
  return revision < 0 ? std::nullopt : std::optional(revision);
}

}  // namespace

std::string ToBase64(const std::string& bytes) {
  g_autofree char* text = g_base64_encode(
      reinterpret_cast<const guchar*>(bytes.data()), bytes.size());
  return text;
}

std::string FromBase64(const std::string& text) {
  if (text.empty()) {
    return "";
  }
  gsize length = 0;
  g_autofree guchar* bytes = g_base64_decode(text.c_str(), &length);
  return {reinterpret_cast<const char*>(bytes), length};
}

std::string PrefixRangeEnd(const std::string& prefix) {
  std::string end = prefix;
  while (!end.empty()) {
    const auto last = static_cast<unsigned char>(end.back());
    if (last < UINT8_MAX) {
      end.back() = static_cast<char>(last + 1);
      return end;
    }
    end.pop_back();
  }
  return {'\0'};
}

bool IsReadOnly(const StoreTransaction& transaction) {
  return std::ranges::all_of(transaction.then, IsRead) &&
         std::ranges::all_of(transaction.otherwise, IsRead);
}

bool IsSingleRead(const StoreTransaction& transaction) {
  return transaction.conditions.empty() && transaction.then.size() == 1 &&
         IsRead(transaction.then.front());
}

std::string WriteTransaction(const StoreTransaction& transaction) {
  JsonWriter out;
  out.BeginObject().Name("compare").BeginArray();
  for (const StoreCompare& compare : transaction.conditions) {
    WriteCompare(compare, out);
  }
  out.EndArray();
  WriteOperations("success", transaction.then, out);
  WriteOperations("failure", transaction.otherwise, out);
  return out.EndObject().Text();
}

std::string WriteRange(const StoreOperation& read) {
  JsonWriter out;
  WriteRangeBody(read, out);
  return out.Text();
}

std::string WriteProbe(const std::string& prefix, int64_t above_revision) {
  return JsonWriter()
      .BeginObject()
      .Member("key", ToBase64(prefix))
      .Member("range_end", ToBase64(PrefixRangeEnd(prefix)))
      .Member("min_mod_revision", std::to_string(above_revision + 1))
      .Member("keys_only", true)
      .EndObject()
      .Text();
}

std::string WriteWatch(const std::string& prefix, int64_t after_revision) {
  return JsonWriter()
      .BeginObject()
      .Name("create_request")
      .BeginObject()
      .Member("key", ToBase64(prefix))
      .Member("range_end", ToBase64(PrefixRangeEnd(prefix)))
      .Member("start_revision", std::to_string(after_revision + 1))
      .Member("progress_notify", true)
      .EndObject()
      .EndObject()
      .Text();
}

std::optional<StoreReply> ReadTransactionReply(const std::string& body) {
  const auto answer = Json::Parse(body);
  const auto revision = answer ? HeaderRevision(*answer) : std::nullopt;
  if (!revision) {
    return std::nullopt;
  }
  StoreReply reply{.outcome = answer->At("succeeded").Flag()
                                  ? StoreOutcome::kThen
                                  : StoreOutcome::kOtherwise,
                   .revision = *revision};
  for (const Json& item : answer->At("responses").Items()) {
    ReadRecords(item.At("response_range"), reply.records);
  }
  return reply;
}

std::optional<StoreReply> ReadRangeReply(const std::string& body) {
  const auto answer = Json::Parse(body);
  const auto revision = answer ? HeaderRevision(*answer) : std::nullopt;
  if (!revision) {
    return std::nullopt;
  }
  StoreReply reply{.outcome = StoreOutcome::kThen, .revision = *revision};
  ReadRecords(*answer, reply.records);
  return reply;
}

Result<WatchMessage> ReadWatchMessage(const std::string& line) {
  const auto message = Json::Parse(line);
  if (!message) {
    return tl::unexpected(message.error());
  }
  if (message->At("error").Exists()) {
    return Fail(ErrorKind::kPlatformDown,
                "the watch ended: " + message->At("error").Write());
  }
  const Json result = message->At("result");
  const auto revision = HeaderRevision(result);
  if (!revision) {
    return Fail(ErrorKind::kPlatformDown, "the watch sent no revision");
  }
  WatchMessage out{.revision = *revision,
                   .created = result.At("created").Flag(),
                   .cancelled = result.At("canceled").Flag(),
                   .reason = result.At("cancel_reason").Text()};
  for (const Json& event : result.At("events").Items()) {
    out.changes.push_back({.record = ReadRecord(event.At("kv")),
                           .deleted = event.At("type").Text() == "DELETE"});
  }
  return out;
}

}  // namespace hickorystand
