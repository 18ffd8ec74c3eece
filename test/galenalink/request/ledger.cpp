#include "galenalink/request/ledger.hpp"
#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::request;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr node_id Self{1};
constexpr node_id First{2};
constexpr node_id Second{3};
constexpr wall_ms WallStart = 1'700'000'000'000;

/** A ledger with the effects of its last operation. */
struct fixture {
  ledger Ledger{{}, 10};
  effects Out;
  duration Time{seconds{100}};
  std::uint64_t Attempts{};

  [[nodiscard]] instant at() const {
    return {time_point{Time}, WallStart + Time / milliseconds{1},
            time_point{Time + seconds{1}}};
  }

  submission make(std::string Key, bool Idempotent, bool Long,
                  std::string Body = "body") const {
    return {{"halloran", "newsletters", std::move(Key)},
            "proof",
            "north",
            std::move(Body),
            Idempotent,
            Long,
            time_point{Time + seconds{10}},
            7};
  }

  submit_result submit(submission Submission) {
    Out.clear();
    return Ledger.submit(std::move(Submission), at(), Out);
  }

  template <typename Type> [[nodiscard]] std::vector<Type> all() const {
    std::vector<Type> Found;
    for (const effect &Effect : Out)
      if (const auto *const One = std::get_if<Type>(&Effect))
        Found.push_back(*One);
    return Found;
  }

  /** Acknowledges what was sent, and what that sends, from one replica. */
  void acknowledge(const node_id From, const log_offset Version,
                   const instant At) {
    const auto Sent = all<replicate>();
    for (const replicate &Message : Sent)
      if (Message.To == From)
        Ledger.acknowledged({From, Message.Call, Version, true}, At, Out);
  }

  void sync() {
    Out.clear();
    Ledger.rosterChanged(10, {First, Second}, at().Now, Out);
    acknowledge(First, 10, at());
    acknowledge(Second, 10, at());
    BOOST_TEST_REQUIRE(Ledger.ready());
  }

  /** Submits non-idempotent work and starts an attempt of it. */
  attempt_id prepare(const std::string &Key) {
    BOOST_TEST((submit(make(Key, false, false)) == submit_result::New));
    const auto Entry = all<enqueue>().at(0).Entry;
    const attempt_id Attempt{Self, ++Attempts};
    Out.clear();
    BOOST_TEST((Ledger.prepare(Entry, Attempt, "vm1", 3, at(), Out) ==
                prepare_result::Waiting));
    BOOST_TEST(all<dispatch>().empty());
    return Attempt;
  }

