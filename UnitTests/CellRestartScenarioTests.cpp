// Restarts under the same id, a cut, the loss of the owner, late orders and a store outage meet on the same workers. A simulation that
// draws these faults independently hardly ever combines them.
//
// LOOM_SEEDS="first count" in the environment runs other seeds. The output names the seeds that broke a rule, by scenario.

#include <Loomreach/Loomreach.h>

#include <UnitTests/CellTroubles.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

/// What becomes of the owner after the restarts.
enum class EOwnerFate : uint8
{
	Stays,
	Killed,
	Frozen,    ///< Another owner takes over meanwhile; the frozen one resumes and finds itself superseded.
	HandsOver, ///< It is replaced by plan.
};

struct RestartScenario
{
	EOwnerFate fate = EOwnerFate::Killed;
	Millis owner_lost_after_ms = 2000; ///< Counted from the restarts; below 0: before them.
	Millis store_away_ms = 0;          ///< The store is unavailable for this long, from just before the restarts.
	uint64 late_percent = 0;           ///< Of all orders, and as many of the starts again.
	bool late_orders_pass_cuts = false;
	bool slow_appends = false;
	Millis unlisted_restart_ms = 0;
};

constexpr Millis cDarkMs = 600;        ///< From a worker's end to the start of its next incarnation.
constexpr Millis cCutAfterMs = 2600;   ///< From the restarts to the cut.
constexpr Millis cCutMs = 12000;       ///< Length of the cut.
constexpr Millis cSubmitEveryMs = 300; ///< Between two jobs while workers restart.
constexpr Millis cFreezeMs = 5000;
constexpr Millis cSettleMs = 60000; ///< Time without faults in which all jobs must end.
constexpr int cRounds = 3;
constexpr uint64 cSeedsOfScenario = 10; ///< Seeds of each scenario unless the environment names others.

/// Plays one scenario, several rounds of it in one simulation.
class RestartPlay
{
public:
	RestartPlay(uint64 inSeed, const RestartScenario &inScenario)
		: scenario(inScenario), random(inSeed), simulation(inSeed, FaultsOf(inScenario), 8)
	{
		this->simulation.polls_wait = true;
	}

	/// Returns violations and unfinished jobs.
	std::string Run()
	{
		this->simulation.Run(1000);
		for (int round = 0; round < cRounds; ++round)
			this->PlayRound();
		this->simulation.ClearFaults();
		this->simulation.Run(cSettleMs);
		return this->simulation.Violations() + this->simulation.UnfinishedJobs();
	}

private:
	static SimulationFaults FaultsOf(const RestartScenario &inScenario)
	{
		SimulationFaults faults;
		faults.late_order = inScenario.late_percent;
		faults.late_start = inScenario.late_percent;
		faults.late_orders_pass_cuts = inScenario.late_orders_pass_cuts;
		faults.slow_append = inScenario.slow_appends ? 50 : 0;
		faults.takeover_while_paused = inScenario.fate == EOwnerFate::Frozen;
		faults.unlisted_restart_ms = inScenario.unlisted_restart_ms;
		return faults;
	}

	void SubmitJob()
	{
		const std::string id = "job" + std::to_string(this->next_job++);
		this->simulation.run_ms[id] = 9000 + static_cast<Millis>(this->random.Below(6000));
		this->simulation.Submit(MakeJob(id, 1, 1 + static_cast<uint32>(this->random.Below(3)), 2000, 12000));
	}

	/// Runs for a while, and submits a job every cSubmitEveryMs, so that starts are in flight.
	void RunBusy(Millis inMillis)
	{
		for (Millis left = inMillis; left > 0; left -= cSubmitEveryMs)
		{
			this->SubmitJob();
			this->simulation.Run(std::min(left, cSubmitEveryMs));
		}
	}

	std::vector<std::string> RestartHalf()
	{
		std::vector<std::string> restarted;
		for (auto &[id, worker] : this->simulation.Workers())
			if (!worker.crashed && this->random.Chance(50))
			{
				restarted.push_back(id);
				this->simulation.Restart(worker, this->random.Chance(50), cDarkMs);
			}
		return restarted;
	}

	void LoseOwner()
	{
		switch (this->scenario.fate)
		{
		case EOwnerFate::Stays: break;
		case EOwnerFate::Killed: this->simulation.ReplaceOwner(cOwnerKilled); break;
		case EOwnerFate::Frozen: this->simulation.PauseOwner(cFreezeMs); break;
		case EOwnerFate::HandsOver: this->simulation.RequestHandover(); break;
		}
	}

	void PlayRound()
	{
		for (int i = 0; i < 4; ++i)
			this->SubmitJob();
		this->RunBusy(1000 + static_cast<Millis>(this->random.Below(3000)));
		if (this->scenario.store_away_ms > 0)
			this->simulation.TakeStoreAway(this->scenario.store_away_ms);
		this->simulation.Run(static_cast<Millis>(this->random.Below(500)));
		const Millis lost_after = this->scenario.owner_lost_after_ms;
		if (lost_after < 0)
			this->LoseOwner();
		this->RunBusy(-lost_after);
		const std::vector<std::string> restarted = this->RestartHalf();
		this->RunBusy(lost_after);
		if (lost_after >= 0)
			this->LoseOwner();
		this->RunBusy(cCutAfterMs - std::max<Millis>(lost_after, 0));
		for (const std::string &id : restarted)
			if (auto worker = this->simulation.Workers().find(id); worker != this->simulation.Workers().end())
				worker->second.unreachable_until = this->simulation.Now() + cCutMs;
		this->simulation.Run(cCutMs + 8000);
	}

