#include "galenalink/telemetry/rate_limit.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;

BOOST_AUTO_TEST_SUITE(rate_limits)

BOOST_AUTO_TEST_CASE(one_line_an_interval_with_the_number_dropped) {
  telemetry::rate_limit Limit{std::chrono::seconds{1}};
  const time_point Start{std::chrono::seconds{100}};
  BOOST_TEST((Limit.admit(Start) == 0U));
  BOOST_TEST(!Limit.admit(Start + std::chrono::milliseconds{1}).has_value());
  BOOST_TEST(!Limit.admit(Start + std::chrono::milliseconds{999}).has_value());
  BOOST_TEST((Limit.admit(Start + std::chrono::seconds{1}) == 2U));
}

BOOST_AUTO_TEST_SUITE_END()
