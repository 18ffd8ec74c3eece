#include "galenalink/fleet/model.hpp"
#include "galenalink/core/assert.hpp"
#include "galenalink/core/hash.hpp"
#include "galenalink/fleet/apply.hpp"
#include "galenalink/fleet/documents.hpp"
#include <algorithm>

namespace galenalink::fleet::test {

namespace {

// One tick is a second. The lease is a little shorter than two ticks, so that
// a barrier is reached in the first tick without authority: no slack hides a
// barrier that is too early.
constexpr lease_settings Settings{
    std::chrono::milliseconds{1998}, std::chrono::milliseconds{1997},
    std::chrono::seconds{1}, duration::zero(), 2000};

constexpr const char *Vm = "v";

prefix &root() {
  static prefix Root{std::make_shared<state>(parseWords), {}, {}, {}};
  return Root;
}

[[nodiscard]] time_point timeOf(const model &Model) {
  return NoDeadline + std::chrono::seconds{1000 + Model.Tick};
}

[[nodiscard]] const state &stateOf(const model &Model, const model_node &Node) {
  return *Model.Log[Node.Folded]->State;
}

/** @brief The log with one more record, folded once for all runs. */
const prefix *extend(const prefix *Parent, const wire::record &Record) {
  auto &Next = const_cast<prefix *>(Parent)->Next;
  auto &Child = Next[hash64(Record.SerializeAsString())];
  if (!Child) {
    auto State = std::make_shared<state>(*Parent->State);
    apply(*State, State->Offset + 1, Record);
    Child = std::make_unique<prefix>(prefix{State, Record, {}, {}});
  }
  return Child.get();
}

/** @brief Seats as seen by a node that folded record by record. */
const shard_map &seatsOf(const model &Model, const model_node &Node) {
  const auto Position = Node.Folded;
  auto &Seats = const_cast<prefix *>(Model.Log[Position])->Seats;
  if (const auto Found = Seats.find(Node.Start); Found != Seats.end())
    return Found->second;
  shard_map Map;
  for (auto At = Node.Start; At <= Position; ++At)
    Map.update(*Model.Log[At]->State);
  return Seats.emplace(Node.Start, std::move(Map)).first->second;
}

/** @brief The node of this model alone. */
model_node &own(model &Model, const std::size_t Index) {
  auto &Node = Model.Nodes[Index];
  Node = std::make_shared<model_node>(*Node);
  return *Node;
}

[[nodiscard]] node_view viewOf(const model &Model, model_node &Node) {
  return {Node.Id, stateOf(Model, Node), seatsOf(Model, Node), Node.Authority,
          Node.Barrier};
}

enum class saw : std::uint8_t { Fold, Read, Answer, Acknowledgement };

/** @brief Notes what a node saw; false if it knew that already. */
bool note(const model &Model, model_node &Node, const saw Kind,
          const std::size_t Peer, const log_offset Offset) {
  const auto Code = static_cast<std::uint32_t>(Model.Tick) << 24U |
                    static_cast<std::uint32_t>(Kind) << 20U |
                    static_cast<std::uint32_t>(Peer) << 12U |
                    static_cast<std::uint32_t>(Offset);
  // Events between two folds of one tick commute, so they are kept in order.
  auto Block = Node.Events.end();
  while (Kind != saw::Fold && Block != Node.Events.begin() &&
         *(Block - 1) >> 20U != static_cast<std::uint32_t>(Model.Tick) << 4U &&
         *(Block - 1) >> 24U == static_cast<std::uint32_t>(Model.Tick))
    --Block;
  const auto Place = std::lower_bound(Block, Node.Events.end(), Code);
  if (Place != Node.Events.end() && *Place == Code)
    return false;
  Node.Events.insert(Place, Code);
  return true;
}

void fold(const model &Model, model_node &Node, const log_offset Through) {
  while (Node.Folded < Through) {
    ++Node.Folded;
    note(Model, Node, saw::Fold, 0, Node.Folded);
    Node.Authority.folded(stateOf(Model, Node), timeOf(Model));
    Node.Barrier.folded(stateOf(Model, Node), timeOf(Model));
  }
}

/** @brief Reads the log and folds at most the given number of records. */
bool poll(const model &Model, model_node &Node, const log_offset Records) {
  const auto End = Model.Log.size();
  const bool New = note(Model, Node, saw::Read, 0, End);
  Node.Authority.logRead(stateOf(Model, Node), timeOf(Model), End);
  const auto Through = std::min<log_offset>(End - 1, Node.Folded + Records);
  const bool Folds = Through > Node.Folded;
  fold(Model, Node, Through);
  return New || Folds;
}

/** @brief One node asks another, which answers at once. */
bool ask(const model &Model, model_node &From, const std::size_t FromIndex,
         model_node &To, const std::size_t ToIndex) {
  const auto Now = timeOf(Model);
  bool New = note(Model, To, saw::Acknowledgement, FromIndex, From.Folded);
  To.Barrier.acknowledged(From.Id, From.Folded, Now);
  if (!To.Authority.answers() && !Model.Faults.AnswerAfterLeave)
    return New;
  New = note(Model, From, saw::Answer, ToIndex, To.Folded) || New;
  From.Authority.peerAnswered(stateOf(Model, From), To.Id, Now, To.Folded);
  From.Barrier.acknowledged(To.Id, To.Folded, Now);
  return New;
}

void land(model &Model, wire::record Record) {
  if (Model.Faults.KeepEpoch) {
    // As if a cancel left the epoch as it was: the record takes the present.
    const auto &State = *Model.Log.back()->State;
    if (const auto Index = State.Vms.findVm(Vm)) {
      const auto Epoch = State.Vms.at(*Index).Epoch;
      if (Record.has_drained())
        Record.mutable_drained()->set_epoch(Epoch);
      if (Record.has_take())
        Record.mutable_take()->set_epoch(Epoch);
    }
  }
  Model.Log.push_back(extend(Model.Log.back(), Record));
}

template <typename Body> void setVm(Body &Record, const std::uint64_t Epoch) {
  Record.set_vm(Vm);
  Record.set_epoch(Epoch);
}

/** @brief Collects the steps that are possible in one model. */
class stepper {
public:
  explicit stepper(const model &ModelIn) : Model(ModelIn) {}

