#include "soak/job_clients.hpp"
#include "galenalink/http/loop.hpp"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace galenalink::soak {

namespace {

using nlohmann::json;

constexpr duration Millisecond = std::chrono::milliseconds{1};
constexpr duration ClientTimeout = 3000 * Millisecond;
constexpr const char *DeadlineMs = "2800";
constexpr duration RetryDelay = 500 * Millisecond;
constexpr duration FirstQueryDelay = 1000 * Millisecond;
/** Ended jobs are queried again after this. */
constexpr duration LateQueryDelay = 4000 * Millisecond;
/** Submissions of one job; each goes to a random node. */
constexpr int MaxTries = 6;
constexpr std::uint64_t CancelPercent = 10;
/** One job in so many has times, up to `MaxTimes` of them that overlap. */
constexpr std::uint64_t JobsPerRepeatedJob = 8;
constexpr std::uint64_t MaxTimes = 4;
constexpr std::uint64_t RepeatIntervalMs = 200;
/** Task duration of jobs that are cancelled, longer than the time to the
 * cancel, so that there is something to stop. */
constexpr std::uint64_t CancelledTaskMs = 9000;

const http::response *responseOf(const http::answer &Answer) {
  return std::get_if<http::response>(&Answer);
}

int statusOf(const http::answer &Answer) {
  const auto *Response = responseOf(Answer);
  return Response == nullptr ? 0 : Response->Status;
}

std::int64_t wallNowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

json step(const std::uint64_t Count, const std::uint64_t Cpu) {
  return {{"count", Count}, {"cpu", Cpu}, {"memMb", 100}, {"estimateMs", 300}};
}

} // namespace

job_clients::job_clients(http::loop &Loop, const task_history &History,
                         const disruption_log &Disruptions, options Options)
    : Loop{Loop}, History{History}, Disruptions{Disruptions},
      Options{std::move(Options)}, Client{Loop, {}}, Random{
                                                         this->Options.Seed} {}

std::uint64_t job_clients::randomBelow(const std::uint64_t Below) {
  return std::uniform_int_distribution<std::uint64_t>{0, Below - 1}(Random);
}

void job_clients::submitNew() {
  const std::uint64_t Number = Random();
  char Id[17];
  std::snprintf(Id, sizeof(Id), "%016llx",
                static_cast<unsigned long long>(Number));
  client_job &Job = Jobs[Id];
  Job.Id = Id;
  Job.Queue = Options.Queues[randomBelow(Options.Queues.size())];
  Job.ToBeCancelled = randomBelow(100) < CancelPercent;
  json Steps = json::array();
  Steps.push_back(step(1 + randomBelow(3), 2000));
  if (randomBelow(2) == 0) {
    Steps.push_back(step(2, 1000));
    Steps.back()["dependsOn"] = {0};
  }
  for (const auto &Each : Steps)
    Job.TaskCount += Each.at("count").get<std::size_t>();
  const std::uint64_t TaskMs =
      Job.ToBeCancelled ? CancelledTaskMs : 100 + randomBelow(600);
  json Body{{"spec", std::to_string(TaskMs)}, {"steps", Steps}};
  if (!Job.ToBeCancelled && Number % JobsPerRepeatedJob == 0) {
    const std::uint64_t Times =
        2 + Number / JobsPerRepeatedJob % (MaxTimes - 1);
    Body["times"] = Times;
    Body["startAtMs"] = wallNowMs();
    Body["intervalMs"] = RepeatIntervalMs;
    Job.TaskCount *= Times;
  }
  Job.Body = Body.dump();
  submit(Job.Id);
}

void job_clients::send(const client_job &Job, const http::method Method,
                       http::client::callback Callback) {
  http::request Request;
  Request.Method = Method;
  Request.Path = "/" + Job.Queue + "/" + Job.Id;
  Request.Headers = {{"X-Deadline-Ms", DeadlineMs}};
  if (Method == http::method::Post)
    Request.Body = Job.Body;
  Client.send(Options.Nodes[randomBelow(Options.Nodes.size())],
              std::move(Request), boot_clock::now() + ClientTimeout,
              std::move(Callback));
}

void job_clients::submit(const std::string &Id) {
  client_job &Job = Jobs.at(Id);
  ++Job.Tries;
  send(Job, http::method::Post, [this, Id](const http::answer &Answer) {
    onSubmitted(Jobs.at(Id), Answer);
  });
}

void job_clients::onSubmitted(client_job &Job, const http::answer &Answer) {
  const int Status = statusOf(Answer);
  if (Status == 404)
    report(Job, "submission answered 404 though its queue exists");
  if (Status == 200) {
    Job.Outcome = client_job::outcome::Accepted;
    Job.AcceptedAt = boot_clock::now();
    schedule(FirstQueryDelay, [this, Id = Job.Id] { query(Id); });
    if (Job.ToBeCancelled)
      schedule(randomBelow(1500) * Millisecond,
               [this, Id = Job.Id] { cancel(Id); });
    return;
  }
  const auto *Failure = std::get_if<http::failure>(&Answer);
  const bool NotSent =
      Failure != nullptr && Failure->Delivery == http::delivery::NotSent;
  Job.Unconfirmed =
      Job.Unconfirmed || (Status != 503 && Status != 429 && !NotSent);
  if (Job.Tries >= MaxTries) {
    Job.Outcome = Job.Unconfirmed ? client_job::outcome::Unknown
                                  : client_job::outcome::Refused;
    return;
  }
  schedule(RetryDelay, [this, Id = Job.Id] { submit(Id); });
}

