#include "galenalink/request/message_bag.hpp"
#include <cstdio>

namespace galenalink::request::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration Authority = milliseconds{1500};

} // namespace

std::string message_bag::newKey() {
  const auto Number = static_cast<unsigned long long>(Keys.size());
  if (!Options.Timed && random(2) == 0)
    return "plain-" + std::to_string(Number);
  const auto Skew = seconds{static_cast<int>(random(3)) - 1};
  const auto Issued = static_cast<unsigned long long>(
      (Now.time_since_epoch() + Skew) / milliseconds{1});
  char Text[64];
  std::snprintf(Text, sizeof(Text), "%08llx-%04llx-7000-8000-%012llx",
                Issued >> 16U, Issued & 0xffffU, Number);
  return Text;
}

std::size_t message_bag::submitNew(const bool Idempotent, const bool LongWork) {
  const std::size_t Index = Keys.size();
  tracked_key Key;
  Key.Key = {"halloran", "newsletters", newKey()};
  Key.Body = "body of " + Key.Key.Key;
  Key.Idempotent = Idempotent;
  Key.LongWork = LongWork;
  KeyIndex.try_emplace(Key.Key, Index);
  Keys.push_back(std::move(Key));
  for (std::size_t Node = 0; Node < Nodes.size(); ++Node) {
    if (Nodes[Node].Home && able(Nodes[Node])) {
      submit(Index, Node);
      break;
    }
  }
  return Index;
}

void message_bag::submit(const std::size_t Index, const std::size_t Node) {
  tracked_key &Key = Keys[Index];
  const waiter Waiter = Calls.size();
  Calls.push_back({Index, false});
  ++Key.OpenCalls;
  // A new try replaces a handle that was refused as not run, and idempotent
  // work whose outcome is unknown.
  const auto Known = Nodes[Node].Home->query(Key.Key, at(Node));
  if (Known && (Known->State == entry_state::Refused ||
                (Known->State == entry_state::Unknown && Key.Idempotent)))
    Key.HandleGiven = false;
  effects Out;
  Nodes[Node].Home->submit({Key.Key, "proof", "north", Key.Body, Key.Idempotent,
                            Key.LongWork, Now + seconds{10}, Waiter},
                           at(Node), Out);
  apply(Node, Out);
}

void message_bag::prepareOne(const std::size_t Index) {
  node &Node = Nodes[Index];
  if (Node.Queue.empty())
    return;
  std::swap(Node.Queue[random(Node.Queue.size())], Node.Queue.back());
  const entry_handle Entry = Node.Queue.back();
  effects Out;
  if (chance(4)) {
    const auto Work = Node.Home->find(Entry);
    Keys[KeyIndex.at(*Work->Key)].Refused = true;
    if (Node.Home->refuse(Entry, refusal::DeadlineUnreachable, seconds{1},
                          at(Index), Out))
      std::erase(Node.Queue, Entry);
    apply(Index, Out);
    return;
  }
  const attempt_id Attempt{Node.Id, ++Node.Attempts};
  const auto Result =
      Node.Home->prepare(Entry, Attempt, "vm", 1, at(Index), Out);
  if (const auto Work = Node.Home->find(Entry);
      Work && (Result == prepare_result::Waiting ||
               Result == prepare_result::Dispatched))
    ++Keys[KeyIndex.at(*Work->Key)].Prepared;
  if (Result != prepare_result::NotReady &&
      Result != prepare_result::NoAuthority)
    std::erase(Node.Queue, Entry);
  apply(Index, Out);
}

void message_bag::schedule() {
  for (std::size_t Index = 0; Index < Nodes.size(); ++Index) {
    const std::size_t Waiting = Nodes[Index].Queue.size();
    for (std::size_t Count = 0; Count < Waiting; ++Count) {
      if (Nodes[Index].Home && able(Nodes[Index]))
        prepareOne(Index);
    }
  }
}

void message_bag::kill(const std::size_t Index) {
  node &Node = Nodes[Index];
  Node.Alive = false;
  Node.Home.reset();
  Node.Takeover.reset();
  Node.Retired.clear();
  Node.Queue.clear();
  ++Kills;
  ++RecentKills;
}

