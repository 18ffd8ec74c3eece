#include "system/callers.hpp"
#include <sstream>

namespace galenalink::system_test {

namespace {

using std::chrono::milliseconds;

constexpr const char *Service = "/v1/halloran/newsletters/";
/** The caller's own limit is above the one that it tells the node, so that the
 * node's answer about an unknown outcome arrives. */
constexpr milliseconds Timeout{3000};
constexpr milliseconds CallLimit{4500};
/** A request without any answer for this long counts as lost, and an unknown
 * outcome is no longer asked for. */
constexpr std::chrono::seconds GiveUp{15};
constexpr std::size_t MaxDetails = 10;

[[nodiscard]] std::string text(const http::response &Response,
                               const std::string_view Name) {
  return std::string{http::findHeader(Response.Headers, Name).value_or("")};
}

} // namespace

callers::callers(cluster &Cluster, const workload Work)
    : Cluster{Cluster}, Work{Work} {}

void callers::start() {
  Issuing = true;
  for (std::size_t Each = 0; Each < Work.InFlight; ++Each)
    next();
}

void callers::next() {
  if (!Issuing)
    return;
  const std::size_t Number = Asked.size();
  const bool Long = Work.LongEvery != 0 && Number % Work.LongEvery == 0;
  const bool Idempotent = !Work.OnlyNonIdempotent && Number % 2 == 0;
  issue(Long ? "archive" : (Idempotent ? "proof" : "mailing"),
        Long ? Work.LongRunMs : Work.RunMs);
}

const asked &callers::issue(const std::string &Queue,
                            const std::uint64_t RunMs) {
  asked Request;
  Request.Key = "key-" + std::to_string(Asked.size());
  Request.Queue = Queue;
  Request.Body = json{{"run_ms", RunMs}, {"k", Request.Key}}.dump();
  Request.Idempotent = Queue == "proof";
  Request.Since = boot_clock::now();
  Asked.push_back(std::move(Request));
  ++Open;
  send(Asked.back());
  return Asked.back();
}

const member_node *callers::pick() {
  const auto &Nodes = Cluster.Nodes;
  for (std::size_t Each = 0; Each < Nodes.size(); ++Each) {
    const auto &Node = Nodes[++Chosen % Nodes.size()];
    if (Node->InUse)
      return Node.get();
  }
  return nullptr;
}

void callers::send(asked &Request) {
  const auto *Node = pick();
  if (Node == nullptr) {
    again(Request, milliseconds{50});
    return;
  }
  ++Request.Tries;
  http::request Message;
  if (Request.Accepted) {
    Message.Path = std::string{Service} + "requests/" + Request.Key;
  } else {
    Message.Method = http::method::Post;
    Message.Path = Service + Request.Queue;
    Message.Body = Request.Body;
    Message.Headers = {{"Idempotency-Key", Request.Key}};
    if (Request.Queue != "archive")
      Message.Headers.push_back(
          {"Galenalink-Timeout-Ms", std::to_string(Timeout.count())});
  }
  Cluster.Client.send(Node->Callers, std::move(Message),
                      boot_clock::now() + CallLimit,
                      [this, &Request](const http::answer &Answer) {
                        answered(Request, Answer);
                      });
}

void callers::answered(asked &Request, const http::answer &Answer) {
  const auto *Response = std::get_if<http::response>(&Answer);
  if (Response == nullptr) {
    if (std::get<http::failure>(Answer).Delivery == http::delivery::Unknown)
      ++Broken;
    again(Request, milliseconds{20});
    return;
  }
  const std::string Outcome = text(*Response, "Galenalink-Outcome");
  const std::string Reason = text(*Response, "Galenalink-Reason");
  // A handle is asked for again when the node can't reach its home or does not
  // know it; such an answer is about the question, not about the work.
  const bool NotFound = Reason == "not-home" || Reason == "no-authority" ||
                        Reason == "stopping" || Reason == "no-such-queue";
  const bool NoAnswer = Outcome.empty() || (Request.Accepted && NotFound);
  if (NoAnswer) {
    again(Request, milliseconds{100});
    return;
  }
  if (Request.Outcome.empty() || Outcome != "accepted")
    Request.Outcome = Outcome;
  Request.Reason = Reason;
  Request.Answer = Response->Body;
  Request.Accepted = Request.Accepted || Outcome == "accepted";
  if (Outcome == "accepted" || Outcome == "unknown")
    again(Request, milliseconds{100});
  else
    end(Request);
}

void callers::again(asked &Request, const duration Pause) {
  if (Request.Since + GiveUp <= boot_clock::now()) {
    end(Request);
    return;
  }
  later(Pause, [this, &Request] { send(Request); });
}

void callers::end(asked &Request) {
  Request.Ended = true;
  --Open;
  ++Outcomes[Request.Outcome];
  if (Request.Outcome == "not-run")
    ++Reasons[Request.Reason];
  // A refused caller waits longer, as `Retry-After` asks of it.
  later(milliseconds{Request.Outcome == "complete" ? 10 : 100},
        [this] { next(); });
}

void callers::later(const duration Pause, std::function<void()> Function) {
  const auto Id = ++LastTimer;
  Timers[Id] = Cluster.Loop.at(boot_clock::now() + Pause,
                               [this, Id, Function = std::move(Function)] {
                                 const auto Timer = Timers.extract(Id);
                                 Function();
                               });
}

bool callers::finish(const duration Limit) {
  Issuing = false;
  return Cluster.await([&] { return Open == 0; }, Limit);
}

std::size_t callers::count(const std::string &Outcome) const {
  const auto Found = Outcomes.find(Outcome);
  return Found == Outcomes.end() ? 0 : Found->second;
}

bool callers::awaitMore(const std::size_t Number, const std::string &Outcome,
                        const duration Limit) {
  const auto Goal = count(Outcome) + Number;
  return Cluster.await([&] { return count(Outcome) >= Goal; }, Limit);
}

std::string callers::summary() const {
  std::ostringstream Text;
  Text << Asked.size() << " requests, " << Broken << " broken connections";
  for (const auto &[Outcome, Number] : Outcomes)
    Text << ", " << (Outcome.empty() ? "none" : Outcome) << ' ' << Number;
  for (const auto &[Reason, Number] : Reasons)
    Text << ", " << Reason << ' ' << Number;
  return Text.str();
}

std::vector<json> reports(cluster &Cluster) {
  std::vector<json> Reports;
  for (const auto &Vm : Cluster.Vms)
    Reports.push_back(Cluster.get(Vm.Address, "/runs"));
  return Reports;
}

verdict check(cluster &Cluster, const callers &Callers) {
  verdict Verdict;
  std::size_t Found = 0;
  const auto Note = [&](std::size_t &Count, const std::string &Text) {
    ++Count;
    if (++Found <= MaxDetails)
      Verdict.Details += Text + '\n';
  };
  const bool Idle = Cluster.await(
      [&] {
        for (const auto &Node : Cluster.Nodes) {
          if (!Node->alive())
            continue;
          const json Status = Cluster.get(Node->Operators, "/v1/status");
          if (!Status.is_object() || Status["running"] != 0 ||
              Status["waiting"] != 0)
            return false;
        }
        return true;
      },
      std::chrono::seconds{10});
  std::size_t NotIdle = 0;
  if (!Idle)
    Note(NotIdle, "a node still has work or gives no status");
  std::map<std::string, std::size_t> Runs;
  for (const json &Report : reports(Cluster)) {
    if (!Report.is_object()) {
      Note(NotIdle, "a backend server gives no report");
      continue;
    }
    for (const auto &[Key, Number] : Report["counts"].items())
      Runs[Key] += Number.get<std::size_t>();
    if (Report["max_running"] > 8)
      Note(Verdict.Overplaced, Report["vm"].get<std::string>() + " had " +
                                   Report["max_running"].dump() + " running");
  }
  for (const auto &Request : Callers.all()) {
    const std::size_t Ran = Runs[Request.Key];
    const auto About = Request.Key + " (" + Request.Queue + ", outcome '" +
                       Request.Outcome + "' " + Request.Reason + ", " +
                       std::to_string(Request.Tries) + " tries, " +
                       std::to_string(Ran) + " runs): ";
    if (!Request.Idempotent && Ran > 1)
      Note(Verdict.Doubled, About + "ran more than once");
    if (Request.Reason == "key-reused")
      Note(Verdict.KeyReused, About + "taken for another request");
    if (Request.Outcome == "complete" && Request.Answer != Request.Body)
      Note(Verdict.WrongBody, About + "got " + Request.Answer);
    if (Request.Outcome == "complete" && Ran == 0)
      Note(Verdict.CompleteWithoutRun, About + "is complete but did not run");
    if (Request.Outcome == "not-run" && Ran != 0)
      Note(Verdict.RanThoughNotRun, About + "ran");
    if (Request.Outcome.empty() || Request.Outcome == "accepted")
      Note(Verdict.Lost, About + "has no final answer");
  }
  return Verdict;
}

} // namespace galenalink::system_test
