#include "decisions/json.h"

namespace hickorystand {
namespace {

struct ParserFree {
  void operator()(JsonParser* parser) const { g_object_unref(parser); }
};

// The name goes before a member's value; items of arrays have none.
void Name(JsonBuilder* builder, const std::string& name) {
  if (!name.empty()) {
    json_builder_set_member_name(builder, name.c_str());
  }
}

bool HoldsType(JsonNode* node, GType type) {
  return node != nullptr && JSON_NODE_HOLDS_VALUE(node) &&
         json_node_get_value_type(node) == type;
}

}  // namespace

JsonWriter::JsonWriter() : builder(json_builder_new()) {}

JsonWriter::~JsonWriter() {
  g_object_unref(this->builder);
}

JsonWriter& JsonWriter::BeginObject(const std::string& name) {
  Name(this->builder, name);
  json_builder_begin_object(this->builder);
  return *this;
}

JsonWriter& JsonWriter::EndObject() {
  json_builder_end_object(this->builder);
  return *this;
}

JsonWriter& JsonWriter::BeginArray(const std::string& name) {
  Name(this->builder, name);
  json_builder_begin_array(this->builder);
  return *this;
}

JsonWriter& JsonWriter::EndArray() {
  json_builder_end_array(this->builder);
  return *this;
}

JsonWriter& JsonWriter::Text(const std::string& name,
                             const std::string& value) {
  Name(this->builder, name);
  json_builder_add_string_value(this->builder, value.c_str());
  return *this;
}

JsonWriter& JsonWriter::Integer(const std::string& name, int64_t value) {
  Name(this->builder, name);
  json_builder_add_int_value(this->builder, value);
  return *this;
}

JsonWriter& JsonWriter::Flag(const std::string& name, bool value) {
  Name(this->builder, name);
  json_builder_add_boolean_value(this->builder, value ? TRUE : FALSE);
  return *this;
}

JsonWriter& JsonWriter::Item(int64_t value) {
  json_builder_add_int_value(this->builder, value);
  return *this;
}

std::string JsonWriter::Take() {
  JsonNode* root = json_builder_get_root(this->builder);
  char* text = json_to_string(root, FALSE);
  std::string out = text;
  g_free(text);
  json_node_unref(root);
  return out;
}

JsonReader::JsonReader(JsonNode* node)
    : node(node, [](JsonNode* held) {
        if (held != nullptr) {
          json_node_unref(held);
        }
      }) {}

Result<JsonReader> JsonReader::Parse(std::string_view text) {
  const std::unique_ptr<JsonParser, ParserFree> parser(json_parser_new());
  GError* error = nullptr;
  if (json_parser_load_from_data(parser.get(), text.data(),
                                 static_cast<gssize>(text.size()),
                                 &error) == FALSE) {
    const std::string why = error->message;
    g_error_free(error);
    return Fail(ErrorKind::kBadRequest, "not JSON: " + why);
  }
  JsonNode* root = json_parser_steal_root(parser.get());
  if (root == nullptr || !JSON_NODE_HOLDS_OBJECT(root)) {
    if (root != nullptr) {
      json_node_unref(root);
    }
    return Fail(ErrorKind::kBadRequest, "not a JSON object");
  }
  return JsonReader(root);
}

JsonNode* JsonReader::Find(const std::string& name) const {
  if (!this->node) {
    return nullptr;
  }
  return json_object_get_member(json_node_get_object(this->node.get()),
                                name.c_str());
}

JsonArray* JsonReader::FindArray(const std::string& name) const {
  JsonNode* found = this->Find(name);
  return found != nullptr && JSON_NODE_HOLDS_ARRAY(found)
             ? json_node_get_array(found)
             : nullptr;
}

std::string JsonReader::Text(const std::string& name) const {
  JsonNode* found = this->Find(name);
  return HoldsType(found, G_TYPE_STRING) ? json_node_get_string(found) : "";
}

int64_t JsonReader::Integer(const std::string& name) const {
  JsonNode* found = this->Find(name);
  return HoldsType(found, G_TYPE_INT64) ? json_node_get_int(found) : 0;
}

bool JsonReader::Flag(const std::string& name) const {
  JsonNode* found = this->Find(name);
  return HoldsType(found, G_TYPE_BOOLEAN) &&
         json_node_get_boolean(found) != FALSE;
}

std::vector<JsonReader> JsonReader::Items(const std::string& name) const {
  std::vector<JsonReader> items;
  JsonArray* array = this->FindArray(name);
  const guint length = array == nullptr ? 0 : json_array_get_length(array);
  for (guint i = 0; i < length; ++i) {
    JsonNode* item = json_array_get_element(array, i);
    if (JSON_NODE_HOLDS_OBJECT(item)) {
      items.push_back(JsonReader(json_node_copy(item)));
    }
  }
  return items;
}

std::vector<int64_t> JsonReader::Integers(const std::string& name) const {
  std::vector<int64_t> integers;
  JsonArray* array = this->FindArray(name);
  const guint length = array == nullptr ? 0 : json_array_get_length(array);
  for (guint i = 0; i < length; ++i) {
    JsonNode* item = json_array_get_element(array, i);
    integers.push_back(HoldsType(item, G_TYPE_INT64) ? json_node_get_int(item)
                                                     : 0);
  }
  return integers;
}

std::vector<std::string> JsonReader::Names() const {
  std::vector<std::string> names;
  if (!this->node) {
    return names;
  }
  GList* members =
      json_object_get_members(json_node_get_object(this->node.get()));
  for (GList* each = members; each != nullptr; each = each->next) {
    names.emplace_back(static_cast<const char*>(each->data));
  }
  g_list_free(members);
  return names;
}

JsonReader JsonReader::Member(const std::string& name) const {
  JsonNode* found = this->Find(name);
  return JsonReader(found != nullptr && JSON_NODE_HOLDS_OBJECT(found)
                        ? json_node_copy(found)
                        : nullptr);
}

}  // namespace hickorystand
