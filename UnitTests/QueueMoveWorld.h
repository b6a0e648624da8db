// Simulation of several cells between which configurations move queues: owners that are killed and replaced, hosts with older
// configurations, slow appends, lost messages. Time is simulated and all chances are drawn from one seed. There are no workers: a job
// counts as run where a cell has taken it.

#pragma once

#include <Loomreach/Core/Random.h>
#include <Loomreach/Schedule/Cell.h>

namespace Loomreach::Jobs
{

/// Faults of a simulation, percent unless stated otherwise.
struct MoveFaults
{
	uint64 lost_message = 0;     ///< A question or an answer between owners is lost.
	uint64 unknown_append = 0;   ///< A redirected record is appended, or not, and its sender does not learn it.
	Millis slow_append_ms = 0;   ///< Appends take up to this much longer.
	Millis host_lag_ms = 0;      ///< Hosts learn of a configuration up to this much later.
	uint64 owner_kill = 0;       ///< Per second and cell.
	Millis no_owner_ms = 0;      ///< A killed owner is replaced after up to this much.
	uint64 late_registrar = 0;   ///< An owner is slow to register sites and to read those of others.
	Millis keep_ended_ms = 0;    ///< 0: the default.
	uint64 rename = 0;           ///< A configuration gives the queue another name.
	uint64 removal = 0;          ///< A configuration does not have the queue.
	uint64 same_owner = 0;       ///< A question is answered at once, as by a host that owns both cells.
	bool names_queues = true;    ///< Records name the queue.
	bool earlier_host = false;   ///< The last host is of an earlier version, whose records do not name a queue that it has not seen move.
	bool checks_cancels = false; ///< Whether a job must be canceled once its submission and a cancellation were accepted.
};

/// What a host concludes about a job.
enum class EFinding : uint8
{
	Known,
	Gone,
	CannotTell
};

/// See the head of this file. One queue, `cPools` pools in as many cells, `cHosts` hosts.
class QueueMoveWorld
{
public:
	static constexpr size_t cPools = 4;
	static constexpr size_t cHosts = 3;

	explicit QueueMoveWorld(uint64 inSeed, const MoveFaults &inFaults = {});

	/// Publishes a configuration; `inPool`: number of the queue's pool, or nothing without the queue.
	void Configure(std::optional<size_t> inPool, const std::string &inName = "queue");
	/// Sets the configuration that a host uses, an index of all published ones, and keeps it there.
	void HoldBack(size_t inHost, size_t inVersion);
	/// A caller hands in a job or a cancellation through a host. False: the host's configuration does not have the queue.
	bool Submit(size_t inHost, const std::string &inJob, Millis inAppendMs = 5);
	bool Cancel(size_t inHost, const std::string &inJob);
	/// What a host finds out about a job. Nothing: its configuration does not have the queue.
	std::optional<EFinding> Ask(size_t inHost, const std::string &inJob);
	/// Number of waiting jobs of the queue, as a host counts them.
	uint32 Count(size_t inHost);
	void KillOwner(size_t inPool, Millis inBackMs);
	void KillAll(Millis inBackMs);
	void Run(Millis inMillis);
	/// Draws moves, submissions, repeats, cancellations, questions and kills for so long; then ends all faults and lets all work finish.
	void RunTroubles(Millis inMillis);

	uint32 CellAt(size_t inPool) const { return this->cell_numbers[inPool]; }
	/// Pools whose cells have ever taken a job.
	const std::set<size_t> &TakenBy(const std::string &inJob) { return this->taken_by[inJob]; }
	EJobPhase PhaseOf(const std::string &inJob);
	/// Jobs that were accepted, or whose cancellation was.
	const std::map<std::string, Millis> &Accepted() const { return this->accepted; }
	size_t Questions() const { return this->questions; }
	size_t Appends(size_t inPool) const { return this->seats[inPool].appends; }
	std::vector<std::string> violations;

private:
	/// A cell with its logs, and its owner if it has one.
	struct Seat
	{
		std::unique_ptr<Cell> cell;
		uint64 epoch = 0;
		size_t version = 0; ///< Index of the configuration that the owner uses.
		std::map<std::string, std::string> log;
		std::vector<std::string> inbox;
		size_t read = 0; ///< Inbox records that this owner has read.
		std::vector<KeyedRecord> batch;
		Millis appended_at = -1; ///< When the append in flight ends.
		bool registering = false;
		Millis next_owner_at = 0;
		size_t appends = 0;
	};
	struct Host
	{
		size_t version = 0;
		bool held_back = false;
		std::string pool;      ///< Pool of the queue in the newest version that had it.
		bool saw_move = false; ///< Whether the queue had other pools before.
	};

	std::shared_ptr<const Catalogue> CatalogueAt(size_t inVersion) const { return this->catalogues[inVersion]; }
	const Queue *QueueAt(size_t inHost) const;
	size_t PoolOf(const std::string &inPool) const;
	size_t SeatOf(uint32 inCell) const;
	void At(Millis inDelay, std::function<void()> inCall)
	{
		this->calls.emplace(this->now + std::max<Millis>(inDelay, 1), std::move(inCall));
	}
	/// The same unless the owner has been replaced by then.
	void AtOwner(size_t inPool, Millis inDelay, std::function<void(Cell &)> inCall);
	Millis AppendMs() { return 5 + this->DrawUpTo(this->faults.slow_append_ms); }
	Millis DrawUpTo(Millis inMost) { return inMost > 0 ? static_cast<Millis>(this->random.Below(static_cast<uint64>(inMost))) : 0; }
	void SetVersion(Host &ioHost, size_t inVersion);
	/// All sites in the log.
	QueueRegistry Registered() const;
	void Append(size_t inHost, InboxRecord inRecord, Millis inAppendMs);
	void Step();
	void Drive(size_t inPool);
	void StartOwner(size_t inPool);
	void Register(size_t inPool);
	void SendQuestions(size_t inPool);
	void SendRedirected(size_t inPool);
	void Write(size_t inPool);
	void Observe(size_t inPool);
	void CheckAsked();

	Random random;
	MoveFaults faults;
	Millis now = 1000;
	std::vector<std::string> pools;
	std::vector<uint32> cell_numbers;
	std::vector<std::shared_ptr<const Catalogue>> catalogues;
	std::vector<QueueSite> register_log;
	std::array<Seat, cPools> seats;
	std::array<Host, cHosts> hosts;
	std::multimap<Millis, std::function<void()>> calls;
	std::map<std::string, Millis> accepted;
	std::map<std::string, Millis> canceled;
	std::map<std::string, std::set<size_t>> taken_by;
	size_t questions = 0;
	size_t jobs = 0;
};

} // namespace Loomreach::Jobs
