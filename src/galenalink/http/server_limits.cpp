#include "galenalink/http/detail/server_impl.hpp"
#include "galenalink/telemetry/log.hpp"
#include <algorithm>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>

namespace galenalink::http {

using detail::connection_list;
using detail::memory_amount;
using detail::phase;

namespace {

constexpr telemetry::logger Log{"http"};

/** Connections are closed until this part of the bound is in use, so that the
 * search for them is rare. */
constexpr std::size_t KeptNumerator = 7;
constexpr std::size_t KeptDenominator = 8;
/** Interval at which a full server looks for a connection to close. */
constexpr duration AcceptRetryInterval = std::chrono::milliseconds{50};

} // namespace

// The check is posted: evhttp has not seen new input yet when it is counted,
// and connections can't be closed while evhttp handles one.
void server::impl::inputChanged(connection &Connection, const std::size_t Added,
                                const std::size_t Removed) {
  if (Connection.Phase == phase::Lingering)
    return;
  if (Added > 0 && Connection.Phase == phase::Idle)
    setPhase(Connection, phase::Receiving);
  Connection.Receive.add(Added);
  if (Removed > 0 && Connection.Phase == phase::Receiving)
    Connection.Receive.addStep();
  charge(Connection);
  if (!Connection.InputLimited && Connection.Receive.full())
    limitInput(Connection);
  if (Connection.Phase == phase::Receiving && Connection.Receive.atLimit() &&
      !Connection.Waiting) {
    AtLimit.push_back(Connection.Stream);
    scheduleCheck();
  }
}

void server::impl::limitInput(connection &Connection) {
  Connection.InputLimited = Connection.Receive.full();
  bufferevent_setwatermark(Connection.Stream, EV_READ, 0,
                           Connection.InputLimited ? Connection.Receive.limit()
                                                   : 0);
}

void server::impl::charge(connection &Connection) {
  memory_amount Amount = Connection.Receive.amount();
  Amount.Buffered += Connection.ReplyBytes;
  memory_amount &Total = Memory->Connections;
  Total.Buffered += Amount.Buffered - Connection.Charged.Buffered;
  Total.Large += Amount.Large - Connection.Charged.Large;
  Connection.Charged = Amount;
  if (Memory->buffered() > Options.MaxBufferedBytes)
    scheduleCheck();
}

detail::exchange_charge server::impl::takeCharge(connection &Connection,
                                                 const std::size_t Body) {
  memory_amount Amount = Connection.Receive.amount();
  Amount.Large = std::min(Amount.Large, Body);
  Amount.Buffered = std::max(Amount.Buffered, Body - Amount.Large);
  leaveLarge(Connection);
  Connection.Receive.startRequest(
      evbuffer_get_length(bufferevent_get_input(Connection.Stream)));
  if (Connection.InputLimited)
    limitInput(Connection);
  charge(Connection);
  return {Memory, Amount};
}

bool server::impl::admits() const noexcept {
  return Memory->buffered() <= Options.MaxBufferedBytes &&
         Memory->Exchanges.Large <=
             std::max(Options.MaxLargeRequestBytes, Options.MaxBodyBytes);
}

void server::impl::close(connection &Connection) {
  bufferevent *Stream = Connection.Stream;
  Connection.Closing = true;
  bufferevent_trigger_event(Stream, BEV_EVENT_READING | BEV_EVENT_ERROR, 0);
  const auto Found = Connections.find(Stream);
  if (Found != Connections.end() && Found->second->Http == nullptr)
    drop(Stream);
}

server::impl::connection *server::impl::longestWaiting() const noexcept {
  if (!Lingering.empty())
    return Lingering.front();
  if (Receiving.empty() || Unused.empty())
    return Receiving.empty() && Unused.empty() ? nullptr
           : Receiving.empty()                 ? Unused.front()
                                               : Receiving.front();
  connection *Receiver = Receiving.front();
  return Receiver->Since <= Unused.front()->Since ? Receiver : Unused.front();
}

bool server::impl::canMakeRoom() const {
  const connection *Longest = longestWaiting();
  if (Longest == nullptr)
    return false;
  return Longest->Phase == phase::Lingering ||
         Longest->Since + Options.MinWaitForRoom <= boot_clock::now();
}

void server::impl::makeRoom() {
  while (Connections.size() > Options.MaxConnections && canMakeRoom()) {
    ++Counters.ClosedForRoom;
    logLimit("too many connections");
    close(*longestWaiting());
  }
}

void server::impl::pauseAcceptingIfFull() {
  if (Connections.size() < Options.MaxConnections || Socket == nullptr ||
      canMakeRoom())
    return;
  evconnlistener_disable(evhttp_bound_socket_get_listener(Socket));
  AcceptTimer = Loop.at(boot_clock::now() + AcceptRetryInterval, [this] {
    resumeAccepting();
    pauseAcceptingIfFull();
  });
}

void server::impl::resumeAccepting() {
  if (Socket != nullptr &&
      (Connections.size() < Options.MaxConnections || canMakeRoom()))
    evconnlistener_enable(evhttp_bound_socket_get_listener(Socket));
}

void server::impl::scheduleCheck() {
  if (std::exchange(CheckScheduled, true))
    return;
  Loop.post([this, Weak = std::weak_ptr{Alive}] {
    if (Weak.expired())
      return;
    CheckScheduled = false;
    check();
  });
}

void server::impl::check() {
  for (bufferevent *Stream : std::exchange(AtLimit, {})) {
    const auto Found = Connections.find(Stream);
    if (Found != Connections.end())
      raiseLimit(*Found->second);
  }
  if (Memory->buffered() > Options.MaxBufferedBytes)
    releaseMemory();
}

// A limit that was reached while an earlier request was received does not
// count: evhttp has taken the input since.
void server::impl::raiseLimit(connection &Connection) {
  if (Connection.Phase != phase::Receiving || !Connection.Receive.atLimit() ||
      Connection.Waiting)
    return;
  if (!Connection.IsLarge) {
    Connection.IsLarge = true;
    Connection.LargePosition = Large.insert(Large.end(), &Connection);
  }
  if (tryRaiseLimit(Connection))
    return;
  Connection.Waiting = true;
  ++WaitingForLimit;
  ++Counters.LargeDelayed;
  logLimit("large requests wait");
  bufferevent_disable(Connection.Stream, EV_READ);
}

// The large request that came first may exceed the bound, so that one of them
// is always completed.
bool server::impl::tryRaiseLimit(connection &Connection) {
  detail::receive_account &Receive = Connection.Receive;
  const std::size_t More = Receive.nextLimit() - Receive.limit();
  if (Memory->large() + More > Options.MaxLargeRequestBytes &&
      Large.front() != &Connection)
    return false;
  Receive.raiseLimit();
  charge(Connection);
  // One block instead of many small ones, which would leave holes in the heap.
  evbuffer_expand(bufferevent_get_input(Connection.Stream), More);
  limitInput(Connection);
  return true;
}

void server::impl::raiseWaiting() {
  for (connection *Each : Large) {
    if (WaitingForLimit == 0)
      return;
    if (!Each->Waiting)
      continue;
    if (!tryRaiseLimit(*Each))
      return;
    Each->Waiting = false;
    --WaitingForLimit;
    bufferevent_enable(Each->Stream, EV_READ);
  }
}

void server::impl::leaveLarge(connection &Connection) {
  if (std::exchange(Connection.Waiting, false))
    --WaitingForLimit;
  if (!std::exchange(Connection.IsLarge, false))
    return;
  Large.erase(Connection.LargePosition);
  if (Memory->Released)
    Memory->Released();
}

void server::impl::releaseMemory() {
  std::vector<connection *> Holders;
  for (const auto &[Stream, Connection] : Connections) {
    if (Connection->waitsForClient())
      Holders.push_back(Connection.get());
  }
  std::ranges::sort(Holders, std::greater{}, [](const connection *Each) {
    return Each->Charged.Buffered;
  });
  const std::size_t Kept =
      Options.MaxBufferedBytes / KeptDenominator * KeptNumerator;
  for (connection *Each : Holders) {
    if (Memory->buffered() <= Kept)
      return;
    ++Counters.ClosedForMemory;
    logLimit("too much memory in use");
    close(*Each);
  }
}

connection_list &server::impl::listOf(const phase Phase) noexcept {
  switch (Phase) {
  case phase::Receiving:
    return Receiving;
  case phase::Handling:
    return Handling;
  case phase::Lingering:
    return Lingering;
  case phase::Idle:
  case phase::Replying:
    break;
  }
  return Unused;
}

duration server::impl::limitOf(const connection_list &Order) const {
  if (&Order == &Lingering)
    return Options.LingerTimeout;
  return &Order == &Receiving ? Options.ReceiveTimeout : Options.IdleTimeout;
}

void server::impl::armDeadline(const time_point When) {
  if (Deadline.pending() && DeadlineAt <= When)
    return;
  DeadlineAt = When;
  Deadline = Loop.at(When, [this] { closeOverdue(); });
}

void server::impl::closeOverdue() {
  const time_point Now = boot_clock::now();
  for (const connection_list *Order : {&Receiving, &Unused, &Lingering}) {
    while (!Order->empty() && Order->front()->Since + limitOf(*Order) <= Now) {
      Counters.TimedOut += Order == &Lingering ? 0 : 1;
      close(*Order->front());
    }
    if (!Order->empty())
      armDeadline(Order->front()->Since + limitOf(*Order));
  }
}

void server::impl::logLimit(const std::string_view Event) {
  const auto Dropped = LogRate.admit(boot_clock::now());
  if (!Dropped)
    return;
  Log.warning(Event, {{"listener", Options.Name},
                      {"connections", Connections.size()},
                      {"buffered_bytes", Memory->buffered()},
                      {"large_request_bytes", Memory->large()},
                      {"closed_for_room", Counters.ClosedForRoom},
                      {"closed_for_memory", Counters.ClosedForMemory},
                      {"large_delayed", Counters.LargeDelayed},
                      {"refused", Counters.Refused},
                      {"invalid", Counters.Invalid},
                      {"lines_dropped", *Dropped}});
}

} // namespace galenalink::http
