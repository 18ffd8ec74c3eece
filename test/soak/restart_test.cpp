#include "soak/single_node_run.hpp"

using namespace galenalink;
using namespace galenalink::soak;

namespace {

/** Longer than a start order waits for its response, so that it is sent again
 * on a new connection, which waits for the new incarnation. */
constexpr duration Dark = 500 * Millisecond;
constexpr std::int64_t VmCpu = 16000;
constexpr std::int64_t TaskCpu = 1800;

std::string jobId(const int Number) {
  const std::string Digits = std::to_string(Number);
  return std::string(16 - Digits.size(), '0') + Digits;
}

/** @return The VM with most runs of those that have room for more: tasks are
 * packed, so that it gets the next ones. */
std::size_t busiestWithRoom(const fleet_standin &Fleet) {
  constexpr std::size_t MaxRuns = VmCpu / TaskCpu - 2;
  std::size_t Busiest = 0;
  std::size_t MostRuns = 0;
  for (std::size_t I = 0; I < Fleet.size(); ++I) {
    const std::size_t Runs = Fleet.vm(I).Running.size();
    if (Runs > MaxRuns || Runs < MostRuns)
      continue;
    Busiest = I;
    MostRuns = Runs;
  }
  return Busiest;
}

} // namespace

BOOST_AUTO_TEST_SUITE(restart_under_id)

// A backend server that started again under its id carried out start orders
// that were meant for its former incarnation. Its new start was read later, all
// its runs were taken for lost, and their tasks started elsewhere beside them.
BOOST_AUTO_TEST_CASE(orders_to_the_former_incarnation_begin_no_runs) {
  constexpr int Jobs = 60;
  constexpr int JobsPerRestart = 15;
  single_node_run Run{"restart", 6};
  for (int I = 1; I <= Jobs; ++I) {
    BOOST_REQUIRE(Run.submit(jobId(I), 6, TaskCpu, 700));
    Run.pause(90 * Millisecond);
    if (I % JobsPerRestart == 0)
      Run.Fleet.restartUnderId(busiestWithRoom(Run.Fleet), Dark, Second);
  }
  const bool Completed = Run.Loop.runUntil(
      [&] { return Run.Fleet.History.doneTasks(jobId(Jobs)) == 6; },
      boot_clock::now() + 20 * Second);
  BOOST_TEST(Completed);
  Run.pause(Second);
  Run.checkHistory();
}

// The lease of a start order that was meant for the former incarnation was
// taken by the new one, on whose clock it ended much later. The runs there
// outlived the lease that the leader had counted, and their tasks started
// elsewhere beside them.
BOOST_AUTO_TEST_CASE(leases_of_the_former_incarnation_do_not_apply) {
  single_node_run Run{"restart", 2};
  // Keeps the second VM from the other tasks at first.
  BOOST_REQUIRE(Run.submit(jobId(1), 1, VmCpu, 3000));
  BOOST_REQUIRE(Run.runs(jobId(1)));
  const std::size_t Restarted = Run.Fleet.vm(0).Running.empty() ? 0 : 1;
  Run.Fleet.restartUnderId(Restarted, Dark, duration{0});
  BOOST_REQUIRE(Run.submit(jobId(2), 4, TaskCpu, 60000));
  BOOST_REQUIRE(Run.runs(jobId(2), 4));
  Run.pause(300 * Millisecond);
  Run.Fleet.partitionVm(Restarted, 9 * Second);
  Run.pause(10 * Second);
  Run.checkHistory();
}

BOOST_AUTO_TEST_SUITE_END()
