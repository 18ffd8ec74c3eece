#include "galenalink/platform/embedded.hpp"
#include <utility>

namespace galenalink::platform {

struct embedded::state {
  store Data;
  clock Clock;
  bool Available{true};
  std::size_t AnswersToLose{0};
};

namespace {

const error Outage{errc::Unavailable, "the embedded platform is not available"};

action_request toRequest(const bool Known) noexcept {
  return Known ? action_request::Accepted : action_request::DidNotHappen;
}

} // namespace

embedded::embedded(const store::options Options, std::vector<vm> Vms,
                   clock Clock)
    : State{std::make_shared<state>(
          state{store{Options, std::move(Vms)}, std::move(Clock)})} {}

adapter embedded::makeAdapter(const post &Post) const {
  adapter Adapter;
  Adapter.Append = [State = State, Post](const std::uint64_t, std::string Data,
                                         auto Callback) {
    append_result Result{append_state::DidNotHappen, 0, Outage.Message};
    if (State->Available) {
      Result = {
          append_state::Accepted, State->Data.append(std::move(Data)), {}};
      if (State->AnswersToLose > 0) {
        --State->AnswersToLose;
        Result = {append_state::Unknown, 0, "the answer was lost"};
      }
    }
    Post([Result, Callback] { Callback(Result); });
  };
  Adapter.Read = [State = State, Post](const log_offset From,
                                       const std::size_t Max, auto Callback) {
    outcome_of<log_page> Result = Outage;
    if (State->Available)
      Result = State->Data.read(From, Max);
    Post([Result = std::move(Result), Callback] { Callback(Result); });
  };
  Adapter.ListVms = [State = State, Post](auto Callback) {
    outcome_of<std::vector<vm>> Result = Outage;
    if (State->Available)
      Result = State->Data.vms(State->Clock());
    Post([Result = std::move(Result), Callback] { Callback(Result); });
  };
  Adapter.Reboot = [State = State, Post](const std::string &Vm,
                                         const std::uint64_t Action,
                                         auto Callback) {
    const auto Result = toRequest(
        State->Available && State->Data.reboot(Vm, Action, State->Clock()));
    Post([Result, Callback] { Callback(Result); });
  };
  Adapter.Drain = [State = State, Post](const std::string &Vm,
                                        const std::uint64_t Action,
                                        auto Callback) {
    const auto Result = toRequest(
        State->Available && State->Data.drain(Vm, Action, State->Clock()));
    Post([Result, Callback] { Callback(Result); });
  };
  Adapter.Action = [State = State, Post](const std::uint64_t Action,
                                         auto Callback) {
    outcome_of<action_state> Result = Outage;
    if (State->Available)
      Result = State->Data.action(Action, State->Clock());
    Post([Result, Callback] { Callback(Result); });
  };
  return Adapter;
}

store &embedded::data() noexcept { return State->Data; }

void embedded::setAvailable(const bool Available) noexcept {
  State->Available = Available;
}

void embedded::loseAppendAnswers(const std::size_t Count) noexcept {
  State->AnswersToLose = Count;
}

} // namespace galenalink::platform
