// Limits of the log service: records that a cell writes stay below them, and an append that exceeds one stops nothing else. Such an append
// was repeated for ever, and a cell has one append in flight, so that no job of its pools was started any more.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Hash.h>
#include <Loomreach/Ownership/OwnedLog.h>
#include <Loomreach/Schedule/RunTimes.h>
#include <Loomreach/Schedule/SharedCrashCases.h>
#include <Loomreach/State/Codec.h>
#include <UnitTests/CellWorld.h>
#include <UnitTests/FakeLog.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

const LogName cName{"keyed.cell0", 0};

/// An owner of a log.
struct Owner
{
	Owner(FakeLog &ioLog, uint64 inIncarnation) : log(ioLog, cName, HostProcess{"host", inIncarnation, 1})
	{
		this->log.Claim(
			1, [](const ClaimRecord &) { return true; },
			[this](bool, const OwnedLog<FakeLog>::Records &inRecords) { this->records = inRecords; });
		FakeLog::RunMainLoopFor();
	}
	bool Append(const std::vector<LogRecord> &inRecords)
	{
		bool done = false;
		this->log.Append(inRecords, [&done](bool inDone) { done = inDone; });
		FakeLog::RunMainLoopFor(400);
		return done;
	}

	OwnedLog<FakeLog> log;
	OwnedLog<FakeLog>::Records records;
};

/// Crashes of a step's tasks, each with all tasks of another step as suspects.
CrashCounts MakeCrashes(uint32 inTasks, uint32 inSuspects, uint32 inCrashes)
{
	CrashCounts crashes;
	for (uint32 task = 0; task < inTasks; ++task)
		for (uint32 crash = 0; crash < inCrashes; ++crash)
		{
			std::vector<CrashSuspect> suspects;
			for (uint32 suspect = 0; suspect < inSuspects; ++suspect)
				suspects.push_back({"00000000000000a" + std::to_string(crash), 0, suspect});
			TaskCrashes &counted = crashes[{0, task}];
			++counted.blamed;
			counted.cases.push_back({true, false, false, std::move(suspects)});
		}
	return crashes;
}

} // namespace

/// Guards against an append that is repeated for ever because one of its records is too long.
TEST(OwnedLog, ARecordBeyondTheLimitDoesNotBlockTheLog)
{
	FakeLog log;
	Owner owner(log, 1);
	EXPECT_TRUE(owner.Append({{"a", "1", 0}, {"b", std::string(cMaxRecordBytes, 'x'), 0}, {"c", "3", 0}}));
	EXPECT_EQ(owner.log.OmittedRecords(), 1u);
	EXPECT_TRUE(owner.Append({{"b", std::string(cMaxRecordBytes, 'x'), 0}}));
	EXPECT_TRUE(owner.Append({{"d", "4", 0}}));
	Owner successor(log, 2);
	EXPECT_EQ(successor.records, (OwnedLog<FakeLog>::Records{{"a", "1"}, {"c", "3"}, {"d", "4"}}));
}

/// Guards against an append that is repeated for ever because all its records together are too long.
TEST(OwnedLog, AnAppendBeyondTheLimitIsSplitInItsOrder)
{
	FakeLog log;
	Owner owner(log, 1);
	std::vector<LogRecord> records;
	records.reserve(20);
	for (int i = 0; i < 20; ++i)
		records.push_back({"k" + std::to_string(i), std::string(cMaxRecordBytes / 2, 'x'), 0});
	records.push_back({"k0", "last", 0});
	EXPECT_TRUE(owner.Append(records));
	EXPECT_EQ(owner.log.OmittedRecords(), 0u);
	Owner successor(log, 2);
	EXPECT_EQ(successor.records.size(), 20u);
	EXPECT_EQ(successor.records.at("k0"), "last");
	EXPECT_TRUE(successor.Append({{"k1", "next", 0}}));
}

