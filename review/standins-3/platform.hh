#ifndef GALENALINK_REVIEW_3_PLATFORM_HPP
#define GALENALINK_REVIEW_3_PLATFORM_HPP

// Stand-ins of the platform for the cases of review 3: the store, the backend
// servers ("executors" on the wire), the list of VMs and the node processes.
// They follow PROTOCOL.md; each deviation belongs to one case and is set by it.

#include "../../test/soak/tcp_proxy.hpp"
#include "../../test/system/process.hpp"
#include "galenalink/http/client.hpp"
#include "galenalink/http/loop.hpp"
#include "galenalink/http/server.hpp"
#include <cstdint>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace galenalink::review {

using nlohmann::json;

inline constexpr duration Millisecond = std::chrono::milliseconds{1};
inline constexpr duration Second = std::chrono::seconds{1};

/** @brief Writes `record.txt`: what was sent, answered and run. */
class record {
public:
  explicit record(const std::filesystem::path &File) : Out{File} {}
  void line(const std::string &Text);
  [[nodiscard]] double elapsed() const;

private:
  std::ofstream Out;
  time_point Start{boot_clock::now()};
};

/** @brief The store, each topic with one partition. */
class store {
public:
  store(http::loop &Loop, record &Record);
  [[nodiscard]] http::address address() const {
    return {"127.0.0.1", Server.port()};
  }
  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value);
  void remove(const std::string &Topic, const std::string &Key);
  /** @brief Lets a topic begin at an offset: the records before have expired.
   */
  void beginAt(const std::string &Topic, std::uint64_t Offset);

  /** The platform's limits of DEPLOY.md. */
  std::size_t RecordBytes{262144};
  std::size_t CallBytes{2097152};
  /** Appends refused because of a record over `RecordBytes`. */
  std::uint64_t OversizeAppends{0};
  std::size_t LargestRecord{0};

private:
  struct producer {
    std::uint64_t Epoch{0};
    std::uint64_t Next{0};
    std::deque<std::pair<std::uint64_t, std::string>> Answers;
  };
  struct topic {
    std::uint64_t First{0};
    std::vector<std::string> Records;
    /** Of a keyed topic: newest record of each key. */
    std::map<std::string, std::pair<std::uint64_t, std::string>> Newest;
    std::map<std::string, producer> Producers;
    [[nodiscard]] std::uint64_t end() const { return First + Records.size(); }
  };
  struct pending_read {
    http::exchange Exchange;
    std::string Topic;
    std::uint64_t From;
    time_point Until;
  };

  void handle(http::exchange Exchange);
  void append(http::exchange &Exchange);
  void add(const std::string &Name, topic &Topic, std::string Record);
  void newest(http::exchange &Exchange);
  void answerReads();

  http::loop &Loop;
  record &Record;
  http::server Server;
  http::timer Timer;
  std::map<std::string, topic> Topics;
  std::vector<pending_read> Reads;
};

/** @brief What a task of a job does, from the job's `spec`. */
struct behaviour {
  int Ms{100};
  bool Fails{false};
  /** Length of the checkpoints that its tasks save; 0 for none. */
  std::size_t CheckpointBytes{0};
};
[[nodiscard]] behaviour parseBehaviour(const std::string &Spec);

/** @brief The backend servers and the list of VMs. */
class fleet {
public:
  fleet(http::loop &Loop, store &Store, record &Record);
  void add(const std::string &Machine, const std::string &Pool);
  [[nodiscard]] http::address listAddress() const {
    return {"127.0.0.1", List.port()};
  }
  struct job_runs {
    std::uint64_t Starts{0};
    std::uint64_t Running{0};
    std::map<std::string, std::uint64_t> Ends;
    std::set<std::string> TasksDone;
    /** Runs by task that have ended `done`. */
    std::map<std::string, std::set<std::uint64_t>> DoneRuns;
    /** Those of them whose end was taken note of: `lastSeen` reached it, and no
     * lease of the executor lapsed between the two. */
    std::map<std::string, std::set<std::uint64_t>> NotedRuns;
    /** For each start after a run of the task had ended `done`: the task, and
     * the runs that had. */
    std::vector<std::pair<std::string, std::set<std::uint64_t>>>
        StartsAfterDone;
    /** @return Starts after a `done` end that was taken note of then or later.
     */
    [[nodiscard]] std::size_t startsAfterNotedEnd() const;
    /** When a task of it was last at work. */
    time_point BusyAt{NoDeadline};
  };
  /** By job id. */
  std::map<std::string, job_runs> Jobs;
  /** @return Thousandths of a core in use and in total in a pool. */
  [[nodiscard]] std::pair<std::int64_t, std::int64_t>
  load(const std::string &Pool) const;
  /** @return Highest fencing token that every executor has seen. */
  [[nodiscard]] std::uint64_t fence() const;
  /** @brief Lets an executor stop answering, or answer again. */
  void setSilent(const std::string &Machine, bool Silent);
  /** Length of leases that the executors permit, `maxHoldMs`. */
  std::int64_t MaxHoldMs{6000};
  bool LogRuns{false};

private:
  struct run {
    std::string Task;
    std::uint64_t Number;
    time_point EndsAt;
    behaviour Behaviour;
    std::int64_t Cpu;
    std::string Checkpoint;
    time_point StartedAt;
  };
  struct ended {
    std::uint64_t N;
    std::string Task;
    std::uint64_t Number;
    std::string How;
    std::string Checkpoint;
    bool Lapsed{false};
  };
  struct hold {
    http::exchange Exchange;
    time_point Until;
  };
  struct machine {
    std::string Name;
    std::string Pool;
    std::string State{"up"};
    std::string Id;
    std::string NextPool;
    time_point BackAt{NoDeadline};
    std::unique_ptr<http::server> Server;
    std::int64_t Born{0};
    std::uint64_t Seq{0};
    time_point NextBeat;
    time_point ClockZero;
    std::uint64_t Fence{0};
    std::int64_t LeaseEnd{0};
    std::map<std::pair<std::string, std::uint64_t>, run> Running;
    std::map<std::string, std::uint64_t> Closed;
    std::uint64_t LastEnd{0};
    std::deque<ended> Ends;
    std::vector<hold> Holds;
    bool Silent{false};
    [[nodiscard]] std::int64_t clockMs() const;
  };

