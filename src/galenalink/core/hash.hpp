#ifndef GALENALINK_CORE_HASH_HPP
#define GALENALINK_CORE_HASH_HPP

#include <cstdint>
#include <string_view>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace galenalink {

/** @brief XXH3 of a byte string; equal on all nodes and versions. */
[[nodiscard]] inline std::uint64_t
hash64(const std::string_view Bytes, const std::uint64_t Seed = 0) noexcept {
  return XXH3_64bits_withSeed(Bytes.data(), Bytes.size(), Seed);
}

/** @brief Combines two hashes, order-sensitive. */
[[nodiscard]] inline std::uint64_t
hashCombine(const std::uint64_t Left, const std::uint64_t Right) noexcept {
  const std::uint64_t Pair[2]{Left, Right};
  return XXH3_64bits(Pair, sizeof(Pair));
}

} // namespace galenalink

#endif
