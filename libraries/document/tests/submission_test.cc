#include "document/submission.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include "document/section_parser.h"

namespace document = shallotwick::document;

using document::SubmissionVerdict;

namespace {

constexpr char kArbiter[] = "arbiter";
const document::FleetCapacity kFacts{{{"dc-0", 10}}, 0};

std::string MakeSection(const std::string& team, int promise,
                        const std::string& more = "") {
  return "section: " + team + "\npools:\n  - name: " + team +
         "\n    promise: {dc-0: " + std::to_string(promise) +
         "}\n    budget: 1\n" + more;
}

// Applies edits to one document in sequence.
struct Editor {
  document::PlanningDocument planning;
  int disputes = 0;

  uint64_t GetRevision(const std::string& team) const {
    const auto found = planning.sections.find(team);
    return found == planning.sections.end() ? 0 : found->second.revision;
  }

  document::SubmissionResult Submit(const std::string& team,
                                    const std::string& text,
                                    uint64_t base_revision) {
    const document::Submission submission{team, "author", text, base_revision,
                                          "d-" + std::to_string(++disputes)};
    auto result = document::Submit(planning, submission, kFacts, kArbiter);
    planning = result.document;
    return result;
  }

  SubmissionVerdict Edit(const std::string& team, const std::string& text) {
    return Submit(team, text, GetRevision(team)).verdict;
  }

  int GetPromise(const std::string& team) const {
    return planning.sections.at(team).section.pools.at(0).promise.at("dc-0");
  }

  std::string MakeRuling(const std::string& dispute,
                         const std::string& decision,
                         const std::string& more = "") const {
    return "section: arbiter\nrulings:\n  - dispute: " + dispute +
           "\n    digest: \"" + planning.disputes.at(dispute).digest +
           "\"\n    decision: " + decision + "\n" + more;
  }
};

}  // namespace

TEST_GROUP(Submission){};

TEST(Submission, SecondEditOfSameRevisionIsStale) {
  Editor editor;
  CHECK_TRUE(editor.Edit("dye", MakeSection("dye", 2)) ==
             SubmissionVerdict::kAccepted);
  const uint64_t revision = editor.GetRevision("dye");
  CHECK_TRUE(editor.Submit("dye", MakeSection("dye", 3), revision).verdict ==
             SubmissionVerdict::kAccepted);
  CHECK_TRUE(editor.Submit("dye", MakeSection("dye", 4), revision).verdict ==
             SubmissionVerdict::kStale);
  LONGS_EQUAL(3, editor.GetPromise("dye"));
}

TEST(Submission, ResubmittingAcceptedTextChangesNothing) {
  Editor editor;
  editor.Edit("dye", MakeSection("dye", 2));
  const auto before = editor.planning;
  // This holds for an old base revision too, because an operator who did not
  // receive the response submits the edit again.
  CHECK_TRUE(editor.Submit("dye", MakeSection("dye", 2), 0).verdict ==
             SubmissionVerdict::kUnchanged);
  CHECK_TRUE(before == editor.planning);
}

TEST(Submission, EditInvalidOnItsOwnIsRejected) {
  struct Case {
    const char* what;
    std::string text;
  };
  const Case cases[] = {
      {"syntax", "section: [\n"},
      {"promise larger than the fleet", MakeSection("dye", 11)},
      {"service on an undefined pool",
       "section: dye\nservices:\n  - {name: s, pool: none, slots: 1, "
       "connections: 1, deadline_ms: 1}\n"},
      {"wave over a pool with a budget of 0",
       "section: dye\npools:\n  - {name: p, promise: {dc-0: 1}, budget: 0}\n"
       "waves:\n  - {name: w, pools: [p], at_once: 1}\n"},
      {"rulings outside the arbiter's section",
       "section: dye\nrulings:\n  - {dispute: d, digest: x, decision: "
       "accept}\n"},
  };
  for (const Case& test : cases) {
    Editor editor;
    const auto result = editor.Submit("dye", test.text, 0);
    CHECK_TEXT(result.verdict == SubmissionVerdict::kRejected, test.what);
    CHECK_TEXT(!result.findings.empty(), test.what);
    LONGS_EQUAL(0, editor.planning.version);
  }
}

TEST(Submission, CollisionOpensDisputeWithoutBlockingOtherEdits) {
  Editor editor;
  editor.Edit("dye", MakeSection("dye", 6));
  editor.Edit("quotes", MakeSection("quotes", 3));
  CHECK_TRUE(editor.Edit("quotes", MakeSection("quotes", 5)) ==
             SubmissionVerdict::kDisputed);
  LONGS_EQUAL(3, editor.GetPromise("quotes"));
  LONGS_EQUAL(1, editor.planning.disputes.size());
  // Further edits are accepted, from other teams and from the disputing team.
  CHECK_TRUE(editor.Edit("dye", MakeSection("dye", 7)) ==
             SubmissionVerdict::kAccepted);
  CHECK_TRUE(editor.Edit("shop", MakeSection("shop", 0)) ==
             SubmissionVerdict::kAccepted);
  CHECK_TRUE(editor.Edit("quotes", MakeSection("quotes", 2)) ==
             SubmissionVerdict::kAccepted);
  CHECK_TRUE(editor.planning.disputes.empty());
}

