#include "galenalink/node/caller_api.hpp"
#include "galenalink/node/path.hpp"
#include <algorithm>
#include <charconv>
#include <memory>
#include <vector>

namespace galenalink::node {

namespace {

constexpr std::size_t MaxKeyLength = 200;
/** Told to callers of a node that has just started. */
constexpr duration StartRetry = std::chrono::seconds{1};
constexpr duration LongestTimeout = std::chrono::hours{24};

/** @brief Keys stand in URLs, so they are restricted to unreserved
 * characters (RFC 3986, section 2.3). */
[[nodiscard]] bool isKey(const std::string_view Key) noexcept {
  return !Key.empty() && Key.size() <= MaxKeyLength &&
         std::all_of(Key.begin(), Key.end(), [](const char Character) {
           return (Character >= 'a' && Character <= 'z') ||
                  (Character >= 'A' && Character <= 'Z') ||
                  (Character >= '0' && Character <= '9') ||
                  std::string_view{"-._~"}.find(Character) !=
                      std::string_view::npos;
         });
}

[[nodiscard]] std::optional<duration>
parseTimeout(const std::string_view Text) noexcept {
  std::uint64_t Milliseconds = 0;
  const auto Parsed =
      std::from_chars(Text.data(), Text.data() + Text.size(), Milliseconds);
  const bool Whole =
      Parsed.ec == std::errc{} && Parsed.ptr == Text.data() + Text.size();
  if (!Whole || Milliseconds == 0 || Milliseconds > UINT32_MAX)
    return std::nullopt;
  return std::min<duration>(std::chrono::milliseconds{Milliseconds},
                            LongestTimeout);
}

/** @brief Whole seconds, rounded up, as `Retry-After` wants them. */
[[nodiscard]] std::int64_t secondsUp(const duration Time) noexcept {
  return std::max<std::int64_t>(
      1, std::chrono::ceil<std::chrono::seconds>(Time).count());
}

void send(http::exchange &Exchange, const call &Call, const reply &Reply) {
  http::headers Headers{
      {"Galenalink-Outcome", std::string{nameOf(OutcomeNames, Reply.Outcome)}}};
  if (Reply.Refusal != refusal::None)
    Headers.push_back({"Galenalink-Reason",
                       std::string{nameOf(RefusalNames, Reply.Refusal)}});
  if (!Reply.State.empty())
    Headers.push_back({"Galenalink-State", Reply.State});
  const int Status = statusOf(Reply);
  if (Status == 503) {
    Headers.push_back(
        {"Retry-After", std::to_string(secondsUp(Reply.RetryAfter))});
    Headers.push_back(
        {"Galenalink-Retry-After-Ms",
         std::to_string(
             std::chrono::ceil<std::chrono::milliseconds>(Reply.RetryAfter)
                 .count())});
  }
  if (Reply.Outcome == outcome::Accepted)
    Headers.push_back({"Location", "/v1/" + Call.Customer + '/' + Call.Service +
                                       "/requests/" + Call.Key});
  Headers.push_back({"Content-Type", "application/octet-stream"});
  shared_text Body = Reply.Body;
  if (Body.empty() && Reply.Outcome == outcome::NotRun)
    Body =
        "not run: " + std::string{nameOf(RefusalNames, Reply.Refusal)} + '\n';
  else if (Body.empty() && Reply.Outcome == outcome::Unknown)
    Body = "outcome unknown: the request may have run\n";
  Exchange.reply(Status, Headers, Body.str());
}

} // namespace

int statusOf(const reply &Reply) noexcept {
  switch (Reply.Outcome) {
  case outcome::Complete:
    return 200;
  case outcome::Accepted:
    return 202;
  case outcome::Failed:
    return 502;
  case outcome::Unknown:
    if (Reply.Refusal == refusal::None)
      return 504;
    return Reply.Refusal == refusal::NoSuchQueue ? 404 : 503;
  case outcome::NotRun:
    break;
  }
  switch (Reply.Refusal) {
  case refusal::BadRequest:
    return 400;
  case refusal::NoSuchQueue:
    return 404;
  case refusal::KeyReused:
  case refusal::Cancelled:
    return 409;
  case refusal::KeyExpired:
    return 410;
  default:
    return 503;
  }
}

void caller_api::health(http::exchange &Exchange) const {
  if (Hooks.Healthy())
    Exchange.reply(200, {{"Content-Type", "text/plain"}}, "ok\n");
  else
    Exchange.reply(503, {{"Content-Type", "text/plain"}}, "stopping\n");
}

void caller_api::start(http::exchange Exchange, call Call) const {
  if (!Hooks.Ready()) {
    send(Exchange, Call,
         {outcome::Unknown,
          refusal::NoAuthority,
          StartRetry,
          "this node has just started; try again\n",
          {}});
    return;
  }
  const auto Default = Hooks.DefaultTimeout(Call);
  if (!Default) {
    send(Exchange, Call, refuse(refusal::NoSuchQueue, {}));
    return;
  }
  const auto Asked = Exchange.header("Galenalink-Timeout-Ms");
  const auto Timeout = Asked ? parseTimeout(*Asked) : Default;
  if (!Timeout) {
    send(Exchange, Call,
         refuse(refusal::BadRequest, {},
                "Galenalink-Timeout-Ms must be a whole number of "
                "milliseconds above 0\n"));
    return;
  }
  Call.Deadline = boot_clock::now() + *Timeout;
  const auto Shared = std::make_shared<http::exchange>(std::move(Exchange));
  auto About = Call;
  About.Body = {};
  Hooks.Call(std::move(Call), [Shared, About](const reply &Reply) {
    send(*Shared, About, Reply);
  });
}

void caller_api::handle(http::exchange Exchange) const {
  const auto Parts = splitPath(Exchange.path());
  if (Exchange.method() == http::method::Get && Exchange.path() == "/health") {
    health(Exchange);
    return;
  }
  call Call;
  const bool Handle = Parts.size() == 5 && Parts[3] == "requests";
  const bool Submit =
      Parts.size() == 4 && Exchange.method() == http::method::Post;
  const bool Follow = Handle && (Exchange.method() == http::method::Get ||
                                 Exchange.method() == http::method::Delete);
  if (Parts[0] != "v1" || (!Submit && !Follow)) {
    Exchange.reply(404, {{"Content-Type", "text/plain"}},
                   "no such resource; see docs/api.md\n");
    return;
  }
  Call.Customer = Parts[1];
  Call.Service = Parts[2];
  if (Submit) {
    Call.Queue = Parts[3];
    Call.Key = Exchange.header("Idempotency-Key").value_or("");
    Call.Team = Exchange.header("Galenalink-Team").value_or("");
    Call.Body = Exchange.takeBody();
  } else {
    Call.Operation = Exchange.method() == http::method::Get ? operation::Query
                                                            : operation::Cancel;
    Call.Key = Parts[4];
  }
  if (!isKey(Call.Key)) {
    send(Exchange, Call,
         refuse(refusal::BadRequest, {},
                "Idempotency-Key must have 1 to 200 characters of A-Z, a-z, "
                "0-9 and -._~\n"));
    return;
  }
  start(std::move(Exchange), std::move(Call));
}

} // namespace galenalink::node
