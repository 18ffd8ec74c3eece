#ifndef GALENALINK_JOB_NODE_PEER_API_HPP
#define GALENALINK_JOB_NODE_PEER_API_HPP

#include "galenalink/http/exchange.hpp"
#include "galenalink/job_node/caller_request.hpp"

namespace galenalink::job_node {

/**
 * @brief Encodes a request to another node: `POST`, `GET` or `DELETE` on
 * `/v1/jobs/QUEUE/ID`, or `GET` on `/v1/queues/QUEUE`. Jobs and replies are
 * encoded as CBOR.
 */
[[nodiscard]] http::request toRequest(const caller_request &Request);
/** @return Kind of a request on a job by its method; nothing if the method is
 * not supported. */
[[nodiscard]] std::optional<request_kind> kindOf(http::method Method) noexcept;
/** @brief A forwarded submission without its body. */
struct submission_head {
  /** Without `Spec`. */
  caller_request Request;
  bool BodyWithheld{false};
};

/** @return `nullopt` for other requests than submissions. */
[[nodiscard]] std::optional<submission_head>
parseSubmissionHead(const http::exchange &Exchange);
/** @return Nothing if path, method or body is invalid. */
[[nodiscard]] std::optional<caller_request>
parseRequest(const http::exchange &Exchange);

/** @return The reply as CBOR. */
[[nodiscard]] std::string toBody(const job::caller_reply &Reply);
/** @return Nothing if the body is not a valid reply. */
[[nodiscard]] std::optional<job::caller_reply>
parseReply(std::string_view Body);

} // namespace galenalink::job_node

#endif
