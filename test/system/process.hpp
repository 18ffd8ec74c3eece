#ifndef GALENALINK_TEST_SYSTEM_PROCESS_HPP
#define GALENALINK_TEST_SYSTEM_PROCESS_HPP

#include <string>
#include <sys/types.h>
#include <vector>

namespace galenalink::system_test {

/** @brief A child process; killed by its id when the object is destroyed. */
class process {
public:
  /** @brief Starts a program; its output and its log go to the file. */
  process(const std::vector<std::string> &Command, const std::string &Output);
  ~process();
  process(const process &) = delete;
  process &operator=(const process &) = delete;

  [[nodiscard]] pid_t id() const noexcept { return Id; }
  void signal(int Signal) const noexcept;
  /** @return Whether the process has ended; does not wait. */
  [[nodiscard]] bool ended() noexcept;
  /** @return Whether it ended by itself with status 0. */
  [[nodiscard]] bool succeeded() noexcept { return ended() && Status == 0; }
  /** @return Whether the signal has ended it. */
  [[nodiscard]] bool endedBy(int Signal) noexcept;
  /** @brief Sends SIGKILL and waits for the end. */
  void kill() noexcept;

private:
  pid_t Id{-1};
  int Status{0};
  bool Reaped{false};
};

} // namespace galenalink::system_test

#endif
