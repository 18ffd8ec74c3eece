#include "customer_rules.hpp"
#include "one_pool.hpp"

using namespace galenalink;
using namespace galenalink::job;
using namespace galenalink::test;

namespace {

using verdict = caller_reply::verdict;

/** @brief One pool that two customers share. */
struct shared_pool : simulated_platform {
  shared_pool() {
    addCustomer(Rules, "north");
    addCustomer(Rules, "south");
    Rules.Version = 2;
    for (const char *Id : {"s0", "s1"})
      addServer(Id, "press");
    elect();
    advance(Second);
  }

  std::optional<caller_reply> submitAs(const std::string &Customer,
                                       const std::string &Id,
                                       const std::uint32_t TaskMs = 60000) {
    return submit("press", Id, makeJob({makeStep(1, 1000, TaskMs)}), 0,
                  Customer);
  }
  [[nodiscard]] verdict queryAs(const std::string &Customer,
                                const std::string &Id) const {
    return Leader->query({Id, "press", Customer}).Verdict;
  }
  [[nodiscard]] verdict cancelAs(const std::string &Customer,
                                 const std::string &Id) {
    verdict Result = verdict::Unknown;
    Leader->cancel({Id, "press", Customer},
                   [&](const caller_reply &Reply) { Result = Reply.Verdict; });
    advance(100 * Millisecond);
    return Result;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(customers_and_jobs)

// Guards against a customer that reads, cancels or takes over the job of
// another one.
BOOST_AUTO_TEST_CASE(only_the_owner_reaches_a_job) {
  shared_pool Pool;
  BOOST_CHECK(Pool.submitAs("north", "a")->Verdict == verdict::Ok);
  BOOST_CHECK(Pool.queryAs("south", "a") == verdict::Forbidden);
  BOOST_CHECK(Pool.cancelAs("south", "a") == verdict::Forbidden);
  BOOST_CHECK(Pool.submitAs("south", "a")->Verdict == verdict::Forbidden);
  BOOST_CHECK(Pool.stateOf("a") == job_state::Running);
  BOOST_CHECK(Pool.submitAs("north", "a")->Verdict == verdict::Ok);
  BOOST_CHECK(Pool.queryAs("north", "a") == verdict::Ok);
  BOOST_CHECK(Pool.cancelAs("north", "a") == verdict::Ok);
}

// The owner must survive the loss of all nodes, for open jobs, for ended ones
// and for those of which only the state is kept.
BOOST_AUTO_TEST_CASE(owner_survives_the_loss_of_all_nodes) {
  shared_pool Pool;
  BOOST_REQUIRE(Pool.submitAs("north", "open"));
  BOOST_REQUIRE(Pool.submitAs("north", "ended", 100));
  Pool.advance(4 * Second);
  BOOST_REQUIRE(Pool.Leader->state().findJob("ended")->Compacted);
  for (int Election = 0; Election < 2; ++Election) {
    Pool.elect();
    Pool.advance(Second);
    for (const char *Id : {"open", "ended"}) {
      BOOST_CHECK(Pool.queryAs("north", Id) == verdict::Ok);
      BOOST_CHECK(Pool.queryAs("south", Id) == verdict::Forbidden);
    }
  }
}

// A version that removes or renames a customer while its jobs run must neither
// end the jobs nor hide them from their callers.
BOOST_AUTO_TEST_CASE(renamed_customer_reaches_its_jobs) {
  shared_pool Pool;
  BOOST_REQUIRE(Pool.submitAs("north", "a", 3000));
  ++Pool.Rules.Version;
  Pool.Rules.Customers->front().Name = "north-county";
  Pool.Leader->setRules(Pool.Rules);
  Pool.elect();
  Pool.advance(Second);
  BOOST_CHECK(Pool.queryAs("north-county", "a") == verdict::Ok);
  Pool.advance(4 * Second);
  BOOST_CHECK(Pool.stateOf("a") == job_state::Completed);
  checkNoViolations(Pool);
}

// Records of jobs without a customer must stay as they were, since earlier
// versions of the program read them during a rolling update.
BOOST_AUTO_TEST_CASE(record_without_a_customer_has_no_further_field) {
  galenalink::job::job Plain{"a", "press", "press",
                             makeJob({makeStep(1, 1000, 100)}), 1000};
  Plain.setRule({}, 1);
  galenalink::job::job Owned = Plain;
  Owned.setCustomer("north");
  BOOST_TEST(toRecord(Plain).size() < toRecord(Owned).size());
  BOOST_TEST(parseJob("a", toRecord(Plain))->customer().empty());
  const auto Restored = parseJob("a", toRecord(Owned));
  BOOST_TEST(Restored->customer() == "north");
  BOOST_TEST(Restored->rule() != nullptr);
  Owned.setFormerPools({"former"});
  BOOST_TEST(parseJob("a", toRecord(Owned))->formerPools().size() == 1U);
  BOOST_TEST(parseJob("a", toRecord(Owned))->customer() == "north");
}

BOOST_AUTO_TEST_SUITE_END()
