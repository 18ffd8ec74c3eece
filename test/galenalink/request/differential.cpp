#include "galenalink/request/naive_ledger.hpp"
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

using namespace galenalink;
using namespace galenalink::request;
using galenalink::request::test::naive_ledger;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr node_id First{2};
constexpr node_id Second{3};

class history {
public:
  explicit history(const std::uint64_t Seed) : Random(Seed) {
    effects Out;
    Ledger.rosterChanged(1, {First, Second}, Now, Out);
    collect(Out);
    acknowledgeAll();
    Naive.Answers.clear();
  }

  void step() {
    const std::string Key = "k" + std::to_string(random(12));
    const std::uint64_t Attempt =
        Attempts - random(std::min<std::uint64_t>(Attempts, 8));
    naive_ledger::row *const Row = Naive.find(Key);
    const bool Queued =
        Row != nullptr && Row->Stage == naive_ledger::stage::Queue;
    effects Out;
    switch (random(14)) {
    case 0:
    case 1:
    case 2:
    case 3: {
      const submission Work = make(Key);
      Ledger.submit(Work, at(), Out);
      Naive.submit(Work, Now);
      break;
    }
    case 4:
      Ledger.cancel({"m", "s", Key}, ++Waiters, at(), Out);
      Naive.cancel(Key, Waiters, Now);
      break;
    case 5:
    case 6:
      if (Queued) {
        Ledger.prepare(Handles.at(Key), {node_id{1}, ++Attempts}, "vm", 1, at(),
                       Out);
        Naive.prepare(*Row, Attempts, Now);
      }
      break;
    case 7:
      if (Queued) {
        BOOST_TEST(
            Ledger.refuse(Handles.at(Key), refusal::QueueFull, {}, at(), Out));
        Naive.refuse(*Row, Now);
      }
      break;
    case 8:
    case 9:
      report(Attempt, Out);
      break;
    case 10:
      Ledger.refusedByServer({node_id{1}, Attempt}, Out);
      Naive.refusedByServer(Attempt);
      break;
    case 11:
      Now += milliseconds{random(3000)};
      Ledger.tick(at(), Out);
      Naive.tick(Now);
      break;
    default:
      acknowledgeAll();
      Naive.acknowledgeAll(Now);
    }
    collect(Out);
    compare();
  }

  std::map<outcome, std::size_t> Told;
  std::size_t Dispatched{};

private:
  std::uint64_t random(const std::uint64_t Bound) { return Random() % Bound; }
  instant at() const {
    return {Now, Now.time_since_epoch() / milliseconds{1}, time_point::max()};
  }

  submission make(const std::string &Key) {
    // The kind of work depends on the key, the body sometimes differs.
    const auto Kind = Key.back() % 4;
    return {{"m", "s", Key},
            "queue",
            "team",
            random(10) == 0 ? "other" : "body of " + Key,
            Kind < 2,
            Kind % 2 == 0,
            Now,
            ++Waiters};
  }

  void report(const std::uint64_t Attempt, effects &Out) {
    const attempt_id Id{node_id{1}, Attempt};
    const std::string Text = "result " + std::to_string(Attempt);
    const bool MayRetry = random(2) == 0;
    switch (random(3)) {
    case 0:
      Ledger.answered(Id, Text, Now, Out);
      Naive.answered(Attempt, Text, entry_state::Completed, false, Now);
      break;
    case 1:
      Ledger.failed(Id, Text, MayRetry, Now, Out);
      Naive.answered(Attempt, Text, entry_state::Failed, MayRetry, Now);
      break;
    default:
      Ledger.lost(Id, MayRetry, Now, Out);
      Naive.answered(Attempt, {}, entry_state::Unknown, MayRetry, Now);
    }
  }

  void collect(effects &Out) {
    for (effect &Effect : Out) {
      if (auto *const Answer = std::get_if<answer>(&Effect))
        Answers.push_back(std::move(*Answer));
      else if (auto *const Queued = std::get_if<enqueue>(&Effect))
        Handles[Ledger.find(Queued->Entry)->Key->Key] = Queued->Entry;
      else if (auto *const Sent = std::get_if<replicate>(&Effect))
        Unacknowledged.push_back({Sent->To, Sent->Call, 1, true});
      else if (std::holds_alternative<dispatch>(Effect))
        ++Dispatched;
    }
    Out.clear();
  }

  void acknowledgeAll() {
    while (!Unacknowledged.empty()) {
      const auto Replies = std::move(Unacknowledged);
      Unacknowledged.clear();
      effects Out;
      for (const replicate_reply &Reply : Replies)
        Ledger.acknowledged(Reply, at(), Out);
      collect(Out);
    }
  }

  void compare() {
    const auto ByWaiter = [](const answer &Left, const answer &Right) {
      return Left.Waiter < Right.Waiter;
    };
    std::sort(Answers.begin(), Answers.end(), ByWaiter);
    std::sort(Naive.Answers.begin(), Naive.Answers.end(), ByWaiter);
    BOOST_TEST_REQUIRE(Answers.size() == Naive.Answers.size());
    for (std::size_t Index = 0; Index < Answers.size(); ++Index) {
      const answer &Left = Answers[Index];
      const answer &Right = Naive.Answers[Index];
      BOOST_TEST_REQUIRE(Left.Waiter == Right.Waiter);
      BOOST_TEST_REQUIRE(nameOf(OutcomeNames, Left.Outcome) ==
                         nameOf(OutcomeNames, Right.Outcome));
      BOOST_TEST_REQUIRE(nameOf(RefusalNames, Left.Refusal) ==
                         nameOf(RefusalNames, Right.Refusal));
      BOOST_TEST_REQUIRE(Left.Body == Right.Body);
      ++Told[Left.Outcome];
    }
    Answers.clear();
    Naive.Answers.clear();
    BOOST_TEST_REQUIRE(Ledger.size() == Naive.Rows.size());
    BOOST_TEST_REQUIRE(Ledger.bytes() == Naive.bytes());
    for (const auto &Row : Naive.Rows)
      BOOST_TEST_REQUIRE(
          (Ledger.query(Row.Work.Key, at())->State == Row.State));
  }

  static ledger_settings settings() {
    ledger_settings Settings;
    Settings.MaxEntries = 8;
    Settings.MaxBytes = 120;
    Settings.Retention = seconds{20};
    return Settings;
  }

  std::mt19937_64 Random;
  ledger Ledger{settings(), 1};
  naive_ledger Naive{settings()};
  time_point Now{seconds{100}};
  std::vector<answer> Answers;
  std::map<std::string, entry_handle> Handles;
  std::vector<replicate_reply> Unacknowledged;
  std::uint64_t Attempts{1};
  waiter Waiters{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(differential)

// Any difference in an answer, a state or a bound from the plain list.
BOOST_AUTO_TEST_CASE(ledger_equals_the_naive_table) {
  std::map<outcome, std::size_t> Told;
  std::size_t Dispatched = 0;
  for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
    history History{Seed};
    for (std::size_t Step = 0; Step < 2000; ++Step)
      History.step();
    for (const auto &[Outcome, Count] : History.Told)
      Told[Outcome] += Count;
    Dispatched += History.Dispatched;
  }
  for (const auto &[Outcome, Name] : OutcomeNames) {
    BOOST_TEST_MESSAGE(Name << " " << Told[Outcome]);
    BOOST_TEST(Told[Outcome] > 100U);
  }
  BOOST_TEST(Dispatched > 1000U);
}

BOOST_AUTO_TEST_SUITE_END()
