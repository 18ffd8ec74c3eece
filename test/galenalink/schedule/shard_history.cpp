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

/** Calls a scheduler at random and checks it against the expected state. */
class random_history {
public:
  explicit random_history(const std::uint32_t Seed)
      : Random{Seed}, Shard{smallSettings()} {
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
    Now += milliseconds{randomBelow(40)};
    const auto Action = randomBelow(100);
    if (Action < 40)
      enqueue();
    else if (Action < 45)
      cancel();
    else if (Action < 49)
      changeVm();
    else if (!Running.empty() && Action < 90)
      endRandomAttempt(Action);
    while (const auto Placed = Shard.next({node_id{1}, Sequence + 1}, Now))
      started(*Placed);
    expire();
    checkInvariants();
  }

  void drain() {
    for (int Vm = 0; Vm < 5; ++Vm)
      Shard.addVm("vm" + std::to_string(Vm), 100);
    while (Shard.queues().size() > 0) {
      Now += milliseconds{500};
      while (!Running.empty())
        endRandomAttempt(50);
      while (const auto Placed = Shard.next({node_id{1}, Sequence + 1}, Now))
        started(*Placed);
      expire();
      checkInvariants();
    }
    BOOST_REQUIRE(Queued.empty());
    BOOST_REQUIRE(Running.empty());
    BOOST_REQUIRE(Admitted == Ended);
    BOOST_REQUIRE(Admitted > 100);
  }

private:
  struct running_item {
    item_id Item{};
    vm_index Vm{};
  };

  static settings smallSettings() {
    settings Settings;
    Settings.MaxItems = 120;
    Settings.MaxTeamItems = 40;
    return Settings;
  }

  std::uint64_t randomBelow(const std::uint64_t Limit) {
    return Random() % Limit;
  }

  void enqueue() {
    const item_id Id{randomBelow(20) == 0 ? LastItem : ++LastItem};
    const bool Known = Queued.contains(Id) || isRunning(Id);
    const auto Admission =
        Shard.enqueue({Id, Queues[randomBelow(4)], Teams[randomBelow(3)],
                       Now + milliseconds{randomBelow(3000)}},
                      Now);
    expire();
    BOOST_REQUIRE((!Known || !Admission.admitted() || !Queued.contains(Id)));
    if (Admission.admitted()) {
      ++Admitted;
      BOOST_REQUIRE(Queued.emplace(Id, false).second);
    }
  }

  [[nodiscard]] bool isRunning(const item_id Id) const {
    return std::any_of(
        Running.begin(), Running.end(),
        [&](const auto &RunningItem) { return RunningItem.second.Item == Id; });
  }

  void started(const dispatch &Placed) {
    ++Sequence;
    const auto QueuedItem = Queued.find(Placed.Item);
    BOOST_REQUIRE(QueuedItem != Queued.end());
    MayHaveStarted[Placed.Item] = QueuedItem->second;
    Queued.erase(QueuedItem);
    BOOST_REQUIRE(
        Running.emplace(Placed.Attempt, running_item{Placed.Item, Placed.Vm})
            .second);
    BOOST_REQUIRE((Shard.slots().state(Placed.Vm) == vm_state::Up));
  }

  void endRandomAttempt(const std::uint64_t Action) {
    auto Chosen = Running.begin();
    std::advance(Chosen, static_cast<long>(randomBelow(Running.size())));
    const auto [Attempt, RunningItem] = *Chosen;
    Running.erase(Chosen);
    const auto Result = Action < 70   ? Shard.finished(Attempt, Now)
                        : Action < 80 ? Shard.failed(Attempt, Now)
                        : Action < 87 ? Shard.refused(Attempt, Now)
                                      : Shard.abandoned(Attempt, Now);
    BOOST_REQUIRE((Result.Disposition != attempt_disposition::UnknownAttempt));
    BOOST_REQUIRE(
        (Result.Item == RunningItem.Item && Result.Vm == RunningItem.Vm));
    const bool HasStarted =
        MayHaveStarted[RunningItem.Item] || (Action >= 70 && Action < 80);
    // A caller may retry work that is reported as not run, so that report must
    // not be made for an item that may have started.
    BOOST_REQUIRE(
        (Result.Disposition != attempt_disposition::NotRun || !HasStarted));
    if (Result.Disposition == attempt_disposition::Requeued)
      Queued.emplace(RunningItem.Item, HasStarted);
    else
      ++Ended;
    BOOST_REQUIRE((Shard.finished(Attempt, Now).Disposition ==
                   attempt_disposition::UnknownAttempt));
    BOOST_REQUIRE((Shard.failed(Attempt, Now).Disposition ==
                   attempt_disposition::UnknownAttempt));
  }

