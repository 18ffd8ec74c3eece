#include "galenalink/peer/transport.hpp"
#include "galenalink/peer/frame.hpp"
#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <peer.pb.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace galenalink;
using namespace galenalink::peer;
using namespace std::chrono_literals;

namespace {

/** @brief One node of a test on the shared loop. */
struct member {
  log_offset Folded{0};
  bool Answers{true};
  std::vector<std::string> Keys;
  std::size_t Heartbeats{0};
  std::size_t Connects{0};
  std::size_t Disconnects{0};
  std::vector<std::string> Problems;
  std::unique_ptr<transport> Transport;
  http::address Address{"127.0.0.1", 0};

  member(http::loop &Loop, const options &Options) {
    Transport = std::make_unique<transport>(
        Loop, Options,
        hooks{
            [this] {
              wire::heartbeat Heartbeat;
              Heartbeat.set_folded_offset(Folded);
              return Heartbeat;
            },
            [this] { return Answers ? std::optional{Folded} : std::nullopt; }});
    Transport->Received.connect(
        [this](node_id, const wire::peer_message &Message) {
          if (Message.has_forward())
            Keys.push_back(Message.forward().key());
          Heartbeats += Message.has_heartbeat() ? 1 : 0;
        });
    Transport->Connected.connect([this](node_id) { ++Connects; });
    Transport->Disconnected.connect([this](node_id) { ++Disconnects; });
    Transport->Problem.connect(
        [this](const std::string &Text) { Problems.push_back(Text); });
    Address.Port = tryOr([&] { return Transport->listen(Address); },
                         [](const error &) { return std::uint16_t{0}; });
    BOOST_REQUIRE(Address.Port != 0);
  }
};

options fast(const std::uint64_t Id) {
  options Options;
  Options.Self = node_id{Id};
  Options.Token = "secret";
  Options.HeartbeatInterval = 5ms;
  Options.MinBackoff = 5ms;
  Options.MaxBackoff = 20ms;
  return Options;
}

bool wait(http::loop &Loop, const std::function<bool()> &Condition) {
  const auto Tick = Loop.every(1ms, [] {});
  return Loop.runUntil(Condition, boot_clock::now() + 20s);
}

void pass(http::loop &Loop, const duration Time) {
  bool Passed = false;
  const auto End = Loop.at(boot_clock::now() + Time, [&] { Passed = true; });
  BOOST_REQUIRE(wait(Loop, [&] { return Passed; }));
}

wire::peer_message forward(const std::string &Key) {
  wire::peer_message Message;
  Message.mutable_forward()->set_key(Key);
  return Message;
}

/** @brief Plain client of a listener. */
class raw_client {
public:
  explicit raw_client(const std::uint16_t Port)
      : Socket{socket(AF_INET, SOCK_STREAM, 0)} {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    BOOST_REQUIRE(connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                          sizeof(Address)) == 0);
  }
  ~raw_client() { close(Socket); }
  raw_client(const raw_client &) = delete;
  raw_client &operator=(const raw_client &) = delete;

  void write(const std::string &Bytes) const {
    (void)send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  }
  /** @return Whether the far side closed; counts what it sent. */
  bool ended() {
    char Buffer[4096];
    ssize_t Got = 0;
    while ((Got = recv(Socket, Buffer, sizeof(Buffer), MSG_DONTWAIT)) > 0)
      Received += static_cast<std::size_t>(Got);
    return Got == 0 || errno != EAGAIN;
  }

  std::size_t Received{0};

private:
  int Socket;
};

std::string hello(const std::uint32_t Version, const std::uint64_t Id,
                  const std::string &Token) {
  wire::peer_message Message;
  Message.mutable_hello()->set_protocol_version(Version);
  Message.mutable_hello()->set_node(Id);
  Message.mutable_hello()->set_token(Token);
  const std::string Payload = Message.SerializeAsString();
  return frameHeader(Payload.size()) + Payload;
}

} // namespace

BOOST_AUTO_TEST_SUITE(transport)

