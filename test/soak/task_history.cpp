#include "soak/task_history.hpp"
#include <algorithm>
#include <sstream>

namespace galenalink::soak {

task_history::index task_history::recordStart(const std::string &Task,
                                              const std::string &Server,
                                              const std::uint64_t Number) {
  run_record Run;
  Run.Server = Server;
  Run.Number = Number;
  Run.StartedAt = boot_clock::now();
  Runs.push_back(std::move(Run));
  ByTask[Task].push_back(Runs.size() - 1);
  return Runs.size() - 1;
}

void task_history::recordEnd(const index Run, const std::string &Outcome) {
  Runs[Run].EndedAt = boot_clock::now();
  Runs[Run].Outcome = Outcome;
}

std::pair<task_history::task_runs::const_iterator,
          task_history::task_runs::const_iterator>
task_history::tasksOf(const std::string &Job) const {
  // Task names are the job's id, a dot and numbers; '/' follows '.'.
  return {ByTask.lower_bound(Job + "."), ByTask.lower_bound(Job + "/")};
}

std::size_t task_history::doneTasks(const std::string &Job) const {
  const auto [First, Last] = tasksOf(Job);
  return static_cast<std::size_t>(
      std::count_if(First, Last, [this](const auto &Task) {
        return std::ranges::any_of(Task.second, [this](const index Each) {
          return Runs[Each].Outcome == "done";
        });
      }));
}

std::size_t task_history::failures(const std::vector<index> &TaskRuns) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(TaskRuns, [this](const index Each) {
        return Runs[Each].Outcome == "failed";
      }));
}

std::size_t task_history::mostFailures(const std::string &Job) const {
  const auto [First, Last] = tasksOf(Job);
  std::size_t Most = 0;
  for (auto Task = First; Task != Last; ++Task)
    Most = std::max(Most, failures(Task->second));
  return Most;
}

std::vector<run_record> task_history::runsOf(const std::string &Job) const {
  std::vector<run_record> Found;
  const auto [First, Last] = tasksOf(Job);
  for (auto Task = First; Task != Last; ++Task) {
    for (const index Each : Task->second)
      Found.push_back(Runs[Each]);
  }
  return Found;
}

std::string task_history::describe(const std::string &Job) const {
  std::ostringstream Text;
  const auto [First, Last] = tasksOf(Job);
  for (auto Task = First; Task != Last; ++Task) {
    Text << "\n  " << Task->first << ":";
    for (const index Each : Task->second)
      Text << " run " << Runs[Each].Number << " on " << Runs[Each].Server
           << (Runs[Each].EndedAt == time_point::max()
                   ? " running"
                   : " ended '" + Runs[Each].Outcome + "'")
           << (Runs[Each].Acknowledged ? " (acknowledged);" : ";");
  }
  return Text.str();
}

std::vector<std::string>
task_history::violations(const std::size_t MaxAttempts) const {
  std::vector<std::string> Found;
  for (const auto &[Task, TaskRuns] : ByTask) {
    for (const index Started : TaskRuns) {
      const time_point At = Runs[Started].StartedAt;
      std::size_t Failures = 0;
      for (const index Each : TaskRuns) {
        if (Each >= Started)
          break;
        const run_record &Earlier = Runs[Each];
        if (Earlier.EndedAt > At)
          Found.push_back("task runs more than once at the same time: " + Task);
        else if (Earlier.Acknowledged && Earlier.Outcome == "done")
          Found.push_back("task started after it was done: " + Task);
        else if (Earlier.Acknowledged && Earlier.Outcome == "failed")
          ++Failures;
      }
      if (Failures >= MaxAttempts)
        Found.push_back("task started after its attempt limit: " + Task);
    }
  }
  return Found;
}

} // namespace galenalink::soak
