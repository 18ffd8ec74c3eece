#ifndef GALENALINK_JOB_SERVER_HPP
#define GALENALINK_JOB_SERVER_HPP

#include "galenalink/job/customer_quotas.hpp"
#include "galenalink/job/lease.hpp"
#include "galenalink/job/ports.hpp"
#include "galenalink/job/run_locations.hpp"
#include "galenalink/job/server_health.hpp"
#include <map>

namespace galenalink::job {

enum class run_state : std::uint8_t {
  /** The start order is in flight. */
  Starting,
  Running,
  /** It is being stopped; its resources are still reserved. */
  Stopping,
  /** The start order had no response; it may have been carried out, or be
   * carried out later. Named "unclear" outside the code. */
  Unconfirmed,
};

inline constexpr enum_names<run_state, 4> RunStateNames{{
    {run_state::Starting, "starting"},
    {run_state::Running, "running"},
    {run_state::Stopping, "stopping"},
    {run_state::Unconfirmed, "unclear"},
}};

/** @brief A run that exists, or may exist, on a backend server. */
struct run {
  run_state State{run_state::Starting};
  resources Size;
  /** Customer that its job belongs to; empty for none. */
  std::string Customer;
  /** What it counts against the customer's quota; set by `server::addRun`. */
  resources QuotaSize;
  bool LongRunning{false};
  bool BestEffort{false};
  /** Tail latency target of a latency-sensitive task, ms; 0 for others. */
  std::uint32_t TargetMs{0};
  time_point SentAt;
  /** When the start or the stop was confirmed; `NoDeadline` before. */
  time_point StartConfirmedAt{NoDeadline};
  time_point StopConfirmedAt{NoDeadline};
  /** Since when it is `Unconfirmed`. */
  time_point UnconfirmedSince{NoDeadline};
  /** When the run should end on a backend server of normal speed. */
  time_point ExpectedEnd;
  /** Checkpoint that it was started from. */
  std::string StartedFrom;
  /** Attempts to send the start order. */
  std::uint32_t StartsSent{0};
  /** The stop order is repeated until it is confirmed, whatever becomes of the
   * start order meanwhile. */
  bool StopRequested{false};
  /** A stop order is in flight. */
  bool StopSent{false};
  /** Progress, percent; 100 for a long-running task that is serving. */
  std::uint32_t Percent{0};
  /** When the percentage last changed. */
  time_point ProgressAt;
  /** Tail latency of a latency-sensitive task, ms; CPU use of any other. */
  std::uint32_t Gauge{0};
  /** Share of CPU time that it was last told to use, percent. */
  std::uint32_t Pace{100};
  /** The backend server has confirmed the pace; a run starts at 100 percent. */
  bool PaceConfirmed{true};
  /** A pace order is in flight. */
  bool PaceSent{false};
  /** Number of the latest heartbeat response that listed the run as running. */
  std::uint64_t LastListing{0};

  /** @brief Applies the information that the start order was carried out. */
  void confirmStart() noexcept {
    if (State == run_state::Starting || State == run_state::Unconfirmed)
      State = StopRequested ? run_state::Stopping : run_state::Running;
  }
};

/** Reserved for a run of unknown size: more than any backend server has, since
 * its capacity may not be known yet either. */
inline constexpr resources UnknownSize{std::int64_t{1} << 30,
                                       std::int64_t{1} << 30, 0};

/** @brief Sums over the runs of a backend server. */
struct run_totals {
  /** Resources reserved. */
  resources Used;
  std::uint32_t LongRunning{0};
  std::uint32_t BestEffort{0};
  std::uint32_t LatencySensitive{0};
  /** CPU reserved for long-running runs, thousandths of a core. */
  std::int64_t LongRunningCpu{0};

  [[nodiscard]] bool operator==(const run_totals &) const = default;
};

/** @brief Whether two start times, ms since the Unix epoch, can be those of one
 * incarnation. A time of 0 is unknown. */
[[nodiscard]] constexpr bool
mayBeSameIncarnation(const std::int64_t OneMs,
                     const std::int64_t OtherMs) noexcept {
  return OneMs == 0 || OtherMs == 0 || OneMs == OtherMs;
}

/** @brief One incarnation of a backend server as the leader sees it. */
struct server {
  registration Entry;
  bool Registered{false};
  /** When the registration went missing; it may return within a grace period.
   */
  time_point MissingSince{NoDeadline};
  /** The store has recorded that the leader uses it, so that a successor
   * queries it for runs. */
  bool Recorded{false};
  bool RecordSent{false};
  /** An earlier leader used it: until it responds, or until this time, any task
   * of its pool may be running there. */
  time_point RunsUnknownUntil{NoDeadline};
  /** It was logged that it did not respond until then. */
  bool EndOfWaitLogged{false};
  /** It has accepted the leader's epoch and reported its runs. */
  bool Synced{false};
  /** It gets no new work because its VM is to be moved or maintained. */
  bool Cordoned{false};
  /** Its VM; empty until the list of VMs names it. */
  std::string Vm;

