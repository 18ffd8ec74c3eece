#include "galenalink/job/peak_forecast.hpp"
#include <algorithm>
#include <cmath>

namespace galenalink::job {

namespace {

/** Window in which arrivals are counted to detect the start of a peak. A peak
 * ends when no job has arrived for this long. */
constexpr wall_ms DetectionWindowMs = 1200;
/** Minimum number of jobs in the window; a single large job is not a peak. */
constexpr std::size_t MinJobs = 3;
/** Minimum work in the window, as a share of what the pool can do in that time
 * at its initial size. */
constexpr double MinLoadShare = 0.25;
/** Arrivals after a pause of up to this length continue the previous peak:
 * queues with few large jobs have such pauses by chance. */
constexpr wall_ms MaxPauseMs = 3000;
/** Number of peaks that are kept; older ones are removed. */
constexpr std::size_t MaxPeaks = 24;
/** Number of recent intervals between peaks that are evaluated, and the minimum
 * for a forecast. */
constexpr std::size_t MaxIntervals = 4;
constexpr std::size_t MinIntervals = 2;
/** Relative deviation from the median up to which intervals count as equal. */
constexpr double IntervalTolerance = 0.25;
/** A peak that has not started this long after its expected start is missed. */
constexpr wall_ms MissedAfterMs = 1500;
/** Missed peaks that are tolerated; after more the forecast is given up. */
constexpr std::int64_t MaxMissedPeaks = 1;
/** Lower bound of the duration of a peak when its rate is computed. */
constexpr double MinPeakDurationMs = 400;

void addArrival(demand_peak &Peak, const wall_ms TimeMs, const double Work) {
  if (Peak.Jobs == 0)
    Peak.FirstMs = TimeMs;
  Peak.LastMs = TimeMs;
  Peak.Work += Work;
  ++Peak.Jobs;
  Peak.CenterMs += (static_cast<double>(TimeMs) - Peak.CenterMs) / Peak.Jobs;
}

/** @brief Mean work rate of a peak of the given duration, thousandths of a
 * core. The first arrival marks the start of the interval and is not counted.
 */
double computeRate(const demand_peak &Peak, const double DurationMs) {
  const double CountedWork =
      Peak.Work * (Peak.Jobs - 1) / std::max<std::uint32_t>(Peak.Jobs, 1);
  return CountedWork / std::max(DurationMs, MinPeakDurationMs);
}

double durationMs(const demand_peak &Peak) {
  return static_cast<double>(Peak.LastMs - Peak.FirstMs);
}

} // namespace

void peak_forecast::recordArrival(const std::string &Pool, const double Work,
                                  const wall_ms NowMs) {
  RecentArrivals[Pool].push_back({NowMs, Work});
  if (PeakingPools.contains(Pool)) {
    const auto Peak = std::ranges::find(Peaks.rbegin(), Peaks.rend(), Pool,
                                        &demand_peak::Pool);
    if (Peak != Peaks.rend())
      addArrival(*Peak, NowMs, Work);
  }
}

void peak_forecast::beginPeak(const std::string &Pool,
                              const std::deque<arrival> &Arrivals) {
  PeakingPools.insert(Pool);
  const bool Continues =
      !Peaks.empty() && Peaks.back().Pool == Pool &&
      Arrivals.front().TimeMs - Peaks.back().LastMs <= MaxPauseMs;
  if (!Continues)
    Peaks.push_back({Pool, 0, 0, 0, 0, 0});
  for (const auto &Each : Arrivals) {
    if (Each.TimeMs > Peaks.back().LastMs || !Continues)
      addArrival(Peaks.back(), Each.TimeMs, Each.Work);
  }
  if (Peaks.size() > MaxPeaks)
    Peaks.erase(Peaks.begin());
}

bool peak_forecast::observe(const std::string &Pool,
                            const double InitialCapacity, const wall_ms NowMs) {
  InitialCapacities[Pool] = InitialCapacity;
  auto &Arrivals = RecentArrivals[Pool];
  std::erase_if(Arrivals, [&](const arrival &Each) {
    return Each.TimeMs + DetectionWindowMs < NowMs;
  });
  if (PeakingPools.contains(Pool))
    return Arrivals.empty() && PeakingPools.erase(Pool) > 0;
  double Work = 0;
  for (const auto &Each : Arrivals)
    Work += Each.Work;
  if (Arrivals.size() < MinJobs ||
      Work < InitialCapacity * MinLoadShare * DetectionWindowMs)
    return false;
  beginPeak(Pool, Arrivals);
  return true;
}

const demand_peak *peak_forecast::latestPeak(const std::string &Pool) const {
  const auto Found =
      std::ranges::find(Peaks.rbegin(), Peaks.rend(), Pool, &demand_peak::Pool);
  return Found == Peaks.rend() ? nullptr : &*Found;
}

/** @return Interval between the centers of peaks; 0 if they are not periodic.
 */
double peak_forecast::peakIntervalMs() const {
  std::vector<double> Intervals;
  for (std::size_t I = Peaks.size();
       I-- > 1 && Intervals.size() < MaxIntervals;) {
    if (isComplete(Peaks[I]) && Peaks[I].Pool != Peaks[I - 1].Pool)
      Intervals.push_back(Peaks[I].CenterMs - Peaks[I - 1].CenterMs);
  }
  if (Intervals.size() < MinIntervals)
    return 0;
  auto Sorted = Intervals;
  std::ranges::sort(Sorted);
  const double Median = Sorted[(Sorted.size() - 1) / 2];
  const auto Close =
      std::ranges::count_if(Intervals, [&](const double Interval) {
        return std::abs(Interval - Median) <= Median * IntervalTolerance;
      });
  const bool Regular = static_cast<std::size_t>(Close) >=
                       std::max(MinIntervals, Intervals.size() - 1);
  return Regular && Median > 0 ? Median : 0;
}

/** @return Pool that peaks after the given one; empty if unknown. */
std::string peak_forecast::poolAfter(const std::string &Pool) const {
  for (std::size_t I = Peaks.size(); I-- > 1;) {
    if (Peaks[I - 1].Pool == Pool && Peaks[I].Pool != Pool)
      return Peaks[I].Pool;
  }
  std::string Oldest;
  double OldestMs = 0;
  std::vector<std::string> NeverPeaked;
  for (const auto &[Name, InitialCapacity] : InitialCapacities) {
    const demand_peak *Newest = latestPeak(Name);
    if (Newest == nullptr) {
      NeverPeaked.push_back(Name);
    } else if (Name != Pool &&
               (Oldest.empty() || Newest->CenterMs < OldestMs)) {
      Oldest = Name;
      OldestMs = Newest->CenterMs;
    }
  }
  if (NeverPeaked.empty())
    return Oldest;
  return NeverPeaked.size() == 1 ? NeverPeaked.front() : std::string{};
}

std::optional<peak_forecast::upcoming_peak>
peak_forecast::nextPeak(const wall_ms NowMs) const {
  const double Interval = peakIntervalMs();
  if (Interval <= 0)
    return std::nullopt;
  const demand_peak &Last = Peaks.back();
  // The center of a peak that goes on is extrapolated from the previous one.
  const double Center = isComplete(Last) || Peaks.size() < 2
                            ? Last.CenterMs
                            : Peaks[Peaks.size() - 2].CenterMs + Interval;
  upcoming_peak Upcoming{poolAfter(Last.Pool),
                         static_cast<wall_ms>(Center + Interval / 2)};
  for (std::int64_t Missed = 0; NowMs > Upcoming.StartMs + MissedAfterMs;
       ++Missed) {
    if (Missed >= MaxMissedPeaks || Upcoming.Pool.empty())
      return std::nullopt;
    Upcoming = {poolAfter(Upcoming.Pool),
                Upcoming.StartMs + static_cast<wall_ms>(Interval)};
  }
  return Upcoming.Pool.empty() ? std::nullopt : std::optional{Upcoming};
}

std::string peak_forecast::nextPool(const wall_ms NowMs) const {
  const auto Upcoming = nextPeak(NowMs);
  return Upcoming ? Upcoming->Pool : std::string{};
}

bool peak_forecast::peakedInFirstCycle(const std::string &Pool) const {
  const bool OthersPending =
      std::ranges::any_of(InitialCapacities, [&](const auto &Each) {
        return latestPeak(Each.first) == nullptr;
      });
  return OthersPending && latestPeak(Pool) != nullptr &&
         !PeakingPools.contains(Pool);
}

/** @return Rate of the pool's latest complete peak. For a pool without one, the
 * rate is estimated from the mean ratio of rate to capacity of the others. */
double peak_forecast::typicalRate(const std::string &Pool) const {
  double ShareSum = 0;
  std::size_t PeakCount = 0;
  for (std::size_t I = Peaks.size(); I-- > 0;) {
    const demand_peak &Each = Peaks[I];
    const auto InitialCapacity = InitialCapacities.find(Each.Pool);
    if (!isComplete(Each) || InitialCapacity == InitialCapacities.end() ||
        InitialCapacity->second <= 0)
      continue;
    if (Each.Pool == Pool)
      return computeRate(Each, durationMs(Each));
    ShareSum += computeRate(Each, durationMs(Each)) / InitialCapacity->second;
    ++PeakCount;
  }
  const auto OwnCapacity = InitialCapacities.find(Pool);
  return PeakCount == 0 || OwnCapacity == InitialCapacities.end()
             ? 0
             : OwnCapacity->second * ShareSum / static_cast<double>(PeakCount);
}

double peak_forecast::currentRate(const demand_peak &Peak,
                                  const wall_ms NowMs) const {
  return computeRate(Peak, static_cast<double>(NowMs - Peak.FirstMs));
}

double peak_forecast::expectedRate(const std::string &Pool, const wall_ms NowMs,
                                   const wall_ms LeadMs) const {
  if (PeakingPools.contains(Pool)) {
    const demand_peak &Peak = *latestPeak(Pool);
    const double Interval = peakIntervalMs();
    const bool EndsSoon =
        Interval > 0 &&
        static_cast<double>(NowMs + LeadMs - Peak.FirstMs) > Interval;
    return EndsSoon ? 0 : std::max(typicalRate(Pool), currentRate(Peak, NowMs));
  }
  const auto Upcoming = nextPeak(NowMs);
  return Upcoming && Upcoming->Pool == Pool &&
                 NowMs >= Upcoming->StartMs - LeadMs
             ? typicalRate(Pool)
             : 0;
}

} // namespace galenalink::job
