// Claims of cells, leases, and the order in which hosts may claim.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Ownership/CellNames.h>
#include <Loomreach/Ownership/OwnedLog.h>
#include <Loomreach/Ownership/OwnerTable.h>
#include <UnitTests/FakeLog.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

const LogName cName{"keyed.cell0", 0};

/// A claimant, and the result of its claim.
struct Claimant
{
	Claimant(FakeLog &ioLog, const std::string &inHost, uint64 inIncarnation) : log(ioLog, cName, HostProcess{inHost, inIncarnation, 1}) {}

	void Claim(uint64 inMostEpoch = 100 * cTokensPerEpoch)
	{
		this->log.Claim(
			1, [inMostEpoch](const ClaimRecord &inSeen) { return inSeen.epoch < inMostEpoch; },
			[this](bool inWon, const OwnedLog<FakeLog>::Records &inRecords)
			{
				this->settled = true;
				this->won = inWon;
				this->records = inRecords;
			});
	}

	OwnedLog<FakeLog> log;
	bool settled = false;
	bool won = false;
	OwnedLog<FakeLog>::Records records;
};

HostHeartbeat MakeHeartbeat(const std::string &inHost, uint64 inNumber, std::vector<OwnedCell> inCells, uint32 inWeight = 250)
{
	HostHeartbeat heartbeat;
	heartbeat.host = inHost;
	heartbeat.incarnation = HashBytes(inHost);
	heartbeat.number = inNumber;
	heartbeat.weight = inWeight;
	heartbeat.cells = std::move(inCells);
	return heartbeat;
}

} // namespace

TEST(OwnedLog, TwoClaimsAtOnceHaveOneWinner)
{
	// Guards against two claimants that use the same producer, epoch and sequence number: the store gives the loser the winner's answer
	FakeLog log;
	Claimant a(log, "a", 1);
	Claimant b(log, "b", 2);
	a.Claim(1);
	b.Claim(1);
	FakeLog::RunMainLoopFor();
	EXPECT_TRUE(a.settled && b.settled);
	EXPECT_NE(a.won, b.won);
	EXPECT_EQ(log.Size(cName), 1u);
}

/// Guards against a claim in the log that its own author takes for lost.
TEST(OwnedLog, AClaimWhoseAnswerWasLostIsStillWon)
{
	FakeLog log;
	log.fates = {FakeLog::EFate::LoseAnswer};
	Claimant a(log, "a", 1);
	a.Claim();
	FakeLog::RunMainLoopFor();
	EXPECT_TRUE(a.won);
	EXPECT_EQ(log.Size(cName), 1u);
}

TEST(OwnedLog, ARefusedClaimIsTriedAgain)
{
	FakeLog log;
	log.fates = {FakeLog::EFate::Refuse, FakeLog::EFate::Vanish};
	Claimant a(log, "a", 1);
	a.Claim();
	FakeLog::RunMainLoopFor(400);
	EXPECT_TRUE(a.won);
}

/// Guards against an owner that starts without the records of its predecessor.
TEST(OwnedLog, AnUnreadableLogIsNotClaimed)
{
	FakeLog log;
	log.readable = false;
	Claimant a(log, "a", 1);
	a.Claim();
	FakeLog::RunMainLoopFor();
	EXPECT_TRUE(a.settled);
	EXPECT_FALSE(a.won);
	EXPECT_EQ(log.Size(cName), 0u);
}

TEST(OwnedLog, ASuccessorReadsAllAndFencesItsPredecessor)
{
	FakeLog log;
	Claimant a(log, "a", 1);
	a.Claim();
	FakeLog::RunMainLoopFor();
	bool first = false;
	a.log.Append({{"k", "1", 0}, {"l", "2", 0}}, [&](bool inDone) { first = inDone; });
	FakeLog::RunMainLoopFor();
	ASSERT_TRUE(first);
	Claimant b(log, "b", 2);
	b.Claim();
	FakeLog::RunMainLoopFor();
	ASSERT_TRUE(b.won);
	EXPECT_EQ(b.records.at("k"), "1");
	EXPECT_GT(b.log.Epoch(), a.log.Epoch());
	bool late = true;
	a.log.Append({{"k", "late", 0}}, [&](bool inDone) { late = inDone; });
	FakeLog::RunMainLoopFor();
	EXPECT_FALSE(late);
}

/// Guards against a repeated append that writes its records twice.
TEST(OwnedLog, AnAppendWhoseAnswerWasLostIsDoneOnce)
{
	FakeLog log;
	Claimant a(log, "a", 1);
	a.Claim();
	FakeLog::RunMainLoopFor();
	log.fates = {FakeLog::EFate::LoseAnswer, FakeLog::EFate::LoseAnswer, FakeLog::EFate::Refuse};
	bool done = false;
	a.log.Append({{"k", "1", 0}}, [&](bool inDone) { done = inDone; });
	FakeLog::RunMainLoopFor(600);
	EXPECT_TRUE(done);
	EXPECT_EQ(log.Size(cName), 2u);
}

