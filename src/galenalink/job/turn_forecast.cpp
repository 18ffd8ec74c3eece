#include "galenalink/job/turn_forecast.hpp"
#include <algorithm>
#include <cmath>
#include <set>

namespace galenalink::job {

namespace {

/** Share of a pool's home room at which a turn begins, and ends. */
constexpr double BeginsAt = 0.4;
constexpr double EndsAt = 0.2;
/** The meter shows a turn this long after it began. */
constexpr wall_ms DetectionMs = 250;
/** Turns that are kept. */
constexpr std::size_t MaxTurns = 24;
/** Distances between turns that differ by more than this share are no
 * pattern. */
constexpr double Regularity = 0.3;
/** A turn that has not begun this long after it was due is not expected. */
constexpr wall_ms PatienceMs = 1500;

} // namespace

bool turn_forecast::observe(const std::string &Pool, const double Rate,
                            const double Room, const wall_ms NowMs) {
  if (Room <= 0)
    return false;
  const auto Current = Active.find(Pool);
  if (Current != Active.end()) {
    const auto Turn =
        std::ranges::find(Turns.rbegin(), Turns.rend(), Pool, &turn::Pool);
    if (Turn != Turns.rend())
      Turn->Rate += (Rate - Turn->Rate) / ++Current->second;
    if (Rate <= Room * EndsAt)
      Active.erase(Current);
    return false;
  }
  if (Rate < Room * BeginsAt)
    return false;
  Active[Pool] = 1;
  // Few large jobs make a turn look like several.
  if (!Turns.empty() && Turns.back().Pool == Pool)
    return false;
  Turns.push_back({Pool, NowMs - DetectionMs, Rate});
  if (Turns.size() > MaxTurns)
    Turns.erase(Turns.begin());
  return true;
}

std::map<std::string, turn> turn_forecast::newest() const {
  std::map<std::string, turn> Newest;
  for (const auto &Each : Turns)
    Newest[Each.Pool] = Each;
  return Newest;
}

bool turn_forecast::regular() const {
  if (Pools < 2 || newest().size() < Pools)
    return false;
  double Sum = 0;
  std::vector<double> Gaps;
  const std::size_t First = Turns.size() - Pools;
  std::set<std::string> Distinct;
  for (std::size_t I = First; I < Turns.size(); ++I)
    Distinct.insert(Turns[I].Pool);
  if (Distinct.size() < Pools)
    return false;
  for (std::size_t I = First + 1; I < Turns.size(); ++I) {
    Gaps.push_back(
        static_cast<double>(Turns[I].StartMs - Turns[I - 1].StartMs));
    Sum += Gaps.back();
  }
  const double Mean = Sum / static_cast<double>(Gaps.size());
  return std::ranges::all_of(Gaps, [&](const double Gap) {
    return std::abs(Gap - Mean) <= Mean * Regularity;
  });
}

std::optional<turn_forecast::due> turn_forecast::next() const {
  if (!regular())
    return std::nullopt;
  const auto Newest = newest();
  // The pool whose turn is longest ago comes next.
  const auto Oldest = std::ranges::min_element(
      Newest, {}, [](const auto &Each) { return Each.second.StartMs; });
  const turn &First = Turns[Turns.size() - Pools];
  const turn &Last = Turns.back();
  const wall_ms Gap =
      (Last.StartMs - First.StartMs) / static_cast<wall_ms>(Pools - 1);
  return due{Oldest->first, Last.StartMs + Gap, Oldest->second.Rate};
}

std::string turn_forecast::nextPool() const {
  const auto Due = next();
  return Due ? Due->Pool : std::string{};
}

double turn_forecast::expected(const std::string &Pool, const wall_ms NowMs,
                               const wall_ms LeadMs) const {
  const auto Due = next();
  const bool Soon = Due && Due->Pool == Pool && NowMs >= Due->AtMs - LeadMs &&
                    NowMs <= Due->AtMs + PatienceMs;
  return Soon ? Due->Rate : 0;
}

} // namespace galenalink::job
