#include "galenalink/job/election.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::job;

namespace {

constexpr time_point Start{std::chrono::seconds{100}};
constexpr duration Second = std::chrono::seconds{1};

election makeElection(const std::string &Name) {
  election_settings Settings;
  Settings.Node = Name;
  Settings.Address = Name + ":1";
  Settings.StartedAt = Start;
  return election{Settings};
}

leader_record makeClaim(const std::string &Name) {
  return {leader_record::kind::Claim, Name, Name + ":1", 0};
}

} // namespace

BOOST_AUTO_TEST_SUITE(leader_election)

// Guards against a node with little CPU time leading a large fleet while a node
// with more is available.
BOOST_AUTO_TEST_CASE(nodes_with_more_cpu_claim_first) {
  BOOST_CHECK(claimDelay(0.12, 0) > claimDelay(0.5, 249));
  BOOST_CHECK(claimDelay(0.25, 0) == claimDelay(0.5, 0));
  // A fleet of nodes with little CPU time still elects a leader within a
  // second.
  BOOST_CHECK(claimDelay(0, 249) < Second);
}

// Guards against fields that are lost when a record is written and parsed.
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

// Guards against two leaders: a later claim must end the leadership of the
// earlier one.
BOOST_AUTO_TEST_CASE(later_claim_deposes_earlier_leader) {
  election A = makeElection("a");
  A.readSucceeded(0, Start);
  A.claimed(0, Start);
  BOOST_TEST(A.leads());
  BOOST_TEST(A.current().Epoch == 1U);
  A.applyRecord(1, makeClaim("b"), Start);
  BOOST_TEST(!A.leads());
  BOOST_TEST(A.current().Epoch == 2U);
}

// Guards against a fleet without a leader: a node whose claim had no response
// must recognize it in the log.
BOOST_AUTO_TEST_CASE(unanswered_claim_is_found_in_the_log) {
  election A = makeElection("a");
  A.applyRecord(4, makeClaim("a"), Start);
  BOOST_TEST(A.leads());
  BOOST_TEST(A.current().Epoch == 5U);
}

// A read of the log that was under way at the claim brought a leader back that
// had resigned since: it led its epoch a second time.
BOOST_AUTO_TEST_CASE(claim_read_after_the_resignation_is_ignored) {
  election A = makeElection("a");
  A.claimed(4, Start);
  BOOST_REQUIRE(A.leads());
  A.resign();
  A.applyRecord(4, makeClaim("a"), Start);
  BOOST_TEST(!A.leads());
}

// A late response to a claim that was read and superseded meanwhile made the
// node lead beside its successor.
BOOST_AUTO_TEST_CASE(late_response_to_a_superseded_claim_is_ignored) {
  election A = makeElection("a");
  A.applyRecord(4, makeClaim("a"), Start);
  A.applyRecord(5, makeClaim("b"), Start);
  A.claimed(4, Start + Second);
  BOOST_TEST(!A.leads());
  BOOST_TEST(A.current().Epoch == 6U);
  BOOST_TEST(A.current().Node == "b");
}

// The election timeout must not run while the node cannot read the log.
// Otherwise all nodes would claim at once after an outage of the store.
BOOST_AUTO_TEST_CASE(election_timeout_runs_only_while_reading) {
  election B = makeElection("b");
  B.applyRecord(0, makeClaim("a"), Start);
  B.readSucceeded(1, Start);
  B.readFailed();
  BOOST_CHECK(B.next(Start + 20 * Second) == election_action::None);
  B.readSucceeded(1, Start + 20 * Second);
  BOOST_CHECK(B.next(Start + 21 * Second) == election_action::None);
  BOOST_CHECK(B.next(Start + 22 * Second) == election_action::Claim);
}

// Guards against waiting for the election timeout when the leading process is
// known to have ended.
BOOST_AUTO_TEST_CASE(dead_leader_is_replaced_immediately) {
  election B = makeElection("b");
  B.applyRecord(0, makeClaim("a"), Start);
  B.readSucceeded(1, Start);
  BOOST_CHECK(B.next(Start + Second) == election_action::None);
  B.presumeDead(1, Start + Second);
  BOOST_CHECK(B.next(Start + Second) == election_action::Claim);
}