/// Guards against two owners of one cell at the same time.
TEST(OwnerTable, ACellIsFreeOnlyAfterTheWholeLease)
{
	LeaseTuning tuning;
	OwnerTable table("me", tuning);
	table.OnHeartbeat(MakeHeartbeat("other", 1, {{7, 3}}), 1000);
	EXPECT_FALSE(table.IsFree(7, 1000 + tuning.lease_ms));
	EXPECT_TRUE(table.IsFree(7, 1001 + tuning.lease_ms));
	// A newer heartbeat restarts the lease; the same one read again does not
	table.OnHeartbeat(MakeHeartbeat("other", 2, {{7, 3}}), 2000);
	table.OnHeartbeat(MakeHeartbeat("other", 2, {{7, 3}}), 3500);
	EXPECT_FALSE(table.IsFree(7, 2000 + tuning.lease_ms));
	EXPECT_TRUE(table.IsFree(7, 2001 + tuning.lease_ms));
	// Released
	table.OnHeartbeat(MakeHeartbeat("other", 3, {}), 4000);
	EXPECT_TRUE(table.IsFree(7, 4000));
}

TEST(OwnerTable, AClaimWithoutAHeartbeatHoldsForALease)
{
	LeaseTuning tuning;
	OwnerTable table("me", tuning);
	table.OnClaimSeen(7, {{"other", HashBytes("other"), 1}, 4, 5}, 1000);
	EXPECT_FALSE(table.IsFree(7, 1500));
	EXPECT_TRUE(table.IsFree(7, 1001 + tuning.lease_ms));
}

TEST(OwnerTable, AClaimHoldsThoughAnOlderHeartbeatIsReadAfterIt)
{
	// A heartbeat from before a claim may be read after it. Guards against taking it for a release: a second host would claim the fleet
	// between the claim of the first one and its next heartbeat
	LeaseTuning tuning;
	OwnerTable table("me", tuning);
	table.OnClaimSeen(7, {{"other", HashBytes("other"), 1}, 4, 5}, 1000);
	table.OnHeartbeat(MakeHeartbeat("other", 5, {}), 1100);
	EXPECT_FALSE(table.IsFree(7, 1200));
	// The next one was sent after the claim: it does not list the cell, so the claim was released
	table.OnHeartbeat(MakeHeartbeat("other", 6, {}), 1300);
	EXPECT_TRUE(table.IsFree(7, 1300));
}

TEST(OwnerTable, AClaimOfAProcessThatWasSucceededHoldsNothing)
{
	// Where all processes were killed at once, a host may read a successor's heartbeat before the claim of its ended predecessor. Guards
	// against that claim holding for a whole lease: nobody moved hosts for 2.3 s
	LeaseTuning tuning;
	OwnerTable table("me", tuning);
	HostHeartbeat successor = MakeHeartbeat("other", 1, {});
	successor.incarnation = 77;
	successor.start = 2;
	table.OnHeartbeat(successor, 1000);
	table.OnClaimSeen(7, {{"other", HashBytes("other"), 1}, 4, 5}, 1100);
	EXPECT_TRUE(table.IsFree(7, 1100));
	// The successor's own claim holds
	table.OnClaimSeen(7, {{"other", 77, 2}, 5, 1}, 1200);
	EXPECT_FALSE(table.IsFree(7, 1200));
	// So does a claim of a newer process than any that is known
	table.OnClaimSeen(7, {{"other", 78, 3}, 6, 1}, 1300);
	EXPECT_FALSE(table.IsFree(7, 1300));
}

TEST(OwnerTable, AHeartbeatOlderThanADirectMessageCountsForNothing)
{
	// Guards against taking the last heartbeat of an owner from before an outage of the store, which is read only after it, for a new one:
	// its cell would have no owner for two more seconds
	LeaseTuning tuning;
	OwnerTable table("me", tuning);
	table.OnHeartbeat(MakeHeartbeat("other", 5, {{7, 3}}), 1000);
	// A direct message at 3000 ms says that the cell was released; the log still shows an earlier heartbeat
	table.OnHeartbeat(MakeHeartbeat("other", 7, {}), 3000);
	table.OnHeartbeat(MakeHeartbeat("other", 6, {{7, 3}}), 5000);
	EXPECT_TRUE(table.IsFree(7, 5000));
	// A claim that it had started before is over as well
	table.OnClaimSeen(7, {{"other", HashBytes("other"), 0}, 3, 6}, 5100);
	EXPECT_TRUE(table.IsFree(7, 5100));
}

