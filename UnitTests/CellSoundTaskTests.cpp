// Guards against giving up a job that could have been done because workers crashed while its task ran there. Each test forces one order of
// events instead of drawing it: which task starts beside which, which worker crashes by chance and when, what becomes of the real cause.
//
// Two crashes by chance alone, each right after a start with no other sign of chance, still give a healthy job up; no test here has them.

#include <Loomreach/Loomreach.h>

#include <UnitTests/CellTroubles.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

/// Long enough for both tasks that start together to be confirmed, short enough for a crash right after the start.
constexpr Millis cCrashMs = 40;
constexpr Millis cBackMs = 500;
constexpr Millis cLongMs = 20000;

/// A simulation in which nothing is left to chance but the network's delays, each worker in a rack of its own.
class ForcedOrder
{
public:
	ForcedOrder(uint64 inSeed, size_t inWorkers) : simulation(inSeed, SimulationFaults{}, inWorkers)
	{
		this->simulation.back_after_ms = cBackMs;
		size_t number = 0;
		for (auto &[id, worker] : this->simulation.Workers())
			worker.rack = "rack" + std::to_string(number++);
		this->simulation.Run(500);
	}

	/// The worker on which a task runs; none if it runs nowhere.
	SimulatedWorker *WorkerOf(const TaskId &inTask)
	{
		for (auto &[id, worker] : this->simulation.Workers())
			for (const auto &[run, work] : worker.running)
				if (!worker.crashed && run.task == inTask)
					return &worker;
		return nullptr;
	}

	/// Runs until a task is at work on a worker. Returns the worker; none if the task does not start.
	SimulatedWorker *AwaitStart(const TaskId &inTask)
	{
		for (int i = 0; i < 3000 && this->WorkerOf(inTask) == nullptr; ++i)
			this->simulation.Run(cSimulationStepMs);
		return this->WorkerOf(inTask);
	}

	/// Runs until a task of the healthy job is at work on one worker with another task. Returns it; none if that does not come about.
	std::optional<TaskId> AwaitStartBeside(const TaskId &inOther)
	{
		for (int i = 0; i < 300; ++i)
		{
			for (const uint32 index : {0u, 1u})
				if (const TaskId task{"sound", 0, 0, index};
					this->WorkerOf(task) != nullptr && this->WorkerOf(task) == this->WorkerOf(inOther))
					return task;
			this->simulation.Run(cSimulationStepMs);
		}
		return std::nullopt;
	}

	/// Waits for a task's start and crashes its worker by chance `inAfterMs` later. Returns whether that took place.
	bool CrashByChance(const TaskId &inTask, Millis inAfterMs, Millis inBackMs = cBackMs)
	{
		if (this->AwaitStart(inTask) == nullptr)
			return false;
		this->simulation.Run(inAfterMs);
		SimulatedWorker *worker = this->WorkerOf(inTask);
		if (worker == nullptr)
			return false;
		this->simulation.Crash(*worker, true, inBackMs);
		return true;
	}

	/// Restores the capacity of all workers.
	void GrowWorkers()
	{
		for (auto &[id, worker] : this->simulation.Workers())
			worker.capacity.cpu_milli = cWorkerCpuMilli;
	}

	/// Submits a job whose runs take long, with one task on each worker that fills it up to `inCpuMilli`.
	void FillWorkers(const std::string &inId, int64 inCpuMilli, uint32 inCount)
	{
		JobSpec filler = MakeJob(inId, 1, inCount, inCpuMilli, cLongMs);
		filler.steps[0].max_per_worker = 1;
		this->simulation.run_ms[inId] = cLongMs;
		this->simulation.Submit(filler);
	}

	/// Runs on to the end. Returns violations and healthy jobs that were given up.
	std::string Finish()
	{
		this->simulation.Run(60000);
		return this->simulation.Violations() + this->simulation.WronglyFailedJobs() + this->simulation.UnfinishedJobs();
	}

	CellSimulation simulation;
};

/// What kind of step a healthy task is in.
enum class ETaskKind : uint8
{
	Plain,
	Gang,
	LongRunning
};

