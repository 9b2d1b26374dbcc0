// Concurrent changes and an unresponsive platform: exit codes and messages.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <future>

#include <gtest/gtest.h>
#include <spdlog/fmt/fmt.h>

#include "../platform_service.h"
#include "../sample_answers.h"
#include "coordination/clock.h"
#include "operate/apply.h"
#include "operate/rules_file.h"
#include "proposal.h"
#include "runtime/digest.h"

namespace peridotgate::operate {
namespace {

using Lines = std::vector<std::string>;

// The sample answers hold its digest as an operator's key.
constexpr const char* kKey = "tapetes-demo-key";
constexpr int kOrganisations = 650;

Proposal ProposalOf(const std::string& text) {
  return {"digest", MakeSections(ReadAnswers("a.yaml", text).value())};
}

Proposal Waiting(const std::string& wait) {
  return ProposalOf(SampleWith("5 s", wait));
}

bool Says(const Lines& lines, const std::string& text) {
  return std::any_of(lines.begin(), lines.end(), [&](const auto& it) {
    return it.find(text) != std::string::npos;
  });
}

class ChangeTest : public testing::Test {
 protected:
  ChangeTest() {
    setenv("PERIDOTGATE_OPERATOR_KEY", kKey, 1);
    EXPECT_EQ(Ask("ana", 0, ProposalOf(std::string(kSampleAnswers))).exit,
              Exit::kOk);
  }

  VerbResult Ask(const std::string& author,
                 std::int64_t base,
                 const Proposal& proposal) {
    ChangeOptions options;
    options.platform.table = service_.address();
    options.base = base;
    options.author = author;
    auto history = LoadHistory(options.platform);
    return history ? ApplyProposal(options, history.value(), proposal)
                   : history.error();
  }

  History Read() {
    return ReadHistory(*runtime::ParseEndpoint(service_.address())).value();
  }

