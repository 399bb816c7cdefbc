#include "decisions/stream_records.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cinttypes>
#include <cstdio>
#include <iterator>
#include <utility>

#include "kernel/json.h"

namespace hickorystand {
namespace {

constexpr size_t kKeyDigits = 16;

std::string KeyText(StreamKey key) {
  std::array<char, kKeyDigits + 1> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64, key);
  return text.data();
}

// Reads keys that follow each other without separators.
std::optional<std::vector<StreamKey>> ReadKeys(const Json& from) {
  const std::string text = from.Text();
  if (!from.IsText() || text.size() % kKeyDigits != 0) {
    return {};
  }
  std::vector<StreamKey> keys;
  for (size_t at = 0; at < text.size(); at += kKeyDigits) {
    const char* end = text.data() + at + kKeyDigits;
    const auto [read_to, error] =
        std::from_chars(text.data() + at, end, keys.emplace_back(), 16);
    if (error != std::errc() || read_to != end) {
      return {};
    }
  }
  return keys;
}

}  // namespace

void StreamRecord::Add(StreamKey stream,
                       const std::optional<StreamOrigin>& origin) {
  const auto [found, added] = this->origins.try_emplace(stream, origin);
  if (!added && found->second != origin) {
    found->second.reset();
  }
}

void StreamRecord::Add(const StreamRecord& other) {
  for (const auto& [stream, origin] : other.origins) {
    this->Add(stream, origin);
  }
}

std::optional<StreamProgress> StreamRecord::Find(StreamKey stream) const {
  const auto found = this->origins.find(stream);
  if (found == this->origins.end()) {
    return {};
  }
  const std::optional<StreamOrigin>& origin = found->second;
  return origin ? StreamProgress::BegunAt(*origin)
                : StreamProgress::BegunAtUnknownOrigin();
}

std::string EncodeStreamRecord(const StreamRecord& record) {
  std::map<std::optional<StreamOrigin>, std::string> keys;
  for (const auto& [stream, origin] : record.All()) {
    keys[origin] += KeyText(stream);
  }
  JsonWriter out;
  out.BeginObject().Name("origins").BeginArray();
  for (const auto& [origin, streams] : keys) {
    if (origin) {
      out.BeginObject()
          .Member("service", origin->service.Text())
          .Member("software", origin->software.Text())
          .Member("streams", streams)
          .EndObject();
    }
  }
  return out.EndArray()
      .Member("unknown", keys[std::nullopt])
      .EndObject()
      .Text();
}

Result<StreamRecord> DecodeStreamRecord(const std::string& text) {
  const auto read = Json::ParseObject(text);
  if (!read) {
    return tl::unexpected(read.error());
  }
  const auto unknown = ReadKeys(read->At("unknown"));
  if (!unknown || !read->At("origins").IsArray()) {
    return Fail(ErrorKind::kBadRequest, "no origins or no unknown streams");
  }
  StreamRecord record;
  for (const StreamKey stream : *unknown) {
    record.Add(stream, std::nullopt);
  }
  for (const Json& item : read->At("origins").Items()) {
    const std::string service = item.At("service").Text();
    const std::string software = item.At("software").Text();
    const auto streams = ReadKeys(item.At("streams"));
    if (service.empty() || software.empty() || !streams) {
      return Fail(ErrorKind::kBadRequest, "an origin can't be read");
    }
    for (const StreamKey stream : *streams) {
      record.Add(stream, StreamOrigin{.service = ServiceId(service),
                                      .software = SoftwareVersion(software)});
    }
  }
  return record;
}

void StreamRecordWriter::Add(Instant now,
                             const std::vector<StreamReport>& reports) {
  std::ranges::transform(reports, std::back_inserter(this->waiting),
                         [now](const StreamReport& report) {
                           return WaitingStream{
                               .stream = report.stream,
                               .origin = report.origin,
                               .expires = now + report.remaining};
                         });
}

void StreamRecordWriter::DropExpired(Instant now) {
  const size_t before = this->waiting.size();
  std::erase_if(this->waiting, [now](const WaitingStream& stream) {
    return stream.expires <= now;
  });
  if (this->waiting.size() > this->options.max_waiting) {
    this->waiting.erase(this->waiting.begin(),
                        this->waiting.end() - static_cast<std::ptrdiff_t>(
                                                  this->options.max_waiting));
  }
  this->lost += static_cast<int64_t>(before - this->waiting.size());
}

std::optional<StreamRecordWrite> StreamRecordWriter::Next(Instant now) {
  this->DropExpired(now);
  if (this->waiting.empty()) {
    return {};
  }
  if (this->record &&
      (now - this->record->since >= this->options.max_open ||
       this->record->written.Size() >= this->options.close_at)) {
    this->CloseRecord();
  }
  if (!this->record) {
    this->record = OpenRecord{.number = ++this->last_number, .since = now};
  }
  this->writing = this->record->written;
  this->sending = std::min(this->waiting.size(),
                           this->options.max_streams - this->writing.Size());
  for (size_t i = 0; i < this->sending; ++i) {
    this->writing.Add(this->waiting[i].stream, this->waiting[i].origin);
  }
  return StreamRecordWrite{.number = this->record->number,
                           .text = EncodeStreamRecord(this->writing)};
}

void StreamRecordWriter::OnWritten(Instant now, bool acknowledged) {
  const size_t sent = std::exchange(this->sending, 0);
  if (!acknowledged || !this->record) {
    this->CloseRecord();
    this->DropExpired(now);
    return;
  }
  this->record->written = std::move(this->writing);
  this->waiting.erase(
      this->waiting.begin(),
      this->waiting.begin() + static_cast<std::ptrdiff_t>(sent));
}

}  // namespace hickorystand
