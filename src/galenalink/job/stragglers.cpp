#include "galenalink/job/stragglers.hpp"
#include "galenalink/job/dispatch.hpp"
#include "galenalink/job/placement.hpp"
#include "galenalink/job/runs.hpp"
#include "galenalink/telemetry/log.hpp"

namespace galenalink::job {

namespace {

constexpr telemetry::logger Log{"dispatch"};

/** A run without progress for this long is stalled. Heartbeats report progress
 * several times within it. */
constexpr duration StallTimeout = std::chrono::milliseconds{2500};
/** A run that takes this many times the expected duration is a straggler. */
constexpr int StragglerFactor = 3;
constexpr duration StragglerSlack = std::chrono::milliseconds{300};

bool isStalled(const run &Run, const time_point Now) {
  return !Run.LongRunning && Run.State == run_state::Running &&
         Run.ProgressAt != time_point{} &&
         Now >= Run.ProgressAt + StallTimeout && Now >= Run.ExpectedEnd;
}

bool isStraggler(const run &Run, const time_point Now) {
  const duration Expected = Run.ExpectedEnd - Run.SentAt;
  return !Run.LongRunning && Run.State == run_state::Running &&
         Now >= Run.SentAt + StragglerFactor * Expected + StragglerSlack;
}

void startCopy(leader &Leader, server &Slow, const task_id &Id) {
  job_entry *Entry = Leader.findJob(Id.Job);
  task *Task = Entry == nullptr ? nullptr : Entry->Job.find(Id);
  const step_spec *Step = Entry == nullptr ? nullptr : Entry->Job.stepSpec(Id);
  if (!mayGrantLeases(Leader) || Task == nullptr || Task->Done ||
      Task->Runs != 1 || !Step->Speculative || !Entry->PoolStored ||
      !Entry->Job.permitsRun(*Step, *Task) ||
      !Leader.Quotas.permits(Entry->Job.customer(), Step->Size))
    return;
  placement_request Request;
  Request.Step = Step;
  Request.Task = Id;
  Request.Excluded.push_back(&Slow);
  const job_rule *Rule = Entry->Job.rule();
  auto Servers = availableServers(Leader, Entry->Job.pool());
  if (Rule != nullptr && Rule->Advice)
    Servers = serversWithTicket(Leader, stepIdOf(Id), Servers);
  server *Server = chooseServer(Servers, Request);
  if (Server == nullptr)
    return;
  const auto Number = nextRunNumber(Leader, *Task);
  Log.info("copy", {{"job", Id.Job},
                    {"step", Id.Step},
                    {"index", Id.Index},
                    {"number", Number},
                    {"slow", Slow.Entry.Id},
                    {"server", Server->Entry.Id}});
  startRun(Leader, *Server, *Entry, Id, Number);
}

} // namespace

void handleStragglers(leader &Leader) {
  const time_point Now = Leader.Now();
  std::vector<std::pair<server *, run_id>> Stalled;
  std::vector<std::pair<server *, task_id>> Slow;
  for (auto &[Id, Server] : Leader.Servers) {
    for (const auto &[Run, State] : Server->Runs) {
      if (Server->HeartbeatFailures == 0 && isStalled(State, Now))
        Stalled.emplace_back(Server.get(), Run);
      else if (isStraggler(State, Now))
        Slow.emplace_back(Server.get(), Run.Task);
    }
  }
  for (const auto &[Server, Run] : Stalled) {
    Log.warning("stalled run, stopping it", {{"job", Run.Task.Job},
                                             {"step", Run.Task.Step},
                                             {"index", Run.Task.Index},
                                             {"server", Server->Entry.Id}});
    Server->Health.recordFault(Now);
    stopRun(Leader, *Server, Run);
  }
  for (const auto &[Server, Task] : Slow)
    startCopy(Leader, *Server, Task);
}

} // namespace galenalink::job
