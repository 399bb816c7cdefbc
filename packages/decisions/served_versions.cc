#include "decisions/served_versions.h"

#include <algorithm>
#include <utility>

#include "kernel/json.h"

namespace hickorystand {
namespace {

bool IsLongAgo(int64_t since, int64_t unix_ms) {
  return since == 0 || unix_ms - since >= ToMilliseconds(kLongestPatience);
}

template <typename Ids>
void WriteIds(JsonWriter& out, std::string_view name, const Ids& ids) {
  out.Name(name).BeginArray();
  for (const auto& id : ids) {
    out.Value(id.Text());
  }
  out.EndArray();
}

template <typename IdType>
std::set<IdType> ReadIds(const Json& array) {
  std::set<IdType> ids;
  for (const Json& item : array.Items()) {
    ids.insert(IdType(item.Text()));
  }
  return ids;
}

}  // namespace

std::string EncodeServedVersions(const ServedVersions& record) {
  JsonWriter out;
  out.BeginObject().Name("services").BeginObject();
  for (const auto& [id, service] : record.services) {
    out.Name(id.Text()).BeginObject();
    WriteIds(out, "versions", service.versions);
    out.Member("complete_since", service.complete_since).EndObject();
  }
  out.EndObject().Name("routes").BeginObject();
  for (const auto& [name, route] : record.routes) {
    out.Name(name).BeginObject();
    WriteIds(out, "services", route.services);
    out.Member("since", route.since).EndObject();
  }
  return out.EndObject()
      .Member("configuration", record.configuration)
      .EndObject()
      .Text();
}

Result<ServedVersions> DecodeServedVersions(const std::string& text) {
  const auto read = Json::ParseObject(text);
  if (!read) {
    return tl::unexpected(read.error());
  }
  const Json services = read->At("services");
  const Json routes = read->At("routes");
  if (!services.IsObject() || !routes.IsObject()) {
    return Fail(ErrorKind::kBadRequest, "no services or no routes");
  }
  ServedVersions record{.configuration = read->At("configuration").Integer()};
  for (const std::string& name : services.Names()) {
    const Json service = services.At(name);
    record.services[ServiceId(name)] = {
        .versions = ReadIds<SoftwareVersion>(service.At("versions")),
        .complete_since = service.At("complete_since").Integer()};
  }
  for (const std::string& name : routes.Names()) {
    const Json route = routes.At(name);
    record.routes[name] = {.services = ReadIds<ServiceId>(route.At("services")),
                           .since = route.At("since").Integer()};
  }
  return record;
}

std::optional<SoftwareVersion> OnlyVersion(const ServedVersions& record,
                                           const ServiceId& service,
                                           int64_t unix_ms) {
  const auto served = record.services.find(service);
  if (served == record.services.end() || served->second.versions.size() != 1 ||
      !IsLongAgo(served->second.complete_since, unix_ms)) {
    return {};
  }
  return *served->second.versions.begin();
}

std::optional<StreamOrigin> OnlyOrigin(const ServedVersions& record,
                                       const std::string& route,
                                       const std::set<ServiceId>& services,
                                       int64_t unix_ms) {
  const auto led = record.routes.find(route);
  if (led == record.routes.end() || led->second.services != services ||
      services.size() != 1 || !IsLongAgo(led->second.since, unix_ms)) {
    return {};
  }
  const ServiceId& service = *services.begin();
  const auto only = OnlyVersion(record, service, unix_ms);
  return only ? std::optional(
                    StreamOrigin{.service = service, .software = *only})
              : std::nullopt;
}

void VersionLedger::StartObserving(Instant now) {
  this->observed_since = now;
  this->listed.clear();
  this->last_listed.clear();
}

// Lists that equal the one before are not passed on, so what was listed before
// was listed until now.
void VersionLedger::SetEndpoints(Instant now, const FleetEndpoints& endpoints) {
  for (const StreamOrigin& origin : std::exchange(this->listed, {})) {
    this->last_listed[origin] = now;
  }
  for (const auto& [id, endpoint] : endpoints) {
    this->listed.insert(endpoint.Origin());
  }
}

void VersionLedger::SetRoutes(
    int64_t version,
    std::map<std::string, std::set<ServiceId>> current) {
  this->configuration = version;
  this->routes = std::move(current);
}

void VersionLedger::OnRecord(Instant asked_at,
                             int64_t at_revision,
                             std::optional<ServedVersions> read) {
  if (this->read_at && at_revision < this->revision) {
    return;  // an older answer, which arrived late
  }
  this->read_at = std::max(this->read_at.value_or(asked_at), asked_at);
  this->revision = at_revision;
  this->record = std::move(read);
}

bool VersionLedger::NeedsRead(Instant now) const {
  return !this->read_at || now - *this->read_at >= this->options.refresh;
}

std::optional<ServedVersions> VersionLedger::Wanted(Instant now,
                                                    int64_t unix_ms,
                                                    bool cleans_up) const {
  if (!this->read_at || this->listed.empty()) {
    return {};
  }
  ServedVersions wanted = this->record.value_or(ServedVersions());
  this->AddListed(wanted, unix_ms);
  if (cleans_up) {
    this->RemoveUnlisted(now, unix_ms, wanted);
  }
  if (cleans_up || !this->record) {
    this->SetRoutesOf(wanted, unix_ms);
  }
  return wanted == this->record ? std::nullopt : std::optional(wanted);
}

void VersionLedger::AddListed(ServedVersions& wanted, int64_t unix_ms) const {
  const bool first = !this->record && this->options.first_start;
  for (const StreamOrigin& origin : this->listed) {
    wanted.services
        .try_emplace(origin.service,
                     ServedService{.complete_since = first ? 0 : unix_ms})
        .first->second.versions.insert(origin.software);
  }
}

// Until they read the record again, other hosts may begin streams at a removed
// version that returns.
void VersionLedger::RemoveUnlisted(Instant now,
                                   int64_t unix_ms,
                                   ServedVersions& wanted) const {
  if (now - this->observed_since < this->options.retention) {
    return;
  }
  for (auto& [id, service] : wanted.services) {
    const auto is_unlisted = [&](const SoftwareVersion& software) {
      const StreamOrigin origin{.service = id, .software = software};
      const auto last = this->last_listed.find(origin);
      return !this->listed.contains(origin) &&
             (last == this->last_listed.end() ||
              now - last->second >= this->options.retention);
    };
    if (std::erase_if(service.versions, is_unlisted) > 0) {
      service.complete_since = unix_ms + ToMilliseconds(this->options.max_age);
    }
  }
}

// A host with an older configuration leaves the routes as they are.
void VersionLedger::SetRoutesOf(ServedVersions& wanted, int64_t unix_ms) const {
  if (this->configuration < wanted.configuration) {
    return;
  }
  const bool first = !this->record && this->options.first_start;
  const auto before = std::exchange(wanted.routes, {});
  for (const auto& [name, services] : this->routes) {
    const auto found = before.find(name);
    const bool unchanged =
        found != before.end() && found->second.services == services;
    wanted.routes[name] = unchanged ? found->second
                                    : StreamRoute{.services = services,
                                                  .since = first ? 0 : unix_ms};
  }
  if (wanted.routes != before) {
    wanted.configuration = this->configuration;
  }
}

std::set<StreamOrigin> VersionLedger::Beginnable(Instant now) const {
  std::set<StreamOrigin> origins;
  if (!this->record || !this->read_at ||
      now - *this->read_at >= this->options.max_age) {
    return origins;
  }
  for (const auto& [id, service] : this->record->services) {
    for (const SoftwareVersion& software : service.versions) {
      origins.insert({.service = id, .software = software});
    }
  }
  return origins;
}

}  // namespace hickorystand
