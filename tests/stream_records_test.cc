// Tests of the records of streams in the key-value service.

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <string>
#include <utility>
#include <vector>

#include "decisions/stream_records.h"

namespace hickorystand {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Instant kStart{seconds(100)};

StreamOrigin Origin(const std::string& software) {
  return {.service = ServiceId("s"), .software = SoftwareVersion(software)};
}

StreamReport Report(StreamKey stream,
                    const std::string& software,
                    Duration remaining = seconds(10)) {
  return {.stream = stream, .origin = Origin(software), .remaining = remaining};
}

// A write, decoded.
struct Written {
  int64_t number = 0;
  StreamRecord record;
};

Written NextOf(StreamRecordWriter& writer, Instant now) {
  const StreamRecordWrite write =
      writer.Next(now).value_or(StreamRecordWrite());
  CHECK(write.number > 0);
  const auto record = DecodeStreamRecord(write.text);
  CHECK(record.has_value());
  return {.number = write.number, .record = *record};
}

}  // namespace

TEST_GROUP(StreamRecords){};

TEST(StreamRecords, ReadWhatWasWritten) {
  StreamRecord record;
  record.Add(1, Origin("v1"));
  record.Add(~uint64_t{0}, Origin("v2"));
  record.Add(3, std::nullopt);
  const auto read = DecodeStreamRecord(EncodeStreamRecord(record));
  CHECK(read.has_value());
  CHECK(*read == record);
  CHECK(read->Find(1) == StreamProgress::BegunAt(Origin("v1")));
  CHECK(read->Find(3) == StreamProgress::BegunAtUnknownOrigin());
  CHECK(!read->Find(4));
}

// Guards against a choice between hosts that wrote different origins.
TEST(StreamRecords, ContradictionsAreForGood) {
  StreamRecord record;
  record.Add(1, Origin("v1"));
  record.Add(1, Origin("v1"));
  CHECK(record.Find(1) == StreamProgress::BegunAt(Origin("v1")));
  record.Add(1, Origin("v2"));
  CHECK(record.Find(1) == StreamProgress::BegunAtUnknownOrigin());
  record.Add(1, Origin("v1"));
  CHECK(record.Find(1) == StreamProgress::BegunAtUnknownOrigin());
}

TEST(StreamRecords, MalformedTextIsRefused) {
  for (
      const char* text :
      {"", "[]", "{}", R"({"origins":[]})", R"({"unknown":""})",
       R"({"origins":[],"unknown":"0"})",
       R"({"origins":[],"unknown":"000000000000000g"})",
       R"({"origins":[],"unknown":"-000000000000001"})",
       R"({"origins":[{"service":"s","streams":""}],"unknown":""})",
       R"({"origins":[{"service":"","software":"v","streams":""}],"unknown":""})",
       R"({"origins":[7],"unknown":""})"}) {
    CHECK_TEXT(!DecodeStreamRecord(text).has_value(), text);
  }
  CHECK(
      DecodeStreamRecord(R"({"origins":[],"unknown":"","new":1})").has_value());
}

TEST(StreamRecords, WriterAddsToItsRecordUntilItIsClosed) {
  StreamRecordWriter writer({.max_open = seconds(2), .close_at = 10});
  CHECK(!writer.Next(kStart));
  writer.Add(kStart, {Report(1, "v1")});
  const Written first = NextOf(writer, kStart);
  LONGS_EQUAL(1, first.record.Size());
  writer.Add(kStart, {Report(2, "v1")});
  writer.OnWritten(kStart, true);
  const Written second = NextOf(writer, kStart + seconds(1));
  LONGS_EQUAL(first.number, second.number);
  LONGS_EQUAL(2, second.record.Size());
  writer.OnWritten(kStart + seconds(1), true);
  CHECK(!writer.Next(kStart + seconds(1)));
  writer.Add(kStart + seconds(3), {Report(3, "v1")});
  const Written third = NextOf(writer, kStart + seconds(3));
  CHECK(third.number != first.number);
  LONGS_EQUAL(1, third.record.Size());
}

// Guards against a late call without an answer that takes streams out of a
// record which was written again meanwhile.
TEST(StreamRecords, WriterNeverChangesARecordAfterAFailedWrite) {
  StreamRecordWriter writer;
  writer.Add(kStart, {Report(1, "v1")});
  const Written first = NextOf(writer, kStart);
  writer.OnWritten(kStart, false);
  writer.Add(kStart, {Report(2, "v2")});
  const Written again = NextOf(writer, kStart);
  CHECK(again.number != first.number);
  LONGS_EQUAL(2, again.record.Size());
}

// Guards against a record that grows without bound, and against streams that
// wait for a service that is away.
TEST(StreamRecords, WriterKeepsItsBounds) {
  StreamRecordWriter writer(
      {.close_at = 2, .max_streams = 2, .max_waiting = 3});
  writer.Add(kStart, {Report(1, "v1", milliseconds(500)), Report(2, "v1"),
                      Report(3, "v1"), Report(4, "v1"), Report(5, "v1")});
  const Written first = NextOf(writer, kStart + seconds(1));
  LONGS_EQUAL(2, writer.TakeLost());
  LONGS_EQUAL(0, writer.TakeLost());
  LONGS_EQUAL(2, first.record.Size());
  writer.OnWritten(kStart + seconds(1), true);
  const Written second = NextOf(writer, kStart + seconds(1));
  CHECK(second.number != first.number);
  CHECK(second.record.Find(5).has_value());
}

// Damaged records are read or refused.
TEST(StreamRecords, SurviveDamage) {
  StreamRecord record;
  for (StreamKey stream = 0; stream < 20; ++stream) {
    record.Add(stream * 0x123456789abcdef, Origin("v1"));
  }
  const std::string whole = EncodeStreamRecord(record);
  CHECK(rc::check([&] {
    std::string text = whole;
    const auto hits = *rc::gen::container<std::vector<std::pair<size_t, char>>>(
        rc::gen::pair(rc::gen::inRange<size_t>(0, whole.size()),
                      rc::gen::arbitrary<char>()));
    for (const auto& [at, byte] : hits) {
      text[at] = byte;
    }
    if (const auto read = DecodeStreamRecord(text)) {
      const auto again = DecodeStreamRecord(EncodeStreamRecord(*read));
      const bool same = again.has_value() && *again == *read;
      RC_ASSERT(same);
    }
  }));
}

}  // namespace hickorystand
