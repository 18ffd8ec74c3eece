#include "galenalink/core/attempt.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;

BOOST_AUTO_TEST_SUITE(attempt)

BOOST_AUTO_TEST_CASE(text_form_round_trips) {
  const attempt_id Attempt{node_id{0xfedcba9876543210U}, 42};
  BOOST_TEST((parseAttempt(toString(Attempt)) == Attempt));
}

// An answer with a damaged attempt header must not match any attempt.
BOOST_AUTO_TEST_CASE(damaged_text_is_rejected) {
  const std::string Good = toString({node_id{1}, 2});
  BOOST_TEST(!parseAttempt("").has_value());
  BOOST_TEST(!parseAttempt(Good.substr(1)).has_value());
  BOOST_TEST(!parseAttempt(Good + "0").has_value());
  std::string Bad = Good;
  Bad[3] = 'g';
  BOOST_TEST(!parseAttempt(Bad).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
