// Which hosts own the cells when a whole fleet starts at once, and after one has run out of processor time.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Ownership/OwnerTable.h>

#include <gtest/gtest.h>

#include <random>

namespace Loomreach::Jobs
{

namespace
{

constexpr Millis cStepMs = 20;
constexpr Millis cReadIntervalMs = 120;
constexpr Millis cStartSpreadMs = 300; ///< Hosts start within this time of each other.
constexpr Millis cFirstClaimWaitMs = 3000;
constexpr size_t cZones = 5;

/// Hosts that start in random order and learn of each other from a log of heartbeats.
class StartingFleet
{
public:
	struct Host
	{
		std::string name;
		std::string zone;
		uint32 weight = 0;
		Millis starts_at = 0;
		Millis next_read = 0;
		size_t heard = 0; ///< Number of heartbeats of the log that it has read.
		std::unique_ptr<OwnerTable> table;
		HostHeartbeat heartbeat;
	};

	StartingFleet(size_t inHosts, size_t inLarge, uint32 inSeed, Millis inFirstClaimMs) : random(inSeed)
	{
		LeaseTuning tuning;
		tuning.first_claim_delay_ms = inFirstClaimMs;
		for (size_t i = 0; i < inHosts; ++i)
		{
			Host host;
			host.name = "host" + std::to_string(i);
			host.zone = "zone" + std::to_string(i % cZones);
			host.weight = i < inLarge ? 500 : 120;
			// Small hosts take several times as long to start. Where many start at once, the store drops some first connections, which
			// delays two hosts of three by up to 2 s
			host.starts_at =
				this->Below(cStartSpreadMs) + (i < inLarge ? 30 : 100) + this->Below(400) + (i % 3 == 0 ? 0 : this->Below(2000));
			host.next_read = host.starts_at;
			host.table = std::make_unique<OwnerTable>(host.name, tuning);
			this->hosts.push_back(std::move(host));
		}
	}

	void Run(const std::set<uint32> &inCells, Millis inUntil)
	{
		for (Millis now = 0; now < inUntil; now += cStepMs)
			for (Host &host : this->hosts)
				if (now >= host.next_read)
					this->ReadAndClaim(host, inCells, now);
	}

	size_t OwnersOf(size_t inMinCells) const
	{
		return static_cast<size_t>(std::count_if(this->hosts.begin(), this->hosts.end(),
												 [&](const Host &inHost) { return inHost.heartbeat.cells.size() >= inMinCells; }));
	}
	size_t SmallOwners() const
	{
		return static_cast<size_t>(std::count_if(this->hosts.begin(), this->hosts.end(),
												 [](const Host &inHost)
												 { return inHost.weight < 500 && !inHost.heartbeat.cells.empty(); }));
	}
	size_t MostInZone() const
	{
		std::map<std::string, size_t> in_zone;
		for (const Host &host : this->hosts)
			in_zone[host.zone] += host.heartbeat.cells.size();
		size_t most = 0;
		for (const auto &[zone, count] : in_zone)
			most = std::max(most, count);
		return most;
	}
	size_t Owned() const { return this->owned.size(); }

private:
	Millis Below(Millis inLimit) { return std::uniform_int_distribution<Millis>(0, inLimit - 1)(this->random); }

	void ReadAndClaim(Host &ioHost, const std::set<uint32> &inCells, Millis inNow)
	{
		ioHost.next_read = inNow + cReadIntervalMs + this->Below(40);
		for (; ioHost.heard < this->log.size(); ++ioHost.heard)
			ioHost.table->OnHeartbeat(this->log[ioHost.heard], inNow);
		if (ioHost.heartbeat.number == 0)
			return this->SendHeartbeat(ioHost);
		for (uint32 cell : ioHost.table->CellsToClaim(inCells, inNow, ioHost.heartbeat.cells.size()))
		{
			// The log accepts one of several claims
			if (!this->owned.insert(cell).second)
				continue;
			ioHost.heartbeat.cells.push_back({cell, 1, true});
			this->SendHeartbeat(ioHost);
		}
	}

	void SendHeartbeat(Host &ioHost)
	{
		ioHost.heartbeat.host = ioHost.name;
		ioHost.heartbeat.incarnation = 1;
		++ioHost.heartbeat.number;
		ioHost.heartbeat.weight = ioHost.weight;
		ioHost.heartbeat.availability_zone = ioHost.zone;
		ioHost.heartbeat.interval_ms = 60'000;
		ioHost.heartbeat.lease_ms = 60'000;
		this->log.push_back(ioHost.heartbeat);
	}