void job_clients::cancel(const std::string &Id) {
  client_job &Job = Jobs.at(Id);
  Job.CancelSentAt = std::min(Job.CancelSentAt, boot_clock::now());
  send(Job, http::method::Delete, [this, Id](const http::answer &Answer) {
    const int Status = statusOf(Answer);
    if ((Status >= 200 && Status < 300) || Status == 410)
      Jobs.at(Id).CancelledAt = boot_clock::now();
    else
      schedule(RetryDelay, [this, Id] { cancel(Id); });
  });
}

void job_clients::query(const std::string &Id) {
  send(Jobs.at(Id), http::method::Get,
       [this, Id, SentAt = boot_clock::now()](const http::answer &Answer) {
         onQueried(Jobs.at(Id), Answer, SentAt);
       });
}

void job_clients::onQueried(client_job &Job, const http::answer &Answer,
                            const time_point SentAt) {
  const int Status = statusOf(Answer);
  if (Status == 200)
    checkState(Job, json::parse(responseOf(Answer)->Body).at("state"));
  else if (Status == 404)
    report(Job, "query answered 404 though its queue exists");
  else if (Status == 410 && SentAt > Job.AcceptedAt + bounds::Visible)
    report(Job, "accepted job answered 410");
  schedule(Job.FinalState.empty() ? RetryDelay : LateQueryDelay,
           [this, Id = Job.Id] { query(Id); });
}

void job_clients::checkState(client_job &Job, const std::string &State) {
  if (!Job.FinalState.empty()) {
    if (State != Job.FinalState)
      report(Job, "shown as " + State + " after " + Job.FinalState);
    return;
  }
  if (State == "queued" || State == "running")
    return;
  Job.FinalState = State;
  Job.FinalAt = boot_clock::now();
  if (State == "completed") {
    if (History.doneTasks(Job.Id) < Job.TaskCount)
      report(Job, "shown as completed before all its tasks were done");
  } else if (State == "failed") {
    if (History.mostFailures(Job.Id) < Options.MaxAttempts)
      report(Job, "shown as failed before a task reached its attempt limit");
  } else if (State != "cancelled" || Job.CancelSentAt > Job.FinalAt) {
    report(Job, "shown as " + State + " without a cause");
  }
}

void job_clients::schedule(const duration Delay, std::function<void()> Call) {
  std::erase_if(Timers,
                [](const http::timer &Each) { return !Each.pending(); });
  Timers.push_back(Loop.at(boot_clock::now() + Delay, std::move(Call)));
}

void job_clients::report(const client_job &Job, const std::string &What) {
  if (Reported.insert(Job.Id).second)
    Violations.push_back("job " + Job.Id + ": " + What +
                         History.describe(Job.Id));
}

std::string job_clients::randomPath() {
  const std::string From{"0123456789abcdef"[randomBelow(16)]};
  const auto Found = Jobs.lower_bound(From);
  if (Found == Jobs.end())
    return "/" + Options.Queues.front() + "/" + std::string(16, '0');
  return "/" + Found->second.Queue + "/" + Found->first;
}

bool job_clients::allSettled() const {
  return std::ranges::all_of(Jobs, [](const auto &Each) {
    const client_job &Job = Each.second;
    if (Job.Outcome != client_job::outcome::Accepted)
      return Job.Outcome != client_job::outcome::Open;
    return !Job.FinalState.empty() ||
           (Job.ToBeCancelled && Job.CancelledAt != time_point::max());
  });
}

std::size_t job_clients::count(const client_job::outcome Outcome) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      Jobs, [&](const auto &Each) { return Each.second.Outcome == Outcome; }));
}

std::size_t job_clients::countFinal(const std::string &State) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      Jobs, [&](const auto &Each) { return Each.second.FinalState == State; }));
}

void job_clients::checkAtEnd() {
  for (const auto &[Id, Job] : Jobs) {
    const auto Runs = History.runsOf(Id);
    if (Job.Outcome == client_job::outcome::Refused && !Runs.empty())
      report(Job, "refused, but a task of it was started");
    if (Job.Outcome == client_job::outcome::Accepted &&
        Job.FinalState.empty() && !Job.ToBeCancelled)
      report(Job, "accepted, but not ended in time");
    for (const auto &Run : Runs) {
      if (!Job.FinalState.empty() &&
          Run.StartedAt > Job.FinalAt + bounds::Cancel &&
          Disruptions.calm(Run.StartedAt, Run.StartedAt))
        report(Job,
               "task started after the job was shown as " + Job.FinalState);
    }
    if (Job.CancelSentAt != time_point::max())
      checkCancel(Job);
  }
}

void job_clients::checkCancel(const client_job &Job) {
  const time_point Now = boot_clock::now();
  const time_point AckDue = Disruptions.calmFor(Job.CancelSentAt, bounds::Ack);
  if (AckDue < std::min(Job.CancelledAt, Now))
    report(Job, "cancel not acknowledged within the bound in calm");
  const time_point CancelledAt = std::min(Job.CancelledAt, AckDue);
  if (CancelledAt == time_point::max())
    return;
  for (const auto &Run : History.runsOf(Job.Id)) {
    if (Run.StartedAt > CancelledAt + bounds::Cancel &&
        Disruptions.calm(Run.StartedAt, Run.StartedAt))
      report(Job, "task started after the job was cancelled");
    const time_point EndDue = Disruptions.calmFor(
        std::max(CancelledAt, Run.StartedAt), bounds::Cancel + bounds::Stop);
    if (EndDue < std::min(Run.EndedAt, Now))
      report(Job, "task ran on after the job was cancelled");
  }
}

} // namespace galenalink::soak
