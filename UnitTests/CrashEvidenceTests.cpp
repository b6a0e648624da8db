// When the worker crashes that a task took part in prove that it caused them.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/CrashEvidence.h>
#include <Loomreach/State/Codec.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

/// A task that is blamed for crashes right after its start, one per entry. An entry lists the states of the other suspects of that crash.
TaskCrashes Crashes(const std::vector<std::vector<ESuspectState>> &inSuspects)
{
	TaskCrashes crashes;
	for (const std::vector<ESuspectState> &suspects : inSuspects)
	{
		CrashCase crash{true, true, false, {}};
		for (const ESuspectState suspect : suspects)
			crash.suspects.push_back({"rival", static_cast<uint32>(suspect), {}});
		crashes.cases.push_back(crash);
		++crashes.blamed;
		++crashes.after_start;
	}
	return crashes;
}

CrashSummary Summarize(const TaskCrashes &inCrashes)
{
	return SummarizeCrashes(inCrashes, [](const CrashSuspect &inSuspect) { return static_cast<ESuspectState>(inSuspect.unit); });
}

struct ProofCase
{
	std::vector<std::vector<ESuspectState>> suspects;
	ChanceIndicators indicators;
	bool proved = false;
};

} // namespace

/// Guards against giving up a sound task for two crashes, one caused by another task beside it and one that happened by chance.
TEST(CrashEvidence, IsProofOnlyWhereOtherCausesAreRuledOut)
{
	constexpr auto cUndecided = ESuspectState::Undecided;
	constexpr auto cCleared = ESuspectState::Cleared;
	constexpr auto cProvedCause = ESuspectState::Proved;
	const std::vector<ProofCase> table = {
		{{{}}, {}, false},
		{{{}, {}}, {}, true},
		{{{cUndecided}, {}}, {}, false},
		{{{cCleared}, {}}, {}, true},
		{{{cCleared, cUndecided}, {}}, {}, false},
		{{{cProvedCause}, {}}, {}, false},
		{{{cUndecided}, {}, {}}, {}, true},
		{{{cProvedCause}, {}, {}}, {}, true},
		{{{cProvedCause, cCleared}, {cUndecided}, {}}, {}, false},
		{{{}, {}}, {true, false}, false},
		{{{}, {}}, {false, true}, false},
		{{{}, {}, {}}, {true, true}, true},
	};
	for (size_t i = 0; i < table.size(); ++i)
		EXPECT_EQ(IsCrashCauseProved(Summarize(Crashes(table[i].suspects)), table[i].indicators), table[i].proved) << "row " << i;
}

TEST(CrashEvidence, CrashesThatAnotherSuspectExplainsDoNotCount)
{
	const CrashSummary weight = Summarize(Crashes({{ESuspectState::Proved}, {ESuspectState::Undecided}, {}}));
	EXPECT_EQ(weight.explained, 1u);
	EXPECT_EQ(weight.after_start, 2u);
	EXPECT_EQ(weight.Total(), 2u);
	EXPECT_EQ(weight.sole_suspect_after_start, 1u);
}

/// Owners of earlier versions update the counts without the cases. Stored cases are merged only into the counts that include them, not into
/// counts that were started again.
TEST(CrashEvidence, CasesAreMergedOnlyIntoTheirCounts)
{
	const CrashCounts counts = {{{0, 1}, Crashes({{ESuspectState::Undecided}, {}})}};
	const std::optional<CrashCounts> read = DecodeValue<CrashCounts>(EncodeValue(counts));
	const std::optional<CrashCasesByTask> cases = DecodeValue<CrashCasesByTask>(EncodeValue(ExtractCrashCases(counts)));
	ASSERT_TRUE(read.has_value() && cases.has_value());
	CrashCounts whole = *read;
	MergeCrashCases(whole, *cases);
	EXPECT_EQ(whole.at({0, 1}).cases.size(), 2u);
	CrashCounts restarted = {{{0, 1}, Crashes({{}})}};
	restarted.at({0, 1}).cases.clear();
	MergeCrashCases(restarted, *cases);
	EXPECT_TRUE(restarted.at({0, 1}).cases.empty());
}

/// An owner of the previous version must be able to read a suspect with its task, and this version one without.
TEST(CrashEvidence, SuspectsAreReadByThePreviousVersion)
{
	const CrashSuspect with_task{"job", 2, 5};
	const CrashSuspect without_task{"job", 2, std::nullopt};
	const auto before = DecodeValue<std::pair<std::string, uint64>>(EncodeValue(with_task));
	ASSERT_TRUE(before.has_value());
	EXPECT_EQ(before->first, "job");
	EXPECT_GE(before->second, uint64{1} << 32);
	EXPECT_EQ(DecodeValue<CrashSuspect>(EncodeValue(with_task)), with_task);
	EXPECT_EQ(DecodeValue<CrashSuspect>(EncodeValue(std::pair<std::string, uint64>("job", 2))), without_task);
}

} // namespace Loomreach::Jobs
