// Limits on how many long-running tasks may be missing: cases in which the test decides the outcome of each order.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Invariant.h>
#include <Loomreach/Schedule/Cell.h>
#include <Loomreach/Schedule/TaskText.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

constexpr Millis cStepMs = 10;
constexpr Millis cTimeoutMs = 1000; ///< An order without an answer times out after this.
constexpr Millis cListEveryMs = 400;
constexpr int64 cWallClockOffsetMs = 1'700'000'000'000;
constexpr Millis cWorkerClockOffsetMs = 5000; ///< Offset of the workers' clocks.

/// Outcome of an order.
enum class EOrderOutcome : uint8
{
	Answered, ///< Executed and answered.
	Withheld  ///< Not answered; executed if and when the test says so.
};

/// A cell of workers with one job of long-running tasks. The test decides the outcome of each order.
class ScriptedSimulation
{
public:
	explicit ScriptedSimulation(size_t inWorkers)
	{
		SetInvariantsAbort(true);
		for (size_t i = 0; i < inWorkers; ++i)
			this->running["w" + std::to_string(i)];
		this->cell.Begin(1, this->now);
	}

	void Submit(uint32 inCount, uint32 inMaxUnavailable)
	{
		InboxRecord record;
		this->max_unavailable = inMaxUnavailable;
		record.spec.id = "lasting";
		record.spec.queue = "queue";
		record.spec.pool = "pool";
		record.spec.accepted_wall_ms = cWallClockOffsetMs + this->now;
		StepSpec step;
		step.count = inCount;
		step.requested = {1500, 512, 0};
		step.long_running = true;
		step.max_per_worker = 1;
		step.limits_unavailable = true;
		step.max_unavailable = inMaxUnavailable;
		record.spec.steps.push_back(step);
		this->count = inCount;
		this->cell.Ingest(record, 0, this->now, cWallClockOffsetMs + this->now);
	}

	void Run(Millis inMillis)
	{
		for (const Millis end = this->now + inMillis; this->now < end;)
			this->Step();
	}

	/// Executes the withheld orders that the test selects.
	void ExecuteWithheld(const std::function<bool(const Order &)> &inChosen)
	{
		for (const Order &order : this->withheld)
			if (inChosen(order))
				this->Execute(order);
		std::erase_if(this->withheld, inChosen);
	}

	/// The worker on which a task runs; empty: none.
	std::string WorkerOf(uint32 inTask) const
	{
		for (const auto &[worker, runs] : this->running)
			for (const RunId &id : runs)
				if (id.task.index == inTask && !this->unresponsive.contains(worker))
					return worker;
		return "";
	}

	/// Number of tasks that run.
	uint32 RunningTasks() const
	{
		uint32 at_work = 0;
		for (uint32 i = 0; i < this->count; ++i)
			at_work += this->WorkerOf(i).empty() ? 0 : 1;
		return at_work;
	}

	std::function<EOrderOutcome(const Order &)> decide_outcome = [](const Order &) { return EOrderOutcome::Answered; };
	std::set<std::string> unresponsive; ///< Workers that get no orders; a task there does not count as running.
	std::string violations;             ///< Stops that the limit forbade.
	Cell cell{CellTuning{}};
	Millis now = 1000;

private:
	/// An order in flight.
	struct PendingMessage
	{
		Millis at = 0;
		Millis sent_at = 0;
		Order order;
		bool no_answer = false;
	};

	void Step()
	{
		this->now += cStepMs;
		if (this->now % cListEveryMs == 0 || this->now == 1000 + cStepMs)
			this->UpdateWorkerList();
		std::vector<PendingMessage> due;
		std::copy_if(this->messages.begin(), this->messages.end(), std::back_inserter(due),
					 [this](const PendingMessage &inMessage) { return inMessage.at <= this->now; });
		std::erase_if(this->messages, [this](const PendingMessage &inMessage) { return inMessage.at <= this->now; });
		for (const PendingMessage &message : due)
		{
			OrderAnswer answer;
			if (!message.no_answer && !this->unresponsive.contains(message.order.worker))
				answer = this->Execute(message.order);
			this->cell.OnAnswer(message.order, answer, message.sent_at, this->now);
		}
		this->cell.Plan(this->now, cWallClockOffsetMs + this->now);
		this->Send();
		if (this->cell.HasUnwrittenChanges() && !this->cell.TakeBatch(cWallClockOffsetMs + this->now).empty())
			this->cell.OnAppended(this->now);
	}

