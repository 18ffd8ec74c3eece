#include "system/judge.hpp"
#include <array>

using namespace galenalink;
using namespace galenalink::system_test;
using std::chrono::seconds;

namespace {

[[nodiscard]] json parsed(const std::optional<http::response> &Answer) {
  return Answer ? json::parse(Answer->Body, nullptr, false) : json{};
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform)

/** Guards against work that stops with the log: 4 s are longer than the
 * authority that the last read gave. */
BOOST_AUTO_TEST_CASE(log_down_under_load) {
  cluster Cluster;
  callers Callers{Cluster, {}};
  Callers.start();
  BOOST_TEST(Callers.awaitMore(Enough));
  Cluster.fault(Cluster.Platform, {{"down", true}});
  const auto Later = boot_clock::now() + seconds{4};
  static_cast<void>(
      Cluster.await([&] { return boot_clock::now() >= Later; }, seconds{5}));
  BOOST_TEST(Callers.awaitMore(Enough));
  for (const auto &Node : Cluster.Nodes) {
    const json Status = Cluster.get(Node->Operators, "/v1/status");
    BOOST_REQUIRE(Status.is_object());
    BOOST_TEST(Status["log_available"] == false);
    BOOST_TEST(Status["authority"] == true);
    BOOST_TEST(Status["nodes"].size() == 4U);
  }
  Cluster.fault(Cluster.Platform, {{"down", false}});
  const auto LogIsBack = [&] {
    const json Status = Cluster.get(Cluster.anyNode().Operators, "/v1/status");
    return Status.is_object() && Status["log_available"] == true;
  };
  BOOST_TEST(Cluster.await(LogIsBack, seconds{10}));
  BOOST_TEST(Callers.awaitMore(Enough));
  judge(Cluster, Callers);
}

/** Guards against a change that takes effect twice, or is reported as failed
 * because the answer to its append was lost. */
BOOST_AUTO_TEST_CASE(append_answers_lost) {
  cluster Cluster;
  callers Callers{Cluster, {}};
  Callers.start();
  BOOST_TEST(Callers.awaitMore(Enough));
  const auto &Node = Cluster.anyNode();
  const json Before = Cluster.get(Node.Operators, "/v1/config");
  const json Change = Cluster.publication(77, Before["version"], "ann", 2);
  Cluster.fault(Cluster.Platform, {{"lose_append_answers", 3}});
  const auto Publish = [&] {
    return Cluster.ask(Node.Operators, http::method::Post, "/v1/config",
                       Change.dump(), seconds{6});
  };
  const auto Answer = Publish();
  BOOST_REQUIRE(Answer);
  BOOST_TEST(Answer->Status == 200);
  const json Result = parsed(Answer);
  BOOST_TEST(Result["result"] == "accepted");
  for (const auto &Each : Cluster.Nodes) {
    json Found;
    const auto Known = [&] {
      Found = Cluster.get(Each->Operators, "/v1/appends/77");
      return Found.is_object();
    };
    BOOST_TEST(Cluster.await(Known, seconds{4}));
    BOOST_TEST(Found == Result);
  }
  const json After = Cluster.get(Node.Operators, "/v1/config");
  BOOST_TEST(After["version"] == Result["offset"]);
  // Asked again with the same id, it is the same change.
  BOOST_TEST(parsed(Publish()) == Result);
  BOOST_TEST(Cluster.get(Node.Operators, "/v1/config") == After);
  judge(Cluster, Callers);
}

/** Guards against two operators who are both told that they won. */
BOOST_AUTO_TEST_CASE(racing_publishes) {
  cluster Cluster;
  const json Base = Cluster.get(Cluster.Nodes[0]->Operators, "/v1/config");
  constexpr std::array<const char *, 2> Authors{"ann", "bob"};
  std::array<std::optional<http::answer>, 2> Answers;
  for (std::size_t Each = 0; Each < 2; ++Each) {
    http::request Request;
    Request.Method = http::method::Post;
    Request.Path = "/v1/config";
    Request.Body = Cluster
                       .publication(100 + Each, Base["version"], Authors[Each],
                                    static_cast<int>(2 + Each))
                       .dump();
    Cluster.Client.send(
        Cluster.Nodes[Each]->Operators, std::move(Request),
        boot_clock::now() + seconds{6},
        [&Answers, Each](http::answer Got) { Answers[Each] = std::move(Got); });
  }
  BOOST_REQUIRE(
      Cluster.await([&] { return Answers[0] && Answers[1]; }, seconds{7}));
  std::array<http::response, 2> Responses;
  for (std::size_t Each = 0; Each < 2; ++Each) {
    BOOST_REQUIRE(std::holds_alternative<http::response>(*Answers[Each]));
    Responses[Each] = std::get<http::response>(*Answers[Each]);
  }
  const std::size_t Won = Responses[0].Status == 200 ? 0 : 1;
  BOOST_TEST(Responses[Won].Status == 200);
  BOOST_TEST(Responses[1 - Won].Status == 409);
  const json Loser = json::parse(Responses[1 - Won].Body);
  BOOST_TEST(Loser["result"] == "rejected");
  BOOST_TEST(Loser["winner"]["id"] == std::to_string(100 + Won));
  BOOST_TEST(Loser["winner"]["author"] == Authors[Won]);
  const json Winner = json::parse(Responses[Won].Body);
  const auto InForce = [&] {
    for (const auto &Node : Cluster.Nodes) {
      const json Config = Cluster.get(Node->Operators, "/v1/config");
      if (!Config.is_object() || Config["version"] != Winner["offset"] ||
          Config["documents"][0]["author"] != Authors[Won])
        return false;
    }
    return true;
  };
  BOOST_TEST(Cluster.await(InForce, seconds{4}));
  callers Callers{Cluster, {}};
  Callers.start();
  BOOST_TEST(Callers.awaitMore(Enough));
  judge(Cluster, Callers);
}

/** Guards against a VM that runs work of two pools or shards at a time. */
BOOST_AUTO_TEST_CASE(vm_moved_under_load) {
  cluster Cluster;
  callers Callers{Cluster, {}};
  Callers.start();
  BOOST_TEST(Callers.awaitMore(Enough));
  for (const std::string Pool : {"counting-house", "typesetting"}) {
    const auto Answer = Cluster.ask(
        Cluster.anyNode().Operators, http::method::Post, "/v1/moves",
        json{{"vm", "vm-1"}, {"to", Pool}, {"author", "ann"}}.dump(),
        seconds{6});
    BOOST_REQUIRE(Answer);
    BOOST_TEST(Answer->Status == 200, Answer->Body);
    const auto Moved = [&] {
      const json Vm = Cluster.vm("vm-1");
      return Vm.is_object() && Vm["pool"] == Pool;
    };
    BOOST_TEST(Cluster.await(Moved, seconds{10}));
    BOOST_TEST(Callers.awaitMore(Enough));
  }
  const auto Epoch = Cluster.vm("vm-1")["epoch"].get<std::uint64_t>();
  const auto RunsAgain = [&] {
    return reports(Cluster).front()["epoch"] == Epoch;
  };
  BOOST_TEST(Cluster.await(RunsAgain, seconds{5}));
  judge(Cluster, Callers);
  const json Report = reports(Cluster).front();
  for (const json &Old : Report["runs"]) {
    for (const json &New : Report["runs"]) {
      if (Old["epoch"] < New["epoch"] && Old["ended_ms"] > New["started_ms"])
        BOOST_ERROR("a run of an old epoch overlaps a newer one: "
                    << Old.dump() << ' ' << New.dump());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
