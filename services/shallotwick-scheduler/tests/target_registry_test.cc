// Which entries of the platform's registry become targets.
#include "../target_registry.h"

#include <CppUTest/TestHarness.h>

#include <vector>

#include "platform/names.h"

namespace base = shallotwick::base;
namespace platform = shallotwick::platform;
namespace scheduler = shallotwick::scheduler;
namespace scheduling = shallotwick::scheduling;
namespace storage = shallotwick::storage;

namespace {

constexpr char kOddEntry[] = R"({"service":7})";
constexpr char kRefusals[] = "shallotwick_registry_entries_refused_total";

std::string MakeEntry(const std::string& service, const std::string& address) {
  return R"({"service":")" + service + R"(","addr":")" + address +
         R"(","state":"ready","capacity":{"cpu":4000}})";
}

storage::VersionedRow MakeRow(const std::string& key, const std::string& value,
                              uint64_t version) {
  return {{platform::kRegistryTable, platform::kSharedPartition, key},
          value,
          version,
          false};
}

}  // namespace

TEST_GROUP(TargetRegistry) {
  base::MetricRegistry m_metrics;
  scheduler::TargetRegistry m_registry{m_metrics};
  std::vector<std::string> m_changed;
  std::vector<std::string> m_removed;

  void setup() override {
    m_registry.m_is_service_known = [](const std::string& service) {
      return service == "quotes";
    };
    m_registry.m_on_changed = [this](const scheduling::TargetEntry& entry) {
      m_changed.push_back(entry.id + " " + entry.address);
    };
    m_registry.m_on_removed = [this](const std::string& service,
                                     const std::string& id) {
      m_removed.push_back(service + " " + id);
    };
  }
};

TEST(TargetRegistry, EntryThatNamesNoTargetIsCountedOnceAVersion) {
  const auto odd = MakeRow("i-odd", kOddEntry, 4);
  m_registry.OnRow(odd);
  m_registry.OnReset({odd,
                      MakeRow("i-1", MakeEntry("quotes", "10.0.0.1:80"), 3),
                      MakeRow("i-2", MakeEntry("nowhere", "10.0.0.2:80"), 5)});
  m_registry.OnRow(odd);
  LONGS_EQUAL(2, m_metrics.GetCounter(kRefusals).GetValue());
  m_registry.OnRow(MakeRow("i-odd", "", 6));
  LONGS_EQUAL(3, m_metrics.GetCounter(kRefusals).GetValue());
  LONGS_EQUAL(1, m_registry.ListTargets("quotes").size());
  LONGS_EQUAL(0, m_changed.size());
  LONGS_EQUAL(0, m_removed.size());
}

TEST(TargetRegistry, EntryOverThatOfTargetTakesItOutUntilItsOwnIsBack) {
  m_registry.OnRow(MakeRow("i-1", MakeEntry("quotes", "10.0.0.1:80"), 1));
  m_registry.OnRow(MakeRow("i-1", kOddEntry, 2));
  LONGS_EQUAL(1, m_removed.size());
  STRCMP_EQUAL("quotes i-1", m_removed[0].c_str());
  LONGS_EQUAL(0, m_registry.ListTargets("quotes").size());
  m_registry.OnRow(MakeRow("i-1", MakeEntry("quotes", "10.0.0.1:80"), 3));
  LONGS_EQUAL(2, m_changed.size());
  STRCMP_EQUAL("i-1 10.0.0.1:80", m_changed[1].c_str());
  LONGS_EQUAL(1, m_registry.ListTargets("quotes").size());
}
