// Submissions to pools all of whose zones are evacuated: what an owner announces, and what each host makes of it.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Entry/CellDriver.h>
#include <Loomreach/State/Codec.h>
#include <UnitTests/FakeLog.h>

#include <cereal/types/tuple.hpp>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

constexpr Millis cLongLeaseMs = 600'000;
const std::set<std::string> cBothZones{"a", "b"};

struct UnresponsiveAdviser
{
	static void Ask(const AdviceRequest &, const std::function<void(const AdviceAnswer &)> &) {}
};

struct TestHub
{
	FakeLog store;
	UnresponsiveAdviser adviser;
};

WorkerEntry MakeWorker(const std::string &inId, const std::string &inPool, const std::string &inZone)
{
	WorkerEntry worker;
	worker.id = inId;
	worker.pool = inPool;
	worker.availability_zone = inZone;
	worker.capacity = {4000, 8000, 0};
	return worker;
}

/// Two pools of one cell.
class TwoPools
{
public:
	explicit TwoPools(uint32 inPartitions) : cell(CellOf(this->first, inPartitions))
	{
		for (int i = 0; this->second.empty(); ++i)
			if (CellOf("other" + std::to_string(i), inPartitions) == this->cell)
				this->second = "other" + std::to_string(i);
	}
	std::string first = "pool";
	std::string second;
	uint32 cell;
};

/// An owner of the cell of the two pools.
class TestOwner
{
public:
	TestOwner(TestHub &ioHub, const std::string &inHost)
		: pools(static_cast<uint32>(config.log_partitions)), lease(LeaseTuning{}), owners(inHost, LeaseTuning{}), host(inHost)
	{
		const Millis now = NowMillis();
		this->lease.OnAcknowledged(now, cLongLeaseMs, now);
		this->driver =
			std::make_unique<CellDriver<TestHub>>(ioHub,
												  DriverContext{this->config,
																this->metrics,
																this->lease,
																this->owners,
																{inHost, HashBytes(inHost), 1},
																[](const Order &, const std::function<void(const OrderAnswer &)> &) {}},
												  this->pools.cell);
	}
	void Claim()
	{
		this->driver->Claim(0, [](bool) {});
		for (int i = 0; i < 40 && !this->driver->IsHeld(); ++i)
			FakeLog::RunMainLoopFor(20);
		ASSERT_TRUE(this->driver->IsHeld());
	}
	void SetWorkers(Millis inTrustUntil = 0)
	{
		this->driver->SetWorkers(
			{MakeWorker("w1", this->pools.first, "a"), MakeWorker("w2", this->pools.first, "b"), MakeWorker("w3", this->pools.second, "c")},
			inTrustUntil);
	}
	/// Its next heartbeat, as the other hosts decode it.
	HostHeartbeat Heartbeat()
	{
		HostHeartbeat heartbeat;
		heartbeat.host = this->host;
		heartbeat.incarnation = HashBytes(this->host);
		heartbeat.number = ++this->number;
		heartbeat.cells.push_back({this->pools.cell, this->driver->Epoch(), this->driver->IsHeld(), this->driver->ClosedPools()});
		return DecodeValue<HostHeartbeat>(EncodeValue(heartbeat)).value();
	}
	/// Whether this host refuses a submission.
	bool Refuses(const std::string &inPool) const
	{
		return RefuseSubmission(inPool, "job", ClosedPoolsReport{this->driver->ClosedPools(), 0}).has_value();
	}

	JobHostConfig config;
	TwoPools pools;
	Metrics metrics;
	OwnLease lease;
	OwnerTable owners;
	std::string host;
	uint64 number = 0;
	std::unique_ptr<CellDriver<TestHub>> driver;
};

/// Whether a host without cells, which heard the heartbeats in `inTable`, refuses a submission.
bool Refuses(const OwnerTable &inTable, uint32 inCell, const std::string &inPool, Millis inNow)
{
	return RefuseSubmission(inPool, "job", inTable.ClosedPoolsOf(inCell, inNow)).has_value();
}

} // namespace

/// Guards against hosts that accept jobs for a pool where nothing may start, against refusing the other pool of the cell, and against
/// refusing after a zone was reopened.
TEST(PoolClosure, EveryHostRefusesForTheClosedPoolOnlyAndUntilItIsReopened)
{
	TestHub hub;
	TestOwner owner(hub, "owner");
	owner.Claim();
	owner.SetWorkers();
	OwnerTable idle("idle", LeaseTuning{});
	EXPECT_FALSE(Refuses(idle, owner.pools.cell, owner.pools.first, 0));
	const auto expect = [&](bool inRefused, Millis inNow)
	{
		idle.OnHeartbeat(owner.Heartbeat(), inNow);
		EXPECT_EQ(owner.Refuses(owner.pools.first), inRefused);
		EXPECT_EQ(Refuses(idle, owner.pools.cell, owner.pools.first, inNow), inRefused);
		EXPECT_FALSE(owner.Refuses(owner.pools.second));
		EXPECT_FALSE(Refuses(idle, owner.pools.cell, owner.pools.second, inNow));
	};
	owner.driver->SetEvacuated({"a"});
	expect(false, 10);
	owner.driver->SetEvacuated(cBothZones);
	expect(true, 20);
	owner.driver->SetEvacuated({"b"});
	expect(false, 30);
}

