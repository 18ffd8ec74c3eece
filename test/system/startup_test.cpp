#include "system/process.hpp"
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

using galenalink::system_test::process;

namespace {

constexpr std::chrono::milliseconds PollInterval{10};
constexpr int MaxPolls = 1000;

std::string textOf(const std::string &File) {
  std::ostringstream Text;
  Text << std::ifstream{File}.rdbuf();
  return Text.str();
}

/** @brief Calls the function until it returns true.
 * @return Whether it did in time. */
template <typename Condition> bool poll(Condition &&Holds) {
  for (int I = 0; I < MaxPolls && !Holds(); ++I)
    std::this_thread::sleep_for(PollInterval);
  return Holds();
}

} // namespace

BOOST_AUTO_TEST_SUITE(startup)

// Guards against a node that ends when its settings change while it starts:
// SIGHUP arrives while the process still reads its settings.
BOOST_AUTO_TEST_CASE(sighup_while_settings_are_read_is_ignored) {
  const auto Directory = std::filesystem::temp_directory_path() /
                         ("galenalink-startup-" + std::to_string(::getpid()));
  std::filesystem::create_directories(Directory);
  const std::string Settings = Directory / "settings.json";
  BOOST_REQUIRE(mkfifo(Settings.c_str(), 0600) == 0);
  process Node{{GALENALINKD, "--check-config", "--settings", Settings},
               Directory / "log"};
  // Opening for writing succeeds once the process has opened the other end.
  int Pipe = -1;
  BOOST_REQUIRE(poll([&] {
    if (Pipe < 0)
      Pipe = open(Settings.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
    return Pipe >= 0;
  }));
  Node.signal(SIGHUP);
  const std::string Text = textOf(EXAMPLE_SETTINGS);
  std::signal(SIGPIPE, SIG_IGN);
  static_cast<void>(write(Pipe, Text.data(), Text.size()));
  close(Pipe);
  BOOST_REQUIRE(poll([&] { return Node.ended(); }));
  BOOST_TEST(Node.succeeded(), textOf(Directory / "log"));
  std::filesystem::remove_all(Directory);
}

BOOST_AUTO_TEST_SUITE_END()
