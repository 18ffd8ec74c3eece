#include "vm_client.hpp"
#include "galenalink/http/loop.hpp"
#include "galenalink/http/server.hpp"
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace galenalink;
using namespace galenalink::job;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(platform_vm_client)

// A process that was suspended between an order and the event that writes it
// sent the order although its permission had run out meanwhile.
BOOST_AUTO_TEST_CASE(order_is_not_written_after_its_permission_has_run_out) {
  http::loop Loop;
  int Received = 0;
  http::server Server{Loop, {}, [&](http::exchange Exchange) {
                        ++Received;
                        Exchange.reply(200, {}, "{}");
                      }};
  http::client Client{Loop, {}};
  const auto Port = tryOr([&] { return Server.listen("127.0.0.1", 0); },
                          [](const error &) { return std::uint16_t{0}; });
  users_platform::vm_client Vms{Client, {"127.0.0.1", Port}, "node-1"};
  const auto Order = [&](const duration Validity, const duration Suspension) {
    vm_order Order{"vm-1", 7, "press", 0};
    Order.SendBy = boot_clock::now() + Validity;
    std::optional<vm_result> Result;
    Vms.sendOrder(Order, [&](const vm_result &Each) { Result = Each; });
    std::this_thread::sleep_for(Suspension);
    BOOST_REQUIRE(Loop.runUntil([&] { return Result.has_value(); },
                                boot_clock::now() + 5s));
    return Result->Outcome;
  };
  BOOST_CHECK(Order(5s, 0ms) == call_outcome::Done);
  BOOST_TEST(Received == 1);
  BOOST_CHECK(Order(50ms, 150ms) == call_outcome::Refused);
  BOOST_TEST(Received == 1);
}

BOOST_AUTO_TEST_SUITE_END()
