#include "galenalink/job/maintenance.hpp"
#include "galenalink/job/callers.hpp"
#include "galenalink/job/runs.hpp"
#include "galenalink/job/vm_orders.hpp"
#include "galenalink/telemetry/log.hpp"
#include <algorithm>
#include <cmath>

namespace galenalink::job {

namespace {

constexpr telemetry::logger Log{"maintenance"};

/** Kept free at the end of a wave's window. */
constexpr duration WindowMargin = std::chrono::milliseconds{4000};
/** Draining, and noticing that a VM is back, beside the maintenance. */
constexpr duration CycleOverhead = std::chrono::milliseconds{2500};
/** After this, runs that save their progress are stopped. */
constexpr duration SaveAfter = std::chrono::milliseconds{1500};
/** After this, the rest is ended with the VM. */
constexpr duration LongestDrain = std::chrono::milliseconds{5000};

bool down(const leader &Leader, const wave_progress &Wave,
          const std::string &Vm) {
  const auto Motion = Leader.PendingVmOrders.find(Vm);
  if (Motion != Leader.PendingVmOrders.end())
    return Motion->second.Wave == Wave.Wave.Number;
  const auto Listed = Leader.Vms.find(Vm);
  return Listed != Leader.Vms.end() &&
         Listed->second.State == vm_state::Maintenance;
}

std::size_t countDown(const leader &Leader, const wave_progress &Wave) {
  return static_cast<std::size_t>(
      std::ranges::count_if(Wave.Wave.Vms, [&](const std::string &Vm) {
        return down(Leader, Wave, Vm);
      }));
}

/** @brief VMs of the wave that stay and have not begun their maintenance. */
std::vector<std::string> leftOf(const leader &Leader,
                                const wave_progress &Wave) {
  std::vector<std::string> Left;
  for (const auto &Vm : Wave.Wave.Vms) {
    if (Leader.Vms.contains(Vm) && !Wave.Done.contains(Vm) &&
        !down(Leader, Wave, Vm))
      Left.push_back(Vm);
  }
  return Left;
}

bool canGoNow(const leader &Leader, const std::string &Vm) {
  const auto Listed = Leader.Vms.find(Vm);
  if (Listed == Leader.Vms.end() || Listed->second.State != vm_state::Up ||
      Leader.PendingVmOrders.contains(Vm) || heldBack(Leader, Vm))
    return false;
  // What runs on a backend server that is not known yet is not known either.
  return Listed->second.Server.empty() ||
         Leader.Servers.contains(Listed->second.Server);
}

/** @brief Work that a VM's maintenance would delay; lower goes first. */
double disturbance(leader &Leader, const std::string &Vm) {
  const server *Server = serverOf(Leader, Vm);
  if (Server == nullptr)
    return 0;
  const pool_load Load = loadOf(Leader, Server->Entry.Pool);
  const double PoolBusy =
      Load.Capacity <= 0 ? 1 : Load.InTimeWork / Load.Capacity;
  return PoolBusy + static_cast<double>(shortRuns(*Server));
}

/** @brief Stops what saves its progress on a VM that drains for long. */
void saveProgress(leader &Leader, server &Server) {
  std::vector<run_id> Saving;
  for (const auto &[Id, Run] : Server.Runs) {
    const job_entry *Entry = Leader.findJob(Id.Task.Job);
    const step_spec *Step =
        Entry == nullptr ? nullptr : Entry->Job.stepSpec(Id.Task);
    if (!Run.LongRunning && Run.State == run_state::Running &&
        Step != nullptr && Step->Checkpointing)
      Saving.push_back(Id);
  }
  for (const auto &Id : Saving)
    stopRun(Leader, Server, Id);
}

/** @return Whether the maintenance was ordered. */
bool tryOrder(leader &Leader, wave_progress &Wave, const std::string &Vm,
              const time_point DrainedSince) {
  const time_point Now = Leader.Now();
  server *Server = serverOf(Leader, Vm);
  if (Server != nullptr) {
    if (Now >= DrainedSince + SaveAfter)
      saveProgress(Leader, *Server);
    const bool Drained =
        shortRuns(*Server) == 0 || Now >= DrainedSince + LongestDrain;
    if (!Drained)
      return false;
    if (!budgetsAllow(Leader, *Server)) {
      evacuate(Leader, *Server);
      return false;
    }
  }
  Log.info("maintenance ordered",
           {{"vm", Vm},
            {"wave", Wave.Wave.Number},
            {"down", countDown(Leader, Wave)},
            {"cap", Wave.Wave.MaxUnavailable},
            {"runs", Server == nullptr ? 0 : Server->Runs.size()},
            {"left", leftOf(Leader, Wave).size()}});
  orderVm(Leader, Vm, "", Wave.Wave.Number);
  return true;
}

void orderDrained(leader &Leader, wave_progress &Wave) {
  for (auto Each = Wave.Draining.begin(); Each != Wave.Draining.end();) {
    const auto &[Vm, Since] = *Each;
    if (!Leader.Vms.contains(Vm) || Wave.Done.contains(Vm)) {
      Each = Wave.Draining.erase(Each);
      continue;
    }
    const bool Room = countDown(Leader, Wave) < Wave.Wave.MaxUnavailable;
    if (Room && canGoNow(Leader, Vm) && tryOrder(Leader, Wave, Vm, Since))
      Each = Wave.Draining.erase(Each);
    else
      ++Each;
  }
}

void drainMore(leader &Leader, wave_progress &Wave) {
  const time_point Now = Leader.Now();
  auto Left = leftOf(Leader, Wave);
  const std::size_t Limit =
      concurrency({Left.size(), Wave.Wave.MaxUnavailable,
                   std::chrono::milliseconds{Wave.DeadlineMs - Leader.Wall()},
                   Leader.Settings.MaintenanceTime + CycleOverhead});
  std::erase_if(Left, [&](const std::string &Vm) {
    return Wave.Draining.contains(Vm) || !canGoNow(Leader, Vm);
  });
  std::vector<std::pair<double, std::string>> Ranked;
  Ranked.reserve(Left.size());
  for (auto &Vm : Left)
    Ranked.emplace_back(disturbance(Leader, Vm), std::move(Vm));
  std::ranges::sort(Ranked);
  for (const auto &[Cost, Vm] : Ranked) {
    if (Wave.Draining.size() + countDown(Leader, Wave) >= Limit)
      return;
    Wave.Draining.emplace(Vm, Now);
  }
}

void publish(leader &Leader, wave_progress &Wave, const bool Completed) {
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
          return; // tried again with the next look
        (Completed ? Published.CompletedPublished
                   : Published.RunningPublished) = true;
        recordWave(Leader, Number);
        Log.info("wave published",
                 {{"wave", Number}, {"completed", Completed ? "yes" : "no"}});
      }));
}

