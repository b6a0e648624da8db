// Maintenance waves, and the balance of hosts over pools.

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

/// Runs a wave to its end. Returns the greatest number of hosts that were down at the same time.
uint32 RunWave(MaintenancePlanner &ioPlanner, std::vector<HostEntry> inHosts, int64 inWave, EHostOrderResult inResult)
{
	uint32 max_down = 0;
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
		for (const HostEntry &host : ioPlanner.HostsToDrain(now))
			ioPlanner.OnDrained(host.name, now, now);
		for (const HostOrder &host_order : ioPlanner.TakeHostOrders(now))
		{
			down_since[host_order.host] = now;
			ioPlanner.OnHostOrderResult(host_order, inResult, now);
		}
		max_down = std::max(max_down, static_cast<uint32>(down_since.size()));
	}
	return max_down;
}

/// A wave of one host that was drained at 1000 ms and ordered down at 1100 ms, with an unknown result.
MaintenancePlanner PlannerWithUnknownResult()
{
	MaintenancePlanner planner(MaintenanceTuning{});
	planner.AddWave({1, {"m0"}, 26000, 1}, {}, 1000);
	planner.SetHosts({Host("m0", "busy")}, 1000);
	EXPECT_EQ(planner.HostsToDrain(1000).size(), 1u);
	planner.OnDrained("m0", 1000, 1050);
	const std::vector<HostOrder> host_orders = planner.TakeHostOrders(1100);
	EXPECT_EQ(host_orders.size(), 1u);
	if (!host_orders.empty())
		planner.OnHostOrderResult(host_orders[0], EHostOrderResult::Unknown, 1200);
	return planner;
}

} // namespace

TEST(MaintenancePlanner, SendsAnOrderAgainOnlyToAHostThatIsStillDrained)
{
	// Guards against repeating the order 1.5 s later without a new drain grant, when new runs may be on the host
	MaintenancePlanner planner = PlannerWithUnknownResult();
	for (Millis now = 1300; now < 6000; now += 100)
		EXPECT_TRUE(planner.TakeHostOrders(now).empty()) << now;
	planner.OnDrained("m0", 6000, 6050);
	EXPECT_EQ(planner.TakeHostOrders(6100).size(), 1u);
}

TEST(MaintenancePlanner, KeepsAHostDrainedWhileItsOrdersResultIsUnknown)
{
	// The first order may be carried out late; the host must stay drained until its result is known
	MaintenancePlanner planner = PlannerWithUnknownResult();
	EXPECT_EQ(planner.HostsToDrain(1300).size(), 1u);
	EXPECT_EQ(planner.HostsToDrain(3000).size(), 1u);
	// Once the host is seen down, the order has been carried out
	planner.SetHosts({Host("m0", "busy", EHostState::Maintenance)}, 3100);
	EXPECT_TRUE(planner.HostsToDrain(3100).empty());
	planner.OnDrained("m0", 3100, 3150);
	EXPECT_TRUE(planner.TakeHostOrders(3200).empty());
	planner.SetHosts({Host("m0", "busy")}, 6000);
	EXPECT_TRUE(planner.IsCompleted(1));
}

