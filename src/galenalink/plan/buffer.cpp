#include "galenalink/plan/buffer.hpp"
#include "galenalink/core/assert.hpp"
#include "galenalink/plan/headroom.hpp"
#include <algorithm>
#include <functional>
#include <map>
#include <tuple>

namespace galenalink::plan {

namespace {

/** @brief One round of planning; holds the counts as moves are added. */
class buffer_round {
public:
  buffer_round(const buffer_input &Input, const wall_ms Now);

  [[nodiscard]] buffer_plan run();

private:
  struct pool_count {
    /** VMs that are up or on the way to the pool. */
    std::uint32_t Up{0};
    /** Own VMs of these. */
    std::uint32_t OwnUp{0};
    /** Own VMs that are not on the way to another pool. */
    std::uint32_t Own{0};
    std::uint32_t Need{0};
    std::uint32_t Kept{0};
    /** VMs that planned moves may take. */
    std::uint32_t Removable{0};
    bool Fresh{false};
    std::vector<vm_index> Vms;
    std::map<data_centre_index, std::uint32_t> Places;
    std::map<rack_index, std::uint32_t> Racks;
  };

  using filter = std::function<bool(vm_index)>;

  void countVms();
  void countDemand();
  void updateSurplus();
  [[nodiscard]] std::uint32_t lack(pool_index Pool) const noexcept;
  [[nodiscard]] bool surplusFor(pool_index Pool, wall_ms Time) const noexcept;
  [[nodiscard]] bool canMove(vm_index Vm) const noexcept;
  [[nodiscard]] bool canGive(vm_index Vm) const noexcept;
  [[nodiscard]] std::optional<vm_index> pick(pool_index From, pool_index To,
                                             const filter &Allowed) const;
  bool fill(pool_index To);
  bool fromSpare(pool_index To);
  bool fromSurplus(pool_index To);
  bool fromLent(pool_index To);
  bool fromOthers(pool_index To);
  void returnSurplus();
  void add(vm_index Vm, pool_index To, move_reason Reason);
  [[nodiscard]] std::optional<pool_index>
  sparePool(customer_index Member) const;
  [[nodiscard]] std::uint32_t quota(customer_index From,
                                    customer_index To) const;
  [[nodiscard]] customer_index memberOf(const pool_index Pool) const noexcept {
    return Input.Pools[Pool].Member;
  }

