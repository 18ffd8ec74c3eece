#include "galenalink/job/job_limits.hpp"
#include "one_pool.hpp"

using namespace galenalink;
using namespace galenalink::job;
using namespace galenalink::test;

namespace {

/** Two occurrences of a job with so many tasks exceed `limits::MaxTasks`. */
constexpr std::uint32_t ManyTasks = 12000;

job_spec makeRepeatedJob(const simulated_platform &Platform,
                         const step_spec &Step, const std::uint32_t Times) {
  job_spec Spec = makeJob({Step});
  Spec.Times = Times;
  Spec.StartAtMs = Platform.wallNow();
  Spec.IntervalMs = 1;
  return Spec;
}

/** @brief A backend server lists ends of a job with times that no leader under
 * test has started: nothing has the label that its step requires. */
struct idle_job : one_pool {
  idle_job(const std::uint32_t Tasks, const std::uint32_t Times) : one_pool{1} {
    step_spec Step = makeStep(Tasks, 1, 1);
    Step.Label = "none";
    BOOST_REQUIRE(submit("press", "a", makeRepeatedJob(*this, Step, Times)));
  }

  void report(const std::uint32_t Occurrence, const std::uint32_t Index,
              const run_outcome Outcome, const std::uint64_t Number = 1) {
    simulated_server &Server = Servers.at("s0");
    Server.Listed.push_back(
        {++Server.Ends, {{"a", Occurrence, 0, Index}, Number}, Outcome, ""});
  }
  [[nodiscard]] auto &openJob() { return Leader->state().findJob("a")->Job; }
  [[nodiscard]] std::uint64_t ignoredEnds() const {
    std::uint64_t Sum = 0;
    for (const auto &[Why, Count] : Leader->state().Counts->IgnoredEnds)
      Sum += Count;
    return Sum;
  }
};

/** @brief Two occurrences of a job are at work at the same time. The leader has
 * room for both, its successor for one. */
struct weak_successor : one_pool {
  static constexpr std::uint32_t Tasks = 50;
  static constexpr std::uint64_t TasksOfBoth = std::uint64_t{2} * Tasks;

  explicit weak_successor(const std::uint32_t TaskMs) : one_pool{4} {
    const auto Step = makeStep(Tasks, 1000, TaskMs);
    BOOST_REQUIRE(submit("press", "a", makeRepeatedJob(*this, Step, 2)));
    advance(Second / 5);
    BOOST_REQUIRE(Starts == TasksOfBoth);
  }

