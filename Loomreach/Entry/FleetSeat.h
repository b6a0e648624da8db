// The seat of the fleet cell's owner: carries out waves of maintenance. Pools' owners empty the hosts; this one sends them down.
// All orders to hosts come from here, so their fencing tokens, this cell's epochs, never go back, whichever pool a host is in.

#pragma once

#include <Loomreach/Entry/CellSeat.h>
#include <Loomreach/Fleet/PoolBalancer.h>
#include <Loomreach/Fleet/TeamShares.h>

namespace Loomreach::Jobs
{

/// See the head of the file.
template <class Hub>
class FleetSeat : private Guarded
{
public:
	using OnSeat = std::function<void(bool inHeld)>;
	/// Asks a pool's owner, this host's own or another's, about a worker.
	using AskOwner = std::function<void(const std::string &inPool, PeerQuestion inQuestion, PeerQuery::OnAnswer inDone)>;

	FleetSeat(Hub &inHub, const SeatContext &inContext, AskOwner inAsk);

	/// `inBeatNumber`: of the host's newest heartbeat.
	void Claim(uint64 inBeatNumber, const OnSeat &inDone);
	bool IsHeld() const { return this->held; }
	uint64 Epoch() const { return this->log.Epoch(); }
	/// The waves that the operator has asked for.
	void SetWaves(const std::map<int64, UpkeepWave> &inWaves);
	void SetCatalogue(const std::shared_ptr<const Catalogue> &inCatalogue);
	/// Availability zones in which nothing may be started.
	void SetEvacuated(const std::set<std::string> &inZones) { this->balancer.SetEvacuated(inZones); }
	PeerAnswer Answer(const PeerQuestion &inQuestion);
	/// A planned stop begins: no new orders to hosts.
	void Retire() { this->retiring = true; }
	/// Whether a successor may begin at once: nothing is on its way to the log, and no order to a host.
	bool IsQuiet() const { return !this->log.IsBusy() && !this->HasOrdersUnderWay(); }
	/// Whether an order to a host may still come to it.
	bool HasOrdersUnderWay() const { return this->duties_under_way > 0 || NowMillis() - this->doubt_at < cDoubtMs; }

private:
	using Store = decltype(Hub::store);

	/// An order without an answer may be carried out this much later: the machine service's own answers take some ms.
	static constexpr Millis cDoubtMs = 1500;

	void Step();
	void ListHosts();
	void AskToEmpty(Millis inNow);
	void AskDemands(Millis inNow);
	std::vector<std::string> LeftOf(const std::string &inPool, Millis inNow);
	void Write(Millis inNow);
	void SendDuty(const HostDuty &inDuty);
	void WriteStatus(int64 inWave, bool inCompleted);

	Hub &hub;
	SeatContext context;
	AskOwner ask;
	OwnedLog<Store> log;
	UpkeepPlanner planner;
	PoolBalancer balancer;
	std::optional<TeamShares> shares;           ///< Once the fleet is held.
	std::shared_ptr<const Catalogue> catalogue; ///< As last set.
	OnSeat on_seat;
	bool held = false;
	std::map<int64, std::set<std::string>> logged; ///< Hosts done, as the log holds it.
	std::map<int64, bool> told;                    ///< Waves whose state the operator has been told: whether completed.
	std::set<int64> telling;
	std::set<std::string> asking; ///< Hosts whose pool's owner is being asked.
	std::set<std::string> asking_pools;
	Millis demands_at = 0;
	std::map<std::string, std::map<std::string, Millis>> left; ///< Workers whose hosts were moved or taken down, and when, by pool.
	uint32 duties_under_way = 0;
	Millis doubt_at = std::numeric_limits<Millis>::min() / 2; ///< When an order last ended without an answer.
	bool retiring = false;                                    ///< See Retire.
	bool listing = false;
	Millis listed_at = 0;
	Timer tick;
};

} // namespace Loomreach::Jobs

#include <Loomreach/Entry/FleetSeat.inl>
