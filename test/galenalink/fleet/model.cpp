#include "galenalink/fleet/model.hpp"
#include "galenalink/core/assert.hpp"
#include "galenalink/core/hash.hpp"
#include "galenalink/fleet/apply.hpp"
#include "galenalink/fleet/documents.hpp"
#include "galenalink/fleet/model_detail.hpp"
#include <algorithm>

namespace galenalink::fleet::test {

using namespace detail;

namespace {

prefix &root() {
  static prefix Root{std::make_shared<state>(parseWords), {}, {}, {}};
  return Root;
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

void fold(const model &Model, model_node &Node, const log_offset Through) {
  while (Node.Folded < Through) {
    ++Node.Folded;
    note(Model, Node, saw::Fold, 0, Node.Folded);
    Node.Authority.folded(stateOf(Model, Node), timeOf(Model));
    Node.Barrier.folded(stateOf(Model, Node), timeOf(Model));
  }
}

} // namespace

namespace detail {

time_point timeOf(const model &Model) {
  return NoDeadline + std::chrono::seconds{1000 + Model.Tick};
}

const state &stateOf(const model &Model, const model_node &Node) {
  return *Model.Log[Node.Folded]->State;
}

model_node &own(model &Model, const std::size_t Index) {
  auto &Node = Model.Nodes[Index];
  Node = std::make_shared<model_node>(*Node);
  return *Node;
}

node_view viewOf(const model &Model, model_node &Node) {
  return {Node.Id, stateOf(Model, Node), seatsOf(Model, Node), Node.Authority,
          Node.Barrier};
}

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
  const auto Position = std::lower_bound(Block, Node.Events.end(), Code);
  if (Position != Node.Events.end() && *Position == Code)
    return false;
  Node.Events.insert(Position, Code);
  return true;
}

bool poll(const model &Model, model_node &Node, const log_offset Records) {
  const auto End = Model.Log.size();
  const bool New = note(Model, Node, saw::Read, 0, End);
  Node.Authority.logRead(stateOf(Model, Node), timeOf(Model), End);
  const auto Through = std::min<log_offset>(End - 1, Node.Folded + Records);
  const bool Folds = Through > Node.Folded;
  fold(Model, Node, Through);
  return New || Folds;
}

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

} // namespace detail

namespace {

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
