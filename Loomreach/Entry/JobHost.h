// An entry host that accepts jobs. It answers callers, owns a share of the cells, and follows the platform's logs that both need: the
// operator's records, the workers' entries and the heartbeats of the other hosts.

#pragma once

#include <Loomreach/Admission/OpenAppends.h>
#include <Loomreach/Admission/Submission.h>
#include <Loomreach/Core/Random.h>
#include <Loomreach/Entry/EndsSubmitter.h>
#include <Loomreach/Entry/FleetSeat.h>
#include <Loomreach/Entry/HelperSearch.h>
#include <Loomreach/Entry/InboxWriter.h>
#include <Loomreach/Entry/JobCalls.h>
#include <Loomreach/Entry/StoreWatch.h>
#include <Loomreach/Entry/WorkerList.h>
#include <Loomreach/Forward/OrderSender.h>
#include <Loomreach/Ownership/StoreBudget.h>
#include <Loomreach/Schedule/EndReplicas.h>
#include <Loomreach/Schedule/ZoneEvacuations.h>

namespace Loomreach::Jobs
{

/// One entry host. `Hub` is the platform: the store (replicated logs), the workers' agents, the machine service, the adviser, the listener
/// for callers (`CallerListener`), and the decoders of the platform's records.
template <class Hub>
class JobHost final : public JobCalls
{
public:
	explicit JobHost(JobHostConfig inConfig);

	/// Opens the listeners and starts to read the logs. Returns false if a listener cannot be opened; the reason is left as the last error.
	bool Start();
	/// Releases the cells, answers the requests in progress, then calls back.
	void Stop(std::function<void()> inDone);

	// JobCalls
	std::optional<Admission> Admit(std::string_view inHost, std::string_view inPath, std::string_view inKey, EError &outError) override;
	void Submit(const JobCall &inCall, JobSpec inSpec, JobReply inReply) override;
	void Show(const JobCall &inCall, JobReply inReply) override;
	void Cancel(const JobCall &inCall, JobReply inReply) override;
	void Count(const JobCall &inCall, JobReply inReply) override;
	bool IsReady() override;
	std::string MetricsText() override;

private:
	static constexpr Millis cPercent = 100;
	/// A caller's request that is being appended to a cell's inbox.
	struct PendingRequest
	{
		InboxRecord record;
		uint32 cell = 0;
		Millis give_up_at = 0;
		uint64 key_hash = 0; ///< Hash of the caller's key, see Admission.
		Submission submission{0};
		bool deadline_timer_set = false; ///< Whether a timer reports the end of its time.
		JobReply reply;
	};

