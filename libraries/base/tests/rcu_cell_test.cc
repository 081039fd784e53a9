#include "base/rcu_cell.h"

#include <CppUTest/TestHarness.h>

#include <thread>
#include <vector>

namespace base = shallotwick::base;

namespace {

struct Pair {
  int left = 0;
  int right = 0;
};

}  // namespace

TEST_GROUP(RcuCell){};

TEST(RcuCell, ReadersSeeConsistentValuesDuringReplacement) {
  constexpr int kReplacements = 300;
  base::RcuCell<Pair> cell(std::make_unique<Pair>());
  std::atomic<bool> stopping{false};
  std::atomic<int> torn_reads{0};
  std::vector<std::thread> readers;
  for (int reader = 0; reader < 4; ++reader) {
    readers.emplace_back([&] {
      while (!stopping.load()) {
        cell.Read([&torn_reads](const Pair& pair) {
          torn_reads += pair.left == pair.right ? 0 : 1;
        });
      }
    });
  }
  for (int number = 1; number <= kReplacements; ++number) {
    cell.Replace(std::make_unique<Pair>(Pair{number, number}));
  }
  stopping.store(true);
  for (std::thread& reader : readers) {
    reader.join();
  }
  LONGS_EQUAL(0, torn_reads.load());
  LONGS_EQUAL(kReplacements,
              cell.Read([](const Pair& pair) { return pair.left; }));
}

TEST(RcuCell, ReplaceWaitsForReadersOfThePreviousValue) {
  base::RcuCell<Pair> cell(std::make_unique<Pair>());
  std::atomic<bool> reading{false};
  std::atomic<bool> may_finish{false};
  std::atomic<bool> finished{false};
  std::thread reader([&] {
    cell.Read([&](const Pair&) {
      reading.store(true);
      while (!may_finish.load()) {
        std::this_thread::yield();
      }
      finished.store(true);
    });
  });
  while (!reading.load()) {
    std::this_thread::yield();
  }
  std::thread releaser([&] { may_finish.store(true); });
  cell.Replace(std::make_unique<Pair>(Pair{1, 1}));
  CHECK_TRUE(finished.load());
  reader.join();
  releaser.join();
}
