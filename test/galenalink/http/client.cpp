#include "galenalink/http/client.hpp"
#include "fixture.hpp"
#include <deque>
#include <optional>
#include <thread>

using namespace galenalink;
using namespace galenalink::http;
using namespace galenalink::http::test;
using namespace std::chrono_literals;

namespace {

/** @brief Client against a scripted server. */
struct scripted {
  loop Loop;
  raw_listener Listener;
  client Client;
  address Address{Loopback, Listener.Port};
  std::deque<answer> Answers;

  explicit scripted(const client_options Options = {})
      : Client{Loop, Options} {}

  call send(const std::string &Path, const duration Limit = 10s,
            const method Method = method::Post) {
    return Client.send(
        Address, {Method, Path, {}, "body"}, boot_clock::now() + Limit,
        [this](answer Answer) { Answers.push_back(std::move(Answer)); });
  }
  std::unique_ptr<raw_socket> acceptOne() {
    std::unique_ptr<raw_socket> Socket;
    BOOST_REQUIRE(
        wait(Loop, [&] { return (Socket = Listener.next()) != nullptr; }));
    return Socket;
  }
  void awaitRequest(raw_socket &Socket) {
    BOOST_REQUIRE(wait(Loop, [&] {
      Socket.poll();
      return Socket.Read.ends_with("body");
    }));
  }
  answer awaitAnswer() {
    BOOST_REQUIRE(wait(Loop, [&] { return !Answers.empty(); }));
    auto First = std::move(Answers.front());
    Answers.pop_front();
    return First;
  }
  failure awaitFailure() {
    const answer Answer = awaitAnswer();
    BOOST_REQUIRE(std::holds_alternative<failure>(Answer));
    return std::get<failure>(Answer);
  }
};

std::size_t requestsIn(const std::string &Bytes) {
  std::size_t Count = 0;
  for (auto At = Bytes.find("POST "); At != std::string::npos;
       At = Bytes.find("POST ", At + 1))
    ++Count;
  return Count;
}

/** @brief Server in a thread of its own: reads one request and writes one
 * response with bodies of the given size. */
class bulk_server {
public:
  explicit bulk_server(const std::size_t BodyBytes)
      : Thread{[this, BodyBytes] { serve(BodyBytes); }} {}
  ~bulk_server() { Thread.join(); }
  bulk_server(const bulk_server &) = delete;
  bulk_server &operator=(const bulk_server &) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept { return Listener.Port; }

private:
  void serve(const std::size_t BodyBytes) const {
    std::unique_ptr<raw_socket> Socket;
    while ((Socket = Listener.next()) == nullptr)
      std::this_thread::sleep_for(1ms);
    const auto HasBody = [&] {
      const auto Head = Socket->Read.find("\r\n\r\n");
      return Head != std::string::npos &&
             Socket->Read.size() == Head + 4 + BodyBytes;
    };
    while (!HasBody() && !Socket->Ended) {
      Socket->poll();
      std::this_thread::sleep_for(1ms);
    }
    std::string Response =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(BodyBytes) +
        "\r\n\r\n" + std::string(BodyBytes, 'x');
    while (!Response.empty() && !Socket->Ended) {
      Response.erase(0, Socket->writeSome(Response));
      Socket->poll();
      std::this_thread::sleep_for(1ms);
    }
  }

  raw_listener Listener;
  std::thread Thread;
};

} // namespace

BOOST_AUTO_TEST_SUITE(client)

