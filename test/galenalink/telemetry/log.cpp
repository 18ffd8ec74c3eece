#include "galenalink/telemetry/log.hpp"
#include <array>
#include <boost/test/unit_test.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <unistd.h>

using namespace galenalink::telemetry;

namespace {

std::string captured(const bool Json, const std::string &Value) {
  std::ostringstream Output;
  auto *const Previous = std::clog.rdbuf(Output.rdbuf());
  openLog(severity::Info, Json);
  constexpr logger Log{"placement"};
  Log.debug("Dropped.");
  Log.info("Placed request.", {{"vm", Value}, {"slots", 3}});
  std::clog.rdbuf(Previous);
  return Output.str();
}

} // namespace

BOOST_AUTO_TEST_SUITE(log_lines)

BOOST_AUTO_TEST_CASE(text_line_has_prefix_and_attributes) {
  const auto Line = captured(false, "vm-1");
  BOOST_TEST(Line.find(" placement: Placed request. vm=vm-1 slots=3\n") !=
             std::string::npos);
  BOOST_TEST(Line.find("Dropped") == std::string::npos);
}

// A caller's value must not be able to forge a second log line.
BOOST_AUTO_TEST_CASE(line_breaks_in_values_are_escaped) {
  const auto Line = captured(false, "a\nplacement: forged");
  BOOST_TEST(std::count(Line.begin(), Line.end(), '\n') == 1);
}

BOOST_AUTO_TEST_CASE(json_line_is_parseable_with_invalid_utf8) {
  const auto Line = nlohmann::json::parse(captured(true, "\xff\""));
  BOOST_TEST(Line["module"] == "placement");
  BOOST_TEST(Line["slots"] == "3");
}

// Guards against values that reach a JSON line changed or break it: whatever
// bytes they hold, the line has the value that the JSON library writes.
BOOST_AUTO_TEST_CASE(json_line_has_the_values_of_the_json_library) {
  std::mt19937 Random{3};
  for (int I = 0; I < 2000; ++I) {
    std::string Value(Random() % 12, '\0');
    for (char &Each : Value)
      Each = static_cast<char>(I % 2 == 0 ? Random() : ' ' + Random() % 96);
    const std::string Expected = nlohmann::json(Value).dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
    const std::string Line = captured(true, Value);
    BOOST_TEST(Line.find("\"vm\":" + Expected + ",\"slots\":\"3\"}") !=
               std::string::npos);
  }
}

// A reader that stands still must not stop the process: lines are lost and
// counted, and the count is written once there is room.
BOOST_AUTO_TEST_CASE(full_pipe_loses_lines_and_counts_them) {
  std::array<int, 2> Pipe{};
  BOOST_REQUIRE(pipe(Pipe.data()) == 0);
  openLogOn(Pipe[1], severity::Info, true);
  constexpr logger Log{"placement"};
  const std::string Value(1000, 'x');
  for (int I = 0; I < 200; ++I)
    Log.info("Placed request.", {{"vm", Value}});
  const auto Lost = lostLogLines();
  BOOST_TEST(Lost > 0U);
  std::string Text(1 << 20, '\0');
  BOOST_REQUIRE(read(Pipe[0], Text.data(), Text.size()) > 0);
  Log.info("Placed request.");
  const auto Size = read(Pipe[0], Text.data(), Text.size());
  BOOST_REQUIRE(Size > 0);
  Text.resize(static_cast<std::size_t>(Size));
  BOOST_TEST(Text.find("\"lines lost\",\"count\":\"" + std::to_string(Lost)) !=
             std::string::npos);
  openLog(severity::Info, false);
  close(Pipe[0]);
  close(Pipe[1]);
}

BOOST_AUTO_TEST_SUITE_END()
