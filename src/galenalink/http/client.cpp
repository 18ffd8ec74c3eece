#include "galenalink/http/client.hpp"
#include "galenalink/core/assert.hpp"
#include "galenalink/http/detail/response.hpp"
#include "galenalink/http/loop.hpp"
#include <cerrno>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <list>
#include <map>
#include <sys/socket.h>
#include <utility>
#include <vector>

namespace galenalink::http {

namespace {

/** evhttp's own inactivity limit; each request has its own deadline. */
constexpr int NoTimeoutSeconds = 7 * 24 * 3600;

/** Bytes written at once by a connection with `BeforeOtherEvents`, so that an
 * append of the journal needs one event. */
constexpr std::size_t MaxUrgentWriteBytes = std::size_t{1} << 20U;

/** Interval at which unused connections are looked for. */
constexpr duration SweepInterval = std::chrono::seconds{1};

evhttp_cmd_type toCommand(const method Method) noexcept {
  switch (Method) {
  case method::Get:
    return EVHTTP_REQ_GET;
  case method::Post:
    return EVHTTP_REQ_POST;
  case method::Put:
    return EVHTTP_REQ_PUT;
  case method::Delete:
    return EVHTTP_REQ_DELETE;
  }
  return EVHTTP_REQ_GET;
}

struct pool;

/** @brief One connection; it carries at most one request at a time. */
struct connection {
  client::impl *Client{nullptr};
  pool *Pool{nullptr};
  evhttp_connection *Http{nullptr};
  std::list<std::unique_ptr<connection>>::iterator Position;
  std::shared_ptr<call::state> Current;
  /** The connection check is in progress; the current request follows it. */
  bool Checking{false};
  /** Process that the connection was checked for; empty without a check. */
  std::string Peer;
  /** Set when a byte of the current request was handed to the kernel. */
  bool Wrote{false};
  time_point IdleSince;
  /** Its client's idle connections, oldest first, while it is one of them. */
  std::list<connection *> *IdleOrder{nullptr};
  std::list<connection *>::iterator IdlePosition;

  connection() = default;
  connection(const connection &) = delete;
  connection &operator=(const connection &) = delete;
  ~connection() {
    leaveIdleOrder();
    if (Http != nullptr)
      evhttp_connection_free(Http);
  }

  void joinIdleOrder(std::list<connection *> &Order) {
    IdleOrder = &Order;
    IdlePosition = Order.insert(Order.end(), this);
  }
  void leaveIdleOrder() noexcept {
    if (IdleOrder != nullptr)
      std::exchange(IdleOrder, nullptr)->erase(IdlePosition);
  }
  /** @brief Whether it is open and holds no bytes beyond the last answer. */
  [[nodiscard]] bool usable() const noexcept {
    bufferevent *Stream = evhttp_connection_get_bufferevent(Http);
    const int Socket = bufferevent_getfd(Stream);
    char Byte = 0;
    return Socket >= 0 &&
           evbuffer_get_length(bufferevent_get_input(Stream)) == 0 &&
           recv(Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
  }
};

/** @brief Connections and waiting requests of one address. */
struct pool {
  address Address;
  std::list<std::unique_ptr<connection>> Busy;
  std::list<std::unique_ptr<connection>> Idle;
  std::list<std::shared_ptr<call::state>> Waiting;
};

} // namespace

struct call::state {
  std::weak_ptr<client::impl *> Client;
  pool *Pool{nullptr};
  connection *Connection{nullptr};
  std::list<std::shared_ptr<state>>::iterator Position;
  bool IsWaiting{false};
  /** Known once the request has ended. */
  delivery Delivery{delivery::NotSent};
  request Request;
  timer Deadline;
  timer WriteLimit;
  client::callback Callback;
};

struct client::impl {
  loop &Loop;
  client_options Options;
  traffic Traffic;
  /** Idle connections of all pools, oldest first. */
  std::list<connection *> IdleOrder;
  std::map<address, pool> Pools;
  timer Sweep;
  /** Expires with the client; posted functions check it. */
  std::shared_ptr<impl *> Alive{std::make_shared<impl *>(this)};

