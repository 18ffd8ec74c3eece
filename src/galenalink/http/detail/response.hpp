#ifndef GALENALINK_HTTP_DETAIL_RESPONSE_HPP
#define GALENALINK_HTTP_DETAIL_RESPONSE_HPP

#include "galenalink/http/message.hpp"

struct evhttp_request;

namespace galenalink::http::detail {

/**
 * @brief Whether the body is as long as announced. evhttp takes a body
 * without a length as complete when the connection ends, however early.
 */
[[nodiscard]] bool isComplete(const response &Response) noexcept;

/** @brief Moves the response out of a finished request. */
[[nodiscard]] response toResponse(evhttp_request *Request);

} // namespace galenalink::http::detail

#endif
