#include "galenalink/job/turn_forecast.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::job;

namespace {

constexpr double Room = 256000;
constexpr double Peak = 440000;
constexpr wall_ms Turn = 4500;
constexpr wall_ms Lead = 2100;

const std::vector<std::string> Pools{"a", "b", "c", "d"};

/** @brief Shows the forecast turns at equal distances from `From` to `To`. */
void play(turn_forecast &Forecast, const wall_ms From, const wall_ms To) {
  Forecast.setPools(Pools.size());
  for (wall_ms Now = From; Now < To; Now += 100) {
    const auto Active = static_cast<std::size_t>(Now / Turn) % Pools.size();
    for (std::size_t I = 0; I < Pools.size(); ++I)
      Forecast.observe(Pools[I], I == Active ? Peak : 0, Room, Now);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(forecast_of_turns)

// Before each pool had its turn there is no pattern, and VMs must stay.
BOOST_AUTO_TEST_CASE(first_cycle_is_not_forecast) {
  turn_forecast Forecast;
  play(Forecast, 0, 3 * Turn - 100);
  BOOST_TEST(!Forecast.regular());
  for (const auto &Each : Pools)
    BOOST_TEST(Forecast.expected(Each, 3 * Turn - 100, Lead) == 0);
}

// The next turn must be known early enough to move VMs, and not sooner.
BOOST_AUTO_TEST_CASE(next_turn_is_known_in_time) {
  turn_forecast Forecast;
  play(Forecast, 0, 4 * Turn - Lead);
  BOOST_TEST(Forecast.regular());
  BOOST_TEST(Forecast.expected("a", 4 * Turn - Lead, Lead) > 0.9 * Peak);
  BOOST_TEST(Forecast.expected("a", 4 * Turn - 2 * Lead, Lead) == 0);
  BOOST_TEST(Forecast.expected("b", 4 * Turn - Lead, Lead) == 0);
}

// A turn that does not come must not hold VMs for long.
BOOST_AUTO_TEST_CASE(turn_that_does_not_come_is_given_up) {
  turn_forecast Forecast;
  play(Forecast, 0, 4 * Turn);
  BOOST_TEST(Forecast.expected("a", 4 * Turn + 5000, Lead) == 0);
}

// A successor must know the pattern from the store.
BOOST_AUTO_TEST_CASE(successor_knows_the_turns) {
  turn_forecast Forecast;
  play(Forecast, 0, 4 * Turn - Lead);
  turn_forecast Restored;
  Restored.setPools(Pools.size());
  Restored.restore(Forecast.turns());
  BOOST_TEST(Restored.expected("a", 4 * Turn - Lead, Lead) > 0.9 * Peak);
}

// A queue of few large jobs seemed to have three turns in a row, and VMs were
// moved to a pool whose turn was not due.
BOOST_AUTO_TEST_CASE(pauses_within_a_turn_are_no_turns) {
  turn_forecast Forecast;
  Forecast.setPools(3);
  wall_ms Now = 0;
  for (const double Rate : {Peak, 0.0, Peak, 0.0, Peak, 0.0})
    Forecast.observe("a", Rate, Room, Now += 2000);
  BOOST_TEST(Forecast.turns().size() == 1U);
  Forecast.restore({{"c", 0, Peak},
                    {"a", 4000, Peak},
                    {"b", 8000, Peak},
                    {"a", 12000, Peak}});
  BOOST_TEST(!Forecast.regular());
}

// Turns at uneven distances are no pattern.
BOOST_AUTO_TEST_CASE(uneven_turns_are_no_pattern) {
  turn_forecast Forecast;
  Forecast.setPools(3);
  Forecast.restore({{"a", 0, Peak}, {"b", 1000, Peak}, {"c", 9000, Peak}});
  BOOST_TEST(!Forecast.regular());
}

BOOST_AUTO_TEST_SUITE_END()
