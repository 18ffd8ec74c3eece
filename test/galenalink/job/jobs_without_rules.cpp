#include "simulated_platform.hpp"
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace galenalink;
using namespace galenalink::job;
using namespace galenalink::test;

namespace {

constexpr duration Second = std::chrono::seconds{1};

/** Makes rules of a version with the queue `press`. */
fleet_rules makeRules(const std::uint64_t Version,
                      const std::uint32_t MaxAttempts) {
  fleet_rules Rules = makeSinglePoolRules();
  Rules.Version = Version;
  Rules.Queues.front().MaxAttempts = MaxAttempts;
  return Rules;
}

/** Makes rules of a version that has the pool, but not the queue `press`. */
fleet_rules makeRulesWithoutQueue(const std::uint64_t Version) {
  fleet_rules Rules = makeSinglePoolRules();
  Rules.Version = Version;
  Rules.Queues.front().Name = "other";
  return Rules;
}

/** Makes rules of a version that sends the queue `press` to the pool `post`. */
fleet_rules makeRulesOfOtherPool(const std::uint64_t Version) {
  fleet_rules Rules = makeRules(Version, 2);
  Rules.Queues.front().Pool = "post";
  Rules.Pools.push_back({"post", false, false});
  return Rules;
}

/** A platform whose leader has started the only task of job `a`, which may fail
 * twice. */
struct one_running_task : simulated_platform {
  one_running_task() {
    for (int I = 0; I < 3; ++I)
      addServer("s" + std::to_string(I), "press");
    Duration = [](const task_id &, std::uint32_t) { return 60000.0; };
    Rules = makeRules(2, 2);
    elect();
    advance(Second);
    job_spec Spec;
    Spec.Spec = "text";
    Spec.Steps = {makeStep(1, 1000, 60000)};
    BOOST_REQUIRE(submit("press", "a", Spec));
    advance(Second / 2);
    BOOST_REQUIRE(Starts == 1U);
  }

  /** Elects a leader that knows these rules, and lets it adopt the runs. */
  void electWith(const fleet_rules &Known) {
    Rules = Known;
    elect();
    advance(Second / 2);
  }

  /** Ends the present runs as failed, and lets the leader process the ends. */
  void failRuns() {
    for (auto &[Id, Server] : Servers)
      Server.FailsAll = true;
    advance(std::chrono::milliseconds{20});
    for (auto &[Id, Server] : Servers)
      Server.FailsAll = false;
    advance(2 * Second);
  }

