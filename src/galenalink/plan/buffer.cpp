#include "galenalink/plan/buffer.hpp"
#include "galenalink/core/assert.hpp"
#include "galenalink/plan/headroom.hpp"
#include <algorithm>
#include <functional>
#include <map>
#include <tuple>

namespace galenalink::plan {

namespace {

/** @brief One planning round; updates its counts with each added move. */
class buffer_round {
public:
  buffer_round(const buffer_input &Input, const wall_ms Now);

  [[nodiscard]] buffer_plan run();

private:
  struct pool_count {
    /** VMs that are up or moving to the pool. */
    std::uint32_t Up{0};
    /** Own VMs among these. */
    std::uint32_t OwnUp{0};
    /** Own VMs in any state that are not moving to another pool. */
    std::uint32_t Own{0};
    std::uint32_t Required{0};
    std::uint32_t Retained{0};
    /** Own VMs that planned moves may remove. */
    std::uint32_t Removable{0};
    bool HasRecentDemand{false};
    std::vector<vm_index> Vms;
    std::map<data_centre_index, std::uint32_t> DataCentres;
    std::map<rack_index, std::uint32_t> Racks;
  };

  using vm_filter = std::function<bool(vm_index)>;

  void countVms();
  void countDemand();
  void updateSurplus();
  [[nodiscard]] std::uint32_t shortfall(pool_index Pool) const noexcept;
  [[nodiscard]] bool hasSurplusFor(pool_index Pool,
                                   wall_ms Time) const noexcept;
  [[nodiscard]] bool canMove(vm_index Vm) const noexcept;
  [[nodiscard]] bool canRelease(vm_index Vm) const noexcept;
  [[nodiscard]] std::optional<vm_index>
  selectVm(pool_index From, pool_index To, const vm_filter &Allowed) const;
  bool allocateVm(pool_index To);
  bool takeFromSparePool(pool_index To);
  bool takeFromSurplus(pool_index To);
  bool recallLentVm(pool_index To);
  bool borrowFromOthers(pool_index To);
  void returnSurplus();
  void addMove(vm_index Vm, pool_index To, move_reason Reason);
  [[nodiscard]] std::optional<pool_index>
  sparePool(customer_index Customer) const;
  [[nodiscard]] std::uint32_t lendingLimit(customer_index From,
                                           customer_index To) const;
  [[nodiscard]] customer_index
  customerOf(const pool_index Pool) const noexcept {
    return Input.Pools[Pool].Customer;
  }

