#include "soak/tcp_proxy.hpp"
#include <algorithm>
#include <arpa/inet.h>
#include <deque>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>

namespace galenalink::soak {

namespace {

constexpr duration ForwardInterval = std::chrono::milliseconds{5};

sockaddr_in loopbackAddress(const http::address &Address) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(Address.Port);
  if (inet_pton(AF_INET, Address.Host.c_str(), &Result.sin_addr) != 1)
    throw std::invalid_argument{"not an IPv4 address: " + Address.Host};
  return Result;
}

} // namespace

struct tcp_proxy::connection {
  struct chunk {
    time_point DueAt;
    std::string Bytes;
  };
  struct side {
    bufferevent *Stream{nullptr};
    /** Received from this side and not forwarded yet. */
    std::deque<chunk> Held;
    bool Closed{false};
  };

  explicit connection(tcp_proxy &Proxy) : Proxy{Proxy} {}
  connection(const connection &) = delete;
  connection &operator=(const connection &) = delete;
  ~connection() {
    bufferevent_free(Source.Stream);
    bufferevent_free(Target.Stream);
  }

  [[nodiscard]] bool isCut(const side &From) const {
    const link_fault Cut =
        &From == &Source ? link_fault::CutToTarget : link_fault::CutToSource;
    return SilentForGood || HeldBack || Proxy.Fault == link_fault::Silent ||
           Proxy.Fault == Cut;
  }
  side &otherThan(const side &Side) {
    return &Side == &Source ? Target : Source;
  }
  void receive(side &From);
  /** @brief Forwards what is due, then a close. */
  void forward(side &From, time_point Now);
  void reset();

  tcp_proxy &Proxy;
  side Source;
  side Target;
  bool SilentForGood{false};
  /** Until `releaseConnections`. */
  bool HeldBack{false};
  /** Both ends are closed or about to be. */
  bool Ended{false};
};

void tcp_proxy::connection::receive(side &From) {
  evbuffer *Input = bufferevent_get_input(From.Stream);
  std::string Bytes(evbuffer_get_length(Input), '\0');
  evbuffer_remove(Input, Bytes.data(), Bytes.size());
  const time_point Now = boot_clock::now();
  if (!Bytes.empty())
    From.Held.push_back({Now + Proxy.Delay, std::move(Bytes)});
  forward(From, Now);
  if (!From.Held.empty())
    Proxy.startForwarding();
}

void tcp_proxy::connection::forward(side &From, const time_point Now) {
  if (isCut(From) || Ended)
    return;
  side &To = otherThan(From);
  while (!From.Held.empty() && From.Held.front().DueAt <= Now) {
    const std::string &Bytes = From.Held.front().Bytes;
    bufferevent_write(To.Stream, Bytes.data(), Bytes.size());
    From.Held.pop_front();
  }
  if (From.Closed && From.Held.empty() &&
      evbuffer_get_length(bufferevent_get_output(To.Stream)) == 0)
    Ended = true;
}

void tcp_proxy::connection::reset() {
  for (const side *Each : {&Source, &Target}) {
    const linger Abort{1, 0};
    const int Socket = bufferevent_getfd(Each->Stream);
    if (Socket >= 0)
      setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Abort, sizeof(Abort));
  }
  Ended = true;
}

