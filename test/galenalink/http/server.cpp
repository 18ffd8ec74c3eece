#include "galenalink/http/server.hpp"
#include "served.hpp"
#include <vector>

using namespace galenalink;
using namespace galenalink::http;
using namespace galenalink::http::test;
using namespace std::chrono_literals;

namespace {

const std::string Get = "GET /a%20b?x=1%2B1&y= HTTP/1.1\r\nHost: a\r\n"
                        "Some-Header: value\r\n\r\n";
const std::string Post =
    "POST /run HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody";

} // namespace

BOOST_AUTO_TEST_SUITE(server)

BOOST_AUTO_TEST_CASE(request_is_parsed_and_answered_later) {
  served Test;
  const auto Socket = Test.connect(Get);
  BOOST_REQUIRE(Test.waitHeld(1));
  exchange &First = Test.Held.front();
  BOOST_TEST((First.method() == method::Get));
  BOOST_TEST(First.path() == "/a%20b");
  BOOST_TEST((First.query("x") == "1+1"));
  BOOST_TEST((First.query("y") == ""));
  BOOST_TEST(!First.query("z").has_value());
  BOOST_TEST((First.header("some-header") == "value"));
  BOOST_TEST(Test.Server->openExchanges() == 1U);
  First.reply(200, {{"A", "b"}}, "first");
  First.reply(500, {}, "second");
  BOOST_TEST(Test.waitText(*Socket, "first"));
  Test.Held.clear();
  Socket->write(Post);
  BOOST_REQUIRE(Test.waitHeld(1));
  BOOST_TEST(Test.Held.front().body() == "body");
  Test.Held.clear();
  BOOST_TEST(Test.waitText(*Socket, "HTTP/1.1 500"));
  BOOST_TEST(Socket->Read.find("second") == std::string::npos);
  BOOST_TEST(
      wait(Test.Loop, [&] { return Test.Server->openExchanges() == 0; }));
}

// evhttp stops the process if it reads pipelined bytes while it handles a
// request; watching for the peer's close must not cause that.
BOOST_AUTO_TEST_CASE(pipelined_requests_are_handled_in_order) {
  served Test;
  const auto Socket = Test.connect(Post + Get + Post);
  for (int Each = 0; Each < 3; ++Each) {
    BOOST_REQUIRE(Test.waitHeld(1));
    Test.Held.front().onPeerClosed([] {});
    Socket->write(Get);
    bool Waited = false;
    const auto End =
        Test.Loop.at(boot_clock::now() + 5ms, [&] { Waited = true; });
    BOOST_TEST(wait(Test.Loop, [&] { return Waited; }));
    BOOST_TEST(Test.Received == static_cast<std::size_t>(Each) + 1);
    Test.Held.front().reply(200, {}, "answer" + std::to_string(Each));
    Test.Held.clear();
  }
  BOOST_TEST(Test.waitText(*Socket, "answer2"));
}

// Requests that a client pipelined while it did not read the responses were
// buffered without bound.
BOOST_AUTO_TEST_CASE(input_is_not_read_while_a_reply_is_unread) {
  constexpr std::size_t MaxTaken = 64U << 20U; // more than kernel buffers hold
  loop Loop;
  std::size_t Received = 0;
  http::server Server{Loop, {}, [&](exchange Exchange) {
                        ++Received;
                        Exchange.reply(200, {}, std::string(65536, 'r'));
                      }};
  raw_socket Socket{raw_socket::connectTo(listenOrFail(Server))};
  std::string Requests;
  while (Requests.size() < 65536)
    Requests += Get;
  std::size_t Taken = 0;
  time_point LastTaken = boot_clock::now();
  BOOST_TEST(wait(Loop, [&] {
    const std::size_t Sent =
        Socket.writeSome(Requests.substr(Taken % Requests.size()));
    Taken += Sent;
    if (Sent > 0)
      LastTaken = boot_clock::now();
    return Taken >= MaxTaken || boot_clock::now() >= LastTaken + 200ms;
  }));
  BOOST_TEST(Taken < MaxTaken);
  const std::size_t BeforeReading = Received;
  BOOST_TEST(wait(Loop, [&] {
    Socket.poll();
    Socket.Read.clear();
    return Received > BeforeReading + 100;
  }));
}

BOOST_AUTO_TEST_CASE(peer_that_closes_is_reported_once) {
  for (const bool Reset : {false, true}) {
    served Test;
    auto Socket = Test.connect(Post);
    BOOST_REQUIRE(Test.waitHeld(1));
    int Closed = 0;
    Test.Held.front().onPeerClosed([&] { ++Closed; });
    if (Reset)
      Socket->reset();
    Socket->disconnect();
    BOOST_TEST(wait(Test.Loop, [&] { return Closed == 1; }));
    Test.Held.front().reply(200, {}, "nobody reads this");
    BOOST_TEST(
        wait(Test.Loop, [&] { return Test.Server->connections() == 0; }));
    BOOST_TEST(Closed == 1);
  }
}

