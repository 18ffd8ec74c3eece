#ifndef GALENALINK_JOB_ADMISSION_HPP
#define GALENALINK_JOB_ADMISSION_HPP

#include "galenalink/core/enum_names.hpp"
#include "galenalink/job/fair_share.hpp"
#include "galenalink/job/load_shedding.hpp"
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>
#include <vector>

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
  /** `InTimeWork` and demand by customer; empty if no job has a customer. */
  std::vector<customer_claim> Claims{};
  /** Jobs of `DeferredWork`; empty if they run in the order of their objectives
   * instead of that of their work. */
  std::vector<deferred_job> Deferred{};

  /** @return Deferred work that is done before that of a new job. */
  [[nodiscard]] double deferredAhead(const double Work) const noexcept {
    return Deferred.empty() ? DeferredWork : deferredWorkAhead(Deferred, Work);
  }
};

/** @brief A job to be admitted or refused. */
struct admission_request {
  double CriticalPathMs{0};
  /** Work of all its tasks, thousandths of a core times ms. */
  double Work{0};
  /** Time within which it should complete, ms from now. */
  double ObjectiveMs{0};
  /** Customer that submits it; empty for none. */
  std::string Customer{};
  /** Its share of a full pool relative to the other customers. */
  double Weight{1};
  /** The customer has a claim to service for it. */
  bool WithinRate{true};
  /** Until when the customer's quota lets its jobs and this one complete, ms
   * from now. */
  double QuotaMs{0};
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
  /** Time within which it should complete, ms from now. */
  double ObjectiveMs{0};
  /** Work of all its tasks, thousandths of a core times ms. */
  double Work{0};
  /** If refused: when the job is expected to fit, ms from now. */
  std::uint32_t RetryAfterMs{0};
};

/** Share of the capacity that tasks can use; bin packing wastes the rest. */
inline constexpr double PackingEfficiency = 0.85;

/** @return Work that the pool does until it has done the customer's own, if
 * the customers share it by weight; 0 without customers. */
[[nodiscard]] inline double ownShareOfWork(const pool_load &Load,
                                           const admission_request &Request) {
  const customer_claim *Own = findClaim(Load.Claims, Request.Customer);
  if (Own == nullptr)
    return 0;
  const double Share = fairRate(Load.Claims, Request.Customer, Request.Weight,
                                Load.Capacity, Request.ObjectiveMs) /
                       Load.Capacity;
  return Own->Work / Share;
}

/**
 * @brief Admission control during a demand peak above the pool's capacity.
 *
 * A job that can meet its objective after the jobs accepted before it is
 * admitted, as long as the customer keeps to its fair share of the pool. A job
 * that would complete late is deferred to capacity left after the peak, if it
 * still completes early enough to be useful; with load shedding, only deferred
 * jobs with less work go before it. Any other job is refused immediately. A job
 * beyond its customer's rate is deferred if the pool has room for it beside all
 * others, and refused otherwise.
 */
[[nodiscard]] inline admission admit(const pool_load &Load,
                                     const admission_request &Request) {
  /** Latest useful completion, as a multiple of the objective. It is one tenth
   * below the multiple at which a job loses its value, to allow for inaccurate
   * estimates. */
  constexpr double MaxUsefulFactor = 2.7;
  /** Lower bound of the retry delay given to callers. */
  constexpr double MinRetryMs = 1000;

  admission Result;
  Result.ObjectiveMs = Request.ObjectiveMs;
  Result.Work = Request.Work;
  if (Load.Capacity <= 0) {
    Result.RetryAfterMs = static_cast<std::uint32_t>(MinRetryMs);
    return Result;
  }
  const double Rate = Load.Capacity * PackingEfficiency;
  const double ExecutionMs =
      std::max(Request.CriticalPathMs, Request.Work / Rate);
  const double AheadMs =
      std::max(Load.InTimeWork, ownShareOfWork(Load, Request)) / Rate;
  Result.FinishMs = std::max(AheadMs + ExecutionMs, Request.QuotaMs);
  if (Request.WithinRate && Result.FinishMs <= Request.ObjectiveMs) {
    Result.Verdict = admission_verdict::InTime;
    return Result;
  }
  Result.FinishMs = std::max(
      (Load.InTimeWork + Load.deferredAhead(Request.Work)) / Rate + ExecutionMs,
      Request.QuotaMs);
  const double LatestMs = Request.WithinRate
                              ? Request.ObjectiveMs * MaxUsefulFactor
                              : Request.ObjectiveMs;
  if (Result.FinishMs <= LatestMs) {
    Result.Verdict = admission_verdict::Deferred;
    return Result;
  }
  Result.RetryAfterMs = static_cast<std::uint32_t>(
      std::max(Result.FinishMs - Request.ObjectiveMs, MinRetryMs));
  return Result;
}

} // namespace galenalink::job

#endif
