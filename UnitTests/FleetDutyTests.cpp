// Waves of maintenance and the balance of hosts over pools.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Fleet/PoolBalancer.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

HostEntry Host(const std::string &inName, const std::string &inPool, EHostState inState = EHostState::Up)
{
	HostEntry host;
	host.name = inName;
	host.pool = inPool;
	host.state = inState;
	host.worker = "worker-" + inName;
	host.kind = "a";
	host.capacity = {16000, 32768, 0};
	return host;
}

Catalogue TwoPools()
{
	Catalogue catalogue;
	catalogue.pools["busy"] = {"busy", false, false};
	catalogue.pools["idle"] = {"idle", false, false};
	catalogue.pools["spare"] = {"spare", false, true};
	return catalogue;
}

/// Plays a wave to its end and returns the most hosts that were down at once.
uint32 PlayWave(UpkeepPlanner &ioPlanner, std::vector<HostEntry> inHosts, int64 inWave, EDutyResult inResult)
{
	uint32 most = 0;
	std::map<std::string, Millis> down_since;
	for (Millis now = 1000; now < 60000 && !ioPlanner.IsCompleted(inWave); now += 100)
	{
		for (HostEntry &host : inHosts)
			if (down_since.contains(host.name))
			{
				const bool over = now - down_since[host.name] > 2000;
				host.state = over ? EHostState::Up : EHostState::Maintenance;
				if (over)
					down_since.erase(host.name);
			}
		ioPlanner.SetHosts(inHosts, now);
		for (const HostEntry &host : ioPlanner.ToEmpty(now))
			ioPlanner.OnEmpty(host.name, now, now);
		for (const HostDuty &duty : ioPlanner.TakeDuties(now))
		{
			down_since[duty.host] = now;
			ioPlanner.OnDuty(duty, inResult, now);
		}
		most = std::max(most, static_cast<uint32>(down_since.size()));
	}
	return most;
}

/// A wave of one host that was asked about at 1000 and ordered down at 1100, with an unknown outcome.
UpkeepPlanner PlannerInDoubt()
{
	UpkeepPlanner planner(UpkeepTuning{});
	planner.AddWave({1, {"m0"}, 26000, 1}, {}, 1000);
	planner.SetHosts({Host("m0", "busy")}, 1000);
	EXPECT_EQ(planner.ToEmpty(1000).size(), 1u);
	planner.OnEmpty("m0", 1000, 1050);
	const std::vector<HostDuty> duties = planner.TakeDuties(1100);
	EXPECT_EQ(duties.size(), 1u);
	if (!duties.empty())
		planner.OnDuty(duties[0], EDutyResult::Unknown, 1200);
	return planner;
}

} // namespace

TEST(UpkeepPlanner, SendsAnOrderAgainOnlyToAHostThatIsStillEmpty)
{
	// Failed first: the order went again 1.5 s later unasked, when the promise was over and new runs might be there
	UpkeepPlanner planner = PlannerInDoubt();
	for (Millis now = 1300; now < 6000; now += 100)
		EXPECT_TRUE(planner.TakeDuties(now).empty()) << now;
	planner.OnEmpty("m0", 6000, 6050);
	EXPECT_EQ(planner.TakeDuties(6100).size(), 1u);
}

TEST(UpkeepPlanner, KeepsAHostEmptyWhileItsOrderIsInDoubt)
{
	// Failed first: nobody asked about it any more, and the first order may be carried out late
	UpkeepPlanner planner = PlannerInDoubt();
	EXPECT_EQ(planner.ToEmpty(1300).size(), 1u);
	EXPECT_EQ(planner.ToEmpty(3000).size(), 1u);
	// Once it is seen down it was the order
	planner.SetHosts({Host("m0", "busy", EHostState::Maintenance)}, 3100);
	EXPECT_TRUE(planner.ToEmpty(3100).empty());
	planner.OnEmpty("m0", 3100, 3150);
	EXPECT_TRUE(planner.TakeDuties(3200).empty());
	planner.SetHosts({Host("m0", "busy")}, 6000);
	EXPECT_TRUE(planner.IsCompleted(1));
}

