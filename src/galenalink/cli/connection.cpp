#include "galenalink/cli/connection.hpp"

namespace galenalink::cli {

namespace {

/** Longer than a node waits for its own append. */
constexpr duration CallLimit = std::chrono::seconds{8};

} // namespace

connection::connection(http::address AddressIn, std::string TokenIn)
    : Client{Loop, {}}, Address{std::move(AddressIn)}, Token{std::move(
                                                           TokenIn)} {}

result<reply> connection::get(const std::string &Path) {
  http::request Request;
  Request.Path = Path;
  return send(std::move(Request));
}

result<reply> connection::post(const std::string &Path, std::string Body) {
  http::request Request;
  Request.Method = http::method::Post;
  Request.Path = Path;
  Request.Body = std::move(Body);
  Request.Headers.push_back({"Content-Type", "application/json"});
  return send(std::move(Request));
}

result<reply> connection::send(http::request Request) {
  if (!Token.empty())
    Request.Headers.push_back({"Authorization", "Bearer " + Token});
  std::optional<http::answer> Answer;
  const auto Deadline = boot_clock::now() + CallLimit;
  Client.send(Address, std::move(Request), Deadline,
              [&](http::answer Received) { Answer = std::move(Received); });
  static_cast<void>(Loop.runUntil([&] { return Answer.has_value(); },
                                  Deadline + std::chrono::seconds{1}));
  if (!Answer)
    return fail(errc::UnknownOutcome, "no answer from " + toString(Address));
  if (const auto *Failure = std::get_if<http::failure>(&*Answer))
    return fail(Failure->Delivery == http::delivery::NotSent
                    ? errc::Unavailable
                    : errc::UnknownOutcome,
                Failure->Error.Message);
  auto &Response = std::get<http::response>(*Answer);
  return reply{Response.Status, std::move(Response.Body)};
}

} // namespace galenalink::cli