	void Send()
	{
		for (const Order &order : this->cell.TakeOrders(this->now))
		{
			PendingMessage message;
			message.order = order;
			message.sent_at = this->now;
			message.no_answer = this->unresponsive.contains(order.worker) || this->decide_outcome(order) == EOrderOutcome::Withheld;
			message.at = this->now + cStepMs + order.wait_ms + (message.no_answer ? cTimeoutMs : 0);
			if (message.no_answer)
				this->withheld.push_back(order);
			this->messages.push_back(std::move(message));
		}
	}

	void UpdateWorkerList()
	{
		std::vector<WorkerEntry> entries;
		for (const auto &[id, runs] : this->running)
		{
			WorkerEntry entry;
			entry.id = id;
			entry.pool = "pool";
			entry.rack = "r";
			entry.address = {"127.0.0.1", 1};
			entry.capacity = {16000, 32768, 0};
			entries.push_back(entry);
		}
		this->cell.SetWorkers(entries, this->now);
	}

	OrderAnswer Execute(const Order &inOrder)
	{
		OrderAnswer answer;
		answer.result = EOrderResult::Done;
		answer.clock_ms = this->now + cWorkerClockOffsetMs;
		std::set<RunId> &runs = this->running[inOrder.worker];
		const RunId id{inOrder.task, inOrder.run};
		uint32 &over = this->highest_ended_run[{inOrder.worker, inOrder.task}];
		switch (inOrder.kind)
		{
		case EOrder::Start:
			if (inOrder.run <= over)
				answer.result = EOrderResult::StaleRun;
			else if (inOrder.until_ms <= answer.clock_ms)
				answer.result = EOrderResult::TooLate;
			else
				runs.insert(id);
			break;
		case EOrder::Stop:
			over = std::max(over, inOrder.run);
			if (!runs.contains(id))
				break;
			this->CheckStop(inOrder);
			runs.erase(id);
			this->ended[inOrder.worker].push_back(
				{this->ended[inOrder.worker].size() + 1, inOrder.task, inOrder.run, ERunEnd::Stopped, ""});
			break;
		case EOrder::Poll:
			for (const RunId &run : runs)
				answer.running.push_back({run.task, run.run, "", 100, 0});
			for (const EndedRun &row : this->ended[inOrder.worker])
				if (row.sequence > inOrder.acknowledged_end)
					answer.ended.push_back(row);
			break;
		case EOrder::Throttle: break;
		}
		return answer;
	}

	void CheckStop(const Order &inOrder)
	{
		const uint32 others = this->count - this->RunningTasks();
		if (others >= this->max_unavailable)
			this->violations += "at " + std::to_string(this->now) + ": " + TaskText(inOrder.task) + " is stopped while " +
								std::to_string(others) + " others are missing\n";
	}

	std::map<std::string, std::set<RunId>> running;
	std::map<std::string, std::vector<EndedRun>> ended;
	std::map<std::pair<std::string, TaskId>, uint32> highest_ended_run;
	std::vector<PendingMessage> messages;
	std::vector<Order> withheld;
	uint32 count = 0;
	uint32 max_unavailable = 0;
};

} // namespace

TEST(CellDrains, AStartThatCameLateIsNotStoppedWhileOthersAreAway)
{
	// Starts without an answer were stopped in case they arrived later. The stops got no answer either, the starts arrived, and the
	// repeated stops ended running tasks while others of their step were missing
	ScriptedSimulation simulation(6);
	const Millis stops_lost_until = simulation.now + 2300;
	simulation.decide_outcome = [&simulation, stops_lost_until](const Order &inOrder)
	{
		const bool late_start = inOrder.kind == EOrder::Start && inOrder.task.index < 2 && inOrder.run == 1;
		const bool lost_stop = inOrder.kind == EOrder::Stop && simulation.now < stops_lost_until;
		return late_start || lost_stop ? EOrderOutcome::Withheld : EOrderOutcome::Answered;
	};
	simulation.Submit(3, 1);
	simulation.Run(2000);
	ASSERT_EQ(simulation.RunningTasks(), 1u);
	simulation.ExecuteWithheld([](const Order &inOrder) { return inOrder.kind == EOrder::Start && inOrder.task.index == 0; });
	const std::string began_on = simulation.WorkerOf(0);
	ASSERT_NE(began_on, "");
	simulation.Run(6000);
	EXPECT_EQ(simulation.violations, "");
	EXPECT_EQ(simulation.WorkerOf(0), began_on);
	EXPECT_EQ(simulation.RunningTasks(), 3u);
}

