// Format of the fleet's configuration and endpoint records in the platform's
// key-value service. Implemented by a plug-in.

#pragma once

#include <functional>
#include <memory>
#include <string>

#include "decisions/fleet_endpoint.h"
#include "decisions/store.h"
#include "kernel/error.h"
#include "relay/fleet_configuration.h"

namespace hickorystand {

// Locates and decodes the records.
class FleetRecords {
 public:
  static constexpr const char* kPluginKind = "fleet records";
  using Factory = std::function<std::unique_ptr<FleetRecords>()>;

  virtual ~FleetRecords() = default;

  // Key of the record that holds the newest configuration.
  virtual std::string ConfigurationKey() const = 0;

  // Common prefix of the keys of all endpoint records.
  virtual std::string EndpointPrefix() const = 0;

  // Decode a record's value. The error is kBadRequest if it is malformed.
  virtual Result<FleetConfiguration> ReadConfiguration(
      const std::string& value) const = 0;
  virtual Result<FleetEndpoint> ReadEndpoint(
      const StoreRecord& record) const = 0;
};

}  // namespace hickorystand
