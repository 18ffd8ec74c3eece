#include "galenalink/account/ledger.hpp"
#include "galenalink/core/assert.hpp"
#include "galenalink/core/hash.hpp"
#include <algorithm>

namespace galenalink::account {

namespace {

[[nodiscard]] std::int64_t periodOf(const wall_ms At) noexcept {
  return At >= 0 ? At / PeriodMs : (At + 1) / PeriodMs - 1;
}

void change(std::uint64_t &Value, const std::int64_t Count) {
  GALENALINK_ASSERT(Count >= 0 || Value >= static_cast<std::uint64_t>(-Count),
                    "a VM leaves a use that it is not in");
  Value += static_cast<std::uint64_t>(Count);
}

} // namespace

std::size_t
ledger::name_hash::operator()(const std::string_view Name) const noexcept {
  return hash64(Name);
}

ledger::ledger(const std::size_t KeepPeriods)
    : KeepPeriods(std::max<std::size_t>(KeepPeriods, 1)) {}

ledger::ledger(const ledger_state &State, const std::size_t KeepPeriods)
    : ledger(KeepPeriods) {
  NowMs = State.NowMs;
  for (const auto &Customer : State.Customers)
    Customers.emplace(Customer.Customer, Customer);
}

wall_ms ledger::clamp(const wall_ms At) {
  NowMs = std::max(NowMs, At);
  return NowMs;
}

totals &ledger::open(customer_state &Account, const std::int64_t Period) const {
  if (Account.Periods.empty() || Account.Periods.back().Period != Period) {
    if (Account.Periods.size() >= KeepPeriods)
      Account.Periods.erase(Account.Periods.begin());
    Account.Periods.push_back({Account.Customer, Period, {}});
  }
  return Account.Periods.back().Totals;
}

void ledger::accrue(customer_state &Account, const wall_ms At) const {
  while (Account.ThroughMs < At) {
    const auto Period = periodOf(Account.ThroughMs);
    const auto Until = std::min(At, (Period + 1) * PeriodMs);
    const auto Elapsed = static_cast<std::uint64_t>(Until - Account.ThroughMs);
    auto &Totals = open(Account, Period);
    Totals.OwnedMs += Account.Owned * Elapsed;
    Totals.LentMs += Account.Lent * Elapsed;
    Totals.BorrowedMs += Account.Borrowed * Elapsed;
    Totals.ElapsedMs += Elapsed;
    std::uint64_t Needed = 0;
    for (std::size_t Use = 0; Use < UseCount; ++Use) {
      Totals.UseMs[Use] += Account.Held[Use] * Elapsed;
      if (Use != static_cast<std::size_t>(use::Buffer))
        Needed += Account.Held[Use];
    }
    // Only a state that lasted counts: events of the same time pass through
    // combinations that no VM was ever in.
    Totals.PeakVms = std::max({Totals.PeakVms, Needed, Account.RequiredVms});
    Account.ThroughMs = Until;
  }
}

customer_state &ledger::through(const wall_ms At,
                                const std::string_view Customer) {
  auto Found = Customers.find(Customer);
  if (Found == Customers.end()) {
    customer_state Fresh;
    Fresh.Customer = std::string{Customer};
    Fresh.ThroughMs = At;
    Found = Customers.emplace(Fresh.Customer, std::move(Fresh)).first;
  }
  accrue(Found->second, At);
  return Found->second;
}

void ledger::add(const wall_ms At, const vm_use &Use,
                 const std::int64_t Count) {
  auto &Owner = through(At, Use.Owner);
  change(Owner.Owned, Count);
  if (Use.Holder != Use.Owner)
    change(Owner.Lent, Count);
  auto &Holder = through(At, Use.Holder);
  if (Use.Holder != Use.Owner)
    change(Holder.Borrowed, Count);
  change(Holder.Held[static_cast<std::size_t>(Use.Use)], Count);
}

void ledger::changeUse(const wall_ms At, const std::optional<vm_use> &Before,
                       const std::optional<vm_use> &After) {
  const auto Now = clamp(At);
  if (Before)
    add(Now, *Before, -1);
  if (After)
    add(Now, *After, 1);
}

void ledger::countMove(const wall_ms At, const std::string_view Customer) {
  const auto Now = clamp(At);
  ++open(through(Now, Customer), periodOf(Now)).Moves;
}

void ledger::countWork(const wall_ms At, const std::string_view Customer,
                       const work_counts &Work) {
  const auto Now = clamp(At);
  auto &Counts = open(through(Now, Customer), periodOf(Now)).Work;
  Counts.Placed += Work.Placed;
  Counts.Refused += Work.Refused;
  Counts.Late += Work.Late;
}

void ledger::requireVms(const wall_ms At, const std::string_view Customer,
                        const std::uint64_t Vms) {
  through(clamp(At), Customer).RequiredVms = Vms;
}

void ledger::advance(const wall_ms At) {
  const auto Now = clamp(At);
  for (auto &[Name, Account] : Customers)
    accrue(Account, Now);
}

ledger_state ledger::state() const {
  ledger_state State{NowMs, {}};
  State.Customers.reserve(Customers.size());
  for (const auto &[Name, Account] : Customers)
    State.Customers.push_back(Account);
  std::ranges::sort(State.Customers, {}, &customer_state::Customer);
  return State;
}

std::vector<row> ledger::rows() const {
  std::vector<row> Rows;
  for (const auto &[Name, Account] : Customers)
    Rows.insert(Rows.end(), Account.Periods.begin(), Account.Periods.end());
  std::ranges::sort(Rows, [](const row &Left, const row &Right) {
    return Left.Period != Right.Period ? Left.Period < Right.Period
                                       : Left.Customer < Right.Customer;
  });
  return Rows;
}

} // namespace galenalink::account