// A body that lacks bytes must not reach the handler.
BOOST_AUTO_TEST_CASE(incomplete_requests_are_not_handled) {
  const std::string Head = "POST /run HTTP/1.1\r\nHost: a\r\n";
  for (const std::string &Case :
       {Head, Head + "Content-Length: 5\r\n\r\nbody",
        Head + "\r\nbody without a length",
        Head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
        Head + "Content-Length: -1\r\n\r\nbody", std::string{"\r\n\r\n"},
        std::string{"PATCH / HTTP/1.1\r\n\r\n"}}) {
    BOOST_TEST_CONTEXT(Case) {
      served Test;
      const auto Socket = Test.connect(Case);
      Socket->endWriting();
      BOOST_TEST(Test.waitEnd(*Socket));
      BOOST_TEST(
          wait(Test.Loop, [&] { return Test.Server->connections() == 0; }));
      BOOST_TEST(Test.Received == 0U);
    }
  }
}

// A sender that keeps a connection busy with one byte now and then must be
// cut, on a new connection and on a kept one.
BOOST_AUTO_TEST_CASE(slow_senders_are_cut) {
  server_options Options;
  Options.ReceiveTimeout = 60ms;
  served Test{Options};
  const auto Fresh = Test.connect("G");
  const auto Kept = Test.connect(Post);
  BOOST_REQUIRE(Test.waitHeld(1));
  Test.Held.front().reply(200, {}, "answer");
  BOOST_TEST(Test.waitText(*Kept, "answer"));
  const auto Drip = Test.Loop.every(5ms, [&] {
    Fresh->write("E");
    Kept->write("P");
  });
  BOOST_TEST(Test.waitEnd(*Fresh));
  BOOST_TEST(Test.waitEnd(*Kept));
  BOOST_TEST(wait(Test.Loop, [&] { return Test.Server->connections() == 0; }));
}

BOOST_AUTO_TEST_CASE(idle_connections_are_cut_but_not_a_long_request) {
  server_options Options;
  Options.IdleTimeout = 30ms;
  Options.ReceiveTimeout = 30ms;
  served Test{Options};
  const auto Idle = Test.connect(Post);
  BOOST_REQUIRE(Test.waitHeld(1));
  Test.Held.front().reply(200, {}, "");
  const auto Long = Test.connect(Post);
  BOOST_REQUIRE(Test.waitHeld(2));
  BOOST_TEST(Test.waitEnd(*Idle));
  Test.Held.back().reply(200, {}, "answer");
  BOOST_TEST(Test.waitText(*Long, "answer"));
}

BOOST_AUTO_TEST_CASE(connections_are_bounded) {
  server_options Options;
  Options.MaxConnections = 2;
  served Test{Options};
  auto First = Test.connect("");
  const auto Second = Test.connect(Post);
  BOOST_REQUIRE(Test.waitHeld(1));
  const auto Third = Test.connect(Post);
  bool Waited = false;
  const auto End =
      Test.Loop.at(boot_clock::now() + 20ms, [&] { Waited = true; });
  BOOST_TEST(wait(Test.Loop, [&] { return Waited; }));
  BOOST_TEST(Test.Server->connections() == 2U);
  BOOST_TEST(Test.Received == 1U);
  First.reset();
  BOOST_TEST(Test.waitHeld(2));
}

// Connections that are only opened kept new callers out until their timeout.
BOOST_AUTO_TEST_CASE(full_server_closes_the_connection_that_waited_longest) {
  server_options Options;
  Options.MaxConnections = 3;
  Options.MinWaitForRoom = 20ms;
  served Test{Options};
  const auto Handled = Test.connect(Post);
  BOOST_REQUIRE(Test.waitHeld(1));
  const auto Opened = Test.connect("");
  BOOST_TEST(wait(Test.Loop, [&] { return Test.Server->connections() == 2; }));
  const auto Begun = Test.connect("P");
  const auto New = Test.connect(Post);
  BOOST_TEST(Test.waitHeld(2));
  BOOST_TEST(Test.waitEnd(*Opened));
  const auto Newest = Test.connect(Post);
  BOOST_TEST(Test.waitHeld(3));
  BOOST_TEST(Test.waitEnd(*Begun));
  BOOST_TEST(Test.Server->connections() == 3U);
  BOOST_TEST(Test.Server->counters().ClosedForRoom == 2U);
  for (auto &Each : Test.Held)
    Each.reply(200, {}, "answer");
  BOOST_TEST(Test.waitText(*Handled, "answer"));
  BOOST_TEST(Test.waitText(*New, "answer"));
  BOOST_TEST(Test.waitText(*Newest, "answer"));
}