	uint32 PartitionCount() const { return static_cast<uint32>(this->config.log_partitions); }
	// The operator's records and the workers' entries
	void LoadOperator();
	/// Delay between two reads of the operator's records; 0: long polls follow each other without a delay.
	Millis OperatorReadDelay(Millis inNow) const;
	void ScheduleOperatorRead(uint64 inFrom);
	void ReadOperator(uint64 inFrom, Millis inWaitMs);
	void OnOperatorRecord(const LogRecord &inRecord);
	void OnCatalogue(const LogRecord &inRecord);
	void OnZoneOrder(const LogRecord &inRecord);
	/// Drops the zone orders whose records are missing from a complete read of the operator's newest records.
	void RemoveUnnamedZoneOrders(const NewestAnswer &inAnswer);
	void UpdateZones();
	void LoadWorkers();
	void ScheduleWorkersRead(uint64 inFrom, uint64 inLoad);
	void OnWorkerRecord(const LogRecord &inRecord);
	void UpdateWorkers();
	// Ownership
	void LoadHosts();
	/// One round of reads over all partitions of the heartbeat log.
	struct HostsRound
	{
		uint32 open = 0;        ///< Reads without an answer yet.
		bool all = true;        ///< Whether all answers so far were good.
		bool truncated = false; ///< Whether a partition no longer has the records from which it was to be read.
		bool in_turn = false;   ///< Whether each read waits for the one before.
		Millis began_at = 0;
	};
	void LoadHostPart(const std::shared_ptr<HostsRound> &inRound, uint32 inPart);
	void ScheduleHostsRead();
	/// Whether this host reads all heartbeats as often as owners do: it owns a cell or is a candidate successor.
	bool IsWellInformed(Millis inNow) const { return this->Owned() > 0 || this->owners.IsCandidateSuccessor(inNow); }
	/// Asks a well-informed host which hosts own which cells, unless this host is well informed itself.
	void AskOwners(Millis inNow);
	/// Random percentage by which a delay is scaled, so that hosts that started together do not stay in step.
	Millis RandomDelayPercent();
	/// A random delay with this mean.
	Millis RandomizeDelay(Millis inMean) { return inMean * this->RandomDelayPercent() / cPercent; }
	/// Delay until the next read of the heartbeats.
	Millis HostsReadDelay(Millis inNow);
	/// Delay until the next read of the heartbeats while a cell seems free.
	Millis FreeCellReadDelay(Millis inNow) const;
	void ReadHosts();
	void ReadHostPart(const std::shared_ptr<HostsRound> &inRound, uint32 inPart);
	void OnHostRecords(const std::vector<LogRecord> &inRecords);
	void OnHostsRead(const HostsRound &inRound);
	/// Sites of queues that this host's cells are to register, for its next heartbeat.
	std::vector<QueueSite> SitesToRegister() const;
	/// Tells the cells which of their sites were registered before all sites were read in a round that began then.
	void ConfirmSites(Millis inRoundBeganAt);
	/// Registers sites for which records wait without waiting for the next heartbeat and the next read.
	void HurryRegistration();
	uint32 HeartbeatPartitionCount() const { return std::min(cHeartbeatPartitions, this->PartitionCount()); }
	Millis HeartbeatInterval(Millis inNow) const;
	/// Appends a heartbeat. `inForce`: even while earlier ones have no answer yet.
	void SendHeartbeat(bool inForce = false);
	/// Delay until the next read of the workers' entries.
	Millis WorkersReadDelay() const;
	/// Length of the lease that a heartbeat sent now renews.
	Millis HeartbeatLease(Millis inNow) const;
	/// Whether this process has recently not been scheduled in time.
	bool IsCpuStarved(Millis inNow) const;
	/// Builds the next heartbeat.
	HostHeartbeat NewHeartbeat(Millis inNow);
	/// Tells other hosts by datagram that this host has released its cells, since its heartbeats cannot say so while it does not reach the
	/// store. `inFleetCell`: the fleet cell, if an order to a host is in flight.
	void AnnounceRelease(const std::optional<OwnedCell> &inFleetCell);
	/// Tells all other hosts by datagram which pools are closed, if that has changed: most of them read the heartbeats seldom.
	void AnnounceClosedPools();
	/// Sends a heartbeat to all other hosts by datagram.
	void BroadcastHeartbeat(const HostHeartbeat &inHeartbeat);
	/// Closed pools of a cell: by its own driver if this host owns it, otherwise by its owner's newest heartbeat.
	std::optional<ClosedPoolsReport> ClosedPoolsOf(uint32 inCell, Millis inNow) const;
	/// Handles a heartbeat or replicated run ends that another host sent by datagram.
	void OnPeerMessage(EPeerMessage inKind, const std::string &inMessage);
	/// Tells the owners of cells by datagram that this host owns the fleet cell, so that they ask for teams' shares at once.
	void AnnounceFleetOwner();
	/// Lets the cells of this host ask a new owner of the fleet cell at once.
	void AskNewFleetOwner();
	void OnEndsUpdate(const std::string &inMessage);
	/// Submits replicated run ends to the inboxes of cells whose owners have stopped acting.
	void SubmitOrphanedEnds(Millis inNow);
	void OnHeartbeatAnswer(const AppendAnswer &inAnswer, Millis inSentAt, Millis inLeaseMs);
	/// These sites are in the log of heartbeats.
	void OnSitesLogged(const std::vector<QueueSite> &inSites);
	void MarkSupersededCells();
	void ConsiderClaims();
	void ClaimCell(uint32 inCell);
	void ClaimFleet();
	void AbandonCells(std::string_view inWhy);
	/// Hands a cell over to another host that is far less loaded for its size.
	void RebalanceCells(Millis inNow);
	/// Removes the heartbeats of lost hosts. A host that starts later would read them as current and wait for the leases to expire.
	void RemoveLostHosts(Millis inNow);
	void Tick();
	size_t Owned() const;
	DriverContext DriverContextFor(uint32 inCell);
	/// Releases a cell. Run ends that only its driver knows are submitted to the inbox.
	void ReleaseCell(uint32 inCell);
	void ReleaseAllCells();
	/// Handles a worker's answer to a poll sent by the owner with this epoch. If that owner's driver no longer exists, the ends that the
	/// answer lists are submitted to the inbox.
	void SubmitLateEnds(uint32 inCell, uint64 inEpoch, const std::string &inWorker, const std::vector<EndedRun> &inEnded);
	/// Whether run ends may still have to be submitted: a poll or a submission is in flight.
	bool HasEndsToSubmit() const { return this->polls_in_flight > 0 || this->ends_submitter.InFlight() > 0; }
	// Callers
	/// A question to all cells that may have jobs of a queue.
	struct PendingSearch
	{
		PeerQuestion question;
		QueueSearch search;
		Millis give_up_at = 0;
		size_t open = 0;    ///< Cells that have not answered yet.
		uint32 waiting = 0; ///< Count: sum of the answers.
		PeerQuery::OnAnswer done;
	};
	/// Asks the cell of a queue, and each other cell that an answer names. Calls back with the answer that knows the job, or with one that
	/// does not (Count: with the sum); with nothing if it is not certain that no cell has the job.
	void AskQueue(const JobCall &inCall, EQuestion inKind, PeerQuery::OnAnswer inDone);
	void AskNextCells(const std::shared_ptr<PendingSearch> &inSearch);
	void OnCellAnswer(const std::shared_ptr<PendingSearch> &inSearch, int64 inVersion, const std::optional<PeerAnswer> &inAnswer);
	/// Refuses a submission to a closed pool, unless the owner of the cell already has the job or does not answer.
	void RefuseUnlessKnown(const JobCall &inCall, JobSpec inSpec, JobReply inReply, const PoolRefusal &inRefusal);
	/// Submits a job to the inbox of its pool's cell.
	void SubmitToInbox(const JobCall &inCall, JobSpec inSpec, JobReply &&inReply);
	void BeginRequest(std::shared_ptr<PendingRequest> inRequest);
	/// Names the queue in a record if the queue is known to have moved: the cell's owner may never read the version that placed it there.
	void AddPlacement(const Queue &inQueue, InboxRecord &ioRecord) const;
	/// Notes which queues a new configuration has placed in other cells.
	void NoteMovedQueues();
	/// Begins a submission to a queue that has moved: its cell must be registered first, so that the job is found there whatever the
	/// cell's owner knows. Returns false if that is so already.
	bool AwaitSite(const Queue &inQueue, const std::shared_ptr<PendingRequest> &inRequest);
	void OnSiteAppended(const QueueSite &inSite, bool inDone);
	/// What is known that decides how a record is submitted. `inWithCandidates`: also which collectors there are, which takes a pass over
	/// all hosts.
	SubmissionView ViewOf(const PendingRequest &inRequest, bool inWithCandidates = true) const;
	/// Carries out the next step for a request.
	void Execute(const std::shared_ptr<PendingRequest> &inRequest, const SubmissionStep &inStep);
	void AppendOwn(const std::shared_ptr<PendingRequest> &inRequest, Millis inLimitMs);
	void OnAppendAnswer(const std::shared_ptr<PendingRequest> &inRequest, const AppendAnswer &inAnswer, Millis inSentAt, bool inCollected);
	/// Ends the request after this time at the latest, unless that is arranged already.
	void SetDeadlineTimer(const std::shared_ptr<PendingRequest> &inRequest, Millis inLeftMs);
	void AskCollector(const std::shared_ptr<PendingRequest> &inRequest, const SubmissionStep &inStep);
	void OnCollectorAnswer(const std::shared_ptr<PendingRequest> &inRequest, const CollectorHost &inCollector,
						   const std::optional<PeerAnswer> &inAnswer);
	/// Writes the line about an accepted record and answers the caller.
	void Accept(const PendingRequest &inRequest, std::string_view inKey, std::string_view inValue);
	void Refuse(const PendingRequest &inRequest, const SubmissionStep &inStep);
	InboxWriter<decltype(Hub::store)> &WriterOf(uint32 inCell);
	/// Whether this host owns the cell and knows the job of a submission, so that the record need not be appended (again).
	bool KnowsJob(uint32 inCell, const InboxRecord &inRecord) const;
	/// Candidates for the collector of a cell's inbox, in order.
	std::vector<CollectorHost> Collectors(uint32 inCell, Millis inNow) const;
	/// Registers an append for the detection of a slow store, until the returned object is destroyed.
	std::shared_ptr<void> WatchAppend(ESlowSign inSign);
	void CheckOpenAppends();
	/// The store is slow: collects the records of all inboxes, and hands over those that wait in this host.
	void OnSlowSign(ESlowSign inSign, Millis inWaitedMs);
	/// Hands records that this host has not sent yet to the collectors of their inboxes.
	void HandOverUnsent();
	/// The collector of an inbox appends fast.
	void OnQuickAnswer(uint32 inCell, std::string_view inCollector);
	/// Why this host's configuration does not allow a record. None: it is allowed, or the configuration is not newer than that of the
	/// asking host.
	EError RefusalOf(const InboxRecord &inRecord, const PeerQuestion &inQuestion) const;
	/// Asks other hosts whether they reach the store.
	void SearchHelpers(Millis inNow);
	void OnQuestion(const PeerQuestion &inQuestion, std::function<void(PeerAnswer)> inReply);
	/// Appends a record for another host.
	void AppendForPeer(const PeerQuestion &inQuestion, Millis inUntil, EInboxPriority inPriority, std::function<void(PeerAnswer)> inReply);
	void Answer(const JobReply &inReply, JobOutcome inOutcome);
	void AskCell(uint32 inCell, PeerQuestion inQuestion, Millis inTimeoutMs, PeerQuery::OnAnswer inDone);
	PeerAnswer AnswerPeer(const PeerQuestion &inQuestion);
	void FinishStop();

