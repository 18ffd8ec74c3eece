#include "served.hpp"

using namespace galenalink;
using namespace galenalink::http;
using namespace galenalink::http::test;
using namespace std::chrono_literals;

namespace {

const std::string TooLarge = "POST / HTTP/1.1\r\nContent-Length: 2000\r\n\r\n";
const std::string Ordinary = "GET / HTTP/1.1\r\n\r\n";

server_options smallBodies() {
  server_options Options;
  Options.MaxHeaderBytes = 512;
  Options.MaxBodyBytes = 1024;
  return Options;
}

} // namespace

BOOST_AUTO_TEST_SUITE(rejected_requests)

BOOST_AUTO_TEST_CASE(oversized_requests_are_refused) {
  served Test{smallBodies()};
  const auto Head = Test.connect(
      "GET / HTTP/1.1\r\nA: " + std::string(600, 'a') + "\r\n\r\n");
  BOOST_TEST(Test.waitEnd(*Head));
  const auto Body =
      Test.connect("POST / HTTP/1.1\r\nContent-Length: 2000\r\n\r\n" +
                   std::string(2000, 'b'));
  BOOST_TEST(Test.waitEnd(*Body));
  BOOST_TEST(Body->Read.starts_with("HTTP/1.1 413"));
  const auto Chunked = Test.connect(
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" +
      std::string(2000, 'c') + "\r\n0\r\n\r\n");
  BOOST_TEST(Test.waitEnd(*Chunked));
  BOOST_TEST(Test.Received == 0U);
}

// The client waits for an answer before it sends the body.
BOOST_AUTO_TEST_CASE(oversized_body_is_refused_by_its_length) {
  served Test{smallBodies()};
  const auto First = Test.connect(TooLarge);
  BOOST_TEST(Test.waitEnd(*First));
  BOOST_TEST(First->Read.starts_with("HTTP/1.1 413"));
  const auto Later = Test.connect(Ordinary);
  BOOST_REQUIRE(Test.waitHeld(1));
  Test.Held.front().reply(200, {}, "answer");
  BOOST_TEST(Test.waitText(*Later, "answer"));
  Later->write(TooLarge);
  BOOST_TEST(Test.waitEnd(*Later));
  BOOST_TEST(Later->Read.find("HTTP/1.1 413") != std::string::npos);
  BOOST_TEST(Test.Received == 1U);
  BOOST_TEST(Test.Server->counters().Invalid == 2U);
}

// A client that neither closes nor stops sending must not keep its connection.
BOOST_AUTO_TEST_CASE(rejected_connection_is_closed_after_its_timeout) {
  server_options Options = smallBodies();
  Options.LingerTimeout = 50ms;
  served Test{Options};
  const auto Socket = Test.connect(TooLarge);
  BOOST_TEST(Test.waitEnd(*Socket));
  const auto Drip = Test.Loop.every(5ms, [&] { Socket->write("b"); });
  BOOST_TEST(wait(Test.Loop, [&] { return Test.Server->connections() == 0; }));
  BOOST_TEST(Test.Server->counters().TimedOut == 0U);
}

// Rejected connections that stay open must not keep others out.
BOOST_AUTO_TEST_CASE(rejected_connection_gives_way) {
  server_options Options = smallBodies();
  Options.MaxConnections = 1;
  Options.MinWaitForRoom = 1h;
  Options.LingerTimeout = 1h;
  served Test{Options};
  const auto Rejected = Test.connect(TooLarge);
  BOOST_TEST(Test.waitEnd(*Rejected));
  const auto New = Test.connect(Ordinary);
  BOOST_REQUIRE(Test.waitHeld(1));
  Test.Held.front().reply(200, {}, "answer");
  BOOST_TEST(Test.waitText(*New, "answer"));
}

// The response must arrive although the client sends for much longer than the
// server reads.
BOOST_AUTO_TEST_CASE(client_that_sends_on_reads_the_response) {
  constexpr std::size_t BodyBytes = std::size_t{4} << 20U;
  server_options Options = smallBodies();
  served Test{Options};
  const std::string Body(BodyBytes, 'b');
  const auto Socket = Test.connect("POST / HTTP/1.1\r\nContent-Length: " +
                                   std::to_string(BodyBytes) + "\r\n\r\n");
  std::size_t Sent = 0;
  BOOST_TEST(wait(Test.Loop, [&] {
    Sent += Socket->writeSome(Body.substr(Sent));
    return Sent == BodyBytes;
  }));
  BOOST_TEST(Test.waitEnd(*Socket));
  BOOST_TEST(Socket->Read.starts_with("HTTP/1.1 413"));
}

BOOST_AUTO_TEST_SUITE_END()
