// Simulation of one cell for property tests: workers that follow the platform's rules, a log, an owner that is killed and replaced, and a
// network that loses, duplicates, delays and reorders messages. All chances are drawn from one seed, and time is simulated. The simulation
// checks the platform's rules while it runs and records each violation.

#pragma once

#include <Loomreach/Core/Random.h>
#include <Loomreach/Ownership/LogTypes.h>
#include <Loomreach/Schedule/Cell.h>
#include <Loomreach/Schedule/EndReplicas.h>

namespace Loomreach::Jobs
{

inline constexpr Millis cSimulationStepMs = 10;
inline constexpr std::string_view cOwnerKilled = "killed"; ///< Reason of an owner's exit: its process ended abruptly.
inline constexpr int64 cWorkerCpuMilli = 16000;            ///< Processors of a worker.

/// Faults of a simulation. Rates are in percent: of orders, runs or stops, or per second where stated.
struct SimulationFaults
{
	uint64 lost_order = 0;              ///< An order is lost.
	uint64 lost_answer = 0;             ///< An order is executed, its answer is lost.
	uint64 late_order = 0;              ///< An order is executed 2 to 12 s late, without an answer.
	uint64 late_start = 0;              ///< The same for start orders only: later polls and stops arrive in time.
	uint64 failed_run = 0;              ///< A run ends as failed.
	uint64 worker_partition = 0;        ///< Per second and worker: unreachable for 0.5 to 9.5 s.
	uint64 worker_crash = 0;            ///< Per second and worker: it ends, and another incarnation replaces it.
	uint64 owner_kill = 0;              ///< Per second: the owner is killed; the next one begins once its lease is over.
	uint64 slow_append = 0;             ///< An append takes 1 s instead of 10 ms.
	uint64 append_jitter_ms = 0;        ///< An append takes up to this much longer.
	int64 slow_clock_per_mille = 0;     ///< Workers' clocks run slow by up to this.
	uint64 repeated_start = 0;          ///< A start is executed and its answer lost; the cell gets the answer to a repeat.
	size_t poll_page_size = 0;          ///< Most ends that one poll lists; 0: no limit.
	uint64 owner_pause = 0;             ///< Per second: the owner's process pauses for 0.4 to 1.3 s and keeps its ownership.
	uint64 long_owner_pause = 0;        ///< The same for 1.3 to 5 s; beyond its lease it takes the cell over again.
	bool takeover_while_paused = false; ///< Another owner takes over from one that is paused beyond its lease.
	bool address_reuse = false;         ///< Another incarnation answers at a released address 2 s later.
	uint64 worker_leave = 0;            ///< Per second and worker: it drains, runs on for 1 to 5 s, and ends.
	uint64 silent_leave = 0;            ///< Per second and worker: its entry goes, it runs on for 1 to 15 s, and ends. Not announced.
	uint64 moved_restart = 0;           ///< Share of workers that start again under their ids at another address.
	uint64 host_removal = 0;            ///< Per second: a worker is drained; its host is removed once the cell grants it.
	uint64 entry_lapse = 0;             ///< Per second and worker: the list does not show its entry for up to 3 s.
	uint64 owner_handover = 0;          ///< Per second: planned handover without a gap, once the append is done.
	uint64 slow_worker = 0;             ///< Per second and worker: its runs take five times as long for 5 s.
	uint64 capacity_shrink = 0;         ///< Per second and worker: its processors shrink, or are restored.
	uint64 slow_stop = 0;               ///< A stop takes 0.4 to 0.9 s.
	Millis lease_ms = 0;                ///< Lease of the workers' runs; 0: the default.
	size_t batch_bytes = 0;             ///< Most bytes of records in one append; 0: the default.
	uint64 restart_same_id = 0;         ///< Per second and worker: it crashes and soon starts again under its id.
	uint64 return_same_id = 0;          ///< Share of ended workers that start again under their ids; the others do not return.
	bool listed_end_counts = false;     ///< A listed end counts as recorded after 100 ms; for faults that disrupt nothing.
	bool unread_end_excused = false;    ///< Except for an answer that its owner had not read when it was killed.
	bool late_orders_pass_cuts = false; ///< Late orders have reached their workers' hosts: a worker that is cut off executes them.
	/// Workers that start again under their ids are not listed for this long; meanwhile the former incarnation's entry lapses.
	Millis unlisted_restart_ms = 0;
};

/// A worker that follows the platform's rules.
class SimulatedWorker
{
public:
	SimulatedWorker(std::string inId, Resources inCapacity, int64 inSlowPerMille)
		: id(std::move(inId)), capacity(inCapacity), clock_slow_per_mille(inSlowPerMille)
	{
	}

