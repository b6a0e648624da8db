// Replicas of run ends that an owner has read and not persisted yet.

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

EndedRun MakeEnd(uint64 inNumber, ERunEnd inEnd = ERunEnd::Done)
{
	return {inNumber, {"0123456789abcdef", 0, 0, static_cast<uint32>(inNumber)}, 1, inEnd, ""};
}

RunEndReplicator Owner()
{
	RunEndReplicator owner;
	owner.Begin(cCell, cEpoch);
	return owner;
}

bool HasOwnerStopped(uint32, uint64) { return true; }
bool IsOwnerRunning(uint32, uint64) { return false; }

/// Delivers all pending updates of the owner to the host that keeps replicas.
void Deliver(RunEndReplicator &ioOwner, RunEndReplicas &ioReplicas, Millis inNow)
{
	while (std::optional<RunEndsUpdate> update = ioOwner.TakeUpdate(inNow))
		ioReplicas.OnUpdate(std::move(*update), inNow);
}

void Persist(RunEndReplicator &ioOwner)
{
	ioOwner.BeginWriting();
	ioOwner.OnWriting();
	ioOwner.OnLogged();
}

} // namespace

/// Guards against losing the run ends that a killed owner had read and not persisted.
TEST(RunEndReplicas, AnEndOutlivesTheOwnerThatReadIt)
{
	RunEndReplicator owner = Owner();
	RunEndReplicas replicas;
	owner.Add("w1", MakeEnd(1));
	owner.Add("w2", MakeEnd(5, ERunEnd::Failed));
	Deliver(owner, replicas, 100);
	EXPECT_TRUE(replicas.TakeOrphans(&IsOwnerRunning, 200).empty());
	const std::vector<OrphanedRunEnds> orphans = replicas.TakeOrphans(&HasOwnerStopped, 300);
	ASSERT_EQ(orphans.size(), 2u);
	EXPECT_EQ(orphans[0].cell, cCell);
	EXPECT_EQ(orphans[0].report.worker, "w1");
	EXPECT_EQ(orphans[0].report.epoch, cEpoch);
	EXPECT_EQ(orphans[1].report.ended.at(0).sequence, 5u);
	EXPECT_TRUE(replicas.TakeOrphans(&HasOwnerStopped, 400).empty());
}

/// Guards against keeping ends that the log contains: at each change of owner, all of them would be submitted again.
TEST(RunEndReplicas, PersistedEndsAreNotKept)
{
	RunEndReplicator owner = Owner();
	RunEndReplicas replicas;
	owner.Add("w1", MakeEnd(1));
	Deliver(owner, replicas, 100);
	owner.BeginWriting();
	owner.Add("w1", MakeEnd(2));
	Deliver(owner, replicas, 110);
	owner.OnWriting();
	owner.OnLogged();
	Deliver(owner, replicas, 2000);
	EXPECT_EQ(replicas.Size(), 1u);
	Persist(owner);
	Deliver(owner, replicas, 4000);
	EXPECT_EQ(replicas.Size(), 0u);
}

/// A release may arrive before the ends that it refers to; they must not be kept for ever.
TEST(RunEndReplicas, EndsThatArriveLateAreDroppedInTime)
{
	RunEndReplicator owner = Owner();
	RunEndReplicas replicas;
	owner.Add("w1", MakeEnd(1));
	const std::optional<RunEndsUpdate> late = owner.TakeUpdate(100);
	Persist(owner);
	Deliver(owner, replicas, 2000);
	ASSERT_TRUE(late.has_value());
	replicas.OnUpdate(*late, 2000);
	EXPECT_EQ(replicas.Size(), 1u);
	EXPECT_TRUE(replicas.TakeOrphans(&HasOwnerStopped, 60000).empty());
	EXPECT_EQ(replicas.Size(), 0u);
}

/// A worker's answer may list more ends than fit into one datagram.
TEST(RunEndReplicas, ManyEndsFitDatagrams)
{
	RunEndReplicator owner = Owner();
	for (uint64 number = 1; number <= 1000; ++number)
		owner.Add("w1", MakeEnd(number));
	size_t rows = 0;
	while (const std::optional<RunEndsUpdate> update = owner.TakeUpdate(100))
	{
		EXPECT_LT(EncodeValue(*update).size(), 32000u);
		for (const EndReport &report : update->reports)
			rows += report.ended.size();
	}
	EXPECT_EQ(rows, 1000u);
}

/// Without a bound, unresponsive owners would exhaust the memory of the host that keeps their replicas.
TEST(RunEndReplicas, TheirNumberIsBounded)
{
	RunEndReplicator owner = Owner();
	RunEndReplicas replicas;
	for (uint64 number = 1; number <= 5000; ++number)
	{
		owner.Add("w1", MakeEnd(number));
		Deliver(owner, replicas, 100);
	}
	EXPECT_EQ(replicas.Size(), 2000u);
}

} // namespace Loomreach::Jobs
