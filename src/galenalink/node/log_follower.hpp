#ifndef GALENALINK_NODE_LOG_FOLLOWER_HPP
#define GALENALINK_NODE_LOG_FOLLOWER_HPP

#include "galenalink/core/result.hpp"
#include "galenalink/fleet/applied.hpp"
#include "galenalink/fleet/state.hpp"
#include "galenalink/http/loop.hpp"
#include "galenalink/platform/adapter.hpp"
#include "galenalink/wire/fwd.hpp"
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace galenalink::node {

/** @brief What became of an append. */
enum class append_end : std::uint8_t {
  /** Read back at its offset and folded; see `applied`. */
  Folded,
  /** The log did not take it. */
  NotAccepted,
  /** No answer and not seen before the deadline; ask by id. */
  Unknown,
};

inline constexpr enum_names<append_end, 3> AppendEndNames{{
    {append_end::Folded, "folded"},
    {append_end::NotAccepted, "not-accepted"},
    {append_end::Unknown, "unknown"},
}};

struct append_outcome {
  append_end End{append_end::Unknown};
  /** Set if the record was folded. */
  fleet::applied Applied;
};

using append_hook = std::function<void(const append_outcome &)>;

struct follower_hooks {
  /** A record was folded. */
  std::function<void(const wire::record &, const fleet::applied &)> Folded;
  /** All records up to the log's end at `SentAt` are folded. */
  std::function<void(time_point SentAt)> Evidence;
  /** The next offset is `Next`, but the log keeps none before `First`. */
  std::function<void(log_offset Next, log_offset First)> Gap;
};

/**
 * @brief Reads the platform's log, folds it into the state, and appends
 * records.
 */
class log_follower {
public:
  log_follower(http::loop &Loop, const platform::adapter &Adapter,
               fleet::state &State, follower_hooks Hooks);
  ~log_follower();
  log_follower(const log_follower &) = delete;
  log_follower &operator=(const log_follower &) = delete;

  void start();

  /** @brief Reads now, because a peer reported a newer offset. */
  void hurry();

  /**
   * @brief Appends a record once and reports what became of it.
   * @param Record Its id is drawn if it is 0; time and writer are kept.
   * @param Deadline If nothing is known by then, the outcome is unknown.
   * @return Id of the append.
   */
  std::uint64_t append(wire::record Record, time_point Deadline,
                       append_hook Done);

  /** @brief Whether the last read was answered. */
  [[nodiscard]] bool available() const noexcept { return Available; }
  [[nodiscard]] log_offset end() const noexcept { return End; }
  [[nodiscard]] log_offset first() const noexcept { return First; }
  [[nodiscard]] std::uint64_t bytesAppended() const noexcept {
    return BytesAppended;
  }

private:
  struct pending;

  void read();
  void received(time_point SentAt,
                const platform::outcome_of<platform::log_page> &Answer);
  void fold(const platform::log_record &Record);
  void finish(std::uint64_t Id, const append_outcome &Outcome);
  void expireAppends();

  http::loop &Loop;
  const platform::adapter &Adapter;
  fleet::state &State;
  follower_hooks Hooks;
  http::timer Poll;
  bool Reading{false};
  bool Again{false};
  bool Available{false};
  log_offset End{0};
  log_offset First{0};
  std::uint64_t BytesAppended{0};
  std::map<std::uint64_t, pending> Pending;
  /** Callbacks of the platform are ignored once this is gone. */
  std::shared_ptr<bool> Alive;
};

} // namespace galenalink::node

#endif