// A client that reads the responses, but sends faster than they are written,
// had all its requests buffered.
BOOST_AUTO_TEST_CASE(pipelined_input_is_bounded) {
  constexpr std::size_t Count = 20000;
  loop Loop;
  std::size_t Received = 0;
  std::size_t MaxHeld = 0;
  std::optional<http::server> Server;
  Server.emplace(Loop, server_options{}, [&](exchange Exchange) {
    ++Received;
    MaxHeld = std::max(MaxHeld, Server->heldBytes());
    Exchange.reply(200, {}, "r");
  });
  raw_socket Socket{raw_socket::connectTo(listenOrFail(*Server))};
  std::string Requests;
  for (std::size_t I = 0; I < Count; ++I)
    Requests += Get;
  std::size_t Sent = 0;
  BOOST_TEST(wait(Loop, [&] {
    Sent += Socket.writeSome(Requests.substr(Sent, 1U << 20U));
    Socket.poll();
    return Received == Count;
  }));
  BOOST_TEST(MaxHeld < 64U << 10U);
}

namespace {

std::string largePost(const std::size_t Bytes) {
  return "POST /run HTTP/1.1\r\nContent-Length: " + std::to_string(Bytes) +
         "\r\n\r\n" + std::string(Bytes, 'b');
}

/** @brief Writes to all sockets in turn until the condition holds. */
bool writeUntil(served &Test, const std::vector<raw_socket *> &Sockets,
                const std::string &Text,
                const std::function<bool()> &Condition) {
  std::vector<std::size_t> Sent(Sockets.size());
  return wait(Test.Loop, [&] {
    for (std::size_t I = 0; I < Sockets.size(); ++I)
      Sent[I] += Sockets[I]->writeSome(Text.substr(Sent[I], 8192));
    return Condition();
  });
}

} // namespace

// Bodies of the largest size on many connections at the same time exhausted the
// memory. Those that wait must be served once there is room.
BOOST_AUTO_TEST_CASE(large_requests_take_turns) {
  constexpr std::size_t Body = 200000;
  server_options Options;
  Options.MaxBodyBytes = Body;
  Options.MaxLargeRequestBytes = Body;
  served Test{Options};
  std::vector<std::unique_ptr<raw_socket>> Clients;
  std::vector<raw_socket *> Sockets;
  for (int I = 0; I < 8; ++I) {
    Clients.push_back(Test.connect(""));
    Sockets.push_back(Clients.back().get());
  }
  std::size_t MaxHeld = 0;
  std::size_t Served = 0;
  BOOST_TEST(writeUntil(Test, Sockets, largePost(Body), [&] {
    MaxHeld = std::max(MaxHeld, Test.Server->heldBytes());
    for (auto &Each : Test.Held) {
      Served += Each.body().size() == Body ? 1 : 0;
      Each.reply(200, {}, "answer");
    }
    Test.Held.clear();
    return Served == Clients.size();
  }));
  BOOST_TEST(MaxHeld < 3 * Body);
  BOOST_TEST(Test.Server->counters().LargeDelayed > 0U);
  BOOST_TEST(Test.Server->counters().Refused == 0U);
}

// A refused request must not have been handled.
BOOST_AUTO_TEST_CASE(large_requests_are_refused_while_others_hold_the_memory) {
  constexpr std::size_t Body = 200000;
  server_options Options;
  Options.MaxBodyBytes = Body;
  Options.MaxLargeRequestBytes = Body;
  served Test{Options};
  const auto First = Test.connect("");
  BOOST_TEST(writeUntil(Test, {First.get()}, largePost(Body),
                        [&] { return Test.Held.size() == 1; }));
  const auto Second = Test.connect("");
  BOOST_TEST(writeUntil(Test, {Second.get()}, largePost(Body), [&] {
    Second->poll();
    return !Second->Read.empty();
  }));
  BOOST_TEST(Second->Read.starts_with("HTTP/1.1 503"));
  BOOST_TEST(Second->Read.find("Retry-After: 1") != std::string::npos);
  BOOST_TEST(Test.Received == 1U);
  const auto Small = Test.connect(Post);
  BOOST_TEST(Test.waitHeld(2));
  Test.Held.clear();
  BOOST_TEST(writeUntil(Test, {Second.get()}, largePost(Body),
                        [&] { return Test.Held.size() == 1; }));
}

BOOST_AUTO_TEST_CASE(largest_body_exceeds_the_memory_for_large_requests) {
  constexpr std::size_t Body = 500000;
  server_options Options;
  Options.MaxBodyBytes = Body;
  Options.MaxLargeRequestBytes = 1000;
  served Test{Options};
  const auto Client = Test.connect("");
  BOOST_TEST(writeUntil(Test, {Client.get()}, largePost(Body),
                        [&] { return Test.Held.size() == 1; }));
  BOOST_TEST(Test.Held.front().body().size() == Body);
}

