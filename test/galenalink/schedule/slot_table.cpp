#include "galenalink/schedule/slot_table.hpp"
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

/** Reference model: a map from attempt to slot use, scanned by each query. */
struct reference_slots {
  struct vm {
    std::uint64_t Epoch{0};
    vm_state State{vm_state::Up};
    bool Excluded{false};
    bool Removed{false};
  };
  struct slot_use {
    vm_index Vm{};
    bool Long{false};
    bool Overrun{false};
    bool Foreign{false};
  };
  std::map<vm_index, vm> Vms;
  std::map<attempt_id, slot_use, attempt_order> Uses;

  [[nodiscard]] std::uint32_t count(const vm_index Vm, const bool Long) const {
    std::uint32_t Count = 0;
    for (const auto &[Id, Use] : Uses)
      Count += Use.Vm == Vm && (!Long || Use.Long) ? 1 : 0;
    return Count;
  }
  [[nodiscard]] std::uint32_t free(const vm_index Vm) const {
    return SlotsPerVm - count(Vm, false);
  }
  [[nodiscard]] bool eligible(const vm_index Vm) const {
    const auto &Record = Vms.at(Vm);
    return Record.State == vm_state::Up && !Record.Excluded && !Record.Removed;
  }
  [[nodiscard]] slot_table::totals total() const {
    slot_table::totals Total;
    for (const auto &[Vm, Record] : Vms) {
      if (!eligible(Vm))
        continue;
      ++Total.Vms;
      Total.Free += free(Vm);
      Total.Long += count(Vm, true);
      Total.LongVms += count(Vm, true) > 0 ? 1 : 0;
    }
    for (const auto &[Id, Use] : Uses)
      Total.Overrun += Use.Overrun && eligible(Use.Vm) ? 1 : 0;
    return Total;
  }
  /**
   * Rank of the best VM for short work: VMs without long work first, then the
   * most free slots.
   */
  [[nodiscard]] std::optional<std::pair<bool, std::uint32_t>>
  bestShort(const std::vector<vm_index> &AvoidedVms) const {
    std::optional<std::pair<bool, std::uint32_t>> Best;
    for (const auto &[Vm, Record] : Vms) {
      const std::pair Rank{count(Vm, true) == 0, free(Vm)};
      if (eligible(Vm) && Rank.second > 0 && (!Best || *Best < Rank) &&
          std::find(AvoidedVms.begin(), AvoidedVms.end(), Vm) ==
              AvoidedVms.end())
        Best = Rank;
    }
    return Best;
  }
  void eraseReleasedVms() {
    std::erase_if(Vms, [&](const auto &Entry) {
      return Entry.second.Removed && count(Entry.first, false) == 0;
    });
  }
};