  std::vector<model> run() {
    if (Model.Left.Ticks > 0) {
      auto &Next = branch("tick");
      --Next.Left.Ticks;
      ++Next.Tick;
      // A barrier remembers what it reached, so no node is shared in time.
      for (auto &Node : Next.Nodes)
        Node = std::make_shared<model_node>(*Node);
    }
    for (std::size_t Index = 0; Index < Model.Delayed.size(); ++Index)
      landDelayed(Index);
    for (std::size_t Index = 0; Index < Model.Nodes.size(); ++Index) {
      if (Model.Nodes[Index]->Alive) {
        exchange(Index);
        roster(Index);
        vm(Index);
      } else {
        confirm(Index);
      }
    }
    return std::move(Out);
  }

private:
  model &branch(const std::string &Step) {
    Out.push_back(Model);
    Out.back().Last = std::make_shared<const step>(step{Step, Model.Last});
    return Out.back();
  }

  static std::string nameOf(const std::size_t Index) {
    return {static_cast<char>('A' + Index)};
  }

  void landDelayed(const std::size_t Index) {
    const auto Step = "land " + std::to_string(Index);
    auto &Next = branch(Step);
    Next.Delayed.erase(Next.Delayed.begin() + static_cast<long>(Index));
    land(Next, Model.Delayed[Index]);
    if (Model.Left.Resend > 0) {
      auto &Again = branch(Step + ", answer lost");
      --Again.Left.Resend;
      land(Again, Model.Delayed[Index]);
    }
  }

  /** @brief An append that lands now, or later. */
  void append(const std::string &Step, const std::size_t Writer,
              int budget::*Cost, wire::record Record, const bool Operator) {
    if (Model.Left.*Cost <= 0)
      return;
    Record.set_writer(
        Operator ? 0 : static_cast<std::uint64_t>(Model.Nodes[Writer]->Id));
    Record.set_at_ms(1'000'000 + Model.Tick * 1000);
    Record.set_id(hash64(Record.SerializeAsString(), Model.Log.size()) | 1U);
    const auto Text = nameOf(Writer) + ' ' + Step;
    auto &Now = branch(Text);
    --(Now.Left.*Cost);
    if (Record.has_leave())
      own(Now, Writer).Authority.resign();
    land(Now, Record);
    if (Model.Left.Delay > 0) {
      auto &Later = branch(Text + ", delayed");
      --(Later.Left.*Cost);
      --Later.Left.Delay;
      if (Record.has_leave())
        own(Later, Writer).Authority.resign();
      Later.Delayed.push_back(Record);
    }
  }

