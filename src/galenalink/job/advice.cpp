#include "galenalink/job/advice.hpp"
#include "galenalink/job/leader.hpp"
#include "galenalink/job/placement.hpp"
#include "galenalink/telemetry/log.hpp"
#include <algorithm>

namespace galenalink::job {

namespace {

constexpr telemetry::logger Log{"advice"};

/** Backend servers that are named in one call. The policy allows some of them
 * only, and each one costs time. */
constexpr std::size_t FewestNamed = 8;
constexpr std::size_t MostNamed = 30;
/** Named for each task that waits. */
constexpr std::size_t NamedPerTask = 2;
/** A ticket is not used in the last part of its time: the start must arrive
 * before it expires. */
constexpr duration TicketMargin = std::chrono::milliseconds{150};
/** Wait for an answer beside the time that the decision takes. */
constexpr duration AnswerMargin = std::chrono::milliseconds{700};
constexpr duration FailurePause = std::chrono::milliseconds{200};

duration decisionTime(const ticket_rule &Rule, const std::size_t Named) {
  return std::chrono::milliseconds{Rule.DecisionMs + Rule.PerServerMs * Named};
}

} // namespace

const advice_book::entry *advice_book::find(const task_id &Step,
                                            const registration &Server) const {
  const auto Entries = Steps.find(Step);
  if (Entries == Steps.end())
    return nullptr;
  const auto Found = Entries->second.find(Server.Id);
  const bool Known = Found != Entries->second.end() &&
                     Found->second.StartedAtMs == Server.StartedAtMs;
  return Known ? &Found->second : nullptr;
}

const std::string *advice_book::ticket(const task_id &Step,
                                       const registration &Server,
                                       const time_point Now) const {
  const entry *Entry = find(Step, Server);
  const bool Valid = Entry != nullptr && !Entry->Ticket.empty() &&
                     Now + TicketMargin < Entry->ValidUntil;
  return Valid ? &Entry->Ticket : nullptr;
}

bool advice_book::worthAsking(const task_id &Step, const registration &Server,
                              const time_point Now) const {
  const entry *Entry = find(Step, Server);
  if (Entry == nullptr)
    return true;
  return !Entry->Ticket.empty() && ticket(Step, Server, Now) == nullptr;
}

void advice_book::take(const task_id &Step,
                       const std::vector<registration> &Asked,
                       const std::vector<placement_ticket> &Granted,
                       const time_point ValidUntil) {
  auto &Entries = Steps[Step];
  for (const auto &Server : Asked) {
    const auto Row =
        std::ranges::find(Granted, Server.Id, &placement_ticket::Server);
    Entries[Server.Id] = {Row == Granted.end() ? std::string{} : Row->Ticket,
                          ValidUntil, Server.StartedAtMs};
  }
}

void advice_book::drop(const task_id &Step, const std::string &Server) {
  if (const auto Entries = Steps.find(Step); Entries != Steps.end())
    Entries->second.erase(Server);
}

void advice_book::forget(const std::string &Job) {
  const auto First = Steps.lower_bound(task_id{Job, 0, 0, 0});
  auto Last = First;
  while (Last != Steps.end() && Last->first.Job == Job)
    ++Last;
  Steps.erase(First, Last);
}

task_id stepOf(const task_id &Task) {
  return {Task.Job, Task.Occurrence, Task.Step, 0};
}

double adviceMs(const queue_rule *Rule) {
  if (Rule == nullptr || !Rule->Advice)
    return 0;
  return std::chrono::duration<double, std::milli>(
             decisionTime(*Rule->Advice, MostNamed))
      .count();
}

std::vector<server *> withTickets(const leader &Leader, const task_id &Step,
                                  const std::vector<server *> &Servers) {
  std::vector<server *> Allowed;
  for (server *Each : Servers) {
    if (Leader.Advice.ticket(Step, Each->Entry, Leader.Now()) != nullptr)
      Allowed.push_back(Each);
  }
  return Allowed;
}

void askAdvice(leader &Leader, const task_id &Step, const step_spec &Spec,
               const std::size_t Waiting,
               const std::vector<server *> &Servers) {
  const time_point Now = Leader.Now();
  if (Leader.TicketRequestPending || Now < Leader.NextTicketRequest)
    return;
  const job_entry *Entry = Leader.findJob(Step.Job);
  const queue_rule *Rule =
      Entry == nullptr ? nullptr : Leader.Rules.queue(Entry->Job.queue());
  if (Rule == nullptr || !Rule->Advice)
    return;
  placement_request Request;
  Request.Step = &Spec;
  Request.Task = Step;
  std::vector<const server *> Able;
  for (const server *Each : Servers) {
    if (canRun(*Each, Request) &&
        Leader.Advice.worthAsking(Step, Each->Entry, Now))
      Able.push_back(Each);
  }
  if (Able.empty())
    return;
  std::ranges::stable_sort(Able, std::ranges::greater{},
                           [](const server *Each) { return Each->free().Cpu; });
  const std::size_t Named = std::min(
      Able.size(), std::clamp(Waiting * NamedPerTask, FewestNamed, MostNamed));
  std::vector<registration> Asked;
  ticket_request Order;
  Order.Step = Step;
  for (std::size_t I = 0; I < Named; ++I) {
    Asked.push_back(Able[I]->Entry);
    Order.Servers.push_back(Able[I]->Entry.Id);
  }
  Order.AnswerBy = Now + 2 * decisionTime(*Rule->Advice, Named) + AnswerMargin;
  Leader.TicketRequestPending = true;
  Leader.Ports.RequestTickets(
      Order, Leader.guarded([&Leader, Step, Asked = std::move(Asked),
                             Validity = Rule->Advice->ValidityMs](
                                const ticket_result &Result) {
        Leader.TicketRequestPending = false;
        Leader.NeedsDispatch = true;
        Log.info("advice", {{"job", Step.Job},
                            {"step", Step.Step},
                            {"named", Asked.size()},
                            {"good", Result.Granted.size()},
                            {"outcome", std::string{nameOf(CallOutcomeNames,
                                                           Result.Outcome)}}});
        if (Result.Outcome != call_outcome::Done) {
          Leader.NextTicketRequest = Leader.Now() + FailurePause;
          return;
        }
        Leader.Advice.take(Step, Asked, Result.Granted,
                           Leader.Now() + std::chrono::milliseconds{Validity});
      }));
}

} // namespace galenalink::job
