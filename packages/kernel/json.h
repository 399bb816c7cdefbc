// Strict JSON (RFC 8259) with type-checked access, and JSON output. The parser
// keeps its own stack, and its limits hold while it reads, so no document
// decides how deep the call stack grows or how much memory is held.
//
//   const auto value = Json::Parse(body);
//   if (value && value->At("model").IsText()) { ... }
//
//   JsonWriter out;
//   out.BeginObject().Member("model", name).EndObject();
//   Send(out.Text());
//
// Index
//   JsonLimits   limits on a document
//   Json         a parsed value; an absent member is an empty value
//   JsonWriter   builds one document

#pragma once

#include <concepts>
#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kernel/error.h"

namespace hickorystand {

// Limits on a document. Reading ends at the first value beyond them.
struct JsonLimits {
  int64_t max_depth = 64;                 // nested arrays and objects
  int64_t max_values = 4'000'000;         // arrays and objects included
  int64_t max_bytes = int64_t{64} << 20;  // of the text
  bool allow_nul = true;                  // the character U+0000 in strings

  auto operator<=>(const JsonLimits&) const = default;
};

// One value of a parsed document. It shares ownership of the document.
class Json {
 public:
  // An absent value.
  Json() = default;

  // Parses a document; kBadRequest if it is invalid or beyond a limit. The last
  // member of a name counts.
  static Result<Json> Parse(std::string_view text,
                            const JsonLimits& limits = {});

  // Like Parse(), and also kBadRequest if the document is not an object.
  static Result<Json> ParseObject(std::string_view text);

  // The value's type. All return false for an absent value.
  bool Exists() const { return this->node != nullptr; }
  bool IsObject() const;
  bool IsArray() const;
  bool IsText() const;
  bool IsInteger() const;  // of 64 bits with sign
  bool IsNumber() const;   // integers included
  bool IsFlag() const;

  // The member of an object; absent if there is none or this is not an object.
  Json At(std::string_view name) const;

  // The elements of an array, and the sorted member names of an object; empty
  // for values of other types.
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

  using Node = std::shared_ptr<const nlohmann::json>;

  explicit Json(Node node) : node(std::move(node)) {}

  // A value within the document that this one shares.
  Json Part(const nlohmann::json& part) const;

  Node node;
};

// Builds one JSON document. Bytes that are not UTF-8 are replaced.
class JsonWriter {
 public:
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
  JsonWriter& Bool(bool value);
  JsonWriter& Integer(int64_t value);

  // Writes a comma if a value stands before this place.
  void Separate();
  void Begin(char bracket);
  void End(char bracket);

  std::string text;
  int depth = 0;
  bool first = true;  // nothing stands before this place in its array or object
};

}  // namespace hickorystand
