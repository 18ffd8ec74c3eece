#include "galenalink/node/application.hpp"
#include "galenalink/telemetry/log.hpp"
#include <CLI/CLI.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace galenalink;

constexpr int ExitBadInput = 2;
constexpr int ExitUnavailable = 3;

/** @brief Reads and checks the settings; prints every error found. */
[[nodiscard]] bool loadSettings(const std::string &File,
                                config::settings &Settings) {
  std::ifstream Input{File};
  if (!Input) {
    std::cerr << File << ": can't be read\n";
    return false;
  }
  std::stringstream Text;
  Text << Input.rdbuf();
  const auto Diagnostics = config::parseSettings(File, Text.str(), Settings);
  for (const auto &Diagnostic : Diagnostics)
    std::cerr << toString(Diagnostic) << '\n';
  return Diagnostics.empty();
}

[[nodiscard]] result<int> serve(const config::settings &Settings) {
  BOOST_LEAF_AUTO(Secrets, node::readSecrets(Settings));
  http::loop Loop;
  node::application Application{Loop, Settings, Secrets};
  if (auto Started = Application.start(); !Started)
    return Started.error();
  Loop.onSignal(SIGTERM, [&] { Application.stop(); });
  Loop.onSignal(SIGINT, [&] { Application.stop(); });
  Loop.run();
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App{"Entry node of galenalink.", "galenalinkd"};
  App.set_version_flag("--version", "galenalinkd " GALENALINK_VERSION);
  App.footer("Example:\n  galenalinkd --settings node.json\n"
             "Exit status: 0 stopped, 2 bad settings, 3 a listener can't be "
             "opened.");
  std::string File;
  bool CheckOnly = false;
  App.add_option("--settings", File, "Settings, JSON with comments")
      ->required();
  App.add_flag("--check-config", CheckOnly,
               "Check the settings and exit without starting");
  CLI11_PARSE(App, Argc, Argv);

  config::settings Settings;
  if (!loadSettings(File, Settings))
    return ExitBadInput;
  if (CheckOnly) {
    std::cout << File << ": valid\n";
    return 0;
  }
  telemetry::openLog(static_cast<telemetry::severity>(Settings.Level),
                     Settings.Format == config::log_format::Json);
  return tryOr([&] { return serve(Settings); },
               [](const error &Error) {
                 std::cerr << "galenalinkd: " << Error.Message << '\n';
                 return Error.Code == errc::BadInput ? ExitBadInput
                                                     : ExitUnavailable;
               });
}
