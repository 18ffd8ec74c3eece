#ifndef GALENALINK_JOB_OPEN_JOBS_HPP
#define GALENALINK_JOB_OPEN_JOBS_HPP

#include "galenalink/job/job_entry.hpp"
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace galenalink::job {

/**
 * @brief Jobs that have not ended, indexed so that the leader's passes cost
 * nothing for jobs that are not due.
 *
 * The entries belong to the caller. `update` must be called after each change
 * of a job's occurrences or of its state.
 */
class open_jobs {
public:
  /** By job id. */
  using map_type = std::map<std::string, job_entry *>;

  void insert(job_entry &Entry);
  /** @brief Removes the job; it may have ended. */
  void erase(job_entry &Entry);
  void update(job_entry &Entry);

  [[nodiscard]] const map_type &all() const noexcept { return All; }
  /** @return Jobs that have an open occurrence. */
  [[nodiscard]] const map_type &active() const noexcept { return Active; }
  /** @return Jobs with times whose next occurrence is due, earliest first. */
  [[nodiscard]] std::vector<job_entry *> due(wall_ms Wall) const;
  /** @return Jobs of a queue of which no task has started. */
  [[nodiscard]] std::size_t queued(const std::string &Queue) const;
  [[nodiscard]] std::size_t size() const noexcept { return All.size(); }

private:
  using due_key = std::pair<wall_ms, std::string>;

  void setActive(job_entry &Entry, bool IsActive);
  void setQueued(job_entry &Entry, bool IsQueued);
  void setDue(job_entry &Entry, std::optional<wall_ms> DueMs);

  map_type All;
  map_type Active;
  std::map<due_key, job_entry *> Scheduled;
  /** By queue. */
  std::map<std::string, std::size_t> Queued;
};

} // namespace galenalink::job

#endif
