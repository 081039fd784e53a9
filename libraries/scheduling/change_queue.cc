#include "scheduling/change_queue.h"

#include <algorithm>
#include <utility>

namespace shallotwick::scheduling {

ChangeQueue::OrderKey ChangeQueue::MakeOrderKey(const std::string& job,
                                                const Change& change) {
  return {!change.is_final, change.first_completion, job};
}

void ChangeQueue::MarkChanged(const std::string& job, bool is_final) {
  const auto found = m_queued.find(job);
  if (found == m_queued.end()) {
    Enqueue(job, Change{m_last_completion, is_final});
    return;
  }
  if (is_final && !found->second.is_final) {
    m_ready.erase(MakeOrderKey(job, found->second));
    found->second.is_final = true;
    Enqueue(job, Change(found->second));
  }
}

void ChangeQueue::MarkStarted(const std::string& job) {
  if (m_queued.count(job) == 0) {
    Enqueue(job, Change{m_last_completion + 1, false});
  }
}

void ChangeQueue::Enqueue(const std::string& job, const Change& change) {
  m_queued[job] = change;
  if (m_in_flight.count(job) == 0 && m_held.count(job) == 0) {
    m_ready.insert(MakeOrderKey(job, change));
  }
}

void ChangeQueue::Hold(const std::string& job) {
  m_held.insert(job);
  const auto found = m_queued.find(job);
  if (found != m_queued.end()) {
    m_ready.erase(MakeOrderKey(job, found->second));
  }
}

void ChangeQueue::Release(const std::string& job) {
  m_held.erase(job);
  const auto found = m_queued.find(job);
  if (found != m_queued.end()) {
    Enqueue(job, Change(found->second));
  }
}

bool ChangeQueue::IsEmpty() const {
  return std::all_of(
      m_queued.begin(), m_queued.end(),
      [this](const auto& entry) { return m_held.count(entry.first) > 0; });
}

void ChangeQueue::RecordCompletion(RunCompletion completion, std::string job) {
  ++m_last_completion;
  const Incarnation incarnation{completion.target, completion.generation};
  m_completions[incarnation].push_back(
      {m_last_completion, std::move(completion), std::move(job)});
}

void ChangeQueue::Remove(const std::string& job) {
  m_held.erase(job);
  for (auto* changes : {&m_queued, &m_in_flight}) {
    const auto found = changes->find(job);
    if (found != changes->end()) {
      m_ready.erase(MakeOrderKey(job, found->second));
      changes->erase(found);
    }
  }
}

std::vector<std::string> ChangeQueue::PopBatch(size_t max_count) {
  std::vector<std::string> jobs;
  while (!m_ready.empty() && jobs.size() < max_count) {
    const std::string job = std::get<2>(*m_ready.begin());
    m_ready.erase(m_ready.begin());
    m_in_flight[job] = m_queued.at(job);
    m_queued.erase(job);
    jobs.push_back(job);
  }
  return jobs;
}

void ChangeQueue::OnStored(const std::vector<std::string>& jobs) {
  for (const std::string& job : jobs) {
    const auto found = m_in_flight.find(job);
    if (found == m_in_flight.end()) {
      continue;
    }
    m_in_flight.erase(found);
    const auto queued = m_queued.find(job);
    if (queued != m_queued.end()) {
      Enqueue(job, Change(queued->second));
    }
  }
}

void ChangeQueue::OnFailed(const std::vector<std::string>& jobs) {
  for (const std::string& job : jobs) {
    const auto found = m_in_flight.find(job);
    if (found == m_in_flight.end()) {
      continue;
    }
    Change change = found->second;
    m_in_flight.erase(found);
    const auto queued = m_queued.find(job);
    if (queued != m_queued.end()) {
      change.is_final = change.is_final || queued->second.is_final;
    }
    Enqueue(job, change);
  }
}

bool ChangeQueue::IsUnstored(const std::string& job, int64_t completion) const {
  for (const auto* changes : {&m_queued, &m_in_flight}) {
    const auto found = changes->find(job);
    if (found != changes->end() &&
        found->second.first_completion <= completion) {
      return true;
    }
  }
  return false;
}

std::vector<RunCompletion> ChangeQueue::PopStoredCompletions() {
  std::vector<RunCompletion> stored;
  for (auto& [incarnation, completions] : m_completions) {
    while (!completions.empty() &&
           !IsUnstored(completions.front().job, completions.front().recorded)) {
      stored.push_back(std::move(completions.front().completion));
      completions.pop_front();
    }
  }
  std::erase_if(m_completions,
                [](const auto& entry) { return entry.second.empty(); });
  return stored;
}

}  // namespace shallotwick::scheduling
