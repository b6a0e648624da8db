// What the driver of a cell answers about jobs while it still reads the inbox records that were written before its claim.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Entry/CellDriver.h>
#include <Loomreach/State/Codec.h>
#include <UnitTests/FakeLog.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

constexpr Millis cLongLeaseMs = 600'000;
constexpr uint32 cCell = 3;

struct UnresponsiveAdviser
{
	static void Ask(const AdviceRequest &, const std::function<void(const AdviceAnswer &)> &) {}
};

struct TestHub
{
	FakeLog store;
	UnresponsiveAdviser adviser;
};

/// A cell driver whose inbox holds 30 jobs before the cell is claimed.
class TestCellDriver
{
public:
	/// One read of the inbox returns 20 records; only the first `inAnswers` reads are answered.
	explicit TestCellDriver(uint64 inAnswers) : lease(LeaseTuning{}), owners("host", LeaseTuning{})
	{
		const Millis now = NowMillis();
		this->lease.OnAcknowledged(now, cLongLeaseMs, now);
		AppendCall call;
		call.log = this->Inbox();
		for (uint32 i = 0; i < 30; ++i)
		{
			InboxRecord record;
			record.spec.id = "job" + std::to_string(i);
			record.spec.queue = "queue";
			record.spec.pool = "pool";
			record.spec.steps.emplace_back();
			call.records.push_back({"", EncodeValue(record), 0});
		}
		this->hub.store.Append(call, [](const AppendAnswer &) {});
		this->hub.store.max_read_records = 20;
		this->hub.store.limited_log = this->Inbox();
		this->hub.store.reads_left = inAnswers;
		this->driver =
			std::make_unique<CellDriver<TestHub>>(this->hub,
												  DriverContext{this->config,
																this->metrics,
																this->lease,
																this->owners,
																{"host", 1, 1},
																[](const Order &, const std::function<void(const OrderAnswer &)> &) {}},
												  cCell);
	}

	LogName Inbox() const { return InboxLog(cCell, static_cast<uint32>(this->config.log_partitions)); }
	void Claim()
	{
		this->driver->Claim(0, [](bool) {});
		for (int i = 0; i < 40 && !this->driver->IsHeld(); ++i)
			FakeLog::RunMainLoopFor(20);
		FakeLog::RunMainLoopFor(100);
	}
	PeerAnswer Show(const std::string &inJob)
	{
		PeerQuestion question;
		question.kind = EQuestion::Show;
		question.cell = cCell;
		question.queue = "queue";
		question.id = inJob;
		return this->driver->Answer(question);
	}

	TestHub hub;
	JobHostConfig config;
	Metrics metrics;
	OwnLease lease;
	OwnerTable owners;
	std::unique_ptr<CellDriver<TestHub>> driver;
};

} // namespace

TEST(CellDriver, IsNotSureBeforeItHasReadTheWholeInbox)
{
	// While a cell has no owner, more jobs may wait in its inbox than one read returns. Guards against a new owner that reports the others
	// as unknown after its first read, though they were accepted.
	TestCellDriver fixture(1);
	fixture.Claim();
	EXPECT_TRUE(fixture.Show("job5").known);
	const PeerAnswer unread = fixture.Show("job25");
	EXPECT_TRUE(unread.owner);
	EXPECT_FALSE(unread.known);
	EXPECT_FALSE(unread.inbox_current);
}

TEST(CellDriver, IsSureOnceItHasReadAll)
{
	TestCellDriver fixture(2);
	fixture.Claim();
	EXPECT_TRUE(fixture.Show("job25").known);
	EXPECT_TRUE(fixture.Show("never").inbox_current);
	EXPECT_FALSE(fixture.Show("never").known);
}

/// Guards against an owner whose first append of what it has inherited delays its heartbeats until its lease is over.
TEST(CellDriver, AnAppendTakesAFractionOfTheTimeBetweenHeartbeats)
{
	JobHostConfig config;
	const size_t unlimited = CellTuningOf(config).batch_bytes;
	config.link_mbit_per_s = 2.0;
	const size_t narrow = CellTuningOf(config).batch_bytes;
	EXPECT_LT(narrow, unlimited);
	constexpr Millis cHeartbeatsInALease = 4;
	EXPECT_LT(2 * LinkUsage(config.link_mbit_per_s).TransferMs(narrow, 0), config.owner_short_lease_ms / cHeartbeatsInALease);
	config.link_mbit_per_s = 1000.0;
	EXPECT_EQ(CellTuningOf(config).batch_bytes, unlimited);
}

} // namespace Loomreach::Jobs
