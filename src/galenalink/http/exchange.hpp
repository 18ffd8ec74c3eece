#ifndef GALENALINK_HTTP_EXCHANGE_HPP
#define GALENALINK_HTTP_EXCHANGE_HPP

#include "galenalink/http/message.hpp"
#include <functional>
#include <memory>

namespace galenalink::http {

/**
 * @brief A received request and the one reply to it, which may come later.
 * One that is destroyed without a reply answers 500.
 */
class exchange {
public:
  struct state;

  explicit exchange(std::shared_ptr<state> State) noexcept;
  ~exchange();
  exchange(exchange &&) noexcept;
  exchange &operator=(exchange &&) noexcept;

  /** @brief The request; its path includes the query. */
  [[nodiscard]] const request &received() const noexcept;
  [[nodiscard]] http::method method() const noexcept;
  /** @return Path without the query, percent-encoded as received. */
  [[nodiscard]] std::string_view path() const noexcept;
  /** @return Decoded value of a query parameter. */
  [[nodiscard]] std::optional<std::string> query(std::string_view Name) const;
  [[nodiscard]] std::optional<std::string_view>
  header(std::string_view Name) const noexcept;
  [[nodiscard]] const std::string &body() const noexcept;
  /** @brief Takes the body, which is empty afterwards. */
  [[nodiscard]] shared_text takeBody() noexcept;

  /**
   * @brief Sets the function that is called once if the peer closes the
   * connection before the reply. A peer that sent more bytes after its request
   * is not watched.
   */
  void onPeerClosed(std::function<void()> Function);

  /** @brief Sends the reply; the first call counts, later ones do nothing. */
  void reply(int Status, const headers &Headers, std::string_view Body);

  /** @brief Closes the connection instead of a reply. */
  void abort();

private:
  std::shared_ptr<state> State;
};

} // namespace galenalink::http

#endif
