#ifndef GALENALINK_TEST_STANDIN_CALLERS_HPP
#define GALENALINK_TEST_STANDIN_CALLERS_HPP

#include "galenalink/http/client.hpp"
#include "galenalink/http/loop.hpp"
#include "standin/run_check.hpp"
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace galenalink::standin {

/** @brief Requests of one queue, sent at a steady rate. */
struct traffic {
  std::string Customer;
  std::string Service;
  std::string Queue;
  std::uint32_t RunMs{0};
  double PerSecond{0};
  bool Idempotent{false};
};

/**
 * @brief Callers that send requests to changing nodes and repeat each with the
 * same key, at another node, until it has a complete answer.
 */
class callers {
public:
  callers(http::loop &Loop, std::vector<http::address> Nodes,
          std::vector<traffic> Traffic);

  /** @brief Starts to send. */
  void start();
  /** @brief Sends no new requests; those in progress go on. */
  void stop();
  [[nodiscard]] bool idle() const noexcept { return Open == 0; }
  [[nodiscard]] std::string progress() const;
  [[nodiscard]] std::vector<sent_request> records() const;

private:
  struct request {
    sent_request Record;
    const traffic *Traffic{nullptr};
    /** Accepted long work is followed by `GET`. */
    bool Accepted{false};
    /** An earlier try may have started the work. */
    bool Unclear{false};
    std::size_t Node{0};
    http::timer Retry;
  };

  void tick();
  void add(const traffic &Traffic);
  void attempt(std::size_t Index);
  void repeat(std::size_t Index, duration Wait);
  void take(std::size_t Index, const http::answer &Answer);
  void takeResponse(std::size_t Index, const http::response &Response);

  http::loop &Loop;
  std::vector<http::address> Nodes;
  std::vector<traffic> Traffic;
  std::vector<double> Due;
  time_point LastTick{};
  std::mt19937_64 Random{1};
  std::deque<request> Requests;
  std::size_t Open{0};
  std::size_t Tries{0};
  std::size_t Broken{0};
  std::size_t Unknown{0};
  std::map<std::string, std::size_t> Refusals;
  http::timer Ticker;
  http::client Client;
};

/** @return A UUID version 7 (RFC 9562) of the present time. */
[[nodiscard]] std::string makeUuid7(std::mt19937_64 &Random);

} // namespace galenalink::standin

#endif