	Millis Clock(Millis inNow) const { return inNow * (1000 - this->clock_slow_per_mille) / 1000 + this->clock_base; }
	/// Identifies this incarnation.
	std::string IncarnationName() const { return this->id + '@' + std::to_string(this->started_at); }

	std::string id;
	int64 started_at = 0;     ///< When this incarnation started.
	Millis clock_base = 5000; ///< Offset of its clock.
	Resources capacity;
	int64 clock_slow_per_mille = 0;
	uint64 token = 0;
	Millis lease_until = 0;
	/// A run on the worker.
	struct Work
	{
		Resources reserved;
		Millis began_at = 0;
		Millis ends_at = 0; ///< -1: long-running.
		bool fails = false;
		std::string misdelivery; ///< See DescribeMisdelivery.
		Millis stops_at = -1;    ///< When an ordered stop takes effect; -1: none was ordered.
		bool reported = false;   ///< Reported as running on after its job's cancel.
		Millis crashes_at = -1;  ///< When it crashes its worker's process; -1: never.
	};
	std::map<RunId, Work> running;
	std::map<TaskId, uint32> highest_ended_run; ///< Highest run of the task that was stopped or ended here.
	std::vector<EndedRun> ended;
	uint64 next_sequence = 1;
	uint64 expired_below = 1; ///< The lease expired after ends with lower sequence numbers: recording these binds nobody.
	Millis unreachable_until = 0;
	bool resets_connections = false; ///< While it is unreachable its connections are reset; otherwise nothing is answered.
	Millis contact_since = 0;        ///< Since when an owner has been active and no poll or stop here was lost or late.
	uint64 listed_to_epoch = 0;      ///< Epoch of the last owner that got its entry.
	bool crashed = false;
	bool closes_connections = false; ///< If crashed: its host closes and refuses connections; otherwise nothing is answered.
	Millis next_incarnation_at = -1; ///< If crashed: when the next incarnation answers at its address; -1: never.
	bool keeps_id = false;           ///< If crashed: the next incarnation has the same id.
	Millis address_reused_at = -1;   ///< It has left, and another incarnation answers at its address from then on; -1: never.
	Millis listed_until = -1;        ///< If crashed: until when the worker list shows it.
	std::string rack = "r";
	std::string availability_zone;
	uint16 port = 1;           ///< Of its address. Orders to another one do not reach it.
	Resources capacity_before; ///< Capacity before it shrank.
	Millis shrunk_at = -1;     ///< When the capacity shrank; -1: it has not.
	/// Capacity that starts must fit into: for a while after it shrank still the previous one, since owners learn of it late.
	Resources BindingCapacity(Millis inNow) const;
	bool unlisted = false; ///< It runs, but the worker list does not show it.
	/// Until then, while it is unlisted, the list shows the entry of the incarnation that started at `former_started_at`.
	Millis former_listed_until = -1;
	int64 former_started_at = 0;
	Millis slow_factor = 1; ///< Its runs take this many times as long.
	Millis slow_until = 0;
	Millis relisted_at = 0;
	bool draining = false;
	Millis leaves_at = -1;        ///< When it ends by plan; -1: not planned.
	bool drain_requested = false; ///< The cell is being asked to drain it.
};

/// The simulation. See the head of the file.
class CellSimulation
{
public:
	CellSimulation(uint64 inSeed, const SimulationFaults &inFaults, size_t inWorkers);

