#include "codec.hpp"
#include "deep_array.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::job;
using namespace galenalink::test;
using namespace galenalink::users_platform;

BOOST_AUTO_TEST_SUITE(odd_job_bodies)

std::optional<job_spec> parseSteps(const std::string_view Steps) {
  return parseJobBody(R"({"steps":[)" + std::string{Steps} + "]}");
}

// A job is read by every leader after it was stored, so one that no leader can
// hold or that never completes must be rejected before.
BOOST_AUTO_TEST_CASE(steps_that_cannot_run_are_rejected) {
  BOOST_TEST(parseSteps(R"({"count":20000,"cpu":1})").has_value());
  for (const std::string_view Steps :
       {"",
        R"({"count":0})",
        R"({"count":-1})",
        R"({"count":4294967296})",
        R"({"count":4294967295})",
        R"({"count":20001})",
        R"({"count":10001},{"count":10000})",
        R"({"count":1e300})",
        R"({"count":1,"cpu":-1})",
        R"({"count":1,"memMb":1e300})",
        R"({"count":1,"gpu":9223372036854775807})",
        R"({"count":1,"estimateMs":-1})",
        R"({"count":1,"antiAffinity":-1})",
        R"({"count":1,"dependsOn":[0]})",
        R"({"count":1,"dependsOn":[-1]})",
        R"({"count":1,"dependsOn":[1]},{"count":1,"dependsOn":[0]})",
        R"({"count":1},{"count":1,"dependsOn":[4294967296]})",
        R"({"count":1,"gang":1})",
        R"({"count":1,"requirements":4})",
        "7"})
    BOOST_TEST(!parseSteps(Steps), "accepted: " << Steps);
}

// Sizes and times beyond the limits overflowed sums, or made the leader open
// billions of occurrences at once.
BOOST_AUTO_TEST_CASE(values_beyond_the_limits_are_rejected) {
  const auto Body = [](const std::string &Fields) {
    return parseJobBody(R"({"steps":[{"count":1}],)" + Fields + "}");
  };
  BOOST_TEST(Body("\"spec\":\"" + std::string(4000, 's') + "\"").has_value());
  BOOST_TEST(!Body("\"spec\":\"" + std::string(4001, 's') + "\""));
  BOOST_TEST(
      Body(R"("times":1000000,"startAtMs":1,"intervalMs":1000)").has_value());
  for (const std::string_view Fields :
       {R"("times":4294967295)", R"("times":-1)", R"("times":1e300)",
        R"("startAtMs":9223372036854775807)", R"("startAtMs":-1)",
        R"("times":2,"intervalMs":-1)", R"("spec":7)"})
    BOOST_TEST(!Body(std::string{Fields}), "accepted: " << Fields);
  const std::string Long(300, 'l');
  BOOST_TEST(!parseSteps(R"({"count":1,"image":")" + Long + "\"}"));
  BOOST_TEST(!parseSteps(R"({"count":1,"affinity":")" + Long + "\"}"));
  std::string Many = R"({"count":1})";
  for (int I = 0; I < 2000; ++I)
    Many += R"(,{"count":1})";
  BOOST_TEST(!parseSteps(Many));
}

// Nesting beyond what the format needs is rejected before the body is decoded.
BOOST_AUTO_TEST_CASE(deeply_nested_body_is_rejected) {
  BOOST_TEST(!parseJobBody(deepArray()));
  BOOST_TEST(
      !parseJobBody(R"({"steps":[{"count":1}],"other":)" + deepArray() + "}"));
}

BOOST_AUTO_TEST_SUITE_END()
