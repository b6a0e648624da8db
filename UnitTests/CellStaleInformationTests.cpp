// Guards against acting on stale information: a cell learns more between a decision and its execution, or before a handover.

#include <Loomreach/Loomreach.h>

#include <UnitTests/CellWorld.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

constexpr int64 cWall = 1'700'000'000'000;
constexpr Millis cStepMs = 10;
constexpr Millis cAnswerMs = 5; ///< Delay of an answer.

/// A cell of workers that execute all orders; the test completes the appends.
class ManualAppendSimulation
{
public:
	explicit ManualAppendSimulation(size_t inWorkers)
	{
		this->cell.Begin(1, this->now);
		for (size_t i = 0; i < inWorkers; ++i)
		{
			WorkerEntry worker;
			worker.id = "w" + std::to_string(i);
			worker.pool = "pool";
			worker.address = {"127.0.0.1", static_cast<uint16>(1 + i)};
			worker.capacity = {16000, 32768, 0};
			this->entries.push_back(worker);
		}
		this->cell.SetWorkers(this->entries, this->now);
		this->Step();
	}

	void Submit(JobSpec inJob)
	{
		inJob.accepted_wall_ms = cWall + this->now;
		this->cell.Ingest({EInbox::Submit, std::move(inJob)}, this->offset++, this->now, cWall + this->now);
	}

	void Plan() { this->cell.Plan(this->now, cWall + this->now); }

	/// Sends the due orders and answers them. Counts starts.
	void Send()
	{
		for (const Order &order : this->cell.TakeOrders(this->now))
		{
			this->starts += order.kind == EOrder::Start ? 1 : 0;
			if (order.kind == EOrder::Start)
				this->running[order.worker].push_back({order.task, order.run});
			OrderAnswer answer;
			answer.result = EOrderResult::Done;
			answer.clock_ms = this->now + 5000;
			if (order.kind == EOrder::Poll)
				this->ListRuns(order, answer);
			this->cell.OnAnswer(order, answer, this->now, this->now + cAnswerMs);
		}
		this->now += cStepMs;
	}

	/// Plans, sends and answers once.
	void Step()
	{
		this->Plan();
		this->Send();
	}

	/// Takes unwritten records as an append in flight.
	bool TakeBatch() { return this->cell.HasUnwrittenChanges() && !this->cell.TakeBatch(cWall + this->now).empty(); }

	/// Advances time; appends complete immediately.
	void Run(Millis inMillis)
	{
		for (const Millis end = this->now + inMillis; this->now < end;)
		{
			this->Step();
			if (this->TakeBatch())
				this->cell.OnAppended(this->now);
		}
	}

	Cell cell{CellTuning{}};
	std::vector<WorkerEntry> entries;
	std::map<std::string, std::vector<RunId>> running;
	std::set<std::string> finished; ///< Workers whose runs have ended successfully.
	uint32 starts = 0;
	Millis now = 1000;

private:
	void ListRuns(const Order &inOrder, OrderAnswer &outAnswer)
	{
		uint64 number = 0;
		for (const RunId &run : this->running[inOrder.worker])
			if (!this->finished.contains(inOrder.worker))
				outAnswer.running.push_back({run.task, run.run, "", 50, 0});
			else if (++number > inOrder.acknowledged_end)
				outAnswer.ended.push_back({number, run.task, run.run, ERunEnd::Done, ""});
	}

	uint64 offset = 0;
};

} // namespace

TEST(CellStaleInformation, StartsAllMembersOfAGangOrNone)
{
	// While the log was being written, the worker of one member was chosen for release. That member was dropped; the others were started
	// and waited for it in vain
	ManualAppendSimulation simulation(4);
	simulation.Run(500);
	JobSpec gang = MakeJob("gang", 1, 2, 1000, 300);
	gang.steps[0].gang = true;
	gang.steps[0].max_per_worker = 1;
	simulation.Submit(gang);
	simulation.Plan();
	ASSERT_TRUE(simulation.TakeBatch());
	simulation.cell.Demand("pool", 3, 1500, simulation.now, cWall + simulation.now);
	simulation.cell.OnAppended(simulation.now);
	simulation.Send();
	EXPECT_NE(simulation.starts, 1u);
	// The gang is started later
	simulation.Run(3000);
	EXPECT_GE(simulation.starts, 2u);
}

TEST(CellStaleInformation, HandsOverTheEndsOfAWorkerThatHasLeft)
{
	// A worker listed its run's successful end and left the worker list. It was forgotten, and the owner handed over before the end was in
	// the log
	ManualAppendSimulation simulation(1);
	simulation.Run(500);
	simulation.Submit(MakeJob("a", 1, 1, 1000, 300));
	simulation.Run(500);
	ASSERT_EQ(simulation.starts, 1u);
	simulation.finished.insert("w0");
	for (int i = 0; i < 300 && simulation.cell.Counts().runs > 0; ++i)
		simulation.Step();
	ASSERT_EQ(simulation.cell.Counts().runs, 0u);
	ASSERT_EQ(simulation.cell.Query("queue", "a").phase, EJobPhase::Running);
	simulation.cell.SetWorkers({}, simulation.now);
	simulation.cell.BeginHandOver();
	EXPECT_FALSE(simulation.cell.CanHandOver(simulation.now));
	ASSERT_TRUE(simulation.TakeBatch());
	EXPECT_FALSE(simulation.cell.CanHandOver(simulation.now));
	simulation.cell.OnAppended(simulation.now);
	EXPECT_TRUE(simulation.cell.CanHandOver(simulation.now));
}

} // namespace Loomreach::Jobs
