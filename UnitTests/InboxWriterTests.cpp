// Appends of callers' records to an inbox.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Entry/InboxWriter.h>
#include <UnitTests/FakeLog.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

/// A log whose partition handles its appends one after the other, 4 ms each, as the store does. An append that times out before its turn is
/// carried out nevertheless.
class SequentialLog
{
public:
	void Append(const AppendCall &inCall, const std::function<void(const AppendAnswer &)> &inDone)
	{
		++this->calls;
		const Millis now = NowMillis();
		this->free_at = std::max(this->free_at, now) + cAppendMs;
		const Millis wait = this->free_at - now;
		AppendAnswer answer;
		if (wait <= inCall.timeout_ms)
			answer.result = EAppend::Done;
		this->records += inCall.records.size();
		After(std::min(wait, inCall.timeout_ms), [answer, inDone] { inDone(answer); });
	}

	static constexpr Millis cAppendMs = 4;
	size_t calls = 0;
	size_t records = 0;
	Millis free_at = 0;
};

const LogName cInbox{"inbox", 0};

} // namespace

TEST(InboxWriter, ManyAtOnceShareCalls)
{
	// With one append per record, 400 callers per second exceed what a partition can handle. Callers that time out repeat their calls, so
	// that the queue never drains: 1,122 callers got no certain answer in the 8 s after an outage.
	SequentialLog log;
	InboxWriter<SequentialLog> writer(log, cInbox);
	size_t done = 0;
	size_t other = 0;
	for (int i = 0; i < 1000; ++i)
		writer.Append("record", 700, [&](const AppendAnswer &inAnswer) { ++(inAnswer.result == EAppend::Done ? done : other); });
	FakeLog::RunMainLoopFor(400);
	EXPECT_EQ(done, 1000u);
	EXPECT_EQ(other, 0u);
	EXPECT_EQ(log.records, 1000u);
	EXPECT_LT(log.calls, 10u);
}

TEST(InboxWriter, ASingleRecordIsSentAtOnce)
{
	SequentialLog log;
	InboxWriter<SequentialLog> writer(log, cInbox);
	writer.Append("record", 700, [](const AppendAnswer &) {});
	EXPECT_EQ(log.calls, 1u);
}

TEST(InboxWriter, EachRecordGetsItsOwnOffset)
{
	FakeLog log;
	InboxWriter<FakeLog> writer(log, cInbox);
	std::vector<uint64> offsets;
	for (int i = 0; i < 4; ++i)
		writer.Append("record" + std::to_string(i), 700, [&](const AppendAnswer &inAnswer) { offsets.push_back(inAnswer.offset); });
	FakeLog::RunMainLoopFor(200);
	EXPECT_EQ(offsets, (std::vector<uint64>{0, 1, 2, 3}));
	EXPECT_EQ(log.Size(cInbox), 4u);
}

/// Guards against a batch that waits for the answer to an earlier one until its callers time out.
TEST(InboxWriter, ALostAnswerHoldsUpNobodyElse)
{
	/// Never answers its first call.
	struct MuteOnce
	{
		void Append(const AppendCall &, const std::function<void(const AppendAnswer &)> &inDone)
		{
			AppendAnswer answer;
			answer.result = EAppend::Done;
			if (++this->calls > 1)
				After(1, [answer, inDone] { inDone(answer); });
		}
		size_t calls = 0;
	} log;
	InboxWriter<MuteOnce> writer(log, cInbox);
	bool second = false;
	writer.Append("first", 700, [](const AppendAnswer &) {});
	writer.Append("second", 700, [&](const AppendAnswer &inAnswer) { second = inAnswer.result == EAppend::Done; });
	FakeLog::RunMainLoopFor(300);
	EXPECT_TRUE(second);
}

/// Its caller may be told for certain that the job was not accepted.
TEST(InboxWriter, ARecordThatWasNeverSentIsRefusedNotUnknown)
{
	/// Answers nothing within the test's time.
	struct Mute
	{
		void Append(const AppendCall &, const std::function<void(const AppendAnswer &)> &inDone) { this->open.push_back(inDone); }
		std::vector<std::function<void(const AppendAnswer &)>> open;
	} log;
	InboxWriter<Mute> writer(log, cInbox);
	std::optional<EAppend> second;
	writer.Append("first", 700, [](const AppendAnswer &) {});
	writer.Append("second", 1, [&](const AppendAnswer &inAnswer) { second = inAnswer.result; });
	FakeLog::RunMainLoopFor(200);
	EXPECT_EQ(second, EAppend::Refused);
	EXPECT_EQ(log.open.size(), 1u);
}

/// Guards against a record that waits for its whole time while the store turns only this host away.
TEST(InboxWriter, ARefusalIsReportedAtOnceIfItIsNotToBeRepeated)
{
	/// Refuses every call.
	struct Refusing
	{
		void Append(const AppendCall &, const std::function<void(const AppendAnswer &)> &inDone)
		{
			AppendAnswer answer;
			answer.result = EAppend::Refused;
			After(1, [answer, inDone] { inDone(answer); });
		}
	} log;
	InboxWriter<Refusing> writer(log, cInbox);
	std::optional<EAppend> at_once;
	std::optional<EAppend> repeated;
	writer.Append(
		"record", 5000, [&](const AppendAnswer &inAnswer) { at_once = inAnswer.result; }, EInboxPriority::Bulk, 0);
	writer.Append(
		"record", 5000, [&](const AppendAnswer &inAnswer) { repeated = inAnswer.result; }, EInboxPriority::Bulk, 4000);
	FakeLog::RunMainLoopFor(200);
	EXPECT_EQ(at_once, EAppend::Refused);
	EXPECT_FALSE(repeated.has_value());
}

} // namespace Loomreach::Jobs
