#include "galenalink/rules_check/report.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink::rules_check;

BOOST_AUTO_TEST_SUITE(texts_of_findings)

// Guards against findings that disclose a key: whole short keys, or more than
// four characters of long ones.
BOOST_AUTO_TEST_CASE(keys_are_masked) {
  BOOST_TEST(maskKey("") == R"("")");
  BOOST_TEST(maskKey("k") == R"("...")");
  BOOST_TEST(maskKey("key") == R"("k...")");
  BOOST_TEST(maskKey("1234567") == R"("123...")");
  BOOST_TEST(maskKey("123456789012") == R"("1234...")");
}

// Guards against a key or a name that is cut within a character, after which
// the output would not be UTF-8.
BOOST_AUTO_TEST_CASE(texts_are_cut_between_characters) {
  BOOST_TEST(maskKey("\u00e9\u00e9") == "\"\u00e9...\"");
  BOOST_TEST(maskKey("\xff\xff") == "\"\xff...\"");
  std::string Long;
  for (int I = 0; I < 100; ++I)
    Long += "\u00e9";
  BOOST_TEST(quote(Long).size() == 2U * 80 + 5);
}

BOOST_AUTO_TEST_CASE(numbers_have_no_trailing_zeros) {
  BOOST_TEST(toText(1.5) == "1.5");
  BOOST_TEST(toText(3000) == "3000");
  BOOST_TEST(toText(4294967295.0) == "4294967295");
}

BOOST_AUTO_TEST_SUITE_END()
