// Replicas of ends that an owner has read and its log does not hold yet.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/EndReplicas.h>
#include <Loomreach/State/Codec.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

constexpr uint32 cCell = 3;
constexpr uint64 cEpoch = 7;

EndedRow Row(uint64 inNumber, ERunEnd inEnd = ERunEnd::Done)
{
	return {inNumber, {"0123456789abcdef", 0, 0, static_cast<uint32>(inNumber)}, 1, inEnd, ""};
}

EndReplicator Owner()
{
	EndReplicator owner;
	owner.Begin(cCell, cEpoch);
	return owner;
}

bool IsGone(uint32, uint64) { return true; }
bool IsAtWork(uint32, uint64) { return false; }

/// All that an owner has to tell reaches the host that keeps replicas.
void Tell(EndReplicator &ioOwner, EndReplicas &ioReplicas, Millis inNow)
{
	while (std::optional<EndsUpdate> update = ioOwner.Take(inNow))
		ioReplicas.OnUpdate(std::move(*update), inNow);
}

void Log(EndReplicator &ioOwner)
{
	ioOwner.BeginWriting();
	ioOwner.OnWriting();
	ioOwner.OnLogged();
}

} // namespace

/// What an owner that is killed had read was known to nobody else.
TEST(EndReplicas, AnEndOutlivesTheOwnerThatReadIt)
{
	EndReplicator owner = Owner();
	EndReplicas replicas;
	owner.Note("w1", Row(1));
	owner.Note("w2", Row(5, ERunEnd::Failed));
	Tell(owner, replicas, 100);
	EXPECT_TRUE(replicas.TakeOrphans(&IsAtWork, 200).empty());
	const std::vector<OrphanedEnds> orphans = replicas.TakeOrphans(&IsGone, 300);
	ASSERT_EQ(orphans.size(), 2u);
	EXPECT_EQ(orphans[0].cell, cCell);
	EXPECT_EQ(orphans[0].report.worker, "w1");
	EXPECT_EQ(orphans[0].report.epoch, cEpoch);
	EXPECT_EQ(orphans[1].report.ended.at(0).number, 5u);
	EXPECT_TRUE(replicas.TakeOrphans(&IsGone, 400).empty());
}

/// At each change of owner, all that had ever ended would be handed in again.
TEST(EndReplicas, NothingIsKeptThatTheLogHolds)
{
	EndReplicator owner = Owner();
	EndReplicas replicas;
	owner.Note("w1", Row(1));
	Tell(owner, replicas, 100);
	owner.BeginWriting();
	owner.Note("w1", Row(2));
	Tell(owner, replicas, 110);
	owner.OnWriting();
	owner.OnLogged();
	Tell(owner, replicas, 2000);
	EXPECT_EQ(replicas.Size(), 1u);
	Log(owner);
	Tell(owner, replicas, 4000);
	EXPECT_EQ(replicas.Size(), 0u);
}

/// A release that comes before the ends it speaks of must not keep them for good.
TEST(EndReplicas, WhatComesLateIsDroppedInTime)
{
	EndReplicator owner = Owner();
	EndReplicas replicas;
	owner.Note("w1", Row(1));
	const std::optional<EndsUpdate> late = owner.Take(100);
	Log(owner);
	Tell(owner, replicas, 2000);
	ASSERT_TRUE(late.has_value());
	replicas.OnUpdate(*late, 2000);
	EXPECT_EQ(replicas.Size(), 1u);
	EXPECT_TRUE(replicas.TakeOrphans(&IsGone, 60000).empty());
	EXPECT_EQ(replicas.Size(), 0u);
}

/// One answer may list more ends than a datagram holds.
TEST(EndReplicas, ManyEndsFitDatagrams)
{
	EndReplicator owner = Owner();
	for (uint64 number = 1; number <= 1000; ++number)
		owner.Note("w1", Row(number));
	size_t rows = 0;
	while (const std::optional<EndsUpdate> update = owner.Take(100))
	{
		EXPECT_LT(EncodeValue(*update).size(), 32000u);
		for (const EndReport &report : update->reports)
			rows += report.ended.size();
	}
	EXPECT_EQ(rows, 1000u);
}

/// Without a bound, owners that hang would fill the memory of the host that keeps their replicas.
TEST(EndReplicas, TheirNumberIsBounded)
{
	EndReplicator owner = Owner();
	EndReplicas replicas;
	for (uint64 number = 1; number <= 5000; ++number)
	{
		owner.Note("w1", Row(number));
		Tell(owner, replicas, 100);
	}
	EXPECT_EQ(replicas.Size(), 2000u);
}

} // namespace Loomreach::Jobs