/// A healthy job with one task, or with a gang of two.
JobSpec HealthyJob(ForcedOrder &ioOrder, ETaskKind inKind)
{
	JobSpec job = MakeJob("sound", 1, inKind == ETaskKind::Gang ? 2 : 1, 1000, 800);
	job.steps[0].gang = inKind == ETaskKind::Gang;
	job.steps[0].long_running = inKind == ETaskKind::LongRunning;
	job.steps[0].max_per_worker = 1;
	ioOrder.simulation.run_ms["sound"] = 800;
	return job;
}

const TaskId cHealthyTask{"sound", 0, 0, 0};
const TaskId cCrashingTask{"bad", 0, 0, 0};
constexpr uint64 cSeeds = 10;

/// Runs an order of events for some seeds, which differ in the network's delays, and for some kinds of tasks. The order returns whether it
/// took place as planned.
void CheckOrder(bool (*inOrder)(ForcedOrder &, ETaskKind), size_t inWorkers, const std::vector<ETaskKind> &inKinds)
{
	for (const ETaskKind kind : inKinds)
		for (uint64 seed = 1; seed <= cSeeds; ++seed)
		{
			const std::string run = "seed " + std::to_string(seed) + ", kind " + std::to_string(static_cast<int>(kind));
			ForcedOrder order(seed, inWorkers);
			EXPECT_TRUE(inOrder(order, kind)) << "the order of events did not take place, " << run;
			if (kind == ETaskKind::LongRunning)
			{
				order.simulation.Run(20000);
				EXPECT_EQ(order.simulation.WronglyFailedJobs(), "") << run;
				order.simulation.Cancel("sound");
			}
			EXPECT_EQ(order.Finish(), "") << run;
		}
}

const std::vector<ETaskKind> cAllKinds = {ETaskKind::Plain, ETaskKind::Gang, ETaskKind::LongRunning};

} // namespace

/// A crasher was cleared because another task of its step ran well, and the task beside it was given up for one crash by chance.
TEST(CellSoundTask, StartsBesideTheOneTaskOfItsStepThatCrashes)
{
	CheckOrder(
		[](ForcedOrder &ioOrder, ETaskKind inKind)
		{
			ioOrder.simulation.task_crash_after_ms[cCrashingTask] = cCrashMs;
			ioOrder.simulation.run_ms["bad"] = 3000;
			JobSpec crashing_job = MakeJob("bad", 1, 2, 500, 3000);
			crashing_job.steps[0].max_per_worker = 1;
			ioOrder.simulation.Submit(crashing_job);
			ioOrder.simulation.Submit(HealthyJob(ioOrder, inKind));
			const std::optional<TaskId> beside = ioOrder.AwaitStartBeside(cCrashingTask);
			ioOrder.simulation.Run(200);
			return beside.has_value() && ioOrder.CrashByChance(*beside, cCrashMs);
		},
		8, {ETaskKind::Plain, ETaskKind::LongRunning});
}

/// The crasher's job was cancelled before the crash was counted, so that the task beside it seemed to have been alone.
TEST(CellSoundTask, StartsBesideACrasherThatIsCancelledBeforeTheCrashIsCounted)
{
	CheckOrder(
		[](ForcedOrder &ioOrder, ETaskKind inKind)
		{
			ioOrder.simulation.back_after_ms = 2000;
			ioOrder.simulation.Submit(MakeCrashingJob(ioOrder.simulation, "bad", 1, cCrashMs));
			ioOrder.simulation.Submit(HealthyJob(ioOrder, inKind));
			const std::optional<TaskId> beside = ioOrder.AwaitStartBeside(cCrashingTask);
			ioOrder.simulation.Run(200);
			ioOrder.simulation.Cancel("bad");
			return beside.has_value() && ioOrder.CrashByChance(*beside, cCrashMs);
		},
		8, {ETaskKind::Plain, ETaskKind::LongRunning});
}

