#ifndef GALENALINK_CLI_CONNECTION_HPP
#define GALENALINK_CLI_CONNECTION_HPP

#include "galenalink/core/result.hpp"
#include "galenalink/http/client.hpp"
#include "galenalink/http/loop.hpp"
#include <string>

namespace galenalink::cli {

/** @brief Answer of a node's operators' interface. */
struct reply {
  int Status{0};
  std::string Body;
};

/** @brief Calls the operators' interface of one node and waits. */
class connection {
public:
  connection(http::address Address, std::string Token);

  /** @return The answer; `Unavailable` if none came and nothing was sent,
   * `UnknownOutcome` if the request may have arrived. */
  [[nodiscard]] result<reply> get(const std::string &Path);
  [[nodiscard]] result<reply> post(const std::string &Path, std::string Body);

private:
  [[nodiscard]] result<reply> send(http::request Request);

  http::loop Loop;
  http::client Client;
  http::address Address;
  std::string Token;
};

} // namespace galenalink::cli

#endif
