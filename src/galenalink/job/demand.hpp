#ifndef GALENALINK_JOB_DEMAND_HPP
#define GALENALINK_JOB_DEMAND_HPP

#include "galenalink/core/time.hpp"
#include <cmath>
#include <map>
#include <string>

namespace galenalink::job {

/**
 * @brief Rate at which work arrives for a pool, averaged over about the last
 * second, so that a turn of demand shows within a fraction of it.
 */
class demand_meter {
public:
  /** @param Work Thousandths of a core times ms. */
  void recordArrival(const time_point Now, const double Work) noexcept {
    decay(Now);
    DecayedWork += Work;
  }

  /** @return Thousandths of a core that the work keeps busy. */
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

/** @brief Jobs that were asked for lately: their repeats are no new demand. */
class recent_jobs {
public:
  /** @return Whether the job was not asked for before. */
  [[nodiscard]] bool add(const std::string &Id, const time_point Now) {
    if (Jobs.size() >= MaxJobs)
      std::erase_if(Jobs, [&](const auto &Each) {
        return Each.second + Retention < Now;
      });
    return Jobs.size() >= MaxJobs || Jobs.insert_or_assign(Id, Now).second;
  }

private:
  static constexpr std::size_t MaxJobs = 4096;
  /** Callers do not come back after this. */
  static constexpr duration Retention = std::chrono::seconds{10};

  std::map<std::string, time_point> Jobs;
};

} // namespace galenalink::job

#endif
