#include "galenalink/job/dispatch.hpp"
#include "galenalink/job/callers.hpp"
#include "galenalink/job/placement.hpp"
#include "simulated_platform.hpp"
#include <boost/test/unit_test.hpp>
#include <random>

using namespace galenalink;
using namespace galenalink::job;
using test::makeStep;
using test::simulated_platform;

namespace {

constexpr duration Millisecond = std::chrono::milliseconds{1};

void addPool(simulated_platform &Platform, const std::string &Name) {
  queue_rule Queue = Platform.Rules.Queues.front();
  Queue.Name = Name;
  Queue.Pool = Name;
  Platform.Rules.Queues.push_back(Queue);
  Platform.Rules.Pools.push_back({Name, false, false});
}

job_spec makeJob(const std::uint32_t Count, const std::int64_t Cpu,
                 const std::uint32_t EstimateMs) {
  job_spec Spec;
  Spec.Steps.push_back(makeStep(Count, Cpu, EstimateMs));
  return Spec;
}

/** @brief Compares the sums of each backend server with a scan of its runs. */
void checkTotals(const leader &Leader) {
  for (const auto &[Id, Server] : Leader.Servers) {
    run_totals Scanned;
    for (const auto &[Run, State] : Server->Runs) {
      Scanned.Used += server::chargedResources(State.Size, State.BestEffort);
      Scanned.LongRunning += State.LongRunning ? 1 : 0;
      Scanned.BestEffort += State.BestEffort ? 1 : 0;
      Scanned.LatencySensitive += State.TargetMs > 0 ? 1 : 0;
      if (State.LongRunning && !State.BestEffort)
        Scanned.LongRunningCpu += State.Size.Cpu;
    }
    BOOST_TEST((Server->Totals == Scanned));
  }
}

/** @return Waiting tasks that fit on a backend server of their pool, found by a
 * scan of all open jobs and backend servers. */
std::size_t countStartableTasks(leader &Leader) {
  std::size_t Startable = 0;
  for (const auto &[Id, Entry] : Leader.OpenJobs.all()) {
    const auto Servers = availableServers(Leader, Entry->Job.pool());
    if (!Entry->Stored)
      continue;
    for (const auto &Occurrence : Entry->Job.openOccurrences()) {
      for (std::uint32_t Step = 0; Step < Occurrence.Steps.size(); ++Step) {
        placement_request Request;
        Request.Step = &Entry->Job.spec().Steps[Step];
        Request.Task = {Id, Occurrence.Number, Step, 0};
        const bool Fits = chooseServer(Servers, Request) != nullptr;
        for (const task &Task : Occurrence.Steps[Step].Tasks) {
          if (Fits && Entry->Job.ready(Occurrence, Step) && !Task.Done &&
              Task.Runs == 0 && Task.NotBefore <= Leader.Now())
            ++Startable;
        }
      }
    }
  }
  return Startable;
}

} // namespace

BOOST_AUTO_TEST_SUITE(dispatch_of_pools)

// Guards against a failed task that waits for the periodic pass, 200 ms, or for
// an event in its pool, although its back-off of 20 ms has ended.
BOOST_AUTO_TEST_CASE(retry_starts_when_its_back_off_ends) {
  simulated_platform Platform;
  auto &Server = Platform.addServer("a", "press");
  Platform.elect();
  Platform.advance(100 * Millisecond);
  Server.FailsAll = true;
  static_cast<void>(Platform.submit("press", "job", makeJob(1, 1000, 400)));
  const auto Failures = [&] {
    const job_entry *Entry = Platform.Leader->state().findJob("job");
    return Entry->Job.openOccurrences().front().Steps[0].Tasks[0].Failures;
  };
  while (Failures() == 0)
    Platform.advance(5 * Millisecond);
  Server.FailsAll = false;
  Platform.advance(60 * Millisecond);
  BOOST_TEST(Platform.countRunning({"job", 0, 0, 0}) == 1U);
}

// Guards against tasks that could start but don't, because an event that made
// room did not name their pool: after every event and pass, no task that waits
// fits on a backend server of its pool.
BOOST_AUTO_TEST_CASE(no_startable_task_waits_after_an_event) {
  simulated_platform Platform;
  std::mt19937_64 Random{11};
  addPool(Platform, "post");
  const std::vector<std::string> Pools{"press", "post"};
  for (int I = 0; I < 4; ++I) {
    for (const auto &Pool : Pools)
      Platform.addServer(Pool + std::to_string(I), Pool, 8000);
  }
  Platform.elect();
  Platform.advance(200 * Millisecond);
  for (int Round = 0; Round < 300; ++Round) {
    const std::string Id = "job-" + std::to_string(Round);
    auto Spec = makeJob(1 + Random() % 5,
                        static_cast<std::int64_t>(1000 + Random() % 4000),
                        static_cast<std::uint32_t>(50 + Random() % 400));
    if (Random() % 3 == 0) {
      Spec.Steps.push_back(makeStep(2, 2000, 100));
      Spec.Steps.back().DependsOn = {0};
    }
    static_cast<void>(
        Platform.submit(Pools[Random() % Pools.size()], Id, Spec));
    if (Random() % 5 == 0)
      Platform.Leader->cancel({"job-" + std::to_string(Round / 2)},
                              [](const caller_reply &) {});
    Platform.Leader->dispatchAndFlush();
    BOOST_TEST(countStartableTasks(Platform.Leader->state()) == 0U);
    Platform.advance(20 * Millisecond);
    Platform.Leader->dispatchAndFlush();
    BOOST_TEST(countStartableTasks(Platform.Leader->state()) == 0U);
    checkTotals(Platform.Leader->state());
  }
  BOOST_TEST(Platform.Violations.empty());
}

BOOST_AUTO_TEST_SUITE_END()
