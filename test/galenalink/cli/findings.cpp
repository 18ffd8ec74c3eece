#include "galenalink/cli/findings.hpp"
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace galenalink;
using namespace galenalink::cli;
using rules_check::finding;
using rules_check::severity;

namespace {

const std::vector<finding> Findings{
    {severity::Error, {"f.json", 3, 7, "/a", "odd \x1b[2J name"}},
    {severity::Note, {"f.json", 0, 0, "", "not placed"}}};

} // namespace

BOOST_AUTO_TEST_SUITE(findings_on_the_command_line)

// Guards against names that control the operator's terminal, and against a form
// that editors can't jump from.
BOOST_AUTO_TEST_CASE(text_form) {
  BOOST_TEST(formatFindings(Findings, output::Text) ==
             "f.json:3:7: error: /a: odd ?[2J name\n"
             "f.json: note: not placed\n"
             "1 error, 0 warnings, 1 note.\n");
}

// Guards against JSON that can't be parsed because a file's name is not UTF-8.
BOOST_AUTO_TEST_CASE(json_form) {
  std::vector<finding> Odd = Findings;
  Odd[0].Diagnostic.File = "\xff.json";
  const auto Json =
      nlohmann::json::parse(formatFindings(Odd, output::Json), nullptr, false);
  BOOST_REQUIRE(Json.is_object());
  BOOST_TEST(Json["errors"] == 1);
  BOOST_TEST(Json["notes"] == 1);
  BOOST_TEST(Json["findings"][0]["line"] == 3);
  BOOST_TEST(Json["findings"][0]["severity"] == "error");
}

// Guards against a script that sends a configuration with errors, or that does
// not send one with warnings only.
BOOST_AUTO_TEST_CASE(exit_status_depends_on_errors_only) {
  BOOST_CHECK(codeOf(Findings) == exit_code::BadInput);
  BOOST_CHECK(codeOf({Findings[1]}) == exit_code::Done);
  BOOST_CHECK(codeOf(std::vector<finding>{}) == exit_code::Done);
}

// Guards against a missing file or a directory that passes for an empty file.
BOOST_AUTO_TEST_CASE(unreadable_files) {
  const auto Read = [](const std::string &File) {
    return tryOr([&] { return readDocument(File); },
                 [](const error &) { return std::string{"not read"}; });
  };
  BOOST_TEST(Read("/nonexistent") == "not read");
  BOOST_TEST(Read("/") == "not read");
  BOOST_TEST(Read("/dev/null").empty());
}

BOOST_AUTO_TEST_SUITE_END()
