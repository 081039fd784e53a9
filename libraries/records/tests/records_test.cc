#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>

#include "records/claim_record.h"
#include "records/control_records.h"
#include "records/host_record.h"
#include "records/keys.h"

namespace records = shallotwick::records;

namespace {

template <typename Record>
bool RoundTripsThroughJson(const Record& record) {
  const std::string text = nlohmann::json(record).dump();
  return nlohmann::json::parse(text).get<Record>() == record;
}

}  // namespace

TEST_GROUP(Records){};

TEST(Records, RoundTripThroughJson) {
  records::HostRecord host;
  host.name = "h1";
  host.pool = "dye";
  host.state = records::HostState::kDraining;
  host.purpose = records::DrainPurpose::kMove;
  host.move_to = "quotes";
  host.view_version = 7;
  CHECK_TRUE(RoundTripsThroughJson(host));
  CHECK_TRUE(
      RoundTripsThroughJson(records::LeaseRecord{"c1", "token", 3, 3000}));
  CHECK_TRUE(RoundTripsThroughJson(records::PoolRecord{"dye", {"h1", "h2"}}));
  CHECK_TRUE(RoundTripsThroughJson(records::ViewHeadRecord{9, 4}));
}

TEST(Records, StoredResponseBodyMayContainAnyBytes) {
  records::ClaimRecord claim;
  claim.state = records::ClaimState::kFinished;
  claim.attempt = "a";
  claim.status = 201;
  claim.headers = {{"X", "1"}};
  claim.body = std::string("\0\xff\xfe\n\"", 5);
  CHECK_TRUE(RoundTripsThroughJson(claim));
}

TEST(Records, MalformedJsonThrows) {
  for (const char* text :
       {"{}", "[]", "null", R"({"state":"claimed"})", R"({"name":5})"}) {
    CHECK_THROWS(nlohmann::json::exception,
                 nlohmann::json::parse(text).get<records::ClaimRecord>());
    CHECK_THROWS(nlohmann::json::exception,
                 nlohmann::json::parse(text).get<records::HostRecord>());
  }
}

TEST(Records, ClaimKeysOfDifferentRequestsDiffer) {
  CHECK_TRUE(records::ClaimKey("a", "b/c", "d") !=
             records::ClaimKey("a", "b", "c/d"));
  CHECK_TRUE(records::ClaimKey("a", "b%2Fc", "d") !=
             records::ClaimKey("a", "b/c", "d"));
}

TEST(Records, HistoryKeysSortByVersion) {
  CHECK_TRUE(records::HistoryKey(9) < records::HistoryKey(10));
  CHECK_TRUE(records::HistoryKey(999'999) < records::HistoryKey(1'000'000));
}
