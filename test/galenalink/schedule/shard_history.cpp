#include "galenalink/schedule/shard_scheduler.hpp"
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <tuple>

using namespace galenalink;
using namespace galenalink::schedule;

namespace {

struct attempt_order {
  [[nodiscard]] bool operator()(const attempt_id Left,
                                const attempt_id Right) const noexcept {
    return std::tie(Left.Node, Left.Sequence) <
           std::tie(Right.Node, Right.Sequence);
  }
};

using std::chrono::milliseconds;

constexpr time_point Start{std::chrono::hours{1}};

/** A scheduler under random calls, with a ledger of what must hold. */
class history {
public:
  explicit history(const std::uint32_t Seed) : Random{Seed}, Shard{small()} {
    for (int Queue = 0; Queue < 4; ++Queue)
      Queues.push_back(Shard.setQueue({.Name = "q" + std::to_string(Queue),
                                       .Service = Queue < 2 ? "a" : "b",
                                       .Idempotent = Queue != 1,
                                       .ExpectedRun = milliseconds{200}}));
    for (int Team = 0; Team < 3; ++Team)
      Teams.push_back(
          Shard.setTeam({.Name = "t" + std::to_string(Team),
                         .Customer = Team < 2 ? "m" : "n",
                         .QuotaSlots = static_cast<std::uint32_t>(2 * Team)}));
    for (int Vm = 0; Vm < 5; ++Vm)
      Shard.addVm("vm" + std::to_string(Vm), 1);
  }

  void step() {
    Now += milliseconds{below(40)};
    const auto Kind = below(100);
    if (Kind < 40)
      enqueue();
    else if (Kind < 45)
      cancel();
    else if (Kind < 49)
      changeVm();
    else if (!Running.empty() && Kind < 90)
      endOne(Kind);
    while (const auto Placed = Shard.next({node_id{1}, Sequence + 1}, Now))
      started(*Placed);
    expire();
    check();
  }

  void drain() {
    for (int Vm = 0; Vm < 5; ++Vm)
      Shard.addVm("vm" + std::to_string(Vm), 100);
    while (Shard.queues().size() > 0) {
      Now += milliseconds{500};
      while (!Running.empty())
        endOne(50);
      while (const auto Placed = Shard.next({node_id{1}, Sequence + 1}, Now))
        started(*Placed);
      expire();
      check();
    }
    BOOST_REQUIRE(Queued.empty());
    BOOST_REQUIRE(Running.empty());
    BOOST_REQUIRE(Admitted == Ended);
    BOOST_REQUIRE(Admitted > 100);
  }

private:
  struct use {
    item_id Item{};
    vm_index Vm{};
  };

  static settings small() {
    settings Settings;
    Settings.MaxItems = 120;
    Settings.MaxTeamItems = 40;
    return Settings;
  }

  std::uint64_t below(const std::uint64_t Limit) { return Random() % Limit; }

  void enqueue() {
    const item_id Id{below(20) == 0 ? LastItem : ++LastItem};
    const bool Known = Queued.contains(Id) || isRunning(Id);
    const auto Answer = Shard.enqueue({Id, Queues[below(4)], Teams[below(3)],
                                       Now + milliseconds{below(3000)}},
                                      Now);
    expire();
    BOOST_REQUIRE((!Known || !Answer.admitted() || !Queued.contains(Id)));
    if (Answer.admitted()) {
      ++Admitted;
      BOOST_REQUIRE(Queued.emplace(Id, false).second);
    }
  }

  [[nodiscard]] bool isRunning(const item_id Id) const {
    return std::any_of(Running.begin(), Running.end(),
                       [&](const auto &Use) { return Use.second.Item == Id; });
  }

  void started(const dispatch &Placed) {
    ++Sequence;
    const auto Waiting = Queued.find(Placed.Item);
    BOOST_REQUIRE(Waiting != Queued.end());
    MayHaveStarted[Placed.Item] = Waiting->second;
    Queued.erase(Waiting);
    BOOST_REQUIRE(
        Running.emplace(Placed.Attempt, use{Placed.Item, Placed.Vm}).second);
    BOOST_REQUIRE((Shard.slots().state(Placed.Vm) == vm_state::Up));
  }

  void endOne(const std::uint64_t Kind) {
    auto Chosen = Running.begin();
    std::advance(Chosen, static_cast<long>(below(Running.size())));
    const auto [Attempt, Use] = *Chosen;
    Running.erase(Chosen);
    const auto Result = Kind < 70   ? Shard.finished(Attempt, Now)
                        : Kind < 80 ? Shard.failed(Attempt, Now)
                        : Kind < 87 ? Shard.refused(Attempt, Now)
                                    : Shard.abandoned(Attempt, Now);
    BOOST_REQUIRE((Result.Disposition != attempt_disposition::UnknownAttempt));
    BOOST_REQUIRE((Result.Item == Use.Item && Result.Vm == Use.Vm));
    const bool Ran = MayHaveStarted[Use.Item] || (Kind >= 70 && Kind < 80);
    // A caller may repeat work that is reported as not run.
    BOOST_REQUIRE((Result.Disposition != attempt_disposition::NotRun || !Ran));
    if (Result.Disposition == attempt_disposition::Requeued)
      Queued.emplace(Use.Item, Ran);
    else
      ++Ended;
    BOOST_REQUIRE((Shard.finished(Attempt, Now).Disposition ==
                   attempt_disposition::UnknownAttempt));
    BOOST_REQUIRE((Shard.failed(Attempt, Now).Disposition ==
                   attempt_disposition::UnknownAttempt));
  }