/// Guards against losing an owner and its replicas together with a whole zone.
TEST(OwnerTable, ReplicasAreInOtherZonesWhereThereAreAny)
{
	OwnerTable table("me", LeaseTuning{});
	const auto receive = [&table](const std::string &inHost, const std::string &inZone, uint16 inPort)
	{
		HostHeartbeat heartbeat = MakeHeartbeat(inHost, 1, {});
		heartbeat.availability_zone = inZone;
		heartbeat.address = {"127.0.0.1", inPort};
		table.OnHeartbeat(heartbeat, 1000);
	};
	receive("me", "a", 1);
	receive("near-1", "a", 2);
	receive("near-2", "a", 3);
	EXPECT_EQ(table.ReplicaHosts(1000).size(), 2u);
	receive("far-1", "b", 4);
	receive("far-2", "b", 5);
	receive("farther", "c", 6);
	std::set<uint16> ports;
	for (const Address &address : table.ReplicaHosts(1000))
		ports.insert(address.port);
	ASSERT_EQ(ports.size(), 2u);
	EXPECT_TRUE(ports.contains(6));
	EXPECT_TRUE(ports.contains(4) || ports.contains(5));
	EXPECT_TRUE(table.ReplicaHosts(60000).empty());
}

TEST(OwnerTable, HostsThatTheStoreRefusesAreNotWaitedFor)
{
	// Three owners that the store refuses report that they have released their cells. Guards against ranking them first for these cells
	// because they own none now: each delayed the others by 350 ms, and a claim of rank 3 came only after 1,184 ms
	LeaseTuning tuning;
	OwnerTable table("me", tuning);
	table.OnHeartbeat(MakeHeartbeat("me", 1, {}), 1000);
	for (const char *name : {"owner1", "owner2", "owner3"})
	{
		HostHeartbeat heartbeat = MakeHeartbeat(name, 5, {{name[5] - '0' + 6u, 1}});
		heartbeat.weight = 4;
		table.OnHeartbeat(heartbeat, 1000);
	}
	EXPECT_TRUE(table.CellsToClaim({7, 8, 9}, 1500, 0).empty());
	for (const char *name : {"owner1", "owner2", "owner3"})
	{
		HostHeartbeat heartbeat = MakeHeartbeat(name, 6, {});
		heartbeat.weight = 4;
		table.OnHeartbeat(MakeReleaseHeartbeat(heartbeat, std::nullopt, 1000), 1500);
	}
	EXPECT_EQ(table.CellsToClaim({7, 8, 9}, 1500, 0), (std::vector<uint32>{7, 8, 9}));
}

TEST(OwnerTable, TheFleetWaitsOnlyForOrdersInFlight)
{
	// Guards against counting a release as a heartbeat that renews the whole lease: the fleet would have no owner for 2.3 s
	OwnerTable table("me", LeaseTuning{});
	table.OnHeartbeat(MakeHeartbeat("me", 1, {}), 1000);
	table.OnHeartbeat(MakeHeartbeat("owner", 5, {{cFleetCell, 1}}), 1000);
	EXPECT_FALSE(table.IsFree(cFleetCell, 1500));
	table.OnHeartbeat(MakeReleaseHeartbeat(MakeHeartbeat("owner", 6, {{cFleetCell, 1}}), OwnedCell{cFleetCell, 1, true}, 400), 1500);
	EXPECT_FALSE(table.IsFree(cFleetCell, 1800));
	EXPECT_TRUE(table.IsFree(cFleetCell, 2000));
	table.OnHeartbeat(MakeReleaseHeartbeat(MakeHeartbeat("owner", 7, {{cFleetCell, 1}}), std::nullopt, 400), 2000);
	EXPECT_TRUE(table.IsFree(cFleetCell, 2000));
}

TEST(OwnerTable, ASmallHostHandsItsCellOverOnceALargeOneIsBack)
{
	// The store refuses four of six large hosts for 8 s, and two hosts with 10 Mbit/s claim busy cells. Guards against their keeping these
	// cells once the large hosts are back: jobs would be slow, and long-running tasks would make no progress
	LeaseTuning tuning;
	OwnerTable table("small", tuning);
	uint64 number = 0;
	const auto receive = [&](Millis inNow, bool inLargeClaims)
	{
		++number;
		HostHeartbeat small = MakeHeartbeat("small", number, {{7, 2}});
		small.weight = 120;
		HostHeartbeat large = MakeHeartbeat("large", number, {{8, 1}});
		large.weight = 500;
		large.claims = inLargeClaims;
		HostHeartbeat other = MakeHeartbeat("other", number, {});
		other.weight = 120;
		for (const HostHeartbeat &heartbeat : {small, large, other})
			table.OnHeartbeat(heartbeat, inNow);
	};
	for (Millis now = 1000; now < 9000; now += 500)
	{
		receive(now, false);
		EXPECT_FALSE(table.ShouldHandOver(1, now)) << "only hosts as small are there";
	}
	receive(9000, true);
	EXPECT_FALSE(table.ShouldHandOver(1, 9000));
	for (Millis now = 9500; now < 11000; now += 500)
	{
		receive(now, true);
		EXPECT_FALSE(table.ShouldHandOver(1, now));
	}
	receive(11000, true);
	EXPECT_TRUE(table.ShouldHandOver(1, 11000));
}