TEST(CellDrains, RestartsATaskWhoseStartNeverArrived)
{
	// Once its lease is over the start can no longer take effect: the task is restarted within a second
	ScriptedSimulation simulation(6);
	simulation.decide_outcome = [](const Order &inOrder)
	{
		return inOrder.kind == EOrder::Start && inOrder.task.index == 0 && inOrder.run == 1 ? EOrderOutcome::Withheld
																							: EOrderOutcome::Answered;
	};
	simulation.Submit(3, 1);
	simulation.Run(5500);
	EXPECT_EQ(simulation.RunningTasks(), 3u);
	EXPECT_EQ(simulation.violations, "");
}

TEST(CellDrains, AStopIsDecidedAnewEachTimeItIsSent)
{
	// The stop of a task on a drained worker got no answer, and was repeated though another task had become missing in the meantime
	ScriptedSimulation simulation(8);
	simulation.Submit(3, 1);
	simulation.Run(3000);
	ASSERT_EQ(simulation.RunningTasks(), 3u);
	const std::string drained_worker = simulation.WorkerOf(0);
	bool stop_seen = false;
	simulation.decide_outcome = [&stop_seen](const Order &inOrder)
	{
		const bool first = inOrder.kind == EOrder::Stop && !stop_seen;
		stop_seen = stop_seen || first;
		return first ? EOrderOutcome::Withheld : EOrderOutcome::Answered;
	};
	for (int i = 0; i < 30 && !stop_seen; ++i)
	{
		simulation.cell.DrainWorker(drained_worker, 1500, simulation.now);
		simulation.Run(100);
	}
	ASSERT_TRUE(stop_seen);
	simulation.unresponsive.insert(simulation.WorkerOf(1));
	for (int i = 0; i < 30; ++i)
	{
		simulation.cell.DrainWorker(drained_worker, 1500, simulation.now);
		simulation.Run(100);
	}
	EXPECT_EQ(simulation.violations, "");
	EXPECT_EQ(simulation.WorkerOf(0), drained_worker);
	// The other task is restarted elsewhere once its lease is over; then this one may be stopped
	for (int i = 0; i < 60; ++i)
	{
		simulation.cell.DrainWorker(drained_worker, 1500, simulation.now);
		simulation.Run(100);
	}
	EXPECT_EQ(simulation.violations, "");
	EXPECT_NE(simulation.WorkerOf(0), drained_worker);
	EXPECT_EQ(simulation.RunningTasks(), 3u);
}

TEST(CellDrains, HeldBackStopsDoNotHoldEachOtherBack)
{
	// Two stops got no answer and a third task was lost for good: each of the two stops waited forever for the other
	ScriptedSimulation simulation(4);
	simulation.Submit(4, 2);
	simulation.Run(3000);
	ASSERT_EQ(simulation.RunningTasks(), 4u);
	const std::set<std::string> drained_workers = {simulation.WorkerOf(0), simulation.WorkerOf(1)};
	uint32 lost = 0;
	simulation.decide_outcome = [&lost](const Order &inOrder)
	{
		const bool loses = inOrder.kind == EOrder::Stop && lost < 2;
		lost += loses ? 1 : 0;
		return loses ? EOrderOutcome::Withheld : EOrderOutcome::Answered;
	};
	const auto empty = [&](int inTimes)
	{
		for (int i = 0; i < inTimes && simulation.RunningTasks() > 2; ++i)
		{
			for (const std::string &worker : drained_workers)
				simulation.cell.DrainWorker(worker, 1500, simulation.now);
			simulation.Run(100);
		}
	};
	for (int i = 0; i < 30 && lost < 2; ++i)
		empty(1);
	ASSERT_EQ(lost, 2u);
	simulation.unresponsive.insert(simulation.WorkerOf(2));
	empty(300);
	EXPECT_EQ(simulation.violations, "");
	// One of them may be stopped while the third is missing
	EXPECT_EQ(simulation.RunningTasks(), 2u);
}

} // namespace Loomreach::Jobs
