#ifndef GALENALINK_JOB_TICKETS_HPP
#define GALENALINK_JOB_TICKETS_HPP

#include "galenalink/core/time.hpp"
#include "galenalink/job/ports.hpp"
#include <map>

namespace galenalink::job {

struct leader;
struct server;

/** A ticket is not used this close to its expiry, so that the start request
 * arrives while it is valid. */
inline constexpr duration TicketMargin = std::chrono::milliseconds{150};

/**
 * @brief Cache of the ticket service's decisions: which backend servers may run
 * a step of an advised queue, whose tasks start only with a ticket. A step is
 * identified by its task with index 0. The decision about one incarnation of a
 * backend server is final, but a ticket expires.
 */
class ticket_cache {
public:
  /** @return Null without a valid ticket. */
  [[nodiscard]] const std::string *
  ticket(const task_id &Step, const registration &Server, time_point Now) const;
  /** @return Whether a request could yield a ticket: the service was not asked
   * about the backend server yet, or its ticket has expired. */
  [[nodiscard]] bool shouldRequest(const task_id &Step,
                                   const registration &Server,
                                   time_point Now) const;

  /** @brief Stores a response about the requested backend servers; those
   * without a granted ticket may not run the step. */
  void store(const task_id &Step, const std::vector<registration> &Requested,
             const std::vector<placement_ticket> &Granted,
             time_point ValidUntil);
  /** @brief Removes a ticket that a backend server rejected. */
  void invalidate(const task_id &Step, const std::string &Server);
  void eraseJob(const std::string &Job);

private:
  struct entry {
    /** Empty if the backend server may not run the step. */
    std::string Ticket;
    time_point ValidUntil;
    std::int64_t StartedAtMs{0};
  };
  [[nodiscard]] const entry *find(const task_id &Step,
                                  const registration &Server) const;

  std::map<task_id, std::map<std::string, entry>> Steps;
};

/** @brief Key of a task's step in the ticket cache. */
[[nodiscard]] task_id stepIdOf(const task_id &Task);
/** @return Upper estimate of the time to obtain tickets before a step can
 * start, ms; 0 for a queue that needs none. */
[[nodiscard]] double ticketLatencyMs(const job_rule *Rule);
/** @return The backend servers that hold a valid ticket for the step. */
[[nodiscard]] std::vector<server *>
serversWithTicket(const leader &Leader, const task_id &Step,
                  const std::vector<server *> &Servers);
/**
 * @brief Requests tickets for a step whose tasks could not all be placed. Only
 * one request is in flight, since the service processes them one by one.
 * @param Waiting Number of tasks of the step that wait to start.
 */
void requestTickets(leader &Leader, const task_id &Step, const step_spec &Spec,
                    std::size_t Waiting, const std::vector<server *> &Servers);

} // namespace galenalink::job

#endif