  impl(loop &Loop, const client_options &Options)
      : Loop{Loop}, Options{Options} {}

  void place(const std::shared_ptr<call::state> &State);
  void start(std::list<std::unique_ptr<connection>>::iterator Each,
             const std::shared_ptr<call::state> &State);
  void write(connection &Connection, evhttp_request *Request, method Method,
             const std::string &Path);
  void writeCheck(connection &Connection, const connection_check &Check);
  void writeRequest(connection &Connection);
  void checkDone(connection &Connection, evhttp_request *Request);
  [[nodiscard]] std::unique_ptr<connection> open(pool &Pool);
  void done(connection &Connection, evhttp_request *Request);
  void release(connection &Connection);
  void closeExcessIdle();
  void startWaiting(pool &Pool);
  void finish(const std::shared_ptr<call::state> &State, answer Answer);
  delivery abandon(call::state &State) noexcept;
  void expire(const std::shared_ptr<call::state> &State);
  void writeLimitPassed(const std::shared_ptr<call::state> &State);
  void sweep();
  void postAlive(std::function<void()> Function);
};

namespace {

answer failed(const delivery Delivery, const errc Code, std::string Message) {
  return failure{Delivery, {Code, std::move(Message)}};
}

/** Bodies from this size on are written from the caller's memory. */
constexpr std::size_t MinReferencedBytes = 4096;

void addBody(evbuffer *Output, const shared_text &Body) {
  const std::string &Text = Body.str();
  if (Text.size() < MinReferencedBytes) {
    evbuffer_add(Output, Text.data(), Text.size());
    return;
  }
  auto Owner = std::make_unique<shared_text>(Body);
  const auto Release = [](const void *, std::size_t, void *Arg) {
    delete static_cast<shared_text *>(Arg);
  };
  if (evbuffer_add_reference(Output, Text.data(), Text.size(), Release,
                             Owner.get()) == 0)
    static_cast<void>(Owner.release());
}

/** @brief Makes evhttp's request; null if a header is not valid.
 * @param From A `request` or a `connection_check`. */
template <typename Type>
evhttp_request *toEvhttp(const Type &From, const address &Address,
                         connection &Connection) {
  evhttp_request *Request = evhttp_request_new(
      [](evhttp_request *Done, void *Arg) {
        auto *Self = static_cast<connection *>(Arg);
        Self->Client->done(*Self, Done);
      },
      &Connection);
  GALENALINK_ASSERT(Request != nullptr, "no request");
  evkeyvalq *Output = evhttp_request_get_output_headers(Request);
  evhttp_add_header(Output, "Host", toString(Address).c_str());
  evhttp_add_header(Output, "Content-Length",
                    std::to_string(From.Body.size()).c_str());
  for (const auto &[Name, Value] : From.Headers) {
    if (evhttp_add_header(Output, Name.c_str(), Value.c_str()) != 0) {
      evhttp_request_free(Request);
      return nullptr;
    }
  }
  addBody(evhttp_request_get_output_buffer(Request), From.Body);
  return Request;
}

} // namespace

void client::impl::postAlive(std::function<void()> Function) {
  auto Guarded = [Weak = std::weak_ptr{Alive}, Call = std::move(Function)] {
    if (Weak.lock())
      Call();
  };
  if (Options.UrgentCallbacks)
    Loop.postUrgent(std::move(Guarded));
  else
    Loop.post(std::move(Guarded));
}

void client::impl::place(const std::shared_ptr<call::state> &State) {
  pool &Pool = *State->Pool;
  const auto &Check = State->Request.Check;
  const std::string_view Peer = Check ? Check->Peer : std::string_view{};
  while (!Pool.Idle.empty()) {
    if (Pool.Idle.back()->Peer == Peer && Pool.Idle.back()->usable()) {
      Pool.Idle.back()->leaveIdleOrder();
      Pool.Busy.splice(Pool.Busy.end(), Pool.Idle, std::prev(Pool.Idle.end()));
      start(std::prev(Pool.Busy.end()), State);
      return;
    }
    Pool.Idle.pop_back();
  }
  if (Pool.Busy.size() < Options.MaxConnections) {
    Pool.Busy.push_back(open(Pool));
    start(std::prev(Pool.Busy.end()), State);
    return;
  }
  if (Pool.Waiting.size() >= Options.MaxWaiting) {
    finish(State,
           failed(delivery::NotSent, errc::Full,
                  "too many requests wait for " + toString(Pool.Address)));
    return;
  }
  State->Position = Pool.Waiting.insert(Pool.Waiting.end(), State);
  State->IsWaiting = true;
}

std::unique_ptr<connection> client::impl::open(pool &Pool) {
  auto Connection = std::make_unique<connection>();
  Connection->Client = this;
  Connection->Pool = &Pool;
  Connection->Http = evhttp_connection_base_bufferevent_new(
      Loop.native(), nullptr, nullptr, Pool.Address.Host.c_str(),
      Pool.Address.Port);
  GALENALINK_ASSERT(Connection->Http != nullptr, "no connection");
  if (Options.BeforeOtherEvents)
    bufferevent_set_max_single_write(
        evhttp_connection_get_bufferevent(Connection->Http),
        MaxUrgentWriteBytes);
  // A repeated request might run twice.
  evhttp_connection_set_retries(Connection->Http, 0);
  evhttp_connection_set_timeout(Connection->Http, NoTimeoutSeconds);
  evhttp_connection_set_max_headers_size(
      Connection->Http, static_cast<ev_ssize_t>(Options.MaxHeaderBytes));
  evhttp_connection_set_max_body_size(
      Connection->Http, static_cast<ev_ssize_t>(Options.MaxBodyBytes));
  evbuffer_add_cb(
      bufferevent_get_output(
          evhttp_connection_get_bufferevent(Connection->Http)),
      [](evbuffer *, const evbuffer_cb_info *Info, void *Arg) {
        if (Info->n_deleted == 0)
          return;
        auto *Self = static_cast<connection *>(Arg);
        Self->Wrote = !Self->Checking;
        Self->Client->Traffic.Sent += Info->n_deleted;
      },
      Connection.get());
  evbuffer_add_cb(
      bufferevent_get_input(
          evhttp_connection_get_bufferevent(Connection->Http)),
      [](evbuffer *, const evbuffer_cb_info *Info, void *Arg) {
        static_cast<client::impl *>(Arg)->Traffic.Received += Info->n_added;
      },
      this);
  return Connection;
}

void client::impl::start(
    const std::list<std::unique_ptr<connection>>::iterator Each,
    const std::shared_ptr<call::state> &State) {
  connection &Connection = **Each;
  Connection.Position = Each;
  Connection.Wrote = false;
  Connection.Current = State;
  State->Connection = &Connection;
  const auto &Check = State->Request.Check;
  if (Check && Connection.Peer != Check->Peer)
    writeCheck(Connection, *Check);
  else
    writeRequest(Connection);
}

void client::impl::write(connection &Connection, evhttp_request *Request,
                         const method Method, const std::string &Path) {
  if (Request == nullptr) {
    const auto State = std::move(Connection.Current);
    Connection.Current = nullptr;
    Connection.Checking = false;
    postAlive([this, &Connection] { release(Connection); });
    finish(State, failed(delivery::NotSent, errc::BadInput,
                         "a header contains a line break"));
    return;
  }
  if (evhttp_make_request(Connection.Http, Request, toCommand(Method),
                          Path.c_str()) != 0 &&
      Connection.Current)
    done(Connection, nullptr);
  // Connecting a bufferevent resets its priority.
  if (Options.BeforeOtherEvents)
    bufferevent_priority_set(evhttp_connection_get_bufferevent(Connection.Http),
                             UrgentPriority);
}

void client::impl::writeCheck(connection &Connection,
                              const connection_check &Check) {
  Connection.Checking = true;
  write(Connection, toEvhttp(Check, Connection.Pool->Address, Connection),
        Check.Method, Check.Path);
}

void client::impl::writeRequest(connection &Connection) {
  const request &From = Connection.Current->Request;
  write(Connection, toEvhttp(From, Connection.Pool->Address, Connection),
        From.Method, From.Path);
}

void client::impl::checkDone(connection &Connection, evhttp_request *Request) {
  const auto State = Connection.Current;
  Connection.Checking = false;
  const connection_check &Check = *State->Request.Check;
  const bool Answered =
      Request != nullptr && evhttp_request_get_response_code(Request) != 0;
  response Response;
  if (Answered)
    Response = detail::toResponse(Request);
  const bool Accepted =
      Answered && detail::isComplete(Response) && Check.Accepts(Response);
  if (Accepted)
    Connection.Peer = Check.Peer;
  if (Accepted && Check.AnswersRequest) {
    Connection.Current = nullptr;
    State->Delivery = delivery::Unknown;
    postAlive([this, &Connection] { release(Connection); });
    finish(State, std::move(Response));
    return;
  }
  // evhttp may still use the connection in the call of `done`.
  postAlive([this, &Connection, Accepted, Weak = std::weak_ptr{State}] {
    const auto Call = Weak.lock();
    if (!Call || Call->Connection != &Connection)
      return; // abandoned meanwhile, with its connection
    // A lost connection would be replaced by one that was not checked.
    if (Accepted && Connection.usable()) {
      writeRequest(Connection);
      return;
    }
    abandon(*Call);
    finish(Call, failed(delivery::NotSent, errc::Unavailable,
                        Accepted ? "connection lost after its check"
                                 : "connection check failed"));
  });
}

void client::impl::done(connection &Connection, evhttp_request *Request) {
  if (Connection.Checking && Connection.Current) {
    checkDone(Connection, Request);
    return;
  }
  const auto State = std::move(Connection.Current);
  Connection.Current = nullptr;
  if (!State)
    return;
  const delivery Delivery =
      Connection.Wrote ? delivery::Unknown : delivery::NotSent;
  const std::string Server = toString(Connection.Pool->Address);
  postAlive([this, &Connection] { release(Connection); });
  if (Request == nullptr || evhttp_request_get_response_code(Request) == 0) {
    finish(State, failed(Delivery, errc::Unavailable,
                         Connection.Wrote ? "connection lost to " + Server
                                          : "can't connect to " + Server));
    return;
  }
  response Response = detail::toResponse(Request);
  if (!detail::isComplete(Response)) {
    finish(State,
           failed(delivery::Unknown, errc::Corrupt,
                  "answer without a length or truncated from " + Server));
    return;
  }
  State->Delivery = delivery::Unknown;
  finish(State, std::move(Response));
}

// evhttp may still use the connection in the call of `done`, so this runs
// after it.
void client::impl::release(connection &Connection) {
  pool &Pool = *Connection.Pool;
  if (Connection.usable()) {
    Connection.IdleSince = boot_clock::now();
    Pool.Idle.splice(Pool.Idle.end(), Pool.Busy, Connection.Position);
    Connection.joinIdleOrder(IdleOrder);
    closeExcessIdle();
    if (!Sweep.pending())
      Sweep = Loop.every(SweepInterval, [this] { sweep(); });
  } else {
    Pool.Busy.erase(Connection.Position);
  }
  startWaiting(Pool);
}

void client::impl::closeExcessIdle() {
  while (IdleOrder.size() > Options.MaxIdle) {
    connection &Oldest = *IdleOrder.front();
    Oldest.Pool->Idle.erase(Oldest.Position);
  }
}

void client::impl::startWaiting(pool &Pool) {
  while (!Pool.Waiting.empty() && Pool.Busy.size() < Options.MaxConnections) {
    const auto State = Pool.Waiting.front();
    Pool.Waiting.pop_front();
    State->IsWaiting = false;
    place(State);
  }
}

void client::impl::finish(const std::shared_ptr<call::state> &State,
                          answer Answer) {
  State->Connection = nullptr;
  State->Deadline.cancel();
  State->WriteLimit.cancel();
  if (const auto *Failure = std::get_if<failure>(&Answer))
    State->Delivery = Failure->Delivery;
  postAlive([State, Answer = std::move(Answer)]() mutable {
    const auto Call = std::exchange(State->Callback, {});
    if (Call)
      Call(std::move(Answer));
  });
}

delivery client::impl::abandon(call::state &State) noexcept {
  State.Deadline.cancel();
  State.WriteLimit.cancel();
  pool &Pool = *State.Pool;
  if (State.IsWaiting) {
    State.IsWaiting = false;
    Pool.Waiting.erase(State.Position);
  } else if (State.Connection != nullptr) {
    connection &Connection = *std::exchange(State.Connection, nullptr);
    State.Delivery = Connection.Wrote ? delivery::Unknown : delivery::NotSent;
    Pool.Busy.erase(Connection.Position);
    postAlive([this, &Pool] { startWaiting(Pool); });
  }
  return State.Delivery;
}

void client::impl::expire(const std::shared_ptr<call::state> &State) {
  const delivery Delivery = abandon(*State);
  finish(State,
         failed(Delivery, errc::Timeout,
                "no answer in time from " + toString(State->Pool->Address)));
}

// The first byte is written by a later event than the one that asked for it,
// and the process may be stopped in between.
void client::impl::writeLimitPassed(const std::shared_ptr<call::state> &State) {
  const bool Wrote = State->Connection != nullptr && State->Connection->Wrote;
  if (Wrote || !State->Callback)
    return;
  abandon(*State);
  finish(State,
         failed(delivery::NotSent, errc::Timeout,
                "not written in time to " + toString(State->Pool->Address)));
}

void client::impl::sweep() {
  const time_point Oldest = boot_clock::now() - Options.IdleTimeout;
  bool Unused = false;
  for (auto &[Address, Pool] : Pools) {
    std::erase_if(Pool.Idle, [&](const auto &Each) {
      return Each->IdleSince <= Oldest || !Each->usable();
    });
    Unused = Unused || !Pool.Idle.empty();
  }
  if (!Unused)
    Sweep.cancel();
}

call::call(std::weak_ptr<state> State) noexcept : State{std::move(State)} {}

std::optional<delivery> call::cancel() noexcept {
  const auto Found = State.lock();
  State.reset();
  const auto Client = Found ? Found->Client.lock() : nullptr;
  if (!Client || !Found->Callback)
    return std::nullopt;
  Found->Callback = nullptr;
  return (*Client)->abandon(*Found);
}

client::client(loop &Loop, const client_options Options)
    : Impl{std::make_unique<impl>(Loop, Options)} {}

client::~client() = default;

call client::send(const address &Address, request Request,
                  const time_point Deadline, callback Callback) {
  auto [Found, Added] = Impl->Pools.try_emplace(Address);
  if (Added)
    Found->second.Address = Address;
  auto State = std::make_shared<call::state>();
  State->Client = Impl->Alive;
  State->Pool = &Found->second;
  State->Request = std::move(Request);
  State->Callback = std::move(Callback);
  State->Deadline =
      Impl->Loop.at(Deadline, [Self = Impl.get(), Weak = std::weak_ptr{State}] {
        if (const auto Expired = Weak.lock())
          Self->expire(Expired);
      });
  if (State->Request.WriteBy != time_point::max())
    State->WriteLimit = Impl->Loop.beforeEvents(
        State->Request.WriteBy,
        [Self = Impl.get(), Weak = std::weak_ptr{State}] {
          if (const auto Late = Weak.lock())
            Self->writeLimitPassed(Late);
        });
  Impl->place(State);
  return call{State};
}

const traffic &client::exchanged() const noexcept { return Impl->Traffic; }

std::size_t client::connections(const address &Address) const {
  const auto Found = Impl->Pools.find(Address);
  return Found == Impl->Pools.end()
             ? 0
             : Found->second.Busy.size() + Found->second.Idle.size();
}

void client::forget(const address &Address) {
  const auto Found = Impl->Pools.find(Address);
  if (Found != Impl->Pools.end())
    Found->second.Idle.clear();
}

} // namespace galenalink::http