void message_bag::advance(const duration Time) {
  Now += Time;
  for (std::size_t Index = 0; Index < Nodes.size(); ++Index) {
    node &Node = Nodes[Index];
    if (!able(Node))
      continue;
    Node.Copy.tick(Now);
    effects Out;
    if (Node.Home)
      Node.Home->tick(at(Index), Out);
    apply(Index, Out);
  }
}

void message_bag::resend(const std::size_t Index, const bool All) {
  effects Out;
  for (const node &Other : Nodes) {
    if (Nodes[Index].Home && Other.Alive && (All || random(2) == 0))
      Nodes[Index].Home->resend(Other.Id, Now, Out);
  }
  apply(Index, Out);
}

void message_bag::reconcile() {
  for (std::size_t Index = 0; Index < Nodes.size(); ++Index) {
    if (!Nodes[Index].Home || !able(Nodes[Index]))
      continue;
    for (const auto &[Attempt, Report] : Finished) {
      effects Out;
      if (Report.Kind == report_kind::Failed)
        Nodes[Index].Home->failed(Attempt, Report.Result, false, Now, Out);
      else
        Nodes[Index].Home->answered(Attempt, Report.Result, Now, Out);
      apply(Index, Out);
    }
  }
}

void message_bag::changeNodes() {
  std::size_t Alive = 0;
  for (const std::size_t Member : Versions.back().Members)
    Alive += Nodes[Member].Alive ? 1 : 0;
  if (settled())
    RecentKills = 0;
  const std::size_t Victim = random(Nodes.size());
  const bool MayKill = Nodes[Victim].Alive && RecentKills < Options.MaxKills &&
                       Alive > 4 && Nodes[Victim].Folded != 0;
  switch (random(6)) {
  case 0:
    // All that hold the shard at once leave no evidence.
    if (Options.MaxKills > Options.Replicas + 1 && Alive > 4 &&
        random(4) == 0) {
      for (const std::size_t Member : membersInOrder()) {
        if (Nodes[Member].Alive)
          kill(Member);
      }
      return;
    }
    // The home is the interesting victim.
    if (MayKill)
      kill(random(2) == 0 ? Victim : [&] {
        const std::size_t Home = membersInOrder().front();
        return Nodes[Home].Alive ? Home : Victim;
      }());
    break;
  case 1:
    if (MayKill && random(3) == 0) {
      evict(Victim);
      ++RecentKills;
    }
    break;
  case 2:
  case 3:
    for (const std::size_t Member : Versions.back().Members) {
      if (!Nodes[Member].Alive) {
        evict(Member);
        break;
      }
    }
    break;
  case 4:
    if (Alive < Options.Nodes)
      join();
    break;
  default:
    if (Nodes[Victim].Alive)
      Nodes[Victim].PausedUntil = Now + milliseconds{random(3000)};
  }
}

void message_bag::callerStep(const std::size_t Index) {
  const std::size_t Kind = random(10);
  if (Kind < 4 || Keys.empty()) {
    submitNew(random(3) == 0, random(2) == 0);
    return;
  }
  const std::size_t Key =
      Keys.size() - 1 - random(std::min<std::size_t>(Keys.size(), 30));
  if (Kind < 8) {
    submit(Key, Index);
    return;
  }
  effects Out;
  const waiter Waiter = Calls.size();
  if (Nodes[Index].Home->cancel(Keys[Key].Key, Waiter, at(Index), Out) !=
      cancel_result::NotFound) {
    Calls.push_back({Key, false});
    ++Keys[Key].OpenCalls;
    Keys[Key].Refused = true;
  }
  apply(Index, Out);
}

void message_bag::homeStep(const std::size_t Index) {
  const std::size_t Kind = random(20);
  if (Kind < 10)
    callerStep(Index);
  else if (Kind < 17)
    prepareOne(Index);
  else if (Kind < 19)
    resend(Index, false);
  else
    reconcile();
}

