#include "galenalink/job_node/peer_api.hpp"
#include "galenalink/job/job_limits.hpp"
#include "galenalink/job/json_fields.hpp"
#include <algorithm>
#include <charconv>

namespace galenalink::job_node {

namespace {

constexpr std::string_view JobsPath = "/v1/jobs/";
constexpr std::string_view QueuesPath = "/v1/queues/";
/** Carries the time left until the caller stops waiting, ms. */
constexpr std::string_view DeadlineHeader = "Galenalink-Deadline-Ms";
/** Carries the version of the rules by which the queue was chosen. */
constexpr std::string_view RulesVersionHeader = "Galenalink-Rules-Version";
/** Carries the address at which the sending node serves other nodes. */
constexpr std::string_view PeerHeader = "Galenalink-Peer";
/** Carries the key that the caller sent. */
constexpr std::string_view KeyHeader = "Galenalink-Key";
/** Carries what the entry node decided on the key. */
constexpr std::string_view AccessHeader = "Galenalink-Access";
/** Carries the customer that the entry node found for the key. */
constexpr std::string_view CustomerHeader = "Galenalink-Customer";
/** Marks a submission whose body is sent only if the leader asks for it. */
constexpr std::string_view BodyHeader = "Galenalink-Body";
/** Used if the header is missing or not a number. */
constexpr std::int64_t DefaultCallerTimeoutMs = 3000;

http::method methodOf(const request_kind Kind) noexcept {
  switch (Kind) {
  case request_kind::Submit:
    return http::method::Post;
  case request_kind::Cancel:
    return http::method::Delete;
  case request_kind::Query:
  case request_kind::Pending:
    return http::method::Get;
  }
  return http::method::Get;
}

time_point requestDeadline(const http::exchange &Exchange) {
  const auto Text = Exchange.header(DeadlineHeader).value_or("");
  std::int64_t Ms = DefaultCallerTimeoutMs;
  std::from_chars(Text.data(), Text.data() + Text.size(), Ms);
  Ms = std::clamp<std::int64_t>(Ms, 0, job::limits::MaxCallerTimeoutMs);
  return boot_clock::now() + std::chrono::milliseconds{Ms};
}

/** @param Last The last enumerator; the first one is 0.
 * @throws job::field_error if the value names no enumerator. */
template <typename Enum>
Enum parseEnumerator(const nlohmann::json &Value, const Enum Last) {
  return static_cast<Enum>(job::boundedInteger<std::uint32_t>(
      Value, {0, static_cast<std::uint32_t>(Last)}));
}

/** @return 0 if the header is missing or not a number. */
std::uint64_t rulesVersion(const http::exchange &Exchange) {
  const auto Text = Exchange.header(RulesVersionHeader).value_or("");
  std::uint64_t Version = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Version);
  return Version;
}

std::string headerText(const http::exchange &Exchange,
                       const std::string_view Name) {
  return std::string{Exchange.header(Name).value_or("")};
}

/** @brief Adds what the leader needs to decide on the caller's key. */
void addAccess(const caller_request &Request, http::headers &Headers) {
  if (!Request.Key.empty())
    Headers.push_back(
        {std::string{KeyHeader}, http::encodeSegment(Request.Key)});
  if (!Request.Access.Customer.empty())
    Headers.push_back({std::string{CustomerHeader},
                       http::encodeSegment(Request.Access.Customer)});
  if (Request.Access.Verdict != job::access_verdict::Granted)
    Headers.push_back(
        {std::string{AccessHeader},
         std::string{nameOf(job::AccessVerdictNames, Request.Access.Verdict)}});
}

/** @brief Decodes what `addAccess` wrote. A verdict that is not known counts as
 * an unknown key. */
void parseAccess(const http::exchange &Exchange, caller_request &Out) {
  Out.Key = http::decodeSegment(headerText(Exchange, KeyHeader));
  Out.Access.Customer =
      http::decodeSegment(headerText(Exchange, CustomerHeader));
  if (Exchange.header(AccessHeader))
    Out.Access.Verdict = job::access_verdict::UnknownKey;
}

struct job_path {
  std::string Queue;
  std::string Job;
};

std::optional<job_path> parseJobPath(std::string_view Path) {
  if (!Path.starts_with(JobsPath))
    return std::nullopt;
  Path.remove_prefix(JobsPath.size());
  const auto Slash = Path.find('/');
  if (Slash == std::string_view::npos)
    return std::nullopt;
  return job_path{http::decodeSegment(Path.substr(0, Slash)),
                  http::decodeSegment(Path.substr(Slash + 1))};
}

} // namespace

std::optional<submission_head>
parseSubmissionHead(const http::exchange &Exchange) {
  const auto Target = parseJobPath(Exchange.path());
  if (!Target || kindOf(Exchange.method()) != request_kind::Submit)
    return std::nullopt;
  submission_head Head;
  Head.Request.Kind = request_kind::Submit;
  Head.Request.Queue = Target->Queue;
  Head.Request.Job = Target->Job;
  Head.Request.RulesVersion = rulesVersion(Exchange);
  Head.Request.Deadline = requestDeadline(Exchange);
  parseAccess(Exchange, Head.Request);
  Head.BodyWithheld = Exchange.header(BodyHeader).has_value();
  return Head;
}

