// How the fleet's configuration and endpoints are written down in the
// platform's key-value service. A plug-in knows the spelling.

#pragma once

#include <functional>
#include <memory>
#include <string>

#include "decisions/fleet_endpoint.h"
#include "decisions/store.h"
#include "kernel/error.h"
#include "relay/fleet_configuration.h"

namespace hickorystand {

class FleetRecords {
 public:
  static constexpr const char* kPluginKind = "fleet records";
  using Factory = std::function<std::unique_ptr<FleetRecords>()>;

  virtual ~FleetRecords() = default;

  // The record that holds the newest configuration.
  virtual std::string ConfigurationKey() const = 0;

  // What the keys of all endpoints begin with.
  virtual std::string EndpointPrefix() const = 0;

  // Reads a record's value; kBadRequest if it is none of that sort.
  virtual Result<FleetConfiguration> ReadConfiguration(
      const std::string& value) const = 0;
  virtual Result<FleetEndpoint> ReadEndpoint(
      const StoreRecord& record) const = 0;
};

}  // namespace hickorystand
