#include "galenalink/job/job_memory.hpp"
#include "one_pool.hpp"

using namespace galenalink;
using namespace galenalink::job;
using namespace galenalink::test;

namespace {

using verdict = caller_reply::verdict;

/** Room for some jobs of one task, or for one of `ManyTasks`. */
constexpr std::size_t SmallLimit = std::size_t{64} << 10U;
constexpr std::uint32_t ManyTasks = 400;

struct small_leader : one_pool {
  small_leader() : one_pool{1} {
    JobMemory = {SmallLimit, SmallLimit / 2, SmallLimit};
    elect();
    advance(Second);
  }

  verdict submitJob(const std::string &Id, const job_spec &Spec) {
    const auto Reply = submit("press", Id, Spec);
    BOOST_REQUIRE(Reply);
    return Reply->Verdict;
  }
  [[nodiscard]] const job_memory &memory() const {
    return Leader->state().JobMemory;
  }
};

job_spec makeWaitingJob(const std::uint32_t Tasks) {
  auto Step = makeStep(Tasks, 1, 1);
  Step.Label = "none";
  return makeJob({Step});
}

job_spec makeFutureJob(const simulated_platform &Platform) {
  job_spec Spec = makeJob({makeStep(1, 1000, 300)});
  Spec.Times = 1;
  Spec.StartAtMs = Platform.wallNow() + 3'600'000;
  return Spec;
}

} // namespace

BOOST_AUTO_TEST_SUITE(job_memory_limits)

// A few hundred jobs with 20,000 tasks each, none of which could start, ended
// the process.
BOOST_AUTO_TEST_CASE(jobs_of_many_tasks_are_refused) {
  small_leader Platform;
  BOOST_CHECK(Platform.submitJob("a", makeWaitingJob(ManyTasks)) ==
              verdict::Ok);
  BOOST_CHECK(Platform.submitJob("b", makeWaitingJob(ManyTasks)) ==
              verdict::Refused);
  BOOST_TEST(!Platform.Stored.contains("jb"));
  BOOST_TEST(Platform.Leader->state().Counts->RefusedForMemory == 1U);
  BOOST_CHECK(Platform.submitJob("a", makeWaitingJob(ManyTasks)) ==
              verdict::Ok);
}

// Jobs that last or are not due must leave room for others.
BOOST_AUTO_TEST_CASE(scheduled_jobs_leave_room_for_others) {
  small_leader Platform;
  int Accepted = 0;
  while (Platform.submitJob("f" + std::to_string(Accepted),
                            makeFutureJob(Platform)) == verdict::Ok)
    ++Accepted;
  BOOST_TEST(Accepted > 0);
  BOOST_TEST(Platform.memory().background() <= SmallLimit / 2);
  BOOST_CHECK(Platform.submitJob("a", makeJob({makeStep(1, 1000, 300)})) ==
              verdict::Ok);
}

// Jobs that last until they are cancelled cost processor time all the while.
BOOST_AUTO_TEST_CASE(number_of_long_running_jobs_is_bounded) {
  one_pool Platform{1};
  Platform.JobMemory.LongRunningJobs = 2;
  Platform.elect();
  Platform.advance(Second);
  const job_spec Spec = makeJob({makeLongRunningStep(1, 0)});
  const auto Submit = [&](const std::string &Id) {
    const auto Reply = Platform.submit("press", Id, Spec);
    BOOST_REQUIRE(Reply);
    return Reply->Verdict;
  };
  BOOST_CHECK(Submit("a") == verdict::Ok);
  BOOST_CHECK(Submit("b") == verdict::Ok);
  BOOST_CHECK(Submit("c") == verdict::Refused);
  Platform.Leader->cancel({"a", "press"}, [](const caller_reply &) {});
  Platform.advance(3 * Second);
  BOOST_CHECK(Submit("c") == verdict::Ok);
}

// Occurrences that pile up must not take more memory than the limit.
BOOST_AUTO_TEST_CASE(occurrences_that_pile_up_are_bounded) {
  small_leader Platform;
  job_spec Spec = makeWaitingJob(1);
  Spec.Times = 1'000'000;
  Spec.StartAtMs = 1;
  Spec.IntervalMs = 1;
  BOOST_CHECK(Platform.submitJob("a", Spec) == verdict::Ok);
  Platform.advance(Second);
  const leader &Leader = Platform.Leader->state();
  BOOST_TEST(Leader.findJob("a")->Job.openOccurrences().size() > 1U);
  BOOST_TEST(Platform.memory().open() <= SmallLimit);
}

// What a job holds must be released when it ends, is compacted and removed.
BOOST_AUTO_TEST_CASE(ended_jobs_release_their_memory) {
  small_leader Platform;
  for (int I = 0; I < 10; ++I)
    Platform.submitJob("a" + std::to_string(I),
                       makeJob({makeStep(1, 1000, 300)}));
  BOOST_TEST(Platform.memory().open() > 0U);
  Platform.advance(10 * Second);
  BOOST_TEST(Platform.memory().open() == 0U);
  BOOST_TEST(Platform.memory().ended() == 10 * EndedJobBytes);
  Platform.elect();
  BOOST_TEST(Platform.memory().ended() == 10 * EndedJobBytes);
  Platform.advance(200 * Second);
  BOOST_TEST(Platform.memory().ended() == 0U);
}

// The caller learns when the oldest ended job is removed.
BOOST_AUTO_TEST_CASE(refusal_names_the_time_when_ended_jobs_are_removed) {
  small_leader Platform;
  int Submitted = 0;
  std::optional<caller_reply> Reply;
  do {
    Reply = Platform.submit("press", "a" + std::to_string(Submitted++),
                            makeJob({makeStep(1, 1, 1)}));
    Platform.advance(Second);
    BOOST_REQUIRE(Reply);
  } while (Reply->Verdict == verdict::Ok);
  Platform.advance(duration{std::chrono::milliseconds{Reply->RetryAfterMs}} +
                   Second);
  BOOST_CHECK(Platform.submitJob("b", makeJob({makeStep(1, 1, 1)})) ==
              verdict::Ok);
}

BOOST_AUTO_TEST_SUITE_END()
