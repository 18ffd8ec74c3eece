#include "galenalink/http/client.hpp"
#include "galenalink/platform/embedded.hpp"
#include "galenalink/platform/http_adapter.hpp"
#include "standin/platform.hpp"
#include <boost/test/unit_test.hpp>
#include <random>

using namespace galenalink;
using namespace galenalink::platform;
using namespace std::chrono_literals;

namespace {

std::vector<vm> someVms() {
  return {{"vm 1/ä", "halloran", "p1", "r1", "127.0.0.1:1", "proofs",
           vm_state::Live},
          {"vm-2", "authority", "p2", "r2", "127.0.0.1:2", "trolleys",
           vm_state::Down}};
}

/** @brief The embedded platform and the stand-in behind HTTP, side by side. */
struct both {
  http::loop Loop;
  store::options Options{.RebootTime = 1h};
  embedded Embedded{Options, someVms()};
  standin::platform Standin{Loop, Options, someVms()};
  http::client Client{Loop, {}};
  std::vector<adapter> Adapters;

  both() {
    const std::uint16_t Port =
        tryOr([&] { return Standin.listen("127.0.0.1", 0); },
              [](const error &) { return std::uint16_t{0}; });
    BOOST_REQUIRE(Port != 0);
    Adapters.push_back(Embedded.makeAdapter(
        [this](auto Function) { Loop.post(std::move(Function)); }));
    Adapters.push_back(makeHttpAdapter(Client, {{"127.0.0.1", Port}, 20s}));
  }

  template <typename Type>
  Type await(const std::function<void(adapter::callback<Type>)> &Ask) {
    std::optional<Type> Result;
    Ask([&](const Type &Got) { Result = Got; });
    BOOST_TEST(!Result.has_value());
    BOOST_REQUIRE(Loop.runUntil([&] { return Result.has_value(); },
                                boot_clock::now() + 20s));
    return *Result;
  }
  /** @brief Asks both and returns the answer, which must be the same. */
  template <typename Type>
  Type same(const std::function<void(const adapter &, adapter::callback<Type>)>
                &Ask) {
    std::vector<Type> Results;
    for (const adapter &Adapter : Adapters)
      Results.push_back(await<Type>(
          [&](auto Callback) { Ask(Adapter, std::move(Callback)); }));
    BOOST_TEST((Results[0] == Results[1]));
    return Results[0];
  }
  log_page read(const log_offset From, const std::size_t Max) {
    return same<log_page>([&](const adapter &Adapter, auto Callback) {
      Adapter.Read(From, Max, [Callback](const auto &Got) {
        Callback(std::get<log_page>(Got));
      });
    });
  }
  std::vector<vm> vms() {
    return same<std::vector<vm>>([&](const adapter &Adapter, auto Callback) {
      Adapter.ListVms([Callback](const auto &Got) {
        Callback(std::get<std::vector<vm>>(Got));
      });
    });
  }
  action_state action(const std::uint64_t Id) {
    return same<action_state>([&](const adapter &Adapter, auto Callback) {
      Adapter.Action(Id, [Callback](const auto &Got) {
        Callback(std::get<action_state>(Got));
      });
    });
  }
  action_request act(const bool Reboot, const std::string &Vm,
                     const std::uint64_t Id) {
    return same<action_request>([&](const adapter &Adapter, auto Callback) {
      (Reboot ? Adapter.Reboot : Adapter.Drain)(Vm, Id, Callback);
    });
  }
  append_state append(const adapter &Adapter, const std::string &Data) {
    return await<append_result>(
               [&](auto Callback) { Adapter.Append(1, Data, Callback); })
        .State;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(contract)

BOOST_AUTO_TEST_CASE(log_is_the_same_in_process_and_over_http) {
  both Test;
  std::mt19937 Random{11};
  for (log_offset Offset = 1; Offset <= 60; ++Offset) {
    std::string Data(Random() % 300, '\0');
    for (char &Byte : Data)
      Byte = static_cast<char>(Random());
    const auto Accepted =
        Test.same<log_offset>([&](const adapter &Adapter, auto Callback) {
          Adapter.Append(Random(), Data, [Callback](const auto &Got) {
            Callback(Got.State == append_state::Accepted ? Got.Offset : 0);
          });
        });
    BOOST_TEST(Accepted == Offset);
    if (Offset == 30) {
      Test.Embedded.data().expire(10);
      Test.Standin.data().expire(10);
    }
    const log_offset From = 1 + Random() % (Offset + 3);
    const std::size_t Max = Random() % 9;
    const log_page Page = Test.read(From, Max);
    BOOST_TEST(Page.First == (Offset < 30 ? 1U : 10U));
    BOOST_TEST(Page.End == Offset + 1);
  }
}

BOOST_AUTO_TEST_CASE(vms_and_actions_are_the_same) {
  both Test;
  BOOST_TEST((Test.vms() == someVms()));
  BOOST_TEST((Test.action(5) == action_state::Unknown));
  BOOST_TEST((Test.act(true, "none", 5) == action_request::DidNotHappen));
  BOOST_TEST((Test.act(true, "vm 1/ä", 5) == action_request::Accepted));
  BOOST_TEST((Test.act(true, "vm 1/ä", 5) == action_request::Accepted));
  BOOST_TEST((Test.action(5) == action_state::Running));
  BOOST_TEST((Test.act(false, "vm-2", ~0ULL) == action_request::Accepted));
  BOOST_TEST((Test.action(~0ULL) == action_state::Done));
  BOOST_TEST((Test.vms()[0].State == vm_state::Down));
  BOOST_TEST((Test.vms()[1].State == vm_state::Leaving));
  BOOST_TEST(Test.Standin.data().reboots("vm 1/ä") == 1U);
}

BOOST_AUTO_TEST_CASE(faults_of_the_standin_take_effect) {
  both Test;
  const adapter &Adapter = Test.Adapters[1];
  Test.Standin.setFaults({.LoseAppendAnswers = 1});
  BOOST_TEST((Test.append(Adapter, "lost") == append_state::Unknown));
  BOOST_TEST((Test.append(Adapter, "kept") == append_state::Accepted));
  Test.Standin.setFaults({.Down = true});
  BOOST_TEST((Test.append(Adapter, "down") == append_state::DidNotHappen));
  Test.Standin.setFaults({.Hang = true});
  const adapter Hasty =
      makeHttpAdapter(Test.Client, {{"127.0.0.1", Test.Standin.port()}, 30ms});
  BOOST_TEST((Test.append(Hasty, "hang") == append_state::Unknown));
  Test.Standin.setFaults({.VmsLagMs = 3600000});
  Test.Standin.data().setState("vm-2", vm_state::Live);
  const auto Listed = Test.await<outcome_of<std::vector<vm>>>(
      [&](auto Callback) { Adapter.ListVms(Callback); });
  BOOST_TEST((std::get<std::vector<vm>>(Listed) == someVms()));
  BOOST_TEST(Test.Standin.data().read(1, 9).Records.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
