#include "soak/disruption_log.hpp"
#include <algorithm>

namespace galenalink::soak {

void disruption_log::add(const duration Duration, const disruption_kind Kind) {
  const time_point Now = boot_clock::now();
  Disruptions.push_back({Now, Now + Duration, Kind});
}

bool disruption_log::calm(const time_point From, const time_point To) const {
  return calm(From, To, false);
}

bool disruption_log::calmButForPlannedWork(const time_point From,
                                           const time_point To) const {
  return calm(From, To, true);
}

bool disruption_log::calm(const time_point From, const time_point To,
                          const bool IgnorePlanned) const {
  return std::ranges::none_of(Disruptions, [&](const disruption &Each) {
    return (!IgnorePlanned || Each.Kind != disruption_kind::Planned) &&
           Each.From <= To && Each.To + bounds::Contact >= From;
  });
}

time_point disruption_log::calmFor(const time_point From,
                                   const duration Duration) const {
  std::vector<time_point> Starts{From};
  for (const auto &Each : Disruptions) {
    const time_point Start = Each.To + bounds::Contact + duration{1};
    if (Start > From)
      Starts.push_back(Start);
  }
  std::ranges::sort(Starts);
  for (const time_point Start : Starts) {
    if (calm(Start, Start + Duration))
      return Start + Duration;
  }
  return time_point::max();
}

} // namespace galenalink::soak
