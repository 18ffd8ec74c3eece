#ifndef GALENALINK_JOB_JOURNAL_HPP
#define GALENALINK_JOB_JOURNAL_HPP

#include "galenalink/core/time.hpp"
#include "galenalink/job/ports.hpp"
#include <map>
#include <memory>

namespace galenalink::job {

/**
 * @brief Writes the leader's records to the store, one append at a time. What
 * comes while an append is on its way goes into the next one, where only the
 * newest value of a key is written.
 */
class journal {
public:
  using value_function = std::function<std::optional<std::string>()>;
  using function = std::function<void()>;

  struct hooks {
    decltype(ports::Append) Append;
    std::function<time_point()> Now;
    /** A leader with a higher epoch exists. */
    function OnFenced;
  };

  journal(hooks Hooks, std::uint64_t Epoch);

  /** @brief Has the value written that the function returns when the append is
   * made; nothing removes the key. */
  void put(const std::string &Key, value_function Value);
  /** @brief Calls the function once all that was put so far is stored. */
  void whenStored(function Function);
  /** @brief Starts an append if there is something to write and none is under
   * way, or repeats one that had no answer. To be called after each event. */
  void flush();

  /** @return Whether appends succeed; one lost answer alone is no outage, as
   * the repeat is likely to be answered. */
  [[nodiscard]] bool healthy() const noexcept { return Failures < 2; }
  [[nodiscard]] bool idle() const noexcept {
    return !InFlight && PendingPuts.empty() && StoredCallbacks.empty();
  }

private:
  void collect();
  void send();
  void onAppendResult(const append_result &Result);

  hooks Hooks;
  std::uint64_t Epoch;
  std::uint64_t Sequence{0};
  std::map<std::string, value_function> PendingPuts;
  std::vector<function> StoredCallbacks;
  /** The append under way, kept for a repeat. */
  std::vector<keyed_record> Batch;
  std::vector<function> BatchCallbacks;
  bool InFlight{false};
  bool Sent{false};
  std::uint32_t Failures{0};
  time_point RetryAt;
  std::shared_ptr<bool> LifetimeToken{std::make_shared<bool>(true)};
};

} // namespace galenalink::job

#endif
