#include "galenalink/cli/findings.hpp"
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace galenalink::cli {

namespace {

using nlohmann::json;
using rules_check::finding;
using rules_check::severity;

std::size_t count(const std::vector<finding> &Findings,
                  const severity Severity) {
  return static_cast<std::size_t>(
      std::ranges::count(Findings, Severity, &finding::Severity));
}

/** @brief Number and noun, such as `2 errors`. */
std::string countText(const std::vector<finding> &Findings,
                      const severity Severity) {
  const auto Number = count(Findings, Severity);
  return std::to_string(Number) + ' ' +
         std::string{nameOf(rules_check::SeverityNames, Severity)} +
         (Number == 1 ? "" : "s");
}

std::string formatText(const std::vector<finding> &Findings) {
  std::string Text;
  for (const auto &Each : Findings) {
    std::string Line = toString(
        Each.Diagnostic, nameOf(rules_check::SeverityNames, Each.Severity));
    std::ranges::replace_if(
        Line,
        [](const char Character) {
          return static_cast<unsigned char>(Character) < 0x20 ||
                 Character == 0x7F;
        },
        '?');
    Text += Line + '\n';
  }
  return Text + countText(Findings, severity::Error) + ", " +
         countText(Findings, severity::Warning) + ", " +
         countText(Findings, severity::Note) + ".\n";
}

std::string formatJson(const std::vector<finding> &Findings) {
  json Rows = json::array();
  for (const auto &[Severity, Diagnostic] : Findings)
    Rows.push_back({{"severity", nameOf(rules_check::SeverityNames, Severity)},
                    {"file", Diagnostic.File},
                    {"line", Diagnostic.Line},
                    {"column", Diagnostic.Column},
                    {"path", Diagnostic.Path},
                    {"message", Diagnostic.Message}});
  const json Json{{"errors", count(Findings, severity::Error)},
                  {"warnings", count(Findings, severity::Warning)},
                  {"notes", count(Findings, severity::Note)},
                  {"findings", std::move(Rows)}};
  // The name of a file need not be UTF-8.
  return Json.dump(2, ' ', false, json::error_handler_t::replace) + '\n';
}

} // namespace

result<std::string> readDocument(const std::string &File) {
  std::ifstream Input{File, std::ios::binary};
  std::stringstream Text;
  Text << Input.rdbuf();
  // A directory can be opened but not read. An empty file sets only the failbit
  // of `Text`.
  if (!Input || std::filesystem::is_directory(File))
    return fail(errc::BadInput, File + ": cannot be read");
  return Text.str();
}

std::string formatFindings(const std::vector<finding> &Findings,
                           const output Output) {
  return Output == output::Json ? formatJson(Findings) : formatText(Findings);
}

exit_code codeOf(const std::vector<finding> &Findings) noexcept {
  return count(Findings, severity::Error) > 0 ? exit_code::BadInput
                                              : exit_code::Done;
}

} // namespace galenalink::cli