TEST(OwnerTable, EqualHostsDoNotPassCellsRound)
{
	for (size_t own = 0; own < 6; ++own)
		for (size_t others = 0; others < 6; ++others)
		{
			OwnerTable table("me", LeaseTuning{});
			std::vector<OwnedCell> cells;
			for (uint32 i = 0; i < others; ++i)
				cells.push_back({100 + i, 1});
			bool gives = false;
			for (uint64 i = 1; i < 8; ++i)
			{
				table.OnHeartbeat(MakeHeartbeat("me", i, {}), static_cast<Millis>(i) * 500);
				table.OnHeartbeat(MakeHeartbeat("other", i, cells), static_cast<Millis>(i) * 500);
				gives = table.ShouldHandOver(own, static_cast<Millis>(i) * 500);
			}
			// The host that gets the cell would not pass it back
			EXPECT_EQ(gives, 2 * (others + 1) < own) << own << " here, " << others << " there";
		}
}

TEST(OwnerTable, AHeartbeatWithALowerEpochHoldsNothing)
{
	// Where all processes were killed, the last heartbeat of a host that was removed long before may be read as a new one. Guards against
	// its holding a cell that two others have owned since: the cell would have no owner for two more seconds
	OwnerTable table("me", LeaseTuning{});
	table.OnHeartbeat(MakeHeartbeat("removed", 9, {{7, 1}}), 1000);
	table.OnHeartbeat(MakeHeartbeat("other", 5, {{7, 3}}), 1000);
	// The later owner has released the cell
	table.OnHeartbeat(MakeHeartbeat("other", 6, {}), 1100);
	EXPECT_FALSE(table.IsFree(7, 1100));
	table.OnClaimSeen(7, {{"other", HashBytes("other"), 0}, 3, 4}, 1100);
	EXPECT_TRUE(table.IsFree(7, 1100));
	// A host that is only about to claim has no epoch yet
	table.OnHeartbeat(MakeHeartbeat("third", 1, {{7, 0, false}}), 1200);
	EXPECT_FALSE(table.IsFree(7, 1200));
}

TEST(OwnerTable, ForgetsLostHosts)
{
	OwnerTable table("me", LeaseTuning{});
	table.OnHeartbeat(MakeHeartbeat("me", 1, {}), 1000);
	table.OnHeartbeat(MakeHeartbeat("gone", 9, {{7, 1}}), 1000);
	table.OnHeartbeat(MakeHeartbeat("here", 9, {{8, 1}}), 9000);
	EXPECT_EQ(table.UnresponsiveFor(5000, 10000), std::vector<std::string>{"gone"});
	table.Forget("gone");
	EXPECT_FALSE(table.LastOwnerOf(7).has_value());
	EXPECT_TRUE(table.LastOwnerOf(8).has_value());
}

TEST(OwnerTable, ACellThatIsBeingClaimedIsNotFree)
{
	// A heartbeat that is sent while a claim is in flight must list it. Otherwise the cell looks released as soon as the claim is read, and
	// a second host claims it
	OwnerTable table("me", LeaseTuning{});
	table.OnClaimSeen(7, {{"other", HashBytes("other"), 1}, 4, 5}, 1000);
	table.OnHeartbeat(MakeHeartbeat("other", 6, {{7, 4, false}}), 1100);
	EXPECT_FALSE(table.IsFree(7, 1200));
	EXPECT_FALSE(table.OwnerOf(7, 1200).has_value());
	EXPECT_FALSE(table.IsSuperseded(7, 1));
	table.OnHeartbeat(MakeHeartbeat("other", 7, {{7, 4, true}}), 1300);
	EXPECT_TRUE(table.OwnerOf(7, 1400).has_value());
}

/// Guards against an owner that goes on after another host has claimed its cell.
TEST(OwnerTable, AHigherEpochElsewhereEndsAnOwnership)
{
	OwnerTable table("me", LeaseTuning{});
	table.OnHeartbeat(MakeHeartbeat("other", 1, {{7, 4}}), 1000);
	EXPECT_TRUE(table.IsSuperseded(7, 3));
	EXPECT_FALSE(table.IsSuperseded(7, 4));
	EXPECT_FALSE(table.IsSuperseded(8, 1));
}

