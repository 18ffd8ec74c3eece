#ifndef GALENALINK_CORE_ASSERT_HPP
#define GALENALINK_CORE_ASSERT_HPP

#include <cstdio>
#include <cstdlib>

/**
 * @brief Stops the process when an invariant is broken. Active in every build
 * type, because running on with a broken invariant may double a request.
 */
#define GALENALINK_ASSERT(condition, message)                                  \
  do {                                                                         \
    if (!(condition)) {                                                        \
      std::fprintf(stderr, "%s:%d: invariant broken: %s (%s)\n", __FILE__,     \
                   __LINE__, message, #condition);                             \
      std::abort();                                                            \
    }                                                                          \
  } while (false)

#endif