void message_bag::step() {
  std::size_t Index = random(Nodes.size());
  const std::size_t Kind = random(100);
  if (Kind < 50) {
    deliverOne();
  } else if (Kind < 60) {
    advance(milliseconds{random(60)});
  } else if (Kind < 61) {
    if (random(2) == 0)
      changeNodes();
  } else if (Kind < 72) {
    if (!able(Nodes[Index]))
      return;
    // Authority needs evidence that nothing newer was folded.
    fold(Index);
    if (Nodes[Index].Folded + 1 == Versions.size())
      Nodes[Index].AuthorityDeadline = Now + Authority;
  } else if (Kind < 80) {
    if (able(Nodes[Index]))
      advanceTakeover(Index, random(2) == 0);
  } else {
    // Most work is at a node that believes to be home.
    for (std::size_t Tries = 0; !Nodes[Index].Home && Tries < Nodes.size();
         ++Tries)
      Index = (Index + 1) % Nodes.size();
    if (Nodes[Index].Home && able(Nodes[Index]))
      homeStep(Index);
  }
}

void message_bag::deliverAll(const std::size_t Limit) {
  for (std::size_t Count = 0; Count < Limit && !Bag.empty(); ++Count)
    deliverOne();
}

bool message_bag::settled() {
  const auto &Members = Versions.back().Members;
  const ledger *const Home = home();
  return Home != nullptr && Home->ready() &&
         std::all_of(Members.begin(), Members.end(),
                     [&](const std::size_t Member) {
                       return Nodes[Member].Alive &&
                              Nodes[Member].Folded + 1 == Versions.size();
                     });
}

void message_bag::recover() {
  for (std::size_t Round = 0; Round < 2000 && !settled(); ++Round) {
    const auto Members = Versions.back().Members;
    for (const std::size_t Member : Members) {
      if (!Nodes[Member].Alive)
        evict(Member);
    }
    if (Versions.back().Members.size() < Options.Nodes)
      join();
    advance(milliseconds{50});
    for (std::size_t Index = 0; Index < Nodes.size(); ++Index) {
      if (!able(Nodes[Index]))
        continue;
      while (Nodes[Index].Alive && Nodes[Index].Folded + 1 < Versions.size())
        fold(Index);
      Nodes[Index].AuthorityDeadline = Now + Authority;
      advanceTakeover(Index, true);
      if (Round % 4 == 3)
        resend(Index, true);
    }
    deliverAll(2000);
  }
  if (!settled())
    Violations.emplace_back("the shard did not recover");
  RecentKills = 0;
}

void message_bag::settle() {
  Options.Faults = false;
  for (node &Node : Nodes)
    Node.PausedUntil = {};
  recover();
  for (std::size_t Round = 0; Round < 100; ++Round) {
    for (node &Node : Nodes)
      Node.AuthorityDeadline = Now + Authority;
    schedule();
    deliverAll(100'000);
    advance(milliseconds{50});
    for (std::size_t Index = 0; Index < Nodes.size(); ++Index)
      resend(Index, true);
  }
  if (Options.MaxKills <= Options.Replicas && !Options.Timed)
    checkHandles();
}

void message_bag::checkHandles() {
  for (std::size_t Index = 0; Index < Keys.size(); ++Index) {
    const tracked_key &Key = Keys[Index];
    if (!Key.HandleGiven || !Key.LongWork)
      continue;
    const auto State = stateOf(Index);
    if (!State)
      violate("handle lost", Index);
    // Idempotent work may have been run by a former home without a record,
    // so a refusal of it is not called "not run".
    else if (*State == entry_state::Unknown && Key.Prepared == 0 &&
             !(Key.Idempotent && Key.Refused))
      violate("handle unknown without an attempt", Index);
    else if (!isFinal(*State))
      violate("handle not finished", Index);
  }
}

ledger *message_bag::home() {
  const std::size_t Home = membersInOrder().front();
  return Nodes[Home].Alive ? Nodes[Home].Home.get() : nullptr;
}

std::optional<entry_state> message_bag::stateOf(const request_key &Key) {
  const std::size_t Home = membersInOrder().front();
  const auto Result = Nodes[Home].Home->query(Key, at(Home));
  if (!Result)
    return std::nullopt;
  return Result->State;
}

std::optional<entry_state> message_bag::stateOf(const std::size_t Key) {
  return stateOf(Keys[Key].Key);
}

} // namespace galenalink::request::test
