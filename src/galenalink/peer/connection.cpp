#include "galenalink/peer/connection.hpp"
#include "galenalink/core/assert.hpp"
#include "galenalink/peer/detail/socket_address.hpp"
#include <array>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/tcp.h>
#include <peer.pb.h>
#include <utility>

namespace galenalink::peer::detail {

namespace {

/** Bytes read from the buffer at a time. */
constexpr std::size_t ReadBytes = 16U << 10U;

void setNoDelay(const evutil_socket_t Socket) noexcept {
  const int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

} // namespace

connection::connection(http::loop &Loop, const int Socket,
                       const std::size_t MaxFrameBytes, callbacks Callbacks)
    : Stream{bufferevent_socket_new(Loop.native(), Socket,
                                    BEV_OPT_CLOSE_ON_FREE)},
      Parser{MaxFrameBytes}, Callbacks{std::move(Callbacks)},
      LastReceived{boot_clock::now()} {
  GALENALINK_ASSERT(Stream != nullptr, "no stream");
  setNoDelay(Socket);
  attach();
  bufferevent_enable(Stream, EV_READ | EV_WRITE);
}

connection::connection(http::loop &Loop, const http::address &Address,
                       const std::size_t MaxFrameBytes, callbacks Callbacks)
    : Stream{bufferevent_socket_new(Loop.native(), -1, BEV_OPT_CLOSE_ON_FREE)},
      Parser{MaxFrameBytes}, Callbacks{std::move(Callbacks)},
      LastReceived{boot_clock::now()} {
  GALENALINK_ASSERT(Stream != nullptr, "no stream");
  auto Binary = toSocketAddress(Address);
  attach();
  // A failure that libevent does not report as an event is found by the
  // owner's limit for the hello.
  if (Binary)
    bufferevent_socket_connect(Stream, Binary->data(),
                               static_cast<int>(Binary->Size));
}

connection::~connection() {
  bufferevent_setcb(Stream, nullptr, nullptr, nullptr, nullptr);
  bufferevent_free(Stream);
}

void connection::attach() {
  bufferevent_setcb(
      Stream,
      [](bufferevent *, void *Self) {
        static_cast<connection *>(Self)->readable();
      },
      [](bufferevent *, void *Self) {
        static_cast<connection *>(Self)->drained();
      },
      [](bufferevent *, const short What, void *Self) {
        static_cast<connection *>(Self)->event(What);
      },
      this);
}

void connection::write(const std::string_view Payload) {
  evbuffer *Output = bufferevent_get_output(Stream);
  const std::string Header = frameHeader(Payload.size());
  evbuffer_expand(Output, Header.size() + Payload.size());
  evbuffer_add(Output, Header.data(), Header.size());
  evbuffer_add(Output, Payload.data(), Payload.size());
}

std::size_t connection::queuedBytes() const noexcept {
  return evbuffer_get_length(bufferevent_get_output(Stream));
}

void connection::setLimit(const std::size_t MaxFrameBytes) noexcept {
  Parser.setLimit(MaxFrameBytes);
}

void connection::finish() {
  Finishing = true;
  if (queuedBytes() == 0)
    drained();
}

bool connection::finishing() const noexcept { return Finishing; }

time_point connection::lastReceived() const noexcept { return LastReceived; }

void connection::drained() {
  if (!Finishing || Ended)
    return;
  shutdown(bufferevent_getfd(Stream), SHUT_WR);
  if (FarEnded)
    end("closed by the peer");
}

void connection::readable() {
  LastReceived = boot_clock::now();
  evbuffer *Input = bufferevent_get_input(Stream);
  std::array<char, ReadBytes> Bytes;
  wire::peer_message Message;
  int Got = 0;
  while (!Ended &&
         (Got = evbuffer_remove(Input, Bytes.data(), Bytes.size())) > 0) {
    const bool Valid = Parser.feed(
        {Bytes.data(), static_cast<std::size_t>(Got)},
        [&](const std::string_view Payload) {
          return Message.ParseFromArray(Payload.data(),
                                        static_cast<int>(Payload.size())) &&
                 Callbacks.Received(Message, Payload.size() + FrameHeaderBytes);
        });
    if (!Valid)
      end("invalid frame or message");
  }
}

void connection::event(const short What) {
  if ((What & BEV_EVENT_CONNECTED) != 0) {
    setNoDelay(bufferevent_getfd(Stream));
    bufferevent_enable(Stream, EV_READ | EV_WRITE);
    Callbacks.Connected();
    return;
  }
  if ((What & BEV_EVENT_EOF) != 0) {
    // The far side has finished; what is queued for it is still written.
    FarEnded = true;
    if (queuedBytes() > 0) {
      Finishing = true;
      return;
    }
    end("closed by the peer");
    return;
  }
  end("connection lost");
}

void connection::end(const char *Reason) {
  if (std::exchange(Ended, true))
    return;
  bufferevent_disable(Stream, EV_READ | EV_WRITE);
  Callbacks.Ended(Reason);
}

} // namespace galenalink::peer::detail