  /** Reduces the stored record of job `a` to the fields that it had before it
   * kept the rule of its queue. */
  void dropRuleFromRecord() {
    constexpr std::size_t FieldsWithoutRule = 8;
    std::string &Record = Stored.at("ja");
    nlohmann::json Fields = nlohmann::json::from_cbor(Record);
    while (Fields.size() > FieldsWithoutRule)
      Fields.erase(Fields.size() - 1);
    const auto Bytes = nlohmann::json::to_cbor(Fields);
    Record.assign(Bytes.begin(), Bytes.end());
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(jobs_without_rules)

// A leader elected while the store did not serve the operator's records failed
// a job after the first of two permitted failures.
BOOST_AUTO_TEST_CASE(leader_without_rules_does_not_fail_a_job_early) {
  one_running_task Platform;
  Platform.electWith({});
  Platform.failRuns();
  BOOST_CHECK(Platform.stateOf("a") == job_state::Running);
  Platform.Leader->setRules(makeRules(2, 2));
  Platform.advance(2 * Second);
  BOOST_TEST(Platform.Starts == 2U);
  Platform.failRuns();
  BOOST_CHECK(Platform.stateOf("a") == job_state::Failed);
  BOOST_TEST(Platform.Starts == 2U);
}

// A leader that had only read a version older than the queue failed a job after
// the first of two permitted failures.
BOOST_AUTO_TEST_CASE(leader_with_older_rules_does_not_fail_a_job_early) {
  one_running_task Platform;
  Platform.electWith(makeRulesWithoutQueue(1));
  Platform.failRuns();
  BOOST_CHECK(Platform.stateOf("a") == job_state::Running);
  Platform.Leader->setRules(makeRules(2, 2));
  Platform.advance(2 * Second);
  BOOST_TEST(Platform.Starts == 2U);
  Platform.failRuns();
  BOOST_CHECK(Platform.stateOf("a") == job_state::Failed);
  BOOST_TEST(Platform.Starts == 2U);
}

// A job whose queue was removed while it ran failed after the first of two
// permitted failures.
BOOST_AUTO_TEST_CASE(removed_queue_does_not_fail_its_job_early) {
  one_running_task Platform;
  Platform.Leader->setRules(makeRulesWithoutQueue(3));
  Platform.failRuns();
  BOOST_CHECK(Platform.stateOf("a") == job_state::Running);
  BOOST_TEST(Platform.Starts == 2U);
  Platform.failRuns();
  BOOST_CHECK(Platform.stateOf("a") == job_state::Failed);
  BOOST_TEST(Platform.Starts == 2U);
}

// The limit of a job whose record does not hold it is unknown to a leader
// without rules: one failure must not end the job, and the task must not start
// a third time once the leader learns that two failures were permitted.
BOOST_AUTO_TEST_CASE(limit_learned_late_permits_no_further_start) {
  one_running_task Platform;
  Platform.failRuns();
  BOOST_REQUIRE(Platform.Starts == 2U);
  Platform.dropRuleFromRecord();
  Platform.electWith({});
  Platform.failRuns();
  BOOST_CHECK(Platform.stateOf("a") == job_state::Running);
  Platform.Leader->setRules(makeRules(2, 2));
  Platform.advance(2 * Second);
  BOOST_CHECK(Platform.stateOf("a") == job_state::Failed);
  BOOST_TEST(Platform.Starts == 2U);
}

// A leader whose rules lack the queue must not start a failed task again if the
// job's record does not hold its limit: the limit may be reached.
BOOST_AUTO_TEST_CASE(failed_task_of_unknown_limit_is_not_started) {
  one_running_task Platform;
  Platform.dropRuleFromRecord();
  Platform.electWith(makeRulesWithoutQueue(1));
  Platform.failRuns();
  BOOST_CHECK(Platform.stateOf("a") == job_state::Running);
  BOOST_TEST(Platform.Starts == 1U);
  Platform.Leader->setRules(makeRules(2, 2));
  Platform.advance(Second);
  BOOST_TEST(Platform.Starts == 2U);
}

// A leader that had read an older version than its predecessor judged a job by
// the older limit.
BOOST_AUTO_TEST_CASE(older_rules_do_not_replace_the_rule_of_a_job) {
  one_running_task Platform;
  Platform.electWith(makeRules(1, 1));
  Platform.failRuns();
  BOOST_CHECK(Platform.stateOf("a") == job_state::Running);
  BOOST_TEST(Platform.Starts == 2U);
}

// A successor with no rules judged a job by the limit at its acceptance,
// although its predecessor knew a newer one.
BOOST_AUTO_TEST_CASE(changed_rule_is_stored_with_its_open_jobs) {
  one_running_task Platform;
  Platform.Leader->setRules(makeRules(3, 1));
  Platform.advance(Second / 2);
  Platform.electWith({});
  Platform.failRuns();
  BOOST_CHECK(Platform.stateOf("a") == job_state::Failed);
  BOOST_TEST(Platform.Starts == 1U);
}

// A successor left a job in the pool of its record, although the rules that it
// had read before it led send the queue to another pool: the job never ran.
BOOST_AUTO_TEST_CASE(recovered_job_runs_in_the_present_pool_of_its_queue) {
  one_running_task Platform;
  Platform.addServer("t0", "post");
  for (const char *Id : {"s0", "s1", "s2"})
    Platform.crash(Id);
  Platform.electWith(makeRulesOfOtherPool(3));
  Platform.advance(15 * Second);
  BOOST_TEST(Platform.countRunning({"a", 0, 0, 0}) == 1U);
}

// A task ran twice when its queue moved to another pool: the successor waited
// only for unresponsive backend servers of the new pool, while a run that its
// predecessor had started in the former pool was still going on.
BOOST_AUTO_TEST_CASE(moved_job_waits_for_runs_in_its_former_pool) {
  one_running_task Platform;
  Platform.addServer("t0", "post");
  for (auto &[Id, Server] : Platform.Servers)
    Server.Unresponsive = Server.Entry.Pool == "press";
  Platform.electWith({});
  Platform.Leader->setRules(makeRulesOfOtherPool(3));
  Platform.advance(2 * Second);
  Platform.electWith(makeRulesOfOtherPool(3));
  Platform.advance(20 * Second);
  for (const auto &Each : Platform.Violations)
    BOOST_ERROR(Each);
  BOOST_TEST(Platform.countRunning({"a", 0, 0, 0}) == 1U);
}

// A leader without rules answered a job with "no such queue", although the node
// that forwarded it knew the queue.
BOOST_AUTO_TEST_CASE(
    leader_without_rules_refuses_instead_of_denying_the_queue) {
  one_running_task Platform;
  Platform.electWith({});
  job_spec Spec;
  Spec.Spec = "text";
  Spec.Steps = {makeStep(1, 1000, 500)};
  const auto Reply = Platform.submit("press", "b", Spec);
  BOOST_REQUIRE(Reply);
  BOOST_CHECK(Reply->Verdict == caller_reply::verdict::Refused);
  BOOST_TEST(Reply->RetryAfterMs > 0U);
}

// A leader whose rules were older than those of the forwarding node answered a
// job of a new queue with "no such queue". A queue that the leader's version
// has removed is still denied.
BOOST_AUTO_TEST_CASE(leader_with_older_rules_refuses_a_newer_queue) {
  one_running_task Platform;
  Platform.electWith(makeRulesWithoutQueue(3));
  job_spec Spec;
  Spec.Spec = "text";
  Spec.Steps = {makeStep(1, 1000, 500)};
  const auto Newer = Platform.submit("press", "b", Spec, 4);
  BOOST_REQUIRE(Newer);
  BOOST_CHECK(Newer->Verdict == caller_reply::verdict::Refused);
  const auto Older = Platform.submit("press", "b", Spec, 2);
  BOOST_REQUIRE(Older);
  BOOST_CHECK(Older->Verdict == caller_reply::verdict::NoQueue);
}

// A leader without rules started no task, although the records of the accepted
// jobs hold the pool and the rule of their queue.
BOOST_AUTO_TEST_CASE(leader_without_rules_starts_tasks_of_recovered_jobs) {
  one_running_task Platform;
  Platform.electWith({});
  Platform.failRuns();
  BOOST_TEST(Platform.Starts == 2U);
  Platform.failRuns();
  BOOST_CHECK(Platform.stateOf("a") == job_state::Failed);
  BOOST_TEST(Platform.Starts == 2U);
}

// An accepted job never ran again after a version had removed its queue and its
// pool, although the backend servers of the pool were still there.
BOOST_AUTO_TEST_CASE(removed_pool_still_runs_its_accepted_jobs) {
  one_running_task Platform;
  fleet_rules Rules = makeRulesOfOtherPool(3);
  Rules.Queues.clear();
  std::erase_if(Rules.Pools,
                [](const pool_rule &Each) { return Each.Name == "press"; });
  Platform.Leader->setRules(Rules);
  Platform.failRuns();
  BOOST_TEST(Platform.Starts == 2U);
}

// A leader without rules must not start a task whose record does not hold the
// rule of its queue: the task may need a ticket.
BOOST_AUTO_TEST_CASE(job_of_unknown_rule_waits_for_the_first_rules) {
  one_running_task Platform;
  Platform.dropRuleFromRecord();
  for (const char *Id : {"s0", "s1", "s2"})
    Platform.crash(Id);
  Platform.addServer("s3", "press");
  Platform.electWith({});
  Platform.advance(15 * Second);
  BOOST_TEST(Platform.Starts == 1U);
  Platform.Leader->setRules(makeRules(2, 2));
  Platform.advance(Second);
  BOOST_TEST(Platform.Starts == 2U);
}

// A task ran twice when its queue moved to another pool and its leader started
// it there before the record of the job named that pool: a successor without
// rules knew only the former pool and did not wait for the new one.
BOOST_AUTO_TEST_CASE(moved_job_starts_only_once_its_pool_is_stored) {
  one_running_task Platform;
  Platform.addServer("t0", "post");
  Platform.advance(Second);
  Platform.StoreDown = true;
  Platform.Leader->setRules(makeRulesOfOtherPool(3));
  Platform.failRuns();
  Platform.Servers.at("t0").Unresponsive = true;
  Platform.StoreDown = false;
  Platform.electWith({});
  Platform.advance(2 * Second);
  for (const auto &Each : Platform.Violations)
    BOOST_ERROR(Each);
  BOOST_TEST(Platform.countRunning({"a", 0, 0, 0}) == 1U);
}

// A moved job starts in its new pool once its record is stored.
BOOST_AUTO_TEST_CASE(moved_job_starts_after_an_outage_of_the_store) {
  one_running_task Platform;
  Platform.addServer("t0", "post");
  Platform.advance(Second);
  Platform.StoreDown = true;
  Platform.Leader->setRules(makeRulesOfOtherPool(3));
  Platform.failRuns();
  Platform.StoreDown = false;
  Platform.advance(3 * Second);
  BOOST_TEST(Platform.Servers.at("t0").Running.size() == 1U);
  for (const auto &Each : Platform.Violations)
    BOOST_ERROR(Each);
}

// A version that leaves a queue unchanged does not change the records of its
// jobs. A successor that had read only a version between the two judged the
// jobs by that one.
BOOST_AUTO_TEST_CASE(rules_older_than_those_applied_are_not_adopted) {
  one_running_task Platform;
  Platform.Leader->setRules(makeRules(4, 2));
  Platform.advance(Second / 2);
  Platform.electWith(makeRules(3, 1));
  Platform.failRuns();
  BOOST_CHECK(Platform.stateOf("a") == job_state::Running);
  BOOST_TEST(Platform.Starts == 2U);
  Platform.Leader->setRules(makeRules(5, 1));
  Platform.advance(Second / 2);
  BOOST_CHECK(Platform.stateOf("a") == job_state::Failed);
}

// A leader whose rules are older than those applied before must not start a
// task whose record does not hold the rule of its queue: it may need a ticket.
BOOST_AUTO_TEST_CASE(job_of_unknown_rule_waits_for_the_applied_rules) {
  one_running_task Platform;
  Platform.dropRuleFromRecord();
  for (const char *Id : {"s0", "s1", "s2"})
    Platform.crash(Id);
  Platform.addServer("s3", "press");
  Platform.electWith(makeRules(1, 2));
  Platform.advance(15 * Second);
  BOOST_TEST(Platform.Starts == 1U);
  Platform.Leader->setRules(makeRules(2, 2));
  Platform.advance(Second);
  BOOST_TEST(Platform.Starts == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
