#include "galenalink/job/open_jobs.hpp"
#include "one_pool.hpp"
#include <random>

using namespace galenalink;
using namespace galenalink::job;
using namespace galenalink::test;

namespace {

constexpr wall_ms HourMs = 3'600'000;

job_spec makeScheduledJob(const simulated_platform &Platform,
                          const wall_ms DueInMs,
                          const std::uint32_t Times = 1) {
  job_spec Spec = makeJob({makeStep(1, 1000, 300)});
  Spec.Times = Times;
  Spec.StartAtMs = Platform.wallNow() + DueInMs;
  Spec.IntervalMs = 500;
  return Spec;
}

/** @brief Compares the indexes with a scan of all jobs. */
void checkIndexes(const leader &Leader) {
  open_jobs::map_type All;
  open_jobs::map_type Active;
  std::size_t Queued = 0;
  std::size_t Due = 0;
  for (const auto &[Id, Entry] : Leader.Jobs) {
    const auto &Job = Entry->Job;
    if (Job.ended())
      continue;
    All[Id] = Entry.get();
    if (!Job.openOccurrences().empty())
      Active[Id] = Entry.get();
    Queued += Job.state() == job_state::Queued ? 1 : 0;
    Due += Job.spec().Times > 0 && Job.isNextDue(Leader.Wall()) ? 1 : 0;
  }
  BOOST_TEST((Leader.OpenJobs.all() == All));
  BOOST_TEST((Leader.OpenJobs.active() == Active));
  BOOST_TEST(Leader.OpenJobs.queued("press") == Queued);
  BOOST_TEST(Leader.OpenJobs.due(Leader.Wall()).size() == Due);
}

} // namespace

BOOST_AUTO_TEST_SUITE(open_jobs_index)

// Jobs that were due in a year were looked at in every pass of the leader, and
// counted as waiting for capacity, so that it refused others as overloaded.
BOOST_AUTO_TEST_CASE(jobs_that_are_not_due_take_no_part_in_passes) {
  constexpr std::size_t Count = 1000;
  one_pool Platform;
  for (std::size_t I = 0; I < Count; ++I)
    Platform.submit("press", "a" + std::to_string(I),
                    makeScheduledJob(Platform, HourMs));
  Platform.advance(Second);
  const leader &Leader = Platform.Leader->state();
  BOOST_TEST(Leader.OpenJobs.size() == Count);
  BOOST_TEST(Leader.OpenJobs.active().empty());
  BOOST_TEST(Leader.OpenJobs.due(Leader.Wall()).empty());
  BOOST_TEST(Leader.WaitingJobs == 0U);
  BOOST_TEST(Platform.Leader->pending("press").Pending == Count);
}

// A job that is due must start, also under a leader that reads it from the
// store.
BOOST_AUTO_TEST_CASE(scheduled_jobs_start_when_due) {
  one_pool Platform;
  Platform.submit("press", "a", makeScheduledJob(Platform, 2000));
  Platform.submit("press", "b", makeScheduledJob(Platform, 4000));
  Platform.advance(3 * Second);
  BOOST_CHECK(Platform.stateOf("a") == job_state::Completed);
  BOOST_CHECK(Platform.stateOf("b") == job_state::Queued);
  Platform.elect();
  Platform.advance(3 * Second);
  BOOST_CHECK(Platform.stateOf("b") == job_state::Completed);
}

// The indexes must follow every change of a job, whatever caused it.
BOOST_AUTO_TEST_CASE(indexes_agree_with_a_scan) {
  constexpr int Rounds = 300;
  one_pool Platform;
  std::mt19937 Random{45};
  int Next = 0;
  for (int I = 0; I < Rounds; ++I) {
    const std::string Id = "a" + std::to_string(Next++);
    switch (Random() % 6) {
    case 0:
      Platform.submit("press", Id, makeScheduledJob(Platform, 1000, 3));
      break;
    case 1:
      Platform.submit("press", Id, makeScheduledJob(Platform, HourMs));
      break;
    case 2:
      Platform.Leader->cancel({"a" + std::to_string(Random() % Next), "press"},
                              [](const caller_reply &) {});
      break;
    case 3:
      Platform.Servers.begin()->second.FailsAll = Random() % 2 == 0;
      break;
    case 4:
      if (Random() % 10 == 0)
        Platform.elect();
      break;
    default:
      Platform.submit("press", Id, makeJob({makeStep(2, 1000, 300)}));
    }
    Platform.advance(100 * Millisecond);
    checkIndexes(Platform.Leader->state());
  }
  Platform.advance(200 * Second);
  checkIndexes(Platform.Leader->state());
  checkNoViolations(Platform);
}

BOOST_AUTO_TEST_SUITE_END()
