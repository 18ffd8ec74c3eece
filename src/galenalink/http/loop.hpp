#ifndef GALENALINK_HTTP_LOOP_HPP
#define GALENALINK_HTTP_LOOP_HPP

#include "galenalink/core/time.hpp"
#include "galenalink/http/fwd.hpp"
#include <functional>
#include <memory>

struct event_base;

namespace galenalink::http {

/**
 * @brief Handle of a timer. Destroying it cancels the timer, also from within
 * the timer's own function. It must not outlive its loop.
 */
class timer {
public:
  struct state;

  timer() noexcept;
  explicit timer(std::shared_ptr<state> State) noexcept;
  ~timer();
  timer(timer &&Other) noexcept;
  timer &operator=(timer &&Other) noexcept;

  void cancel() noexcept;
  /** @return Whether the function may still be called. */
  [[nodiscard]] bool pending() const noexcept;

private:
  std::shared_ptr<state> State;
};

/** Priority of libevent for events that are handled ahead of others. */
inline constexpr int UrgentPriority = 0;

/**
 * @brief The event loop of one thread. All members are to be called on that
 * thread. The first loop sets SIGPIPE to be ignored.
 */
class loop {
public:
  using function = std::function<void()>;

  loop();
  ~loop();
  loop(const loop &) = delete;
  loop &operator=(const loop &) = delete;

  /** @brief Handles events until `stop`. */
  void run();
  /**
   * @brief Handles events until the condition holds.
   * @return Whether it held before the deadline.
   */
  [[nodiscard]] bool runUntil(const std::function<bool()> &Condition,
                              time_point Deadline);
  void stop() noexcept;

  /**
   * @brief Calls the function from the loop, after the current event. Posted
   * functions run in order; urgent events run in between after some ms.
   */
  void post(function Function);
  /** @brief Like `post`, but ahead of all events that are not urgent. */
  void postUrgent(function Function);
  /**
   * @brief Calls the function once, not before the given time. While the VM is
   * suspended, the time to go does not shrink, so it may be called late.
   */
  [[nodiscard]] timer at(time_point When, function Function);
  /**
   * @brief Like `at`, but ahead of all other events that are due with it.
   * After the process was stopped, it runs before any pending write.
   */
  [[nodiscard]] timer beforeEvents(time_point When, function Function);
  /** @brief Calls the function every period, first after one period. */
  [[nodiscard]] timer every(duration Period, function Function);
  /** @brief Calls the function whenever the process gets the signal. */
  void onSignal(int Signal, function Function);

  /** @return Functions posted with `post` that have not been called yet. */
  [[nodiscard]] std::size_t posted() const noexcept;
  [[nodiscard]] event_base *native() noexcept;

private:
  [[nodiscard]] timer makeTimer(time_point When, duration Period, bool Urgent,
                                function Function);

  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace galenalink::http

#endif
