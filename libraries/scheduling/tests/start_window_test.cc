#include "scheduling/start_window.h"

#include <CppUTest/TestHarness.h>

namespace base = shallotwick::base;
using shallotwick::scheduling::OrderOutcome;
using shallotwick::scheduling::StartWindow;
using std::chrono::milliseconds;

namespace {

// Sends and answers as many starts as the window takes.
void PassWindow(StartWindow& window, OrderOutcome outcome,
                base::Duration answer_time) {
  const size_t count = window.GetRoom();
  window.OnPass(base::TimePoint());
  for (size_t i = 0; i < count; ++i) {
    window.OnSent();
  }
  window.OnLimited();
  for (size_t i = 0; i < count; ++i) {
    window.OnResult(outcome, answer_time);
  }
}

}  // namespace

TEST_GROUP(StartWindow) { StartWindow m_window; };

TEST(StartWindow, TimeoutsHalveItOncePerWindow) {
  const size_t before = m_window.GetSize();
  PassWindow(m_window, OrderOutcome::kUnknown, milliseconds(400));
  LONGS_EQUAL(before / 2, m_window.GetSize());
  CHECK_TRUE(m_window.IsReduced());
  LONGS_EQUAL(0, m_window.GetInFlight());
}

TEST(StartWindow, NeverClosesAndWidensAgainWithQuickAnswers) {
  for (int i = 0; i < 20; ++i) {
    PassWindow(m_window, OrderOutcome::kNotSent, milliseconds(400));
  }
  CHECK_TRUE(m_window.GetRoom() > 0);
  for (int i = 0; i < 20; ++i) {
    PassWindow(m_window, OrderOutcome::kAccepted, milliseconds(10));
  }
  CHECK_FALSE(m_window.IsReduced());
}

TEST(StartWindow, LateAnswersShrinkItBeforeOrdersTimeOut) {
  const size_t before = m_window.GetSize();
  PassWindow(m_window, OrderOutcome::kAccepted, milliseconds(200));
  CHECK_TRUE(m_window.GetSize() < before);
}

TEST(StartWindow, RefusedConnectionsOfDeadTargetsDoNotShrinkIt) {
  const size_t before = m_window.GetSize();
  for (int i = 0; i < 5; ++i) {
    PassWindow(m_window, OrderOutcome::kNotSent, milliseconds(1));
  }
  LONGS_EQUAL(before, m_window.GetSize());
}

TEST(StartWindow, FewSilentTargetsDoNotShrinkIt) {
  const size_t before = m_window.GetSize();
  for (size_t i = 0; i < 4 * before; ++i) {
    m_window.OnSent();
    const bool is_silent = i % 16 == 0;
    m_window.OnResult(
        is_silent ? OrderOutcome::kUnknown : OrderOutcome::kAccepted,
        is_silent ? milliseconds(400) : milliseconds(10));
  }
  LONGS_EQUAL(before, m_window.GetSize());
}

TEST(StartWindow, HeldBackStartsGetAnotherPassOnceThereIsRoom) {
  m_window.OnPass(base::TimePoint());
  while (m_window.GetRoom() > 0) {
    m_window.OnSent();
  }
  CHECK_FALSE(m_window.HasRoomForNextPass());
  m_window.OnLimited();
  for (size_t i = 0; i < m_window.GetSize() / 4; ++i) {
    m_window.OnResult(OrderOutcome::kAccepted, milliseconds(10));
  }
  CHECK_TRUE(m_window.HasRoomForNextPass());
  m_window.OnPass(base::TimePoint());
  CHECK_FALSE(m_window.HasRoomForNextPass());
}

TEST(StartWindow, LimitedTimeEndsWithFirstPassThatHoldsNothingBack) {
  const auto at = [](int ms) { return base::TimePoint(milliseconds(ms)); };
  for (int ms = 0; ms <= 1'000; ms += 50) {
    m_window.OnPass(at(ms));
    m_window.OnLimited();
  }
  CHECK_TRUE(m_window.GetLimitedTime(at(1'000)) == milliseconds(1'000));
  m_window.OnPass(at(1'050));
  CHECK_TRUE(m_window.GetLimitedTime(at(1'050)) == base::Duration(0));
  m_window.OnPass(at(1'100));
  m_window.OnLimited();
  CHECK_TRUE(m_window.GetLimitedTime(at(1'150)) == milliseconds(50));
}

TEST(StartWindow, WidensAgainWithAnswersThatAreNotLate) {
  for (int i = 0; i < 4; ++i) {
    PassWindow(m_window, OrderOutcome::kUnknown, milliseconds(400));
  }
  const size_t smallest = m_window.GetSize();
  for (int i = 0; i < 200; ++i) {
    PassWindow(m_window, OrderOutcome::kAccepted, milliseconds(70));
  }
  CHECK_TRUE(m_window.GetSize() > smallest);
}