  void exchange(const std::size_t Index) {
    const auto Behind = Model.Log.size() - 1 - Model.Nodes[Index]->Folded;
    const auto Read = [&](const char *Step, const log_offset Records) {
      auto &Next = branch(nameOf(Index) + Step);
      if (!poll(Next, own(Next, Index), Records))
        Out.pop_back();
    };
    Read(" reads", Behind);
    if (Behind > 1)
      Read(" reads one", 1);
    for (std::size_t Peer = 0; Peer < Model.Nodes.size(); ++Peer) {
      if (Peer == Index || !Model.Nodes[Peer]->Alive)
        continue;
      auto &Next = branch(nameOf(Index) + " asks " + nameOf(Peer));
      if (!ask(Next, own(Next, Index), Index, own(Next, Peer), Peer))
        Out.pop_back();
    }
  }

  void roster(const std::size_t Index) {
    const auto &Node = *Model.Nodes[Index];
    const auto &State = stateOf(Model, Node);
    const bool Member = State.Roster.find(Node.Id) != nullptr;
    for (const auto &Other : State.Roster.nodes()) {
      if (!Node.Authority.mayEvict(State, Other->Id, timeOf(Model)))
        continue;
      wire::record Record;
      Record.mutable_evict()->set_node(static_cast<std::uint64_t>(Other->Id));
      append("evicts " + Other->Name, Index, &budget::Evict, Record, false);
    }
    if (Member && Node.Authority.answers() &&
        Model.Left.Renew + Model.Left.Leave > 0) {
      wire::record Renew;
      Renew.mutable_renew()->set_node(static_cast<std::uint64_t>(Node.Id));
      Renew.mutable_renew()->set_settled_version(Node.Barrier.settled(State));
      append("renews", Index, &budget::Renew, Renew, false);
      wire::record Leave;
      Leave.mutable_leave()->set_node(static_cast<std::uint64_t>(Node.Id));
      append("leaves", Index, &budget::Leave, Leave, false);
    }
    if (Model.Left.Kill > 0) {
      auto &Next = branch(nameOf(Index) + " is killed");
      --Next.Left.Kill;
      own(Next, Index).Alive = false;
    }
    if (Model.Left.Start > 0)
      start(Index);
  }

  /** @brief A new node takes over the state of a peer, and joins. */
  void start(const std::size_t From) {
    auto &Next = branch("node starts from " + nameOf(From));
    --Next.Left.Start;
    const auto Number = Next.Nodes.size();
    const node_id Id{Number + 1};
    model_node Node{Id, true, 0, 0, {Id, Settings}, {Id, Settings}, {}};
    Node.Start = Node.Folded = Model.Nodes[From]->Folded;
    note(Next, Node, saw::Fold, 0, Node.Folded);
    Node.Authority.folded(stateOf(Next, Node), timeOf(Next));
    Node.Barrier.folded(stateOf(Next, Node), timeOf(Next));
    Next.Nodes.push_back(std::make_shared<model_node>(Node));
    wire::record Record;
    Record.set_id(Number + 1);
    Record.set_at_ms(1'000'000 + Model.Tick * 1000);
    auto &Join = *Record.mutable_join();
    Join.set_node(Number + 1);
    Join.set_name(nameOf(Number));
    Join.set_place(nameOf(Number));
    land(Next, Record);
  }

  void confirm(const std::size_t Index) {
    wire::record Record;
    Record.mutable_evict()->set_node(
        static_cast<std::uint64_t>(Model.Nodes[Index]->Id));
    Record.mutable_evict()->set_confirmed_stopped(true);
    append("is confirmed as stopped", Index, &budget::Confirm, Record, true);
  }

