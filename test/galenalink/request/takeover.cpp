#include "galenalink/request/takeover.hpp"
#include <boost/test/unit_test.hpp>
#include <cstdio>

using namespace galenalink;
using namespace galenalink::request;
using std::chrono::seconds;

namespace {

constexpr node_id Self{1};
constexpr node_id Other{2};
constexpr attempt_id Attempt{node_id{9}, 4};
constexpr wall_ms Wall = 1'700'000'000'000;
constexpr instant At{time_point{seconds{50}}, Wall, time_point{seconds{60}}};

takeover make(const roster_step Step) {
  return {{},
          Step,
          {Self, Other},
          time_point{seconds{51}},
          time_point{seconds{55}}};
}

entry_record record(const entry_state State, const bool Idempotent) {
  entry_record Record;
  Record.Key = {"halloran", "newsletters", "k"};
  Record.BodyHash = bodyHash("proof", "body");
  Record.Queue = "proof";
  Record.Body = "body";
  Record.State = State;
  Record.Attempt = Attempt;
  Record.ExpiresIn = seconds{9};
  Record.Idempotent = Idempotent;
  Record.LongWork = true;
  Record.Revision = {7, 3};
  return Record;
}

entry_state resolved(const entry_state State, const bool Idempotent,
                     const bool Complete) {
  takeover Takeover = make({8, 7});
  Takeover.replied(
      {Other, 8, Complete ? 7U : 6U, {}, {}, {record(State, Idempotent)}});
  const auto Result = Takeover.resolve(At);
  BOOST_TEST(Result.Evidence == Complete);
  BOOST_TEST_REQUIRE(Result.Entries.size() == 1U);
  return Result.Entries[0].State;
}

submit_result submitTo(ledger &Ledger, const wall_ms Issued) {
  char Text[64];
  std::snprintf(Text, sizeof(Text), "%08llx-%04llx-7000-8000-000000000000",
                static_cast<unsigned long long>(Issued >> 16),
                static_cast<unsigned long long>(Issued & 0xffff));
  effects Out;
  const instant Later{At.Now, Issued, At.AuthorityDeadline};
  return Ledger.submit({{"halloran", "newsletters", Text},
                        "proof",
                        "north",
                        "body",
                        false,
                        false,
                        At.Now,
                        1},
                       Later, Out);
}

} // namespace

BOOST_AUTO_TEST_SUITE(takeover_rules)

// Each wrong cell either runs work twice, or loses an accepted handle.
BOOST_AUTO_TEST_CASE(states_with_and_without_evidence) {
  using enum entry_state;
  BOOST_TEST((resolved(Accepted, false, true) == Accepted));
  BOOST_TEST((resolved(Accepted, false, false) == Unknown));
  BOOST_TEST((resolved(Dispatched, false, true) == Unknown));
  BOOST_TEST((resolved(Dispatched, false, false) == Unknown));
  BOOST_TEST((resolved(Dispatched, true, true) == Accepted));
  BOOST_TEST((resolved(Completed, false, false) == Completed));
  BOOST_TEST((resolved(Unknown, false, true) == Unknown));
  BOOST_TEST((resolved(Refused, false, false) == Unknown));
  BOOST_TEST((resolved(Cancelled, false, true) == Cancelled));
}

BOOST_AUTO_TEST_CASE(a_newer_record_wins) {
  takeover Takeover = make({8, 7});
  entry_record Older = record(entry_state::Accepted, false);
  entry_record Newer = record(entry_state::Cancelled, false);
  Newer.Revision.Sequence = 4;
  Takeover.replied({Other, 8, 7, {}, {}, {Newer}});
  Takeover.replied({Self, 8, 7, {}, {}, {Older}});
  BOOST_TEST(
      (Takeover.resolve(At).Entries.at(0).State == entry_state::Cancelled));
}

// A copy that is not complete may still know how the attempt ended.
BOOST_AUTO_TEST_CASE(result_of_the_same_attempt_is_used) {
  takeover Takeover = make({8, 7});
  entry_record Result = record(entry_state::Completed, false);
  Result.Result = "done";
  Takeover.replied(
      {Other, 8, 7, {}, {}, {record(entry_state::Dispatched, false)}});
  Takeover.replied({Self, 8, 0, {}, {}, {Result}});
  BOOST_TEST((Takeover.resolve(At).Entries.at(0).Result == "done"));
  Result.Attempt.Sequence += 1;
  takeover Mismatched = make({8, 7});
  Mismatched.replied(
      {Other, 8, 7, {}, {}, {record(entry_state::Dispatched, false)}});
  Mismatched.replied({Self, 8, 0, {}, {}, {Result}});
  BOOST_TEST(
      (Mismatched.resolve(At).Entries.at(0).State == entry_state::Unknown));
}

