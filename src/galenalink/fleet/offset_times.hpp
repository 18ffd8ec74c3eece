#ifndef GALENALINK_FLEET_OFFSET_TIMES_HPP
#define GALENALINK_FLEET_OFFSET_TIMES_HPP

#include "galenalink/core/time.hpp"
#include <algorithm>
#include <optional>
#include <vector>

namespace galenalink::fleet {

/**
 * @brief Remembers when a growing offset reached each value, in bounded space.
 * A time given back may be later than the true one, never earlier.
 */
class offset_times {
public:
  static constexpr std::size_t Capacity = 256;
  /** Offsets reached within this time share one entry. */
  static constexpr duration Grain = std::chrono::milliseconds{10};

  /** @brief Notes that all offsets through this one are reached. */
  void note(const log_offset Through, const time_point Now) {
    if (!Entries.empty()) {
      auto &Last = Entries.back();
      if (Through <= Last.Through)
        return;
      if (Now - Last.Began < Grain) {
        Last.Through = Through;
        Last.Reached = Now;
        return;
      }
    }
    Entries.push_back({Through, Now, Now});
    // Offsets of a dropped entry are found in the next one, which is later.
    if (Entries.size() > Capacity)
      Entries.erase(Entries.begin());
  }

  /** @brief When the offset was reached, nothing if it was not. */
  [[nodiscard]] std::optional<time_point> at(const log_offset Offset) const {
    const auto Found =
        std::lower_bound(Entries.begin(), Entries.end(), Offset,
                         [](const entry &Each, const log_offset Key) {
                           return Each.Through < Key;
                         });
    if (Found == Entries.end())
      return std::nullopt;
    return Found->Reached;
  }

  /** @brief Newest offset reached, 0 if none. */
  [[nodiscard]] log_offset through() const noexcept {
    return Entries.empty() ? 0 : Entries.back().Through;
  }

private:
  struct entry {
    log_offset Through;
    time_point Began;
    time_point Reached;
  };
  std::vector<entry> Entries;
};

} // namespace galenalink::fleet

#endif
