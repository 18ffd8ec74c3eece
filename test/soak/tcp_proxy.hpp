#ifndef GALENALINK_TEST_SOAK_TCP_PROXY_HPP
#define GALENALINK_TEST_SOAK_TCP_PROXY_HPP

#include "galenalink/http/address.hpp"
#include "galenalink/http/loop.hpp"
#include <list>
#include <memory>

struct evconnlistener;

namespace galenalink::soak {

/** @brief Injected fault of a link; held bytes pass when it ends. */
enum class link_fault : std::uint8_t {
  None,
  /** Bytes of both directions arrive late. */
  Delayed,
  /** Bytes of one direction are held. */
  CutToTarget,
  CutToSource,
  /** Bytes of both directions are held; connections are still accepted. */
  Silent,
};

/** @brief Forwards TCP connections on a loopback address to a target, with
 * faults that apply to all its connections. */
class tcp_proxy {
public:
  tcp_proxy(http::loop &Loop, http::address Target);
  ~tcp_proxy();
  tcp_proxy(const tcp_proxy &) = delete;
  tcp_proxy &operator=(const tcp_proxy &) = delete;

  /** @return Address that accepts connections for the target. */
  [[nodiscard]] http::address address() const;
  /** @param Delay Added one-way delay; for `Delayed` only. */
  void setFault(link_fault Fault, duration Delay = {});
  /** @brief Resets both ends of all connections. */
  void resetConnections();
  /** @brief Holds all bytes of the present connections for good, without
   * closing them. New connections work. */
  void silenceConnections();
  /** @brief Resets both ends of the silenced connections, as a machine does
   * that was started again. */
  void resetSilencedConnections();
  /** @brief Holds all bytes of the present connections until
   * `releaseConnections`; as from a kernel, they arrive even if the sender has
   * closed its end. New connections work. */
  void holdConnections();
  void releaseConnections();

private:
  struct connection;
  struct callbacks;
  void accept(int Socket);
  void forward();
  void startForwarding();

  http::loop &Loop;
  http::address Target;
  evconnlistener *Listener{nullptr};
  std::uint16_t Port{0};
  link_fault Fault{link_fault::None};
  duration Delay{0};
  std::list<std::unique_ptr<connection>> Connections;
  /** Runs while bytes are held. */
  http::timer Timer;
};

} // namespace galenalink::soak

#endif
