#include "galenalink/cli/actions.hpp"
#include "galenalink/cli/findings.hpp"
#include "galenalink/cli/publish.hpp"
#include "rules_reader.hpp"
#include <CLI/CLI.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>

namespace {

using namespace galenalink;
using cli::exit_code;

struct arguments {
  std::string Node{"127.0.0.1:8081"};
  std::string TokenFile;
  std::string Output{"text"};
  std::string Format;
  std::string Directory;
  std::string File;
  std::string InForce;
  std::string Author;
  std::string Subject;
  std::string Pool;
  bool Prune{false};
  bool Cancel{false};
};

[[nodiscard]] result<std::string> readToken(const std::string &File) {
  if (File.empty())
    return std::string{};
  std::ifstream Input{File};
  std::string Token;
  if (!std::getline(Input, Token))
    return fail(errc::BadInput, File + ": cannot read the token file");
  return Token;
}

[[nodiscard]] result<std::unique_ptr<cli::connection>>
connect(const arguments &Arguments) {
  BOOST_LEAF_AUTO(Address, http::parseAddress(Arguments.Node));
  BOOST_LEAF_AUTO(Token, readToken(Arguments.TokenFile));
  return std::make_unique<cli::connection>(Address, Token);
}

[[nodiscard]] cli::output outputOf(const arguments &Arguments) {
  return parseName(cli::OutputNames, Arguments.Output)
      .value_or(cli::output::Text);
}

[[nodiscard]] result<exit_code> check(const arguments &Arguments) {
  BOOST_LEAF_AUTO(Documents, cli::collect(Arguments.Directory));
  if (!cli::checkDocuments(Documents))
    return exit_code::BadInput;
  std::cout << Documents.size() << " documents are valid.\n";
  return exit_code::Done;
}

[[nodiscard]] result<exit_code> checkRules(const arguments &Arguments) {
  BOOST_LEAF_AUTO(Text, cli::readDocument(Arguments.File));
  std::optional<users_platform::rules_source> InForce;
  if (!Arguments.InForce.empty()) {
    BOOST_LEAF_AUTO(Before, cli::readDocument(Arguments.InForce));
    InForce =
        users_platform::rules_source{Arguments.InForce, std::move(Before)};
  }
  const auto Findings = users_platform::checkRules(
      users_platform::rules_source{Arguments.File, std::move(Text)},
      InForce ? &*InForce : nullptr);
  std::cout << cli::formatFindings(Findings, outputOf(Arguments));
  return cli::codeOf(Findings);
}

[[nodiscard]] result<exit_code> changeVm(const arguments &Arguments,
                                         const std::string &Path) {
  BOOST_LEAF_AUTO(Node, connect(Arguments));
  const nlohmann::json Body{{"vm", Arguments.Subject},
                            {"to", Arguments.Pool},
                            {"author", Arguments.Author}};
  return cli::change(*Node, Path, Body.dump(), outputOf(Arguments));
}

[[nodiscard]] result<exit_code> run(const std::string &Command,
                                    const arguments &Arguments) {
  if (Command == "check")
    return check(Arguments);
  if (Command == "check-rules")
    return checkRules(Arguments);
  if (Command == "move")
    return changeVm(Arguments,
                    Arguments.Cancel ? "/v1/move-cancellations" : "/v1/moves");
  if (Command == "maintain")
    return changeVm(Arguments, "/v1/permits");
  BOOST_LEAF_AUTO(Node, connect(Arguments));
  const auto Output = outputOf(Arguments);
  if (Command == "publish")
    return cli::publish(*Node, Arguments.Directory, Arguments.Author,
                        Arguments.Prune, Output);
  if (Command == "account")
    return cli::showAccount(*Node, Arguments.Format);
  if (Command == "explain")
    return cli::explain(*Node, Arguments.Subject, Output);
  if (Command == "result") {
    BOOST_LEAF_AUTO(Reply, Node->get("/v1/appends/" + Arguments.Subject));
    std::cout << (Output == cli::output::Json ? Reply.Body
                                              : cli::formatChange(Reply.Body));
    return cli::codeOf(Reply);
  }
  return cli::show(*Node, Command, Output);
}

void addOptions(CLI::App &App, arguments &Arguments) {
  App.add_option("--node", Arguments.Node,
                 "Operator API address of a node, host:port")
      ->envname("GALENALINK_NODE")
      ->capture_default_str();
  App.add_option("--token-file", Arguments.TokenFile,
                 "File with the operator API token")
      ->envname("GALENALINK_TOKEN_FILE");
  App.add_option("--output", Arguments.Output, "Output format")
      ->check(CLI::IsMember({"text", "json"}))
      ->capture_default_str();
  App.add_option("--author", Arguments.Author,
                 "Author recorded with the change")
      ->envname("USER");
  App.require_subcommand(1);
  App.fallthrough();
  const auto AddCommand = [&](const char *Name, const char *Help) {
    return App.add_subcommand(Name, Help);
  };
  auto *Check =
      AddCommand("check", "Check service files without publishing them");
  auto *Publish = AddCommand("publish", "Publish service files");
  for (auto *Subcommand : {Check, Publish})
    Subcommand
        ->add_option("directory", Arguments.Directory,
                     "Directory with service files")
        ->required();
  Publish->add_flag("--prune", Arguments.Prune,
                    "Remove published documents that are not in the directory");
  auto *CheckRules = AddCommand(
      "check-rules",
      "Check a configuration of the users' platform without sending it");
  CheckRules->add_option("file", Arguments.File, "Configuration (JSON)")
      ->required();
  CheckRules->add_option("--against", Arguments.InForce,
                         "Configuration in force, to compare with");
  AddCommand("status", "Show node and log health, pools below budget and stuck "
                       "VMs");
  AddCommand("pools", "Show pools with their VMs and budgets");
  AddCommand("vms", "Show VMs with their location and pending operations");
  AddCommand("queues", "Show the queues of the shards that the node owns");
  AddCommand("account",
             "Show the cost and savings of sharing VMs by customer and "
             "day")
      ->add_option("--format", Arguments.Format,
                   "Output format; defaults to --output")
      ->check(CLI::IsMember({"text", "json", "csv"}));
  AddCommand("explain", "Show the decisions on a request or a VM")
      ->add_option("subject", Arguments.Subject, "Request key or VM")
      ->required();
  AddCommand("result", "Show the result of a change")
      ->add_option("id", Arguments.Subject, "Id that the change printed")
      ->required();
  auto *Move = AddCommand("move", "Move a VM to another pool");
  Move->add_option("vm", Arguments.Subject, "VM")->required();
  Move->add_option("--to", Arguments.Pool, "Pool that receives the VM");
  Move->add_flag("--cancel", Arguments.Cancel, "Cancel a move in progress");
  AddCommand("maintain",
             "Drain and reboot a VM when the budget of its pool allows")
      ->add_option("vm", Arguments.Subject, "VM")
      ->required();
  AddCommand("version", "Show the version");
  App.footer("Examples:\n"
             "  galenalink check services/\n"
             "  galenalink publish services/ --author ann\n"
             "  galenalink check-rules next.json --against current.json\n"
             "  galenalink move vm-7 --to refunds\n"
             "  galenalink explain 0190a6c1-7b1e-7c3d-9a51-3f2b6f5f0a11\n"
             "Exit status: 0 done, 2 invalid input, 3 node unreachable, "
             "4 refused, 5 outcome unknown.");
}

[[nodiscard]] exit_code exitCodeOf(const error &Error) noexcept {
  switch (Error.Code) {
  case errc::Unavailable:
    return exit_code::Unreachable;
  case errc::UnknownOutcome:
    return exit_code::Unknown;
  default:
    return exit_code::BadInput;
  }
}

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App{"Command-line client for operators of galenalink.",
               "galenalink"};
  arguments Arguments;
  addOptions(App, Arguments);
  CLI11_PARSE(App, Argc, Argv);
  if (Arguments.Format.empty())
    Arguments.Format = Arguments.Output;
  const std::string Command = App.get_subcommands().front()->get_name();
  if (Command == "version") {
    std::cout << "galenalink " GALENALINK_VERSION "\n";
    return 0;
  }
  const auto Run = [&]() -> result<exit_code> {
    try {
      return run(Command, Arguments);
    } catch (const nlohmann::json::exception &Error) {
      return fail(errc::Corrupt, std::string{"unexpected response of the "
                                             "node: "} +
                                     Error.what());
    }
  };
  return static_cast<int>(tryOr(Run, [](const error &Error) {
    std::cerr << "galenalink: " << Error.Message << '\n';
    return exitCodeOf(Error);
  }));
}
