#include "galenalink/schedule/shard_scheduler.hpp"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

using namespace galenalink;
using namespace galenalink::schedule;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point Start{std::chrono::hours{1}};

/** A shard with one team, a short and a long queue, both idempotent. */
struct fixture {
  explicit fixture(const int Vms = 10, const settings &Settings = {})
      : Shard{Settings} {
    Short = Shard.setQueue({.Name = "short",
                            .Service = "s",
                            .Idempotent = true,
                            .ExpectedRun = milliseconds{200}});
    Long = Shard.setQueue({.Name = "long",
                           .Service = "s",
                           .Idempotent = true,
                           .ExpectedRun = seconds{120}});
    Team = Shard.setTeam({.Name = "t", .Customer = "m"});
    for (int Vm = 0; Vm < Vms; ++Vm)
      Shard.addVm("vm" + std::to_string(Vm), 1);
  }
  admission enqueue(const queue_index Queue,
                    const duration Timeout = seconds{10}) {
    return Shard.enqueue({item_id{++LastItem}, Queue, Team, Now + Timeout},
                         Now);
  }
  std::optional<dispatch> next() {
    return Shard.next({node_id{1}, ++Sequence}, Now);
  }

  shard_scheduler Shard;
  queue_index Short{};
  queue_index Long{};
  team_index Team{};
  time_point Now{Start};
  std::uint64_t LastItem{0};
  std::uint64_t Sequence{0};
};

} // namespace

BOOST_AUTO_TEST_SUITE(shard_policy)

// A wrong estimate of the wait refuses work that would meet its deadline, or
// admits work that cannot. The reference sums over all queued items each time.
BOOST_AUTO_TEST_CASE(admission_matches_a_sum_over_all_items) {
  std::uint64_t OverloadCount = 0;
  for (std::uint32_t Seed = 1; Seed <= 20; ++Seed) {
    std::mt19937_64 Random{Seed};
    shard_scheduler Shard;
    const std::array Costs{milliseconds{200}, milliseconds{350}};
    const std::array Queues{
        Shard.setQueue({.Name = "a", .Service = "s", .ExpectedRun = Costs[0]}),
        Shard.setQueue({.Name = "b", .Service = "s", .ExpectedRun = Costs[1]})};
    const std::array Quotas{1.0, 3.0};
    const std::array Teams{
        Shard.setTeam({.Name = "t", .Customer = "m", .QuotaSlots = 1}),
        Shard.setTeam({.Name = "u", .Customer = "m", .QuotaSlots = 3})};
    const auto Vms = 1 + Random() % 4;
    for (std::uint64_t Vm = 0; Vm < Vms; ++Vm)
      Shard.addVm("vm" + std::to_string(Vm), 1);
    struct entry {
      std::size_t Queue{};
      std::size_t Team{};
    };
    std::map<std::uint64_t, entry> Waiting;
    std::array<time_point, 2> LastRetryAt{};
    std::array<time_point, 2> LastShortWaitAt{};
    auto Now = Start;
    std::uint64_t Refused = 0;
    for (std::uint64_t Step = 1; Step <= 5000; ++Step) {
      Now += milliseconds{Random() % 10};
      std::vector<expired_item> Expired;
      Shard.expire(Now, Expired);
      for (const auto &[Id, MayHaveStarted] : Expired)
        BOOST_REQUIRE(Waiting.erase(static_cast<std::uint64_t>(Id)) == 1);
      if (Random() % 4 == 0 && !Waiting.empty()) {
        const auto Id = Waiting.begin()->first;
        Waiting.erase(Id);
        BOOST_REQUIRE(
            (Shard.cancel(item_id{Id}).State == cancel_state::Removed));
        continue;
      }
      const auto Queue = Random() % 2;
      const auto Team = Random() % 2;
      const duration Timeout{milliseconds{100 + Random() % 4000}};
      // The flow's share is the team's share among the teams with queued work,
      // times the queue's share among the team's queues with queued work.
      double FlowBacklog = 0;
      double TotalBacklog = 0;
      std::array<bool, 2> TeamBusy{};
      std::array<bool, 2> QueueBusy{};
      TeamBusy[Team] = QueueBusy[Queue] = true;
      for (const auto &[Id, Entry] : Waiting) {
        const auto Cost =
            static_cast<double>(duration{Costs[Entry.Queue]}.count());
        TotalBacklog += Cost;
        TeamBusy[Entry.Team] = true;
        if (Entry.Team == Team) {
          QueueBusy[Entry.Queue] = true;
          FlowBacklog += Entry.Queue == Queue ? Cost : 0;
        }
      }
      const auto TeamShare = Quotas[Team] / ((TeamBusy[0] ? Quotas[0] : 0) +
                                             (TeamBusy[1] ? Quotas[1] : 0));
      const auto QueueShare = QueueBusy[0] && QueueBusy[1] ? 0.5 : 1.0;
      const auto Slots = static_cast<double>(8 * Vms);
      const auto Wait = std::min(FlowBacklog / Slots / TeamShare / QueueShare,
                                 TotalBacklog / Slots);
      const auto Run = std::min(duration{Costs[Queue]}, Timeout / 2);
      // After 10 s without a short wait, the limit is a quarter of the time
      // until the latest start.
      const auto UntilStart = static_cast<double>((Timeout - Run).count());
      if (Wait <= UntilStart / 8)
        LastShortWaitAt[Queue] = Now;
      const bool Overload = Now - LastShortWaitAt[Queue] > seconds{10};
      OverloadCount += Overload ? 1 : 0;
      const auto Margin = UntilStart / (Overload ? 4 : 1) - Wait;
      const auto Admission = Shard.enqueue(
          {item_id{Step}, Queues[Queue], Teams[Team], Now + Timeout}, Now);
      // Within the rounding error either decision is correct.
      if (std::abs(Margin) >= 3)
        BOOST_REQUIRE(Admission.admitted() == (Margin > 0));
      if (Admission.admitted()) {
        Waiting[Step] = {Queue, Team};
        continue;
      }
      ++Refused;
      BOOST_REQUIRE((Admission.Reason == refusal::DeadlineUnreachable));
      const auto Earliest = Now + std::max(duration{static_cast<long>(-Margin)},
                                           duration{milliseconds{50}});
      const duration SlotInterval{static_cast<long>(
          static_cast<double>(duration{Costs[Queue]}.count()) / Slots)};
      auto &Last = LastRetryAt[Queue];
      Last = std::min(std::max(Last, Earliest) + SlotInterval,
                      Now + duration{seconds{30}});
      BOOST_REQUIRE(std::abs((Admission.RetryAfter - (Last - Now)).count()) <=
                    3);
      Last = Now + Admission.RetryAfter;
    }
    BOOST_TEST(Refused > 0);
  }
  BOOST_TEST(OverloadCount > 0);
}

