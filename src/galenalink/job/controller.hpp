#ifndef GALENALINK_JOB_CONTROLLER_HPP
#define GALENALINK_JOB_CONTROLLER_HPP

#include "galenalink/job/leader.hpp"

namespace galenalink::job {

/** @brief The leader's duties for one epoch, from recovery on. */
class controller {
public:
  /** @param Recovered Newest records of `Jobs`, read after the epoch was
   * fenced. */
  controller(std::unique_ptr<leader> Leader, const latest_result &Recovered,
             fleet_rules Rules);

  void setRules(const fleet_rules &Rules);
  void setRegistrations(const std::vector<registration> &Registrations);
  void setWaves(const std::map<std::uint64_t, wave> &Waves);
  /** @param AskedAt When the list was asked for. */
  void setVms(const std::vector<vm> &Vms, time_point AskedAt);
  /** @return Whether VMs are on their way, so that the list changes soon. */
  [[nodiscard]] bool hasPendingVmOrders() const noexcept;

  void submit(const std::string &Queue, const std::string &Id, job_spec Spec,
              reply_function Reply);
  [[nodiscard]] caller_reply query(const std::string &Id) const;
  void cancel(const std::string &Id, reply_function Reply);
  [[nodiscard]] caller_reply pending(const std::string &Queue) const;

  /** @brief Duties that depend on the time; to be called every few ms. */
  void tick();
  /** @brief Places work and writes records; to be called after events. */
  void dispatchAndFlush();

  [[nodiscard]] leader &state() noexcept { return *Leader; }
  [[nodiscard]] const leader &state() const noexcept { return *Leader; }

private:
  void openScheduledOccurrences();

  std::unique_ptr<leader> Leader;
  time_point NextSlowTask;
  time_point NextCompaction;
};

} // namespace galenalink::job

#endif
