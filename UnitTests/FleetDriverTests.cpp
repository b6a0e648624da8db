// Which orders the driver of the fleet sends to hosts, and when it may hand over to a successor.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Entry/FleetSeat.h>
#include <UnitTests/FakeLog.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

constexpr Millis cLongLeaseMs = 600'000;

/// A machine service whose answers to orders the test gives.
struct ManualMachineService
{
	using OnList = std::function<void(const std::optional<std::vector<HostEntry>> &)>;
	using OnHostOrderResult = std::function<void(EHostOrderResult)>;

	void List(const OnList &inDone)
	{
		++this->lists;
		inDone(this->hosts);
	}
	void Send(const HostOrder &inHostOrder, OnHostOrderResult inDone)
	{
		this->sent.push_back(inHostOrder);
		this->open.push_back(std::move(inDone));
	}

	std::vector<HostEntry> hosts;
	std::vector<HostOrder> sent;
	std::vector<OnHostOrderResult> open;
	uint32 lists = 0;
};

struct TestHub
{
	static LogName StatusLog() { return {"keyed.status", 0}; }
	static LogRecord EncodeWaveStatus(int64 inWave, bool) { return {std::to_string(inWave), "state", 0}; }

	FakeLog store;
	ManualMachineService machines;
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

/// Configuration with a machine service; without one, the fleet's owner lists no hosts.
JobHostConfig WithMachines()
{
	JobHostConfig config;
	config.machines = Address{"127.0.0.1", 1};
	return config;
}

/// A fleet driver that has won its claim. Pools report `need` as their demand, unless it is zero.
class TestFleetDriver
{
public:
	TestFleetDriver()
		: lease(LeaseTuning{}), owners("host", LeaseTuning{}),
		  driver(this->hub, DriverContext{this->config, this->metrics, this->lease, this->owners, {"host", 1, 1}},
				 [this](const std::string &, const PeerQuestion &, const PeerQuery::OnAnswer &inDone)
				 {
					 PeerAnswer answer;
					 answer.owner = this->need.cpu_milli > 0;
					 answer.demand.in_time = this->need;
					 inDone(answer);
				 })
	{
		const Millis now = NowMillis();
		this->lease.OnAcknowledged(now, cLongLeaseMs, now);
		Catalogue catalogue;
		catalogue.pools["busy"] = {"busy", false, false};
		catalogue.pools["spare"] = {"spare", false, true};
		this->driver.SetCatalogue(std::make_shared<const Catalogue>(catalogue));
		this->hub.machines.hosts = {SpareHost("a")};
		this->driver.Claim(0, [](bool) {});
		for (int i = 0; i < 40 && !this->driver.IsHeld(); ++i)
			FakeLog::RunMainLoopFor(50);
	}

	/// Waits for the first order to a host. Returns false if none is sent within 2 s.
	bool WaitForOrder()
	{
		for (int i = 0; i < 40 && this->hub.machines.sent.empty(); ++i)
			FakeLog::RunMainLoopFor(50);
		return !this->hub.machines.sent.empty();
	}

	void RequestWave()
	{
		MaintenanceWave wave;
		wave.number = 1;
		wave.hosts = {"a"};
		wave.within_ms = 60'000;
		this->driver.SetWaves({{1, wave}});
	}

	TestHub hub;
	JobHostConfig config = WithMachines();
	Metrics metrics;
	OwnLease lease;
	OwnerTable owners;
	Resources need;
	FleetDriver<TestHub> driver;
};

/// A configuration with a limit for one team, and two pools in different cells.
Catalogue WithTeam()
{
	Catalogue catalogue;
	catalogue.pools["busy"] = {"busy", false, false};
	catalogue.pools["other"] = {"other", false, false};
	catalogue.teams.emplace();
	(*catalogue.teams)["a"] = {"a", {"key"}, {10000, 0, 0}, 1};
	return catalogue;
}

/// Share that the driver grants to the owner of a pool's cell, which holds `inHeld` and wants more.
int64 AskShare(FleetDriver<TestHub> &ioDriver, const std::string &inPool, uint64 inNumber, uint64 inFleetEpoch, int64 inHeld)
{
	const uint32 cell = CellOf(inPool, static_cast<uint32>(JobHostConfig().log_partitions));
	PeerQuestion question;
	question.kind = EQuestion::Shares;
	question.shares = {cell, 1, inNumber, inFleetEpoch, {{"a", {}, {inHeld, 0, 0}, {4000, 0, 0}}}};
	const PeerAnswer answer = ioDriver.Answer(question);
	return answer.shares.shares.empty() ? -1 : answer.shares.shares[0].limit.cpu_milli;
}

/// Claims the fleet cell for another host after the first one has released it, or is known to be gone.
template <class Driver>
bool ClaimAfter(Driver &ioDriver, OwnerTable &ioOwners, OwnLease &ioLease, const std::string &inFormer, uint64 inFormerLife)
{
	const Millis now = NowMillis();
	ioLease.OnAcknowledged(now, cLongLeaseMs, now);
	HostHeartbeat released;
	released.host = inFormer;
	released.incarnation = inFormerLife;
	released.start = 1;
	released.number = 1;
	ioOwners.OnHeartbeat(released, now);
	ioDriver.SetCatalogue(std::make_shared<const Catalogue>(WithTeam()));
	ioDriver.Claim(0, [](bool) {});
	for (int i = 0; i < 40 && !ioDriver.IsHeld(); ++i)
		FakeLog::RunMainLoopFor(50);
	return ioDriver.IsHeld();
}

} // namespace

