#include "galenalink/job/disruption_budget.hpp"
#include "galenalink/job/placement.hpp"
#include "galenalink/job/runs.hpp"
#include <algorithm>

namespace galenalink::job {

namespace {

/** @brief Whether a run of the task is serving, that is, running at 100 percent
 * on a backend server whose VM has no pending order. */
bool isServing(const leader &Leader, const task_id &Id) {
  const auto Servers = Leader.RunLocations.serversOf(Id);
  return std::ranges::any_of(Servers, [&](const server *Each) {
    const server &Server = *Each;
    // Runs on a VM with a pending order have ended or are about to end.
    if (Leader.PendingVmOrders.contains(Server.Vm))
      return false;
    const auto &Runs = Server.Runs;
    const auto Found = Runs.lower_bound(run_id{Id, 0});
    return Found != Runs.end() && Found->first.Task == Id &&
           Found->second.State == run_state::Running &&
           Found->second.Percent >= 100;
  });
}

/** @brief Counts the tasks of the step that are not serving, except those with
 * a run on the given backend server. */
std::uint32_t countUnavailableElsewhere(const leader &Leader, const job &Job,
                                        const task_id &Id,
                                        const server &Server) {
  const std::uint32_t Count = Job.spec().Steps[Id.Step].Count;
  std::uint32_t Unavailable = 0;
  for (std::uint32_t I = 0; I < Count; ++I) {
    task_id Other = Id;
    Other.Index = I;
    const auto Here = Server.Runs.lower_bound(run_id{Other, 0});
    const bool RunsHere =
        Here != Server.Runs.end() && Here->first.Task == Other;
    if (!RunsHere && !isServing(Leader, Other))
      ++Unavailable;
  }
  return Unavailable;
}

/** @brief Counts the runs of the step on the backend server, including those
 * that are starting: they may be serving by the time an order arrives. */
std::uint32_t countRunsOnServer(const server &Server, const task_id &Id) {
  return static_cast<std::uint32_t>(
      std::ranges::count_if(Server.Runs, [&](const auto &Each) {
        const task_id &Task = Each.first.Task;
        return Task.Job == Id.Job && Task.Occurrence == Id.Occurrence &&
               Task.Step == Id.Step;
      }));
}

/** @return The step of a long-running run with a disruption budget; null for
 * any other run. */
const step_spec *findBudgetedStep(const leader &Leader, const run_id &Id,
                                  const run &Run) {
  const job_entry *Entry = Leader.findJob(Id.Task.Job);
  const bool InEffect =
      Run.LongRunning && Entry != nullptr && !Entry->Job.ended();
  const step_spec *Step = InEffect ? Entry->Job.stepSpec(Id.Task) : nullptr;
  return Step != nullptr && Step->DisruptionBudget > 0 ? Step : nullptr;
}

/** @brief Counts the tasks of the step that have no run anywhere. */
std::uint32_t countTasksWithoutRun(const job &Job, const task_id &Id) {
  const auto &Occurrences = Job.openOccurrences();
  const auto Found =
      std::ranges::find(Occurrences, Id.Occurrence, &occurrence::Number);
  if (Found == Occurrences.end())
    return 0;
  return static_cast<std::uint32_t>(
      std::ranges::count_if(Found->Steps[Id.Step].Tasks, [](const task &Each) {
        return !Each.Done && Each.Runs == 0;
      }));
}

/** @brief Counts the further tasks of the step that other backend servers of
 * the job's pool can take now, if finite runs there are left to end.
 * @param Max Counting ends at this number. */
std::uint32_t countPlacesElsewhere(const leader &Leader, const job &Job,
                                   const task_id &Id, const server &Server,
                                   const std::uint32_t Max) {
  const step_spec &Step = Job.spec().Steps[Id.Step];
  std::uint32_t Places = 0;
  for (const server *Each : Leader.ServersByPool.of(Job.pool())) {
    if (Places >= Max)
      break;
    if (Each != &Server && acceptsWork(*Each, Leader.Now()))
      Places += countLongRunningPlaces(*Each, Step, Id, Max - Places);
  }
  return Places;
}

/** @brief Whether the VM will soon serve the pool with a backend server that
 * has no runs. */
bool isArriving(const leader &Leader, const vm &Vm,
                const std::string_view Pool) {
  const auto Order = Leader.PendingVmOrders.find(Vm.Name);
  if (Order != Leader.PendingVmOrders.end() && !Order->second.Pool.empty())
    return Order->second.Pool == Pool;
  if (Vm.Pool != Pool)
    return false;
  if (Order != Leader.PendingVmOrders.end() ||
      Vm.State == vm_state::Maintenance || Vm.State == vm_state::Moving)
    return true;
  const server *Server = Leader.findServer(Vm.Server);
  return Vm.State == vm_state::Up && (Server == nullptr || !Server->Synced);
}

/** @brief Counts the further tasks of the step that VMs can take which are
 * about to serve the job's pool.
 * @param Max Counting ends at this number. */
std::uint32_t countArrivingPlaces(const leader &Leader, const job &Job,
                                  const task_id &Id, const std::uint32_t Max) {
  const step_spec &Step = Job.spec().Steps[Id.Step];
  std::uint32_t Places = 0;
  for (const auto &[Name, Vm] : Leader.Vms) {
    if (Places >= Max)
      break;
    if (!isArriving(Leader, Vm, Job.pool()))
      continue;
    server Empty;
    Empty.Entry.Capacity = Vm.Capacity;
    Empty.Entry.Labels = Vm.Labels;
    Places += countLongRunningPlaces(Empty, Step, Id, Max - Places);
  }
  return Places;
}

} // namespace

bool budgetsAllowDisruption(const leader &Leader, const server &Server) {
  return std::ranges::all_of(Server.Runs, [&](const auto &Each) {
    const auto &[Id, Run] = Each;
    const step_spec *Step = findBudgetedStep(Leader, Id, Run);
    if (Step == nullptr)
      return true;
    const job &Job = Leader.findJob(Id.Task.Job)->Job;
    return countUnavailableElsewhere(Leader, Job, Id.Task, Server) +
               countRunsOnServer(Server, Id.Task) <=
           Step->DisruptionBudget;
  });
}

bool canVacate(const leader &Leader, const server &Server) {
  return std::ranges::all_of(Server.Runs, [&](const auto &Each) {
    const auto &[Id, Run] = Each;
    const step_spec *Step = findBudgetedStep(Leader, Id, Run);
    if (Step == nullptr)
      return true;
    const job &Job = Leader.findJob(Id.Task.Job)->Job;
    const std::uint32_t Unplaced =
        countRunsOnServer(Server, Id.Task) + countTasksWithoutRun(Job, Id.Task);
    if (Unplaced <= Step->DisruptionBudget)
      return true;
    const std::uint32_t Needed = Unplaced - Step->DisruptionBudget;
    const std::uint32_t Places =
        countPlacesElsewhere(Leader, Job, Id.Task, Server, Needed);
    return Places +
               countArrivingPlaces(Leader, Job, Id.Task, Needed - Places) >=
           Needed;
  });
}

void evacuate(leader &Leader, server &Server) {
  std::vector<run_id> Leaving;
  for (const auto &[Id, Run] : Server.Runs) {
    const step_spec *Step = findBudgetedStep(Leader, Id, Run);
    if (Step == nullptr || Run.State != run_state::Running)
      continue;
    const job &Job = Leader.findJob(Id.Task.Job)->Job;
    const bool AnyUnavailable =
        std::ranges::any_of(Server.Runs, [&, Task = Id.Task](const auto &Each) {
          return Each.first.Task.Job == Task.Job && Each.first.Task != Task &&
                 !(Each.second.State == run_state::Running &&
                   Each.second.Percent >= 100);
        });
    const bool AlreadyChosen =
        std::ranges::any_of(Leaving, [&, Task = Id.Task](const run_id &Each) {
          return Each.Task.Job == Task.Job;
        });
    const bool MayLeave =
        !AnyUnavailable && !AlreadyChosen &&
        countUnavailableElsewhere(Leader, Job, Id.Task, Server) <
            Step->DisruptionBudget;
    const std::uint32_t Needed = countTasksWithoutRun(Job, Id.Task) + 1;
    if (MayLeave &&
        countPlacesElsewhere(Leader, Job, Id.Task, Server, Needed) == Needed)
      Leaving.push_back(Id);
  }
  for (const auto &Id : Leaving)
    stopRun(Leader, Server, Id);
}

} // namespace galenalink::job
