// Drives the cell that this host owns: reads the cell's inbox, appends to its log and sends its orders to workers.
// Rule: the ownership lease is checked before each decision and each order, so that two owners never act at the same time.

#pragma once

#include <Loomreach/Admission/PoolClosure.h>
#include <Loomreach/Core/Metrics.h>
#include <Loomreach/Entry/InboxWriter.h>
#include <Loomreach/Entry/PeerQuery.h>
#include <Loomreach/Ownership/CellNames.h>
#include <Loomreach/Ownership/OwnedLog.h>
#include <Loomreach/Ownership/OwnerTable.h>
#include <Loomreach/Platform/LinkUsage.h>
#include <Loomreach/Schedule/Cell.h>
#include <Loomreach/Schedule/InboxCodec.h>
#include <Loomreach/Settings/JobHostConfig.h>

namespace Loomreach::Jobs
{

/// Dependencies that a driver gets from its host.
struct DriverContext
{
	const JobHostConfig &config;
	Metrics &metrics;
	OwnLease &lease;
	OwnerTable &owners;
	HostProcess process;
	/// Sends an order to a worker, directly or through a forwarder. Only set for cells of pools.
	std::function<void(const Order &, std::function<void(const OrderAnswer &)>)> send_order = {};
	/// Asks the owner of the fleet cell, which may be this host. Only set for cells of pools.
	std::function<void(PeerQuestion, PeerQuery::OnAnswer)> ask_fleet = {};
	/// Sends run ends to the hosts that keep replicas of them. Only set for cells of pools.
	std::function<void(const RunEndsUpdate &)> replicate_ends = {};
	/// Asks the owner of another cell, which may be this host. Without it queues are not expected to move. Only set for cells of pools.
	std::function<void(uint32 inCell, PeerQuestion, PeerQuery::OnAnswer)> ask_cell = {};
	/// Appends a record to the inbox of another cell and reports whether it was appended. Only set for cells of pools.
	std::function<void(uint32 inCell, std::string inRecord, EInboxPriority, std::function<void(bool)>)> append_inbox = {};
	/// Registers an append to the cell's log for the detection of a slow store, until the returned object is destroyed.
	std::function<std::shared_ptr<void>()> watch_append = {};
	/// The link of this host; nullptr: it counts as unlimited.
	const LinkUsage *link = nullptr;
};

/// What a driver requires of a client for worker agents.
template <class T>
concept WorkerAgent = requires(T &ioAgent, const Order &inOrder)
{
	ioAgent.Send(inOrder, [](const OrderAnswer &) {});
};

/// What a driver requires of an adviser client.
template <class T>
concept Adviser = requires(T &ioAdviser, const AdviceRequest &inRequest)
{
	ioAdviser.Ask(inRequest, [](const AdviceAnswer &) {});
};

/// Drives one cell. `Hub` is the platform, see JobHost.
template <class Hub>
class CellDriver : private Guarded
{
public:
	/// Called once with the outcome of the claim, and with false when the cell is lost later.
	using OnOwnership = std::function<void(bool inHeld)>;

	CellDriver(Hub &inHub, const DriverContext &inContext, uint32 inCell);

