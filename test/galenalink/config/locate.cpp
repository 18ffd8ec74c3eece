#include "galenalink/config/detail/locate.hpp"
#include "galenalink/config/detail/reader.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink::config::detail;

BOOST_AUTO_TEST_SUITE(positions_in_json)

// Guards against values, keys of other objects and comments that pass for
// repeated keys.
BOOST_AUTO_TEST_CASE(repeated_keys) {
  BOOST_TEST(findRepeatedKeys(R"({"a": "a", "b": {"a": ["a", "a"]}, /*"a":*/
                                  "c": [{"a": 1}, {"a": 2}]})")
                 .empty());
  const auto Found = findRepeatedKeys(R"({"a": {"b": 1, "b": 2}, "a": 3})");
  BOOST_REQUIRE(Found.size() == 2U);
  BOOST_TEST(Found[0] == 15U);
  BOOST_TEST(Found[1] == 24U);
}

// Guards against a number beyond a double that ends the program, and against
// comments in a format that has none.
BOOST_AUTO_TEST_CASE(texts_that_are_not_json) {
  report Overflow{"f", "{\n\"a\": 1e999}", {}};
  BOOST_TEST(!parseJson(Overflow));
  BOOST_REQUIRE(Overflow.Diagnostics.size() == 1U);
  BOOST_TEST(Overflow.Diagnostics[0].Line == 2U);
  BOOST_TEST(Overflow.Diagnostics[0].Column == 6U);
  report Comment{"f", "{} // comment", {}};
  BOOST_TEST(parseJson(Comment).has_value());
  BOOST_TEST(!parseJson(Comment, comments::Reject));
}

BOOST_AUTO_TEST_SUITE_END()
