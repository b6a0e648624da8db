// An entry host that takes jobs: its door to callers, its share of the cells, and what it reads of the platform to do both.

#pragma once

#include <Loomreach/Core/Random.h>
#include <Loomreach/Entry/EndsHandIn.h>
#include <Loomreach/Entry/FleetSeat.h>
#include <Loomreach/Entry/HelperSearch.h>
#include <Loomreach/Entry/InboxWriter.h>
#include <Loomreach/Entry/JobCalls.h>
#include <Loomreach/Entry/StoreWatch.h>
#include <Loomreach/Forward/OrderSender.h>
#include <Loomreach/Ownership/StoreBudget.h>
#include <Loomreach/Schedule/EndReplicas.h>
#include <Loomreach/Schedule/ZoneEvacuations.h>

namespace Loomreach::Jobs
{

/// See the head of the file. `Hub` is the platform: a log, workers' agents, the machine service, the adviser, a door, and decoders.
template <class Hub>
class JobHost final : public JobCalls
{
public:
	explicit JobHost(JobHostConfig inConfig);

	/// Opens the listeners and begins to read; false with the reason.
	bool Start();
	/// Gives back the cells, answers what is under way, then calls back.
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
	/// A caller's request on its way into an inbox.
	struct Entering
	{
		InboxRecord record;
		uint32 cell = 0;
		Millis give_up_at = 0;
		uint64 key_hash = 0;       ///< See Admission.
		bool in_doubt = false;     ///< Whether an earlier try may have been appended.
		bool helped = false;       ///< Whether helpers have been asked.
		bool owner_silent = false; ///< Whether the first helper asked, as a rule the cell's owner, gave no answer.
		JobReply reply;
	};