// A silent leader whose node reports that it has ended was replaced by
// whichever node asked first: the claim delays had passed since its last
// heartbeat, so that a node with little CPU time led a large fleet.
BOOST_AUTO_TEST_CASE(claim_delay_runs_from_the_report_that_a_leader_is_dead) {
  const auto MakeFollower = [](const double Cores) {
    election_settings Settings;
    Settings.Node = "b";
    Settings.StartedAt = Start;
    Settings.ClaimDelay = claimDelay(Cores, 0);
    election Follower{Settings};
    Follower.applyRecord(0, makeClaim("a"), Start);
    Follower.readSucceeded(1, Start);
    return Follower;
  };
  election Weak = MakeFollower(0.12);
  election Strong = MakeFollower(0.5);
  Weak.presumeDead(1, Start + Second);
  const time_point Later = Start + Second + Second / 5;
  Strong.presumeDead(1, Later);
  BOOST_CHECK(Weak.next(Later) == election_action::None);
  BOOST_CHECK(Strong.next(Later) == election_action::Claim);
  // A repeated report does not put off the claim.
  Weak.presumeDead(1, Later);
  BOOST_CHECK(Weak.next(Later + Second / 5) == election_action::Claim);
}

// A leader whose node does not respond, for example after a power loss of its
// VM, must be replaced sooner than one that responds but appends late.
BOOST_AUTO_TEST_CASE(unreachable_leader_is_replaced_sooner) {
  election B = makeElection("b");
  B.applyRecord(0, makeClaim("a"), Start);
  B.readSucceeded(1, Start);
  const time_point Soon = Start + std::chrono::milliseconds{1250};
  BOOST_CHECK(B.next(Soon) == election_action::None);
  B.markUnreachable(1);
  BOOST_CHECK(B.next(Soon) == election_action::Claim);
  BOOST_CHECK(B.next(Start + Second) == election_action::None);
  // A heartbeat shows that only the network path to the leader's node failed.
  B.applyRecord(1, {leader_record::kind::Heartbeat, "a", "a:1", 1}, Soon);
  BOOST_CHECK(B.next(Soon + Second + Second / 2) == election_action::None);
}

// Guards against repeated changes of leader during a rolling restart:
// leadership moved to nodes that were about to be restarted.
BOOST_AUTO_TEST_CASE(restarted_nodes_claim_before_old_ones) {
  election_settings Settings;
  Settings.Node = "old";
  Settings.StartedAt = Start - 40 * Second;
  election Old{Settings};
  Settings.Node = "new";
  Settings.StartedAt = Start - Second;
  election New{Settings};
  for (election *Each : {&Old, &New}) {
    Each->applyRecord(0, makeClaim("a"), Start);
    Each->readSucceeded(1, Start);
    Each->presumeDead(1, Start);
  }
  BOOST_CHECK(New.claimAt(Start) < Old.claimAt(Start));
}

// A late probe result about an earlier leader must not depose the current one.
BOOST_AUTO_TEST_CASE(probe_of_old_epoch_does_not_affect_new_leader) {
  election B = makeElection("b");
  B.applyRecord(0, makeClaim("a"), Start);
  B.applyRecord(1, makeClaim("c"), Start);
  B.readSucceeded(2, Start);
  B.presumeDead(1, Start + Second);
  BOOST_CHECK(B.next(Start + Second) == election_action::None);
}

// A leader must send heartbeats well before the election timeout of the others.
BOOST_AUTO_TEST_CASE(leader_sends_heartbeats) {
  election A = makeElection("a");
  A.readSucceeded(0, Start);
  A.claimed(0, Start);
  BOOST_CHECK(A.next(Start + Second / 2) == election_action::None);
  BOOST_CHECK(A.next(Start + Second) == election_action::Heartbeat);
  A.heartbeatSent(Start + Second);
  BOOST_CHECK(A.next(Start + Second) == election_action::None);
}

// A successor computed from the wrong record when the leases of its predecessor
// end: they run from the predecessor's latest record, which may be a heartbeat
// of this node's own earlier epoch or one that the store has deleted.
BOOST_AUTO_TEST_CASE(
    predecessor_is_seen_at_the_latest_record_before_the_claim) {
  election B = makeElection("b");
  B.applyRecord(0, makeClaim("a"), Start);
  B.applyRecord(1, {leader_record::kind::Heartbeat, "a", "a:1", 1},
                Start + Second);
  B.claimed(2, Start + 3 * Second);
  BOOST_CHECK(B.predecessorSeenAt() == Start + Second);
  B.heartbeatSent(Start + 4 * Second);
  B.resign();
  B.claimed(4, Start + 6 * Second);
  BOOST_CHECK(B.predecessorSeenAt() == Start + 4 * Second);

  // A read may return the claim after its response.
  B.applyRecord(4, makeClaim("b"), Start + 8 * Second);
  BOOST_CHECK(B.predecessorSeenAt() == Start + 4 * Second);

  election C = makeElection("c");
  C.recordsLost(Start + Second);
  C.claimed(7, Start + 2 * Second);
  BOOST_CHECK(C.predecessorSeenAt() == Start + Second);
}

BOOST_AUTO_TEST_SUITE_END()
