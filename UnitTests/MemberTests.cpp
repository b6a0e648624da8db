// Messages between entry hosts under damage, forgery and replay; liveness, assigned planners and views.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Member/ViewPlanner.h>
#include <UnitTests/TestFleet.h>

#include <rapidcheck/gtest.h>

using namespace Loomreach;

namespace
{

HeartbeatMessage HeartbeatOf(const std::string &inName, uint64 inIncarnation, uint64 inSequence, const std::string &inZone = "z")
{
	HeartbeatMessage heartbeat;
	heartbeat.name = inName;
	heartbeat.incarnation = inIncarnation;
	heartbeat.sequence = inSequence;
	heartbeat.availability_zone = inZone;
	heartbeat.reaches_platform = true;
	heartbeat.zone_reaches_platform = true;
	return heartbeat;
}

TEST(PeerCodec, RefusesForgedCutAndChangedDatagrams)
{
	const PeerCodec codec("a key of sixteen");
	const PeerCodec other("another key, as long");
	const std::string good = codec.SealHeartbeat(HeartbeatOf("a", 1, 1));
	EXPECT_TRUE(codec.OpenHeartbeat(good).has_value());
	EXPECT_FALSE(other.OpenHeartbeat(good).has_value());
	EXPECT_EQ(LastReason().kind, EError::Forged);
	for (size_t cut = 0; cut < good.size(); ++cut)
		EXPECT_FALSE(codec.OpenHeartbeat(good.substr(0, cut)).has_value());
	for (size_t at = 0; at < good.size(); ++at)
	{
		std::string bad = good;
		bad[at] = static_cast<char>(bad[at] ^ 1);
		EXPECT_FALSE(codec.OpenHeartbeat(bad).has_value()) << at;
	}
	EXPECT_FALSE(codec.OpenRequest(good).has_value());
	const std::optional<RequestFrame> ask = codec.OpenRequest(codec.SealRequest({5, ClaimRequest{"id", 3, 4, 5}}));
	ASSERT_TRUE(ask.has_value());
	EXPECT_EQ(std::get<ClaimRequest>(ask->request).owner, 4U);
}

RC_GTEST_PROP(PeerCodec, RandomBytesNeverOpen, (const std::string &inBytes))
{
	const PeerCodec codec("a key of sixteen");
	RC_ASSERT(!codec.OpenHeartbeat(inBytes).has_value());
	RC_ASSERT(!codec.OpenReply(inBytes).has_value());
}

TEST(PeerTracker, RefusesReplaysAndEarlierIncarnations)
{
	PeerTracker tracker("self", "z", 1000, 1000);
	EXPECT_TRUE(tracker.OnHeartbeat(HeartbeatOf("a", 1, 5), 0));
	EXPECT_FALSE(tracker.OnHeartbeat(HeartbeatOf("a", 1, 5), 0));
	EXPECT_FALSE(tracker.OnHeartbeat(HeartbeatOf("a", 1, 4), 0));
	EXPECT_TRUE(tracker.OnHeartbeat(HeartbeatOf("a", 2, 1), 10));
	EXPECT_FALSE(tracker.OnHeartbeat(HeartbeatOf("a", 1, 6), 20));
	EXPECT_EQ(tracker.Find("a")->heartbeat.incarnation, 2U);
	EXPECT_TRUE(tracker.IsLive("a", 1009));
	EXPECT_FALSE(tracker.IsLive("a", 1010));
	// An incarnation that was taken for superseded by mistake is heard again once the other one is unresponsive
	EXPECT_TRUE(tracker.OnHeartbeat(HeartbeatOf("a", 1, 7), 2000));
}

View ViewOf(const std::vector<std::pair<std::string, std::string>> &inMembers)
{
	View view;
	view.number = 1;
	for (const auto &[name, zone] : inMembers)
		view.members[name] = {name, 1, "r", zone, {}, {}};
	return view;
}

/// Guards against a pool that no host plans for, or two hosts.
TEST(PlannerAssignment, OnePlannerForEachKeyAndANewOneWhenItIsUnresponsive)
{
	const std::vector<std::string> names = {"a", "b", "c", "d"};
	const View view = ViewOf({{"a", "z1"}, {"b", "z1"}, {"c", "z2"}, {"d", "z2"}});
	const auto assignment = [&](const std::string &inSelf, const std::string &inZone, const std::set<std::string> &inSilent)
	{
		PeerTracker tracker(inSelf, inZone, 1000, 1000);
		for (const auto &[name, member] : view.members)
			if (name != inSelf && inSilent.count(name) == 0)
				tracker.OnHeartbeat(HeartbeatOf(name, 100 + static_cast<uint64>(name[0]), 1, member.availability_zone), 0);
		return PlannerAssignment(view, tracker, inSelf, true, false, 10);
	};
	for (int key = 0; key < 50; ++key)
	{
		const std::string text = "pool-" + std::to_string(key);
		int planners = 0;
		for (const auto &[name, member] : view.members)
			planners += assignment(name, member.availability_zone, {}).IsAssigned(text) ? 1 : 0;
		EXPECT_EQ(planners, 1);
		int without_a = 0;
		for (const auto &[name, member] : view.members)
			if (name != "a")
				without_a += assignment(name, member.availability_zone, {"a"}).IsAssigned(text) ? 1 : 0;
		EXPECT_EQ(without_a, 1);
	}
}

TEST(ViewPlanner, APausedProcessListensAgainBeforeItRemovesMembers)
{
	ListeningSpan span;
	EXPECT_EQ(span.Update(1000, 500), 1000);
	EXPECT_EQ(span.Update(1400, 500), 1000);
	EXPECT_EQ(span.Update(9000, 500), 9000);
	TestFleet fleet;
	const Member self{"a", 1, "r", "z", {}, {}};
	const Member other{"b", 2, "r", "z", {}, {}};
	fleet.Accept(ChangeView{0, {self, other}, true});
	const PeerTracker tracker("a", "z", 1000, 1000);
	EXPECT_FALSE(PlanView({fleet.state, tracker, self, 9100, 9000, 5000, 1000}).has_value());
	const std::optional<ChangeView> change = PlanView({fleet.state, tracker, self, 15'000, 9000, 5000, 1000});
	ASSERT_TRUE(change.has_value());
	EXPECT_EQ(change->members.size(), 1U);
}

TEST(ViewPlanner, AnOlderIncarnationProvesNothingAboutANewerOne)
{
	TestFleet fleet;
	const Member self{"a", 1, "r", "z1", {}, {}};
	const Member newer{"b", 9, "r", "z2", {}, {}};
	fleet.Accept(ChangeView{0, {self, newer}, true});
	PeerTracker tracker("a", "z1", 1000, 1000);
	// Heard before the network partition: the incarnation before the one in the view
	tracker.OnHeartbeat(HeartbeatOf("b", 8, 1, "z2"), 100);
	EXPECT_FALSE(PlanView({fleet.state, tracker, self, 2000, 0, 5000, 1000}).has_value());
	// A newer incarnation was heard than the one in the view: the one in the view has ended
	fleet.Accept(ChangeView{1, {self, {"b", 8, "r", "z2", {}, {}}}, false});
	tracker.OnHeartbeat(HeartbeatOf("b", 9, 1, "z2"), 3000);
	EXPECT_TRUE(PlanView({fleet.state, tracker, self, 3100, 0, 5000, 1000}).has_value());
}

TEST(ViewPlanner, AnUnheardZoneIsAliveIfTheLogSaysSo)
{
	const View view = ViewOf({{"a", "z1"}, {"b", "z2"}});
	PeerTracker tracker("a", "z1", 1000, 1000);
	EXPECT_TRUE(NeedsLogHeartbeat(view, tracker, "z1", 1000, 5000));
	tracker.OnHeartbeat(HeartbeatOf("b", 1, 1, "z2"), 4900);
	EXPECT_FALSE(NeedsLogHeartbeat(view, tracker, "z1", 1000, 5000));
	FleetState state;
	state.zones_alive["z2"] = 7;
	tracker.UpdateFromLog(state, 9000);
	EXPECT_TRUE(tracker.HasRecentLogHeartbeat("z2", 11'000));
	EXPECT_FALSE(tracker.HasRecentLogHeartbeat("z2", 12'001));
}

} // namespace
