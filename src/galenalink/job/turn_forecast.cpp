#include "galenalink/job/turn_forecast.hpp"
#include <algorithm>
#include <cmath>

namespace galenalink::job {

namespace {

/** Arrivals this close together can make a turn. */
constexpr wall_ms WindowMs = 1200;
/** Jobs in the window that make a turn; a single large job does not. */
constexpr std::size_t LeastJobs = 3;
/** Share of a pool's home room that their work must take. */
constexpr double BeginsAt = 0.25;
/** Arrivals after a pause up to this belong to the turn before it: queues of
 * few large jobs pause by chance. */
constexpr wall_ms LongestPauseMs = 3000;
/** Turns that are kept. */
constexpr std::size_t MaxTurns = 24;
/** Distances between turns that are looked at, and needed at least. */
constexpr std::size_t GapsSeen = 4;
constexpr std::size_t GapsNeeded = 2;
/** Distances that differ by more than this share are no pattern. */
constexpr double Regularity = 0.25;
/** A turn that has not begun this long after it was due is missed; after
 * more than one the pattern is given up. */
constexpr wall_ms PatienceMs = 1500;
constexpr std::int64_t MostMissed = 1;
/** A turn is taken to be no shorter for its rate. */
constexpr double ShortestMs = 400;

void add(turn &Turn, const wall_ms AtMs, const double Work) {
  if (Turn.Jobs == 0)
    Turn.FirstMs = AtMs;
  Turn.LastMs = AtMs;
  Turn.Work += Work;
  ++Turn.Jobs;
  Turn.CenterMs += (static_cast<double>(AtMs) - Turn.CenterMs) / Turn.Jobs;
}

/** @brief Mean rate of a turn of the given length. The first arrival only
 * starts the clock. */
double rate(const turn &Turn, const double LengthMs) {
  const double Counted =
      Turn.Work * (Turn.Jobs - 1) / std::max<std::uint32_t>(Turn.Jobs, 1);
  return Counted / std::max(LengthMs, ShortestMs);
}

double lengthMs(const turn &Turn) {
  return static_cast<double>(Turn.LastMs - Turn.FirstMs);
}

} // namespace

void turn_forecast::arrived(const std::string &Pool, const double Work,
                            const wall_ms NowMs) {
  Recent[Pool].push_back({NowMs, Work});
  if (Active.contains(Pool)) {
    const auto Turn =
        std::ranges::find(Turns.rbegin(), Turns.rend(), Pool, &turn::Pool);
    if (Turn != Turns.rend())
      add(*Turn, NowMs, Work);
  }
}

void turn_forecast::begin(const std::string &Pool,
                          const std::deque<arrival> &Arrivals) {
  Active.insert(Pool);
  const bool GoesOn =
      !Turns.empty() && Turns.back().Pool == Pool &&
      Arrivals.front().AtMs - Turns.back().LastMs <= LongestPauseMs;
  if (!GoesOn)
    Turns.push_back({Pool, 0, 0, 0, 0, 0});
  for (const auto &Each : Arrivals) {
    if (Each.AtMs > Turns.back().LastMs || !GoesOn)
      add(Turns.back(), Each.AtMs, Each.Work);
  }
  if (Turns.size() > MaxTurns)
    Turns.erase(Turns.begin());
}

bool turn_forecast::observe(const std::string &Pool, const double Room,
                            const wall_ms NowMs) {
  Rooms[Pool] = Room;
  auto &Arrivals = Recent[Pool];
  std::erase_if(Arrivals, [&](const arrival &Each) {
    return Each.AtMs + WindowMs < NowMs;
  });
  if (Active.contains(Pool))
    return Arrivals.empty() && Active.erase(Pool) > 0;
  double Work = 0;
  for (const auto &Each : Arrivals)
    Work += Each.Work;
  if (Arrivals.size() < LeastJobs || Work < Room * BeginsAt * WindowMs)
    return false;
  begin(Pool, Arrivals);
  return true;
}

const turn *turn_forecast::newestOf(const std::string &Pool) const {
  const auto Found =
      std::ranges::find(Turns.rbegin(), Turns.rend(), Pool, &turn::Pool);
  return Found == Turns.rend() ? nullptr : &*Found;
}

/** @return Distance between turns; 0 if they have no pattern. */
double turn_forecast::gapMs() const {
  std::vector<double> Gaps;
  for (std::size_t I = Turns.size(); I-- > 1 && Gaps.size() < GapsSeen;) {
    if (complete(Turns[I]) && Turns[I].Pool != Turns[I - 1].Pool)
      Gaps.push_back(Turns[I].CenterMs - Turns[I - 1].CenterMs);
  }
  if (Gaps.size() < GapsNeeded)
    return 0;
  auto Sorted = Gaps;
  std::ranges::sort(Sorted);
  const double Median = Sorted[(Sorted.size() - 1) / 2];
  const auto Close = std::ranges::count_if(Gaps, [&](const double Gap) {
    return std::abs(Gap - Median) <= Median * Regularity;
  });
  const bool Most =
      static_cast<std::size_t>(Close) >= std::max(GapsNeeded, Gaps.size() - 1);
  return Most && Median > 0 ? Median : 0;
}

/** @return The pool whose turn comes after that of another; empty if that is
 * not known. */
std::string turn_forecast::follower(const std::string &Pool) const {
  for (std::size_t I = Turns.size(); I-- > 1;) {
    if (Turns[I - 1].Pool == Pool && Turns[I].Pool != Pool)
      return Turns[I].Pool;
  }
  std::string Oldest;
  double OldestMs = 0;
  std::vector<std::string> Unseen;
  for (const auto &[Name, Room] : Rooms) {
    const turn *Newest = newestOf(Name);
    if (Newest == nullptr) {
      Unseen.push_back(Name);
    } else if (Name != Pool &&
               (Oldest.empty() || Newest->CenterMs < OldestMs)) {
      Oldest = Name;
      OldestMs = Newest->CenterMs;
    }
  }
  if (Unseen.empty())
    return Oldest;
  return Unseen.size() == 1 ? Unseen.front() : std::string{};
}

std::optional<turn_forecast::due>
turn_forecast::next(const wall_ms NowMs) const {
  const double Gap = gapMs();
  if (Gap <= 0)
    return std::nullopt;
  const turn &Last = Turns.back();
  // The middle of a turn that goes on is known from the ones before.
  const double Center = complete(Last) || Turns.size() < 2
                            ? Last.CenterMs
                            : Turns[Turns.size() - 2].CenterMs + Gap;
  due Due{follower(Last.Pool), static_cast<wall_ms>(Center + Gap / 2)};
  for (std::int64_t Missed = 0; NowMs > Due.StartMs + PatienceMs; ++Missed) {
    if (Missed >= MostMissed || Due.Pool.empty())
      return std::nullopt;
    Due = {follower(Due.Pool), Due.StartMs + static_cast<wall_ms>(Gap)};
  }
  return Due.Pool.empty() ? std::nullopt : std::optional{Due};
}

std::string turn_forecast::nextPool(const wall_ms NowMs) const {
  const auto Due = next(NowMs);
  return Due ? Due->Pool : std::string{};
}

bool turn_forecast::waitsForOthers(const std::string &Pool) const {
  const bool Others = std::ranges::any_of(
      Rooms, [&](const auto &Each) { return newestOf(Each.first) == nullptr; });
  return Others && newestOf(Pool) != nullptr && !Active.contains(Pool);
}

/** @return Rate of the pool's newest complete turn; for a pool without one, by
 * what the others have against their rooms. */
double turn_forecast::rateOf(const std::string &Pool) const {
  double Share = 0;
  std::size_t Seen = 0;
  for (std::size_t I = Turns.size(); I-- > 0;) {
    const turn &Each = Turns[I];
    const auto Room = Rooms.find(Each.Pool);
    if (!complete(Each) || Room == Rooms.end() || Room->second <= 0)
      continue;
    if (Each.Pool == Pool)
      return rate(Each, lengthMs(Each));
    Share += rate(Each, lengthMs(Each)) / Room->second;
    ++Seen;
  }
  const auto Own = Rooms.find(Pool);
  return Seen == 0 || Own == Rooms.end()
             ? 0
             : Own->second * Share / static_cast<double>(Seen);
}

double turn_forecast::currentRate(const turn &Turn, const wall_ms NowMs) const {
  return rate(Turn, static_cast<double>(NowMs - Turn.FirstMs));
}

double turn_forecast::expected(const std::string &Pool, const wall_ms NowMs,
                               const wall_ms LeadMs) const {
  if (Active.contains(Pool)) {
    const turn &Turn = *newestOf(Pool);
    const double Gap = gapMs();
    const bool EndsSoon =
        Gap > 0 && static_cast<double>(NowMs + LeadMs - Turn.FirstMs) > Gap;
    return EndsSoon ? 0 : std::max(rateOf(Pool), currentRate(Turn, NowMs));
  }
  const auto Due = next(NowMs);
  return Due && Due->Pool == Pool && NowMs >= Due->StartMs - LeadMs
             ? rateOf(Pool)
             : 0;
}

} // namespace galenalink::job
