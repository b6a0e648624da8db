// Decisions about an inbox, and the writer that follows them, in virtual time.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Random.h>
#include <Loomreach/Entry/InboxWriter.h>
#include <UnitTests/VirtualTime.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>

namespace Loomreach::Jobs
{

namespace
{

using Writer = InboxWriter<VirtualPartition, VirtualTime>;
const LogName cInbox{"inbox", 0};

/// A writer, its partition, and the outcomes of the records.
struct Inbox
{
	/// Appends a record and notes its outcome under a number.
	void Append(Millis inTimeoutMs, size_t inBytes = 100, EInboxPriority inPriority = EInboxPriority::Bulk)
	{
		const size_t number = this->outcomes.size();
		this->outcomes.emplace_back();
		this->writer.Append(
			std::string(inBytes, 'r'), inTimeoutMs,
			[this, number, from = this->time.Now()](const AppendAnswer &inAnswer)
			{
				EXPECT_FALSE(this->outcomes[number].has_value()) << "two outcomes of one record";
				this->outcomes[number] = inAnswer.result;
				if (inAnswer.result == EAppend::Done)
					this->waits.push_back(this->time.Now() - from);
			},
			inPriority);
	}
	size_t Number(std::optional<EAppend> inOutcome) const
	{
		return static_cast<size_t>(std::count(this->outcomes.begin(), this->outcomes.end(), inOutcome));
	}