void checkEqual(const slot_table &Table, const reference_slots &Reference) {
  BOOST_REQUIRE((Table.total() == Reference.total()));
  BOOST_REQUIRE(Table.size() == Reference.Vms.size());
  for (const auto &[Vm, Record] : Reference.Vms) {
    BOOST_REQUIRE(Table.contains(Vm));
    BOOST_REQUIRE(Table.used(Vm) <= SlotsPerVm);
    BOOST_REQUIRE(Table.used(Vm) == Reference.count(Vm, false));
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(slots)

// A slot that is counted wrongly overloads its VM or is lost permanently.
BOOST_AUTO_TEST_CASE(random_operations_match_reference_table) {
  for (std::uint32_t Seed = 1; Seed <= 20; ++Seed) {
    std::mt19937_64 Random{Seed};
    const auto RandomBelow = [&](const std::uint64_t Limit) {
      return Random() % Limit;
    };
    slot_table Table;
    reference_slots Reference;
    std::uint64_t Sequence = 0;
    const auto RandomVm = [&] {
      auto Vm = Reference.Vms.begin();
      std::advance(Vm, static_cast<long>(RandomBelow(Reference.Vms.size())));
      return Vm->first;
    };
    for (int Step = 0; Step < 3000; ++Step) {
      const auto Action = RandomBelow(100);
      if (Reference.Vms.empty() || Action < 3) {
        const auto Name = "vm" + std::to_string(RandomBelow(12));
        const auto Epoch = RandomBelow(4);
        const auto Vm = Table.add(Name, Epoch);
        const auto [Known, Added] = Reference.Vms.try_emplace(Vm);
        if (Added || Known->second.Epoch <= Epoch)
          Known->second = {Epoch, vm_state::Up, Known->second.Excluded, false};
      } else if (Action < 5) {
        const auto Vm = RandomVm();
        Table.remove(Vm);
        Reference.Vms[Vm].Removed = true;
        Reference.Vms[Vm].State = vm_state::Leaving;
      } else if (Action < 9) {
        const auto Vm = RandomVm();
        const auto State = static_cast<vm_state>(RandomBelow(4));
        Table.setState(Vm, State);
        if (!Reference.Vms[Vm].Removed)
          Reference.Vms[Vm].State = State;
      } else if (Action < 12) {
        const auto Vm = RandomVm();
        Reference.Vms[Vm].Excluded = RandomBelow(2) == 0;
        Table.setExcluded(Vm, Reference.Vms[Vm].Excluded);
      } else if (Action < 55) {
        std::vector<vm_index> AvoidedVms;
        if (RandomBelow(3) == 0)
          AvoidedVms = {RandomVm(), RandomVm()};
        const auto Best = Reference.bestShort(AvoidedVms);
        const auto Vm = Table.chooseShort(AvoidedVms);
        BOOST_REQUIRE(Vm.has_value() == Best.has_value());
        if (Vm) {
          BOOST_REQUIRE(Reference.eligible(*Vm));
          BOOST_REQUIRE((std::pair{Reference.count(*Vm, true) == 0,
                                   Reference.free(*Vm)} == *Best));
          const attempt_id Id{node_id{1}, ++Sequence};
          BOOST_REQUIRE(Table.take(*Vm, Id, work_class::Short).has_value());
          BOOST_REQUIRE(!Table.take(*Vm, Id, work_class::Short).has_value());
          Reference.Uses[Id] = {*Vm};
        }
      } else if (Action < 62) {
        const auto MaxLongVms = static_cast<std::uint32_t>(RandomBelow(4));
        if (const auto Vm = Table.chooseLong(MaxLongVms)) {
          BOOST_REQUIRE(Reference.eligible(*Vm));
          BOOST_REQUIRE((Reference.count(*Vm, true) > 0 ||
                         Reference.total().LongVms < MaxLongVms));
          const attempt_id Id{node_id{1}, ++Sequence};
          BOOST_REQUIRE(Table.take(*Vm, Id, work_class::Long).has_value());
          Reference.Uses[Id] = {*Vm, true};
        }
      } else if (Action < 66 && !Reference.Uses.empty()) {
        auto &[Id, Use] = *Reference.Uses.begin();
        Table.markOverrun(*Table.slotOf(Id));
        Use.Overrun = !Use.Long;
      } else if (Action < 70) {
        // Reports some of the attempts on the VM and some new foreign ones.
        const auto Vm = RandomVm();
        std::vector<attempt_id> Running;
        for (const auto &[Id, Use] : Reference.Uses) {
          if (Use.Vm == Vm && RandomBelow(2) == 0)
            Running.push_back(Id);
        }
        for (auto New = RandomBelow(4); New > 0; --New)
          Running.push_back({node_id{2}, ++Sequence});
        Table.reconcile(Vm, Running);
        std::erase_if(Reference.Uses, [&](const auto &Entry) {
          return Entry.second.Vm == Vm && Entry.second.Foreign &&
                 std::find(Running.begin(), Running.end(), Entry.first) ==
                     Running.end();
        });
        Reference.eraseReleasedVms();
        for (const auto Id : Running) {
          if (Reference.Vms.contains(Vm) && Reference.free(Vm) > 0)
            Reference.Uses.try_emplace(
                Id, reference_slots::slot_use{Vm, false, false, true});
        }
      } else if (!Reference.Uses.empty()) {
        auto Use = Reference.Uses.begin();
        std::advance(Use,
                     static_cast<long>(RandomBelow(Reference.Uses.size())));
        const auto Id = Use->first;
        BOOST_REQUIRE(Table.release(Id).has_value());
        BOOST_REQUIRE(!Table.release(Id).has_value());
        Reference.Uses.erase(Use);
      }
      Reference.eraseReleasedVms();
      checkEqual(Table, Reference);
    }
  }
}

// Long work that is spread over many VMs slows short work on all of them.
BOOST_AUTO_TEST_CASE(long_work_is_packed) {
  slot_table Table;
  for (int Vm = 0; Vm < 10; ++Vm)
    Table.add("vm" + std::to_string(Vm), 1);
  for (std::uint64_t Id = 1; Id <= 10; ++Id) {
    const auto Vm = Table.chooseLong(2);
    BOOST_REQUIRE(Vm.has_value());
    Table.take(*Vm, {node_id{1}, Id}, work_class::Long);
    BOOST_TEST(Table.total().LongVms == (Id + 7) / 8);
  }
}

// Adding a VM with an epoch older than its current one must not change its
// epoch or state.
BOOST_AUTO_TEST_CASE(an_older_epoch_is_ignored) {
  slot_table Table;
  const auto Vm = Table.add("vm", 5);
  Table.setState(Vm, vm_state::StaleEpoch);
  BOOST_TEST((Table.add("vm", 4) == Vm));
  BOOST_TEST((Table.state(Vm) == vm_state::StaleEpoch));
  BOOST_TEST((Table.add("vm", 6) == Vm));
  BOOST_TEST((Table.state(Vm) == vm_state::Up));
  BOOST_TEST(Table.epoch(Vm) == 6);
}

BOOST_AUTO_TEST_SUITE_END()
