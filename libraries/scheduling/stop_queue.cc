#include "scheduling/stop_queue.h"

namespace shallotwick::scheduling {
namespace {

// Enough to keep a target's connections busy while answers are processed.
constexpr size_t kMaxInFlightPerTarget = 8;
// An accepted stop that has not taken effect is sent again after this time.
constexpr auto kAcceptedRetryInterval = std::chrono::milliseconds(1'500);
constexpr auto kFailedRetryInterval = std::chrono::milliseconds(100);

}  // namespace

bool StopQueue::IsIncluded(const std::string& target,
                           const TaskName& name) const {
  const auto found = m_targets.find(name);
  return found != m_targets.end() && found->second.count(target) > 0;
}

void StopQueue::Add(const std::string& target, const TaskName& name) {
  m_targets[name].insert(target);
  m_stops[target].ready.push_back(name);
}

void StopQueue::Remove(const std::string& target, const TaskName& name) {
  const auto found = m_targets.find(name);
  if (found != m_targets.end() && found->second.erase(target) > 0 &&
      found->second.empty()) {
    m_targets.erase(found);
  }
}

std::set<std::string> StopQueue::FindTargets(const TaskName& name) const {
  const auto found = m_targets.find(name);
  return found == m_targets.end() ? std::set<std::string>() : found->second;
}

std::vector<std::string> StopQueue::ListTargets() const {
  std::vector<std::string> targets;
  for (const auto& [target, stops] : m_stops) {
    if (!stops.ready.empty() || !stops.accepted.empty()) {
      targets.push_back(target);
    }
  }
  return targets;
}

std::optional<TaskName> StopQueue::Pop(const std::string& target,
                                       base::TimePoint now) {
  const auto found = m_stops.find(target);
  if (found == m_stops.end()) {
    return std::nullopt;
  }
  TargetStops& stops = found->second;
  while (!stops.accepted.empty() &&
         stops.accepted.front().first + kAcceptedRetryInterval <= now) {
    stops.ready.push_back(std::move(stops.accepted.front().second));
    stops.accepted.pop_front();
  }
  if (stops.in_flight >= kMaxInFlightPerTarget || now < stops.not_before) {
    return std::nullopt;
  }
  while (!stops.ready.empty()) {
    TaskName name = std::move(stops.ready.front());
    stops.ready.pop_front();
    if (IsIncluded(target, name)) {
      return name;
    }
  }
  if (stops.accepted.empty() && stops.in_flight == 0) {
    m_stops.erase(found);
  }
  return std::nullopt;
}

void StopQueue::OnSent(const std::string& target) {
  ++m_stops[target].in_flight;
}

void StopQueue::OnEnd(const std::string& target) {
  size_t& in_flight = m_stops[target].in_flight;
  in_flight -= in_flight > 0 ? 1 : 0;
}

void StopQueue::OnAccepted(const std::string& target, const TaskName& name,
                           base::TimePoint now) {
  OnEnd(target);
  if (IsIncluded(target, name)) {
    m_stops[target].accepted.emplace_back(now, name);
  }
}

void StopQueue::OnNotAccepted(const std::string& target, const TaskName& name,
                              base::TimePoint now) {
  OnEnd(target);
  if (IsIncluded(target, name)) {
    m_stops[target].ready.push_back(name);
  }
  m_stops[target].not_before = now + kFailedRetryInterval;
}

}  // namespace shallotwick::scheduling