BOOST_AUTO_TEST_CASE(large_chunked_body_is_received) {
  constexpr std::size_t Chunks = 64;
  server_options Options;
  Options.MaxBodyBytes = Chunks * 4096;
  served Test{Options};
  std::string Text = "POST /run HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (std::size_t I = 0; I < Chunks; ++I)
    Text += "1000\r\n" + std::string(4096, 'c') + "\r\n";
  Text += "0\r\n\r\n";
  const auto Client = Test.connect("");
  BOOST_TEST(writeUntil(Test, {Client.get()}, Text,
                        [&] { return Test.Held.size() == 1; }));
  BOOST_TEST(Test.Held.front().body().size() == Chunks * 4096);
}

// Each header line costs far more memory than its bytes.
BOOST_AUTO_TEST_CASE(connections_with_most_header_lines_are_closed) {
  server_options Options;
  Options.MaxBufferedBytes = 1U << 20U;
  served Test{Options};
  std::string Lines = "GET / HTTP/1.1\r\n";
  for (int I = 0; I < 2000; ++I)
    Lines += "a:\n";
  std::vector<std::unique_ptr<raw_socket>> Clients;
  const auto Ordinary = Test.connect(Post.substr(0, Post.size() - 1));
  Clients.reserve(8);
  for (int I = 0; I < 8; ++I)
    Clients.push_back(Test.connect(Lines));
  BOOST_TEST(wait(
      Test.Loop, [&] { return Test.Server->counters().ClosedForMemory >= 6; }));
  BOOST_TEST(Test.Server->heldBytes() <= Options.MaxBufferedBytes);
  Ordinary->write(Post.substr(Post.size() - 1));
  BOOST_TEST(Test.waitHeld(1));
}

// Replies that are not read count as well.
BOOST_AUTO_TEST_CASE(connections_with_unread_replies_are_closed) {
  constexpr std::size_t Reply = 8U << 20U; // more than kernel buffers hold
  server_options Options;
  Options.MaxBufferedBytes = 2 * Reply + Reply / 2;
  served Test{Options};
  std::vector<std::unique_ptr<raw_socket>> Clients;
  for (std::size_t I = 0; I < 4; ++I) {
    Clients.push_back(Test.connect(Get));
    BOOST_REQUIRE(Test.waitHeld(1));
    Test.Held.front().reply(200, {}, std::string(Reply, 'r'));
    Test.Held.clear();
  }
  BOOST_TEST(wait(
      Test.Loop, [&] { return Test.Server->counters().ClosedForMemory >= 2; }));
  BOOST_TEST(Test.Server->heldBytes() <= Options.MaxBufferedBytes);
  const auto Ordinary = Test.connect(Post);
  BOOST_TEST(Test.waitHeld(1));
}

BOOST_AUTO_TEST_CASE(open_exchanges_finish_after_the_listener_closed) {
  served Test;
  const auto Idle = Test.connect(Get);
  BOOST_REQUIRE(Test.waitHeld(1));
  Test.Held.clear();
  BOOST_TEST(Test.waitText(*Idle, "500"));
  const auto Busy = Test.connect(Post);
  BOOST_REQUIRE(Test.waitHeld(1));
  Test.Server->stopAccepting();
  BOOST_TEST(Test.waitEnd(*Idle));
  BOOST_TEST(Test.Server->openExchanges() == 1U);
  const std::string Body(1U << 20U, 'x');
  Test.Held.front().reply(200, {}, Body);
  BOOST_TEST(Test.waitEnd(*Busy));
  BOOST_TEST(Busy->Read.ends_with(Body));
  BOOST_TEST(Test.Server->openExchanges() == 0U);
}

BOOST_AUTO_TEST_CASE(exchange_may_outlive_its_server) {
  served Test;
  const auto Socket = Test.connect(Post);
  BOOST_REQUIRE(Test.waitHeld(1));
  Test.Held.front().onPeerClosed([] {});
  Test.Server.reset();
  Test.Held.front().reply(200, {}, "answer");
  Test.Held.clear();
  BOOST_TEST(Test.waitEnd(*Socket));
}

BOOST_AUTO_TEST_CASE(taken_port_is_an_error) {
  served Test;
  http::server Other{Test.Loop, {}, [](exchange) {}};
  const auto Code = tryOr(
      [&]() -> result<errc> {
        auto Bound = Other.listen(Loopback, Test.Port);
        if (!Bound)
          return Bound.error();
        return errc::NotFound;
      },
      [](const error &Error) { return Error.Code; });
  BOOST_TEST((Code == errc::Unavailable));
}

BOOST_AUTO_TEST_SUITE_END()
