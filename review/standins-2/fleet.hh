// Stand-ins of the second review: backend servers, the list of VMs and a
// checker of what they see. Written after PROTOCOL.md alone.
#ifndef REVIEW_2_FLEET_HH
#define REVIEW_2_FLEET_HH

#include "galenalink/http/loop.hpp"
#include "galenalink/http/server.hpp"
#include "soak/store_standin.hpp"
#include "link.hh"
#include "soak/tcp_proxy.hpp"
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace review {

using galenalink::boot_clock;
using galenalink::duration;
using galenalink::NoDeadline;
using galenalink::time_point;
namespace http = galenalink::http;
namespace soak = galenalink::soak;
using nlohmann::json;

inline constexpr duration Ms = std::chrono::milliseconds{1};

// The record of a test: one line for each event, with the time in ms.
class record {
public:
  explicit record(const std::string &File);
  ~record();
  void line(const std::string &Text);
  void broken(const std::string &Text);
  [[nodiscard]] double now() const;
  // The rule that the case claims; only its breaks count.
  std::string Rule;
  std::size_t Broken{0};

private:
  std::FILE *Out;
  time_point Begin;
};

// What a task does, from the `spec` of its job: "MS" or "serve".
struct run {
  std::string Task;
  std::uint64_t Number{0};
  time_point StartedAt;
  time_point EndsAt;
  bool Serves{false};
  std::int64_t Cpu{0};
};

struct ended_run {
  std::uint64_t Number{0};
  std::string Task;
  std::uint64_t Run{0};
  std::string How;
  // The lease lapsed before the end was taken note of.
  bool Lapsed{false};
};

struct held_call {
  http::exchange Exchange;
  time_point RespondBy;
};

// A machine and the life of the backend server on it.
struct machine {
  std::string Name;
  std::string Pool;
  std::string Rack;
  std::string State{"up"};
  std::string Id;
  bool Alive{true};
  std::uint64_t Lives{0};
  std::int64_t BornMs{0};
  std::uint64_t Seq{0};
  time_point ClockStart;
  time_point NextEntryAt;
  std::unique_ptr<http::server> Server;
  std::unique_ptr<power_link> Link;
  std::uint64_t Fence{0};
  std::int64_t LeaseEndMs{0};
  std::vector<run> Running;
  std::map<std::string, std::uint64_t> Closed;
  std::uint64_t Ends{0};
  std::vector<ended_run> Listed;
  std::vector<held_call> Held;
  // End of an upkeep; a new life begins then.
  time_point UpAt{NoDeadline};
  std::set<std::uint64_t> Upkept;

  [[nodiscard]] std::int64_t clockMs() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               boot_clock::now() - ClockStart)
        .count();
  }
};

// How the list of VMs fails.
enum class list_fault {
  None,
  // Calls get status 503 and nothing is done.
  Unavailable,
  // Orders get no answer; nothing is done. Readings are served.
  Silent,
};

class fleet {
public:
  fleet(http::loop &Loop, soak::store_standin &Store, record &Record);
  void add(const std::string &Name, const std::string &Pool,
           const std::string &Rack);
  [[nodiscard]] http::address listAddress() const;
  // Cut off silently for a time, in which the server crashes and starts again
  // under its id.
  void darkRestart(std::size_t Index, duration Dark);
  [[nodiscard]] std::size_t size() const { return Machines.size(); }
  machine &at(std::size_t Index) { return *Machines.at(Index); }
  [[nodiscard]] std::size_t runningTasks(const std::string &Job) const;
  // Places for one more task of the job on machines that are up and don't
  // drain, by their room and at most so many of its tasks on each.
  [[nodiscard]] std::size_t placesFor(const std::string &Job,
                                      std::size_t MostOnOne,
                                      std::int64_t Cpu) const;
  // The machine with most runs of those that have room for so much more.
  [[nodiscard]] std::size_t busiest(std::int64_t FreeCpu) const;
  [[nodiscard]] std::size_t starts() const { return Starts; }
  [[nodiscard]] std::size_t doneRuns() const { return Done; }

  list_fault ListFault{list_fault::None};
  // Called with each order before it is handled; returns whether the answer is
  // lost after the order was carried out.
  std::function<bool(const std::string &Machine, const std::string &Holder,
                     std::uint64_t Token)>
      OnOrder;
  // Called after an upkeep has begun.
  std::function<void(const machine &)> OnUpkeep;
  duration UpkeepTime{2000 * Ms};
  duration HeartbeatTime{1500 * Ms};
  // From the start of a life under an id of before to its first entry.
  duration EntryDelay{0 * Ms};
  std::int64_t Cpu{32000};
  // What a task of a job asks for, by job.
  std::map<std::string, std::int64_t> TaskCpu;

private:
  void begin(machine &Machine, bool NewId);
  void writeEntry(machine &Machine);
  void lose(machine &Machine);
  void handle(machine &Machine, http::exchange Exchange);
  void start(machine &Machine, http::exchange &Exchange, const json &Body);
  void stop(machine &Machine, http::exchange &Exchange, const json &Body);
  void hold(machine &Machine, http::exchange Exchange, const json &Body);
  void list(machine &Machine, http::exchange &Exchange);
  void end(machine &Machine, std::size_t Index, const std::string &How);
  void handleList(http::exchange Exchange);
  void order(http::exchange Exchange);
  void update();

  http::loop &Loop;
  soak::store_standin &Store;
  record &Record;
  http::server ListServer;
  http::timer Timer;
  std::vector<std::unique_ptr<machine>> Machines;
  std::vector<http::exchange> Unanswered;
  std::vector<http::timer> Timers;
  std::uint64_t LastId{0};
  std::size_t Starts{0};
  std::size_t Done{0};
  // Tasks with a run that has ended `done`, once that is taken note of.
  std::map<std::string, std::string> DoneTasks;
};

} // namespace review

#endif
