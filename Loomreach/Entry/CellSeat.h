// The seat of an owner: drives one cell. Reads its inbox, writes its log, sends its orders, and checks the lease before each of them.

#pragma once

#include <Loomreach/Core/Metrics.h>
#include <Loomreach/Entry/PeerQuery.h>
#include <Loomreach/Ownership/CellNames.h>
#include <Loomreach/Ownership/OwnedLog.h>
#include <Loomreach/Ownership/OwnerTable.h>
#include <Loomreach/Schedule/Cell.h>
#include <Loomreach/Settings/JobHostConfig.h>

namespace Loomreach::Jobs
{

/// What a seat shares with its host.
struct SeatContext
{
	const JobHostConfig &config;
	Metrics &metrics;
	OwnLease &lease;
	OwnerTable &owners;
	HostProcess process;
	/// Sends an order to a worker, by whatever way. Pools' owners only.
	std::function<void(const Order &, std::function<void(const OrderAnswer &)>)> send_order = {};
	/// Asks the fleet's owner, this host or another. Pools' owners only.
	std::function<void(PeerQuestion, PeerQuery::OnAnswer)> ask_fleet = {};
	/// Tells the hosts that keep replicas of ends. Pools' owners only.
	std::function<void(const EndsUpdate &)> tell_ends = {};
};

/// A worker's agent as a seat needs it.
template <class T>
concept WorkerAgent = requires(T &ioAgent, const Order &inOrder)
{
	ioAgent.Send(inOrder, [](const OrderAnswer &) {});
};

/// An adviser as a seat needs it.
template <class T>
concept Adviser = requires(T &ioAdviser, const AdviceQuestion &inQuestion)
{
	ioAdviser.Ask(inQuestion, [](const AdviceAnswer &) {});
};

/// See the head of the file.
template <class Hub>
class CellSeat : private Guarded
{
public:
	/// Called once when the claim is settled, and when the seat is lost.
	using OnSeat = std::function<void(bool inHeld)>;

	CellSeat(Hub &inHub, const SeatContext &inContext, uint32 inCell);

	/// `inBeatNumber`: of the host's newest heartbeat.
	void Claim(uint64 inBeatNumber, const OnSeat &inDone);
	/// Whether the claim has been won and nothing has been lost since.
	bool IsHeld() const { return this->held; }
	uint64 Epoch() const { return this->log.Epoch(); }
	void SetCatalogue(std::shared_ptr<const Catalogue> inCatalogue) { this->cell.SetCatalogue(std::move(inCatalogue)); }
	/// See Cell.
	void SetEvacuated(const std::set<std::string> &inZones) { this->cell.SetEvacuated(inZones, NowMillis()); }
	void SetWorkers(const std::vector<WorkerEntry> &inWorkers, Millis inTrustUntil);
	PeerAnswer Answer(const PeerQuestion &inQuestion);
	/// Decides and acts soon, or at once when nothing happened for a while.
	void Step();
	CellFigures Figures() const { return this->cell.Figures(); }
	/// Whether work waits for room: new workers are of use at once.
	bool IsShort() const { return this->cell.IsShort(); }
	/// See Cell.
	std::vector<EndReport> UnloggedEnds() const { return this->cell.UnloggedEnds(); }
	/// A planned stop begins: nothing new is promised.
	void Retire() { this->cell.Retire(); }
	/// Whether a successor may begin at once: nothing is on its way to the log, and the cell depends on nothing that only this seat knows.
	bool IsQuiet() const { return !this->log.IsBusy() && this->cell.CanHandOver(NowMillis()); }

private:
	using Store = decltype(Hub::store);

	void Begin(const typename OwnedLog<Store>::Records &inRecords);
	void ReadInbox();
	void OnInbox(ReadAnswer inAnswer);
	void Soon(Millis inDelayMs);
	void Write();
	void SendOrders();
	/// Tells other hosts of the ends that only this one knows.
	void TellEnds();
	/// Lets the cell start nothing while its inbox cannot be read.
	void WatchInbox(Millis inNow);
	/// Asks for the teams' shares when it is time to.
	void AskShares(Millis inNow);

	Hub &hub;
	SeatContext context;
	uint32 number;
	OwnedLog<Store> log;
	Cell cell;
	OnSeat on_seat;
	bool held = false;
	Millis held_at = -1;       ///< When the claim was won.
	Millis inbox_read_at = -1; ///< When the newest answered read of the inbox was sent.
	bool inbox_fresh = true;   ///< Whether that is lately.
	bool asking_shares = false;
	Timer soon;
	Timer tick;
	Timer inbox_again;
};

/// The times and limits of a cell from the host's configuration.
CellTuning TuningOf(const JobHostConfig &inConfig);

} // namespace Loomreach::Jobs

#include <Loomreach/Entry/CellSeat.inl>