	/// Submits a job, which counts as accepted.
	void Submit(JobSpec inSpec);
	void Cancel(const std::string &inId);
	/// Advances time.
	void Run(Millis inMillis);
	/// Ends all faults, so that unfinished work can finish.
	void ClearFaults();
	/// Run times by job; the runs of other jobs take random times.
	std::map<std::string, Millis> run_ms;
	/// Jobs whose tasks all crash their worker, and the time from a run's start to the crash.
	std::map<std::string, Millis> crash_after_ms;
	/// Tasks that crash their worker although others of their job may not, and the time from a run's start to the crash.
	std::map<TaskId, Millis> task_crash_after_ms;
	/// Delay of the next incarnation after a crash by a task; 0: random, 0.5 to 3.5 s.
	Millis back_after_ms = 0;
	/// Ends a worker's process; the next one at its address starts after `inBackMs`. `inCloses`: see SimulatedWorker.
	void Crash(SimulatedWorker &ioWorker, bool inCloses, Millis inBackMs);
	/// The same, and the next incarnation has the same id; it holds no runs or ends of the previous one.
	void Restart(SimulatedWorker &ioWorker, bool inCloses, Millis inBackMs);
	/// Number of workers that the runs of a task have crashed.
	uint32 CrashesCausedBy(const TaskId &inTask) const;
	/// All violations, one per line.
	std::string Violations() const;
	/// Whether a task of the job crashes its workers.
	bool HasCrashingTask(const std::string &inJob) const;
	/// Jobs reported as failed although their tasks crash no workers, one per line.
	std::string WronglyFailedJobs() const;
	/// Runs report checkpoints, and each start must bring one of its task or none.
	bool saves_progress = false;
	/// Whether the deadline to stop a cancelled job's run applies only while the owner knows the worker's address.
	bool needs_address = true;
	/// Time that workers take to stop a run.
	Millis stop_duration_ms = 0;
	/// Kills the owner; the next one begins immediately. `inWhy`: the reason, for violation texts.
	void ReplaceOwner(std::string_view inWhy = "replaced");
	/// The same, but the old process survives and submits to the inbox the ends that only it knows.
	void SupersedeOwner(std::string_view inWhy);
	/// Pauses the owner's process. Another owner takes over if the fault `takeover_while_paused` says so.
	void PauseOwner(Millis inForMs);
	/// Makes the store unavailable: appends and worker lists wait for it, and an owner that outlasts its lease is replaced afterwards.
	void TakeStoreAway(Millis inForMs);
	/// Requests a planned handover, which takes place as soon as the owner is ready.
	void RequestHandover() { this->handing_over = true; }
	/// Workers that a task crashes start again under their ids.
	bool crashed_keep_ids = false;
	/// Polls wait for an end for as long as they ask.
	bool polls_wait = false;
	/// Sets the lease that later owners grant to workers, as the rollout of a changed setting does.
	void SetLease(Millis inMillis) { this->faults.lease_ms = inMillis; }
	/// The store is back after an outage: for this long a missing entry may only have lapsed.
	void OnStoreRecovered(Millis inTrustMs) { this->trust_until = this->now + inTrustMs; }