/// The crasher's job was given up for another of its tasks before the crash was counted, with the same result.
TEST(CellSoundTask, StartsBesideACrasherThatIsGivenUpBeforeTheCrashIsCounted)
{
	CheckOrder(
		[](ForcedOrder &ioOrder, ETaskKind inKind)
		{
			JobSpec crashing_job = MakeCrashingJob(ioOrder.simulation, "bad", 2, cCrashMs);
			crashing_job.steps[0].max_per_worker = 1;
			ioOrder.simulation.Submit(crashing_job);
			ioOrder.simulation.Submit(HealthyJob(ioOrder, inKind));
			const std::optional<TaskId> beside = ioOrder.AwaitStartBeside(cCrashingTask);
			SimulatedWorker *worker = ioOrder.WorkerOf(cCrashingTask);
			ioOrder.simulation.Run(100);
			if (!beside.has_value() || worker == nullptr || !worker->crashed)
				return false;
			worker->next_incarnation_at = ioOrder.simulation.Now() + 4000;
			ioOrder.simulation.Run(3000);
			const bool given_up = ioOrder.simulation.QueryJob("bad").phase == EJobPhase::Failed;
			return ioOrder.CrashByChance(*beside, cCrashMs) && given_up;
		},
		8, {ETaskKind::Plain, ETaskKind::LongRunning});
}

/// Another worker's crash by chance was forgotten when the owner changed, and two crashes by chance proved the task guilty.
TEST(CellSoundTask, OwnerChangesAfterWorkersCrashedByChance)
{
	CheckOrder(
		[](ForcedOrder &ioOrder, ETaskKind inKind)
		{
			// Only one worker has room for the task
			ioOrder.FillWorkers("filler", 15500, 2);
			ioOrder.simulation.Run(2000);
			SimulatedWorker *filled = ioOrder.WorkerOf({"filler", 0, 0, 0});
			if (filled == nullptr)
				return false;
			ioOrder.simulation.Crash(*filled, true, cBackMs);
			ioOrder.simulation.Run(1500);
			ioOrder.simulation.Submit(HealthyJob(ioOrder, inKind));
			SimulatedWorker *worker = ioOrder.AwaitStart(cHealthyTask);
			if (!ioOrder.CrashByChance(cHealthyTask, cCrashMs))
				return false;
			// The next incarnation has no room for it until the owner has changed
			worker->capacity.cpu_milli = 500;
			ioOrder.simulation.Run(1500);
			ioOrder.simulation.ReplaceOwner();
			ioOrder.GrowWorkers();
			return ioOrder.CrashByChance(cHealthyTask, cCrashMs);
		},
		3, {ETaskKind::Plain, ETaskKind::LongRunning});
}

/// A worker crashed by chance while a task waited for another suspect's trial run, and the task was judged as if none had.
TEST(CellSoundTask, WorkersCrashByChanceWhileItAwaitsAnotherSuspect)
{
	CheckOrder(
		[](ForcedOrder &ioOrder, ETaskKind inKind)
		{
			ioOrder.FillWorkers("filler", 8000, 1);
			ioOrder.simulation.Run(1000);
			// The other suspect is healthy and needs a worker of its own
			const TaskId large_task{"large", 0, 0, 0};
			ioOrder.simulation.run_ms["large"] = 5000;
			ioOrder.simulation.Submit(MakeJob("large", 1, 1, 15000, 5000));
			ioOrder.AwaitStart(large_task);
			ioOrder.simulation.Submit(HealthyJob(ioOrder, inKind));
			SimulatedWorker *worker = ioOrder.AwaitStart(cHealthyTask);
			if (worker == nullptr || worker != ioOrder.WorkerOf(large_task))
				return false;
			ioOrder.simulation.Run(cCrashMs);
			ioOrder.simulation.Crash(*worker, true, cBackMs);
			// Until later, no incarnation has room for it
			worker->capacity.cpu_milli = 8000;
			ioOrder.simulation.Run(100);
			if (!ioOrder.CrashByChance(cHealthyTask, cCrashMs))
				return false;
			ioOrder.simulation.Run(2200);
			SimulatedWorker *filled = ioOrder.WorkerOf({"filler", 0, 0, 0});
			if (filled == nullptr || ioOrder.WorkerOf(cHealthyTask) != nullptr)
				return false;
			ioOrder.simulation.Crash(*filled, true, cBackMs);
			ioOrder.simulation.Run(900);
			ioOrder.GrowWorkers();
			return true;
		},
		2, {ETaskKind::Plain});
}

