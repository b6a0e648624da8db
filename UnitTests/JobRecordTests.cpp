// What a submission's check says of the sizes of its records.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Error.h>
#include <Loomreach/Job/JobRecord.h>
#include <Loomreach/Ownership/RecordLimit.h>
#include <Loomreach/State/Codec.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

/// Guards against a check that no longer knows the encoding: what it lets in fits into a record, and hardly anything that fits is refused.
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
	EXPECT_GT(EncodeValue(NewRecord(spec)).size(), cMaxRecordBytes - 100);
	--spec.steps[0].count;
	EXPECT_LE(EncodeValue(NewRecord(spec)).size(), cMaxRecordBytes);
	spec.steps[0].count = 1;
	while (CheckSpec(spec) && spec.steps[1].after.size() < 100'000)
		spec.steps[1].after.resize(spec.steps[1].after.size() + 50);
	EXPECT_EQ(LastReason().kind, EError::TooLarge);
	EXPECT_GT(EncodeValue(spec).size(), cMaxRecordBytes - 1000);
	spec.steps[1].after.resize(spec.steps[1].after.size() - 50);
	EXPECT_LE(EncodeValue(spec).size(), cMaxRecordBytes);
}

} // namespace Loomreach::Jobs
