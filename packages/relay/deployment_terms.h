// Interface to what a deployment's operators have agreed with their platform,
// as the settings name it. Implemented by a plug-in, since the names are the
// platform's.

#pragma once

#include <functional>
#include <memory>
#include <string_view>

namespace hickorystand {

// Reads the list of terms, separated by commas.
class DeploymentTerms {
 public:
  static constexpr const char* kPluginKind = "deployment terms";
  using Factory = std::function<std::unique_ptr<DeploymentTerms>()>;

  virtual ~DeploymentTerms() = default;

  // Whether callers may ask for more than the endpoints have room for, for
  // longer than a moment.
  virtual bool CallersCompete(std::string_view terms) const = 0;
};

}  // namespace hickorystand
