#include "galenalink/node/account_keeper.hpp"
#include "galenalink/fleet/apply.hpp"
#include "galenalink/fleet/documents.hpp"
#include "galenalink/fleet/snapshot.hpp"
#include "records.pb.h"
#include <boost/test/unit_test.hpp>
#include <random>

using namespace galenalink;
using namespace galenalink::node;

namespace {

/** @brief Parses words; pools whose name starts with "spare" are spare. */
std::vector<config::diagnostic> parse(const std::string_view Name,
                                      const std::string_view Text,
                                      config::service_file &Out) {
  auto Faults = fleet::test::parseWords(Name, Text, Out);
  for (auto &Pool : Out.Pools)
    Pool.Spare = Pool.Name.starts_with("spare") && Pool.MinUp == 0;
  return Faults;
}

struct replica {
  fleet::state State{parse};
  account_keeper Keeper{State};

  fleet::applied fold(const wire::record &Record) {
    auto Applied = fleet::apply(State, State.Offset + 1, Record);
    Keeper.folded(Record, Applied);
    return Applied;
  }
};

/** @brief Records of three customers whose VMs move between their pools. */
class history {
public:
  explicit history(const std::uint64_t Seed) : Random{Seed} {}

  wire::record next(const fleet::state &State) {
    wire::record Record;
    Record.set_id(++Id);
    At += draw(3) == 0 ? 0 : static_cast<wall_ms>(draw(1'800'000));
    Record.set_at_ms(At);
    if (Id <= 3 || draw(40) == 0)
      config(static_cast<char>('a' + (Id <= 3 ? Id - 1 : draw(3))), State,
             *Record.mutable_config());
    else
      vm(State, Record);
    return Record;
  }

private:
  std::uint64_t draw(const std::uint64_t Bound) { return Random() % Bound; }

  void config(const char Customer, const fleet::state &State,
              wire::config_change &Change) {
    // A spare pool with a budget is a serving pool, so VMs change their use.
    const std::string Name{Customer};
    std::string Text = Name + " pool=serve" + Name +
                       ":1:" + std::to_string(draw(4)) + " pool=spare" + Name +
                       ":1:" + std::to_string(draw(2));
    for (const char Other : {'a', 'b', 'c'})
      if (Other != Customer)
        Text += std::string{" lend="} + Other + ":5";
    Change.set_base_version(State.Offset);
    Change.add_documents()->set_name(Name);
    Change.mutable_documents(0)->set_text(Text);
  }

  void vm(const fleet::state &State, wire::record &Record) {
    const char Customer = static_cast<char>('a' + draw(3));
    const auto Pool =
        (draw(2) == 0 ? "serve" : "spare") + std::string{Customer};
    const auto Name = "vm" + std::to_string(draw(15));
    const auto Found = State.Vms.findVm(Name);
    if (!Found) {
      auto &Add = *Record.mutable_add_vm();
      Add.set_vm(Name);
      Add.set_member(std::string{Customer});
      Add.set_rack("r" + std::to_string(draw(3)));
      Add.set_pool(Pool);
      Add.set_condition(wire::VM_UP);
      return;
    }
    const auto &Vm = State.Vms.at(*Found);
    const auto Fill = [&](auto &Body) {
      Body.set_vm(Name);
      Body.set_epoch(Vm.Epoch);
    };
    const auto Act = [&](auto &Body, const std::uint64_t Action) {
      Fill(Body);
      Body.set_action(Action);
    };
    switch (draw(14)) {
    case 0:
      return Fill(*Record.mutable_remove_vm());
    case 1:
    case 2:
      Fill(*Record.mutable_change_vm());
      return Record.mutable_change_vm()->set_condition(
          draw(3) == 0 ? wire::VM_DOWN : wire::VM_UP);
    case 3:
    case 4:
    case 5:
      Fill(*Record.mutable_release());
      return Record.mutable_release()->set_to_pool(Pool);
    case 6:
    case 7:
      return Fill(*Record.mutable_drained());
    case 8:
    case 9:
      return Fill(*Record.mutable_take());
    case 10:
      return Act(*Record.mutable_permit(), Id);
    case 11:
      return Act(*Record.mutable_reboot(), Vm.Action);
    case 12:
      return Act(*Record.mutable_done(), Vm.Action);
    default:
      auto &Count = *Record.mutable_work()->add_counts();
      Count.set_member(draw(5) == 0 ? "unknown" : std::string{Customer});
      Count.set_placed(draw(9));
      Count.set_refused(draw(3));
      Count.set_late(draw(2));
    }
  }