	uint32 Parts() const { return static_cast<uint32>(this->config.log_parts); }
	// The operator's and the workers' records
	void LoadOperator();
	/// How long to leave between two reads of the operator's records; 0: a read that waits follows at once.
	Millis OperatorGap(Millis inNow) const;
	void FollowOperatorSoon(uint64 inFrom);
	void FollowOperator(uint64 inFrom, Millis inWaitMs);
	void OnOperatorRecord(const LogRecord &inRecord);
	void OnCatalogue(const LogRecord &inRecord);
	void OnZoneOrder(const LogRecord &inRecord);
	/// Drops the orders of zones that a whole reading of the operator's newest records does not name.
	void KeepZoneOrders(const NewestAnswer &inAnswer);
	void TellZones();
	void LoadWorkers();
	void FollowWorkers(uint64 inFrom, uint64 inReading);
	void OnWorkerRecord(const LogRecord &inRecord);
	void TellWorkers();
	// Ownership
	void LoadHosts();
	/// One round of calls to all partitions of the heartbeats.
	struct HostsRound
	{
		uint32 open = 0;      ///< Calls without an answer yet.
		bool all = true;      ///< Whether every answer so far was good.
		bool gone = false;    ///< Whether a partition's older records have been removed.
		bool in_turn = false; ///< Whether each call waits for the one before.
	};
	void LoadHostPart(const std::shared_ptr<HostsRound> &inRound, uint32 inPart);
	void FollowHosts();
	/// Whether this host reads all heartbeats as often as owners do.
	bool IsWellInformed(Millis inNow) const { return this->Owned() > 0 || this->owners.IsHeir(inNow); }
	/// Asks a host that is well informed who owns what, if this one is not.
	void AskOwners(Millis inNow);
	/// Percent of a pause after which this host acts: hosts that started together must not go on together.
	Millis DrawPausePercent();
	/// A pause of this mean.
	Millis DrawPause(Millis inMean) { return inMean * this->DrawPausePercent() / cPercent; }
	/// How soon to read the heartbeats again.
	Millis HostsGap(Millis inNow);
	/// How soon to look again while a cell seems free.
	Millis FreeCellGap(Millis inNow) const;
	void ReadHosts();
	void ReadHostPart(const std::shared_ptr<HostsRound> &inRound, uint32 inPart);
	void OnHostRecords(const std::vector<LogRecord> &inRecords);
	void OnHostsRead(bool inAll);
	uint32 HostParts() const { return std::min(cHostParts, this->Parts()); }
	Millis BeatInterval(Millis inNow) const;
	/// `inAtOnce`: also while others are under way.
	void Beat(bool inAtOnce = false);
	/// How soon to look for news of workers.
	Millis WorkersInterval() const;
	/// The lease that a heartbeat should renew now.
	Millis LeaseFor(Millis inNow) const;
	/// Whether this process has lately not run when it should have.
	bool IsShortOfTime(Millis inNow) const;
	/// What the next heartbeat says.
	HostBeat NewBeat(Millis inNow);
	/// Tells other hosts by datagram that this one has let its cells go: while the store is away its heartbeats can't. `inFleetCell`: the
	/// fleet, if an order to a host is under way.
	void TellLetGo(const std::optional<OwnedCell> &inFleetCell);
	/// Another host told of its heartbeat, or of ends.
	void OnNews(EPeerNews inKind, const std::string &inNews);
	void OnEndsUpdate(const std::string &inNews);
	/// Hands in what owners that are gone had told this host.
	void HandInOrphans(Millis inNow);
	void OnBeatAnswer(const AppendAnswer &inAnswer, Millis inSentAt, Millis inLeaseMs);
	void DropSuperseded();
	void ConsiderClaims();
	void ClaimCell(uint32 inCell);
	void ClaimFleet();
	void DropSeats(std::string_view inWhy);
	/// Gives a cell to another host by plan, where that one can carry it far better.
	void GiveOn(Millis inNow);
	/// Removes the heartbeats of hosts that are gone: whoever starts anew would take them for news, and wait for their leases.
	void SweepHosts(Millis inNow);
	void Tick();
	size_t Owned() const;
	SeatContext ContextOfSeat(uint32 inCell);
	/// Lets a cell go, but not the ends that only its seat knows.
	void DropSeat(uint32 inCell);
	void DropAllSeats();
	/// A worker's answer to a look of the owner with this epoch came, perhaps after its seat has gone: ends that it lists are then handed
	/// in.
	void SaveEnds(uint32 inCell, uint64 inEpoch, const std::string &inWorker, const std::vector<EndedRow> &inEnded);
	/// Whether ends may still have to be handed in: a look is under way, or a report is.
	bool OwesEnds() const { return this->looks_under_way > 0 || this->ends_hand_in.UnderWay() > 0; }
	// Callers
	void Enter(std::shared_ptr<Entering> inEntering);
	void OnEnterAnswer(const std::shared_ptr<Entering> &inEntering, const AppendAnswer &inAnswer, Millis inSentAt);
	InboxWriter<decltype(Hub::store)> &WriterOf(uint32 inCell);
	/// Whether the store is slow to take what this host appends to a cell's inbox, and another host could do it better.
	bool IsSlowFor(uint32 inCell);
	/// Why a configuration newer than that of the host which asks does not allow a record; None: it does, or it is not newer.
	EError RefusalOf(const InboxRecord &inRecord, const PeerQuestion &inQuestion) const;
	/// Another host's newer configuration does not allow it.
	void RefuseByNewer(const std::shared_ptr<Entering> &inEntering, EError inRefusal);
	void EnterByHelper(const std::shared_ptr<Entering> &inEntering, size_t inHelper);
	/// Hosts that may put a record into a cell's inbox for this one, the best first.
	std::vector<Address> HelpersFor(uint32 inCell) const;
	void EnterAgainOrRefuse(const std::shared_ptr<Entering> &inEntering);
	/// Asks other hosts whether they reach the store.
	void SearchHelpers(Millis inNow);
	void OnQuestion(const PeerQuestion &inQuestion, std::function<void(PeerAnswer)> inReply);
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
	uint64 life;
	Random random; ///< Keeps hosts from asking at one moment.
	Hub hub;
	typename Hub::Door door;
	PeerQuery peers;
	OrderSender<decltype(Hub::workers)> orders;
	std::shared_ptr<const Catalogue> catalogue;
	size_t catalogue_bytes = 0; ///< Of its record.
	std::map<int64, UpkeepWave> waves;
	ZoneEvacuations evacuations;
	std::map<std::string, WorkerEntry> workers;
	std::map<uint32, std::unique_ptr<CellSeat<Hub>>> seats;
	std::unique_ptr<FleetSeat<Hub>> fleet;
	std::map<uint32, std::unique_ptr<InboxWriter<decltype(Hub::store)>>> writers; ///< Of the cells' inboxes.
	EndsHandIn<decltype(Hub::store)> ends_hand_in;
	EndReplicas end_replicas;                    ///< Of other hosts' cells.
	size_t looks_under_way = 0;                  ///< At workers, for cells of this host.
	std::vector<uint32> lost_seats;              ///< Dropped at the next tick, not within their own calls.
	std::array<uint64, cHostParts> hosts_next{}; ///< Where to read on, by partition.
	uint64 start = 0;                            ///< See HostBeat; 0: the heartbeats have not been read yet.
	uint32 beats_under_way = 0;
	double beat_answer_ms = 0.0; ///< How long heartbeats take, a mean that forgets.
	uint32 beat_shift = 0;       ///< Partitions passed over because they did not take a heartbeat.
	bool cells_free = false;     ///< Whether any cell seemed free at the last look.
	uint32 entries_refused = 0;  ///< Workers' entries that could not be read since the last line about them.
	Millis entries_refused_told_at = std::numeric_limits<Millis>::min() / 2;
	uint64 workers_reading = 0; ///< Which reading of the workers' entries is the one in force.
	uint64 beat_number = 0;
	Millis beat_sent_at = 0;
	Millis beat_percent = cPercent; ///< Of its interval after which a host without cells sends its next heartbeat.
	Millis owners_asked_at = 0;     ///< When another host was last asked who owns what.
	Millis started_at = 0;
	Millis swept_at = 0; ///< When hosts that are gone were last looked for.
	Millis tick_at = 0;  ///< Of the last tick.
	Millis ticked_late_at = std::numeric_limits<Millis>::min() / 2;
	Millis store_heard_at = -1; ///< When the store last answered a read or took a caller's record.
	Millis store_read_ms = 0;   ///< How long it took to.
	TurnedAwayWatch turned_away;
	std::optional<uint32> giving_on; ///< The cell that is being given on,
	Millis giving_since = 0;         ///< and since when.
	bool store_heard = true;
	Millis operator_heard_at = std::numeric_limits<Millis>::min() / 2; ///< When the operator's newest records were last known to be read.
	StoreWatch store_watch;                                            ///< Of calls that are answered at once.
	HelperSearch helper_search;                                        ///< While the store is late.
	Millis store_back_at = std::numeric_limits<Millis>::min() / 2;     ///< When it was last heard again after a silence.
	bool stopping = false;
	Millis stop_at = 0;
	std::function<void()> on_stopped;
	Timer tick;
	Timer hosts_timer;
	Timer operator_timer;
	Timer workers_timer;
};

} // namespace Loomreach::Jobs

#include <Loomreach/Entry/JobHost.inl>
