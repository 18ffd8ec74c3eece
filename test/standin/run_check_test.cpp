#include "standin/run_check.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink::standin;

namespace {

sent_request complete(std::string Key) {
  return {std::move(Key), "body", false, true, "body", 0};
}

} // namespace

BOOST_AUTO_TEST_SUITE(run_check)

// Guards against a checker that accepts everything: each fault is counted
// once and only where it belongs.
BOOST_AUTO_TEST_CASE(each_fault_is_counted) {
  BOOST_TEST(checkRuns({complete("a")}, {{"a", 10, true}}).good());
  BOOST_TEST(!checkRuns({}, {}).good());

  auto Unanswered = complete("a");
  Unanswered.Complete = false;
  BOOST_TEST(checkRuns({Unanswered}, {{"a", 10, true}}).Lost == 1U);

  const std::vector<reported_run> Twice{{"a", 10, true}, {"a", 12, true}};
  BOOST_TEST(checkRuns({complete("a")}, Twice).Doubled == 1U);
  auto Idempotent = complete("a");
  Idempotent.Idempotent = true;
  BOOST_TEST(checkRuns({Idempotent}, Twice).good());
  BOOST_TEST(checkRuns({Idempotent}, Twice).Repeated == 1U);

  auto Foreign = complete("a");
  Foreign.Answer = "other";
  BOOST_TEST(checkRuns({Foreign}, {{"a", 10, true}}).Wrong == 1U);
  BOOST_TEST(checkRuns({complete("a")}, {}).Wrong == 1U);
  BOOST_TEST(checkRuns({complete("a")}, {{"a", 10, false}}).Wrong == 1U);
  BOOST_TEST(
      checkRuns({complete("a")}, {{"a", 10, true}, {"b", 10, true}}).Wrong ==
      1U);
}

// Guards against a refusal as not run of a request that was already started.
BOOST_AUTO_TEST_CASE(a_run_before_a_refusal_is_wrong) {
  auto Refused = complete("a");
  Refused.NotRunAt = 20;
  BOOST_TEST(checkRuns({Refused}, {{"a", 19, true}}).Wrong == 1U);
  BOOST_TEST(checkRuns({Refused}, {{"a", 20, true}}).good());
}

BOOST_AUTO_TEST_SUITE_END()