void maintainWave(leader &Leader, wave_progress &Wave) {
  if (Wave.CompletedPublished || Wave.Wave.Vms.empty())
    return;
  orderDrained(Leader, Wave);
  drainMore(Leader, Wave);
  const bool Complete =
      leftOf(Leader, Wave).empty() && countDown(Leader, Wave) == 0;
  if (Complete || !Wave.RunningPublished)
    publish(Leader, Wave, Complete);
}

} // namespace

std::size_t concurrency(const wave_pace &Pace) {
  if (Pace.Left == 0)
    return 0;
  if (Pace.TimeLeft <= WindowMargin)
    return Pace.MaxUnavailable;
  const auto Work =
      static_cast<double>(Pace.Left) * static_cast<double>(Pace.Cycle.count());
  const auto Time = static_cast<double>((Pace.TimeLeft - WindowMargin).count());
  const auto Needed = static_cast<std::size_t>(std::ceil(Work / Time));
  return std::clamp<std::size_t>(Needed, 1, Pace.MaxUnavailable);
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

void maintain(leader &Leader) {
  repeatOrders(Leader);
  if (mayOrderVms(Leader)) {
    for (auto &[Number, Wave] : Leader.Waves)
      maintainWave(Leader, Wave);
  }
  for (auto &Each : Leader.Servers) {
    server &Server = *Each.second;
    Server.Reserved = Leader.PendingVmOrders.contains(Server.Vm) ||
                      std::ranges::any_of(Leader.Waves, [&](const auto &Wave) {
                        return Wave.second.Draining.contains(Server.Vm);
                      });
  }
}

} // namespace galenalink::job
