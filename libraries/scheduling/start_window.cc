#include "scheduling/start_window.h"

#include <algorithm>

namespace shallotwick::scheduling {
namespace {

constexpr size_t kMinSize = 8;
// More starts in flight than any pool's steady load needs.
constexpr size_t kMaxSize = 1'024;
constexpr size_t kIncrease = 16;
// A result that comes sooner without an answer is a refused connection, which
// says nothing of the load. An order is given up after 400 ms.
constexpr auto kMaxRefusalTime = std::chrono::milliseconds(200);
constexpr auto kQuickAnswer = std::chrono::milliseconds(60);
constexpr auto kLateAnswer = std::chrono::milliseconds(130);
// A few silent targets are no sign of overload: one missing result in this
// many.
constexpr size_t kMissingShare = 8;
constexpr size_t kMinMissing = 2;

}  // namespace

size_t StartWindow::GetRoom() const {
  return m_size > m_in_flight ? m_size - m_in_flight : 0;
}

bool StartWindow::HasRoomForNextPass() const {
  return m_holds_back && GetRoom() * 4 >= m_size;
}

base::Duration StartWindow::GetLimitedTime(base::TimePoint now) const {
  return m_holds_back ? now - m_limited_since : base::Duration(0);
}

void StartWindow::OnPass(base::TimePoint now) {
  if (!m_holds_back) {
    m_limited_since = now;
  }
  m_holds_back = false;
}

void StartWindow::OnSent() { ++m_in_flight; }

void StartWindow::OnLimited() {
  m_holds_back = true;
  m_was_used_up = true;
}

void StartWindow::OnResult(OrderOutcome outcome, base::Duration answer_time) {
  if (m_in_flight > 0) {
    --m_in_flight;
  }
  const bool has_answer =
      outcome != OrderOutcome::kUnknown && outcome != OrderOutcome::kNotSent;
  if (!has_answer && answer_time < kMaxRefusalTime) {
    return;
  }
  ++m_results;
  if (has_answer) {
    m_answer_time += answer_time;
  } else {
    ++m_missing;
  }
  if (m_results >= m_size) {
    Adapt();
  }
}

void StartWindow::Adapt() {
  const size_t answers = std::max<size_t>(m_results - m_missing, 1);
  const base::Duration mean =
      m_answer_time / static_cast<base::Duration::rep>(answers);
  const base::Duration mean_limit =
      m_size < kInitialSize ? kLateAnswer : kQuickAnswer;
  if (m_missing >= kMinMissing && m_missing * kMissingShare >= m_results) {
    Shrink(1, 2);
  } else if (mean > kLateAnswer) {
    Shrink(3, 4);
  } else if (mean < mean_limit && m_was_used_up) {
    m_size = std::min(m_size + kIncrease, kMaxSize);
    m_is_reduced = m_is_reduced && m_size < kInitialSize;
  }
  m_results = 0;
  m_missing = 0;
  m_answer_time = base::Duration(0);
  m_was_used_up = false;
}

void StartWindow::Shrink(size_t numerator, size_t denominator) {
  m_size = std::max(m_size * numerator / denominator, kMinSize);
  m_is_reduced = true;
}

}  // namespace shallotwick::scheduling
