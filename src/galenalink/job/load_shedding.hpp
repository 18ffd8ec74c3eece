#ifndef GALENALINK_JOB_LOAD_SHEDDING_HPP
#define GALENALINK_JOB_LOAD_SHEDDING_HPP

#include "galenalink/core/enum_names.hpp"
#include <cstdint>
#include <vector>

namespace galenalink::job {

/** @brief When jobs that will miss their objective run in the order of their
 * work instead of that of their objectives. */
enum class load_shedding : std::uint8_t {
  Off,
  /** If the rules have customers. */
  Customers,
  Always,
};

inline constexpr enum_names<load_shedding, 3> LoadSheddingNames{{
    {load_shedding::Off, "off"},
    {load_shedding::Customers, "customers"},
    {load_shedding::Always, "always"},
}};

/** @brief Accepted work that runs only in capacity that jobs within their
 * objective leave free. Amounts are in thousandths of a core times ms. */
struct deferred_job {
  /** Work of all tasks of the job. */
  double Work{0};
  /** Work that is left. */
  double Remaining{0};
};

/**
 * @brief Position of a job among those that will miss their objective; lower
 * ones run first.
 *
 * A pool that can't serve all jobs serves most callers by taking the jobs with
 * the least work first (shortest job first). A long job then waits for many
 * short ones, instead of many short ones for it.
 */
[[nodiscard]] constexpr double sheddingRank(const double Work) noexcept {
  return Work;
}

/** @return Work of the deferred jobs that run before a job with the given work.
 */
[[nodiscard]] inline double
deferredWorkAhead(const std::vector<deferred_job> &Deferred,
                  const double Work) noexcept {
  double Sum = 0;
  for (const deferred_job &Each : Deferred) {
    if (sheddingRank(Each.Work) <= sheddingRank(Work))
      Sum += Each.Remaining;
  }
  return Sum;
}

} // namespace galenalink::job

#endif
