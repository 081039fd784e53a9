#include "scheduling/job_record.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace shallotwick::scheduling {
namespace {

using nlohmann::json;

// Writes a field only if it differs from its default, which keeps records
// small: most fields have their default value.
template <typename Value>
void SetIfNotDefault(json& object, const char* key, const Value& value,
                     const Value& defaults) {
  if (value != defaults) {
    object[key] = value;
  }
}

json EncodeStep(const StepSpec& step) {
  const StepSpec defaults;
  json object = json::object();
  SetIfNotDefault(object, "count", step.count, defaults.count);
  SetIfNotDefault(object, "cpu_milli", step.demand.cpu_milli, int64_t{0});
  SetIfNotDefault(object, "memory_mb", step.demand.memory_mb, int64_t{0});
  SetIfNotDefault(object, "accelerators", step.demand.accelerators, int64_t{0});
  SetIfNotDefault(object, "estimate_ms", step.estimate_ms, int64_t{0});
  SetIfNotDefault(object, "after", step.after, defaults.after);
  SetIfNotDefault(object, "checkpointing", step.checkpointing, false);
  SetIfNotDefault(object, "gang", step.gang, false);
  SetIfNotDefault(object, "same_rack", step.same_rack, false);
  SetIfNotDefault(object, "required_label", step.required_label, std::string());
  SetIfNotDefault(object, "data_rack", step.data_rack, std::string());
  SetIfNotDefault(object, "most_per_target", step.most_per_target, 0);
  SetIfNotDefault(object, "speculative", step.speculative, false);
  SetIfNotDefault(object, "long_running", step.long_running, false);
  SetIfNotDefault(object, "image", step.image, std::string());
  SetIfNotDefault(object, "latency_target_ms", step.latency_target_ms,
                  int64_t{0});
  SetIfNotDefault(object, "best_effort", step.best_effort, false);
  SetIfNotDefault(object, "disruption_budget", step.disruption_budget, 0);
  return object;
}

StepSpec DecodeStep(const json& object) {
  StepSpec step;
  step.count = object.value("count", step.count);
  step.demand.cpu_milli = object.value("cpu_milli", int64_t{0});
  step.demand.memory_mb = object.value("memory_mb", int64_t{0});
  step.demand.accelerators = object.value("accelerators", int64_t{0});
  step.estimate_ms = object.value("estimate_ms", int64_t{0});
  step.after = object.value("after", std::vector<int>{});
  step.checkpointing = object.value("checkpointing", false);
  step.gang = object.value("gang", false);
  step.same_rack = object.value("same_rack", false);
  step.required_label = object.value("required_label", "");
  step.data_rack = object.value("data_rack", "");
  step.most_per_target = object.value("most_per_target", 0);
  step.speculative = object.value("speculative", false);
  step.long_running = object.value("long_running", false);
  step.image = object.value("image", "");
  step.latency_target_ms = object.value("latency_target_ms", int64_t{0});
  step.best_effort = object.value("best_effort", false);
  step.disruption_budget = object.value("disruption_budget", 0);
  return step;
}

}  // namespace

std::string EncodeJobRecord(const JobSpec& job) {
  json object = {{"id", job.id},
                 {"route", job.route},
                 {"payload", job.payload},
                 {"accepted_ms", job.accepted_ms},
                 {"steps", json::array()}};
  for (const StepSpec& step : job.steps) {
    object["steps"].push_back(EncodeStep(step));
  }
  SetIfNotDefault(object, "max_attempts", job.max_attempts, 0);
  SetIfNotDefault(object, "customer", job.customer, std::string());
  SetIfNotDefault(object, "last_earlier_run", job.last_earlier_run, int64_t{0});
  SetIfNotDefault(object, "has_earlier_progress", job.has_earlier_progress,
                  false);
  if (job.occurrences > 0) {
    object["occurrences"] = job.occurrences;
    object["first_due_ms"] = job.first_due_ms;
    object["interval_ms"] = job.interval_ms;
  }
  // A payload may contain invalid UTF-8; without replacement, dump()
  // would throw.
  return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

JobSpec DecodeJobRecord(const std::string& text) {
  try {
    const json object = json::parse(text);
    JobSpec job;
    job.id = object.at("id").get<std::string>();
    job.route = object.at("route").get<std::string>();
    job.payload = object.at("payload").get<std::string>();
    job.accepted_ms = object.at("accepted_ms").get<int64_t>();
    for (const json& step : object.at("steps")) {
      job.steps.push_back(DecodeStep(step));
    }
    job.max_attempts = object.value("max_attempts", 0);
    job.customer = object.value("customer", "");
    job.last_earlier_run = object.value("last_earlier_run", int64_t{0});
    job.has_earlier_progress = object.value("has_earlier_progress", false);
    job.occurrences = object.value("occurrences", 0);
    job.first_due_ms = object.value("first_due_ms", int64_t{0});
    job.interval_ms = object.value("interval_ms", int64_t{0});
    return job;
  } catch (const json::exception& error) {
    throw std::runtime_error(error.what());
  }
}

}  // namespace shallotwick::scheduling
