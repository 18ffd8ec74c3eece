#ifndef GALENALINK_JOB_JOB_MEMORY_HPP
#define GALENALINK_JOB_JOB_MEMORY_HPP

#include "galenalink/job/job_entry.hpp"
#include <cstddef>
#include <optional>

namespace galenalink::job {

/** Memory of a job beside its specification and tasks, bytes: its entry, its
 * places in the leader's indexes and its rule. */
inline constexpr std::size_t JobOverheadBytes = 1024;
/** Memory of an ended job of which only the state is kept, bytes. */
inline constexpr std::size_t EndedJobBytes = 768;

/** @return Memory of a specification, bytes. */
[[nodiscard]] std::size_t specificationBytes(const job_spec &Spec) noexcept;
/** @return Memory of one open occurrence, bytes. */
[[nodiscard]] std::size_t occurrenceBytes(const job_spec &Spec) noexcept;

/** @brief Limits of the memory that a leader's jobs may take, bytes, and of the
 * jobs that cost processor time for as long as they last. */
struct job_memory_limits {
  /** Jobs that have not ended, or not been compacted since. */
  std::size_t Open{std::size_t{64} << 20U};
  /** Those of them that are accepted whatever their pool has free, since they
   * have times or a long-running step. The rest is for other jobs. */
  std::size_t Background{std::size_t{32} << 20U};
  /** Ended jobs whose state can be queried. */
  std::size_t Ended{std::size_t{64} << 20U};
  /** Number of open jobs with a long-running step. Each pass of the leader
   * looks at them. */
  std::size_t LongRunningJobs{4000};
};

enum class job_memory_limit : std::uint8_t {
  Open,
  Background,
  Ended,
  LongRunning
};

inline constexpr enum_names<job_memory_limit, 4> JobMemoryLimitNames{{
    {job_memory_limit::Open, "open"},
    {job_memory_limit::Background, "background"},
    {job_memory_limit::Ended, "ended"},
    {job_memory_limit::LongRunning, "long-running"},
}};

/** @brief Estimated memory of the jobs of a leader, by what the limits apply
 * to. */
class job_memory {
public:
  explicit job_memory(const job_memory_limits Limits) noexcept
      : Limits{Limits} {}

  /** @brief Makes the amount of a job current after a change of its
   * occurrences or its state. */
  void update(job_entry &Entry);
  /** @brief Releases the amount of a job that is removed. */
  void release(job_entry &Entry) noexcept;

  /** @return The limit that a new job would exceed; nothing if it fits. */
  [[nodiscard]] std::optional<job_memory_limit>
  exceededBy(const job_spec &Spec) const noexcept;
  /** @brief Whether one more occurrence of an open job fits. */
  [[nodiscard]] bool fitsOccurrence(const job_entry &Entry) const noexcept;

  [[nodiscard]] std::size_t open() const noexcept { return Open; }
  [[nodiscard]] std::size_t background() const noexcept { return Background; }
  [[nodiscard]] std::size_t ended() const noexcept { return Ended; }
  /** @return Number of open jobs with a long-running step. */
  [[nodiscard]] std::size_t longRunningJobs() const noexcept {
    return LongRunningJobs;
  }

private:
  job_memory_limits Limits;
  std::size_t Open{0};
  std::size_t Background{0};
  std::size_t Ended{0};
  std::size_t LongRunningJobs{0};
};

} // namespace galenalink::job

#endif
