#include "galenalink/cli/views.hpp"
#include "galenalink/cli/table.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink::cli;

BOOST_AUTO_TEST_SUITE(views)

BOOST_AUTO_TEST_CASE(columns_are_as_wide_as_their_cells) {
  table Table{{"A", "BB"}};
  Table.add({"long", "x"});
  BOOST_TEST(Table.render() == "A     BB\nlong  x\n");
}

BOOST_AUTO_TEST_CASE(pool_below_its_budget_stands_out) {
  const auto Text = formatStatus(
      R"({"node": "n", "pools_below_budget": ["refunds"], "nodes": []})");
  BOOST_TEST(Text.find("BELOW: refunds") != std::string::npos);
}

// Anything may answer on the port; it must not crash the tool.
BOOST_AUTO_TEST_CASE(malformed_answers_give_an_empty_text) {
  for (const std::string Text : {"", "nonsense", "[]", "{\"vms\": 3}"}) {
    BOOST_TEST(formatVms(Text).empty());
    BOOST_TEST(formatExplanation(Text).empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()
