#include "galenalink/node/account_keeper.hpp"
#include "records.pb.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace galenalink::node {

namespace {

using nlohmann::json;

/** Version of the encoding; the first item. */
constexpr int Encoding = 1;
constexpr std::size_t CustomerItems = 8;
constexpr std::size_t RowItems = 10 + account::UseCount;

[[nodiscard]] json encodeRow(const account::row &Row) {
  const auto &Totals = Row.Totals;
  json Json{Row.Period,          Totals.OwnedMs,   Totals.LentMs,
            Totals.BorrowedMs,   Totals.Moves,     Totals.Work.Placed,
            Totals.Work.Refused, Totals.Work.Late, Totals.ElapsedMs,
            Totals.PeakVms};
  for (const auto Time : Totals.UseMs)
    Json.push_back(Time);
  return Json;
}

[[nodiscard]] bool isNumber(const json &Json) {
  return Json.is_number_unsigned();
}

/** @brief Whether an array of this size has numbers alone. */
[[nodiscard]] bool areNumbers(const json &Json, const std::size_t Size) {
  return Json.is_array() && Json.size() == Size &&
         std::all_of(Json.begin(), Json.end(), isNumber);
}

/** @brief Times before the epoch or after the range of `wall_ms` are faults. */
[[nodiscard]] bool isTime(const json &Json) {
  return isNumber(Json) && Json.get<std::uint64_t>() <= INT64_MAX;
}

[[nodiscard]] bool decodeRow(const json &Json, account::row &Row) {
  if (!areNumbers(Json, RowItems) ||
      Json[0].get<std::uint64_t>() > INT64_MAX / account::PeriodMs)
    return false;
  const auto At = [&](const std::size_t Index) {
    return Json[Index].get<std::uint64_t>();
  };
  Row.Period = Json[0].get<std::int64_t>();
  Row.Totals = {At(1), At(2), At(3), {}, At(4), {At(5), At(6), At(7)},
                At(8), At(9)};
  for (std::size_t Use = 0; Use < account::UseCount; ++Use)
    Row.Totals.UseMs[Use] = At(10 + Use);
  return true;
}

[[nodiscard]] bool decodeCustomer(const json &Json,
                                  account::customer_state &Customer) {
  if (!Json.is_array() || Json.size() != CustomerItems ||
      !Json[0].is_string() || !isTime(Json[1]) || !isNumber(Json[2]) ||
      !isNumber(Json[3]) || !isNumber(Json[4]) ||
      !areNumbers(Json[5], account::UseCount) || !isNumber(Json[6]) ||
      !Json[7].is_array())
    return false;
  Customer.Customer = Json[0].get<std::string>();
  Customer.ThroughMs = Json[1].get<wall_ms>();
  Customer.Owned = Json[2].get<std::uint64_t>();
  Customer.Lent = Json[3].get<std::uint64_t>();
  Customer.Borrowed = Json[4].get<std::uint64_t>();
  for (std::size_t Use = 0; Use < account::UseCount; ++Use)
    Customer.Held[Use] = Json[5][Use].get<std::uint64_t>();
  Customer.RequiredVms = Json[6].get<std::uint64_t>();
  for (const auto &Item : Json[7]) {
    account::row Row{Customer.Customer, 0, {}};
    if (!decodeRow(Item, Row) || (!Customer.Periods.empty() &&
                                  Customer.Periods.back().Period >= Row.Period))
      return false;
    Customer.Periods.push_back(std::move(Row));
  }
  return true;
}

/** @brief VMs that the budget of a pool requires; see ledger::requireVms. */
[[nodiscard]] std::uint64_t needOf(const fleet::pool &Pool) noexcept {
  // A spare pool exists to be shared; alone, its customer would need none of
  // it.
  if (!Pool.configured() || Pool.Spare)
    return 0;
  return std::uint64_t{Pool.Budget} + Pool.Counts.LargestRack;
}

} // namespace

