#ifndef GALENALINK_NODE_CALLER_API_HPP
#define GALENALINK_NODE_CALLER_API_HPP

#include "galenalink/http/exchange.hpp"
#include "galenalink/node/call.hpp"
#include <functional>
#include <optional>
#include <string>

namespace galenalink::node {

/** @brief What the callers' interface needs of the node. */
struct caller_hooks {
  std::function<void(call, reply_hook)> Call;
  /** Default deadline of the queue, or nothing if it is not known. */
  std::function<std::optional<duration>(const call &)> DefaultTimeout;
  /** Whether the balancer may send new requests here. */
  std::function<bool()> Healthy;
  /** Whether the node has followed the log far enough to know the services. */
  std::function<bool()> Ready;
};

/** @brief The callers' HTTP interface. */
class caller_api {
public:
  explicit caller_api(caller_hooks Hooks) : Hooks{std::move(Hooks)} {}

  void handle(http::exchange Exchange) const;

private:
  void health(http::exchange &Exchange) const;
  void start(http::exchange Exchange, call Call) const;

  caller_hooks Hooks;
};

/** @brief HTTP status for a reply to a caller. */
[[nodiscard]] int statusOf(const reply &Reply) noexcept;

} // namespace galenalink::node

#endif
