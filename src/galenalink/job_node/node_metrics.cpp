#include "galenalink/job_node/node_metrics.hpp"
#include "galenalink/telemetry/log.hpp"

namespace galenalink::job_node {

namespace {

std::string text(const std::string_view Name) { return std::string{Name}; }

} // namespace

void node_metrics::answered(const call_kind Kind,
                            const job::caller_reply::verdict Verdict,
                            const duration Took) {
  const auto Call = text(nameOf(CallKindNames, Kind));
  Metrics
      .count("galenalink_calls_total", "Answers to callers.",
             {{"call", Call},
              {"verdict", text(nameOf(job::VerdictNames, Verdict))}})
      .add();
  Metrics
      .times("galenalink_call_seconds", "Time from a call to its answer.",
             {{"call", Call}})
      .observe(std::chrono::duration<double>(Took).count());
}

void node_metrics::raise(const std::string &Name, const std::string &Help,
                         const telemetry::labels &Labels,
                         const std::uint64_t Total) {
  std::uint64_t &Last = Shown[{Name, Labels}];
  Metrics.count(Name, Help, Labels).add(static_cast<double>(Total - Last));
  Last = Total;
}

void node_metrics::raiseAll(const job::counters &Counts) {
  const std::string Admissions = "Jobs asked for, by what was decided.";
  raise("galenalink_admissions_total", Admissions, {{"verdict", "in-time"}},
        Counts.AdmittedInTime);
  raise("galenalink_admissions_total", Admissions, {{"verdict", "deferred"}},
        Counts.AdmittedDeferred);
  raise("galenalink_admissions_total", Admissions, {{"verdict", "refused"}},
        Counts.Refused);
  raise("galenalink_starts_total", "Runs ordered.", {}, Counts.Starts);
  raise("galenalink_starts_failed_total", "Orders of runs that failed.",
        {{"outcome", "refused"}}, Counts.StartsRefused);
  raise("galenalink_starts_failed_total", "Orders of runs that failed.",
        {{"outcome", "unknown"}}, Counts.StartsUnknown);
  for (const auto &[How, Total] : Counts.Ends)
    raise("galenalink_run_ends_total", "Runs ended, by how.",
          {{"how", text(nameOf(job::RunOutcomeNames, How))}}, Total);
  raise("galenalink_servers_lost_total", "Backend servers given up.", {},
        Counts.ServersLost);
  raise("galenalink_vm_orders_total", "Orders for VMs.", {{"order", "move"}},
        Counts.Moves);
  raise("galenalink_vm_orders_total", "Orders for VMs.",
        {{"order", "maintenance"}}, Counts.Maintenances);
  raise("galenalink_log_lines_lost_total", "Log lines that a full pipe lost.",
        {}, telemetry::lostLogLines());
}

std::string node_metrics::render(const job::counters &Counts,
                                 const node_levels &Levels) {
  raiseAll(Counts);
  const auto Set = [&](const std::string &Name, const std::string &Help,
                       const auto Value) {
    Metrics.level(Name, Help).set(static_cast<double>(Value));
  };
  Set("galenalink_ready", "Whether the node takes callers.", Levels.Ready);
  Set("galenalink_leads", "Whether the node leads.", Levels.Leads);
  Set("galenalink_epoch", "Epoch of the leader that the node knows.",
      Levels.Epoch);
  Set("galenalink_rules_version", "Version of the rules in force.",
      Levels.RulesVersion);
  Set("galenalink_open_jobs", "Jobs that have not ended; leader only.",
      Levels.OpenJobs);
  Set("galenalink_servers", "Backend servers known; leader only.",
      Levels.Servers);
  return Metrics.render();
}

} // namespace galenalink::job_node
