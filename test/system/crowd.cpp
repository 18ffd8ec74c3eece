#include "system/crowd.hpp"
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <filesystem>
#include <fstream>
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

/** @brief The bytes that follow the first `Sent` ones of the traffic. */
std::string_view remaining(const crowd_traffic &Traffic,
                           const std::size_t Sent) {
  if (Sent < Traffic.Head.size())
    return std::string_view{Traffic.Head}.substr(Sent);
  if (Traffic.Repeated.empty())
    return {};
  const std::size_t Offset =
      (Sent - Traffic.Head.size()) % Traffic.Repeated.size();
  return std::string_view{Traffic.Repeated}.substr(Offset);
}

} // namespace

crowd::crowd(http::loop &Loop, const http::address &Address,
             const std::size_t Count)
    : Loop{Loop} {
  raiseDescriptorLimit();
  const auto Step = Loop.every(StepInterval, [&] {
    for (std::size_t I = 0; I < ConnectsPerStep; ++I) {
      if (Connections.size() < Count)
        Connections.push_back({connectTo(Address, SocketBufferBytes), 0});
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
    const auto Text = remaining(Traffic, Connection.Sent).substr(0, Budget);
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

int statusOf(http::loop &Loop, const http::address &Address,
             const std::string &Request, const duration Limit) {
  constexpr std::size_t StatusOffset = 9; // after "HTTP/1.1 "
  const int Socket = connectTo(Address, 0);
  std::size_t Sent = 0;
  std::string Response;
  bool Ended = false;
  const auto Step = Loop.every(StepInterval, [&] {
    const ssize_t Written =
        ::send(Socket, Request.data() + Sent, Request.size() - Sent,
               MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Written > 0)
      Sent += static_cast<std::size_t>(Written);
    std::array<char, 4096> Buffer;
    const ssize_t Read =
        recv(Socket, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
    if (Read > 0)
      Response.append(Buffer.data(), static_cast<std::size_t>(Read));
    Ended = Ended || Read == 0 || (Read < 0 && !blocked());
  });
  const auto Complete = [&] { return Response.size() >= StatusOffset + 3; };
  static_cast<void>(Loop.runUntil([&] { return Ended || Complete(); },
                                  boot_clock::now() + Limit));
  close(Socket);
  return Complete() ? std::atoi(Response.c_str() + StatusOffset) : 0;
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

std::size_t openDescriptors(const pid_t Process) {
  std::error_code Ended;
  const std::filesystem::directory_iterator Files{
      "/proc/" + std::to_string(Process) + "/fd", Ended};
  return static_cast<std::size_t>(std::distance(begin(Files), end(Files)));
}

} // namespace galenalink::system_test
