// The prompt parts that one engine has cached, as recorded on one host.
//
// Engines cache the prompt parts that they have prefilled and evict the least
// recently used ones. Their cache events arrive late and are sometimes lost, so
// a host also records the parts of the requests that it has sent itself.
//
// Index
//   PartTokens    a part of a prompt
//   EngineCache   the cached parts of an engine

#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace hickorystand {

// A part of a prompt: the hash of its id, and its length in tokens.
struct PartTokens {
  uint64_t part = 0;
  int64_t tokens = 0;

  auto operator<=>(const PartTokens&) const = default;
};

// An LRU model of one engine's prefix cache.
class EngineCache {
 public:
  // Inserts a part, or marks it as most recently used, and evicts the least
  // recently used parts beyond `room` tokens. `confirmed`: the part is
  // prefilled; otherwise its prefill is still pending.
  void Add(const PartTokens& part, int64_t room, bool confirmed);

  // Removes a part that the engine has evicted.
  void Remove(uint64_t part);

  // Removes a part unless it is confirmed.
  void RemoveUnconfirmed(uint64_t part);

  // The confirmed parts, least recently used first.
  std::vector<PartTokens> Confirmed() const;

  // Length in tokens of the cached prefix of a prompt.
  int64_t CachedPrefixTokens(const std::vector<PartTokens>& parts,
                             bool confirmed_only) const;

 private:
  struct Entry {
    int64_t tokens = 0;
    bool confirmed = false;
    std::list<uint64_t>::iterator place;
  };

  std::list<uint64_t> order;  // least recently used first
  std::unordered_map<uint64_t, Entry> entries;
  int64_t total = 0;
};

}  // namespace hickorystand
