#ifndef GALENALINK_TEST_JOB_ONE_POOL_HPP
#define GALENALINK_TEST_JOB_ONE_POOL_HPP

#include "simulated_platform.hpp"
#include <boost/test/unit_test.hpp>

namespace galenalink::test {

inline constexpr duration Second = std::chrono::seconds{1};
inline constexpr duration Millisecond = std::chrono::milliseconds{1};

inline job::job_spec makeJob(const std::vector<job::step_spec> &Steps) {
  job::job_spec Spec;
  Spec.Spec = "text";
  Spec.Steps = Steps;
  return Spec;
}

inline job::step_spec
makeLongRunningStep(const std::uint32_t Count,
                    const std::uint32_t DisruptionBudget) {
  job::step_spec Step = makeStep(Count, 2000, 0);
  Step.LongRunning = true;
  Step.MaxPerServer = 1;
  Step.DisruptionBudget = DisruptionBudget;
  return Step;
}

/** @brief The simulated platform with one pool of equal backend servers and an
 * elected leader. */
struct one_pool : simulated_platform {
  explicit one_pool(const int Count = 4) {
    for (int I = 0; I < Count; ++I)
      addServer("s" + std::to_string(I), "press");
    elect();
    advance(Second);
  }
};

/** @brief Advances the simulated time.
 * @return Lowest number of running tasks of the first step of job `a` at any
 * time. */
inline std::size_t minRunning(simulated_platform &Platform,
                              const std::uint32_t Count, const duration Time) {
  std::size_t Lowest = Count;
  for (const time_point End = Platform.Now + Time; Platform.Now < End;) {
    Platform.advance(20 * Millisecond);
    std::size_t Running = 0;
    for (std::uint32_t Index = 0; Index < Count; ++Index)
      Running += Platform.countRunning({"a", 0, 0, Index});
    Lowest = std::min(Lowest, Running);
  }
  return Lowest;
}

inline void checkNoViolations(const simulated_platform &Platform) {
  for (const auto &Each : Platform.Violations)
    BOOST_ERROR(Each);
}

} // namespace galenalink::test

#endif