	VirtualTime time;
	VirtualPartition log{time};
	Writer writer{log, cInbox, InboxLoad(), time};
	std::vector<std::optional<EAppend>> outcomes;
	std::vector<Millis> waits; ///< Of the records that were appended.
};

/// Evenly distributed in [0, 1).
double Unit(Random &ioRandom)
{
	constexpr uint64 cSteps = 1'000'000;
	return static_cast<double>(ioRandom.Below(cSteps)) / static_cast<double>(cSteps);
}

/// Arrivals with random gaps of this mean for a duration.
void Arrive(Inbox &ioInbox, Random &ioRandom, double inPerMs, Millis inMillis, size_t inMaxBytes, Millis inTimeoutMs)
{
	const Millis from = ioInbox.time.Now();
	double next = 0.0;
	while (next < static_cast<double>(inMillis))
	{
		ioInbox.time.RunFor(from + static_cast<Millis>(next) - ioInbox.time.Now());
		ioInbox.Append(inTimeoutMs, 1 + ioRandom.Below(inMaxBytes));
		next += -std::log(1.0 - Unit(ioRandom)) / inPerMs;
	}
	ioInbox.time.RunFor(from + inMillis - ioInbox.time.Now());
}

} // namespace

/// Guards against a writer that fills the queue of a slow store with its own calls.
RC_GTEST_PROP(InboxWriter, RecordsOfAnyRateThatFitsIntoFullCallsAreAppendedInTime, (uint64 inSeed))
{
	Random random(inSeed);
	Inbox inbox;
	inbox.log.append_ms = 4 + static_cast<Millis>(random.Below(247));
	const size_t max_bytes = size_t{1} << (6 + random.Below(7));
	// Full calls by their records or by their bytes, and what the partition carries in the time of a call
	const double bytes = static_cast<double>(max_bytes) / 2.0;
	const double full = std::min(static_cast<double>(InboxLoad::cMaxRecords), static_cast<double>(InboxLoad::cMaxBytes) / bytes);
	const double call_ms = static_cast<double>(inbox.log.append_ms) + full * bytes / static_cast<double>(VirtualPartition::cBytesPerMs);
	const double per_ms = full / call_ms * (0.002 + 0.978 * Unit(random));
	const auto duration = static_cast<Millis>(std::clamp(20'000.0 / per_ms, 12.0 * call_ms, 8000.0));
	Arrive(inbox, random, per_ms, duration, max_bytes, 3000);
	inbox.time.RunFor(4000);
	RC_ASSERT(inbox.Number(EAppend::Done) == inbox.outcomes.size());
	std::sort(inbox.waits.begin(), inbox.waits.end());
	const Millis late = inbox.waits[inbox.waits.size() * 99 / 100];
	RC_LOG() << "append " << inbox.log.append_ms << " ms, call " << call_ms << " ms, " << per_ms << " records/ms, up to " << max_bytes
			 << " bytes, p99 " << late << " ms";
	RC_ASSERT(late <= 4 * inbox.log.append_ms + 200);
	RC_ASSERT(inbox.log.max_in_flight <= InboxLoad::cMaxInFlight);
}

/// Guards against calls that are queued at a store that has become slow before the first answer tells so.
TEST(InboxWriter, AStoreThatBecomesSlowGetsFewCallsBeforeThisIsKnown)
{
	Inbox inbox;
	Random random(1);
	Arrive(inbox, random, 0.3, 3000, 300, 2000);
	inbox.log.append_ms *= 28;
	const size_t calls = inbox.log.calls;
	const size_t answers = inbox.log.answers;
	while (inbox.log.answers <= answers + 1)
		Arrive(inbox, random, 0.3, 1, 300, 2000);
	EXPECT_LE(inbox.log.calls - calls, 5u);
	Arrive(inbox, random, 0.3, 5000, 300, 2000);
	inbox.time.RunFor(3000);
	EXPECT_EQ(inbox.Number(EAppend::Done), inbox.outcomes.size());
	// One call at a time from then on
	EXPECT_LE(inbox.log.calls - calls, 5u + 5000 / 112 + 27);
}

/// Guards against callers that learn nothing certain although the store said that it did not append.
TEST(InboxWriter, RefusedRecordsAreSentAgainUntilTheirDeadline)
{
	Inbox inbox;
	inbox.log.refuse_until = inbox.time.Now() + 1000;
	for (int i = 0; i < 10; ++i)
		inbox.Append(i < 5 ? 600 : 1500);
	inbox.time.RunFor(500);
	EXPECT_LE(inbox.log.calls, 6u) << "one call in 100 ms";
	EXPECT_EQ(inbox.Number(std::nullopt), 10u);
	inbox.time.RunFor(2000);
	EXPECT_EQ(inbox.Number(EAppend::Refused), 5u);
	EXPECT_EQ(inbox.Number(EAppend::Done), 5u);
	EXPECT_EQ(inbox.log.records, 5u);
}

/// Guards against cancellations that wait behind thousands of submissions.
TEST(InboxWriter, ControlRecordsGoFirst)
{
	Inbox inbox;
	inbox.log.append_ms = 100;
	for (int i = 0; i < 2000; ++i)
		inbox.Append(3000);
	inbox.Append(3000, 7, EInboxPriority::Control);
	inbox.time.RunFor(41);
	ASSERT_EQ(inbox.log.sent.size(), 2u);
	EXPECT_EQ(inbox.log.sent[1].records.front().value.size(), 7u);
	inbox.time.RunFor(3000);
	EXPECT_EQ(inbox.Number(EAppend::Done), 2001u);
}

/// Guards against a caller who is told that its job was not accepted while the append is still in the store's queue.
TEST(InboxWriter, ARecordInAnUnansweredCallIsNeverRefused)
{
	Inbox inbox;
	inbox.log.refuse_until = inbox.time.Now() + 50;
	inbox.Append(900);
	// Refused first; the call that carries it then has no answer in time
	inbox.time.RunFor(60);
	inbox.log.mute_until = inbox.time.Now() + 1900;
	inbox.time.RunFor(3000);
	EXPECT_EQ(inbox.outcomes[0], EAppend::Unknown);
	EXPECT_EQ(inbox.log.records, 1u);
	EXPECT_EQ(inbox.writer.Figures().abandoned, 1u);
}

/// Guards against a caller who waits beyond its deadline because other records of the same call can wait longer.
TEST(InboxWriter, ARecordInALongCallEndsAtItsOwnDeadline)
{
	Inbox inbox;
	inbox.log.append_ms = 400;
	inbox.Append(3000);
	inbox.time.RunFor(500);
	inbox.log.mute_until = inbox.time.Now() + 1200;
	inbox.Append(3000);
	inbox.Append(1000);
	inbox.Append(3000);
	// The last two share a call from 800 ms on, which is answered after 2000 ms
	inbox.time.RunFor(1590);
	EXPECT_EQ(inbox.outcomes, (std::vector<std::optional<EAppend>>{EAppend::Done, std::nullopt, EAppend::Unknown, std::nullopt}));
	inbox.time.RunFor(500);
	EXPECT_EQ(inbox.outcomes, (std::vector<std::optional<EAppend>>{EAppend::Done, EAppend::Done, EAppend::Unknown, EAppend::Done}));
	EXPECT_EQ(inbox.writer.Figures().done_late, 1u);
}

/// Guards against an outage that holds up records after its end, and against outcomes that are wrong.
TEST(InboxWriter, AStoreThatComesBackIsUsedAgain)
{
	for (const bool loses : {false, true})
	{
		Inbox inbox;
		Random random(2);
		Arrive(inbox, random, 0.1, 1000, 300, 1500);
		const size_t before = inbox.outcomes.size();
		(loses ? inbox.log.lose_until : inbox.log.mute_until) = inbox.time.Now() + 5000;
		Arrive(inbox, random, 0.1, 5000, 300, 1500);
		const size_t back = inbox.outcomes.size();
		Arrive(inbox, random, 0.1, 4000, 300, 1500);
		inbox.time.RunFor(4000);
		EXPECT_EQ(inbox.Number(std::nullopt), 0u);
		EXPECT_EQ(std::count(inbox.outcomes.begin(), inbox.outcomes.begin() + static_cast<int64>(before), EAppend::Done), before);
		const auto after = std::count(inbox.outcomes.begin() + static_cast<int64>(back), inbox.outcomes.end(), EAppend::Done);
		EXPECT_GT(static_cast<double>(after), 0.95 * static_cast<double>(inbox.outcomes.size() - back)) << "loses=" << loses;
		EXPECT_TRUE(inbox.writer.IsQuick());
		EXPECT_LE(inbox.log.max_in_flight, InboxLoad::cMaxInFlight);
	}
}

/// Guards against a record that is given to another host although a call of this one has carried it.
TEST(InboxWriter, OnlyRecordsThatNoCallHasCarriedAreTakenBack)
{
	Inbox inbox;
	inbox.log.refuse_until = inbox.time.Now() + 10;
	inbox.Append(900);
	inbox.time.RunFor(5);
	inbox.Append(900);
	inbox.Append(900, 7, EInboxPriority::Control);
	const std::vector<UnsentRecord> unsent = inbox.writer.TakeUnsent();
	ASSERT_EQ(unsent.size(), 2u);
	EXPECT_EQ(unsent[0].priority, EInboxPriority::Control);
	EXPECT_EQ(unsent[1].left_ms, 900);
	inbox.time.RunFor(1000);
	EXPECT_EQ(inbox.outcomes, (std::vector<std::optional<EAppend>>{EAppend::Done, std::nullopt, std::nullopt}));
	EXPECT_EQ(inbox.writer.Figures().waiting, 0u);
}

/// Guards against hosts that go back to their own appends while the partition would be overloaded by them.
TEST(InboxLoad, QuickMeansFastCallsAndFewRecords)
{
	Millis now = 1'000'000;
	InboxLoad load(4);
	const auto call = [&](Millis inTook, EAppend inResult = EAppend::Done)
	{
		const uint64 number = load.OnSent(100, now);
		now += inTook;
		load.OnEnded(number, inResult, now);
	};
	EXPECT_TRUE(load.IsQuick(now));
	call(112);
	for (int i = 0; i < 2; ++i)
	{
		call(4);
		EXPECT_FALSE(load.IsQuick(now)) << "too few fast calls since the slow one";
	}
	for (int i = 0; i < 10; ++i)
		call(4);
	EXPECT_TRUE(load.IsQuick(now));
	for (int i = 0; i < 200; ++i)
		load.OnArrived(100, now);
	EXPECT_FALSE(load.IsQuick(now)) << "200 records in a second of 4 ms each occupy the partition for 0.8 s";
	load.OnTaken(200, 20'000);
	now += 2000;
	EXPECT_TRUE(load.IsQuick(now));
	const uint64 number = load.OnSent(100, now);
	EXPECT_FALSE(load.IsQuick(now + 20)) << "an unanswered call is slow already";
	load.OnEnded(number, EAppend::Refused, now + 1);
	EXPECT_FALSE(load.IsQuick(now + 1));
}

/// Guards against calls that follow each other as if the unanswered ones had been lost.
TEST(InboxLoad, UnansweredCallsDelayTheNextOne)
{
	const Millis start = 1'000'000;
	InboxLoad load(4);
	load.OnEnded(load.OnSent(100, start - 4), EAppend::Done, start);
	EXPECT_LE(load.NextCallAt(), start) << "nothing is in flight";
	const uint64 first = load.OnSent(100, start);
	EXPECT_EQ(load.NextCallAt(), start + 40);
	load.OnSent(100, start + 40);
	EXPECT_EQ(load.NextCallAt(), start + 40 + Millis{4} * 40) << "the first has been unanswered for 40 ms";
	load.OnSent(100, start + 200);
	EXPECT_EQ(load.NextCallAt(), std::nullopt) << "three are in flight";
	load.OnEnded(first, EAppend::Done, start + 300);
	EXPECT_EQ(load.NextCallAt(), start + 200 + Millis{4} * 300);
	EXPECT_EQ(load.CallTimeout(10'000, start + 300), 4 * 300);
	EXPECT_EQ(load.CallTimeout(300, start + 300), 300);
}

/// Guards against an estimate so far off that records are refused which would be in time, or the reverse.
RC_GTEST_PROP(InboxWriter, TheExpectedWaitIsAboutTheWait, (uint64 inSeed))
{
	Random random(inSeed);
	Inbox inbox;
	inbox.log.append_ms = 4 + static_cast<Millis>(random.Below(247));
	const double per_ms = 500.0 / static_cast<double>(inbox.log.append_ms) * 0.7 * Unit(random) + 0.001;
	Arrive(inbox, random, std::min(per_ms, 5.0), 3000, 200, 3000);
	const size_t burst = random.Below(3000);
	for (size_t i = 0; i < burst; ++i)
		inbox.Append(20'000, 100);
	const Millis expected = inbox.writer.ExpectedWaitMs(100);
	inbox.waits.clear();
	inbox.Append(20'000);
	while (inbox.outcomes.back() != EAppend::Done)
		inbox.time.RunFor(1);
	const Millis wait = inbox.waits.back();
	RC_LOG() << "append " << inbox.log.append_ms << " ms, burst " << burst << ", expected " << expected << ", was " << wait;
	RC_ASSERT(expected <= 2 * wait + 2 * inbox.log.append_ms + 50);
	RC_ASSERT(wait <= 2 * expected + 2 * inbox.log.append_ms + 50);
}

/// Guards against a backlog that no log line tells of, and against a line for each call.
TEST(InboxLoad, ABacklogIsReportedOnceASecond)
{
	InboxLoad load(4);
	const Millis start = 1'000'000;
	load.OnArrived(100, start);
	load.OnTaken(1, 100);
	const uint64 number = load.OnSent(100, start);
	EXPECT_FALSE(load.TakeReportDue(start + 10));
	size_t lines = 0;
	for (Millis now = start; now < start + 3000; now += 50)
		lines += load.TakeReportDue(now) ? 1 : 0;
	EXPECT_EQ(lines, 3u);
	load.OnEnded(number, EAppend::Unknown, start + 3500);
	EXPECT_TRUE(load.TakeReportDue(start + 4100)) << "an abandoned call is told of";
	EXPECT_FALSE(load.TakeReportDue(start + 9000));
}

} // namespace Loomreach::Jobs
