#include "galenalink/platform/http_adapter.hpp"
#include "galenalink/http/client.hpp"
#include "galenalink/http/server.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::platform;
using namespace std::chrono_literals;

namespace {

/** @brief Adapter against a server that gives one fixed answer. */
struct fixed_answer {
  http::loop Loop;
  int Status{200};
  std::string Body;
  bool Silent{false};
  std::vector<http::exchange> Held;
  http::server Server{Loop, {}, [this](http::exchange Exchange) {
                        if (Silent)
                          Held.push_back(std::move(Exchange));
                        else
                          Exchange.reply(Status, {}, Body);
                      }};
  http::client Client{Loop, {}};
  adapter Adapter;

  fixed_answer() {
    const std::uint16_t Port =
        tryOr([&] { return Server.listen("127.0.0.1", 0); },
              [](const error &) { return std::uint16_t{0}; });
    BOOST_REQUIRE(Port != 0);
    Adapter = makeHttpAdapter(Client, {{"127.0.0.1", Port}, 5s});
  }

  template <typename Type> Type await(std::optional<Type> &Result) {
    BOOST_REQUIRE(Loop.runUntil([&] { return Result.has_value(); },
                                boot_clock::now() + 20s));
    return *Result;
  }
  append_state append() {
    std::optional<append_result> Result;
    Adapter.Append(1, "data", [&](const auto &Got) { Result = Got; });
    return await(Result).State;
  }
  action_request reboot() {
    std::optional<action_request> Result;
    Adapter.Reboot("vm", 1, [&](const auto Got) { Result = Got; });
    return await(Result);
  }
  bool readFails(const std::string &Text) {
    Body = Text;
    std::optional<outcome_of<log_page>> Result;
    Adapter.Read(5, 2, [&](const auto &Got) { Result = Got; });
    return std::holds_alternative<error>(await(Result));
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(http_adapter)

// An append must not be reported as not happened unless that is certain.
BOOST_AUTO_TEST_CASE(append_and_reboot_results_by_status) {
  fixed_answer Test;
  const auto Expect = [&](const int Status, const std::string &Body,
                          const append_state Append,
                          const action_request Reboot) {
    Test.Status = Status;
    Test.Body = Body;
    BOOST_TEST_CONTEXT(Status << " " << Body) {
      BOOST_TEST((Test.append() == Append));
      BOOST_TEST((Test.reboot() == Reboot));
    }
  };
  using enum append_state;
  Expect(200, R"({"offset": 3})", Accepted, action_request::Accepted);
  Expect(200, R"({"offset": 0})", Unknown, action_request::Accepted);
  Expect(200, R"({"offset": "3"})", Unknown, action_request::Accepted);
  Expect(200, "[]", Unknown, action_request::Accepted);
  Expect(200, "{", Unknown, action_request::Accepted);
  Expect(500, "", Unknown, action_request::Unknown);
  Expect(504, "", Unknown, action_request::Unknown);
  Expect(503, "", DidNotHappen, action_request::DidNotHappen);
  Expect(404, "", DidNotHappen, action_request::DidNotHappen);
}

BOOST_AUTO_TEST_CASE(lost_answer_is_unknown_and_no_server_is_not_happened) {
  fixed_answer Test;
  Test.Silent = true;
  Test.Adapter =
      makeHttpAdapter(Test.Client, {{"127.0.0.1", Test.Server.port()}, 20ms});
  BOOST_TEST((Test.append() == append_state::Unknown));
  Test.Server.stopAccepting();
  Test.Held.clear();
  BOOST_TEST((Test.append() == append_state::DidNotHappen));
  BOOST_TEST((Test.reboot() == action_request::DidNotHappen));
}

// A page with a gap would make the fold skip records.
BOOST_AUTO_TEST_CASE(pages_that_are_not_contiguous_are_errors) {
  fixed_answer Test;
  const auto Page = [](const std::string &Range,
                       const std::initializer_list<std::string> Records) {
    std::string Text = "{" + Range + R"(, "records": [)";
    for (const std::string &Record : Records)
      Text.append(Text.ends_with('[') ? "" : ",").append(Record);
    return Text.append("]}");
  };
  const std::string Range = R"("first": 4, "end": 9)";
  const std::string Five = R"({"offset": 5, "data": "YQ=="})";
  const std::string Six = R"({"offset": 6, "data": "YQ=="})";
  const std::string Seven = R"({"offset": 7, "data": "YQ=="})";
  BOOST_TEST(!Test.readFails(Page(Range, {Five, Six})));
  BOOST_TEST(!Test.readFails(Page(Range, {})));
  BOOST_TEST(!Test.readFails(Page(R"("first": 6, "end": 9)", {Six, Seven})));
  for (const std::string &Bad :
       {std::string{}, std::string{"{}"}, std::string{"[1]"},
        Page(R"("first": 0, "end": 9)", {Five}),
        Page(R"("first": 9, "end": 8)", {}),
        Page(R"("first": 4, "end": -1)", {}),
        Page(R"("first": 4, "end": 6)", {Five, Six}),
        Page(R"("first": 6, "end": 9)", {Five}), Page(Range, {Six}),
        Page(Range, {Five, Seven}), Page(Range, {Five, Five}),
        Page(Range, {Five, Six, Seven}),
        Page(Range, {R"({"offset": 5, "data": "Y"})"}),
        Page(Range, {R"({"offset": 5, "data": 1})"}),
        Page(Range, {R"({"offset": 5})"})})
    BOOST_TEST_CONTEXT(Bad) { BOOST_TEST(Test.readFails(Bad)); }
}

BOOST_AUTO_TEST_SUITE_END()
