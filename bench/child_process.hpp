#ifndef GALENALINK_BENCH_CHILD_PROCESS_HPP
#define GALENALINK_BENCH_CHILD_PROCESS_HPP

#include "galenalink/core/assert.hpp"
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <sched.h>
#include <string>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace galenalink::bench {

/**
 * @brief Pins the calling process to one of the cores it may use.
 * @param Number Index among these cores, modulo their number.
 */
inline void pinToCore(const int Number) {
  cpu_set_t Allowed;
  CPU_ZERO(&Allowed);
  sched_getaffinity(0, sizeof(Allowed), &Allowed);
  std::vector<int> Cores;
  for (int Core = 0; Core < CPU_SETSIZE; ++Core)
    if (CPU_ISSET(static_cast<std::size_t>(Core), &Allowed))
      Cores.push_back(Core);
  const auto Chosen = static_cast<std::size_t>(Number) % Cores.size();
  cpu_set_t Selected;
  CPU_ZERO(&Selected);
  CPU_SET(static_cast<std::size_t>(Cores[Chosen]), &Selected);
  sched_setaffinity(0, sizeof(Selected), &Selected);
}

/** @brief A child process pinned to one core; killed when its parent exits. */
class child_process {
public:
  /** @brief Runs a function in the child process. */
  child_process(const int Core, const std::function<void()> &Function) {
    int PipeEnds[2];
    const int Status = pipe(PipeEnds);
    GALENALINK_ASSERT(Status == 0, "pipe() failed");
    Id = fork();
    GALENALINK_ASSERT(Id >= 0, "fork() failed");
    if (Id == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      dup2(PipeEnds[1], STDOUT_FILENO);
      close(PipeEnds[0]);
      close(PipeEnds[1]);
      pinToCore(Core);
      Function();
      _exit(0);
    }
    close(PipeEnds[1]);
    Output = fdopen(PipeEnds[0], "r");
  }
  /** @brief Runs a program in the child process; discards its stderr. */
  child_process(const int Core, const std::vector<std::string> &Command)
      : child_process{Core, [&Command] {
                        const int DevNull = open("/dev/null", O_WRONLY);
                        dup2(DevNull, STDERR_FILENO);
                        std::vector<char *> Arguments;
                        Arguments.reserve(Command.size() + 1);
                        for (const std::string &Each : Command)
                          Arguments.push_back(const_cast<char *>(Each.c_str()));
                        Arguments.push_back(nullptr);
                        execv(Arguments[0], Arguments.data());
                        _exit(127);
                      }} {}
  ~child_process() {
    kill(Id, SIGTERM);
    waitpid(Id, nullptr, 0);
    std::fclose(Output);
  }
  child_process(const child_process &) = delete;
  child_process &operator=(const child_process &) = delete;

  /**
   * @brief Reads the next line of the child's output, of the form "NAME PORT".
   * @return The port; 0 at the end of the output or on a malformed line.
   */
  [[nodiscard]] std::uint16_t readPort() {
    char Name[64];
    unsigned Port = 0;
    if (std::fscanf(Output, "%63s %u", Name, &Port) != 2)
      return 0;
    return static_cast<std::uint16_t>(Port);
  }

  /** @return User and system CPU time used so far, in seconds. */
  [[nodiscard]] double cpuSeconds() const {
    std::ifstream File{"/proc/" + std::to_string(Id) + "/stat"};
    std::string Text;
    std::getline(File, Text);
    unsigned long User = 0;
    unsigned long System = 0;
    // The command name in parentheses may contain spaces; user and system
    // time are the 12th and 13th field after it.
    const auto From = Text.rfind(')');
    std::sscanf(Text.c_str() + (From == std::string::npos ? 0 : From + 1),
                " %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &User,
                &System);
    return static_cast<double>(User + System) /
           static_cast<double>(sysconf(_SC_CLK_TCK));
  }

private:
  pid_t Id{-1};
  std::FILE *Output{nullptr};
};

} // namespace galenalink::bench

#endif