	std::mt19937 random;
	std::vector<Host> hosts;
	std::vector<HostHeartbeat> log;
	std::set<uint32> owned;
};

const std::set<uint32> cSixCells{11, 219, 387, 392, 536, 0xffffffffu};

} // namespace

TEST(OwnerSpread, AFleetThatStartsAtOnceSpreadsItsCells)
{
	// Without a wait before the first claim, the first hosts to start own everything, three of four in one zone. One that owns the two
	// busiest pools and is paused loses both and claims both again, while most hosts are idle
	for (uint32 seed = 1; seed <= 60; ++seed)
	{
		const size_t hosts = 5 + (seed * 67) % 296;
		const size_t large = std::min<size_t>(hosts, 15);
		StartingFleet fleet(hosts, large, seed, cFirstClaimWaitMs);
		fleet.Run(cSixCells, 6500);
		ASSERT_EQ(fleet.Owned(), cSixCells.size()) << "hosts " << hosts << " seed " << seed;
		EXPECT_LE(fleet.OwnersOf(2), hosts < cSixCells.size() ? 1u : 0u) << "hosts " << hosts << " seed " << seed;
		EXPECT_EQ(fleet.SmallOwners(), 0u) << "hosts " << hosts << " seed " << seed;
		EXPECT_LE(fleet.MostInZone(), 2u) << "hosts " << hosts << " seed " << seed;
	}
}

TEST(OwnerSpread, WithoutTheWaitTheFirstToStartOwnAll)
{
	// Baseline: shows what the wait before the first claim prevents
	size_t crowded = 0;
	for (uint32 seed = 1; seed <= 20; ++seed)
	{
		StartingFleet fleet(97, 15, seed, 0);
		fleet.Run(cSixCells, 6500);
		crowded += fleet.OwnersOf(2) > 0 || fleet.SmallOwners() > 0 ? 1 : 0;
	}
	EXPECT_GE(crowded, 10u);
}

namespace
{

HostHeartbeat MakeHeartbeat(const std::string &inHost, uint32 inWeight, bool inShort, std::vector<OwnedCell> inCells)
{
	HostHeartbeat heartbeat;
	heartbeat.host = inHost;
	heartbeat.incarnation = 1;
	heartbeat.number = 1;
	heartbeat.weight = inWeight;
	heartbeat.short_of_processor_time = inShort;
	heartbeat.cells = std::move(inCells);
	return heartbeat;
}

} // namespace

TEST(OwnerTable, AHostShortOfProcessorTimeDoesNotReclaimItsCell)
{
	// Guards against ranking an owner first again whose lease expired for lack of processor time: it would lose the same cell again
	LeaseTuning tuning;
	OwnerTable drowned("drowned", tuning);
	OwnerTable idle("idle", tuning);
	for (OwnerTable *table : {&drowned, &idle})
	{
		table->OnHeartbeat(MakeHeartbeat("drowned", 500, true, {}), 1000);
		table->OnHeartbeat(MakeHeartbeat("idle", 500, false, {}), 1000);
	}
	EXPECT_TRUE(drowned.CellsToClaim({7}, 1000, 0).empty());
	EXPECT_EQ(idle.CellsToClaim({7}, 1000, 0), std::vector<uint32>{7});
	// If no other host claims the cell, it claims it nevertheless
	EXPECT_EQ(drowned.CellsToClaim({7}, 1000 + tuning.rank_delay_ms, 0), std::vector<uint32>{7});
}

TEST(OwnerTable, AReleasedCellDoesNotWaitAsAtTheFirstStart)
{
	// Once an owner has released its cell, no heartbeat lists the cell any more. Guards against its next owner waiting for 3 s as at the
	// first start of the fleet: the cell has no owner for that long
	LeaseTuning tuning;
	tuning.first_claim_delay_ms = cFirstClaimWaitMs;
	OwnerTable table("me", tuning);
	table.OnHeartbeat(MakeHeartbeat("me", 500, false, {}), 1000);
	table.OnHeartbeat(MakeHeartbeat("owner", 120, false, {{7, 1, true}}), 1000);
	HostHeartbeat gone = MakeHeartbeat("owner", 120, true, {});
	gone.number = 2;
	table.OnHeartbeat(gone, 2000);
	EXPECT_EQ(table.CellsToClaim({7}, 2000, 0), std::vector<uint32>{7});
	// A cell that was only being claimed has had no owner
	table.OnHeartbeat(MakeHeartbeat("third", 120, false, {{8, 1, false}}), 2000);
	HostHeartbeat lost = MakeHeartbeat("third", 120, false, {});
	lost.number = 2;
	table.OnHeartbeat(lost, 2100);
	EXPECT_TRUE(table.CellsToClaim({8}, 2100, 0).empty());
	HostHeartbeat again = MakeHeartbeat("me", 500, false, {});
	again.number = 2;
	table.OnHeartbeat(again, 2100 + cFirstClaimWaitMs);
	EXPECT_EQ(table.CellsToClaim({8}, 2100 + cFirstClaimWaitMs, 0), std::vector<uint32>{8});
}

TEST(OwnerTable, AHostClaimsOneOfSeveralFreeCellsAtATime)
{
	// Guards against a host that claims three cells in its first round after the wait, because its rank for each is computed as if it got
	// none of the others
	LeaseTuning tuning;
	OwnerTable table("a", tuning);
	for (const char *host : {"a", "b", "c"})
		table.OnHeartbeat(MakeHeartbeat(host, 500, false, {}), 1000);
	EXPECT_EQ(table.CellsToClaim({1, 2, 3}, 1000, 0).size(), 1u);
	// With that cell it ranks behind the other two
	EXPECT_LE(table.CellsToClaim({1, 2, 3}, 1000 + tuning.rank_delay_ms, 1).size(), 1u);
}

/// Guards against choosing owners, hosts short of processor time, stopping hosts or unresponsive hosts as forwarders.
TEST(OwnerTable, HostsWithoutCellsAreOfferedAsForwarders)
{
	OwnerTable table("me", LeaseTuning{});
	table.OnHeartbeat(MakeHeartbeat("me", 500, false, {}), 1000);
	table.OnHeartbeat(MakeHeartbeat("owner", 500, false, {{7, 1}}), 1000);
	table.OnHeartbeat(MakeHeartbeat("late", 120, true, {}), 1000);
	table.OnHeartbeat(MakeHeartbeat("idle", 120, false, {}), 1000);
	HostHeartbeat stopping = MakeHeartbeat("stopping", 120, false, {});
	stopping.claims = false;
	table.OnHeartbeat(stopping, 1000);
	ASSERT_EQ(table.IdleHosts(1100).size(), 1u);
	// No longer once it is unresponsive
	EXPECT_TRUE(table.IdleHosts(60'000).empty());
}

} // namespace Loomreach::Jobs