// A response that ends early must never be handed out as a result.
BOOST_AUTO_TEST_CASE(incomplete_responses_are_errors) {
  const std::string Status = "HTTP/1.1 200 OK\r\n";
  const std::string Cases[] = {
      "",
      "HTTP/1.1 20",
      Status + "Content-Length: 10\r\n",
      Status + "Content-Length: 10\r\n\r\n",
      Status + "Content-Length: 10\r\n\r\n012345678",
      Status + "Connection: close\r\n\r\n0123456789",
      Status + "\r\n0123456789",
      Status + "Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n",
      Status + "Transfer-Encoding: chunked\r\n\r\n5\r\n012",
      "HTTP/1.0 200 OK\r\n\r\n0123456789",
      "nonsense\r\n\r\n",
  };
  for (const std::string &Case : Cases) {
    BOOST_TEST_CONTEXT(Case) {
      scripted Test;
      Test.send("/run");
      const auto Socket = Test.acceptOne();
      Test.awaitRequest(*Socket);
      Socket->write(Case);
      Socket->disconnect();
      BOOST_TEST((Test.awaitFailure().Delivery == delivery::Unknown));
    }
  }
}

// Guards against large transfers that stall on a busy node: if a turn of the
// loop moves only a few KB, an append or a page of the store exceeds its
// timeout and starts again from its first byte for as long as the load lasts.
BOOST_AUTO_TEST_CASE(large_transfers_finish_within_few_turns_of_a_busy_loop) {
  constexpr std::size_t BodyBytes = std::size_t{512} << 10U;
  loop Loop;
  galenalink::http::client Client{Loop, {.BeforeOtherEvents = true}};
  const bulk_server Server{BodyBytes};
  std::optional<answer> Answer;
  int Turns = 0;
  const auto Work = Loop.every(1ms, [&] {
    ++Turns;
    std::this_thread::sleep_for(20ms);
  });
  const call Call =
      Client.send({Loopback, Server.port()},
                  {method::Post, "/append", {}, std::string(BodyBytes, 'x')},
                  boot_clock::now() + 20s,
                  [&](answer Result) { Answer = std::move(Result); });
  BOOST_REQUIRE(wait(Loop, [&] { return Answer.has_value(); }));
  const auto *Response = std::get_if<response>(&*Answer);
  BOOST_REQUIRE(Response != nullptr);
  BOOST_TEST(Response->Body.size() == BodyBytes);
  // 16 KB written and 4 KB read in a turn would take 160 turns.
  BOOST_TEST(Turns < 40);
}

BOOST_AUTO_TEST_CASE(complete_responses_are_delivered_and_reuse_a_connection) {
  scripted Test;
  Test.send("/run");
  const auto Socket = Test.acceptOne();
  Test.awaitRequest(*Socket);
  Socket->write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nA: b\r\n\r\nabc");
  auto First = std::get<response>(Test.awaitAnswer());
  BOOST_TEST(First.Status == 200);
  BOOST_TEST(First.Body == "abc");
  BOOST_TEST((findHeader(First.Headers, "a") == "b"));
  Socket->Read.clear();
  Test.send("/run");
  Test.awaitRequest(*Socket);
  Socket->write("HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n"
                "2\r\nxy\r\n0\r\n\r\n");
  auto Second = std::get<response>(Test.awaitAnswer());
  BOOST_TEST(Second.Status == 503);
  BOOST_TEST(Second.Body == "xy");
  BOOST_TEST(Test.Client.connections(Test.Address) == 1U);
}

// A server that closes a kept connection while the next request is on its way
// gets that request once at most, and the caller is told that it may have run.
BOOST_AUTO_TEST_CASE(request_is_never_sent_twice) {
  scripted Test;
  Test.send("/run");
  const auto Socket = Test.acceptOne();
  Test.awaitRequest(*Socket);
  Socket->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  Test.awaitAnswer();
  Socket->Read.clear();
  Test.send("/run");
  Test.awaitRequest(*Socket);
  BOOST_TEST(requestsIn(Socket->Read) == 1U);
  Socket->disconnect();
  BOOST_TEST((Test.awaitFailure().Delivery == delivery::Unknown));
  bool Waited = false;
  const auto End =
      Test.Loop.at(boot_clock::now() + 50ms, [&] { Waited = true; });
  BOOST_TEST(wait(Test.Loop, [&] { return Waited; }));
  BOOST_TEST(Test.Listener.next() == nullptr);
}

