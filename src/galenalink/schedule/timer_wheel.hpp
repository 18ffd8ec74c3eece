#ifndef GALENALINK_SCHEDULE_TIMER_WHEEL_HPP
#define GALENALINK_SCHEDULE_TIMER_WHEEL_HPP

#include "galenalink/core/time.hpp"
#include "galenalink/schedule/fwd.hpp"
#include <algorithm>
#include <array>
#include <boost/intrusive/list.hpp>

namespace galenalink::schedule {

/** @brief Base class of objects with a deadline in a `timer_wheel`. */
class timer : public boost::intrusive::list_base_hook<
                  boost::intrusive::tag<class timer_tag>,
                  boost::intrusive::link_mode<boost::intrusive::safe_link>> {
public:
  [[nodiscard]] time_point due() const noexcept { return Due; }

private:
  friend class timer_wheel;
  time_point Due{};
  std::uint32_t Bucket{0};
};

/**
 * @brief Timers with O(1) insertion and removal and without allocation.
 *
 * Hashed timing wheel with one list for each bucket (scheme 6 of Varghese and
 * Lauck, "Hashed and hierarchical timing wheels", SOSP 1987). A timer whose
 * deadline is more than one revolution ahead stays in its bucket until it is
 * due. A timer must outlive the wheel or be removed before it is destroyed.
 */
class timer_wheel {
public:
  /** @brief Sets the deadline of a timer; replaces its previous one. */
  void add(timer &Timer, time_point Due) noexcept;

  /** @brief Removes a timer; no effect if it is not in the wheel. */
  void remove(timer &Timer) noexcept;

  /**
   * @brief Removes every timer that is due and calls `Fire` with it. `Fire`
   * may add and remove timers.
   */
  template <typename Function>
  void advance(const time_point Now, Function &&Fire) {
    // Fast path: most calls return without access to a bucket.
    if (Now < NextDue)
      return;
    const auto LastTick = tickOf(Now);
    if (LastTick < Tick)
      return;
    const auto FirstTick =
        LastTick - Tick < BucketCount ? Tick : LastTick - BucketCount + 1;
    Tick = LastTick;
    NextDue = time_point{(LastTick + 1) * TickLength};
    for (auto VisitedTick = FirstTick; VisitedTick <= LastTick; ++VisitedTick) {
      // Timers that are not due are moved to a separate list, so that timers
      // which `Fire` adds to this bucket are visited as well.
      bucket NotDue;
      auto &Bucket = Wheel[static_cast<std::size_t>(VisitedTick % BucketCount)];
      while (!Bucket.empty()) {
        auto &Timer = Bucket.front();
        Bucket.pop_front();
        if (Timer.Due <= Now) {
          Fire(Timer);
        } else {
          NextDue = std::min(NextDue, Timer.Due);
          NotDue.push_back(Timer);
        }
      }
      Bucket.swap(NotDue);
    }
  }

private:
  using bucket = boost::intrusive::list<
      timer,
      boost::intrusive::base_hook<boost::intrusive::list_base_hook<
          boost::intrusive::tag<timer_tag>,
          boost::intrusive::link_mode<boost::intrusive::safe_link>>>,
      boost::intrusive::constant_time_size<false>>;

  static constexpr std::int64_t BucketCount = 512;
  /** 512 ticks of 16 ms cover 8 s, and so most deadlines of short work. */
  static constexpr duration TickLength{16000};

  [[nodiscard]] static std::int64_t tickOf(const time_point Time) noexcept {
    return Time.time_since_epoch() / TickLength;
  }

  std::int64_t Tick{0};
  /** Lower bound of the deadlines of all timers. */
  time_point NextDue{};
  std::array<bucket, BucketCount> Wheel;
};

} // namespace galenalink::schedule

#endif