TEST(UpkeepPlanner, ARefusedRepeatLeavesTheFirstOrderInDoubt)
{
	// Failed first: the refusal of the second order was taken for the first one's fate, and another host went down beside it
	for (const EDutyResult refusal : {EDutyResult::Refused, EDutyResult::Busy, EDutyResult::StaleToken})
	{
		UpkeepPlanner planner(UpkeepTuning{});
		planner.AddWave({1, {"m0", "m1"}, 60000, 1}, {}, 1000);
		const auto empty = [&planner](Millis inNow)
		{
			for (const HostEntry &host : planner.ToEmpty(inNow))
				planner.OnEmpty(host.name, inNow, inNow);
		};
		planner.SetHosts({Host("m0", "busy"), Host("m1", "busy")}, 1000);
		empty(1000);
		std::vector<HostDuty> duties = planner.TakeDuties(1100);
		ASSERT_EQ(duties.size(), 1u);
		planner.OnDuty(duties[0], EDutyResult::Unknown, 1200);
		// The service is slow: it lists nothing meanwhile
		empty(2900);
		duties = planner.TakeDuties(2950);
		ASSERT_EQ(duties.size(), 1u);
		EXPECT_EQ(duties[0].host, "m0");
		planner.OnDuty(duties[0], refusal, 3000);
		planner.ToEmpty(3050);
		planner.OnEmpty("m1", 3050, 3050);
		EXPECT_TRUE(planner.TakeDuties(3100).empty());
		// Once the list shows it up long after, it was not the order
		planner.SetHosts({Host("m0", "busy"), Host("m1", "busy")}, 3200);
		empty(5000);
		duties = planner.TakeDuties(5050);
		ASSERT_EQ(duties.size(), 1u);
		EXPECT_EQ(duties[0].host, "m0");
		planner.OnDuty(duties[0], refusal, 5100);
		planner.ToEmpty(5150);
		planner.OnEmpty("m1", 5150, 5150);
		duties = planner.TakeDuties(5200);
		ASSERT_EQ(duties.size(), 1u);
		EXPECT_EQ(duties[0].host, "m1");
	}
}

TEST(UpkeepPlanner, AnOrderLeavesWhileThePromiseHoldsOrNotAtAll)
{
	// Failed first: an order that the log held up could leave 2.2 s after the question; the owner's promise lasts 1.5 s
	UpkeepPlanner planner(UpkeepTuning{});
	planner.AddWave({1, {"m0"}, 26000, 1}, {}, 1000);
	planner.SetHosts({Host("m0", "busy")}, 1000);
	ASSERT_EQ(planner.ToEmpty(1000).size(), 1u);
	planner.OnEmpty("m0", 1000, 1050);
	const std::vector<HostDuty> duties = planner.TakeDuties(1900);
	ASSERT_EQ(duties.size(), 1u);
	EXPECT_GT(duties[0].not_after, 1900);
	EXPECT_LT(duties[0].not_after, 1000 + cEmptyForMs);
}

TEST(PoolBalancer, AMoveLeavesWhileThePromiseHoldsOrNotAtAll)
{
	// Failed first, as with maintenance; and nobody kept the worker empty while the order's outcome was unknown
	PoolBalancer balancer(BalanceTuning{});
	balancer.SetPools(TwoPools());
	balancer.SetHosts({Host("m0", "busy"), Host("m1", "idle"), Host("m2", "idle"), Host("m3", "idle"), Host("m4", "idle")}, {}, 1000);
	PoolDemand busy;
	busy.need = {28000, 1000, 0};
	PoolDemand idle;
	idle.spared = {"worker-m1"};
	balancer.OnDemand("busy", busy, 1000);
	balancer.OnDemand("idle", idle, 1000);
	const std::vector<HostDuty> moves = balancer.TakeMoves(1900);
	ASSERT_EQ(moves.size(), 1u);
	EXPECT_GT(moves[0].not_after, 1900);
	EXPECT_LT(moves[0].not_after, 1000 + cEmptyForMs);
	EXPECT_EQ(balancer.InDoubt().size(), 1u);
	balancer.OnMove(moves[0], EDutyResult::Unknown, 2000);
	EXPECT_EQ(balancer.InDoubt().size(), 1u);
	balancer.OnMove(moves[0], EDutyResult::Done, 2100);
	EXPECT_TRUE(balancer.InDoubt().empty());
}

