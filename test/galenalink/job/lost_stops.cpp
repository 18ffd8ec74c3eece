#include "simulated_platform.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::job;
using namespace galenalink::test;

namespace {

constexpr duration Second = std::chrono::seconds{1};
constexpr duration StartResponseDelay = std::chrono::milliseconds{30};

/** @brief One backend server whose responses to starts are late, and a job of
 * two long-running tasks that has just been started there. */
struct started_job {
  simulated_platform Platform;
  simulated_server &Server;

  started_job() : Server{Platform.addServer("s0", "press")} {
    const auto Start = Platform.Ports.Start;
    Platform.Ports.Start = [this, Start](const start_order &Order,
                                         const auto &Callback) {
      Start(Order, [this, Callback](const order_result &Result) {
        Platform.schedule(StartResponseDelay,
                          [Callback, Result] { Callback(Result); });
      });
    };
    Platform.elect();
    Platform.advance(Second);
  }

  void submit() {
    job_spec Spec;
    Spec.Spec = "text";
    Spec.Steps = {makeStep(2, 2000, 0)};
    Spec.Steps.front().LongRunning = true;
    BOOST_REQUIRE(Platform.submit("press", "a", Spec));
  }

  void cancel() {
    Platform.Leader->cancel({"a"}, [](const caller_reply &) {});
    Platform.Leader->dispatchAndFlush();
  }

  void checkNothingRuns() {
    BOOST_TEST(Platform.countRunning({"a", 0, 0, 0}) == 0U);
    BOOST_TEST(Platform.countRunning({"a", 0, 0, 1}) == 0U);
    for (const auto &Each : Platform.Violations)
      BOOST_ERROR(Each);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(lost_stops)

// A stop that failed while the start was in flight was not repeated once the
// start was confirmed: the tasks of a cancelled job ran on for ever.
BOOST_AUTO_TEST_CASE(stop_lost_before_the_start_is_confirmed_is_repeated) {
  started_job Job;
  Job.Server.IgnoresStops = true;
  Job.submit();
  BOOST_REQUIRE(Job.Platform.countRunning({"a", 0, 0, 0}) == 1U);
  Job.cancel();
  Job.Platform.advance(Second);
  Job.Server.IgnoresStops = false;
  Job.Platform.advance(2 * Second);
  Job.checkNothingRuns();
}

// The same when a list of runs confirms a start that had no response.
BOOST_AUTO_TEST_CASE(stop_lost_before_a_list_names_the_run_is_repeated) {
  started_job Job;
  Job.Server.IgnoresStops = true;
  Job.Server.DropsStartResponses = true;
  Job.submit();
  BOOST_REQUIRE(Job.Platform.countRunning({"a", 0, 0, 0}) == 1U);
  Job.cancel();
  Job.Platform.advance(2 * Second);
  Job.Server.IgnoresStops = false;
  Job.Platform.advance(2 * Second);
  Job.checkNothingRuns();
}

BOOST_AUTO_TEST_SUITE_END()