BOOST_AUTO_TEST_CASE(connection_closed_while_idle_is_not_used) {
  scripted Test;
  Test.send("/run");
  const auto Socket = Test.acceptOne();
  Test.awaitRequest(*Socket);
  Socket->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  Test.awaitAnswer();
  Socket->disconnect();
  Test.send("/run");
  const auto Second = Test.acceptOne();
  Test.awaitRequest(*Second);
  Second->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  BOOST_TEST(std::holds_alternative<response>(Test.awaitAnswer()));
}

// Bytes after the announced end would be taken for the next answer.
BOOST_AUTO_TEST_CASE(connection_with_surplus_bytes_is_not_reused) {
  scripted Test;
  Test.send("/run");
  const auto Socket = Test.acceptOne();
  Test.awaitRequest(*Socket);
  Socket->write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"
                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
  BOOST_TEST(std::get<response>(Test.awaitAnswer()).Body == "a");
  Test.send("/run");
  const auto Second = Test.acceptOne();
  Test.awaitRequest(*Second);
  Second->write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright");
  BOOST_TEST(std::get<response>(Test.awaitAnswer()).Body == "right");
}

BOOST_AUTO_TEST_CASE(refused_connection_is_not_sent) {
  scripted Test;
  {
    const raw_listener Closed;
    Test.Address.Port = Closed.Port;
  }
  Test.send("/run");
  BOOST_TEST((Test.awaitFailure().Delivery == delivery::NotSent));
  BOOST_TEST(Test.Client.connections(Test.Address) == 0U);
}

// A process that is stopped between the check of its authority and the write
// must not send on stale authority when it continues. Sleeping before the loop
// runs has the same effect: the write and its limit are due together.
BOOST_AUTO_TEST_CASE(request_is_not_written_after_its_limit) {
  scripted Test;
  Test.send("/run");
  const auto Socket = Test.acceptOne();
  Test.awaitRequest(*Socket);
  Socket->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  Test.awaitAnswer();
  Socket->Read.clear();
  request Late{method::Post, "/run", {}, "body"};
  Late.WriteBy = boot_clock::now() + 5ms;
  Test.Client.send(
      Test.Address, std::move(Late), boot_clock::now() + 10s,
      [&](answer Answer) { Test.Answers.push_back(std::move(Answer)); });
  std::this_thread::sleep_for(20ms);
  BOOST_TEST((Test.awaitFailure().Delivery == delivery::NotSent));
  Socket->poll();
  BOOST_TEST(Socket->Read.empty());
}

// A late answer must not reach the next request.
BOOST_AUTO_TEST_CASE(abandoned_connection_is_closed) {
  scripted Test;
  Test.send("/late", 50ms);
  const auto Late = Test.acceptOne();
  Test.awaitRequest(*Late);
  const failure Failure = Test.awaitFailure();
  BOOST_TEST((Failure.Delivery == delivery::Unknown));
  BOOST_TEST((Failure.Error.Code == errc::Timeout));
  Late->write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
  BOOST_TEST(wait(Test.Loop, [&] {
    Late->poll();
    return Late->Ended;
  }));
  auto Call = Test.send("/cancelled");
  const auto Cancelled = Test.acceptOne();
  Test.awaitRequest(*Cancelled);
  BOOST_TEST((Call.cancel() == delivery::Unknown));
  BOOST_TEST(!Call.cancel().has_value());
  BOOST_TEST(Test.Client.connections(Test.Address) == 0U);
  Test.send("/next");
  const auto Next = Test.acceptOne();
  Test.awaitRequest(*Next);
  Next->write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext");
  BOOST_TEST(std::get<response>(Test.awaitAnswer()).Body == "next");
  BOOST_TEST(Test.Answers.empty());
}

