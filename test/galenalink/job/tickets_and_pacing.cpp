#include "galenalink/job/pacing.hpp"
#include "galenalink/job/tickets.hpp"
#include "simulated_platform.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::job;
using namespace galenalink::test;

namespace {

constexpr duration Second = std::chrono::seconds{1};

/** An advised queue with four backend servers. */
struct advised_queue : simulated_platform {
  explicit advised_queue(const ticket_rule Rule) {
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

/** One backend server with a latency-sensitive and a best-effort task. */
struct shared_backend_server : simulated_platform {
  shared_backend_server() {
    addServer("s0", "press");
    elect();
    advance(Second);
    job_spec LatencySensitiveJob;
    LatencySensitiveJob.Steps.push_back(makeStep(1, 8000, 0));
    LatencySensitiveJob.Steps[0].LongRunning = true;
    LatencySensitiveJob.Steps[0].TargetMs = 120;
    submit("press", "serving", LatencySensitiveJob);
    job_spec BestEffortJob;
    BestEffortJob.Steps.push_back(makeStep(1, 8000, 0));
    BestEffortJob.Steps[0].LongRunning = true;
    BestEffortJob.Steps[0].BestEffort = true;
    submit("press", "filling", BestEffortJob);
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

// Guards against starts without a ticket, which are refused, so that tasks of
// advised queues never ran. A start may only go to a backend server that the
// ticket service allows.
BOOST_AUTO_TEST_CASE(tasks_start_with_tickets) {
  advised_queue Platform{{20, 2, 2000}};
  Platform.IsAllowed = [](const task_id &, const std::string &Id) {
    return Id == "s2";
  };
  Platform.submitTasks(6, 4000);
  Platform.advance(3 * Second);
  BOOST_CHECK(Platform.stateOf("a") == job_state::Completed);
  BOOST_TEST(Platform.TicketsRefused == 0U);
  BOOST_TEST(Platform.TicketRequests == 1U);
}

// Tickets that expire while tasks wait for resources must be renewed.
BOOST_AUTO_TEST_CASE(expired_tickets_are_renewed) {
  advised_queue Platform{{20, 2, 300}};
  Platform.IsAllowed = [](const task_id &, const std::string &Id) {
    return Id == "s1";
  };
  Platform.submitTasks(9, 16000);
  Platform.advance(6 * Second);
  BOOST_CHECK(Platform.stateOf("a") == job_state::Completed);
  BOOST_TEST(Platform.TicketsRefused == 0U);
  BOOST_TEST(Platform.TicketRequests > 1U);
}

// Guards against repeated requests: a refusal is final, and each request takes
// time.
BOOST_AUTO_TEST_CASE(refused_servers_are_not_requested_again) {
  advised_queue Platform{{20, 2, 2000}};
  Platform.IsAllowed = [](const task_id &, const std::string &) {
    return false;
  };
  Platform.submitTasks(2, 4000);
  Platform.advance(3 * Second);
  BOOST_TEST(Platform.TicketRequests == 1U);
  BOOST_TEST(Platform.Starts == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(pacing_of_best_effort_tasks)

// The pace must be cut before the tail latency reaches its target, and more
// strongly above it.
BOOST_AUTO_TEST_CASE(pace_follows_tail_latency) {
  BOOST_TEST(computePace(100, 0.9) == 50U);
  BOOST_TEST(computePace(100, 1.2) == 25U);
  BOOST_TEST(computePace(25, 1.2) == 0U);
  BOOST_TEST(computePace(50, 0.7) == 50U);
  BOOST_TEST(computePace(50, 0.3) == 65U);
  BOOST_TEST(computePace(95, 0.3) == 100U);
}

// A latency-sensitive task must not exceed its target for four seconds because
// of a best-effort task.
BOOST_AUTO_TEST_CASE(interfering_task_is_slowed_in_time) {
  shared_backend_server Platform;
  Platform.ContendedTailRatio = 3;
  Platform.advance(3 * Second);
  BOOST_TEST(Platform.pace() < 25U);
}

// The pace must return to 100 percent once the interference has ended.
BOOST_AUTO_TEST_CASE(pace_is_restored) {
  shared_backend_server Platform;
  Platform.ContendedTailRatio = 3;
  Platform.advance(3 * Second);
  Platform.ContendedTailRatio = 0.4;
  Platform.advance(8 * Second);
  BOOST_TEST(Platform.pace() == 100U);
}

// A new leader does not know which paces were set and must not leave a task
// slowed.
BOOST_AUTO_TEST_CASE(new_leader_sets_unknown_paces) {
  shared_backend_server Platform;
  Platform.ContendedTailRatio = 3;
  Platform.advance(3 * Second);
  Platform.elect();
  Platform.ContendedTailRatio = 0.4;
  Platform.advance(8 * Second);
  BOOST_TEST(Platform.pace() == 100U);
}

BOOST_AUTO_TEST_SUITE_END()
