#ifndef GALENALINK_SCHEDULE_SETTINGS_HPP
#define GALENALINK_SCHEDULE_SETTINGS_HPP

#include "galenalink/core/time.hpp"
#include "galenalink/schedule/fwd.hpp"
#include <string>

namespace galenalink::schedule {

/** @brief Bounds and thresholds of one shard's scheduler. */
struct settings {
  /** Items that may be queued or running. */
  std::uint32_t MaxItems{8192};
  /** Items that one team may have waiting in one queue. */
  std::uint32_t MaxTeamItems{4096};
  /**
   * Share of the usable slots for long work. A peak of 1.3x the pool's slots
   * then builds a backlog that takes 1.6x as long to drain as without long
   * work; a quarter would make that 2.7x.
   */
  double LongSlotShare{0.125};
  /** Run time at which work is long, whatever the pool's typical work is. */
  duration MaxLongThreshold{std::chrono::seconds{30}};
  /** Run time up to which work is never called long. */
  duration MinLongThreshold{std::chrono::seconds{1}};
  /** Work is long from this multiple of the pool's median run time. */
  double LongMedianFactor{10.0};
  /** Different VMs on which an item fails before it is reported NeverRuns. */
  std::uint32_t MaxFailedVms{3};
  /** VMs that may refuse an item before it is answered as not run. */
  std::uint32_t MaxRefusals{4};
  /** First pause of a VM after it refused work; doubles up to the last. */
  duration InitialRefusalBackoff{std::chrono::milliseconds{100}};
  duration MaxRefusalBackoff{std::chrono::seconds{5}};
  /** Retries for each first attempt, and how many may be saved up. */
  double RetryRatio{0.1};
  double RetryBurst{100};
  /** Share of the VMs that may be ejected; at least one VM if there are two. */
  double MaxEjectedShare{0.2};
  /** First wait before an ejected VM is probed; doubles up to the last. */
  duration InitialProbeDelay{std::chrono::seconds{1}};
  duration MaxProbeDelay{std::chrono::seconds{60}};
  /** Successful probes in a row that end an ejection. */
  std::uint32_t ProbeSuccessThreshold{2};
  /** A queue that is long for more than this is in overload, not in a peak. */
  duration MaxPeakDuration{std::chrono::seconds{10}};
  /** Shortest and longest retry time that a refused caller is given. */
  duration MinRetryAfter{std::chrono::milliseconds{50}};
  duration MaxRetryAfter{std::chrono::seconds{30}};
};

struct queue_settings {
  /** Unique in the shard, such as `service/queue`. */
  std::string Name;
  /** Owner of the retry budget. */
  std::string Service;
  bool Idempotent{false};
  /** Declared run time; only the estimate until runs were observed. */
  duration ExpectedRun{std::chrono::seconds{1}};
};

struct team_settings {
  /** Unique in the shard, such as `service/team`. */
  std::string Name;
  std::string Customer;
  /** Weight in the fair share; 0 counts as 1. */
  std::uint32_t QuotaSlots{0};
};

} // namespace galenalink::schedule

#endif
