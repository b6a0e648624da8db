// A crash of a worker counts once against each run that was there, whichever owners of the cell find it and however often.
//
// LOOM_SEEDS="first count" in the environment runs other seeds of the simulated cases.

#include <Loomreach/Loomreach.h>

#include <Loomreach/State/Codec.h>
#include <UnitTests/CellTroubles.h>
#include <UnitTests/IncarnationHarness.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

constexpr Millis cDarkMs = 3000;      ///< A worker answers nothing for this long before it crashes.
constexpr Millis cBackMs = 300;       ///< From the crash to the start of the next incarnation.
constexpr int cOwners = 8;            ///< Owners of the cell after the crash.
constexpr Millis cSettleMs = 60000;   ///< Time without faults after the last change of owner.
constexpr uint64 cSeedsOfFate = 40;   ///< Seeds of each fate unless the environment names others.
constexpr size_t cSimulatedCount = 4; ///< Workers of the simulation.

/// How each owner is replaced.
enum class EOwnerExit : uint8
{
	Killed,
	HandsOver, ///< By plan.
	Frozen     ///< Another owner takes over; the frozen one resumes and finds itself superseded.
};

/// One worker is silent, gets starts that it never answers, crashes, and is back under its id; then the cell changes its owner several
/// times. Returns violations and lasting or plain jobs that were given up.
std::string PlayOwnersAfterCrash(uint64 inSeed, EOwnerExit inExit, uint64 inLatePercent)
{
	SimulationFaults faults;
	faults.takeover_while_paused = inExit == EOwnerExit::Frozen;
	faults.late_start = inLatePercent;
	Random random(inSeed);
	CellSimulation simulation(inSeed, faults, cSimulatedCount);
	simulation.polls_wait = true;
	AssignRacks(simulation);
	simulation.Run(1000);
	// Only the silent worker has room for the jobs
	for (auto &[id, worker] : simulation.Workers())
		if (id != "w0")
			worker.capacity.cpu_milli = 0;
	simulation.Run(1000);
	SimulatedWorker &silent = simulation.Workers().at("w0");
	silent.unreachable_until = simulation.Now() + cDarkMs;
	simulation.run_ms["plain"] = 400;
	simulation.Submit(MakeJob("plain", 1, 2, 1000, 400));
	JobSpec lasting = MakeJob("lasting", 1, 1, 1000, 400);
	lasting.steps[0].long_running = true;
	simulation.Submit(lasting);
	const Millis until_first = 500 + static_cast<Millis>(random.Below(2000));
	simulation.Run(until_first);
	simulation.ReplaceOwner(cOwnerKilled);
	simulation.Run(cDarkMs - until_first);
	simulation.Restart(silent, random.Chance(50), cBackMs);
	for (auto &[id, worker] : simulation.Workers())
		worker.capacity.cpu_milli = cWorkerCpuMilli;
	for (int owner = 0; owner < cOwners; ++owner)
	{
		simulation.Run(400 + static_cast<Millis>(random.Below(5000)));
		switch (inExit)
		{
		case EOwnerExit::Killed: simulation.ReplaceOwner(cOwnerKilled); break;
		case EOwnerExit::HandsOver: simulation.RequestHandover(); break;
		case EOwnerExit::Frozen: simulation.PauseOwner(4000); break;
		}
	}
	simulation.ClearFaults();
	simulation.Run(cSettleMs);
	return simulation.Violations() + simulation.WronglyFailedJobs();
}

/// Plays the seeds of an exit. Returns those that broke a rule, with the first line of each.
std::string BrokenSeeds(EOwnerExit inExit, uint64 inLatePercent)
{
	const SeedRange range = SeedsToRun(cSeedsOfFate);
	std::string broken;
	uint64 count = 0;
	for (uint64 seed = range.first; seed < range.first + range.count; ++seed)
	{
		const std::string seen = PlayOwnersAfterCrash(seed, inExit, inLatePercent);
		if (seen.empty())
			continue;
		++count;
		broken += "seed " + std::to_string(seed) + ": " + seen.substr(0, seen.find('\n')) + '\n';
	}
	return count == 0 ? "" : std::to_string(count) + " of " + std::to_string(range.count) + " broken\n" + broken;
}

