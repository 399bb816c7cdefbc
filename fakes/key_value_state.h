// The records, leases and revisions of a stand-in key-value service, without
// any I/O. Follows the published etcd v3 semantics as far as they are used:
// every write raises the revision by one, a transaction is one write, a record
// that goes with its lease is a deletion at a new revision.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "decisions/store.h"
#include "kernel/time.h"
#include "platform/key_value_store.h"

namespace hickorystand::fakes {

// The whole service's state; a copy is a backup of it.
class KeyValueState {
 public:
  // Runs a transaction at once.
  StoreReply Transact(const StoreTransaction& transaction);

  // The records of one key or of a prefix that changed at or above a revision.
  std::vector<StoreRecord> Read(const std::string& key,
                                bool prefix,
                                int64_t least_revision = 0) const;

  // Grants, renews and revokes leases. Renewing one that is gone answers
  // nothing.
  int64_t Grant(Duration length, Instant now);
  std::optional<Duration> Renew(int64_t lease, Instant now);
  bool Revoke(int64_t lease);

  // Ends the leases whose time has passed, with their records.
  void Expire(Instant now);

  // All changes above a revision to keys with a prefix, oldest first.
  std::vector<StoreChange> Changes(const std::string& prefix,
                                   int64_t above_revision) const;

  int64_t Revision() const { return this->revision; }

 private:
  struct Lease {
    Duration length{};
    Instant expires{};
  };

  bool Holds(const StoreCompare& compare) const;
  void Put(const StoreOperation& operation);
  void Delete(const std::string& key);

  int64_t revision = 1;
  int64_t next_lease = 7000;
  std::map<std::string, StoreRecord> records;
  std::map<int64_t, Lease> leases;
  std::vector<StoreChange> history;
};

}  // namespace hickorystand::fakes
