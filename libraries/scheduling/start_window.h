#pragma once

#include <cstddef>

#include "base/runtime_clock.h"
#include "scheduling/target_messages.h"

namespace shallotwick::scheduling {

// Limits the starts of an owner that are in flight, so that it sends no more
// than its link, its processor and its targets answer in time. Widens by a
// constant while answers come quickly, and shrinks by a factor once they are
// late or missing (AIMD).
class StartWindow {
 public:
  // Returns how many more starts may be sent.
  size_t GetRoom() const;
  // Returns whether starts were held back and enough room is free again for
  // another placement pass.
  bool HasRoomForNextPass() const;
  size_t GetSize() const { return m_size; }
  size_t GetInFlight() const { return m_in_flight; }
  // Returns whether late or missing answers have shrunk the window.
  bool IsReduced() const { return m_is_reduced; }

  // Returns whether the current pass has held starts back.
  bool HoldsBack() const { return m_holds_back; }
  // Returns for how long every pass has held starts back.
  base::Duration GetLimitedTime(base::TimePoint now) const;

  // A placement pass begins.
  void OnPass(base::TimePoint now);
  void OnSent();
  // A start was held back.
  void OnLimited();
  void OnResult(OrderOutcome outcome, base::Duration answer_time);

 private:
  void Adapt();
  void Shrink(size_t numerator, size_t denominator);

  size_t m_size = kInitialSize;
  size_t m_in_flight = 0;
  // Since the window last shrank, it has not widened to its initial size.
  bool m_is_reduced = false;
  // The current placement pass has held a start back.
  bool m_holds_back = false;
  // When the first of the passes began that have all held starts back.
  base::TimePoint m_limited_since;
  // Of the results since the last adaptation.
  size_t m_results = 0;
  size_t m_missing = 0;
  // The sum over the answers.
  base::Duration m_answer_time{0};
  bool m_was_used_up = false;

  static constexpr size_t kInitialSize = 64;
};

}  // namespace shallotwick::scheduling
