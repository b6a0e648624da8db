// The fleet's owner: which orders to hosts leave, and when it may hand over.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Entry/FleetSeat.h>
#include <UnitTests/FakeLog.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

constexpr Millis cLongMs = 600'000;

/// A machine service that the test answers for.
struct HandMachines
{
	using OnList = std::function<void(const std::optional<std::vector<HostEntry>> &)>;
	using OnDuty = std::function<void(EDutyResult)>;

	void List(const OnList &inDone)
	{
		++this->lists;
		inDone(this->hosts);
	}
	void Send(const HostDuty &inDuty, OnDuty inDone)
	{
		this->sent.push_back(inDuty);
		this->open.push_back(std::move(inDone));
	}

	std::vector<HostEntry> hosts;
	std::vector<HostDuty> sent;
	std::vector<OnDuty> open;
	uint32 lists = 0;
};

struct HandHub
{
	static LogName StatusLog() { return {"keyed.status", 0}; }
	static LogRecord EncodeWaveStatus(int64 inWave, bool) { return {std::to_string(inWave), "state", 0}; }

	FakeLog store;
	HandMachines machines;
};

HostEntry SpareHost(const std::string &inName)
{
	HostEntry host;
	host.name = inName;
	host.pool = "spare";
	host.state = EHostState::Up;
	host.kind = "a";
	host.capacity = {16000, 32768, 0};
	return host;
}

/// A host's configuration that names a machine service: without one the fleet's owner lists no hosts.
JobHostConfig WithMachines()
{
	JobHostConfig config;
	config.machines = Address{"127.0.0.1", 1};
	return config;
}

/// A seat that has won its claim. Pools answer that they need `need`, if that is anything.
class HandFleet
{
public:
	HandFleet()
		: lease(LeaseTuning{}), owners("host", LeaseTuning{}),
		  seat(this->hub, SeatContext{this->config, this->metrics, this->lease, this->owners, {"host", 1, 1}},
			   [this](const std::string &, const PeerQuestion &, const PeerQuery::OnAnswer &inDone)
			   {
				   PeerAnswer answer;
				   answer.owner = this->need.cpu_milli > 0;
				   answer.demand.need = this->need;
				   inDone(answer);
			   })
	{
		const Millis now = NowMillis();
		this->lease.OnAcknowledged(now, cLongMs, now);
		Catalogue catalogue;
		catalogue.pools["busy"] = {"busy", false, false};
		catalogue.pools["spare"] = {"spare", false, true};
		this->seat.SetCatalogue(std::make_shared<const Catalogue>(catalogue));
		this->hub.machines.hosts = {SpareHost("a")};
		this->seat.Claim(0, [](bool) {});
		for (int i = 0; i < 40 && !this->seat.IsHeld(); ++i)
			FakeLog::Settle(50);
	}

	/// Waits for the first order to a host; false: none came.
	bool WaitForOrder()
	{
		for (int i = 0; i < 40 && this->hub.machines.sent.empty(); ++i)
			FakeLog::Settle(50);
		return !this->hub.machines.sent.empty();
	}

	void AskForWave()
	{
		UpkeepWave wave;
		wave.number = 1;
		wave.hosts = {"a"};
		wave.within_ms = 60'000;
		this->seat.SetWaves({{1, wave}});
	}

	HandHub hub;
	JobHostConfig config = WithMachines();
	Metrics metrics;
	OwnLease lease;
	OwnerTable owners;
	Resources need;
	FleetSeat<HandHub> seat;
};

} // namespace

TEST(FleetSeat, HandsOverNoOrderThatIsUnderWay)
{
	// Failed first: the successor begins at once, and the order arrives after its own, beyond what a wave allows
	HandFleet fleet;
	ASSERT_TRUE(fleet.seat.IsHeld());
	fleet.AskForWave();
	ASSERT_TRUE(fleet.WaitForOrder());
	ASSERT_EQ(fleet.hub.machines.sent.size(), 1u);
	EXPECT_FALSE(fleet.seat.IsQuiet());
	fleet.hub.machines.open[0](EDutyResult::Done);
	for (int i = 0; i < 20 && !fleet.seat.IsQuiet(); ++i)
		FakeLog::Settle(10);
	EXPECT_TRUE(fleet.seat.IsQuiet());
}

TEST(FleetSeat, AnOrderWithoutAnAnswerCountsAsUnderWay)
{
	HandFleet fleet;
	EXPECT_FALSE(fleet.seat.HasOrdersUnderWay());
	fleet.AskForWave();
	ASSERT_TRUE(fleet.WaitForOrder());
	EXPECT_TRUE(fleet.seat.HasOrdersUnderWay());
	fleet.hub.machines.open[0](EDutyResult::Unknown);
	EXPECT_TRUE(fleet.seat.HasOrdersUnderWay());
}

TEST(FleetSeat, OrdersAHostOnlyOneThing)
{
	// Failed first: what a wave had just chosen was told to the balancer with the next list only
	HandFleet fleet;
	fleet.need = {16000, 32768, 0};
	fleet.AskForWave();
	ASSERT_TRUE(fleet.WaitForOrder());
	FakeLog::Settle(350);
	EXPECT_EQ(fleet.hub.machines.sent.size(), 1u);
}

TEST(FleetSeat, TakesDownNoHostThatItHasJustMoved)
{
	// Failed first: a list that lags shows the host in the spare pool still, where nothing runs
	HandFleet fleet;
	fleet.need = {16000, 32768, 0};
	ASSERT_TRUE(fleet.WaitForOrder());
	ASSERT_EQ(fleet.hub.machines.sent.size(), 1u);
	ASSERT_EQ(fleet.hub.machines.sent[0].kind, EDuty::Move);
	fleet.hub.machines.open[0](EDutyResult::Done);
	fleet.AskForWave();
	FakeLog::Settle(800);
	EXPECT_EQ(fleet.hub.machines.sent.size(), 1u);
}

} // namespace Loomreach::Jobs
