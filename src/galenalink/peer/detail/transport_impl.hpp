#ifndef GALENALINK_PEER_DETAIL_TRANSPORT_IMPL_HPP
#define GALENALINK_PEER_DETAIL_TRANSPORT_IMPL_HPP

#include "galenalink/peer/connection.hpp"
#include "galenalink/peer/transport.hpp"
#include <deque>
#include <map>
#include <peer.pb.h>
#include <random>

struct evconnlistener;

namespace galenalink::peer {

namespace detail {

using link_id = std::uint64_t;

struct link {
  std::unique_ptr<detail::connection> Connection;
  /** This node opened it. */
  bool Dialed{false};
  http::address Remote;
  std::optional<node_id> Node;
  http::timer HelloLimit;
};

struct heartbeat_sent {
  std::uint64_t Sequence{0};
  time_point At;
};

struct remote_node {
  /** Connections that said hello, the newest last. */
  std::vector<link_id> Links;
  std::optional<evidence> Evidence;
  std::deque<heartbeat_sent> Unanswered;
  /** What the receivers of the signals were told. */
  bool Announced{false};
};

struct dial {
  target Target;
  /** Node that last answered at the address. */
  std::optional<node_id> Seen;
  duration Backoff;
  time_point NextAt;
  /** Connection in progress or in use; 0 if none. */
  link_id Link{0};
};

} // namespace detail

class transport::impl {
public:
  transport &Outer;
  http::loop &Loop;
  options Options;
  hooks Hooks;
  evconnlistener *Listener{nullptr};
  detail::link_id NextLink{1};
  std::map<detail::link_id, detail::link> Links;
  std::map<node_id, detail::remote_node> Nodes;
  std::map<http::address, detail::dial> Dials;
  std::uint64_t NextSequence{1};
  traffic Traffic;
  std::minstd_rand Random;
  http::timer DialTimer;
  http::timer HeartbeatTimer;
  std::vector<std::unique_ptr<detail::connection>> Closed;
  /** Expires with the transport; posted functions check it. */
  std::shared_ptr<int> Alive{std::make_shared<int>(0)};

  impl(transport &Outer, http::loop &Loop, options Options, hooks Hooks)
      : Outer{Outer}, Loop{Loop}, Options{std::move(Options)}, Hooks{std::move(
                                                                   Hooks)} {}

  detail::connection::callbacks callbacks(detail::link_id Id);
  void accept(int Socket, const http::address &Remote);
  void addLink(detail::link_id Id, detail::link Link);
  void dialAll();
  [[nodiscard]] bool satisfied(const detail::dial &Dial) const;
  void connected(detail::link_id Id);
  bool received(detail::link_id Id, const wire::peer_message &Message,
                std::size_t Bytes);
  bool greeted(detail::link_id Id, const wire::hello &Hello);
  bool answered(node_id From, const wire::heartbeat_reply &Reply);
  void heard(node_id From, const wire::peer_message &Message);
  void close(detail::link_id Id, const char *Reason);
  void settleDuplicates(node_id Node);
  [[nodiscard]] const detail::link *preferred(node_id Node) const;
  void announce(node_id Node);
  void write(const detail::link &Link, const wire::peer_message &Message);
  send_result send(node_id Node, const wire::peer_message &Message);
  void sendHello(const detail::link &Link);
  void sendHeartbeat(node_id Node);
  void beat();
};

} // namespace galenalink::peer

#endif
