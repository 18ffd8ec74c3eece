#include "galenalink/job_node/node_metrics.hpp"
#include "galenalink/telemetry/log.hpp"

namespace galenalink::job_node {

namespace {

std::string text(const std::string_view Name) { return std::string{Name}; }

} // namespace

void node_metrics::recordReply(const request_kind Kind,
                               const job::caller_reply::verdict Verdict,
                               const duration Duration) {
  const auto KindLabel = text(nameOf(RequestKindNames, Kind));
  Metrics
      .count("galenalink_calls_total", "Answers to callers.",
             {{"call", KindLabel},
              {"verdict", text(nameOf(job::VerdictNames, Verdict))}})
      .add();
  Metrics
      .times("galenalink_call_seconds", "Time from a call to its answer.",
             {{"call", KindLabel}})
      .observe(std::chrono::duration<double>(Duration).count());
}

void node_metrics::advanceCounter(const std::string &Name,
                                  const std::string &Help,
                                  const telemetry::labels &Labels,
                                  const std::uint64_t Total) {
  std::uint64_t &Last = LastTotals[{Name, Labels}];
  Metrics.count(Name, Help, Labels).add(static_cast<double>(Total - Last));
  Last = Total;
}

void node_metrics::updateCounters(const job::counters &Counts) {
  const std::string Admissions = "Jobs asked for, by what was decided.";
  advanceCounter("galenalink_admissions_total", Admissions,
                 {{"verdict", "in-time"}}, Counts.AdmittedInTime);
  advanceCounter("galenalink_admissions_total", Admissions,
                 {{"verdict", "deferred"}}, Counts.AdmittedDeferred);
  advanceCounter("galenalink_admissions_total", Admissions,
                 {{"verdict", "refused"}}, Counts.Refused);
  advanceCounter("galenalink_admissions_total", Admissions,
                 {{"verdict", "overloaded"}}, Counts.RefusedOverloaded);
  advanceCounter("galenalink_admissions_total", Admissions,
                 {{"verdict", "memory"}}, Counts.RefusedForMemory);
  advanceCounter("galenalink_starts_total", "Runs ordered.", {}, Counts.Starts);
  advanceCounter("galenalink_starts_failed_total",
                 "Orders of runs that failed.", {{"outcome", "refused"}},
                 Counts.StartsRefused);
  advanceCounter("galenalink_starts_failed_total",
                 "Orders of runs that failed.", {{"outcome", "unknown"}},
                 Counts.StartsUnknown);
  for (const auto &[How, Total] : Counts.Ends)
    advanceCounter("galenalink_run_ends_total", "Runs ended, by how.",
                   {{"how", text(nameOf(job::RunOutcomeNames, How))}}, Total);
  for (const auto &[Why, Total] : Counts.IgnoredEnds)
    advanceCounter("galenalink_run_ends_ignored_total",
                   "Ends done or failed that changed no task, by why.",
                   {{"why", text(nameOf(job::IgnoredEndNames, Why))}}, Total);
  advanceCounter("galenalink_jobs_failed_total",
                 "Jobs failed by their attempt limit.", {}, Counts.JobsFailed);
  advanceCounter("galenalink_failures_without_rule_total",
                 "Failed runs of jobs whose attempt limit was not known.", {},
                 Counts.FailuresWithoutRule);
  advanceCounter("galenalink_servers_lost_total", "Backend servers given up.",
                 {}, Counts.ServersLost);
  advanceCounter("galenalink_vm_orders_total", "Orders for VMs.",
                 {{"order", "move"}}, Counts.Moves);
  advanceCounter("galenalink_vm_orders_total", "Orders for VMs.",
                 {{"order", "maintenance"}}, Counts.Maintenances);
  advanceCounter("galenalink_log_lines_lost_total",
                 "Log lines that a full pipe lost.", {},
                 telemetry::lostLogLines());
}

void node_metrics::updateCustomers(const job::counters &Counts,
                                   const std::vector<customer_gauges> &Gauges) {
  const std::string Admissions = "Jobs of a customer, by what was decided.";
  const auto Advance = [&](const std::string &Customer,
                           const std::string &Verdict,
                           const std::uint64_t Total) {
    advanceCounter("galenalink_customer_admissions_total", Admissions,
                   {{"customer", Customer}, {"verdict", Verdict}}, Total);
  };
  for (const auto &[Customer, Each] : Counts.Customers) {
    Advance(Customer, "admitted", Each.Admitted);
    Advance(Customer, "pool-full", Each.RefusedFull);
    Advance(Customer, "rate-exceeded", Each.RefusedRate);
  }
  for (const customer_gauges &Each : Gauges) {
    const telemetry::labels Labels{{"customer", Each.Customer}};
    Metrics
        .level("galenalink_customer_cpu_in_use",
               "CPU that a customer's runs hold, thousandths of a core; "
               "leader only.",
               Labels)
        .set(static_cast<double>(Each.InUse.Cpu));
    Metrics
        .level("galenalink_customer_cpu_quota",
               "CPU that a customer's runs may hold, thousandths of a core; "
               "0 for no limit; leader only.",
               Labels)
        .set(static_cast<double>(Each.Quota.Cpu));
    Metrics
        .level("galenalink_customer_share",
               "Share of a full pool by the customers' weights; leader only.",
               Labels)
        .set(Each.Share);
  }
}

std::string node_metrics::render(const job::counters &Counts,
                                 const node_gauges &Gauges) {
  updateCounters(Counts);
  updateCustomers(Counts, Gauges.Customers);
  const auto Set = [&](const std::string &Name, const std::string &Help,
                       const auto Value) {
    Metrics.level(Name, Help).set(static_cast<double>(Value));
  };
  Set("galenalink_ready", "Whether the node takes callers.", Gauges.Ready);
  Set("galenalink_leads", "Whether the node leads.", Gauges.Leads);
  Set("galenalink_epoch", "Epoch of the leader that the node knows.",
      Gauges.Epoch);
  Set("galenalink_rules_version", "Version of the rules in force.",
      Gauges.RulesVersion);
  Set("galenalink_leader_rules_version",
      "Version of the rules that the leader decides with; 0 on other nodes.",
      Gauges.LeaderRulesVersion);
  Set("galenalink_open_jobs_without_rule",
      "Open jobs of whose queue no rule is known; leader only.",
      Gauges.OpenJobsWithoutRule);
  Set("galenalink_leadership_confirmation_age_seconds",
      "Time since the store last confirmed the leadership; leader only.",
      Gauges.ConfirmationAgeS);
  Set("galenalink_open_jobs", "Jobs that have not ended; leader only.",
      Gauges.OpenJobs);
  Set("galenalink_open_job_bytes",
      "Estimated memory of jobs that have not ended; leader only.",
      Gauges.OpenJobBytes);
  Set("galenalink_ended_job_bytes",
      "Estimated memory of ended jobs that can be queried; leader only.",
      Gauges.EndedJobBytes);
  Set("galenalink_servers", "Backend servers known; leader only.",
      Gauges.Servers);
  Set("galenalink_loop_delay_seconds",
      "Longest delay of the leader's periodic work in the last second.",
      Gauges.LoopDelayS);
  Set("galenalink_callback_delay_seconds",
      "Time for which responses to the leader's calls wait in its loop.",
      Gauges.CallbackDelayS);
  Set("galenalink_journal_records", "Records not stored yet; leader only.",
      Gauges.JournalRecords);
  Set("galenalink_journal_age_seconds",
      "Age of the oldest reply that waits for the journal; leader only.",
      Gauges.JournalAgeS);
  Set("galenalink_forwarded_requests",
      "Requests of callers that wait for the leader's reply.",
      Gauges.ForwardedRequests);
  Set("galenalink_forwarded_bytes",
      "Estimated memory of requests that wait for the leader's reply.",
      Gauges.ForwardedBytes);
  advanceCounter("galenalink_forwards_refused_total",
                 "Requests refused because too many wait for the leader.", {},
                 Gauges.ForwardsRefused);
  Set("galenalink_starts_in_flight",
      "Start orders without a response; leader only.", Gauges.StartsInFlight);
  Set("galenalink_starts_held_seconds",
      "Time for which tasks that fit have waited because the leader can't "
      "start them faster; leader only.",
      Gauges.StartsHeldS);
  Set("galenalink_waiting_jobs",
      "Accepted jobs of which no task has started; leader only.",
      Gauges.WaitingJobs);
  return Metrics.render();
}

} // namespace galenalink::job_node
