#ifndef GALENALINK_JOB_NODE_REQUEST_FORWARDER_HPP
#define GALENALINK_JOB_NODE_REQUEST_FORWARDER_HPP

#include "galenalink/job_node/caller_request.hpp"
#include <map>
#include <memory>
#include <variant>

namespace galenalink::job_node {

/** @brief Why a call that was passed on has no reply. */
enum class forward_failure : std::uint8_t {
  /** It did not reach the node, or that node does not lead. */
  NotAccepted,
  /** It may have been taken. */
  Unknown,
};

inline constexpr enum_names<forward_failure, 2> ForwardFailureNames{{
    {forward_failure::NotAccepted, "not-taken"},
    {forward_failure::Unknown, "unknown"},
}};

using forward_result = std::variant<job::caller_reply, forward_failure>;

/** @brief Where calls go; epoch 0 while nobody leads. */
struct forward_target {
  std::uint64_t Epoch{0};
  std::string Node;
  std::string Address;

  [[nodiscard]] bool operator==(const forward_target &) const = default;
};

/**
 * @brief Passes calls on to the leader, also while the lead changes hands: a
 * call waits a moment for the next leader, and one that the last leader has
 * not answered goes to the next one. That does no harm, since a job is accepted
 * once by its id and a leader knows all that was stored under those before it.
 */
class request_forwarder {
public:
  struct hooks {
    std::function<time_point()> Now;
    /** Sends a call; the callback is called once, not from within. */
    std::function<void(const forward_target &, const caller_request &,
                       time_point RespondBy,
                       std::function<void(forward_result)>)>
        Send;
  };

  explicit request_forwarder(hooks Hooks) : Hooks{std::move(Hooks)} {}

  /** @brief Replies once, unless the call's deadline passes first: that is the
   * caller's to watch. */
  void forward(const caller_request &Request, job::reply_function Reply);
  /** @brief Someone else leads, or nobody does. */
  void setLeader(const forward_target &Leader);
  /** @brief Sends what waits again, and refuses what has waited for too long;
   * to be called every few ms while calls are open. */
  void tick();

  [[nodiscard]] bool idle() const noexcept { return Requests.empty(); }
  [[nodiscard]] std::size_t size() const noexcept { return Requests.size(); }

private:
  struct open_request {
    caller_request Request;
    job::reply_function Reply;
    /** Refused then if it was not taken by any leader. */
    time_point RefuseAt;
    time_point RetryAt;
    /** Number of the send that is under way; 0 for none. */
    std::uint64_t SendInFlight{0};
    /** A leader may have taken it. */
    bool MaybeAccepted{false};
    /** Leader that a send without an answer went to; that send may still
     * arrive there. 0 for none. */
    std::uint64_t UnansweredEpoch{0};
  };
  using request_map = std::map<std::uint64_t, open_request>;

  void send(std::uint64_t Id, open_request &Entry);
  void handleResult(std::uint64_t Id, std::uint64_t SendId,
                    const forward_result &Result);
  void complete(request_map::iterator Entry, const job::caller_reply &Reply);

  hooks Hooks;
  forward_target Leader;
  request_map Requests;
  std::uint64_t LastRequestId{0};
  std::uint64_t LastSendId{0};
  std::shared_ptr<bool> LifetimeToken{std::make_shared<bool>(true)};
};

} // namespace galenalink::job_node

#endif