  void begin(machine &Machine);
  void registerIt(machine &Machine);
  void leave(machine &Machine);
  void handle(machine &Machine, http::exchange Exchange);
  void start(machine &Machine, http::exchange &Exchange, const json &Body);
  void stop(machine &Machine, http::exchange &Exchange, const json &Body);
  void answerHold(machine &Machine, http::exchange &Exchange);
  void end(machine &Machine, const std::pair<std::string, std::uint64_t> &Key,
           const std::string &How, bool Reported = true);
  void handleList(http::exchange Exchange);
  void update();
  /** @brief Writes how many runs there were so far, once a second where single
   * runs are not recorded. */
  void logTotals();

  http::loop &Loop;
  store &Store;
  record &Record;
  time_point NextTotals;
  http::server List;
  http::timer Timer;
  std::vector<std::unique_ptr<machine>> Machines;
  std::set<std::pair<std::string, std::uint64_t>> Upkeeps;
  std::vector<http::exchange> Unanswered;
  std::uint64_t NextId{0};
};

/** @brief Node processes, started with the command of deploy/system.toml. */
class nodes {
public:
  nodes(http::loop &Loop, const std::filesystem::path &Directory,
        record &Record)
      : Loop{Loop}, Directory{Directory}, Record{Record} {}
  void add(const http::address &Store, const http::address &List);
  [[nodiscard]] std::size_t size() const { return All.size(); }
  [[nodiscard]] http::address callers(std::size_t Node) const {
    return All.at(Node).Callers;
  }
  /** @return Whether no process has ended. */
  [[nodiscard]] bool allRunning();
  /** @brief Cuts a node off from the store, or ends the cut: what is sent in
   * between arrives afterwards or not at all. */
  void cutFromStore(std::size_t Node, bool Cut);
  void signal(std::size_t Node, int Signal);
  void restart(std::size_t Node);
  [[nodiscard]] std::filesystem::path log(std::size_t Node) const;

private:
  struct node {
    std::string Name;
    http::address Callers;
    std::filesystem::path Settings;
    std::unique_ptr<soak::tcp_proxy> StoreLink;
    std::unique_ptr<system_test::process> Process;
  };
  void start(node &Node);
  http::loop &Loop;
  std::filesystem::path Directory;
  record &Record;
  std::vector<node> All;
};

/** @brief A client that waits for each answer, over any node. */
class caller {
public:
  caller(http::loop &Loop, nodes &Nodes, record &Record)
      : Loop{Loop}, Nodes{Nodes}, Record{Record}, Client{Loop, options()} {}
  /** @return Status; 0 without an answer. */
  int send(http::method Method, const std::string &Path,
           const std::string &Body, std::string *Answer = nullptr,
           std::size_t Node = 0);
  /** @brief Sends without waiting.
   * @param Done Gets the status; 0 without an answer. */
  void post(const std::string &Path, const std::string &Body, std::size_t Node,
            std::function<void(int)> Done);
  void pause(duration Time) {
    static_cast<void>(
        Loop.runUntil([] { return false; }, boot_clock::now() + Time));
  }
  bool await(const std::function<bool()> &Condition, duration Limit) {
    return Loop.runUntil(Condition, boot_clock::now() + Limit);
  }

private:
  static http::client_options options() {
    http::client_options Options;
    Options.MaxConnections = 32;
    Options.MaxWaiting = 4096;
    return Options;
  }
  http::request make(http::method Method, const std::string &Path,
                     const std::string &Body);
  http::loop &Loop;
  nodes &Nodes;
  record &Record;
  http::client Client;
};

/** @brief A route of the configuration, for host 127.0.0.1. */
[[nodiscard]] json route(const std::string &Name, const std::string &Path,
                         const std::string &Pool, int MaxAttempts);
[[nodiscard]] std::string jobId(std::uint64_t Number);
[[nodiscard]] bool trouble();

} // namespace galenalink::review

#endif
