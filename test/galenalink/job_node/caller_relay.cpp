#include "galenalink/job_node/caller_relay.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::job_node;
using job::caller_reply;

namespace {

constexpr duration Millisecond = std::chrono::milliseconds{1};
using verdict = caller_reply::verdict;

struct sent_call {
  relay_target To;
  std::function<void(relay_answer)> Answer;
};

struct relay {
  time_point Now{std::chrono::seconds{10}};
  std::vector<sent_call> Sent;
  std::vector<caller_reply> Replies;
  caller_relay Relay{
      {[this] { return Now; },
       [this](const relay_target &To, const caller_call &, time_point,
              std::function<void(relay_answer)> Answer) {
         Sent.push_back({To, std::move(Answer)});
       }}};

  void submit() {
    caller_call Call;
    Call.Kind = call_kind::Submit;
    Call.Job = "0123456789abcdef";
    Call.Deadline = Now + 2000 * Millisecond;
    Relay.call(Call,
               [this](const caller_reply &Reply) { Replies.push_back(Reply); });
  }
  void advance(const int Ms) {
    for (int I = 0; I < Ms; I += 10) {
      Now += 10 * Millisecond;
      Relay.tick();
    }
  }
};

caller_reply replyOf(const verdict Verdict) {
  caller_reply Reply;
  Reply.Verdict = Verdict;
  return Reply;
}

const relay_target First{1, "a", "a:1"};
const relay_target Second{2, "b", "b:1"};

} // namespace

BOOST_AUTO_TEST_SUITE(calls_across_leaders)

// Callers were refused and came back a second later, although the next leader
// was there within a third of that.
BOOST_AUTO_TEST_CASE(call_waits_for_the_next_leader) {
  relay Relay;
  Relay.submit();
  Relay.advance(300);
  BOOST_TEST(Relay.Replies.empty());
  Relay.Relay.leaderChanged(First);
  BOOST_REQUIRE(Relay.Sent.size() == 1U);
  Relay.Sent[0].Answer(replyOf(verdict::Ok));
  BOOST_REQUIRE(Relay.Replies.size() == 1U);
  BOOST_CHECK(Relay.Replies[0].Verdict == verdict::Ok);
}

// A call that cannot be served must be refused soon, and was not run.
BOOST_AUTO_TEST_CASE(call_without_a_leader_is_refused) {
  relay Relay;
  Relay.submit();
  Relay.advance(450);
  BOOST_REQUIRE(Relay.Replies.size() == 1U);
  BOOST_CHECK(Relay.Replies[0].Verdict == verdict::Refused);
  BOOST_TEST(Relay.Replies[0].RetryAfterMs > 0U);
  BOOST_TEST(Relay.Relay.idle());
}

// Calls to a leader that lost power hung for two seconds, although its
// successor could have answered.
BOOST_AUTO_TEST_CASE(unanswered_call_goes_to_the_successor) {
  relay Relay;
  Relay.Relay.leaderChanged(First);
  Relay.submit();
  Relay.advance(600);
  Relay.Relay.leaderChanged(Second);
  BOOST_REQUIRE(Relay.Sent.size() == 2U);
  BOOST_TEST(Relay.Sent[1].To.Address == "b:1");
  Relay.Sent[1].Answer(replyOf(verdict::Ok));
  Relay.Sent[0].Answer(relay_failure::Unknown);
  BOOST_TEST(Relay.Replies.size() == 1U);
}

// A call that a leader may have taken must never be called not run for want of
// a leader.
BOOST_AUTO_TEST_CASE(call_that_may_be_taken_is_not_refused) {
  relay Relay;
  Relay.Relay.leaderChanged(First);
  Relay.submit();
  Relay.Sent[0].Answer(relay_failure::Unknown);
  Relay.Relay.leaderChanged({});
  Relay.advance(2500);
  BOOST_TEST(Relay.Replies.empty());
  BOOST_TEST(Relay.Relay.idle());
}

// A send that had no answer may reach the same leader after a repeat was
// refused there, and be accepted: the refusal does not hold for both.
BOOST_AUTO_TEST_CASE(refusal_after_a_lost_send_promises_nothing) {
  relay Relay;
  Relay.Relay.leaderChanged(First);
  Relay.submit();
  Relay.Sent[0].Answer(relay_failure::Unknown);
  Relay.advance(100);
  BOOST_REQUIRE(Relay.Sent.size() == 2U);
  Relay.Sent[1].Answer(replyOf(verdict::Refused));
  BOOST_REQUIRE(Relay.Replies.size() == 1U);
  BOOST_CHECK(Relay.Replies[0].Verdict == verdict::Unknown);
}

// What a successor refuses can't be accepted by the leader before it any more,
// since nothing of that one is stored.
BOOST_AUTO_TEST_CASE(refusal_of_the_successor_holds) {
  relay Relay;
  Relay.Relay.leaderChanged(First);
  Relay.submit();
  Relay.Sent[0].Answer(relay_failure::Unknown);
  Relay.Relay.leaderChanged(Second);
  BOOST_REQUIRE(Relay.Sent.size() == 2U);
  Relay.Sent[1].Answer(replyOf(verdict::Refused));
  BOOST_REQUIRE(Relay.Replies.size() == 1U);
  BOOST_CHECK(Relay.Replies[0].Verdict == verdict::Refused);
}

// A node that is elected takes calls only once it has recovered.
BOOST_AUTO_TEST_CASE(call_that_was_not_taken_is_sent_again) {
  relay Relay;
  Relay.Relay.leaderChanged(First);
  Relay.submit();
  Relay.Sent[0].Answer(relay_failure::NotTaken);
  Relay.advance(100);
  BOOST_REQUIRE(Relay.Sent.size() == 2U);
  Relay.Sent[1].Answer(replyOf(verdict::Refused));
  BOOST_TEST(Relay.Replies.size() == 1U);
}

// The refusal of a leader that was replaced meanwhile says nothing of what its
// successor did with the call.
BOOST_AUTO_TEST_CASE(late_refusal_of_the_last_leader_is_ignored) {
  relay Relay;
  Relay.Relay.leaderChanged(First);
  Relay.submit();
  Relay.Relay.leaderChanged(Second);
  Relay.Sent[0].Answer(replyOf(verdict::Refused));
  BOOST_TEST(Relay.Replies.empty());
  Relay.Sent[1].Answer(replyOf(verdict::Ok));
  BOOST_REQUIRE(Relay.Replies.size() == 1U);
  BOOST_CHECK(Relay.Replies[0].Verdict == verdict::Ok);
}

BOOST_AUTO_TEST_SUITE_END()
