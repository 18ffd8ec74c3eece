#ifndef GALENALINK_CORE_RENDEZVOUS_HPP
#define GALENALINK_CORE_RENDEZVOUS_HPP

#include "galenalink/core/hash.hpp"
#include <algorithm>
#include <cstdint>
#include <vector>

namespace galenalink {

/**
 * @brief Orders candidates by rendezvous (highest random weight) hashing.
 *
 * Removing a candidate leaves the order of the others unchanged, so only the
 * keys of that candidate move. Thaler and Ravishankar, "Using name-based
 * mappings to increase hit rates", IEEE/ACM ToN 6(1), 1998.
 *
 * @param Key Hash of the key to be placed.
 * @param Candidates Elements to order, in any order.
 * @param Id Projection from an element to its 64-bit identifier.
 * @return Copies of the candidates, highest weight first.
 */
template <typename Type, typename Projection>
[[nodiscard]] std::vector<Type> rendezvousOrder(const std::uint64_t Key,
                                                std::vector<Type> Candidates,
                                                const Projection &Id) {
  std::sort(Candidates.begin(), Candidates.end(),
            [&](const Type &Left, const Type &Right) {
              const auto LeftWeight = hashCombine(Key, Id(Left));
              const auto RightWeight = hashCombine(Key, Id(Right));
              return LeftWeight != RightWeight ? LeftWeight > RightWeight
                                               : Id(Left) > Id(Right);
            });
  return Candidates;
}

} // namespace galenalink

#endif
