#include "galenalink/fleet/naive_fold.hpp"
#include <algorithm>

namespace galenalink::fleet::test {

const config::pool *naive_fold::findPool(const std::string &Name) const {
  for (const auto &Entry : Files) {
    for (const auto &Pool : Entry.second.Pools) {
      if (Pool.Name == Name)
        return &Pool;
    }
  }
  return nullptr;
}

std::string naive_fold::customerOf(const std::string &Pool) const {
  for (const auto &Entry : Files) {
    for (const auto &Each : Entry.second.Pools) {
      if (Each.Name == Pool)
        return Entry.second.Customer;
    }
  }
  return {};
}

std::uint32_t naive_fold::budgetOf(const std::string &Pool) const {
  std::uint32_t Budget = findPool(Pool)->MinUp;
  for (const auto &Entry : Files) {
    for (const auto &Service : Entry.second.Services) {
      if (Service.Pool == Pool)
        Budget = std::max(Budget, Service.MinUp);
    }
  }
  return Budget;
}

std::uint32_t naive_fold::count(const std::string &Pool,
                                bool (*Which)(const naive_vm &)) const {
  return static_cast<std::uint32_t>(
      std::count_if(Vms.begin(), Vms.end(), [&](const auto &Entry) {
        return Entry.second.Pool == Pool && Which(Entry.second);
      }));
}

std::uint32_t naive_fold::largestRack(const std::string &Pool,
                                      const std::string &Without) const {
  std::map<std::pair<std::string, std::string>, std::uint32_t> Racks;
  std::uint32_t Largest = 0;
  for (const auto &[Name, Vm] : Vms) {
    if (Vm.Pool == Pool && Vm.usable() && Name != Without)
      Largest = std::max(Largest, ++Racks[{Vm.Added.place(), Vm.Added.rack()}]);
  }
  return Largest;
}

std::uint32_t naive_fold::emptiestShard(const std::string &Pool) const {
  std::vector<std::uint32_t> Counts(findPool(Pool)->Shards);
  for (const auto &Entry : Vms) {
    if (Entry.second.Pool == Pool)
      ++Counts[Entry.second.Shard];
  }
  return static_cast<std::uint32_t>(
      std::min_element(Counts.begin(), Counts.end()) - Counts.begin());
}

bool naive_fold::apply(const std::uint64_t Offset, const wire::record &Record) {
  Time = Time == 0 ? Record.at_ms()
                   : std::max(Time, std::min<std::int64_t>(Record.at_ms(),
                                                           Time + 3'600'000));
  if (!Seen.insert(Record.id()).second)
    return false;
  if (Record.has_join() || Record.has_leave() || Record.has_evict() ||
      Record.has_renew())
    return roster(Record);
  if (Record.has_config())
    return change(Offset, Record.config());
  return Record.has_work() || onVm(Offset, Record);
}

bool naive_fold::roster(const wire::record &Record) {
  if (Record.has_join()) {
    const auto Id = Record.join().node();
    return !Departed.contains(Id) &&
           Nodes.emplace(Id, Record.join().place()).second;
  }
  if (Record.has_renew())
    return Nodes.contains(Record.renew().node());
  std::uint64_t Gone = 0;
  if (Record.has_leave()) {
    Gone = Record.leave().node();
    if (Record.writer() != Gone || !Nodes.contains(Gone))
      return false;
    Stopped.insert(Gone);
  } else {
    Gone = Record.evict().node();
    if (Record.evict().confirmed_stopped()) {
      if (!Nodes.contains(Gone) &&
          (!Departed.contains(Gone) || Stopped.contains(Gone)))
        return false;
      Stopped.insert(Gone);
    } else if (!Nodes.contains(Gone) || Record.writer() == Gone ||
               !Nodes.contains(Record.writer())) {
      return false;
    }
  }
  Nodes.erase(Gone);
  Departed.insert(Gone);
  return true;
}

bool naive_fold::change(const std::uint64_t Offset,
                        const wire::config_change &Change) {
  if (Change.documents().empty() || Change.base_version() >= Offset)
    return false;
  naive_fold After = *this;
  std::set<std::string> Names;
  for (const auto &Each : Change.documents()) {
    if (Versions[Each.name()] > Change.base_version() ||
        !Names.insert(Each.name()).second)
      return false;
    config::service_file File;
    if (!parseWords(Each.name(), Each.text(), File).empty())
      return false;
    After.Files.erase(Each.name());
    if (!Each.text().empty())
      After.Files[Each.name()] = File;
    After.Versions[Each.name()] = Offset;
  }
  std::set<std::string> Pools;
  std::set<std::string> Services;
  for (const auto &[Name, File] : After.Files) {
    for (const auto &Pool : File.Pools) {
      const std::pair Fixed{File.Customer, Pool.Shards};
      if (!Pools.insert(Pool.Name).second ||
          After.PoolForever.try_emplace(Pool.Name, Fixed).first->second !=
              Fixed)
        return false;
    }
  }
  for (const auto &[Name, File] : After.Files) {
    for (const auto &Service : File.Services) {
      const auto Key = File.Customer + '/' + Service.Name;
      if (!Services.insert(Key).second || !Pools.contains(Service.Pool) ||
          After.ServiceForever.try_emplace(Key, Service.Pool).first->second !=
              Service.Pool)
        return false;
    }
  }
  for (const auto &Entry : Vms) {
    const auto &Vm = Entry.second;
    if (!Pools.contains(Vm.Pool) || (!Vm.To.empty() && !Pools.contains(Vm.To)))
      return false;
  }
  *this = After;
  return true;
}

bool naive_fold::release(naive_vm &Vm, const wire::move_release &Record) {
  const auto &To = Record.to_pool();
  if (findPool(To) == nullptr || To == Vm.Pool || !Vm.To.empty() ||
      Vm.Maintenance != vm_maintenance::None)
    return false;
  const auto Usable =
      count(Vm.Pool, [](const naive_vm &Each) { return Each.usable(); });
  if (Vm.usable() && Usable - 1 + 1 <= budgetOf(Vm.Pool))
    return false;
  const auto &Owner = Vm.Added.member();
  const auto Borrower = customerOf(To);
  if (Borrower != Owner && Borrower != customerOf(Vm.Pool)) {
    std::uint32_t Quota = 0;
    for (const auto &Entry : Files) {
      for (const auto &Each : Entry.second.Lending)
        Quota += Entry.second.Customer == Owner && Each.To == Borrower
                     ? Each.MaxVms
                     : 0;
    }
    std::uint32_t Lent = 0;
    for (const auto &Entry : Vms) {
      const auto &Each = Entry.second;
      Lent +=
          Each.Added.member() == Owner &&
                  customerOf(Each.To.empty() ? Each.Pool : Each.To) == Borrower
              ? 1
              : 0;
    }
    if (Lent >= Quota)
      return false;
  }
  Vm.To = To;
  Vm.Drained = false;
  return true;
}

bool naive_fold::permit(naive_vm &Vm, const std::uint64_t Action,
                        const std::string &Name) {
  if (Action == 0 || Action == Vm.Action || !Vm.To.empty() ||
      Vm.Maintenance != vm_maintenance::None ||
      Vm.Condition == wire::VM_LEAVING ||
      count(Vm.Pool, [](const naive_vm &Each) { return Each.FailedInWave; }) >
          0)
    return false;
  const auto Usable =
      count(Vm.Pool, [](const naive_vm &Each) { return Each.usable(); });
  if (Vm.usable() &&
      Usable - 1 < budgetOf(Vm.Pool) + largestRack(Vm.Pool, Name))
    return false;
  Vm.Maintenance = vm_maintenance::Permitted;
  Vm.Action = Action;
  return true;
}

bool naive_fold::onVm(const std::uint64_t Offset, const wire::record &Record) {
  if (Record.has_add_vm()) {
    const auto &Add = Record.add_vm();
    if (Vms.contains(Add.vm()) || findPool(Add.pool()) == nullptr)
      return false;
    naive_vm Vm{Add, Add.pool(), {}, emptiestShard(Add.pool()), Offset};
    Vm.Condition = Add.condition();
    Vms[Add.vm()] = Vm;
    return true;
  }
  const auto With = [&](const auto &Body, const auto &Do) {
    const auto Found = Vms.find(Body.vm());
    return Found != Vms.end() && Found->second.Epoch == Body.epoch() &&
           Do(Found->second);
  };
  const auto EndMove = [](naive_vm &Vm) {
    Vm.To.clear();
    Vm.Drained = false;
    ++Vm.Epoch;
    return true;
  };
  const auto Maintain = [&](const auto &Body, const vm_maintenance Next,
                            const std::set<vm_maintenance> &From) {
    return With(Body, [&](naive_vm &Vm) {
      if (!From.contains(Vm.Maintenance) || Vm.Action != Body.action())
        return false;
      Vm.Maintenance = Next;
      return true;
    });
  };
  using state_of = vm_maintenance;
  if (Record.has_change_vm())
    return With(Record.change_vm(), [&](naive_vm &Vm) {
      const auto Next = Record.change_vm().condition();
      const auto Wave = count(Vm.Pool, [](const naive_vm &Each) {
        return Each.Maintenance == state_of::Permitted ||
               Each.Maintenance == state_of::Rebooting;
      });
      if (Vm.Condition == wire::VM_UP && Wave > 0 &&
          Vm.Maintenance == state_of::None &&
          (Next == wire::VM_DOWN || Next == wire::VM_UNKNOWN))
        Vm.FailedInWave = true;
      if (Next == wire::VM_UP)
        Vm.FailedInWave = false;
      Vm.Condition = Next;
      return true;
    });
  if (Record.has_remove_vm())
    return With(Record.remove_vm(), [&](naive_vm &) {
      Vms.erase(Record.remove_vm().vm());
      return true;
    });
  if (Record.has_release())
    return With(Record.release(),
                [&](naive_vm &Vm) { return release(Vm, Record.release()); });
  if (Record.has_drained())
    return With(Record.drained(), [&](naive_vm &Vm) {
      const bool Valid = !Vm.To.empty() && !Vm.Drained;
      Vm.Drained = Vm.Drained || Valid;
      return Valid;
    });
  if (Record.has_take())
    return With(Record.take(), [&](naive_vm &Vm) {
      if (!Vm.Drained)
        return false;
      Vm.Shard = emptiestShard(Vm.To);
      Vm.Pool = Vm.To;
      Vm.FailedInWave = false;
      return EndMove(Vm);
    });
  if (Record.has_cancel())
    return With(Record.cancel(),
                [&](naive_vm &Vm) { return !Vm.To.empty() && EndMove(Vm); });
  if (Record.has_permit())
    return With(Record.permit(), [&](naive_vm &Vm) {
      return permit(Vm, Record.permit().action(), Record.permit().vm());
    });
  if (Record.has_reboot())
    return Maintain(Record.reboot(), state_of::Rebooting,
                    {state_of::Permitted});
  if (Record.has_done())
    return Maintain(Record.done(), state_of::None,
                    {state_of::Rebooting, state_of::Stuck});
  return Record.has_stuck() &&
         Maintain(Record.stuck(), state_of::Stuck,
                  {state_of::Permitted, state_of::Rebooting});
}

} // namespace galenalink::fleet::test
