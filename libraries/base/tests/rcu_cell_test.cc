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

TEST(RcuCell, ReadersSeeOneWholeValueWhileItIsReplaced) {
  constexpr int kReplacements = 300;
  base::RcuCell<Pair> cell(std::make_unique<Pair>());
  std::atomic<bool> stopping{false};
  std::atomic<int> torn{0};
  std::vector<std::thread> readers;
  for (int reader = 0; reader < 4; ++reader) {
    readers.emplace_back([&] {
      while (!stopping.load()) {
        cell.Read([&torn](const Pair& pair) {
          torn += pair.left == pair.right ? 0 : 1;
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
  LONGS_EQUAL(0, torn.load());
  LONGS_EQUAL(kReplacements,
              cell.Read([](const Pair& pair) { return pair.left; }));
}

TEST(RcuCell, ReplaceWaitsForReadersOfTheFormerValue) {
  base::RcuCell<Pair> cell(std::make_unique<Pair>());
  std::atomic<bool> reading{false};
  std::atomic<bool> may_end{false};
  std::atomic<bool> ended{false};
  std::thread reader([&] {
    cell.Read([&](const Pair&) {
      reading.store(true);
      while (!may_end.load()) {
        std::this_thread::yield();
      }
      ended.store(true);
    });
  });
  while (!reading.load()) {
    std::this_thread::yield();
  }
  std::thread release([&] { may_end.store(true); });
  cell.Replace(std::make_unique<Pair>(Pair{1, 1}));
  CHECK_TRUE(ended.load());
  reader.join();
  release.join();
}
