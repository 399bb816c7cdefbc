// What one engine keeps of prompts, as one host believes.
//
// Engines keep the parts of prompts that they have read, and let go of those
// that were used the longest ago. They tell what changes, late and sometimes
// not at all, so a host also counts what it has sent itself.
//
// Index
//   PartTokens    a run of prompt tokens
//   EngineCache   the parts that an engine keeps

#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace hickorystand {

// A run of prompt tokens, by the hash of its id.
struct PartTokens {
  uint64_t part = 0;
  int64_t tokens = 0;

  auto operator<=>(const PartTokens&) const = default;
};

// The parts that one engine keeps.
class EngineCache {
 public:
  // A part is used at the engine, which keeps `room` tokens at the most.
  // `confirmed`: it was read, and is not only about to be.
  void Keep(const PartTokens& part, int64_t room, bool confirmed);

  // The engine has let go of a part.
  void Drop(uint64_t part);

  // The same, unless it is known to have been read.
  void DropUnconfirmed(uint64_t part);

  // The parts that are known to have been read, least recently used first.
  std::vector<PartTokens> Confirmed() const;

  // The tokens of a prompt's start that are kept.
  int64_t Kept(const std::vector<PartTokens>& parts, bool confirmed_only) const;

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
