#include "link.hh"
#include <algorithm>
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::chrono::milliseconds SweepInterval{5};

sockaddr_in loopback(const std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

} // namespace

struct power_link::connection {
  power_link *Link{nullptr};
  bufferevent *Source{nullptr};
  bufferevent *Target{nullptr};
  // Opened before the power failed.
  bool Dead{false};
  // Its peer has sent something that no life of the machine has taken.
  bool Unacknowledged{false};
  bool SourceClosed{false};
  bool Ended{false};
  bool Reset{false};
  ~connection() {
    if (Reset && Source != nullptr) {
      const linger Abort{1, 0};
      setsockopt(bufferevent_getfd(Source), SOL_SOCKET, SO_LINGER, &Abort,
                 sizeof(Abort));
    }
    if (Source != nullptr)
      bufferevent_free(Source);
    if (Target != nullptr)
      bufferevent_free(Target);
  }
};

struct power_link::callbacks {
  static void onReadable(bufferevent *Stream, void *Context) {
    auto &Each = *static_cast<connection *>(Context);
    evbuffer *Input = bufferevent_get_input(Stream);
    if (Each.Dead) {
      Each.Unacknowledged =
          Each.Unacknowledged ||
          (Stream == Each.Source && evbuffer_get_length(Input) > 0);
      evbuffer_drain(Input, evbuffer_get_length(Input));
      return;
    }
    bufferevent *Other = Stream == Each.Source ? Each.Target : Each.Source;
    bufferevent_write_buffer(Other, Input);
  }
  static void onEvent(bufferevent *Stream, const short Events, void *Context) {
    if ((Events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
      return;
    auto &Each = *static_cast<connection *>(Context);
    if (Each.Dead) {
      Each.SourceClosed = Each.SourceClosed || Stream == Each.Source;
      return;
    }
    bufferevent *Other = Stream == Each.Source ? Each.Target : Each.Source;
    bufferevent_flush(Other, EV_WRITE, BEV_FINISHED);
    Each.Ended = true;
  }
  static void onAccept(const int Listener, short, void *Context) {
    const int Socket = ::accept4(Listener, nullptr, nullptr,
                                 SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (Socket >= 0)
      static_cast<power_link *>(Context)->accept(Socket);
  }
};

power_link::power_link(galenalink::http::loop &Loop,
                       galenalink::http::address Target)
    : Loop{Loop}, Target{std::move(Target)} {
  Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in Address = loopback(0);
  socklen_t Size = sizeof(Address);
  if (Listener < 0 ||
      ::bind(Listener, reinterpret_cast<sockaddr *>(&Address), Size) != 0 ||
      ::listen(Listener, 128) != 0)
    throw std::runtime_error{"cannot listen"};
  ::getsockname(Listener, reinterpret_cast<sockaddr *>(&Address), &Size);
  Port = ntohs(Address.sin_port);
  Accepting = event_new(Loop.native(), Listener, EV_READ | EV_PERSIST,
                        callbacks::onAccept, this);
  event_add(Accepting, nullptr);
  Timer = Loop.every(SweepInterval, [this] { sweep(); });
}

power_link::~power_link() {
  Connections.clear();
  event_free(Accepting);
  ::close(Listener);
  for (const int Each : Fillers)
    ::close(Each);
}

galenalink::http::address power_link::address() const {
  return {"127.0.0.1", Port};
}

void power_link::powerOff() {
  Powered = false;
  for (auto &Each : Connections) {
    Each->Dead = true;
    if (Each->Target != nullptr)
      bufferevent_free(std::exchange(Each->Target, nullptr));
  }
  // A full queue drops what asks for a connection, as a machine without power.
  event_del(Accepting);
  ::listen(Listener, 0);
  const sockaddr_in Address = loopback(Port);
  for (int I = 0; I < 4; ++I) {
    const int Socket =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    static_cast<void>(::connect(
        Socket, reinterpret_cast<const sockaddr *>(&Address), sizeof(Address)));
    Fillers.push_back(Socket);
  }
}

void power_link::powerOn() {
  Powered = true;
  for (const int Each : Fillers)
    ::close(Each);
  Fillers.clear();
  ::listen(Listener, 128);
  event_add(Accepting, nullptr);
}

void power_link::accept(const int Socket) {
  auto &Each = *Connections.emplace_back(std::make_unique<connection>());
  Each.Link = this;
  Each.Source =
      bufferevent_socket_new(Loop.native(), Socket, BEV_OPT_CLOSE_ON_FREE);
  Each.Target =
      bufferevent_socket_new(Loop.native(), -1, BEV_OPT_CLOSE_ON_FREE);
  for (bufferevent *Stream : {Each.Source, Each.Target})
    bufferevent_setcb(Stream, callbacks::onReadable, nullptr,
                      callbacks::onEvent, &Each);
  sockaddr_in Address = loopback(Target.Port);
  if (bufferevent_socket_connect(Each.Target,
                                 reinterpret_cast<sockaddr *>(&Address),
                                 sizeof(Address)) < 0) {
    end(Each, true);
    return;
  }
  const int NoDelay = 1;
  for (bufferevent *Stream : {Each.Source, Each.Target}) {
    setsockopt(bufferevent_getfd(Stream), IPPROTO_TCP, TCP_NODELAY, &NoDelay,
               sizeof(NoDelay));
    bufferevent_enable(Stream, EV_READ | EV_WRITE);
  }
}

void power_link::end(connection &Connection, const bool Reset) {
  Connection.Ended = true;
  Connection.Reset = Reset;
}

void power_link::sweep() {
  for (auto &Each : Connections) {
    if (Each->Dead && Powered && Each->Unacknowledged)
      end(*Each, true);
    if (Each->Dead && Each->SourceClosed)
      end(*Each, false);
    if (!Each->Dead && Each->Ended && !Each->Reset) {
      // What was written before the end is still on its way.
      const bool Flushed =
          evbuffer_get_length(bufferevent_get_output(Each->Source)) == 0 &&
          (Each->Target == nullptr ||
           evbuffer_get_length(bufferevent_get_output(Each->Target)) == 0);
      if (!Flushed)
        continue;
    }
  }
  std::erase_if(Connections, [](const auto &Each) { return Each->Ended; });
}

} // namespace review
