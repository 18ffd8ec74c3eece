#ifndef GALENALINK_TEST_SYSTEM_JUDGE_HPP
#define GALENALINK_TEST_SYSTEM_JUDGE_HPP

#include "system/callers.hpp"
#include <boost/test/unit_test.hpp>

namespace galenalink::system_test {

/** @brief Ends the load and fails the test for each finding of the checker. */
inline void judge(cluster &Cluster, callers &Callers) {
  BOOST_TEST(Callers.finish(), Callers.summary());
  const auto Verdict = check(Cluster, Callers);
  BOOST_TEST_MESSAGE(Callers.summary());
  BOOST_TEST(Verdict.clean(), Callers.summary() << "\n" << Verdict.Details);
}

/** @brief Requests that must be complete before and after each fault. */
inline constexpr std::size_t Enough = 200;

} // namespace galenalink::system_test

#endif
