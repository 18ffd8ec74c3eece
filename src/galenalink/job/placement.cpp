#include "galenalink/job/placement.hpp"
#include <algorithm>
#include <map>
#include <tuple>

namespace galenalink::job {

namespace {

/** Runs that take this many times the expected time mark a slow server. */
constexpr double SlowFrom = 2.0;

bool hasLabel(const server &Server, const std::string &Label) {
  return Label.empty() || std::ranges::find(Server.Entry.Labels, Label) !=
                              Server.Entry.Labels.end();
}

bool near(const server &Server, const step_spec &Step) {
  return Step.Rack.empty() || Server.rack() == Step.Rack;
}

std::uint32_t runsOfStep(const server &Server, const task_id &Task) {
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

/** @brief Tasks that fill disturb tasks that serve, so they stay apart. */
bool disturbs(const server &Server, const step_spec &Step) {
  return std::ranges::any_of(Server.Runs, [&](const auto &Each) {
    const run &Run = Each.second;
    return (Step.BestEffort && Run.TargetMs > 0) ||
           (Step.TargetMs > 0 && Run.BestEffort);
  });
}

std::uint32_t lastingRuns(const server &Server) {
  return static_cast<std::uint32_t>(std::ranges::count_if(
      Server.Runs, [](const auto &Each) { return Each.second.LongRunning; }));
}

/** @brief Runs of a step on each rack. */
using rack_runs = std::map<std::string_view, std::uint32_t>;

rack_runs runsByRack(const std::vector<server *> &Servers,
                     const task_id &Task) {
  rack_runs Runs;
  for (const server *Each : Servers)
    Runs[Each->rack()] += runsOfStep(*Each, Task);
  return Runs;
}

/**
 * @brief How well a backend server suits a task that lasts; lower is better.
 * Tasks of one step stand apart, also by rack, so that one loss takes few of
 * them. Those of different jobs stand together, which leaves VMs that can
 * change their pool.
 */
auto lastingCost(const server &Server, const task_id &Task,
                 const rack_runs &Racks) {
  const std::uint32_t Lasting = lastingRuns(Server);
  return std::tuple{runsOfStep(Server, Task), Lasting == 0,
                    Racks.at(Server.rack()), Lasting, -Server.free().Cpu};
}

/** @brief Lower is better. */
auto cost(const server &Server, const placement_request &Request,
          const rack_runs &Racks) {
  const step_spec &Step = *Request.Step;
  const bool Slow = Server.Health.slowness() >= SlowFrom;
  const std::int64_t Free = Server.free().Cpu;
  using lasting_cost = decltype(lastingCost(Server, Request.Task, Racks));
  return std::tuple{disturbs(Server, Step), Slow, !near(Server, Step),
                    Step.LongRunning ? lastingCost(Server, Request.Task, Racks)
                                     : lasting_cost{},
                    Step.BestEffort ? -Free : Free};
}

} // namespace

bool acceptsWork(const server &Server, const time_point Now) {
  return Server.Registered && Server.Recorded && Server.Usable &&
         !Server.Reserved && !Server.Entry.Draining &&
         Server.HoldFailures == 0 && Server.Health.usable(Now);
}

bool canRun(const server &Server, const placement_request &Request) {
  const step_spec &Step = *Request.Step;
  if (!server::charged(Step.Size, Step.BestEffort).fits(Server.free()) ||
      !hasLabel(Server, Step.Label))
    return false;
  if (!Request.AllowRemote && !near(Server, Step))
    return false;
  if (!Request.BoundRack.empty() && Server.rack() != Request.BoundRack)
    return false;
  if (std::ranges::find(Request.Excluded, &Server) != Request.Excluded.end())
    return false;
  return Step.MaxPerServer == 0 ||
         runsOfStep(Server, Request.Task) < Step.MaxPerServer;
}

server *choose(const std::vector<server *> &Servers,
               const placement_request &Request) {
  const rack_runs Racks = Request.Step->LongRunning
                              ? runsByRack(Servers, Request.Task)
                              : rack_runs{};
  server *Best = nullptr;
  for (server *Each : Servers) {
    if (!canRun(*Each, Request))
      continue;
    if (Best == nullptr ||
        cost(*Each, Request, Racks) < cost(*Best, Request, Racks))
      Best = Each;
  }
  return Best;
}

} // namespace galenalink::job
