#include "galenalink/job/customer_rates.hpp"
#include "customer_rules.hpp"
#include "one_pool.hpp"

using namespace galenalink;
using namespace galenalink::job;
using namespace galenalink::test;

namespace {

constexpr double JobsPerSecond = 2;
constexpr duration Window = 5 * Second;
constexpr int JobsPerWindow = 10;

struct claims {
  customer_rates Rates{Window};
  time_point Now{1000 * Second};
  int Jobs{0};

  bool claim(const std::string &Job) {
    return Rates.claim("north", JobsPerSecond, Job, Now);
  }
  /** @return Number of new jobs within the rate, of the given number. */
  int claimNew(const int Count) {
    int Within = 0;
    for (int I = 0; I < Count; ++I)
      Within += claim("j" + std::to_string(Jobs++)) ? 1 : 0;
    return Within;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(rates_of_customers)

// A window that starts at fixed times lets twice the rate pass around the
// change from one to the next.
BOOST_AUTO_TEST_CASE(no_span_of_the_window_has_more_jobs) {
  claims Claims;
  std::deque<time_point> Granted;
  for (int I = 0; I < 400; ++I) {
    Claims.Now += 50 * Millisecond;
    if (Claims.claimNew(3) > 0)
      Granted.push_back(Claims.Now);
    while (!Granted.empty() && Granted.front() + Window <= Claims.Now)
      Granted.pop_front();
    BOOST_TEST(Granted.size() <= static_cast<std::size_t>(JobsPerWindow));
  }
}

// Callers repeat a job that was refused. The repeat must neither use up the
// rate again nor lose the claim of the first attempt.
BOOST_AUTO_TEST_CASE(repeats_count_once) {
  claims Claims;
  BOOST_TEST(Claims.claim("repeated"));
  BOOST_TEST(Claims.claimNew(JobsPerWindow) == JobsPerWindow - 1);
  BOOST_TEST(Claims.claim("repeated"));
  BOOST_TEST(!Claims.claim("another"));
}

// The time given to a refused caller must be the one at which its job is within
// the rate, not earlier and not much later.
BOOST_AUTO_TEST_CASE(next_claim_time_holds) {
  claims Claims;
  BOOST_TEST(Claims.claimNew(JobsPerWindow) == JobsPerWindow);
  const time_point Next =
      Claims.Rates.nextClaimAt("north", JobsPerSecond, Claims.Now);
  Claims.Now = Next - 1 * Millisecond;
  BOOST_TEST(!Claims.claim("early"));
  Claims.Now = Next;
  BOOST_TEST(Claims.claim("on time"));
}

BOOST_AUTO_TEST_CASE(customer_without_a_rate_has_no_limit) {
  customer_rates Rates{Window};
  const time_point Now{1000 * Second};
  for (int I = 0; I < 100; ++I) {
    BOOST_TEST(Rates.claim("north", 0, std::to_string(I), Now));
    BOOST_TEST(Rates.claim("", 1, std::to_string(I), Now));
  }
}

// A new leader that counted from zero would grant a second burst after each
// election.
BOOST_AUTO_TEST_CASE(election_grants_no_second_burst) {
  simulated_platform Platform;
  addCustomer(Platform.Rules, "north", JobsPerSecond);
  Platform.Rules.Version = 2;
  // A pool that a burst fills, so that jobs beyond the rate are refused.
  Platform.addServer("s0", "press", 1000);
  Platform.elect();
  Platform.advance(Second);
  const auto Submit = [&](const std::string &Id) {
    return Platform.submit("press", Id, makeJob({makeStep(1, 1000, 100)}), 0,
                           "north");
  };
  int Accepted = 0;
  for (int I = 0; I < 2 * JobsPerWindow; ++I)
    Accepted +=
        Submit("a" + std::to_string(I))->Verdict == caller_reply::verdict::Ok
            ? 1
            : 0;
  BOOST_TEST(Accepted >= JobsPerWindow);
  BOOST_REQUIRE(!Platform.Leader->state().Rates.claim("north", JobsPerSecond,
                                                      "b", Platform.Now));
  Platform.elect();
  Platform.advance(Second);
  BOOST_TEST(!Platform.Leader->state().Rates.claim("north", JobsPerSecond, "c",
                                                   Platform.Now));
  Platform.advance(Window);
  BOOST_TEST(Platform.Leader->state().Rates.claim("north", JobsPerSecond, "d",
                                                  Platform.Now));
}

BOOST_AUTO_TEST_SUITE_END()
