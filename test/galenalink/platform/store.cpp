#include "galenalink/platform/store.hpp"
#include "galenalink/platform/base64.hpp"
#include "galenalink/platform/embedded.hpp"
#include <boost/test/unit_test.hpp>
#include <random>

using namespace galenalink;
using namespace galenalink::platform;
using namespace std::chrono_literals;

namespace {

constexpr time_point Start{1h};

std::vector<vm> oneVm() {
  return {{"vm-1", "halloran", "p1", "r1", "127.0.0.1:1", "proofs",
           vm_state::Live}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(store)

BOOST_AUTO_TEST_CASE(base64_round_trips_and_rejects_other_text) {
  BOOST_TEST(encodeBase64("foob") == "Zm9vYg==");
  std::mt19937 Random{7};
  for (std::size_t Size = 0; Size < 200; ++Size) {
    std::string Bytes(Size, '\0');
    for (char &Byte : Bytes)
      Byte = static_cast<char>(Random());
    BOOST_TEST((decodeBase64(encodeBase64(Bytes)) == Bytes));
  }
  for (const char *Bad : {"Z", "Zm9", "Zm9v=", "Z===", "====", "Zm=v", "Zm9*",
                          "Zm9\x80", "Zm9vYh==", "=m9v"})
    BOOST_TEST_CONTEXT(Bad) { BOOST_TEST(!decodeBase64(Bad).has_value()); }
}

BOOST_AUTO_TEST_CASE(expired_records_leave_first_and_end_consistent) {
  platform::store Store{{.MaxRecords = 4}};
  for (const char *Data : {"a", "b", "c", "d", "e"})
    Store.append(Data);
  BOOST_TEST((Store.read(1, 2) == log_page{2, 6, {{2, "b"}, {3, "c"}}}));
  Store.expire(100);
  BOOST_TEST((Store.read(1, 9) == log_page{6, 6, {}}));
  BOOST_TEST(Store.append("f") == 6U);
  BOOST_TEST((Store.read(7, 9) == log_page{6, 7, {}}));
}

// An action that is asked for again after a lost answer must not start again.
BOOST_AUTO_TEST_CASE(actions_are_idempotent_by_id) {
  platform::store Store{{.RebootTime = 2s}, oneVm()};
  BOOST_TEST(!Store.reboot("vm-9", 1, Start));
  BOOST_TEST((Store.action(1, Start) == action_state::Unknown));
  BOOST_TEST(Store.drain("vm-1", 2, Start));
  BOOST_TEST((Store.vms(Start).front().State == vm_state::Leaving));
  BOOST_TEST(Store.reboot("vm-1", 1, Start));
  BOOST_TEST((Store.action(1, Start + 1s) == action_state::Running));
  BOOST_TEST((Store.vms(Start + 1s).front().State == vm_state::Down));
  BOOST_TEST((Store.action(1, Start + 2s) == action_state::Done));
  BOOST_TEST(Store.reboot("vm-1", 1, Start + 3s));
  BOOST_TEST(Store.drain("vm-1", 2, Start + 3s));
  BOOST_TEST((Store.vms(Start + 3s).front().State == vm_state::Live));
  BOOST_TEST(Store.reboots("vm-1") == 1U);
}

BOOST_AUTO_TEST_CASE(embedded_answers_later_and_reports_what_is_unknown) {
  std::vector<std::function<void()>> Posted;
  embedded Embedded{{}, oneVm(), [] { return Start; }};
  const adapter Adapter = Embedded.makeAdapter(
      [&](auto Function) { Posted.push_back(std::move(Function)); });
  std::vector<append_state> States;
  const auto Append = [&] {
    Adapter.Append(1, "data", [&](const append_result &Result) {
      States.push_back(Result.State);
    });
  };
  Append();
  Embedded.loseAppendAnswers(1);
  Append();
  Embedded.setAvailable(false);
  Append();
  BOOST_TEST(States.empty());
  for (const auto &Function : Posted)
    Function();
  BOOST_TEST(
      (States == std::vector{append_state::Accepted, append_state::Unknown,
                             append_state::DidNotHappen}));
  BOOST_TEST(Embedded.data().read(1, 9).Records.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
