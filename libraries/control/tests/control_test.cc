#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include "control/document_records.h"
#include "control/message_codec.h"
#include "control/messages.h"
#include "control/view_records.h"
#include "records/keys.h"

namespace control = shallotwick::control;
namespace wire = shallotwick::link;
namespace records = shallotwick::records;
namespace routing = shallotwick::routing;

TEST_GROUP(Control){};

TEST(Control, BuildsViewFromRows) {
  records::HostRecord host;
  host.name = "h1";
  host.pool = "dye";
  host.view_version = 4;
  control::ViewServicesRecord services;
  services.document_version = 2;
  services.services["plan"] =
      routing::ServiceRoute{"plan", "dye", 8, 64, 1000, {"GET"}};
  services.quotas["dye"] = 9;
  const control::RowSet rows(
      {{"view/head", R"({"version":5,"document_version":2})", 1, "w"},
       {"view/services", nlohmann::json(services).dump(), 1, "w"},
       {"host/h1", nlohmann::json(host).dump(), 1, "w"},
       {"host/broken", "{}", 1, "w"}});
  const auto view = control::BuildView(rows);
  LONGS_EQUAL(5, view->version);
  LONGS_EQUAL(1, view->hosts.size());
  LONGS_EQUAL(8, view->services.at("plan").slots);
  LONGS_EQUAL(9, view->quotas.at("dye"));
  CHECK_FALSE(control::BuildView(control::RowSet({})).has_value());
}

TEST(Control, BuildsDocumentFromRows) {
  const control::SectionRecord section{3, "section: dye\nquota: 4\n",
                                       "someone"};
  const control::RowSet rows(
      {{"document/head", R"({"version":3})", 1, "w"},
       {"section/dye", nlohmann::json(section).dump(), 1, "w"}});
  const auto planning = control::BuildDocument(rows);
  LONGS_EQUAL(3, planning.version);
  LONGS_EQUAL(4, planning.sections.at("dye").section.quota);
}

TEST(Control, MessagesRoundTripThroughTheCodec) {
  control::Digest digest;
  digest.gateway = "g1";
  digest.view_version = 7;
  digest.reports["g2"] = {150, true};
  CHECK_TRUE(control::Decode<control::Digest>(control::Encode(digest)) ==
             digest);
  control::ViewPush push;
  push.delta = routing::ViewDelta{};
  push.delta->to_version = 9;
  CHECK_TRUE(control::Decode<control::ViewPush>(control::Encode(push)) == push);
}

TEST(Control, DecodingCorruptedBytesDoesNotCrash) {
  CHECK_TRUE(rc::check("malformed frames", [] {
    control::Digest digest;
    digest.gateway = "g1";
    digest.reports["g2"] = {150, true};
    wire::Bytes bytes = control::Encode(digest);
    const int corruption_count = *rc::gen::inRange(1, 6);
    for (int corruption = 0; corruption < corruption_count; ++corruption) {
      const auto position = *rc::gen::inRange<size_t>(0, bytes.size());
      bytes[position] = *rc::gen::arbitrary<uint8_t>();
    }
    control::Decode<control::Digest>(bytes);
    control::Decode<control::ViewPush>(bytes);
    control::Decode<routing::RoutingView>(bytes);
  }));
}
