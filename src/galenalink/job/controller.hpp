#ifndef GALENALINK_JOB_CONTROLLER_HPP
#define GALENALINK_JOB_CONTROLLER_HPP

#include "galenalink/job/leader.hpp"

namespace galenalink::job {

/** @brief Runs the leader's control loop for one epoch, after restoring its
 * state from the store. */
class controller {
public:
  /** @param Recovered Latest records of `Jobs`, read after lower epochs were
   * fenced. */
  controller(std::unique_ptr<leader> Leader, const latest_result &Recovered,
             fleet_rules Rules);

  void setRules(const fleet_rules &Rules);
  void setRegistrations(const std::vector<registration> &Registrations);
  void setWaves(const std::map<std::uint64_t, wave> &Waves);
  /** @param RequestedAt When the list was requested. */
  void setVms(const vms_result &List, time_point RequestedAt);
  /** @return Whether VM orders are in progress, so that the list is about to
   * change. */
  [[nodiscard]] bool hasPendingVmOrders() const noexcept;

  void submit(submission Submission, reply_function Reply);
  /** @return The reply to a submission that is refused because the leader is
   * overloaded; `nullopt` if it must be looked at in full. */
  [[nodiscard]] std::optional<caller_reply>
  refuseUnparsed(const std::string &Id);
  [[nodiscard]] bool knows(const std::string &Id) const noexcept {
    return Leader->findJob(Id) != nullptr;
  }
  [[nodiscard]] caller_reply query(const job_request &Request) const;
  void cancel(const job_request &Request, reply_function Reply);
  [[nodiscard]] caller_reply pending(const std::string &Queue) const;

  /** @brief Makes one pass of the control loop; call every few ms.
   * @param LoopDelay By how much the event loop delayed this pass.
   * @param CallbackDelay For how long responses wait in the event loop. */
  void tick(duration LoopDelay = duration{0},
            duration CallbackDelay = duration{0});
  /** @brief Starts tasks that can be placed and writes pending records; call
   * after each event. */
  void dispatchAndFlush();

  [[nodiscard]] leader &state() noexcept { return *Leader; }
  [[nodiscard]] const leader &state() const noexcept { return *Leader; }

private:
  void openScheduledOccurrences();

  std::unique_ptr<leader> Leader;
  time_point NextPeriodicWork;
  time_point NextCompaction;
};

} // namespace galenalink::job

#endif