	/// Violations of the rules, as text.
	std::vector<std::string> violations;
	/// A job's state as callers see it.
	JobAnswer QueryJob(const std::string &inId) const;
	bool AllEnded() const { return this->UnfinishedJobs().empty(); }
	/// Jobs that have not ended, one per line.
	std::string UnfinishedJobs() const;
	uint64 Starts() const { return this->starts; }
	uint64 Takeovers() const { return this->takeovers; }
	/// Runs that began on a worker after their job's cancel.
	uint64 StartsAfterCancel() const { return this->starts_after_cancel; }
	Millis Now() const { return this->now; }
	Cell &Core() { return *this->cell; }
	std::map<std::string, SimulatedWorker> &Workers() { return this->workers; }
	/// Evacuates a zone, or ends its evacuation. The active owner learns of it immediately, later ones before they begin.
	void Evacuate(const std::string &inZone);
	void EndEvacuation(const std::string &inZone);

private:
	struct ListedEnd;
	/// Ends an incarnation of a worker; another one replaces it.
	void EndIncarnation(SimulatedWorker &ioWorker);
	/// Starts the next incarnation under the worker's id.
	void StartNextIncarnation(SimulatedWorker &ioWorker);
	/// Draws the delay until a worker starts again under its id.
	Millis DrawRestartDelay();
	/// Answers the waiting polls for which there is a new end, or that have waited long enough.
	void AnswerWaitingPolls(SimulatedWorker &ioWorker);
	void InjectPlannedFaults();
	void InjectWorkerFaults(SimulatedWorker &ioWorker);
	void RemoveDrainedHosts();
	void HandOver();
	/// Updates the checks for an end that the cell has recorded.
	void RecordEnd(const SimulatedWorker &inWorker, const EndedRun &inRow);
	OrderAnswer Poll(SimulatedWorker &ioWorker, const Order &inOrder);
	/// As Chance, but draws nothing at 0 percent, so that a new kind of fault does not change what existing seeds mean.
	bool DrawFault(uint64 inPercent) { return inPercent > 0 && this->random.Chance(inPercent); }
	Millis DrawUpTo(uint64 inMost) { return inMost > 0 ? static_cast<Millis>(this->random.Below(inMost)) : 0; }
	bool IsOwnerPaused() const { return this->now < this->paused_until; }
	bool IsStoreAway() const { return this->now < this->store_away_until; }
	/// Replaces an owner that has lost its ownership while the store is away.
	void LoseOwnerWithoutStore();
	/// An order or an answer in flight.
	struct PendingMessage
	{
		Millis at = 0;
		Order order;
		OrderAnswer answer;
		bool is_answer = false;
		bool no_answer = false;  ///< No answer follows.
		bool is_repeat = false;  ///< A repeat of an order: that it reaches nobody does not prove that the order was not executed.
		bool timeout = false;    ///< No answer came in time.
		std::string incarnation; ///< Incarnation of the worker when the order was sent.
		Millis sent_at = 0;
		uint64 owner = 0; ///< Epoch of the owner that sent it.
	};

	/// A long poll that waits at its worker. The worker drops the ends that it acknowledges when it arrives.
	struct WaitingPoll
	{
		PendingMessage poll;
		std::string incarnation; ///< Incarnation of the worker where it waits.
		Millis until = 0;
	};
	/// Whether polls wait. Without restarts under the same id they are answered immediately, so that existing seeds keep their meaning.
	bool PollsWait() const { return this->faults.restart_same_id + this->faults.return_same_id > 0 || this->polls_wait; }
	/// Marks the listed ends in an answer as read by the owner.
	void MarkRead(const PendingMessage &inAnswer);
	/// A former owner submits ends to the inbox, which takes as long as any append.
	void SubmitToInbox(EndReport inReport);
	/// Sends the owner's updates to the host that keeps replicas of its run ends.
	void SendEndsUpdates();
	/// Delivers these updates, and submits the replicated ends of owners that have stopped.
	void DeliverEndsUpdates();
	/// Lets another owner take over while the current one is paused.
	void TakeOverFromPaused();
	/// Resumes former owners whose pause is over; they submit the ends that only they know.
	void ResumePausedOwners();
	bool IsPausedFormerOwner(uint64 inOwner) const;
	void UpdateEvacuatedZones();
	/// Delivers submitted ends to the inbox.
	void DeliverSubmittedEnds();
	void Step();
	void DriveOwner();
	void StartOwner();
	void KillOwner(std::string_view inWhy);
	/// Whether a listed end must have been recorded by now.
	bool CountsAsRecorded(const ListedEnd &inEnd) const;
	/// Describes when an end was listed and read, and what became of the owner; for violation texts.
	std::string DescribeListedEnd(const ListedEnd &inEnd) const;
	void InjectFaults();
	void Send(const Order &inOrder);
	OrderAnswer Execute(SimulatedWorker &ioWorker, const Order &inOrder);
	OrderAnswer ExecuteStart(SimulatedWorker &ioWorker, const Order &inOrder);
	void AdvanceWorker(SimulatedWorker &ioWorker);
	/// Crashes the workers whose runs crash them now, and starts the incarnations that are due.
	void CrashWorkersByRuns();
	/// The answer for a process that has ended, from its host or the next process at its address; none if nothing answers.
	std::optional<OrderAnswer> AnswerOfEndedProcess(const SimulatedWorker &inWorker) const;
	void EndRun(SimulatedWorker &ioWorker, const RunId &inRun, ERunEnd inEnd);
	/// For violation texts: states it if a start was sent to a previous incarnation of its worker.
	std::string DescribeMisdelivery(const SimulatedWorker &inWorker) const;
	void CheckStart(const SimulatedWorker &inWorker, const Order &inOrder);
	/// Checks that no run of a cancelled job goes on for longer than a worker in contact needs to stop it.
	void CheckCanceled(SimulatedWorker &ioWorker);
	void UpdateWorkerList();
	void AddViolation(const std::string &inWhat) { this->violations.push_back("at " + std::to_string(this->now) + ": " + inWhat); }

