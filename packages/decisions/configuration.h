// The fleet's configuration in memory: one immutable value per accepted
// revision.
//
// Index
//   Account, AccountKey, Service, Endpoint, Site   the records
//   Configuration                                  all records at one revision
//   LimitsOf                                       rate limits of its accounts
//
// configuration_records.h defines the text form of records for operators,
// configuration_codec.h their layout in the key-value service.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "decisions/account_limit.h"
#include "kernel/ids.h"
#include "kernel/settings.h"
#include "kernel/time.h"

namespace hickorystand {

// A client account.
struct Account {
  AccountId id;
  double weight = 1;          // relative share of contended capacity
  int64_t max_in_flight = 0;  // concurrent, if contended; 0: no limit
  double rate = 0;            // units per second over all hosts; 0: no limit
  double burst = 0;           // units allowed at once beyond the rate
  LimitUnit unit = LimitUnit::kTokens;  // unit of rate and burst

  auto operator<=>(const Account&) const = default;
};

// An API key that authenticates callers as an account.
struct AccountKey {
  std::string
      hash;  // SHA-256 of the key in lower-case hex; the key is not stored
  AccountId account;

  auto operator<=>(const AccountKey&) const = default;
};

// The kind of a service, which determines the protocol of its endpoints.
enum class ServiceKind { kLanguage, kPlain };

// A language model or a plain service.
struct Service {
  ServiceId id;  // for language services, the "model" of a request
  ServiceKind kind = ServiceKind::kLanguage;
  bool fences = false;  // its endpoints reject older fencing numbers
  int64_t floor = 1;    // minimum number of endpoints per data centre
  int64_t context_tokens = 32768;  // maximum of prompt plus answer
  Duration deadline = std::chrono::seconds(30);  // for the first byte
  // HTTP methods of a plain service whose calls are idempotent.
  std::vector<std::string> idempotent_methods = {"GET", "HEAD"};
  // How long a repeated non-idempotent request is treated as a duplicate.
  Duration duplicate_window = std::chrono::minutes(10);
  std::string status_path;  // for callers to look up an unknown outcome

  auto operator<=>(const Service&) const = default;
};

// Which phases of inference an endpoint runs; kPlain for plain services.
enum class EndpointRole { kMixed, kPrefill, kDecode, kPlain };

// One back-end process of a service.
struct Endpoint {
  EndpointId id;
  ServiceId service;
  DataCentreId data_centre;
  SocketAddress address;
  ZoneId zone;
  EndpointRole role = EndpointRole::kMixed;  // at start; orders may change it
  bool cheap = false;  // spot: may be reclaimed at any time
  double cost_per_hour = 1;

  auto operator<=>(const Endpoint&) const = default;
};

// Settings of one data centre, with its overlay applied.
struct Site {
  DataCentreId id;
  // How long keys stay valid while the data centre can't learn of a newer
  // configuration.
  Duration cut_off_key_limit = std::chrono::hours(24);

  auto operator<=>(const Site&) const = default;
};

// All records at one revision. Immutable once built: a new revision is a new
// value, shared between tasks as a pointer to const.
struct Configuration {
  int64_t revision = 0;  // increases with every accepted change
  std::map<AccountId, Account> accounts;
  std::map<std::string, AccountKey> keys;  // by hash
  std::map<ServiceId, Service> services;
  std::map<EndpointId, Endpoint> endpoints;
  std::map<DataCentreId, Site> sites;

  bool operator==(const Configuration&) const = default;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

// The rate limits of the accounts with a rate above 0.
AccountLimits LimitsOf(const Configuration& configuration);

}  // namespace hickorystand