  void cancel() {
    const item_id Id{LastItem -
                     below(std::min<std::uint64_t>(LastItem + 1, 30))};
    const auto Result = Shard.cancel(Id);
    BOOST_REQUIRE((Result.State == cancel_state::Removed) ==
                  Queued.contains(Id));
    BOOST_REQUIRE((Result.State == cancel_state::Running) == isRunning(Id));
    if (Result.State == cancel_state::Removed) {
      BOOST_REQUIRE(Result.MayHaveStarted == Queued[Id]);
      Queued.erase(Id);
      ++Ended;
    }
  }

  void changeVm() {
    const auto Name = "vm" + std::to_string(below(5));
    const auto Vm = Shard.slots().find(Name);
    const auto Kind = below(4);
    if (!Vm || Kind < 2)
      Shard.addVm(Name, Epoch++);
    else if (Kind == 2)
      Shard.removeVm(*Vm);
    else
      Shard.drainVm(*Vm, static_cast<vm_state>(1 + below(3)));
  }

  void expire() {
    std::vector<expired_item> Expired;
    Shard.expire(Now, Expired);
    for (const auto &[Id, Ran] : Expired) {
      const auto Waiting = Queued.find(Id);
      BOOST_REQUIRE(Waiting != Queued.end());
      BOOST_REQUIRE(Waiting->second == Ran);
      Queued.erase(Waiting);
      ++Ended;
    }
  }

  void check() const {
    std::map<vm_index, std::uint32_t> Used;
    for (const auto &[Attempt, Use] : Running)
      ++Used[Use.Vm];
    for (const auto &[Vm, Count] : Used) {
      BOOST_REQUIRE(Count <= SlotsPerVm);
      BOOST_REQUIRE(Shard.slots().used(Vm) == Count);
    }
    BOOST_REQUIRE(Shard.queues().size() == Queued.size() + Running.size());
    BOOST_REQUIRE(Shard.queues().waiting(work_class::Short) +
                      Shard.queues().waiting(work_class::Long) ==
                  Queued.size());
    BOOST_REQUIRE(Shard.health().ejectedCount() <=
                  std::max(1U, Shard.health().ejectedMost(5)));
  }

  std::mt19937_64 Random;
  shard_scheduler Shard;
  std::vector<queue_index> Queues;
  std::vector<team_index> Teams;
  time_point Now{Start};
  /** With true for an item of which an attempt began. */
  std::map<item_id, bool> Queued;
  std::map<item_id, bool> MayHaveStarted;
  std::map<attempt_id, use, attempt_order> Running;
  std::uint64_t LastItem{0};
  std::uint64_t Sequence{0};
  std::uint64_t Epoch{2};
  std::uint64_t Admitted{0};
  std::uint64_t Ended{0};
};

} // namespace

BOOST_AUTO_TEST_SUITE(shard_histories)

// An item that is lost leaves its caller without an answer; an attempt that is
// released twice frees a slot that is in use.
BOOST_AUTO_TEST_CASE(every_item_ends_once_and_every_slot_is_counted) {
  for (std::uint32_t Seed = 1; Seed <= 30; ++Seed) {
    history History{Seed};
    for (int Step = 0; Step < 2000; ++Step)
      History.step();
    History.drain();
  }
}

// Work taken over from another node occupies slots until the VM reports it
// gone; otherwise the VM is overloaded or its slots stay lost.
BOOST_AUTO_TEST_CASE(occupied_slots_follow_the_status_report) {
  shard_scheduler Shard;
  const auto Queue = Shard.setQueue({.Name = "q", .Service = "s"});
  const auto Team = Shard.setTeam({.Name = "t", .Customer = "m"});
  const auto Vm = Shard.addVm("vm", 1);
  std::vector<attempt_id> Others;
  for (std::uint64_t Id = 1; Id <= 7; ++Id)
    Others.push_back({node_id{2}, Id});
  BOOST_TEST(Shard.setOccupied(Vm, Others, Start).Taken == 7);
  const auto Place = [&](const std::uint64_t Id) {
    BOOST_TEST(Shard
                   .enqueue({item_id{Id}, Queue, Team,
                             Start + std::chrono::seconds{9}},
                            Start)
                   .admitted());
    return Shard.next({node_id{1}, Id}, Start).has_value();
  };
  BOOST_TEST(Place(1));
  BOOST_TEST(!Place(2));
  Others.pop_back();
  Others.push_back({node_id{1}, 1});
  BOOST_TEST(Shard.setOccupied(Vm, Others, Start).Released == 1);
  BOOST_TEST(Shard.next({node_id{1}, 2}, Start).has_value());
  BOOST_TEST((Shard.finished(Others[0], Start).Disposition ==
              attempt_disposition::Done));
  BOOST_TEST(Shard.slots().used(Vm) == 7);
}

BOOST_AUTO_TEST_SUITE_END()
