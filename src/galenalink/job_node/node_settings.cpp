#include "galenalink/job_node/node_settings.hpp"
#include "galenalink/core/hash.hpp"
#include "galenalink/job_node/listener_limits.hpp"
#include <algorithm>

namespace galenalink::job_node {

namespace {

/** Length of the leases of runs. Must exceed the time to elect a new leader. A
 * lease must also end well before the second leader after the one that granted
 * it starts runs. */
constexpr std::uint32_t LeaseMs = 4500;
/** @return Cores that the node may use. */
double coresOf(const settings &Settings) {
  return Settings.ProcessorShare * Settings.ProcessorSpeed;
}

duration fromSeconds(const double Seconds) {
  return duration{static_cast<std::int64_t>(Seconds * 1e6)};
}

double toSeconds(const duration Value) {
  return std::chrono::duration<double>(Value).count();
}

/** Start orders under way for each core that the node may use. An order with
 * its end costs some 0.2 ms, so that a full window delays other work by less
 * than 50 ms. */
constexpr double StartsPerCore = 200;
constexpr double MinStarts = 16;
constexpr double MaxStarts = 256;
/** Share of the link that start orders may fill. The rest is for heartbeats,
 * the journal and replies. */
constexpr double StartsLinkShare = 0.6;
/** One start order has up to this size. */
constexpr double MinStartBytes = 5000;
constexpr double BytesPerSecondPerMbit = 125000;

/** Size of a VM in the list of VMs. */
constexpr double VmListEntryBytes = 250;
/** Share of the link that the list of VMs may fill. */
constexpr double VmListLinkShare = 0.1;

/** Heartbeats of one pass for each core that the node may use. */
constexpr double HeartbeatsPerCore = 400;
constexpr double MinHeartbeats = 32;

std::size_t maxHeartbeatsPerPass(const settings &Settings) {
  return static_cast<std::size_t>(
      std::max(HeartbeatsPerCore * coresOf(Settings), MinHeartbeats));
}

job::start_limits startLimits(const settings &Settings) {
  const double BytesPerPeriod = Settings.LinkMbit * BytesPerSecondPerMbit *
                                toSeconds(job::start_window::Period);
  job::start_limits Limits;
  Limits.Orders = static_cast<std::size_t>(
      std::clamp(StartsPerCore * coresOf(Settings), MinStarts, MaxStarts));
  Limits.Bytes = static_cast<std::size_t>(
      std::max(BytesPerPeriod * StartsLinkShare, MinStartBytes));
  return Limits;
}

/** Jobs with a long-running step for each core that the node may use. While
 * they wait for room, this many cost the leader some 7% of its core. */
constexpr double LongRunningJobsPerCore = 4000;
constexpr double MinLongRunningJobs = 200;

/** A successor reads the records of all open jobs at once and holds each twice
 * for that time. */
job::job_memory_limits jobMemoryLimits(const settings &Settings) {
  job::job_memory_limits Limits;
  Limits.Open = memoryFraction(Settings, 4);
  Limits.Background = memoryFraction(Settings, 8);
  Limits.Ended = memoryFraction(Settings, 4);
  Limits.LongRunningJobs = static_cast<std::size_t>(
      std::max(LongRunningJobsPerCore * coresOf(Settings), MinLongRunningJobs));
  return Limits;
}

} // namespace

job::election_settings electionSettings(const settings &Settings) {
  job::election_settings Election;
  Election.Node = Settings.Name + "@" + std::to_string(wallNow());
  Election.Address = peerAddress(Settings);
  Election.StartedAt = boot_clock::now();
  Election.ClaimDelay = job::claimDelay(
      Settings.ProcessorShare * Settings.ProcessorSpeed, hash64(Election.Node));
  return Election;
}

duration minVmListInterval(const settings &Settings, const std::size_t Vms) {
  const double BytesPerSecond =
      std::max(Settings.LinkMbit, 1.0) * BytesPerSecondPerMbit;
  return fromSeconds(static_cast<double>(Vms) * VmListEntryBytes /
                     (BytesPerSecond * VmListLinkShare));
}

job::leader_settings leaderSettings(const settings &Settings) {
  job::leader_settings Leader;
  Leader.Node = Settings.Name;
  Leader.Lease =
      std::chrono::milliseconds{std::min(LeaseMs, Settings.MaxLeaseMs)};
  Leader.StopTime = std::chrono::milliseconds{Settings.StopMs};
  Leader.MinVmOrderGap = std::chrono::milliseconds{Settings.MinVmOrderGapMs};
  Leader.MoveTime = fromSeconds(Settings.MoveS);
  Leader.MaintenanceTime = fromSeconds(Settings.MaintenanceS);
  Leader.FairShares = Settings.FairShares;
  Leader.LoadShedding = Settings.LoadShedding;
  Leader.RateWindow = fromSeconds(Settings.RateWindowS);
  Leader.Starts = startLimits(Settings);
  Leader.JobMemory = jobMemoryLimits(Settings);
  Leader.MaxHeartbeatsPerPass = maxHeartbeatsPerPass(Settings);
  return Leader;
}

} // namespace galenalink::job_node
