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

/** Naive table: one map from attempt to place, every question is a scan. */
struct naive_slots {
  struct vm {
    std::uint64_t Epoch{0};
    vm_state State{vm_state::Up};
    bool Held{false};
    bool Removed{false};
  };
  struct use {
    vm_index Vm{};
    bool Long{false};
    bool Overrun{false};
    bool Adopted{false};
  };
  std::map<vm_index, vm> Vms;
  std::map<attempt_id, use, attempt_order> Uses;

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
    return Record.State == vm_state::Up && !Record.Held && !Record.Removed;
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
  /** Most free slots, VMs without long work first; what a choice must equal. */
  [[nodiscard]] std::optional<std::pair<bool, std::uint32_t>>
  bestShort(const std::vector<vm_index> &Avoid) const {
    std::optional<std::pair<bool, std::uint32_t>> Best;
    for (const auto &[Vm, Record] : Vms) {
      const std::pair Rank{count(Vm, true) == 0, free(Vm)};
      if (eligible(Vm) && Rank.second > 0 && (!Best || *Best < Rank) &&
          std::find(Avoid.begin(), Avoid.end(), Vm) == Avoid.end())
        Best = Rank;
    }
    return Best;
  }
  void forget() {
    std::erase_if(Vms, [&](const auto &Entry) {
      return Entry.second.Removed && count(Entry.first, false) == 0;
    });
  }
};

void checkEqual(const slot_table &Table, const naive_slots &Naive) {
  BOOST_REQUIRE((Table.total() == Naive.total()));
  BOOST_REQUIRE(Table.size() == Naive.Vms.size());
  for (const auto &[Vm, Record] : Naive.Vms) {
    BOOST_REQUIRE(Table.known(Vm));
    BOOST_REQUIRE(Table.used(Vm) <= SlotsPerVm);
    BOOST_REQUIRE(Table.used(Vm) == Naive.count(Vm, false));
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(slots)

// A slot counted twice, or lost, overloads a VM or wastes it for good.
BOOST_AUTO_TEST_CASE(random_histories_equal_the_naive_table) {
  for (std::uint32_t Seed = 1; Seed <= 20; ++Seed) {
    std::mt19937_64 Random{Seed};
    const auto Below = [&](const std::uint64_t Limit) {
      return Random() % Limit;
    };
    slot_table Table;
    naive_slots Naive;
    std::uint64_t Sequence = 0;
    const auto AnyVm = [&] {
      auto Vm = Naive.Vms.begin();
      std::advance(Vm, static_cast<long>(Below(Naive.Vms.size())));
      return Vm->first;
    };
    for (int Step = 0; Step < 3000; ++Step) {
      const auto Kind = Below(100);
      if (Naive.Vms.empty() || Kind < 3) {
        const auto Name = "vm" + std::to_string(Below(12));
        const auto Epoch = Below(4);
        const auto Vm = Table.add(Name, Epoch);
        const auto [Known, Added] = Naive.Vms.try_emplace(Vm);
        if (Added || Known->second.Epoch <= Epoch)
          Known->second = {Epoch, vm_state::Up, Known->second.Held, false};
      } else if (Kind < 5) {
        const auto Vm = AnyVm();
        Table.remove(Vm);
        Naive.Vms[Vm].Removed = true;
        Naive.Vms[Vm].State = vm_state::Leaving;
      } else if (Kind < 9) {
        const auto Vm = AnyVm();
        const auto State = static_cast<vm_state>(Below(4));
        Table.setState(Vm, State);
        if (!Naive.Vms[Vm].Removed)
          Naive.Vms[Vm].State = State;
      } else if (Kind < 12) {
        const auto Vm = AnyVm();
        Naive.Vms[Vm].Held = Below(2) == 0;
        Table.setHeld(Vm, Naive.Vms[Vm].Held);
      } else if (Kind < 55) {
        std::vector<vm_index> Avoid;
        if (Below(3) == 0)
          Avoid = {AnyVm(), AnyVm()};
        const auto Best = Naive.bestShort(Avoid);
        const auto Vm = Table.chooseShort(Avoid);
        BOOST_REQUIRE(Vm.has_value() == Best.has_value());
        if (Vm) {
          BOOST_REQUIRE(Naive.eligible(*Vm));
          BOOST_REQUIRE((std::pair{Naive.count(*Vm, true) == 0,
                                   Naive.free(*Vm)} == *Best));
          const attempt_id Id{node_id{1}, ++Sequence};
          BOOST_REQUIRE(Table.take(*Vm, Id, work_class::Short).has_value());
          BOOST_REQUIRE(!Table.take(*Vm, Id, work_class::Short).has_value());
          Naive.Uses[Id] = {*Vm};
        }
      } else if (Kind < 62) {
        const auto Most = static_cast<std::uint32_t>(Below(4));
        if (const auto Vm = Table.chooseLong(Most)) {
          BOOST_REQUIRE(Naive.eligible(*Vm));
          BOOST_REQUIRE(
              (Naive.count(*Vm, true) > 0 || Naive.total().LongVms < Most));
          const attempt_id Id{node_id{1}, ++Sequence};
          BOOST_REQUIRE(Table.take(*Vm, Id, work_class::Long).has_value());
          Naive.Uses[Id] = {*Vm, true};
        }
      } else if (Kind < 66 && !Naive.Uses.empty()) {
        auto &[Id, Use] = *Naive.Uses.begin();
        Table.markOverrun(*Table.slotOf(Id));
        Use.Overrun = !Use.Long;
      } else if (Kind < 70) {
        // The report keeps some attempts of others and names some new ones.
        const auto Vm = AnyVm();
        std::vector<attempt_id> Running;
        for (const auto &[Id, Use] : Naive.Uses) {
          if (Use.Vm == Vm && Below(2) == 0)
            Running.push_back(Id);
        }
        for (auto New = Below(4); New > 0; --New)
          Running.push_back({node_id{2}, ++Sequence});
        Table.adopt(Vm, Running);
        std::erase_if(Naive.Uses, [&](const auto &Entry) {
          return Entry.second.Vm == Vm && Entry.second.Adopted &&
                 std::find(Running.begin(), Running.end(), Entry.first) ==
                     Running.end();
        });
        Naive.forget();
        for (const auto Id : Running) {
          if (Naive.Vms.contains(Vm) && Naive.free(Vm) > 0)
            Naive.Uses.try_emplace(Id,
                                   naive_slots::use{Vm, false, false, true});
        }
      } else if (!Naive.Uses.empty()) {
        auto Use = Naive.Uses.begin();
        std::advance(Use, static_cast<long>(Below(Naive.Uses.size())));
        const auto Id = Use->first;
        BOOST_REQUIRE(Table.release(Id).has_value());
        BOOST_REQUIRE(!Table.release(Id).has_value());
        Naive.Uses.erase(Use);
      }
      Naive.forget();
      checkEqual(Table, Naive);
    }
  }
}

// Long work that is spread over many VMs meets short work everywhere.
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

// A VM that came back under a newer epoch must not fall back to an older one.
BOOST_AUTO_TEST_CASE(an_older_epoch_changes_nothing) {
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