// Short work would wait for minutes if long work could take every free slot.
BOOST_AUTO_TEST_CASE(long_work_is_bounded_to_its_share_on_few_vms) {
  fixture Fixture;
  for (int Item = 0; Item < 60; ++Item)
    BOOST_TEST(Fixture.enqueue(Fixture.Long, seconds{3600}).admitted());
  while (Fixture.next()) {
  }
  const auto &Total = Fixture.Shard.slots().total();
  BOOST_TEST(Total.Long == 10);
  BOOST_TEST(Total.LongVms == 2);
  for (int Item = 0; Item < 70; ++Item)
    BOOST_TEST(Fixture.enqueue(Fixture.Short).admitted());
  for (int Item = 0; Item < 70; ++Item)
    BOOST_TEST(Fixture.next().has_value());
  BOOST_TEST(Total.Free == 0);
}

// If the bound on long work applied without short queues, most of the pool
// would be idle.
BOOST_AUTO_TEST_CASE(long_work_alone_uses_all_slots) {
  fixture Fixture;
  Fixture.Shard.removeQueue(Fixture.Short);
  for (int Item = 0; Item < 80; ++Item)
    (void)Fixture.enqueue(Fixture.Long, seconds{3600});
  while (Fixture.next()) {
  }
  BOOST_TEST(Fixture.Shard.slots().total().Long == 80);
}

// When all work ran longer than declared, it was classified as long and limited
// to an eighth of the slots while the others were idle.
BOOST_AUTO_TEST_CASE(work_declared_too_short_regains_its_slots) {
  fixture Fixture{2};
  // The bound on long work applies while any queue is classified as short.
  Fixture.Shard.setQueue({.Name = "idle",
                          .Service = "s",
                          .Idempotent = true,
                          .ExpectedRun = milliseconds{200}});
  std::vector<expired_item> Expired;
  const auto Round = [&] {
    for (int Item = 0; Item < 16; ++Item)
      (void)Fixture.enqueue(Fixture.Short, seconds{60});
    std::vector<attempt_id> Started;
    while (const auto Next = Fixture.next())
      Started.push_back(Next->Attempt);
    Fixture.Now += seconds{3};
    Fixture.Shard.expire(Fixture.Now, Expired);
    for (const auto Attempt : Started)
      (void)Fixture.Shard.finished(Attempt, Fixture.Now);
    return Started.size();
  };
  BOOST_TEST(Round() == 16U);
  BOOST_TEST(Round() == 16U);
}

