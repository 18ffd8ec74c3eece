#include "galenalink/http/loop.hpp"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <vector>

using namespace galenalink;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(loop)

BOOST_AUTO_TEST_CASE(timers_fire_in_order_and_not_early) {
  http::loop Loop;
  std::vector<int> Order;
  const time_point Start = boot_clock::now();
  time_point Fired{};
  const auto Late = Loop.at(Start + 20ms, [&] {
    Fired = boot_clock::now();
    Order.push_back(2);
  });
  const auto Early = Loop.at(Start + 5ms, [&] { Order.push_back(1); });
  const auto Past = Loop.at(NoDeadline, [&] { Order.push_back(0); });
  BOOST_TEST(Loop.runUntil([&] { return Order.size() == 3; }, Start + 10s));
  BOOST_TEST((Order == std::vector{0, 1, 2}));
  BOOST_TEST((Fired >= Start + 20ms));
}

// A timer that is destroyed or replaced in its own function must neither run
// again nor free the function that is running.
BOOST_AUTO_TEST_CASE(timer_may_be_replaced_in_its_own_function) {
  http::loop Loop;
  int Calls = 0;
  bool Done = false;
  http::timer Timer;
  Timer = Loop.every(1ms, [&, Text = std::string(64, 'x')] {
    ++Calls;
    Timer = Loop.at(boot_clock::now() + 5ms, [&] { Done = true; });
    BOOST_TEST(Text == std::string(64, 'x'));
  });
  BOOST_TEST(Loop.runUntil([&] { return Done; }, boot_clock::now() + 10s));
  BOOST_TEST(Calls == 1);
  BOOST_TEST(!Timer.pending());
}

BOOST_AUTO_TEST_CASE(cancelled_timer_does_not_fire) {
  http::loop Loop;
  int Calls = 0;
  bool Done = false;
  auto First = Loop.at(boot_clock::now() + 1ms, [&] { ++Calls; });
  First.cancel();
  {
    const auto Second = Loop.every(1ms, [&] { ++Calls; });
  }
  const auto End = Loop.at(boot_clock::now() + 10ms, [&] { Done = true; });
  BOOST_TEST(Loop.runUntil([&] { return Done; }, boot_clock::now() + 10s));
  BOOST_TEST(Calls == 0);
}

BOOST_AUTO_TEST_CASE(posted_functions_and_signals_run_in_the_loop) {
  http::loop Loop;
  std::vector<int> Order;
  Loop.onSignal(SIGUSR1, [&] {
    Order.push_back(3);
    Loop.stop();
  });
  Loop.post([&] {
    Order.push_back(1);
    Loop.post([&] {
      Order.push_back(2);
      std::raise(SIGUSR1);
    });
  });
  BOOST_TEST(Order.empty());
  Loop.run();
  BOOST_TEST((Order == std::vector{1, 2, 3}));
}

// Guards against responses for the leader election that wait for a whole turn
// of a busy loop: an urgent function must run before events that are active.
BOOST_AUTO_TEST_CASE(urgent_functions_run_before_active_events) {
  http::loop Loop;
  std::vector<int> Order;
  Loop.post([&] {
    Order.push_back(2);
    Loop.stop();
  });
  Loop.postUrgent([&] {
    Order.push_back(0);
    Loop.postUrgent([&] { Order.push_back(1); });
  });
  Loop.run();
  BOOST_TEST((Order == std::vector{0, 1, 2}));
}

// A leader with hundreds of responses to handle ran all of their callbacks in
// one go, and its heartbeat was late by that time.
BOOST_AUTO_TEST_CASE(urgent_timer_does_not_wait_for_all_posted_functions) {
  http::loop Loop;
  constexpr int Functions = 200;
  const time_point Start = boot_clock::now();
  std::vector<int> Order;
  int RunBeforeTimer = -1;
  const auto Timer = Loop.beforeEvents(
      Start + 10ms, [&] { RunBeforeTimer = static_cast<int>(Order.size()); });
  for (int I = 0; I < Functions; ++I)
    Loop.post([&, I] {
      Order.push_back(I);
      const time_point End = boot_clock::now() + 1ms;
      while (boot_clock::now() < End) {
      }
    });
  BOOST_TEST(
      Loop.runUntil([&] { return Order.size() == Functions; }, Start + 10s));
  BOOST_TEST(std::ranges::is_sorted(Order));
  BOOST_TEST(RunBeforeTimer >= 0);
  BOOST_TEST(RunBeforeTimer <= Functions / 4);
}

BOOST_AUTO_TEST_SUITE_END()
