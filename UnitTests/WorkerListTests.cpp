// Which entries of the list of workers count.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Entry/WorkerList.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

static constexpr int64 cWallMs = 1'790'000'000'000;

static WorkerEntry EntryOf(int64 inStartedMs, uint16 inPort)
{
	WorkerEntry entry;
	entry.id = "w";
	entry.started_ms = inStartedMs;
	entry.address = {"10.0.0.1", inPort};
	return entry;
}

/// Port of the only worker in the list; 0: the list is empty.
static uint16 ListedPort(const WorkerList &inList) { return inList.Size() == 0 ? 0 : inList.All().front().address.port; }

/// Guards against a damaged entry under a live worker's id that takes the worker off the list.
TEST(WorkerList, ADamagedEntryLeavesTheFormerOne)
{
	WorkerList list;
	EXPECT_TRUE(list.Take("w", EntryOf(cWallMs - 5000, 1), cWallMs));
	EXPECT_FALSE(list.Take("w", std::nullopt, cWallMs));
	EXPECT_EQ(ListedPort(list), 1);
	list.Remove("w");
	EXPECT_EQ(ListedPort(list), 0);
	EXPECT_FALSE(list.Take("w", std::nullopt, cWallMs));
	EXPECT_EQ(ListedPort(list), 0);
}

/// Guards against an entry of another writer whose start time outranks the worker's own entries for as long as the worker runs.
TEST(WorkerList, AStartInTheFutureOutranksNothing)
{
	WorkerList list;
	EXPECT_FALSE(list.Take("w", EntryOf(INT64_MAX, 9), cWallMs));
	EXPECT_FALSE(list.Take("w", EntryOf(cWallMs + 2 * WorkerList::cMaxClockLeadMs, 9), cWallMs));
	EXPECT_EQ(ListedPort(list), 0);
	EXPECT_TRUE(list.Take("w", EntryOf(cWallMs - 5000, 1), cWallMs));
	EXPECT_EQ(ListedPort(list), 1);
}

/// Guards against going back to a former incarnation, or staying with it.
TEST(WorkerList, ALaterIncarnationReplacesAFormerOne)
{
	WorkerList list;
	EXPECT_TRUE(list.Take("w", EntryOf(cWallMs - 5000, 1), cWallMs));
	EXPECT_TRUE(list.Take("w", EntryOf(cWallMs + 1000, 2), cWallMs));
	EXPECT_TRUE(list.Take("w", EntryOf(cWallMs - 5000, 1), cWallMs));
	EXPECT_EQ(ListedPort(list), 2);
	EXPECT_TRUE(list.Take("w", EntryOf(cStartTimeUnknown, 3), cWallMs));
	EXPECT_EQ(ListedPort(list), 3);
}

} // namespace Loomreach::Jobs
