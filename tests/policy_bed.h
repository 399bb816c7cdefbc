// What the policy's tests share: a small fleet's configuration, requests, and
// short names for what a dispatcher answered.

#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "decisions/hickorystand_dispatcher.h"

namespace hickorystand {

inline const ServiceId kModel("model");
inline const ServiceId kFilings("filings");
inline const DataCentreId kHere("dc1");

// A moment so many seconds after the start.
inline Instant At(double seconds) {
  return Instant(FromSeconds(100 + seconds));
}

// Builds the configuration of a small fleet.
class FleetBuilder {
 public:
  FleetBuilder() {
    this->configuration.services[kModel] = {.id = kModel};
    this->configuration.services[kFilings] = {.id = kFilings,
                                              .kind = ServiceKind::kPlain};
  }

  FleetBuilder& WithAccount(const std::string& id, double weight = 1) {
    this->configuration.accounts[AccountId(id)] = {.id = AccountId(id),
                                                   .weight = weight};
    return *this;
  }

  FleetBuilder& WithEndpoint(const std::string& id,
                             const ServiceId& service = kModel,
                             const std::string& zone = "z1",
                             bool cheap = false) {
    this->configuration.endpoints[EndpointId(id)] = {.id = EndpointId(id),
                                                     .service = service,
                                                     .data_centre = kHere,
                                                     .zone = ZoneId(zone),
                                                     .cheap = cheap};
    return *this;
  }

  // Endpoints e1, e2, ... of the model, each in its own zone.
  FleetBuilder& WithEndpoints(int count) {
    for (int i = 1; i <= count; ++i) {
      const std::string number = std::to_string(i);
      this->WithEndpoint("e" + number, kModel, "z" + number);
    }
    return *this;
  }

  ConfigurationPtr Build() const {
    return std::make_shared<Configuration>(this->configuration);
  }

 private:
  Configuration configuration;
};

// A request of account `a` for the model, due in 30 s.
inline Request MakeRequest(
    const std::string& id,
    RequestClass request_class = RequestClass::kInteractive,
    const std::string& account = "a",
    double arrived = 0) {
  return {.id = RequestId(id),
          .account = AccountId(account),
          .service = request_class == RequestClass::kOnce ? kFilings : kModel,
          .request_class = request_class,
          .prompt_tokens = 1000,
          .output_tokens = 100,
          .fingerprint = std::hash<std::string>()(id),
          .arrived = At(arrived),
          .deadline = At(arrived + 30)};
}

// A report that says nothing of note.
inline LoadReport MakeReport(const std::string& endpoint,
                             uint64_t incarnation = 1,
                             int64_t sequence = 1) {
  return {.endpoint = EndpointId(endpoint),
          .incarnation = incarnation,
          .sequence = sequence,
          .capacity = 8,
          .prefill_rate = 4000,
          .decode_rate = 400};
}

inline AttemptResult MakeResult(AttemptId attempt, AttemptOutcome outcome) {
  return {.attempt = attempt, .outcome = outcome};
}

// The only action of a list, which must be of the kind.
inline const Dispatch* Only(const DispatchList& list, DispatchKind kind) {
  return list.size() == 1 && list.front().kind == kind ? &list.front()
                                                       : nullptr;
}

// The first action of a kind, or nullptr.
inline const Dispatch* First(const DispatchList& list, DispatchKind kind) {
  const auto found = std::ranges::find(list, kind, &Dispatch::kind);
  return found == list.end() ? nullptr : &*found;
}

// The kind of the first refusal of a list.
inline std::optional<ErrorKind> RefusalIn(const DispatchList& list) {
  const Dispatch* refusal = First(list, DispatchKind::kRefuse);
  if (refusal == nullptr || !refusal->error) {
    return {};
  }
  return refusal->error->kind;
}

inline int64_t Count(const DispatchList& list, DispatchKind kind) {
  return std::ranges::count(list, kind, &Dispatch::kind);
}

// A dispatcher of host h1 with a configuration and a report of each endpoint.
inline std::unique_ptr<HickorystandDispatcher> MakeDispatcher(
    const ConfigurationPtr& configuration,
    const PolicyOptions& policy = {},
    const std::string& host = "h1") {
  auto dispatcher = std::make_unique<HickorystandDispatcher>(
      DispatcherOptions{.host = HostId(host), .data_centre = kHere}, policy);
  dispatcher->OnConfiguration(At(0), configuration);
  for (const auto& [id, endpoint] : configuration->endpoints) {
    dispatcher->OnLoad(At(0), MakeReport(id.Text()));
  }
  return dispatcher;
}

}  // namespace hickorystand
