#ifndef GALENALINK_NODE_OPERATOR_API_HPP
#define GALENALINK_NODE_OPERATOR_API_HPP

#include "galenalink/http/exchange.hpp"
#include "galenalink/node/incarnation.hpp"
#include <functional>
#include <string>
#include <vector>

namespace galenalink::node {

/** @brief The operators' HTTP interface, JSON in and out. */
class operator_api {
public:
  /**
   * @param Current The present incarnation.
   * @param Token Bearer token that every request must carry; empty accepts
   * all, which is meant for a loopback listener only.
   */
  operator_api(std::function<incarnation &()> Current,
               const environment &Environment, std::string Token);

  void handle(http::exchange Exchange) const;

private:
  using parts = std::vector<std::string_view>;

  [[nodiscard]] bool authorised(const http::exchange &Exchange) const;
  void get(http::exchange &Exchange, const parts &Path) const;
  void account(http::exchange &Exchange) const;
  void ask(http::exchange &Exchange, std::string_view Text) const;
  void post(http::exchange Exchange, const parts &Path) const;
  void publish(http::exchange Exchange) const;
  void change(http::exchange Exchange, const parts &Path) const;
  void append(http::exchange Exchange, wire::record Record) const;

  std::function<incarnation &()> Current;
  environment Environment;
  std::string Token;
};

} // namespace galenalink::node

#endif