/// Guards against the same at a service whose limits are lower than the stated ones.
TEST(OwnedLog, AServiceWithLowerLimitsThanStatedIsWrittenTo)
{
	FakeLog log;
	log.max_record_bytes = 1000;
	log.max_append_bytes = 3000;
	Owner owner(log, 1);
	std::vector<LogRecord> records;
	records.reserve(20);
	for (int i = 0; i < 20; ++i)
		records.push_back({"k" + std::to_string(i), std::string(i == 7 ? 2000 : 600, 'x'), 0});
	EXPECT_TRUE(owner.Append(records));
	EXPECT_EQ(owner.log.OmittedRecords(), 1u);
	Owner successor(log, 2);
	EXPECT_EQ(successor.records.size(), 19u);
	EXPECT_FALSE(successor.records.contains("k7"));
}

/// Guards against a record of crash causes that grows with the square of the runs on a crashed worker.
TEST(RecordLimit, ACrashUnderManySmallTasksStopsNoCell)
{
	CellSimulation simulation(1, SimulationFaults{}, 3);
	simulation.Run(500);
	for (const std::string id : {"00000000000000a1", "00000000000000a2"})
	{
		JobSpec job = MakeJob(id, 1, 100, 75, 8000);
		job.steps[0].requested.memory_mb = 1;
		simulation.run_ms[id] = 8000;
		simulation.Submit(job);
	}
	simulation.Run(2000);
	for (auto &[id, worker] : simulation.Workers())
		if (worker.running.size() > 100)
			simulation.Restart(worker, true, 2500);
	simulation.Run(5000);
	simulation.ReplaceOwner();
	simulation.Submit(MakeJob("later", 1, 4, 1000, 300));
	simulation.Run(10000);
	EXPECT_EQ(simulation.QueryJob("later").phase, EJobPhase::Completed);
	// Each task of the crashed worker gets a trial run, one after the other
	simulation.Run(240000);
	EXPECT_EQ(simulation.Violations(), "");
	EXPECT_EQ(simulation.UnfinishedJobs(), "");
}

/// Guards against the same with a job whose tasks all run at once.
TEST(RecordLimit, AJobWithThousandsOfTasksStopsNoCell)
{
	CellSimulation simulation(1, SimulationFaults{}, 12);
	simulation.Run(500);
	JobSpec job = MakeJob("large", 1, 8890, 75, 300);
	job.id = "000000000000large";
	job.steps[0].requested.memory_mb = 1;
	ASSERT_TRUE(CheckSpec(job));
	simulation.run_ms[job.id] = 300;
	simulation.Submit(job);
	simulation.Submit(MakeJob("later", 1, 4, 1000, 300));
	simulation.Run(5000);
	simulation.ReplaceOwner();
	simulation.Run(120000);
	EXPECT_EQ(simulation.Violations(), "");
	EXPECT_EQ(simulation.UnfinishedJobs(), "");
}

/// Guards against a checkpoint, or whatever else makes a job's state too long, that stops all jobs of the cell.
TEST(RecordLimit, AJobWhoseStateOutgrowsARecordIsFailedAlone)
{
	SimulationFaults faults;
	CellSimulation simulation(1, faults, 12);
	simulation.Run(500);
	JobSpec job = MakeJob("gang", 1, 8000, 1, 300);
	job.steps[0].requested.memory_mb = 1;
	job.steps[0].gang = true;
	simulation.run_ms["gang"] = 3000;
	ASSERT_TRUE(CheckSpec(job));
	simulation.Submit(job);
	simulation.Submit(MakeJob("later", 1, 4, 1000, 300));
	simulation.Run(5000);
	simulation.ReplaceOwner();
	simulation.Run(60000);
	EXPECT_EQ(simulation.Violations(), "");
	EXPECT_EQ(simulation.UnfinishedJobs(), "");
	EXPECT_EQ(simulation.QueryJob("gang").phase, EJobPhase::Failed);
	EXPECT_EQ(simulation.QueryJob("later").phase, EJobPhase::Completed);
}

