#ifndef GALENALINK_TEST_SYSTEM_CROWD_HPP
#define GALENALINK_TEST_SYSTEM_CROWD_HPP

#include "galenalink/http/address.hpp"
#include "galenalink/http/loop.hpp"
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace galenalink::system_test {

/** @brief What each connection of a crowd sends. */
struct crowd_traffic {
  /** Sent once, first. */
  std::string Head;
  /** Returns the head of one connection by its index, in place of `Head`. */
  std::function<std::string(std::size_t)> HeadOf{};
  /** Sent over and over after the head; may be empty. */
  std::string Repeated;
  /** Each connection sends no more than this. */
  std::size_t MaxBytesPerConnection{0};
  /** Bytes that a connection sends in each step, and their interval. */
  std::size_t BytesPerStep{std::size_t{256} << 10U};
  duration StepInterval{std::chrono::milliseconds{1}};
};

/** @brief Connections that send and never read. Their receive buffers are
 * small, so that a few responses fill them. */
class crowd {
public:
  /** @brief Connects step by step, so that the queue of new connections of the
   * far side does not overflow while it accepts. */
  crowd(http::loop &Loop, const http::address &Address, std::size_t Count);
  ~crowd();
  crowd(const crowd &) = delete;
  crowd &operator=(const crowd &) = delete;

  /**
   * @brief Sends until the connections have sent all or were closed, or until
   * the far side has accepted no byte for `StallTime`, or until `MaxTime`.
   * @return Bytes sent by all connections.
   */
  std::size_t send(const crowd_traffic &Traffic);

  static constexpr duration StallTime = std::chrono::milliseconds{1500};
  static constexpr duration MaxTime = std::chrono::seconds{12};

private:
  struct connection {
    int Socket{-1};
    std::string Head;
    std::size_t Sent{0};
  };

  /** @return Bytes sent. */
  static std::size_t sendSome(connection &Connection,
                              const crowd_traffic &Traffic);

  http::loop &Loop;
  std::vector<connection> Connections;
};

class single_connection;

/** @brief Clients that each send a request on a new connection, read until it
 * is closed, and begin again, until the object is destroyed. The event loop
 * runs them while the test does something else. */
class repeating_clients {
public:
  /** @param NextRequest Returns the next request to send. Its answer must end
   * the connection. */
  repeating_clients(http::loop &Loop, http::address Address, std::size_t Count,
                    std::function<std::string()> NextRequest);
  ~repeating_clients();
  repeating_clients(const repeating_clients &) = delete;
  repeating_clients &operator=(const repeating_clients &) = delete;

  /** @return Connections that have ended, by the status of their response; 0
   * for those without one. */
  [[nodiscard]] const std::map<int, std::size_t> &ended() const noexcept {
    return Ended;
  }
  /** @brief Runs the loop until so many connections have ended.
   * @return Whether they have within the limit. */
  [[nodiscard]] bool awaitEnded(std::size_t Count, duration Limit);

private:
  void step();

  http::loop &Loop;
  http::address Address;
  std::function<std::string()> NextRequest;
  std::vector<std::unique_ptr<single_connection>> Connections;
  std::map<int, std::size_t> Ended;
  http::timer Timer;
};

/** @brief What a client has seen of one connection. */
struct connection_result {
  /** Status of the first response; 0 without one. */
  int Status{0};
  /** The far side has closed the connection. */
  bool Closed{false};
};

/** @brief Sends a request on a new connection and reads until it is closed or
 * the limit has passed. */
[[nodiscard]] connection_result sendUntilClosed(http::loop &Loop,
                                                const http::address &Address,
                                                const std::string &Request,
                                                duration Limit);
/** @brief As `sendUntilClosed`. @return What the far side sent. */
[[nodiscard]] std::string responseTo(http::loop &Loop,
                                     const http::address &Address,
                                     const std::string &Request,
                                     duration Limit);
/** @brief Sends a request on a new connection.
 * @return Status of the response; 0 if there is none within the limit. */
[[nodiscard]] int statusOf(http::loop &Loop, const http::address &Address,
                           const std::string &Request, duration Limit);

/** @return Peak of the process's resident memory so far, MB; 0 if it has
 * ended. */
[[nodiscard]] std::size_t peakMemoryMb(pid_t Process);
/** @return Processor time of the process so far. */
[[nodiscard]] duration processorTime(pid_t Process);
/** @return Number of open descriptors of the process. */
[[nodiscard]] std::size_t openDescriptors(pid_t Process);

} // namespace galenalink::system_test

#endif
