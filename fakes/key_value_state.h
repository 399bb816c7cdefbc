// The records, leases and revisions of a stand-in key-value service; does no
// I/O. Follows the published etcd v3 semantics as far as hickorystand uses
// them: every write raises the revision by one, a transaction counts as one
// write, and the records of an ended lease are deleted at a new revision.

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

// The complete state of the service; a copy is a backup.
class KeyValueState {
 public:
  // Executes a transaction.
  StoreReply Transact(const StoreTransaction& transaction);

  // Returns the record of a key, or the records of all keys with a prefix, that
  // last changed at or above a revision.
  std::vector<StoreRecord> Read(const std::string& key,
                                bool prefix,
                                int64_t least_revision = 0) const;

  // Grant, renew and revoke leases. Renew returns the lease's length, or
  // nullopt if there is no such lease. Revoke deletes the lease's records, and
  // returns false if there is no such lease.
  int64_t Grant(Duration length, Instant now);
  std::optional<Duration> Renew(int64_t lease, Instant now);
  bool Revoke(int64_t lease);

  // Revokes the leases that have expired.
  void Expire(Instant now);

  // Returns the changes above a revision to keys with a prefix, oldest first.
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
