#include "galenalink/job/placement.hpp"
#include <algorithm>
#include <map>
#include <tuple>

namespace galenalink::job {

namespace {

/** A backend server is slow if its runs take this many times the expected
 * duration. */
constexpr double SlownessThreshold = 2.0;

bool hasLabel(const server &Server, const std::string &Label) {
  return Label.empty() || std::ranges::find(Server.Entry.Labels, Label) !=
                              Server.Entry.Labels.end();
}

bool isNearData(const server &Server, const step_spec &Step) {
  return Step.Rack.empty() || Server.rack() == Step.Rack;
}

std::uint32_t countRunsOfStep(const server &Server, const task_id &Task) {
  std::uint32_t Count = 0;
  const run_id First{{Task.Job, Task.Occurrence, Task.Step, 0}, 0};
  for (auto Each = Server.Runs.lower_bound(First);
       Each != Server.Runs.end() && Each->first.Task.Job == Task.Job &&
       Each->first.Task.Occurrence == Task.Occurrence &&
       Each->first.Task.Step == Task.Step;
       ++Each)
    ++Count;
  return Count;
}

/** @brief Whether the placement would put best-effort and latency-sensitive
 * tasks together: best-effort tasks raise the latency of the others. */
bool interferes(const server &Server, const step_spec &Step) {
  return (Step.BestEffort && Server.Totals.LatencySensitive > 0) ||
         (Step.TargetMs > 0 && Server.Totals.BestEffort > 0);
}

/** @brief Number of runs of a step by rack. */
using rack_runs = std::map<std::string_view, std::uint32_t>;

rack_runs countRunsByRack(const std::vector<server *> &Servers,
                          const task_id &Task) {
  rack_runs Runs;
  for (const server *Each : Servers)
    Runs[Each->rack()] += countRunsOfStep(*Each, Task);
  return Runs;
}

/**
 * @brief Placement cost of a long-running task; lower is better. Tasks of one
 * step are spread over backend servers and racks, so that one failure affects
 * few of them. Tasks of different jobs are placed together, which leaves VMs
 * without long-running tasks that can change their pool.
 */
auto longRunningCost(const server &Server, const task_id &Task,
                     const rack_runs &Racks) {
  const std::uint32_t LongRunningCount = Server.Totals.LongRunning;
  return std::tuple{countRunsOfStep(Server, Task), LongRunningCount == 0,
                    Racks.at(Server.rack()), LongRunningCount,
                    -Server.free().Cpu};
}

/** @brief Placement cost of a task; lower is better. */
auto placementCost(const server &Server, const placement_request &Request,
                   const rack_runs &Racks) {
  const step_spec &Step = *Request.Step;
  const bool Slow = Server.Health.slowness() >= SlownessThreshold;
  const std::int64_t Free = Server.free().Cpu;
  using long_running_cost =
      decltype(longRunningCost(Server, Request.Task, Racks));
  return std::tuple{interferes(Server, Step), Slow, !isNearData(Server, Step),
                    Step.LongRunning
                        ? longRunningCost(Server, Request.Task, Racks)
                        : long_running_cost{},
                    Step.BestEffort ? -Free : Free};
}

} // namespace

bool acceptsWork(const server &Server, const time_point Now) {
  return Server.Registered && Server.Recorded && Server.Synced &&
         !Server.Cordoned && !Server.Entry.Draining &&
         Server.HeartbeatFailures == 0 && Server.Health.isAvailable(Now);
}

bool canRun(const server &Server, const placement_request &Request) {
  const step_spec &Step = *Request.Step;
  if (!server::chargedResources(Step.Size, Step.BestEffort)
           .fits(Server.free()) ||
      !hasLabel(Server, Step.Label))
    return false;
  if (!Request.AllowRemote && !isNearData(Server, Step))
    return false;
  if (!Request.RequiredRack.empty() && Server.rack() != Request.RequiredRack)
    return false;
  if (std::ranges::find(Request.Excluded, &Server) != Request.Excluded.end())
    return false;
  return Step.MaxPerServer == 0 ||
         countRunsOfStep(Server, Request.Task) < Step.MaxPerServer;
}

std::uint32_t countLongRunningPlaces(const server &Server,
                                     const step_spec &Step, const task_id &Task,
                                     const std::uint32_t Max) {
  if (!hasLabel(Server, Step.Label))
    return 0;
  std::uint32_t Places = Max;
  if (Step.MaxPerServer != 0)
    Places = std::min(
        Places, Step.MaxPerServer -
                    std::min(Step.MaxPerServer, countRunsOfStep(Server, Task)));
  resources Free = Server.Entry.Capacity;
  for (const auto &[Id, Run] : Server.Runs) {
    if (Run.LongRunning)
      Free -= server::chargedResources(Run.Size, Run.BestEffort);
  }
  const resources Needed = server::chargedResources(Step.Size, Step.BestEffort);
  std::uint32_t Count = 0;
  for (; Count < Places && Needed.fits(Free); ++Count)
    Free -= Needed;
  return Count;
}

server *chooseServer(const std::vector<server *> &Servers,
                     const placement_request &Request) {
  const rack_runs Racks = Request.Step->LongRunning
                              ? countRunsByRack(Servers, Request.Task)
                              : rack_runs{};
  using placement_cost =
      decltype(placementCost(*Servers.front(), Request, Racks));
  server *Best = nullptr;
  placement_cost LowestCost;
  for (server *Each : Servers) {
    if (!canRun(*Each, Request))
      continue;
    const placement_cost Cost = placementCost(*Each, Request, Racks);
    if (Best != nullptr && !(Cost < LowestCost))
      continue;
    Best = Each;
    LowestCost = Cost;
  }
  return Best;
}

} // namespace galenalink::job
