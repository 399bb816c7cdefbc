#include "key_value_state.h"

#include <algorithm>

namespace hickorystand::fakes {

StoreReply KeyValueState::Transact(const StoreTransaction& transaction) {
  const bool holds = std::ranges::all_of(
      transaction.conditions,
      [this](const StoreCompare& compare) { return this->Holds(compare); });
  const auto& operations = holds ? transaction.then : transaction.otherwise;
  const bool writes =
      std::ranges::any_of(operations, [](const StoreOperation& operation) {
        return operation.kind == StoreOperation::Kind::kPut ||
               operation.kind == StoreOperation::Kind::kDelete;
      });
  this->revision += writes ? 1 : 0;
  StoreReply reply{
      .outcome = holds ? StoreOutcome::kThen : StoreOutcome::kOtherwise,
      .revision = this->revision};
  for (const StoreOperation& operation : operations) {
    switch (operation.kind) {
      case StoreOperation::Kind::kPut:
        this->Put(operation);
        break;
      case StoreOperation::Kind::kDelete:
        this->Delete(operation.key);
        break;
      case StoreOperation::Kind::kGet:
      case StoreOperation::Kind::kGetPrefix:
        std::ranges::copy(
            this->Read(operation.key,
                       operation.kind == StoreOperation::Kind::kGetPrefix),
            std::back_inserter(reply.records));
        break;
    }
  }
  return reply;
}

std::vector<StoreRecord> KeyValueState::Read(const std::string& key,
                                             bool prefix,
                                             int64_t least_revision) const {
  std::vector<StoreRecord> found;
  for (auto at = this->records.lower_bound(key);
       at != this->records.end() &&
       (prefix ? at->first.starts_with(key) : at->first == key);
       ++at) {
    if (at->second.mod_revision >= least_revision) {
      found.push_back(at->second);
    }
  }
  return found;
}

int64_t KeyValueState::Grant(Duration length, Instant now) {
  const int64_t id = this->next_lease++;
  this->leases[id] = {length, now + length};
  return id;
}

std::optional<Duration> KeyValueState::Renew(int64_t lease, Instant now) {
  const auto found = this->leases.find(lease);
  if (found == this->leases.end()) {
    return std::nullopt;
  }
  found->second.expires = now + found->second.length;
  return found->second.length;
}

bool KeyValueState::Revoke(int64_t lease) {
  if (this->leases.erase(lease) == 0) {
    return false;
  }
  std::vector<std::string> bound;
  for (const auto& [key, record] : this->records) {
    if (record.lease == lease) {
      bound.push_back(key);
    }
  }
  this->revision += bound.empty() ? 0 : 1;
  for (const std::string& key : bound) {
    this->Delete(key);
  }
  return true;
}

void KeyValueState::Expire(Instant now) {
  std::vector<int64_t> over;
  for (const auto& [id, lease] : this->leases) {
    if (lease.expires <= now) {
      over.push_back(id);
    }
  }
  for (const int64_t id : over) {
    this->Revoke(id);
  }
}

std::vector<StoreChange> KeyValueState::Changes(const std::string& prefix,
                                                int64_t above_revision) const {
  std::vector<StoreChange> changes;
  std::ranges::copy_if(this->history, std::back_inserter(changes),
                       [&](const StoreChange& change) {
                         return change.record.mod_revision > above_revision &&
                                change.record.key.starts_with(prefix);
                       });
  return changes;
}

bool KeyValueState::Holds(const StoreCompare& compare) const {
  const auto found = this->records.find(compare.key);
  const bool present = found != this->records.end();
  switch (compare.field) {
    case StoreCompare::Field::kCreateRevision:
      return (present ? found->second.create_revision : 0) == compare.revision;
    case StoreCompare::Field::kModRevision:
      return (present ? found->second.mod_revision : 0) == compare.revision;
    case StoreCompare::Field::kValue:
      return present && found->second.value == compare.value;
  }
  return false;
}

void KeyValueState::Put(const StoreOperation& operation) {
  StoreRecord& record = this->records[operation.key];
  record.key = operation.key;
  record.value = operation.value;
  record.create_revision =
      record.create_revision == 0 ? this->revision : record.create_revision;
  record.mod_revision = this->revision;
  record.lease = operation.lease;
  this->history.push_back({.record = record});
}

void KeyValueState::Delete(const std::string& key) {
  if (this->records.erase(key) > 0) {
    this->history.push_back(
        {.record = {.key = key, .mod_revision = this->revision},
         .deleted = true});
  }
}

}  // namespace hickorystand::fakes
