#include "ownership/fleet_clock.h"

#include <algorithm>

namespace shallotwick::ownership {
namespace {

// The largest offset is taken over one to two of these, so that it follows
// clocks of slightly different speed.
constexpr auto kOffsetWindow = std::chrono::seconds(10);
// Offsets that differ by no more agree: times of day differ so much anyway.
constexpr int64_t kToleranceMs = 250;
// While the first hosts' offsets come in, each reading counts.
constexpr auto kSettlingTime = std::chrono::seconds(3);
// An agreed offset changes only after the hosts have seen the new one for so
// long; clocks that jump are set right again sooner.
constexpr auto kProposalTime = std::chrono::seconds(30);

int64_t ToMilliseconds(base::TimePoint time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             time.time_since_epoch())
      .count();
}

}  // namespace

void FleetClock::ObserveStore(int64_t store_ms, base::TimePoint received) {
  const int64_t offset_ms = store_ms - ToMilliseconds(received);
  if (m_largest_offset_ms && received >= m_window_began + kOffsetWindow) {
    m_previous_offset_ms = m_largest_offset_ms;
    m_largest_offset_ms.reset();
  }
  if (!m_largest_offset_ms) {
    m_window_began = received;
    m_largest_offset_ms = offset_ms;
  }
  m_largest_offset_ms = std::max(*m_largest_offset_ms, offset_ms);
}

std::optional<int64_t> FleetClock::GetStoreMs(base::TimePoint now) const {
  if (!m_largest_offset_ms) {
    return std::nullopt;
  }
  return ToMilliseconds(now) +
         std::max(*m_largest_offset_ms,
                  m_previous_offset_ms.value_or(*m_largest_offset_ms));
}

void FleetClock::ObserveOffsets(std::vector<int64_t> offsets_ms,
                                base::TimePoint now) {
  if (offsets_ms.empty()) {
    return;
  }
  const auto middle =
      offsets_ms.begin() + static_cast<std::ptrdiff_t>(offsets_ms.size() / 2);
  std::nth_element(offsets_ms.begin(), middle, offsets_ms.end());
  const int64_t median = *middle;
  if (!m_agreed_offset_ms) {
    m_agreed_since = now;
  }
  if (!m_agreed_offset_ms || now < m_agreed_since + kSettlingTime) {
    m_agreed_offset_ms = median;
    return;
  }
  const auto differs = [](int64_t left, int64_t right) {
    return std::max(left, right) - std::min(left, right) > kToleranceMs;
  };
  if (!differs(median, *m_agreed_offset_ms)) {
    m_proposed_offset_ms.reset();
    return;
  }
  if (!m_proposed_offset_ms || differs(median, *m_proposed_offset_ms)) {
    m_proposed_offset_ms = median;
    m_proposed_since = now;
  }
  if (now >= m_proposed_since + kProposalTime) {
    m_agreed_offset_ms = median;
    m_proposed_offset_ms.reset();
  }
}

int64_t FleetClock::GetUnixMs(base::TimePoint now, int64_t own_ms) const {
  const std::optional<int64_t> store_ms = GetStoreMs(now);
  if (!store_ms || !m_agreed_offset_ms) {
    return own_ms;
  }
  return *store_ms + *m_agreed_offset_ms;
}

}  // namespace shallotwick::ownership
