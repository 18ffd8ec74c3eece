#include "galenalink/request/message_bag.hpp"
#include <cstdio>

namespace galenalink::request::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration Authority = milliseconds{1500};
constexpr duration LongRetention = std::chrono::hours{10};
constexpr duration ShortRetention = seconds{8};
constexpr std::size_t Places = 4;

template <typename... Handlers> struct overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace

message_bag::message_bag(const bag_options Options)
    : Options(Options), Random(Options.Seed) {
  Settings.Retention = Options.Timed ? ShortRetention : LongRetention;
  Settings.RequiredReplicas = Options.Replicas;
  for (std::size_t Index = 0; Index < Options.Nodes; ++Index)
    join();
  recover();
}

instant message_bag::at(const std::size_t Node) const {
  // Wall clocks differ by up to the stated skew of 2 s.
  const auto Skew = seconds{static_cast<int>(Node % 3) - 1};
  return {Now, (Now.time_since_epoch() + Skew) / milliseconds{1},
          Nodes[Node].AuthorityDeadline};
}

std::size_t message_bag::indexOf(const node_id Id) const {
  return static_cast<std::size_t>(Id) - 1;
}

void message_bag::join() {
  const std::size_t Index = Nodes.size();
  const node_id Id{Index + 1};
  std::vector<std::size_t> Population(Places);
  if (!Versions.empty()) {
    for (const std::size_t Member : Versions.back().Members)
      Population[Nodes[Member].Place] += Nodes[Member].Alive ? 1 : 0;
  }
  const auto Emptiest = std::min_element(Population.begin(), Population.end());
  node &Node = Nodes.emplace_back(
      node{Id,
           static_cast<std::size_t>(Emptiest - Population.begin()),
           true,
           {},
           {},
           Versions.size(),
           replica{Id, {100'000, std::size_t{1} << 26U, Settings.Retention}},
           {},
           {},
           {},
           {},
           0});
  auto Members =
      Versions.empty() ? std::vector<std::size_t>{} : Versions.back().Members;
  Members.push_back(Index);
  append(std::move(Members));
  // A new node starts from the state that contains its own join.
  Node.Folded = Versions.size() - 2;
  fold(Index);
}

void message_bag::evict(const std::size_t Node) {
  auto Members = Versions.back().Members;
  if (std::erase(Members, Node) == 1)
    append(std::move(Members));
}

void message_bag::append(std::vector<std::size_t> Members) {
  const log_offset Previous =
      Versions.empty() ? 0 : Versions.back().Step.Version;
  Versions.push_back({{Previous + 1, Previous}, std::move(Members), Now});
}

std::vector<std::size_t>
message_bag::ranked(const roster_version &Version) const {
  const auto Order = rendezvousOrder(
      17, Version.Members, [](const std::size_t Node) { return Node + 1; });
  std::vector<std::size_t> Roles;
  std::set<std::size_t> Used;
  for (const std::size_t Node : Order) {
    if (Roles.size() <= Options.Replicas &&
        Used.insert(Nodes[Node].Place).second)
      Roles.push_back(Node);
  }
  return Roles;
}

std::vector<std::size_t> message_bag::membersInOrder() const {
  return ranked(Versions.back());
}

bool message_bag::barrier(const std::size_t Version) const {
  const roster_version &Known = Versions[Version];
  return Now > Known.AppendedAt + Authority ||
         std::all_of(Known.Members.begin(), Known.Members.end(),
                     [&](const std::size_t Node) {
                       return Nodes[Node].Alive &&
                              Nodes[Node].Folded >= Version;
                     });
}

void message_bag::fold(const std::size_t Index) {
  node &Node = Nodes[Index];
  if (Node.Folded + 1 >= Versions.size())
    return;
  const roster_version &Next = Versions[++Node.Folded];
  effects Out;
  const bool Evicted = std::find(Next.Members.begin(), Next.Members.end(),
                                 Index) == Next.Members.end();
  const auto Roles = ranked(Next);
  const bool IsHome = !Evicted && !Roles.empty() && Roles[0] == Index;
  if (Node.Home && !IsHome) {
    Node.Copy.adopt(Node.Home->retire(Now, Out), Node.Home->horizonAt(Now),
                    Now);
    Node.Retired.push_back(std::move(*Node.Home));
    Node.Home.reset();
  }
  Node.Copy.rosterChanged(
      Next.Step, std::find(Roles.begin(), Roles.end(), Index) != Roles.end());
  Node.Takeover.reset();
  if (Node.Home) {
    std::vector<node_id> Replicas;
    for (std::size_t Rank = 1; Rank < Roles.size(); ++Rank)
      Replicas.push_back(Nodes[Roles[Rank]].Id);
    Node.Home->rosterChanged(Next.Step.Version, Replicas, Now, Out);
  } else if (IsHome) {
    std::vector<node_id> Roster;
    for (const std::size_t Member : Next.Members)
      Roster.push_back(Nodes[Member].Id);
    Node.Takeover = std::make_unique<takeover>(
        takeover_settings{Settings.Retention, Settings.ClockSkew}, Next.Step,
        std::move(Roster), Now + milliseconds{500}, Now + seconds{20});
  }
  apply(Index, Out);
  if (Evicted)
    Node.Alive = false;
}

void message_bag::advanceTakeover(const std::size_t Index, const bool Repeat) {
  node &Node = Nodes[Index];
  if (!Node.Takeover || !barrier(Node.Folded))
    return;
  const roster_version &Version = Versions[Node.Folded];
  if (auto Own = Node.Copy.collect(Version.Step.Version, Now))
    Node.Takeover->replied(std::move(*Own));
  if (Repeat) {
    for (const node_id Missing : Node.Takeover->missing())
      Bag.push_back(
          {indexOf(Missing), collect_call{Index, Version.Step.Version}});
  }
  if (!Node.Takeover->finished(Now))
    return;
  effects Out;
  auto Result = Node.Takeover->resolve(at(Index));
  ++Takeovers;
  if (Result.Evidence && TakeoversWithoutEvidence == 0 &&
      Result.Horizon.Remaining > duration{})
    Violations.emplace_back("keys are unknown without a reason -");
  TakeoversWithoutEvidence += Result.Evidence ? 0 : 1;
  Node.Queue.clear();
  Node.Home = std::make_unique<ledger>(
      makeLedger(Settings, Version.Step.Version, std::move(Result), Now, Out));
  Node.Takeover.reset();
  Node.Copy.becameHome();
  const auto Roles = ranked(Version);
  std::vector<node_id> Replicas;
  for (std::size_t Rank = 1; Rank < Roles.size(); ++Rank)
    Replicas.push_back(Nodes[Roles[Rank]].Id);
  Node.Home->rosterChanged(Version.Step.Version, Replicas, Now, Out);
  apply(Index, Out);
}

void message_bag::apply(const std::size_t Index, effects &Out) {
  node &Node = Nodes[Index];
  for (effect &Effect : Out) {
    std::visit(
        overloaded{
            [&](answer &Answer) { told(Answer); },
            [&](enqueue &Queued) { Node.Queue.push_back(Queued.Entry); },
            [&](dequeue &Queued) { std::erase(Node.Queue, Queued.Entry); },
            [&](dispatch &Dispatch) {
              const auto Work = Node.Home->find(Dispatch.Entry);
              const std::size_t Key = KeyIndex.at(*Work->Key);
              if (Dispatch.Body != Keys[Key].Body)
                violate("dispatched another body", Key);
              ++Keys[Key].Outstanding;
              Bag.push_back({Index, run_call{Key, Dispatch.Attempt}});
            },
            [](stop_attempt &) {},
            [&](release_slot &Slot) {
              if (!Released.insert(Slot.Attempt).second)
                Violations.emplace_back("slot released twice");
            },
            [&](replicate &Message) {
              if (Options.AcknowledgeUnsent && !Message.Synced &&
                  Message.Entries.size() == 1 &&
                  Message.Entries[0].State == entry_state::Dispatched)
                Bag.push_back({Index, replicate_reply{Message.To, Message.Call,
                                                      Message.Version, true}});
              else
                Bag.push_back({indexOf(Message.To), std::move(Message)});
            }},
        Effect);
  }
  Out.clear();
}

void message_bag::violate(std::string What, const std::size_t Key) {
  Violations.push_back(std::move(What) + " " + Keys[Key].Key.Key);
}

void message_bag::told(const answer &Answer) {
  call &Call = Calls.at(Answer.Waiter);
  tracked_key &Key = Keys[Call.Key];
  if (Call.Told)
    violate("answered twice", Call.Key);
  Call.Told = true;
  if (Answer.Outcome == outcome::Complete &&
      Answer.Body != "result of " + Key.Key.Key)
    violate("answer of another request", Call.Key);
  if (Answer.Outcome == outcome::Accepted)
    Key.HandleGiven = true;
  if (Answer.Outcome != outcome::NotRun)
    return;
  --Key.OpenCalls;
  // These two say only that this node did not run it; the entry node goes on.
  const bool Local = Answer.Refusal == refusal::NotHome ||
                     Answer.Refusal == refusal::NoAuthority;
  if (!Local && Answer.Refusal != refusal::KeyExpired &&
      Key.Runs + Key.Outstanding > 0)
    violate("not run was told but it ran", Call.Key);
}

void message_bag::start(const std::size_t Home, const run_call &Run) {
  tracked_key &Key = Keys[Run.Key];
  const auto Reply = [&](const report_kind Kind, std::string Result) {
    report Report{Kind, Run.Attempt, std::move(Result)};
    if (Kind == report_kind::Answer || Kind == report_kind::Failed)
      Finished.try_emplace(Run.Attempt, Report);
    if (chance(15))
      Report.Kind = report_kind::Lost;
    if (chance(10))
      Bag.push_back({Home, Report});
    Bag.push_back({Home, Report});
  };
  if (chance(15)) {
    --Key.Outstanding;
    Reply(report_kind::Refused, {});
    return;
  }
  ++Runs;
  if (++Key.Runs > 1 && !Key.Idempotent)
    violate("double run", Run.Key);
  if (Key.OpenCalls == 0 && !Key.HandleGiven)
    violate("ran after not run was told", Run.Key);
  if (chance(10))
    Reply(report_kind::Failed, "failed");
  else
    Reply(report_kind::Answer, "result of " + Key.Key.Key);
}

void message_bag::deliver(message Message) {
  node &Node = Nodes[Message.To];
  if (const auto *const Run = std::get_if<run_call>(&Message.Payload)) {
    // What a node wrote before it died arrives all the same.
    start(Message.To, *Run);
    return;
  }
  if (!Node.Alive)
    return;
  effects Out;
  std::visit(
      overloaded{
          [&](replicate &Records) {
            const std::size_t From = ranked(
                Versions[static_cast<std::size_t>(Records.Version) - 1])[0];
            Bag.push_back({From, Node.Copy.store(std::move(Records), Now)});
          },
          [&](replicate_reply &Reply) {
            if (Node.Home)
              Node.Home->acknowledged(Reply, at(Message.To), Out);
          },
          [&](collect_call &Call) {
            if (auto Reply = Node.Copy.collect(Call.Version, Now))
              Bag.push_back({Call.From, std::move(*Reply)});
          },
          [&](collect_reply &Reply) {
            if (Node.Takeover)
              Node.Takeover->replied(std::move(Reply));
          },
          [](run_call &) {},
          [&](report &Report) {
            const auto Tell = [&](ledger &Ledger) {
              switch (Report.Kind) {
              case report_kind::Answer:
                return Ledger.answered(Report.Attempt, Report.Result, Now, Out);
              case report_kind::Failed:
                return Ledger.failed(Report.Attempt, Report.Result, true, Now,
                                     Out);
              case report_kind::Refused:
                return Ledger.refusedByServer(Report.Attempt, Out);
              case report_kind::Lost:
                break;
              }
              return Ledger.lost(Report.Attempt, true, Now, Out);
            };
            if (Node.Home)
              Tell(*Node.Home);
            for (ledger &Retired : Node.Retired)
              Tell(Retired);
          }},
      Message.Payload);
  apply(Message.To, Out);
}

void message_bag::deliverOne() {
  if (Bag.empty())
    return;
  std::swap(Bag[random(Bag.size())], Bag.back());
  message Message = std::move(Bag.back());
  Bag.pop_back();
  const bool ToServer = std::holds_alternative<run_call>(Message.Payload);
  const bool Report = std::holds_alternative<report>(Message.Payload);
  if (Report && HoldReports) {
    Held.push_back(std::move(Message));
    return;
  }
  if (!able(Nodes[Message.To]) && Nodes[Message.To].Alive && !ToServer) {
    Bag.push_back(std::move(Message));
    return;
  }
  // A connection that breaks is noticed, so reports are never just lost.
  if (!ToServer && !Report) {
    if (chance(8))
      return;
    if (chance(5))
      Bag.push_back(Message);
  }
  deliver(std::move(Message));
}

} // namespace galenalink::request::test
