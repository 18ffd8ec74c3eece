#include "galenalink/job/access.hpp"
#include "customer_rules.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::job;
using namespace galenalink::test;

namespace {

/** @brief Rules with two customers, a queue `press` and a public queue. */
struct two_customers {
  fleet_rules Rules;
  queue_rule Press;
  queue_rule Notices;

  two_customers() {
    addCustomer(Rules, "north");
    addCustomer(Rules, "south");
    Press.Name = "press";
    Notices.Name = "notices";
    Notices.Public = true;
  }

  [[nodiscard]] access_decision check(const queue_rule &Queue,
                                      const std::string &Key) const {
    return checkAccess(Rules, key_index{Rules}, Queue, Key);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(access_of_callers)

// Guards against requests that are served without a key or with one that no
// customer has, and against work that is charged to the wrong customer.
BOOST_AUTO_TEST_CASE(key_decides_the_customer) {
  const two_customers Setup;
  BOOST_CHECK(Setup.check(Setup.Press, "north-key") ==
              (access_decision{access_verdict::Granted, "north"}));
  BOOST_CHECK(Setup.check(Setup.Press, "south-key") ==
              (access_decision{access_verdict::Granted, "south"}));
  for (const char *Key : {"", "north", "north-key ", "NORTH-KEY"})
    BOOST_CHECK(Setup.check(Setup.Press, Key).Verdict ==
                access_verdict::UnknownKey);
}

// A public queue must be served without a key, and its jobs belong to nobody
// even if the caller sends one.
BOOST_AUTO_TEST_CASE(public_queue_needs_no_key) {
  const two_customers Setup;
  for (const char *Key : {"", "unknown", "north-key"})
    BOOST_CHECK(Setup.check(Setup.Notices, Key) ==
                (access_decision{access_verdict::Granted, ""}));
}

// A configuration without customers must be served as before there were any.
// One with an empty list has customers, none of which has a key.
BOOST_AUTO_TEST_CASE(rules_without_customers_need_no_key) {
  two_customers Setup;
  Setup.Rules.Customers.reset();
  BOOST_CHECK(Setup.check(Setup.Press, "").Verdict == access_verdict::Granted);
  Setup.Rules.Customers.emplace();
  BOOST_CHECK(Setup.check(Setup.Press, "").Verdict ==
              access_verdict::UnknownKey);
}

// An empty key in the rules must not admit callers without one.
BOOST_AUTO_TEST_CASE(empty_key_admits_nobody) {
  two_customers Setup;
  Setup.Rules.Customers->front().Keys = {""};
  BOOST_CHECK(Setup.check(Setup.Press, "").Verdict ==
              access_verdict::UnknownKey);
}

// Guards against a customer that reads or cancels the jobs of another one, also
// through a public queue.
BOOST_AUTO_TEST_CASE(jobs_are_accessible_to_their_owner) {
  const two_customers Setup;
  const job_ownership Job{"north", "press"};
  BOOST_TEST(mayAccess(Setup.Rules, Job, "press", "north"));
  BOOST_TEST(!mayAccess(Setup.Rules, Job, "press", "south"));
  BOOST_TEST(!mayAccess(Setup.Rules, Job, "notices", ""));
  BOOST_TEST(mayAccess(Setup.Rules, {"", "notices"}, "notices", ""));
}

// A version that renames a customer gives its keys another name. Its callers
// must still reach the jobs that they submitted before.
BOOST_AUTO_TEST_CASE(renamed_customer_keeps_its_jobs) {
  two_customers Setup;
  Setup.Rules.Customers->front().Name = "north-county";
  BOOST_TEST(
      mayAccess(Setup.Rules, {"north", "press"}, "press", "north-county"));
}

// A queue that becomes public must not hide the jobs that its callers submitted
// with a key.
BOOST_AUTO_TEST_CASE(queue_that_becomes_public_shows_its_jobs) {
  const two_customers Setup;
  BOOST_TEST(mayAccess(Setup.Rules, {"north", "press"}, "press", ""));
}

BOOST_AUTO_TEST_SUITE_END()
