#include "galenalink/request/entry.hpp"
#include "galenalink/core/hash.hpp"

namespace galenalink::request {

std::size_t
request_key_hash::operator()(const request_key &Key) const noexcept {
  return hash64(Key.Key, hash64(Key.Service, hash64(Key.Customer)));
}

std::size_t attempt_hash::operator()(const attempt_id &Id) const noexcept {
  return hashCombine(static_cast<std::uint64_t>(Id.Node), Id.Sequence);
}

std::uint64_t bodyHash(const std::string_view Queue,
                       const std::string_view Body) noexcept {
  return hashCombine(hash64(Queue), hash64(Body));
}

} // namespace galenalink::request
