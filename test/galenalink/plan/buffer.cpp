#include "galenalink/plan/buffer.hpp"
#include "galenalink/plan/headroom.hpp"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <set>

using namespace galenalink;
using namespace galenalink::plan;

namespace {

constexpr wall_ms Start = 1'000'000;
constexpr wall_ms SecondMs = 1'000;

/** Two customers with two serving pools and one spare pool each. */
struct fleet {
  std::vector<vm_view> Vms;
  std::vector<pool_view> Pools;
  std::vector<pool_demand> Demand;
  std::vector<lending_quota> Quotas{{0, 1, 2}, {1, 0, 2}};
  buffer_settings Settings;
  buffer_state State;

  explicit fleet(const std::uint32_t Spares) {
    for (pool_index I = 0; I < 6; ++I) {
      pool_view Pool;
      Pool.Customer = I / 3;
      Pool.Spare = I % 3 == 2;
      Pool.MinUp = Pool.Spare ? 0 : 3;
      Pool.InitialVms = Pool.Spare ? 0 : 6;
      Pools.push_back(Pool);
      for (std::uint32_t Vm = 0; Vm < (Pool.Spare ? Spares : 6); ++Vm) {
        vm_view View;
        View.Owner = Pool.Customer;
        View.Pool = I;
        View.DataCentre = Vm % 4;
        View.Rack = View.Owner * 100 + View.DataCentre * 10 + Vm / 4;
        View.Epoch = Vms.size() * 7;
        Vms.push_back(View);
      }
    }
    Demand.resize(Pools.size());
  }

