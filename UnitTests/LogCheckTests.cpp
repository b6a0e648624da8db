// The log checker on short synthetic logs: each kind of finding once, and what must not be reported as one.

#include <Loomreach/Loomreach.h>

#include <TestSupport/LogCheck/RunChecker.h>

#include <gtest/gtest.h>

namespace Loomreach::LogCheck
{

namespace
{

/// Runs the checker over these lines, in the given order.
RunChecker CheckLines(const std::vector<std::string> &inLines)
{
	RunChecker checker;
	for (const std::string &text : inLines)
	{
		const std::optional<LogLine> line = ParseLogLine(text);
		EXPECT_TRUE(line.has_value()) << text;
		if (line.has_value())
			checker.Add(*line);
	}
	checker.Finish();
	return checker;
}

std::string At(const std::string &inSecond, const std::string &inHost)
{
	return "   " + inSecond + " " + inHost + " I20261202 15:16:18.123456 ";
}

std::string Planned(const std::string &inHead, const std::string &inRuns, const std::string &inEpoch, const std::string &inFlags = "")
{
	return inHead + "event=runs_planned request=j round=0 step=0 runs=\"" + inRuns +
		   "\" oldest_news_ms=5 copies=" + (inFlags == "copies" ? "1" : "0") + " lasting=" + (inFlags == "lasting" ? "1" : "0") +
		   " cell=7 epoch=" + inEpoch;
}

std::string Dispatched(const std::string &inHead, const std::string &inRuns, const std::string &inEpoch)
{
	const int64 count = 1 + std::count(inRuns.begin(), inRuns.end(), ',');
	return inHead + "event=runs_told cell=7 epoch=" + inEpoch + " count=" + std::to_string(count) + " runs=j.0.0:" + inRuns;
}

std::string Ended(const std::string &inHead, const std::string &inTask, const std::string &inRun, const std::string &inEnd,
				  const std::string &inNumber, const std::string &inEpoch)
{
	return inHead + "event=run_ended request=j task=j.0.0." + inTask + " run=" + inRun + " worker=w1 end=" + inEnd +
		   " state=confirmed after_ms=3 why=\"worker said so\" number=" + inNumber + " cell=7 epoch=" + inEpoch;
}

std::string Logged(const std::string &inHead, const std::string &inEnds, const std::string &inEpoch)
{
	return inHead + "event=ends_logged cell=7 epoch=" + inEpoch + " count=1 ends=" + inEnds + " records=2 took_ms=9";
}

std::string Acknowledged(const std::string &inHead, const std::string &inEnds, const std::string &inEpoch)
{
	return inHead + "event=ends_covered cell=7 epoch=" + inEpoch + " ends=" + inEnds + " logged_ms_ago=1";
}

std::string CancelAccepted(const std::string &inHead)
{
	return inHead + "event=cancel_accepted request=j queue=q version=1 cell=7 offset=3";
}

std::string Cancel(const std::string &inHead, const std::string &inOutcome, const std::string &inEpoch)
{
	return inHead + "event=cancel request=j outcome=" + inOutcome +
		   " age_ms=5 job_age_ms=9 phase=running inbox_next=4 cell=7 epoch=" + inEpoch;
}

std::string Stopped(const std::string &inHead, const std::string &inEpoch)
{
	return inHead + "event=run_stopped request=j task=j.0.0.0 run=1 worker=w1 why=canceled cell=7 epoch=" + inEpoch;
}

std::vector<EFinding> KindsOf(const std::vector<Finding> &inFindings)
{
	std::vector<EFinding> kinds;
	kinds.reserve(inFindings.size());
	for (const Finding &finding : inFindings)
		kinds.push_back(finding.kind);
	return kinds;
}

const std::string cStartedA = At("0.1000", "a") + "event=started host=a zone=z life=1";
const std::string cStartedB = At("0.1000", "b") + "event=started host=b zone=z life=2";

} // namespace

TEST(LogCheck, ReadsLinesOfFilesAndRecords)
{
	const std::optional<LogLine> record =
		ParseLogLine("  -1.5 front-1 W20261202 15:16:18.250000 event=x a=1 b=\"two \\\"words\\\" =\" c=\"\"");
	ASSERT_TRUE(record.has_value());
	EXPECT_EQ(record->at_s, -1.5);
	EXPECT_EQ(record->host, "front-1");
	EXPECT_EQ(record->event, "x");
	EXPECT_EQ(record->Number("a"), 1u);
	EXPECT_EQ(record->Text("b"), "two \"words\" =");
	EXPECT_EQ(record->Text("c"), "");
	const std::optional<LogLine> early = ParseLogLine("I20261202 23:59:59.750000 event=x");
	const std::optional<LogLine> late = ParseLogLine("I20261203 00:00:00.250000 event=x");
	ASSERT_TRUE(early.has_value() && late.has_value());
	EXPECT_DOUBLE_EQ(late->at_s - early->at_s, 0.5);
	EXPECT_EQ(early->host, "");
	EXPECT_FALSE(ParseLogLine("seen: 3 jobs").has_value());
	EXPECT_EQ(ParseLogLine("event=log_lines_dropped lines=4")->at_s, -1.0);
}

TEST(LogCheck, WholeChainsAreClean)
{
	const RunChecker checker = CheckLines({
		cStartedA,
		Planned(At("1.0", "a"), "0.1@w1 1.1@w1", "1"),
		Dispatched(At("1.1", "a"), "0.1,1.1", "1"),
		Ended(At("2.0", "a"), "0", "1", "done", "1", "1"),
		Ended(At("2.0", "a"), "1", "1", "failed", "2", "1"),
		Planned(At("2.01", "a"), "1.2@w1", "1"),
		Logged(At("2.1", "a"), "w1:1-2", "1"),
		Dispatched(At("2.1", "a"), "1.2", "1"),
		Acknowledged(At("2.2", "a"), "w1:1-2", "1"),
		Ended(At("3.0", "a"), "1", "2", "lapsed", "0", "1"),
		Planned(At("3.01", "a"), "1.3@w2", "1"),
		Dispatched(At("3.1", "a"), "1.3", "1"),
	});
	EXPECT_TRUE(checker.Findings().empty());
	EXPECT_TRUE(checker.Unproved().empty());
	EXPECT_TRUE(checker.Notes().empty());
	EXPECT_TRUE(checker.Unchecked().empty());
}

TEST(LogCheck, FindsAStartAfterADoneEnd)
{
	// Another owner starts the task again, though the first owner's log contains its end
	const RunChecker checker = CheckLines({
		cStartedA,
		cStartedB,
		Dispatched(At("1.1", "a"), "0.1", "1"),
		Ended(At("2.0", "a"), "0", "1", "done", "1", "1"),
		Logged(At("2.1", "a"), "w1:1-1", "1"),
		Planned(At("5.0", "b"), "0.2@w2", "2"),
		Dispatched(At("5.1", "b"), "0.2", "2"),
	});
	ASSERT_EQ(KindsOf(checker.Findings()), std::vector{EFinding::StartAfterDone});
	// The end, the plan and the dispatch: one finding with its three lines
	EXPECT_EQ(checker.Findings()[0].lines.size(), 3u);
	EXPECT_NE(checker.Findings()[0].what.find("j.0.0.0"), std::string::npos);
}

TEST(LogCheck, NotesAStartAfterAnEndThatWasLostWithItsOwner)
{
	const RunChecker checker = CheckLines({
		cStartedA,
		cStartedB,
		Dispatched(At("1.1", "a"), "0.1", "1"),
		Ended(At("2.0", "a"), "0", "1", "done", "1", "1"),
		Ended(At("4.0", "b"), "0", "1", "lapsed", "0", "2"),
		Dispatched(At("5.1", "b"), "0.2", "2"),
	});
	EXPECT_TRUE(checker.Findings().empty());
	EXPECT_EQ(KindsOf(checker.Notes()), std::vector{EFinding::StartAfterDone});
	// The same with a poll that acknowledges the end later: the lease had expired in between
	const auto with_end = [](const std::string &inEnd)
	{
		return CheckLines({
			cStartedA,
			cStartedB,
			Dispatched(At("1.1", "a"), "0.1", "1"),
			Ended(At("2.0", "a"), "0", "1", "done", "1", "1"),
			Ended(At("4.0", "b"), "0", "1", inEnd, "0", "2"),
			Dispatched(At("5.1", "b"), "0.2", "2"),
			Ended(At("5.2", "b"), "0", "1", "done", "1", "2"),
			Logged(At("5.3", "b"), "w1:1-1", "2"),
			Acknowledged(At("5.4", "b"), "w1:1-1", "2"),
		});
	};
	EXPECT_TRUE(with_end("lapsed").Findings().empty());
	EXPECT_EQ(KindsOf(with_end("lapsed").Notes()), std::vector{EFinding::StartAfterDone});
	// Without an expired lease it is a finding
	EXPECT_EQ(KindsOf(with_end("stopped").Findings()), std::vector{EFinding::StartAfterDone});
}

TEST(LogCheck, AnOwnerThatReceivedTheEndStartsNothing)
{
	// The lease was taken for expired, the next run was being persisted when the end arrived, and it was dispatched nevertheless
	const RunChecker checker = CheckLines({
		cStartedA,
		Dispatched(At("1.1", "a"), "0.1", "1"),
		Ended(At("5.0", "a"), "0", "1", "lapsed", "0", "1"),
		Planned(At("5.0", "a"), "0.2@w2", "1"),
		Ended(At("5.01", "a"), "0", "1", "done", "1", "1"),
		Dispatched(At("5.02", "a"), "0.2", "1"),
	});
	ASSERT_EQ(KindsOf(checker.Findings()), std::vector{EFinding::StartAfterDone});
	EXPECT_EQ(checker.Findings()[0].lines.size(), 3u);
	// Another owner's poll that acknowledges an end which that owner never received
	const RunChecker unseen = CheckLines({
		cStartedA,
		cStartedB,
		Dispatched(At("1.1", "a"), "0.1", "1"),
		Ended(At("2.0", "a"), "0", "1", "done", "1", "1"),
		Logged(At("5.2", "b"), "w1:1-1", "2"),
		Acknowledged(At("5.3", "b"), "w1:1-1", "2"),
	});
	EXPECT_EQ(KindsOf(unseen.Findings()), std::vector{EFinding::AcknowledgedUnseen});
}

TEST(LogCheck, CopiesAndLongRunningTasksMayStartAgain)
{
	const RunChecker copies = CheckLines({
		cStartedA,
		Planned(At("1.0", "a"), "0.1@w1 0.2@w2", "1", "copies"),
		Dispatched(At("1.1", "a"), "0.1,0.2", "1"),
		Ended(At("2.0", "a"), "0", "1", "done", "1", "1"),
		Dispatched(At("2.9", "a"), "0.3", "1"),
	});
	EXPECT_TRUE(copies.Findings().empty());
	const RunChecker too_late = CheckLines({
		cStartedA,
		Planned(At("1.0", "a"), "0.1@w1", "1", "copies"),
		Dispatched(At("1.1", "a"), "0.1", "1"),
		Ended(At("2.0", "a"), "0", "1", "done", "1", "1"),
		Dispatched(At("3.1", "a"), "0.3", "1"),
	});
	EXPECT_EQ(KindsOf(too_late.Findings()), std::vector{EFinding::StartAfterDone});
	const RunChecker lasting = CheckLines({
		cStartedA,
		Planned(At("1.0", "a"), "0.1@w1", "1", "lasting"),
		Dispatched(At("1.1", "a"), "0.1", "1"),
		Ended(At("2.0", "a"), "0", "1", "done", "1", "1"),
		Dispatched(At("2.9", "a"), "0.2", "1"),
	});
	EXPECT_TRUE(lasting.Findings().empty());
}

TEST(LogCheck, FindsTwoRunsAtOnce)
{
	const RunChecker checker = CheckLines({
		cStartedA,
		cStartedB,
		Planned(At("1.0", "a"), "0.1@w1", "1"),
		Dispatched(At("1.1", "a"), "0.1", "1"),
		Planned(At("2.0", "b"), "0.2@w2", "2"),
		Dispatched(At("2.1", "b"), "0.2", "2"),
	});
	ASSERT_EQ(KindsOf(checker.Findings()), std::vector{EFinding::TwoRuns});
	EXPECT_EQ(checker.Findings()[0].lines.size(), 4u);
}

TEST(LogCheck, FindsAPollThatAcknowledgesEndsNotPersisted)
{
	// The poll is sent before the append is answered
	const RunChecker early = CheckLines({
		cStartedA,
		Dispatched(At("1.1", "a"), "0.1", "1"),
		Ended(At("2.0", "a"), "0", "1", "done", "1", "1"),
		Acknowledged(At("2.05", "a"), "w1:1-1", "1"),
		Logged(At("2.1", "a"), "w1:1-1", "1"),
	});
	ASSERT_EQ(KindsOf(early.Findings()), std::vector{EFinding::AcknowledgedBeforeLogged});
	EXPECT_NE(early.Findings()[0].what.find("done:j.0.0.0"), std::string::npos);
	// Also when its process is killed right afterwards: it had written all earlier lines
	const RunChecker killed = CheckLines({
		cStartedA,
		Dispatched(At("1.1", "a"), "0.1", "1"),
		Ended(At("2.0", "a"), "0", "1", "done", "1", "1"),
		Acknowledged(At("2.05", "a"), "w1:1-1", "1"),
		At("2.06", "a") + "event=started host=a zone=z life=3",
	});
	EXPECT_EQ(KindsOf(killed.Findings()), std::vector{EFinding::AcknowledgedBeforeLogged});
	// The end is never persisted, though an earlier one is
	const RunChecker never = CheckLines({
		cStartedA,
		Dispatched(At("1.1", "a"), "0.1,1.1", "1"),
		Ended(At("2.0", "a"), "0", "1", "done", "1", "1"),
		Logged(At("2.1", "a"), "w1:1-1", "1"),
		Ended(At("2.2", "a"), "1", "1", "done", "2", "1"),
		Acknowledged(At("2.3", "a"), "w1:1-2", "1"),
	});
	EXPECT_EQ(KindsOf(never.Findings()), std::vector{EFinding::AcknowledgedBeforeLogged});
	// What another owner persisted does not count
	const RunChecker other = CheckLines({
		cStartedA,
		cStartedB,
		Dispatched(At("1.1", "a"), "0.1", "1"),
		Ended(At("2.0", "a"), "0", "1", "done", "1", "1"),
		Logged(At("2.1", "a"), "w1:1-1", "1"),
		Acknowledged(At("4.0", "b"), "w1:1-1", "2"),
	});
	EXPECT_EQ(KindsOf(other.Findings()), (std::vector{EFinding::AcknowledgedBeforeLogged, EFinding::AcknowledgedUnseen}));
}

TEST(LogCheck, EndsWithoutARunCount)
{
	const std::string unmatched =
		At("4.0", "b") + "event=ends_unmatched cell=7 epoch=2 worker=w1 count=1 ends=j.0.0.0.1#1:done/running/task-done look_ms=4";
	const RunChecker checker = CheckLines({
		cStartedA,
		cStartedB,
		Dispatched(At("1.1", "a"), "0.1", "1"),
		Ended(At("2.0", "a"), "0", "1", "done", "1", "1"),
		Logged(At("2.1", "a"), "w1:1-1", "1"),
		unmatched,
		Logged(At("4.1", "b"), "w1:1-1", "2"),
		Acknowledged(At("4.2", "b"), "w1:1-1", "2"),
	});
	EXPECT_TRUE(checker.Findings().empty());
	// They bind as well: the task must not start after one
	const RunChecker again = CheckLines({cStartedA, cStartedB, unmatched, Dispatched(At("4.5", "b"), "0.2", "2")});
	EXPECT_EQ(KindsOf(again.Findings()), std::vector{EFinding::StartAfterDone});
}

TEST(LogCheck, WhatMayBeMissingIsNotCalledClean)
{
	// With dropped lines the log is neither clean nor proves a finding
	const std::string dropped = "   1.9 a event=log_lines_dropped lines=4";
	const RunChecker with_drops =
		CheckLines({cStartedA, Dispatched(At("1.1", "a"), "0.1", "1"), dropped, Dispatched(At("2.1", "a"), "0.2", "1")});
	EXPECT_TRUE(with_drops.Findings().empty());
	EXPECT_EQ(KindsOf(with_drops.Unproved()), std::vector{EFinding::TwoRuns});
	EXPECT_EQ(with_drops.Unchecked().size(), 1u);
	const RunChecker cover = CheckLines({
		cStartedA,
		Dispatched(At("1.1", "a"), "0.1", "1"),
		Ended(At("1.8", "a"), "0", "1", "done", "1", "1"),
		dropped,
		Acknowledged(At("2.05", "a"), "w1:1-1", "1"),
	});
	EXPECT_EQ(KindsOf(cover.Unproved()), std::vector{EFinding::AcknowledgedBeforeLogged});
	EXPECT_TRUE(cover.Findings().empty());
	// A killed process: its last lines, which are lost, may have contained the end
	const RunChecker killed = CheckLines({
		cStartedA,
		cStartedB,
		Dispatched(At("1.1", "a"), "0.1", "1"),
		At("1.5", "a") + "event=started host=a zone=z life=3",
		Dispatched(At("3.1", "b"), "0.2", "2"),
	});
	EXPECT_EQ(killed.TruncatedLogs(), 1u);
	EXPECT_EQ(KindsOf(killed.Unproved()), std::vector{EFinding::TwoRuns});
	// A process that stopped by itself has written all its lines
	const RunChecker stopped = CheckLines({
		cStartedA,
		cStartedB,
		Dispatched(At("1.1", "a"), "0.1", "1"),
		At("1.4", "a") + "event=stopped after_ms=30",
		At("1.5", "a") + "event=started host=a zone=z life=3",
		Dispatched(At("3.1", "b"), "0.2", "2"),
	});
	EXPECT_EQ(stopped.TruncatedLogs(), 0u);
	EXPECT_EQ(KindsOf(stopped.Findings()), std::vector{EFinding::TwoRuns});
	// A truncated line, and a log without lines of runs
	const RunChecker cut_line = CheckLines({cStartedA, At("1.1", "a") + "event=runs_told cell=7 epoch=1 count=2 runs=j.0.0:0.1"});
	EXPECT_EQ(cut_line.Unchecked().size(), 1u);
	EXPECT_EQ(CheckLines({cStartedA}).Unchecked().size(), 1u);
}

/// Guards against taking an end of a worker's new incarnation for the one of its previous incarnation that a poll acknowledged.
TEST(LogCheck, EndNumbersBelongToOneIncarnation)
{
	const std::string again = "event=worker_started_again worker=w1 born_ms=2000 was_born_ms=1000 cell=7 epoch=1";
	const RunChecker checker = CheckLines({
		cStartedA,
		Dispatched(At("1.1", "a"), "0.1", "1"),
		Ended(At("2.0", "a"), "0", "1", "done", "1", "1"),
		Logged(At("2.1", "a"), "w1:1-1", "1"),
		Acknowledged(At("2.2", "a"), "w1:1-1", "1"),
		At("2.3", "a") + again,
		Dispatched(At("2.4", "a"), "1.1", "1"),
		Ended(At("2.5", "a"), "1", "1", "done", "1", "1"),
		Acknowledged(At("2.6", "a"), "w1:1-1", "1"),
	});
	EXPECT_EQ(KindsOf(checker.Findings()), std::vector{EFinding::AcknowledgedBeforeLogged});
}

TEST(LogCheck, FindsStartsAfterACancel)
{
	// The owner that canceled the job tells a run at once afterwards
	const RunChecker at_once = CheckLines({
		cStartedA,
		CancelAccepted(At("1.0", "a")),
		Cancel(At("1.1", "a"), "canceled", "1"),
		Dispatched(At("1.2", "a"), "0.1", "1"),
	});
	EXPECT_EQ(KindsOf(at_once.Findings()), std::vector{EFinding::StartAfterCancel});
	// The owner read the cancel before it knew the job, and forgot it
	const auto at = [](const std::string &inSecond, const std::string &inEpoch)
	{
		return CheckLines({
			cStartedA,
			cStartedB,
			CancelAccepted(At("1.0", "a")),
			Cancel(At("1.1", "a"), "unknown", "1"),
			Dispatched(At(inSecond, inEpoch == "1" ? "a" : "b"), "0.1", inEpoch),
		});
	};
	EXPECT_TRUE(at("4.9", "1").Findings().empty());
	ASSERT_EQ(KindsOf(at("5.1", "1").Findings()), std::vector{EFinding::StartAfterCancel});
	EXPECT_EQ(at("5.1", "1").Findings()[0].lines.size(), 3u);
	// Another owner that has not read it may have been out of contact
	EXPECT_TRUE(at("5.1", "2").Findings().empty());
	EXPECT_EQ(KindsOf(at("5.1", "2").Unproved()), std::vector{EFinding::StartAfterCancel});
}

TEST(LogCheck, FindsRunsThatACancelLeavesAlone)
{
	const auto with = [](const std::vector<std::string> &inLines)
	{
		std::vector<std::string> lines = {cStartedA, CancelAccepted(At("1.0", "a")), Cancel(At("1.1", "a"), "unknown", "1"),
										  Dispatched(At("1.2", "a"), "0.1", "1")};
		lines.insert(lines.end(), inLines.begin(), inLines.end());
		return CheckLines(lines);
	};
	EXPECT_TRUE(with({Logged(At("5.5", "a"), "w1:1-1", "1")}).Findings().empty());
	EXPECT_EQ(KindsOf(with({Logged(At("5.7", "a"), "w1:1-1", "1")}).Findings()), std::vector{EFinding::RunAfterCancel});
	// Whether a stop arrives in time is not in the logs
	EXPECT_TRUE(with({Stopped(At("1.3", "a"), "1"), Logged(At("5.7", "a"), "w1:1-1", "1")}).Findings().empty());
	EXPECT_TRUE(with({Ended(At("1.4", "a"), "0", "1", "done", "1", "1"), Logged(At("5.7", "a"), "w1:1-1", "1")}).Findings().empty());
	const std::string doubted = At("1.3", "a") + "event=run_doubted request=j task=j.0.0.0 run=1 worker=w1 doubtful_ms=21";
	EXPECT_TRUE(with({doubted, Logged(At("5.7", "a"), "w1:1-1", "1")}).Findings().empty());
	// An owner that no longer writes, and lines that may be missing
	EXPECT_TRUE(with({Logged(At("5.7", "a"), "w1:1-1", "2")}).Findings().empty());
	const RunChecker dropped = with({"   1.9 a event=log_lines_dropped lines=4", Logged(At("5.7", "a"), "w1:1-1", "1")});
	EXPECT_TRUE(dropped.Findings().empty());
	EXPECT_EQ(KindsOf(dropped.Unproved()), std::vector{EFinding::RunAfterCancel});
}

} // namespace Loomreach::LogCheck
