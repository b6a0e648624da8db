// The preconditions of each proposal, snapshots, damaged records, and random proposals against the invariants.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Invariant.h>
#include <Loomreach/State/AppendQueue.h>
#include <Loomreach/State/ClaimGroups.h>
#include <Loomreach/State/Snapshot.h>
#include <UnitTests/TestFleet.h>

#include <rapidcheck/gtest.h>

using namespace Loomreach;

namespace
{

TestFleet FleetOf(int inHosts, int64 inMinAvailable, int64 inReplicas = 2)
{
	TestFleet fleet;
	fleet.Accept(ApplySettings{0, TestFleet::OnePool(inMinAvailable, inReplicas), "me"});
	for (int i = 0; i < inHosts; ++i)
		fleet.AddHealthy("h" + std::to_string(i));
	return fleet;
}

TEST(ApplyProposal, SettingsNeedTheVersionInForce)
{
	TestFleet fleet = FleetOf(1, 50);
	const LogPosition version = fleet.state.settings_version;
	fleet.Reject(ApplySettings{version - 1, TestFleet::OnePool(50, 3), "late"}, EError::Conflict);
	fleet.Accept(ApplySettings{version, TestFleet::OnePool(50, 3), "first"});
	fleet.Reject(ApplySettings{version, TestFleet::OnePool(50, 4), "second"}, EError::Conflict);
	EXPECT_EQ(fleet.state.jobs.at("/pool/job").replicas, 3U);
}

TEST(ApplyProposal, ARemovedPoolMustBeEmpty)
{
	TestFleet fleet = FleetOf(1, 50);
	fleet.Reject(ApplySettings{fleet.state.settings_version, {}, "me"}, EError::BadSettings);
}

TEST(ApplyProposal, DrainKeepsTheBudget)
{
	TestFleet fleet = FleetOf(4, 70); // 3 of 4 hosts must stay available
	fleet.Step("h0", EHostStep::Drain);
	fleet.Reject(fleet.MakeStep("h1", EHostStep::Drain), EError::BudgetExceeded);
	fleet.Step("h0", EHostStep::Undrain);
	fleet.Step("h1", EHostStep::Failed);
	fleet.Reject(fleet.MakeStep("h0", EHostStep::Drain), EError::BudgetExceeded);
	// Draining a host that is unavailable anyway takes nothing from the budget
	fleet.Step("h1", EHostStep::Drain);
}

TEST(ApplyProposal, AHostCountsAgainOnlyWhenSeenHealthy)
{
	TestFleet fleet = FleetOf(4, 70);
	fleet.Accept(StartWave{"w", "", "", ""});
	fleet.Step("h0", EHostStep::Drain, "w");
	fleet.Step("h0", EHostStep::Drained, "w");
	fleet.Step("h0", EHostStep::Out, "w");
	fleet.Step("h0", EHostStep::Returned, "w");
	fleet.Reject(fleet.MakeStep("h1", EHostStep::Drain, "w"), EError::BudgetExceeded);
	fleet.Step("h0", EHostStep::Healthy, "w");
	EXPECT_EQ(fleet.state.hosts.at("h0").maintained_in, "w");
	EXPECT_EQ(fleet.state.waves.at("w").hosts.at("h0"), EWaveHost::Done);
	fleet.Step("h1", EHostStep::Drain, "w");
}

TEST(ApplyProposal, StaleStepsAndRepeatedIdsChangeNothing)
{
	TestFleet fleet = FleetOf(4, 50);
	const StepHost early = fleet.MakeStep("h0", EHostStep::Drain);
	fleet.Accept(early);
	fleet.Step("h0", EHostStep::Undrain);
	fleet.Reject(early, EError::StaleGeneration);
	const uint64 hash = fleet.state.Hash();
	const Proposal again{{1, fleet.sequence}, fleet.MakeStep("h1", EHostStep::Drain)};
	EXPECT_EQ(ApplyProposal(fleet.state, 99'999'999, again).error, EError::DuplicateProposal);
	EXPECT_EQ(fleet.state.Hash(), hash);
}

TEST(ApplyProposal, OnlyADrainedHostMoves)
{
	TestFleet fleet;
	std::vector<SettingsNode> nodes = TestFleet::OnePool(0, 1);
	nodes.push_back({"/other", ENodeKind::Pool, {}});
	fleet.Accept(ApplySettings{0, nodes, "me"});
	fleet.AddHealthy("h0");
	const auto move = [&fleet](const std::string &inFrom) {
		return MoveHost{"h0", inFrom, "/other", fleet.state.hosts.at("h0").generation};
	};
	fleet.Reject(move("/pool"), EError::WrongPhase);
	fleet.Accept(PlaceReplica{{"/pool/job", 0}, "h0", 0});
	fleet.Step("h0", EHostStep::Drain);
	fleet.Reject(fleet.MakeStep("h0", EHostStep::Drained), EError::WrongPhase);
	fleet.Accept(StopReplica{{"/pool/job", 0}, fleet.state.placements.at({"/pool/job", 0}).generation, EStopReason::HostLost});
	fleet.Step("h0", EHostStep::Drained);
	fleet.Reject(move("/wrong"), EError::WrongPool);
	fleet.Accept(move("/pool"));
	EXPECT_EQ(fleet.state.hosts.at("h0").pool, "/other");
	fleet.Reject(PlaceReplica{{"/pool/job", 0}, "h0", 0}, EError::WrongPool);
	fleet.state.CheckInvariants();
}

TEST(ApplyProposal, PlacementNeedsCapacityQuotaAndGeneration)
{
	TestFleet fleet;
	std::vector<SettingsNode> nodes = TestFleet::OnePool(0, 9, 9000);
	nodes[1].stated[ESetting::QuotaCpuMilli] = {20'000, {}};
	fleet.Accept(ApplySettings{0, nodes, "me"});
	for (const char *name : {"h0", "h1", "h2"})
		fleet.AddHealthy(name);
	const LogPosition first = fleet.Accept(PlaceReplica{{"/pool/job", 0}, "h0", 0});
	fleet.Reject(PlaceReplica{{"/pool/job", 1}, "h0", 0}, EError::CapacityExceeded);
	fleet.Reject(PlaceReplica{{"/pool/job", 0}, "h1", 0}, EError::StaleGeneration);
	fleet.Accept(PlaceReplica{{"/pool/job", 1}, "h1", 0});
	fleet.Reject(PlaceReplica{{"/pool/job", 2}, "h2", 0}, EError::QuotaExceeded);
	// Moving a replica releases what it had reserved
	fleet.Accept(PlaceReplica{{"/pool/job", 0}, "h2", first});
	fleet.Reject(PlaceReplica{{"/pool/job", 99}, "h2", 0}, EError::UnknownJob);
	fleet.Step("h1", EHostStep::Quarantine);
	fleet.Reject(PlaceReplica{{"/pool/job", 1}, "h1", fleet.state.placements.at({"/pool/job", 1}).generation}, EError::WrongPhase);
	fleet.state.CheckInvariants();
}

TEST(ApplyProposal, AFailureIsRecordedForTheHostAndTheJob)
{
	TestFleet fleet = FleetOf(2, 0);
	const LogPosition generation = fleet.Accept(PlaceReplica{{"/pool/job", 0}, "h0", 0});
	fleet.Accept(StopReplica{{"/pool/job", 0}, generation, EStopReason::JobFailed});
	EXPECT_EQ(fleet.state.hosts.at("h0").failed_jobs.count("/pool/job"), 1U);
	EXPECT_EQ(fleet.state.history.at("/pool/job").failed_hosts.count("h0"), 1U);
	// The end of an older generation does not end the present one
	fleet.Accept(PlaceReplica{{"/pool/job", 0}, "h1", 0});
	fleet.Reject(StopReplica{{"/pool/job", 0}, generation, EStopReason::Finished}, EError::StaleGeneration);
}

TEST(ApplyProposal, AViewKeepsAHolderOfEachClaimRange)
{
	TestFleet fleet;
	const auto member = [](const std::string &inName, uint64 inIncarnation)
	{ return Member{inName, inIncarnation, "r", "z-" + inName, {}, {}}; };
	fleet.Reject(ChangeView{0, {member("a", 1)}, false}, EError::ViewRejected);
	fleet.Accept(ChangeView{0, {member("a", 1)}, true});
	fleet.Accept(ChangeView{1, {member("a", 1), member("b", 2)}, false});
	// b has taken over no range yet, so a must stay
	fleet.Reject(ChangeView{2, {member("b", 2)}, false}, EError::ViewRejected);
	std::vector<uint32> all;
	for (uint32 range = 0; range < cClaimRanges; ++range)
		all.push_back(range);
	fleet.Reject(TakeOver{1, "b", all}, EError::ViewRejected);
	fleet.Accept(TakeOver{2, "b", all});
	fleet.Accept(ChangeView{2, {member("b", 2)}, false});
	// A restarted b has lost its claims: such a view is only accepted as a reset
	fleet.Reject(ChangeView{3, {member("b", 3)}, false}, EError::ViewRejected);
	fleet.Accept(ChangeView{3, {member("b", 3)}, true});
	EXPECT_EQ(fleet.state.view.resets, 2U);
}

TEST(Records, DamageIsRefusedWhole)
{
	const std::string good = EncodeBatch({{{1, 1}, ChangeWave{"w", EWaveAction::Pause}}, {{1, 2}, ZoneAlive{"z"}}});
	ASSERT_TRUE(DecodeBatch(good).has_value());
	for (size_t cut = 0; cut < good.size(); ++cut)
		EXPECT_FALSE(DecodeBatch(good.substr(0, cut)).has_value()) << cut;
	for (size_t at = 0; at < good.size(); ++at)
	{
		std::string bad = good;
		bad[at] = static_cast<char>(bad[at] ^ 0x10);
		EXPECT_FALSE(DecodeBatch(bad).has_value()) << at;
	}
	std::string future = good;
	future[3] = 9;
	EXPECT_FALSE(DecodeBatch(future).has_value());
	EXPECT_EQ(LastReason().kind, EError::UnknownVersion);
	FleetState state;
	const std::vector<ProposalOutcome> outcomes = ApplyLogRecord(state, 0, "rubbish");
	EXPECT_EQ(outcomes.at(0).error, EError::Corrupt);
	EXPECT_EQ(state.next_offset, 1U);
}

/// Guards against a state that is assembled from an incomplete snapshot.
TEST(Snapshot, NeedsEveryPieceInAnyOrder)
{
	TestFleet fleet = FleetOf(3, 50);
	std::vector<SettingsNode> nodes = TestFleet::OnePool(50, 1);
	for (int i = 0; i < 9000; ++i)
		nodes.push_back({"/pool/" + std::string(40, 'x') + std::to_string(i), ENodeKind::Job, {}});
	fleet.Accept(ApplySettings{fleet.state.settings_version, nodes, "me"});
	std::vector<std::string> pieces = SplitSnapshot(fleet.state.next_offset, EncodeState(fleet.state));
	ASSERT_GT(pieces.size(), 2U);
	SnapshotAssembler assembler;
	EXPECT_FALSE(assembler.Add("rubbish"));
	for (size_t i = pieces.size(); i-- > 1;)
	{
		EXPECT_TRUE(assembler.Add(pieces[i]));
		EXPECT_TRUE(assembler.Add(pieces[i]));
		EXPECT_FALSE(assembler.Newest().has_value());
	}
	EXPECT_TRUE(assembler.Add(pieces[0]));
	const std::optional<FleetState> again = assembler.Newest();
	ASSERT_TRUE(again.has_value());
	EXPECT_EQ(again->Hash(), fleet.state.Hash());
	again->CheckInvariants();
}

TEST(AppendQueue, RepeatsTheSameBatchUntilItIsInTheLog)
{
	AppendQueue queue(7, 1);
	queue.SetRate(1000.0);
	queue.Add(ZoneAlive{"a"}, 0);
	const std::optional<std::string> first = queue.Take(10);
	ASSERT_TRUE(first.has_value());
	EXPECT_FALSE(queue.Take(20).has_value());
	queue.Add(ZoneAlive{"b"}, 20);
	queue.OnFailed(20);
	EXPECT_EQ(queue.Take(5000), first);
	EXPECT_EQ(queue.Repeats(), 1U);
	queue.OnFailed(5000);
	// Read back from the log: the lost answer no longer matters
	EXPECT_TRUE(queue.OnReadBack(1).has_value());
	EXPECT_FALSE(queue.OnReadBack(1).has_value());
	const std::optional<std::string> second = queue.Take(9000);
	ASSERT_TRUE(second.has_value());
	EXPECT_NE(second, first);
}

TEST(AppendQueue, OrdersByKindAndRefusesBeyondItsBound)
{
	AppendQueue queue(7, 1);
	queue.SetRate(0.001);
	queue.Add(PlaceReplica{}, 0);
	queue.Add(ChangeView{}, 0);
	const std::optional<Batch> batch = DecodeBatch(*queue.Take(10));
	ASSERT_EQ(batch->size(), 2U);
	EXPECT_EQ((*batch)[0].Kind(), EProposal::ChangeView);
	int taken = 0;
	while (queue.Add(ZoneAlive{"z"}, 10).has_value())
		++taken;
	EXPECT_EQ(taken, 4096);
	EXPECT_EQ(LastReason().kind, EError::NotAccepted);
	EXPECT_EQ(queue.DropStale(5010).size(), 4096U);
}

/// Guards against repeating a batch that an adopted snapshot contains already.
TEST(AppendQueue, AnAdoptedStateSettlesWhatItHolds)
{
	AppendQueue queue(7, 1);
	queue.Add(ZoneAlive{"a"}, 0);
	ASSERT_TRUE(queue.Take(10).has_value());
	queue.OnFailed(10);
	EXPECT_EQ(queue.OnStateLoaded(1).size(), 1U);
	EXPECT_EQ(queue.UnconfirmedCount(), 0U);
	EXPECT_FALSE(queue.IsBusy());
}

/// One random proposal, valid or not.
ProposalBody RandomProposal(const FleetState &inState)
{
	const std::string host = "h" + std::to_string(*rc::gen::inRange(0, 8));
	auto known = inState.hosts.find(host);
	const LogPosition generation = known == inState.hosts.end() || *rc::gen::inRange(0, 10) == 0 ? 0 : known->second.generation;
	const ReplicaKey replica{"/pool/job", static_cast<uint32>(*rc::gen::inRange(0, 6))};
	auto placement = inState.placements.find(replica);
	const LogPosition base = placement == inState.placements.end() ? 0 : placement->second.generation;
	switch (*rc::gen::inRange(0, 8))
	{
	case 0:
		return AddHost{{host, {"127.0.0.1", 9}, "r", "z", "k", {16'000, 32'768, 0}, 8, 64},
					   *rc::gen::element<std::string>("/pool", "/other", "/none")};
	case 1:
		return MoveHost{host, *rc::gen::element<std::string>("/pool", "/other"), *rc::gen::element<std::string>("/pool", "/other"),
						generation};
	case 2:
	case 3: return PlaceReplica{replica, host, base};
	case 4: return StopReplica{replica, base, static_cast<EStopReason>(*rc::gen::inRange(0, 6))};
	case 5: return StartWave{"w" + std::to_string(*rc::gen::inRange(0, 3)), "", "", ""};
	default:
		return StepHost{
			host, static_cast<EHostStep>(*rc::gen::inRange(0, 10)), generation, *rc::gen::element<std::string>("", "w0", "w1"), "", 1};
	}
}

RC_GTEST_PROP(FoldProperty, RandomProposalsKeepEveryInvariant, ())
{
	SetInvariantsAbort(true);
	TestFleet fleet;
	std::vector<SettingsNode> nodes = TestFleet::OnePool(*rc::gen::inRange<int64>(0, 101), 5, 6000);
	nodes.push_back({"/other", ENodeKind::Pool, {}});
	fleet.Accept(ApplySettings{0, nodes, "me"});
	FleetState from_snapshot = fleet.state;
	const int steps = *rc::gen::inRange(0, 120);
	for (int i = 0; i < steps; ++i)
	{
		const PoolCounts before = fleet.state.pool_counts["/pool"];
		const ProposalBody body = RandomProposal(fleet.state);
		const StepHost *step = std::get_if<StepHost>(&body);
		const bool own_act = step != nullptr && (step->step == EHostStep::Drain || step->step == EHostStep::Quarantine);
		const ProposalOutcome outcome = fleet.Apply(body);
		const PoolCounts after = fleet.state.pool_counts["/pool"];
		if (outcome.Accepted() && own_act && after.available < before.available)
			RC_ASSERT(after.available >= fleet.state.RequiredAvailable("/pool"));
		fleet.state.pool_counts.erase("/none");
		std::erase_if(fleet.state.pool_counts, [](const auto &inEntry) { return inEntry.second.hosts == 0; });
		fleet.state.CheckInvariants();
	}
	const std::optional<FleetState> again = DecodeState(EncodeState(fleet.state));
	RC_ASSERT(again.has_value());
	RC_ASSERT(again->Hash() == fleet.state.Hash());
	again->CheckInvariants();
}

} // namespace
