// What a submission's check says of the sizes of its records.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Error.h>
#include <Loomreach/Job/JobRecord.h>
#include <Loomreach/Ownership/RecordLimit.h>
#include <Loomreach/State/Codec.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

/// Room that the check leaves for the runs of a job.
static constexpr size_t cRunRoomBytes = 4096;

/// Guards against a check that no longer knows the encoding: what it lets in fits into a record along with some runs, and hardly anything
/// that does is refused.
TEST(JobRecord, WhatIsAcceptedFitsIntoARecord)
{
	JobSpec spec;
	spec.id = "5c0e7a21d94b36f8";
	spec.steps.resize(2);
	spec.steps[1].count = 1;
	spec.steps[0].count = 1;
	while (CheckSpec(spec) && spec.steps[0].count < 20'000)
		++spec.steps[0].count;
	EXPECT_EQ(LastReason().kind, EError::TooLarge);
	EXPECT_GT(EncodeValue(NewRecord(spec)).size(), cMaxRecordBytes - cRunRoomBytes - 100);
	--spec.steps[0].count;
	EXPECT_LE(EncodeValue(NewRecord(spec)).size(), cMaxRecordBytes - cRunRoomBytes);
	spec.steps[0].count = 1;
	while (CheckSpec(spec) && spec.steps[1].after.size() < 100'000)
		spec.steps[1].after.resize(spec.steps[1].after.size() + 50);
	EXPECT_EQ(LastReason().kind, EError::TooLarge);
	EXPECT_GT(EncodeValue(spec).size(), cMaxRecordBytes - 1000);
	spec.steps[1].after.resize(spec.steps[1].after.size() - 50);
	EXPECT_LE(EncodeValue(spec).size(), cMaxRecordBytes);
}

/// Guards against a job that is accepted and can then never run, or whose runs make its record too long.
TEST(JobRecord, AnAcceptedJobHasRoomForRuns)
{
	JobSpec spec;
	spec.id = "5c0e7a21d94b36f8";
	spec.steps.resize(1);
	spec.steps[0].count = 1;
	while (CheckSpec(spec))
		++spec.steps[0].count;
	--spec.steps[0].count;
	JobRecord record = NewRecord(spec);
	EXPECT_GE(RoomForRuns(spec, record), 50u);
	uint32 index = 0;
	RunRecord run;
	run.run = 1;
	run.worker.resize(64, 'w');
	for (size_t left = RoomForRuns(spec, record); left > 0; left = RoomForRuns(spec, record))
		record.steps[0].tasks[index++].runs.push_back(run);
	EXPECT_LE(EncodeValue(record).size(), cMaxRecordBytes);
	EXPECT_GE(StateBytes(record), EncodeValue(record).size());
}

/// Guards against a job that waits for ever for room in its record: without a run nothing would ever make room.
TEST(JobRecord, AJobWithoutRunsAlwaysHasRoomForOne)
{
	JobSpec spec;
	spec.steps.resize(1);
	spec.steps[0].count = 5000;
	JobRecord record = NewRecord(spec);
	record.steps[0].tasks[0].checkpoint.resize(cMaxRecordBytes, 'c');
	EXPECT_EQ(RoomForRuns(spec, record), 1u);
	RunRecord run;
	run.run = 1;
	run.worker = "w";
	record.steps[0].tasks[0].runs.push_back(run);
	EXPECT_EQ(RoomForRuns(spec, record), 0u);
	spec.steps[0].count = 20;
	EXPECT_GE(RoomForRuns(spec, NewRecord(spec)), 20u);
}

} // namespace Loomreach::Jobs
