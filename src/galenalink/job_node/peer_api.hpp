#ifndef GALENALINK_JOB_NODE_PEER_API_HPP
#define GALENALINK_JOB_NODE_PEER_API_HPP

#include "galenalink/http/exchange.hpp"
#include "galenalink/job_node/caller_request.hpp"

namespace galenalink::job_node {

/**
 * @brief Calls between nodes: `POST`, `GET` and `DELETE` on
 * `/v1/jobs/QUEUE/ID`, `GET` on `/v1/queues/QUEUE`. A job and a reply are CBOR.
 */
[[nodiscard]] http::request toRequest(const caller_request &Request);
/** @return What a method asks of a job; nothing for one that asks nothing. */
[[nodiscard]] std::optional<request_kind> kindOf(http::method Method) noexcept;
/** @return Nothing if the request is no call. */
[[nodiscard]] std::optional<caller_request>
parseRequest(const http::exchange &Exchange);

[[nodiscard]] std::string toBody(const job::caller_reply &Reply);
/** @return Nothing if the text is no reply. */
[[nodiscard]] std::optional<job::caller_reply>
parseReply(std::string_view Body);

} // namespace galenalink::job_node

#endif