	RestartScenario scenario;
	Random random;
	CellSimulation simulation;
	int next_job = 0;
};

/// Plays the seeds of a scenario. Returns those that broke a rule, with the first line of each.
std::string BrokenSeeds(const RestartScenario &inScenario)
{
	const SeedRange range = SeedsToRun(cSeedsOfScenario);
	std::string broken;
	uint64 count = 0;
	for (uint64 seed = range.first; seed < range.first + range.count; ++seed)
	{
		const std::string seen = RestartPlay(seed, inScenario).Run();
		if (seen.empty())
			continue;
		++count;
		broken += "seed " + std::to_string(seed) + ": " + seen.substr(0, seen.find('\n')) + '\n';
	}
	return count == 0 ? "" : std::to_string(count) + " of " + std::to_string(range.count) + " broken\n" + broken;
}

} // namespace

/// Guards against a successor that does not know that a start had no answer when its owner was killed.
TEST(CellRestartScenario, KilledOwnerWithLateOrders)
{
	EXPECT_EQ(BrokenSeeds({.late_percent = 5}), "");
	EXPECT_EQ(BrokenSeeds({.owner_lost_after_ms = 700, .late_percent = 30}), "");
	EXPECT_EQ(BrokenSeeds({.owner_lost_after_ms = -500, .late_percent = 15}), "");
	EXPECT_EQ(BrokenSeeds({.owner_lost_after_ms = -2000, .late_percent = 30}), "");
}

/// The same where a worker that is cut off executes the late orders.
TEST(CellRestartScenario, KilledOwnerWithLateOrdersThatPassTheCut)
{
	EXPECT_EQ(BrokenSeeds({.owner_lost_after_ms = 1200, .late_percent = 15, .late_orders_pass_cuts = true}), "");
	EXPECT_EQ(BrokenSeeds({.owner_lost_after_ms = -500, .late_percent = 15, .late_orders_pass_cuts = true}), "");
}

/// Guards against a planned successor that gives up a start that its predecessor still held back.
TEST(CellRestartScenario, HandOverWithLateOrders) { EXPECT_EQ(BrokenSeeds({.fate = EOwnerFate::HandsOver, .late_percent = 15}), ""); }

/// Guards against a frozen owner's knowledge of a restart that its successor lacks.
TEST(CellRestartScenario, FrozenOwner)
{
	EXPECT_EQ(BrokenSeeds({.fate = EOwnerFate::Frozen, .owner_lost_after_ms = 0}), "");
	EXPECT_EQ(BrokenSeeds({.fate = EOwnerFate::Frozen, .owner_lost_after_ms = 600, .late_percent = 30}), "");
	EXPECT_EQ(BrokenSeeds({.fate = EOwnerFate::Frozen, .owner_lost_after_ms = -2500, .late_percent = 30}), "");
}

/// Guards against a restart that the owner learned of while its appends were slow.
TEST(CellRestartScenario, SlowAppends)
{
	EXPECT_EQ(BrokenSeeds({.owner_lost_after_ms = 700, .slow_appends = true}), "");
	EXPECT_EQ(BrokenSeeds({.owner_lost_after_ms = 1200, .late_percent = 15, .slow_appends = true}), "");
}

/// Guards against a restart that neither the log nor the worker list tells of.
TEST(CellRestartScenario, UnlistedRestart)
{
	EXPECT_EQ(BrokenSeeds({.owner_lost_after_ms = 700, .unlisted_restart_ms = 20000}), "");
	EXPECT_EQ(BrokenSeeds({.owner_lost_after_ms = 2000, .late_percent = 15, .unlisted_restart_ms = 20000}), "");
	EXPECT_EQ(BrokenSeeds({.owner_lost_after_ms = -500, .late_percent = 15, .unlisted_restart_ms = 20000}), "");
}

/// Guards against a restart during a store outage, which the owner could not log before it lost the cell.
TEST(CellRestartScenario, StoreOutage)
{
	EXPECT_EQ(BrokenSeeds({.fate = EOwnerFate::Stays, .store_away_ms = 2500}), "");
	EXPECT_EQ(BrokenSeeds({.fate = EOwnerFate::Stays, .store_away_ms = 2500, .unlisted_restart_ms = 20000}), "");
	EXPECT_EQ(BrokenSeeds({.fate = EOwnerFate::Stays, .store_away_ms = 2500, .late_percent = 15, .unlisted_restart_ms = 20000}), "");
}

/// Guards against an owner that stays and gives up a start that an unlisted incarnation has carried out.
TEST(CellRestartScenario, OwnerThatStays)
{
	EXPECT_EQ(BrokenSeeds({.fate = EOwnerFate::Stays, .late_percent = 15, .unlisted_restart_ms = 20000}), "");
	EXPECT_EQ(BrokenSeeds({.fate = EOwnerFate::Stays, .late_percent = 30, .late_orders_pass_cuts = true}), "");
}

} // namespace Loomreach::Jobs
