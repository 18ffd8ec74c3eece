#ifndef GALENALINK_JOB_JOURNAL_HPP
#define GALENALINK_JOB_JOURNAL_HPP

#include "galenalink/core/time.hpp"
#include "galenalink/job/ports.hpp"
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>

namespace galenalink::job {

/**
 * @brief Writes the leader's records to the store, one append at a time.
 * Records put while an append is in flight are batched into the next one, with
 * only the latest value of each key.
 */
class journal {
public:
  /** @brief Queue lengths, for metrics and the log. */
  struct load {
    /** Records of the append in flight and of those after it. */
    std::size_t Records{0};
    /** Size of the append in flight, bytes. */
    std::size_t BatchBytes{0};
    /** Callbacks that wait for an append. */
    std::size_t Callbacks{0};
    /** When the oldest of the callbacks was added; unset if there is none. */
    std::optional<time_point> OldestAt;
  };

  /** Returns the value to write; `nullopt` deletes the key. */
  using value_function = std::function<std::optional<std::string>()>;
  using callback = std::function<void()>;

  struct hooks {
    decltype(ports::Append) Append;
    std::function<time_point()> Now;
    /** A leader with a higher epoch exists. */
    callback OnFenced;
  };

  journal(hooks Hooks, std::uint64_t Epoch);

  /** @brief Schedules a write of the key. The function is called when the
   * append is built. */
  void put(const std::string &Key, value_function Value);
  /** @brief Calls the function once all records put so far are stored. */
  void whenStored(callback Callback);
  /** @brief Starts an append if there is something to write and none is in
   * flight, or retries one without a response. Call after each event. */
  void flush();

  /** @return Whether appends succeed. A single lost response does not count as
   * an outage, because the retry is likely to succeed. */
  [[nodiscard]] bool healthy() const noexcept { return Failures < 2; }
  [[nodiscard]] bool idle() const noexcept {
    return !InFlight && PendingPuts.empty() && StoredCallbacks.empty();
  }

  [[nodiscard]] load currentLoad() const;

private:
  struct pending_put {
    value_function Value;
    /** Position in the order of puts; that of the oldest one that is pending
     * for the key. */
    std::uint64_t Number{0};
  };
  struct pending_callback {
    callback Function;
    time_point AddedAt;
    /** Number of the last put that it waits for. */
    std::uint64_t AfterPut{0};
  };

  void collect();
  void send();
  /** @param Sent Number of the request that the result is for. */
  void onAppendResult(std::uint64_t Sent, const append_result &Result);

  hooks Hooks;
  std::uint64_t Epoch;
  std::uint64_t Sequence{0};
  std::unordered_map<std::string, pending_put> PendingPuts;
  /** Keys of `PendingPuts` in the order of their numbers. */
  std::deque<std::string> PendingKeys;
  std::uint64_t LastPut{0};
  std::deque<pending_callback> StoredCallbacks;
  /** The append in flight, kept for a retry. */
  std::vector<keyed_record> Batch;
  std::vector<pending_callback> BatchCallbacks;
  std::size_t BatchBytes{0};
  bool InFlight{false};
  std::uint32_t Failures{0};
  /** Requests sent so far, and the first one for the append in flight. */
  std::uint64_t LastSent{0};
  std::uint64_t FirstSent{0};
  /** Requests for the append in flight without a result. */
  std::uint32_t Unanswered{0};
  time_point RetryAt;
  std::shared_ptr<bool> LifetimeToken{std::make_shared<bool>(true)};
};

} // namespace galenalink::job

#endif
