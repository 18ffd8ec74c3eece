#include "galenalink/job/vm_orders.hpp"
#include "galenalink/telemetry/log.hpp"
#include <algorithm>

namespace galenalink::job {

namespace {

constexpr telemetry::logger Log{"vms"};

/** Delay before an order without a response is resent. */
constexpr duration RetryInterval = std::chrono::milliseconds{400};
/** An order is not complete before this share of its expected duration has
 * passed: a VM that is listed as up earlier may not have gone down yet. */
constexpr double MinDurationShare = 0.8;

void sendOrder(leader &Leader, const std::string &Vm);

void handleResponse(leader &Leader, const std::string &Vm,
                    const vm_result &Result) {
  const auto Found = Leader.PendingVmOrders.find(Vm);
  if (Found == Leader.PendingVmOrders.end())
    return;
  pending_vm_order &PendingOrder = Found->second;
  PendingOrder.Sent = false;
  Log.info("VM order response received",
           {{"vm", Vm},
            {"pool", PendingOrder.Pool},
            {"wave", PendingOrder.Wave},
            {"outcome", std::string{nameOf(CallOutcomeNames, Result.Outcome)}},
            {"busy", Result.Busy ? "yes" : "no"}});
  if (Result.Outcome == call_outcome::Fenced) {
    Leader.OnFenced("list of VMs");
    return;
  }
  if (Result.Outcome == call_outcome::Refused) {
    Leader.PendingVmOrders.erase(Found);
    return;
  }
  if (Result.Outcome != call_outcome::Done)
    return;
  PendingOrder.Accepted = true;
  PendingOrder.AcceptedAt = Leader.Now();
}

void sendOrder(leader &Leader, const std::string &Vm) {
  pending_vm_order &PendingOrder = Leader.PendingVmOrders.at(Vm);
  PendingOrder.Sent = true;
  PendingOrder.OrderedAt = Leader.Now();
  vm_order Order{Vm, Leader.Epoch, PendingOrder.Pool, PendingOrder.Wave};
  // The process may be suspended until a successor orders VMs.
  Order.SendBy = leadershipConfirmedUntil(Leader);
  Leader.Ports.OrderVm(Order,
                       Leader.guarded([&Leader, Vm](const vm_result &Result) {
                         handleResponse(Leader, Vm, Result);
                       }));
}

/** @brief Whether the order repeated one that had been carried out before. The
 * VM then keeps its backend server, and the runs on it continue. */
bool hadNoEffect(const pending_vm_order &PendingOrder, const vm &Vm,
                 const time_point RequestedAt) {
  return PendingOrder.Accepted && RequestedAt >= PendingOrder.AcceptedAt &&
         Vm.State == vm_state::Up && !PendingOrder.Server.empty() &&
         Vm.Server == PendingOrder.Server;
}

bool isComplete(const leader &Leader, const pending_vm_order &PendingOrder,
                const vm &Vm, const time_point RequestedAt) {
  const bool InTargetPool =
      PendingOrder.Pool.empty() || Vm.Pool == PendingOrder.Pool;
  const duration Expected = PendingOrder.Pool.empty()
                                ? Leader.Settings.MaintenanceTime
                                : Leader.Settings.MoveTime;
  const duration MinDuration{static_cast<std::int64_t>(
      static_cast<double>(Expected.count()) * MinDurationShare)};
  return PendingOrder.Accepted && InTargetPool && Vm.State == vm_state::Up &&
         RequestedAt >= PendingOrder.OrderedAt + MinDuration;
}

void markMaintained(leader &Leader, const std::uint64_t Number,
                    const std::string &Vm) {
  const auto Wave = Leader.Waves.find(Number);
  if (Wave == Leader.Waves.end() || !Wave->second.Done.insert(Vm).second)
    return;
  recordWave(Leader, Number);
}

} // namespace

void recordWave(leader &Leader, const std::uint64_t Number) {
  Leader.Journal.put("w" + std::to_string(Number), [&Leader, Number] {
    return std::optional{toRecord(Leader.Waves.at(Number))};
  });
}

bool mayOrderVms(const leader &Leader) {
  return Leader.VmsRequestedAt != NoDeadline && isLeadershipConfirmed(Leader);
}

bool orderGapPending(const leader &Leader, const std::string &Vm) {
  return Leader.RecentlyOrdered.contains(Vm) &&
         Leader.Now() < Leader.LeadingSince + Leader.Settings.MinVmOrderGap;
}

void orderVm(leader &Leader, const std::string &Vm, const std::string &Pool,
             const std::uint64_t Wave) {
  ++(Pool.empty() ? Leader.Counts->Maintenances : Leader.Counts->Moves);
  pending_vm_order PendingOrder;
  PendingOrder.Pool = Pool;
  PendingOrder.Wave = Wave;
  if (server *Server = serverOnVm(Leader, Vm)) {
    PendingOrder.Server = Server->Entry.Id;
    Server->Cordoned = true;
  }
  PendingOrder.Sent = true;
  PendingOrder.OrderedAt = Leader.Now();
  Leader.PendingVmOrders.insert_or_assign(Vm, std::move(PendingOrder));
  // The order is stored first, so that a successor knows of every order that
  // the platform may have received.
  Leader.Journal.put("v" + Vm, [Now = Leader.Wall()] {
    return std::optional{std::to_string(Now)};
  });
  Leader.Journal.whenStored([&Leader, Vm] {
    if (Leader.PendingVmOrders.contains(Vm))
      sendOrder(Leader, Vm);
  });
}

void updateVmOrders(leader &Leader, const std::vector<vm> &Vms,
                    const time_point RequestedAt) {
  Leader.Vms.clear();
  for (const auto &Vm : Vms) {
    Leader.Vms[Vm.Name] = Vm;
    const auto Found = Leader.PendingVmOrders.find(Vm.Name);
    if (Found == Leader.PendingVmOrders.end() ||
        (!isComplete(Leader, Found->second, Vm, RequestedAt) &&
         !hadNoEffect(Found->second, Vm, RequestedAt)))
      continue;
    if (Found->second.Pool.empty())
      markMaintained(Leader, Found->second.Wave, Vm.Name);
    Log.info(
        "VM order complete",
        {{"vm", Vm.Name}, {"pool", Vm.Pool}, {"wave", Found->second.Wave}});
    Leader.PendingVmOrders.erase(Found);
  }
  // A VM that is no longer listed does not return.
  std::erase_if(Leader.PendingVmOrders, [&](const auto &Each) {
    return !Leader.Vms.contains(Each.first);
  });
  Leader.VmsRequestedAt = RequestedAt;
}

void retryVmOrders(leader &Leader) {
  if (!mayOrderVms(Leader))
    return;
  std::vector<std::string> Overdue;
  for (const auto &[Vm, PendingOrder] : Leader.PendingVmOrders) {
    if (!PendingOrder.Sent && !PendingOrder.Accepted &&
        Leader.Now() >= PendingOrder.OrderedAt + RetryInterval)
      Overdue.push_back(Vm);
  }
  for (const auto &Vm : Overdue)
    sendOrder(Leader, Vm);
}

server *serverOnVm(leader &Leader, const std::string_view Vm) {
  const auto Listed = Leader.Vms.find(std::string{Vm});
  if (Listed == Leader.Vms.end())
    return nullptr;
  const auto Found = Leader.Servers.find(Listed->second.Server);
  return Found == Leader.Servers.end() ? nullptr : Found->second.get();
}

std::size_t countFiniteRuns(const server &Server) {
  return static_cast<std::size_t>(std::ranges::count_if(
      Server.Runs, [](const auto &Each) { return !Each.second.LongRunning; }));
}

} // namespace galenalink::job
