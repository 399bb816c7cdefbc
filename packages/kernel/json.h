// JSON parsing with type-checked access, and JSON output, on json-glib.
//
//   const auto value = Json::Parse(body);
//   if (value && value->At("model").IsText()) { ... }
//
//   JsonWriter out;
//   out.BeginObject().Member("model", name).EndObject();
//   Send(out.Text());
//
// Index
//   Json         a parsed value; an absent member is an empty value
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

// Limit on the nesting of arrays and objects in parsed documents. The parser is
// recursive, so a malicious document of nested brackets would overflow the
// stack.
inline constexpr int kMaxJsonDepth = 64;

// One value of a parsed document. It shares ownership of the document.
class Json {
 public:
  // An absent value.
  Json() = default;

  // Parses a document; kBadRequest if it is invalid or nested too deeply.
  static Result<Json> Parse(std::string_view text);

  // Like Parse(), and also kBadRequest if the document is not an object.
  static Result<Json> ParseObject(std::string_view text);

  // The value's type. All return false for an absent value.
  bool Exists() const { return this->node != nullptr; }
  bool IsObject() const;
  bool IsArray() const;
  bool IsText() const;
  bool IsInteger() const;
  bool IsNumber() const;  // integers included
  bool IsFlag() const;

  // The member of an object; absent if there is none or this is not an object.
  Json At(std::string_view name) const;

  // The elements of an array, and the member names of an object in document
  // order; empty for values of other types.
  std::vector<Json> Items() const;
  std::vector<std::string> Names() const;

  // The elements of an array as integers; 0 for elements of other types.
  std::vector<int64_t> Integers() const;

  // The value, or the fallback if it is of another type.
  std::string Text(std::string fallback = "") const;
  double Number(double fallback = 0) const;
  bool Flag(bool fallback = false) const;

  // An integer, also one that is written as a string, as the JSON mapping of
  // protocol buffers writes 64-bit integers.
  int64_t Integer(int64_t fallback = 0) const;

  // The value serialised without white space. The value must exist.
  std::string Write() const;

 private:
  friend class JsonWriter;

  explicit Json(JsonNode* node);

  std::shared_ptr<JsonNode> node;
};

// Builds one JSON document.
class JsonWriter {
 public:
  JsonWriter();

  JsonWriter& BeginObject();
  JsonWriter& EndObject();
  JsonWriter& BeginArray();
  JsonWriter& EndArray();

  // Sets the name of the next value of an object.
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

  // Adds a name and its value.
  template <typename T>
  JsonWriter& Member(std::string_view name, const T& value) {
    return this->Name(name).Value(value);
  }

  // The document; every object and array must be closed. `indented` makes it
  // readable for people.
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
