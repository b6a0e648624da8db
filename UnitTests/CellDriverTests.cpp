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

/// A pool of the cell.
std::string PoolOfCell(const JobHostConfig &inConfig)
{
	uint32 number = 0;
	while (CellOf("pool" + std::to_string(number), static_cast<uint32>(inConfig.log_partitions)) != cCell)
		++number;
	return "pool" + std::to_string(number);
}

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
			record.spec.pool = PoolOfCell(this->config);
			record.spec.steps.emplace_back().count = 1;
			call.records.push_back({"", EncodeValue(record), 0});
		}
		this->hub.store.Append(call, [](const AppendAnswer &) {});
		this->hub.store.max_read_records = 20;
		this->hub.store.limited_log = this->Inbox();
		this->hub.store.reads_left = inAnswers;
		this->driver = std::make_unique<CellDriver<TestHub>>(
			this->hub,
			DriverContext{this->config,
						  this->metrics,
						  this->lease,
						  this->owners,
						  {"host", 1, 1},
						  [this](const Order &inOrder, const std::function<void(const OrderAnswer &)> &inDone)
						  {
							  OrderAnswer answer;
							  answer.result = EOrderResult::Done;
							  answer.clock_ms = NowMillis();
							  this->sent.push_back(inOrder);
							  inDone(answer);
						  }},
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
	std::vector<Order> sent; ///< Each is answered at once.
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

/// Guards against a start that leaves seconds after it was decided, sent a second time or held up on its way, although its job's
/// cancellation has been in the inbox for longer than the owner may leave the inbox unread.
TEST(CellDriver, AStartLeavesNoLaterThanTheInboxMayGoUnread)
{
	constexpr Millis cMayGoUnreadMs = 2500;
	TestCellDriver fixture(2);
	fixture.Claim();
	WorkerEntry worker;
	worker.id = "w";
	worker.pool = PoolOfCell(fixture.config);
	worker.address = {"127.0.0.1", 1};
	worker.capacity = {1'000'000, 1'000'000, 0};
	fixture.driver->SetWorkers({worker}, 0);
	FakeLog::RunMainLoopFor(400);
	const auto start =
		std::find_if(fixture.sent.begin(), fixture.sent.end(), [](const Order &inOrder) { return inOrder.kind == EOrder::Start; });
	ASSERT_NE(start, fixture.sent.end());
	EXPECT_LE(start->not_after, NowMillis() + cMayGoUnreadMs);
	// Polls and stops end what was started, so only the ownership limits them
	const auto poll =
		std::find_if(fixture.sent.begin(), fixture.sent.end(), [](const Order &inOrder) { return inOrder.kind == EOrder::Poll; });
	ASSERT_NE(poll, fixture.sent.end());
	EXPECT_EQ(poll->not_after, fixture.lease.Until());
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