  void electSuccessor() {
    const job_spec &Spec = Leader->state().findJob("a")->Job.spec();
    JobMemory.Open = JobOverheadBytes + specificationBytes(Spec) +
                     occurrenceBytes(Spec) * 3 / 2;
    elect();
  }
  void checkCompletedOnce() {
    BOOST_CHECK(stateOf("a") == job_state::Completed);
    BOOST_TEST(Starts == TasksOfBoth);
    checkNoViolations(*this);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(reported_occurrences)

// A successor without room for an occurrence that its predecessor had opened
// acknowledged the ends of its tasks without effect, and ran the tasks again.
BOOST_AUTO_TEST_CASE(done_ends_beyond_the_limit_of_tasks_count) {
  constexpr std::uint32_t Reported = 50;
  idle_job Platform{ManyTasks, 2};
  for (std::uint32_t I = 0; I < Reported; ++I)
    Platform.report(1, I, run_outcome::Done);
  // The ends of the first occurrence are listed behind those of the second.
  for (std::uint32_t I = 0; I < ManyTasks; ++I)
    Platform.report(0, I, run_outcome::Done);
  Platform.elect();
  Platform.advance(3 * Second);
  BOOST_TEST(Platform.Servers.at("s0").Listed.empty());
  Platform.elect();
  const auto &Open = Platform.openJob().openOccurrences();
  BOOST_REQUIRE(Open.size() == 1U);
  BOOST_TEST(Open.front().Number == 1U);
  BOOST_TEST(Open.front().Steps[0].Done == Reported);
  BOOST_TEST(Platform.ignoredEnds() == 0U);
}

// The same with the limit of memory, which differs from node to node.
BOOST_AUTO_TEST_CASE(done_ends_beyond_the_limit_of_memory_count) {
  weak_successor Platform{300};
  Platform.StoreDown = true;
  Platform.advance(2 * Second);
  Platform.electSuccessor();
  Platform.StoreDown = false;
  Platform.advance(5 * Second);
  Platform.checkCompletedOnce();
}

// Failed ends were discarded in the same way, so that a task got all its
// attempts once more.
BOOST_AUTO_TEST_CASE(failed_ends_beyond_the_limit_of_tasks_count) {
  idle_job Platform{ManyTasks, 2};
  const std::uint32_t Attempts = Platform.Rules.Queues.front().MaxAttempts;
  for (std::uint32_t I = 1; I <= Attempts; ++I)
    Platform.report(1, 7, run_outcome::Failed, I);
  Platform.elect();
  Platform.advance(Second);
  BOOST_CHECK(Platform.stateOf("a") == job_state::Failed);
  BOOST_TEST(Platform.ignoredEnds() == 0U);
}

// Runs of such an occurrence were stopped, and their tasks could be started
// again before the stop had taken effect.
BOOST_AUTO_TEST_CASE(runs_beyond_the_limit_of_memory_are_kept) {
  weak_successor Platform{3000};
  Platform.electSuccessor();
  Platform.advance(Second);
  for (std::uint32_t Index = 0; Index < weak_successor::Tasks; ++Index)
    BOOST_TEST(Platform.countRunning({"a", 1, 0, Index}) == 1U);
  Platform.advance(5 * Second);
  Platform.checkCompletedOnce();
}

// An occurrence beyond the job's last one opened all that were left.
BOOST_AUTO_TEST_CASE(occurrence_beyond_the_last_opens_none) {
  idle_job Platform{1, 50};
  Platform.ClockOffsetMs = -2000;
  Platform.elect();
  const std::uint32_t Opened = Platform.openJob().openedCount();
  BOOST_REQUIRE(Opened < 50U);
  Platform.report(50, 0, run_outcome::Done);
  Platform.advance(Second);
  BOOST_TEST(Platform.openJob().openedCount() == Opened);
  BOOST_TEST(Platform.ignoredEnds() == 1U);
}

// An end with a number that no leader has opened must not open millions of
// occurrences, and must not hold back the ends behind it.
BOOST_AUTO_TEST_CASE(implausible_occurrence_is_not_opened) {
  constexpr std::uint32_t Times = 10'000'000;
  idle_job Platform{1, Times};
  Platform.report(Times - 1, 0, run_outcome::Done);
  Platform.report(0, 0, run_outcome::Done);
  Platform.elect();
  Platform.advance(Second);
  const auto &Job = Platform.openJob();
  BOOST_TEST(Job.openOccurrences().size() <= limits::MaxReportedTasks);
  BOOST_TEST(Job.progressRecord().size() <= limits::MaxRecordBytes);
  BOOST_TEST(Job.openOccurrences().front().Number == 1U);
  BOOST_TEST(Platform.ignoredEnds() == 1U);
  BOOST_TEST(Platform.Servers.at("s0").Listed.empty());
}

// A leader opened the next occurrence once the one before had ended, although
// the store did not show that: its successor read the former as open and had
// no room for the latter.
BOOST_AUTO_TEST_CASE(next_occurrence_waits_until_the_last_end_is_stored) {
  one_pool Platform;
  // Ends that are not acknowledged must not hide the others.
  Platform.EndsPerResponse = ManyTasks;
  const auto Step = makeStep(ManyTasks, 50, 50);
  BOOST_REQUIRE(
      Platform.submit("press", "a", makeRepeatedJob(Platform, Step, 2)));
  Platform.StoreDown = true;
  Platform.advance(3 * Second);
  BOOST_TEST(Platform.Starts == ManyTasks);
  const auto &State = Platform.Leader->state();
  BOOST_TEST(State.findJob("a")->Job.doneCount() == 1U);
  BOOST_TEST(State.findJob("a")->Job.openedCount() == 1U);
  Platform.elect();
  Platform.StoreDown = false;
  Platform.advance(5 * Second);
  BOOST_CHECK(Platform.stateOf("a") == job_state::Completed);
  BOOST_TEST(Platform.Starts == 2 * ManyTasks);
  checkNoViolations(Platform);
}

// Occurrences whose end was not stored did not count as memory, so that a
// successor that reads them as open held more than the limit.
BOOST_AUTO_TEST_CASE(unstored_ends_keep_their_memory) {
  one_pool Platform;
  const auto Step = makeStep(10, 1000, 50);
  const job_spec Spec = makeRepeatedJob(Platform, Step, 20);
  BOOST_REQUIRE(Platform.submit("press", "a", Spec));
  Platform.StoreDown = true;
  Platform.advance(Second);
  const auto &State = Platform.Leader->state();
  const job_entry &Entry = *State.findJob("a");
  BOOST_TEST(Entry.Job.doneCount() > 0U);
  BOOST_TEST(State.JobMemory.open() >=
             Entry.Job.openedCount() * occurrenceBytes(Spec));
  Platform.StoreDown = false;
  Platform.advance(3 * Second);
  BOOST_CHECK(Platform.stateOf("a") == job_state::Completed);
  BOOST_TEST(State.JobMemory.open() == 0U);
}

// A progress record above the store's limit is refused for ever, and all that
// is stored later with it. The bound by which occurrences are opened must hold.
BOOST_AUTO_TEST_CASE(bound_of_the_progress_record_holds) {
  constexpr std::uint32_t Occurrences = 70000;
  constexpr std::size_t HeaderBytes = 16;
  for (const std::uint32_t Count : {1U, 8U, 9U, 200U, 2100U}) {
    job_spec Spec = makeJob({makeStep(Count, 1, 1), makeStep(1, 1, 1)});
    Spec.Times = Occurrences;
    galenalink::job::job Job{"a", "press", "press", Spec, 0};
    const std::uint32_t Opened = Occurrences / Count;
    for (std::uint32_t I = 0; I < Opened; ++I)
      Job.openNext();
    BOOST_TEST(Job.progressRecord().size() <=
               HeaderBytes + Opened * occurrenceRecordBytes(Spec));
  }
}

BOOST_AUTO_TEST_SUITE_END()
