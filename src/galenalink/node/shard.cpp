#include "galenalink/node/shard.hpp"
#include "galenalink/core/assert.hpp"
#include <algorithm>

namespace galenalink::node {

namespace {

constexpr duration NoVmRetry = std::chrono::seconds{1};

[[nodiscard]] schedule::item_id
itemOf(const request::entry_handle Entry) noexcept {
  return schedule::item_id{(std::uint64_t{Entry.Generation} << 32U) |
                           Entry.Index};
}

[[nodiscard]] request::entry_handle
entryOf(const schedule::item_id Item) noexcept {
  const auto Value = static_cast<std::uint64_t>(Item);
  return {static_cast<std::uint32_t>(Value),
          static_cast<std::uint32_t>(Value >> 32U)};
}

} // namespace

shard::shard(shard_id Id, request::ledger Requests, shard_hooks Hooks)
    : Id{std::move(Id)}, Hooks{std::move(Hooks)}, Ledger{std::move(Requests)} {}

void shard::start(request::effects Effects, const time_point Now) {
  process(std::move(Effects), Now);
  pump(Now);
}

void shard::configure(
    const std::vector<shard_queue> &NewQueues,
    const std::vector<std::pair<std::string, config::team>> &NewTeams) {
  auto Removed = Queues;
  for (const auto &[Customer, Service, Queue] : NewQueues) {
    std::string Owner = Customer;
    Owner.append("/").append(Service);
    std::string Name = Owner;
    Name.append("/").append(Queue.Name);
    Queues[Name] =
        Scheduler.setQueue({Name, Owner, Queue.Idempotent,
                            std::chrono::milliseconds{Queue.ExpectedRunMs}});
    Removed.erase(Name);
    // Requests that name no team share one of the smallest quota.
    if (!Teams.contains(Owner + '/'))
      Teams[Owner + '/'] = Scheduler.setTeam({Owner + '/', Customer, 1});
  }
  for (const auto &[Name, Index] : Removed) {
    Scheduler.removeQueue(Index);
    Queues.erase(Name);
  }
  for (const auto &[Owner, Team] : NewTeams) {
    const std::string Name = Owner + '/' + Team.Name;
    const std::string Customer = Owner.substr(0, Owner.find('/'));
    Teams[Name] = Scheduler.setTeam({Name, Customer, Team.QuotaSlots});
  }
}

void shard::setVms(const std::vector<shard_vm> &NewVms) {
  auto Gone = Vms;
  for (const auto &[Name, Epoch, Placeable] : NewVms) {
    const auto Known = Vms.find(Name);
    const bool Same = Known != Vms.end() && Known->second.Epoch == Epoch &&
                      Known->second.Placeable == Placeable;
    Gone.erase(Name);
    if (Same)
      continue;
    vm_record Record{{}, Epoch, Placeable};
    Record.Index = Known != Vms.end() && !Placeable
                       ? Known->second.Index
                       : Scheduler.addVm(Name, Epoch);
    if (!Placeable)
      Scheduler.drainVm(Record.Index);
    const auto Slot = static_cast<std::size_t>(Record.Index);
    if (VmNames.size() <= Slot)
      VmNames.resize(Slot + 1);
    VmNames[Slot] = Name;
    Vms[Name] = Record;
  }
  for (const auto &[Name, Record] : Gone) {
    Scheduler.removeVm(Record.Index);
    Vms.erase(Name);
  }
}

void shard::drainVm(const std::string &Vm, const schedule::vm_state State) {
  const auto Known = Vms.find(Vm);
  if (Known == Vms.end() || !Known->second.Placeable)
    return;
  Scheduler.drainVm(Known->second.Index, State);
  Hooks.Decided(
      Vm, "No new work: " + std::string{nameOf(schedule::VmStateNames, State)} +
              '.');
}

void shard::submit(request::submission Submission, const request::instant At) {
  request::effects Effects;
  Ledger.submit(std::move(Submission), At, Effects);
  process(std::move(Effects), At.Now);
  pump(At.Now);
}

request::cancel_result shard::cancel(const request::request_key &Key,
                                     const request::waiter Waiter,
                                     const request::instant At) {
  request::effects Effects;
  const auto Result = Ledger.cancel(Key, Waiter, At, Effects);
  Hooks.Decided(Key.Key, "Cancel was asked for.");
  process(std::move(Effects), At.Now);
  pump(At.Now);
  return Result;
}

void shard::answered(const attempt_id Attempt, shared_text Result,
                     const time_point Now) {
  Scheduler.finished(Attempt, Now);
  request::effects Effects;
  Ledger.answered(Attempt, std::move(Result), Now, Effects);
  process(std::move(Effects), Now);
  pump(Now);
}

void shard::refusedByServer(const attempt_id Attempt, const time_point Now) {
  const auto End = Scheduler.refused(Attempt, Now);
  if (End.Disposition == schedule::attempt_disposition::NotRun ||
      End.Disposition == schedule::attempt_disposition::Failed)
    GivenUp = End.Item;
  request::effects Effects;
  Ledger.refusedByServer(Attempt, Effects);
  process(std::move(Effects), Now);
  GivenUp.reset();
  pump(Now);
}

void shard::failed(const attempt_id Attempt, shared_text Message,
                   const time_point Now) {
  const auto End = Scheduler.failed(Attempt, Now);
  if (End.Disposition == schedule::attempt_disposition::NeverRuns)
    Message = "failed on several VMs that run other work: " + Message.str();
  request::effects Effects;
  Ledger.failed(Attempt, std::move(Message),
                End.Disposition == schedule::attempt_disposition::Requeued, Now,
                Effects);
  process(std::move(Effects), Now);
  pump(Now);
}

void shard::lost(const attempt_id Attempt, const time_point Now) {
  const auto End = Scheduler.failed(Attempt, Now);
  request::effects Effects;
  Ledger.lost(Attempt,
              End.Disposition == schedule::attempt_disposition::Requeued, Now,
              Effects);
  process(std::move(Effects), Now);
  pump(Now);
}

void shard::reconcile(const std::string &Vm,
                      const std::vector<attempt_id> &Attempts,
                      const time_point Now) {
  const auto Known = Vms.find(Vm);
  if (Known == Vms.end())
    return;
  Scheduler.reconcileAttempts(Known->second.Index, Attempts, Now);
  pump(Now);
}

void shard::rosterChanged(const log_offset Version,
                          const std::vector<node_id> &Replicas) {
  const auto Now = boot_clock::now();
  request::effects Effects;
  Ledger.rosterChanged(Version, Replicas, Now, Effects);
  process(std::move(Effects), Now);
}

void shard::acknowledged(const request::replicate_reply &Reply) {
  const auto At = Hooks.Instant();
  request::effects Effects;
  Ledger.acknowledged(Reply, At, Effects);
  process(std::move(Effects), At.Now);
  pump(At.Now);
}

void shard::resend(const node_id Node) {
  const auto Now = boot_clock::now();
  request::effects Effects;
  Ledger.resend(Node, Now, Effects);
  process(std::move(Effects), Now);
}

std::vector<request::entry_record> shard::retire(const time_point Now) {
  request::effects Effects;
  auto Records = Ledger.retire(Now, Effects);
  process(std::move(Effects), Now);
  return Records;
}

void shard::tick(const time_point Now) {
  request::effects Effects;
  Ledger.tick(Hooks.Instant(), Effects);
  process(std::move(Effects), Now);
  std::vector<schedule::expired_item> Expired;
  Scheduler.expire(Now, Expired);
  for (const auto &Item : Expired) {
    Arrived.erase(Item.Item);
    request::effects Refused;
    Ledger.refuse(entryOf(Item.Item), refusal::DeadlineUnreachable, NoVmRetry,
                  Hooks.Instant(), Refused);
    process(std::move(Refused), Now);
  }
  pump(Now);
}

std::vector<queue_state> shard::queueStates() const {
  std::vector<queue_state> States;
  for (const auto &[Name, Index] : Queues)
    States.push_back({Name, Scheduler.queues().waiting(Index),
                      Scheduler.queues().classOf(Index),
                      Scheduler.medianRunTime(Index)});
  return States;
}

duration shard::backlog() const noexcept {
  return Scheduler.queues().backlog(schedule::work_class::Short) +
         Scheduler.queues().backlog(schedule::work_class::Long);
}

std::size_t shard::runningOn(const std::string &Vm) const {
  return static_cast<std::size_t>(
      std::count_if(Running.begin(), Running.end(),
                    [&](const auto &Entry) { return Entry.second == Vm; }));
}

void shard::process(request::effects Effects, const time_point Now) {
  // An effect may cause others; they are handled after the present ones, so
  // that the ledger is never entered while it is at work.
  std::move(Effects.begin(), Effects.end(), std::back_inserter(Following));
  if (Processing)
    return;
  Processing = true;
  while (!Following.empty()) {
    auto Batch = std::exchange(Following, {});
    for (auto &Effect : Batch)
      std::visit([&](auto &Value) { handle(Value, Now); }, Effect);
  }
  Processing = false;
}

void shard::handle(request::answer &Answer, const time_point /*Now*/) {
  Hooks.Answer(Answer);
}

void shard::handle(const request::enqueue &Enqueue, const time_point Now) {
  const auto Work = Ledger.find(Enqueue.Entry);
  if (!Work)
    return;
  const auto Item = itemOf(Enqueue.Entry);
  const auto Queue = Queues.find(std::string{Work->Queue});
  const auto Team = Teams.find(std::string{Work->Team});
  const auto At = Hooks.Instant();
  request::effects Effects;
  if (GivenUp == Item) {
    Ledger.refuse(Enqueue.Entry, refusal::NoCapacity, NoVmRetry, At, Effects);
  } else if (Queue == Queues.end() || Team == Teams.end()) {
    Ledger.refuse(Enqueue.Entry, refusal::NoSuchQueue, {}, At, Effects);
  } else {
    const auto Admission = Scheduler.enqueue(
        {Item, Queue->second, Team->second, Work->Deadline}, Now);
    if (!Arrived.contains(Item))
      Offered += Scheduler.medianRunTime(Queue->second);
    // The scheduler already holds an item that it queued again by itself.
    const bool Held = Admission.Reason == refusal::KeyReused;
    if (Admission.admitted()) {
      Arrived.try_emplace(Item, Now);
      Hooks.Decided(Work->Key->Key, "Queued on " + toString(Id) + " in " +
                                        std::string{Work->Queue} + '.');
    } else if (!Held) {
      Hooks.Decided(Work->Key->Key,
                    "Refused as not run: " +
                        std::string{nameOf(RefusalNames, Admission.Reason)} +
                        '.');
      Ledger.refuse(Enqueue.Entry, Admission.Reason, Admission.RetryAfter, At,
                    Effects);
    }
  }
  process(std::move(Effects), Now);
}

void shard::handle(const request::dequeue &Dequeue, const time_point /*Now*/) {
  Scheduler.cancel(itemOf(Dequeue.Entry));
  Arrived.erase(itemOf(Dequeue.Entry));
}

void shard::handle(const request::dispatch &Dispatch, const time_point Now) {
  Scheduler.started(Dispatch.Attempt, Now);
  if (const auto Since = Arrived.extract(itemOf(Dispatch.Entry)))
    Hooks.Waited(Dispatch.Queue, Now - Since.mapped());
  if (const auto Work = Ledger.find(Dispatch.Entry))
    Hooks.Decided(Work->Key->Key, "Placed on VM " + Dispatch.Vm +
                                      " as attempt " +
                                      toString(Dispatch.Attempt) + '.');
  Hooks.Dispatch(Dispatch);
}

void shard::handle(const request::stop_attempt &Stop,
                   const time_point /*Now*/) {
  Hooks.Stop(Stop);
}

void shard::handle(const request::release_slot &Release, const time_point Now) {
  Running.erase(Release.Attempt);
  // Does nothing if the scheduler was told of the attempt's end before.
  Scheduler.abandoned(Release.Attempt, Now);
}

void shard::handle(request::replicate &Replicate, const time_point /*Now*/) {
  Hooks.Replicate(std::move(Replicate));
}

void shard::pump(const time_point Now) {
  while (place(Now)) {
  }
}

bool shard::place(const time_point Now) {
  const auto At = Hooks.Instant();
  const auto &Waiting = Scheduler.queues();
  const bool Idle = Waiting.waiting(schedule::work_class::Short) == 0 &&
                    Waiting.waiting(schedule::work_class::Long) == 0;
  if (Idle || !At.authorized() || !Ledger.ready())
    return false;
  const auto Attempt = Hooks.NextAttempt();
  const auto Next = Scheduler.next(Attempt, Now);
  if (!Next)
    return false;
  const auto &Vm = VmNames.at(static_cast<std::size_t>(Next->Vm));
  const auto Entry = entryOf(Next->Item);
  request::effects Effects;
  const auto Prepared =
      Ledger.prepare(Entry, Attempt, Vm, Vms.at(Vm).Epoch, At, Effects);
  const bool Kept = Prepared == request::prepare_result::Dispatched ||
                    Prepared == request::prepare_result::Waiting;
  // An attempt that waits for replicas will be sent to its VM, so it counts as
  // running there.
  if (Kept) {
    Running.try_emplace(Attempt, Vm);
  } else {
    Scheduler.abandoned(Attempt, Now);
    if (Prepared != request::prepare_result::NotQueued)
      Effects.emplace_back(request::enqueue{Entry});
  }
  process(std::move(Effects), Now);
  return Kept || Prepared == request::prepare_result::NotQueued;
}

} // namespace galenalink::node
