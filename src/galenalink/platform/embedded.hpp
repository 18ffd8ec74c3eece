#ifndef GALENALINK_PLATFORM_EMBEDDED_HPP
#define GALENALINK_PLATFORM_EMBEDDED_HPP

#include "galenalink/platform/store.hpp"
#include <memory>

namespace galenalink::platform {

/**
 * @brief A platform within the process, for a single node and for tests.
 * Adapters share its data and may outlive it.
 */
class embedded {
public:
  /** @brief Calls a function later from the event loop. */
  using post = std::function<void(std::function<void()>)>;
  using clock = std::function<time_point()>;

  embedded(store::options Options, std::vector<vm> Vms,
           clock Clock = boot_clock::now);

  /** @param Post Where the callbacks of this adapter are called. */
  [[nodiscard]] adapter makeAdapter(const post &Post) const;

  [[nodiscard]] store &data() noexcept;
  /** @brief While it is not available, everything is refused. */
  void setAvailable(bool Available) noexcept;
  /** @brief The next appends take effect but are answered with `Unknown`. */
  void loseAppendAnswers(std::size_t Count) noexcept;

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace galenalink::platform

#endif