TEST(MaintenancePlanner, ARefusedRepeatLeavesTheFirstOrdersResultUnknown)
{
	// Guards against taking the refusal of the second order for the result of the first one: another host would go down beside it
	for (const EHostOrderResult refusal : {EHostOrderResult::Refused, EHostOrderResult::Busy, EHostOrderResult::StaleToken})
	{
		MaintenancePlanner planner(MaintenanceTuning{});
		planner.AddWave({1, {"m0", "m1"}, 60000, 1}, {}, 1000);
		const auto empty = [&planner](Millis inNow)
		{
			for (const HostEntry &host : planner.HostsToDrain(inNow))
				planner.OnDrained(host.name, inNow, inNow);
		};
		planner.SetHosts({Host("m0", "busy"), Host("m1", "busy")}, 1000);
		empty(1000);
		std::vector<HostOrder> host_orders = planner.TakeHostOrders(1100);
		ASSERT_EQ(host_orders.size(), 1u);
		planner.OnHostOrderResult(host_orders[0], EHostOrderResult::Unknown, 1200);
		// The machine service is slow and lists nothing meanwhile
		empty(2900);
		host_orders = planner.TakeHostOrders(2950);
		ASSERT_EQ(host_orders.size(), 1u);
		EXPECT_EQ(host_orders[0].host, "m0");
		planner.OnHostOrderResult(host_orders[0], refusal, 3000);
		planner.HostsToDrain(3050);
		planner.OnDrained("m1", 3050, 3050);
		EXPECT_TRUE(planner.TakeHostOrders(3100).empty());
		// If the list shows the host up long after, the order was not carried out
		planner.SetHosts({Host("m0", "busy"), Host("m1", "busy")}, 3200);
		empty(5000);
		host_orders = planner.TakeHostOrders(5050);
		ASSERT_EQ(host_orders.size(), 1u);
		EXPECT_EQ(host_orders[0].host, "m0");
		planner.OnHostOrderResult(host_orders[0], refusal, 5100);
		planner.HostsToDrain(5150);
		planner.OnDrained("m1", 5150, 5150);
		host_orders = planner.TakeHostOrders(5200);
		ASSERT_EQ(host_orders.size(), 1u);
		EXPECT_EQ(host_orders[0].host, "m1");
	}
}

TEST(MaintenancePlanner, AnOrderIsSentOnlyWithinItsDrainGrant)
{
	// Guards against an order that waits for the log and is sent 2.2 s after the drain request: the owner's drain grant lasts 1.5 s
	MaintenancePlanner planner(MaintenanceTuning{});
	planner.AddWave({1, {"m0"}, 26000, 1}, {}, 1000);
	planner.SetHosts({Host("m0", "busy")}, 1000);
	ASSERT_EQ(planner.HostsToDrain(1000).size(), 1u);
	planner.OnDrained("m0", 1000, 1050);
	const std::vector<HostOrder> host_orders = planner.TakeHostOrders(1900);
	ASSERT_EQ(host_orders.size(), 1u);
	EXPECT_GT(host_orders[0].not_after, 1900);
	EXPECT_LT(host_orders[0].not_after, 1000 + cDrainGrantMs);
}

TEST(PoolBalancer, AMoveIsSentOnlyWithinItsDrainGrant)
{
	// As with maintenance; in addition, the worker must stay drained while the result of the order is unknown
	PoolBalancer balancer(BalanceTuning{});
	balancer.SetPools(TwoPools());
	balancer.SetHosts({Host("m0", "busy"), Host("m1", "idle"), Host("m2", "idle"), Host("m3", "idle"), Host("m4", "idle")}, {}, 1000);
	PoolDemand busy;
	busy.in_time = {28000, 1000, 0};
	PoolDemand idle;
	idle.releasable = {"worker-m1"};
	balancer.OnDemand("busy", busy, 1000);
	balancer.OnDemand("idle", idle, 1000);
	const std::vector<HostOrder> moves = balancer.TakeMoves(1900);
	ASSERT_EQ(moves.size(), 1u);
	EXPECT_GT(moves[0].not_after, 1900);
	EXPECT_LT(moves[0].not_after, 1000 + cDrainGrantMs);
	EXPECT_EQ(balancer.UncertainMoves().size(), 1u);
	balancer.OnMove(moves[0], EHostOrderResult::Unknown, 2000);
	EXPECT_EQ(balancer.UncertainMoves().size(), 1u);
	balancer.OnMove(moves[0], EHostOrderResult::Done, 2100);
	EXPECT_TRUE(balancer.UncertainMoves().empty());
}

