// The fleet's configuration as every part of the program sees it: one
// immutable value per accepted revision.
//
// Index
//   Account, AccountKey, Service, Endpoint, Site   the records
//   Configuration                                  all of them at one revision
//   LimitsOf                                       its accounts' limits
//
// How records are written down for operators and for the key-value service is
// the business of configuration_codec.h.

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

// One customer of the fleet.
struct Account {
  AccountId id;
  double weight = 1;          // share of contended capacity, relative to others
  int64_t max_in_flight = 0;  // requests at once under contention; 0: no limit
  double rate = 0;            // units a second over all hosts; 0: no limit
  double burst = 0;           // units beyond the rate at once
  LimitUnit unit = LimitUnit::kTokens;  // of rate and burst

  auto operator<=>(const Account&) const = default;
};

// A key by which callers prove that they belong to an account.
struct AccountKey {
  std::string
      hash;  // SHA-256 of the key in lower-case hex; the key is not kept
  AccountId account;

  auto operator<=>(const AccountKey&) const = default;
};

// What kind of work a service does, and so which protocol its endpoints speak.
enum class ServiceKind { kLanguage, kPlain };

// A language model or a plain service.
struct Service {
  ServiceId id;  // for language services, the "model" that callers name
  ServiceKind kind = ServiceKind::kLanguage;
  bool fences = false;  // its endpoints refuse an older fencing number
  int64_t floor = 1;    // endpoints that must stay up per data centre
  int64_t context_tokens = 32768;                // longest prompt plus answer
  Duration deadline = std::chrono::seconds(30);  // to the first byte
  // HTTP methods of a plain service whose calls are idempotent.
  std::vector<std::string> idempotent_methods = {"GET", "HEAD"};
  // How long the same non-idempotent request counts as sent again.
  Duration duplicate_window = std::chrono::minutes(10);
  std::string status_path;  // where a caller looks up an unknown outcome

  auto operator<=>(const Service&) const = default;
};

// What part of language work an endpoint does.
enum class EndpointRole { kMixed, kPrefill, kDecode, kPlain };

// One back end.
struct Endpoint {
  EndpointId id;
  ServiceId service;
  DataCentreId data_centre;
  SocketAddress address;
  ZoneId zone;
  EndpointRole role = EndpointRole::kMixed;  // at start; orders change it
  bool cheap = false;                        // may be reclaimed at any moment
  double cost_per_hour = 1;

  auto operator<=>(const Endpoint&) const = default;
};

// What holds at one data centre, after its overlay.
struct Site {
  DataCentreId id;
  // How long keys stay valid while no newer configuration can be heard of.
  Duration cut_off_key_limit = std::chrono::hours(24);

  auto operator<=>(const Site&) const = default;
};

// All records at one revision. Never changed once built: a new revision is a
// new value, handed from task to task as a shared pointer to const.
struct Configuration {
  int64_t revision = 0;  // rises by one with every accepted change
  std::map<AccountId, Account> accounts;
  std::map<std::string, AccountKey> keys;  // by hash
  std::map<ServiceId, Service> services;
  std::map<EndpointId, Endpoint> endpoints;
  std::map<DataCentreId, Site> sites;

  bool operator==(const Configuration&) const = default;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

// The limits of the accounts that have one.
AccountLimits LimitsOf(const Configuration& configuration);

}  // namespace hickorystand
