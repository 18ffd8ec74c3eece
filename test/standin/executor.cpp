#include "standin/executor.hpp"
#include "galenalink/platform/base64.hpp"
#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace galenalink::standin {

namespace {

using nlohmann::json;

/** Finished runs kept for `/runs`; `/status` reports the last of them. */
constexpr std::size_t MaxFinished = 100000;
constexpr std::size_t MaxRecent = 256;

std::string textHeader(const http::exchange &Exchange, const char *Name) {
  return std::string{Exchange.header(Name).value_or("")};
}

std::uint64_t numberHeader(const http::exchange &Exchange, const char *Name) {
  const auto Text = Exchange.header(Name).value_or("");
  std::uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

/** @brief Takes one from a count of answers to spoil. */
bool take(std::int64_t &Count) noexcept {
  if (Count > 0)
    --Count;
  else if (Count == 0)
    return false;
  return true;
}

} // namespace

executor::executor(http::loop &Loop, std::string Vm, const std::size_t Slots)
    : Loop{Loop}, Vm{std::move(Vm)}, Slots{Slots},
      Server{Loop, {}, [this](http::exchange Exchange) {
               handle(std::move(Exchange));
             }} {}

result<std::uint16_t> executor::listen(const std::string &Host,
                                       const std::uint16_t Port) {
  return Server.listen(Host, Port);
}

void executor::setFaults(const executor_faults &Changed) {
  if (Changed.Leaving != Faults.Leaving)
    LeavingSinceMs = Changed.Leaving ? wallNow() : 0;
  Faults = Changed;
}

std::uint64_t executor::runs(const std::string &Key) const {
  const auto Found = Counts.find(Key);
  return Found == Counts.end() ? 0 : Found->second;
}

void executor::handle(http::exchange Exchange) {
  const auto Is = [&](const http::method Method, const char *Path) {
    return Exchange.method() == Method && Exchange.path() == Path;
  };
  const http::headers Json{{"Content-Type", "application/json"}};
  if (Is(http::method::Post, "/run"))
    start(std::move(Exchange));
  else if (Is(http::method::Get, "/status"))
    Exchange.reply(200, Json, status());
  else if (Is(http::method::Post, "/cancel"))
    cancel(Exchange);
  else if (Is(http::method::Get, "/runs"))
    Exchange.reply(200, Json, report());
  else if (Is(http::method::Post, "/fault"))
    fault(Exchange);
  else
    Exchange.reply(404, {}, {});
}

void executor::start(http::exchange Exchange) {
  run Run;
  Run.Attempt = textHeader(Exchange, "Galenalink-Attempt");
  Run.Key = textHeader(Exchange, "Idempotency-Key");
  Run.Queue = textHeader(Exchange, "Galenalink-Queue");
  Run.Epoch = numberHeader(Exchange, "Galenalink-Epoch");
  Run.Body = Exchange.body();
  auto RunMs = numberHeader(Exchange, "Standin-Run-Ms");
  const json Body = json::parse(Run.Body, nullptr, false);
  if (Body.is_object()) {
    if (const auto Ms = Body.find("run_ms");
        Ms != Body.end() && Ms->is_number_unsigned())
      RunMs = *Ms;
    if (const auto Key = Body.find("key");
        Run.Key.empty() && Key != Body.end() && Key->is_string())
      Run.Key = *Key;
  }
  const bool Stale = Run.Epoch < Epoch;
  const bool Full = Running.size() >= Slots;
  if (Faults.Refuse || Stale || Full) {
    ++Refused;
    http::headers Headers{{"Galenalink-Not-Run", "1"},
                          {"Galenalink-Attempt", Run.Attempt}};
    if (Stale)
      Headers.push_back({"Galenalink-Stale-Epoch", "1"});
    Exchange.reply(Full ? 429 : 503, Headers,
                   Stale ? "stale epoch" : "refused");
    return;
  }
  Epoch = Run.Epoch;
  Run.StartedMs = wallNow();
  ++Counts[Run.Key.empty() ? Run.Attempt : Run.Key];
  const std::uint64_t Id = NextId++;
  auto Timer =
      Loop.at(boot_clock::now() + std::chrono::milliseconds{RunMs},
              [this, Id] { end(Id, Faults.Fail ? "failed" : "complete"); });
  Running.emplace(
      Id, running{std::move(Run), std::move(Exchange), std::move(Timer)});
  MaxRunning = std::max(MaxRunning, Running.size());
}

void executor::end(const std::uint64_t Id, const std::string &Outcome) {
  auto Node = Running.extract(Id);
  auto Exchange =
      std::make_shared<http::exchange>(std::move(Node.mapped().Exchange));
  run Run = std::move(Node.mapped().Run);
  Run.Outcome = Outcome;
  Run.EndedMs = wallNow();
  Finished.push_back(Run);
  if (Finished.size() > MaxFinished)
    Finished.pop_front();
  if (Faults.LateMs == 0) {
    answer(*Exchange, Run);
    return;
  }
  LateAnswers[Id] =
      Loop.at(boot_clock::now() + std::chrono::milliseconds{Faults.LateMs},
              [this, Id, Exchange, Run = std::move(Run)] {
                const auto Timer = LateAnswers.extract(Id);
                answer(*Exchange, Run);
              });
}

void executor::answer(http::exchange &Exchange, const run &Run) {
  http::headers Headers{{"Galenalink-Attempt", Run.Attempt}};
  if (take(Faults.LoseAnswers)) {
    Exchange.abort();
    return;
  }
  if (take(Faults.TruncateAnswers)) {
    Headers.push_back({"Content-Length", std::to_string(Run.Body.size() + 1)});
    Headers.push_back({"Connection", "close"});
  }
  Exchange.reply(Run.Outcome == "complete" ? 200 : 500, Headers, Run.Body);
}

void executor::cancel(http::exchange &Exchange) {
  const std::string Attempt = textHeader(Exchange, "Galenalink-Attempt");
  const auto IsAttempt = [&](const auto &Each) {
    return Each.second.Run.Attempt == Attempt;
  };
  const char *State = "unknown";
  if (const auto Found = std::ranges::find_if(Running, IsAttempt);
      Found != Running.end()) {
    State = "cancelled";
    end(Found->first, "failed");
  } else if (std::ranges::find(Finished, Attempt, &run::Attempt) !=
             Finished.end()) {
    State = "finished";
  }
  Exchange.reply(200, {}, json{{"state", State}}.dump());
}

void executor::fault(http::exchange &Exchange) {
  const json Body = json::parse(Exchange.body(), nullptr, false);
  if (!Body.is_object()) {
    Exchange.reply(400, {}, "expected a JSON object");
    return;
  }
  try {
    executor_faults Changed = Faults;
    Changed.LoseAnswers = Body.value("lose_answers", Changed.LoseAnswers);
    Changed.TruncateAnswers =
        Body.value("truncate_answers", Changed.TruncateAnswers);
    Changed.LateMs = Body.value("late_ms", Changed.LateMs);
    Changed.Fail = Body.value("fail", Changed.Fail);
    Changed.Refuse = Body.value("refuse", Changed.Refuse);
    Changed.Leaving = Body.value("leaving", Changed.Leaving);
    setFaults(Changed);
    Exchange.reply(200, {}, "{}");
  } catch (const json::exception &Error) {
    Exchange.reply(400, {}, Error.what());
  }
}

std::string executor::status() const {
  json Attempts = json::array();
  for (const auto &[Id, Each] : Running)
    Attempts.push_back(Each.Run.Attempt);
  json Recent = json::array();
  const std::size_t Skipped =
      Finished.size() - std::min(Finished.size(), MaxRecent);
  for (std::size_t Each = Skipped; Each < Finished.size(); ++Each)
    Recent.push_back({{"attempt", Finished[Each].Attempt},
                      {"outcome", Finished[Each].Outcome},
                      {"data", platform::encodeBase64(Finished[Each].Body)}});
  return json{{"slots", Slots},
              {"running", Attempts},
              {"recent", Recent},
              {"leaving", Faults.Leaving}}
      .dump();
}

std::string executor::report() const {
  json Runs = json::array();
  const auto Add = [&](const run &Run) {
    Runs.push_back({{"key", Run.Key},
                    {"attempt", Run.Attempt},
                    {"queue", Run.Queue},
                    {"epoch", Run.Epoch},
                    {"started_ms", Run.StartedMs},
                    {"ended_ms", Run.EndedMs},
                    {"outcome", Run.Outcome}});
  };
  for (const run &Run : Finished)
    Add(Run);
  for (const auto &[Id, Each] : Running)
    Add(Each.Run);
  return json{{"vm", Vm},
              {"epoch", Epoch},
              {"leaving_since_ms", LeavingSinceMs},
              {"max_running", MaxRunning},
              {"refused", Refused},
              {"counts", Counts},
              {"runs", Runs}}
      .dump();
}

} // namespace galenalink::standin
