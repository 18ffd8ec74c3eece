#include "standin/callers.hpp"
#include <algorithm>
#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace galenalink::standin {

namespace {

constexpr duration TickPeriod = std::chrono::milliseconds{10};
constexpr duration FollowPeriod = std::chrono::milliseconds{200};
constexpr duration RetryWait = std::chrono::milliseconds{50};
constexpr duration LongestWait = std::chrono::seconds{1};
/** The deadline given to the node, and the longer one of the caller. */
constexpr std::int64_t TimeoutMs = 6000;
constexpr duration AnswerLimit = std::chrono::milliseconds{TimeoutMs + 1000};

[[nodiscard]] duration retryAfter(const http::response &Response) noexcept {
  const auto Text =
      http::findHeader(Response.Headers, "Galenalink-Retry-After-Ms")
          .value_or("");
  std::int64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return std::clamp<duration>(std::chrono::milliseconds{Value}, RetryWait,
                              LongestWait);
}

} // namespace

std::string makeUuid7(std::mt19937_64 &Random) {
  const auto Time = static_cast<std::uint64_t>(wallNow());
  const std::uint64_t High = Random();
  const std::uint64_t Low = Random();
  char Text[37];
  std::snprintf(
      Text, sizeof(Text), "%08llx-%04llx-7%03llx-%04llx-%012llx",
      static_cast<unsigned long long>((Time >> 16U) & 0xffffffffU),
      static_cast<unsigned long long>(Time & 0xffffU),
      static_cast<unsigned long long>(High & 0xfffU),
      static_cast<unsigned long long>(0x8000U | ((High >> 16U) & 0x3fffU)),
      static_cast<unsigned long long>(Low & 0xffffffffffffU));
  return Text;
}

callers::callers(http::loop &Loop, std::vector<http::address> NodesIn,
                 std::vector<traffic> TrafficIn)
    : Loop{Loop}, Nodes{std::move(NodesIn)}, Traffic{std::move(TrafficIn)},
      Due(Traffic.size(), 0.0), Client{Loop, {}} {}

void callers::start() {
  LastTick = boot_clock::now();
  Ticker = Loop.every(TickPeriod, [this] { tick(); });
}

void callers::stop() { Ticker.cancel(); }

void callers::tick() {
  const time_point Now = boot_clock::now();
  const double Seconds = std::chrono::duration<double>(Now - LastTick).count();
  LastTick = Now;
  for (std::size_t Each = 0; Each < Traffic.size(); ++Each) {
    Due[Each] += Traffic[Each].PerSecond * Seconds;
    for (; Due[Each] >= 1; Due[Each] -= 1)
      add(Traffic[Each]);
  }
}

void callers::add(const traffic &Kind) {
  request &Request = Requests.emplace_back();
  Request.Traffic = &Kind;
  Request.Record.Key = makeUuid7(Random);
  Request.Record.Idempotent = Kind.Idempotent;
  Request.Record.Body = nlohmann::json{
      {"key", Request.Record.Key},
      {"queue", Kind.Queue},
      {"run_ms",
       Kind.RunMs}}.dump();
  Request.Node = Random() % Nodes.size();
  ++Open;
  attempt(Requests.size() - 1);
}

void callers::attempt(const std::size_t Index) {
  request &Request = Requests[Index];
  const std::string Service =
      "/v1/" + Request.Traffic->Customer + '/' + Request.Traffic->Service + '/';
  http::request Message;
  if (Request.Accepted) {
    Message.Path = Service + "requests/" + Request.Record.Key;
  } else {
    Message.Method = http::method::Post;
    Message.Path = Service + Request.Traffic->Queue;
    Message.Headers = {{"Idempotency-Key", Request.Record.Key}};
    Message.Body = Request.Record.Body;
    ++Tries;
  }
  Message.Headers.push_back(
      {"Galenalink-Timeout-Ms", std::to_string(TimeoutMs)});
  Client.send(
      Nodes[Request.Node], std::move(Message), boot_clock::now() + AnswerLimit,
      [this, Index](const http::answer &Answer) { take(Index, Answer); });
}

void callers::repeat(const std::size_t Index, const duration Wait) {
  request &Request = Requests[Index];
  // A step from 1 to one less than the number of nodes reaches another node.
  if (Nodes.size() > 1)
    Request.Node =
        (Request.Node + 1 + Random() % (Nodes.size() - 1)) % Nodes.size();
  Request.Retry =
      Loop.at(boot_clock::now() + Wait, [this, Index] { attempt(Index); });
}

void callers::take(const std::size_t Index, const http::answer &Answer) {
  if (const auto *Response = std::get_if<http::response>(&Answer)) {
    takeResponse(Index, *Response);
    return;
  }
  request &Request = Requests[Index];
  if (std::get<http::failure>(Answer).Delivery == http::delivery::Unknown) {
    Request.Unclear = true;
    ++Broken;
  }
  repeat(Index, RetryWait);
}

void callers::takeResponse(const std::size_t Index,
                           const http::response &Response) {
  request &Request = Requests[Index];
  const auto Outcome =
      http::findHeader(Response.Headers, "Galenalink-Outcome").value_or("");
  if (Outcome == "complete") {
    Request.Record.Complete = true;
    Request.Record.Answer = Response.Body;
    --Open;
  } else if (Outcome == "accepted") {
    Request.Accepted = true;
    repeat(Index, FollowPeriod);
  } else if (Outcome == "not-run" && Response.Status == 503) {
    ++Refusals[std::string{
        http::findHeader(Response.Headers, "Galenalink-Reason").value_or("")}];
    if (!Request.Accepted && !Request.Unclear)
      Request.Record.NotRunAt = wallNow();
    repeat(Index, retryAfter(Response));
  } else if (Outcome == "unknown") {
    Request.Unclear = true;
    ++Unknown;
    repeat(Index, FollowPeriod);
  } else {
    std::printf("callers: %s got status %d, outcome '%.*s': %s\n",
                Request.Record.Key.c_str(), Response.Status,
                static_cast<int>(Outcome.size()), Outcome.data(),
                Response.Body.c_str());
    --Open;
  }
}

std::string callers::progress() const {
  std::string Text = std::to_string(Requests.size()) + " requests in " +
                     std::to_string(Tries) + " tries, " + std::to_string(Open) +
                     " in progress, " + std::to_string(Broken) +
                     " broken connections, " + std::to_string(Unknown) +
                     " unknown";
  for (const auto &[Reason, Count] : Refusals)
    Text += ", " + std::to_string(Count) + " refused (" + Reason + ')';
  return Text;
}

std::vector<sent_request> callers::records() const {
  std::vector<sent_request> Records;
  Records.reserve(Requests.size());
  for (const request &Request : Requests)
    Records.push_back(Request.Record);
  return Records;
}

} // namespace galenalink::standin