http::request toRequest(const caller_request &Request,
                        const std::string &Peer) {
  http::request HttpRequest;
  if (!Peer.empty())
    HttpRequest.Headers.push_back({std::string{PeerHeader}, Peer});
  HttpRequest.Method = methodOf(Request.Kind);
  const std::string Queue = http::encodeSegment(Request.Queue);
  HttpRequest.Path = Request.Kind == request_kind::Pending
                         ? std::string{QueuesPath} + Queue
                         : std::string{JobsPath} + Queue + "/" +
                               http::encodeSegment(Request.Job);
  const auto Remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      Request.Deadline - boot_clock::now());
  HttpRequest.Headers.push_back(
      {std::string{DeadlineHeader}, std::to_string(Remaining.count())});
  HttpRequest.Headers.push_back(
      {std::string{RulesVersionHeader}, std::to_string(Request.RulesVersion)});
  addAccess(Request, HttpRequest.Headers);
  if (Request.BodyWithheld)
    HttpRequest.Headers.push_back({std::string{BodyHeader}, "withheld"});
  else if (Request.Kind == request_kind::Submit)
    HttpRequest.Body = toRecord(
        job::job{Request.Job, Request.Queue, "", Request.Spec, wall_ms{0}});
  return HttpRequest;
}

std::optional<request_kind> kindOf(const http::method Method) noexcept {
  switch (Method) {
  case http::method::Get:
    return request_kind::Query;
  case http::method::Delete:
    return request_kind::Cancel;
  case http::method::Post:
    return request_kind::Submit;
  case http::method::Put:
    break;
  }
  return std::nullopt;
}

std::optional<caller_request> parseRequest(const http::exchange &Exchange) {
  caller_request Request;
  Request.Deadline = requestDeadline(Exchange);
  Request.RulesVersion = rulesVersion(Exchange);
  parseAccess(Exchange, Request);
  const std::string_view Path = Exchange.path();
  if (Path.starts_with(QueuesPath)) {
    Request.Kind = request_kind::Pending;
    Request.Queue = http::decodeSegment(Path.substr(QueuesPath.size()));
    return Request;
  }
  const auto Target = parseJobPath(Path);
  if (!Target)
    return std::nullopt;
  Request.Queue = Target->Queue;
  Request.Job = Target->Job;
  const auto Kind = kindOf(Exchange.method());
  if (!Kind || !job::isValidJobId(Request.Job))
    return std::nullopt;
  Request.Kind = *Kind;
  if (Request.Kind != request_kind::Submit)
    return Request;
  const auto Job = job::parseJob(Request.Job, Exchange.body());
  if (!Job || !job::checkSpec(Job->spec()).empty())
    return std::nullopt;
  Request.Spec = Job->spec();
  return Request;
}

namespace {

nlohmann::json toJson(const forward_target &Leader) {
  return nlohmann::json::array({Leader.Epoch, Leader.Node, Leader.Address});
}

forward_target toLeader(const nlohmann::json &Fields) {
  return {job::boundedInteger<std::uint64_t>(Fields.at(0)), Fields.at(1),
          Fields.at(2)};
}

std::string toText(const nlohmann::json &Json) {
  const auto Bytes = nlohmann::json::to_cbor(Json);
  return {Bytes.begin(), Bytes.end()};
}

} // namespace

std::string toBody(const peer_reply &Reply) {
  const job::caller_reply &Caller = Reply.Reply;
  nlohmann::json Fields = nlohmann::json::array(
      {static_cast<std::uint32_t>(Caller.Verdict),
       static_cast<std::uint32_t>(Caller.State), Caller.Pending,
       Caller.RetryAfterMs, Caller.Reason, Reply.RulesVersion});
  if (Reply.Leader.Epoch != 0)
    Fields.push_back(toJson(Reply.Leader));
  return toText(Fields);
}

std::optional<peer_reply> parseReply(const std::string_view Body) {
  // Both are absent in replies of earlier versions.
  constexpr std::size_t RulesVersionField = 5;
  constexpr std::size_t LeaderField = 6;
  try {
    const auto Fields = job::parseCbor(Body);
    using verdict = job::caller_reply::verdict;
    peer_reply Reply;
    job::caller_reply &Caller = Reply.Reply;
    Caller.Verdict = parseEnumerator(Fields.at(0), verdict::Forbidden);
    Caller.State = parseEnumerator(Fields.at(1), job::job_state::Cancelled);
    Caller.Pending =
        job::boundedInteger<decltype(Caller.Pending)>(Fields.at(2));
    Caller.RetryAfterMs =
        job::boundedInteger<decltype(Caller.RetryAfterMs)>(Fields.at(3));
    Caller.Reason = Fields.at(4);
    if (Fields.size() > RulesVersionField)
      Reply.RulesVersion =
          job::boundedInteger<std::uint64_t>(Fields.at(RulesVersionField));
    if (Fields.size() > LeaderField)
      Reply.Leader = toLeader(Fields.at(LeaderField));
    return Reply;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

std::string toBody(const forward_target &Leader) {
  return toText(toJson(Leader));
}

std::optional<forward_target> parseLeader(const std::string_view Body) {
  try {
    forward_target Leader = toLeader(job::parseCbor(Body));
    if (Leader.Epoch == 0 || Leader.Address.empty())
      return std::nullopt;
    return Leader;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

std::string peerOf(const http::exchange &Exchange) {
  return headerText(Exchange, PeerHeader);
}

} // namespace galenalink::job_node