  void vm(const std::size_t Index) {
    const auto View = viewOf(Model, *Model.Nodes[Index]);
    const auto Found = View.State.Vms.findVm(Vm);
    if (!Found) {
      for (const auto *Pool : {"p", "q"}) {
        if (Model.Left.Add == 0)
          break;
        wire::record Record;
        Record.mutable_add_vm()->set_vm(Vm);
        Record.mutable_add_vm()->set_member("m");
        Record.mutable_add_vm()->set_pool(Pool);
        Record.mutable_add_vm()->set_condition(wire::VM_UP);
        append(std::string{"adds to "} + Pool, Index, &budget::Add, Record,
               false);
      }
      return;
    }
    const auto &Known = View.State.Vms.at(*Found);
    const auto Epoch = Known.Epoch;
    const auto Now = timeOf(Model);
    for (const auto *Pool : {"p", "q", "r"}) {
      if (Known.Motion != vm_motion::None || Model.Left.Release == 0)
        break;
      wire::record Record;
      setVm(*Record.mutable_release(), Epoch);
      Record.mutable_release()->set_to_pool(Pool);
      append(std::string{"releases to "} + Pool, Index, &budget::Release,
             Record, true);
    }
    wire::record Record;
    if (Known.Motion != vm_motion::None) {
      setVm(*Record.mutable_cancel(), Epoch);
      append("cancels", Index, &budget::Cancel, Record, true);
    }
    if (mayReportDrained(View, *Found, Now) && Model.Running < 0) {
      setVm(*Record.mutable_drained(), Epoch);
      append("drained", Index, &budget::Drained, Record, false);
    }
    if (mayTake(View, *Found, Now)) {
      setVm(*Record.mutable_take(), Epoch);
      append("takes", Index, &budget::Take, Record, false);
    }
    setVm(*Record.mutable_remove_vm(), Epoch);
    append("removes", Index, &budget::Remove, Record, true);
    if (Model.Left.Permit > 0)
      maintenance(Index, Known, View);
    if (Model.Left.Work > 0 && Model.Running < 0 &&
        mayPlace(View, *Found, Now)) {
      auto &Next = branch(nameOf(Index) + " starts work");
      --Next.Left.Work;
      Next.Running = static_cast<int>(Known.Pool);
    } else if (Model.Running >= 0 && Index == 0) {
      branch("work ends").Running = -1;
    }
  }

  void maintenance(const std::size_t Index, const fleet::vm &Known,
                   const node_view &View) {
    wire::record Record;
    if (Known.usable()) {
      setVm(*Record.mutable_permit(), Known.Epoch);
      Record.mutable_permit()->set_action(Model.Log.size());
      append("permits", Index, &budget::Permit, Record, false);
    }
    if (Known.Maintenance == vm_maintenance::Permitted && Model.Running < 0 &&
        homeRight(View, Known.Pool, Known.Shard, timeOf(Model)) ==
            home_right::Held) {
      setVm(*Record.mutable_reboot(), Known.Epoch);
      Record.mutable_reboot()->set_action(Known.Action);
      append("reboots", Index, &budget::Permit, Record, false);
    }
  }

