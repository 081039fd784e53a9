#include "ownership/fleet_clock.h"

#include <algorithm>

namespace shallotwick::ownership {
namespace {

// The maximum offset is taken over one to two of these windows, so that it
// follows clocks of slightly different speed.
constexpr auto kOffsetWindow = std::chrono::seconds(10);
// Offsets that differ by no more than this are considered equal: the hosts'
// times of day normally differ by that much.
constexpr int64_t kToleranceMs = 250;
// For this long after the first offsets, each reading replaces the agreed
// offset, as the offsets of more hosts are still arriving.
constexpr auto kInitialAgreementTime = std::chrono::seconds(3);
// The agreed offset changes only after the hosts have observed the new one for
// this long; clocks that jump are corrected sooner.
constexpr auto kMinProposalTime = std::chrono::seconds(30);

int64_t ToMilliseconds(base::TimePoint time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             time.time_since_epoch())
      .count();
}

}  // namespace

void FleetClock::ObserveStoreClock(int64_t store_ms, base::TimePoint received) {
  const int64_t offset_ms = store_ms - ToMilliseconds(received);
  if (m_max_offset_ms && received >= m_window_start + kOffsetWindow) {
    m_previous_max_offset_ms = m_max_offset_ms;
    m_max_offset_ms.reset();
  }
  if (!m_max_offset_ms) {
    m_window_start = received;
    m_max_offset_ms = offset_ms;
  }
  m_max_offset_ms = std::max(*m_max_offset_ms, offset_ms);
}

std::optional<int64_t> FleetClock::GetStoreMs(base::TimePoint now) const {
  if (!m_max_offset_ms) {
    return std::nullopt;
  }
  return ToMilliseconds(now) +
         std::max(*m_max_offset_ms,
                  m_previous_max_offset_ms.value_or(*m_max_offset_ms));
}

void FleetClock::ObserveOffsets(std::vector<int64_t> offsets_ms,
                                base::TimePoint now) {
  if (offsets_ms.empty()) {
    return;
  }
  const auto median_position =
      offsets_ms.begin() + static_cast<std::ptrdiff_t>(offsets_ms.size() / 2);
  std::nth_element(offsets_ms.begin(), median_position, offsets_ms.end());
  const int64_t median = *median_position;
  if (!m_agreed_offset_ms) {
    m_agreed_since = now;
  }
  if (!m_agreed_offset_ms || now < m_agreed_since + kInitialAgreementTime) {
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
  if (now >= m_proposed_since + kMinProposalTime) {
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
