// JSON through json-glib: reading with checked access, and writing.
//
//   const auto value = Json::Parse(body);
//   if (value && value->At("model").IsText()) { ... }
//
//   JsonWriter out;
//   out.BeginObject().Member("model", name).EndObject();
//   Send(out.Text());
//
// Index
//   Json         a parsed value; absent members are values too, and read empty
//   JsonWriter   builds one document

#pragma once

#include <json-glib/json-glib.h>

#include <concepts>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/error.h"

namespace hickorystand {

// How deep arrays and objects may nest in what is parsed. The parser descends
// by recursion, so a hostile document of brackets would overflow the stack.
inline constexpr int kMaxJsonDepth = 64;

// One value of a parsed document, which it keeps alive.
class Json {
 public:
  // An absent value.
  Json() = default;

  // Parses a document; kBadRequest if it is none or nests too deep.
  static Result<Json> Parse(std::string_view text);

  // As Parse(), and kBadRequest if the document is no object.
  static Result<Json> ParseObject(std::string_view text);

  // What the value is. An absent one is nothing of all this.
  bool Exists() const { return this->node != nullptr; }
  bool IsObject() const;
  bool IsArray() const;
  bool IsText() const;
  bool IsInteger() const;
  bool IsNumber() const;  // integers included
  bool IsFlag() const;

  // The member of an object; absent if there is none or this is no object.
  Json At(std::string_view name) const;

  // The elements of an array, and the member names of an object in their
  // order; empty for anything else.
  std::vector<Json> Items() const;
  std::vector<std::string> Names() const;

  // The elements of an array as whole numbers; others read 0.
  std::vector<int64_t> Integers() const;

  // The plain value, or the fallback if it is of another type.
  std::string Text(std::string fallback = "") const;
  double Number(double fallback = 0) const;
  bool Flag(bool fallback = false) const;

  // A whole number, also one that is written as text: that is how 64-bit
  // integers stand in the JSON mapping of protocol buffers.
  int64_t Integer(int64_t fallback = 0) const;

  // The value written out again, without spaces.
  std::string Write() const;

 private:
  friend class JsonWriter;

  explicit Json(JsonNode* node);

  std::shared_ptr<JsonNode> node;
};

// Writes one JSON document.
class JsonWriter {
 public:
  JsonWriter();

  JsonWriter& BeginObject();
  JsonWriter& EndObject();
  JsonWriter& BeginArray();
  JsonWriter& EndArray();

  // Names the next value of an object.
  JsonWriter& Name(std::string_view name);

  JsonWriter& Value(std::string_view value);
  JsonWriter& Value(const char* value) {
    return this->Value(std::string_view(value));
  }
  JsonWriter& Value(const std::string& value) {
    return this->Value(std::string_view(value));
  }
  JsonWriter& Value(std::same_as<bool> auto value) { return this->Bool(value); }
  template <std::integral T>
    requires(!std::same_as<T, bool>)
  JsonWriter& Value(T value) {
    return this->Integer(static_cast<int64_t>(value));
  }
  JsonWriter& Value(double value);
  JsonWriter& Value(const Json& value);

  // A name with its value.
  template <typename T>
  JsonWriter& Member(std::string_view name, const T& value) {
    return this->Name(name).Value(value);
  }

  // The document; all that was begun must be ended. `indented` is for people.
  std::string Text(bool indented = false) const;

 private:
  struct Unref {
    void operator()(gpointer object) const { g_object_unref(object); }
  };

  JsonWriter& Bool(bool value);
  JsonWriter& Integer(int64_t value);

  std::unique_ptr<JsonBuilder, Unref> builder;
};

}  // namespace hickorystand
