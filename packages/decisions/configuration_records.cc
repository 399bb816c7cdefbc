#include "decisions/configuration_records.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <cmath>
#include <functional>
#include <iterator>
#include <limits>
#include <set>
#include <sstream>
#include <tuple>
#include <type_traits>
#include <utility>

#include <glib.h>

namespace hickorystand {
namespace {

constexpr size_t kMaxId = 64;
constexpr size_t kHashHexLength = 64;  // SHA-256 in hex
constexpr int64_t kMaxEndpointsOfService = 10000;
constexpr int64_t kMaxContextTokens = 10'000'000;
constexpr double kMaxRate = 1e9;    // of an account, units per second
constexpr double kMaxBurst = 1e10;  // units

// ---------------------------------------------------------------------------
// Conversion of single values. Each type has Read(), which parses a text and
// returns false if it is invalid, Write(), and Allowed(), which describes the
// valid texts.
// ---------------------------------------------------------------------------

// Range of a number, or of a duration in seconds.
struct Limits {
  double minimum = 0;
  double maximum = std::numeric_limits<double>::max();
};

std::string NumberText(double value) {
  if (value == std::floor(value) && std::abs(value) < 1e15) {
    return std::to_string(static_cast<int64_t>(value));
  }
  std::array<char, 32> text{};
  const auto end = std::to_chars(text.data(), text.data() + text.size(), value);
  return {text.data(), end.ptr};
}

template <typename Number>
bool ReadNumber(const std::string& text, Number& value) {
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value);
  return error == std::errc() && end == last && !text.empty();
}

template <typename Number>
bool ReadInRange(const std::string& text, Limits limits, Number& value) {
  Number number{};
  const bool valid = ReadNumber(text, number) &&
                     std::isfinite(static_cast<double>(number)) &&
                     static_cast<double>(number) >= limits.minimum &&
                     static_cast<double>(number) <= limits.maximum;
  value = valid ? number : value;
  return valid;
}

bool Read(const std::string& text, Limits limits, double& value) {
  return ReadInRange(text, limits, value);
}
std::string Write(double value) {
  return NumberText(value);
}
std::string Allowed(Limits limits, double /*type*/) {
  return "a number from " + NumberText(limits.minimum) + " to " +
         NumberText(limits.maximum);
}

bool Read(const std::string& text, Limits limits, int64_t& value) {
  return ReadInRange(text, limits, value);
}
std::string Write(int64_t value) {
  return std::to_string(value);
}
std::string Allowed(Limits limits, int64_t /*type*/) {
  return "a whole number from " + NumberText(limits.minimum) + " to " +
         NumberText(limits.maximum);
}

bool Read(const std::string& text, Limits /*limits*/, bool& value) {
  value = text == "true";
  return value || text == "false";
}
std::string Write(bool value) {
  return value ? "true" : "false";
}
std::string Allowed(Limits /*limits*/, bool /*type*/) {
  return "true or false";
}

std::string DurationText(int64_t milliseconds) {
  const std::array<std::pair<int64_t, const char*>, 4> units = {
      {{3'600'000, "h"}, {60'000, "m"}, {1000, "s"}, {1, "ms"}}};
  const auto* unit = std::ranges::find_if(units, [&](const auto& candidate) {
    return milliseconds % candidate.first == 0 && milliseconds != 0;
  });
  return unit == units.end()
             ? "0s"
             : std::to_string(milliseconds / unit->first) + unit->second;
}

bool Read(const std::string& text, Limits limits, Duration& value) {
  const auto length = ParseDuration(text);
  const bool valid = length && ToSeconds(*length) >= limits.minimum &&
                     ToSeconds(*length) <= limits.maximum;
  value = valid ? *length : value;
  return valid;
}
std::string Write(Duration value) {
  return DurationText(
      std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}
std::string Allowed(Limits limits, Duration /*type*/) {
  return "a length of time from " + Write(FromSeconds(limits.minimum)) +
         " to " + Write(FromSeconds(limits.maximum)) + ", such as 250ms or 5m";
}

bool IsIdCharacter(char c) {
  return g_ascii_isalnum(c) || c == '.' || c == '_' || c == '-';
}

bool IsId(std::string_view text) {
  return !text.empty() && text.size() <= kMaxId &&
         std::ranges::all_of(text, IsIdCharacter);
}

template <typename Tag>
bool Read(const std::string& text, Limits /*limits*/, Id<Tag>& value) {
  value = Id<Tag>(text);
  return IsId(text);
}
template <typename Tag>
std::string Write(const Id<Tag>& value) {
  return value.Text();
}
template <typename Tag>
std::string Allowed(Limits /*limits*/, const Id<Tag>& /*type*/) {
  return "an id of up to 64 letters, digits and . _ -";
}

bool Read(const std::string& text, Limits /*limits*/, SocketAddress& value) {
  const auto address = ParseAddress(text);
  value = address.value_or(value);
  return address.has_value();
}
std::string Write(const SocketAddress& value) {
  const bool ipv6 = value.host.find(':') != std::string::npos;
  return (ipv6 ? "[" + value.host + "]" : value.host) + ":" +
         std::to_string(value.port);
}
std::string Allowed(Limits /*limits*/, const SocketAddress& /*type*/) {
  return "IP:PORT or [IPv6]:PORT";
}

// A path of an HTTP service, or an empty string.
bool Read(const std::string& text, Limits /*limits*/, std::string& value) {
  value = text;
  return text.empty() ||
         (text.front() == '/' &&
          std::ranges::all_of(text, [](char c) { return g_ascii_isgraph(c); }));
}
std::string Write(const std::string& value) {
  return value;
}
std::string Allowed(Limits /*limits*/, const std::string& /*type*/) {
  return "a path that starts with /, or nothing";
}

// HTTP methods separated by ';'.
bool Read(const std::string& text,
          Limits /*limits*/,
          std::vector<std::string>& value) {
  std::vector<std::string> methods;
  std::istringstream in(text);
  for (std::string method; std::getline(in, method, ';');) {
    methods.push_back(method);
  }
  const bool valid =
      std::ranges::all_of(methods, [](const std::string& method) {
        return !method.empty() && std::ranges::all_of(method, [](char c) {
          return g_ascii_isupper(c);
        });
      });
  if (valid) {
    value = std::move(methods);
  }
  return valid;
}
std::string Write(const std::vector<std::string>& value) {
  std::string text;
  for (const std::string& method : value) {
    text += (text.empty() ? "" : ";") + method;
  }
  return text;
}
std::string Allowed(Limits /*limits*/, const std::vector<std::string>&) {
  return "HTTP methods in capitals, separated by ';'";
}

// The names of the values of an enumeration, in the order of the values.
template <typename Enum>
constexpr std::array<std::string_view, 0> kNames{};
template <>
constexpr std::array<std::string_view, 2> kNames<ServiceKind> = {"language",
                                                                 "plain"};
template <>
constexpr std::array<std::string_view, 2> kNames<LimitUnit> = {"requests",
                                                               "tokens"};
template <>
constexpr std::array<std::string_view, 4> kNames<EndpointRole> = {
    "mixed", "prefill", "decode", "plain"};

template <typename Enum>
  requires std::is_enum_v<Enum>
bool Read(const std::string& text, Limits /*limits*/, Enum& value) {
  const auto* found = std::ranges::find(kNames<Enum>, text);
  if (found == kNames<Enum>.end()) {
    return false;
  }
  value = static_cast<Enum>(found - kNames<Enum>.begin());
  return true;
}
template <typename Enum>
  requires std::is_enum_v<Enum>
std::string Write(Enum value) {
  return std::string(kNames<Enum>.at(static_cast<size_t>(value)));
}
template <typename Enum>
  requires std::is_enum_v<Enum>
std::string Allowed(Limits /*limits*/, Enum /*type*/) {
  std::string text = "one of";
  for (const std::string_view name : kNames<Enum>) {
    text += (text.back() == 'f' ? " " : ", ") + std::string(name);
  }
  return text;
}

// ---------------------------------------------------------------------------
// The table of fields: for each kind of record, its members with their ranges.
// ---------------------------------------------------------------------------

// A field of record type T, with the member's type erased.
template <typename T>
struct Field {
  FieldSchema schema;
  std::function<bool(const std::string&, T&)> read;
  std::function<std::string(const T&)> write;
};

// Options of a field; `limits` applies to numbers and durations.
struct FieldOptions {
  Limits limits;
  bool required = false;
  bool site_overridable = false;
};

template <typename T, typename Value>
Field<T> MakeField(const std::string& name,
                   Value T::* member,
                   const std::string& help,
                   FieldOptions options = {}) {
  const T initial{};
  return {.schema = {.name = name,
                     .allowed = Allowed(options.limits, Value{}),
                     .fallback = options.required ? "" : Write(initial.*member),
                     .help = help,
                     .required = options.required,
                     .site_overridable = options.site_overridable},
          .read = [member, limits = options.limits](
                      const std::string& text,
                      T& record) { return Read(text, limits, record.*member); },
          .write = [member](const T& record) { return Write(record.*member); }};
}

const std::vector<Field<Account>>& FieldsOf(const Account*) {
  static const std::vector<Field<Account>> kFields = {
      MakeField("weight", &Account::weight,
                "The account's share of contended capacity, relative to the "
                "weights of the others.",
                {.limits = {0.01, 1000}}),
      MakeField("max_in_flight", &Account::max_in_flight,
                "Requests that may run at once while capacity is contended; 0 "
                "sets no limit.",
                {.limits = {0, 1'000'000}}),
      MakeField("rate", &Account::rate,
                "Units a second that the account may use over all hosts; 0 "
                "sets no limit.",
                {.limits = {0, kMaxRate}}),
      MakeField("burst", &Account::burst,
                "Units that the account may use at once beyond its rate; a "
                "burst below 250 ms of the rate counts as that.",
                {.limits = {0, kMaxBurst}}),
      MakeField("unit", &Account::unit,
                "What rate and burst count: requests, or tokens of the prompt "
                "and the longest answer together. A call of a plain service "
                "counts as one."),
  };
  return kFields;
}

const std::vector<Field<AccountKey>>& FieldsOf(const AccountKey*) {
  static const std::vector<Field<AccountKey>> kFields = {
      MakeField("account", &AccountKey::account,
                "The account for which the key stands.", {.required = true}),
  };
  return kFields;
}

const std::vector<Field<Service>>& FieldsOf(const Service*) {
  static const std::vector<Field<Service>> kFields = {
      MakeField("kind", &Service::kind,
                "Whether it is a language model or a plain service."),
      MakeField("fences", &Service::fences,
                "Whether its endpoints refuse orders with an older fencing "
                "number."),
      MakeField("floor", &Service::floor,
                "Endpoints that must stay up in each data centre.",
                {.limits = {0, kMaxEndpointsOfService}}),
      MakeField("context_tokens", &Service::context_tokens,
                "The longest prompt and answer together.",
                {.limits = {1, kMaxContextTokens}}),
      MakeField("deadline", &Service::deadline,
                "The time within which the first byte of an answer must come.",
                {.limits = {0.1, 3600}}),
      MakeField("idempotent_methods", &Service::idempotent_methods,
                "HTTP methods of a plain service whose calls may be repeated."),
      MakeField("duplicate_window", &Service::duplicate_window,
                "How long the same non-idempotent request counts as sent "
                "again.",
                {.limits = {1, 7.0 * 24 * 3600}}),
      MakeField("status_path", &Service::status_path,
                "Where a caller looks up what became of a request whose "
                "outcome is unknown."),
  };
  return kFields;
}

const std::vector<Field<Site>>& FieldsOf(const Site*) {
  static const std::vector<Field<Site>> kFields = {
      MakeField("cut_off_key_limit", &Site::cut_off_key_limit,
                "How long keys stay valid in a data centre that can hear of "
                "no newer configuration.",
                {.limits = {60, 30.0 * 24 * 3600}, .site_overridable = true}),
  };
  return kFields;
}

const std::vector<Field<Endpoint>>& FieldsOf(const Endpoint*) {
  static const std::vector<Field<Endpoint>> kFields = {
      MakeField("service", &Endpoint::service, "The service that it runs.",
                {.required = true, .site_overridable = true}),
      MakeField("data_centre", &Endpoint::data_centre,
                "The data centre where it stands.",
                {.required = true, .site_overridable = true}),
      MakeField("address", &Endpoint::address, "Where it listens.",
                {.required = true, .site_overridable = true}),
      MakeField("zone", &Endpoint::zone,
                "What fails together; endpoints of one zone can vanish at "
                "once.",
                {.required = true, .site_overridable = true}),
      MakeField("role", &Endpoint::role, "The work that it starts with.",
                {.site_overridable = true}),
      MakeField("cheap", &Endpoint::cheap,
                "Whether it may be reclaimed at any moment.",
                {.site_overridable = true}),
      MakeField("cost_per_hour", &Endpoint::cost_per_hour,
                "What an hour of it costs, in any one unit.",
                {.limits = {0, 1'000'000}, .site_overridable = true}),
  };
  return kFields;
}

// ---------------------------------------------------------------------------
// The kinds of records, with the member of Configuration that holds each.
// ---------------------------------------------------------------------------

// A kind of record, with the record's type erased.
struct Kind {
  RecordSchema schema;
  std::function<std::string(const std::string& field, const std::string& text)>
      check;
  std::function<Result<bool>(Configuration&, const Record&)> put;
  std::function<bool(Configuration&, const std::string& id)> remove;
  std::function<void(const Configuration&, std::vector<Record>&)> list;
};

std::string InvalidValueMessage(const std::string& text,
                                const std::string& allowed) {
  return "'" + text + "' is not allowed; " + allowed + " is";
}

// Parses a record's fields; the error names the first invalid one.
template <typename T>
Result<T> ReadFields(const Record& record, T value) {
  for (const Field<T>& field : FieldsOf(static_cast<const T*>(nullptr))) {
    const auto entry = record.fields.find(field.schema.name);
    if (entry == record.fields.end()) {
      if (field.schema.required) {
        return Fail(ErrorKind::kBadSetting,
                    record.Name() + ": " + field.schema.name +
                        ": is missing; " + field.schema.allowed + " is needed");
      }
    } else if (!field.read(entry->second, value)) {
      return Fail(ErrorKind::kBadSetting,
                  record.Name() + ": " + field.schema.name + ": " +
                      InvalidValueMessage(entry->second, field.schema.allowed));
    }
  }
  return value;
}

template <typename T, typename Key>
Kind MakeKind(std::string name,
              std::string help,
              std::map<Key, T> Configuration::* records,
              Key T::* id) {
  const auto& fields = FieldsOf(static_cast<const T*>(nullptr));
  Kind kind{.schema = {.kind = std::move(name), .help = std::move(help)}};
  std::ranges::transform(fields, std::back_inserter(kind.schema.fields),
                         &Field<T>::schema);
  kind.check = [&fields](const std::string& field, const std::string& text) {
    const auto found = std::ranges::find_if(
        fields, [&](const auto& known) { return known.schema.name == field; });
    assert(found != fields.end() && "the schema has no such field");
    T scratch{};
    return found->read(text, scratch)
               ? ""
               : InvalidValueMessage(text, found->schema.allowed);
  };
  kind.put = [records, id](Configuration& configuration,
                           const Record& record) -> Result<bool> {
    auto value = ReadFields(record, T{});
    if (!value) {
      return tl::unexpected(value.error());
    }
    (*value).*id = Key(record.id);
    (configuration.*records)[Key(record.id)] = std::move(*value);
    return true;
  };
  kind.remove = [records](Configuration& configuration,
                          const std::string& record_id) {
    return (configuration.*records).erase(Key(record_id)) > 0;
  };
  kind.list = [&fields, records, kind_name = kind.schema.kind](
                  const Configuration& configuration,
                  std::vector<Record>& out) {
    for (const auto& [key, value] : configuration.*records) {
      Record record{.kind = kind_name};
      if constexpr (std::is_same_v<Key, std::string>) {
        record.id = key;
      } else {
        record.id = key.Text();
      }
      for (const Field<T>& field : fields) {
        record.fields[field.schema.name] = field.write(value);
      }
      out.push_back(std::move(record));
    }
  };
  return kind;
}

const std::vector<Kind>& RecordKinds() {
  static const std::vector<Kind> kKinds = {
      MakeKind("account", "A client account.", &Configuration::accounts,
               &Account::id),
      MakeKind("key", "A key of a client account, by its SHA-256.",
               &Configuration::keys, &AccountKey::hash),
      MakeKind("service", "A language model or a plain service.",
               &Configuration::services, &Service::id),
      MakeKind("site", "A data centre.", &Configuration::sites, &Site::id),
      MakeKind("endpoint", "One back end of a service.",
               &Configuration::endpoints, &Endpoint::id),
  };
  return kKinds;
}

const Kind* FindKind(std::string_view name) {
  const auto found = std::ranges::find_if(RecordKinds(), [&](const Kind& kind) {
    return kind.schema.kind == name;
  });
  return found == RecordKinds().end() ? nullptr : &*found;
}

}  // namespace

const FieldSchema* RecordSchema::Find(std::string_view name) const {
  const auto found = std::ranges::find(this->fields, name, &FieldSchema::name);
  return found == this->fields.end() ? nullptr : &*found;
}

std::span<const RecordSchema> AllRecordSchemas() {
  static const std::vector<RecordSchema> kSchemas = [] {
    std::vector<RecordSchema> all;
    std::ranges::transform(RecordKinds(), std::back_inserter(all),
                           &Kind::schema);
    return all;
  }();
  return kSchemas;
}

const RecordSchema* FindRecordSchema(std::string_view kind) {
  const Kind* found = FindKind(kind);
  return found == nullptr ? nullptr : &found->schema;
}

std::string NameOfRole(EndpointRole role) {
  return Write(role);
}

std::string NameOfUnit(LimitUnit unit) {
  return Write(unit);
}

AccountLimits LimitsOf(const Configuration& configuration) {
  AccountLimits limits;
  for (const auto& [id, account] : configuration.accounts) {
    if (account.rate > 0) {
      limits[id] = {
          .rate = account.rate, .burst = account.burst, .unit = account.unit};
    }
  }
  return limits;
}

Result<Record> RecordFromName(std::string_view name) {
  const size_t slash = name.find('/');
  Record record{.kind = std::string(name.substr(0, slash))};
  if (slash == std::string_view::npos || FindKind(record.kind) == nullptr) {
    return Fail(ErrorKind::kBadRequest,
                "'" + std::string(name) + "' names no record; KIND/ID does");
  }
  record.id = name.substr(slash + 1);
  if (const std::string why = CheckId(record.kind, record.id); !why.empty()) {
    return Fail(ErrorKind::kBadRequest, std::string(name) + ": " + why);
  }
  return record;
}

std::string CheckId(std::string_view kind, std::string_view id) {
  if (kind == "key") {
    const bool valid =
        id.size() == kHashHexLength && std::ranges::all_of(id, [](char c) {
          return g_ascii_isdigit(c) || (c >= 'a' && c <= 'f');
        });
    return valid ? "" : "the id of a key is its SHA-256 in lower-case hex";
  }
  return IsId(id)
             ? ""
             : InvalidValueMessage(std::string(id), Allowed({}, AccountId()));
}

std::string CheckField(std::string_view kind,
                       std::string_view field,
                       const std::string& text) {
  const Kind* found = FindKind(kind);
  assert(found != nullptr && "unknown kind of record");
  return found->check(std::string(field), text);
}

std::vector<Record> ListRecords(const Configuration& configuration) {
  std::vector<Record> records;
  for (const Kind& kind : RecordKinds()) {
    kind.list(configuration, records);
  }
  std::ranges::sort(records, {}, &Record::Name);
  return records;
}

Result<bool> PutRecord(Configuration& configuration, const Record& record) {
  const Kind* kind = FindKind(record.kind);
  if (kind == nullptr) {
    return Fail(ErrorKind::kBadSetting,
                record.Name() + ": there is no such kind of record");
  }
  if (const std::string why = CheckId(record.kind, record.id); !why.empty()) {
    return Fail(ErrorKind::kBadSetting, record.Name() + ": " + why);
  }
  return kind->put(configuration, record);
}

Result<Configuration> AddRecord(Configuration configuration,
                                const Record& record) {
  const auto put = PutRecord(configuration, record);
  if (!put) {
    return tl::unexpected(put.error());
  }
  return configuration;
}

bool RemoveRecord(Configuration& configuration,
                  std::string_view kind,
                  const std::string& id) {
  const Kind* found = FindKind(kind);
  assert(found != nullptr && "unknown kind of record");
  return found->remove(configuration, id);
}

std::string RecordFault::Text() const {
  return this->record + ": " + this->field + ": " + this->what;
}

std::vector<RecordFault> CheckReferences(const Configuration& configuration) {
  std::vector<RecordFault> faults;
  for (const auto& [id, account] : configuration.accounts) {
    if (account.burst > 0 && account.rate == 0) {
      faults.push_back({"account/" + id.Text(), "burst",
                        Write(account.burst) + " needs a rate above 0"});
    }
  }
  for (const auto& [hash, key] : configuration.keys) {
    if (!configuration.accounts.contains(key.account)) {
      faults.push_back({"key/" + hash, "account",
                        "there is no account '" + key.account.Text() + "'"});
    }
  }
  std::set<std::pair<DataCentreId, SocketAddress>> addresses;
  for (const auto& [id, endpoint] : configuration.endpoints) {
    const std::string name = "endpoint/" + id.Text();
    if (!configuration.sites.contains(endpoint.data_centre)) {
      faults.push_back(
          {name, "data_centre",
           "there is no site '" + endpoint.data_centre.Text() + "'"});
    }
    if (!addresses.emplace(endpoint.data_centre, endpoint.address).second) {
      faults.push_back(
          {name, "address",
           Write(endpoint.address) + " is the address of another endpoint"});
    }
    const auto service = configuration.services.find(endpoint.service);
    if (service == configuration.services.end()) {
      faults.push_back(
          {name, "service",
           "there is no service '" + endpoint.service.Text() + "'"});
    } else if ((service->second.kind == ServiceKind::kPlain) !=
               (endpoint.role == EndpointRole::kPlain)) {
      faults.push_back({name, "role",
                        Write(endpoint.role) +
                            " does not suit a service of kind " +
                            Write(service->second.kind)});
    }
  }
  return faults;
}

std::string RecordChange::Text() const {
  if (this->kind == Kind::kRemoved) {
    return "removed " + this->name;
  }
  std::string text =
      (this->kind == Kind::kAdded ? "added " : "changed ") + this->name;
  const char* separator = ": ";
  for (const auto& [field, value] : this->after) {
    const auto old = this->before.find(field);
    text += std::exchange(separator, ", ") + field + " " +
            (old == this->before.end() ? "" : old->second + " -> ") + value;
  }
  return text;
}

std::vector<RecordChange> DiffConfigurations(const Configuration& from,
                                             const Configuration& to) {
  std::map<std::string, std::pair<const Record*, const Record*>> pairs;
  const std::vector<Record> before = ListRecords(from);
  const std::vector<Record> after = ListRecords(to);
  for (const Record& record : before) {
    pairs[record.Name()].first = &record;
  }
  for (const Record& record : after) {
    pairs[record.Name()].second = &record;
  }
  std::vector<RecordChange> changes;
  for (const auto& [name, pair] : pairs) {
    const auto& [old, fresh] = pair;
    if (fresh == nullptr) {
      changes.push_back({.kind = RecordChange::Kind::kRemoved,
                         .name = name,
                         .before = old->fields});
    } else if (old == nullptr) {
      changes.push_back({.kind = RecordChange::Kind::kAdded,
                         .name = name,
                         .after = fresh->fields});
    } else if (old->fields != fresh->fields) {
      RecordChange change{.kind = RecordChange::Kind::kChanged, .name = name};
      std::ranges::set_difference(
          old->fields, fresh->fields,
          std::inserter(change.before, change.before.end()));
      std::ranges::set_difference(
          fresh->fields, old->fields,
          std::inserter(change.after, change.after.end()));
      changes.push_back(std::move(change));
    }
  }
  return changes;
}

}  // namespace hickorystand
