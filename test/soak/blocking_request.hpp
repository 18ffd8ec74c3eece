#ifndef GALENALINK_TEST_SOAK_BLOCKING_REQUEST_HPP
#define GALENALINK_TEST_SOAK_BLOCKING_REQUEST_HPP

#include "galenalink/http/client.hpp"
#include "galenalink/http/loop.hpp"
#include <optional>

namespace galenalink::soak {

/** @brief Sends a request and handles events until it has ended.
 * @return The response; nothing if there is none within the limit. */
[[nodiscard]] std::optional<http::response>
sendAndWait(http::loop &Loop, http::client &Client,
            const http::address &Address, http::request Request,
            duration Limit);

} // namespace galenalink::soak

#endif
