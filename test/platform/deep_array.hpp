#ifndef GALENALINK_TEST_PLATFORM_DEEP_ARRAY_HPP
#define GALENALINK_TEST_PLATFORM_DEEP_ARRAY_HPP

#include <string>

namespace galenalink::test {

/** @return JSON arrays nested deep enough to exhaust a stack of 8 MB if each
 * level is a call. */
inline std::string deepArray() {
  constexpr std::size_t Levels = 200000;
  return std::string(Levels, '[') + std::string(Levels, ']');
}

} // namespace galenalink::test

#endif
