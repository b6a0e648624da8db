// The fake platform's check against unrequested work: each part of the rule, and each excuse.

#include <Loomreach/Loomreach.h>

#include <TestSupport/Platform/RequestLedger.h>

#include <gtest/gtest.h>

namespace Loomreach
{

namespace
{

constexpr Millis cStart = 100'000;
constexpr Millis cTooLate = cStart + RequestLedger::cCancelMs + 1;
constexpr Millis cStillThere = cTooLate + RequestLedger::cStopMs;

OrderedRun RunAt(Millis inAt, bool inIsLate = false) { return {{"job.0.0.0", 1, "w", inAt}, "ms=5", "", 7, inIsLate}; }

/// A ledger with one job, submitted, and canceled at `cStart`.
RequestLedger CanceledJob()
{
	RequestLedger ledger;
	ledger.OnSubmitted("job", "ms=5");
	ledger.OnCanceled("job", cStart);
	return ledger;
}

/// "KIND" or "KIND/EXCUSE" of what was found; empty if nothing was.
std::string Found(const std::vector<UnaskedRun> &inRuns)
{
	std::string found;
	for (const UnaskedRun &run : inRuns)
		found += std::string(NameOf(cUnaskedNames, run.kind)) + (run.excuse.empty() ? "" : "/" + run.excuse);
	return found;
}

} // namespace

TEST(RequestLedger, FindsStartsThatNoCallerSent)
{
	RequestLedger ledger;
	EXPECT_EQ(Found(ledger.OnStarted(RunAt(cStart), {})), "") << "callers that nobody recorded";
	ledger.OnSubmitted("job", "ms=5");
	EXPECT_EQ(Found(ledger.OnStarted(RunAt(cStart), {})), "");
	OrderedRun other = RunAt(cStart);
	other.run.task = "jobs.0.0.0";
	EXPECT_EQ(Found(ledger.OnStarted(other, {})), "unsent");
	other = RunAt(cStart);
	other.payload = "ms=6";
	EXPECT_EQ(Found(ledger.OnStarted(other, {})), "unsent");
	other = RunAt(cStart);
	other.checkpoint = "half";
	ledger.OnSaved("job.0.0.1", "half");
	EXPECT_EQ(Found(ledger.OnStarted(other, {})), "unsent") << "another task's checkpoint";
	ledger.OnSaved("job.0.0.0", "half");
	EXPECT_EQ(Found(ledger.OnStarted(other, {})), "");
}

TEST(RequestLedger, FindsStartsAfterTheCancel)
{
	RequestLedger ledger = CanceledJob();
	EXPECT_EQ(Found(ledger.OnStarted(RunAt(cTooLate - 1), {})), "");
	EXPECT_EQ(Found(ledger.OnStarted(RunAt(cTooLate), {})), "start-after-cancel");
	EXPECT_EQ(Found(ledger.OnStarted(RunAt(cTooLate, true), {})), "start-after-cancel/order carried out late");
	// A repeated cancellation does not extend the bound
	ledger.OnCanceled("job", cTooLate);
	EXPECT_EQ(Found(ledger.OnStarted(RunAt(cTooLate), {})), "start-after-cancel");
}

/// Guards against a fault that excuses more than the rule does, or less.
TEST(RequestLedger, OnlyFaultsOfHostsExcuseAStartAfterTheCancel)
{
	for (const EScope scope : {EScope::Store, EScope::Entry, EScope::Workers, EScope::Config})
	{
		const bool is_host = scope == EScope::Store || scope == EScope::Entry;
		const std::string excused = is_host ? "start-after-cancel/hosts not in contact" : "start-after-cancel";
		const RequestLedger ledger = CanceledJob();
		TroubleWatch troubles;
		troubles.Begin(scope);
		troubles.Begin(scope);
		troubles.End(scope, cStart);
		EXPECT_EQ(Found(ledger.OnStarted(RunAt(cTooLate), troubles)), excused) << "a second fault is still on";
		troubles.End(scope, cStart + 2);
		EXPECT_EQ(Found(ledger.OnStarted(RunAt(cTooLate), troubles)), excused);
		EXPECT_EQ(Found(ledger.OnStarted(RunAt(cTooLate + 1), troubles)), "start-after-cancel");
	}
}

TEST(RequestLedger, FindsRunsThatAreStillThere)
{
	RequestLedger ledger = CanceledJob();
	EXPECT_EQ(Found(ledger.OnRunning(RunAt(cStart), {}, cStillThere - 1)), "");
	EXPECT_EQ(Found(ledger.OnRunning(RunAt(cStart), {}, cStillThere)), "run-after-cancel");
	EXPECT_EQ(Found(ledger.OnRunning(RunAt(cStart), {}, cStillThere + 10)), "") << "reported once";
	// A late order's run counts from its start
	const Millis bound = cTooLate + RequestLedger::cContactMs + RequestLedger::cStopMs;
	EXPECT_EQ(Found(ledger.OnRunning(RunAt(cTooLate, true), {}, bound)), "");
	EXPECT_EQ(Found(ledger.OnRunning(RunAt(cTooLate, true), {}, bound + 1)), "run-after-cancel");
}

TEST(RequestLedger, AnyFaultExcusesARunUntilItIsCalmAgain)
{
	for (const EScope scope : {EScope::Store, EScope::Entry, EScope::Workers, EScope::Config})
	{
		RequestLedger ledger = CanceledJob();
		TroubleWatch troubles;
		troubles.Begin(scope);
		troubles.End(scope, cStillThere);
		EXPECT_EQ(Found(ledger.OnRunning(RunAt(cStart), troubles, cStillThere)), "run-after-cancel/faults nearby");
		const Millis calm = cStillThere + RequestLedger::cCancelMs + RequestLedger::cStopMs;
		EXPECT_EQ(Found(ledger.OnRunning(RunAt(cStart), troubles, calm)), "");
		EXPECT_EQ(Found(ledger.OnRunning(RunAt(cStart), troubles, calm + 1)), "run-after-cancel");
	}
}

} // namespace Loomreach
