#include "galenalink/http/client.hpp"
#include "galenalink/http/server.hpp"
#include "soak/tcp_proxy.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::soak;

namespace {

constexpr duration Millisecond = std::chrono::milliseconds{1};

/** A server behind a proxy, and a client that calls it once at a time. */
struct proxied_server {
  http::loop Loop;
  int Received{0};
  http::server Server{Loop, {}, [this](http::exchange Exchange) {
                        ++Received;
                        Exchange.reply(200, {}, "done");
                      }};
  std::unique_ptr<tcp_proxy> Proxy;
  http::client Client{Loop, {}};

  proxied_server() {
    static_cast<void>(Server.listen("127.0.0.1", 0));
    Proxy = std::make_unique<tcp_proxy>(
        Loop, http::address{"127.0.0.1", Server.port()});
  }

  /** @return Status of the answer, 0 without one. */
  int call(const duration Timeout) {
    std::optional<http::answer> Answer;
    http::request Request;
    Request.Path = "/";
    Client.send(Proxy->address(), std::move(Request),
                boot_clock::now() + Timeout,
                [&](const http::answer &Each) { Answer = Each; });
    static_cast<void>(
        Loop.runUntil([&] { return Answer.has_value(); },
                      boot_clock::now() + Timeout + 5000 * Millisecond));
    const auto *Response = std::get_if<http::response>(&*Answer);
    return Response == nullptr ? 0 : Response->Status;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(loopback_proxy)

// Guards against a soak whose faults do not act: without a fault each request
// passes, and held bytes pass once the fault ends.
BOOST_AUTO_TEST_CASE(cuts_hold_bytes_of_their_direction) {
  proxied_server Fixture;
  BOOST_TEST(Fixture.call(5000 * Millisecond) == 200);
  Fixture.Proxy->setFault(link_fault::CutToTarget);
  BOOST_TEST(Fixture.call(200 * Millisecond) == 0);
  BOOST_TEST(Fixture.Received == 1);
  Fixture.Proxy->setFault(link_fault::CutToSource);
  BOOST_TEST(Fixture.call(200 * Millisecond) == 0);
  BOOST_TEST(Fixture.Received > 1);
  Fixture.Proxy->setFault(link_fault::Silent);
  BOOST_TEST(Fixture.call(200 * Millisecond) == 0);
  Fixture.Proxy->setFault(link_fault::None);
  BOOST_TEST(Fixture.call(5000 * Millisecond) == 200);
}

// Guards against a delay that is not applied or that loses bytes.
BOOST_AUTO_TEST_CASE(delayed_bytes_arrive_late) {
  proxied_server Fixture;
  Fixture.Proxy->setFault(link_fault::Delayed, 100 * Millisecond);
  const time_point Start = boot_clock::now();
  BOOST_TEST(Fixture.call(5000 * Millisecond) == 200);
  BOOST_TEST((boot_clock::now() - Start >= 200 * Millisecond));
}

// Guards against silenced connections that recover, and against silence that
// also affects new connections.
BOOST_AUTO_TEST_CASE(silenced_connections_stay_silent) {
  proxied_server Fixture;
  BOOST_TEST(Fixture.call(5000 * Millisecond) == 200);
  Fixture.Proxy->silenceConnections();
  BOOST_TEST(Fixture.call(200 * Millisecond) == 0);
  BOOST_TEST(Fixture.Received == 1);
  BOOST_TEST(Fixture.call(5000 * Millisecond) == 200);
}

// Guards against held bytes that are lost once their sender has closed its end,
// and against a hold that also affects new connections.
BOOST_AUTO_TEST_CASE(held_connections_deliver_when_released) {
  proxied_server Fixture;
  BOOST_TEST(Fixture.call(5000 * Millisecond) == 200);
  Fixture.Proxy->setFault(link_fault::Silent);
  BOOST_TEST(Fixture.call(200 * Millisecond) == 0);
  Fixture.Proxy->holdConnections();
  Fixture.Proxy->setFault(link_fault::None);
  BOOST_TEST(Fixture.call(5000 * Millisecond) == 200);
  BOOST_TEST(!Fixture.Loop.runUntil([&] { return Fixture.Received > 2; },
                                    boot_clock::now() + 200 * Millisecond));
  Fixture.Proxy->releaseConnections();
  BOOST_TEST(Fixture.Loop.runUntil([&] { return Fixture.Received > 2; },
                                   boot_clock::now() + 5000 * Millisecond));
}

// Guards against a reset that leaves requests without an end.
BOOST_AUTO_TEST_CASE(reset_ends_open_requests) {
  proxied_server Fixture;
  Fixture.Proxy->setFault(link_fault::CutToSource);
  const auto Reset =
      Fixture.Loop.at(boot_clock::now() + 100 * Millisecond,
                      [&] { Fixture.Proxy->resetConnections(); });
  const time_point Start = boot_clock::now();
  BOOST_TEST(Fixture.call(20000 * Millisecond) == 0);
  BOOST_TEST((boot_clock::now() - Start < 10000 * Millisecond));
}

BOOST_AUTO_TEST_SUITE_END()
