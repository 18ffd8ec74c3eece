#include "galenalink/job/run_locations.hpp"
#include "galenalink/job/server.hpp"
#include "simulated_platform.hpp"
#include <boost/test/unit_test.hpp>
#include <random>

using namespace galenalink;
using namespace galenalink::job;

namespace {

/** @return Backend servers with a run of the task, found by a scan of all. */
std::multiset<const server *> scanServersOf(const leader &Leader,
                                            const task_id &Task) {
  std::multiset<const server *> Found;
  for (const auto &[Id, Server] : Leader.Servers) {
    for (const auto &[Run, State] : Server->Runs) {
      if (Run.Task == Task)
        Found.insert(Server.get());
    }
  }
  return Found;
}

/** @brief Compares the index with a scan of all backend servers. */
void checkIndex(const leader &Leader) {
  std::set<std::string> Jobs;
  for (const auto &[Id, Server] : Leader.Servers) {
    for (const auto &[Run, State] : Server->Runs) {
      const auto Indexed = Leader.RunLocations.serversOf(Run.Task);
      const std::multiset<const server *> Servers{Indexed.begin(),
                                                  Indexed.end()};
      BOOST_TEST((Servers == scanServersOf(Leader, Run.Task)));
      Jobs.insert(Run.Task.Job);
    }
  }
  std::size_t Runs = 0;
  for (const auto &[Id, Server] : Leader.Servers)
    Runs += Server->Runs.size();
  std::size_t Indexed = 0;
  for (const auto &Job : Jobs)
    Indexed += Leader.RunLocations.serversOfJob(Job).size();
  BOOST_TEST(Indexed == Runs);
}

} // namespace

BOOST_AUTO_TEST_SUITE(locations_of_runs)

// Guards against runs that the leader does not stop, and services that it
// counts as down, because the index of runs differs from the backend servers'
// own runs after starts, ends, stops, crashes and a change of leader.
BOOST_AUTO_TEST_CASE(index_matches_scan_of_all_servers) {
  test::simulated_platform Platform;
  std::mt19937_64 Random{7};
  for (int I = 0; I < 12; ++I)
    Platform.addServer("s" + std::to_string(I), "press");
  Platform.elect();
  Platform.advance(std::chrono::milliseconds{300});
  for (int Round = 0; Round < 60; ++Round) {
    const std::string Id = "job-" + std::to_string(Round);
    job_spec Spec;
    Spec.Steps.push_back(test::makeStep(1 + Random() % 6, 3000, 400));
    Spec.Steps.front().LongRunning = Random() % 5 == 0;
    Spec.Steps.front().Speculative = Random() % 3 == 0;
    static_cast<void>(Platform.submit("press", Id, Spec));
    if (Round % 7 == 3)
      Platform.Leader->cancel({"job-" + std::to_string(Round / 2)},
                              [](const caller_reply &) {});
    if (Round % 20 == 11)
      Platform.crash("s" + std::to_string(Round % 12));
    if (Round == 40)
      Platform.elect();
    Platform.advance(std::chrono::milliseconds{60});
    checkIndex(Platform.Leader->state());
  }
  BOOST_TEST(Platform.Violations.empty());
}

BOOST_AUTO_TEST_SUITE_END()