  void cancel() {
    const item_id Id{LastItem -
                     randomBelow(std::min<std::uint64_t>(LastItem + 1, 30))};
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
    const auto Name = "vm" + std::to_string(randomBelow(5));
    const auto Vm = Shard.slots().find(Name);
    const auto Action = randomBelow(4);
    if (!Vm || Action < 2)
      Shard.addVm(Name, Epoch++);
    else if (Action == 2)
      Shard.removeVm(*Vm);
    else
      Shard.drainVm(*Vm, static_cast<vm_state>(1 + randomBelow(3)));
  }

  void expire() {
    std::vector<expired_item> Expired;
    Shard.expire(Now, Expired);
    for (const auto &[Id, HasStarted] : Expired) {
      const auto QueuedItem = Queued.find(Id);
      BOOST_REQUIRE(QueuedItem != Queued.end());
      BOOST_REQUIRE(QueuedItem->second == HasStarted);
      Queued.erase(QueuedItem);
      ++Ended;
    }
  }

  void checkInvariants() const {
    std::map<vm_index, std::uint32_t> Used;
    for (const auto &[Attempt, RunningItem] : Running)
      ++Used[RunningItem.Vm];
    for (const auto &[Vm, Count] : Used) {
      BOOST_REQUIRE(Count <= SlotsPerVm);
      BOOST_REQUIRE(Shard.slots().used(Vm) == Count);
    }
    BOOST_REQUIRE(Shard.queues().size() == Queued.size() + Running.size());
    BOOST_REQUIRE(Shard.queues().waiting(work_class::Short) +
                      Shard.queues().waiting(work_class::Long) ==
                  Queued.size());
    BOOST_REQUIRE(Shard.health().ejectedCount() <=
                  std::max(1U, Shard.health().maxEjected(5)));
  }

  std::mt19937_64 Random;
  shard_scheduler Shard;
  std::vector<queue_index> Queues;
  std::vector<team_index> Teams;
  time_point Now{Start};
  /** Queued items; true if an earlier attempt may have started. */
  std::map<item_id, bool> Queued;
  /** Running items; true if an earlier attempt may have started. */
  std::map<item_id, bool> MayHaveStarted;
  std::map<attempt_id, running_item, attempt_order> Running;
  std::uint64_t LastItem{0};
  std::uint64_t Sequence{0};
  std::uint64_t Epoch{2};
  std::uint64_t Admitted{0};
  std::uint64_t Ended{0};
};

} // namespace

BOOST_AUTO_TEST_SUITE(shard_histories)

// Guards against lost items, whose callers get no response, and against
// releasing an attempt twice, which frees a slot that is in use.
BOOST_AUTO_TEST_CASE(every_item_ends_once_and_slot_counts_match) {
  for (std::uint32_t Seed = 1; Seed <= 30; ++Seed) {
    random_history History{Seed};
    for (int Step = 0; Step < 2000; ++Step)
      History.step();
    History.drain();
  }
}

// Attempts started by other nodes occupy slots until the VM no longer reports
// them. If they are not counted, the VM is overloaded; if they are not
// released, their slots are lost.
BOOST_AUTO_TEST_CASE(foreign_attempts_follow_the_status_report) {
  shard_scheduler Shard;
  const auto Queue = Shard.setQueue({.Name = "q", .Service = "s"});
  const auto Team = Shard.setTeam({.Name = "t", .Customer = "m"});
  const auto Vm = Shard.addVm("vm", 1);
  std::vector<attempt_id> ForeignAttempts;
  for (std::uint64_t Id = 1; Id <= 7; ++Id)
    ForeignAttempts.push_back({node_id{2}, Id});
  BOOST_TEST(Shard.reconcileAttempts(Vm, ForeignAttempts, Start).Added == 7);
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
  ForeignAttempts.pop_back();
  ForeignAttempts.push_back({node_id{1}, 1});
  BOOST_TEST(Shard.reconcileAttempts(Vm, ForeignAttempts, Start).Released == 1);
  BOOST_TEST(Shard.next({node_id{1}, 2}, Start).has_value());
  BOOST_TEST((Shard.finished(ForeignAttempts[0], Start).Disposition ==
              attempt_disposition::Done));
  BOOST_TEST(Shard.slots().used(Vm) == 7);
}

BOOST_AUTO_TEST_SUITE_END()
