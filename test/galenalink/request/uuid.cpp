#include "galenalink/request/uuid.hpp"
#include <boost/test/unit_test.hpp>
#include <string>

using namespace galenalink;
using galenalink::request::uuid7IssueTime;

BOOST_AUTO_TEST_SUITE(uuid7)

// The example of RFC 9562, appendix A.6: 2022-02-22 19:22:22 UTC.
BOOST_AUTO_TEST_CASE(example_of_the_standard) {
  BOOST_TEST((uuid7IssueTime("017F22E2-79B0-7CC3-98C4-DC0C0C07398F") ==
              wall_ms{1645557742000}));
  BOOST_TEST((uuid7IssueTime("017f22e2-79b0-7cc3-98c4-dc0c0c07398f") ==
              wall_ms{1645557742000}));
}

// A plain key taken for a timed one would be refused as expired, or treated
// as fresh after a takeover and run twice.
BOOST_AUTO_TEST_CASE(other_keys_carry_no_time) {
  const std::string Good = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f";
  const auto With = [&](const std::size_t At, const char Digit) {
    std::string Text = Good;
    Text[At] = Digit;
    return uuid7IssueTime(Text).has_value();
  };
  BOOST_TEST(!uuid7IssueTime("").has_value());
  BOOST_TEST(!uuid7IssueTime(Good + "0").has_value());
  BOOST_TEST(!uuid7IssueTime(Good.substr(1)).has_value());
  BOOST_TEST(!With(14, '4'));
  BOOST_TEST(!With(19, '1'));
  BOOST_TEST(!With(19, 'c'));
  BOOST_TEST(With(19, 'B'));
  BOOST_TEST(!With(8, '0'));
  BOOST_TEST(!With(35, 'g'));
  BOOST_TEST(!With(0, '-'));
}

BOOST_AUTO_TEST_SUITE_END()