	/// `inHeartbeatNumber`: number of the host's newest heartbeat.
	void Claim(uint64 inHeartbeatNumber, const OnOwnership &inDone);
	/// Whether the claim was won and the cell has not been lost since.
	bool IsHeld() const { return this->held; }
	uint64 Epoch() const { return this->log.Epoch(); }
	void SetCatalogue(std::shared_ptr<const Catalogue> inCatalogue) { this->cell.SetCatalogue(std::move(inCatalogue)); }
	/// Sets the availability zones in which nothing may be started.
	void SetEvacuated(const std::set<std::string> &inZones);
	/// Takes over the closed pools that the previous owner announced, until the workers are known.
	void InheritClosedPools(const std::vector<uint32> &inClosed) { this->closure.Inherit(inClosed); }
	/// Hashes of the pools all of whose listed workers are in evacuated zones.
	const std::vector<uint32> &ClosedPools() const { return this->closure.Closed(); }
	/// Whether this host owns the cell and may act for it now.
	bool MayAct(Millis inNow) const { return this->held && this->context.lease.MayAct(inNow); }
	/// Sets the list of workers; those of other cells' pools are ignored. `inTrustUntil`: until then a worker whose entry is missing still
	/// counts as present while it answers.
	void SetWorkers(const std::vector<WorkerEntry> &inWorkers, Millis inTrustUntil);
	/// Answers a question about the cell. The answer's `owner` is false while this host may not act as owner.
	PeerAnswer Answer(const PeerQuestion &inQuestion);
	/// Whether the cell has the job of a submission, so that its record is in the inbox. False while this host may not act as owner.
	bool KnowsJob(const JobSpec &inSpec) const { return this->MayAct(NowMillis()) && this->cell.Query(inSpec.queue, inSpec.id).known; }
	/// Asks for the teams' shares at once if the owner of the fleet cell with this epoch has not been asked yet.
	void OnFleetOwner(uint64 inFleetEpoch);
	/// Where the cell's queues are placed: sites to register.
	QueuePlacements &Placements() { return this->cell.Placements(); }
	/// Lets the cell plan, then sends its orders and writes its log. Called by a timer, and shortly after each update.
	void Step();
	CellCounts Figures() const { return this->cell.Counts(); }
	/// Log records that were left out because they exceed the limit of the log service.
	uint64 OmittedRecords() const { return this->log.OmittedRecords(); }
	/// Whether the last planning found no capacity for some tasks, so that new workers are of use immediately.
	bool IsShort() const { return this->cell.IsShort(); }
	/// Run ends that workers have listed and the log does not contain yet.
	std::vector<EndReport> UnloggedEnds() const { return this->cell.UnloggedEnds(); }
	/// Prepares a planned hand-over: no further drain grants are given.
	void BeginHandOver() { this->cell.BeginHandOver(); }
	/// Whether a successor may start immediately: no append is in flight, the log contains every run end, and no grant is still relied on.
	bool IsReadyToHandOver() const { return !this->log.IsBusy() && this->cell.CanHandOver(NowMillis()); }

private:
	using Store = decltype(Hub::store);

	void Begin(const typename OwnedLog<Store>::Records &inRecords);
	void ReadInbox();
	void OnInbox(ReadAnswer inAnswer);
	void ScheduleStep(Millis inDelayMs);
	void Write();
	void SendOrders();
	/// Sends run ends that are not in the log yet to the hosts that keep replicas.
	void ReplicateEnds();
	/// Adds to an answer which other cells may have jobs of the queue, and whether this cell can tell that a job does not exist.
	void AddQueueStatus(const PeerQuestion &inQuestion, Millis inNow, PeerAnswer &ioAnswer) const;
	/// Until when a start may leave, also one that is held up on its way or sent a second time: its job may have been cancelled since the
	/// inbox was read.
	Millis StartsUntil() const;
	/// Stops the cell from starting tasks while its inbox cannot be read.
	void CheckInboxFreshness(Millis inNow);
	/// Asks former cells of queues, and passes records on to other cells' inboxes.
	void FollowMoves(Millis inNow);
	/// Asks the owner of the fleet cell for the teams' shares when they are due.
	void AskShares(Millis inNow);

	Hub &hub;
	DriverContext context;
	uint32 number;
	OwnedLog<Store> log;
	Cell cell;
	PoolClosure closure;
	OnOwnership on_ownership;
	bool held = false;
	Millis claimed_at = -1;    ///< When the claim was won.
	Millis inbox_read_at = -1; ///< Send time of the newest read that reached the end of the inbox; -1: none yet.
	bool inbox_fresh = true;   ///< Whether `inbox_read_at` is within `cInboxStaleMs`.
	uint64 awaited_shares = 0; ///< Number of the question for shares that has no answer yet; 0: none.
	Timer step_timer;
	Timer tick;
	Timer inbox_retry_timer;
};

/// Timeouts and limits of a cell, from the host's configuration.
CellTuning CellTuningOf(const JobHostConfig &inConfig);

} // namespace Loomreach::Jobs

#include <Loomreach/Entry/CellDriver.inl>
