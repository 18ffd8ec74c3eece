#include "backend_server_client.hpp"
#include "galenalink/http/loop.hpp"
#include "galenalink/http/server.hpp"
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace galenalink;
using namespace galenalink::job;
using namespace galenalink::users_platform;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/** @brief A backend server on the wire that may start again under its id. */
struct restarting_server {
  http::loop Loop;
  std::int64_t Born{1000};
  int Status{200};
  std::vector<json> Starts;
  std::vector<json> Lists;
  http::server Server{Loop, {}, [this](http::exchange Exchange) {
                        auto &Received =
                            Exchange.path() == "/run-start" ? Starts : Lists;
                        Received.push_back(json::parse(Exchange.body()));
                        const json Body{{"clockMs", 5},
                                        {"born", Born},
                                        {"running", json::array()},
                                        {"finished", json::array()}};
                        Exchange.reply(Status, {}, Body.dump());
                      }};
  std::uint16_t Port{tryOr([&] { return Server.listen("127.0.0.1", 0); },
                           [](const error &) { return std::uint16_t{0}; })};
  http::client Http{Loop, {}};
  backend_server_client Client{Http};

  [[nodiscard]] server_target target(const std::int64_t StartedAtMs) const {
    return {"i-1", "127.0.0.1:" + std::to_string(Port), StartedAtMs};
  }

  order_result start(const std::int64_t StartedAtMs) {
    start_order Order;
    Order.Server = target(StartedAtMs);
    Order.Epoch = 7;
    Order.LeaseEndMs = 900000;
    Order.ResponseDeadline = boot_clock::now() + 5s;
    Order.Run = {{"0000000000000001", 0, 0, 0}, 1};
    std::optional<order_result> Result;
    Client.start(Order, [&](const order_result &Each) { Result = Each; });
    BOOST_REQUIRE(Loop.runUntil([&] { return Result.has_value(); },
                                boot_clock::now() + 10s));
    return *Result;
  }

  heartbeat_result list(const std::int64_t StartedAtMs,
                        const std::int64_t LeaseEndMs = 900000) {
    heartbeat_order Order;
    Order.Server = target(StartedAtMs);
    Order.Epoch = 7;
    Order.LeaseEndMs = LeaseEndMs;
    Order.LastStoredEnd = 57;
    std::optional<heartbeat_result> Result;
    Client.sendHeartbeat(Order,
                         [&](const heartbeat_result &Each) { Result = Each; });
    BOOST_REQUIRE(Loop.runUntil([&] { return Result.has_value(); },
                                boot_clock::now() + 10s));
    return *Result;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(platform_backend_server_client)

// A backend server that had started again under its id carried out a start
// order that was meant for its former incarnation. The leader did not know of
// the run and started the task elsewhere as well.
BOOST_AUTO_TEST_CASE(start_order_is_not_sent_to_a_later_incarnation) {
  restarting_server Server;
  Server.Born = 2000;
  BOOST_CHECK(Server.start(1000).Outcome == call_outcome::Replaced);
  BOOST_TEST(Server.Starts.empty());
  BOOST_CHECK(Server.start(2000).Outcome == call_outcome::Done);
  BOOST_TEST(Server.Starts.size() == 1U);
}

// A later incarnation took the lease and the acknowledgement of a heartbeat
// that was meant for the former one: its runs outlived the lease that the
// leader counted, and ends were dropped that the leader had not seen.
BOOST_AUTO_TEST_CASE(heartbeat_is_not_sent_to_a_later_incarnation) {
  restarting_server Server;
  Server.Born = 2000;
  BOOST_CHECK(Server.list(1000).Outcome == call_outcome::Replaced);
  BOOST_REQUIRE(Server.Lists.size() == 1U);
  BOOST_TEST(!Server.Lists.front().contains("deadlineMs"));
  BOOST_TEST(Server.Lists.front().at("lastSeen") == 0);
}

// The first heartbeat after one without a response took two requests, so that a
// backend server that lost half of them was out of service twice as long.
BOOST_AUTO_TEST_CASE(heartbeat_without_a_lease_needs_no_check_of_its_own) {
  restarting_server Server;
  BOOST_CHECK(Server.list(1000, 0).Outcome == call_outcome::Done);
  BOOST_REQUIRE(Server.Lists.size() == 1U);
  BOOST_CHECK(Server.list(1000).Outcome == call_outcome::Done);
  BOOST_REQUIRE(Server.Lists.size() == 2U);
  BOOST_TEST(Server.Lists.back().contains("deadlineMs"));
  BOOST_TEST(Server.Lists.back().at("lastSeen") == 57);
}

// A deposed leader must learn of its successor from the check of a new
// connection as from any other response.
BOOST_AUTO_TEST_CASE(fenced_check_is_reported_as_fenced) {
  restarting_server Server;
  Server.Status = 409;
  BOOST_CHECK(Server.start(1000).Outcome == call_outcome::Fenced);
  BOOST_CHECK(Server.list(1000).Outcome == call_outcome::Fenced);
  BOOST_TEST(Server.Starts.empty());
}

// A backend server that does not report its start must stay usable.
BOOST_AUTO_TEST_CASE(unknown_start_times_admit_any_incarnation) {
  restarting_server Server;
  BOOST_CHECK(Server.start(0).Outcome == call_outcome::Done);
  BOOST_TEST(Server.Lists.empty());
  Server.Born = 0;
  BOOST_CHECK(Server.start(1000).Outcome == call_outcome::Done);
  BOOST_TEST(Server.Starts.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