  const buffer_input &Input;
  wall_ms Now;
  std::vector<pool_count> Count;
  std::vector<bool> Moved;
  std::map<customer_index, std::uint32_t> InMotion;
  std::map<std::pair<customer_index, customer_index>, std::uint32_t> Lent;
  buffer_plan Plan;
};

buffer_round::buffer_round(const buffer_input &Input, const wall_ms Now)
    : Input(Input), Now(Now), Count(Input.Pools.size()),
      Moved(Input.Vms.size()) {
  GALENALINK_ASSERT(Input.Demand.size() == Input.Pools.size(),
                    "every pool has a demand");
  Plan.State = Input.State;
  Plan.State.SurplusSinceMs.resize(Input.Pools.size());
  countVms();
  countDemand();
  updateSurplus();
}

void buffer_round::countVms() {
  const auto Headrooms = computeHeadroom(Input.Vms, Input.Pools);
  for (pool_index I = 0; I < Count.size(); ++I)
    Count[I].Removable =
        Input.Pools[I].MinUp == 0 ? Headrooms[I].Up : Headrooms[I].Removable;
  for (vm_index I = 0; I < Input.Vms.size(); ++I) {
    const auto &Vm = Input.Vms[I];
    const bool Moving = Vm.Motion != move_phase::None;
    const auto Pool = Moving ? Vm.To : Vm.Pool;
    const auto Member = memberOf(Pool);
    auto &There = Count[Pool];
    There.Own += Vm.Owner == Member ? 1 : 0;
    if (Vm.Owner != Member)
      ++Lent[{Vm.Owner, Member}];
    if (Moving)
      ++InMotion[Member];
    ++There.Places[Vm.Place];
    ++There.Racks[Vm.Rack];
    if (Vm.isUp())
      There.Vms.push_back(I);
    if (Vm.isUp() || (Moving && Vm.State == vm_state::Up)) {
      ++There.Up;
      There.OwnUp += Vm.Owner == Member ? 1 : 0;
    }
  }
}

void buffer_round::countDemand() {
  for (pool_index I = 0; I < Count.size(); ++I) {
    auto &Pool = Count[I];
    if (Input.Pools[I].Spare)
      continue;
    const auto Age = Now - Input.Demand[I].AtMs;
    const auto Serving = static_cast<std::uint32_t>(Pool.Vms.size());
    const auto Demand = projectDemand(Input.Demand[I], Age,
                                      Serving * Input.Settings.SlotsPerVm);
    Pool.Fresh = Age <= Input.Settings.StaleMs;
    Pool.Need = Pool.Fresh ? requiredVms(Demand, Input.Settings) : 0;
    Pool.Kept = std::max(Pool.Need, retainedVms(Demand, Input.Settings));
  }
}

void buffer_round::updateSurplus() {
  for (pool_index I = 0; I < Count.size(); ++I) {
    auto &Since = Plan.State.SurplusSinceMs[I];
    if (!Count[I].Fresh || Count[I].Up <= Count[I].Kept)
      Since.reset();
    else if (!Since)
      Since = Now;
  }
}

std::uint32_t buffer_round::lack(const pool_index Pool) const noexcept {
  const auto &There = Count[Pool];
  if (Input.Pools[Pool].Spare)
    return 0;
  // One VM above the budget is kept by own VMs, so that the next failure does
  // not break the budget while a replacement is on its way.
  const auto Budget = Input.Pools[Pool].MinUp;
  const auto Floor = Budget > 0 ? Budget + 1 : 0;
  const auto ByDemand = There.Need > There.Up ? There.Need - There.Up : 0;
  const auto ByBudget = Floor > There.OwnUp ? Floor - There.OwnUp : 0;
  return std::max(ByDemand, ByBudget);
}

bool buffer_round::surplusFor(const pool_index Pool,
                              const wall_ms Time) const noexcept {
  const auto &Since = Plan.State.SurplusSinceMs[Pool];
  return Since && Now - *Since >= Time && Count[Pool].Up > Count[Pool].Kept;
}

bool buffer_round::canMove(const vm_index Vm) const noexcept {
  const auto &View = Input.Vms[Vm];
  return !Moved[Vm] && View.HoldUntilMs == 0 &&
         Now - View.PoolSinceMs >= Input.Settings.CoolDownMs;
}

bool buffer_round::canGive(const vm_index Vm) const noexcept {
  const auto &View = Input.Vms[Vm];
  const auto &There = Count[View.Pool];
  if (View.Owner != memberOf(View.Pool))
    return canMove(Vm);
  return canMove(Vm) && There.Removable > 0 &&
         (Input.Pools[View.Pool].Spare ||
          There.Own > Input.Pools[View.Pool].InitialVms);
}

std::optional<vm_index> buffer_round::pick(const pool_index From,
                                           const pool_index To,
                                           const filter &Allowed) const {
  const auto &Source = Count[From];
  const auto &Target = Count[To];
  const auto In = [](const auto &Table, const auto Key) {
    const auto Found = Table.find(Key);
    return Found == Table.end() ? 0 : static_cast<std::int64_t>(Found->second);
  };
  const auto Rank = [&](const vm_index I) {
    const auto &Vm = Input.Vms[I];
    return std::tuple{In(Target.Places, Vm.Place) - In(Source.Places, Vm.Place),
                      In(Target.Racks, Vm.Rack) - In(Source.Racks, Vm.Rack),
                      static_cast<std::int64_t>(Vm.BusySlots), I};
  };
  std::optional<vm_index> Best;
  for (const auto I : Source.Vms) {
    if (!Moved[I] && Allowed(I) && (!Best || Rank(I) < Rank(*Best)))
      Best = I;
  }
  return Best;
}

void buffer_round::add(const vm_index Vm, const pool_index To,
                       const move_reason Reason) {
  const auto &View = Input.Vms[Vm];
  auto &Source = Count[View.Pool];
  auto &Target = Count[To];
  Moved[Vm] = true;
  --Source.Up;
  --Source.Places[View.Place];
  --Source.Racks[View.Rack];
  if (View.Owner == memberOf(View.Pool)) {
    --Source.OwnUp;
    --Source.Own;
    Source.Removable -= Source.Removable > 0 ? 1 : 0;
  } else {
    --Lent[{View.Owner, memberOf(View.Pool)}];
  }
  ++Target.Up;
  ++Target.Places[View.Place];
  ++Target.Racks[View.Rack];
  if (View.Owner == memberOf(To)) {
    ++Target.OwnUp;
    ++Target.Own;
  } else {
    ++Lent[{View.Owner, memberOf(To)}];
  }
  if (Reason != move_reason::Recall)
    ++InMotion[memberOf(To)];
  const auto Deadline =
      Reason == move_reason::Recall ? Now + Input.Settings.RecallWithinMs : 0;
  Plan.Moves.push_back({Vm, View.Epoch, To, Reason, Deadline});
}

std::optional<pool_index>
buffer_round::sparePool(const customer_index Member) const {
  for (pool_index I = 0; I < Input.Pools.size(); ++I) {
    if (Input.Pools[I].Spare && memberOf(I) == Member)
      return I;
  }
  return std::nullopt;
}

std::uint32_t buffer_round::quota(const customer_index From,
                                  const customer_index To) const {
  for (const auto &Quota : Input.Quotas) {
    if (Quota.From == From && Quota.To == To)
      return Quota.MaxVms;
  }
  return 0;
}

bool buffer_round::fromSpare(const pool_index To) {
  const auto Spare = sparePool(memberOf(To));
  if (!Spare)
    return false;
  const auto Vm =
      pick(*Spare, To, [this](const vm_index I) { return canGive(I); });
  if (Vm)
    add(*Vm, To, move_reason::Peak);
  return Vm.has_value();
}

bool buffer_round::fromSurplus(const pool_index To) {
  std::optional<pool_index> Longest;
  const auto &Since = Plan.State.SurplusSinceMs;
  for (pool_index I = 0; I < Count.size(); ++I) {
    const bool Gives =
        I != To && memberOf(I) == memberOf(To) && !Input.Pools[I].Spare &&
        lack(I) == 0 && surplusFor(I, Input.Settings.SurplusHoldMs) &&
        std::ranges::any_of(Count[I].Vms,
                            [this](const vm_index Vm) { return canGive(Vm); });
    if (Gives && (!Longest || *Since[I] < *Since[*Longest]))
      Longest = I;
  }
  if (!Longest)
    return false;
  const auto Vm =
      pick(*Longest, To, [this](const vm_index I) { return canGive(I); });
  add(*Vm, To, move_reason::Peak);
  return true;
}

bool buffer_round::fromLent(const pool_index To) {
  const auto Owner = memberOf(To);
  for (pool_index I = 0; I < Count.size(); ++I) {
    // Planned actions never rest a budget on borrowed VMs; this check protects
    // a borrower that lost own VMs to failures.
    if (memberOf(I) == Owner || Count[I].Up <= Input.Pools[I].MinUp)
      continue;
    const auto Vm = pick(I, To, [&](const vm_index Candidate) {
      return Input.Vms[Candidate].Owner == Owner;
    });
    if (Vm) {
      add(*Vm, To, move_reason::Recall);
      return true;
    }
  }
  return false;
}

bool buffer_round::fromOthers(const pool_index To) {
  const auto Borrower = memberOf(To);
  for (pool_index I = 0; I < Count.size(); ++I) {
    const auto Lender = memberOf(I);
    if (!Input.Pools[I].Spare || Lender == Borrower ||
        Lent[{Lender, Borrower}] >= quota(Lender, Borrower))
      continue;
    bool LenderLacks = false;
    for (pool_index Own = 0; Own < Count.size(); ++Own)
      LenderLacks |= memberOf(Own) == Lender && lack(Own) > 0;
    if (LenderLacks)
      continue;
    const auto Vm = pick(I, To, [&](const vm_index Candidate) {
      // A VM that is due stays with its owner, who maintains it.
      return canGive(Candidate) && Input.Vms[Candidate].Owner == Lender &&
             !isDue(Input.Vms[Candidate], Input.Pools[I], Now);
    });
    if (Vm) {
      add(*Vm, To, move_reason::Borrow);
      return true;
    }
  }
  return false;
}

bool buffer_round::fill(const pool_index To) {
  const auto Member = memberOf(To);
  const bool Capped = InMotion[Member] >= Input.Settings.MaxPendingMoves;
  // Borrowed VMs do not count for the budget, so a lack in the budget is not
  // met by borrowing.
  const bool ByDemand = Count[To].Need > Count[To].Up;
  if (!Capped && (fromSpare(To) || fromSurplus(To)))
    return true;
  return fromLent(To) || (!Capped && ByDemand && fromOthers(To));
}

void buffer_round::returnSurplus() {
  for (pool_index I = 0; I < Count.size(); ++I) {
    for (const auto Vm : Count[I].Vms) {
      if (!surplusFor(I, Input.Settings.ReturnAfterMs))
        break;
      const auto Owner = Input.Vms[Vm].Owner;
      const auto Spare = sparePool(Owner);
      if (Moved[Vm] || !canGive(Vm) || !Spare ||
          InMotion[Owner] >= Input.Settings.MaxPendingMoves)
        continue;
      const auto Best = pick(I, *Spare, [&](const vm_index Candidate) {
        return canGive(Candidate) && Input.Vms[Candidate].Owner == Owner;
      });
      add(*Best, *Spare, move_reason::Return);
    }
  }
}

buffer_plan buffer_round::run() {
  std::vector<bool> Closed(Count.size());
  while (true) {
    std::optional<pool_index> Worst;
    for (pool_index I = 0; I < Count.size(); ++I) {
      if (!Closed[I] && lack(I) > 0 && (!Worst || lack(I) > lack(*Worst)))
        Worst = I;
    }
    if (!Worst)
      break;
    if (!fill(*Worst))
      Closed[*Worst] = true;
  }
  returnSurplus();
  for (pool_index I = 0; I < Count.size(); ++I)
    Plan.Shortfall.push_back(lack(I));
  return std::move(Plan);
}

} // namespace

buffer_plan planBuffer(const buffer_input &Input, const wall_ms Now) {
  return buffer_round{Input, Now}.run();
}

} // namespace galenalink::plan