TEST(OwnerTable, AnEarlierIncarnationOfThisHostHoldsNothing)
{
	OwnerTable table("me", LeaseTuning{});
	table.OnHeartbeat(MakeHeartbeat("me", 1, {{7, 3}}), 1000);
	EXPECT_TRUE(table.IsFree(7, 1001));
}

TEST(OwnerTable, HostsWithFewCellsForTheirSizeClaimFirst)
{
	LeaseTuning tuning;
	OwnerTable small("small", tuning);
	OwnerTable large("large", tuning);
	for (OwnerTable *table : {&small, &large})
	{
		table->OnHeartbeat(MakeHeartbeat("small", 1, {}, 120), 1000);
		table->OnHeartbeat(MakeHeartbeat("large", 1, {{1, 1}}, 500), 1000);
	}
	EXPECT_TRUE(small.CellsToClaim({7}, 1000).empty());
	EXPECT_EQ(large.CellsToClaim({7}, 1000, 1), std::vector<uint32>{7});
	// If the first does not claim, the next one does, a little later
	EXPECT_EQ(small.CellsToClaim({7}, 1000 + tuning.rank_delay_ms), std::vector<uint32>{7});
}

TEST(OwnerTable, AHostCountsItsOwnCellsBeforeItsHeartbeatListsThem)
{
	// Heartbeats are read half a second after they are sent. Guards against a host that claims a second cell meanwhile, while others of its
	// size have none: it would be short of processor time from then on
	OwnerTable table("me", LeaseTuning{});
	table.OnHeartbeat(MakeHeartbeat("me", 1, {}), 1000);
	table.OnHeartbeat(MakeHeartbeat("other", 1, {}), 1000);
	EXPECT_TRUE(table.CellsToClaim({7}, 1000, 1).empty());
	// What an earlier process of this host owned does not count against it
	HostHeartbeat earlier = MakeHeartbeat("me", 9, {{1, 1}, {2, 1}});
	earlier.incarnation = 77;
	table.OnHeartbeat(earlier, 1100);
	table.OnHeartbeat(MakeHeartbeat("other", 2, {{3, 1}}), 1100);
	EXPECT_EQ(table.CellsToClaim({8}, 1100, 0), std::vector<uint32>{8});
}

TEST(OwnLease, EndsBeforeAnyChallengersWait)
{
	LeaseTuning tuning;
	OwnLease lease(tuning);
	EXPECT_FALSE(lease.MayAct(1000));
	EXPECT_TRUE(lease.OnAcknowledged(1000, tuning.lease_ms, 1100));
	EXPECT_TRUE(lease.MayAct(1000 + tuning.lease_ms - tuning.slack_ms - 1));
	EXPECT_FALSE(lease.MayAct(1000 + tuning.lease_ms - tuning.slack_ms));
	// Acknowledged after the lease has expired: what was owned is lost
	EXPECT_FALSE(lease.OnAcknowledged(2000, tuning.lease_ms, 5000));
}

TEST(OwnLease, AShorterLeaseEndsALongerOne)
{
	// A challenger that reads only the second heartbeat counts its lease from there
	LeaseTuning tuning;
	OwnLease lease(tuning);
	EXPECT_TRUE(lease.OnAcknowledged(1000, 2000, 1100));
	lease.OnSent(1200, 1500);
	EXPECT_EQ(lease.Until(), 1200 + 1500 - tuning.slack_ms);
	// A longer one counts only once it is acknowledged
	lease.OnSent(1300, 2000);
	EXPECT_EQ(lease.Until(), 1200 + 1500 - tuning.slack_ms);
	EXPECT_TRUE(lease.OnAcknowledged(1300, 2000, 1400));
	EXPECT_EQ(lease.Until(), 1300 + 2000 - tuning.slack_ms);
}

TEST(OwnLease, ALateAcknowledgementOfALongerLeaseDoesNotOutlastAShorterOneSentSince)
{
	// Guards against two owners at a time: the lease of the earlier heartbeat ended after a challenger's count of the later one
	LeaseTuning tuning;
	OwnLease lease(tuning);
	OwnerTable challenger("me", tuning);
	lease.OnSent(1000, 2000);
	EXPECT_TRUE(lease.OnAcknowledged(1000, 2000, 1005));
	lease.OnSent(1400, 2000);
	lease.OnSent(1410, 1500);
	HostHeartbeat second = MakeHeartbeat("other", 3, {{7, 3}});
	second.lease_ms = 1500;
	challenger.OnHeartbeat(second, 1411);
	EXPECT_TRUE(lease.OnAcknowledged(1400, 2000, 1420));
	ASSERT_TRUE(challenger.IsFree(7, 1411 + 1501));
	EXPECT_FALSE(lease.MayAct(1411 + 1501));
	EXPECT_EQ(lease.Until(), 1410 + 1500 - tuning.slack_ms);
	// Once a later heartbeat is acknowledged, every challenger that reads before it claims counts from that one or a later one
	lease.OnSent(1800, 2000);
	EXPECT_TRUE(lease.OnAcknowledged(1800, 2000, 1810));
	EXPECT_EQ(lease.Until(), 1800 + 2000 - tuning.slack_ms);
	// An acknowledgement of an earlier one changes nothing any more
	EXPECT_TRUE(lease.OnAcknowledged(1410, 1500, 1820));
	EXPECT_EQ(lease.Until(), 1800 + 2000 - tuning.slack_ms);
}

