#ifndef GALENALINK_JOB_NODE_REQUEST_FORWARDER_HPP
#define GALENALINK_JOB_NODE_REQUEST_FORWARDER_HPP

#include "galenalink/job_node/caller_request.hpp"
#include "galenalink/telemetry/rate_limit.hpp"
#include <map>
#include <memory>
#include <variant>

namespace galenalink::job_node {

/** @brief Why a forwarded request has no reply. */
enum class forward_failure : std::uint8_t {
  /** It did not reach the node, or that node is not the leader. */
  NotAccepted,
  /** No valid response; the leader may have accepted it. */
  Unknown,
};

inline constexpr enum_names<forward_failure, 2> ForwardFailureNames{{
    {forward_failure::NotAccepted, "not-taken"},
    {forward_failure::Unknown, "unknown"},
}};

using forward_result = std::variant<job::caller_reply, forward_failure>;

/** @brief The leader that requests are sent to; epoch 0 if there is none. */
struct forward_target {
  std::uint64_t Epoch{0};
  std::string Node;
  std::string Address;

  [[nodiscard]] bool operator==(const forward_target &) const = default;
};

/**
 * @brief Forwards requests to the leader, also across leader changes. A request
 * waits for a limited time until a leader is elected, and one that the previous
 * leader has not replied to is sent again to the next. Retries are idempotent:
 * a job id is accepted only once, and a leader recovers everything that was
 * stored under earlier epochs.
 */
class request_forwarder {
public:
  struct hooks {
    std::function<time_point()> Now;
    /** Sends a request; the callback is called once, never from within the
     * hook. */
    std::function<void(const forward_target &, const caller_request &,
                       time_point RespondBy,
                       std::function<void(forward_result)>)>
        Send;
  };

  /** @param MaxOpenBytes Memory of the open requests; further ones are refused.
   */
  explicit request_forwarder(
      hooks Hooks, const std::size_t MaxOpenBytes = DefaultMaxOpenBytes)
      : Hooks{std::move(Hooks)}, MaxOpenBytes{MaxOpenBytes} {}

  /** @brief Forwards a request.
   * @param Reply Called at most once. It is dropped when the deadline of the
   * request passes, which is left to the caller of this function to watch. */
  void forward(const caller_request &Request, job::reply_function Reply);
  /** @brief Sends all open requests to the new leader, if there is one. */
  void setLeader(const forward_target &Leader);
  /** @brief Retries waiting requests and refuses those that have waited too
   * long for a leader; to be called every few ms unless `idle()`. */
  void tick();

  [[nodiscard]] bool idle() const noexcept { return Requests.empty(); }
  [[nodiscard]] std::size_t size() const noexcept { return Requests.size(); }
  /** @return Estimated memory of the open requests. */
  [[nodiscard]] std::size_t openBytes() const noexcept { return OpenBytes; }
  /** @return Requests refused because there were too many open ones. */
  [[nodiscard]] std::uint64_t refused() const noexcept { return Refused; }

private:
  static constexpr std::size_t DefaultMaxOpenBytes = std::size_t{16} << 20U;

  struct open_request {
    caller_request Request;
    /** Memory that `OpenBytes` contains for it. */
    std::size_t Bytes{0};
    job::reply_function Reply;
    /** When it is refused unless a leader may have accepted it. */
    time_point RefuseAt;
    time_point RetryAt;
    /** Sends to the present leader that failed. */
    std::uint32_t Failures{0};
    /** Id of the send that waits for its response; 0 for none. */
    std::uint64_t SendInFlight{0};
    /** Whether a leader may have accepted it; it must not be refused then. */
    bool MaybeAccepted{false};
    /** Epoch of the leader that did not respond to a send; the send may still
     * arrive there. 0 for none. */
    std::uint64_t UnansweredEpoch{0};
    /** The leader may accept the submission and needs its body. */
    bool BodyNeeded{false};
  };
  using request_map = std::map<std::uint64_t, open_request>;

  void send(std::uint64_t Id, open_request &Entry);
  void handleResult(std::uint64_t Id, std::uint64_t SendId,
                    const forward_result &Result);
  void complete(request_map::iterator Entry, const job::caller_reply &Reply);
  request_map::iterator erase(request_map::iterator Entry);
  /** @brief Whether a request of this size may be opened. */
  [[nodiscard]] bool admits(std::size_t Bytes) const noexcept;
  void logRefusal();

  hooks Hooks;
  forward_target Leader;
  request_map Requests;
  std::size_t MaxOpenBytes;
  std::size_t OpenBytes{0};
  std::uint64_t Refused{0};
  telemetry::rate_limit RefusalLogRate{std::chrono::seconds{1}};
  std::uint64_t LastRequestId{0};
  std::uint64_t LastSendId{0};
  /** The leader has refused jobs recently: until then, submissions are first
   * sent without their bodies, so that the ones it refuses as well do not fill
   * its link. */
  time_point WithholdBodiesUntil{NoDeadline};
  std::shared_ptr<bool> LifetimeToken{std::make_shared<bool>(true)};
};

} // namespace galenalink::job_node

#endif
