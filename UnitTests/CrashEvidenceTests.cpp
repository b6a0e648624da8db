// What the crashes that a task was at say against it.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/CrashEvidence.h>
#include <Loomreach/State/Codec.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

/// A task that was blamed for crashes right after its start: one each with these rivals, by what became of them.
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

CrashWeight Weigh(const TaskCrashes &inCrashes)
{
	return WeighCrashes(inCrashes, [](const CrashRival &inRival) { return static_cast<ERival>(inRival.unit); });
}

struct Verdict
{
	std::vector<std::vector<ERival>> rivals;
	CrashDoubts doubts;
	bool proved = false;
};

} // namespace

/// A sound task was given up for one crash that a crasher beside it had caused, and one by chance.
TEST(CrashEvidence, Verdicts)
{
	constexpr auto cOpen = ERival::Open;
	constexpr auto cCleared = ERival::Cleared;
	constexpr auto cGuilty = ERival::Proved;
	const std::vector<Verdict> table = {
		{{{}}, {}, false},
		{{{}, {}}, {}, true},
		{{{cOpen}, {}}, {}, false},
		{{{cCleared}, {}}, {}, true},
		{{{cCleared, cOpen}, {}}, {}, false},
		{{{cGuilty}, {}}, {}, false},
		{{{cOpen}, {}, {}}, {}, true},
		{{{cGuilty}, {}, {}}, {}, true},
		{{{cGuilty, cCleared}, {cOpen}, {}}, {}, false},
		{{{}, {}}, {true, false}, false},
		{{{}, {}}, {false, true}, false},
		{{{}, {}, {}}, {true, true}, true},
	};
	for (size_t i = 0; i < table.size(); ++i)
		EXPECT_EQ(IsCrasherProved(Weigh(Crashes(table[i].rivals)), table[i].doubts), table[i].proved) << "row " << i;
}

TEST(CrashEvidence, CrashesThatARivalExplainsCountForNothing)
{
	const CrashWeight weight = Weigh(Crashes({{ERival::Proved}, {ERival::Open}, {}}));
	EXPECT_EQ(weight.explained, 1u);
	EXPECT_EQ(weight.at_once, 2u);
	EXPECT_EQ(weight.Total(), 2u);
	EXPECT_EQ(weight.sole, 1u);
}

/// An owner of an earlier version counts on without cases: these must not be taken off what it counted.
TEST(CrashEvidence, CasesJoinTheCountsThatTheyBelongTo)
{
	const CrashCounts counts = {{{0, 1}, Crashes({{ERival::Open}, {}})}};
	const std::optional<CrashCounts> read = DecodeValue<CrashCounts>(EncodeValue(counts));
	const std::optional<CrashCasesByTask> cases = DecodeValue<CrashCasesByTask>(EncodeValue(CasesOf(counts)));
	ASSERT_TRUE(read.has_value() && cases.has_value());
	CrashCounts whole = *read;
	TakeCases(whole, *cases);
	EXPECT_EQ(whole.at({0, 1}).cases.size(), 2u);
	CrashCounts begun_anew = {{{0, 1}, Crashes({{}})}};
	begun_anew.at({0, 1}).cases.clear();
	TakeCases(begun_anew, *cases);
	EXPECT_TRUE(begun_anew.at({0, 1}).cases.empty());
}

} // namespace Loomreach::Jobs
