#ifndef GALENALINK_TEST_SOAK_DISRUPTION_LOG_HPP
#define GALENALINK_TEST_SOAK_DISRUPTION_LOG_HPP

#include "galenalink/core/time.hpp"
#include <vector>

namespace galenalink::soak {

/** @brief Time bounds of the users' rules, under the names of their page. */
namespace bounds {
inline constexpr duration Contact = std::chrono::milliseconds{3000};
inline constexpr duration Ack = std::chrono::milliseconds{4000};
inline constexpr duration Cancel = std::chrono::milliseconds{3000};
inline constexpr duration Stop = std::chrono::milliseconds{400};
inline constexpr duration ConfigApply = std::chrono::milliseconds{2000};
inline constexpr duration Rollback = std::chrono::milliseconds{250};
inline constexpr duration LossSlack = std::chrono::milliseconds{200};
inline constexpr duration Visible = std::chrono::milliseconds{3000};
/** An end so soon after a disruption of the process is not its own. */
inline constexpr duration OwnEnd = std::chrono::milliseconds{1000};
inline constexpr duration Finish = std::chrono::seconds{14};
inline constexpr duration Grace = std::chrono::seconds{4};
} // namespace bounds

enum class disruption_kind : std::uint8_t {
  /** SIGTERM, SIGHUP and the start after a SIGTERM. */
  Planned,
  Unplanned,
};

/** @brief Times at which faults were active; bounds hold in calm only. */
class disruption_log {
public:
  /** @brief Adds a fault that is active from now for the duration. */
  void add(duration Duration,
           disruption_kind Kind = disruption_kind::Unplanned);
  /** @return Whether no fault was active in the span and the contact time
   * before it. */
  [[nodiscard]] bool calm(time_point From, time_point To) const;
  /** @brief Like `calm`, but ignores planned disruptions. */
  [[nodiscard]] bool calmButForPlannedWork(time_point From,
                                           time_point To) const;
  /** @return First time not before `From` at which calm has lasted for the
   * duration since `From`; `time_point::max()` if faults never pause so long.
   */
  [[nodiscard]] time_point calmFor(time_point From, duration Duration) const;

private:
  struct disruption {
    time_point From;
    time_point To;
    disruption_kind Kind;
  };
  [[nodiscard]] bool calm(time_point From, time_point To,
                          bool IgnorePlanned) const;

  std::vector<disruption> Disruptions;
};

} // namespace galenalink::soak

#endif
