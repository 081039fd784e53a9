#include "scheduling/change_queue.h"

#include <algorithm>
#include <utility>

namespace shallotwick::scheduling {

ChangeQueue::Place ChangeQueue::MakePlace(const std::string& job,
                                          const Change& change) {
  return {!change.is_final, change.since, job};
}

void ChangeQueue::Mark(const std::string& job, bool is_final) {
  const auto found = m_waiting.find(job);
  if (found == m_waiting.end()) {
    Add(job, Change{m_newest_end, is_final});
    return;
  }
  if (is_final && !found->second.is_final) {
    m_order.erase(MakePlace(job, found->second));
    found->second.is_final = true;
    if (m_under_way.count(job) == 0) {
      m_order.insert(MakePlace(job, found->second));
    }
  }
}

void ChangeQueue::MarkBegun(const std::string& job) {
  if (m_waiting.count(job) == 0) {
    Add(job, Change{m_newest_end + 1, false});
  }
}

void ChangeQueue::Add(const std::string& job, const Change& change) {
  m_open.insert(change.since);
  Wait(job, change);
}

void ChangeQueue::Wait(const std::string& job, const Change& change) {
  m_waiting[job] = change;
  if (m_under_way.count(job) == 0) {
    m_order.insert(MakePlace(job, change));
  }
}

void ChangeQueue::Release(int64_t since) { m_open.erase(m_open.find(since)); }

void ChangeQueue::NoteEnd(NotedEnd end) {
  ++m_newest_end;
  m_ends.emplace_back(m_newest_end, std::move(end));
}

void ChangeQueue::Forget(const std::string& job) {
  for (auto* changes : {&m_waiting, &m_under_way}) {
    const auto found = changes->find(job);
    if (found != changes->end()) {
      m_order.erase(MakePlace(job, found->second));
      Release(found->second.since);
      changes->erase(found);
    }
  }
}

std::vector<std::string> ChangeQueue::Take(size_t most) {
  std::vector<std::string> jobs;
  while (!m_order.empty() && jobs.size() < most) {
    const std::string job = std::get<2>(*m_order.begin());
    m_order.erase(m_order.begin());
    m_under_way[job] = m_waiting.at(job);
    m_waiting.erase(job);
    jobs.push_back(job);
  }
  return jobs;
}

void ChangeQueue::OnStored(const std::vector<std::string>& jobs) {
  for (const std::string& job : jobs) {
    const auto found = m_under_way.find(job);
    if (found == m_under_way.end()) {
      continue;
    }
    Release(found->second.since);
    m_under_way.erase(found);
    const auto waiting = m_waiting.find(job);
    if (waiting != m_waiting.end()) {
      m_order.insert(MakePlace(job, waiting->second));
    }
  }
}

void ChangeQueue::OnFailed(const std::vector<std::string>& jobs) {
  for (const std::string& job : jobs) {
    const auto found = m_under_way.find(job);
    if (found == m_under_way.end()) {
      continue;
    }
    Change change = found->second;
    m_under_way.erase(found);
    const auto waiting = m_waiting.find(job);
    if (waiting != m_waiting.end()) {
      Release(waiting->second.since);
      change.is_final = change.is_final || waiting->second.is_final;
    }
    Wait(job, change);
  }
}

std::vector<NotedEnd> ChangeQueue::TakeStoredEnds() {
  std::vector<NotedEnd> stored;
  // What is open since an end may hold that end's changes.
  while (!m_ends.empty() &&
         (m_open.empty() || m_ends.front().first < *m_open.begin())) {
    stored.push_back(std::move(m_ends.front().second));
    m_ends.pop_front();
  }
  return stored;
}

}  // namespace shallotwick::scheduling
