#include "galenalink/job/advice.hpp"
#include "galenalink/job/pacing.hpp"
#include "simulated_platform.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::job;
using namespace galenalink::test;

namespace {

constexpr duration Second = std::chrono::seconds{1};

/** An advised queue with four backend servers. */
struct advised : simulated_platform {
  explicit advised(const ticket_rule Rule) {
    Rules.Queues.front().Advice = Rule;
    for (int I = 0; I < 4; ++I)
      addServer("s" + std::to_string(I), "press");
    elect();
    advance(Second);
  }
  void submitTasks(const std::uint32_t Count, const std::int64_t Cpu) {
    job_spec Spec;
    Spec.Steps.push_back(makeStep(Count, Cpu, 400));
    submit("press", "a", Spec);
  }
};

/** One backend server with a serving task and one that fills. */
struct shared_server : simulated_platform {
  shared_server() {
    addServer("s0", "press");
    elect();
    advance(Second);
    job_spec Serving;
    Serving.Steps.push_back(makeStep(1, 8000, 0));
    Serving.Steps[0].LongRunning = true;
    Serving.Steps[0].TargetMs = 120;
    submit("press", "serving", Serving);
    job_spec Filling;
    Filling.Steps.push_back(makeStep(1, 8000, 0));
    Filling.Steps[0].LongRunning = true;
    Filling.Steps[0].BestEffort = true;
    submit("press", "filling", Filling);
    advance(Second);
  }
  std::uint32_t pace() const {
    for (const auto &[Run, State] : Servers.at("s0").Running) {
      if (Run.Task.Job == "filling")
        return State.Pace;
    }
    return 0;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(advised_queues)

// A start without a ticket is refused, so that tasks of advised queues never
// ran; only backend servers that the service named may be asked to start one.
BOOST_AUTO_TEST_CASE(tasks_start_with_tickets) {
  advised Platform{{20, 2, 2000}};
  Platform.MayRun = [](const task_id &, const std::string &Id) {
    return Id == "s2";
  };
  Platform.submitTasks(6, 4000);
  Platform.advance(3 * Second);
  BOOST_CHECK(Platform.stateOf("a") == job_state::Completed);
  BOOST_TEST(Platform.TicketsRefused == 0U);
  BOOST_TEST(Platform.AdviceCalls == 1U);
}

// Tickets that expire while tasks wait for room must be renewed.
BOOST_AUTO_TEST_CASE(expired_tickets_are_renewed) {
  advised Platform{{20, 2, 300}};
  Platform.MayRun = [](const task_id &, const std::string &Id) {
    return Id == "s1";
  };
  Platform.submitTasks(9, 16000);
  Platform.advance(6 * Second);
  BOOST_CHECK(Platform.stateOf("a") == job_state::Completed);
  BOOST_TEST(Platform.TicketsRefused == 0U);
  BOOST_TEST(Platform.AdviceCalls > 1U);
}

// What the service refused once it refuses for good, and each call costs time.
BOOST_AUTO_TEST_CASE(refused_servers_are_not_asked_again) {
  advised Platform{{20, 2, 2000}};
  Platform.MayRun = [](const task_id &, const std::string &) { return false; };
  Platform.submitTasks(2, 4000);
  Platform.advance(3 * Second);
  BOOST_TEST(Platform.AdviceCalls == 1U);
  BOOST_TEST(Platform.Starts == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(pace_of_tasks_that_fill)

// The share must fall before the bound is passed, and at once beyond it.
BOOST_AUTO_TEST_CASE(share_follows_the_tail) {
  BOOST_TEST(nextPace(100, 0.9) == 50U);
  BOOST_TEST(nextPace(100, 1.2) == 25U);
  BOOST_TEST(nextPace(25, 1.2) == 0U);
  BOOST_TEST(nextPace(50, 0.7) == 50U);
  BOOST_TEST(nextPace(50, 0.3) == 65U);
  BOOST_TEST(nextPace(95, 0.3) == 100U);
}

// A serving task over its bound for four seconds because of one that fills
// breaks a rule.
BOOST_AUTO_TEST_CASE(disturbing_task_is_slowed_in_time) {
  shared_server Platform;
  Platform.DisturbedTail = 3;
  Platform.advance(3 * Second);
  BOOST_TEST(Platform.pace() < 25U);
}

// The share comes back when it disturbs no longer.
BOOST_AUTO_TEST_CASE(share_is_given_back) {
  shared_server Platform;
  Platform.DisturbedTail = 3;
  Platform.advance(3 * Second);
  Platform.DisturbedTail = 0.4;
  Platform.advance(8 * Second);
  BOOST_TEST(Platform.pace() == 100U);
}

// A successor does not know which shares were set.
BOOST_AUTO_TEST_CASE(successor_sets_unknown_shares) {
  shared_server Platform;
  Platform.DisturbedTail = 3;
  Platform.advance(3 * Second);
  Platform.elect();
  Platform.DisturbedTail = 0.4;
  Platform.advance(8 * Second);
  BOOST_TEST(Platform.pace() == 100U);
}

BOOST_AUTO_TEST_SUITE_END()
