#ifndef GALENALINK_TEST_SYSTEM_CROWD_HPP
#define GALENALINK_TEST_SYSTEM_CROWD_HPP

#include "galenalink/http/address.hpp"
#include "galenalink/http/loop.hpp"
#include <cstddef>
#include <string>
#include <vector>

namespace galenalink::system_test {

/** @brief What each connection of a crowd sends. */
struct crowd_traffic {
  /** Sent once, first. */
  std::string Head;
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
    std::size_t Sent{0};
  };

  /** @return Bytes sent. */
  static std::size_t sendSome(connection &Connection,
                              const crowd_traffic &Traffic);

  http::loop &Loop;
  std::vector<connection> Connections;
};

/** @brief Sends a request on a new connection.
 * @return Status of the response; 0 if there is none within the limit. */
[[nodiscard]] int statusOf(http::loop &Loop, const http::address &Address,
                           const std::string &Request, duration Limit);

/** @return Peak of the process's resident memory so far, MB; 0 if it has
 * ended. */
[[nodiscard]] std::size_t peakMemoryMb(pid_t Process);
/** @return Number of open descriptors of the process. */
[[nodiscard]] std::size_t openDescriptors(pid_t Process);

} // namespace galenalink::system_test

#endif
