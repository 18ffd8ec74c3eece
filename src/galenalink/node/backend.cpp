#include "galenalink/node/backend.hpp"
#include "galenalink/platform/base64.hpp"
#include <nlohmann/json.hpp>

namespace galenalink::node {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusTooMany = 429;
constexpr int StatusUnavailable = 503;

constexpr std::string_view AttemptHeader = "Galenalink-Attempt";
constexpr std::string_view NotRunHeader = "Galenalink-Not-Run";
constexpr std::string_view LeavingHeader = "Galenalink-Leaving";
constexpr std::string_view StaleHeader = "Galenalink-Stale-Epoch";

[[nodiscard]] bool isSet(const http::headers &Headers,
                         const std::string_view Name) {
  return http::findHeader(Headers, Name) == std::string_view{"1"};
}

[[nodiscard]] std::string textAt(const nlohmann::json &Object,
                                 const std::string_view Key) {
  const auto Found = Object.find(Key);
  return Found != Object.end() && Found->is_string() ? Found->get<std::string>()
                                                     : std::string{};
}

[[nodiscard]] std::optional<attempt_id> attemptAt(const nlohmann::json &Value) {
  if (!Value.is_string())
    return std::nullopt;
  return parseAttempt(Value.get_ref<const std::string &>());
}

} // namespace

run_result classify(const attempt_id Attempt, const http::answer &Answer) {
  if (const auto *Failure = std::get_if<http::failure>(&Answer)) {
    const bool NotSent = Failure->Delivery == http::delivery::NotSent;
    return {NotSent ? run_end::NotRun : run_end::Lost, Failure->Error.Message,
            false, false};
  }
  const auto &Response = std::get<http::response>(Answer);
  run_result Result;
  Result.Leaving = isSet(Response.Headers, LeavingHeader);
  Result.StaleEpoch = isSet(Response.Headers, StaleHeader);
  const auto Echo = http::findHeader(Response.Headers, AttemptHeader);
  if (!Echo || parseAttempt(*Echo) != Attempt) {
    Result.Body = "answer without this attempt's id";
    return Result;
  }
  Result.Body = Response.Body;
  const bool Refused =
      Response.Status == StatusTooMany || Response.Status == StatusUnavailable;
  if (Response.Status == StatusOk)
    Result.End = run_end::Answered;
  else if (Refused && isSet(Response.Headers, NotRunHeader))
    Result.End = run_end::NotRun;
  else
    Result.End = run_end::Failed;
  return Result;
}

std::optional<backend_status> parseStatus(const std::string &Body) {
  const auto Json = nlohmann::json::parse(Body, nullptr, false);
  if (!Json.is_object())
    return std::nullopt;
  backend_status Status;
  const auto Leaving = Json.find("leaving");
  Status.Leaving =
      Leaving != Json.end() && Leaving->is_boolean() && Leaving->get<bool>();
  const auto Running = Json.find("running");
  if (Running == Json.end() || !Running->is_array())
    return std::nullopt;
  for (const auto &Item : *Running) {
    if (const auto Attempt = attemptAt(Item))
      Status.Running.push_back(*Attempt);
  }
  const auto Recent = Json.find("recent");
  if (Recent == Json.end() || !Recent->is_array())
    return Status;
  for (const auto &Item : *Recent) {
    if (!Item.is_object() || !Item.contains("attempt"))
      continue;
    const auto Attempt = attemptAt(Item["attempt"]);
    // Only a stated outcome turns an unknown attempt into a result.
    const auto Outcome = textAt(Item, "outcome");
    // An entry without its data is not the whole answer.
    const auto Body = platform::decodeBase64(textAt(Item, "data"));
    if (Attempt && Body && Item.contains("data") &&
        (Outcome == "complete" || Outcome == "failed"))
      Status.Recent.push_back({*Attempt, Outcome == "failed", *Body});
  }
  return Status;
}

void backend::run(const http::address &Address, const run_order &Order,
                  const time_point WriteBy, const time_point Deadline,
                  std::function<void(run_result)> Done) {
  http::request Request;
  Request.Method = http::method::Post;
  Request.Path = "/run";
  Request.WriteBy = WriteBy;
  Request.Headers = {
      {std::string{AttemptHeader}, toString(Order.Attempt)},
      {"Galenalink-Pool", Order.Pool},
      {"Galenalink-Epoch", std::to_string(Order.Epoch)},
      {"Galenalink-Queue", Order.Queue},
      {"Idempotency-Key", Order.Key},
      {"Content-Type", "application/octet-stream"},
  };
  Request.Body = Order.Body;
  Client.send(Address, std::move(Request), Deadline,
              [Attempt = Order.Attempt,
               Done = std::move(Done)](const http::answer &Answer) {
                Done(classify(Attempt, Answer));
              });
}

void backend::stop(const http::address &Address, const attempt_id Attempt,
                   const time_point Deadline) {
  http::request Request;
  Request.Method = http::method::Post;
  Request.Path = "/cancel";
  Request.Headers = {{std::string{AttemptHeader}, toString(Attempt)}};
  Client.send(Address, std::move(Request), Deadline,
              [](const http::answer & /*Answer*/) {});
}

void backend::status(const http::address &Address, const time_point Deadline,
                     std::function<void(std::optional<backend_status>)> Done) {
  http::request Request;
  Request.Path = "/status";
  Client.send(Address, std::move(Request), Deadline,
              [Done = std::move(Done)](const http::answer &Answer) {
                const auto *Response = std::get_if<http::response>(&Answer);
                const bool Complete =
                    Response != nullptr && Response->Status == StatusOk;
                Done(Complete ? parseStatus(Response->Body) : std::nullopt);
              });
}

} // namespace galenalink::node
