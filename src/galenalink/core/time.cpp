#include "galenalink/core/time.hpp"
#include <ctime>

namespace galenalink {

boot_clock::time_point boot_clock::now() noexcept {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return time_point{std::chrono::seconds{Now.tv_sec} +
                    std::chrono::duration_cast<duration>(
                        std::chrono::nanoseconds{Now.tv_nsec})};
}

wall_ms wallNow() noexcept {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Now).count();
}

} // namespace galenalink
