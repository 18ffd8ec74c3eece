#include "galenalink/http/server.hpp"
#include "galenalink/core/assert.hpp"
#include "galenalink/http/detail/peer_closed.hpp"
#include "galenalink/http/detail/server_impl.hpp"
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>
#include <utility>

namespace galenalink::http {

using detail::phase;

namespace {

/** Interval of the search for new connections that were closed early. */
constexpr duration SweepInterval = std::chrono::milliseconds{100};
/** Bytes that may be read beyond the headers before the limit is raised. evhttp
 * finds headers that are too long only if it gets more than it allows. */
constexpr std::size_t InitialBodyBytes = 4096;
constexpr duration LogInterval = std::chrono::seconds{1};
constexpr const char *RefusedRetryAfterSeconds = "1";

std::optional<method> toMethod(const evhttp_cmd_type Command) noexcept {
  switch (Command) {
  case EVHTTP_REQ_GET:
    return method::Get;
  case EVHTTP_REQ_POST:
    return method::Post;
  case EVHTTP_REQ_PUT:
    return method::Put;
  case EVHTTP_REQ_DELETE:
    return method::Delete;
  default:
    return std::nullopt;
  }
}

std::string takeBody(evbuffer *Buffer) {
  std::string Body(evbuffer_get_length(Buffer), '\0');
  evbuffer_remove(Buffer, Body.data(), Body.size());
  return Body;
}

} // namespace

detail::server_connection::server_connection(server::impl &Server,
                                             bufferevent *Stream)
    : Server{Server}, Stream{Stream}, Since{boot_clock::now()},
      Receive{Server.Options.MaxHeaderBytes + InitialBodyBytes,
              Server.Options.MaxHeaderBytes + InitialBodyBytes +
                  Server.Options.MaxBodyBytes,
              Server.Options.MaxHeaderBytes},
      Order{&Server.Receiving}, Position{Order->insert(Order->end(), this)} {
  bufferevent_incref(Stream);
  InputHook = evbuffer_add_cb(
      bufferevent_get_input(Stream),
      [](evbuffer *, const evbuffer_cb_info *Info, void *Arg) {
        auto *Self = static_cast<server_connection *>(Arg);
        Self->Server.inputChanged(*Self, Info->n_added, Info->n_deleted);
      },
      this);
}

detail::server_connection::~server_connection() {
  if (InputHook != nullptr)
    evbuffer_remove_cb_entry(bufferevent_get_input(Stream), InputHook);
  bufferevent_decref(Stream);
}

server::impl::impl(loop &Loop, server_options Options, handler Handler)
    : Loop{Loop}, Options{std::move(Options)}, Handler{std::move(Handler)},
      LogRate{LogInterval} {
  Memory->Released = [this] {
    if (WaitingForLimit == 0)
      return;
    this->Loop.post([this, Weak = std::weak_ptr{Alive}] {
      if (!Weak.expired())
        raiseWaiting();
    });
  };
}

// evhttp releases a connection that never sent a complete request without a
// notice. The sweep finds it when evhttp has removed its callbacks.
void server::impl::accept(bufferevent *Stream) {
  Connections.emplace(Stream, std::make_unique<connection>(*this, Stream));
  armDeadline(boot_clock::now() + Options.ReceiveTimeout);
  makeRoom();
  pauseAcceptingIfFull();
  if (!Sweep.pending())
    Sweep = Loop.every(SweepInterval, [this] { sweep(); });
}

void server::impl::sweep() {
  std::vector<connection *> Released;
  bool Fresh = false;
  for (const auto &[Stream, Connection] : Connections) {
    if (Connection->Http != nullptr || Connection->Phase == phase::Lingering)
      continue;
    bufferevent_data_cb Read = nullptr;
    bufferevent_data_cb Write = nullptr;
    bufferevent_event_cb Event = nullptr;
    bufferevent_getcb(Stream, &Read, &Write, &Event, nullptr);
    if (Event == nullptr)
      Released.push_back(Connection.get());
    else
      Fresh = true;
  }
  for (connection *Each : Released) {
    if (Each->Receive.received() > 0) {
      ++Counters.Invalid;
      logLimit("invalid request");
    }
    if (detail::peerClosed(bufferevent_getfd(Each->Stream)))
      drop(Each->Stream);
    else
      linger(*Each);
  }
  if (!Fresh)
    Sweep.cancel();
}

void server::impl::scheduleSweep() {
  Loop.post([this, Weak = std::weak_ptr{Alive}] {
    if (!Weak.expired())
      sweep();
  });
}

void server::impl::linger(connection &Connection) {
  setPhase(Connection, phase::Lingering);
  leaveLarge(Connection);
  Connection.Receive.startRequest(0);
  charge(Connection);
  const auto Discard = [](bufferevent *Stream, void *) {
    evbuffer *Input = bufferevent_get_input(Stream);
    evbuffer_drain(Input, evbuffer_get_length(Input));
  };
  bufferevent_setcb(
      Connection.Stream, Discard, nullptr,
      [](bufferevent *, short, void *Arg) {
        auto *Ended = static_cast<connection *>(Arg);
        Ended->Server.drop(Ended->Stream);
      },
      &Connection);
  bufferevent_setwatermark(Connection.Stream, EV_READ, 0, 0);
  Discard(Connection.Stream, nullptr);
  bufferevent_enable(Connection.Stream, EV_READ);
}

void server::impl::drop(bufferevent *Stream) {
  const auto Found = Connections.find(Stream);
  if (Found == Connections.end())
    return;
  connection &Dropped = *Found->second;
  leaveLarge(Dropped);
  Memory->Connections.Buffered -= Dropped.Charged.Buffered;
  Memory->Connections.Large -= Dropped.Charged.Large;
  Dropped.Order->erase(Dropped.Position);
  Connections.erase(Found);
  resumeAccepting();
}

void server::impl::setPhase(connection &Connection, const phase Phase) {
  Connection.Phase = Phase;
  Connection.Since = boot_clock::now();
  detail::connection_list &To = listOf(Phase);
  To.splice(To.end(), *Connection.Order, Connection.Position);
  Connection.Order = &To;
  if (Phase != phase::Handling)
    armDeadline(Connection.Since + limitOf(To));
}

void server::impl::closed(evhttp_connection *Closed) {
  bufferevent *Stream = evhttp_connection_get_bufferevent(Closed);
  const auto Found = Connections.find(Stream);
  if (Found == Connections.end())
    return;
  if (const auto State = Found->second->Current.lock()) {
    State->stopWatching();
    // A request that evhttp has detached stays with the exchange, which frees
    // it by replying; any other is freed with the connection.
    if (State->Request != nullptr &&
        evhttp_request_get_connection(State->Request) != nullptr)
      State->Request = nullptr;
  }
  connection &Released = *Found->second;
  if (Released.Phase != phase::Receiving || Released.Closing) {
    drop(Stream);
    return;
  }
  // evhttp has not removed its callbacks yet.
  Released.Http = nullptr;
  scheduleSweep();
}

server::impl::connection &server::impl::firstRequest(evhttp_connection *From) {
  bufferevent *Stream = evhttp_connection_get_bufferevent(From);
  const auto Found = Connections.find(Stream);
  GALENALINK_ASSERT(Found != Connections.end(), "unknown connection");
  connection &Connection = *Found->second;
  if (Connection.Http != nullptr)
    return Connection;
  Connection.Http = From;
  evhttp_connection_set_closecb(
      From,
      [](evhttp_connection *Closed, void *Self) {
        static_cast<impl *>(Self)->closed(Closed);
      },
      this);
  return Connection;
}

std::shared_ptr<exchange::state> server::impl::open(connection &Connection,
                                                    const method Method,
                                                    evhttp_request *Request) {
  auto State = std::make_shared<exchange::state>();
  State->Request = Request;
  State->Received.Method = Method;
  State->Received.Path = evhttp_request_get_uri(Request);
  const evkeyvalq *Input = evhttp_request_get_input_headers(Request);
  for (const evkeyval *Each = Input->tqh_first; Each != nullptr;
       Each = Each->next.tqe_next)
    State->Received.Headers.push_back({Each->key, Each->value});
  State->Received.Body = takeBody(evhttp_request_get_input_buffer(Request));
  State->Charge = takeCharge(Connection, State->Received.Body.size());
  State->BeforeReply = [this, &Connection](evhttp_request *Replied,
                                           const std::size_t Bytes) {
    if (evhttp_request_get_connection(Replied) != nullptr)
      replying(Connection, Replied, Bytes);
  };
  Connection.Current = State;
  return State;
}

void server::impl::replying(connection &Connection, evhttp_request *Request,
                            const std::size_t Bytes) {
  if (Stopping)
    evhttp_add_header(evhttp_request_get_output_headers(Request), "Connection",
                      "close");
  setPhase(Connection, phase::Replying);
  Connection.ReplyBytes = Bytes;
  charge(Connection);
  evhttp_request_set_on_complete_cb(
      Request,
      [](evhttp_request *, void *Arg) {
        auto *Self = static_cast<connection *>(Arg);
        Self->ReplyBytes = 0;
        Self->Server.charge(*Self);
        const bool Pipelined =
            evbuffer_get_length(bufferevent_get_input(Self->Stream)) > 0;
        Self->Server.setPhase(*Self,
                              Pipelined ? phase::Receiving : phase::Idle);
      },
      &Connection);
}

void server::impl::received(evhttp_request *Request) {
  connection &Connection = firstRequest(evhttp_request_get_connection(Request));
  setPhase(Connection, phase::Handling);
  const auto Method = toMethod(evhttp_request_get_command(Request));
  exchange Exchange{open(Connection, Method.value_or(method::Get), Request)};
  if (!Method) {
    Exchange.reply(501, {}, {});
    return;
  }
  if (Memory->buffered() > Options.MaxBufferedBytes)
    releaseMemory();
  if (!admits()) {
    ++Counters.Refused;
    logLimit("request refused for lack of memory");
    Exchange.reply(503, {{"Retry-After", RefusedRetryAfterSeconds}}, {});
    return;
  }
  // evhttp reads a body without a length until the end of the stream, so a
  // truncated one would look complete.
  const bool HasBody = *Method == method::Post || *Method == method::Put;
  if (HasBody && !Exchange.header("Content-Length") &&
      !Exchange.header("Transfer-Encoding")) {
    Exchange.reply(411, {}, {});
    return;
  }
  Handler(std::move(Exchange));
}

server::server(loop &Loop, server_options OptionsIn, handler Handler)
    : Impl{std::make_unique<impl>(Loop, std::move(OptionsIn),
                                  std::move(Handler))} {
  impl *Self = Impl.get();
  const server_options &Options = Self->Options;
  Self->Http = evhttp_new(Loop.native());
  GALENALINK_ASSERT(Self->Http != nullptr, "no HTTP server");
  evhttp_set_max_headers_size(Self->Http,
                              static_cast<ev_ssize_t>(Options.MaxHeaderBytes));
  evhttp_set_max_body_size(Self->Http,
                           static_cast<ev_ssize_t>(Options.MaxBodyBytes));
  evhttp_set_default_content_type(Self->Http, "application/octet-stream");
  evhttp_set_allowed_methods(Self->Http, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                             EVHTTP_REQ_PUT |
                                             EVHTTP_REQ_DELETE);
  // The timers of the connections are the limit, not evhttp's own.
  evhttp_set_timeout(Self->Http, 24 * 3600);
  evhttp_set_bevcb(
      Self->Http,
      [](event_base *Base, void *Arg) {
        // The descriptor stays open as long as the stream: a descriptor that
        // is closed while the stream's events are registered gives no events
        // to the next connection that gets its number.
        bufferevent *Stream =
            bufferevent_socket_new(Base, -1, BEV_OPT_CLOSE_ON_FREE);
        GALENALINK_ASSERT(Stream != nullptr, "no stream");
        static_cast<impl *>(Arg)->accept(Stream);
        return Stream;
      },
      Self);
  evhttp_set_gencb(
      Self->Http,
      [](evhttp_request *Request, void *Arg) {
        static_cast<impl *>(Arg)->received(Request);
      },
      Self);
}

server::~server() {
  for (const auto &[Stream, Connection] : Impl->Connections) {
    if (const auto State = Connection->Current.lock()) {
      State->stopWatching();
      State->BeforeReply = nullptr;
    }
  }
  Impl->Socket = nullptr;
  Impl->Memory->Released = nullptr;
  evhttp_free(Impl->Http);
}

result<std::uint16_t> server::listen(const std::string &Host,
                                     const std::uint16_t Port) {
  GALENALINK_ASSERT(Impl->Socket == nullptr, "listen is called once");
  Impl->Socket = evhttp_bind_socket_with_handle(Impl->Http, Host.c_str(), Port);
  if (Impl->Socket == nullptr)
    return fail(errc::Unavailable,
                "can't listen on " + Host + " port " + std::to_string(Port));
  sockaddr_storage Bound{};
  socklen_t Size = sizeof(Bound);
  getsockname(evhttp_bound_socket_get_fd(Impl->Socket),
              reinterpret_cast<sockaddr *>(&Bound), &Size);
  Impl->Port =
      ntohs(Bound.ss_family == AF_INET6
                ? reinterpret_cast<const sockaddr_in6 *>(&Bound)->sin6_port
                : reinterpret_cast<const sockaddr_in *>(&Bound)->sin_port);
  return Impl->Port;
}

std::uint16_t server::port() const noexcept { return Impl->Port; }

void server::stopAccepting() {
  Impl->Stopping = true;
  if (Impl->Socket != nullptr)
    evhttp_del_accept_socket(Impl->Http, std::exchange(Impl->Socket, nullptr));
  for (const auto &[Stream, Connection] : Impl->Connections) {
    char Byte = 0;
    if (Connection->Phase == phase::Idle &&
        recv(bufferevent_getfd(Stream), &Byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0)
      shutdown(bufferevent_getfd(Stream), SHUT_RDWR);
  }
}

std::size_t server::openExchanges() const noexcept {
  std::size_t Open = 0;
  for (const auto &[Stream, Connection] : Impl->Connections)
    Open += Connection->Phase == phase::Handling ||
                    Connection->Phase == phase::Replying
                ? 1
                : 0;
  return Open;
}

std::size_t server::connections() const noexcept {
  return Impl->Connections.size();
}

std::size_t server::heldBytes() const noexcept {
  return Impl->Memory->buffered() + Impl->Memory->large();
}

const server_counters &server::counters() const noexcept {
  return Impl->Counters;
}

const std::string &server::name() const noexcept { return Impl->Options.Name; }

} // namespace galenalink::http
