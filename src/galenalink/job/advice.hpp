#ifndef GALENALINK_JOB_ADVICE_HPP
#define GALENALINK_JOB_ADVICE_HPP

#include "galenalink/core/time.hpp"
#include "galenalink/job/ports.hpp"
#include <map>

namespace galenalink::job {

struct leader;
struct server;

/**
 * @brief Which backend servers may run the steps of advised queues, as far as
 * the service that decides on it was asked. Steps are named by their task with
 * index 0; what it says of one incarnation does not change, but tickets
 * expire.
 */
class advice_book {
public:
  /** @return The ticket; null if there is none that is valid. */
  [[nodiscard]] const std::string *
  ticket(const task_id &Step, const registration &Server, time_point Now) const;
  /** @return Whether asking could bring a ticket. */
  [[nodiscard]] bool worthAsking(const task_id &Step,
                                 const registration &Server,
                                 time_point Now) const;

  /** @brief Takes note of an answer about the named backend servers; those
   * without a row may not run the step. */
  void take(const task_id &Step, const std::vector<registration> &Asked,
            const std::vector<placement_ticket> &Granted,
            time_point ValidUntil);
  /** @brief A start was refused for want of a valid ticket. */
  void drop(const task_id &Step, const std::string &Server);
  void forget(const std::string &Job);

private:
  struct entry {
    /** Empty for a backend server that may not run the step. */
    std::string Ticket;
    time_point ValidUntil;
    std::int64_t StartedAtMs{0};
  };
  [[nodiscard]] const entry *find(const task_id &Step,
                                  const registration &Server) const;

  std::map<task_id, std::map<std::string, entry>> Steps;
};

/** @brief The step of a task, as the book names it. */
[[nodiscard]] task_id stepOf(const task_id &Task);
/** @return Time that advice takes before a step can start, ms; 0 for a queue
 * without. */
[[nodiscard]] double adviceMs(const queue_rule *Rule);
/** @return Those of the backend servers that may run the step now. */
[[nodiscard]] std::vector<server *>
withTickets(const leader &Leader, const task_id &Step,
            const std::vector<server *> &Servers);
/**
 * @brief Asks about backend servers for a step that could not be placed, one
 * call at a time: the service takes them in turn.
 * @param Waiting Tasks of the step that wait.
 */
void askAdvice(leader &Leader, const task_id &Step, const step_spec &Spec,
               std::size_t Waiting, const std::vector<server *> &Servers);

} // namespace galenalink::job

#endif
