#include "galenalink/cli/actions.hpp"
#include <iostream>
#include <nlohmann/json.hpp>

namespace galenalink::cli {

namespace {

using nlohmann::json;

/** @brief What an operator can do about a rejected change. */
[[nodiscard]] std::string adviceFor(const std::string &Reason) {
  if (Reason == "conflict")
    return "Read the winning change and publish again on top of it.";
  if (Reason == "budget")
    return "The pool needs more VMs up before this is safe; see "
           "'galenalink pools'.";
  if (Reason == "failure-in-wave")
    return "Wait until the VMs that failed are back.";
  if (Reason == "stale-epoch" || Reason == "wrong-state")
    return "The VM has changed since; see 'galenalink vms'.";
  if (Reason == "lending-quota")
    return "The owner's service file must allow more VMs in \"lending\".";
  return {};
}

} // namespace

std::string formatChange(const std::string &Text) {
  const auto Json = json::parse(Text, nullptr, false);
  if (!Json.is_object())
    return Text;
  if (Json.contains("error"))
    return Json.value("error", "") + '\n';
  const auto Result = Json.value("result", "");
  if (Result == "accepted")
    return "Accepted at offset " +
           std::to_string(Json.value("offset", std::uint64_t{0})) + ".\n";
  if (Result == "unknown")
    return "Unknown: the change may have taken effect; ask for id " +
           Json.value("id", "") + " with 'galenalink result'.\n";
  if (Result == "not-accepted")
    return "Not accepted: the platform's log did not take the change.\n";
  const auto Reason = Json.value("reason", "");
  std::string Out = "Refused: " + Reason;
  if (!Json.value("detail", "").empty())
    Out += " (" + Json.value("detail", "") + ')';
  Out += ".\n";
  if (Json.contains("winner")) {
    const auto &Winner = Json["winner"];
    Out += "Document " + Winner.value("document", "") +
           " was changed at version " +
           std::to_string(Winner.value("version", std::uint64_t{0})) + " by " +
           Winner.value("author", "") + ".\n";
  }
  const auto Advice = adviceFor(Reason);
  return Advice.empty() ? Out : Out + Advice + '\n';
}

exit_code codeOf(const reply &Reply) noexcept {
  switch (Reply.Status) {
  case 200:
    return exit_code::Done;
  case 400:
  case 401:
  case 404:
    return exit_code::BadInput;
  case 504:
    return exit_code::Unknown;
  default:
    return exit_code::Refused;
  }
}

result<exit_code> change(connection &Node, const std::string &Path,
                         const std::string &Body, const output Output) {
  BOOST_LEAF_AUTO(Reply, Node.post(Path, Body));
  std::cout << (Output == output::Json ? Reply.Body : formatChange(Reply.Body));
  return codeOf(Reply);
}

} // namespace galenalink::cli
