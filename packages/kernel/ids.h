// Typed string identifiers: ids of different kinds are different types, so that
// the compiler rejects mixing them up.

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace hickorystand {

// An id of one kind; the tag only makes the type distinct.
template <typename Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string text) : text(std::move(text)) {}

  // The id as it appears in configuration, on the wire and in logs.
  const std::string& Text() const { return this->text; }
  bool Empty() const { return this->text.empty(); }

  auto operator<=>(const Id&) const = default;
  bool operator==(const Id&) const = default;

  friend std::ostream& operator<<(std::ostream& out, const Id& id) {
    return out << id.text;
  }

 private:
  std::string text;
};

using HostId = Id<struct HostTag>;              // a host
using DataCentreId = Id<struct DataCentreTag>;  // also called a site
using AccountId = Id<struct AccountTag>;        // a client account
using ServiceId = Id<struct ServiceTag>;        // a model or a plain service
using EndpointId = Id<struct EndpointTag>;      // an endpoint (back end)
using RequestId = Id<struct RequestTag>;        // a caller's request
using ZoneId = Id<struct ZoneTag>;              // a failure domain
// The version of an endpoint's software, not of the model's weights.
using SoftwareVersion = Id<struct SoftwareVersionTag>;

// Identifies a connection that this process has opened.
using ConnectionId = uint64_t;

}  // namespace hickorystand

template <typename Tag>
struct std::hash<hickorystand::Id<Tag>> {
  size_t operator()(const hickorystand::Id<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.Text());
  }
};
