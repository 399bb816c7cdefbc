// Hash of a prompt part's id, which identifies the part in placement decisions.

#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace hickorystand {

inline uint64_t PromptPartHash(std::string_view id) {
  return XXH3_64bits(id.data(), id.size());
}

}  // namespace hickorystand