/// A new owner took the first answer about a run for its start, and a crash by chance seconds into the run for one right after the start.
TEST(CellSoundTask, OwnerChangesJustBeforeAWorkerCrashesByChance)
{
	CheckOrder(
		[](ForcedOrder &ioOrder, ETaskKind inKind)
		{
			ioOrder.simulation.run_ms["sound"] = 5000;
			JobSpec job = HealthyJob(ioOrder, inKind);
			ioOrder.simulation.run_ms["sound"] = 5000;
			ioOrder.simulation.Submit(job);
			if (ioOrder.AwaitStart(cHealthyTask) == nullptr)
				return false;
			ioOrder.simulation.Run(2500);
			ioOrder.simulation.ReplaceOwner();
			return ioOrder.CrashByChance(cHealthyTask, 80) && ioOrder.CrashByChance(cHealthyTask, cCrashMs);
		},
		6, cAllKinds);
}

/// A run had outlived its start by seconds when its worker crashed by chance, and two later crashes by chance proved its task guilty.
TEST(CellSoundTask, OneOfItsRunsHasOutlivedItsStart)
{
	CheckOrder(
		[](ForcedOrder &ioOrder, ETaskKind inKind)
		{
			JobSpec job = HealthyJob(ioOrder, inKind);
			ioOrder.simulation.run_ms["sound"] = 5000;
			ioOrder.simulation.Submit(job);
			return ioOrder.CrashByChance(cHealthyTask, 2500) && ioOrder.CrashByChance(cHealthyTask, cCrashMs) &&
				   ioOrder.CrashByChance(cHealthyTask, cCrashMs);
		},
		6, cAllKinds);
}

/// Another task of its step outlived its start and then crashed by chance: that the program runs well was forgotten.
TEST(CellSoundTask, ATaskOfItsStepHasOutlivedItsStartAndCrashed)
{
	for (uint64 seed = 1; seed <= cSeeds; ++seed)
	{
		ForcedOrder order(seed, 8);
		JobSpec job = MakeJob("sound", 1, 2, 1000, 5000);
		job.steps[0].max_per_worker = 1;
		order.simulation.run_ms["sound"] = 5000;
		order.simulation.Submit(job);
		const TaskId other{"sound", 0, 0, 1};
		ASSERT_TRUE(order.CrashByChance(cHealthyTask, cCrashMs)) << seed;
		// The other one runs for two seconds, and is started again only after the next crash
		SimulatedWorker *worker = order.AwaitStart(other);
		ASSERT_NE(worker, nullptr) << seed;
		SimulatedWorker *first = order.AwaitStart(cHealthyTask);
		ASSERT_NE(first, nullptr) << seed;
		order.simulation.Run(cCrashMs);
		order.simulation.Crash(*worker, true, 4000);
		order.simulation.Run(300);
		if (order.WorkerOf(cHealthyTask) != nullptr)
			order.simulation.Crash(*order.WorkerOf(cHealthyTask), true, 4000);
		EXPECT_EQ(order.Finish(), "") << seed;
	}
}

/// Guards against giving up a task for crashes that proved crashers caused beside it, however many.
TEST(CellSoundTask, IsThereWhenFiveProvedCrashersCrash)
{
	CheckOrder(
		[](ForcedOrder &ioOrder, ETaskKind inKind)
		{
			// No worker is ever empty
			JobSpec filler = MakeJob("filler", 1, 3, 500, 500);
			filler.steps[0].long_running = true;
			filler.steps[0].max_per_worker = 1;
			ioOrder.simulation.Submit(filler);
			ioOrder.simulation.Run(12000);
			JobSpec job = HealthyJob(ioOrder, inKind);
			job.steps[0].estimate_ms = cLongMs;
			ioOrder.simulation.run_ms["sound"] = cLongMs;
			ioOrder.simulation.Submit(job);
			uint32 beside = 0;
			for (int i = 0; i < 5; ++i)
			{
				SimulatedWorker *worker = ioOrder.AwaitStart(cHealthyTask);
				ioOrder.simulation.Run(2000);
				const std::string crasher = "bad" + std::to_string(i);
				ioOrder.simulation.Submit(MakeCrashingJob(ioOrder.simulation, crasher, 1, cCrashMs));
				worker = ioOrder.WorkerOf(cHealthyTask);
				ioOrder.simulation.Run(500);
				beside += worker != nullptr && worker->crashed ? 1 : 0;
				ioOrder.simulation.Run(12000);
			}
			ioOrder.simulation.Cancel("filler");
			return beside >= 5;
		},
		3, {ETaskKind::Plain, ETaskKind::LongRunning});
}

} // namespace Loomreach::Jobs