  const model &Model;
  std::vector<model> Out;
};

/** @brief A node that already folded the log and asked all others. */
void settleStart(model &Model) {
  for (auto &Node : Model.Nodes)
    poll(Model, *Node, Model.Log.size());
  for (std::size_t From = 0; From < Model.Nodes.size(); ++From) {
    for (std::size_t To = 0; To < Model.Nodes.size(); ++To) {
      if (From != To)
        ask(Model, *Model.Nodes[From], From, *Model.Nodes[To], To);
    }
  }
  for (auto &Node : Model.Nodes) {
    Node->Barrier.advance(stateOf(Model, *Node), timeOf(Model));
    Node->Events.clear();
  }
}

} // namespace

model makeModel(const int Nodes, const budget &Left, const faults &Faults) {
  model Model;
  Model.Left = Left;
  Model.Faults = Faults;
  Model.Log.push_back(&root());
  std::uint64_t Id = 1000;
  const auto Append = [&](wire::record Record) {
    Record.set_id(++Id);
    Record.set_at_ms(1'000'000);
    land(Model, Record);
  };
  wire::record Record;
  auto &Document = *Record.mutable_config()->add_documents();
  Document.set_name("m");
  Document.set_text("m pool=p:1:0 pool=q:1:0 pool=r:1:0");
  Append(Record);
  for (int Number = 1; Number <= Nodes; ++Number) {
    const node_id Node{static_cast<std::uint64_t>(Number)};
    const std::string Name(1, static_cast<char>('A' + Number - 1));
    Record.mutable_join()->set_node(static_cast<std::uint64_t>(Number));
    Record.mutable_join()->set_place(Name);
    Record.mutable_join()->set_name(Name);
    Append(Record);
    Model.Nodes.push_back(std::make_shared<model_node>(
        model_node{Node, true, 0, 0, {Node, Settings}, {Node, Settings}, {}}));
  }
  auto &Add = *Record.mutable_add_vm();
  Add.set_vm(Vm);
  Add.set_member("m");
  Add.set_pool("p");
  Add.set_condition(wire::VM_UP);
  Append(Record);
  settleStart(Model);
  return Model;
}

std::vector<model> nextModels(const model &Model) {
  return stepper{Model}.run();
}

model follow(model Model, const std::vector<std::string> &Steps) {
  for (const auto &Step : Steps) {
    auto Next = nextModels(Model);
    const auto Found =
        std::find_if(Next.begin(), Next.end(), [&](const model &Each) {
          return Each.Last->Text == Step;
        });
    GALENALINK_ASSERT(Found != Next.end(), Step.c_str());
    Model = std::move(*Found);
  }
  return Model;
}

std::uint64_t keyOf(const model &Model) {
  std::uint64_t Key = 0;
  const auto Mix = [&Key](const void *Data, const std::size_t Size) {
    Key = hash64({static_cast<const char *>(Data), Size}, Key);
  };
  const void *Log = Model.Log.back();
  Mix(&Log, sizeof(Log));
  Mix(&Model.Left, sizeof(Model.Left));
  Mix(&Model.Running, sizeof(Model.Running));
  for (const auto &Each : Model.Delayed) {
    const auto Bytes = Each.SerializeAsString();
    Mix(Bytes.data(), Bytes.size());
  }
  for (const auto &Node : Model.Nodes) {
    const std::uint64_t Fixed[]{Node->Alive ? 1U : 0U, Node->Start,
                                Node->Folded, Node->Events.size(),
                                Node->Authority.answers() ? 1U : 0U};
    Mix(Fixed, sizeof(Fixed));
    Mix(Node->Events.data(), Node->Events.size() * sizeof(std::uint32_t));
  }
  return Key;
}

std::string violation(const model &Model) {
  const auto Now = timeOf(Model);
  std::map<std::pair<pool_index, std::uint32_t>, int> Homes;
  std::map<pool_index, int> Placing;
  bool Rebooting = false;
  for (const auto &Node : Model.Nodes) {
    if (!Node->Alive)
      continue;
    const auto View = viewOf(Model, *Node);
    const auto &State = View.State;
    const bool NoWait = Model.Faults.SkipHomeBarrier;
    for (pool_index Pool = 0; Pool < State.Vms.pools().size(); ++Pool) {
      const auto Right = homeRight(View, Pool, 0, Now);
      if (Right == home_right::Held ||
          (NoWait && Right == home_right::BarrierPending))
        ++Homes[{Pool, 0}];
    }
    const auto Found = State.Vms.findVm(Vm);
    if (!Found)
      continue;
    const auto &Known = State.Vms.at(*Found);
    const bool Unchecked =
        Model.Faults.SkipAddBarrier && Known.usable() &&
        homeRight(View, Known.Pool, Known.Shard, Now) == home_right::Held;
    if (Unchecked || mayPlace(View, *Found, Now))
      ++Placing[Known.Pool];
    Rebooting = Rebooting || mayReboot(View, *Found, Now);
    // What the barrier states, checked against every other node.
    Node->Barrier.advance(State, Now);
    for (const auto &Other : Model.Nodes) {
      if (Other->Alive && Other->Authority.holds(Now) &&
          Other->Folded < Node->Barrier.reachedThrough())
        return "a node acts without an offset whose barrier is reached";
    }
  }
  for (const auto &Entry : Homes) {
    if (Entry.second > 1)
      return "two nodes are home of one shard";
  }
  if (Placing.size() > 1)
    return "two pools place on one VM";
  if (Rebooting && (!Placing.empty() || Model.Running >= 0))
    return "a VM is rebooted while work is placed or runs";
  const bool Foreign =
      !Placing.empty() && Model.Running >= 0 &&
      Placing.begin()->first != static_cast<pool_index>(Model.Running);
  if (Foreign && Model.Left.Remove == 0 && Model.Left.Add == 0)
    return "a pool places on a VM where work of another pool runs";
  return {};
}

std::string traceOf(const model &Model) {
  std::string Text;
  for (const auto *Step = Model.Last.get(); Step != nullptr;
       Step = Step->Before.get())
    Text.insert(0, "\n  " + Step->Text);
  return Text;
}

} // namespace galenalink::fleet::test
