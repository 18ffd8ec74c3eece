#ifndef GALENALINK_JOB_NODE_PEER_API_HPP
#define GALENALINK_JOB_NODE_PEER_API_HPP

#include "galenalink/http/exchange.hpp"
#include "galenalink/job_node/caller_request.hpp"
#include "galenalink/job_node/request_forwarder.hpp"

namespace galenalink::job_node {

/**
 * @brief Encodes a request to another node: `POST`, `GET` or `DELETE` on
 * `/v1/jobs/QUEUE/ID`, or `GET` on `/v1/queues/QUEUE`. Jobs and replies are
 * encoded as CBOR.
 * @param Peer Address at which the sending node serves other nodes.
 */
[[nodiscard]] http::request toRequest(const caller_request &Request,
                                      const std::string &Peer = {});
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

/** @brief Response of a node to a forwarded request. */
struct peer_reply {
  job::caller_reply Reply;
  /** Version of the rules by which the node decided; 0 for unknown. */
  std::uint64_t RulesVersion{0};
  /** With `NotLeading`: the leader that the node knows; epoch 0 for none. */
  forward_target Leader;
};

/** @return The reply as CBOR. */
[[nodiscard]] std::string toBody(const peer_reply &Reply);
/** @return Nothing if the body is not a valid reply. */
[[nodiscard]] std::optional<peer_reply> parseReply(std::string_view Body);

/** @brief Path at which a node responds whether it leads, and takes reports of
 * a newer leader. */
inline constexpr std::string_view LeaderPath = "/v1/leader";
/** @return A report of the leader as CBOR. */
[[nodiscard]] std::string toBody(const forward_target &Leader);
/** @return Nothing if the body is not a valid report. */
[[nodiscard]] std::optional<forward_target> parseLeader(std::string_view Body);

/** @return Address at which the node that sent the request serves other nodes;
 * empty for unknown. */
[[nodiscard]] std::string peerOf(const http::exchange &Exchange);

} // namespace galenalink::job_node

#endif
