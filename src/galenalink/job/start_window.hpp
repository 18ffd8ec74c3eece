#ifndef GALENALINK_JOB_START_WINDOW_HPP
#define GALENALINK_JOB_START_WINDOW_HPP

#include "galenalink/core/time.hpp"
#include <cstddef>
#include <cstdint>
#include <deque>

namespace galenalink::job {

/** @brief Limits of the start orders under way. */
struct start_limits {
  /** Orders without a response. */
  std::size_t Orders{256};
  /** Size of the orders sent within `start_window::Period`. */
  std::size_t Bytes{std::size_t{4} << 20U};
};

/**
 * @brief Bounds the start orders that have been sent and have no response yet,
 * and the bytes that they put on the link.
 *
 * A leader that sends all starts of a demand peak at once has no processor time
 * or bandwidth left for the heartbeats and responses that it needs to remain
 * the leader. With this window, starts proceed only as fast as their responses
 * are handled. An order counts for a limited time, so that backend servers that
 * do not respond cannot keep the window closed.
 */
class start_window {
public:
  /** Time over which bytes are counted, and the longest one for which an order
   * counts. Responses take a few ms, so most orders without a response by then
   * will not get one. */
  static constexpr duration Period = std::chrono::milliseconds{100};

  explicit start_window(const start_limits Limits) noexcept : Limits{Limits} {}

  /** @brief Records that an order is sent.
   * @param Bytes Size of the request.
   * @return Id of the order, for `release`. */
  std::uint64_t acquire(const std::size_t Bytes, const time_point Now) {
    Orders.push_back({Now + Period, Bytes, false});
    ++Held;
    HeldBytes += Bytes;
    return FirstId + Orders.size() - 1;
  }
  /** @brief Records that an order has ended; no effect if it no longer counts.
   */
  void release(const std::uint64_t Id) noexcept {
    if (Id < FirstId || Id - FirstId >= Orders.size())
      return;
    free(Orders[Id - FirstId]);
  }
  /** @brief Stops counting the orders that were sent before the period. */
  void expire(const time_point Now) noexcept {
    while (!Orders.empty() && Orders.front().ExpiresAt <= Now) {
      free(Orders.front());
      HeldBytes -= Orders.front().Bytes;
      Orders.pop_front();
      ++FirstId;
    }
  }
  /** @return Whether another order may be sent. */
  [[nodiscard]] bool open() const noexcept {
    return Held < Limits.Orders && HeldBytes < Limits.Bytes;
  }
  /** @return Whether there is room for several orders, so that a search for
   * tasks to start pays off. */
  [[nodiscard]] bool hasRoom() const noexcept {
    return Held * 4 <= Limits.Orders * 3 && HeldBytes * 4 <= Limits.Bytes * 3;
  }
  [[nodiscard]] std::size_t size() const noexcept { return Held; }
  [[nodiscard]] std::size_t bytes() const noexcept { return HeldBytes; }

private:
  struct order {
    time_point ExpiresAt;
    std::size_t Bytes{0};
    bool Released{false};
  };

  void free(order &Order) noexcept {
    if (Order.Released)
      return;
    Order.Released = true;
    --Held;
  }

  start_limits Limits;
  /** Oldest first; the ids are consecutive. */
  std::deque<order> Orders;
  /** Id of the first of `Orders`. */
  std::uint64_t FirstId{1};
  std::size_t Held{0};
  std::size_t HeldBytes{0};
};

} // namespace galenalink::job

#endif
