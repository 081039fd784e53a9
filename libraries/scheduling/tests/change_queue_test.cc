#include "scheduling/change_queue.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

namespace scheduling = shallotwick::scheduling;
using scheduling::NotedEnd;
using Jobs = std::vector<std::string>;

TEST_GROUP(ChangeQueue) {
  scheduling::ChangeQueue m_queue;

  // A target lists the end of a run of the job.
  void End(const std::string& job, int64_t number, bool is_final = false) {
    m_queue.NoteEnd({"i-1", 1, number});
    m_queue.Mark(job, is_final);
  }

  // The numbers of the ends that may be acknowledged by now.
  std::vector<int64_t> TakeEnds() {
    std::vector<int64_t> numbers;
    for (const NotedEnd& end : m_queue.TakeStoredEnds()) {
      numbers.push_back(end.number);
    }
    return numbers;
  }
};

// A thousand jobs that all change again before they are stored, and a store
// that takes three of them at a time: each has its turn.
TEST(ChangeQueue, NoJobWaitsForOthersThatKeepChanging) {
  for (const char* job : {"a", "b", "c", "z"}) {
    m_queue.Mark(job, false);
  }
  CHECK_TRUE(m_queue.Take(3) == (Jobs{"a", "b", "c"}));
  End("a", 1);
  End("b", 2);
  m_queue.OnStored({"a", "b", "c"});
  End("c", 3);
  CHECK_TRUE(m_queue.Take(3) == (Jobs{"z", "a", "b"}));
}

TEST(ChangeQueue, EndedJobsGoFirst) {
  End("a", 1);
  End("b", 2);
  End("c", 3, true);
  m_queue.Mark("b", true);
  CHECK_TRUE(m_queue.Take(2) == (Jobs{"b", "c"}));
  CHECK_TRUE(m_queue.Take(2) == (Jobs{"a"}));
  CHECK_TRUE(m_queue.IsEmpty());
}

TEST(ChangeQueue, NoJobIsInTwoBatches) {
  End("a", 1);
  CHECK_TRUE(m_queue.Take(9) == (Jobs{"a"}));
  End("a", 2, true);
  LONGS_EQUAL(0, m_queue.CountReady());
  CHECK_TRUE(m_queue.Take(9).empty());
  CHECK_FALSE(m_queue.IsEmpty());
  m_queue.OnStored({"a"});
  CHECK_TRUE(m_queue.Take(9) == (Jobs{"a"}));
}

TEST(ChangeQueue, EndsAreAcknowledgedWhileNewerChangesWait) {
  End("a", 1);
  End("b", 2);
  CHECK_TRUE(m_queue.Take(1) == (Jobs{"a"}));
  End("c", 3);
  CHECK_TRUE(TakeEnds().empty());
  m_queue.OnStored({"a"});
  CHECK_TRUE(TakeEnds() == (std::vector<int64_t>{1}));
  CHECK_TRUE(m_queue.Take(1) == (Jobs{"b"}));
  CHECK_TRUE(m_queue.Take(1) == (Jobs{"c"}));
  // Batches may be stored in another order.
  m_queue.OnStored({"c"});
  CHECK_TRUE(TakeEnds().empty());
  m_queue.OnStored({"b"});
  CHECK_TRUE(TakeEnds() == (std::vector<int64_t>{2, 3}));
}

TEST(ChangeQueue, AFailedBatchHoldsItsEndsBackAndKeepsItsPlace) {
  End("a", 1);
  End("b", 2);
  CHECK_TRUE(m_queue.Take(1) == (Jobs{"a"}));
  End("a", 3, true);
  m_queue.OnFailed({"a"});
  CHECK_TRUE(TakeEnds().empty());
  CHECK_TRUE(m_queue.Take(9) == (Jobs{"a", "b"}));
  m_queue.OnStored({"a", "b"});
  CHECK_TRUE(TakeEnds() == (std::vector<int64_t>{1, 2, 3}));
}

TEST(ChangeQueue, EndsThatChangeNoJobWaitForThoseBefore) {
  End("a", 1);
  m_queue.NoteEnd({"i-1", 1, 2});
  CHECK_TRUE(TakeEnds().empty());
  // That a job has begun holds no end back.
  m_queue.MarkBegun("b");
  m_queue.OnStored(m_queue.Take(1));
  CHECK_TRUE(TakeEnds() == (std::vector<int64_t>{1, 2}));
}

TEST(ChangeQueue, ACancelledJobHoldsNothingBack) {
  End("a", 1);
  m_queue.Take(1);
  End("a", 2);
  m_queue.Forget("a");
  CHECK_TRUE(m_queue.IsEmpty());
  CHECK_TRUE(TakeEnds() == (std::vector<int64_t>{1, 2}));
  m_queue.OnStored({"a"});
  m_queue.OnFailed({"a"});
  CHECK_TRUE(m_queue.IsEmpty());
}
