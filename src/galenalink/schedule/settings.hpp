#ifndef GALENALINK_SCHEDULE_SETTINGS_HPP
#define GALENALINK_SCHEDULE_SETTINGS_HPP

#include "galenalink/core/time.hpp"
#include "galenalink/schedule/fwd.hpp"
#include <string>

namespace galenalink::schedule {

/** @brief Limits and thresholds of the scheduler of a shard. */
struct settings {
  /** Limit on queued and running items. */
  std::uint32_t MaxItems{8192};
  /** Limit on the items of one team that wait in one queue. */
  std::uint32_t MaxTeamItems{4096};
  /**
   * Share of the usable slots for long work. With 1/8, the backlog of a load
   * peak of 1.3x the pool's slots takes 1.6x as long to drain as without long
   * work; with 1/4, it takes 2.7x as long.
   */
  double LongSlotShare{0.125};
  /** Work with at least this run time is long, whatever the median is. */
  duration MaxLongThreshold{std::chrono::seconds{30}};
  /** Work with a shorter run time is never long. */
  duration MinLongThreshold{std::chrono::seconds{1}};
  /** Work is long from this multiple of the pool's median run time on. */
  double LongMedianFactor{10.0};
  /** Distinct VMs on which an item fails before it ends as `NeverRuns`. */
  std::uint32_t MaxFailedVms{3};
  /** Refusals after which an item ends; as `NotRun` if it never started. */
  std::uint32_t MaxRefusals{4};
  /** Backoff of a VM that refused work; doubles up to the maximum. */
  duration InitialRefusalBackoff{std::chrono::milliseconds{100}};
  duration MaxRefusalBackoff{std::chrono::seconds{5}};
  /** Retries allowed per first attempt, and limit on unused retries. */
  double RetryRatio{0.1};
  double RetryBurst{100};
  /** Share of the VMs that may be ejected; at least one if there are two. */
  double MaxEjectedShare{0.2};
  /** Delay before an ejected VM is probed; doubles up to the maximum. */
  duration InitialProbeDelay{std::chrono::seconds{1}};
  duration MaxProbeDelay{std::chrono::seconds{60}};
  /** Consecutive successful probes that end an ejection. */
  std::uint32_t ProbeSuccessThreshold{2};
  /** Time after which a long queue counts as an overload, not as a peak. */
  duration MaxPeakDuration{std::chrono::seconds{10}};
  /** Bounds of the retry time that is sent to refused callers. */
  duration MinRetryAfter{std::chrono::milliseconds{50}};
  duration MaxRetryAfter{std::chrono::seconds{30}};
};

struct queue_settings {
  /** Unique within the shard, such as `service/queue`. */
  std::string Name;
  /** Service whose retry budget the queue uses. */
  std::string Service;
  bool Idempotent{false};
  /** Declared run time; the estimate until enough runs are observed. */
  duration ExpectedRun{std::chrono::seconds{1}};
};

struct team_settings {
  /** Unique within the shard, such as `service/team`. */
  std::string Name;
  std::string Customer;
  /** Weight in fair queueing; 0 counts as 1. */
  std::uint32_t QuotaSlots{0};
};

} // namespace galenalink::schedule

#endif