TEST(MaintenancePlanner, AHostDownForOneWaveIsNotDoneForAnother)
{
	// Two waves at a time may name the same hosts. Guards against counting a host that is down for one wave as done for the other
	MaintenancePlanner planner(MaintenanceTuning{});
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
		for (const HostEntry &host : planner.HostsToDrain(now))
			planner.OnDrained(host.name, now, now);
		for (const HostOrder &host_order : planner.TakeHostOrders(now))
		{
			down_since[host_order.host] = now;
			ordered[host_order.wave].insert(host_order.host);
			planner.OnHostOrderResult(host_order, EHostOrderResult::Done, now);
		}
	}
	EXPECT_TRUE(planner.IsCompleted(1) && planner.IsCompleted(2));
	EXPECT_EQ(ordered[1], (std::set<std::string>{"m0", "m1"}));
	EXPECT_EQ(ordered[2], (std::set<std::string>{"m1", "m2"}));
}

TEST(MaintenancePlanner, NeverTakesMoreDownThanAllowed)
{
	std::vector<HostEntry> hosts;
	MaintenanceWave wave{1, {}, 26000, 3};
	for (int i = 0; i < 12; ++i)
	{
		hosts.push_back(Host("m" + std::to_string(i), "busy"));
		wave.hosts.push_back(hosts.back().name);
	}
	MaintenancePlanner planner(MaintenanceTuning{});
	planner.AddWave(wave, {}, 1000);
	EXPECT_EQ(RunWave(planner, hosts, 1, EHostOrderResult::Done), 3u);
	EXPECT_TRUE(planner.IsCompleted(1));
}

TEST(MaintenancePlanner, CountsHostsThatAPredecessorTookDown)
{
	MaintenancePlanner planner(MaintenanceTuning{});
	planner.AddWave({1, {"m0", "m1"}, 26000, 1}, {}, 1000);
	planner.SetHosts({Host("m0", "busy", EHostState::Maintenance), Host("m1", "busy")}, 1000);
	for (const HostEntry &host : planner.HostsToDrain(1000))
		planner.OnDrained(host.name, 1000, 1000);
	EXPECT_TRUE(planner.TakeHostOrders(1100).empty());
}

TEST(MaintenancePlanner, IsNotCompletedWhileAHostWaits)
{
	MaintenancePlanner planner(MaintenanceTuning{});
	planner.AddWave({1, {"m0", "m1"}, 26000, 2}, {"m0"}, 1000);
	EXPECT_FALSE(planner.IsCompleted(1));
	planner.SetHosts({Host("m0", "busy"), Host("m1", "busy")}, 1000);
	EXPECT_FALSE(planner.IsCompleted(1));
	// A host that has left the fleet needs no maintenance
	planner.SetHosts({Host("m0", "busy")}, 1200);
	EXPECT_TRUE(planner.IsCompleted(1));
}

TEST(MaintenancePlanner, ADrainGrantCountsForAShortTimeOnly)
{
	MaintenanceTuning tuning;
	MaintenancePlanner planner(tuning);
	planner.AddWave({1, {"m0"}, 26000, 1}, {}, 1000);
	planner.SetHosts({Host("m0", "busy")}, 1000);
	ASSERT_EQ(planner.HostsToDrain(1000).size(), 1u);
	planner.OnDrained("m0", 1000, 1300);
	EXPECT_TRUE(planner.TakeHostOrders(1000 + tuning.ready_for_ms).empty());
}

TEST(MaintenancePlanner, LeavesPoolsInDeficitAloneUntilTheWavesTimeRunsOut)
{
	MaintenancePlanner planner(MaintenanceTuning{});
	planner.AddWave({1, {"m0"}, 26000, 1}, {}, 1000);
	planner.SetHosts({Host("m0", "busy")}, 1000);
	planner.SetPoolsInDeficit({"busy"});
	EXPECT_TRUE(planner.HostsToDrain(2000).empty());
	EXPECT_EQ(planner.HostsToDrain(20000).size(), 1u);
}

