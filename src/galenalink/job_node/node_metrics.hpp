#ifndef GALENALINK_JOB_NODE_NODE_METRICS_HPP
#define GALENALINK_JOB_NODE_NODE_METRICS_HPP

#include "galenalink/http/server_metrics.hpp"
#include "galenalink/job_node/caller_request.hpp"
#include "galenalink/telemetry/metrics.hpp"

namespace galenalink::job_node {

/** @brief Current values of one customer at the leader. */
struct customer_gauges {
  std::string Customer;
  job::resources InUse;
  job::resources Quota;
  /** Share of a full pool if all customers want more than theirs. */
  double Share{0};
};

/** @brief Current values of a node that are exported as gauges. */
struct node_gauges {
  bool Ready{false};
  bool Leads{false};
  std::uint64_t Epoch{0};
  std::uint64_t RulesVersion{0};
  /** Version that the leader decides with; 0 on other nodes. */
  std::uint64_t LeaderRulesVersion{0};
  /** Open jobs of whose queue no rule is known. */
  std::size_t OpenJobsWithoutRule{0};
  /** Time since the send of the latest successful append to the leader log,
   * s; 0 on other nodes. */
  double ConfirmationAgeS{0};
  std::size_t OpenJobs{0};
  /** Estimated memory of open and of ended jobs. */
  std::size_t OpenJobBytes{0};
  std::size_t EndedJobBytes{0};
  std::size_t Servers{0};
  /** Longest delay of the leader's periodic work in the last second, s. */
  double LoopDelayS{0};
  /** For how long responses to the leader's calls wait in its loop, s. */
  double CallbackDelayS{0};
  std::size_t JournalRecords{0};
  /** Age of the oldest reply that waits for the journal, s. */
  double JournalAgeS{0};
  std::size_t ForwardedRequests{0};
  /** Estimated memory of these requests. */
  std::size_t ForwardedBytes{0};
  /** Requests refused because there were too many of these. */
  std::uint64_t ForwardsRefused{0};
  /** Start orders without a response. */
  std::size_t StartsInFlight{0};
  /** Time for which tasks that fit have waited for the start window, s. */
  double StartsHeldS{0};
  /** Open jobs of which no task has started. */
  std::size_t WaitingJobs{0};
  std::vector<customer_gauges> Customers;
};

/** @brief Metrics of one node. */
class node_metrics {
public:
  void recordReply(request_kind Kind, job::caller_reply::verdict Verdict,
                   duration Duration);
  void updateServer(const http::server &Server) {
    Servers.update(Metrics, Server);
  }
  /** @return All metrics in Prometheus' text format. */
  [[nodiscard]] std::string render(const job::counters &Counts,
                                   const node_gauges &Gauges);

private:
  /** @brief Increases a counter to the given total. */
  void advanceCounter(const std::string &Name, const std::string &Help,
                      const telemetry::labels &Labels, std::uint64_t Total);
  void updateCounters(const job::counters &Counts);
  void updateCustomers(const job::counters &Counts,
                       const std::vector<customer_gauges> &Gauges);

  telemetry::metrics Metrics;
  http::server_metrics Servers;
  /** Last exported total by metric name and labels. */
  std::map<std::pair<std::string, telemetry::labels>, std::uint64_t> LastTotals;
};

} // namespace galenalink::job_node

#endif
