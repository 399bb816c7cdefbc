// Fixtures shared by the tests of the dispatch policy: a builder for the
// configuration of a small fleet, default requests and load reports, and
// helpers that look up actions in a dispatcher's result.
//
// Index
//   At                                a point in virtual time
//   FleetBuilder                      configuration of a small fleet
//   MakeRequest, MakeReport, MakeResult
//                                     inputs of a dispatcher
//   Only, First, RefusalIn, Count     look-ups in a DispatchList
//   MakeDispatcher                    a dispatcher that is ready for requests
//
// Example
//   auto dispatcher = MakeDispatcher(
//       FleetBuilder().WithAccount("a").WithEndpoints(2).Build());
//   const DispatchList sent = dispatcher->OnArrival(At(0), MakeRequest("r"));
//   CHECK(Only(sent, DispatchKind::kSend));

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

// Returns the instant `seconds` after the start of the test.
inline Instant At(double seconds) {
  return Instant(FromSeconds(100 + seconds));
}

// Builds the configuration of a small fleet in one data centre. It always has
// the services kModel and kFilings; accounts and endpoints are added.
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

  // Adds endpoints e1, e2, ... of kModel, each in its own zone.
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

// Returns a request with a deadline 30 s after its arrival. It is for kFilings
// if its class is kOnce, otherwise for kModel.
inline Request MakeRequest(
    const std::string& id,
    RequestClass request_class = RequestClass::kInteractive,
    const std::string& account = "a",
    double arrived = 0) {
  return {
      .id = RequestId(id),
      .account = AccountId(account),
      .service = request_class == RequestClass::kAtMostOnce ? kFilings : kModel,
      .request_class = request_class,
      .prompt_tokens = 1000,
      .output_tokens = 100,
      .fingerprint = std::hash<std::string>()(id),
      .arrived = At(arrived),
      .deadline = At(arrived + 30)};
}

// Returns the load report of an idle, healthy endpoint.
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

// Returns the only action of the list, or nullptr if there are several or it is
// of another kind.
inline const Dispatch* Only(const DispatchList& list, DispatchKind kind) {
  return list.size() == 1 && list.front().kind == kind ? &list.front()
                                                       : nullptr;
}

// Returns the first action of the kind, or nullptr.
inline const Dispatch* First(const DispatchList& list, DispatchKind kind) {
  const auto found = std::ranges::find(list, kind, &Dispatch::kind);
  return found == list.end() ? nullptr : &*found;
}

// Returns the error kind of the first refusal in the list, if there is one.
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

// Returns a dispatcher that has received the configuration and one load report
// of each endpoint.
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
