#include <CppUTest/TestHarness.h>

#include <cmath>
#include <random>
#include <stdexcept>
#include <string>

#include "hosts/arrival_forecast.h"
#include "hosts/capacity_demand.h"
#include "hosts/host_transfers.h"
#include "hosts/maintenance_wave.h"
#include "hosts/standby_policy.h"

namespace base = shallotwick::base;
namespace hosts = shallotwick::hosts;

namespace {

constexpr auto kStart = base::TimePoint(std::chrono::seconds(1'000));
constexpr auto kMoveTime = std::chrono::milliseconds(1'500);

// Records jobs of 2.5 core-seconds for `tenths` tenths of a second, at a rate
// in core-seconds per second that changes linearly.
void AddRamp(hosts::ArrivalForecast& forecast, double from, double to,
             int tenths) {
  constexpr double kJobCoreSeconds = 2.5;
  double due = 0;
  for (int i = 0; i < tenths; ++i) {
    const double rate = from + (to - from) * i / tenths;
    for (due += rate / 10; due >= kJobCoreSeconds; due -= kJobCoreSeconds) {
      forecast.Add(kJobCoreSeconds,
                   kStart + std::chrono::milliseconds(100) * i);
    }
  }
}

}  // namespace

TEST_GROUP(Hosts){};

TEST(Hosts, ForecastOfSteadyArrivalsIsTheirRate) {
  hosts::ArrivalForecast forecast;
  AddRamp(forecast, 100, 100, 30);
  const double cores = forecast.ForecastCores(
      kMoveTime, kStart + std::chrono::milliseconds(2'999));
  DOUBLES_EQUAL(100, cores, 1);
}

TEST(Hosts, ForecastOfRiseIsRateWhenActivatedHostIsAvailable) {
  hosts::ArrivalForecast forecast;
  // The rate rises by 200 cores per second, to 400 at the end.
  AddRamp(forecast, 0, 400, 20);
  const double cores = forecast.ForecastCores(
      kMoveTime, kStart + std::chrono::milliseconds(1'999));
  CHECK_TRUE(cores > 600);
  CHECK_TRUE(cores < 750);
}

TEST(Hosts, ForecastIgnoresRandomClustersOfLargeJobs) {
  constexpr double kRate = 20;  // jobs per second
  std::mt19937 random(20261204);
  std::exponential_distribution<double> gap(kRate);
  std::exponential_distribution<double> size(1.0 / 60);
  hosts::ArrivalForecast forecast;
  double next = 0;
  double error = 0;
  int readings = 0;
  for (int tenth = 1; tenth < 300; ++tenth) {
    for (; next < tenth / 10.0; next += gap(random)) {
      forecast.Add(size(random),
                   kStart + std::chrono::milliseconds(
                                static_cast<int64_t>(next * 1'000)));
    }
    if (tenth > 40) {
      const double cores = forecast.ForecastCores(
          kMoveTime, kStart + std::chrono::milliseconds(100) * tenth);
      error += std::abs(cores - kRate * 60);
      ++readings;
    }
  }
  // With slopes taken as they are, and jobs counted by their size, the mean
  // error is above four fifths of the load.
  CHECK_TRUE(error / readings < 0.4 * kRate * 60);
}

TEST(Hosts, ForecastUsesTimesOfArrivalOfJobsRecordedLate) {
  hosts::ArrivalForecast steady;
  AddRamp(steady, 100, 100, 30);
  hosts::ArrivalForecast late;
  const auto now = kStart + std::chrono::milliseconds(2'999);
  late.ForecastCores(kMoveTime, now);
  AddRamp(late, 100, 100, 30);
  DOUBLES_EQUAL(steady.ForecastCores(kMoveTime, now),
                late.ForecastCores(kMoveTime, now), 0.001);
}

TEST(Hosts, ForecastAfterIdlePeriodIsZero) {
  hosts::ArrivalForecast forecast;
  AddRamp(forecast, 100, 100, 30);
  DOUBLES_EQUAL(
      0, forecast.ForecastCores(kMoveTime, kStart + std::chrono::seconds(20)),
      0.001);
}

TEST(Hosts, WantedHostsCoverRemainingAndForecastWork) {
  hosts::PoolLoad load;
  load.cores_per_host = 32;
  load.min_hosts = 3;
  LONGS_EQUAL(3, hosts::EstimateWantedHosts(load));
  load.remaining_core_seconds = 400;
  const int by_backlog = hosts::EstimateWantedHosts(load);
  CHECK_TRUE(by_backlog > 3);
  load.forecast_cores = 1'000;
  CHECK_TRUE(hosts::EstimateWantedHosts(load) > by_backlog);
}

TEST(Hosts, PoolKeepsHostsForAllCoresOfItsLongRunningTasks) {
  hosts::PoolLoad load;
  load.cores_per_host = 16;
  load.min_hosts = 1;
  load.long_running_cores = 19.75;
  LONGS_EQUAL(2, hosts::EstimateOnScheduleHosts(load));
  LONGS_EQUAL(2, hosts::EstimateWantedHosts(load));
  load.short_running_cores = 1;
  LONGS_EQUAL(3, hosts::EstimateBusyHosts(load));
  load.min_hosts = 4;
  LONGS_EQUAL(4, hosts::EstimateOnScheduleHosts(load));
  LONGS_EQUAL(5, hosts::EstimateBusyHosts(load));
}

TEST(Hosts, WaveIsCompletedOnceEachHostIsMaintainedOrLeft) {
  hosts::MaintenanceWave wave;
  wave.number = 1;
  wave.hosts = {"a", "b", "c"};
  wave.max_concurrent_hosts = 2;
  hosts::WaveRecord record;
  LONGS_EQUAL(2, hosts::CountFreeSlots(wave, record));
  record.running = {{"a", "holder"}, {"b", "holder"}};
  LONGS_EQUAL(0, hosts::CountFreeSlots(wave, record));
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

TEST(Hosts, WaveUsesMinSlotsToMeetTimeLimitDuringHostShortage) {
  hosts::MaintenanceWave wave;
  wave.max_concurrent_hosts = 20;
  wave.complete_within = std::chrono::seconds(30);
  for (int i = 0; i < 40; ++i) {
    wave.hosts.push_back("host-" + std::to_string(i));
  }
  hosts::WaveRecord record;
  record.began_ms = 1'000'000;
  hosts::WavePacing pace;
  pace.host_time = std::chrono::seconds(3);
  pace.now_ms = record.began_ms;
  LONGS_EQUAL(20, hosts::CountPacedFreeSlots(wave, record, pace));
  pace.has_host_shortage = true;
  // Seven cycles of 3 s fit into seven tenths of the time limit.
  LONGS_EQUAL(6, hosts::CountPacedFreeSlots(wave, record, pace));
  // Simulates the rest of the wave: it completes within its time limit although
  // the shortage lasts throughout.
  while (!hosts::IsWaveCompleted(wave, record)) {
    CHECK_TRUE(pace.now_ms < record.began_ms + 30'000);
    const int free_slots = hosts::CountPacedFreeSlots(wave, record, pace);
    const auto waiting = hosts::ListWaitingHosts(wave, record);
    for (size_t i = 0; i < waiting.size() && static_cast<int>(i) < free_slots;
         ++i) {
      record.running[waiting[i]] = "holder";
    }
    pace.now_ms += 3'000;
    for (const auto& [host, holder] : record.running) {
      record.done.insert(host);
    }
    record.running.clear();
  }
  // Close to the time limit the wave uses all free slots.
  record.done.clear();
  pace.now_ms = record.began_ms + 25'000;
  LONGS_EQUAL(20, hosts::CountPacedFreeSlots(wave, record, pace));
}

// Guards against a wave that exceeds its time limit because hosts with running
// work come last: draining two at a time was too slow on a fleet of hundreds of
// hosts.
TEST(Hosts, BusyHostsAreDrainedWithinWaveTimeLimit) {
  hosts::MaintenanceWave wave;
  wave.max_concurrent_hosts = 99;
  hosts::WaveRecord record;
  record.began_ms = 1'000'000;
  constexpr auto kHostTime = std::chrono::milliseconds(2'500);
  LONGS_EQUAL(2, hosts::CountBusyHostDrains(wave, record, 50, kHostTime,
                                            record.began_ms));
  wave.complete_within = std::chrono::seconds(27);
  // Simulates the rest of the wave: the owner of 50 hosts drains all of them
  // before the time limit.
  int waiting = 50;
  int64_t now_ms = record.began_ms;
  while (waiting > 0) {
    waiting -= std::min(waiting, hosts::CountBusyHostDrains(
                                     wave, record, waiting, kHostTime, now_ms));
    now_ms += kHostTime.count();
  }
  CHECK_TRUE(now_ms <= record.began_ms + 20'000);
  // Near the time limit, all remaining hosts are drained at the same time.
  LONGS_EQUAL(21, hosts::CountBusyHostDrains(wave, record, 21, kHostTime,
                                             record.began_ms + 19'000));
  LONGS_EQUAL(2, hosts::CountBusyHostDrains(wave, record, 1, kHostTime,
                                            record.began_ms));
}

TEST(Hosts, MalformedRecordsAreRejected) {
  CHECK_THROWS(std::runtime_error, hosts::DecodeWaveRecord("[1"));
  CHECK_THROWS(std::runtime_error, hosts::DecodeWaveRecord("{\"running\":3}"));
  CHECK_THROWS(std::runtime_error, hosts::DecodeCapacityDemand("7"));
  CHECK_THROWS(
      std::runtime_error,
      hosts::DecodeCapacityDemand(R"({"timely":-1,"wanted":1,"present":1})"));
  CHECK_THROWS(std::runtime_error, hosts::DecodeHostTransfers("7"));
  CHECK_THROWS(std::runtime_error, hosts::DecodeHostTransfers(R"({"a":[]})"));
}

// A workload of bursts: an idle period after the start, then one queue at its
// maximum load, then the next queue while the first one finishes its backlog.
TEST(Hosts, FleetRetainsAllHostsUntilFirstBurst) {
  hosts::StandbyPolicy policy;
  for (int second = 0; second < 300; ++second) {
    policy.Observe(0, kStart + std::chrono::seconds(second));
    LONGS_EQUAL(453, policy.CountRetainedHosts(
                         453, kStart + std::chrono::seconds(second)));
  }
  const auto burst_start = kStart + std::chrono::seconds(300);
  for (int tenth = 0; tenth < 80; ++tenth) {
    policy.Observe(3 * tenth,
                   burst_start + std::chrono::milliseconds(100) * tenth);
    LONGS_EQUAL(453,
                policy.CountRetainedHosts(
                    453, burst_start + std::chrono::milliseconds(100) * tenth));
  }
  // 237 hosts at the peak, plus 10 % headroom.
  LONGS_EQUAL(261, policy.CountRetainedHosts(
                       453, burst_start + std::chrono::seconds(9)));
}

TEST(Hosts, FleetRetainsHostsOfRecentPeakLoad) {
  hosts::StandbyPolicy policy;
  policy.Observe(300, kStart);
  policy.Observe(40, kStart + std::chrono::seconds(9));
  LONGS_EQUAL(
      330, policy.CountRetainedHosts(540, kStart + std::chrono::seconds(19)));
  // Never more hosts than are switched on.
  LONGS_EQUAL(
      100, policy.CountRetainedHosts(100, kStart + std::chrono::seconds(19)));
  // After a low-load period, half of the hour's peak is retained for the next
  // burst.
  policy.Observe(40, kStart + std::chrono::seconds(600));
  LONGS_EQUAL(
      165, policy.CountRetainedHosts(540, kStart + std::chrono::seconds(600)));
  const auto later = kStart + std::chrono::hours(2);
  policy.Observe(0, later);
  LONGS_EQUAL(0, policy.CountRetainedHosts(540, later));
}

TEST(Hosts, BusyHostsCountOnlyWhileShortTasksRun) {
  hosts::PoolLoad load;
  load.cores_per_host = 32;
  load.min_hosts = 20;
  load.running_cores = 320;
  LONGS_EQUAL(0, hosts::EstimateBusyHosts(load));
  load.short_running_cores = 272;
  LONGS_EQUAL(30, hosts::EstimateBusyHosts(load));
  LONGS_EQUAL(
      0, hosts::DecodeCapacityDemand(R"({"timely":1,"wanted":1,"present":1})")
             .busy);
}
