#include "galenalink/job/job.hpp"
#include "galenalink/job/job_limits.hpp"
#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::job;

namespace {

/** Largest record that the store accepts, bytes. */
constexpr std::size_t StoreLimitBytes = 262144;
constexpr std::uint32_t Tasks = limits::MaxTasks;

job_spec makeSpec(const std::size_t Steps, const std::uint32_t Count) {
  job_spec Spec;
  Spec.Spec = "text";
  Spec.Steps.resize(Steps);
  for (auto &Each : Spec.Steps) {
    Each.Count = Count;
    Each.Checkpointing = true;
  }
  return Spec;
}

galenalink::job::job makeJob() {
  galenalink::job::job Job{"a", "press", "press", makeSpec(1, Tasks), 1};
  Job.openNext();
  return Job;
}

std::vector<task> &tasksOf(galenalink::job::job &Job) {
  return Job.openOccurrences().front().Steps.front().Tasks;
}

} // namespace

BOOST_AUTO_TEST_SUITE(large_records)

// The store refused the progress of a job with many checkpoints for its size.
// The leader repeated that append for ever, and no queue took a job any more.
BOOST_AUTO_TEST_CASE(progress_with_many_checkpoints_fits_into_a_record) {
  auto Job = makeJob();
  for (task &Each : tasksOf(Job))
    Each.Checkpoint = "0123456789abcdef";
  BOOST_REQUIRE(Job.taskDone({"a", 0, 0, Tasks - 1}) == end_effect::TaskDone);
  const std::string Record = Job.progressRecord();
  BOOST_TEST(Record.size() <= StoreLimitBytes);
  galenalink::job::job Restored{"a", "press", "press", makeSpec(1, Tasks), 1};
  BOOST_REQUIRE(Restored.restore(Record));
  BOOST_TEST(tasksOf(Restored).back().Done);
  const auto Kept = std::ranges::count(tasksOf(Restored), "0123456789abcdef",
                                       &task::Checkpoint);
  // Each of them takes less than 30 bytes.
  BOOST_TEST(Kept > 8000);
}

// Failed runs count against the attempt limit and must not give way to
// checkpoints.
BOOST_AUTO_TEST_CASE(progress_keeps_failed_runs_before_checkpoints) {
  auto Job = makeJob();
  for (std::uint32_t I = 0; I < Tasks; ++I) {
    tasksOf(Job)[I].Checkpoint = std::string(64, 'c');
    if (I % 2 == 0)
      BOOST_REQUIRE(Job.taskFailed({{"a", 0, 0, I}, 1001}) ==
                    end_effect::TaskFailed);
  }
  const std::string Record = Job.progressRecord();
  BOOST_TEST(Record.size() <= StoreLimitBytes);
  galenalink::job::job Restored{"a", "press", "press", makeSpec(1, Tasks), 1};
  BOOST_REQUIRE(Restored.restore(Record));
  const auto Failed = std::ranges::count_if(
      tasksOf(Restored), [](const task &Each) { return Each.Failures == 1; });
  BOOST_TEST(Failed == Tasks / 2);
}

// A job whose own record is above the limit of the store was accepted, and
// blocked everything that was stored after it.
BOOST_AUTO_TEST_CASE(job_that_cannot_be_stored_is_rejected) {
  job_spec Spec = makeSpec(limits::MaxSteps, 1);
  BOOST_TEST(checkSpec(Spec).empty());
  for (auto &Each : Spec.Steps) {
    Each.Label = std::string(limits::MaxNameBytes, 'l');
    Each.Image = std::string(limits::MaxNameBytes, 'i');
  }
  BOOST_TEST(toRecord({"a", "press", "press", Spec, 1}).size() >
             StoreLimitBytes);
  BOOST_TEST(!checkSpec(Spec).empty());
}

BOOST_AUTO_TEST_SUITE_END()