namespace
{

/// A heartbeat of an owner: when it is sent, acknowledged, and heard by a challenger before it must be.
struct PlayedHeartbeat
{
	HostHeartbeat heartbeat;
	Millis sent_at = 0;
	std::optional<Millis> acknowledged_at;
	std::optional<Millis> heard_early_at;
};

/// Plays an owner and a challenger, each step of 1 ms. Returns when the owner acted though the challenger had found its cell free.
std::optional<Millis> FirstTimeWithTwoOwners(const std::vector<PlayedHeartbeat> &inHeartbeats, Millis inReadIntervalMs, Millis inSlackMs)
{
	LeaseTuning tuning;
	tuning.slack_ms = inSlackMs;
	OwnLease lease(tuning);
	OwnerTable challenger("me", tuning);
	bool found_free = false;
	const Millis end = inHeartbeats.back().sent_at + 2 * tuning.lease_ms;
	for (Millis now = inHeartbeats.front().sent_at; now < end; ++now)
	{
		for (const PlayedHeartbeat &played : inHeartbeats)
			if (played.sent_at == now)
				lease.OnSent(now, played.heartbeat.lease_ms);
		for (const PlayedHeartbeat &played : inHeartbeats)
		{
			// Too late: the owner gives up its cells
			if (played.acknowledged_at == now && !lease.OnAcknowledged(played.sent_at, played.heartbeat.lease_ms, now))
				return std::nullopt;
			if (played.heard_early_at == now)
				challenger.OnHeartbeat(played.heartbeat, now);
		}
		// What was acknowledged is in the log, and a challenger reads it before it claims
		if (now % inReadIntervalMs == 0)
		{
			for (const PlayedHeartbeat &played : inHeartbeats)
				if (played.acknowledged_at.has_value() && *played.acknowledged_at <= now)
					challenger.OnHeartbeat(played.heartbeat, now);
			found_free = found_free || (lease.Until() != 0 && challenger.IsFree(7, now));
		}
		if (found_free && lease.MayAct(now))
			return now;
	}
	return std::nullopt;
}

} // namespace

/// Guards against an owner that acts while a challenger, which may have read any heartbeat that was sent, finds its cell free.
RC_GTEST_PROP(OwnLease, NeverActsWhileAChallengerFindsTheCellFree, ())
{
	constexpr Millis cShortLeaseMs = 1500;
	constexpr Millis cLongLeaseMs = 2000;
	constexpr Millis cSlackMs = 300;
	std::vector<PlayedHeartbeat> heartbeats;
	Millis sent_at = 1000;
	const int count = *rc::gen::inRange(2, 10);
	for (int i = 0; i < count; ++i)
	{
		PlayedHeartbeat played;
		played.heartbeat = MakeHeartbeat("other", static_cast<uint64>(i) + 1, {{7, 3}});
		played.heartbeat.lease_ms = *rc::gen::element(cShortLeaseMs, cLongLeaseMs);
		played.sent_at = sent_at;
		// The first one gives the owner its lease
		if (i == 0 || *rc::gen::inRange(0, 3) > 0)
			played.acknowledged_at = sent_at + *rc::gen::inRange<Millis>(0, *rc::gen::element<Millis>(30, 1600));
		if (*rc::gen::arbitrary<bool>())
			played.heard_early_at = sent_at + *rc::gen::inRange<Millis>(0, *rc::gen::element<Millis>(10, 1600));
		heartbeats.push_back(std::move(played));
		sent_at += *rc::gen::element<Millis>(0, *rc::gen::inRange<Millis>(0, 50), 375, *rc::gen::inRange<Millis>(0, 1600));
	}
	// With a slack of 0 both ends meet, so that any excess is seen
	const Millis slack_ms = *rc::gen::element<Millis>(0, cSlackMs);
	const Millis read_interval_ms = *rc::gen::element<Millis>(1, 30, 500);
	const std::optional<Millis> both_at = FirstTimeWithTwoOwners(heartbeats, read_interval_ms, slack_ms);
	for (const PlayedHeartbeat &played : heartbeats)
		RC_LOG() << "sent " << played.sent_at << " lease " << played.heartbeat.lease_ms << " acknowledged "
				 << played.acknowledged_at.value_or(-1) << " heard " << played.heard_early_at.value_or(-1) << "\n";
	RC_LOG() << "slack " << slack_ms << " reads every " << read_interval_ms << " both act at " << both_at.value_or(-1) << "\n";
	RC_ASSERT(!both_at.has_value());
}

