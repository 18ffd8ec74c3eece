#ifndef GALENALINK_JOB_ADMISSION_HPP
#define GALENALINK_JOB_ADMISSION_HPP

#include "galenalink/core/enum_names.hpp"
#include <algorithm>
#include <cmath>
#include <cstdint>

namespace galenalink::job {

/**
 * @brief Capacity of a pool and the work it has accepted. Capacity is in
 * thousandths of a core, work in thousandths of a core times ms.
 */
struct pool_load {
  double Capacity{0};
  /** Remaining work of jobs that are expected to meet their objective. */
  double InTimeWork{0};
  /** Remaining work of jobs that run only in otherwise unused capacity. */
  double DeferredWork{0};
};

/** @brief A job to be admitted or refused. */
struct admission_request {
  double CriticalPathMs{0};
  /** Work of all its tasks, thousandths of a core times ms. */
  double Work{0};
  /** Time within which it should complete, ms from now. */
  double ObjectiveMs{0};
};

enum class admission_verdict : std::uint8_t { InTime, Deferred, Refused };

inline constexpr enum_names<admission_verdict, 3> AdmissionVerdictNames{{
    {admission_verdict::InTime, "in-time"},
    {admission_verdict::Deferred, "deferred"},
    {admission_verdict::Refused, "refused"},
}};

struct admission {
  admission_verdict Verdict{admission_verdict::Refused};
  /** Expected time to completion, ms from now. */
  double FinishMs{0};
  /** If refused: when the job is expected to fit, ms from now. */
  std::uint32_t RetryAfterMs{0};
};

/**
 * @brief Admission control during a demand peak above the pool's capacity.
 *
 * A job that can meet its objective after the jobs accepted before it is
 * admitted. A job that would complete late is deferred to capacity left after
 * the peak, if it still completes early enough to be useful. Any other job is
 * refused immediately.
 */
[[nodiscard]] inline admission admit(const pool_load &Load,
                                     const admission_request &Request) {
  /** Share of the capacity that tasks can use; bin packing wastes the rest. */
  constexpr double PackingEfficiency = 0.85;
  /** Latest useful completion, as a multiple of the objective. It is one tenth
   * below the multiple at which a job loses its value, to allow for inaccurate
   * estimates. */
  constexpr double MaxUsefulFactor = 2.7;
  /** Lower bound of the retry delay given to callers. */
  constexpr double MinRetryMs = 1000;

  admission Result;
  if (Load.Capacity <= 0) {
    Result.RetryAfterMs = static_cast<std::uint32_t>(MinRetryMs);
    return Result;
  }
  const double Rate = Load.Capacity * PackingEfficiency;
  const double ExecutionMs =
      std::max(Request.CriticalPathMs, Request.Work / Rate);
  Result.FinishMs = Load.InTimeWork / Rate + ExecutionMs;
  if (Result.FinishMs <= Request.ObjectiveMs) {
    Result.Verdict = admission_verdict::InTime;
    return Result;
  }
  Result.FinishMs += Load.DeferredWork / Rate;
  const double LatestUsefulMs = Request.ObjectiveMs * MaxUsefulFactor;
  if (Result.FinishMs <= LatestUsefulMs) {
    Result.Verdict = admission_verdict::Deferred;
    return Result;
  }
  Result.RetryAfterMs = static_cast<std::uint32_t>(
      std::max(Result.FinishMs - Request.ObjectiveMs, MinRetryMs));
  return Result;
}

} // namespace galenalink::job

#endif