TEST(UpkeepPlanner, EachWaveOfAHostIsItsOwn)
{
	// Failed first (parkline-addis, hunt mix seed 17678361649, MIXED): two waves at a time named the same hosts; a host that was down for
	// the one counted as done for the other
	UpkeepPlanner planner(UpkeepTuning{});
	std::vector<HostEntry> hosts{Host("m0", "busy"), Host("m1", "busy"), Host("m2", "busy")};
	planner.AddWave({1, {"m0", "m1"}, 26000, 1}, {}, 1000);
	planner.AddWave({2, {"m1", "m2"}, 26000, 1}, {}, 1000);
	std::map<int64, std::set<std::string>> ordered;
	std::map<std::string, Millis> down_since;
	for (Millis now = 1000; now < 60000 && !(planner.IsCompleted(1) && planner.IsCompleted(2)); now += 100)
	{
		for (HostEntry &host : hosts)
		{
			auto down = down_since.find(host.name);
			host.state = down != down_since.end() && now - down->second <= 2000 ? EHostState::Maintenance : EHostState::Up;
		}
		planner.SetHosts(hosts, now);
		for (const HostEntry &host : planner.ToEmpty(now))
			planner.OnEmpty(host.name, now, now);
		for (const HostDuty &duty : planner.TakeDuties(now))
		{
			down_since[duty.host] = now;
			ordered[duty.wave].insert(duty.host);
			planner.OnDuty(duty, EDutyResult::Done, now);
		}
	}
	EXPECT_TRUE(planner.IsCompleted(1) && planner.IsCompleted(2));
	EXPECT_EQ(ordered[1], (std::set<std::string>{"m0", "m1"}));
	EXPECT_EQ(ordered[2], (std::set<std::string>{"m1", "m2"}));
}

TEST(UpkeepPlanner, NeverTakesMoreDownThanAllowed)
{
	std::vector<HostEntry> hosts;
	UpkeepWave wave{1, {}, 26000, 3};
	for (int i = 0; i < 12; ++i)
	{
		hosts.push_back(Host("m" + std::to_string(i), "busy"));
		wave.hosts.push_back(hosts.back().name);
	}
	UpkeepPlanner planner(UpkeepTuning{});
	planner.AddWave(wave, {}, 1000);
	EXPECT_EQ(PlayWave(planner, hosts, 1, EDutyResult::Done), 3u);
	EXPECT_TRUE(planner.IsCompleted(1));
}

TEST(UpkeepPlanner, CountsHostsThatAPredecessorTookDown)
{
	UpkeepPlanner planner(UpkeepTuning{});
	planner.AddWave({1, {"m0", "m1"}, 26000, 1}, {}, 1000);
	planner.SetHosts({Host("m0", "busy", EHostState::Maintenance), Host("m1", "busy")}, 1000);
	for (const HostEntry &host : planner.ToEmpty(1000))
		planner.OnEmpty(host.name, 1000, 1000);
	EXPECT_TRUE(planner.TakeDuties(1100).empty());
}

TEST(UpkeepPlanner, IsNotCompletedWhileAHostWaits)
{
	UpkeepPlanner planner(UpkeepTuning{});
	planner.AddWave({1, {"m0", "m1"}, 26000, 2}, {"m0"}, 1000);
	EXPECT_FALSE(planner.IsCompleted(1));
	planner.SetHosts({Host("m0", "busy"), Host("m1", "busy")}, 1000);
	EXPECT_FALSE(planner.IsCompleted(1));
	// A host that left the fleet needs nothing
	planner.SetHosts({Host("m0", "busy")}, 1200);
	EXPECT_TRUE(planner.IsCompleted(1));
}

TEST(UpkeepPlanner, AnEmptyHostIsTrustedForAShortTimeOnly)
{
	UpkeepTuning tuning;
	UpkeepPlanner planner(tuning);
	planner.AddWave({1, {"m0"}, 26000, 1}, {}, 1000);
	planner.SetHosts({Host("m0", "busy")}, 1000);
	ASSERT_EQ(planner.ToEmpty(1000).size(), 1u);
	planner.OnEmpty("m0", 1000, 1300);
	EXPECT_TRUE(planner.TakeDuties(1000 + tuning.ready_for_ms).empty());
}

TEST(UpkeepPlanner, LeavesTightPoolsAloneUntilPressed)
{
	UpkeepPlanner planner(UpkeepTuning{});
	planner.AddWave({1, {"m0"}, 26000, 1}, {}, 1000);
	planner.SetHosts({Host("m0", "busy")}, 1000);
	planner.SetTight({"busy"});
	EXPECT_TRUE(planner.ToEmpty(2000).empty());
	EXPECT_EQ(planner.ToEmpty(20000).size(), 1u);
}