struct tcp_proxy::callbacks {
  static connection::side &sideOf(bufferevent *Stream, connection &Connection) {
    return Connection.Source.Stream == Stream ? Connection.Source
                                              : Connection.Target;
  }
  static void onReadable(bufferevent *Stream, void *Context) {
    auto &Connection = *static_cast<connection *>(Context);
    Connection.receive(sideOf(Stream, Connection));
  }
  static void onEvent(bufferevent *Stream, const short Events, void *Context) {
    if ((Events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
      return;
    auto &Connection = *static_cast<connection *>(Context);
    auto &Side = sideOf(Stream, Connection);
    Connection.receive(Side);
    Side.Closed = true;
    if ((Events & BEV_EVENT_ERROR) != 0 && !Connection.isCut(Side))
      Connection.reset();
    Connection.Proxy.startForwarding();
  }
  static void onAccepted(evconnlistener * /*Listener*/,
                         const evutil_socket_t Socket, sockaddr * /*Address*/,
                         int /*Length*/, void *Context) {
    static_cast<tcp_proxy *>(Context)->accept(Socket);
  }
};

tcp_proxy::tcp_proxy(http::loop &Loop, http::address Target)
    : Loop{Loop}, Target{std::move(Target)} {
  sockaddr_in Address = loopbackAddress({"127.0.0.1", 0});
  Listener = evconnlistener_new_bind(
      Loop.native(), callbacks::onAccepted, this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, -1,
      reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
  if (Listener == nullptr)
    throw std::runtime_error{"cannot listen on a loopback address"};
  socklen_t Length = sizeof(Address);
  getsockname(evconnlistener_get_fd(Listener),
              reinterpret_cast<sockaddr *>(&Address), &Length);
  Port = ntohs(Address.sin_port);
}

tcp_proxy::~tcp_proxy() {
  Connections.clear();
  evconnlistener_free(Listener);
}

http::address tcp_proxy::address() const { return {"127.0.0.1", Port}; }

void tcp_proxy::accept(const int Socket) {
  auto &Connection =
      *Connections.emplace_back(std::make_unique<connection>(*this));
  Connection.Source.Stream =
      bufferevent_socket_new(Loop.native(), Socket, BEV_OPT_CLOSE_ON_FREE);
  Connection.Target.Stream =
      bufferevent_socket_new(Loop.native(), -1, BEV_OPT_CLOSE_ON_FREE);
  for (const auto *Each : {&Connection.Source, &Connection.Target})
    bufferevent_setcb(Each->Stream, callbacks::onReadable, nullptr,
                      callbacks::onEvent, &Connection);
  sockaddr_in Address = loopbackAddress(Target);
  if (bufferevent_socket_connect(Connection.Target.Stream,
                                 reinterpret_cast<sockaddr *>(&Address),
                                 sizeof(Address)) < 0) {
    Connection.reset();
    startForwarding();
    return;
  }
  const int NoDelay = 1;
  for (const auto *Each : {&Connection.Source, &Connection.Target}) {
    setsockopt(bufferevent_getfd(Each->Stream), IPPROTO_TCP, TCP_NODELAY,
               &NoDelay, sizeof(NoDelay));
    bufferevent_enable(Each->Stream, EV_READ | EV_WRITE);
  }
}

void tcp_proxy::setFault(const link_fault NewFault, const duration NewDelay) {
  Fault = NewFault;
  Delay = NewFault == link_fault::Delayed ? NewDelay : duration::zero();
  startForwarding();
}

void tcp_proxy::resetConnections() {
  for (auto &Each : Connections)
    Each->reset();
  startForwarding();
}

void tcp_proxy::silenceConnections() {
  for (auto &Each : Connections)
    Each->SilentForGood = true;
}

void tcp_proxy::resetSilencedConnections() {
  for (auto &Each : Connections) {
    if (Each->SilentForGood)
      Each->reset();
  }
  startForwarding();
}

void tcp_proxy::holdConnections() {
  for (auto &Each : Connections)
    Each->HeldBack = true;
}

void tcp_proxy::releaseConnections() {
  for (auto &Each : Connections)
    Each->HeldBack = false;
  startForwarding();
}

void tcp_proxy::startForwarding() {
  if (!Timer.pending())
    Timer = Loop.every(ForwardInterval, [this] { forward(); });
}

void tcp_proxy::forward() {
  const time_point Now = boot_clock::now();
  bool Holding = Fault != link_fault::None;
  for (auto &Each : Connections) {
    Each->forward(Each->Source, Now);
    Each->forward(Each->Target, Now);
    // Both ends of a silent connection have given it up.
    Each->Ended = Each->Ended || (Each->Source.Closed && Each->Target.Closed);
    Holding = Holding || Each->Source.Closed || Each->Target.Closed ||
              !Each->Source.Held.empty() || !Each->Target.Held.empty();
  }
  std::erase_if(Connections, [](const auto &Each) { return Each->Ended; });
  if (!Holding)
    Timer.cancel();
}

} // namespace galenalink::soak
