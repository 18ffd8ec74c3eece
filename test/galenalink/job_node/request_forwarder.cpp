#include "galenalink/job_node/request_forwarder.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::job_node;
using job::caller_reply;

namespace {

constexpr duration Millisecond = std::chrono::milliseconds{1};
using verdict = caller_reply::verdict;

constexpr std::size_t MaxOpenBytes = 100'000;

struct sent_request {
  forward_target To;
  bool BodyWithheld{false};
  std::function<void(forward_result)> Respond;
};

struct forwarder_fixture {
  time_point Now{std::chrono::seconds{10}};
  std::vector<sent_request> Sent;
  std::vector<caller_reply> Replies;
  request_forwarder Forwarder{
      {[this] { return Now; },
       [this](const forward_target &To, const caller_request &Request,
              time_point, std::function<void(forward_result)> Respond) {
         Sent.push_back({To, Request.BodyWithheld, std::move(Respond)});
       }},
      MaxOpenBytes};

  void submit(const std::size_t SpecBytes = 0) {
    caller_request Request;
    Request.Kind = request_kind::Submit;
    Request.Spec.Spec = std::string(SpecBytes, 's');
    Request.Job = "0123456789abcdef";
    Request.Deadline = Now + 2000 * Millisecond;
    Forwarder.forward(Request, [this](const caller_reply &Reply) {
      Replies.push_back(Reply);
    });
  }
  void advance(const int Ms) {
    for (int I = 0; I < Ms; I += 10) {
      Now += 10 * Millisecond;
      Forwarder.tick();
    }
  }
};

caller_reply replyOf(const verdict Verdict) {
  caller_reply Reply;
  Reply.Verdict = Verdict;
  return Reply;
}

const forward_target FirstLeader{1, "a", "a:1"};
const forward_target SecondLeader{2, "b", "b:1"};

} // namespace

BOOST_AUTO_TEST_SUITE(requests_across_leader_changes)

// Guards against refusing a request during a leader change: the caller would
// retry after 1 s although the next leader is elected within a third of that.
BOOST_AUTO_TEST_CASE(request_waits_for_the_next_leader) {
  forwarder_fixture Fixture;
  Fixture.submit();
  Fixture.advance(300);
  BOOST_TEST(Fixture.Replies.empty());
  Fixture.Forwarder.setLeader(FirstLeader);
  BOOST_REQUIRE(Fixture.Sent.size() == 1U);
  Fixture.Sent[0].Respond(replyOf(verdict::Ok));
  BOOST_REQUIRE(Fixture.Replies.size() == 1U);
  BOOST_CHECK(Fixture.Replies[0].Verdict == verdict::Ok);
}

// Guards against leaving the caller waiting when there is no leader. A refusal
// means that the job does not run.
BOOST_AUTO_TEST_CASE(request_without_a_leader_is_refused) {
  forwarder_fixture Fixture;
  Fixture.submit();
  Fixture.advance(450);
  BOOST_REQUIRE(Fixture.Replies.size() == 1U);
  BOOST_CHECK(Fixture.Replies[0].Verdict == verdict::Refused);
  BOOST_TEST(Fixture.Replies[0].RetryAfterMs > 0U);
  BOOST_TEST(Fixture.Forwarder.idle());
}

// Guards against requests that hang for 2 s on a leader that lost power
// although its successor could reply.
BOOST_AUTO_TEST_CASE(unanswered_request_is_sent_to_the_successor) {
  forwarder_fixture Fixture;
  Fixture.Forwarder.setLeader(FirstLeader);
  Fixture.submit();
  Fixture.advance(600);
  Fixture.Forwarder.setLeader(SecondLeader);
  BOOST_REQUIRE(Fixture.Sent.size() == 2U);
  BOOST_TEST(Fixture.Sent[1].To.Address == "b:1");
  Fixture.Sent[1].Respond(replyOf(verdict::Ok));
  Fixture.Sent[0].Respond(forward_failure::Unknown);
  BOOST_TEST(Fixture.Replies.size() == 1U);
}

// Guards against refusing a request, which promises that the job does not run,
// after a leader may have accepted it.
BOOST_AUTO_TEST_CASE(request_that_may_be_accepted_is_not_refused) {
  forwarder_fixture Fixture;
  Fixture.Forwarder.setLeader(FirstLeader);
  Fixture.submit();
  Fixture.Sent[0].Respond(forward_failure::Unknown);
  Fixture.Forwarder.setLeader({});
  Fixture.advance(2500);
  BOOST_TEST(Fixture.Replies.empty());
  BOOST_TEST(Fixture.Forwarder.idle());
}

// Guards against passing on the refusal of a retry: the first send, which got
// no response, may still reach the same leader and be accepted.
BOOST_AUTO_TEST_CASE(refusal_after_an_unanswered_send_is_unknown) {
  forwarder_fixture Fixture;
  Fixture.Forwarder.setLeader(FirstLeader);
  Fixture.submit();
  Fixture.Sent[0].Respond(forward_failure::Unknown);
  Fixture.advance(100);
  BOOST_REQUIRE(Fixture.Sent.size() == 2U);
  Fixture.Sent[1].Respond(replyOf(verdict::Refused));
  BOOST_REQUIRE(Fixture.Replies.size() == 1U);
  BOOST_CHECK(Fixture.Replies[0].Verdict == verdict::Unknown);
}

