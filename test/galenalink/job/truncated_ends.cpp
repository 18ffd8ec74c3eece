#include "simulated_platform.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::job;
using namespace galenalink::test;

namespace {

constexpr duration Second = std::chrono::seconds{1};
constexpr std::uint32_t Tasks = 40;
constexpr std::uint32_t TaskMs = 500;

/** @brief A backend server that lists few ends at a time has completed all
 * tasks of a job while the store was down. */
struct unread_ends {
  simulated_platform Platform;

  unread_ends() {
    Platform.EndsPerResponse = 5;
    for (const char *Id : {"s0", "s1"})
      Platform.addServer(Id, "press");
    Platform.elect();
    Platform.advance(Second);
    job_spec Spec;
    Spec.Spec = "text";
    Spec.Steps = {makeStep(Tasks, 1000, TaskMs)};
    BOOST_REQUIRE(Platform.submit("press", "a", Spec));
    Platform.advance(Second / 5);
    BOOST_REQUIRE(Platform.Starts == Tasks);
    Platform.StoreDown = true;
    Platform.advance(2 * Second);
  }

  void checkCompletedOnce() {
    BOOST_CHECK(Platform.stateOf("a") == job_state::Completed);
    BOOST_TEST(Platform.Starts == Tasks);
    for (const auto &Each : Platform.Violations)
      BOOST_ERROR(Each);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(truncated_ends)

// A run in neither list was taken for ended without a result, although its end
// was only beyond those that a response lists: its task ran again.
BOOST_AUTO_TEST_CASE(run_whose_end_is_not_listed_yet_is_not_released) {
  unread_ends Ends;
  Ends.Platform.StoreDown = false;
  Ends.Platform.advance(5 * Second);
  Ends.checkCompletedOnce();
}

// A successor took the first part of the ends for all of them, and started
// again the tasks whose ends it had not read yet.
BOOST_AUTO_TEST_CASE(successor_waits_for_all_ends_of_its_predecessor) {
  unread_ends Ends;
  Ends.Platform.elect();
  Ends.Platform.advance(Second);
  Ends.Platform.StoreDown = false;
  Ends.Platform.advance(5 * Second);
  Ends.checkCompletedOnce();
}

// The store did not answer for longer than any lease after the change of
// leader, so that the ends could not be acknowledged in that time.
BOOST_AUTO_TEST_CASE(successor_waits_for_ends_beyond_the_length_of_a_lease) {
  unread_ends Ends;
  Ends.Platform.elect();
  Ends.Platform.advance(8 * Second);
  Ends.Platform.StoreDown = false;
  Ends.Platform.advance(5 * Second);
  Ends.checkCompletedOnce();
}

// A backend server that ended before its ends had been read kept the tasks of
// its pool waiting for ever.
BOOST_AUTO_TEST_CASE(unread_ends_of_a_lost_server_do_not_block_its_pool) {
  unread_ends Ends;
  Ends.Platform.elect();
  Ends.Platform.advance(Second);
  Ends.Platform.crash("s0");
  Ends.Platform.StoreDown = false;
  Ends.Platform.advance(12 * Second);
  BOOST_CHECK(Ends.Platform.stateOf("a") == job_state::Completed);
}

BOOST_AUTO_TEST_SUITE_END()
