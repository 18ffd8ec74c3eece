#ifndef GALENALINK_PLATFORM_HTTP_ADAPTER_HPP
#define GALENALINK_PLATFORM_HTTP_ADAPTER_HPP

#include "galenalink/core/time.hpp"
#include "galenalink/http/address.hpp"
#include "galenalink/http/fwd.hpp"
#include "galenalink/platform/adapter.hpp"

namespace galenalink::platform {

struct http_options {
  http::address Address;
  /** Limit of each request. */
  duration Timeout{std::chrono::seconds{2}};
};

/**
 * @brief The platform behind its HTTP interface.
 * @param Client Must outlive the use of the adapter; its bound for bodies
 * limits the size of a page.
 */
[[nodiscard]] adapter makeHttpAdapter(http::client &Client,
                                      http_options Options);

} // namespace galenalink::platform

#endif