std::string encode(const account::ledger_state &State) {
  json Customers = json::array();
  for (const auto &Customer : State.Customers) {
    json Rows = json::array();
    for (const auto &Row : Customer.Periods)
      Rows.push_back(encodeRow(Row));
    Customers.push_back(json::array(
        {Customer.Customer, Customer.ThroughMs, Customer.Owned, Customer.Lent,
         Customer.Borrowed, Customer.Held, Customer.RequiredVms, Rows}));
  }
  std::string Bytes;
  json::to_cbor(json::array({Encoding, State.NowMs, Customers}), Bytes);
  return Bytes;
}

result<account::ledger_state> decodeAccount(const std::string_view Bytes) {
  const auto Json = json::from_cbor(Bytes, true, false);
  if (!Json.is_array() || Json.size() != 3 || Json[0] != Encoding ||
      !isTime(Json[1]) || !Json[2].is_array())
    return fail(errc::Corrupt, "the saved account cannot be decoded");
  account::ledger_state State{Json[1].get<wall_ms>(), {}};
  for (const auto &Item : Json[2]) {
    account::customer_state Customer;
    const bool Valid = decodeCustomer(Item, Customer) &&
                       Customer.ThroughMs <= State.NowMs &&
                       (State.Customers.empty() ||
                        State.Customers.back().Customer < Customer.Customer);
    if (!Valid)
      return fail(errc::Corrupt, "a member of the saved account is malformed");
    State.Customers.push_back(std::move(Customer));
  }
  return State;
}

std::optional<account::vm_use>
account_keeper::useOf(const fleet::vm_index Index) const {
  if (!State.Vms.used(Index))
    return std::nullopt;
  const auto &Vm = State.Vms.at(Index);
  const auto &Pool = State.Vms.poolAt(Vm.Pool);
  const auto Use = Vm.Maintenance != fleet::vm_maintenance::None
                       ? account::use::Maintenance
                   : !Vm.usable() ? account::use::Unavailable
                   : Pool.Spare   ? account::use::Buffer
                                  : account::use::InUse;
  return account::vm_use{Vm.Customer, Pool.Customer, Use};
}

void account_keeper::derive() {
  Slots.assign(State.Vms.slots(), {});
  for (std::size_t Slot = 0; Slot < Slots.size(); ++Slot) {
    const auto Index = static_cast<fleet::vm_index>(Slot);
    Slots[Slot].Use = useOf(Index);
    if (Slots[Slot].Use)
      Slots[Slot].Pool = State.Vms.at(Index).Pool;
  }
  Needs.clear();
  Required.clear();
  Customers.clear();
  for (const auto &Pool : State.Vms.pools()) {
    Needs.push_back(needOf(Pool));
    Customers.insert(Pool.Customer);
    if (Needs.back() != 0)
      Required[Pool.Customer] += Needs.back();
  }
  for (const auto &[Name, Document] : State.Config.Documents) {
    if (Document.File)
      Customers.insert(Document.File->Customer);
  }
}

void account_keeper::folded(const wire::record &Record,
                            const fleet::applied &Applied) {
  if (Applied.Vm)
    updateVm(*Applied.Vm);
  if (!Applied.accepted())
    return;
  if (Record.has_config())
    configured();
  else if (Record.has_work())
    countWork(Record);
  else if (Record.has_take() && Applied.Vm)
    Ledger.countMove(State.LogTime,
                     State.Vms.poolAt(State.Vms.at(*Applied.Vm).Pool).Customer);
}

void account_keeper::updateVm(const fleet::vm_index Index) {
  const auto Position = static_cast<std::size_t>(Index);
  if (Slots.size() <= Position)
    Slots.resize(Position + 1);
  auto &Slot = Slots[Position];
  auto After = useOf(Index);
  const auto Before = Slot.Pool;
  const bool Held = Slot.Use.has_value();
  if (Slot.Use != After)
    Ledger.changeUse(State.LogTime, Slot.Use, After);
  Slot.Use = std::move(After);
  if (Held)
    updateNeed(Before);
  if (Slot.Use) {
    Slot.Pool = State.Vms.at(Index).Pool;
    updateNeed(Slot.Pool);
  }
}

