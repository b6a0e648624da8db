// Run ends that only a former owner knows, submitted to the inbox for its successor.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Entry/EndsSubmitter.h>
#include <Loomreach/Ownership/CellNames.h>
#include <Loomreach/State/Codec.h>
#include <UnitTests/CellWorld.h>
#include <UnitTests/FakeLog.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

constexpr uint32 cCell = 2;
const LogName cInbox{"inbox", cCell};

/// A former owner that submits run ends to an inbox.
struct FormerOwner
{
	FakeLog log;
	InboxWriter<FakeLog> writer{log, cInbox};
	EndsSubmitter<FakeLog> ends{[this](uint32) -> InboxWriter<FakeLog> & { return this->writer; }};
};

EndReport ReportOf(const TaskId &inTask, uint32 inRun, ERunEnd inEnd) { return {"w0", 1, {{1, inTask, inRun, inEnd, ""}}}; }

/// The inbox record as hosts of versions without reports of run ends decode it.
struct OlderInboxRecord
{
	EInbox kind = EInbox::Submit;
	JobSpec spec;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->kind, this->spec);
	}
};

} // namespace

TEST(EndsSubmitter, TriesUntilTheStoreHasTakenIt)
{
	FormerOwner owner;
	owner.log.fates = {FakeLog::EFate::Refuse, FakeLog::EFate::Vanish, FakeLog::EFate::LoseAnswer};
	owner.ends.Submit(cCell, ReportOf({"job", 0, 0, 0}, 1, ERunEnd::Done));
	EXPECT_EQ(owner.ends.InFlight(), 1u);
	FakeLog::RunMainLoopFor(2000);
	EXPECT_EQ(owner.ends.InFlight(), 0u);
	// The append whose answer was lost, and its repeat
	EXPECT_EQ(owner.log.Size(cInbox), 2u);
}

TEST(EndsSubmitter, OlderHostsSkipRecordsTheyDoNotKnow)
{
	const std::string ends = EncodeValue(InboxRecord{EInbox::Ends, {}, ReportOf({"job", 0, 0, 0}, 1, ERunEnd::Done)});
	EXPECT_FALSE(DecodeValue<OlderInboxRecord>(ends).has_value());
	// Records of the kinds that they know are encoded as before
	const JobSpec job = MakeJob("job", 1, 2, 500, 800);
	for (EInbox kind : {EInbox::Submit, EInbox::Cancel})
	{
		EXPECT_EQ(EncodeValue(InboxRecord{kind, job}), EncodeValue(OlderInboxRecord{kind, job}));
		const std::optional<InboxRecord> read = DecodeValue<InboxRecord>(EncodeValue(OlderInboxRecord{kind, job}));
		ASSERT_TRUE(read.has_value());
		EXPECT_EQ(read->spec.id, "job");
	}
}

TEST(EndsSubmitter, AnEndCountsOnceHoweverOftenItComes)
{
	CellSimulation simulation(1, SimulationFaults{}, 1);
	simulation.run_ms["job"] = 1000;
	simulation.Submit(MakeJob("job", 1, 1, 500, 800));
	simulation.Run(500);
	// The predecessor reports the same attempt as failed three times
	InboxRecord record{EInbox::Ends, {}, ReportOf({"job", 0, 0, 0}, 1, ERunEnd::Failed)};
	for (uint64 offset = 100; offset < 103; ++offset)
		simulation.Core().Ingest(record, offset, simulation.Now(), simulation.Now());
	EXPECT_EQ(simulation.QueryJob("job").phase, EJobPhase::Running);
	EXPECT_EQ(simulation.WronglyFailedJobs(), "");
}

TEST(EndsSubmitter, AnEndOfAForgottenWorkerCounts)
{
	CellSimulation simulation(1, SimulationFaults{}, 1);
	simulation.run_ms["job"] = 100000;
	simulation.Submit(MakeJob("job", 1, 1, 500, 800));
	simulation.Run(500);
	EndReport report = ReportOf({"job", 0, 0, 0}, 1, ERunEnd::Done);
	report.worker = "left long ago";
	simulation.Core().Ingest({EInbox::Ends, {}, report}, 100, simulation.Now(), simulation.Now());
	simulation.Run(500);
	EXPECT_EQ(simulation.QueryJob("job").phase, EJobPhase::Completed);
}

TEST(EndsSubmitter, EndsOfUnknownTasksChangeNothing)
{
	CellSimulation simulation(1, SimulationFaults{}, 1);
	simulation.Submit(MakeJob("job", 1, 1, 500, 800));
	simulation.Run(500);
	for (const TaskId &task : {TaskId{"other", 0, 0, 0}, TaskId{"job", 7, 0, 0}, TaskId{"job", 0, 9, 0}, TaskId{"job", 0, 0, 99}})
		simulation.Core().Ingest({EInbox::Ends, {}, ReportOf(task, 1, ERunEnd::Done)}, simulation.Core().InboxNext(), simulation.Now(),
								 simulation.Now());
	EXPECT_NE(simulation.QueryJob("job").phase, EJobPhase::Completed);
	simulation.Run(5000);
	EXPECT_EQ(simulation.Violations() + simulation.UnfinishedJobs(), "");
}

} // namespace Loomreach::Jobs