TEST(FleetDriver, TheSuccessorInAPlannedHandOverGrantsSharesAtOnce)
{
	// Guards against a stop of all starts until every cell has asked the successor, and against the use of the record by a later owner,
	// to which the successor's grants are unknown
	TestFleetDriver fleet;
	ASSERT_TRUE(fleet.driver.IsHeld());
	fleet.driver.SetCatalogue(std::make_shared<const Catalogue>(WithTeam()));
	const uint64 epoch = fleet.driver.Epoch();
	AskShare(fleet.driver, "other", 1, epoch, 0);
	EXPECT_EQ(AskShare(fleet.driver, "busy", 1, epoch, 0), 5000);
	EXPECT_EQ(AskShare(fleet.driver, "other", 2, epoch, 0), 5000);
	fleet.driver.BeginHandOver();
	EXPECT_FALSE(fleet.driver.IsReadyToHandOver());
	EXPECT_EQ(AskShare(fleet.driver, "busy", 2, epoch, 1000), 1000);
	for (int i = 0; i < 20 && !fleet.driver.IsReadyToHandOver(); ++i)
		FakeLog::RunMainLoopFor(10);
	EXPECT_TRUE(fleet.driver.IsReadyToHandOver());

	const auto ask = [](const std::string &, const PeerQuestion &, const PeerQuery::OnAnswer &inDone) { inDone(std::nullopt); };
	OwnLease next_lease{LeaseTuning{}};
	OwnerTable next_owners("next", LeaseTuning{});
	auto next = std::make_unique<FleetDriver<TestHub>>(
		fleet.hub, DriverContext{fleet.config, fleet.metrics, next_lease, next_owners, {"next", 2, 1}}, ask);
	ASSERT_TRUE(ClaimAfter(*next, next_owners, next_lease, "host", 1));
	// The cell of the other pool has not asked; it may hold 5000 of 10000
	EXPECT_EQ(AskShare(*next, "busy", 3, epoch, 1000), 5000);
	next.reset();

	OwnLease last_lease{LeaseTuning{}};
	OwnerTable last_owners("last", LeaseTuning{});
	FleetDriver<TestHub> last(fleet.hub, DriverContext{fleet.config, fleet.metrics, last_lease, last_owners, {"last", 3, 1}}, ask);
	ASSERT_TRUE(ClaimAfter(last, last_owners, last_lease, "next", 2));
	EXPECT_EQ(AskShare(last, "busy", 4, epoch, 1000), 1000);
}

TEST(FleetDriver, ADamagedRecordOfSharesIsNotUsed)
{
	// Guards against a damaged number that still decodes and would let the successor grant too much
	ShareHandOver record;
	record.fleet_epoch = 1'000'000;
	record.cells.push_back({1, 1, 1, {{{"a", {}, {}, {}}, {4000, 0, 0}}}});
	const std::string value = EncodeHandOver(record);
	ASSERT_TRUE(DecodeHandOver(value).has_value());
	for (size_t i = 0; i < value.size(); ++i)
	{
		std::string damaged = value;
		damaged[i] = static_cast<char>(damaged[i] ^ 4);
		EXPECT_FALSE(DecodeHandOver(damaged).has_value()) << i;
	}
	EXPECT_FALSE(DecodeHandOver(value.substr(0, value.size() - 1)).has_value());
}

TEST(FleetDriver, DoesNotHandOverWhileAnOrderIsInFlight)
{
	// Guards against handing over while an order is in flight: the successor starts at once, and the order arrives after its own and
	// exceeds what a wave allows
	TestFleetDriver fleet;
	ASSERT_TRUE(fleet.driver.IsHeld());
	fleet.RequestWave();
	ASSERT_TRUE(fleet.WaitForOrder());
	ASSERT_EQ(fleet.hub.machines.sent.size(), 1u);
	EXPECT_FALSE(fleet.driver.IsReadyToHandOver());
	fleet.hub.machines.open[0](EHostOrderResult::Done);
	for (int i = 0; i < 20 && !fleet.driver.IsReadyToHandOver(); ++i)
		FakeLog::RunMainLoopFor(10);
	EXPECT_TRUE(fleet.driver.IsReadyToHandOver());
}

TEST(FleetDriver, AnOrderWithoutAnAnswerCountsAsInFlight)
{
	TestFleetDriver fleet;
	EXPECT_FALSE(fleet.driver.HasOrdersInFlight());
	fleet.RequestWave();
	ASSERT_TRUE(fleet.WaitForOrder());
	EXPECT_TRUE(fleet.driver.HasOrdersInFlight());
	fleet.hub.machines.open[0](EHostOrderResult::Unknown);
	EXPECT_TRUE(fleet.driver.HasOrdersInFlight());
}

TEST(FleetDriver, SendsAHostOnlyOneOrder)
{
	// Guards against the balancer learning only with the next list of hosts which of them a wave has chosen
	TestFleetDriver fleet;
	fleet.need = {16000, 32768, 0};
	fleet.RequestWave();
	ASSERT_TRUE(fleet.WaitForOrder());
	FakeLog::RunMainLoopFor(350);
	EXPECT_EQ(fleet.hub.machines.sent.size(), 1u);
}

TEST(FleetDriver, OrdersNoHostDownThatItHasJustMoved)
{
	// A list that lags still shows a moved host in the spare pool, where nothing runs; it must not be ordered down
	TestFleetDriver fleet;
	fleet.need = {16000, 32768, 0};
	ASSERT_TRUE(fleet.WaitForOrder());
	ASSERT_EQ(fleet.hub.machines.sent.size(), 1u);
	ASSERT_EQ(fleet.hub.machines.sent[0].kind, EHostOrder::Move);
	fleet.hub.machines.open[0](EHostOrderResult::Done);
	fleet.RequestWave();
	FakeLog::RunMainLoopFor(800);
	EXPECT_EQ(fleet.hub.machines.sent.size(), 1u);
}

} // namespace Loomreach::Jobs