  buffer_plan plan(const wall_ms Now) {
    for (auto &Each : Demand)
      Each.AtMs = std::max(Each.AtMs, Now - 1'000);
    auto Plan = planBuffer({Vms, Pools, Demand, Quotas, Settings, State}, Now);
    State = Plan.State;
    return Plan;
  }

  void apply(const buffer_plan &Plan, const wall_ms Now) {
    for (const auto &Move : Plan.Moves) {
      Vms[Move.Vm].Pool = Move.To;
      Vms[Move.Vm].PoolSinceMs = Now;
      ++Vms[Move.Vm].Epoch;
    }
  }

  [[nodiscard]] std::uint32_t countVms(const pool_index Pool) const {
    return static_cast<std::uint32_t>(
        std::ranges::count(Vms, Pool, &vm_view::Pool));
  }
};

/** Checks the budget of a pool after the loss of any rack, VM by VM. */
bool survivesRackLoss(const fleet &Fleet, const std::set<vm_index> &Removed,
                      const pool_index Pool) {
  std::uint32_t Up = 0;
  std::map<rack_index, std::uint32_t> Racks;
  for (vm_index I = 0; I < Fleet.Vms.size(); ++I) {
    const auto &Vm = Fleet.Vms[I];
    if (Vm.Pool != Pool || Vm.Owner != Fleet.Pools[Pool].Customer)
      continue;
    Up += Vm.isUp() && !Removed.contains(I) ? 1 : 0;
    Racks[Vm.Rack] += Removed.contains(I) ? 0 : 1;
  }
  return std::ranges::all_of(Racks, [&](const auto &Rack) {
    return Up >= Fleet.Pools[Pool].MinUp + Rack.second;
  });
}

/** Checks one plan against each constraint independently of the planner. */
void checkPlan(const fleet &Fleet, const buffer_plan &Plan, const wall_ms Now) {
  std::set<vm_index> Removed;
  std::map<customer_index, std::uint32_t> PlannedMoves;
  std::set<pool_index> Sources;
  for (const auto &Move : Plan.Moves) {
    const auto &Vm = Fleet.Vms[Move.Vm];
    const auto Customer = Fleet.Pools[Vm.Pool].Customer;
    const auto Target = Fleet.Pools[Move.To].Customer;
    const bool Recall = Move.Reason == move_reason::Recall;
    BOOST_TEST(Removed.insert(Move.Vm).second);
    BOOST_TEST((Vm.isUp() && Move.Epoch == Vm.Epoch && Move.To != Vm.Pool));
    BOOST_TEST((Recall || Vm.HoldUntilMs == 0));
    BOOST_TEST((Recall || Now - Vm.PoolSinceMs >= Fleet.Settings.CoolDownMs));
    BOOST_TEST((Move.DeadlineMs != 0) == Recall);
    PlannedMoves[Target] += Recall ? 0 : 1;
    if (Vm.Owner == Customer && !Fleet.Pools[Vm.Pool].Spare)
      Sources.insert(Vm.Pool);
    if (Move.Reason == move_reason::Borrow)
      BOOST_TEST((Fleet.Pools[Vm.Pool].Spare && Target != Vm.Owner));
    else
      BOOST_TEST((Target == Customer || Target == Vm.Owner));
  }
  for (const auto &[Customer, Count] : PlannedMoves)
    BOOST_TEST(Count <= Fleet.Settings.MaxPendingMoves);
  for (const auto Pool : Sources) {
    BOOST_TEST(survivesRackLoss(Fleet, Removed, Pool));
    const auto Remaining =
        std::ranges::count_if(Fleet.Vms, [&](const auto &Vm) {
          return Vm.Pool == Pool && Vm.Owner == Fleet.Pools[Pool].Customer &&
                 !Removed.contains(
                     static_cast<vm_index>(&Vm - Fleet.Vms.data()));
        });
    BOOST_TEST(Remaining >= Fleet.Pools[Pool].InitialVms);
  }
}

void checkQuotas(const fleet &Fleet) {
  for (const auto &Quota : Fleet.Quotas) {
    const auto Borrowed = std::ranges::count_if(Fleet.Vms, [&](const auto &Vm) {
      return Vm.Owner == Quota.From &&
             Fleet.Pools[Vm.Pool].Customer == Quota.To;
    });
    BOOST_TEST(Borrowed <= Quota.MaxVms);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(plan_buffer)

// Guards against errors in the closed form of requiredVms: it must equal the
// smallest number of VMs found by linear search.
BOOST_AUTO_TEST_CASE(required_vms_match_linear_search) {
  std::mt19937_64 Random{1};
  const buffer_settings Settings;
  for (int I = 0; I < 500; ++I) {
    pool_demand Demand;
    Demand.Slots = static_cast<std::uint32_t>(Random() % 300);
    Demand.QueuedSlotMs = Random() % 1'000'000;
    Demand.SlackMs = static_cast<wall_ms>(Random() % 10'000);
    const auto Wait = Demand.SlackMs * Settings.WaitPercent / 100;
    const auto Excess = [&](const std::int64_t Vms) {
      return static_cast<std::int64_t>(Demand.QueuedSlotMs) +
             Demand.Slots * Settings.HorizonMs -
             Settings.SlotsPerVm * Vms * (Settings.HorizonMs + Wait);
    };
    std::uint32_t Vms = 0;
    while (Excess(Vms) > static_cast<std::int64_t>(Settings.MoveCostSlotMs))
      ++Vms;
    BOOST_TEST(requiredVms(Demand, Settings) == Vms);
    BOOST_TEST(retainedVms(Demand, Settings) >= Vms);
  }
}

// Guards against plans that break a constraint under random demand, failures,
// maintenance and long-running work.
BOOST_AUTO_TEST_CASE(random_plans_respect_all_constraints) {
  std::map<move_reason, int> Reasons;
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    std::mt19937_64 Random{Seed};
    fleet Fleet{5};
    Fleet.Settings.ReturnAfterMs = 5'000;
    Fleet.Settings.MaxPendingMoves = 1 + Seed % 4;
    for (int Round = 0; Round < 200; ++Round) {
      const wall_ms Now = Start + Round * SecondMs;
      for (auto &Demand : Fleet.Demand) {
        if (Random() % 8 == 0)
          Demand.Slots = Random() % 4 == 0 ? Random() % 160 : Random() % 30;
      }
      for (auto &Vm : Fleet.Vms) {
        const auto Roll = Random() % 200;
        Vm.State = Roll < 2    ? vm_state::Down
                   : Roll < 40 ? vm_state::Up
                               : Vm.State;
        if (Roll > 190)
          Vm.HoldUntilMs = Vm.HoldUntilMs == 0 ? Now + 1 : 0;
        if (Roll == 50 || Vm.Maintenance != maintenance::None)
          Vm.Maintenance = Vm.Maintenance == maintenance::None
                               ? maintenance::Permitted
                               : maintenance::None;
      }
      const auto Plan = Fleet.plan(Now);
      checkPlan(Fleet, Plan, Now);
      for (const auto &Move : Plan.Moves)
        ++Reasons[Move.Reason];
      Fleet.apply(Plan, Now);
      checkQuotas(Fleet);
    }
  }
  for (const auto &[Reason, Name] : MoveReasonNames)
    BOOST_TEST(Reasons[Reason] > 20);
}

// Guards against oscillation: steady or slightly varying demand must not move
// VMs once they are allocated.
BOOST_AUTO_TEST_CASE(steady_demand_causes_no_moves) {
  std::mt19937_64 Random{5};
  fleet Fleet{4};
  int LateMoves = 0;
  for (int Round = 0; Round < 300; ++Round) {
    const wall_ms Now = Start + Round * SecondMs;
    Fleet.Demand[0].Slots = 110 + static_cast<std::uint32_t>(Random() % 5);
    Fleet.Demand[1].Slots = 20 + static_cast<std::uint32_t>(Random() % 5);
    const auto Plan = Fleet.plan(Now);
    LateMoves += Round > 10 ? static_cast<int>(Plan.Moves.size()) : 0;
    Fleet.apply(Plan, Now);
  }
  BOOST_TEST(LateMoves == 0);
  BOOST_TEST(Fleet.countVms(0) > 6U);
}

// Guards against a detour through the spare pool: a peak that shifts from pool
// to pool must cost one move per VM instead of two.
BOOST_AUTO_TEST_CASE(alternating_peaks_share_spares) {
  fleet Fleet{3};
  Fleet.Quotas.clear();
  std::size_t Moves = 0;
  for (int Round = 0; Round < 200; ++Round) {
    const wall_ms Now = Start + Round * SecondMs;
    const bool First = Round / 20 % 2 == 0;
    Fleet.Demand[0].Slots = First ? 140 : 2;
    Fleet.Demand[1].Slots = First ? 2 : 140;
    const auto Plan = Fleet.plan(Now);
    Moves += Plan.Moves.size();
    Fleet.apply(Plan, Now);
    if (Round % 20 == 19)
      BOOST_TEST(Fleet.countVms(First ? 0 : 1) == 9U);
  }
  BOOST_TEST(Moves == 10U * 3U);
}

// Guards against a late recall: a lender must get its VMs back in the round in
// which it has a shortfall, even within the cool-down and with the limit on
// pending moves reached.
BOOST_AUTO_TEST_CASE(lent_vms_are_recalled_when_owner_is_short) {
  fleet Fleet{2};
  Fleet.Demand[0].Slots = 160;
  Fleet.apply(Fleet.plan(Start), Start);
  const auto Lent = [&] {
    return std::ranges::count_if(Fleet.Vms, [&](const auto &Vm) {
      return Vm.Owner == 1 && Fleet.Pools[Vm.Pool].Customer == 0;
    });
  };
  BOOST_TEST(Lent() == 2);
  Fleet.Demand[3].Slots = 160;
  Fleet.Settings.MaxPendingMoves = 0;
  const auto Plan = Fleet.plan(Start + 1'000);
  BOOST_TEST(Plan.Moves.size() == 2U);
  for (const auto &Move : Plan.Moves) {
    BOOST_TEST((Move.Reason == move_reason::Recall && Move.To == 3));
    BOOST_TEST(Move.DeadlineMs ==
               Start + 1'000 + Fleet.Settings.RecallTimeoutMs);
  }
  Fleet.apply(Plan, Start + 1'000);
  BOOST_TEST(Lent() == 0);
}

// Guards against lending VMs that the lender needs itself.
BOOST_AUTO_TEST_CASE(lender_with_shortfall_does_not_lend) {
  fleet Fleet{2};
  for (auto &Demand : Fleet.Demand)
    Demand.Slots = 160;
  for (const auto &Move : Fleet.plan(Start).Moves)
    BOOST_TEST((Move.Reason == move_reason::Peak));
}

// Guards against draining a pool that may be busy after its demand reports have
// stopped.
BOOST_AUTO_TEST_CASE(stale_demand_causes_no_moves) {
  fleet Fleet{4};
  Fleet.Demand[0].Slots = 100;
  Fleet.apply(Fleet.plan(Start), Start);
  Fleet.Demand[0].Slots = 0;
  Fleet.Demand[0].AtMs = Start;
  for (int Round = 1; Round < 300; ++Round) {
    const wall_ms Now = Start + Round * SecondMs;
    auto Plan = planBuffer({Fleet.Vms, Fleet.Pools, Fleet.Demand, Fleet.Quotas,
                            Fleet.Settings, Fleet.State},
                           Now);
    Fleet.State = Plan.State;
    if (Now - Start > Fleet.Settings.MaxDemandAgeMs)
      BOOST_TEST(Plan.Moves.empty());
    Fleet.Demand[1].AtMs = Now;
  }
}

// Guards against spares that gather in one data centre, where one outage would
// take all of them.
BOOST_AUTO_TEST_CASE(spares_stay_spread_over_data_centres) {
  fleet Fleet{8};
  Fleet.Quotas.clear();
  Fleet.Settings.ReturnAfterMs = 3'000;
  for (int Round = 0; Round < 100; ++Round) {
    const wall_ms Now = Start + Round * SecondMs;
    Fleet.Demand[0].Slots = Round / 25 % 2 == 0 ? 85 : 2;
    Fleet.apply(Fleet.plan(Now), Now);
    std::array<int, 4> DataCentres{};
    for (const auto &Vm : Fleet.Vms)
      DataCentres.at(Vm.DataCentre) += Vm.Pool == 2 ? 1 : 0;
    const auto [Least, Most] = std::ranges::minmax(DataCentres);
    BOOST_TEST(Most - Least <= 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()
