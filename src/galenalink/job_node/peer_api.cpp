#include "galenalink/job_node/peer_api.hpp"
#include <charconv>
#include <nlohmann/json.hpp>

namespace galenalink::job_node {

namespace {

constexpr std::string_view JobsPath = "/v1/jobs/";
constexpr std::string_view QueuesPath = "/v1/queues/";
/** Time that the caller still waits, ms. */
constexpr std::string_view DeadlineHeader = "Galenalink-Deadline-Ms";
constexpr std::int64_t DefaultDeadlineMs = 3000;

http::method methodOf(const call_kind Kind) noexcept {
  switch (Kind) {
  case call_kind::Submit:
    return http::method::Post;
  case call_kind::Cancel:
    return http::method::Delete;
  case call_kind::Query:
  case call_kind::Pending:
    return http::method::Get;
  }
  return http::method::Get;
}

time_point deadlineOf(const http::exchange &Exchange) {
  const auto Text = Exchange.header(DeadlineHeader).value_or("");
  std::int64_t Ms = DefaultDeadlineMs;
  std::from_chars(Text.data(), Text.data() + Text.size(), Ms);
  return boot_clock::now() + std::chrono::milliseconds{Ms};
}

} // namespace

http::request toRequest(const caller_call &Call) {
  http::request Request;
  Request.Method = methodOf(Call.Kind);
  const std::string Queue = http::encodeSegment(Call.Queue);
  Request.Path =
      Call.Kind == call_kind::Pending
          ? std::string{QueuesPath} + Queue
          : std::string{JobsPath} + Queue + "/" + http::encodeSegment(Call.Job);
  const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      Call.Deadline - boot_clock::now());
  Request.Headers.push_back(
      {std::string{DeadlineHeader}, std::to_string(Left.count())});
  if (Call.Kind == call_kind::Submit)
    Request.Body =
        toRecord(job::job{Call.Job, Call.Queue, "", Call.Spec, wall_ms{0}});
  return Request;
}

std::optional<call_kind> kindOf(const http::method Method) noexcept {
  switch (Method) {
  case http::method::Get:
    return call_kind::Query;
  case http::method::Delete:
    return call_kind::Cancel;
  case http::method::Post:
    return call_kind::Submit;
  case http::method::Put:
    break;
  }
  return std::nullopt;
}

std::optional<caller_call> parseCall(const http::exchange &Exchange) {
  caller_call Call;
  Call.Deadline = deadlineOf(Exchange);
  std::string_view Path = Exchange.path();
  if (Path.starts_with(QueuesPath)) {
    Call.Kind = call_kind::Pending;
    Call.Queue = http::decodeSegment(Path.substr(QueuesPath.size()));
    return Call;
  }
  if (!Path.starts_with(JobsPath))
    return std::nullopt;
  Path.remove_prefix(JobsPath.size());
  const auto Slash = Path.find('/');
  if (Slash == std::string_view::npos)
    return std::nullopt;
  Call.Queue = http::decodeSegment(Path.substr(0, Slash));
  Call.Job = http::decodeSegment(Path.substr(Slash + 1));
  const auto Kind = kindOf(Exchange.method());
  if (!Kind)
    return std::nullopt;
  Call.Kind = *Kind;
  if (Call.Kind != call_kind::Submit)
    return Call;
  const auto Job = job::parseJob(Call.Job, Exchange.body());
  if (!Job)
    return std::nullopt;
  Call.Spec = Job->spec();
  return Call;
}

std::string toBody(const job::caller_reply &Reply) {
  const auto Bytes = nlohmann::json::to_cbor(
      nlohmann::json::array({static_cast<std::uint32_t>(Reply.Verdict),
                             static_cast<std::uint32_t>(Reply.State),
                             Reply.Pending, Reply.RetryAfterMs, Reply.Reason}));
  return {Bytes.begin(), Bytes.end()};
}

std::optional<job::caller_reply> parseReply(const std::string_view Body) {
  try {
    const auto From = nlohmann::json::from_cbor(Body);
    job::caller_reply Reply;
    Reply.Verdict = static_cast<job::caller_reply::verdict>(
        From.at(0).get<std::uint32_t>());
    Reply.State = static_cast<job::job_state>(From.at(1).get<std::uint32_t>());
    Reply.Pending = From.at(2);
    Reply.RetryAfterMs = From.at(3);
    Reply.Reason = From.at(4);
    return Reply;
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
}

} // namespace galenalink::job_node