  PlatformService service_;
};

TEST_F(ChangeTest, LoserOfARaceSeesTheWinnerAndItsRemainingChanges) {
  service_.HoldNextWrite();
  auto late = std::async(std::launch::async,
                         [&] { return Ask("ana", 1, Waiting("2 s")); });
  service_.WaitUntilHeld();
  ASSERT_EQ(Ask("bob", 1, Waiting("3 s")).exit, Exit::kOk);
  service_.Release();
  const VerbResult lost = late.get();
  const std::string id = coordination::ToHex(Read().changes.back().change_id);
  EXPECT_EQ(lost.exit, Exit::kConflict);
  EXPECT_TRUE(Says(lost.faults, "version 2 was taken by bob"));
  EXPECT_TRUE(Says(lost.faults, "change " + id));
  EXPECT_TRUE(Says(lost.faults, "Quote may now wait 3 s, was 5 s"));
  EXPECT_TRUE(Says(lost.faults, "left of your change:"));
  EXPECT_TRUE(Says(lost.faults, "Quote may now wait 2 s, was 3 s"));
  EXPECT_TRUE(Says(lost.faults, "as well as by you: organisation/brazos"));
  EXPECT_TRUE(Says(lost.faults, "apply with --base 2"));
  EXPECT_EQ(lost.json.at("winner").at("change_id").as_string(), id);
  EXPECT_EQ(Read().version(), 2);
}

TEST_F(ChangeTest, LoserOfARaceWithTheSameChangeHasNothingLeftToDo) {
  service_.HoldNextWrite();
  auto late = std::async(std::launch::async,
                         [&] { return Ask("ana", 1, Waiting("2 s")); });
  service_.WaitUntilHeld();
  ASSERT_EQ(Ask("bob", 1, Waiting("2 s")).exit, Exit::kOk);
  service_.Release();
  const VerbResult lost = late.get();
  EXPECT_EQ(lost.exit, Exit::kConflict);
  EXPECT_TRUE(Says(lost.faults, "nothing is left of your change"));
  EXPECT_TRUE(Says(lost.faults, "nothing is to be done"));
}

TEST_F(ChangeTest, UnknownOutcomeIsReportedAndARetryIsIdempotent) {
  service_.FailAfterNextWrite();
  const VerbResult unknown = Ask("ana", 1, Waiting("2 s"));
  EXPECT_EQ(unknown.exit, Exit::kPlatform);
  service_.Recover();
  const History history = Read();
  ASSERT_EQ(history.version(), 2);
  const std::string id = coordination::ToHex(history.changes.back().change_id);
  EXPECT_TRUE(Says(unknown.faults, "unknown whether change " + id));
  EXPECT_TRUE(Says(unknown.faults, "history --change " + id));
  {
    SCOPED_TRACE("again: accepted already, and nothing is written");
    const int before = service_.writes();
    const VerbResult again = Ask("ana", 1, Waiting("2 s"));
    EXPECT_EQ(again.exit, Exit::kOk);
    EXPECT_TRUE(Says(again.lines, "accepted as version 2"));
    EXPECT_EQ(service_.writes(), before);
  }
  {
    SCOPED_TRACE("also when another change came since");
    ASSERT_EQ(Ask("bob", 2, Waiting("9 s")).exit, Exit::kOk);
    const VerbResult again = Ask("ana", 1, Waiting("2 s"));
    EXPECT_EQ(again.exit, Exit::kOk);
    EXPECT_TRUE(Says(again.lines, "version 3 is in force by now"));
    EXPECT_EQ(Read().version(), 3);
  }
  {
    SCOPED_TRACE("another author's same change is another change");
    EXPECT_EQ(Ask("eve", 1, Waiting("2 s")).exit, Exit::kConflict);
  }
}

// The sample answers with `n` organisations instead of one.
std::string ManyOrganisations(int n) {
  const std::string text(kSampleAnswers);
  const std::size_t from = text.find("  - name: brazos");
  const std::size_t to = text.find("operator_keys");
  std::string one = text.substr(from, to - from);
  std::string all = text.substr(0, from);
  for (int i = 0; i < n; ++i) {
    std::string it = one;
    it.replace(it.find("brazos"), 6, fmt::format("shop-{:03}", i));
    it.replace(
        it.find("100 %"), 5,
        fmt::format("{:.4f} %", i < n - 1 ? 0.1538 : 100 - 0.1538 * (n - 1)));
    const std::size_t key = it.find('[') + 1;
    it.replace(key, 8, fmt::format("{:08x}", i));
    all += it;
  }
  return all + text.substr(to);
}

TEST_F(ChangeTest, AcceptsSixHundredAndFiftyOrganisationsInOneChange) {
  const coordination::SteadyClock clock;
  auto ms = [&](coordination::TimePoint since) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock.Now() -
                                                                 since)
        .count();
  };
  auto start = clock.Now();
  const std::string text = ManyOrganisations(kOrganisations);
  auto answers = ReadAnswers("a.yaml", text);
  ASSERT_TRUE(answers.has_value()) << answers.error().lines.front();
  const std::string file =
      WriteRules(answers.value(), runtime::Sha256Hex(text));
  auto rules = ReadRules("rules.yaml", file);
  ASSERT_TRUE(rules.has_value()) << rules.error().lines.front();
  std::printf("survey: %lld ms, %zu bytes of rules\n",
              static_cast<long long>(ms(start)), file.size());
  const Proposal proposal{"digest", MakeSections(rules.value().answers)};
  const int reads = service_.reads();
  const int writes = service_.writes();
  start = clock.Now();
  const VerbResult result = Ask("ana", 1, proposal);
  EXPECT_EQ(result.exit, Exit::kOk);
  std::printf("apply: %lld ms, %d reads, %d transactions\n",
              static_cast<long long>(ms(start)), service_.reads() - reads,
              service_.writes() - writes);
  const History history = Read();
  EXPECT_EQ(history.version(), 2);
  EXPECT_EQ(ReadSections(SectionsAt(history, 2)).organisations.size(),
            static_cast<std::size_t>(kOrganisations));
}

}  // namespace
}  // namespace peridotgate::operate