/// A cell with a worker whose starts get no answer, and the owners that follow.
class OwnerChain : public IncarnationHarness
{
public:
	OwnerChain()
	{
		this->AnswerDuePolls(cFormerMs);
		// A plain job, whose run awaits ends of a predecessor, and a lasting one
		this->cell.Ingest({EInbox::Submit, MakeJob("plain", 1, 1, 1000, 500), {}}, 0, this->now, this->now);
		JobSpec lasting = MakeJob("lasting", 1, 1, 1000, 500);
		lasting.steps[0].long_running = true;
		this->cell.Ingest({EInbox::Submit, lasting, {}}, 1, this->now, this->now);
		EXPECT_EQ(this->WriteAndDispatch(), 2u);
	}

	/// The starts get no answer in time, so that the worker may have carried them out.
	void LoseStartAnswers()
	{
		for (const Order &start : this->started)
			this->cell.OnAnswer(start, OrderAnswer{}, this->now, this->now);
	}
	/// The next owner takes over with the records that have been written.
	void TakeOver()
	{
		this->cell = this->Successor();
		this->polls.clear();
		this->ListWorker(cFormerMs);
	}
	/// Removes the records with a key of this letter from the log.
	void EraseRecords(char inKey)
	{
		std::erase_if(this->written, [inKey](const KeyedRecord &inRecord) { return inRecord.key[0] == inKey; });
	}
	/// The worker answers the due polls on behalf of an incarnation that has the listed runs.
	void AnswerDuePolls(int64 inStartedMs, const std::vector<RunningRun> &inRunning = {})
	{
		std::vector<Order> due = std::exchange(this->polls, {});
		for (Order &order : this->TakeDueOrders())
			due.push_back(std::move(order));
		for (const Order &order : due)
		{
			OrderAnswer answer = this->PollAnswer(inStartedMs, this->now);
			answer.running = inRunning;
			this->cell.OnAnswer(order, answer, this->now, this->now);
		}
	}
	/// The owner finds the worker started again.
	void FindRestart(int64 inStartedMs, const std::vector<RunningRun> &inRunning = {})
	{
		this->ListWorker(inStartedMs);
		this->AnswerDuePolls(inStartedMs, inRunning);
	}
	/// Crashes counted against the only task of a job, as the log has them.
	uint32 LoggedCrashes(const std::string &inJob) const
	{
		uint32 total = 0;
		for (const KeyedRecord &record : this->written)
			if (record.key == "x" + inJob)
			{
				const std::optional<CrashCounts> counts = DecodeValue<CrashCounts>(record.value);
				total = !counts.has_value() || counts->empty() ? 0 : counts->begin()->second.Total();
			}
		return total;
	}

	static constexpr int64 cFormerMs = 1000;
	static constexpr int64 cNextMs = 20000;
	static constexpr int64 cThirdMs = 40000;
	static inline const RunningRun cLastingRun{{"lasting", 0, 0, 0}, 1, "", 0, 0};
};

} // namespace

/// Guards against a sound lasting job that is failed because each new owner counts one crash of one worker again.
TEST(CellCountedCrash, OneCrashUnderManyOwnersFailsASoundLastingJob)
{
	EXPECT_EQ(BrokenSeeds(EOwnerExit::Killed, 0), "");
	EXPECT_EQ(BrokenSeeds(EOwnerExit::HandsOver, 0), "");
	EXPECT_EQ(BrokenSeeds(EOwnerExit::Frozen, 0), "");
}