  std::mt19937_64 Random;
  std::uint64_t Id{0};
  wall_ms At{account::PeriodMs * 20'000 + 5};
};

/** @brief The fleet's totals of what the VMs did during some time. */
void addNaive(const fleet::state &State, const std::uint64_t Elapsed,
              account::totals &Sum) {
  for (fleet::vm_index Index = 0; Index < State.Vms.slots(); ++Index) {
    if (!State.Vms.used(Index))
      continue;
    const auto &Vm = State.Vms.at(Index);
    const auto &Pool = State.Vms.poolAt(Vm.Pool);
    auto Use = Pool.Spare ? account::use::Buffer : account::use::InUse;
    if (Vm.Condition != fleet::vm_condition::Up ||
        Vm.Motion != fleet::vm_motion::None)
      Use = account::use::Unavailable;
    if (Vm.Maintenance != fleet::vm_maintenance::None)
      Use = account::use::Maintenance;
    Sum.OwnedMs += Elapsed;
    Sum.LentMs += Vm.Customer == Pool.Customer ? 0 : Elapsed;
    Sum.UseMs[static_cast<std::size_t>(Use)] += Elapsed;
  }
}

bool isCorrupt(account_keeper &Keeper, const std::string &Bytes) {
  bool Corrupt = false;
  tryOr([&] { return Keeper.restored(Bytes); },
        [&](const error &Error) { Corrupt = Error.Code == errc::Corrupt; });
  return Corrupt;
}

} // namespace

BOOST_AUTO_TEST_SUITE(account_keeper_suite)

// Guards against figures that depend on when a node joined.
BOOST_AUTO_TEST_CASE(snapshot_and_tail_give_the_rows_of_the_whole_log) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    history History{Seed};
    replica Whole;
    std::vector<std::unique_ptr<replica>> Others;
    for (int Step = 0; Step < 1500; ++Step) {
      const auto Record = History.next(Whole.State);
      Whole.fold(Record);
      for (const auto &Other : Others)
        Other->fold(Record);
      if (Step % 400 != 150)
        continue;
      const auto Bytes =
          fleet::serialize(Whole.State, Whole.Keeper.serialize());
      auto &Other = *Others.emplace_back(std::make_unique<replica>());
      auto Saved = tryOr([&] { return fleet::restore(Bytes, parse); },
                         [](const error &) {
                           return fleet::restored{fleet::state{parse}, {}};
                         });
      Other.State = std::move(Saved.State);
      BOOST_REQUIRE(!isCorrupt(Other.Keeper, Saved.Account));
    }
    for (const auto &Other : Others) {
      BOOST_TEST((Other->Keeper.rows() == Whole.Keeper.rows()));
      BOOST_TEST((Other->Keeper.serialize() == Whole.Keeper.serialize()));
    }
  }
}

// Guards against VM time that is lost or charged twice, and against a use that
// is not followed after a change of configuration.
BOOST_AUTO_TEST_CASE(sums_over_members_equal_the_fleet) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    history History{Seed};
    replica Node;
    account::totals Expected;
    for (int Step = 0; Step < 1500; ++Step) {
      const auto Record = History.next(Node.State);
      const auto Before = Node.State.LogTime;
      auto Ahead = Node.State;
      const bool Accepted =
          fleet::apply(Ahead, Ahead.Offset + 1, Record).accepted();
      addNaive(Node.State, static_cast<std::uint64_t>(Ahead.LogTime - Before),
               Expected);
      Node.fold(Record);
      Expected.Moves += Accepted && Record.has_take() ? 1 : 0;
      for (const auto &Count : Record.work().counts())
        Expected.Work.Placed +=
            Count.member() == "unknown" ? 0 : Count.placed();
    }
    account::totals Sum;
    std::uint64_t Borrowed = 0;
    for (const auto &[Customer, Period, Totals] : Node.Keeper.rows()) {
      Sum.OwnedMs += Totals.OwnedMs;
      Sum.LentMs += Totals.LentMs;
      Borrowed += Totals.BorrowedMs;
      Sum.Moves += Totals.Moves;
      Sum.Work.Placed += Totals.Work.Placed;
      for (std::size_t Use = 0; Use < account::UseCount; ++Use)
        Sum.UseMs[Use] += Totals.UseMs[Use];
    }
    BOOST_TEST((Sum == Expected));
    BOOST_TEST(Borrowed == Sum.LentMs);
    // The history must reach what it is to check.
    BOOST_TEST(Sum.Moves > 0U);
    BOOST_TEST(Sum.LentMs > 0U);
    BOOST_TEST(std::ranges::count(Sum.UseMs, 0U) == 0);
  }
}

// An account that does not fit its state would later count below zero.
BOOST_AUTO_TEST_CASE(damaged_account_is_refused) {
  history History{7};
  replica Node;
  for (int Step = 0; Step < 300; ++Step)
    Node.fold(History.next(Node.State));
  const auto Refused = [&](const std::string &Bytes) {
    return isCorrupt(Node.Keeper, Bytes);
  };
  const auto Bytes = Node.Keeper.serialize();
  BOOST_TEST(!Refused(Bytes));
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
    BOOST_REQUIRE(Refused(Bytes.substr(0, Size)));
  const auto State =
      tryOr([&] { return decodeAccount(Bytes); },
            [](const error &) { return account::ledger_state{}; });
  BOOST_TEST((encode(State) == Bytes));
  auto Wrong = State;
  ++Wrong.Customers.at(0).Owned;
  BOOST_TEST(Refused(encode(Wrong)));
  Wrong = State;
  Wrong.Customers.pop_back();
  BOOST_TEST(Refused(encode(Wrong)));
}

BOOST_AUTO_TEST_SUITE_END()