	JobHostConfig config;
	Metrics metrics;
	StoreBudget budget;
	LeaseTuning lease_tuning;
	OwnLease lease;
	OwnerTable owners;
	OpenAppends open_appends; ///< Declared before `hub`, whose callbacks refer to it until they are destroyed.
	InboxPaths inbox_paths;
	CollectorChoice collector_choice;
	uint64 incarnation;
	Random random;  ///< Spreads the reads and questions of hosts that started together.
	LinkUsage link; ///< Declared before `hub` and `peers`, which count their bytes in it.
	Hub hub;
	typename Hub::CallerListener caller_listener;
	PeerQuery peers;
	OrderSender<decltype(Hub::workers)> orders;
	std::shared_ptr<const Catalogue> catalogue;
	size_t catalogue_bytes = 0; ///< Size of the configuration's record.
	QueueRegistry queue_registry;
	std::map<QueueKey, uint32> queue_cells; ///< Cells of all queues that this process has known, as of the newest version that had them.
	/// Of these, queues that have been in more than one cell, or that were added after the first version that this process read. Their
	/// cells are registered before they are handed jobs: a cell without an owner cannot do so itself.
	std::set<QueueKey> moved_queues;
	int64 first_version = -1; ///< First version of the configuration that this process read; -1: none yet.
	/// Submissions that wait until a site is registered.
	std::map<std::pair<QueueKey, uint32>, std::vector<std::shared_ptr<PendingRequest>>> awaiting_site;
	std::vector<QueueSite> logged_sites; ///< In the log, and not confirmed by a round of reads that began later.
	Millis sites_logged_at = 0;          ///< When the last of them was.
	uint64 registry_seen = 0;            ///< Revision of the registry that the cells have got.
	size_t sites_in_flight = 0;          ///< Sites in heartbeats without an answer yet.
	std::map<int64, MaintenanceWave> waves;
	ZoneEvacuations evacuations;
	WorkerList workers;
	std::map<uint32, std::unique_ptr<CellDriver<Hub>>> drivers;
	std::unique_ptr<FleetDriver<Hub>> fleet_driver;
	std::map<uint32, std::unique_ptr<InboxWriter<decltype(Hub::store)>>> writers; ///< Writers of the cells' inboxes, by cell.
	/// Requests whose record this host is appending itself.
	std::set<std::shared_ptr<PendingRequest>> own_appends;
	bool returning_unsent = false; ///< True inside HandOverUnsent: Refused then means taken back, not refused by the store.
	EndsSubmitter<decltype(Hub::store)> ends_submitter;
	RunEndReplicas end_replicas; ///< Run ends replicated for other hosts' cells.
	size_t polls_in_flight = 0;  ///< Polls to workers without an answer yet, for cells of this host.
	/// As last sent by datagram, by cell; cells without closed pools are left out.
	std::map<uint32, std::vector<uint32>> announced_closed_pools;
	std::vector<uint32> lost_cells; ///< Cells to release at the next tick: a driver must not be destroyed within its own callback.
	std::array<uint64, cHeartbeatPartitions> hosts_next{}; ///< Offsets of the next reads, by partition.
	uint64 start = 0; ///< Number of this start of the host, see HostHeartbeat; 0: the heartbeats have not been read yet.
	uint32 heartbeats_in_flight = 0;
	double heartbeat_latency_ms = 0.0;    ///< Decaying mean of the time in which heartbeats are acknowledged.
	uint32 heartbeat_partition_shift = 0; ///< Partitions to skip because they did not accept a heartbeat.
	bool any_cell_free = false;           ///< Whether any cell seemed free when the heartbeats were last read.
	uint32 entries_refused = 0;           ///< Workers' entries that were refused since the last log line about them.
	Millis entries_refused_logged_at = std::numeric_limits<Millis>::min() / 2;
	uint64 workers_load = 0; ///< Number of the current load of the workers' entries; answers to earlier loads are ignored.
	uint64 heartbeat_number = 0;
	Millis heartbeat_sent_at = 0;
	Millis heartbeat_delay_percent = cPercent; ///< Percentage of its interval after which a host without cells sends its next heartbeat.
	Millis owners_asked_at = 0;                ///< When another host was last asked which hosts own which cells.
	Millis started_at = 0;
	Millis lost_hosts_checked_at = 0; ///< When lost hosts were last looked for.
	Millis ticked_at = 0;             ///< Time of the last tick.
	Millis late_tick_at = std::numeric_limits<Millis>::min() / 2;
	Millis store_answered_at = -1;    ///< When the store last answered a read or acknowledged a caller's record; -1: never.
	Millis store_read_latency_ms = 0; ///< Time that the latest read of heartbeats took.
	StoreIsolationWatch store_isolation;
	std::optional<uint32> handover_cell; ///< Cell that is being handed over to balance the load.
	Millis handover_since = 0;           ///< When that hand-over began.
	bool store_responsive = true;
	Millis operator_read_at = std::numeric_limits<Millis>::min() / 2; ///< When the operator's newest records were last read successfully.
	StoreWatch store_watch;                                           ///< Watches the calls that the store answers without waiting.
	HelperSearch helper_search;                                       ///< Used while the store's answers are late.
	/// When the store last answered again after it had been unresponsive.
	Millis store_recovered_at = std::numeric_limits<Millis>::min() / 2;
	bool stopping = false;
	Millis stop_at = 0;
	std::function<void()> on_stopped;
	Millis append_check_due = 0; ///< When the next check of `open_appends` is due.
	Timer append_check;
	Timer tick;
	Timer hosts_timer;
	Timer operator_timer;
	Timer workers_timer;
};

} // namespace Loomreach::Jobs

#include <Loomreach/Entry/JobHost.inl>
