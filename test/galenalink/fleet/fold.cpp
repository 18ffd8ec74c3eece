#include "galenalink/fleet/apply.hpp"
#include "galenalink/fleet/assembly.hpp"
#include "galenalink/fleet/naive_fold.hpp"
#include <boost/test/unit_test.hpp>
#include <random>

using namespace galenalink;
using namespace galenalink::fleet;
using namespace galenalink::fleet::test;

namespace {

/** @brief Draws records that are mostly plausible in the present state. */
class generator {
public:
  explicit generator(const unsigned Seed) : Random(Seed) {}

  wire::record next(const state &State) {
    wire::record Record;
    Record.set_id(below(50) == 0 && LastId > 2 ? LastId - 1 : ++LastId);
    Record.set_writer(1 + below(6));
    Now +=
        static_cast<wall_ms>(below(20) == 0 ? below(8'000'000) : below(2000)) -
        500;
    Record.set_at_ms(Now);
    switch (below(12)) {
    case 0:
      roster(Record);
      break;
    case 1:
      change(Record, State);
      break;
    default:
      vm(Record, State);
    }
    return Record;
  }

private:
  std::uint32_t below(const std::uint32_t Bound) { return Random() % Bound; }

  std::string pool() { return "p" + std::to_string(below(5)); }

  void roster(wire::record &Record) {
    const std::uint64_t Node = 1 + below(4) + LastId / 200;
    switch (below(5)) {
    case 0:
      Record.mutable_leave()->set_node(Node);
      break;
    case 1:
      Record.mutable_evict()->set_node(Node);
      Record.mutable_evict()->set_confirmed_stopped(below(3) == 0);
      break;
    case 2:
      Record.mutable_renew()->set_node(Node);
      break;
    default:
      Record.mutable_join()->set_node(Node);
      Record.mutable_join()->set_place("z");
    }
  }

  void change(wire::record &Record, const state &State) {
    auto &Change = *Record.mutable_config();
    const auto Version = State.Config.Version;
    Change.set_base_version(below(6) == 0 ? Version / 2 : Version);
    const auto Count = 1 + below(2);
    for (std::uint32_t Index = 0; Index < Count; ++Index) {
      auto &Document = *Change.add_documents();
      const auto Number = below(3);
      Document.set_name("d" + std::to_string(Number));
      if (below(15) == 0)
        continue;
      std::string Text = Number == 2 ? "n" : "m";
      for (std::uint32_t Pool = Number * 2; Pool < Number * 2 + 2; ++Pool) {
        if (below(12) > 0)
          Text += " pool=p" + std::to_string(Pool) + ':' +
                  std::to_string(1 + Pool % 3) + ':' + std::to_string(below(4));
      }
      if (below(2) == 0)
        Text += " service=s" + std::to_string(Number) + ":p" +
                std::to_string(below(20) == 0 ? below(5) : Number * 2) + ':' +
                std::to_string(below(5));
      if (below(2) == 0)
        Text += std::string{" lend="} + (Number == 2 ? 'm' : 'n') + ':' +
                std::to_string(below(4));
      Document.set_text(below(30) == 0 ? "m bad=" : Text);
    }
  }

  void vm(wire::record &Record, const state &State) {
    const auto Name = "v" + std::to_string(below(24));
    const auto Found = State.Vms.findVm(Name);
    if (!Found) {
      auto &Add = *Record.mutable_add_vm();
      Add.set_vm(Name);
      Add.set_member(below(3) == 0 ? "n" : "m");
      Add.set_place("z" + std::to_string(below(2)));
      Add.set_rack("r" + std::to_string(below(4)));
      Add.set_pool(pool());
      Add.set_condition(wire::VM_UP);
      return;
    }
    const auto &Known = State.Vms.at(*Found);
    const auto Set = [&](auto &Body) -> auto & {
      Body.set_vm(Name);
      Body.set_epoch(Known.Epoch - (below(15) == 0 ? 1 : 0));
      return Body;
    };
    const auto Action = below(10) == 0 ? 7 : Known.Action;
    switch (below(12)) {
    case 0:
      if (below(4) == 0)
        Set(*Record.mutable_remove_vm());
      else
        Set(*Record.mutable_release()).set_to_pool(pool());
      break;
    case 1:
    case 2:
      Set(*Record.mutable_release()).set_to_pool(pool());
      break;
    case 3:
      Set(*Record.mutable_drained());
      break;
    case 4:
      Set(*Record.mutable_take());
      break;
    case 5:
      Set(*Record.mutable_cancel());
      break;
    case 6:
    case 7:
      Set(*Record.mutable_permit()).set_action(LastId);
      break;
    case 8:
      Set(*Record.mutable_reboot()).set_action(Action);
      break;
    case 9:
      Set(*Record.mutable_done()).set_action(Action);
      break;
    case 10:
      Set(*Record.mutable_stuck()).set_action(Action);
      break;
    default:
      Set(*Record.mutable_change_vm())
          .set_condition(below(3) == 0
                             ? static_cast<wire::vm_condition>(below(4))
                             : wire::VM_UP);
    }
  }

