#ifndef GALENALINK_JOB_SERVER_HPP
#define GALENALINK_JOB_SERVER_HPP

#include "galenalink/job/lease.hpp"
#include "galenalink/job/ports.hpp"
#include "galenalink/job/server_health.hpp"
#include <map>

namespace galenalink::job {

enum class run_state : std::uint8_t {
  /** The order is on its way. */
  Starting,
  Running,
  /** It is being stopped; its room is not free yet. */
  Stopping,
  /** The order had no answer; it may be carried out later. */
  Unclear,
};

inline constexpr enum_names<run_state, 4> RunStateNames{{
    {run_state::Starting, "starting"},
    {run_state::Running, "running"},
    {run_state::Stopping, "stopping"},
    {run_state::Unclear, "unclear"},
}};

/** @brief A run that exists or may exist on a backend server. */
struct run {
  run_state State{run_state::Starting};
  resources Size;
  bool LongRunning{false};
  bool BestEffort{false};
  /** Bound of the tail of a serving task, ms; 0 for other tasks. */
  std::uint32_t TargetMs{0};
  time_point SentAt;
  /** When the start or the stop was confirmed; `NoDeadline` before. */
  time_point StartConfirmedAt{NoDeadline};
  time_point StopConfirmedAt{NoDeadline};
  /** When a run without a backend server's fault should have ended. */
  time_point ExpectedEnd;
  /** Saved progress that it was started with. */
  std::string StartedFrom;
  /** Start orders that were sent. */
  std::uint32_t StartsSent{0};
  /** A stop order is on its way. */
  bool StopSent{false};
  /** Progress, or 100 for a task that lasts and is at work. */
  std::uint32_t Percent{0};
  /** When the percentage last changed. */
  time_point ProgressAt;
  /** A serving task: its tail, ms; any other: its processor use. */
  std::uint32_t Gauge{0};
  /** Share of the time in which it was told to work, percent. */
  std::uint32_t Pace{100};
  /** The backend server has confirmed that share; a start has all of it. */
  bool PaceKnown{true};
  /** A pace order is on its way. */
  bool PaceSent{false};
};

/** @brief One incarnation of a backend server as the leader sees it. */
struct server {
  registration Entry;
  bool Registered{false};
  /** When the registration went missing; it may come back for a while. */
  time_point MissingSince{NoDeadline};
  /** The store knows that the leader uses it, so that a successor asks it. */
  bool Recorded{false};
  bool RecordSent{false};
  /** An earlier leader used it: until it answers, or until this time, any task
   * of its pool may be running there. */
  time_point UnknownUntil{NoDeadline};
  /** It was told the leader's epoch and its runs are known. */
  bool Usable{false};
  /** No new work: its VM is to be moved or maintained. */
  bool Reserved{false};
  /** Its VM, once the list of VMs has shown it. */
  std::string Vm;

  lease Lease;
  std::uint64_t SeenEnds{0};
  std::uint64_t RecordedEnds{0};
  bool HoldOpen{false};
  time_point HoldSentAt;
  time_point HoldDue;
  /** When its runs were last listed, and when shares there were last set. */
  time_point ListedAt;
  time_point PacedAt;
  std::uint32_t HoldFailures{0};

  resources Used;
  std::map<run_id, run> Runs;
  server_health Health;

  [[nodiscard]] server_target target() const {
    return {Entry.Id, Entry.Address};
  }
  [[nodiscard]] resources free() const noexcept {
    resources Free = Entry.Capacity;
    return Free -= Used;
  }
  [[nodiscard]] std::string_view rack() const noexcept {
    return Entry.Labels.size() > 1 ? std::string_view{Entry.Labels[1]}
                                   : std::string_view{};
  }
  /** @brief Room that a run takes; one that fills takes no processor time. */
  [[nodiscard]] static resources charged(const resources &Size,
                                         const bool BestEffort) {
    return BestEffort ? resources{0, Size.Memory, Size.Gpu} : Size;
  }

  /** @return Null for a run that has ended or was never there. */
  [[nodiscard]] run *findRun(const run_id &Id) {
    const auto Found = Runs.find(Id);
    return Found == Runs.end() ? nullptr : &Found->second;
  }
  run &addRun(const run_id &Id, const run &Run) {
    Used += charged(Run.Size, Run.BestEffort);
    return Runs.insert_or_assign(Id, Run).first->second;
  }
  void eraseRun(const run_id &Id) {
    const auto Found = Runs.find(Id);
    if (Found == Runs.end())
      return;
    Used -= charged(Found->second.Size, Found->second.BestEffort);
    Runs.erase(Found);
  }
};

} // namespace galenalink::job

#endif
