#ifndef GALENALINK_JOB_DEMAND_HPP
#define GALENALINK_JOB_DEMAND_HPP

#include "galenalink/core/time.hpp"
#include <cmath>
#include <map>
#include <string>

namespace galenalink::job {

/**
 * @brief Exponentially weighted arrival rate of work for a pool. The average
 * covers about the last second, so that a demand peak shows within a fraction
 * of a second.
 */
class demand_meter {
public:
  /** @param Work Thousandths of a core times ms. */
  void recordArrival(const time_point Now, const double Work) noexcept {
    decay(Now);
    DecayedWork += Work;
  }

  /** @return Arrival rate of work, thousandths of a core. */
  [[nodiscard]] double rate(const time_point Now) const noexcept {
    return DecayedWork * decayFactor(Now) / TimeConstantMs;
  }

private:
  static constexpr double TimeConstantMs = 700;

  [[nodiscard]] double decayFactor(const time_point Now) const noexcept {
    const std::chrono::duration<double, std::milli> Elapsed = Now - UpdatedAt;
    return std::exp(-Elapsed.count() / TimeConstantMs);
  }
  void decay(const time_point Now) noexcept {
    DecayedWork *= decayFactor(Now);
    UpdatedAt = Now;
  }

  double DecayedWork{0};
  time_point UpdatedAt;
};

/** @brief Recently submitted jobs, so that resubmissions are not counted as new
 * demand. */
class recent_jobs {
public:
  /** @return Whether the job was not submitted recently. Also true while the
   * table is full. */
  [[nodiscard]] bool add(const std::string &Id, const time_point Now) {
    if (Jobs.size() >= MaxJobs)
      std::erase_if(Jobs, [&](const auto &Each) {
        return Each.second + Retention < Now;
      });
    return Jobs.size() >= MaxJobs || Jobs.insert_or_assign(Id, Now).second;
  }

private:
  static constexpr std::size_t MaxJobs = 4096;
  /** Callers do not resubmit a job after this time. */
  static constexpr duration Retention = std::chrono::seconds{10};

  std::map<std::string, time_point> Jobs;
};

} // namespace galenalink::job

#endif
