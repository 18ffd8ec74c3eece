#include "standin/executor.hpp"
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <memory>
#include <vector>

using namespace galenalink;

int main(const int Count, char **Arguments) {
  CLI::App App{"Stand-in for the backend servers of one or more VMs"};
  std::vector<std::string> Vms;
  std::string Host = "127.0.0.1";
  std::uint16_t Port = 0;
  std::size_t Slots = 8;
  App.add_option("--vm", Vms, "Name of a VM; one port for each")->required();
  App.add_option("--host", Host, "Address to listen on");
  App.add_option("--port", Port, "First port; 0 takes free ports");
  App.add_option("--slots", Slots, "Requests that may run at a time");
  CLI11_PARSE(App, Count, Arguments);

  http::loop Loop;
  Loop.onSignal(SIGTERM, [&] { Loop.stop(); });
  Loop.onSignal(SIGINT, [&] { Loop.stop(); });
  std::vector<std::unique_ptr<standin::executor>> Executors;
  for (const std::string &Vm : Vms) {
    Executors.push_back(std::make_unique<standin::executor>(Loop, Vm, Slots));
    const std::uint16_t Bound =
        tryOr([&] { return Executors.back()->listen(Host, Port); },
              [](const error &Error) {
                std::fprintf(stderr, "%s\n", Error.Message.c_str());
                return std::uint16_t{0};
              });
    if (Bound == 0)
      return 1;
    std::printf("%s %u\n", Vm.c_str(), static_cast<unsigned>(Bound));
    if (Port != 0)
      ++Port;
  }
  std::fflush(stdout);
  Loop.run();
  return 0;
}
