#include "kernel/json.h"

#include <algorithm>
#include <cassert>
#include <charconv>
#include <optional>
#include <utility>

namespace hickorystand {
namespace {

// The nesting depth of a document, computed without recursion.
int Depth(std::string_view text) {
  int depth = 0;
  int deepest = 0;
  bool quoted = false;
  for (size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (quoted) {
      i += c == '\\' ? 1 : 0;
      quoted = c != '"';
    } else if (c == '"') {
      quoted = true;
    } else if (c == '{' || c == '[') {
      deepest = std::max(deepest, ++depth);
    } else if (c == '}' || c == ']') {
      --depth;
    }
  }
  return deepest;
}

std::string Generate(JsonNode* node, bool indented) {
  g_autoptr(JsonGenerator) generator = json_generator_new();
  json_generator_set_root(generator, node);
  json_generator_set_pretty(generator, indented);
  gsize length = 0;
  g_autofree char* text = json_generator_to_data(generator, &length);
  return {text, length};
}

bool HoldsType(const std::shared_ptr<JsonNode>& node, GType type) {
  return node && JSON_NODE_HOLDS_VALUE(node.get()) &&
         json_node_get_value_type(node.get()) == type;
}

std::optional<int64_t> ParseInteger(std::string_view text) {
  int64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  const bool parsed =
      error == std::errc() && end == text.data() + text.size() && !text.empty();
  return parsed ? std::optional(value) : std::nullopt;
}

}  // namespace

Json::Json(JsonNode* node) : node(node, &json_node_unref) {}

Result<Json> Json::Parse(std::string_view text) {
  if (Depth(text) > kMaxJsonDepth) {
    return Fail(ErrorKind::kBadRequest, "the JSON nests too deep");
  }
  // json-glib would accept strings that are not valid UTF-8 and return them.
  if (!g_utf8_validate(text.data(), static_cast<gssize>(text.size()),
                       nullptr)) {
    return Fail(ErrorKind::kBadRequest, "the JSON is not valid UTF-8");
  }
  g_autoptr(JsonParser) parser = json_parser_new_immutable();
  g_autoptr(GError) error = nullptr;
  if (!json_parser_load_from_data(parser, text.data(),
                                  static_cast<gssize>(text.size()), &error)) {
    return Fail(ErrorKind::kBadRequest,
                std::string("the JSON can't be read: ") + error->message);
  }
  JsonNode* root = json_parser_get_root(parser);
  if (root == nullptr) {
    return Fail(ErrorKind::kBadRequest, "the JSON is empty");
  }
  return Json(json_node_ref(root));
}

Result<Json> Json::ParseObject(std::string_view text) {
  auto json = Parse(text);
  if (json && !json->IsObject()) {
    return Fail(ErrorKind::kBadRequest, "the JSON is no object");
  }
  return json;
}

bool Json::IsObject() const {
  return this->node && JSON_NODE_HOLDS_OBJECT(this->node.get());
}

bool Json::IsArray() const {
  return this->node && JSON_NODE_HOLDS_ARRAY(this->node.get());
}

bool Json::IsText() const {
  return HoldsType(this->node, G_TYPE_STRING);
}

bool Json::IsInteger() const {
  return HoldsType(this->node, G_TYPE_INT64);
}

bool Json::IsNumber() const {
  return this->IsInteger() || HoldsType(this->node, G_TYPE_DOUBLE);
}

bool Json::IsFlag() const {
  return HoldsType(this->node, G_TYPE_BOOLEAN);
}

Json Json::At(std::string_view name) const {
  if (!this->IsObject()) {
    return {};
  }
  JsonNode* member = json_object_get_member(
      json_node_get_object(this->node.get()), std::string(name).c_str());
  return member == nullptr ? Json() : Json(json_node_ref(member));
}

std::vector<Json> Json::Items() const {
  std::vector<Json> items;
  if (this->IsArray()) {
    JsonArray* array = json_node_get_array(this->node.get());
    const guint length = json_array_get_length(array);
    items.reserve(length);
    for (guint i = 0; i < length; ++i) {
      items.push_back(Json(json_node_ref(json_array_get_element(array, i))));
    }
  }
  return items;
}

std::vector<int64_t> Json::Integers() const {
  std::vector<int64_t> integers;
  for (const Json& item : this->Items()) {
    integers.push_back(item.Integer());
  }
  return integers;
}

std::vector<std::string> Json::Names() const {
  std::vector<std::string> names;
  if (this->IsObject()) {
    g_autoptr(GList) members =
        json_object_get_members(json_node_get_object(this->node.get()));
    for (const GList* at = members; at != nullptr; at = at->next) {
      names.emplace_back(static_cast<const char*>(at->data));
    }
  }
  return names;
}

std::string Json::Text(std::string fallback) const {
  return this->IsText() ? json_node_get_string(this->node.get())
                        : std::move(fallback);
}

double Json::Number(double fallback) const {
  return this->IsNumber() ? json_node_get_double(this->node.get()) : fallback;
}

bool Json::Flag(bool fallback) const {
  return this->IsFlag() ? json_node_get_boolean(this->node.get()) != FALSE
                        : fallback;
}

int64_t Json::Integer(int64_t fallback) const {
  if (this->IsText()) {
    return ParseInteger(this->Text()).value_or(fallback);
  }
  return this->IsInteger() ? json_node_get_int(this->node.get()) : fallback;
}

std::string Json::Write() const {
  assert(this->node && "an absent value can't be written");
  return Generate(this->node.get(), false);
}

JsonWriter::JsonWriter() : builder(json_builder_new()) {}

JsonWriter& JsonWriter::BeginObject() {
  json_builder_begin_object(this->builder.get());
  return *this;
}

JsonWriter& JsonWriter::EndObject() {
  json_builder_end_object(this->builder.get());
  return *this;
}

JsonWriter& JsonWriter::BeginArray() {
  json_builder_begin_array(this->builder.get());
  return *this;
}

JsonWriter& JsonWriter::EndArray() {
  json_builder_end_array(this->builder.get());
  return *this;
}

JsonWriter& JsonWriter::Name(std::string_view name) {
  json_builder_set_member_name(this->builder.get(), std::string(name).c_str());
  return *this;
}

JsonWriter& JsonWriter::Value(std::string_view value) {
  json_builder_add_string_value(this->builder.get(),
                                std::string(value).c_str());
  return *this;
}

JsonWriter& JsonWriter::Value(double value) {
  json_builder_add_double_value(this->builder.get(), value);
  return *this;
}

JsonWriter& JsonWriter::Value(const Json& value) {
  assert(value.node && "an absent value can't be written");
  json_builder_add_value(this->builder.get(), json_node_copy(value.node.get()));
  return *this;
}

JsonWriter& JsonWriter::Bool(bool value) {
  json_builder_add_boolean_value(this->builder.get(), value);
  return *this;
}

JsonWriter& JsonWriter::Integer(int64_t value) {
  json_builder_add_int_value(this->builder.get(), value);
  return *this;
}

std::string JsonWriter::Text(bool indented) const {
  g_autoptr(JsonNode) root = json_builder_get_root(this->builder.get());
  assert(root != nullptr && "the document was begun but not ended");
  return Generate(root, indented);
}

}  // namespace hickorystand
