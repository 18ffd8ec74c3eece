#include "galenalink/account/render.hpp"
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace galenalink::account;

namespace {

row sample() {
  row Row{"hall,oran", 20'000, {}};
  Row.Totals.OwnedMs = 7'200'000;
  Row.Totals.LentMs = 5;
  Row.Totals.Moves = 9;
  Row.Totals.Work.Late = 3;
  return Row;
}

} // namespace

BOOST_AUTO_TEST_SUITE(account_render)

// The exact formats must agree with each other in every column.
BOOST_AUTO_TEST_CASE(csv_and_json_hold_the_same_figures) {
  const std::vector<row> Rows{sample()};
  const auto Object = nlohmann::ordered_json::parse(toJson(Rows)).at(0);
  std::istringstream Csv{toCsv(Rows)};
  std::string Header;
  std::string Line;
  std::getline(Csv, Header);
  std::getline(Csv, Line);
  std::string Keys;
  std::string Values;
  for (const auto &[Key, Value] : Object.items()) {
    Keys += (Keys.empty() ? "" : ",") + Key;
    Values += Values.empty() ? "" : ",";
    Values += Key == "member"     ? "\"hall,oran\""
              : Value.is_string() ? Value.get<std::string>()
                                  : Value.dump();
  }
  BOOST_TEST(Header == Keys + "\r");
  BOOST_TEST(Line == Values + "\r");
  BOOST_TEST(Object.at("net_ms") == -5);
  BOOST_TEST(Object.at("day") == "2024-10-04");
}

// Columns must stay aligned whatever the width of the values.
BOOST_AUTO_TEST_CASE(table_lines_have_equal_width) {
  std::istringstream Table{toTable(std::vector<row>{sample(), sample()})};
  std::string First;
  std::getline(Table, First);
  for (std::string Line; std::getline(Table, Line);)
    BOOST_TEST(Line.size() == First.size());
}

BOOST_AUTO_TEST_SUITE_END()
