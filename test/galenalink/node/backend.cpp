#include "galenalink/node/backend.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::node;

namespace {

const attempt_id Attempt{node_id{1}, 2};

http::answer response(const int Status, http::headers Headers) {
  return http::response{Status, std::move(Headers), "result"};
}

std::string recent(const std::string &Members) {
  return R"({"running": [], "leaving": false, "recent": [{"attempt": ")" +
         toString(Attempt) + "\", " + Members + "}]}";
}

} // namespace

BOOST_AUTO_TEST_SUITE(backend_answers)

// The answer of another attempt must never be handed to this caller.
BOOST_AUTO_TEST_CASE(answer_without_the_attempt_is_no_result) {
  const std::string Other = toString({node_id{1}, 3});
  BOOST_TEST((classify(Attempt, response(200, {})).End == run_end::Lost));
  BOOST_TEST(
      (classify(Attempt, response(200, {{"Galenalink-Attempt", Other}})).End ==
       run_end::Lost));
  BOOST_TEST((classify(Attempt, response(200, {{"Galenalink-Attempt",
                                                toString(Attempt)}}))
                  .End == run_end::Answered));
}

// A refusal counts as not run only if the backend server says so.
BOOST_AUTO_TEST_CASE(not_run_needs_the_header) {
  const http::header Echo{"Galenalink-Attempt", toString(Attempt)};
  BOOST_TEST((classify(Attempt, response(503, {Echo})).End == run_end::Failed));
  BOOST_TEST(
      (classify(Attempt, response(503, {Echo, {"Galenalink-Not-Run", "1"}}))
           .End == run_end::NotRun));
  const http::failure NotSent{http::delivery::NotSent, {}};
  const http::failure Unknown{http::delivery::Unknown, {}};
  BOOST_TEST((classify(Attempt, NotSent).End == run_end::NotRun));
  BOOST_TEST((classify(Attempt, Unknown).End == run_end::Lost));
}

// A finished attempt was once delivered with an empty answer because its data
// was looked up under another name.
BOOST_AUTO_TEST_CASE(status_entry_without_its_data_is_no_result) {
  const auto Recent = [](const std::string &Members) {
    return parseStatus(recent(Members))->Recent;
  };
  BOOST_TEST(Recent(R"("outcome": "complete")").empty());
  BOOST_TEST(Recent(R"("outcome": "complete", "data": "%%%%")").empty());
  BOOST_TEST(Recent(R"("outcome": "running", "data": "YWJj")").empty());
  const auto Found = Recent(R"("outcome": "complete", "data": "YWJj")");
  BOOST_REQUIRE(Found.size() == 1U);
  BOOST_TEST(Found[0].Body == "abc");
}

BOOST_AUTO_TEST_CASE(malformed_status_is_rejected) {
  for (const std::string Text :
       {"", "[]", "{}", R"({"running": 3})", R"({"running": [1], "recent")"})
    BOOST_TEST(!parseStatus(Text).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
