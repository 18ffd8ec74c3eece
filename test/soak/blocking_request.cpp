#include "soak/blocking_request.hpp"

namespace galenalink::soak {

std::optional<http::response> sendAndWait(http::loop &Loop,
                                          http::client &Client,
                                          const http::address &Address,
                                          http::request Request,
                                          const duration Limit) {
  std::optional<http::answer> Received;
  const time_point Deadline = boot_clock::now() + Limit;
  auto Call =
      Client.send(Address, std::move(Request), Deadline,
                  [&](const http::answer &Answer) { Received = Answer; });
  if (!Loop.runUntil([&] { return Received.has_value(); }, Deadline)) {
    static_cast<void>(Call.cancel());
    return std::nullopt;
  }
  const auto *Response = std::get_if<http::response>(&*Received);
  return Response == nullptr ? std::nullopt : std::optional{*Response};
}

} // namespace galenalink::soak
