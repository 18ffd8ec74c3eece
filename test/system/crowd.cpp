#include "system/crowd.hpp"
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace galenalink::system_test {

namespace {

constexpr duration StepInterval = std::chrono::milliseconds{1};
constexpr std::size_t ConnectsPerStep = 10;
constexpr int SocketBufferBytes = 16 << 10;
/** Descriptors for the largest crowd and the test itself. */
constexpr rlim_t MinDescriptors = 4096;

void raiseDescriptorLimit() {
  rlimit Limit{};
  getrlimit(RLIMIT_NOFILE, &Limit);
  if (Limit.rlim_cur >= MinDescriptors)
    return;
  Limit.rlim_cur = std::min(MinDescriptors, Limit.rlim_max);
  setrlimit(RLIMIT_NOFILE, &Limit);
}

int connectTo(const http::address &Address, const int BufferBytes) {
  const int Socket =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    throw std::runtime_error{"no socket"};
  if (BufferBytes > 0) {
    setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &BufferBytes,
               sizeof(BufferBytes));
    setsockopt(Socket, SOL_SOCKET, SO_SNDBUF, &BufferBytes,
               sizeof(BufferBytes));
  }
  sockaddr_in To{};
  To.sin_family = AF_INET;
  To.sin_port = htons(Address.Port);
  inet_pton(AF_INET, Address.Host.c_str(), &To.sin_addr);
  if (connect(Socket, reinterpret_cast<sockaddr *>(&To), sizeof(To)) != 0 &&
      errno != EINPROGRESS) {
    close(Socket);
    throw std::runtime_error{"cannot connect"};
  }
  return Socket;
}

/** @return Whether the last call on a socket may succeed later. */
bool blocked() { return errno == EAGAIN || errno == ENOTCONN; }

/** @brief The bytes that follow the first `Sent` ones of a connection. */
std::string_view remaining(const std::string_view Head,
                           const std::string_view Repeated,
                           const std::size_t Sent) {
  if (Sent < Head.size())
    return Head.substr(Sent);
  if (Repeated.empty())
    return {};
  return Repeated.substr((Sent - Head.size()) % Repeated.size());
}

} // namespace

crowd::crowd(http::loop &Loop, const http::address &Address,
             const std::size_t Count)
    : Loop{Loop} {
  raiseDescriptorLimit();
  const auto Step = Loop.every(StepInterval, [&] {
    for (std::size_t I = 0; I < ConnectsPerStep; ++I) {
      if (Connections.size() < Count)
        Connections.push_back({connectTo(Address, SocketBufferBytes), {}, 0});
    }
  });
  static_cast<void>(Loop.runUntil([&] { return Connections.size() == Count; },
                                  boot_clock::now() + MaxTime));
}

crowd::~crowd() {
  for (const auto &Each : Connections) {
    if (Each.Socket >= 0)
      close(Each.Socket);
  }
}

std::size_t crowd::sendSome(connection &Connection,
                            const crowd_traffic &Traffic) {
  std::size_t Budget =
      std::min(Traffic.BytesPerStep,
               Traffic.MaxBytesPerConnection -
                   std::min(Traffic.MaxBytesPerConnection, Connection.Sent));
  std::size_t Total = 0;
  while (Budget > 0 && Connection.Socket >= 0) {
    const auto Text =
        remaining(Connection.Head, Traffic.Repeated, Connection.Sent)
            .substr(0, Budget);
    if (Text.empty())
      break;
    const ssize_t Sent = ::send(Connection.Socket, Text.data(), Text.size(),
                                MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Sent < 0 && !blocked()) {
      close(Connection.Socket);
      Connection.Socket = -1;
    }
    if (Sent < 0)
      break;
    Connection.Sent += static_cast<std::size_t>(Sent);
    Total += static_cast<std::size_t>(Sent);
    Budget -= static_cast<std::size_t>(Sent);
  }
  return Total;
}

std::size_t crowd::send(const crowd_traffic &Traffic) {
  for (std::size_t I = 0; I < Connections.size(); ++I)
    Connections[I].Head = Traffic.HeadOf ? Traffic.HeadOf(I) : Traffic.Head;
  std::size_t Total = 0;
  const time_point End = boot_clock::now() + MaxTime;
  time_point LastProgress = boot_clock::now();
  const auto Step = Loop.every(Traffic.StepInterval, [&] {
    std::size_t Sent = 0;
    for (auto &Each : Connections)
      Sent += sendSome(Each, Traffic);
    Total += Sent;
    if (Sent > 0)
      LastProgress = boot_clock::now();
  });
  static_cast<void>(Loop.runUntil(
      [&] { return boot_clock::now() >= LastProgress + StallTime; }, End));
  return Total;
}

/** @brief One connection that sends a request and reads what comes. */
class single_connection {
public:
  single_connection(const http::address &Address, std::string Request)
      : Socket{connectTo(Address, 0)}, Request{std::move(Request)},
        Unsent{this->Request} {}
  ~single_connection() { close(Socket); }
  single_connection(const single_connection &) = delete;
  single_connection &operator=(const single_connection &) = delete;

