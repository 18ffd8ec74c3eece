#include "galenalink/node/router.hpp"
#include "galenalink/node/peer_codec.hpp"
#include "galenalink/telemetry/log.hpp"
#include "peer.pb.h"
#include <algorithm>
#include <vector>

namespace galenalink::node {

namespace {

constexpr telemetry::logger Log{"routing"};

constexpr duration RetryPeriod = std::chrono::milliseconds{50};
/** The home answers by the caller's deadline; its answer needs time to
 * arrive. */
constexpr duration AnswerGrace = std::chrono::milliseconds{500};
constexpr duration HomeRetry = std::chrono::milliseconds{500};
/** Calls that wait for an answer; more are refused as not run. */
constexpr std::size_t MaxPending = 16384;

/** @brief Answer of a node that did not ask the home of the key. */
[[nodiscard]] reply notStarted(const refusal Reason) {
  return {outcome::Unknown,
          Reason,
          HomeRetry,
          "not started here; an earlier try with this key may have run\n",
          {}};
}

/** @brief Whether another try may reach the right home. */
[[nodiscard]] bool isTransient(const reply &Reply) noexcept {
  return Reply.Outcome == outcome::NotRun &&
         (Reply.Refusal == refusal::NotHome ||
          Reply.Refusal == refusal::NoAuthority ||
          Reply.Refusal == refusal::Stopping);
}

} // namespace

router::router(const fleet::node_view &View, const catalog &Catalog,
               shard_host &Host, router_hooks Hooks)
    : View{View}, Catalog{Catalog}, Host{Host}, Hooks{std::move(Hooks)} {}

std::optional<reply> router::check(const call &Call) const {
  const auto *Service = Catalog.find(Call.Customer, Call.Service);
  if (Service == nullptr)
    return refuse(refusal::NoSuchQueue, {}, "no such service\n");
  if (Call.Operation != operation::Submit)
    return std::nullopt;
  if (Service->findQueue(Call.Queue) == nullptr)
    return refuse(refusal::NoSuchQueue, {}, "no such queue\n");
  const auto &Teams = Service->Service.Teams;
  const bool Known =
      Call.Team.empty() ||
      std::any_of(Teams.begin(), Teams.end(),
                  [&](const auto &Team) { return Team.Name == Call.Team; });
  if (!Known)
    return refuse(refusal::BadRequest, {}, "no such team\n");
  return std::nullopt;
}

shard_id router::shardFor(const call &Call) const {
  const auto *Service = Catalog.find(Call.Customer, Call.Service);
  if (Service == nullptr)
    return {};
  return shardOf(Service->Service.Pool, Service->Shards, Call.Customer,
                 Call.Service, Call.Key);
}

std::optional<node_id> router::homeOf(const shard_id &Shard) const {
  const auto Pool = View.State.Vms.findPool(Shard.Pool);
  const auto *Seats = Pool ? View.Shards.find(*Pool, Shard.Index) : nullptr;
  if (Seats == nullptr || !Seats->Home)
    return std::nullopt;
  return Seats->Home->Node;
}

void router::route(call Call, reply_hook Done) {
  if (auto Refused = check(Call)) {
    Done(std::move(*Refused));
    return;
  }
  if (Stopping) {
    Done(notStarted(refusal::Stopping));
    return;
  }
  if (Pending.size() >= MaxPending) {
    Done(notStarted(refusal::TableFull));
    return;
  }
  const auto Id = ++LastId;
  Pending[Id] = {std::move(Call),     std::move(Done), std::nullopt,
                 NoDeadline,          false,           false,
                 refusal::NoAuthority};
  attempt(Id);
}

void router::attempt(const std::uint64_t Id) {
  auto &Entry = Pending.at(Id);
  const auto Shard = shardFor(Entry.Call);
  const auto Home = homeOf(Shard);
  Entry.Target.reset();
  Entry.RetryAt = boot_clock::now() + RetryPeriod;
  if (!Home)
    return;
  if (*Home == View.Self) {
    Entry.Target = View.Self;
    const auto Copy = Entry.Call;
    local(Copy, [this, Id](reply Reply) { replied(Id, std::move(Reply)); });
    return;
  }
  wire::peer_message Message;
  auto &Forward = *Message.mutable_forward();
  encode(Entry.Call, boot_clock::now(), Forward);
  Forward.set_call(Id);
  if (!Hooks.Send(*Home, Message))
    return;
  Entry.Target = Home;
  Entry.MayHaveRun = Entry.Call.Operation == operation::Submit;
  Log.debug("Forwarded a request.",
            {{"key", Entry.Call.Key}, {"shard", toString(Shard)}});
  Hooks.Decided(Entry.Call.Key,
                "Forwarded to the home of shard " + toString(Shard) + '.');
}

void router::local(const call &Call, reply_hook Done) {
  const auto Shard = shardFor(Call);
  switch (Call.Operation) {
  case operation::Query:
    Host.query(Shard, Call, Done);
    return;
  case operation::Cancel:
    Host.cancel(Shard, Call, std::move(Done));
    return;
  case operation::Submit:
    break;
  }
  const auto *Service = Catalog.find(Call.Customer, Call.Service);
  const auto *Queue =
      Service == nullptr ? nullptr : Service->findQueue(Call.Queue);
  if (Queue == nullptr)
    Done(refuse(refusal::NoSuchQueue, {}));
  else
    Host.submit(Shard, Call, *Queue, std::move(Done));
}

void router::replied(const std::uint64_t Id, reply Reply) {
  const auto Known = Pending.find(Id);
  if (Known == Pending.end())
    return;
  auto &Entry = Known->second;
  const auto Now = boot_clock::now();
  const bool Transient = isTransient(Reply);
  const bool Retry =
      Transient && !Alone && Now + RetryPeriod < Entry.Call.Deadline;
  if (Retry) {
    Entry.Target.reset();
    Entry.LastRefusal = Reply.Refusal;
    Entry.RetryAt = Now + RetryPeriod;
    return;
  }
  if (Transient && Entry.Lost)
    giveUp(Id);
  else
    finish(Id, std::move(Reply));
}

void router::finish(const std::uint64_t Id, reply Reply) {
  auto Entry = Pending.extract(Id);
  if (!Entry)
    return;
  // Only the home knows what became of earlier tries with the same key, which
  // may have come through another node.
  const bool WithoutHome =
      isTransient(Reply) && Entry.mapped().Call.Operation == operation::Submit;
  if (WithoutHome)
    Reply.Outcome = outcome::Unknown;
  if (Reply.Outcome != outcome::Complete && Reply.RetryAfter <= duration{})
    Reply.RetryAfter = HomeRetry;
  const auto &Call = Entry.mapped().Call;
  Log.info("Answered a request.",
           {{"key", Call.Key},
            {"service", Call.Customer + '/' + Call.Service},
            {"outcome", std::string{nameOf(OutcomeNames, Reply.Outcome)}},
            {"reason", std::string{nameOf(RefusalNames, Reply.Refusal)}}});
  Entry.mapped().Done(std::move(Reply));
}

void router::receive(const node_id From, const wire::forward &Message) {
  const auto Respond = [this, From, Id = Message.call()](const reply &Reply) {
    wire::peer_message Answer;
    auto &Out = *Answer.mutable_forward_reply();
    encode(Reply, Out);
    Out.set_call(Id);
    static_cast<void>(Hooks.Send(From, Answer));
  };
  const auto Call = decode(Message, boot_clock::now());
  if (!Call) {
    Respond(refuse(refusal::BadRequest, {}));
  } else if (homeOf(shardFor(*Call)) != View.Self) {
    Respond(refuse(refusal::NotHome, HomeRetry));
  } else if (auto Refused = check(*Call)) {
    Respond(*Refused);
  } else {
    local(*Call, Respond);
  }
}

void router::receive(const node_id From, const wire::forward_reply &Message) {
  const auto Known = Pending.find(Message.call());
  // An answer of a node that the call was not last sent to is late.
  if (Known == Pending.end() || Known->second.Target != From)
    return;
  auto Reply = decode(Message);
  if (!Reply)
    return;
  Known->second.MayHaveRun = Known->second.Lost;
  replied(Message.call(), std::move(*Reply));
}

void router::disconnected(const node_id Node) {
  for (auto &[Unused, Entry] : Pending) {
    if (Entry.Target != Node)
      continue;
    Entry.Lost = Entry.Lost || Entry.MayHaveRun;
    Entry.Target.reset();
    Entry.RetryAt = boot_clock::now() + RetryPeriod;
  }
}

void router::stop(const bool AloneIn) {
  Stopping = true;
  Alone = AloneIn;
}

void router::giveUp(const std::uint64_t Id) {
  const auto &Entry = Pending.at(Id);
  const bool MayHaveRun = Entry.MayHaveRun || Entry.Target == View.Self;
  finish(Id, MayHaveRun ? reply{outcome::Unknown, refusal::None, {}, {}, {}}
                        : refuse(Entry.LastRefusal, HomeRetry));
}

void router::abandon() {
  Stopping = true;
  while (!Pending.empty())
    giveUp(Pending.begin()->first);
}

void router::tick(const time_point Now) {
  std::vector<std::uint64_t> Late;
  std::vector<std::uint64_t> Due;
  for (const auto &[Id, Entry] : Pending) {
    const bool Sent = Entry.Target.has_value();
    const auto Limit = Entry.Call.Deadline +
                       (Sent || Entry.MayHaveRun ? AnswerGrace : duration{});
    if (Limit <= Now)
      Late.push_back(Id);
    else if (!Sent && Entry.RetryAt <= Now)
      Due.push_back(Id);
  }
  for (const auto Id : Late)
    giveUp(Id);
  for (const auto Id : Due) {
    if (Pending.contains(Id))
      attempt(Id);
  }
}

} // namespace galenalink::node