  std::mt19937 Random;
  std::uint64_t LastId{0};
  wall_ms Now{1'000'000'000};
};

/** @brief Compares what the fold keeps with what scans give. */
std::string difference(const state &State, const naive_fold &Naive) {
  if (State.Vms.size() != Naive.Vms.size() || State.LogTime != Naive.Time ||
      State.Roster.nodes().size() != Naive.Nodes.size())
    return "number of VMs, nodes or time";
  for (const auto &[Name, Vm] : Naive.Vms) {
    const auto &Known = State.Vms.at(State.Vms.findVm(Name).value());
    const auto Motion = Vm.To.empty() ? vm_motion::None
                        : Vm.Drained  ? vm_motion::Drained
                                      : vm_motion::Releasing;
    if (State.Vms.poolAt(Known.Pool).Name != Vm.Pool ||
        Known.Shard != Vm.Shard || Known.Epoch != Vm.Epoch ||
        static_cast<int>(Known.Condition) != static_cast<int>(Vm.Condition) ||
        Known.Motion != Motion || Known.Maintenance != Vm.Maintenance ||
        Known.FailedInWave != Vm.FailedInWave)
      return "VM " + Name;
  }
  for (const auto &Pool : State.Vms.pools()) {
    const bool Known = Naive.findPool(Pool.Name) != nullptr;
    if (Known != Pool.configured())
      return "pool " + Pool.Name;
    if (!Known)
      continue;
    const auto Count = [&](bool (*Which)(const naive_vm &)) {
      return Naive.count(Pool.Name, Which);
    };
    const auto Usable = Count([](const naive_vm &Vm) { return Vm.usable(); });
    if (Pool.Budget != Naive.budgetOf(Pool.Name) ||
        Pool.Counts.LargestRack != Naive.largestRack(Pool.Name, {}) ||
        Pool.Counts.Usable != Usable ||
        Pool.Counts.Vms != Count([](const naive_vm &) { return true; }))
      return "counts of pool " + Pool.Name;
  }
  return {};
}

} // namespace

BOOST_AUTO_TEST_SUITE(fold)

// Guards the indices and counters of the fold against the plain rules.
BOOST_AUTO_TEST_CASE(agrees_with_the_naive_fold) {
  std::map<rejection, int> Reasons;
  for (unsigned Seed = 1; Seed <= 20; ++Seed) {
    generator Generator{Seed};
    state State{parseWords};
    naive_fold Naive;
    for (log_offset Offset = 1; Offset <= 2000; ++Offset) {
      const auto Record = Generator.next(State);
      const auto Result = apply(State, Offset, Record);
      ++Reasons[Result.Reason];
      BOOST_REQUIRE_MESSAGE(Naive.apply(Offset, Record) == Result.accepted(),
                            "seed " << Seed << " offset " << Offset << " "
                                    << nameOf(RejectionNames, Result.Reason)
                                    << "\n"
                                    << Record.DebugString());
      BOOST_REQUIRE_MESSAGE(difference(State, Naive).empty(),
                            "seed " << Seed << " offset " << Offset << " "
                                    << difference(State, Naive) << "\n"
                                    << Record.DebugString());
    }
  }
  for (const auto &[Reason, Count] : Reasons)
    BOOST_TEST_MESSAGE(nameOf(RejectionNames, Reason) << ' ' << Count);
  // Without these the histories would not reach the rules.
  for (const auto Reason :
       {rejection::None, rejection::Duplicate, rejection::Conflict,
        rejection::InvalidDocument, rejection::FixedProperty,
        rejection::PoolInUse, rejection::StaleEpoch, rejection::Budget,
        rejection::FailureInWave, rejection::LendingQuota,
        rejection::NotPermitted, rejection::NodeExists})
    BOOST_TEST(Reasons[Reason] > 0, nameOf(RejectionNames, Reason));
}

// A node that starts from a snapshot must not differ from the others.
BOOST_AUTO_TEST_CASE(snapshot_and_tail_equal_the_whole_log) {
  for (unsigned Seed = 1; Seed <= 10; ++Seed) {
    generator Generator{Seed};
    state State{parseWords};
    std::optional<state> Copy;
    for (log_offset Offset = 1; Offset <= 1000; ++Offset) {
      const auto Record = Generator.next(State);
      const auto Result = apply(State, Offset, Record);
      if (Copy)
        BOOST_REQUIRE((apply(*Copy, Offset, Record) == Result));
      if (Offset % 97 != 0)
        continue;
      const auto Bytes = serialize(State, "ledger");
      if (Copy)
        BOOST_REQUIRE(serialize(*Copy, "ledger") == Bytes);
      assembly Assembly;
      for (const auto &Chunk : makeChunks(Bytes, Offset, Offset))
        Assembly.add(Chunk);
      auto Restored = Assembly.take(Offset + 1, parseWords);
      BOOST_REQUIRE(Restored.has_value());
      BOOST_REQUIRE(Restored->Account == "ledger");
      Copy.emplace(std::move(Restored->State));
    }
  }
}

// A wrong index would accept a repeated append or reject a new one.
BOOST_AUTO_TEST_CASE(window_keeps_exactly_the_newest_appends) {
  append_window Window;
  std::mt19937_64 Random{1};
  std::vector<std::uint64_t> Ids;
  const auto Holds = [&](const std::size_t Position) {
    const auto Found = Window.find(Ids[Position]);
    return Found && Found->Offset == Position;
  };
  for (std::size_t Count = 0; Count < 3 * append_window::Capacity; ++Count) {
    // Consecutive ids share neighbouring slots, random ones do not.
    Ids.push_back(Count % 2 == 0 ? Count + 1 : Random());
    Window.add({Ids.back(), Count, rejection::None});
    const auto Old = Random() % Ids.size();
    BOOST_REQUIRE(Holds(Old) == (Old + append_window::Capacity > Count));
    BOOST_REQUIRE(!Window.find(Random()).has_value());
  }
  for (std::size_t Old = 0; Old < Ids.size(); ++Old)
    BOOST_REQUIRE(Holds(Old) == (Old + append_window::Capacity >= Ids.size()));
}

BOOST_AUTO_TEST_CASE(gap_is_refused_and_changes_nothing) {
  state State{parseWords};
  wire::record Record;
  Record.set_id(1);
  Record.mutable_work();
  BOOST_TEST(apply(State, 1, Record).accepted());
  const auto Before = serialize(State);
  Record.set_id(2);
  BOOST_TEST((apply(State, 3, Record).Reason == rejection::Gap));
  BOOST_TEST((apply(State, 1, Record).Reason == rejection::Gap));
  BOOST_TEST((serialize(State) == Before));
}

// An operator whose answer was lost learns by id what became of the change.
BOOST_AUTO_TEST_CASE(lost_answer_is_found_with_the_winning_change) {
  state State{parseWords};
  wire::record Record;
  Record.mutable_config()->add_documents()->set_name("d");
  Record.mutable_config()->mutable_documents(0)->set_text("m pool=p:1:0");
  Record.mutable_config()->set_author("first");
  Record.set_id(11);
  BOOST_TEST(apply(State, 1, Record).accepted());
  Record.mutable_config()->set_author("second");
  Record.set_id(12);
  apply(State, 2, Record);
  BOOST_TEST(!findAppend(State, 13).has_value());
  BOOST_TEST(findAppend(State, 11)->accepted());
  const auto Lost = findAppend(State, 12);
  BOOST_TEST((Lost->Reason == rejection::Conflict));
  BOOST_TEST(
      (Lost->Winner == std::optional{winning_change{"d", 1, 11, "first"}}));
}

BOOST_AUTO_TEST_SUITE_END()