/// Guards against a gap in the ownership of a host whose heartbeats are acknowledged in time, whatever the leases that they announce.
RC_GTEST_PROP(OwnLease, HasNoGapWhileHeartbeatsAreAcknowledgedInTime, ())
{
	constexpr Millis cIntervalMs = 375;
	constexpr Millis cShortLeaseMs = 1500;
	constexpr Millis cLongLeaseMs = 2000;
	const LeaseTuning tuning;
	// With every second answer lost, the next acknowledgement comes an interval later
	const bool loses_answers = *rc::gen::arbitrary<bool>();
	const Millis max_latency_ms = cShortLeaseMs - tuning.slack_ms - (loses_answers ? 2 : 1) * cIntervalMs;
	const int percent_long = *rc::gen::element(0, 10, 50, 100);
	OwnLease lease(tuning);
	std::multimap<Millis, std::pair<Millis, Millis>> answers; // By time: when the heartbeat was sent, and its lease
	std::optional<Millis> acts_since;
	for (Millis now = 0; now < 60 * cIntervalMs; ++now)
	{
		if (now % cIntervalMs == 0)
		{
			const Millis lease_ms = *rc::gen::inRange(0, 100) < percent_long ? cLongLeaseMs : cShortLeaseMs;
			lease.OnSent(now, lease_ms);
			if (!loses_answers || now / cIntervalMs % 2 == 0)
				answers.emplace(now + *rc::gen::inRange<Millis>(0, max_latency_ms), std::pair{now, lease_ms});
		}
		for (auto [answer, last] = answers.equal_range(now); answer != last; ++answer)
		{
			RC_ASSERT(lease.OnAcknowledged(answer->second.first, answer->second.second, now));
			acts_since = acts_since.value_or(now);
		}
		RC_ASSERT(!acts_since.has_value() || lease.MayAct(now));
	}
	RC_ASSERT(acts_since.has_value());
}

TEST(OwnerTable, ALeaseIsAsLongAsItsHeartbeatSays)
{
	LeaseTuning tuning;
	OwnerTable table("me", tuning);
	HostHeartbeat heartbeat = MakeHeartbeat("other", 1, {{7, 3}});
	heartbeat.lease_ms = 1500;
	table.OnHeartbeat(heartbeat, 1000);
	EXPECT_FALSE(table.IsFree(7, 2500));
	EXPECT_TRUE(table.IsFree(7, 2501));
	EXPECT_LT(heartbeat.lease_ms, tuning.lease_ms);
}

/// The logs and inboxes of 298 pools must fit into 100 topics of the store.
TEST(CellNames, AllPoolsFitTheStoresTopics)
{
	std::set<std::string> topics{HeartbeatLog(0).topic, CellLog(cFleetCell, 8).topic};
	for (int i = 0; i < 298; ++i)
	{
		const uint32 cell = CellOf("pool" + std::to_string(i), 8);
		topics.insert(CellLog(cell, 8).topic);
		topics.insert(InboxLog(cell, 8).topic);
		EXPECT_LT(CellLog(cell, 8).partition, 8u);
	}
	EXPECT_LE(topics.size(), 100u);
}

/// Guards against a successor that notices the end of a lease only at its next regular read.
TEST(OwnerTable, TheNextReadIsDueWhenTheFirstLeaseExpires)
{
	LeaseTuning tuning;
	OwnerTable table("a", tuning);
	EXPECT_FALSE(table.NextLeaseExpiry(0).has_value());
	HostHeartbeat short_lease = MakeHeartbeat("b", 1, {{1, 5, true}});
	short_lease.lease_ms = 1500;
	table.OnHeartbeat(short_lease, 1000);
	table.OnHeartbeat(MakeHeartbeat("c", 1, {{2, 5, true}}), 1000);
	table.OnHeartbeat(MakeHeartbeat("d", 1, {}), 0);
	EXPECT_EQ(table.NextLeaseExpiry(1200), 1301);
	EXPECT_FALSE(table.IsFree(1, 2500));
	EXPECT_TRUE(table.IsFree(1, 2501));
	// The expired lease causes no more reads; the other one is next
	EXPECT_EQ(table.NextLeaseExpiry(2501), tuning.lease_ms - 1500);
	// Heard again, by datagram or in the log: the same heartbeat does not start its lease anew
	table.OnHeartbeat(short_lease, 2600);
	EXPECT_TRUE(table.IsFree(1, 2600));
}

