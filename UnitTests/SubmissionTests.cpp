// Decisions about single records, paths, collectors and waiting times.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Admission/OpenAppends.h>
#include <Loomreach/Admission/RetryAfter.h>
#include <Loomreach/Admission/Submission.h>
#include <Loomreach/Core/Random.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

const std::vector<CollectorHost> cHosts = {
	{"owner", {"10.0.0.1", 1}, false, true},
	{"a", {"10.0.0.2", 1}},
	{"self", {"10.0.0.3", 1}, true},
	{"b", {"10.0.0.4", 1}},
};

SubmissionView MakeView(Millis inNow, EInboxPath inPath = EInboxPath::Collected)
{
	SubmissionView view;
	view.now = inNow;
	view.path = inPath;
	view.candidates = cHosts;
	view.owner = cHosts.front();
	return view;
}

} // namespace

/// Guards against 503 for a record that may have been appended, a second append in flight, and a record without an end.
RC_GTEST_PROP(Submission, NeverRefusesForCertainWhatMayBeInTheInbox, ())
{
	Random random(*rc::gen::inRange<uint64>(1, 1'000'000'000));
	Submission submission(3000, random.Chance(20));
	Millis now = 0;
	bool own_in_flight = false;
	bool asked = false;
	bool delayed = false;
	bool doubtful = false; // Some attempt ended without a certain outcome
	const auto view = [&]
	{
		SubmissionView made = MakeView(now, random.Chance(50) ? EInboxPath::Collected : EInboxPath::Direct);
		made.store_unresponsive = random.Chance(20);
		made.candidates.erase(made.candidates.begin(), made.candidates.begin() + static_cast<std::ptrdiff_t>(random.Below(5)));
		return made;
	};
	SubmissionStep step = submission.Begin(view());
	for (int i = 0; i < 200 && !submission.IsEnded(); ++i)
	{
		RC_ASSERT(!(step.kind == ESubmissionStep::Append && own_in_flight));
		RC_ASSERT(!(step.kind == ESubmissionStep::Ask && asked));
		own_in_flight = own_in_flight || step.kind == ESubmissionStep::Append;
		asked = asked || step.kind == ESubmissionStep::Ask;
		delayed = delayed || step.kind == ESubmissionStep::AskLater;
		// Something must follow, or the record would never be answered
		RC_ASSERT(own_in_flight || asked || delayed);
		now += static_cast<Millis>(random.Below(150));
		if (now >= 3000)
			step = submission.OnTimeUp();
		else if (own_in_flight && random.Chance(30))
		{
			own_in_flight = false;
			const EOwnAppend outcome = random.Chance(50) ? EOwnAppend::Refused : EOwnAppend::Unknown;
			doubtful = doubtful || outcome == EOwnAppend::Unknown;
			step = submission.OnOwnAppend(false, outcome, view());
		}
		else if (asked && random.Chance(60))
		{
			asked = false;
			CollectorReply reply;
			reply.outcome = static_cast<ECollected>(1 + random.Below(8));
			reply.certain = random.Chance(70);
			reply.incarnation = reply.outcome == ECollected::OtherProcess ? 7 : 0;
			reply.refusal = reply.outcome == ECollected::Refused ? EError::UnknownKey : EError::None;
			doubtful = doubtful || !reply.certain || (reply.outcome >= ECollected::Unknown && reply.outcome <= ECollected::Silent);
			step = submission.OnReply(reply, view());
		}
		else if (delayed)
		{
			delayed = false;
			step = submission.OnDelayOver(view());
		}
		else
			step = submission.OnCollected(view());
	}
	RC_ASSERT(submission.IsEnded());
	RC_ASSERT(step.kind == ESubmissionStep::Refuse);
	RC_ASSERT((step.error == EError::OutcomeLost) == (doubtful || own_in_flight || asked));
}

/// Guards against a direct append of a record whose first append may still be in the queue of a slow store.
TEST(Submission, ARecordWhoseAppendTakesTooLongGoesToTheOwner)
{
	Submission submission(3000);
	EXPECT_EQ(submission.Begin(MakeView(0, EInboxPath::Direct)).kind, ESubmissionStep::Append);
	const SubmissionStep step = submission.OnCollected(MakeView(30));
	EXPECT_EQ(step.kind, ESubmissionStep::Ask);
	EXPECT_EQ(step.collector.name, "owner");
	// The own append still counts
	EXPECT_EQ(submission.OnOwnAppend(true, EOwnAppend::None, MakeView(200)).kind, ESubmissionStep::Accept);
	EXPECT_EQ(submission.OnReply({ECollected::Appended}, MakeView(250)).kind, ESubmissionStep::Wait);
}

/// Guards against 503, or a refusal by a newer configuration, on the word of a process that cannot know what the one that was asked did.
TEST(Submission, NoRefusalOfALaterProcessIsCertain)
{
	for (const bool is_cancel : {false, true})
		for (const ECollected outcome : {ECollected::Refused, ECollected::Busy, ECollected::CannotReach, ECollected::NotDone})
		{
			Submission submission(3000, is_cancel);
			SubmissionView view = MakeView(0);
			view.candidates = {cHosts.front()};
			ASSERT_EQ(submission.Begin(view).kind, ESubmissionStep::Ask);
			CollectorReply reply{outcome, EError::UnknownKey, 100};
			reply.certain = false;
			EXPECT_EQ(submission.OnReply(reply, view).kind, ESubmissionStep::AskLater) << NameOf(cCollectedNames, outcome);
			EXPECT_EQ(submission.OnTimeUp().error, EError::OutcomeLost) << NameOf(cCollectedNames, outcome);
		}
}

/// Guards against turning to another collector, or refusing the caller, because the collector has restarted and heartbeats do not tell yet.
TEST(Submission, ARestartedCollectorIsAskedByItsNewProcessOnce)
{
	Submission submission(3000);
	submission.Begin(MakeView(0));
	CollectorReply reply{ECollected::OtherProcess};
	reply.incarnation = 8;
	const SubmissionStep again = submission.OnReply(reply, MakeView(5));
	ASSERT_EQ(again.kind, ESubmissionStep::Ask);
	EXPECT_EQ(again.collector.name, "owner");
	EXPECT_EQ(again.collector.incarnation, 8u);
	EXPECT_FALSE(submission.OnReply(reply, MakeView(10)).collector.is_owner);
}

/// Guards against callers that wait for a backlog which they cannot outlast.
TEST(Submission, ABusyCollectorsEstimateReachesTheCaller)
{
	Submission submission(3000);
	submission.Begin(MakeView(0));
	const SubmissionStep step = submission.OnReply({ECollected::Busy, EError::None, 4200}, MakeView(5));
	EXPECT_EQ(step.error, EError::PlatformDown);
	EXPECT_EQ(step.expected_wait_ms, 4200);
}

/// Guards against asking every host of the fleet while the store is down for all.
TEST(Submission, TriesFourCandidates)
{
	Submission submission(3000);
	SubmissionView view = MakeView(0);
	view.candidates.erase(view.candidates.begin() + 2);
	for (int i = 0; i < 5; ++i)
		view.candidates.push_back({"c" + std::to_string(i), {"10.0.1.1", 1}});
	SubmissionStep step = submission.Begin(view);
	size_t asked = 0;
	for (; step.kind == ESubmissionStep::Ask; ++asked)
		step = submission.OnReply({ECollected::CannotReach}, view);
	EXPECT_EQ(asked, 4u);
	EXPECT_EQ(step.error, EError::PlatformDown);
}

/// Guards against a report of a slow store by a process that was itself paused or starved of processor time.
TEST(OpenAppends, APausedProcessReportsNothing)
{
	OpenAppends appends(4.0);
	const uint64 number = appends.Add(ESlowSign::InboxAppend, 1000);
	OpenAppends::Verdict verdict = appends.Check(1024, 1900);
	EXPECT_FALSE(verdict.sign.has_value());
	// The main loop reads the answer before the next check
	appends.Remove(number);
	verdict = appends.Check(1902, 1902);
	EXPECT_FALSE(verdict.sign.has_value());
	EXPECT_LT(verdict.next_check_ms, 0);
}

TEST(OpenAppends, AnOverdueAppendIsReportedOnce)
{
	OpenAppends appends(4.0);
	appends.Add(ESlowSign::CellLog, 1000);
	EXPECT_FALSE(appends.Check(1024, 1025).sign.has_value());
	const OpenAppends::Verdict verdict = appends.Check(1027, 1027);
	EXPECT_EQ(verdict.sign, ESlowSign::CellLog);
	EXPECT_EQ(verdict.waited_ms, 27);
	EXPECT_FALSE(appends.Check(1030, 1030).sign.has_value());
}

/// Guards against a flood of reports: each goes to all hosts.
TEST(InboxPaths, ReportsAtMostOnceASecondAndNotWhatOthersReported)
{
	InboxPaths paths;
	EXPECT_FALSE(paths.OnSlowSign(ESlowSign::OtherHost, 1000).notify_all);
	EXPECT_EQ(paths.PathOf(7), EInboxPath::Collected);
	// All hosts have heard the report of the other host
	EXPECT_FALSE(paths.OnSlowSign(ESlowSign::InboxAppend, 1100).notify_all);
	EXPECT_TRUE(paths.OnSlowSign(ESlowSign::InboxAppend, 2000).notify_all);
	EXPECT_FALSE(paths.OnSlowSign(ESlowSign::InboxAppend, 2999).notify_all);
	EXPECT_TRUE(paths.OnSlowSign(ESlowSign::Heartbeat, 3000).notify_all);
}

/// Partitions recover one by one. Guards against direct appends to those that are still slow.
TEST(InboxPaths, AQuickCollectorReturnsOneInboxToDirectAppends)
{
	InboxPaths paths;
	EXPECT_FALSE(paths.OnQuickAnswer(7));
	paths.OnSlowSign(ESlowSign::InboxAppend, 1000);
	EXPECT_TRUE(paths.OnQuickAnswer(7));
	EXPECT_FALSE(paths.OnQuickAnswer(7));
	EXPECT_EQ(paths.PathOf(7), EInboxPath::Direct);
	EXPECT_EQ(paths.PathOf(8), EInboxPath::Collected);
	EXPECT_TRUE(paths.OnSlowSign(ESlowSign::OtherHost, 2000).changed);
	EXPECT_EQ(paths.PathOf(7), EInboxPath::Collected);
}

/// Guards against a collector whose own records go to a second collector as soon as the store becomes slow.
TEST(Submission, TheCollectorsOwnAppendIsNotGivenToTheNextHost)
{
	Submission submission(5000);
	SubmissionView view;
	view.now = 1000;
	view.candidates = {{"self", {}, true, true}, {"other", {"10.0.0.2", 1}}};
	EXPECT_EQ(submission.Begin(view).kind, ESubmissionStep::Append);
	view.path = EInboxPath::Collected;
	EXPECT_EQ(submission.OnCollected(view).kind, ESubmissionStep::Wait);
}

/// Guards against hosts that turn to different collectors when the owner fails.
TEST(CollectorChoice, AllHostsAgreeOnTheOrder)
{
	CollectorChoice choice;
	std::vector<CollectorHost> hosts = cHosts;
	const std::vector<CollectorHost> order = choice.Candidates(3, hosts, 1000);
	std::reverse(hosts.begin(), hosts.end());
	hosts.back().is_self = true;
	const std::vector<CollectorHost> other = choice.Candidates(3, hosts, 1000);
	ASSERT_EQ(order.size(), 4u);
	EXPECT_EQ(order.front().name, "owner");
	for (size_t i = 0; i < order.size(); ++i)
		EXPECT_EQ(order[i].name, other[i].name);
}

TEST(CollectorChoice, FailedHostsAreSkippedForATime)
{
	CollectorChoice choice;
	choice.OnSilent(cHosts[0].address, 1000);
	choice.OnCannotReachStore(cHosts[1].address, 1000);
	EXPECT_EQ(choice.Candidates(3, cHosts, 1499).size(), 2u);
	EXPECT_EQ(choice.Candidates(3, cHosts, 1500).size(), 3u);
	EXPECT_EQ(choice.Candidates(3, cHosts, 2000).front().name, "owner");
}

/// Guards against callers that all return in the same second.
TEST(RetryAfter, GrowsWithTheOutageAndIsSpreadOverCallers)
{
	const std::vector<std::pair<Millis, int>> expected = {{0, 1}, {999, 1}, {1000, 2}, {2000, 3}, {9000, 3}};
	for (const auto &[unavailable_ms, seconds] : expected)
	{
		std::map<int, size_t> told;
		for (int i = 0; i < 1000; ++i)
		{
			const std::string id = "job" + std::to_string(i);
			++told[RetryAfterSeconds({id, std::nullopt, unavailable_ms})];
		}
		EXPECT_EQ(told.size(), 2u);
		EXPECT_NEAR(static_cast<double>(told[seconds]), 500.0, 100.0);
		EXPECT_NEAR(static_cast<double>(told[seconds + 1]), 500.0, 100.0);
	}
	const int estimated = RetryAfterSeconds({"job", 4200, 0});
	EXPECT_TRUE(estimated == 5 || estimated == 6);
}

} // namespace Loomreach::Jobs
