#include "galenalink/core/random.hpp"
#include <random>

namespace galenalink {

std::uint64_t randomId() {
  std::random_device Device;
  std::uniform_int_distribution<std::uint64_t> Distribution{1};
  return Distribution(Device);
}

} // namespace galenalink