/// Guards against a host that refuses for good because it hears of no owner any more.
TEST(PoolClosure, OldNewsDoesNotCount)
{
	TestHub hub;
	TestOwner owner(hub, "owner");
	owner.Claim();
	owner.SetWorkers();
	owner.driver->SetEvacuated(cBothZones);
	OwnerTable idle("idle", LeaseTuning{});
	idle.OnHeartbeat(owner.Heartbeat(), 1000);
	EXPECT_TRUE(Refuses(idle, owner.pools.cell, owner.pools.first, 11000));
	EXPECT_FALSE(Refuses(idle, owner.pools.cell, owner.pools.first, 11001));
}

/// Guards against a gap in which hosts accept jobs: after a release, and until the successor of a killed owner has read the workers.
TEST(PoolClosure, ASuccessorSaysSoFromItsFirstHeartbeat)
{
	TestHub hub;
	TestOwner killed(hub, "killed");
	killed.Claim();
	killed.SetWorkers();
	killed.driver->SetEvacuated(cBothZones);
	OwnerTable idle("idle", LeaseTuning{});
	HostHeartbeat heartbeat = killed.Heartbeat();
	idle.OnHeartbeat(heartbeat, 1000);
	++heartbeat.number;
	heartbeat.cells.clear();
	idle.OnHeartbeat(heartbeat, 1100);
	EXPECT_TRUE(Refuses(idle, killed.pools.cell, killed.pools.first, 1200));

	TestOwner successor(hub, "successor");
	// A later process of the killed owner's host runs, so that the lease of the claim need not be waited for
	heartbeat.incarnation = 1;
	heartbeat.start = 2;
	successor.owners.OnHeartbeat(heartbeat, NowMillis());
	successor.driver->SetEvacuated(cBothZones);
	successor.driver->InheritClosedPools(idle.ClosedPoolsOf(killed.pools.cell, 1200)->pools);
	successor.Claim();
	EXPECT_GT(successor.driver->Epoch(), killed.driver->Epoch());
	idle.OnHeartbeat(successor.Heartbeat(), 1300);
	EXPECT_TRUE(successor.Refuses(killed.pools.first));
	EXPECT_TRUE(Refuses(idle, killed.pools.cell, killed.pools.first, 1300));
	// What the killed owner said last arrives late
	idle.OnHeartbeat(killed.Heartbeat(), 1400);
	successor.SetWorkers();
	EXPECT_TRUE(successor.Refuses(killed.pools.first));
	successor.driver->SetEvacuated({});
	idle.OnHeartbeat(successor.Heartbeat(), 1500);
	EXPECT_FALSE(Refuses(idle, killed.pools.cell, killed.pools.first, 1500));
}

/// Guards against closing a pool because the entries of its workers in open zones expired while the store was down, and against closing one
/// without workers.
TEST(PoolClosure, AMissingEntryAfterAnOutageOfTheStoreClosesNothing)
{
	PoolClosure closure;
	closure.SetEvacuated({"a"});
	closure.SetWorkers({MakeWorker("w1", "pool", "a"), MakeWorker("w2", "pool", "b")}, false);
	closure.SetWorkers({MakeWorker("w1", "pool", "a")}, true);
	EXPECT_TRUE(closure.Closed().empty());
	closure.SetWorkers({MakeWorker("w1", "pool", "a")}, false);
	EXPECT_EQ(closure.Closed(), std::vector<uint32>{PoolHash("pool")});
	closure.SetWorkers({}, false);
	EXPECT_TRUE(closure.Closed().empty());
}

/// Guards against a new owner that keeps refusing by what its predecessor said although a zone was reopened meanwhile.
TEST(PoolClosure, InheritsNothingOnceNoZoneIsEvacuated)
{
	PoolClosure closure;
	closure.Inherit({1});
	EXPECT_TRUE(closure.Closed().empty());
	closure.SetEvacuated({"a"});
	closure.Inherit({1});
	EXPECT_EQ(closure.Closed(), std::vector<uint32>{1});
	closure.SetEvacuated({});
	EXPECT_TRUE(closure.Closed().empty());
}

/// Guards against callers that all return in the same second.
TEST(PoolClosure, SpreadsTheCallersOverThreeSeconds)
{
	std::map<int, int> callers;
	for (int i = 0; i < 300; ++i)
		++callers[RefuseSubmission("pool", "job" + std::to_string(i), ClosedPoolsReport{{PoolHash("pool")}, 40})->retry_after_s];
	EXPECT_EQ(callers.size(), 3u);
	for (const int seconds : {5, 6, 7})
		EXPECT_GT(callers[seconds], 60) << seconds;
}

/// Guards against larger heartbeats while nothing is closed, and against hosts of earlier versions that cannot decode them.
TEST(PoolClosure, HeartbeatsWithoutClosedPoolsAreEncodedAsBefore)
{
	OwnedCell cell{7, 3'000'000, false};
	EXPECT_EQ(EncodeValue(cell), EncodeValue(std::tuple(cell.cell, cell.epoch, false)));
	cell.held = true;
	EXPECT_EQ(EncodeValue(cell), EncodeValue(std::tuple(cell.cell, cell.epoch, true)));
	cell.closed_pools = {1, 2};
	EXPECT_EQ(DecodeValue<OwnedCell>(EncodeValue(cell))->closed_pools, cell.closed_pools);
	EXPECT_TRUE(DecodeValue<OwnedCell>(EncodeValue(cell))->held);
}

} // namespace Loomreach::Jobs