TEST(Submission, DuplicateNamesAndOverlappingWavesAreDisputed) {
  Editor editor;
  const std::string wave =
      "waves:\n  - name: w1\n    pools: [dye]\n    at_once: 1\n"
      "    window: {from: \"01:00\", until: \"03:00\"}\n";
  editor.Edit("dye", MakeSection("dye", 2, wave));
  CHECK_TRUE(
      editor.Edit("quotes", MakeSection("dye", 1).replace(9, 3, "quotes")) ==
      SubmissionVerdict::kDisputed);
  const std::string overlapping_wave =
      "waves:\n  - name: w2\n    pools: [dye]\n    at_once: 1\n"
      "    window: {from: \"02:00\", until: \"04:00\"}\n";
  CHECK_TRUE(editor.Edit("shop", MakeSection("shop", 1, overlapping_wave)) ==
             SubmissionVerdict::kDisputed);
  const std::string later_wave =
      "waves:\n  - name: w2\n    pools: [dye]\n    at_once: 1\n"
      "    window: {from: \"03:00\", until: \"04:00\"}\n";
  CHECK_TRUE(editor.Edit("shop", MakeSection("shop", 1, later_wave)) ==
             SubmissionVerdict::kAccepted);
}

TEST(Submission, RulingClosesDispute) {
  for (const bool accepts : {true, false}) {
    Editor editor;
    editor.Edit("dye", MakeSection("dye", 8));
    editor.Edit("quotes", MakeSection("quotes", 5));
    LONGS_EQUAL(1, editor.planning.disputes.size());
    const std::string limits =
        accepts ? "limits:\n  - {pool: dye, data_centre: dc-0, hosts: 5}\n"
                : "";
    const std::string ruling =
        editor.MakeRuling("d-2", accepts ? "accept" : "reject", limits);
    CHECK_TRUE(editor.Edit(kArbiter, ruling) == SubmissionVerdict::kAccepted);
    CHECK_TRUE(editor.planning.disputes.empty());
    LONGS_EQUAL(accepts ? 1 : 0, editor.planning.sections.count("quotes"));
    const auto plan = document::MakeEffectivePlan(editor.planning);
    LONGS_EQUAL(accepts ? 5 : 8, plan.pools.at(0).promise.at("dc-0"));
  }
}

TEST(Submission, RulingOnChangedTextIsRejected) {
  Editor editor;
  editor.Edit("dye", MakeSection("dye", 8));
  editor.Edit("quotes", MakeSection("quotes", 5));
  std::string ruling = editor.MakeRuling("d-2", "accept");
  // The dispute is withdrawn and opened again under the same id with a
  // different text.
  auto& dispute = editor.planning.disputes.at("d-2");
  dispute.text = MakeSection("quotes", 6);
  dispute.digest = document::ComputeDigest(dispute.text);
  const auto result = editor.Submit(kArbiter, ruling, 0);
  CHECK_TRUE(result.verdict == SubmissionVerdict::kRejected);
  CHECK(result.findings.at(0).message.find("is not the one ruled on") !=
        std::string::npos);
  LONGS_EQUAL(1, editor.planning.disputes.size());
}

TEST(Submission, MootDisputeIsAccepted) {
  Editor editor;
  editor.Edit("dye", MakeSection("dye", 8));
  editor.Edit("quotes", MakeSection("quotes", 5));
  const auto result =
      editor.Submit("dye", MakeSection("dye", 4), editor.GetRevision("dye"));
  CHECK_TRUE(result.verdict == SubmissionVerdict::kAccepted);
  LONGS_EQUAL(2, result.history.size());
  LONGS_EQUAL(5, editor.GetPromise("quotes"));
  CHECK_TRUE(editor.planning.disputes.empty());
}

TEST(Submission, OnlyOwnTeamCanWithdrawDispute) {
  Editor editor;
  editor.Edit("dye", MakeSection("dye", 8));
  editor.Edit("quotes", MakeSection("quotes", 5));
  CHECK_FALSE(document::WithdrawDispute(editor.planning, "dye", "d-2"));
  CHECK_FALSE(document::WithdrawDispute(editor.planning, "quotes", "d-9"));
  const auto after =
      document::WithdrawDispute(editor.planning, "quotes", "d-2");
  CHECK_TRUE(after->disputes.empty());
}

// Checks the document's invariants after each of a sequence of random edits.
TEST(Submission, RandomEditsPreserveInvariants) {
  CHECK_TRUE(rc::check("random edits", [] {
    const std::vector<std::string> teams = {"dye", "quotes", "shop"};
    Editor editor;
    std::map<std::string, std::string> accepted_texts;
    for (int step = 0; step < 60; ++step) {
      const std::string team = *rc::gen::elementOf(teams);
      const int promise = *rc::gen::inRange(0, 9);
      const uint64_t version = editor.planning.version;
      const bool is_stale = *rc::gen::inRange(0, 5) == 0;
      const uint64_t base = editor.GetRevision(team) + (is_stale ? 1 : 0);
      const std::string text = MakeSection(team, promise);
      const auto result = editor.Submit(team, text, base);
      // The version increases by one for each accepted text and never
      // decreases.
      RC_ASSERT(editor.planning.version == version + result.history.size());
      for (const auto& entry : result.history) {
        accepted_texts[entry.team] = entry.text;
      }
      if (result.verdict == SubmissionVerdict::kAccepted) {
        RC_ASSERT(result.history.at(0).team == team);
        RC_ASSERT(!is_stale);
      }
      int promised = 0;
      for (const auto& [owner, section] : editor.planning.sections) {
        // Each section contains the text that was last accepted for it.
        RC_ASSERT(section.text == accepted_texts.at(owner));
        promised += editor.GetPromise(owner);
      }
      // The promises never exceed the capacity, and every open dispute still
      // has a collision.
      RC_ASSERT(promised <= 10);
      for (const auto& [id, dispute] : editor.planning.disputes) {
        document::PlanningDocument after = editor.planning;
        after.sections[dispute.team].section =
            document::ParseSection(dispute.team, dispute.text).section;
        RC_ASSERT(!document::FindNewCollisions(editor.planning, after, kFacts)
                       .empty());
      }
    }
  }));
}