  lease Lease;
  /** Sequence numbers of the last run end whose effects were applied, and of
   * the last one whose effects are in the store. */
  std::uint64_t LastAppliedEnd{0};
  std::uint64_t LastStoredEnd{0};
  bool HeartbeatPending{false};
  time_point HeartbeatSentAt;
  time_point HeartbeatDue;
  /** When it last listed its runs, and when a pace there was last changed. */
  time_point ListedAt;
  time_point PacedAt;
  std::uint32_t HeartbeatFailures{0};
  /** Number of heartbeat responses with a list of runs. */
  std::uint64_t Listings{0};

  run_totals Totals;
  /** Change it by `addRun` and `eraseRun` only. */
  std::map<run_id, run> Runs;
  /** Index of the runs of all backend servers; null for none. */
  run_locations *Locations{nullptr};
  /** Resources in use by customer; null for none. */
  customer_quotas *Quotas{nullptr};
  server_health Health;

  [[nodiscard]] server_target target() const {
    return {Entry.Id, Entry.Address, Entry.StartedAtMs};
  }
  [[nodiscard]] resources free() const noexcept {
    resources Free = Entry.Capacity;
    return Free -= Totals.Used;
  }
  [[nodiscard]] std::string_view rack() const noexcept {
    return Entry.Labels.size() > 1 ? std::string_view{Entry.Labels[1]}
                                   : std::string_view{};
  }
  /** @brief Resources reserved for a run; a best-effort run reserves no CPU. */
  [[nodiscard]] static resources chargedResources(const resources &Size,
                                                  const bool BestEffort) {
    return BestEffort ? resources{0, Size.Memory, Size.Gpu} : Size;
  }

  /** @return Null for an unknown run. */
  [[nodiscard]] run *findRun(const run_id &Id) {
    const auto Found = Runs.find(Id);
    return Found == Runs.end() ? nullptr : &Found->second;
  }
  /** @param Id Must not be in `Runs`. */
  run &addRun(const run_id &Id, const run &Run) {
    Totals.Used += chargedResources(Run.Size, Run.BestEffort);
    Totals.LongRunning += Run.LongRunning ? 1 : 0;
    Totals.BestEffort += Run.BestEffort ? 1 : 0;
    Totals.LatencySensitive += Run.TargetMs > 0 ? 1 : 0;
    Totals.LongRunningCpu += reservedLongRunningCpu(Run);
    if (Locations != nullptr)
      Locations->add(Id.Task, *this);
    run &Added = Runs.insert_or_assign(Id, Run).first->second;
    Added.QuotaSize = quotaSize(Run);
    if (Quotas != nullptr)
      Quotas->add(Added.Customer, Added.QuotaSize);
    return Added;
  }
  void eraseRun(const run_id &Id) {
    const auto Found = Runs.find(Id);
    if (Found == Runs.end())
      return;
    const run &Run = Found->second;
    Totals.Used -= chargedResources(Run.Size, Run.BestEffort);
    Totals.LongRunning -= Run.LongRunning ? 1 : 0;
    Totals.BestEffort -= Run.BestEffort ? 1 : 0;
    Totals.LatencySensitive -= Run.TargetMs > 0 ? 1 : 0;
    Totals.LongRunningCpu -= reservedLongRunningCpu(Run);
    if (Locations != nullptr)
      Locations->remove(Id.Task, *this);
    if (Quotas != nullptr)
      Quotas->remove(Run.Customer, Run.QuotaSize);
    Runs.erase(Found);
  }

private:
  /** @brief Resources that a run counts against its customer's quota. A run of
   * unknown size has at most the capacity of its backend server. */
  [[nodiscard]] resources quotaSize(const run &Run) const noexcept {
    return Run.Size.Cpu >= UnknownSize.Cpu ? Entry.Capacity : Run.Size;
  }
  [[nodiscard]] static std::int64_t
  reservedLongRunningCpu(const run &Run) noexcept {
    return Run.LongRunning && !Run.BestEffort ? Run.Size.Cpu : 0;
  }
};

} // namespace galenalink::job

#endif
