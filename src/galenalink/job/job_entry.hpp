#ifndef GALENALINK_JOB_JOB_ENTRY_HPP
#define GALENALINK_JOB_JOB_ENTRY_HPP

#include "galenalink/job/caller_reply.hpp"
#include "galenalink/job/job.hpp"
#include <cstddef>
#include <optional>
#include <vector>

namespace galenalink::job {

/** @brief Indexes of `open_jobs` that have a job. */
struct open_jobs_position {
  bool Active{false};
  bool Queued{false};
  /** Due time of its next occurrence, if it has times. */
  std::optional<wall_ms> DueMs;
};

/** @brief Memory that `job_memory` counts for a job, bytes. */
struct job_charge {
  std::size_t OpenBytes{0};
  std::size_t EndedBytes{0};
  bool Background{false};
  bool LongRunning{false};
};

/** @brief A job with the leader's state about it. */
struct job_entry {
  explicit job_entry(job Job) : Job{std::move(Job)} {}

  job Job;
  /** The job is in the store; its tasks must not start before. */
  bool Stored{false};
  /** Latest state that is in the store. Callers see this one, so that a change
   * of leader never takes back a reported state. */
  job_state StoredState{job_state::Queued};
  /** Number of occurrences that are done according to the store. */
  std::uint32_t StoredDoneCount{0};
  /** Accepted by an earlier leader: its runs may exist on any backend server of
   * the pool that has not responded to this leader yet. */
  bool Recovered{false};
  /** The record in the store names the job's present pool. No task must start
   * before: a successor would not look for its run in that pool. */
  bool PoolStored{true};
  time_point EndedAt;
  /** Admitted although it may miss its objective, to run on capacity that jobs
   * within their objective leave free. */
  bool Deferred{false};
  /** Submitted beyond its customer's rate, so that it stays deferred. */
  bool BeyondRate{false};
  /** Work that was left when this leader accepted or recovered the job,
   * thousandths of a core times ms. */
  double Work{0};
  /** The job has ended and only its state is kept. */
  bool Compacted{false};
  /** Callers to reply to once the job is stored. */
  std::vector<reply_function> OnStored;
  /** Where `open_jobs` has it. */
  open_jobs_position Position;
  job_charge Charge;

  /** @return Number of occurrences that are open, or that a successor would
   * read as open from the store. */
  [[nodiscard]] std::size_t storedOpenCount() const noexcept {
    return Job.openedCount() - StoredDoneCount;
  }
};

} // namespace galenalink::job

#endif
