#include "galenalink/core/hash.hpp"
#include "galenalink/fleet/model_detail.hpp"

namespace galenalink::fleet::test {

using namespace detail;

namespace {

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

} // namespace

std::vector<model> nextModels(const model &Model) {
  return stepper{Model}.run();
}

} // namespace galenalink::fleet::test