TEST(PoolBalancer, BringsSpareHostsToAPoolInNeed)
{
	PoolBalancer balancer(BalanceTuning{});
	balancer.SetPools(TwoPools());
	balancer.SetHosts({Host("m0", "busy"), Host("s0", "spare"), Host("s1", "spare"), Host("s2", "spare")}, {}, 1000);
	PoolDemand demand;
	demand.in_time = {28000, 1000, 0};
	balancer.OnDemand("busy", demand, 1000);
	const std::vector<HostOrder> moves = balancer.TakeMoves(1100);
	// 28 cores and headroom need three hosts, one more is margin, and one is there
	EXPECT_EQ(moves.size(), 3u);
	for (const HostOrder &move : moves)
		EXPECT_EQ(move.pool, "busy");
	EXPECT_TRUE(balancer.TakeMoves(1200).empty());
}

TEST(PoolBalancer, MovesOnlyHostsWithADrainGrant)
{
	PoolBalancer balancer(BalanceTuning{});
	balancer.SetPools(TwoPools());
	std::vector<HostEntry> hosts{Host("b0", "busy")};
	for (int i = 0; i < 6; ++i)
		hosts.push_back(Host("i" + std::to_string(i), "idle"));
	balancer.SetHosts(hosts, {}, 1000);
	PoolDemand busy;
	busy.in_time = {40000, 1000, 0};
	PoolDemand idle;
	balancer.OnDemand("busy", busy, 1000);
	balancer.OnDemand("idle", idle, 1000);
	EXPECT_TRUE(balancer.TakeMoves(1100).empty());
	uint32 asked = 0;
	for (const auto &[pool, count] : balancer.PoolsToAsk(1100))
		asked += pool == "idle" ? count : 0;
	EXPECT_GT(asked, 0u);
	idle.releasable = {"worker-i2"};
	balancer.OnDemand("idle", idle, 1200);
	const std::vector<HostOrder> moves = balancer.TakeMoves(1300);
	ASSERT_EQ(moves.size(), 1u);
	EXPECT_EQ(moves[0].host, "i2");
	// The drain grant has ended
	balancer.OnMove(moves[0], EHostOrderResult::Refused, 1400);
	EXPECT_TRUE(balancer.TakeMoves(5000).empty());
}

TEST(PoolBalancer, HostsInAWaveAreLeftAlone)
{
	PoolBalancer balancer(BalanceTuning{});
	balancer.SetPools(TwoPools());
	balancer.SetHosts({Host("s0", "spare")}, {"s0"}, 1000);
	PoolDemand demand;
	demand.in_time = {28000, 1000, 0};
	balancer.OnDemand("busy", demand, 1000);
	EXPECT_TRUE(balancer.TakeMoves(1100).empty());
}

/// Guards against counting hosts of an evacuated zone, in which nothing may be started, as capacity, and against moving them to a pool in
/// need.
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
	demand.in_time = {28000, 1000, 0};
	balancer.OnDemand("busy", demand, 1000);
	const std::vector<HostOrder> moves = balancer.TakeMoves(1100);
	ASSERT_EQ(moves.size(), 2u);
	EXPECT_EQ(moves[0].host, "s1");
	EXPECT_EQ(moves[1].host, "s2");
}

TEST(PoolBalancer, RemembersPoolsThatNeedOtherKindsOfHosts)
{
	PoolBalancer balancer(BalanceTuning{});
	balancer.SetPools(TwoPools());
	balancer.SetHosts({Host("s0", "spare"), Host("s1", "spare")}, {}, 1000);
	PoolDemand demand;
	demand.in_time = {1000, 1000, 0};
	balancer.OnDemand("busy", demand, 1000);
	const std::vector<HostOrder> moves = balancer.TakeMoves(1100);
	ASSERT_FALSE(moves.empty());
	for (const HostOrder &move : moves)
		balancer.OnMove(move, EHostOrderResult::Impossible, 1200);
	balancer.OnDemand("busy", demand, 1200);
	EXPECT_TRUE(balancer.TakeMoves(1300).empty());
}

} // namespace Loomreach::Jobs
