#ifndef GALENALINK_JOB_ADMISSION_HPP
#define GALENALINK_JOB_ADMISSION_HPP

#include "galenalink/core/enum_names.hpp"
#include <algorithm>
#include <cmath>
#include <cstdint>

namespace galenalink::job {

/** @brief What a pool can do and what it has accepted, in thousandths of a core
 * and in those times ms. */
struct pool_load {
  double Capacity{0};
  /** Work left of jobs that are expected to meet their objective. */
  double InTimeWork{0};
  /** Work left of jobs that run in what the others leave. */
  double DeferredWork{0};
};

/** @brief A job that asks to be admitted. */
struct admission_request {
  double CriticalPathMs{0};
  /** All its work, thousandths of a core times ms. */
  double Work{0};
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
  /** Expected time to the end, ms. */
  double FinishMs{0};
  /** With a refusal: when the job would fit, ms. */
  std::uint32_t RetryAfterMs{0};
};

/**
 * @brief Answers to a turn of demand above what the pool holds: a job that can
 * meet its objective behind those that were accepted before is admitted. One
 * that can only end late runs in the room that is left after the turn, if that
 * is early enough to be of use. Any other is refused at once.
 */
[[nodiscard]] inline admission admit(const pool_load &Load,
                                     const admission_request &Request) {
  /** Share of the room that packing leaves unused. */
  constexpr double PackingEfficiency = 0.85;
  /** Ending after this many times the objective is of no use; a tenth is kept
   * for estimates that are off. */
  constexpr double MaxUsefulFactor = 2.7;
  /** A caller that is told to come back is not told to do so sooner. */
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
