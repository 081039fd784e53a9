#include "scheduling/change_queue.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

namespace scheduling = shallotwick::scheduling;
using scheduling::RunCompletion;
using Jobs = std::vector<std::string>;

TEST_GROUP(ChangeQueue) {
  scheduling::ChangeQueue m_queue;

  // Records a completion of a run of the job.
  void RecordRunCompletion(const std::string& job, int64_t number,
                           bool is_final = false) {
    m_queue.RecordCompletion({"i-1", 1, number}, job);
    m_queue.MarkChanged(job, is_final);
  }

  // Returns the numbers of the completions that may now be acknowledged.
  std::vector<int64_t> PopCompletionNumbers() {
    std::vector<int64_t> numbers;
    for (const RunCompletion& completion : m_queue.PopStoredCompletions()) {
      numbers.push_back(completion.number);
    }
    return numbers;
  }
};

// Guards against starvation if jobs change again before they are stored and the
// store accepts only three at a time: every job must be stored in its turn.
TEST(ChangeQueue, ChangingJobsDoNotStarveOtherJobs) {
  for (const char* job : {"a", "b", "c", "z"}) {
    m_queue.MarkChanged(job, false);
  }
  CHECK_TRUE(m_queue.PopBatch(3) == (Jobs{"a", "b", "c"}));
  RecordRunCompletion("a", 1);
  RecordRunCompletion("b", 2);
  m_queue.OnStored({"a", "b", "c"});
  RecordRunCompletion("c", 3);
  CHECK_TRUE(m_queue.PopBatch(3) == (Jobs{"z", "a", "b"}));
}

TEST(ChangeQueue, EndedJobsComeFirst) {
  RecordRunCompletion("a", 1);
  RecordRunCompletion("b", 2);
  RecordRunCompletion("c", 3, true);
  m_queue.MarkChanged("b", true);
  CHECK_TRUE(m_queue.PopBatch(2) == (Jobs{"b", "c"}));
  CHECK_TRUE(m_queue.PopBatch(2) == (Jobs{"a"}));
  CHECK_TRUE(m_queue.IsEmpty());
}

TEST(ChangeQueue, JobIsInAtMostOneBatch) {
  RecordRunCompletion("a", 1);
  CHECK_TRUE(m_queue.PopBatch(9) == (Jobs{"a"}));
  RecordRunCompletion("a", 2, true);
  LONGS_EQUAL(0, m_queue.CountReady());
  CHECK_TRUE(m_queue.PopBatch(9).empty());
  CHECK_FALSE(m_queue.IsEmpty());
  m_queue.OnStored({"a"});
  CHECK_TRUE(m_queue.PopBatch(9) == (Jobs{"a"}));
}

TEST(ChangeQueue, CompletionsAreAcknowledgedWhileNewerChangesAreQueued) {
  RecordRunCompletion("a", 1);
  RecordRunCompletion("b", 2);
  CHECK_TRUE(m_queue.PopBatch(1) == (Jobs{"a"}));
  RecordRunCompletion("c", 3);
  CHECK_TRUE(PopCompletionNumbers().empty());
  m_queue.OnStored({"a"});
  CHECK_TRUE(PopCompletionNumbers() == (std::vector<int64_t>{1}));
  CHECK_TRUE(m_queue.PopBatch(1) == (Jobs{"b"}));
  CHECK_TRUE(m_queue.PopBatch(1) == (Jobs{"c"}));
  // Batches may be stored out of order.
  m_queue.OnStored({"c"});
  CHECK_TRUE(PopCompletionNumbers().empty());
  m_queue.OnStored({"b"});
  CHECK_TRUE(PopCompletionNumbers() == (std::vector<int64_t>{2, 3}));
}

TEST(ChangeQueue, FailedBatchDelaysItsCompletionsAndRetainsItsPosition) {
  RecordRunCompletion("a", 1);
  RecordRunCompletion("b", 2);
  CHECK_TRUE(m_queue.PopBatch(1) == (Jobs{"a"}));
  RecordRunCompletion("a", 3, true);
  m_queue.OnFailed({"a"});
  CHECK_TRUE(PopCompletionNumbers().empty());
  CHECK_TRUE(m_queue.PopBatch(9) == (Jobs{"a", "b"}));
  m_queue.OnStored({"a", "b"});
  CHECK_TRUE(PopCompletionNumbers() == (std::vector<int64_t>{1, 2, 3}));
}

TEST(ChangeQueue, CompletionsWithoutChangesWaitForEarlierOnes) {
  RecordRunCompletion("a", 1);
  m_queue.RecordCompletion({"i-1", 1, 2}, "ended");
  CHECK_TRUE(PopCompletionNumbers().empty());
  // The start of a job delays no acknowledgement.
  m_queue.MarkStarted("b");
  m_queue.OnStored(m_queue.PopBatch(1));
  CHECK_TRUE(PopCompletionNumbers() == (std::vector<int64_t>{1, 2}));
}

TEST(ChangeQueue, CancelledJobDelaysNoAcknowledgement) {
  RecordRunCompletion("a", 1);
  m_queue.PopBatch(1);
  RecordRunCompletion("a", 2);
  m_queue.Remove("a");
  CHECK_TRUE(m_queue.IsEmpty());
  CHECK_TRUE(PopCompletionNumbers() == (std::vector<int64_t>{1, 2}));
  m_queue.OnStored({"a"});
  m_queue.OnFailed({"a"});
  CHECK_TRUE(m_queue.IsEmpty());
}

// LOST: one job that could not be stored kept all ends of its pool from being
// acknowledged.
TEST(ChangeQueue, HeldJobDelaysOnlyItsOwnTargets) {
  RecordRunCompletion("a", 1);
  m_queue.RecordCompletion({"i-2", 1, 1}, "b");
  m_queue.MarkChanged("b", false);
  CHECK_TRUE(m_queue.PopBatch(9) == (Jobs{"a", "b"}));
  m_queue.Hold("a");
  m_queue.OnFailed({"a"});
  m_queue.OnStored({"b"});
  const auto stored = m_queue.PopStoredCompletions();
  LONGS_EQUAL(1, stored.size());
  STRCMP_EQUAL("i-2", stored.front().target.c_str());
  CHECK_TRUE(m_queue.PopBatch(9).empty());
  CHECK_TRUE(m_queue.IsEmpty());
  m_queue.Release("a");
  CHECK_TRUE(m_queue.PopBatch(9) == (Jobs{"a"}));
}

// The end of a second run of a task changes nothing, but says that the task is
// done as long as the first end is not stored.
TEST(ChangeQueue, RepeatedCompletionWaitsForTheChangesOfItsJob) {
  RecordRunCompletion("a", 1);
  m_queue.RecordCompletion({"i-2", 1, 1}, "a");
  CHECK_TRUE(m_queue.PopStoredCompletions().empty());
  m_queue.OnStored(m_queue.PopBatch(9));
  LONGS_EQUAL(2, m_queue.PopStoredCompletions().size());
}
