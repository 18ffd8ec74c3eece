#include "galenalink/job/vm_orders.hpp"
#include "galenalink/job/runs.hpp"
#include "galenalink/telemetry/log.hpp"
#include <algorithm>

namespace galenalink::job {

namespace {

constexpr telemetry::logger Log{"vms"};

/** Pause before an order without an answer is sent again. */
constexpr duration RepeatPause = std::chrono::milliseconds{400};
/** Share of the expected time after which a VM that is up has been away. */
constexpr double ShortestMotion = 0.8;

bool atWork(const leader &Leader, const task_id &Id) {
  return std::ranges::any_of(Leader.Servers, [&](const auto &Each) {
    const server &Server = *Each.second;
    // What runs on a VM that was ordered away has ended or ends any moment.
    if (Leader.PendingVmOrders.contains(Server.Vm))
      return false;
    const auto &Runs = Server.Runs;
    const auto Found = Runs.lower_bound(run_id{Id, 0});
    return Found != Runs.end() && Found->first.Task == Id &&
           Found->second.State == run_state::Running &&
           Found->second.Percent >= 100;
  });
}

/** @brief Tasks of the step that are not at work, without those on a backend
 * server. */
std::uint32_t awayElsewhere(const leader &Leader, const job &Job,
                            const task_id &Id, const server &Server) {
  const std::uint32_t Count = Job.spec().Steps[Id.Step].Count;
  std::uint32_t Away = 0;
  for (std::uint32_t I = 0; I < Count; ++I) {
    task_id Other = Id;
    Other.Index = I;
    const auto Here = Server.Runs.lower_bound(run_id{Other, 0});
    const bool RunsHere =
        Here != Server.Runs.end() && Here->first.Task == Other;
    if (!RunsHere && !atWork(Leader, Other))
      ++Away;
  }
  return Away;
}

/** @brief Runs of the step on the backend server. Those that start up count:
 * they may be at work by the time an order arrives. */
std::uint32_t runsHere(const server &Server, const task_id &Id) {
  return static_cast<std::uint32_t>(
      std::ranges::count_if(Server.Runs, [&](const auto &Each) {
        const task_id &Task = Each.first.Task;
        return Task.Job == Id.Job && Task.Occurrence == Id.Occurrence &&
               Task.Step == Id.Step;
      }));
}

/** @return The step of a run that has a budget; null for any other. */
const step_spec *budgeted(const leader &Leader, const run_id &Id,
                          const run &Run) {
  const job_entry *Entry = Leader.findJob(Id.Task.Job);
  const bool Counts =
      Run.LongRunning && Entry != nullptr && !Entry->Job.ended();
  const step_spec *Step = Counts ? Entry->Job.stepSpec(Id.Task) : nullptr;
  return Step != nullptr && Step->DisruptionBudget > 0 ? Step : nullptr;
}

void send(leader &Leader, const std::string &Vm);

void answered(leader &Leader, const std::string &Vm, const vm_result &Result) {
  const auto Found = Leader.PendingVmOrders.find(Vm);
  if (Found == Leader.PendingVmOrders.end())
    return;
  pending_vm_order &Motion = Found->second;
  Motion.Sent = false;
  Log.info("VM order answered",
           {{"vm", Vm},
            {"pool", Motion.Pool},
            {"wave", Motion.Wave},
            {"outcome", std::string{nameOf(CallOutcomeNames, Result.Outcome)}},
            {"busy", Result.Busy ? "yes" : "no"}});
  if (Result.Outcome == call_outcome::Fenced) {
    Leader.OnFenced();
    return;
  }
  if (Result.Outcome == call_outcome::Refused) {
    Leader.PendingVmOrders.erase(Found);
    return;
  }
  if (Result.Outcome != call_outcome::Done)
    return;
  Motion.Accepted = true;
  Motion.AcceptedAt = Leader.Now();
}

void send(leader &Leader, const std::string &Vm) {
  pending_vm_order &Motion = Leader.PendingVmOrders.at(Vm);
  Motion.Sent = true;
  Motion.OrderedAt = Leader.Now();
  Leader.Ports.OrderVm({Vm, Leader.Epoch, Motion.Pool, Motion.Wave},
                       Leader.guarded([&Leader, Vm](const vm_result &Result) {
                         answered(Leader, Vm, Result);
                       }));
}

/** @brief Whether the order had been carried out long before it was sent, so
 * that what runs on the VM goes on. */
bool hadNoEffect(const pending_vm_order &Motion, const vm &Vm,
                 const time_point AskedAt) {
  return Motion.Accepted && AskedAt >= Motion.AcceptedAt &&
         Vm.State == vm_state::Up && !Motion.Server.empty() &&
         Vm.Server == Motion.Server;
}

bool complete(const leader &Leader, const pending_vm_order &Motion,
              const vm &Vm, const time_point AskedAt) {
  const bool Arrived = Motion.Pool.empty() || Vm.Pool == Motion.Pool;
  const duration Expected = Motion.Pool.empty()
                                ? Leader.Settings.MaintenanceTime
                                : Leader.Settings.MoveTime;
  const duration Least{static_cast<std::int64_t>(
      static_cast<double>(Expected.count()) * ShortestMotion)};
  return Motion.Accepted && Arrived && Vm.State == vm_state::Up &&
         AskedAt >= Motion.OrderedAt + Least;
}

void noteMaintained(leader &Leader, const std::uint64_t Number,
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
  return Leader.VmsRequestedAt != NoDeadline &&
         (!Leader.LeadConfirmed || Leader.LeadConfirmed());
}

bool heldBack(const leader &Leader, const std::string &Vm) {
  return Leader.RecentlyOrdered.contains(Vm) &&
         Leader.Now() < Leader.LeadingSince + Leader.Settings.MinVmOrderGap;
}

void orderVm(leader &Leader, const std::string &Vm, const std::string &Pool,
             const std::uint64_t Wave) {
  ++(Pool.empty() ? Leader.Counts->Maintenances : Leader.Counts->Moves);
  pending_vm_order Motion;
  Motion.Pool = Pool;
  Motion.Wave = Wave;
  if (server *Server = serverOf(Leader, Vm)) {
    Motion.Server = Server->Entry.Id;
    Server->Reserved = true;
  }
  Motion.Sent = true;
  Motion.OrderedAt = Leader.Now();
  Leader.PendingVmOrders.insert_or_assign(Vm, std::move(Motion));
  // A successor must know of the order before the platform does.
  Leader.Journal.put("v" + Vm, [Now = Leader.Wall()] {
    return std::optional{std::to_string(Now)};
  });
  Leader.Journal.whenStored([&Leader, Vm] {
    if (Leader.PendingVmOrders.contains(Vm))
      send(Leader, Vm);
  });
}

void updateMotions(leader &Leader, const std::vector<vm> &Vms,
                   const time_point AskedAt) {
  Leader.Vms.clear();
  for (const auto &Vm : Vms) {
    Leader.Vms[Vm.Name] = Vm;
    const auto Found = Leader.PendingVmOrders.find(Vm.Name);
    if (Found == Leader.PendingVmOrders.end() ||
        (!complete(Leader, Found->second, Vm, AskedAt) &&
         !hadNoEffect(Found->second, Vm, AskedAt)))
      continue;
    if (Found->second.Pool.empty())
      noteMaintained(Leader, Found->second.Wave, Vm.Name);
    Log.info(
        "VM order complete",
        {{"vm", Vm.Name}, {"pool", Vm.Pool}, {"wave", Found->second.Wave}});
    Leader.PendingVmOrders.erase(Found);
  }
  // A VM that is no longer listed is gone for good.
  std::erase_if(Leader.PendingVmOrders, [&](const auto &Each) {
    return !Leader.Vms.contains(Each.first);
  });
  Leader.VmsRequestedAt = AskedAt;
}

void repeatOrders(leader &Leader) {
  if (!mayOrderVms(Leader))
    return;
  std::vector<std::string> Unanswered;
  for (const auto &[Vm, Motion] : Leader.PendingVmOrders) {
    if (!Motion.Sent && !Motion.Accepted &&
        Leader.Now() >= Motion.OrderedAt + RepeatPause)
      Unanswered.push_back(Vm);
  }
  for (const auto &Vm : Unanswered)
    send(Leader, Vm);
}

server *serverOf(leader &Leader, const std::string_view Vm) {
  const auto Listed = Leader.Vms.find(std::string{Vm});
  if (Listed == Leader.Vms.end())
    return nullptr;
  const auto Found = Leader.Servers.find(Listed->second.Server);
  return Found == Leader.Servers.end() ? nullptr : Found->second.get();
}

bool budgetsAllow(const leader &Leader, const server &Server) {
  return std::ranges::all_of(Server.Runs, [&](const auto &Each) {
    const auto &[Id, Run] = Each;
    const step_spec *Step = budgeted(Leader, Id, Run);
    if (Step == nullptr)
      return true;
    const job &Job = Leader.findJob(Id.Task.Job)->Job;
    return awayElsewhere(Leader, Job, Id.Task, Server) +
               runsHere(Server, Id.Task) <=
           Step->DisruptionBudget;
  });
}

void evacuate(leader &Leader, server &Server) {
  std::vector<run_id> Leaving;
  for (const auto &[Id, Run] : Server.Runs) {
    const step_spec *Step = budgeted(Leader, Id, Run);
    if (Step == nullptr || Run.State != run_state::Running)
      continue;
    const job &Job = Leader.findJob(Id.Task.Job)->Job;
    const bool Missing =
        std::ranges::any_of(Server.Runs, [&, Task = Id.Task](const auto &Each) {
          return Each.first.Task.Job == Task.Job && Each.first.Task != Task &&
                 !(Each.second.State == run_state::Running &&
                   Each.second.Percent >= 100);
        });
    const bool Chosen =
        std::ranges::any_of(Leaving, [&, Task = Id.Task](const run_id &Each) {
          return Each.Task.Job == Task.Job;
        });
    if (!Missing && !Chosen &&
        awayElsewhere(Leader, Job, Id.Task, Server) < Step->DisruptionBudget)
      Leaving.push_back(Id);
  }
  for (const auto &Id : Leaving)
    stopRun(Leader, Server, Id);
}

std::size_t shortRuns(const server &Server) {
  return static_cast<std::size_t>(std::ranges::count_if(
      Server.Runs, [](const auto &Each) { return !Each.second.LongRunning; }));
}

} // namespace galenalink::job