	Random random;
	Random submit_random;  ///< Draws for submitted ends. A separate generator leaves the meaning of existing seeds unchanged.
	Random restart_random; ///< The same for workers that start again.
	Random replica_random; ///< The same for replicated ends.
	Random leave_random;   ///< The same for workers that leave without an announcement.
	SimulationFaults faults;
	bool unread_end_excused = false; ///< As the fault of this name; also applies after ClearFaults.
	bool slow_stops = false;         ///< Whether stops may be slow; one ordered before ClearFaults goes on after it.
	Millis now = 1000;
	std::unique_ptr<Cell> cell;
	std::map<std::string, SimulatedWorker> workers;
	std::map<std::string, std::string> log;
	std::vector<InboxRecord> inbox;
	std::vector<std::pair<Millis, EndReport>> submitted_ends;   ///< In flight to the inbox, with their arrival times.
	std::vector<std::pair<Millis, RunEndsUpdate>> ends_updates; ///< In flight to the replica host, with their arrival times.
	RunEndReplicas replicas;
	/// A paused owner that another one has replaced.
	struct PausedOwner
	{
		uint64 epoch = 0;
		Millis until = 0;
		std::unique_ptr<Cell> cell;
	};
	std::vector<PausedOwner> paused_owners;
	std::set<uint64> surviving_owners; ///< Former owners whose processes survive.
	std::map<std::string, JobSpec> specs;
	std::map<std::string, Millis> canceled; ///< When the cancel was accepted.
	std::map<TaskId, uint32> failures_recorded;
	std::map<TaskId, uint32> crashes_by_task;   ///< Workers that the task's runs crashed.
	std::map<TaskId, uint32> starts_over_limit; ///< Starts after the crash limit was reached.
	std::set<TaskId> done_recorded;
	std::set<TaskId> done_ever;
	std::map<std::pair<std::string, uint64>, Millis> ended_at; ///< By incarnation and sequence number.
	std::map<TaskId, Millis> last_start;
	std::map<TaskId, std::string> last_start_misdelivery; ///< See DescribeMisdelivery.
	/// A successful end that a poll has listed.
	struct ListedEnd
	{
		Millis at = 0;
		uint64 owner = 0;    ///< Epoch of the owner that polled.
		Millis read_at = -1; ///< When that owner read it; -1: it has not.
	};
	std::map<TaskId, ListedEnd> listed_done;
	std::map<uint64, std::string> owner_exits; ///< How each former owner ended.
	std::vector<PendingMessage> messages;
	std::vector<WaitingPoll> waiting;
	std::map<std::string, Millis> evacuated;               ///< Evacuated zones, and since when.
	std::string addressed_to;                              ///< Incarnation that the order being executed was sent to.
	std::set<std::pair<uint64, uint64>> unanswered_orders; ///< Epoch and serial of orders without an answer yet.
	std::vector<KeyedRecord> batch;
	Millis append_done_at = -1;
	uint64 epoch = 0;
	Millis next_owner_at = 0;
	Millis list_updated_at = 0;
	Millis trust_until = 0;
	Millis paused_until = 0;
	Millis paused_at = 0;
	Millis store_away_until = 0;
	Millis store_away_at = 0;
	Millis disturbed_at = -10000; ///< When the owner was last paused or the store slow.
	bool handing_over = false;
	Millis retired_at = -1;
	size_t next_worker = 0;
	uint16 next_port = 2;
	uint64 starts = 0;
	uint64 starts_after_cancel = 0;
	uint64 takeovers = 0;
};

/// A job of one or more equal steps, each after the previous one.
JobSpec MakeJob(const std::string &inId, uint32 inSteps, uint32 inCount, int64 inCpuMilli, Millis inEstimateMs);

} // namespace Loomreach::Jobs
