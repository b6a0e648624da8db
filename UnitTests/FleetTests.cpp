// The planners over small and random fleets: their proposals are accepted, budgets hold, waves end, and failures are recovered from.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Invariant.h>
#include <Loomreach/Fleet/HostLifecycle.h>
#include <Loomreach/Fleet/JobBackoff.h>
#include <Loomreach/Fleet/PlacementPlanner.h>
#include <Loomreach/Fleet/RollingPlan.h>
#include <Loomreach/Fleet/WavePlanner.h>
#include <UnitTests/TestFleet.h>

#include <rapidcheck/gtest.h>

using namespace Loomreach;

namespace
{

/// Applies a plan. Every proposal of a plan that was made on the present state must be accepted.
void ApplyPlan(TestFleet &ioFleet, const std::vector<ProposalBody> &inProposals)
{
	for (const ProposalBody &body : inProposals)
		ioFleet.Accept(body);
	ioFleet.state.CheckInvariants();
}

/// Advances every leaving host by one step, as its lifecycle would. Returns whether anything changed.
bool AdvanceLeavingHosts(TestFleet &ioFleet)
{
	bool changed = false;
	std::vector<std::string> names;
	for (const auto &[name, host] : ioFleet.state.hosts)
		names.push_back(name);
	for (const std::string &name : names)
	{
		const Host &host = ioFleet.state.hosts.at(name);
		const std::string wave = host.wave;
		if (host.health == EHostHealth::Failed)
			continue;
		if (host.phase == EHostPhase::Draining && host.replicas.empty())
			ioFleet.Step(name, EHostStep::Drained, wave);
		else if (host.phase == EHostPhase::Drained)
			ioFleet.Step(name, EHostStep::Out, wave);
		else if (host.phase == EHostPhase::Out)
			ioFleet.Step(name, EHostStep::Returned, wave);
		else if (host.health == EHostHealth::Unknown)
			ioFleet.Step(name, EHostStep::Healthy, wave);
		else
			continue;
		changed = true;
	}
	return changed;
}

TEST(Placement, SpreadsOverHostsRacksAndZones)
{
	TestFleet fleet;
	fleet.Accept(ApplySettings{0, TestFleet::OnePool(0, 4), "me"});
	for (int i = 0; i < 8; ++i)
		fleet.AddHealthy("h" + std::to_string(i), "/pool", "rack-" + std::to_string(i / 2), "zone-" + std::to_string(i / 4));
	ApplyPlan(fleet, PlacementPlanner(fleet.state, "/pool").Plan().proposals);
	std::set<std::string> racks;
	for (const auto &[replica, placement] : fleet.state.placements)
		racks.insert(fleet.state.hosts.at(placement.host).spec.rack);
	EXPECT_EQ(racks.size(), 4U);
}

TEST(Placement, HigherPriorityDisplacesTheFewest)
{
	TestFleet fleet;
	std::vector<SettingsNode> nodes = {{"/pool", ENodeKind::Pool, {}}};
	nodes.push_back(
		{"/pool/small", ENodeKind::Job, {{ESetting::Replicas, {4, {}}}, {ESetting::CpuMilli, {4000, {}}}, {ESetting::Priority, {1, {}}}}});
	nodes.push_back({"/pool/large",
					 ENodeKind::Job,
					 {{ESetting::Replicas, {1, {}}}, {ESetting::CpuMilli, {16'000, {}}}, {ESetting::Priority, {1, {}}}}});
	fleet.Accept(ApplySettings{0, nodes, "me"});
	fleet.AddHealthy("h0");
	fleet.AddHealthy("h1");
	ApplyPlan(fleet, PlacementPlanner(fleet.state, "/pool").Plan().proposals);
	ASSERT_EQ(fleet.state.placements.size(), 5U);
	nodes.push_back({"/pool/urgent",
					 ENodeKind::Job,
					 {{ESetting::Replicas, {1, {}}}, {ESetting::CpuMilli, {14'000, {}}}, {ESetting::Priority, {900, {}}}}});
	fleet.Accept(ApplySettings{fleet.state.settings_version, nodes, "me"});
	const PlacementPlan plan = PlacementPlanner(fleet.state, "/pool").Plan();
	EXPECT_EQ(plan.preempted, 1U);
	ApplyPlan(fleet, plan.proposals);
	EXPECT_EQ(fleet.state.placements.count({"/pool/urgent", 0}), 1U);
}

TEST(Placement, SaysAtOnceWhatCanNeverRun)
{
	TestFleet fleet;
	std::vector<SettingsNode> nodes = TestFleet::OnePool(0, 1, 4000);
	nodes.push_back({"/pool/huge", ENodeKind::Job, {{ESetting::CpuMilli, {99'000, {}}}, {ESetting::Priority, {1000, {}}}}});
	nodes.push_back({"/pool/poor",
					 ENodeKind::Job,
					 {{ESetting::CpuMilli, {5000, {}}}, {ESetting::QuotaCpuMilli, {100, {}}}, {ESetting::Team, {0, "poor"}}}});
	fleet.Accept(ApplySettings{0, nodes, "me"});
	fleet.AddHealthy("h0");
	const PlacementPlan plan = PlacementPlanner(fleet.state, "/pool").Plan();
	ASSERT_EQ(plan.unplaced.size(), 2U);
	EXPECT_EQ(plan.unplaced[0].why, EUnplaced::NeverFits);
	EXPECT_EQ(plan.unplaced[1].why, EUnplaced::QuotaTooSmall);
	EXPECT_NE(ExplainUnplaced(fleet.state, plan.unplaced[0]).find("can never run"), std::string::npos);
	// It does not delay other placements
	EXPECT_EQ(plan.proposals.size(), 1U);
}

TEST(Wave, FailuresCancelDrains)
{
	TestFleet fleet;
	fleet.Accept(ApplySettings{0, TestFleet::OnePool(50, 2), "me"});
	for (int i = 0; i < 6; ++i)
		fleet.AddHealthy("h" + std::to_string(i), "/pool", "rack-" + std::to_string(i));
	ApplyPlan(fleet, PlacementPlanner(fleet.state, "/pool").Plan().proposals);
	fleet.Accept(StartWave{"w", "", "", ""});
	ApplyPlan(fleet, WavePlanner(fleet.state, "/pool", {}).Plan().proposals);
	EXPECT_EQ(fleet.state.pool_counts.at("/pool").available, 3U);
	for (const auto &[name, host] : std::map(fleet.state.hosts))
		if (host.IsAvailable())
		{
			fleet.Step(name, EHostStep::Failed);
			break;
		}
	const WavePlan plan = WavePlanner(fleet.state, "/pool", {}).Plan();
	EXPECT_EQ(plan.cancelled_drains, 1U);
	ApplyPlan(fleet, plan.proposals);
	EXPECT_EQ(fleet.state.pool_counts.at("/pool").available, 3U);
}

TEST(Wave, HostsOfAnUnresponsiveZoneCountAsUnavailable)
{
	TestFleet fleet;
	fleet.Accept(ApplySettings{0, TestFleet::OnePool(50, 0), "me"});
	std::set<std::string> unheard;
	for (int i = 0; i < 4; ++i)
		fleet.AddHealthy("h" + std::to_string(i));
	fleet.Accept(StartWave{"w", "", "", ""});
	EXPECT_EQ(WavePlanner(fleet.state, "/pool", {"h2", "h3"}).Plan().drains, 0U);
	EXPECT_EQ(WavePlanner(fleet.state, "/pool", {"h3"}).Plan().drains, 1U);
}

TEST(RollingPlan, EveryPoolHasOneWaveInEachPeriodAndTheyAreSpread)
{
	TestFleet fleet;
	std::vector<SettingsNode> nodes = {{"/", ENodeKind::Group, {{ESetting::MaintainEveryDays, {14, {}}}}}};
	constexpr int cPools = 60;
	for (int i = 0; i < cPools; ++i)
		nodes.push_back({"/pool-" + std::to_string(i), ENodeKind::Pool, {}});
	fleet.Accept(ApplySettings{0, nodes, "me"});
	for (int i = 0; i < cPools; ++i)
		fleet.AddHealthy("h" + std::to_string(i), "/pool-" + std::to_string(i));
	std::map<std::string, int64> last_turn;
	constexpr int64 cDayS = 86'400;
	constexpr int64 cHourS = 3600;
	constexpr int64 cPeriodS = 14 * cDayS;
	int max_turns_per_day = 0;
	constexpr int64 cStart = 1'800'000'000;
	for (int64 day = 0; day < 42; ++day)
	{
		int turns = 0;
		for (int64 hour = 0; hour < 24; ++hour)
			for (const auto &[path, pool] : std::map(fleet.state.pools))
			{
				const int64 date = cStart + day * cDayS + hour * cHourS;
				const std::optional<StartWave> turn = PlanRolling(fleet.state, pool, date);
				if (!turn.has_value())
					continue;
				fleet.Accept(*turn);
				// If two hosts plan for the pool at once, the second proposal is rejected
				EXPECT_FALSE(fleet.Apply(*turn).Accepted());
				fleet.Accept(ChangeWave{turn->name, EWaveAction::Cancel});
				// Neither later than a period after the last turn, nor much earlier
				const int64 since = date - last_turn.try_emplace(path, cStart).first->second;
				EXPECT_LE(since, cPeriodS + cHourS) << path;
				EXPECT_TRUE(last_turn[path] == cStart || since >= cPeriodS - cDayS) << path;
				last_turn[path] = date;
				++turns;
			}
		max_turns_per_day = std::max(max_turns_per_day, turns);
	}
	EXPECT_EQ(last_turn.size(), static_cast<size_t>(cPools));
	for (const auto &[path, date] : last_turn)
		EXPECT_GE(date, cStart + 42 * cDayS - cPeriodS - cHourS) << path;
	EXPECT_LE(max_turns_per_day, 14);
}

TEST(HostLifecycle, CountsAHostAsDrainedOnlyByItsWorkersAnswer)
{
	TestFleet fleet;
	fleet.Accept(ApplySettings{0, TestFleet::OnePool(0, 0), "me"});
	fleet.AddHealthy("h0");
	fleet.Accept(StartWave{"w", "", "", ""});
	fleet.Step("h0", EHostStep::Drain, "w");
	Observations seen;
	HostObservation &observed = seen.hosts["h0"];
	observed.first_polled = 1;
	observed.last_answer = 10'000;
	const auto decide = [&](bool inAcknowledged)
	{ return HostLifecycle(fleet.state, seen, {}, 10'000).Decide(fleet.state.hosts.at("h0"), inAcknowledged); };
	EXPECT_TRUE(decide(true).empty());
	observed.quiet_since = 9'000;
	EXPECT_TRUE(decide(false).empty());
	ASSERT_EQ(decide(true).size(), 1U);
	EXPECT_EQ(std::get<StepHost>(decide(true)[0]).step, EHostStep::Drained);
	// An unresponsive host may still run replicas behind a network partition: it is failed, never drained
	observed.last_answer = 1000;
	observed.quiet_since = 0;
	ASSERT_EQ(decide(true).size(), 1U);
	EXPECT_EQ(std::get<StepHost>(decide(true)[0]).step, EHostStep::Failed);
}

TEST(JobBackoff, AJobThatFailsOnManyHostsWaitsLongerEachTime)
{
	TestFleet fleet;
	fleet.Accept(ApplySettings{0, TestFleet::OnePool(0, 1), "me"});
	JobBackoff backoff;
	const auto fail_on = [&fleet](const std::string &inHost)
	{
		const LogPosition generation = fleet.Accept(PlaceReplica{{"/pool/job", 0}, inHost, 0});
		fleet.Accept(StopReplica{{"/pool/job", 0}, generation, EStopReason::JobFailed});
	};
	for (const char *name : {"h0", "h1", "h2"})
	{
		fleet.AddHealthy(name);
		EXPECT_TRUE(backoff.Waiting(fleet.state, 0).empty());
		fail_on(name);
	}
	const std::set<std::string> waiting = backoff.Waiting(fleet.state, 1000);
	EXPECT_EQ(waiting.count("/pool/job"), 1U);
	const PlacementPlan held = PlacementPlanner(fleet.state, "/pool", &waiting).Plan();
	EXPECT_TRUE(held.proposals.empty());
	EXPECT_EQ(held.unplaced.at(0).why, EUnplaced::BackingOff);
	EXPECT_TRUE(backoff.Waiting(fleet.state, 6000).empty());
	fail_on("h0");
	EXPECT_EQ(backoff.Waiting(fleet.state, 7000).size(), 1U);
	EXPECT_EQ(backoff.Waiting(fleet.state, 16'999).size(), 1U);
	EXPECT_TRUE(backoff.Waiting(fleet.state, 17'000).empty());
	// New settings end the backoff
	fail_on("h0");
	fleet.Accept(ApplySettings{fleet.state.settings_version, TestFleet::OnePool(0, 1), "me"});
	EXPECT_TRUE(backoff.Waiting(fleet.state, 17'001).empty());
}

TEST(HostLifecycle, QuarantinesAHostThatFailsManyJobs)
{
	TestFleet fleet;
	std::vector<SettingsNode> nodes = {{"/pool", ENodeKind::Pool, {{ESetting::MinAvailablePercent, {50, {}}}}}};
	for (int i = 0; i < 3; ++i)
		nodes.push_back({"/pool/job-" + std::to_string(i), ENodeKind::Job, {}});
	fleet.Accept(ApplySettings{0, nodes, "me"});
	fleet.AddHealthy("h0");
	fleet.AddHealthy("h1");
	for (int i = 0; i < 3; ++i)
	{
		const ReplicaKey replica{"/pool/job-" + std::to_string(i), 0};
		fleet.Accept(StopReplica{replica, fleet.Accept(PlaceReplica{replica, "h0", 0}), EStopReason::JobFailed});
	}
	Observations seen;
	seen.hosts["h0"].last_answer = 100;
	const std::vector<ProposalBody> decided = HostLifecycle(fleet.state, seen, {}, 100).Decide(fleet.state.hosts.at("h0"), true);
	ASSERT_EQ(decided.size(), 1U);
	EXPECT_EQ(std::get<StepHost>(decided[0]).step, EHostStep::Quarantine);
}

/// A random fleet with jobs of random size, some of which can never run.
TestFleet RandomFleet()
{
	TestFleet fleet;
	std::vector<SettingsNode> nodes = {{"/pool", ENodeKind::Pool, {}}};
	nodes[0].stated[ESetting::MinAvailablePercent] = {*rc::gen::inRange<int64>(0, 95), {}};
	nodes[0].stated[ESetting::WeightBuffer] = {*rc::gen::inRange<int64>(0, 3), {}};
	const int jobs = *rc::gen::inRange(1, 5);
	for (int i = 0; i < jobs; ++i)
	{
		SettingsNode job{"/pool/job-" + std::to_string(i), ENodeKind::Job, {}};
		job.stated[ESetting::Kind] = {0, *rc::gen::element<std::string>("service", "batch")};
		job.stated[ESetting::Replicas] = {*rc::gen::inRange<int64>(0, 8), {}};
		job.stated[ESetting::CpuMilli] = {*rc::gen::inRange<int64>(500, 20'000), {}};
		job.stated[ESetting::Priority] = {*rc::gen::inRange<int64>(0, 4), {}};
		nodes.push_back(std::move(job));
	}
	fleet.Accept(ApplySettings{0, nodes, "me"});
	const int hosts = *rc::gen::inRange(1, 14);
	for (int i = 0; i < hosts; ++i)
		fleet.AddHealthy("h" + std::to_string(i), "/pool", "rack-" + std::to_string(i / 4), "zone-" + std::to_string(i % 3));
	return fleet;
}

/// Checks that no replica waits for capacity that replicas of lower priority hold on one host and could release.
void CheckNoReplicaWaitsForLowerPriority(const FleetState &inState, const PlacementPlan &inPlan)
{
	for (const Unplaced &waiting : inPlan.unplaced)
	{
		if (waiting.why != EUnplaced::NoCapacity)
			continue;
		const JobSpec &job = inState.jobs.at(waiting.replica.job);
		for (const auto &[name, host] : inState.hosts)
		{
			if (!host.IsAvailable() || host.pool != job.pool)
				continue;
			Resources releasable = host.Free();
			for (const ReplicaKey &replica : host.replicas)
				if (inState.placements.at(replica).priority < job.priority)
					releasable += inState.placements.at(replica).requested;
			RC_ASSERT(!job.requested.FitsInto(releasable));
		}
	}
}

RC_GTEST_PROP(PlannerProperty, PlansSettleAndNobodyWaitsInVain, ())
{
	SetInvariantsAbort(true);
	TestFleet fleet = RandomFleet();
	for (int round = 0; round < 60; ++round)
	{
		const PlacementPlan plan = PlacementPlanner(fleet.state, "/pool").Plan();
		if (plan.proposals.empty())
		{
			CheckNoReplicaWaitsForLowerPriority(fleet.state, plan);
			return;
		}
		ApplyPlan(fleet, plan.proposals);
	}
	RC_FAIL("placement does not settle");
}

RC_GTEST_PROP(PlannerProperty, WavesKeepBudgetsAndRecoverFromFailures, ())
{
	SetInvariantsAbort(true);
	TestFleet fleet = RandomFleet();
	ApplyPlan(fleet, PlacementPlanner(fleet.state, "/pool").Plan().proposals);
	fleet.Accept(StartWave{"w", "", "", ""});
	const int failures = *rc::gen::inRange(0, 5);
	int failed = 0;
	int idle = 0;
	for (int round = 0; round < 400 && idle < 3; ++round)
	{
		const PoolCounts before = fleet.state.pool_counts.at("/pool");
		const uint32 required = fleet.state.RequiredAvailable("/pool");
		const WavePlan wave = WavePlanner(fleet.state, "/pool", {}).Plan();
		ApplyPlan(fleet, wave.proposals);
		const uint32 after = fleet.state.pool_counts.at("/pool").available;
		// The planner's own drains never take a pool below its budget, nor further below it
		RC_ASSERT(after >= std::min(before.available, required));
		const PlacementPlan placed = PlacementPlanner(fleet.state, "/pool").Plan();
		ApplyPlan(fleet, placed.proposals);
		for (const auto &[replica, placement] : fleet.state.placements)
			RC_ASSERT(fleet.state.hosts.at(placement.host).pool == "/pool");
		const bool advanced = AdvanceLeavingHosts(fleet);
		if (failed < failures && *rc::gen::inRange(0, 4) == 0)
		{
			auto host = fleet.state.hosts.begin();
			std::advance(host, *rc::gen::inRange<size_t>(0, fleet.state.hosts.size()));
			if (host->second.phase != EHostPhase::Out && host->second.health == EHostHealth::Healthy)
			{
				fleet.Step(host->first, EHostStep::Failed, host->second.wave);
				++failed;
			}
		}
		idle = wave.proposals.empty() && placed.proposals.empty() && !advanced ? idle + 1 : 0;
	}
	RC_ASSERT(idle >= 3);
	// What waits at the end waits for a stated reason: failed hosts, the budget, or no capacity
	const Wave &wave = fleet.state.waves.at("w");
	if (failures == 0 && wave.state != EWaveState::Done)
		RC_ASSERT(!WavePlanner(fleet.state, "/pool", {}).Plan().held_by.empty() ||
				  std::any_of(fleet.state.hosts.begin(), fleet.state.hosts.end(),
							  [](const auto &inEntry) { return inEntry.second.phase == EHostPhase::Draining; }));
}

} // namespace