// Guards against reporting an unknown outcome after a leader change: the
// previous leader can no longer accept the request, since its writes are
// fenced.
BOOST_AUTO_TEST_CASE(refusal_by_the_successor_is_final) {
  forwarder_fixture Fixture;
  Fixture.Forwarder.setLeader(FirstLeader);
  Fixture.submit();
  Fixture.Sent[0].Respond(forward_failure::Unknown);
  Fixture.Forwarder.setLeader(SecondLeader);
  BOOST_REQUIRE(Fixture.Sent.size() == 2U);
  Fixture.Sent[1].Respond(replyOf(verdict::Refused));
  BOOST_REQUIRE(Fixture.Replies.size() == 1U);
  BOOST_CHECK(Fixture.Replies[0].Verdict == verdict::Refused);
}

// Guards against losing a request sent to a newly elected node, which accepts
// requests only after its recovery.
BOOST_AUTO_TEST_CASE(request_that_was_not_accepted_is_retried) {
  forwarder_fixture Fixture;
  Fixture.Forwarder.setLeader(FirstLeader);
  Fixture.submit();
  Fixture.Sent[0].Respond(forward_failure::NotAccepted);
  Fixture.advance(100);
  BOOST_REQUIRE(Fixture.Sent.size() == 2U);
  Fixture.Sent[1].Respond(replyOf(verdict::Refused));
  BOOST_TEST(Fixture.Replies.size() == 1U);
}

// Guards against passing on the refusal of a leader that has been replaced: its
// successor may accept the request.
BOOST_AUTO_TEST_CASE(late_refusal_by_the_previous_leader_is_ignored) {
  forwarder_fixture Fixture;
  Fixture.Forwarder.setLeader(FirstLeader);
  Fixture.submit();
  Fixture.Forwarder.setLeader(SecondLeader);
  Fixture.Sent[0].Respond(replyOf(verdict::Refused));
  BOOST_TEST(Fixture.Replies.empty());
  Fixture.Sent[1].Respond(replyOf(verdict::Ok));
  BOOST_REQUIRE(Fixture.Replies.size() == 1U);
  BOOST_CHECK(Fixture.Replies[0].Verdict == verdict::Ok);
}

// Callers came back to an overloaded leader with kilobytes of specification
// that it refused again; on a slow link they delayed its heartbeats and
// appends.
BOOST_AUTO_TEST_CASE(body_is_withheld_from_a_leader_that_refuses) {
  forwarder_fixture Fixture;
  Fixture.Forwarder.setLeader(FirstLeader);
  Fixture.submit();
  BOOST_REQUIRE(Fixture.Sent.size() == 1U);
  BOOST_TEST(!Fixture.Sent[0].BodyWithheld);
  Fixture.Sent[0].Respond(replyOf(verdict::Refused));
  Fixture.submit();
  BOOST_REQUIRE(Fixture.Sent.size() == 2U);
  BOOST_TEST(Fixture.Sent[1].BodyWithheld);
  Fixture.Sent[1].Respond(replyOf(verdict::BodyNeeded));
  BOOST_REQUIRE(Fixture.Sent.size() == 3U);
  BOOST_TEST(!Fixture.Sent[2].BodyWithheld);
  Fixture.Sent[2].Respond(replyOf(verdict::Ok));
  BOOST_REQUIRE(Fixture.Replies.size() == 2U);
  BOOST_CHECK(Fixture.Replies[1].Verdict == verdict::Ok);
  Fixture.advance(1100);
  Fixture.submit();
  BOOST_REQUIRE(Fixture.Sent.size() == 4U);
  BOOST_TEST(!Fixture.Sent[3].BodyWithheld);
}

// A leader of an earlier version rejects a submission without a body; it must
// get the body with the repeat.
BOOST_AUTO_TEST_CASE(body_is_sent_after_a_failure) {
  forwarder_fixture Fixture;
  Fixture.Forwarder.setLeader(FirstLeader);
  Fixture.submit();
  Fixture.Sent[0].Respond(replyOf(verdict::Refused));
  Fixture.submit();
  BOOST_REQUIRE(Fixture.Sent.size() == 2U);
  BOOST_TEST(Fixture.Sent[1].BodyWithheld);
  Fixture.Sent[1].Respond(forward_failure::Unknown);
  Fixture.advance(100);
  BOOST_REQUIRE(Fixture.Sent.size() == 3U);
  BOOST_TEST(!Fixture.Sent[2].BodyWithheld);
}

// Requests that wait for a leader that does not answer took all memory of the
// process. A refused one has not been sent.
BOOST_AUTO_TEST_CASE(requests_beyond_the_memory_are_refused) {
  forwarder_fixture Fixture;
  Fixture.Forwarder.setLeader(FirstLeader);
  Fixture.submit(MaxOpenBytes / 2);
  Fixture.submit(MaxOpenBytes / 2);
  BOOST_REQUIRE(Fixture.Replies.size() == 1U);
  BOOST_CHECK(Fixture.Replies[0].Verdict == verdict::Refused);
  BOOST_TEST(Fixture.Sent.size() == 1U);
  BOOST_TEST(Fixture.Forwarder.refused() == 1U);
  Fixture.Sent[0].Respond(replyOf(verdict::Ok));
  BOOST_TEST(Fixture.Forwarder.openBytes() == 0U);
  Fixture.submit(MaxOpenBytes / 2);
  BOOST_TEST(Fixture.Sent.size() == 2U);
  Fixture.advance(3000);
  BOOST_TEST(Fixture.Forwarder.openBytes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
