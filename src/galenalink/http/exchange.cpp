#include "galenalink/http/exchange.hpp"
#include "galenalink/http/detail/exchange_state.hpp"
#include "galenalink/http/detail/peer_closed.hpp"
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>
#include <utility>

namespace galenalink::http {

exchange::state::~state() { stopWatching(); }

void exchange::state::stopWatching() noexcept {
  if (CloseWatch != nullptr)
    event_free(std::exchange(CloseWatch, nullptr));
}

// The event is apart from evhttp's own: evhttp stops the process when it reads
// pipelined bytes while a request is being handled. EV_READ is included
// because epoll reports a reset as readable, not as closed.
void exchange::state::watch() {
  evhttp_connection *Connection =
      Request == nullptr ? nullptr : evhttp_request_get_connection(Request);
  if (Connection == nullptr || CloseWatch != nullptr)
    return;
  CloseWatch = event_new(
      evhttp_connection_get_base(Connection),
      bufferevent_getfd(evhttp_connection_get_bufferevent(Connection)),
      EV_READ | EV_CLOSED,
      [](const evutil_socket_t Socket, const short What, void *Arg) {
        auto *Self = static_cast<state *>(Arg);
        const bool Closed =
            (What & EV_CLOSED) != 0 || detail::peerClosed(Socket);
        Self->stopWatching();
        if (!Closed)
          return;
        const auto Call = std::exchange(Self->PeerClosed, {});
        if (Call)
          Call();
      },
      this);
  if (CloseWatch != nullptr)
    event_add(CloseWatch, nullptr);
}

exchange::exchange(std::shared_ptr<state> State) noexcept
    : State{std::move(State)} {}

exchange::~exchange() {
  if (State)
    reply(500, {}, {});
}

exchange::exchange(exchange &&) noexcept = default;

exchange &exchange::operator=(exchange &&Other) noexcept {
  std::swap(State, Other.State);
  return *this;
}

const request &exchange::received() const noexcept { return State->Received; }

method exchange::method() const noexcept { return State->Received.Method; }

std::string_view exchange::path() const noexcept {
  const std::string_view Path = State->Received.Path;
  return Path.substr(0, Path.find('?'));
}

std::optional<std::string> exchange::query(const std::string_view Name) const {
  const std::string &Path = State->Received.Path;
  const auto Start = Path.find('?');
  if (Start == std::string::npos)
    return std::nullopt;
  evkeyvalq Parameters{};
  if (evhttp_parse_query_str(Path.c_str() + Start + 1, &Parameters) != 0)
    return std::nullopt;
  std::optional<std::string> Found;
  const std::string Key{Name};
  if (const char *Value = evhttp_find_header(&Parameters, Key.c_str()))
    Found = Value;
  evhttp_clear_headers(&Parameters);
  return Found;
}

std::optional<std::string_view>
exchange::header(const std::string_view Name) const noexcept {
  return findHeader(State->Received.Headers, Name);
}

const std::string &exchange::body() const noexcept {
  return State->Received.Body.str();
}

shared_text exchange::takeBody() noexcept {
  return std::exchange(State->Received.Body, {});
}

void exchange::onPeerClosed(std::function<void()> Function) {
  State->PeerClosed = std::move(Function);
  State->watch();
}

void exchange::reply(const int Status, const headers &Headers,
                     const std::string_view Body) {
  State->stopWatching();
  State->PeerClosed = nullptr;
  evhttp_request *Request = std::exchange(State->Request, nullptr);
  if (Request == nullptr)
    return;
  evkeyvalq *Output = evhttp_request_get_output_headers(Request);
  for (const auto &[Name, Value] : Headers)
    evhttp_add_header(Output, Name.c_str(), Value.c_str());
  evbuffer *Buffer = evbuffer_new();
  if (Buffer != nullptr)
    evbuffer_add(Buffer, Body.data(), Body.size());
  if (State->BeforeReply)
    State->BeforeReply(Request, Body.size());
  evhttp_connection *Connection = evhttp_request_get_connection(Request);
  evhttp_send_reply(Request, Status, nullptr, Buffer);
  // evhttp would read and buffer further requests without bound while the
  // reply can't be written. It enables reading again once it is.
  if (Connection != nullptr)
    bufferevent_disable(evhttp_connection_get_bufferevent(Connection), EV_READ);
  if (Buffer != nullptr)
    evbuffer_free(Buffer);
}

// After the shutdown nothing that is written reaches the peer, and the failed
// write makes evhttp free the connection.
void exchange::abort() {
  evhttp_request *Request = State->Request;
  evhttp_connection *Connection =
      Request == nullptr ? nullptr : evhttp_request_get_connection(Request);
  if (Connection != nullptr)
    shutdown(bufferevent_getfd(evhttp_connection_get_bufferevent(Connection)),
             SHUT_RDWR);
  reply(500, {}, {});
}

} // namespace galenalink::http