  [[nodiscard]] answer onlyAnswer() const {
    const auto Answers = all<answer>();
    BOOST_TEST_REQUIRE(Answers.size() == 1U);
    return Answers[0];
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ledger_steps, fixture)

// A dispatch before the last acknowledgement could run twice after a takeover.
BOOST_AUTO_TEST_CASE(dispatch_follows_all_acknowledgements) {
  sync();
  const auto Attempt = prepare("k");
  acknowledge(First, 10, at());
  acknowledge(First, 10, at());
  acknowledge(Second, 9, at());
  BOOST_TEST(all<dispatch>().empty());
  acknowledge(Second, 10, at());
  BOOST_TEST_REQUIRE(all<dispatch>().size() == 1U);
  BOOST_TEST((all<dispatch>()[0].Attempt == Attempt));
  acknowledge(Second, 10, at());
  BOOST_TEST(all<dispatch>().size() == 1U);
}

// A home that was paused between the check and the last acknowledgement must
// not dispatch.
BOOST_AUTO_TEST_CASE(expired_authority_stops_the_dispatch) {
  sync();
  prepare("k");
  acknowledge(First, 10, at());
  acknowledge(Second, 10, {time_point{Time}, at().Wall, time_point{Time}});
  BOOST_TEST(all<dispatch>().empty());
  BOOST_TEST(all<enqueue>().size() == 1U);
  BOOST_TEST(all<release_slot>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(missing_acknowledgements_refuse_as_not_run) {
  sync();
  prepare("k");
  acknowledge(First, 10, at());
  Out.clear();
  Time += seconds{2};
  Ledger.tick(at(), Out);
  BOOST_TEST((onlyAnswer().Outcome == outcome::NotRun));
  BOOST_TEST((onlyAnswer().Refusal == refusal::NoReplicas));
  // The refusal may be retried at once.
  BOOST_TEST((submit(make("k", false, false)) == submit_result::New));
}

// Long work that one replica may still hold could be run by a new home, so
// "not run" waits until the replicas know of the withdrawal.
BOOST_AUTO_TEST_CASE(exposed_work_is_withdrawn_before_not_run) {
  sync();
  BOOST_TEST((submit(make("k", false, true)) == submit_result::New));
  acknowledge(First, 10, at());
  Out.clear();
  Time += seconds{2};
  Ledger.tick(at(), Out);
  BOOST_TEST(all<answer>().empty());
  acknowledge(First, 10, at());
  BOOST_TEST(all<answer>().empty());
  acknowledge(Second, 10, at());
  BOOST_TEST((onlyAnswer().Outcome == outcome::NotRun));
}

BOOST_AUTO_TEST_CASE(handle_follows_all_acknowledgements) {
  sync();
  submit(make("k", false, true));
  acknowledge(First, 10, at());
  BOOST_TEST(all<answer>().empty());
  acknowledge(Second, 10, at());
  BOOST_TEST((onlyAnswer().Outcome == outcome::Accepted));
  BOOST_TEST(all<enqueue>().size() == 1U);
}

// Keys that a home cannot expire before their entry would run twice.
BOOST_AUTO_TEST_CASE(timed_keys_outside_their_time_are_refused) {
  sync();
  const auto Key = [&](const wall_ms Issued) {
    char Text[37];
    std::snprintf(Text, sizeof(Text), "%08llx-%04llx-7abc-8def-0123456789ab",
                  static_cast<unsigned long long>(Issued >> 16),
                  static_cast<unsigned long long>(Issued & 0xffff));
    return std::string{Text};
  };
  const auto Wall = at().Wall;
  submit(make(Key(Wall - 3'600'001), false, false));
  BOOST_TEST((onlyAnswer().Refusal == refusal::KeyExpired));
  submit(make(Key(Wall + 2'001), false, false));
  BOOST_TEST((onlyAnswer().Refusal == refusal::BadRequest));
  BOOST_TEST((submit(make(Key(Wall), false, false)) == submit_result::New));
  BOOST_TEST((submit(make(Key(Wall), false, false, "other")) ==
              submit_result::Refused));
  BOOST_TEST((onlyAnswer().Refusal == refusal::KeyReused));
}

BOOST_AUTO_TEST_CASE(without_enough_replicas_only_idempotent_work_runs) {
  Out.clear();
  Ledger.rosterChanged(11, {First}, at().Now, Out);
  acknowledge(First, 11, at());
  submit(make("a", false, false));
  BOOST_TEST((onlyAnswer().Refusal == refusal::NoReplicas));
  submit(make("b", true, true));
  BOOST_TEST((onlyAnswer().Refusal == refusal::NoReplicas));
  BOOST_TEST((submit(make("c", true, false)) == submit_result::New));
  const auto Entry = all<enqueue>().at(0).Entry;
  BOOST_TEST((Ledger.prepare(Entry, {Self, 1}, "vm", 1, at(), Out) ==
              prepare_result::Dispatched));
}

// A lost attempt of idempotent work may have run, so a later refusal must not
// claim the contrary.
BOOST_AUTO_TEST_CASE(retried_work_is_never_called_not_run) {
  sync();
  submit(make("k", true, false));
  const auto Entry = all<enqueue>().at(0).Entry;
  Ledger.prepare(Entry, {Self, 1}, "vm", 1, at(), Out);
  BOOST_TEST(Ledger.lost({Self, 1}, true, time_point{Time}, Out));
  BOOST_TEST(!Ledger.answered({Self, 1}, "late", time_point{Time}, Out));
  Out.clear();
  BOOST_TEST(Ledger.refuse(Entry, refusal::DeadlineUnreachable, {}, at(), Out));
  BOOST_TEST((onlyAnswer().Outcome == outcome::Unknown));
  BOOST_TEST((submit(make("k", true, false)) == submit_result::New));
}

BOOST_AUTO_TEST_CASE(unknown_outcome_becomes_a_result_but_not_back) {
  sync();
  const auto Attempt = prepare("k");
  acknowledge(First, 10, at());
  acknowledge(Second, 10, at());
  Out.clear();
  BOOST_TEST(Ledger.lost(Attempt, true, time_point{Time}, Out));
  BOOST_TEST((onlyAnswer().Outcome == outcome::Unknown));
  BOOST_TEST(!all<release_slot>().at(0).Certain);
  BOOST_TEST(Ledger.answered(Attempt, "result", time_point{Time}, Out));
  BOOST_TEST(!Ledger.lost(Attempt, true, time_point{Time}, Out));
  BOOST_TEST((submit(make("k", false, false)) == submit_result::Replayed));
  BOOST_TEST(onlyAnswer().Body == "result");
}

// A node that was paused may have been replaced: its "not run" must send the
// entry node on to the new home, not end the request.
BOOST_AUTO_TEST_CASE(without_authority_nothing_is_called_not_run) {
  sync();
  submit(make("k", false, false));
  const auto Entry = all<enqueue>().at(0).Entry;
  instant Expired = at();
  Expired.AuthorityDeadline = Expired.Now;
  Out.clear();
  Ledger.submit(make("other", false, false), Expired, Out);
  BOOST_TEST((onlyAnswer().Refusal == refusal::NoAuthority));
  Out.clear();
  const request_key Key{"halloran", "newsletters", "k"};
  BOOST_TEST(
      (Ledger.cancel(Key, 8, Expired, Out) == cancel_result::NoAuthority));
  BOOST_TEST((onlyAnswer().Refusal == refusal::NoAuthority));
  BOOST_TEST((Ledger.query(Key, at())->State == entry_state::Accepted));
  Out.clear();
  BOOST_TEST(Ledger.refuse(Entry, refusal::QueueFull, {}, Expired, Out));
  BOOST_TEST((onlyAnswer().Refusal == refusal::NoAuthority));
}

BOOST_AUTO_TEST_SUITE_END()
