// Starts of a cell whose owner's link is too narrow for all that its workers could run.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Invariant.h>
#include <UnitTests/CellTroubles.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

constexpr int64 cWallMs = 1'700'000'000'000;
constexpr size_t cPayloadBytes = 1000;
constexpr size_t cStartBytes = cPayloadBytes + cStartOverheadBytes;
constexpr size_t cWorkers = 10;

/// A cell with idle workers that the test drives by hand.
class IdleCell
{
public:
	explicit IdleCell(const CellTuning &inTuning) : cell(inTuning)
	{
		SetInvariantsAbort(true);
		this->cell.Begin(1, this->now);
		std::vector<WorkerEntry> entries;
		for (size_t i = 0; i < cWorkers; ++i)
		{
			WorkerEntry entry;
			entry.id = "w" + std::to_string(i);
			entry.pool = "pool";
			entry.rack = "r" + std::to_string(i);
			entry.address = {"127.0.0.1", 1};
			entry.capacity = {cWorkerCpuMilli, 32768, 0};
			entries.push_back(entry);
		}
		this->cell.SetWorkers(entries, this->now);
		for (const Order &order : this->cell.TakeOrders(this->now))
			this->AnswerPoll(order);
	}

	void AnswerPoll(const Order &inOrder)
	{
		OrderAnswer answer;
		answer.result = EOrderResult::Done;
		answer.clock_ms = this->now;
		this->cell.OnAnswer(inOrder, answer, this->now, this->now);
	}
	void Submit(const JobSpec &inSpec)
	{
		InboxRecord record;
		record.spec = inSpec;
		record.spec.payload = std::string(cPayloadBytes, 'x');
		record.spec.accepted_wall_ms = cWallMs + this->now;
		this->cell.Ingest(record, this->submitted++, this->now, cWallMs + this->now);
	}
	/// Plans, and writes what was planned to the log.
	void PlanAndWrite()
	{
		this->now += 50;
		this->cell.Plan(this->now, cWallMs + this->now);
		while (this->cell.HasUnwrittenChanges() && !this->cell.TakeBatch(cWallMs + this->now).empty())
			this->cell.OnAppended(this->now);
	}
	/// Tasks whose starts are sent now.
	std::vector<TaskId> Starts(size_t inBytes = std::numeric_limits<size_t>::max())
	{
		std::vector<TaskId> tasks;
		for (const Order &order : this->cell.TakeOrders(this->now, inBytes))
			if (order.kind == EOrder::Start)
				tasks.push_back(order.task);
		return tasks;
	}

	Millis now = 1000;
	Cell cell;
	uint64 submitted = 0;
};

CellTuning NarrowLink()
{
	CellTuning tuning;
	tuning.start_backlog_bytes = 4 * cStartBytes;
	return tuning;
}

} // namespace

/// Guards against a burst of starts that delays the owner's heartbeats until its lease is over.
TEST(CellStartBacklog, StartsBeyondTheLimitFollowInOrder)
{
	IdleCell fixture{CellTuning{}};
	fixture.Submit(MakeJob("job", 1, 9, 1000, 800));
	fixture.PlanAndWrite();
	std::vector<TaskId> sent;
	for (const size_t expected : {4u, 4u, 1u, 0u})
	{
		const std::vector<TaskId> now = fixture.Starts(4 * cStartBytes);
		EXPECT_EQ(now.size(), expected);
		sent.insert(sent.end(), now.begin(), now.end());
	}
	EXPECT_EQ(std::set<TaskId>(sent.begin(), sent.end()).size(), 9u);
	EXPECT_TRUE(std::is_sorted(sent.begin(), sent.end()));
}

/// Guards against a gang of which only some members are started.
TEST(CellStartBacklog, AGangIsNotSplit)
{
	IdleCell fixture{CellTuning{}};
	JobSpec gang = MakeJob("gang", 1, 6, 1000, 800);
	gang.steps[0].gang = true;
	fixture.Submit(gang);
	fixture.PlanAndWrite();
	EXPECT_EQ(fixture.Starts(2 * cStartBytes).size(), 6u);
}

/// Guards against urgent jobs that wait behind everything that was planned before they came, on workers that it has reserved.
TEST(CellStartBacklog, PlanningPausesWhileStartsWait)
{
	IdleCell fixture{NarrowLink()};
	fixture.Submit(MakeJob("job", 1, 40, 1000, 800));
	fixture.PlanAndWrite();
	fixture.PlanAndWrite();
	EXPECT_EQ(fixture.cell.Counts().runs, 4u);
	EXPECT_EQ(fixture.Starts().size(), 4u);
	JobSpec urgent = MakeJob("urgent", 1, 1, 1000, 100);
	fixture.Submit(urgent);
	fixture.PlanAndWrite();
	const std::vector<TaskId> next = fixture.Starts();
	ASSERT_EQ(next.size(), 4u);
	EXPECT_TRUE(std::any_of(next.begin(), next.end(), [](const TaskId &inTask) { return inTask.job == "urgent"; }));
}

/// Guards against a pool that gets no hosts for a burst which its owner's link carries in less than a second: long-running tasks on hosts
/// that are emptied for maintenance wait for room, and the maintenance ends late.
TEST(CellStartBacklog, ABurstDoesNotLimitTheDemand)
{
	IdleCell fixture{NarrowLink()};
	fixture.Submit(MakeJob("job", 1, 40, 1000, 800));
	for (int i = 0; i < 6; ++i)
	{
		fixture.PlanAndWrite();
		EXPECT_GE(fixture.cell.Demand("pool", 0, 0, fixture.now, cWallMs + fixture.now).in_time.cpu_milli, 40'000);
		EXPECT_FALSE(fixture.Starts().empty());
	}
}

/// Guards against a pool that takes hosts from others although its owner cannot start anything on them.
TEST(CellStartBacklog, DemandIsLimitedToWhatTheOwnerCanStart)
{
	IdleCell fixture{NarrowLink()};
	fixture.Submit(MakeJob("job", 1, 40, 1000, 800));
	EXPECT_GE(fixture.cell.Demand("pool", 0, 0, fixture.now, cWallMs + fixture.now).in_time.cpu_milli, 40'000);
	for (Millis waited = 0; waited < 1500; waited += 50)
		fixture.PlanAndWrite();
	const PoolDemand limited = fixture.cell.Demand("pool", 0, 0, fixture.now, cWallMs + fixture.now);
	EXPECT_EQ(limited.in_time.cpu_milli + limited.late.cpu_milli, 4 * 1000);
	// Once the starts have been sent and all is planned, the demand is that of the jobs
	while (!fixture.Starts().empty())
		fixture.PlanAndWrite();
	fixture.now += 1000;
	const PoolDemand whole = fixture.cell.Demand("pool", 0, 0, fixture.now, cWallMs + fixture.now);
	EXPECT_GE(whole.in_time.cpu_milli + whole.late.cpu_milli, 40'000);
}

} // namespace Loomreach::Jobs
