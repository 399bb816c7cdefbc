// Model of the batching inside a stand-in engine: continuous batching, prefill,
// and an LRU prefix cache of limited size. Advances in steps; does no I/O.
//
//   EngineBatch batch({.capacity = 2});
//   batch.Add({.key = "1", .prompt_tokens = 8, .tokens_wanted = 4});
//   for (const Generation& generation : batch.Step()) { ... }

#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickorystand::fakes {

// Speed and size of an engine.
struct BatchOptions {
  int64_t capacity = 32;                  // requests that run at the same time
  int64_t prefill_tokens_per_step = 512;  // shared by all requests in prefill
  int64_t cache_pieces = 4096;

  bool operator==(const BatchOptions&) const = default;
};

// A generation, queued or running.
struct Generation {
  std::string key;
  bool batch = false;  // queued behind all requests that are not batch
  int64_t prompt_tokens = 0;
  int64_t tokens_wanted = 0;
  int64_t next_token = 0;    // index of the next token to generate
  int64_t prefill_left = 0;  // prompt tokens not computed yet
  int64_t cached_tokens = 0;
  std::vector<uint64_t> pieces;  // prefix hashes of the prompt

  bool Done() const { return this->next_token >= this->tokens_wanted; }
};

// A change of the prefix cache. Sequence numbers start at 1.
struct CacheChange {
  int64_t sequence = 0;
  std::vector<uint64_t> added;
  std::vector<uint64_t> removed;

  bool operator==(const CacheChange&) const = default;
};

// Runs generations in steps. Each step admits queued generations up to the
// capacity, prefills up to `prefill_tokens_per_step` tokens, and generates one
// token for each generation whose prefill is complete.
class EngineBatch {
 public:
  explicit EngineBatch(BatchOptions options) : options(options) {}

  // Queues a generation.
  void Add(Generation generation);

  // Removes a generation, whether queued or running.
  void Remove(const std::string& key);

  // Runs one step. Returns the generations that got a token; their next_token
  // is the index of that token.
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
