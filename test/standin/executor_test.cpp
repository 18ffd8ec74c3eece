#include "galenalink/http/client.hpp"
#include "standin/executor.hpp"
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace galenalink;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

struct vm_under_test {
  http::loop Loop;
  standin::executor Executor{Loop, "vm-1", 2};
  http::client Client{Loop, {}};
  http::address Address{"127.0.0.1", 0};

  vm_under_test() {
    Address.Port = tryOr([&] { return Executor.listen("127.0.0.1", 0); },
                         [](const error &) { return std::uint16_t{0}; });
    BOOST_REQUIRE(Address.Port != 0);
  }
  http::call begin(http::request Request, std::optional<http::answer> &Out) {
    return Client.send(Address, std::move(Request), boot_clock::now() + 20s,
                       [&](http::answer Got) { Out = std::move(Got); });
  }
  http::answer await(std::optional<http::answer> &Out) {
    BOOST_REQUIRE(Loop.runUntil([&] { return Out.has_value(); },
                                boot_clock::now() + 30s));
    return *Out;
  }
  http::answer send(http::request Request) {
    std::optional<http::answer> Out;
    begin(std::move(Request), Out);
    return await(Out);
  }
  static http::request work(const std::string &Attempt, const int RunMs,
                            const int Epoch) {
    return {http::method::Post,
            "/run",
            {{"Galenalink-Attempt", Attempt},
             {"Galenalink-Epoch", std::to_string(Epoch)},
             {"Idempotency-Key", "key"},
             {"Standin-Run-Ms", std::to_string(RunMs)}},
            "body"};
  }
  int statusOf(http::request Request) {
    const auto Answer = send(std::move(Request));
    const auto *Response = std::get_if<http::response>(&Answer);
    return Response == nullptr ? 0 : Response->Status;
  }
  json get(const std::string &Path) {
    return json::parse(
        std::get<http::response>(send({http::method::Get, Path, {}, {}})).Body);
  }
  void fault(const json &Faults) {
    BOOST_TEST(statusOf({http::method::Post, "/fault", {}, Faults.dump()}) ==
               200);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(executor)

// The checker relies on these counts to find requests that ran twice.
BOOST_AUTO_TEST_CASE(runs_are_counted_and_refusals_are_not) {
  vm_under_test Test;
  const auto Answer =
      std::get<http::response>(Test.send(vm_under_test::work("a", 5, 3)));
  BOOST_TEST(Answer.Body == "body");
  BOOST_TEST((http::findHeader(Answer.Headers, "Galenalink-Attempt") == "a"));
  BOOST_TEST(Test.statusOf(vm_under_test::work("b", 0, 2)) == 503);
  std::optional<http::answer> Long[2];
  for (auto &Out : Long)
    Test.begin(vm_under_test::work("long", 3600000, 4), Out);
  BOOST_TEST(Test.Loop.runUntil([&] { return Test.Executor.runs("key") == 3; },
                                boot_clock::now() + 20s));
  const auto Full =
      std::get<http::response>(Test.send(vm_under_test::work("c", 0, 4)));
  BOOST_TEST(Full.Status == 429);
  BOOST_TEST((http::findHeader(Full.Headers, "Galenalink-Not-Run") == "1"));
  BOOST_TEST(Test.get("/status").at("running").size() == 2U);
  const http::request Cancel{
      http::method::Post, "/cancel", {{"Galenalink-Attempt", "long"}}, {}};
  BOOST_TEST(Test.statusOf(Cancel) == 200);
  BOOST_TEST(Test.statusOf(Cancel) == 200);
  for (auto &Out : Long)
    BOOST_TEST(std::get<http::response>(Test.await(Out)).Status == 500);
  const json Runs = Test.get("/runs");
  BOOST_TEST(Runs.at("counts").at("key") == 3);
  BOOST_TEST(Runs.at("max_running") == 2);
  BOOST_TEST(Runs.at("refused") == 2);
}

BOOST_AUTO_TEST_CASE(faults_spoil_answers_of_work_that_ran) {
  vm_under_test Test;
  Test.fault({{"lose_answers", 1}});
  BOOST_TEST(Test.statusOf(vm_under_test::work("a", 0, 1)) == 0);
  Test.fault({{"truncate_answers", 1}});
  BOOST_TEST(Test.statusOf(vm_under_test::work("b", 0, 1)) == 0);
  Test.fault({{"late_ms", 5}, {"fail", true}});
  BOOST_TEST(Test.statusOf(vm_under_test::work("c", 0, 1)) == 500);
  BOOST_TEST(Test.Executor.runs("key") == 3U);
  Test.fault({{"refuse", true}, {"leaving", true}});
  BOOST_TEST(Test.statusOf(vm_under_test::work("d", 0, 1)) == 503);
  BOOST_TEST(Test.Executor.runs("key") == 3U);
  const json Status = Test.get("/status");
  BOOST_TEST(Status.at("leaving") == true);
  BOOST_TEST(Status.at("recent").size() == 3U);
  BOOST_TEST(Status.at("recent")[0].at("outcome") == "complete");
  BOOST_TEST(Status.at("recent")[2].at("outcome") == "failed");
}

BOOST_AUTO_TEST_SUITE_END()
