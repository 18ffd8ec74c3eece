#include "galenalink/job/peak_forecast.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::job;

namespace {

/** Both in thousandths of a core. */
constexpr double InitialCapacity = 256000;
constexpr double PeakRate = 440000;
constexpr wall_ms PeakIntervalMs = 4500;
constexpr wall_ms LeadMs = 2100;
/** Time between jobs in a peak. */
constexpr wall_ms JobIntervalMs = 100;

const std::vector<std::string> Pools{"a", "b", "c", "d"};

struct forecast : peak_forecast {
  /** @brief Records one arrival of a peak at the peak rate. */
  void addJob(const std::string &Pool, const wall_ms Now,
              const wall_ms IntervalMs = JobIntervalMs) {
    recordArrival(Pool, PeakRate * static_cast<double>(IntervalMs), Now);
  }
  void observeAll(const wall_ms Now) {
    for (const auto &Each : Pools)
      observe(Each, InitialCapacity, Now);
  }
};

/** @brief Feeds the forecast with peaks at equal intervals in [`From`, `To`).
 */
void simulatePeaks(forecast &Forecast, const wall_ms From, const wall_ms To) {
  for (wall_ms Now = From; Now < To; Now += JobIntervalMs) {
    Forecast.addJob(
        Pools[static_cast<std::size_t>(Now / PeakIntervalMs) % Pools.size()],
        Now);
    Forecast.observeAll(Now);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(peak_forecast_test)

// Two peaks have only one interval between them, which is not enough for a
// forecast, so no VMs may be moved.
BOOST_AUTO_TEST_CASE(two_peaks_are_not_enough_for_a_forecast) {
  forecast Forecast;
  simulatePeaks(Forecast, 0, 3 * PeakIntervalMs - LeadMs);
  BOOST_TEST(!Forecast.isPeriodic());
  for (const auto &Each : {"a", "b", "d"})
    BOOST_TEST(
        Forecast.expectedRate(Each, 3 * PeakIntervalMs - LeadMs, LeadMs) == 0);
  forecast Early;
  simulatePeaks(Early, 0, 2 * PeakIntervalMs - JobIntervalMs);
  BOOST_TEST(!Early.isPeriodic());
  for (const auto &Each : {"a", "c", "d"})
    BOOST_TEST(Early.expectedRate(Each, 2 * PeakIntervalMs - JobIntervalMs,
                                  LeadMs) == 0);
}

// The only pool that has not peaked yet must be predicted as the next one.
BOOST_AUTO_TEST_CASE(last_pool_of_the_first_cycle_is_predicted) {
  forecast Forecast;
  simulatePeaks(Forecast, 0, 3 * PeakIntervalMs + 1300);
  BOOST_TEST(Forecast.isPeriodic());
  const auto Restored = [&] {
    forecast Other;
    Other.observeAll(0);
    auto Peaks = Forecast.peaks();
    Peaks.pop_back();
    Other.restore(Peaks);
    return Other;
  }();
  BOOST_TEST(Restored.nextPool(3 * PeakIntervalMs - LeadMs) == "d");
  BOOST_TEST(Restored.expectedRate("d", 3 * PeakIntervalMs - LeadMs, LeadMs) >
             0.9 * PeakRate);
}

// The next peak must be predicted early enough to move VMs, but not earlier.
BOOST_AUTO_TEST_CASE(next_peak_is_predicted_within_the_lead_time) {
  forecast Forecast;
  simulatePeaks(Forecast, 0, 4 * PeakIntervalMs - LeadMs);
  BOOST_TEST(Forecast.isPeriodic());
  BOOST_TEST(Forecast.expectedRate("a", 4 * PeakIntervalMs - LeadMs, LeadMs) >
             0.9 * PeakRate);
  BOOST_TEST(
      Forecast.expectedRate("a", 4 * PeakIntervalMs - 2 * LeadMs, LeadMs) == 0);
  BOOST_TEST(Forecast.expectedRate("b", 4 * PeakIntervalMs - LeadMs, LeadMs) ==
             0);
}

// A peak must get capacity for the rate of the pool's previous peak as soon as
// it starts, not only when its own rate has been measured.
BOOST_AUTO_TEST_CASE(started_peak_uses_its_previous_rate) {
  forecast Forecast;
  simulatePeaks(Forecast, 0, 5 * PeakIntervalMs);
  const wall_ms Now = 5 * PeakIntervalMs + 400;
  simulatePeaks(Forecast, 5 * PeakIntervalMs, Now);
  BOOST_TEST(Forecast.expectedRate("b", Now, LeadMs) > 0.9 * PeakRate);
}

// A peak must get no VMs that would arrive after its end.
BOOST_AUTO_TEST_CASE(peak_about_to_end_needs_no_more_capacity) {
  forecast Forecast;
  simulatePeaks(Forecast, 0, 6 * PeakIntervalMs - LeadMs / 2);
  BOOST_TEST(
      Forecast.expectedRate("b", 6 * PeakIntervalMs - LeadMs / 2, LeadMs) == 0);
}

// A predicted peak that does not start must not keep VMs for long.
BOOST_AUTO_TEST_CASE(missed_peak_is_abandoned) {
  forecast Forecast;
  simulatePeaks(Forecast, 0, 4 * PeakIntervalMs);
  for (wall_ms Now = 4 * PeakIntervalMs; Now < 7 * PeakIntervalMs;
       Now += JobIntervalMs)
    Forecast.observeAll(Now);
  BOOST_TEST(Forecast.expectedRate("a", 4 * PeakIntervalMs + 5000, LeadMs) ==
             0);
  for (const auto &Each : Pools)
    BOOST_TEST(Forecast.expectedRate(Each, 7 * PeakIntervalMs, LeadMs) == 0);
}

// A successor must be able to restore the forecast from the stored peaks.
BOOST_AUTO_TEST_CASE(forecast_survives_restore) {
  forecast Forecast;
  simulatePeaks(Forecast, 0, 4 * PeakIntervalMs + 1300);
  auto Peaks = Forecast.peaks();
  Peaks.pop_back();
  forecast Restored;
  Restored.observeAll(0);
  Restored.restore(Peaks);
  BOOST_TEST(Restored.expectedRate("a", 4 * PeakIntervalMs - LeadMs, LeadMs) >
             0.9 * PeakRate);
}

// The pauses of a queue with few large jobs were taken for three separate
// peaks, and VMs were moved to a pool that was not about to peak.
BOOST_AUTO_TEST_CASE(pauses_within_a_peak_do_not_split_it) {
  forecast Forecast;
  for (const wall_ms From : {0, 2400, 4800}) {
    for (wall_ms Now = From; Now < From + 900; Now += 300) {
      Forecast.addJob("a", Now, 300);
      Forecast.observeAll(Now);
    }
    for (wall_ms Now = From + 900; Now < From + 2400; Now += JobIntervalMs)
      Forecast.observeAll(Now);
  }
  BOOST_TEST(Forecast.peaks().size() == 1U);
}

// A single large job between peaks was taken for a peak, so that the next one
// was predicted at the wrong time.
BOOST_AUTO_TEST_CASE(single_large_job_is_not_a_peak) {
  forecast Forecast;
  Forecast.addJob("a", 100, 2000);
  Forecast.observeAll(200);
  BOOST_TEST(Forecast.peaks().empty());
  BOOST_TEST(!Forecast.inPeak("a"));
}

// Peaks at uneven intervals must not produce a forecast.
BOOST_AUTO_TEST_CASE(uneven_peaks_are_not_periodic) {
  forecast Forecast;
  Forecast.observeAll(0);
  Forecast.restore({{"a", 0, 100, 50, PeakRate, 9},
                    {"b", 1000, 1100, 1050, PeakRate, 9},
                    {"c", 9000, 9100, 9050, PeakRate, 9}});
  BOOST_TEST(!Forecast.isPeriodic());
}

// In the first cycle, pools that have already peaked are not next.
BOOST_AUTO_TEST_CASE(pools_after_their_first_peak_are_not_next) {
  forecast Forecast;
  simulatePeaks(Forecast, 0, PeakIntervalMs + 1400);
  BOOST_TEST(Forecast.peakedInFirstCycle("a"));
  BOOST_TEST(!Forecast.peakedInFirstCycle("c"));
}

BOOST_AUTO_TEST_SUITE_END()