void account_keeper::updateNeed(const fleet::pool_index Index) {
  const auto &Pool = State.Vms.poolAt(Index);
  auto &Need = Needs.at(Index);
  const auto Next = needOf(Pool);
  if (Need == Next)
    return;
  auto &Sum = Required[Pool.Customer];
  Sum = Sum - Need + Next;
  Need = Next;
  Ledger.requireVms(State.LogTime, Pool.Customer, Sum);
  if (Sum == 0)
    Required.erase(Pool.Customer);
}

// A change may make a pool spare, or remove it, and so change the use of all
// its VMs.
void account_keeper::configured() {
  const auto SlotsBefore = std::move(Slots);
  const auto RequiredBefore = std::move(Required);
  derive();
  for (std::size_t Slot = 0; Slot < SlotsBefore.size(); ++Slot) {
    if (SlotsBefore[Slot].Use != Slots[Slot].Use)
      Ledger.changeUse(State.LogTime, SlotsBefore[Slot].Use, Slots[Slot].Use);
  }
  for (const auto &[Customer, Vms] : RequiredBefore) {
    if (!Required.contains(Customer))
      Ledger.requireVms(State.LogTime, Customer, 0);
  }
  for (const auto &[Customer, Vms] : Required) {
    const auto Before = RequiredBefore.find(Customer);
    if (Before == RequiredBefore.end() || Before->second != Vms)
      Ledger.requireVms(State.LogTime, Customer, Vms);
  }
}

void account_keeper::countWork(const wire::record &Record) {
  for (const auto &Count : Record.work().counts()) {
    if (Customers.contains(Count.member()))
      Ledger.countWork(State.LogTime, Count.member(),
                       {Count.placed(), Count.refused(), Count.late()});
  }
}

bool account_keeper::consistent(const account::ledger_state &Saved) const {
  std::map<std::string, account::customer_state> Expected;
  for (const auto &[Use, Unused] : Slots) {
    if (!Use)
      continue;
    ++Expected[Use->Owner].Owned;
    ++Expected[Use->Holder].Held[static_cast<std::size_t>(Use->Use)];
    if (Use->Owner != Use->Holder) {
      ++Expected[Use->Owner].Lent;
      ++Expected[Use->Holder].Borrowed;
    }
  }
  for (const auto &[Customer, Vms] : Required)
    Expected[Customer].RequiredVms = Vms;
  for (const auto &Customer : Saved.Customers) {
    const auto Now = Expected[Customer.Customer];
    if (Now.Owned != Customer.Owned || Now.Lent != Customer.Lent ||
        Now.Borrowed != Customer.Borrowed || Now.Held != Customer.Held ||
        Now.RequiredVms != Customer.RequiredVms)
      return false;
  }
  return Expected.size() == Saved.Customers.size() &&
         Saved.NowMs <= State.LogTime;
}

result<void> account_keeper::restored(const std::string_view Bytes) {
  derive();
  Ledger = account::ledger{};
  for (const auto &Slot : Slots)
    Ledger.changeUse(State.LogTime, std::nullopt, Slot.Use);
  for (const auto &[Customer, Vms] : Required)
    Ledger.requireVms(State.LogTime, Customer, Vms);
  BOOST_LEAF_AUTO(Saved, decodeAccount(Bytes));
  if (!consistent(Saved))
    return fail(errc::Corrupt, "the saved account does not fit the state");
  Ledger = account::ledger{Saved};
  return {};
}

std::string account_keeper::serialize() const { return encode(Ledger.state()); }

std::vector<account::row> account_keeper::rows() const {
  auto Complete = Ledger;
  Complete.advance(State.LogTime);
  return Complete.rows();
}

} // namespace galenalink::node
