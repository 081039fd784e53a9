#include <CppUTest/TestHarness.h>

#include <stdexcept>
#include <string>

#include "hosts/arrival_forecast.h"
#include "hosts/capacity_need.h"
#include "hosts/maintenance_wave.h"
#include "hosts/standby_policy.h"

namespace base = shallotwick::base;
namespace hosts = shallotwick::hosts;

namespace {

constexpr auto kStart = base::TimePoint(std::chrono::seconds(1'000));
constexpr auto kMoveTime = std::chrono::milliseconds(1'500);

// Feeds a rate of core-seconds a second that changes linearly.
void FeedRamp(hosts::ArrivalForecast& forecast, double from, double to,
              int tenths) {
  for (int i = 0; i < tenths; ++i) {
    const double rate = from + (to - from) * i / tenths;
    forecast.Add(rate / 10, kStart + std::chrono::milliseconds(100) * i);
  }
}

}  // namespace

TEST_GROUP(Hosts){};

TEST(Hosts, ForecastOfSteadyArrivalsIsTheirRate) {
  hosts::ArrivalForecast forecast;
  FeedRamp(forecast, 100, 100, 30);
  const double cores = forecast.ForecastCores(
      kMoveTime, kStart + std::chrono::milliseconds(2'900));
  DOUBLES_EQUAL(100, cores, 1);
}

TEST(Hosts, ForecastOfARiseIsTheRateWhenACalledHostIsThere) {
  hosts::ArrivalForecast forecast;
  // 200 cores more each second; the newest full view is half a second old.
  FeedRamp(forecast, 0, 400, 20);
  const double cores = forecast.ForecastCores(
      kMoveTime, kStart + std::chrono::milliseconds(1'900));
  CHECK_TRUE(cores > 600);
  CHECK_TRUE(cores < 750);
}

TEST(Hosts, ForecastAfterALullIsNothing) {
  hosts::ArrivalForecast forecast;
  FeedRamp(forecast, 100, 100, 30);
  DOUBLES_EQUAL(
      0, forecast.ForecastCores(kMoveTime, kStart + std::chrono::seconds(20)),
      0.001);
}

TEST(Hosts, WantsHostsForTheOpenWorkAndForWhatWillCome) {
  hosts::PoolLoad load;
  load.cores_per_host = 32;
  load.least_hosts = 3;
  LONGS_EQUAL(3, hosts::EstimateWantedHosts(load));
  load.open_core_seconds = 400;
  const int by_work = hosts::EstimateWantedHosts(load);
  CHECK_TRUE(by_work > 3);
  load.forecast_cores = 1'000;
  CHECK_TRUE(hosts::EstimateWantedHosts(load) > by_work);
}

TEST(Hosts, WaveIsCompletedOnceEachHostHadItsTurnOrLeft) {
  hosts::MaintenanceWave wave;
  wave.number = 1;
  wave.hosts = {"a", "b", "c"};
  wave.most_at_once = 2;
  hosts::WaveRecord record;
  LONGS_EQUAL(2, hosts::CountFreePlaces(wave, record));
  record.running = {{"a", "holder"}, {"b", "holder"}};
  LONGS_EQUAL(0, hosts::CountFreePlaces(wave, record));
  CHECK_FALSE(hosts::IsWaveCompleted(wave, record));
  record.running = {{"b", "holder"}};
  record.done = {"a"};
  record.gone = {"c"};
  CHECK_FALSE(hosts::IsWaveCompleted(wave, record));
  record.running.clear();
  record.done.insert("b");
  CHECK_TRUE(hosts::IsWaveCompleted(wave, record));
  CHECK_TRUE(hosts::DecodeWaveRecord(hosts::EncodeWaveRecord(record)) ==
             record);
}

TEST(Hosts, WaveTakesNoMoreThanItNeedsToEndInTimeWhilePoolsLackHosts) {
  hosts::MaintenanceWave wave;
  wave.most_at_once = 20;
  wave.complete_within = std::chrono::seconds(30);
  for (int i = 0; i < 40; ++i) {
    wave.hosts.push_back("host-" + std::to_string(i));
  }
  hosts::WaveRecord record;
  record.began_ms = 1'000'000;
  hosts::WavePace pace;
  pace.host_time = std::chrono::seconds(3);
  pace.now_ms = record.began_ms;
  LONGS_EQUAL(20, hosts::CountFreePlacesAtPace(wave, record, pace));
  pace.are_hosts_short = true;
  // Seven rounds of three seconds fit into seven tenths of the time.
  LONGS_EQUAL(6, hosts::CountFreePlacesAtPace(wave, record, pace));
  // Played on: it ends in time though hosts are short all the while.
  while (!hosts::IsWaveCompleted(wave, record)) {
    CHECK_TRUE(pace.now_ms < record.began_ms + 30'000);
    const int places = hosts::CountFreePlacesAtPace(wave, record, pace);
    const auto waiting = hosts::ListWaitingHosts(wave, record);
    for (size_t i = 0; i < waiting.size() && static_cast<int>(i) < places;
         ++i) {
      record.running[waiting[i]] = "holder";
    }
    pace.now_ms += 3'000;
    for (const auto& [host, holder] : record.running) {
      record.done.insert(host);
    }
    record.running.clear();
  }
  // Close to the end it goes as fast as it may.
  record.done.clear();
  pace.now_ms = record.began_ms + 25'000;
  LONGS_EQUAL(20, hosts::CountFreePlacesAtPace(wave, record, pace));
}

// The last hosts of a wave are those with work on them; two at a time they were
// late on a fleet of hundreds.
TEST(Hosts, BusyHostsAreFreedOfWorkAsFastAsTheWaveMustEnd) {
  hosts::MaintenanceWave wave;
  wave.most_at_once = 99;
  hosts::WaveRecord record;
  record.began_ms = 1'000'000;
  constexpr auto kHostTime = std::chrono::milliseconds(2'500);
  LONGS_EQUAL(2, hosts::CountBusyPreparations(wave, record, 50, kHostTime,
                                              record.began_ms));
  wave.complete_within = std::chrono::seconds(27);
  // Played on: the owner of 50 hosts is through before the wave has to end.
  int waiting = 50;
  int64_t now_ms = record.began_ms;
  while (waiting > 0) {
    waiting -= std::min(waiting, hosts::CountBusyPreparations(
                                     wave, record, waiting, kHostTime, now_ms));
    now_ms += kHostTime.count();
  }
  CHECK_TRUE(now_ms <= record.began_ms + 20'000);
  // With many left near the end, all at once.
  LONGS_EQUAL(21, hosts::CountBusyPreparations(wave, record, 21, kHostTime,
                                               record.began_ms + 19'000));
  LONGS_EQUAL(2, hosts::CountBusyPreparations(wave, record, 1, kHostTime,
                                              record.began_ms));
}

TEST(Hosts, RecordsOfAnotherFormAreRefused) {
  CHECK_THROWS(std::runtime_error, hosts::DecodeWaveRecord("[1"));
  CHECK_THROWS(std::runtime_error, hosts::DecodeWaveRecord("{\"running\":3}"));
  CHECK_THROWS(std::runtime_error, hosts::DecodeNeedRecord("7"));
}

TEST(Hosts, NeedIsMetByOffers) {
  hosts::NeedRecord need;
  need.wanted = 5;
  need.present = 2;
  need.offers = {{"a", "pool-1"}, {"b", "pool-2"}};
  LONGS_EQUAL(1, need.CountUnmet());
  CHECK_TRUE(hosts::DecodeNeedRecord(hosts::EncodeNeedRecord(need)) == need);
}

TEST(Hosts, PoolsShareWhatIsShortByTheirTimelyWork) {
  std::map<std::string, hosts::NeedRecord> needs;
  needs["a"].timely = 30;
  needs["b"].timely = 10;
  needs["c"].wanted = 90;
  const auto enough = hosts::ShareHosts(needs, 49);
  LONGS_EQUAL(30, enough.at("a"));
  LONGS_EQUAL(10, enough.at("b"));
  // Work that is late in any case claims no share.
  LONGS_EQUAL(0, enough.at("c"));
  const auto scarce = hosts::ShareHosts(needs, 20);
  LONGS_EQUAL(15, scarce.at("a"));
  LONGS_EQUAL(5, scarce.at("b"));
}

// The load of turns: a calm after the start, then a queue at its height, then
// the next one while the first works off what it has left.
TEST(Hosts, FleetStaysAsSetUpUntilItHasSeenATurn) {
  hosts::StandbyPolicy policy;
  for (int second = 0; second < 300; ++second) {
    policy.Observe(0, kStart + std::chrono::seconds(second));
    LONGS_EQUAL(453,
                policy.CountKept(453, kStart + std::chrono::seconds(second)));
  }
  const auto turn = kStart + std::chrono::seconds(300);
  for (int tenth = 0; tenth < 80; ++tenth) {
    policy.Observe(3 * tenth, turn + std::chrono::milliseconds(100) * tenth);
    LONGS_EQUAL(453, policy.CountKept(
                         453, turn + std::chrono::milliseconds(100) * tenth));
  }
  // 237 hosts at the height, and a tenth more.
  LONGS_EQUAL(261, policy.CountKept(453, turn + std::chrono::seconds(9)));
}

TEST(Hosts, FleetKeepsWhatItsBusiestMomentOfLateUsed) {
  hosts::StandbyPolicy policy;
  policy.Observe(300, kStart);
  policy.Observe(40, kStart + std::chrono::seconds(9));
  LONGS_EQUAL(330, policy.CountKept(540, kStart + std::chrono::seconds(19)));
  // No more than are on.
  LONGS_EQUAL(100, policy.CountKept(100, kStart + std::chrono::seconds(19)));
  // After a calm half of the hour's peak still waits for the next turn.
  policy.Observe(40, kStart + std::chrono::seconds(600));
  LONGS_EQUAL(165, policy.CountKept(540, kStart + std::chrono::seconds(600)));
  const auto later = kStart + std::chrono::hours(2);
  policy.Observe(0, later);
  LONGS_EQUAL(0, policy.CountKept(540, later));
}

TEST(Hosts, BusyHostsAreThoseOfShortTasks) {
  hosts::PoolLoad load;
  load.cores_per_host = 32;
  load.least_hosts = 20;
  load.running_cores = 320;
  LONGS_EQUAL(0, hosts::EstimateBusyHosts(load));
  load.short_running_cores = 272;
  LONGS_EQUAL(30, hosts::EstimateBusyHosts(load));
  LONGS_EQUAL(0, hosts::DecodeNeedRecord(
                     R"({"timely":1,"wanted":1,"present":1,"offers":{}})")
                     .busy);
}
