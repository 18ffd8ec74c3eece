#ifndef REVIEW_FLEET_HPP
#define REVIEW_FLEET_HPP

#include "store.hh"
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>

namespace review {

using nlohmann::json;

/** @brief Writes `record.txt`: what was sent, answered and run. */
class record {
public:
  explicit record(const std::string &Path)
      : Out{Path}, Begin{galenalink::boot_clock::now()} {}
  /** @return Seconds since the start. */
  [[nodiscard]] double seconds() const;
  void line(const std::string &Text);

private:
  std::ofstream Out;
  time_point Begin;
};

/** @brief A run of a task as the executors saw it. */
struct run_record {
  std::string Task;
  std::uint64_t Number{0};
  std::string Executor;
  double StartedAt{0};
  /** Negative while it runs. */
  double EndedAt{-1};
  /** As listed; empty if it ended with its executor. */
  std::string How;
  /** `lastSeen` has reached the end, and the lease had not lapsed before. */
  bool Noted{false};
};

/** @brief What an executor does with a call. */
enum class treatment {
  Serve,
  /** Carried out; the connection breaks instead of an answer. */
  NoAnswer,
  /** Neither carried out nor answered. */
  Unheard,
  /** Not carried out, status 503. */
  Refuse,
  /** Not carried out; the connection breaks. */
  Reset,
};

/** @brief One executor and its machine. Its clock counts from its start. */
struct executor {
  std::string Id;
  std::string Machine;
  std::string Pool;
  std::int64_t BornMs{0};
  std::int64_t Cpu{0};
  std::int64_t MemMb{0};
  std::unique_ptr<http::server> Server;
  std::uint16_t Port{0};
  bool Up{false};
  time_point ClockStart;
  std::uint64_t Fence{0};
  std::int64_t LeaseEndMs{0};
  struct running_run {
    std::size_t Record{0};
    time_point StartedAt;
    time_point EndsAt;
    bool Checkpointing{false};
    bool Lasting{false};
    std::string Saved;
  };
  std::map<std::pair<std::string, std::uint64_t>, running_run> Running;
  struct ended_run {
    std::uint64_t Number{0};
    std::size_t Record{0};
    std::string Saved;
    bool Lapsed{false};
  };
  std::uint64_t EndCount{0};
  std::deque<ended_run> Ends;
  std::map<std::string, std::uint64_t> Closed;
  struct waiting_hold {
    http::exchange Exchange;
    time_point AnswerBy;
  };
  std::vector<waiting_hold> Holds;
  std::uint64_t Sequence{0};
  time_point NextBeat;

  [[nodiscard]] std::int64_t clockMs() const;
};

/**
 * @brief Executors and the list of machines. The `spec` of a job is
 * `MS` for tasks of that duration, `MS c` if they save checkpoints, or `lasts`.
 */
class fleet {
public:
  fleet(http::loop &Loop, store &Store, record &Record);

  executor &add(const std::string &Pool, std::int64_t Cpu, std::int64_t MemMb);
  /** @brief The executor and all that it runs end; its connections are left
   * without an answer. */
  void powerOff(executor &Executor);
  /** @brief It starts again under its id, at its address, knowing nothing. */
  void powerOn(executor &Executor);
  [[nodiscard]] http::address listAddress() const;
  [[nodiscard]] std::vector<std::unique_ptr<executor>> &all() { return All; }
  [[nodiscard]] const std::vector<run_record> &runs() const { return Runs; }
  [[nodiscard]] std::size_t running() const;

  /** Decides on each call; empty for `Serve`. */
  std::function<treatment(const executor &, std::string_view Path)> Treat;
  /** Time from a start or a stop to its answer. */
  duration AnswerDelay{duration::zero()};
  /** Called after a start has been carried out. */
  std::function<void(executor &, const run_record &)> OnStart;

private:
  void listen(executor &Executor);
  void registerNow(executor &Executor);
  void serve(executor &Executor, http::exchange Exchange);
  /** @return Status of the answer. */
  int start(executor &Executor, const json &Body, json &Answer);
  void stop(executor &Executor, const json &Body);
  void hold(executor &Executor, http::exchange Exchange, const json &Body);
  void answerHold(executor &Executor, http::exchange &Exchange);
  void end(executor &Executor,
           std::map<std::pair<std::string, std::uint64_t>,
                    executor::running_run>::iterator Run,
           const std::string &How);
  void update();
  void list(http::exchange Exchange);

  http::loop &Loop;
  store &Store;
  record &Record;
  http::server List;
  http::timer Timer;
  std::vector<std::unique_ptr<executor>> All;
  std::vector<run_record> Runs;
  std::vector<http::exchange> Unanswered;
  std::vector<std::unique_ptr<http::server>> Gone;
  std::uint64_t NextSaved{0};
};

} // namespace review

#endif
