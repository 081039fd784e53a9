#include "scheduling/progress.h"

#include <array>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace shallotwick::scheduling {
namespace {

constexpr std::array<std::pair<JobState, const char*>, 7> kStateNames = {
    {{JobState::kQueued, "queued"},
     {JobState::kRunning, "running"},
     {JobState::kCompleted, "completed"},
     {JobState::kFailed, "failed"},
     {JobState::kCancelled, "cancelled"},
     {JobState::kWithdrawn, "withdrawn"},
     {JobState::kMoved, "moved"}}};

JobState ReadState(const nlohmann::json& json) {
  const auto name = json.at("state").get<std::string>();
  for (const auto& [state, state_name] : kStateNames) {
    if (name == state_name) {
      return state;
    }
  }
  throw std::runtime_error("unknown job state '" + name + "'");
}

// Returns an empty object for a task in its initial state; such tasks are not
// written.
nlohmann::json EncodeTask(const TaskProgress& task) {
  nlohmann::json json = nlohmann::json::object();
  if (task.done) {
    json["done"] = true;
  }
  if (!task.failed_runs.empty()) {
    json["failed_runs"] = task.failed_runs;
  }
  if (!task.done && !task.checkpoint.empty()) {
    json["checkpoint"] = task.checkpoint;
  }
  return json;
}

TaskProgress DecodeTask(const nlohmann::json& json) {
  TaskProgress task;
  task.done = json.value("done", false);
  task.failed_runs = json.value("failed_runs", std::vector<int64_t>{});
  task.checkpoint = json.value("checkpoint", "");
  return task;
}

}  // namespace

const char* NameOf(JobState state) {
  for (const auto& [named, name] : kStateNames) {
    if (named == state) {
      return name;
    }
  }
  return "";
}

bool IsTerminal(JobState state) {
  return state != JobState::kQueued && state != JobState::kRunning;
}

JobProgress MakeInitialProgress(const JobSpec& job) {
  JobProgress progress;
  progress.route = job.route;
  std::vector<std::vector<TaskProgress>> steps;
  for (const StepSpec& step : job.steps) {
    steps.emplace_back(static_cast<size_t>(step.count));
  }
  progress.tasks.assign(static_cast<size_t>(job.GetOccurrenceCount()), steps);
  return progress;
}

std::string EncodeProgress(const JobProgress& progress) {
  nlohmann::json json;
  json["state"] = NameOf(progress.state);
  if (IsTerminal(progress.state)) {
    return json.dump();
  }
  json["route"] = progress.route;
  nlohmann::json tasks = nlohmann::json::array();
  for (size_t k = 0; k < progress.tasks.size(); ++k) {
    for (size_t step = 0; step < progress.tasks[k].size(); ++step) {
      for (size_t i = 0; i < progress.tasks[k][step].size(); ++i) {
        nlohmann::json task = EncodeTask(progress.tasks[k][step][i]);
        if (!task.empty()) {
          tasks.push_back({k, step, i, std::move(task)});
        }
      }
    }
  }
  if (!tasks.empty()) {
    json["tasks"] = std::move(tasks);
  }
  return json.dump();
}

std::string EncodeWithdrawal() {
  JobProgress withdrawn;
  withdrawn.state = JobState::kWithdrawn;
  return EncodeProgress(withdrawn);
}

std::string EncodeMove(const std::string& service) {
  return nlohmann::json{{"state", NameOf(JobState::kMoved)},
                        {"service", service}}
      .dump();
}

ProgressSummary DecodeSummary(const std::string& text) {
  try {
    const nlohmann::json json = nlohmann::json::parse(text);
    ProgressSummary summary{ReadState(json), json.value("route", ""), ""};
    if (summary.state == JobState::kMoved) {
      summary.moved_to = json.at("service").get<std::string>();
    }
    return summary;
  } catch (const nlohmann::json::exception& error) {
    throw std::runtime_error(error.what());
  }
}

JobProgress DecodeProgress(const JobSpec& job, const std::string& text) {
  try {
    const nlohmann::json json = nlohmann::json::parse(text);
    JobProgress progress = MakeInitialProgress(job);
    progress.state = ReadState(json);
    for (const auto& entry : json.value("tasks", nlohmann::json::array())) {
      progress.tasks.at(entry.at(0).get<size_t>())
          .at(entry.at(1).get<size_t>())
          .at(entry.at(2).get<size_t>()) = DecodeTask(entry.at(3));
    }
    return progress;
  } catch (const nlohmann::json::exception& error) {
    throw std::runtime_error(error.what());
  } catch (const std::out_of_range& error) {
    throw std::runtime_error(
        "job progress refers to a task that the job does not have");
  }
}

}  // namespace shallotwick::scheduling
