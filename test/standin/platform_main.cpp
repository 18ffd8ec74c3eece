#include "standin/platform.hpp"
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <sstream>
#include <vector>

using namespace galenalink;

namespace {

/** @brief Parses `VM,MEMBER,PLACE,RACK,ADDRESS,POOL`. */
std::optional<platform::vm> parseVm(const std::string &Text) {
  std::istringstream Stream{Text};
  std::vector<std::string> Parts;
  for (std::string Part; std::getline(Stream, Part, ',');)
    Parts.push_back(Part);
  if (Parts.size() != 6)
    return std::nullopt;
  return platform::vm{Parts[0],
                      Parts[1],
                      Parts[2],
                      Parts[3],
                      Parts[4],
                      Parts[5],
                      platform::vm_state::Live};
}

} // namespace

int main(const int Count, char **Arguments) {
  CLI::App App{"Stand-in for the platform's log, VM list and actions"};
  std::vector<std::string> Texts;
  std::string Host = "127.0.0.1";
  std::uint16_t Port = 0;
  std::int64_t RebootMs = 2000;
  App.add_option("--vm", Texts, "VM,MEMBER,PLACE,RACK,ADDRESS,POOL");
  App.add_option("--host", Host, "Address to listen on");
  App.add_option("--port", Port, "Port; 0 takes a free one");
  App.add_option("--reboot-ms", RebootMs, "Duration of a reboot");
  CLI11_PARSE(App, Count, Arguments);

  std::vector<platform::vm> Vms;
  for (const std::string &Text : Texts) {
    auto Vm = parseVm(Text);
    if (!Vm) {
      std::fprintf(stderr, "'%s' is not VM,MEMBER,PLACE,RACK,ADDRESS,POOL\n",
                   Text.c_str());
      return 1;
    }
    Vms.push_back(std::move(*Vm));
  }
  http::loop Loop;
  Loop.onSignal(SIGTERM, [&] { Loop.stop(); });
  Loop.onSignal(SIGINT, [&] { Loop.stop(); });
  platform::store::options Options;
  Options.RebootTime = std::chrono::milliseconds{RebootMs};
  standin::platform Platform{Loop, Options, std::move(Vms)};
  const std::uint16_t Bound =
      tryOr([&] { return Platform.listen(Host, Port); },
            [](const error &Error) {
              std::fprintf(stderr, "%s\n", Error.Message.c_str());
              return std::uint16_t{0};
            });
  if (Bound == 0)
    return 1;
  std::printf("platform %u\n", static_cast<unsigned>(Bound));
  std::fflush(stdout);
  Loop.run();
  return 0;
}