BOOST_AUTO_TEST_CASE(secrets_are_compared_whole) {
  BOOST_TEST(equalSecrets("", ""));
  BOOST_TEST(equalSecrets("abc", "abc"));
  for (const char *Other : {"", "ab", "abd", "Abc", "abcd", "abcabc"}) {
    BOOST_TEST(!equalSecrets("abc", Other));
    BOOST_TEST(!equalSecrets(Other, "abc"));
  }
}

// Two nodes that dial each other at the same time end up with one connection
// and lose no message, in whatever order the connections are made.
BOOST_AUTO_TEST_CASE(nodes_that_dial_each_other_lose_no_message) {
  for (int Round = 0; Round < 10; ++Round) {
    http::loop Loop;
    member Low{Loop, fast(1)};
    member High{Loop, fast(2)};
    Low.Transport->setTargets({{High.Address, std::nullopt}});
    High.Transport->setTargets({{Low.Address, std::nullopt}});
    std::size_t Sent = 0;
    BOOST_REQUIRE(wait(Loop, [&] {
      if (Low.Transport->send(node_id{2}, forward(std::to_string(Sent))) ==
              send_result::Queued &&
          High.Transport->send(node_id{1}, forward(std::to_string(Sent))) ==
              send_result::Queued)
        ++Sent;
      return Sent == 100;
    }));
    BOOST_TEST(wait(Loop, [&] {
      return Low.Keys.size() >= Sent && High.Keys.size() >= Sent;
    }));
    pass(Loop, 20ms);
    BOOST_TEST(Low.Connects == 1U);
    BOOST_TEST(High.Connects == 1U);
    BOOST_TEST(Low.Disconnects + High.Disconnects == 0U);
    BOOST_TEST(Low.Problems.empty());
    BOOST_TEST(High.Problems.empty());
  }
}

// Authority is computed from this evidence: the time must be that of sending,
// and the offset that of the answer.
BOOST_AUTO_TEST_CASE(heartbeats_give_evidence) {
  http::loop Loop;
  member First{Loop, fast(1)};
  member Second{Loop, fast(2)};
  const time_point Start = boot_clock::now();
  First.Transport->setTargets({{Second.Address, node_id{2}}});
  Second.Folded = 7;
  const auto Evidence = [&] { return First.Transport->evidenceOf(node_id{2}); };
  BOOST_REQUIRE(wait(Loop, [&] { return Evidence().has_value(); }));
  BOOST_TEST((Evidence()->SentAt > Start));
  BOOST_TEST((Evidence()->SentAt < boot_clock::now()));
  BOOST_TEST(Evidence()->Folded == 7U);
  Second.Folded = 9;
  BOOST_TEST(wait(Loop, [&] { return Evidence()->Folded == 9; }));
  Second.Answers = false;
  pass(Loop, 10ms);
  const evidence Last = *Evidence();
  const std::size_t Before = Second.Heartbeats;
  BOOST_TEST(wait(Loop, [&] { return Second.Heartbeats > Before + 2; }));
  BOOST_TEST((Evidence()->SentAt == Last.SentAt));
  const traffic &Traffic = First.Transport->counters();
  BOOST_TEST(Traffic.ControlSent == Traffic.Sent);
  const std::uint64_t Control = Traffic.ControlSent;
  BOOST_TEST((First.Transport->send(node_id{2}, forward("key")) ==
              send_result::Queued));
  BOOST_TEST(Traffic.ControlSent == Control);
  BOOST_TEST(Traffic.Sent > Control);
}

BOOST_AUTO_TEST_CASE(node_that_restarts_is_reached_under_its_new_id) {
  http::loop Loop;
  member Stays{Loop, fast(5)};
  auto Goes = std::make_unique<member>(Loop, fast(6));
  Stays.Transport->setTargets({{Goes->Address, node_id{6}}});
  Goes->Transport->setTargets({{Stays.Address, node_id{5}}});
  BOOST_REQUIRE(
      wait(Loop, [&] { return Stays.Transport->isConnected(node_id{6}); }));
  Goes->Transport->rename(node_id{3});
  BOOST_TEST(wait(Loop, [&] {
    return Stays.Transport->isConnected(node_id{3}) && Stays.Disconnects == 1;
  }));
  BOOST_TEST(!Stays.Transport->isConnected(node_id{6}));
  Goes.reset();
  BOOST_TEST(wait(Loop, [&] { return Stays.Disconnects == 2; }));
  BOOST_TEST((Stays.Transport->send(node_id{3}, forward("key")) ==
              send_result::NotConnected));
}

