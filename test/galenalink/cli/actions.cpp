#include "galenalink/cli/actions.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink::cli;

BOOST_AUTO_TEST_SUITE(changes)

// The loser of a race must learn which change won.
BOOST_AUTO_TEST_CASE(conflict_names_the_winner) {
  const auto Text = formatChange(
      R"({"id": "7", "result": "rejected", "reason": "conflict",
          "winner": {"document": "a.json", "version": 12, "author": "ann"}})");
  BOOST_TEST(Text.find("a.json was changed at version 12 by ann") !=
             std::string::npos);
}

// A lost answer must never read as a success.
BOOST_AUTO_TEST_CASE(unknown_outcome_names_the_id) {
  const auto Text = formatChange(R"({"id": "7", "result": "unknown"})");
  BOOST_TEST(Text.find("may have taken effect") != std::string::npos);
  BOOST_TEST(Text.find("id 7") != std::string::npos);
  BOOST_TEST((codeOf({504, ""}) == exit_code::Unknown));
  BOOST_TEST((codeOf({409, ""}) == exit_code::Refused));
  BOOST_TEST((codeOf({503, ""}) == exit_code::Refused));
  BOOST_TEST((codeOf({200, ""}) == exit_code::Done));
}

BOOST_AUTO_TEST_SUITE_END()
