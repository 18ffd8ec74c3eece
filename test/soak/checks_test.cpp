#include "soak/disruption_log.hpp"
#include "soak/task_history.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::soak;

namespace {

constexpr std::size_t MaxAttempts = 2;

/** @brief Records a run of a task that has ended so. */
void recordRun(task_history &History, const std::string &Outcome,
               const bool Acknowledged) {
  const auto Run = History.recordStart("job.0.0.0", "i-1", 1);
  History.recordEnd(Run, Outcome);
  if (Acknowledged)
    History.recordAcknowledged(Run);
}

std::size_t violationsOfNextStart(task_history &History) {
  History.recordStart("job.0.0.0", "i-2", 2);
  return History.violations(MaxAttempts).size();
}

} // namespace

BOOST_AUTO_TEST_SUITE(soak_checks)

// Guards against a soak that cannot fail: a start beside another run, after the
// task was done, or after its attempt limit must be reported.
BOOST_AUTO_TEST_CASE(forbidden_starts_are_reported) {
  task_history Parallel;
  Parallel.recordStart("job.0.0.0", "i-1", 1);
  BOOST_TEST(violationsOfNextStart(Parallel) == 1U);
  task_history Done;
  recordRun(Done, "done", true);
  BOOST_TEST(violationsOfNextStart(Done) == 1U);
  BOOST_TEST(Done.doneTasks("job") == 1U);
  task_history Failed;
  for (std::size_t I = 0; I < MaxAttempts; ++I)
    recordRun(Failed, "failed", true);
  BOOST_TEST(Failed.mostFailures("job") == MaxAttempts);
  BOOST_TEST(violationsOfNextStart(Failed) == 1U);
}

// Guards against reports of what is allowed: a task starts again while its
// attempts last, and after ends that the leader has not seen.
BOOST_AUTO_TEST_CASE(permitted_starts_are_not_reported) {
  task_history History;
  recordRun(History, "failed", true);
  recordRun(History, "failed", false);
  recordRun(History, "done", false);
  recordRun(History, "stopped", true);
  BOOST_TEST(violationsOfNextStart(History) == 0U);
}

// Guards against bounds that are never due: calm begins a contact time after
// the last disruption, and planned work is ignored where it is allowed.
BOOST_AUTO_TEST_CASE(calm_begins_after_the_contact_time) {
  disruption_log Disruptions;
  const time_point Start = boot_clock::now();
  BOOST_TEST((Disruptions.calmFor(Start, bounds::Ack) == Start + bounds::Ack));
  Disruptions.add(duration::zero(), disruption_kind::Planned);
  const time_point Later = Start + bounds::Contact / 2;
  BOOST_TEST(!Disruptions.calm(Later, Later));
  BOOST_TEST(Disruptions.calmButForPlannedWork(Later, Later));
  Disruptions.add(duration::zero());
  BOOST_TEST(!Disruptions.calmButForPlannedWork(Later, Later));
  const time_point Due = Disruptions.calmFor(Start, bounds::Ack);
  BOOST_TEST((Due > Start + bounds::Contact + bounds::Ack));
  BOOST_TEST((Due != time_point::max()));
}

BOOST_AUTO_TEST_SUITE_END()