  void step() {
    const ssize_t Written = ::send(Socket, Unsent.data(), Unsent.size(),
                                   MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Written > 0)
      Unsent.remove_prefix(static_cast<std::size_t>(Written));
    std::array<char, 4096> Buffer;
    const ssize_t Read =
        recv(Socket, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
    if (Read > 0)
      Response.append(Buffer.data(), static_cast<std::size_t>(Read));
    Closed = Closed || Read == 0 || (Read < 0 && !blocked());
  }
  [[nodiscard]] bool closed() const noexcept { return Closed; }
  [[nodiscard]] const std::string &response() const noexcept {
    return Response;
  }
  /** @return Status of the response; 0 before it has arrived. */
  [[nodiscard]] int status() const {
    constexpr std::size_t StatusOffset = 9; // after "HTTP/1.1 "
    constexpr std::size_t StatusDigits = 3;
    return Response.size() < StatusOffset + StatusDigits
               ? 0
               : std::atoi(Response.c_str() + StatusOffset);
  }

private:
  int Socket;
  std::string Request;
  std::string_view Unsent;
  std::string Response;
  bool Closed{false};
};

repeating_clients::repeating_clients(http::loop &Loop, http::address Address,
                                     const std::size_t Count,
                                     std::function<std::string()> NextRequest)
    : Loop{Loop}, Address{std::move(Address)}, NextRequest{std::move(
                                                   NextRequest)},
      Connections(Count), Timer{Loop.every(StepInterval, [this] { step(); })} {
  raiseDescriptorLimit();
}

repeating_clients::~repeating_clients() = default;

void repeating_clients::step() {
  std::size_t Opened = 0;
  for (auto &Each : Connections) {
    if (!Each && Opened++ < ConnectsPerStep)
      Each = std::make_unique<single_connection>(Address, NextRequest());
    if (!Each)
      continue;
    Each->step();
    if (!Each->closed())
      continue;
    ++Ended[Each->status()];
    Each.reset();
  }
}

bool repeating_clients::awaitEnded(const std::size_t Count,
                                   const duration Limit) {
  return Loop.runUntil(
      [&] {
        std::size_t Sum = 0;
        for (const auto &[Status, Each] : Ended)
          Sum += Each;
        return Sum >= Count;
      },
      boot_clock::now() + Limit);
}

namespace {

void runUntilClosed(http::loop &Loop, single_connection &Connection,
                    const duration Limit) {
  const auto Step = Loop.every(StepInterval, [&] { Connection.step(); });
  static_cast<void>(Loop.runUntil([&] { return Connection.closed(); },
                                  boot_clock::now() + Limit));
}

} // namespace

connection_result sendUntilClosed(http::loop &Loop,
                                  const http::address &Address,
                                  const std::string &Request,
                                  const duration Limit) {
  single_connection Connection{Address, Request};
  runUntilClosed(Loop, Connection, Limit);
  return {Connection.status(), Connection.closed()};
}

std::string responseTo(http::loop &Loop, const http::address &Address,
                       const std::string &Request, const duration Limit) {
  single_connection Connection{Address, Request};
  runUntilClosed(Loop, Connection, Limit);
  return Connection.response();
}

int statusOf(http::loop &Loop, const http::address &Address,
             const std::string &Request, const duration Limit) {
  single_connection Connection{Address, Request};
  const auto Step = Loop.every(StepInterval, [&] { Connection.step(); });
  static_cast<void>(Loop.runUntil(
      [&] { return Connection.closed() || Connection.status() != 0; },
      boot_clock::now() + Limit));
  return Connection.status();
}

std::size_t peakMemoryMb(const pid_t Process) {
  std::ifstream Status{"/proc/" + std::to_string(Process) + "/status"};
  std::string Line;
  while (std::getline(Status, Line)) {
    if (Line.starts_with("VmHWM:"))
      return std::stoul(Line.substr(6)) / 1024;
  }
  return 0;
}

duration processorTime(const pid_t Process) {
  std::ifstream Stat{"/proc/" + std::to_string(Process) + "/stat"};
  std::string Text;
  std::getline(Stat, Text);
  // The name in brackets may contain spaces; user and system time are the 12th
  // and 13th field after it.
  constexpr int FieldsBefore = 11;
  std::istringstream Fields{
      Text.substr(std::min(Text.rfind(')'), Text.size()))};
  std::string Skipped;
  for (int I = 0; I <= FieldsBefore; ++I)
    Fields >> Skipped;
  std::int64_t User = 0;
  std::int64_t System = 0;
  Fields >> User >> System;
  return std::chrono::seconds{1} * (User + System) / sysconf(_SC_CLK_TCK);
}

std::size_t openDescriptors(const pid_t Process) {
  std::error_code Ended;
  const std::filesystem::directory_iterator Files{
      "/proc/" + std::to_string(Process) + "/fd", Ended};
  return static_cast<std::size_t>(std::distance(begin(Files), end(Files)));
}

} // namespace galenalink::system_test
