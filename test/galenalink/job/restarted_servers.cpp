#include "one_pool.hpp"

using namespace galenalink;
using namespace galenalink::job;
using namespace galenalink::test;

BOOST_AUTO_TEST_SUITE(restarted_servers)

// A backend server started again under its id. All its runs had ended, so their
// tasks must start again, and only once.
BOOST_AUTO_TEST_CASE(tasks_of_a_restarted_server_start_again) {
  one_pool Platform{2};
  Platform.submit("press", "a", makeJob({makeStep(6, 4000, 2000)}));
  Platform.advance(Second);
  Platform.restart("s0");
  Platform.advance(6 * Second);
  BOOST_CHECK(Platform.stateOf("a") == job_state::Completed);
  checkNoViolations(Platform);
}

// The response to an order for the former incarnation arrived after the new one
// had been registered. The leader took it for one of the new incarnation, and
// all runs there for lost: their tasks started a second time elsewhere.
BOOST_AUTO_TEST_CASE(late_response_of_the_former_incarnation_is_ignored) {
  one_pool Platform{1};
  Platform.submit("press", "a", makeJob({makeStep(1, 4000, 20000)}));
  Platform.advance(Second);
  const auto Stop = Platform.Ports.Stop;
  std::function<void(order_result)> Respond;
  Platform.Ports.Stop = [&](const stop_order &, const auto &Callback) {
    Respond = Callback;
  };
  Platform.Leader->cancel({"a"}, [](const caller_reply &) {});
  Platform.advance(Second / 2);
  BOOST_REQUIRE(Respond);
  Platform.Ports.Stop = Stop;
  Platform.restart("s0");
  Platform.advance(Second);
  Platform.submit("press", "b", makeJob({makeStep(2, 4000, 20000)}));
  Platform.advance(Second);
  const auto &Server = *Platform.Leader->state().Servers.at("s0");
  BOOST_REQUIRE(Server.Runs.size() == 2U);
  Respond({call_outcome::Replaced, start_refusal::None, 0});
  BOOST_TEST(Server.Runs.size() == 2U);
  BOOST_TEST(Server.Synced);
}

// The start of an incarnation became known while a heartbeat was under way. Its
// response was ignored as one of another incarnation, and no heartbeat
// followed.
BOOST_AUTO_TEST_CASE(heartbeats_go_on_when_the_start_becomes_known) {
  simulated_platform Platform;
  Platform.addServer("s0", "press").Entry.StartedAtMs = 0;
  Platform.elect();
  Platform.advance(Second);
  const server &Server = *Platform.Leader->state().Servers.at("s0");
  for (int I = 0; I < 50 && !Server.HeartbeatPending; ++I)
    Platform.advance(20 * Millisecond);
  BOOST_REQUIRE(Server.HeartbeatPending);
  Platform.Servers.at("s0").Entry.StartedAtMs = 5;
  Platform.advance(Second);
  Platform.submit("press", "a", makeJob({makeStep(2, 4000, 500)}));
  Platform.advance(3 * Second);
  BOOST_CHECK(Platform.stateOf("a") == job_state::Completed);
}

BOOST_AUTO_TEST_SUITE_END()
