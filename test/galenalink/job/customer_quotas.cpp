#include "galenalink/job/customer_quotas.hpp"
#include "customer_rules.hpp"
#include "one_pool.hpp"

using namespace galenalink;
using namespace galenalink::job;
using namespace galenalink::test;

namespace {

using verdict = caller_reply::verdict;

constexpr std::int64_t TaskCpu = 4000;
constexpr std::int64_t QuotaCpu = 5 * TaskCpu;

/** @brief Two pools with far more capacity than the quota of customer `north`,
 * which has jobs in both. */
struct limited_customer : simulated_platform {
  limited_customer() {
    addCustomer(Rules, "north", 0, {QuotaCpu, 0, 0});
    addCustomer(Rules, "south");
    queue_rule Mailing = Rules.Queues.front();
    Mailing.Name = "mailing";
    Mailing.Pool = "mailing";
    Rules.Queues.push_back(Mailing);
    Rules.Pools.push_back({"mailing", false, false});
    Rules.Version = 2;
    for (const char *Pool : {"press", "mailing"}) {
      for (int I = 0; I < 3; ++I)
        addServer(std::string{Pool} + std::to_string(I), Pool);
    }
    elect();
    advance(Second);
  }

  void submitTasks(const std::string &Customer, const std::string &Queue,
                   const std::string &Id, const std::uint32_t Count,
                   const std::uint32_t TaskMs) {
    const auto Reply = submit(
        Queue, Id, makeJob({makeStep(Count, TaskCpu, TaskMs)}), 0, Customer);
    BOOST_REQUIRE(Reply);
    BOOST_REQUIRE(Reply->Verdict == verdict::Ok);
  }
  /** @return CPU of the runs of jobs whose id begins with the text. */
  [[nodiscard]] std::int64_t running(const std::string &Prefix) const {
    std::int64_t Cpu = 0;
    for (const auto &[Id, Server] : Servers) {
      for (const auto &[Run, State] : Server.Running)
        Cpu += Run.Task.Job.starts_with(Prefix) ? TaskCpu : 0;
    }
    return Cpu;
  }
  /** @return Most CPU that `running` has shown meanwhile. */
  std::int64_t maxRunning(const std::string &Prefix, const duration Time) {
    std::int64_t Most = 0;
    for (const time_point End = Now + Time; Now < End;) {
      advance(10 * Millisecond);
      Most = std::max(Most, running(Prefix));
    }
    return Most;
  }
  void setQuota(const std::int64_t Cpu) {
    ++Rules.Version;
    Rules.Customers->front().Quota.Cpu = Cpu;
    Leader->setRules(Rules);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(quotas_of_customers)

BOOST_AUTO_TEST_CASE(each_resource_has_its_own_limit) {
  fleet_rules Rules;
  addCustomer(Rules, "north", 0, {10, 0, 2});
  customer_quotas Quotas;
  Quotas.setRules(Rules, {});
  Quotas.add("north", {4, 1000, 1});
  BOOST_TEST(Quotas.permits("north", {6, 1000, 1}));
  BOOST_TEST(!Quotas.permits("north", {7, 0, 0}));
  BOOST_TEST(!Quotas.permits("north", {0, 0, 2}));
  BOOST_TEST(Quotas.permits("", {1000, 0, 0}));
  BOOST_TEST(Quotas.permits("unknown", {1000, 0, 0}));
  Quotas.remove("north", {4, 1000, 1});
  BOOST_CHECK(Quotas.inUse("north") == resources{});
}

// A single task above the limit would never run if it had to fit. A gang above
// it breaks the limit by more than one task.
BOOST_AUTO_TEST_CASE(task_above_the_limit_runs_alone) {
  fleet_rules Rules;
  addCustomer(Rules, "north", 0, {10, 0, 0});
  customer_quotas Quotas;
  Quotas.setRules(Rules, {});
  BOOST_TEST(Quotas.permits("north", {20, 0, 0}));
  BOOST_TEST(!Quotas.permitsAll("north", {4, 0, 0}, 3));
  BOOST_TEST(!Quotas.canEverRun("north", {4, 0, 0}, 3));
  Quotas.add("north", {1, 0, 0});
  BOOST_TEST(!Quotas.permits("north", {20, 0, 0}));
}

// A customer that the rules no longer have keeps its limit while it has open
// jobs, so that its removal does not free them from it.
BOOST_AUTO_TEST_CASE(removed_customer_keeps_its_limit) {
  fleet_rules Rules;
  addCustomer(Rules, "north", 0, {10, 0, 0});
  customer_quotas Quotas;
  Quotas.setRules(Rules, {});
  Rules.Customers->clear();
  Quotas.setRules(Rules, {"north"});
  BOOST_TEST(Quotas.limit("north").Cpu == 10);
  Quotas.setRules(Rules, {});
  BOOST_TEST(Quotas.limit("north").Cpu == 0);
}

// Guards against a limit that holds for each pool or job by itself, and against
// one that keeps other customers' tasks waiting.
BOOST_AUTO_TEST_CASE(limit_covers_all_pools_and_blocks_nobody_else) {
  limited_customer Fleet;
  Fleet.submitTasks("north", "press", "n1", 8, 1000);
  Fleet.submitTasks("north", "mailing", "n2", 8, 1000);
  Fleet.submitTasks("south", "press", "s1", 8, 1000);
  BOOST_TEST(Fleet.running("s") == 8 * TaskCpu);
  BOOST_TEST(Fleet.maxRunning("n", 5 * Second) == QuotaCpu);
  for (const char *Id : {"n1", "n2", "s1"})
    BOOST_CHECK(Fleet.stateOf(Id) == job_state::Completed);
  checkNoViolations(Fleet);
}

// Start orders without a response may be carried out at any time. They must
// count against the quota until they are known not to run.
BOOST_AUTO_TEST_CASE(unanswered_starts_count) {
  limited_customer Fleet;
  for (auto &[Id, Server] : Fleet.Servers) {
    if (Id != "press0")
      Server.StartDelay = 2 * Second;
  }
  Fleet.submitTasks("north", "press", "n1", 12, 3000);
  Fleet.submitTasks("north", "mailing", "n2", 12, 3000);
  BOOST_TEST(Fleet.maxRunning("n", 20 * Second) <= QuotaCpu);
  checkNoViolations(Fleet);
}

// A version that lowers the quota below what runs stops nothing, and starts
// nothing until the use has fallen below it.
BOOST_AUTO_TEST_CASE(lowered_quota_applies_to_the_next_start) {
  limited_customer Fleet;
  Fleet.submitTasks("north", "press", "n1", 12, 1000);
  BOOST_TEST(Fleet.running("n") == QuotaCpu);
  Fleet.setQuota(2 * TaskCpu);
  BOOST_TEST(Fleet.running("n") == QuotaCpu);
  Fleet.advance(1500 * Millisecond);
  BOOST_TEST(Fleet.maxRunning("n", 6 * Second) == 2 * TaskCpu);
  BOOST_CHECK(Fleet.stateOf("n1") == job_state::Completed);
}

// A successor that can't reach some backend servers does not know what runs
// there. It must not fill the quota with other jobs of the customer meanwhile.
BOOST_AUTO_TEST_CASE(successor_counts_runs_that_it_does_not_see) {
  limited_customer Fleet;
  Fleet.submitTasks("north", "press", "n1", 5, 60000);
  BOOST_TEST(Fleet.running("n") == QuotaCpu);
  for (auto &[Id, Server] : Fleet.Servers)
    Server.Unresponsive = Id.starts_with("press");
  Fleet.elect();
  Fleet.advance(Second);
  // Long-running tasks are accepted whatever the customer has running.
  BOOST_REQUIRE(Fleet.submit("mailing", "n2",
                             makeJob({makeLongRunningStep(2, 0)}), 0, "north"));
  BOOST_TEST(Fleet.maxRunning("n", 3 * Second) == QuotaCpu);
  // The leases of the unresponsive backend servers end after 4.5 s.
  BOOST_TEST(Fleet.maxRunning("n", 20 * Second) <= QuotaCpu);
  BOOST_TEST(Fleet.running("n2") > 0);
}

// Copies of slow tasks hold resources like their originals.
BOOST_AUTO_TEST_CASE(copies_count) {
  limited_customer Fleet;
  // The first run of each task takes far longer than estimated.
  Fleet.Duration = [](const task_id &, const std::uint32_t) { return 20000.0; };
  step_spec Step = makeStep(8, TaskCpu, 200);
  Step.Speculative = true;
  BOOST_REQUIRE(Fleet.submit("press", "n1", makeJob({Step}), 0, "north"));
  BOOST_TEST(Fleet.maxRunning("n", 10 * Second) == QuotaCpu);
}

// A gang that exceeds the quota can never start; a caller that is not told so
// would wait for ever.
BOOST_AUTO_TEST_CASE(gang_above_the_quota_is_refused) {
  limited_customer Fleet;
  step_spec Step = makeStep(6, TaskCpu, 200);
  Step.Gang = true;
  const auto Large = Fleet.submit("press", "n1", makeJob({Step}), 0, "north");
  BOOST_CHECK(Large->Verdict == verdict::Refused);
  Step.Count = 5;
  BOOST_REQUIRE(Fleet.submit("press", "n2", makeJob({Step}), 0, "north"));
  Fleet.advance(2 * Second);
  BOOST_CHECK(Fleet.stateOf("n2") == job_state::Completed);
}

BOOST_AUTO_TEST_SUITE_END()