// Members that did not get ready prove that nothing was dispatched since the
// last complete copy, up to the beginning of the log.
BOOST_AUTO_TEST_CASE(quiet_versions_lead_to_the_last_complete_copy) {
  takeover Takeover = make({8, 7});
  Takeover.replied({Self, 8, 0, {{7, 5}}, {}, {}});
  BOOST_TEST(!Takeover.resolve(At).Evidence);
  Takeover.replied({Other, 8, 5, {}, {}, {}});
  BOOST_TEST(Takeover.resolve(At).Evidence);
  takeover Beginning = make({8, 7});
  Beginning.replied({Self, 8, 0, {{7, 5}, {5, 0}}, {}, {}});
  BOOST_TEST(Beginning.resolve(At).Evidence);
  BOOST_TEST((make({1, 0}).resolve(At).Horizon.Remaining == duration{}));
}

BOOST_AUTO_TEST_CASE(replies_are_awaited_until_the_deadlines) {
  takeover Takeover = make({8, 7});
  Takeover.replied({Self, 8, 0, {}, {}, {}});
  Takeover.replied({Other, 9, 7, {}, {}, {}});
  BOOST_TEST(Takeover.missing().size() == 1U);
  BOOST_TEST(!Takeover.finished(time_point{seconds{54}}));
  BOOST_TEST(Takeover.finished(time_point{seconds{55}}));
  Takeover.replied({Other, 8, 7, {}, {}, {}});
  BOOST_TEST(Takeover.finished(At.Now));
}

// A timed key from before the takeover, by a clock 2 s ahead, may have run.
BOOST_AUTO_TEST_CASE(only_keys_issued_after_the_takeover_are_fresh) {
  const auto Result = make({8, 7}).resolve(At);
  effects Out;
  ledger_settings Settings;
  Settings.RequiredReplicas = 0;
  ledger Ledger = makeLedger(Settings, 8, Result, At.Now, Out);
  BOOST_TEST((submitTo(Ledger, Wall + 2000) == submit_result::Unknown));
  BOOST_TEST((submitTo(Ledger, Wall + 2001) == submit_result::New));
  const request_key Plain{"halloran", "newsletters", "plain"};
  BOOST_TEST((Ledger.query(Plain, At)->State == entry_state::Unknown));
  const time_point Passed = At.Now + std::chrono::hours{1} + seconds{4};
  BOOST_TEST(!Ledger.query(Plain, {Passed, Wall, {}}).has_value());
}

// Records of an older version may have been taken back since; a full copy
// must not bring them back, and a full table must not lose a record.
BOOST_AUTO_TEST_CASE(a_replica_holds_one_version_completely) {
  replica Copy{Self, {1, 1000, {}}};
  const auto Store = [&](const log_offset Version, const bool Synced,
                         std::vector<entry_record> Records) {
    return Copy
        .store({Self, 1, Version, std::move(Records), Synced, {}}, At.Now)
        .Accepted;
  };
  Copy.rosterChanged({7, 5}, true);
  BOOST_TEST(Store(7, false, {record(entry_state::Accepted, false)}));
  BOOST_TEST(!Store(5, false, {record(entry_state::Accepted, false)}));
  entry_record Large = record(entry_state::Completed, false);
  Large.Revision.Sequence = 9;
  Large.Result = std::string(2000, 'r');
  BOOST_TEST(!Store(7, false, {Large}));
  BOOST_TEST(Copy.size() == 1U);
  BOOST_TEST(Store(7, true, {}));
  Copy.rosterChanged({8, 7}, true);
  BOOST_TEST(Copy.collect(8, At.Now)->SyncedAt == 7U);
  BOOST_TEST(!Copy.collect(7, At.Now).has_value());
  BOOST_TEST(Copy.size() == 1U);
  BOOST_TEST(Store(8, true, {}));
  BOOST_TEST(Copy.size() == 0U);
  BOOST_TEST(Copy.collect(8, At.Now)->SyncedAt == 8U);
}

BOOST_AUTO_TEST_SUITE_END()