BOOST_AUTO_TEST_CASE(own_address_is_dialed_once) {
  http::loop Loop;
  member Node{Loop, fast(1)};
  Node.Transport->setTargets({{Node.Address, std::nullopt}});
  pass(Loop, 150ms);
  const std::uint64_t Sent = Node.Transport->counters().Sent;
  BOOST_TEST(Sent > 0U);
  pass(Loop, 150ms);
  BOOST_TEST(Node.Transport->counters().Sent == Sent);
  BOOST_TEST(Node.Connects == 0U);
}

BOOST_AUTO_TEST_CASE(full_queue_and_large_message_are_reported) {
  http::loop Loop;
  options Options = fast(1);
  Options.MaxFrameBytes = 1U << 20U;
  Options.MaxQueuedBytes = 3U << 20U;
  member Sender{Loop, Options};
  member Receiver{Loop, fast(2)};
  Sender.Transport->setTargets({{Receiver.Address, node_id{2}}});
  BOOST_REQUIRE(
      wait(Loop, [&] { return Sender.Transport->isConnected(node_id{2}); }));
  BOOST_TEST((Sender.Transport->send(node_id{2},
                                     forward(std::string(2U << 20U, 'x'))) ==
              send_result::TooLarge));
  const auto Large = forward(std::string(1000000, 'x'));
  std::size_t Queued = 0;
  while (Sender.Transport->send(node_id{2}, Large) == send_result::Queued)
    ++Queued;
  BOOST_TEST(Queued == 3U);
  BOOST_TEST(
      (Sender.Transport->send(node_id{2}, Large) == send_result::QueueFull));
  BOOST_TEST(wait(Loop, [&] { return Receiver.Keys.size() == Queued; }));
  BOOST_TEST(
      (Sender.Transport->send(node_id{2}, Large) == send_result::Queued));
}

// Whoever does not know the token learns nothing, not even the token of the
// side it connected to, and can neither occupy memory nor a connection.
BOOST_AUTO_TEST_CASE(unidentified_connections_are_closed) {
  http::loop Loop;
  options Options = fast(1);
  Options.HelloTimeout = 50ms;
  Options.MaxUnidentified = 1;
  member Node{Loop, Options};
  wire::peer_message Empty;
  for (const std::string &Bytes :
       {hello(1, 2, "wrong"), hello(1, 2, ""), hello(2, 2, "secret"),
        hello(1, 0, "secret"), frameHeader(0), frameHeader(5000),
        frameHeader(4) + "\xff\xff\xff\xff", std::string{}}) {
    raw_client Client{Node.Address.Port};
    Client.write(Bytes);
    BOOST_TEST(wait(Loop, [&] { return Client.ended(); }));
    BOOST_TEST(Client.Received == 0U);
  }
  BOOST_TEST(Node.Problems.size() == 8U);
  BOOST_TEST(Node.Connects == 0U);
  const raw_client Waiting{Node.Address.Port};
  raw_client Surplus{Node.Address.Port};
  BOOST_TEST(wait(Loop, [&] { return Surplus.ended(); }));
}

BOOST_AUTO_TEST_CASE(silent_and_invalid_peers_are_closed) {
  http::loop Loop;
  options Options = fast(1);
  Options.SilenceLimit = 50ms;
  member Node{Loop, Options};
  for (const std::string &Bytes : {std::string{}, hello(1, 2, "secret"),
                                   frameHeader(2) + std::string{"\xff\xff"}}) {
    raw_client Client{Node.Address.Port};
    Client.write(hello(1, 2, "secret") + Bytes);
    BOOST_TEST(wait(Loop, [&] { return Client.ended(); }));
  }
  BOOST_TEST(Node.Connects == 3U);
  BOOST_TEST(Node.Disconnects == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