BOOST_AUTO_TEST_CASE(pool_is_bounded_and_waiting_requests_are_not_sent) {
  client_options Options;
  Options.MaxConnections = 1;
  Options.MaxWaiting = 2;
  scripted Test{Options};
  Test.send("/first");
  auto Cancelled = Test.send("/cancelled");
  Test.send("/expired", 20ms);
  Test.send("/overflow");
  BOOST_TEST((Test.awaitFailure().Error.Code == errc::Full));
  BOOST_TEST((Cancelled.cancel() == delivery::NotSent));
  const failure Expired = Test.awaitFailure();
  BOOST_TEST((Expired.Error.Code == errc::Timeout));
  BOOST_TEST((Expired.Delivery == delivery::NotSent));
  Test.send("/second");
  const auto Socket = Test.acceptOne();
  Test.awaitRequest(*Socket);
  BOOST_TEST(Test.Client.connections(Test.Address) == 1U);
  Socket->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  Test.awaitAnswer();
  BOOST_TEST(wait(Test.Loop, [&] {
    Socket->poll();
    return requestsIn(Socket->Read) == 2;
  }));
  BOOST_TEST(Socket->Read.find("/second") != std::string::npos);
  BOOST_TEST(Socket->Read.find("/expired") == std::string::npos);
  BOOST_TEST(Socket->Read.find("/cancelled") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(header_with_a_line_break_is_not_sent) {
  scripted Test;
  Test.Client.send(
      Test.Address, {method::Post, "/run", {{"A", "b\r\nC: d"}}, ""},
      boot_clock::now() + 10s,
      [&](answer Answer) { Test.Answers.push_back(std::move(Answer)); });
  const failure Failure = Test.awaitFailure();
  BOOST_TEST((Failure.Delivery == delivery::NotSent));
  BOOST_TEST((Failure.Error.Code == errc::BadInput));
}

BOOST_AUTO_TEST_CASE(destroyed_client_calls_nothing) {
  loop Loop;
  const raw_listener Listener;
  int Calls = 0;
  call Call;
  {
    http::client Client{Loop, {}};
    for (int Each = 0; Each < 3; ++Each)
      Call = Client.send({Loopback, Listener.Port}, {method::Get, "/", {}, ""},
                         boot_clock::now() + 5ms,
                         [&](const answer &) { ++Calls; });
  }
  BOOST_TEST(!Call.cancel().has_value());
  bool Done = false;
  const auto End = Loop.at(boot_clock::now() + 20ms, [&] { Done = true; });
  BOOST_TEST(wait(Loop, [&] { return Done; }));
  BOOST_TEST(Calls == 0);
}

// A client of more than a thousand servers kept so many idle connections that
// the process came close to its limit of descriptors.
BOOST_AUTO_TEST_CASE(oldest_idle_connection_is_closed_beyond_the_limit) {
  loop Loop;
  const auto Handler = [](exchange Exchange) { Exchange.reply(200, {}, "ok"); };
  std::vector<std::unique_ptr<server>> Servers;
  std::vector<address> Addresses;
  for (int I = 0; I < 3; ++I) {
    Servers.push_back(
        std::make_unique<server>(Loop, server_options{}, Handler));
    const auto Port = tryOr([&] { return Servers.back()->listen(Loopback, 0); },
                            [](const error &) { return std::uint16_t{0}; });
    Addresses.push_back({Loopback, Port});
  }
  client_options Options;
  Options.MaxIdle = 2;
  http::client Client{Loop, Options};
  for (const address &Each : Addresses) {
    bool Answered = false;
    Client.send(Each, {method::Get, "/", {}, ""}, boot_clock::now() + 10s,
                [&](const answer &) { Answered = true; });
    BOOST_REQUIRE(wait(Loop, [&] { return Answered; }));
  }
  BOOST_REQUIRE(
      wait(Loop, [&] { return Client.connections(Addresses[2]) == 1; }));
  BOOST_TEST(Client.connections(Addresses[0]) == 0U);
  BOOST_TEST(Client.connections(Addresses[1]) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
