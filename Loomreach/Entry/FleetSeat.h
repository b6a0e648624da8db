// Drives the fleet cell: carries out maintenance waves, moves hosts between pools and shares out the teams' limits. Owners of pools drain
// the workers; this driver then orders their hosts to move or to go down for maintenance.
// All orders to hosts are sent from here with the fleet cell's epoch as their fencing token, so tokens never decrease for a host, whichever
// pool it is in.

#pragma once

#include <Loomreach/Entry/CellDriver.h>
#include <Loomreach/Fleet/PoolBalancer.h>
#include <Loomreach/Fleet/TeamShares.h>

namespace Loomreach::Jobs
{

/// Drives the fleet cell. `Hub` is the platform, see JobHost.
template <class Hub>
class FleetDriver : private Guarded
{
public:
	using OnOwnership = std::function<void(bool inHeld)>;
	/// Asks the owner of a pool, which may be this host, about the pool or one of its workers.
	using AskOwner = std::function<void(const std::string &inPool, PeerQuestion inQuestion, PeerQuery::OnAnswer inDone)>;

	FleetDriver(Hub &inHub, const DriverContext &inContext, AskOwner inAsk);

	/// `inHeartbeatNumber`: number of the host's newest heartbeat.
	void Claim(uint64 inHeartbeatNumber, const OnOwnership &inDone);
	bool IsHeld() const { return this->held; }
	uint64 Epoch() const { return this->log.Epoch(); }
	/// Sets the maintenance waves that the operator has asked for.
	void SetWaves(const std::map<int64, MaintenanceWave> &inWaves);
	void SetCatalogue(const std::shared_ptr<const Catalogue> &inCatalogue);
	/// Sets the availability zones in which nothing may be started.
	void SetEvacuated(const std::set<std::string> &inZones) { this->balancer.SetEvacuated(inZones); }
	/// Answers a question for teams' shares. The answer's `owner` is false while this host may not act as owner.
	PeerAnswer Answer(const PeerQuestion &inQuestion);
	/// Prepares a planned hand-over: no new orders to hosts, and a record of what the cells may hold of the teams' limits, after which
	/// nothing more is granted.
	void BeginHandOver();
	/// Whether a successor may start immediately: no append and no order to a host is in flight, and the log contains that record.
	bool IsReadyToHandOver() const { return !this->log.IsBusy() && !this->HasOrdersInFlight() && !this->HasSharesToHandOver(); }
	/// Whether an order to a host may still be carried out.
	bool HasOrdersInFlight() const { return this->host_orders_in_flight > 0 || NowMillis() - this->last_unknown_at < cUnknownOutcomeMs; }

private:
	using Store = decltype(Hub::store);

	/// An order without an answer may still be carried out for this long: the machine service itself answers within milliseconds.
	static constexpr Millis cUnknownOutcomeMs = 1500;

	void Step();
	/// Takes over the teams' shares that the previous owner has left in the log.
	void TakeOverShares(const typename OwnedLog<Store>::Records &inRecords);
	/// Whether the record of the teams' shares still has to be appended. It is taken when no order to a host is in flight any more, since
	/// nothing is granted between it and the successor's claim.
	bool HasSharesToHandOver() const
	{
		return this->held && this->retiring && !this->shares_handed_over && this->shares.has_value() && !this->shares->IsEmpty();
	}
	void ListHosts();
	void RequestDrains(Millis inNow);
	void RequestDemands(Millis inNow);
	std::vector<std::string> RecentlyDeparted(const std::string &inPool, Millis inNow);
	void Write(Millis inNow);
	void SendHostOrder(const HostOrder &inHostOrder);
	void WriteStatus(int64 inWave, bool inCompleted);

	Hub &hub;
	DriverContext context;
	AskOwner ask;
	OwnedLog<Store> log;
	MaintenancePlanner planner;
	PoolBalancer balancer;
	std::optional<TeamShares> shares;           ///< Set once the fleet cell is owned.
	std::shared_ptr<const Catalogue> catalogue; ///< The configuration in force; null: none has been read yet.
	OnOwnership on_ownership;
	bool held = false;
	std::map<int64, std::set<std::string>> logged_hosts; ///< Hosts whose maintenance is done according to the log, by wave.
	std::map<int64, bool> reported;                      ///< Last reported state of each wave: whether it is completed.
	std::set<int64> reporting;
	std::set<std::string> awaiting_drain; ///< Hosts whose pool's owner has been asked to drain them and has not answered yet.
	std::set<std::string> awaiting_demand;
	Millis demands_asked_at = 0;
	std::map<std::string, std::map<std::string, Millis>> departed; ///< Workers whose hosts were moved or taken down, and when, by pool.
	uint32 host_orders_in_flight = 0;
	Millis last_unknown_at = std::numeric_limits<Millis>::min() / 2; ///< When an order last ended without an answer.
	bool retiring = false;                                           ///< Set by BeginHandOver.
	bool shares_handed_over = false;                                 ///< The record of the teams' shares has been taken.
	bool has_old_shares = false;                                     ///< The log contains a previous owner's record of them.
	bool listing = false;
	Millis listed_at = 0;
	Timer tick;
};

} // namespace Loomreach::Jobs

#include <Loomreach/Entry/FleetSeat.inl>