TEST(PoolBalancer, BringsSpareHostsToAPoolInNeed)
{
	PoolBalancer balancer(BalanceTuning{});
	balancer.SetPools(TwoPools());
	balancer.SetHosts({Host("m0", "busy"), Host("s0", "spare"), Host("s1", "spare"), Host("s2", "spare")}, {}, 1000);
	PoolDemand demand;
	demand.need = {28000, 1000, 0};
	balancer.OnDemand("busy", demand, 1000);
	const std::vector<HostDuty> moves = balancer.TakeMoves(1100);
	// 28 cores and headroom are three hosts, one more is margin; one is there
	EXPECT_EQ(moves.size(), 3u);
	for (const HostDuty &move : moves)
		EXPECT_EQ(move.pool, "busy");
	EXPECT_TRUE(balancer.TakeMoves(1200).empty());
}

TEST(PoolBalancer, MovesOnlyHostsWhoseOwnerPromisedThemEmpty)
{
	PoolBalancer balancer(BalanceTuning{});
	balancer.SetPools(TwoPools());
	std::vector<HostEntry> hosts{Host("b0", "busy")};
	for (int i = 0; i < 6; ++i)
		hosts.push_back(Host("i" + std::to_string(i), "idle"));
	balancer.SetHosts(hosts, {}, 1000);
	PoolDemand busy;
	busy.need = {40000, 1000, 0};
	PoolDemand idle;
	balancer.OnDemand("busy", busy, 1000);
	balancer.OnDemand("idle", idle, 1000);
	EXPECT_TRUE(balancer.TakeMoves(1100).empty());
	uint32 asked = 0;
	for (const auto &[pool, count] : balancer.ToAsk(1100))
		asked += pool == "idle" ? count : 0;
	EXPECT_GT(asked, 0u);
	idle.spared = {"worker-i2"};
	balancer.OnDemand("idle", idle, 1200);
	const std::vector<HostDuty> moves = balancer.TakeMoves(1300);
	ASSERT_EQ(moves.size(), 1u);
	EXPECT_EQ(moves[0].host, "i2");
	// The promise is over
	balancer.OnMove(moves[0], EDutyResult::Refused, 1400);
	EXPECT_TRUE(balancer.TakeMoves(5000).empty());
}

TEST(PoolBalancer, HostsInAWaveAreLeftAlone)
{
	PoolBalancer balancer(BalanceTuning{});
	balancer.SetPools(TwoPools());
	balancer.SetHosts({Host("s0", "spare")}, {"s0"}, 1000);
	PoolDemand demand;
	demand.need = {28000, 1000, 0};
	balancer.OnDemand("busy", demand, 1000);
	EXPECT_TRUE(balancer.TakeMoves(1100).empty());
}

/// Hosts of a zone in which nothing may be started are counted as room, or are moved to a pool in need.
TEST(PoolBalancer, LeavesOutHostsOfAnEvacuatedZone)
{
	PoolBalancer balancer(BalanceTuning{});
	balancer.SetPools(TwoPools());
	std::vector<HostEntry> hosts{Host("m0", "busy"), Host("m1", "busy"), Host("s0", "spare"), Host("s1", "spare"), Host("s2", "spare")};
	hosts[0].availability_zone = "a";
	hosts[2].availability_zone = "a";
	balancer.SetHosts(hosts, {}, 1000);
	balancer.SetEvacuated({"a"});
	PoolDemand demand;
	demand.need = {28000, 1000, 0};
	balancer.OnDemand("busy", demand, 1000);
	const std::vector<HostDuty> moves = balancer.TakeMoves(1100);
	ASSERT_EQ(moves.size(), 2u);
	EXPECT_EQ(moves[0].host, "s1");
	EXPECT_EQ(moves[1].host, "s2");
}

TEST(PoolBalancer, RemembersPoolsThatTakeOtherHosts)
{
	PoolBalancer balancer(BalanceTuning{});
	balancer.SetPools(TwoPools());
	balancer.SetHosts({Host("s0", "spare"), Host("s1", "spare")}, {}, 1000);
	PoolDemand demand;
	demand.need = {1000, 1000, 0};
	balancer.OnDemand("busy", demand, 1000);
	const std::vector<HostDuty> moves = balancer.TakeMoves(1100);
	ASSERT_FALSE(moves.empty());
	for (const HostDuty &move : moves)
		balancer.OnMove(move, EDutyResult::Impossible, 1200);
	balancer.OnDemand("busy", demand, 1200);
	EXPECT_TRUE(balancer.TakeMoves(1300).empty());
}

} // namespace Loomreach::Jobs
