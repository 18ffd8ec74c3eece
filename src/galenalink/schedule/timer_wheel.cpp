#include "galenalink/schedule/timer_wheel.hpp"
#include <algorithm>

namespace galenalink::schedule {

void timer_wheel::add(timer &Timer, const time_point Due) noexcept {
  remove(Timer);
  Timer.Due = Due;
  NextDue = std::min(NextDue, Due);
  // A past deadline goes into the bucket that `advance` visits first.
  Timer.Bucket =
      static_cast<std::uint32_t>(std::max(tickOf(Due), Tick) % BucketCount);
  Wheel[Timer.Bucket].push_back(Timer);
}

void timer_wheel::remove(timer &Timer) noexcept {
  if (Timer.is_linked())
    Wheel[Timer.Bucket].erase(bucket::s_iterator_to(Timer));
}

} // namespace galenalink::schedule
