#include "decisions/store.h"

#include <algorithm>
#include <utility>

namespace hickorystand {

StoreOperation StoreGet(std::string key) {
  return {.kind = StoreOperation::Kind::kGet, .key = std::move(key)};
}

StoreOperation StorePut(std::string key, std::string value, int64_t lease) {
  return {.kind = StoreOperation::Kind::kPut,
          .key = std::move(key),
          .value = std::move(value),
          .lease = lease};
}

StoreOperation StoreDelete(std::string key) {
  return {.kind = StoreOperation::Kind::kDelete, .key = std::move(key)};
}

const StoreRecord* FindRecord(const StoreReply& reply, std::string_view key) {
  const auto found = std::ranges::find(reply.records, key, &StoreRecord::key);
  return found == reply.records.end() ? nullptr : &*found;
}

}  // namespace hickorystand
