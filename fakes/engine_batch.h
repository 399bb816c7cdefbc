// The inside of a stand-in engine: continuous batching, prefill, and a prefix
// cache of limited size, by steps and without any I/O.

#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickorystand::fakes {

// How fast and how large an engine is.
struct BatchOptions {
  int64_t capacity = 32;                // requests at once
  int64_t prefill_tokens_a_step = 512;  // shared by those that are prefilled
  int64_t cache_pieces = 4096;

  bool operator==(const BatchOptions&) const = default;
};

// One generation that the batch works on.
struct Generation {
  std::string key;
  bool batch = false;  // waits behind those that are not
  int64_t prompt_tokens = 0;
  int64_t tokens_wanted = 0;
  int64_t next_token = 0;    // the number of the next token to generate
  int64_t prefill_left = 0;  // prompt tokens not computed yet
  int64_t cached_tokens = 0;
  std::vector<uint64_t> pieces;  // of the prompt

  bool Done() const { return this->next_token >= this->tokens_wanted; }
};

// A change of the prefix cache.
struct CacheChange {
  int64_t sequence = 0;
  std::vector<uint64_t> added;
  std::vector<uint64_t> removed;

  bool operator==(const CacheChange&) const = default;
};

// Runs generations in steps: each step prefills some tokens, and gives one
// token to each that is past its prefill.
class EngineBatch {
 public:
  explicit EngineBatch(BatchOptions options) : options(options) {}

  // Queues a generation.
  void Add(Generation generation);

  // Takes a generation out, wherever it is.
  void Remove(const std::string& key);

  // One step; returns those that got a token, with next_token still being the
  // number of that token.
  std::vector<Generation> Step();

  int64_t Running() const { return static_cast<int64_t>(this->running.size()); }
  int64_t QueuedPromptTokens() const;
  const std::vector<CacheChange>& Changes() const { return this->changes; }
  std::vector<uint64_t> CachedPieces() const;
  const BatchOptions& Options() const { return this->options; }

 private:
  void Admit();
  int64_t UseCache(const std::vector<uint64_t>& pieces);
  void Touch(uint64_t piece, CacheChange& change);

  BatchOptions options;
  std::list<Generation> waiting;
  std::list<Generation> running;
  std::list<uint64_t> cache;  // most recently used first
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> cache_index;
  std::vector<CacheChange> changes;
};

}  // namespace hickorystand::fakes
