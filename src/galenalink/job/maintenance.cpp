#include "galenalink/job/maintenance.hpp"
#include "galenalink/job/callers.hpp"
#include "galenalink/job/disruption_budget.hpp"
#include "galenalink/job/pool_load.hpp"
#include "galenalink/job/runs.hpp"
#include "galenalink/job/vm_orders.hpp"
#include "galenalink/telemetry/log.hpp"
#include <algorithm>
#include <cmath>

namespace galenalink::job {

namespace {

constexpr telemetry::logger Log{"maintenance"};

/** Safety margin at the end of a wave's window. */
constexpr duration WindowMargin = std::chrono::milliseconds{4000};
/** Time per VM in addition to the maintenance itself: the drain, and detecting
 * that the VM is up again. */
constexpr duration CycleOverhead = std::chrono::milliseconds{2500};
/** Drain time after which runs that checkpoint are stopped. */
constexpr duration CheckpointStopDelay = std::chrono::milliseconds{1500};
/** Drain time after which maintenance ends the remaining finite runs. */
constexpr duration DrainTimeout = std::chrono::milliseconds{5000};

bool isDown(const leader &Leader, const wave_progress &Wave,
            const std::string &Vm) {
  const auto PendingOrder = Leader.PendingVmOrders.find(Vm);
  if (PendingOrder != Leader.PendingVmOrders.end())
    return PendingOrder->second.Wave == Wave.Wave.Number;
  // The platform may still carry out an order of the earlier leader.
  if (orderGapPending(Leader, Vm) && !Wave.Done.contains(Vm))
    return true;
  const auto Listed = Leader.Vms.find(Vm);
  return Listed != Leader.Vms.end() &&
         Listed->second.State == vm_state::Maintenance;
}

std::size_t countVmsDown(const leader &Leader, const wave_progress &Wave) {
  return static_cast<std::size_t>(
      std::ranges::count_if(Wave.Wave.Vms, [&](const std::string &Vm) {
        return isDown(Leader, Wave, Vm);
      }));
}

/** @return VMs of the wave that still exist and whose maintenance has not
 * begun. */
std::vector<std::string> remainingVms(const leader &Leader,
                                      const wave_progress &Wave) {
  std::vector<std::string> Remaining;
  for (const auto &Vm : Wave.Wave.Vms) {
    if (Leader.Vms.contains(Vm) && !Wave.Done.contains(Vm) &&
        !isDown(Leader, Wave, Vm))
      Remaining.push_back(Vm);
  }
  return Remaining;
}

bool canStartMaintenance(const leader &Leader, const std::string &Vm) {
  const auto Listed = Leader.Vms.find(Vm);
  if (Listed == Leader.Vms.end() || Listed->second.State != vm_state::Up ||
      Leader.PendingVmOrders.contains(Vm) || orderGapPending(Leader, Vm))
    return false;
  if (Listed->second.Server.empty())
    return true;
  // The runs on a VM are unknown until its backend server is known and, if an
  // earlier leader used it, has listed them.
  const auto Server = Leader.Servers.find(Listed->second.Server);
  return Server != Leader.Servers.end() &&
         Leader.Now() >= Server->second->RunsUnknownUntil;
}

double poolBacklogMs(const leader &Leader, const std::string &Pool) {
  const pool_load Load = computePoolLoad(Leader, Pool);
  return Load.Capacity <= 0 ? 1 : Load.InTimeWork / Load.Capacity;
}

/** @brief Sorts VMs by the work that their maintenance would delay. VMs with
 * the lowest cost are drained first. */
void sortByDisruptionCost(leader &Leader, std::vector<std::string> &Vms) {
  std::map<std::string, double> BacklogsMs;
  std::vector<std::pair<double, std::string>> Ranked;
  Ranked.reserve(Vms.size());
  for (auto &Vm : Vms) {
    double Cost = 0;
    if (const server *Server = serverOnVm(Leader, Vm)) {
      const auto [Backlog, Added] = BacklogsMs.try_emplace(Server->Entry.Pool);
      if (Added)
        Backlog->second = poolBacklogMs(Leader, Server->Entry.Pool);
      Cost = Backlog->second + static_cast<double>(countFiniteRuns(*Server));
    }
    Ranked.emplace_back(Cost, std::move(Vm));
  }
  std::ranges::sort(Ranked);
  std::ranges::transform(Ranked, Vms.begin(),
                         [](auto &Each) { return std::move(Each.second); });
}

/** @brief Stops runs that checkpoint, so that they resume elsewhere. */
void stopCheckpointingRuns(leader &Leader, server &Server) {
  std::vector<run_id> Checkpointing;
  for (const auto &[Id, Run] : Server.Runs) {
    const job_entry *Entry = Leader.findJob(Id.Task.Job);
    const step_spec *Step =
        Entry == nullptr ? nullptr : Entry->Job.stepSpec(Id.Task);
    if (!Run.LongRunning && Run.State == run_state::Running &&
        Step != nullptr && Step->Checkpointing)
      Checkpointing.push_back(Id);
  }
  for (const auto &Id : Checkpointing)
    stopRun(Leader, Server, Id);
}

/** @return Whether the maintenance was ordered. */
bool tryOrderMaintenance(leader &Leader, wave_progress &Wave,
                         const std::string &Vm, const time_point DrainedSince) {
  const time_point Now = Leader.Now();
  server *Server = serverOnVm(Leader, Vm);
  if (Server != nullptr) {
    if (Now >= DrainedSince + CheckpointStopDelay)
      stopCheckpointingRuns(Leader, *Server);
    const bool Drained =
        countFiniteRuns(*Server) == 0 || Now >= DrainedSince + DrainTimeout;
    if (!Drained)
      return false;
    if (!budgetsAllowDisruption(Leader, *Server)) {
      evacuate(Leader, *Server);
      return false;
    }
  }
  Log.info("maintenance ordered",
           {{"vm", Vm},
            {"wave", Wave.Wave.Number},
            {"down", countVmsDown(Leader, Wave)},
            {"cap", Wave.Wave.MaxUnavailable},
            {"runs", Server == nullptr ? 0 : Server->Runs.size()},
            {"left", remainingVms(Leader, Wave).size()}});
  orderVm(Leader, Vm, "", Wave.Wave.Number);
  return true;
}

void orderMaintenanceOfDrained(leader &Leader, wave_progress &Wave) {
  for (auto Each = Wave.Draining.begin(); Each != Wave.Draining.end();) {
    const auto &[Vm, Since] = *Each;
    if (!Leader.Vms.contains(Vm) || Wave.Done.contains(Vm)) {
      Each = Wave.Draining.erase(Each);
      continue;
    }
    const bool BelowCap = countVmsDown(Leader, Wave) < Wave.Wave.MaxUnavailable;
    if (BelowCap && canStartMaintenance(Leader, Vm) &&
        tryOrderMaintenance(Leader, Wave, Vm, Since))
      Each = Wave.Draining.erase(Each);
    else
      ++Each;
  }
}

/** @brief Ends drains whose runs can't leave within their disruption budgets.
 * Their backend servers take work again, which runs on other draining backend
 * servers may need; the VMs are drained later. */
void giveUpBlockedDrains(leader &Leader, wave_progress &Wave) {
  std::erase_if(Wave.Draining, [&](const auto &Each) {
    server *Server = serverOnVm(Leader, Each.first);
    if (Server == nullptr || canVacate(Leader, *Server))
      return false;
    Log.info("drain given up, its runs have no room elsewhere",
             {{"vm", Each.first},
              {"wave", Wave.Wave.Number},
              {"runs", Server->Runs.size()},
              {"draining", Wave.Draining.size()}});
    Server->Cordoned = false;
    requestDispatch(Leader, Server->Entry.Pool);
    return true;
  });
}

void startDrains(leader &Leader, wave_progress &Wave) {
  const time_point Now = Leader.Now();
  auto Remaining = remainingVms(Leader, Wave);
  const std::size_t Limit =
      drainLimit({Remaining.size(), Wave.Wave.MaxUnavailable,
                  std::chrono::milliseconds{Wave.DeadlineMs - Leader.Wall()},
                  Leader.Settings.MaintenanceTime + CycleOverhead});
  std::erase_if(Remaining, [&](const std::string &Vm) {
    return Wave.Draining.contains(Vm) || !canStartMaintenance(Leader, Vm);
  });
  const std::size_t Down = countVmsDown(Leader, Wave);
  if (Wave.Draining.size() + Down >= Limit)
    return;
  sortByDisruptionCost(Leader, Remaining);
  for (const auto &Vm : Remaining) {
    if (Wave.Draining.size() + Down >= Limit)
      return;
    server *Server = serverOnVm(Leader, Vm);
    if (Server != nullptr && !canVacate(Leader, *Server))
      continue;
    Wave.Draining.emplace(Vm, Now);
    if (Server != nullptr)
      Server->Cordoned = true;
  }
}

void publishWave(leader &Leader, wave_progress &Wave, const bool Completed) {
  if (Wave.Publishing)
    return;
  Wave.Publishing = true;
  Leader.Ports.PublishWave(
      Wave.Wave.Number, Completed,
      Leader.guarded([&Leader, Number = Wave.Wave.Number,
                      Completed](const append_result &Result) {
        auto &Published = Leader.Waves.at(Number);
        Published.Publishing = false;
        if (Result.Outcome != call_outcome::Done)
          return; // retried in the next pass of the control loop
        (Completed ? Published.CompletedPublished
                   : Published.RunningPublished) = true;
        recordWave(Leader, Number);
        Log.info("wave published",
                 {{"wave", Number}, {"completed", Completed ? "yes" : "no"}});
      }));
}

void advanceWave(leader &Leader, wave_progress &Wave) {
  if (Wave.CompletedPublished || Wave.Wave.Vms.empty())
    return;
  giveUpBlockedDrains(Leader, Wave);
  orderMaintenanceOfDrained(Leader, Wave);
  startDrains(Leader, Wave);
  const bool Complete =
      remainingVms(Leader, Wave).empty() && countVmsDown(Leader, Wave) == 0;
  if (Complete || !Wave.RunningPublished)
    publishWave(Leader, Wave, Complete);
}

} // namespace

std::size_t drainLimit(const drain_schedule &Schedule) {
  if (Schedule.Remaining == 0)
    return 0;
  if (Schedule.TimeRemaining <= WindowMargin)
    return Schedule.MaxUnavailable;
  const auto Work = static_cast<double>(Schedule.Remaining) *
                    static_cast<double>(Schedule.CycleTime.count());
  const auto Time =
      static_cast<double>((Schedule.TimeRemaining - WindowMargin).count());
  const auto Needed = static_cast<std::size_t>(std::ceil(Work / Time));
  return std::clamp<std::size_t>(Needed, 1, Schedule.MaxUnavailable);
}

void updateWaves(leader &Leader, const std::map<std::uint64_t, wave> &Waves) {
  for (const auto &[Number, Wave] : Waves) {
    wave_progress &Progress = Leader.Waves[Number];
    Progress.Wave = Wave;
    if (Progress.DeadlineMs != 0)
      continue;
    Progress.DeadlineMs = Leader.Wall() + Wave.WindowS * wall_ms{1000};
    recordWave(Leader, Number);
  }
}

void advanceMaintenance(leader &Leader) {
  retryVmOrders(Leader);
  if (mayOrderVms(Leader)) {
    for (auto &[Number, Wave] : Leader.Waves)
      advanceWave(Leader, Wave);
  }
  for (auto &Each : Leader.Servers) {
    server &Server = *Each.second;
    Server.Cordoned = Leader.PendingVmOrders.contains(Server.Vm) ||
                      std::ranges::any_of(Leader.Waves, [&](const auto &Wave) {
                        return Wave.second.Draining.contains(Server.Vm);
                      });
  }
}

} // namespace galenalink::job
