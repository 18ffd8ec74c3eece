#include "galenalink/job/election.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::job;

namespace {

constexpr time_point Start{std::chrono::seconds{100}};
constexpr duration Second = std::chrono::seconds{1};

election node(const std::string &Name) {
  election_settings Settings;
  Settings.Node = Name;
  Settings.Address = Name + ":1";
  Settings.StartedAt = Start;
  return election{Settings};
}

leader_record claim(const std::string &Name) {
  return {leader_record::kind::Claim, Name, Name + ":1", 0};
}

} // namespace

BOOST_AUTO_TEST_SUITE(leader_election)

// A node that may use little processor time must not lead a large fleet while
// one with more is there.
BOOST_AUTO_TEST_CASE(nodes_with_more_cpu_claim_first) {
  BOOST_CHECK(claimDelay(0.12, 0) > claimDelay(0.5, 249));
  BOOST_CHECK(claimDelay(0.25, 0) == claimDelay(0.5, 0));
  // Weak nodes alone still get a leader soon.
  BOOST_CHECK(claimDelay(0, 249) < Second);
}

// Records must survive the way through the store.
BOOST_AUTO_TEST_CASE(record_round_trip) {
  const leader_record Record{leader_record::kind::Release, "a", "b:2", 7};
  const auto Parsed = parseLeader(toText(Record));
  BOOST_REQUIRE(Parsed);
  BOOST_CHECK(Parsed->Kind == Record.Kind);
  BOOST_TEST(Parsed->Node == "a");
  BOOST_TEST(Parsed->Address == "b:2");
  BOOST_TEST(Parsed->Epoch == 7U);
  BOOST_TEST(!parseLeader("{"));
}

// Two claims at one offset must not both start an epoch.
BOOST_AUTO_TEST_CASE(later_claim_deposes_earlier_leader) {
  election A = node("a");
  A.readSucceeded(0, Start);
  A.claimed(0, Start);
  BOOST_TEST(A.leads());
  BOOST_TEST(A.current().Epoch == 1U);
  A.applyRecord(1, claim("b"), Start);
  BOOST_TEST(!A.leads());
  BOOST_TEST(A.current().Epoch == 2U);
}

// A node whose claim had no answer must find it in the log, or nobody leads.
BOOST_AUTO_TEST_CASE(unanswered_claim_is_found_in_the_log) {
  election A = node("a");
  A.applyRecord(4, claim("a"), Start);
  BOOST_TEST(A.leads());
  BOOST_TEST(A.current().Epoch == 5U);
}

// Silence must not count while the node can't read the log: with the store
// down for all, every node would claim at its return.
BOOST_AUTO_TEST_CASE(election_timeout_runs_only_while_reading) {
  election B = node("b");
  B.applyRecord(0, claim("a"), Start);
  B.readSucceeded(1, Start);
  B.readFailed();
  BOOST_CHECK(B.next(Start + 20 * Second) == election_action::None);
  B.readSucceeded(1, Start + 20 * Second);
  BOOST_CHECK(B.next(Start + 21 * Second) == election_action::None);
  BOOST_CHECK(B.next(Start + 22 * Second) == election_action::Claim);
}

// A released lead, or one whose process has ended, is claimed at once.
BOOST_AUTO_TEST_CASE(dead_leader_is_replaced_immediately) {
  election B = node("b");
  B.applyRecord(0, claim("a"), Start);
  B.readSucceeded(1, Start);
  BOOST_CHECK(B.next(Start + Second) == election_action::None);
  B.presumeDead(1);
  BOOST_CHECK(B.next(Start + Second) == election_action::Claim);
}

// A leader whose VM lost power is not waited for as long as one that answers
// while its appends are late.
BOOST_AUTO_TEST_CASE(unreachable_leader_is_replaced_sooner) {
  election B = node("b");
  B.applyRecord(0, claim("a"), Start);
  B.readSucceeded(1, Start);
  const time_point Soon = Start + std::chrono::milliseconds{1250};
  BOOST_CHECK(B.next(Soon) == election_action::None);
  B.markUnreachable(1);
  BOOST_CHECK(B.next(Soon) == election_action::Claim);
  BOOST_CHECK(B.next(Start + Second) == election_action::None);
  // A sign of life shows that only the way to its node was cut.
  B.applyRecord(1, {leader_record::kind::Heartbeat, "a", "a:1", 1}, Soon);
  BOOST_CHECK(B.next(Soon + Second + Second / 2) == election_action::None);
}

// When nodes are restarted in turn, the lead went to nodes that were to be
// restarted next.
BOOST_AUTO_TEST_CASE(restarted_nodes_claim_before_old_ones) {
  election_settings Settings;
  Settings.Node = "old";
  Settings.StartedAt = Start - 40 * Second;
  election Old{Settings};
  Settings.Node = "new";
  Settings.StartedAt = Start - Second;
  election New{Settings};
  for (election *Each : {&Old, &New}) {
    Each->applyRecord(0, claim("a"), Start);
    Each->readSucceeded(1, Start);
    Each->presumeDead(1);
  }
  BOOST_CHECK(New.claimAt(Start) < Old.claimAt(Start));
}

// Stale news of an earlier leader's end must not depose the present one.
BOOST_AUTO_TEST_CASE(probe_of_old_epoch_does_not_affect_new_leader) {
  election B = node("b");
  B.applyRecord(0, claim("a"), Start);
  B.applyRecord(1, claim("c"), Start);
  B.readSucceeded(2, Start);
  B.presumeDead(1);
  BOOST_CHECK(B.next(Start + Second) == election_action::None);
}

// A leader must show signs of life well before others claim.
BOOST_AUTO_TEST_CASE(leader_sends_heartbeats) {
  election A = node("a");
  A.readSucceeded(0, Start);
  A.claimed(0, Start);
  BOOST_CHECK(A.next(Start + Second / 2) == election_action::None);
  BOOST_CHECK(A.next(Start + Second) == election_action::Heartbeat);
  A.heartbeatSent(Start + Second);
  BOOST_CHECK(A.next(Start + Second) == election_action::None);
}

BOOST_AUTO_TEST_SUITE_END()