/// Guards against learned run times that outgrow a record with the number of images or queues.
TEST(RecordLimit, RunTimesOfManyImagesFitARecord)
{
	RunTimes times;
	StepSpec step;
	JobSpec job;
	for (int i = 0; i < 5000; ++i)
	{
		step.image = std::string(120, 'i') + std::to_string(i);
		job.queue = std::string(120, 'q') + std::to_string(i);
		times.Learn(job, step, 400);
		times.LearnSpread(job, 0.3);
	}
	step.estimate_ms = 100;
	for (int i = 0; i < 5; ++i)
		times.Learn(job, step, 400);
	EXPECT_LE(EncodeValue(times).size(), cMaxRecordBytes);
	EXPECT_NEAR(static_cast<double>(times.Expect(job, step)), 400.0, 2.0);
	step.image = std::string(200'000, 'x');
	times.Learn(job, step, 400);
	EXPECT_LE(EncodeValue(times).size(), cMaxRecordBytes);
}

/// Guards against suspects that a new owner no longer knows: cases that fit are read back as they were.
TEST(SharedCrashCases, AreReadBackByTheNextOwner)
{
	CrashCounts crashes = MakeCrashes(200, 200, 2);
	crashes[{0, 3}].proved = true;
	bool complete = false;
	const SharedCrashCases shared = ShareCrashCases(crashes, complete);
	EXPECT_TRUE(complete);
	EXPECT_EQ(shared.lists.size(), 2u);
	EXPECT_GT(EncodeValue(ExtractCrashCases(crashes)).size(), cMaxRecordBytes);
	const std::string bytes = EncodeValue(shared);
	EXPECT_LE(bytes.size(), cMaxCrashCaseBytes);
	const CrashCasesByTask restored = UnshareCrashCases(*DecodeValue<SharedCrashCases>(bytes));
	ASSERT_EQ(restored.size(), crashes.size());
	for (const auto &[task, cases] : restored)
	{
		EXPECT_EQ(cases.cases, crashes[task].cases);
		EXPECT_EQ(cases.proved, crashes[task].proved);
	}
}

/// Guards against a record without a bound, and against a suspect that counts as cleared because the record had no room for it.
TEST(SharedCrashCases, LeaveOutWhatExceedsTheirBound)
{
	CrashCounts crashes = MakeCrashes(3000, 250, 5);
	for (auto &[task, counted] : crashes)
		for (CrashCase &crash : counted.cases)
			crash.suspects.front().task = task.second;
	crashes[{0, 2999}].proved = true;
	bool complete = true;
	const SharedCrashCases shared = ShareCrashCases(crashes, complete);
	EXPECT_FALSE(complete);
	EXPECT_LE(EncodeValue(shared).size(), cMaxCrashCaseBytes);
	const CrashCasesByTask restored = UnshareCrashCases(shared);
	EXPECT_TRUE(restored.at({0, 2999}).proved);
	for (const auto &[task, cases] : restored)
		for (const CrashCase &crash : cases.cases)
			EXPECT_FALSE(crash.suspects.empty());
}

/// Guards against a layout that hosts of the earlier version cannot read: they know only cases in the layout without sharing.
TEST(SharedCrashCases, FewCasesKeepTheLayoutOfTheEarlierVersion)
{
	const CrashCounts few = MakeCrashes(8, 16, 2);
	EXPECT_LE(UnsharedCaseBytes(few), cMaxUnsharedCaseBytes);
	EXPECT_GE(UnsharedCaseBytes(few), EncodeValue(ExtractCrashCases(few)).size());
	EXPECT_GT(UnsharedCaseBytes(MakeCrashes(100, 100, 1)), cMaxUnsharedCaseBytes);
}

} // namespace Loomreach::Jobs