TEST(OwnerTable, AnOlderStartsHeartbeatCountsForNothing)
{
	// Heartbeats are spread over several partitions: one that an earlier process of a host left in one of them may be read after a newer
	// one
	OwnerTable table("me", LeaseTuning{});
	HostHeartbeat newer = MakeHeartbeat("other", 1, {});
	newer.incarnation = 2;
	newer.start = 5;
	HostHeartbeat older = MakeHeartbeat("other", 900, {{7, 3}});
	older.incarnation = 1;
	older.start = 4;
	table.OnHeartbeat(newer, 1000);
	table.OnHeartbeat(older, 1010);
	EXPECT_FALSE(table.LastOwnerOf(7).has_value());
	EXPECT_EQ(table.StartCountOf("other"), 5u);
	EXPECT_EQ(table.StartCountOf("nobody"), 0u);
}

TEST(OwnerTable, OwnersShareOutThePartitionsOfHeartbeats)
{
	// With a store sixty times as slow and all heartbeats in one partition, six owners wait for each other longer than their leases last:
	// nobody owned anything for seven seconds
	const std::vector<std::string> owners{"a", "b", "c", "d", "e", "f"};
	std::map<uint32, size_t> in_partition;
	for (const std::string &self : owners)
	{
		OwnerTable table(self, LeaseTuning{});
		for (uint32 i = 0; i < owners.size(); ++i)
			table.OnHeartbeat(MakeHeartbeat(owners[i], 1, {{i, 1}}), 1000);
		table.OnHeartbeat(MakeHeartbeat("idle", 1, {}), 1000);
		++in_partition[table.HeartbeatPartition(4, true, 1100)];
	}
	for (const auto &[partition, count] : in_partition)
		EXPECT_EQ(count, 2u) << partition;
	EXPECT_EQ(in_partition.size(), 3u);
	// Hosts without cells use other partitions
	OwnerTable idle("idle", LeaseTuning{});
	EXPECT_FALSE(in_partition.contains(idle.HeartbeatPartition(4, false, 1100)));
}

/// Guards against a fixed bound on the heartbeat interval of hosts without cells: what all of them read of all others grows with the square
/// of the fleet.
TEST(OwnerTable, IdleHostsTogetherSendNoMoreHeartbeatsInALargerFleet)
{
	constexpr double cMaxHeartbeatsPerS = 35.0;
	for (const size_t fleet : {300u, 585u, 1170u, 2340u})
	{
		OwnerTable table("host-z", LeaseTuning{});
		for (size_t i = 0; i < fleet; ++i)
			table.OnHeartbeat(MakeHeartbeat("host-" + std::to_string(i), 1, {}), 1000);
		table.OnHeartbeat(MakeHeartbeat("host-z", 1, {}), 1000);
		ASSERT_FALSE(table.IsCandidateSuccessor(1100));
		EXPECT_LT(static_cast<double>(fleet) * 1000.0 / static_cast<double>(table.IdleInterval(1100)), cMaxHeartbeatsPerS) << fleet;
	}
}

/// Guards against a large fleet whose hosts all start at once and wait for each other in one partition, until the store refuses them.
TEST(OwnerTable, HostsThatAllStartShareOutThePartitionsOfHeartbeats)
{
	std::map<uint32, size_t> in_partition;
	for (size_t i = 0; i < 400; ++i)
	{
		OwnerTable table("host-" + std::to_string(i), LeaseTuning{});
		table.OnHeartbeat(MakeHeartbeat("another", 1, {}), 1000);
		++in_partition[table.HeartbeatPartition(4, false, 1100)];
	}
	EXPECT_EQ(in_partition.size(), 4u);
	for (const auto &[partition, count] : in_partition)
		EXPECT_LT(count, 150u) << partition;
}

/// Guards against removing a host as lost only because it sends heartbeats seldom.
TEST(OwnerTable, AHostIsLostOnlyAfterSeveralOfItsOwnHeartbeats)
{
	OwnerTable table("self", LeaseTuning{});
	HostHeartbeat seldom = MakeHeartbeat("seldom", 1, {});
	seldom.interval_ms = 17'000;
	table.OnHeartbeat(seldom, 1000);
	table.OnHeartbeat(MakeHeartbeat("often", 1, {}), 1000);
	EXPECT_EQ(table.UnresponsiveFor(12'000, 20'000), std::vector<std::string>{"often"});
	EXPECT_EQ(table.UnresponsiveFor(12'000, 60'000).size(), 2u);
}

} // namespace Loomreach::Jobs