/// The same with starts that are carried out late, by the incarnation that is there by then.
TEST(CellCountedCrash, OneCrashUnderManyOwnersWithLateStartsFailsASoundLastingJob)
{
	EXPECT_EQ(BrokenSeeds(EOwnerExit::Killed, 30), "");
	EXPECT_EQ(BrokenSeeds(EOwnerExit::HandsOver, 30), "");
}

/// Guards against a count that rises with each owner that finds the same crash.
TEST(CellCountedCrash, EachOwnerCountsTheSameCrashAgain)
{
	OwnerChain chain;
	for (int owner = 0; owner < 4; ++owner)
	{
		chain.TakeOver();
		chain.FindRestart(OwnerChain::cNextMs);
		chain.WriteAndDispatch();
		EXPECT_EQ(chain.LoggedCrashes("lasting"), 1u) << owner;
	}
}

/// Guards against a second count by an owner that waits for ends of a crash which its predecessor has counted.
TEST(CellCountedCrash, APlainTaskIsCountedAgainAfterTheWaitForEnds)
{
	OwnerChain chain;
	chain.LoseStartAnswers();
	// The owner that sent the starts counts the crash. It holds the runs back, since their starts may arrive late
	chain.FindRestart(OwnerChain::cNextMs);
	chain.WriteAndDispatch();
	ASSERT_EQ(chain.LoggedCrashes("plain"), 1u);
	// While a run of the worker awaits ends of a predecessor, the log does not name the next incarnation
	chain.written.push_back({"bw", EncodeValue(OwnerChain::cFormerMs)});
	chain.TakeOver();
	for (int i = 0; i < 60; ++i)
	{
		chain.FindRestart(OwnerChain::cNextMs);
		chain.WriteAndDispatch();
	}
	EXPECT_EQ(chain.LoggedCrashes("plain"), 1u);
}

/// Guards against a crash that nobody counts since the owner that found it was killed before its append.
TEST(CellCountedCrash, ACrashThatTheLogLacksIsLost)
{
	OwnerChain chain;
	chain.TakeOver();
	chain.FindRestart(OwnerChain::cNextMs);
	chain.TakeOver();
	chain.FindRestart(OwnerChain::cNextMs);
	chain.WriteAndDispatch();
	EXPECT_EQ(chain.LoggedCrashes("lasting"), 1u);
}

/// Guards against a crash of a later incarnation that is taken for the counted one: a task that crashes its workers would be started
/// without limit under owners that change.
TEST(CellCountedCrash, TheNextCrashUnderTheSameRunIsTakenForTheCountedOne)
{
	OwnerChain chain;
	chain.TakeOver();
	chain.FindRestart(OwnerChain::cNextMs);
	chain.WriteAndDispatch();
	ASSERT_EQ(chain.LoggedCrashes("lasting"), 1u);
	// Its start arrives late, at the next incarnation, which crashes as well
	chain.FindRestart(OwnerChain::cNextMs, {OwnerChain::cLastingRun});
	chain.WriteAndDispatch();
	chain.TakeOver();
	chain.FindRestart(OwnerChain::cThirdMs);
	chain.WriteAndDispatch();
	EXPECT_EQ(chain.LoggedCrashes("lasting"), 2u);
}

/// Guards against more than one further count after owners of a version that does not write which crashes are counted.
TEST(CellCountedCrash, AnOwnerOfTheEarlierVersionMakesEachLaterOneCountAgain)
{
	OwnerChain chain;
	chain.TakeOver();
	chain.FindRestart(OwnerChain::cNextMs);
	chain.WriteAndDispatch();
	ASSERT_EQ(chain.LoggedCrashes("lasting"), 1u);
	for (int owner = 0; owner < 3; ++owner)
	{
		if (owner == 0)
			chain.EraseRecords('d');
		chain.TakeOver();
		chain.FindRestart(OwnerChain::cNextMs);
		chain.WriteAndDispatch();
		EXPECT_EQ(chain.LoggedCrashes("lasting"), 2u) << owner;
	}
}

} // namespace Loomreach::Jobs
