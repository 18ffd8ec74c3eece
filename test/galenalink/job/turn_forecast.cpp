#include "galenalink/job/turn_forecast.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::job;

namespace {

constexpr double Room = 256000;
constexpr double Peak = 440000;
constexpr wall_ms Turn = 4500;
constexpr wall_ms Lead = 2100;
/** Distance of jobs in a turn. */
constexpr wall_ms JobGap = 100;

const std::vector<std::string> Pools{"a", "b", "c", "d"};

struct forecast : turn_forecast {
  /** @brief One arrival in a turn at the peak rate. */
  void job(const std::string &Pool, const wall_ms Now,
           const wall_ms Gap = JobGap) {
    arrived(Pool, Peak * static_cast<double>(Gap), Now);
  }
  void look(const wall_ms Now) {
    for (const auto &Each : Pools)
      observe(Each, Room, Now);
  }
};

/** @brief Shows the forecast turns at equal distances from `From` to `To`. */
void play(forecast &Forecast, const wall_ms From, const wall_ms To) {
  for (wall_ms Now = From; Now < To; Now += JobGap) {
    Forecast.job(Pools[static_cast<std::size_t>(Now / Turn) % Pools.size()],
                 Now);
    Forecast.look(Now);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(forecast_of_turns)

// Two turns have one distance, which is no pattern, and VMs must stay.
BOOST_AUTO_TEST_CASE(two_turns_are_not_forecast) {
  forecast Forecast;
  play(Forecast, 0, 3 * Turn - Lead);
  BOOST_TEST(!Forecast.regular());
  for (const auto &Each : {"a", "b", "d"})
    BOOST_TEST(Forecast.expected(Each, 3 * Turn - Lead, Lead) == 0);
  forecast Early;
  play(Early, 0, 2 * Turn - JobGap);
  BOOST_TEST(!Early.regular());
  for (const auto &Each : {"a", "c", "d"})
    BOOST_TEST(Early.expected(Each, 2 * Turn - JobGap, Lead) == 0);
}

// The pool that is the last one without a turn comes next.
BOOST_AUTO_TEST_CASE(last_pool_of_the_first_cycle_is_known) {
  forecast Forecast;
  play(Forecast, 0, 3 * Turn + 1300);
  BOOST_TEST(Forecast.regular());
  const auto Restored = [&] {
    forecast Other;
    Other.look(0);
    auto Turns = Forecast.turns();
    Turns.pop_back();
    Other.restore(Turns);
    return Other;
  }();
  BOOST_TEST(Restored.nextPool(3 * Turn - Lead) == "d");
  BOOST_TEST(Restored.expected("d", 3 * Turn - Lead, Lead) > 0.9 * Peak);
}

// The next turn must be known early enough to move VMs, and not sooner.
BOOST_AUTO_TEST_CASE(next_turn_is_known_in_time) {
  forecast Forecast;
  play(Forecast, 0, 4 * Turn - Lead);
  BOOST_TEST(Forecast.regular());
  BOOST_TEST(Forecast.expected("a", 4 * Turn - Lead, Lead) > 0.9 * Peak);
  BOOST_TEST(Forecast.expected("a", 4 * Turn - 2 * Lead, Lead) == 0);
  BOOST_TEST(Forecast.expected("b", 4 * Turn - Lead, Lead) == 0);
}

// A turn must be met at its known rate as soon as it has begun, not when its
// own rate has been measured.
BOOST_AUTO_TEST_CASE(begun_turn_has_its_known_rate) {
  forecast Forecast;
  play(Forecast, 0, 5 * Turn);
  const wall_ms Now = 5 * Turn + 400;
  play(Forecast, 5 * Turn, Now);
  BOOST_TEST(Forecast.expected("b", Now, Lead) > 0.9 * Peak);
}

// VMs that would arrive after the end of a turn are of no use to it.
BOOST_AUTO_TEST_CASE(turn_about_to_end_needs_no_more) {
  forecast Forecast;
  play(Forecast, 0, 6 * Turn - Lead / 2);
  BOOST_TEST(Forecast.expected("b", 6 * Turn - Lead / 2, Lead) == 0);
}

// A turn that does not come must not hold VMs for long.
BOOST_AUTO_TEST_CASE(turn_that_does_not_come_is_given_up) {
  forecast Forecast;
  play(Forecast, 0, 4 * Turn);
  for (wall_ms Now = 4 * Turn; Now < 7 * Turn; Now += JobGap)
    Forecast.look(Now);
  BOOST_TEST(Forecast.expected("a", 4 * Turn + 5000, Lead) == 0);
  for (const auto &Each : Pools)
    BOOST_TEST(Forecast.expected(Each, 7 * Turn, Lead) == 0);
}

// A successor must know the pattern from the store.
BOOST_AUTO_TEST_CASE(successor_knows_the_turns) {
  forecast Forecast;
  play(Forecast, 0, 4 * Turn + 1300);
  auto Turns = Forecast.turns();
  Turns.pop_back();
  forecast Restored;
  Restored.look(0);
  Restored.restore(Turns);
  BOOST_TEST(Restored.expected("a", 4 * Turn - Lead, Lead) > 0.9 * Peak);
}

// A queue of few large jobs seemed to have three turns in a row, and VMs were
// moved to a pool whose turn was not due.
BOOST_AUTO_TEST_CASE(pauses_within_a_turn_are_no_turns) {
  forecast Forecast;
  for (const wall_ms From : {0, 2400, 4800}) {
    for (wall_ms Now = From; Now < From + 900; Now += 300) {
      Forecast.job("a", Now, 300);
      Forecast.look(Now);
    }
    for (wall_ms Now = From + 900; Now < From + 2400; Now += JobGap)
      Forecast.look(Now);
  }
  BOOST_TEST(Forecast.turns().size() == 1U);
}

// One large job between turns was taken for a turn, so that the next one was
// expected at the wrong time.
BOOST_AUTO_TEST_CASE(one_large_job_is_no_turn) {
  forecast Forecast;
  Forecast.job("a", 100, 2000);
  Forecast.look(200);
  BOOST_TEST(Forecast.turns().empty());
  BOOST_TEST(!Forecast.active("a"));
}

// Turns at uneven distances are no pattern.
BOOST_AUTO_TEST_CASE(uneven_turns_are_no_pattern) {
  forecast Forecast;
  Forecast.look(0);
  Forecast.restore({{"a", 0, 100, 50, Peak, 9},
                    {"b", 1000, 1100, 1050, Peak, 9},
                    {"c", 9000, 9100, 9050, Peak, 9}});
  BOOST_TEST(!Forecast.regular());
}

// In the first cycle the pools that had their turn are not the next ones.
BOOST_AUTO_TEST_CASE(pools_after_their_first_turn_wait_for_others) {
  forecast Forecast;
  play(Forecast, 0, Turn + 1400);
  BOOST_TEST(Forecast.waitsForOthers("a"));
  BOOST_TEST(!Forecast.waitsForOthers("c"));
}

BOOST_AUTO_TEST_SUITE_END()
