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
TaskCrashes Crashes(const std::vector<std::vector<ERival>> &inRivals)
{
	TaskCrashes crashes;
	for (const std::vector<ERival> &rivals : inRivals)
	{
		CrashCase crash{true, true, false, {}};
		for (const ERival rival : rivals)
			crash.rivals.push_back({"rival", static_cast<uint64>(rival)});
		crashes.cases.push_back(crash);
		++crashes.blamed;
		++crashes.at_once;
	}
	return crashes;
}

CrashWeight Summarize(const TaskCrashes &inCrashes)
{
	return WeighCrashes(inCrashes, [](const CrashRival &inRival) { return static_cast<ERival>(inRival.unit); });
}

struct ProofCase
{
	std::vector<std::vector<ERival>> rivals;
	CrashDoubts doubts;
	bool proved = false;
};

} // namespace

/// Guards against giving up a sound task for two crashes, one caused by another task beside it and one that happened by chance.
TEST(CrashEvidence, IsProofOnlyWhereOtherCausesAreRuledOut)
{
	constexpr auto cUndecided = ERival::Open;
	constexpr auto cCleared = ERival::Cleared;
	constexpr auto cProvedCause = ERival::Proved;
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
		EXPECT_EQ(IsCrasherProved(Summarize(Crashes(table[i].rivals)), table[i].doubts), table[i].proved) << "row " << i;
}

TEST(CrashEvidence, CrashesThatAnotherSuspectExplainsDoNotCount)
{
	const CrashWeight weight = Summarize(Crashes({{ERival::Proved}, {ERival::Open}, {}}));
	EXPECT_EQ(weight.explained, 1u);
	EXPECT_EQ(weight.at_once, 2u);
	EXPECT_EQ(weight.Total(), 2u);
	EXPECT_EQ(weight.sole, 1u);
}

/// Owners of earlier versions update the counts without the cases. Stored cases are merged only into the counts that include them, not into
/// counts that were started again.
TEST(CrashEvidence, CasesAreMergedOnlyIntoTheirCounts)
{
	const CrashCounts counts = {{{0, 1}, Crashes({{ERival::Open}, {}})}};
	const std::optional<CrashCounts> read = DecodeValue<CrashCounts>(EncodeValue(counts));
	const std::optional<CrashCasesByTask> cases = DecodeValue<CrashCasesByTask>(EncodeValue(CasesOf(counts)));
	ASSERT_TRUE(read.has_value() && cases.has_value());
	CrashCounts whole = *read;
	TakeCases(whole, *cases);
	EXPECT_EQ(whole.at({0, 1}).cases.size(), 2u);
	CrashCounts restarted = {{{0, 1}, Crashes({{}})}};
	restarted.at({0, 1}).cases.clear();
	TakeCases(restarted, *cases);
	EXPECT_TRUE(restarted.at({0, 1}).cases.empty());
}

} // namespace Loomreach::Jobs
