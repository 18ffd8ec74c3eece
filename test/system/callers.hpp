#ifndef GALENALINK_TEST_SYSTEM_CALLERS_HPP
#define GALENALINK_TEST_SYSTEM_CALLERS_HPP

#include "system/harness.hpp"
#include <deque>
#include <map>
#include <vector>

namespace galenalink::system_test {

struct workload {
  /** Requests in progress at a time. */
  std::size_t InFlight{24};
  std::uint64_t RunMs{20};
  /** One request in this many is long work; 0 for none. */
  std::size_t LongEvery{20};
  std::uint64_t LongRunMs{300};
  /** The remaining requests are half idempotent, or all are not. */
  bool OnlyNonIdempotent{false};
};

/** @brief One request as its caller saw it. */
struct asked {
  std::string Key;
  std::string Queue;
  std::string Body;
  bool Idempotent{false};
  /** Value of `Galenalink-Outcome`; empty as long as there is none. */
  std::string Outcome;
  std::string Reason;
  std::string Answer;
  std::size_t Tries{0};
  bool Accepted{false};
  bool Ended{false};
  time_point Since{};
};

/**
 * @brief Callers that keep a number of requests in flight. A caller without an
 * answer repeats the same key at another node; an unknown outcome is asked for
 * again, and a handle is followed at changing nodes.
 */
class callers {
public:
  callers(cluster &Cluster, workload Work);

  void start();
  /** @brief Issues one request; it is not replaced when it ends. */
  const asked &issue(const std::string &Queue, std::uint64_t RunMs);
  /** @brief Issues nothing new and waits for all answers.
   * @return Whether all requests ended, if only as lost. */
  [[nodiscard]] bool finish(duration Limit = std::chrono::seconds{25});
  [[nodiscard]] std::size_t count(const std::string &Outcome) const;
  /** @brief Waits until this many more requests got the outcome. */
  [[nodiscard]] bool awaitMore(std::size_t Number,
                               const std::string &Outcome = "complete",
                               duration Limit = std::chrono::seconds{10});
  [[nodiscard]] const std::deque<asked> &all() const noexcept { return Asked; }
  /** @return Connections that ended after bytes had been sent. */
  [[nodiscard]] std::size_t broken() const noexcept { return Broken; }
  /** @brief Counts of outcomes and of reasons for refusals. */
  [[nodiscard]] std::string summary() const;

private:
  void next();
  void begin(asked &Request);
  void send(asked &Request);
  void answered(asked &Request, const http::answer &Answer);
  void again(asked &Request, duration Pause);
  void end(asked &Request);
  void later(duration Pause, std::function<void()> Function);
  [[nodiscard]] const member_node *pick();

  cluster &Cluster;
  workload Work;
  bool Issuing{false};
  std::size_t Chosen{0};
  std::size_t Broken{0};
  std::size_t Open{0};
  std::size_t LastTimer{0};
  std::map<std::string, std::size_t> Outcomes;
  std::map<std::string, std::size_t> Reasons;
  std::deque<asked> Asked;
  std::map<std::size_t, http::timer> Timers;
};

/** @brief What the checker found; every count must be 0. */
struct verdict {
  std::size_t Doubled{0};
  std::size_t WrongBody{0};
  std::size_t RanThoughNotRun{0};
  std::size_t CompleteWithoutRun{0};
  std::size_t Lost{0};
  std::size_t KeyReused{0};
  std::size_t Overplaced{0};
  /** The first findings, one a line. */
  std::string Details;

  [[nodiscard]] bool clean() const noexcept { return Details.empty(); }
};

/** @brief Compares the callers' answers with the runs of the backend servers,
 * after the nodes have nothing left to run. */
[[nodiscard]] verdict check(cluster &Cluster, const callers &Callers);

/** @return The report of `GET /runs` of each VM, in the order of `Vms`. */
[[nodiscard]] std::vector<json> reports(cluster &Cluster);

} // namespace galenalink::system_test

#endif
