#include "system/process.hpp"
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace galenalink::system_test {

process::process(const std::vector<std::string> &Command,
                 const std::string &Output) {
  std::vector<char *> Arguments;
  Arguments.reserve(Command.size() + 1);
  for (const auto &Word : Command)
    Arguments.push_back(const_cast<char *>(Word.c_str()));
  Arguments.push_back(nullptr);
  const pid_t Parent = getpid();
  Id = fork();
  if (Id < 0)
    throw std::runtime_error{"fork failed"};
  if (Id > 0)
    return;
  // A child must not outlive a test that was ended by its time limit.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != Parent)
    _exit(127);
  const int File = open(Output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  if (File < 0 || dup2(File, 1) < 0 || dup2(File, 2) < 0)
    _exit(127);
  // The child takes no socket of the test with it.
  close_range(3, ~0U, 0);
  execv(Arguments[0], Arguments.data());
  _exit(127);
}

process::~process() { kill(); }

void process::signal(const int Signal) const noexcept {
  if (!Reaped)
    ::kill(Id, Signal);
}

bool process::ended() noexcept {
  if (!Reaped && waitpid(Id, &Status, WNOHANG) == Id)
    Reaped = true;
  return Reaped;
}

bool process::endedBy(const int Signal) noexcept {
  return ended() && WIFSIGNALED(Status) && WTERMSIG(Status) == Signal;
}

void process::kill() noexcept {
  if (ended())
    return;
  ::kill(Id, SIGKILL);
  while (waitpid(Id, &Status, 0) < 0 && errno == EINTR) {
  }
  Reaped = true;
}

} // namespace galenalink::system_test
