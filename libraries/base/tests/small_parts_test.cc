#include <CppUTest/TestHarness.h>

#include <stdexcept>

#include "base/backoff.h"
#include "base/event_loop.h"
#include "base/metrics.h"
#include "base/periodic_task.h"
#include "base/runtime_clock.h"

namespace base = shallotwick::base;

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(BaseUtilities){void teardown() override{base::RuntimeClock::Resume();
}
}
;

TEST(BaseUtilities, PausedClockMovesOnlyWhenAdvanced) {
  base::RuntimeClock::Pause();
  const base::TimePoint before = base::RuntimeClock::now();
  CHECK_TRUE(base::RuntimeClock::now() == before);
  base::RuntimeClock::Advance(seconds(7));
  CHECK_TRUE(base::RuntimeClock::now() - before == seconds(7));
  base::RuntimeClock::Resume();
  CHECK_TRUE(base::RuntimeClock::now() - before >= seconds(7));
}

TEST(BaseUtilities, BackoffDoublesUpToMaxDelay) {
  base::Backoff backoff(milliseconds(100), milliseconds(350));
  CHECK_TRUE(backoff.NextDelay(0) == milliseconds(50));
  CHECK_TRUE(backoff.NextDelay(1) == milliseconds(200));
  CHECK_TRUE(backoff.NextDelay(1) == milliseconds(350));
  CHECK_TRUE(backoff.NextDelay(0) == milliseconds(175));
  backoff.Reset();
  CHECK_TRUE(backoff.NextDelay(1) == milliseconds(100));
}

TEST(BaseUtilities, ExpositionContainsTypesAndLabels) {
  base::MetricRegistry registry;
  registry.GetCounter("requests_total", {{"reason", "queue-full"}})
      .Increment(3);
  registry.SetGauge("ready", [] { return 1.0; });
  for (int sample = 1; sample <= 100; ++sample) {
    registry.GetSummary("seconds").Record(sample);
  }
  const std::string text = registry.FormatExposition();
  CHECK(text.find("# TYPE requests_total counter\n"
                  "requests_total{reason=\"queue-full\"} 3\n") !=
        std::string::npos);
  CHECK(text.find("# TYPE ready gauge\nready 1\n") != std::string::npos);
  CHECK(text.find("seconds_count 100\n") != std::string::npos);
  DOUBLES_EQUAL(50, registry.GetSummary("seconds").GetQuantile(0.5), 5);
}

TEST(BaseUtilities, PeriodicTaskRunsWhenTheClockIsAdvanced) {
  base::RuntimeClock::Pause();
  std::atomic<int> runs{0};
  base::PeriodicTask task([&runs] {
    ++runs;
    return base::Duration(std::chrono::hours(1));
  });
  while (runs.load() < 1) {
    std::this_thread::yield();
  }
  while (runs.load() < 2) {
    base::RuntimeClock::Advance(std::chrono::hours(1));
    std::this_thread::yield();
  }
  task.Stop();
  CHECK_TRUE(runs.load() >= 2);
}

TEST_GROUP(EventLoop){};

TEST(EventLoop, ExceptionInOneTaskDoesNotStopOthers) {
  base::EventLoop loop;
  int ran = 0;
  loop.Post([&ran] { ++ran; });
  loop.Post([] { throw std::runtime_error("unexpected message"); });
  loop.Post([&ran, &loop] {
    ++ran;
    loop.Stop();
  });
  loop.Run();
  LONGS_EQUAL(2, ran);
}
