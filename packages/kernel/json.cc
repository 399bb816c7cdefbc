#include "kernel/json.h"

#include <cassert>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace hickorystand {
namespace {

constexpr auto kReplaceInvalidUtf8 = nlohmann::json::error_handler_t::replace;
constexpr int kIndentedWidth = 2;

// The serializer recurses; a document nests at most as deep as its parser
// allowed.
std::string Serialize(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, kReplaceInvalidUtf8);
}

std::optional<int64_t> ParseInteger(std::string_view text) {
  int64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  const bool parsed =
      error == std::errc() && end == text.data() + text.size() && !text.empty();
  return parsed ? std::optional(value) : std::nullopt;
}

// Builds a document from the events of the parser, and ends the parse at the
// first value beyond a limit. The method names are those of nlohmann::json_sax.
// NOLINTBEGIN(readability-identifier-naming)
class DocumentBuilder {
 public:
  explicit DocumentBuilder(const JsonLimits& limits) : limits(limits) {}

  bool null() { return this->Add(nullptr); }
  bool boolean(bool value) { return this->Add(value); }
  bool number_integer(int64_t value) { return this->Add(value); }
  bool number_unsigned(uint64_t value) {
    return std::in_range<int64_t>(value)
               ? this->Add(static_cast<int64_t>(value))
               : this->Add(value);
  }
  bool number_float(double value, const std::string&) {
    return this->Add(value);
  }
  bool string(std::string& value) {
    return this->CheckText(value) && this->Add(std::move(value));
  }
  bool binary(nlohmann::json::binary_t&) { return false; }

  bool start_object(size_t) { return this->Open(nlohmann::json::object()); }
  bool start_array(size_t) { return this->Open(nlohmann::json::array()); }
  bool end_object() { return this->Close(); }
  bool end_array() { return this->Close(); }
  bool key(std::string& name) {
    this->name = std::move(name);
    return this->CheckText(this->name);
  }

  bool parse_error(size_t,
                   const std::string&,
                   const nlohmann::json::exception& error) {
    this->problem = error.what();
    return false;
  }

  const std::string& Problem() const { return this->problem; }
  nlohmann::json Take() { return std::move(this->document); }

 private:
  bool Refuse(std::string_view why) {
    this->problem = why;
    return false;
  }

  bool CheckText(const std::string& text) {
    return this->limits.allow_nul || text.find('\0') == std::string::npos ||
           this->Refuse("it contains the character U+0000");
  }

  bool Add(nlohmann::json value) { return this->Place(std::move(value)); }

  // Returns where the value was placed; nullptr beyond the limit.
  nlohmann::json* Place(nlohmann::json value) {
    if (++this->values > this->limits.max_values) {
      this->Refuse("it has too many values");
      return nullptr;
    }
    if (this->open.empty()) {
      this->document = std::move(value);
      return &this->document;
    }
    nlohmann::json& parent = *this->open.back();
    if (parent.is_array()) {
      return &parent.emplace_back(std::move(value));
    }
    nlohmann::json& member = parent[this->name];
    member = std::move(value);
    return &member;
  }

  bool Open(nlohmann::json empty) {
    if (std::ssize(this->open) >= this->limits.max_depth) {
      return this->Refuse("it nests too deep");
    }
    nlohmann::json* placed = this->Place(std::move(empty));
    if (placed == nullptr) {
      return false;
    }
    this->open.push_back(placed);
    return true;
  }

  bool Close() {
    this->open.pop_back();
    return true;
  }

  const JsonLimits limits;
  nlohmann::json document;
  std::vector<nlohmann::json*> open;  // arrays and objects, innermost last
  std::string name;                   // of the next member
  int64_t values = 0;
  std::string problem;
};
// NOLINTEND(readability-identifier-naming)

}  // namespace

Result<Json> Json::Parse(std::string_view text, const JsonLimits& limits) {
  if (std::ssize(text) > limits.max_bytes) {
    return Fail(ErrorKind::kBadRequest, "the JSON is too long");
  }
  DocumentBuilder builder(limits);
  if (!nlohmann::json::sax_parse(text.begin(), text.end(), &builder)) {
    return Fail(ErrorKind::kBadRequest,
                "the JSON can't be read: " + builder.Problem());
  }
  return Json(std::make_shared<const nlohmann::json>(builder.Take()));
}

