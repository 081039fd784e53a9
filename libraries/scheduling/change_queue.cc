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
    AddChange(job, Change{m_last_completion, is_final});
    return;
  }
  if (is_final && !found->second.is_final) {
    m_ready.erase(MakeOrderKey(job, found->second));
    found->second.is_final = true;
    if (m_in_flight.count(job) == 0) {
      m_ready.insert(MakeOrderKey(job, found->second));
    }
  }
}

void ChangeQueue::MarkStarted(const std::string& job) {
  if (m_queued.count(job) == 0) {
    AddChange(job, Change{m_last_completion + 1, false});
  }
}

void ChangeQueue::AddChange(const std::string& job, const Change& change) {
  m_unstored_changes.insert(change.first_completion);
  Enqueue(job, change);
}

void ChangeQueue::Enqueue(const std::string& job, const Change& change) {
  m_queued[job] = change;
  if (m_in_flight.count(job) == 0) {
    m_ready.insert(MakeOrderKey(job, change));
  }
}

void ChangeQueue::RemoveUnstored(int64_t first_completion) {
  m_unstored_changes.erase(m_unstored_changes.find(first_completion));
}

void ChangeQueue::RecordCompletion(RunCompletion completion) {
  ++m_last_completion;
  m_completions.emplace_back(m_last_completion, std::move(completion));
}

void ChangeQueue::Remove(const std::string& job) {
  for (auto* changes : {&m_queued, &m_in_flight}) {
    const auto found = changes->find(job);
    if (found != changes->end()) {
      m_ready.erase(MakeOrderKey(job, found->second));
      RemoveUnstored(found->second.first_completion);
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
    RemoveUnstored(found->second.first_completion);
    m_in_flight.erase(found);
    const auto queued = m_queued.find(job);
    if (queued != m_queued.end()) {
      m_ready.insert(MakeOrderKey(job, queued->second));
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
      RemoveUnstored(queued->second.first_completion);
      change.is_final = change.is_final || queued->second.is_final;
    }
    Enqueue(job, change);
  }
}

std::vector<RunCompletion> ChangeQueue::PopStoredCompletions() {
  std::vector<RunCompletion> stored;
  // A change that was first made at or before a completion may include the
  // effects of that completion.
  while (!m_completions.empty() &&
         (m_unstored_changes.empty() ||
          m_completions.front().first < *m_unstored_changes.begin())) {
    stored.push_back(std::move(m_completions.front().second));
    m_completions.pop_front();
  }
  return stored;
}

}  // namespace shallotwick::scheduling
