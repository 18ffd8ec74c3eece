#include "galenalink/account/ledger.hpp"
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

using namespace galenalink;
using namespace galenalink::account;

namespace {

const std::array<std::string, 3> Names{"a", "b", "c"};

struct event {
  wall_ms At;
  std::size_t Vm;
  std::optional<vm_use> After;
};

std::vector<event> randomEvents(std::mt19937_64 &Random, const int Count) {
  std::vector<event> Events;
  wall_ms At = PeriodMs * 20'000 + 12'345;
  for (int I = 0; I < Count; ++I) {
    // Often several events in the same millisecond.
    At += Random() % 3 == 0 ? 0 : static_cast<wall_ms>(Random() % 3'600'000);
    const std::size_t Vm = Random() % 20;
    event Event{At, Vm, std::nullopt};
    if (Random() % 10 != 0)
      Event.After = vm_use{Names[Vm % 3], Names[Random() % 3],
                           static_cast<use>(Random() % UseCount)};
    Events.push_back(Event);
  }
  return Events;
}

using key = std::pair<std::int64_t, std::string>;

/** Integrates each VM on its own, in steps from event to event or midnight. */
std::map<key, totals> naive(const std::vector<event> &Events,
                            const wall_ms End) {
  std::map<key, totals> Result;
  std::array<std::optional<vm_use>, 20> Vms;
  for (std::size_t I = 0; I < Events.size(); ++I) {
    Vms[Events[I].Vm] = Events[I].After;
    const auto Until = I + 1 < Events.size() ? Events[I + 1].At : End;
    for (auto From = Events[I].At; From < Until;) {
      const auto To = std::min(Until, (From / PeriodMs + 1) * PeriodMs);
      const auto Ms = static_cast<std::uint64_t>(To - From);
      std::map<std::string, std::uint64_t> Needed;
      for (const auto &Vm : Vms) {
        if (!Vm)
          continue;
        auto &Owner = Result[{From / PeriodMs, Vm->Owner}];
        auto &Holder = Result[{From / PeriodMs, Vm->Holder}];
        Owner.OwnedMs += Ms;
        Owner.LentMs += Vm->Owner == Vm->Holder ? 0 : Ms;
        Holder.BorrowedMs += Vm->Owner == Vm->Holder ? 0 : Ms;
        Holder.UseMs[static_cast<std::size_t>(Vm->Use)] += Ms;
        Needed[Vm->Holder] += Vm->Use == use::Buffer ? 0 : 1;
      }
      for (const auto &[Customer, Count] : Needed) {
        auto &Peak = Result[{From / PeriodMs, Customer}].PeakVms;
        Peak = std::max(Peak, Count);
      }
      From = To;
    }
  }
  return Result;
}

void feed(ledger &Ledger, const std::vector<event> &Events) {
  std::array<std::optional<vm_use>, 20> Vms;
  for (const auto &Event : Events) {
    Ledger.changeUse(Event.At, Vms[Event.Vm], Event.After);
    Vms[Event.Vm] = Event.After;
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(account_ledger)

// Lost or doubled time at a change of use or at midnight would show here.
BOOST_AUTO_TEST_CASE(equals_integration_of_each_vm) {
  for (std::uint64_t Seed = 1; Seed <= 30; ++Seed) {
    std::mt19937_64 Random{Seed};
    const auto Events = randomEvents(Random, 300);
    const auto End = Events.back().At + 90'000'000;
    ledger Ledger;
    feed(Ledger, Events);
    Ledger.advance(End);
    auto Expected = naive(Events, End);
    for (const auto &Row : Ledger.rows()) {
      auto &Want = Expected[{Row.Period, Row.Customer}];
      Want.ElapsedMs = Row.Totals.ElapsedMs;
      BOOST_TEST((Row.Totals == Want));
      Expected.erase({Row.Period, Row.Customer});
    }
    for (const auto &[Key, Totals] : Expected)
      BOOST_TEST((Totals == totals{}));
  }
}

// The board's figures must add up: nobody's VM time is lost or counted twice.
BOOST_AUTO_TEST_CASE(members_sum_to_the_fleet) {
  for (std::uint64_t Seed = 100; Seed < 130; ++Seed) {
    std::mt19937_64 Random{Seed};
    const auto Events = randomEvents(Random, 400);
    const auto End = Events.back().At + 1'000;
    ledger Ledger;
    feed(Ledger, Events);
    Ledger.advance(End);
    std::uint64_t FleetMs = 0;
    std::array<std::optional<wall_ms>, 20> Since;
    for (const auto &Event : Events) {
      auto &Begin = Since[Event.Vm];
      if (Begin && !Event.After) {
        FleetMs += static_cast<std::uint64_t>(Event.At - *Begin);
        Begin.reset();
      } else if (!Begin && Event.After) {
        Begin = Event.At;
      }
    }
    for (const auto &Begin : Since)
      FleetMs += Begin ? static_cast<std::uint64_t>(End - *Begin) : 0;
    std::uint64_t Owned = 0;
    std::uint64_t Lent = 0;
    std::uint64_t Borrowed = 0;
    for (const auto &[Customer, Period, Totals] : Ledger.rows()) {
      Owned += Totals.OwnedMs;
      Lent += Totals.LentMs;
      Borrowed += Totals.BorrowedMs;
      std::uint64_t Used = 0;
      for (const auto Ms : Totals.UseMs)
        Used += Ms;
      BOOST_TEST(Used == Totals.OwnedMs - Totals.LentMs + Totals.BorrowedMs);
    }
    BOOST_TEST(Owned == FleetMs);
    BOOST_TEST(Lent == Borrowed);
  }
}

// A node that starts from a snapshot must report the same figures.
BOOST_AUTO_TEST_CASE(state_round_trips_in_the_middle) {
  std::mt19937_64 Random{7};
  const auto Events = randomEvents(Random, 200);
  ledger Whole;
  auto Restored = std::make_unique<ledger>();
  std::array<std::optional<vm_use>, 20> Vms;
  for (const auto &Event : Events) {
    for (auto *Ledger : {&Whole, Restored.get()}) {
      Ledger->changeUse(Event.At, Vms[Event.Vm], Event.After);
      Ledger->countMove(Event.At, "a");
      Ledger->countWork(Event.At, "b", {1, 2, 3});
    }
    Vms[Event.Vm] = Event.After;
    Restored = std::make_unique<ledger>(Restored->state());
  }
  BOOST_TEST((Whole.state() == Restored->state()));
  BOOST_TEST((Whole.rows() == Restored->rows()));
}

// A late event must not move time back and wrap the unsigned totals.
BOOST_AUTO_TEST_CASE(time_never_goes_back) {
  ledger Ledger;
  Ledger.changeUse(5'000, std::nullopt, vm_use{"a", "a", use::InUse});
  Ledger.advance(9'000);
  Ledger.changeUse(7'000, vm_use{"a", "a", use::InUse}, std::nullopt);
  Ledger.advance(20'000);
  BOOST_TEST(Ledger.rows().front().Totals.OwnedMs == 4'000U);
}

// Memory stays bounded: only the kept periods remain.
BOOST_AUTO_TEST_CASE(old_periods_are_dropped) {
  ledger Ledger{3};
  Ledger.changeUse(0, std::nullopt, vm_use{"a", "b", use::InUse});
  Ledger.advance(10 * PeriodMs);
  BOOST_TEST(Ledger.rows().size() == 6U);
  BOOST_TEST(Ledger.rows().front().Period == 7);
}

// Transient states within one millisecond must not raise the need.
BOOST_AUTO_TEST_CASE(need_alone_is_the_lasting_peak_or_the_budget) {
  ledger Ledger;
  const vm_use Own{"a", "a", use::InUse};
  const vm_use Borrowed{"b", "a", use::InUse};
  Ledger.requireVms(0, "b", 3);
  Ledger.changeUse(0, std::nullopt, Own);
  Ledger.changeUse(0, std::nullopt, Borrowed);
  Ledger.changeUse(100, std::nullopt, Own);
  Ledger.changeUse(100, Own, std::nullopt);
  Ledger.advance(1'000);
  const auto Rows = Ledger.rows();
  BOOST_TEST(Rows[0].Totals.PeakVms == 2U);
  BOOST_TEST(Rows[0].Totals.savedMs() == 1'000U);
  BOOST_TEST(Rows[0].Totals.netMs() == 1'000);
  BOOST_TEST(Rows[1].Totals.PeakVms == 3U);
  BOOST_TEST(Rows[1].Totals.netMs() == 2'000 - 1'000);
}

BOOST_AUTO_TEST_SUITE_END()