Result<Json> Json::ParseObject(std::string_view text) {
  auto json = Parse(text);
  if (json && !json->IsObject()) {
    return Fail(ErrorKind::kBadRequest, "the JSON is no object");
  }
  return json;
}

Json Json::Part(const nlohmann::json& part) const {
  return Json(Node(this->node, &part));
}

bool Json::IsObject() const {
  return this->node && this->node->is_object();
}

bool Json::IsArray() const {
  return this->node && this->node->is_array();
}

bool Json::IsText() const {
  return this->node && this->node->is_string();
}

bool Json::IsInteger() const {
  return this->node && this->node->is_number_integer() &&
         !this->node->is_number_unsigned();
}

bool Json::IsNumber() const {
  return this->node && this->node->is_number();
}

bool Json::IsFlag() const {
  return this->node && this->node->is_boolean();
}

Json Json::At(std::string_view name) const {
  if (!this->IsObject()) {
    return {};
  }
  const auto member = this->node->find(name);
  return member == this->node->end() ? Json() : this->Part(*member);
}

std::vector<Json> Json::Items() const {
  std::vector<Json> items;
  if (this->IsArray()) {
    items.reserve(this->node->size());
    for (const nlohmann::json& item : *this->node) {
      items.push_back(this->Part(item));
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
    for (const auto& member : this->node->items()) {
      names.push_back(member.key());
    }
  }
  return names;
}

std::string Json::Text(std::string fallback) const {
  if (!this->IsText()) {
    return fallback;
  }
  return this->node->get_ref<const std::string&>();
}

double Json::Number(double fallback) const {
  return this->IsNumber() ? this->node->get<double>() : fallback;
}

bool Json::Flag(bool fallback) const {
  return this->IsFlag() ? this->node->get<bool>() : fallback;
}

int64_t Json::Integer(int64_t fallback) const {
  if (this->IsText()) {
    return ParseInteger(this->node->get_ref<const std::string&>())
        .value_or(fallback);
  }
  return this->IsInteger() ? this->node->get<int64_t>() : fallback;
}

std::string Json::Write() const {
  assert(this->node && "an absent value can't be written");
  return Serialize(*this->node);
}

void JsonWriter::Separate() {
  if (!std::exchange(this->first, false)) {
    this->text += ',';
  }
}

void JsonWriter::Begin(char bracket) {
  this->Separate();
  this->text += bracket;
  this->first = true;
  ++this->depth;
}

void JsonWriter::End(char bracket) {
  this->text += bracket;
  this->first = false;
  --this->depth;
}

JsonWriter& JsonWriter::BeginObject() {
  this->Begin('{');
  return *this;
}

JsonWriter& JsonWriter::EndObject() {
  this->End('}');
  return *this;
}

JsonWriter& JsonWriter::BeginArray() {
  this->Begin('[');
  return *this;
}

JsonWriter& JsonWriter::EndArray() {
  this->End(']');
  return *this;
}

JsonWriter& JsonWriter::Name(std::string_view name) {
  this->Value(name);
  this->text += ':';
  this->first = true;
  return *this;
}

JsonWriter& JsonWriter::Value(std::string_view value) {
  this->Separate();
  this->text += Serialize(value);
  return *this;
}

JsonWriter& JsonWriter::Value(double value) {
  this->Separate();
  this->text += Serialize(value);
  return *this;
}

JsonWriter& JsonWriter::Value(const Json& value) {
  this->Separate();
  this->text += value.Write();
  return *this;
}

JsonWriter& JsonWriter::Bool(bool value) {
  this->Separate();
  this->text += value ? "true" : "false";
  return *this;
}

JsonWriter& JsonWriter::Integer(int64_t value) {
  this->Separate();
  this->text += std::to_string(value);
  return *this;
}

std::string JsonWriter::Text(bool indented) const {
  assert(this->depth == 0 && !this->text.empty() &&
         "the document was begun but not ended");
  return indented
             ? nlohmann::ordered_json::parse(this->text).dump(kIndentedWidth)
             : this->text;
}

}  // namespace hickorystand
