#ifdef GALENALINK_EMBEDDED
#include "galenalink/node/application.hpp"
#endif
#include "galenalink/telemetry/log.hpp"
#include "serve.hpp"
#include <CLI/CLI.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#ifdef __GLIBC__
#include <malloc.h>
#endif
#include <sstream>
#include <unistd.h>

namespace {

using namespace galenalink;

constexpr int ExitBadInput = 2;
constexpr int ExitUnavailable = 3;

/** @brief Parses the settings file and prints every error in it.
 * @return Whether the settings are valid. */
template <typename Settings>
[[nodiscard]] bool loadSettings(const std::string &File, Settings &Out) {
  std::ifstream Input{File};
  if (!Input) {
    std::cerr << File << ": cannot read the settings file\n";
    return false;
  }
  std::stringstream Text;
  Text << Input.rdbuf();
  const auto Diagnostics = parseSettings(File, Text.str(), Out);
  for (const auto &Diagnostic : Diagnostics)
    std::cerr << toString(Diagnostic) << '\n';
  return Diagnostics.empty();
}

#ifdef GALENALINK_EMBEDDED
/** Larger blocks are mapped one by one, so that their memory is returned to the
 * system when they are freed. */
constexpr int MinMappedBlockBytes = 256 << 10;

/** @brief Keeps the C library from raising the size of mapped blocks to that of
 * the largest block freed, after which the bodies of large requests would stay
 * on the heap. */
void returnLargeBlocks() {
#ifdef __GLIBC__
  mallopt(M_MMAP_THRESHOLD, MinMappedBlockBytes);
#endif
}

[[nodiscard]] result<int> serve(const config::settings &Settings) {
  returnLargeBlocks();
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
#else
[[nodiscard]] result<int> serve(const config::settings & /*Settings*/) {
  return fail(errc::BadInput, "built without the embedded platform");
}
#endif

struct command_line {
  std::string File;
  bool CheckOnly{false};
};

/** @brief Loads the settings, sets up the log and serves.
 * @return The exit status. */
template <typename Settings>
[[nodiscard]] int run(const command_line &Line,
                      result<int> (*Serve)(const Settings &),
                      void (*OpenLog)(telemetry::severity, bool)) {
  Settings Loaded;
  if (!loadSettings(Line.File, Loaded))
    return ExitBadInput;
  if (Line.CheckOnly) {
    std::cout << Line.File << ": valid\n";
    return 0;
  }
  OpenLog(static_cast<telemetry::severity>(Loaded.Level),
          Loaded.Format == config::log_format::Json);
  return tryOr([&] { return Serve(Loaded); },
               [](const error &Error) {
                 std::cerr << "galenalinkd: " << Error.Message << '\n';
                 return Error.Code == errc::BadInput ? ExitBadInput
                                                     : ExitUnavailable;
               });
}

void openPlatformLog(const telemetry::severity MinSeverity, const bool Json) {
  telemetry::openLogOn(STDOUT_FILENO, MinSeverity, Json);
}

[[nodiscard]] result<int> serveOnPlatform(const job_node::settings &Settings) {
  if (auto Done = users_platform::serve(Settings); !Done)
    return Done.error();
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  // SIGHUP may arrive before its handler is set, and would end the process.
  std::signal(SIGHUP, SIG_IGN);
  CLI::App App{"Node daemon of galenalink.", "galenalinkd"};
  App.set_version_flag("--version", "galenalinkd " GALENALINK_VERSION);
  App.footer("Example:\n  galenalinkd --settings node.json\n"
             "Exit status: 0 stopped, 2 invalid settings, 3 cannot open a "
             "listener.");
  command_line Line;
  const auto AddOptions = [&](CLI::App &Target) {
    return Target.add_option("--settings", Line.File,
                             "Settings file, JSON with comments");
  };
  const auto *Settings = AddOptions(App);
  App.add_flag("--check-config", Line.CheckOnly,
               "Validate the settings and exit");
  CLI::App *OnPlatform = App.add_subcommand(
      "on-platform", "Run on the users' platform, where the store keeps all "
                     "state; see deploy/settings.json for a template");
  AddOptions(*OnPlatform)->envname("GALENALINK_SETTINGS")->required();
  CLI11_PARSE(App, Argc, Argv);

  if (OnPlatform->parsed())
    return run<job_node::settings>(Line, serveOnPlatform, openPlatformLog);
  if (Settings->count() == 0) {
    std::cerr << "galenalinkd: --settings is required\n";
    return ExitBadInput;
  }
  return run<config::settings>(Line, serve, telemetry::openLog);
}