  const buffer_input &Input;
  wall_ms Now;
  std::vector<pool_count> Counts;
  std::vector<bool> Moved;
  std::map<customer_index, std::uint32_t> PendingMoves;
  std::map<std::pair<customer_index, customer_index>, std::uint32_t> Lent;
  buffer_plan Plan;
};

buffer_round::buffer_round(const buffer_input &Input, const wall_ms Now)
    : Input(Input), Now(Now), Counts(Input.Pools.size()),
      Moved(Input.Vms.size()) {
  GALENALINK_ASSERT(Input.Demand.size() == Input.Pools.size(),
                    "every pool must have a demand entry");
  Plan.State = Input.State;
  Plan.State.SurplusSinceMs.resize(Input.Pools.size());
  countVms();
  countDemand();
  updateSurplus();
}

void buffer_round::countVms() {
  const auto Headrooms = computeHeadroom(Input.Vms, Input.Pools);
  for (pool_index I = 0; I < Counts.size(); ++I)
    Counts[I].Removable =
        Input.Pools[I].MinUp == 0 ? Headrooms[I].Up : Headrooms[I].Removable;
  for (vm_index I = 0; I < Input.Vms.size(); ++I) {
    const auto &Vm = Input.Vms[I];
    const bool Moving = Vm.Motion != move_phase::None;
    const auto Pool = Moving ? Vm.To : Vm.Pool;
    const auto Customer = customerOf(Pool);
    auto &PoolCount = Counts[Pool];
    PoolCount.Own += Vm.Owner == Customer ? 1 : 0;
    if (Vm.Owner != Customer)
      ++Lent[{Vm.Owner, Customer}];
    if (Moving)
      ++PendingMoves[Customer];
    ++PoolCount.DataCentres[Vm.DataCentre];
    ++PoolCount.Racks[Vm.Rack];
    if (Vm.isUp())
      PoolCount.Vms.push_back(I);
    if (Vm.isUp() || (Moving && Vm.State == vm_state::Up)) {
      ++PoolCount.Up;
      PoolCount.OwnUp += Vm.Owner == Customer ? 1 : 0;
    }
  }
}

void buffer_round::countDemand() {
  for (pool_index I = 0; I < Counts.size(); ++I) {
    auto &Pool = Counts[I];
    if (Input.Pools[I].Spare)
      continue;
    const auto Age = Now - Input.Demand[I].AtMs;
    const auto Serving = static_cast<std::uint32_t>(Pool.Vms.size());
    const auto Demand = projectDemand(Input.Demand[I], Age,
                                      Serving * Input.Settings.SlotsPerVm);
    Pool.HasRecentDemand = Age <= Input.Settings.MaxDemandAgeMs;
    Pool.Required =
        Pool.HasRecentDemand ? requiredVms(Demand, Input.Settings) : 0;
    Pool.Retained =
        std::max(Pool.Required, retainedVms(Demand, Input.Settings));
  }
}

void buffer_round::updateSurplus() {
  for (pool_index I = 0; I < Counts.size(); ++I) {
    auto &Since = Plan.State.SurplusSinceMs[I];
    if (!Counts[I].HasRecentDemand || Counts[I].Up <= Counts[I].Retained)
      Since.reset();
    else if (!Since)
      Since = Now;
  }
}

std::uint32_t buffer_round::shortfall(const pool_index Pool) const noexcept {
  const auto &PoolCount = Counts[Pool];
  if (Input.Pools[Pool].Spare)
    return 0;
  // Keep one own VM above the budget, so that the next failure does not breach
  // the budget before a replacement arrives.
  const auto Budget = Input.Pools[Pool].MinUp;
  const auto MinOwnUp = Budget > 0 ? Budget + 1 : 0;
  const auto ByDemand =
      PoolCount.Required > PoolCount.Up ? PoolCount.Required - PoolCount.Up : 0;
  const auto ByBudget =
      MinOwnUp > PoolCount.OwnUp ? MinOwnUp - PoolCount.OwnUp : 0;
  return std::max(ByDemand, ByBudget);
}

bool buffer_round::hasSurplusFor(const pool_index Pool,
                                 const wall_ms Time) const noexcept {
  const auto &Since = Plan.State.SurplusSinceMs[Pool];
  return Since && Now - *Since >= Time &&
         Counts[Pool].Up > Counts[Pool].Retained;
}

bool buffer_round::canMove(const vm_index Vm) const noexcept {
  const auto &View = Input.Vms[Vm];
  return !Moved[Vm] && View.HoldUntilMs == 0 &&
         Now - View.PoolSinceMs >= Input.Settings.CoolDownMs;
}

bool buffer_round::canRelease(const vm_index Vm) const noexcept {
  const auto &View = Input.Vms[Vm];
  const auto &PoolCount = Counts[View.Pool];
  if (View.Owner != customerOf(View.Pool))
    return canMove(Vm);
  return canMove(Vm) && PoolCount.Removable > 0 &&
         (Input.Pools[View.Pool].Spare ||
          PoolCount.Own > Input.Pools[View.Pool].InitialVms);
}

std::optional<vm_index> buffer_round::selectVm(const pool_index From,
                                               const pool_index To,
                                               const vm_filter &Allowed) const {
  const auto &Source = Counts[From];
  const auto &Target = Counts[To];
  const auto CountAt = [](const auto &Table, const auto Key) {
    const auto Found = Table.find(Key);
    return Found == Table.end() ? 0 : static_cast<std::int64_t>(Found->second);
  };
  const auto Rank = [&](const vm_index I) {
    const auto &Vm = Input.Vms[I];
    return std::tuple{CountAt(Target.DataCentres, Vm.DataCentre) -
                          CountAt(Source.DataCentres, Vm.DataCentre),
                      CountAt(Target.Racks, Vm.Rack) -
                          CountAt(Source.Racks, Vm.Rack),
                      static_cast<std::int64_t>(Vm.BusySlots), I};
  };
  std::optional<vm_index> Best;
  for (const auto I : Source.Vms) {
    if (!Moved[I] && Allowed(I) && (!Best || Rank(I) < Rank(*Best)))
      Best = I;
  }
  return Best;
}

void buffer_round::addMove(const vm_index Vm, const pool_index To,
                           const move_reason Reason) {
  const auto &View = Input.Vms[Vm];
  auto &Source = Counts[View.Pool];
  auto &Target = Counts[To];
  Moved[Vm] = true;
  --Source.Up;
  --Source.DataCentres[View.DataCentre];
  --Source.Racks[View.Rack];
  if (View.Owner == customerOf(View.Pool)) {
    --Source.OwnUp;
    --Source.Own;
    Source.Removable -= Source.Removable > 0 ? 1 : 0;
  } else {
    --Lent[{View.Owner, customerOf(View.Pool)}];
  }
  ++Target.Up;
  ++Target.DataCentres[View.DataCentre];
  ++Target.Racks[View.Rack];
  if (View.Owner == customerOf(To)) {
    ++Target.OwnUp;
    ++Target.Own;
  } else {
    ++Lent[{View.Owner, customerOf(To)}];
  }
  if (Reason != move_reason::Recall)
    ++PendingMoves[customerOf(To)];
  const auto Deadline =
      Reason == move_reason::Recall ? Now + Input.Settings.RecallTimeoutMs : 0;
  Plan.Moves.push_back({Vm, View.Epoch, To, Reason, Deadline});
}

std::optional<pool_index>
buffer_round::sparePool(const customer_index Customer) const {
  for (pool_index I = 0; I < Input.Pools.size(); ++I) {
    if (Input.Pools[I].Spare && customerOf(I) == Customer)
      return I;
  }
  return std::nullopt;
}

std::uint32_t buffer_round::lendingLimit(const customer_index From,
                                         const customer_index To) const {
  for (const auto &Quota : Input.Quotas) {
    if (Quota.From == From && Quota.To == To)
      return Quota.MaxVms;
  }
  return 0;
}

bool buffer_round::takeFromSparePool(const pool_index To) {
  const auto Spare = sparePool(customerOf(To));
  if (!Spare)
    return false;
  const auto Vm =
      selectVm(*Spare, To, [this](const vm_index I) { return canRelease(I); });
  if (Vm)
    addMove(*Vm, To, move_reason::Peak);
  return Vm.has_value();
}

bool buffer_round::takeFromSurplus(const pool_index To) {
  std::optional<pool_index> LongestSurplus;
  const auto &Since = Plan.State.SurplusSinceMs;
  for (pool_index I = 0; I < Counts.size(); ++I) {
    const bool CanProvide =
        I != To && customerOf(I) == customerOf(To) && !Input.Pools[I].Spare &&
        shortfall(I) == 0 && hasSurplusFor(I, Input.Settings.SurplusHoldMs) &&
        std::ranges::any_of(Counts[I].Vms, [this](const vm_index Vm) {
          return canRelease(Vm);
        });
    if (CanProvide && (!LongestSurplus || *Since[I] < *Since[*LongestSurplus]))
      LongestSurplus = I;
  }
  if (!LongestSurplus)
    return false;
  const auto Vm = selectVm(*LongestSurplus, To,
                           [this](const vm_index I) { return canRelease(I); });
  addMove(*Vm, To, move_reason::Peak);
  return true;
}

bool buffer_round::recallLentVm(const pool_index To) {
  const auto Owner = customerOf(To);
  for (pool_index I = 0; I < Counts.size(); ++I) {
    // Planned actions never count borrowed VMs towards a budget; this check
    // protects a borrower that has lost own VMs to failures.
    if (customerOf(I) == Owner || Counts[I].Up <= Input.Pools[I].MinUp)
      continue;
    const auto Vm = selectVm(I, To, [&](const vm_index Candidate) {
      return Input.Vms[Candidate].Owner == Owner;
    });
    if (Vm) {
      addMove(*Vm, To, move_reason::Recall);
      return true;
    }
  }
  return false;
}

bool buffer_round::borrowFromOthers(const pool_index To) {
  const auto Borrower = customerOf(To);
  for (pool_index I = 0; I < Counts.size(); ++I) {
    const auto Lender = customerOf(I);
    if (!Input.Pools[I].Spare || Lender == Borrower ||
        Lent[{Lender, Borrower}] >= lendingLimit(Lender, Borrower))
      continue;
    bool LenderIsShort = false;
    for (pool_index Own = 0; Own < Counts.size(); ++Own)
      LenderIsShort |= customerOf(Own) == Lender && shortfall(Own) > 0;
    if (LenderIsShort)
      continue;
    const auto Vm = selectVm(I, To, [&](const vm_index Candidate) {
      // A VM that is due for maintenance stays with its owner.
      return canRelease(Candidate) && Input.Vms[Candidate].Owner == Lender &&
             !isDue(Input.Vms[Candidate], Input.Pools[I], Now);
    });
    if (Vm) {
      addMove(*Vm, To, move_reason::Borrow);
      return true;
    }
  }
  return false;
}

bool buffer_round::allocateVm(const pool_index To) {
  const auto Customer = customerOf(To);
  const bool Capped = PendingMoves[Customer] >= Input.Settings.MaxPendingMoves;
  // Borrowed VMs do not count towards the budget, so borrowing cannot cover a
  // shortfall in the budget.
  const bool ByDemand = Counts[To].Required > Counts[To].Up;
  if (!Capped && (takeFromSparePool(To) || takeFromSurplus(To)))
    return true;
  return recallLentVm(To) || (!Capped && ByDemand && borrowFromOthers(To));
}

void buffer_round::returnSurplus() {
  for (pool_index I = 0; I < Counts.size(); ++I) {
    for (const auto Vm : Counts[I].Vms) {
      if (!hasSurplusFor(I, Input.Settings.ReturnAfterMs))
        break;
      const auto Owner = Input.Vms[Vm].Owner;
      const auto Spare = sparePool(Owner);
      if (Moved[Vm] || !canRelease(Vm) || !Spare ||
          PendingMoves[Owner] >= Input.Settings.MaxPendingMoves)
        continue;
      const auto Best = selectVm(I, *Spare, [&](const vm_index Candidate) {
        return canRelease(Candidate) && Input.Vms[Candidate].Owner == Owner;
      });
      addMove(*Best, *Spare, move_reason::Return);
    }
  }
}

buffer_plan buffer_round::run() {
  std::vector<bool> Exhausted(Counts.size());
  while (true) {
    std::optional<pool_index> LargestShortfall;
    for (pool_index I = 0; I < Counts.size(); ++I) {
      if (!Exhausted[I] && shortfall(I) > 0 &&
          (!LargestShortfall || shortfall(I) > shortfall(*LargestShortfall)))
        LargestShortfall = I;
    }
    if (!LargestShortfall)
      break;
    if (!allocateVm(*LargestShortfall))
      Exhausted[*LargestShortfall] = true;
  }
  returnSurplus();
  for (pool_index I = 0; I < Counts.size(); ++I)
    Plan.Shortfall.push_back(shortfall(I));
  return std::move(Plan);
}

} // namespace

buffer_plan planBuffer(const buffer_input &Input, const wall_ms Now) {
  return buffer_round{Input, Now}.run();
}

} // namespace galenalink::plan
