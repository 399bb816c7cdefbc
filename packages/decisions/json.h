// Small JSON records, written and read through json-glib.
//
// Reading is forgiving in one way only: an absent member, or one of another
// type, reads as empty, zero or false. Records from newer versions of the
// program, with more members, can so be read by older ones.

#pragma once

#include <json-glib/json-glib.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/error.h"

namespace hickorystand {

// Writes one JSON value, step by step; calls can be chained.
class JsonWriter {
 public:
  JsonWriter();
  ~JsonWriter();
  JsonWriter(const JsonWriter&) = delete;
  JsonWriter& operator=(const JsonWriter&) = delete;

  // Objects and arrays. A name is given to those that are members.
  JsonWriter& BeginObject(const std::string& name = "");
  JsonWriter& EndObject();
  JsonWriter& BeginArray(const std::string& name = "");
  JsonWriter& EndArray();

  // Members of the object that is open.
  JsonWriter& Text(const std::string& name, const std::string& value);
  JsonWriter& Integer(const std::string& name, int64_t value);
  JsonWriter& Flag(const std::string& name, bool value);

  // An item of the array that is open.
  JsonWriter& Item(int64_t value);

  // The finished text.
  std::string Take();

 private:
  JsonBuilder* builder;
};

// Reads one JSON object.
class JsonReader {
 public:
  // Reads a text; an error unless it is one JSON object.
  static Result<JsonReader> Parse(std::string_view text);

  // Members; see above for those that are absent.
  std::string Text(const std::string& name) const;
  int64_t Integer(const std::string& name) const;
  bool Flag(const std::string& name) const;
  std::vector<JsonReader> Items(const std::string& name) const;
  std::vector<int64_t> Integers(const std::string& name) const;
  std::vector<std::string> Names() const;
  JsonReader Member(const std::string& name) const;

 private:
  explicit JsonReader(JsonNode* node);
  JsonNode* Find(const std::string& name) const;
  JsonArray* FindArray(const std::string& name) const;

  std::shared_ptr<JsonNode> node;  // null reads as an empty object
};

}  // namespace hickorystand
