#ifndef GALENALINK_JOB_NODE_CALLER_RELAY_HPP
#define GALENALINK_JOB_NODE_CALLER_RELAY_HPP

#include "galenalink/job_node/caller_call.hpp"
#include <map>
#include <memory>
#include <variant>

namespace galenalink::job_node {

/** @brief Why a call that was passed on has no reply. */
enum class relay_failure : std::uint8_t {
  /** It did not reach the node, or that node does not lead. */
  NotTaken,
  /** It may have been taken. */
  Unknown,
};

inline constexpr enum_names<relay_failure, 2> RelayFailureNames{{
    {relay_failure::NotTaken, "not-taken"},
    {relay_failure::Unknown, "unknown"},
}};

using relay_answer = std::variant<job::caller_reply, relay_failure>;

/** @brief Where calls go; epoch 0 while nobody leads. */
struct relay_target {
  std::uint64_t Epoch{0};
  std::string Node;
  std::string Address;

  [[nodiscard]] bool operator==(const relay_target &) const = default;
};

/**
 * @brief Passes calls on to the leader, also while the lead changes hands: a
 * call waits a moment for the next leader, and one that the last leader has
 * not answered goes to the next one. That does no harm, since a job is accepted
 * once by its id and a leader knows all that was stored under those before it.
 */
class caller_relay {
public:
  struct hooks {
    std::function<time_point()> Now;
    /** Sends a call; the callback is called once, not from within. */
    std::function<void(const relay_target &, const caller_call &,
                       time_point AnswerBy, std::function<void(relay_answer)>)>
        Send;
  };

  explicit caller_relay(hooks Hooks) : Hooks{std::move(Hooks)} {}

  /** @brief Replies once, unless the call's deadline passes first: that is the
   * caller's to watch. */
  void call(const caller_call &Call, job::reply_function Reply);
  /** @brief Someone else leads, or nobody does. */
  void leaderChanged(const relay_target &Leader);
  /** @brief Sends what waits again, and refuses what has waited for too long;
   * to be called every few ms while calls are open. */
  void tick();

  [[nodiscard]] bool idle() const noexcept { return Open.empty(); }
  [[nodiscard]] std::size_t size() const noexcept { return Open.size(); }

private:
  struct open_call {
    caller_call Call;
    job::reply_function Reply;
    /** Refused then if it was not taken by any leader. */
    time_point WaitsUntil;
    time_point RetryAt;
    /** Number of the send that is under way; 0 for none. */
    std::uint64_t Sent{0};
    /** A leader may have taken it. */
    bool MaybeTaken{false};
    /** Leader that a send without an answer went to; that send may still
     * arrive there. 0 for none. */
    std::uint64_t LostAtEpoch{0};
  };
  using calls = std::map<std::uint64_t, open_call>;

  void send(std::uint64_t Id, open_call &Open);
  void answered(std::uint64_t Id, std::uint64_t Send,
                const relay_answer &Answer);
  void finish(calls::iterator Each, const job::caller_reply &Reply);

  hooks Hooks;
  relay_target Leader;
  calls Open;
  std::uint64_t LastId{0};
  std::uint64_t LastSend{0};
  std::shared_ptr<bool> Alive{std::make_shared<bool>(true)};
};

} // namespace galenalink::job_node

#endif