// Work declared short that runs for minutes must be recognised while it runs,
// so that later items of its queue are limited to the share of long work.
BOOST_AUTO_TEST_CASE(overrunning_work_is_reclassified_as_long) {
  fixture Fixture;
  for (int Item = 0; Item < 30; ++Item)
    BOOST_TEST(Fixture.enqueue(Fixture.Short).admitted());
  while (Fixture.next()) {
  }
  std::vector<expired_item> Expired;
  Fixture.Now += milliseconds{900};
  Fixture.Shard.expire(Fixture.Now, Expired);
  BOOST_TEST(Fixture.Shard.slots().total().Overrun == 0);
  Fixture.Now += seconds{2};
  Fixture.Shard.expire(Fixture.Now, Expired);
  BOOST_TEST(Fixture.Shard.slots().total().Overrun == 30);
  BOOST_TEST(
      (Fixture.Shard.queues().classOf(Fixture.Short) == work_class::Long));
  // Running work keeps its slot when its queue is reclassified.
  for (std::uint64_t Id = 1; Id <= 30; ++Id)
    BOOST_TEST(
        (Fixture.Shard.finished({node_id{1}, Id}, Fixture.Now).Disposition ==
         attempt_disposition::Done));
  BOOST_TEST(Fixture.Shard.slots().total().Overrun == 0);
}

// An item that fails on every VM must be reported as such instead of causing
// the ejection of healthy VMs.
BOOST_AUTO_TEST_CASE(an_item_that_always_fails_ejects_no_vm) {
  fixture Fixture;
  int NeverRunsCount = 0;
  for (int Item = 0; Item < 2000; ++Item) {
    const bool AlwaysFails = Item % 20 == 19;
    BOOST_TEST_REQUIRE(Fixture.enqueue(Fixture.Short).admitted());
    std::vector<vm_index> TriedVms;
    while (const auto Placed = Fixture.next()) {
      Fixture.Now += milliseconds{1};
      BOOST_TEST_REQUIRE((std::find(TriedVms.begin(), TriedVms.end(),
                                    Placed->Vm) == TriedVms.end()));
      TriedVms.push_back(Placed->Vm);
      const auto Result =
          AlwaysFails ? Fixture.Shard.failed(Placed->Attempt, Fixture.Now)
                      : Fixture.Shard.finished(Placed->Attempt, Fixture.Now);
      NeverRunsCount +=
          Result.Disposition == attempt_disposition::NeverRuns ? 1 : 0;
    }
    BOOST_TEST_REQUIRE(TriedVms.size() <= 3U);
    BOOST_TEST_REQUIRE(Fixture.Shard.health().ejectedCount() == 0U);
  }
  BOOST_TEST(NeverRunsCount >= 95);
}

// Several such items in a row fail on every VM. Unless their failures are
// retracted, healthy VMs are ejected.
BOOST_AUTO_TEST_CASE(failures_of_items_that_never_run_are_retracted) {
  fixture Fixture{3};
  int NeverRunsCount = 0;
  for (int Item = 0; Item < 220; ++Item) {
    BOOST_TEST_REQUIRE(Fixture.enqueue(Fixture.Short).admitted());
    while (const auto Placed = Fixture.next()) {
      Fixture.Now += milliseconds{1};
      const auto Result =
          Item >= 210 ? Fixture.Shard.failed(Placed->Attempt, Fixture.Now)
                      : Fixture.Shard.finished(Placed->Attempt, Fixture.Now);
      NeverRunsCount +=
          Result.Disposition == attempt_disposition::NeverRuns ? 1 : 0;
    }
    BOOST_TEST_REQUIRE(Fixture.Shard.health().ejectedCount() == 0U);
  }
  BOOST_TEST(NeverRunsCount == 10);
}

// A retry of non-idempotent work that may have started could run it twice.
BOOST_AUTO_TEST_CASE(non_idempotent_work_is_not_retried_after_a_failure) {
  fixture Fixture;
  const auto Queue = Fixture.Shard.setQueue(
      {.Name = "once", .Service = "s", .ExpectedRun = milliseconds{9}});
  for (int Item = 0; Item < 200; ++Item) {
    BOOST_TEST_REQUIRE(Fixture.enqueue(Queue).admitted());
    const auto Placed = Fixture.next();
    const auto Result = Item % 2 == 0
                            ? Fixture.Shard.finished(Placed->Attempt, Start)
                            : Fixture.Shard.failed(Placed->Attempt, Start);
    BOOST_TEST_REQUIRE(
        (Result.Disposition == (Item % 2 == 0 ? attempt_disposition::Done
                                              : attempt_disposition::Failed)));
    BOOST_TEST_REQUIRE(!Fixture.next().has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()
