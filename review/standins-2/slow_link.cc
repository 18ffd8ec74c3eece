#include "slow_link.hh"
#include <algorithm>
#include <arpa/inet.h>
#include <deque>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

using galenalink::boot_clock;
using galenalink::time_point;

constexpr std::chrono::milliseconds ForwardInterval{1};
constexpr std::chrono::milliseconds UsualAnswer{4};

sockaddr_in loopback(const std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

} // namespace

struct slow_link::connection {
  struct chunk {
    time_point DueAt;
    std::string Bytes;
  };
  slow_link *Link{nullptr};
  bufferevent *Source{nullptr};
  bufferevent *Target{nullptr};
  std::deque<chunk> Answers;
  time_point LastDueAt{galenalink::NoDeadline};
  // A request has been sent on since the last byte of an answer.
  bool Asked{false};
  bool Closed{false};
  ~connection() {
    bufferevent_free(Source);
    bufferevent_free(Target);
  }
};

struct slow_link::callbacks {
  static void onReadable(bufferevent *Stream, void *Context) {
    auto &Each = *static_cast<connection *>(Context);
    evbuffer *Input = bufferevent_get_input(Stream);
    if (Stream == Each.Source) {
      Each.Asked = true;
      bufferevent_write_buffer(Each.Target, Input);
      return;
    }
    std::string Bytes(evbuffer_get_length(Input), '\0');
    evbuffer_remove(Input, Bytes.data(), Bytes.size());
    slow_link &Link = *Each.Link;
    time_point DueAt = boot_clock::now() + UsualAnswer;
    if (Each.Asked && std::uniform_real_distribution<>{0, 1}(Link.Random) <
                          Link.SlowShare)
      DueAt = boot_clock::now() + Link.SlowAnswer;
    Each.Asked = false;
    Each.LastDueAt = std::max(Each.LastDueAt, DueAt);
    Each.Answers.push_back({Each.LastDueAt, std::move(Bytes)});
  }
  static void onEvent(bufferevent *, const short Events, void *Context) {
    if ((Events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
      static_cast<connection *>(Context)->Closed = true;
  }
  static void onAccept(const int Listener, short, void *Context) {
    const int Socket =
        ::accept4(Listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (Socket >= 0)
      static_cast<slow_link *>(Context)->accept(Socket);
  }
};

slow_link::slow_link(galenalink::http::loop &Loop,
                     galenalink::http::address Target, const std::uint64_t Seed)
    : Loop{Loop}, Target{std::move(Target)}, Random{Seed} {
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
  Timer = Loop.every(ForwardInterval, [this] { forward(); });
}

slow_link::~slow_link() {
  Connections.clear();
  event_free(Accepting);
  ::close(Listener);
}

galenalink::http::address slow_link::address() const {
  return {"127.0.0.1", Port};
}

void slow_link::accept(const int Socket) {
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
    Each.Closed = true;
    return;
  }
  const int NoDelay = 1;
  for (bufferevent *Stream : {Each.Source, Each.Target}) {
    setsockopt(bufferevent_getfd(Stream), IPPROTO_TCP, TCP_NODELAY, &NoDelay,
               sizeof(NoDelay));
    bufferevent_enable(Stream, EV_READ | EV_WRITE);
  }
}

void slow_link::forward() {
  const time_point Now = boot_clock::now();
  for (auto &Each : Connections) {
    while (!Each->Answers.empty() && Each->Answers.front().DueAt <= Now) {
      const std::string &Bytes = Each->Answers.front().Bytes;
      bufferevent_write(Each->Source, Bytes.data(), Bytes.size());
      Each->Answers.pop_front();
    }
  }
  std::erase_if(Connections, [](const auto &Each) {
    return Each->Closed && Each->Answers.empty() &&
           evbuffer_get_length(bufferevent_get_output(Each->Target)) == 0 &&
           evbuffer_get_length(bufferevent_get_output(Each->Source)) == 0;
  });
}

} // namespace review
