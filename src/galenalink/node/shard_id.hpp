#ifndef GALENALINK_NODE_SHARD_ID_HPP
#define GALENALINK_NODE_SHARD_ID_HPP

#include "galenalink/core/hash.hpp"
#include <compare>
#include <cstdint>
#include <string>

namespace galenalink::node {

/** @brief A part of a pool that one node places work for. */
struct shard_id {
  std::string Pool;
  std::uint32_t Index{0};

  [[nodiscard]] auto operator<=>(const shard_id &) const = default;
};

/** @brief Formats as `pool/index`. */
[[nodiscard]] inline std::string toString(const shard_id &Shard) {
  return Shard.Pool + '/' + std::to_string(Shard.Index);
}

/**
 * @brief Shard of a request. Depends on the key only, so that a repeated
 * request always meets its earlier attempts.
 */
[[nodiscard]] inline shard_id shardOf(const std::string &Pool,
                                      const std::uint32_t Shards,
                                      const std::string &Customer,
                                      const std::string &Service,
                                      const std::string &Key) {
  const auto Hash =
      hashCombine(hashCombine(hash64(Customer), hash64(Service)), hash64(Key));
  return {Pool, static_cast<std::uint32_t>(Hash % Shards)};
}

} // namespace galenalink::node

#endif
