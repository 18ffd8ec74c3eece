#include "galenalink/job/tickets.hpp"
#include "galenalink/job/leader.hpp"
#include "galenalink/job/placement.hpp"
#include "galenalink/telemetry/log.hpp"
#include <algorithm>

namespace galenalink::job {

namespace {

constexpr telemetry::logger Log{"advice"};

/** Bounds of the number of backend servers in one request, and the number for
 * each task that waits. The service allows only some of them, and each one adds
 * to its response time. */
constexpr std::size_t MinServersPerRequest = 8;
constexpr std::size_t MaxServersPerRequest = 30;
constexpr std::size_t ServersPerWaitingTask = 2;
/** Time allowed for the response beyond twice the decision time. */
constexpr duration ResponseMargin = std::chrono::milliseconds{700};
constexpr duration RetryDelay = std::chrono::milliseconds{200};

duration decisionTime(const ticket_rule &Rule, const std::size_t ServerCount) {
  return std::chrono::milliseconds{Rule.DecisionMs +
                                   Rule.PerServerMs * ServerCount};
}

} // namespace

const ticket_cache::entry *
ticket_cache::find(const task_id &Step, const registration &Server) const {
  const auto Entries = Steps.find(Step);
  if (Entries == Steps.end())
    return nullptr;
  const auto Found = Entries->second.find(Server.Id);
  const bool Known = Found != Entries->second.end() &&
                     Found->second.StartedAtMs == Server.StartedAtMs;
  return Known ? &Found->second : nullptr;
}

const std::string *ticket_cache::ticket(const task_id &Step,
                                        const registration &Server,
                                        const time_point Now) const {
  const entry *Entry = find(Step, Server);
  const bool Valid = Entry != nullptr && !Entry->Ticket.empty() &&
                     Now + TicketMargin < Entry->ValidUntil;
  return Valid ? &Entry->Ticket : nullptr;
}

bool ticket_cache::shouldRequest(const task_id &Step,
                                 const registration &Server,
                                 const time_point Now) const {
  const entry *Entry = find(Step, Server);
  if (Entry == nullptr)
    return true;
  return !Entry->Ticket.empty() && ticket(Step, Server, Now) == nullptr;
}

void ticket_cache::store(const task_id &Step,
                         const std::vector<registration> &Requested,
                         const std::vector<placement_ticket> &Granted,
                         const time_point ValidUntil) {
  auto &Entries = Steps[Step];
  for (const auto &Server : Requested) {
    const auto Row =
        std::ranges::find(Granted, Server.Id, &placement_ticket::Server);
    Entries[Server.Id] = {Row == Granted.end() ? std::string{} : Row->Ticket,
                          ValidUntil, Server.StartedAtMs};
  }
}

void ticket_cache::invalidate(const task_id &Step, const std::string &Server) {
  if (const auto Entries = Steps.find(Step); Entries != Steps.end())
    Entries->second.erase(Server);
}

void ticket_cache::eraseJob(const std::string &Job) {
  const auto First = Steps.lower_bound(task_id{Job, 0, 0, 0});
  auto Last = First;
  while (Last != Steps.end() && Last->first.Job == Job)
    ++Last;
  Steps.erase(First, Last);
}

task_id stepIdOf(const task_id &Task) {
  return {Task.Job, Task.Occurrence, Task.Step, 0};
}

double ticketLatencyMs(const job_rule *Rule) {
  if (Rule == nullptr || !Rule->Advice)
    return 0;
  return std::chrono::duration<double, std::milli>(
             decisionTime(*Rule->Advice, MaxServersPerRequest))
      .count();
}

std::vector<server *> serversWithTicket(const leader &Leader,
                                        const task_id &Step,
                                        const std::vector<server *> &Servers) {
  std::vector<server *> Allowed;
  for (server *Each : Servers) {
    if (Leader.Tickets.ticket(Step, Each->Entry, Leader.Now()) != nullptr)
      Allowed.push_back(Each);
  }
  return Allowed;
}

void requestTickets(leader &Leader, const task_id &Step, const step_spec &Spec,
                    const std::size_t Waiting,
                    const std::vector<server *> &Servers) {
  const time_point Now = Leader.Now();
  if (Leader.TicketRequestPending || Now < Leader.NextTicketRequest)
    return;
  const job_entry *Entry = Leader.findJob(Step.Job);
  const job_rule *Rule = Entry == nullptr ? nullptr : Entry->Job.rule();
  if (Rule == nullptr || !Rule->Advice)
    return;
  placement_request Request;
  Request.Step = &Spec;
  Request.Task = Step;
  std::vector<const server *> Candidates;
  for (const server *Each : Servers) {
    if (canRun(*Each, Request) &&
        Leader.Tickets.shouldRequest(Step, Each->Entry, Now))
      Candidates.push_back(Each);
  }
  if (Candidates.empty())
    return;
  std::ranges::stable_sort(Candidates, std::ranges::greater{},
                           [](const server *Each) { return Each->free().Cpu; });
  const std::size_t ServerCount =
      std::min(Candidates.size(),
               std::clamp(Waiting * ServersPerWaitingTask, MinServersPerRequest,
                          MaxServersPerRequest));
  std::vector<registration> Requested;
  ticket_request Order;
  Order.Step = Step;
  for (std::size_t I = 0; I < ServerCount; ++I) {
    Requested.push_back(Candidates[I]->Entry);
    Order.Servers.push_back(Candidates[I]->Entry.Id);
  }
  Order.ResponseDeadline =
      Now + 2 * decisionTime(*Rule->Advice, ServerCount) + ResponseMargin;
  Leader.TicketRequestPending = true;
  Leader.Ports.RequestTickets(
      Order, Leader.guarded([&Leader, Step, Requested = std::move(Requested),
                             Validity = Rule->Advice->ValidityMs](
                                const ticket_result &Result) {
        Leader.TicketRequestPending = false;
        requestDispatchOfAllPools(Leader);
        Log.info("advice", {{"job", Step.Job},
                            {"step", Step.Step},
                            {"named", Requested.size()},
                            {"good", Result.Granted.size()},
                            {"outcome", std::string{nameOf(CallOutcomeNames,
                                                           Result.Outcome)}}});
        if (Result.Outcome != call_outcome::Done) {
          Leader.NextTicketRequest = Leader.Now() + RetryDelay;
          return;
        }
        Leader.Tickets.store(Step, Requested, Result.Granted,
                             Leader.Now() +
                                 std::chrono::milliseconds{Validity});
      }));
}

} // namespace galenalink::job
