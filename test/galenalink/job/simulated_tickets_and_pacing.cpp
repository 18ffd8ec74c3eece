#include "simulated_platform.hpp"

namespace galenalink::test {

using namespace job;

void simulated_platform::connectTicketService() {
  Ports.RequestTickets = [this](const ticket_request &Order,
                                const auto &Callback) {
    ++TicketRequests;
    const auto &Rule = *Rules.Queues.front().Advice;
    const duration DecisionTime = std::chrono::milliseconds{
        Rule.DecisionMs + Rule.PerServerMs * Order.Servers.size()};
    schedule(DecisionTime, [this, Order, Callback, Validity = Rule.ValidityMs] {
      ticket_result Result;
      Result.Outcome = call_outcome::Done;
      for (const auto &Id : Order.Servers) {
        if (!IsAllowed(Order.Step, Id))
          continue;
        const std::string Ticket = "ticket-" + Order.Step.Job + "-" + Id;
        Tickets[Ticket] = Now + std::chrono::milliseconds{Validity};
        Result.Granted.push_back({Id, Ticket});
      }
      Callback(Result);
    });
  };
}

bool simulated_platform::isTicketValid(const start_order &Order) const {
  if (!Rules.Queues.front().Advice)
    return true;
  const auto Found = Tickets.find(Order.Ticket);
  return Found != Tickets.end() && Now < Found->second &&
         Order.Ticket.ends_with("-" + Order.Server.Id);
}

std::uint32_t simulated_platform::gaugeOf(const simulated_server &Server,
                                          const run_id &Run) const {
  const auto SpecOf = [&](const run_id &Id) {
    const auto *Entry = Leader->state().findJob(Id.Task.Job);
    return Entry == nullptr ? nullptr : Entry->Job.stepSpec(Id.Task);
  };
  const step_spec *Step = SpecOf(Run);
  if (Step == nullptr || Step->TargetMs == 0)
    return 0;
  double Ratio = 1.0 / 3;
  for (const auto &[Id, State] : Server.Running) {
    const step_spec *Other = SpecOf(Id);
    if (Other != nullptr && Other->BestEffort)
      Ratio += (ContendedTailRatio - Ratio) * State.Pace / 100;
  }
  return static_cast<std::uint32_t>(Ratio * Step->TargetMs);
}

} // namespace galenalink::test
