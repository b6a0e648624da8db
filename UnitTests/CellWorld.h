// A small world around one cell, for properties: workers that keep the platform's rules, a log, an owner that is killed and replaced,
// and a network that loses, doubles, delays and reorders. Everything is drawn from one seed; time is simulated.

#pragma once

#include <Loomreach/Core/Random.h>
#include <Loomreach/Schedule/Cell.h>
#include <Loomreach/Schedule/EndReplicas.h>

namespace Loomreach::Jobs
{

inline constexpr Millis cWorldStepMs = 10;
inline constexpr std::string_view cKilled = "killed"; ///< How an owner went whose process ended at once.
inline constexpr int64 cWorldCpuMilli = 16000;        ///< What a worker has.

/// What may go wrong, in percent or ms.
struct Trouble
{
	uint64 lost_order = 0;          ///< An order never arrives.
	uint64 lost_answer = 0;         ///< It is carried out, the answer is lost.
	uint64 late_order = 0;          ///< It is carried out 2 to 12 s later, without an answer.
	uint64 late_start = 0;          ///< The same for orders to start alone: nothing hinders the looks and stops that follow.
	uint64 failing = 0;             ///< A run ends as failed.
	uint64 cut = 0;                 ///< Per second and worker: cut off for some seconds.
	uint64 crash = 0;               ///< Per second and worker: replaced by a new life.
	uint64 kill = 0;                ///< Per second: the owner is killed, a new one comes after the lease.
	uint64 slow_log = 0;            ///< An append takes a second instead of milliseconds.
	uint64 log_ms = 0;              ///< An append takes up to this much longer.
	int64 slow_clock_per_mille = 0; ///< Workers' clocks run up to this much slower.
	uint64 repeated_start = 0;      ///< A start is carried out, comes again later, and the cell hears the second answer.
	size_t ends_page = 0;           ///< A look lists this many ends at most; 0: all.
	uint64 stall = 0;               ///< Per second: the owner stands still for 0.4 to 1.3 s, and keeps its ownership.
	uint64 long_stall = 0;          ///< The same for 1.3 to 5 s; beyond its lease it owns the cell anew.
	bool taken_over = false;        ///< While the owner stands still beyond its lease another takes the cell over, and it wakes to that.
	bool reused = false;            ///< A worker that left by plan leaves its address to another life 2 s later.
	uint64 leave = 0;               ///< Per second and worker: it drains, goes on for some seconds, and ends.
	uint64 taken_down = 0;          ///< Per second: some worker is emptied, and its host taken down as soon as the cell promises it.
	uint64 unlist = 0;              ///< Per second and worker: its entry lapses for up to 3 s.
	uint64 hand_over = 0;           ///< Per second: the owner hands over by plan, with no gap, once its append is through.
	uint64 slow_worker = 0;         ///< Per second and worker: it works five times as long for some seconds.
	uint64 shrink = 0;              ///< Per second and worker: it has a part of its processors only; and again: all of them.
	uint64 slow_stop = 0;           ///< A stop takes 0.4 to 0.9 s.
	Millis lease_ms = 0;            ///< Lease of the workers' runs; 0: as tuned.
	size_t batch_bytes = 0;         ///< Records of one append; 0: as tuned.
	uint64 again = 0;               ///< Per second and worker: it crashes, and soon starts again under its id.
	uint64 returns = 0;             ///< Of workers that end by plan so many start again under their id; the others leave for good.
	bool listing_counts = false;    ///< With no disruption near, an end counts as taken note of 100 ms after a worker has listed it.
	bool unread_excused = false;    ///< The same, but for an answer that its owner had not read when it was killed.
};

/// A worker that keeps the platform's rules.
class WorldWorker
{
public:
	WorldWorker(std::string inId, Resources inCapacity, int64 inSlowPerMille)
		: id(std::move(inId)), capacity(inCapacity), slow(inSlowPerMille)
	{
	}

	Millis Clock(Millis inNow) const { return inNow * (1000 - this->slow) / 1000 + this->clock_base; }
	/// Names this life of it.
	std::string Life() const { return this->id + '@' + std::to_string(this->born); }

	std::string id;
	int64 born = 0;           ///< When this life began.
	Millis clock_base = 5000; ///< Where its clock began.
	Resources capacity;
	int64 slow = 0;
	uint64 token = 0;
	Millis until = 0;
	/// A run at work.
	struct Work
	{
		Resources room;
		Millis began_at = 0;
		Millis ends_at = 0; ///< -1: lasts.
		bool fails = false;
		std::string meant_for;  ///< See MeantFor.
		Millis stops_at = -1;   ///< It was told to stop, and has stopped by then.
		bool blamed = false;    ///< It was told of as running on after its job's cancel.
		Millis crashes_at = -1; ///< It takes its worker's process with it then; -1: never.
	};
	std::map<RunId, Work> running;
	std::map<TaskId, uint32> highest_over; ///< Highest run that was stopped or ended here.
	std::vector<EndedRow> ended;
	uint64 next_number = 1;
	uint64 void_below = 1; ///< Ends with lower numbers were followed by a lapse of the lease: noting them binds nobody.
	Millis cut_until = 0;
	bool cut_closes = false;  ///< While it is cut off, its connections are reset; else nothing comes back.
	Millis contact_since = 0; ///< Since then an owner has been at work, and none of its looks and stops here was lost or late.
	uint64 shown_to = 0;      ///< The last owner that was shown its entry.
	bool crashed = false;
	bool closes = false;      ///< Crashed: its host closes connections and turns new ones away; else nothing comes back.
	Millis back_at = -1;      ///< Crashed: the next life answers at its address from then on; -1: never.
	bool keeps_id = false;    ///< And that one has its id.
	Millis reused_at = -1;    ///< It has left, and another life answers at its address from then on; -1: never.
	Millis listed_until = -1; ///< Crashed: the worker list shows it until then.
	std::string rack = "r";
	std::string availability_zone;
	Resources room_before; ///< What it had before its room shrank,
	Millis shrunk_at = -1; ///< and when that was; -1: it has not.
	/// The room that binds starts: what it said until a while ago, if that was more.
	Resources BindingRoom(Millis inNow) const;
	bool unlisted = false;  ///< It lives, but the worker list does not show it.
	Millis slow_factor = 1; ///< Its runs take this many times as long.
	Millis slow_until = 0;
	Millis relisted_at = 0;
	bool draining = false;
	Millis leaves_at = -1; ///< Its life ends then, by plan.
	bool emptied = false;  ///< The cell is being asked to empty it.
};

/// The world.
class CellWorld
{
public:
	CellWorld(uint64 inSeed, const Trouble &inTrouble, size_t inWorkers);

	/// Hands in a job; it counts as accepted.
	void Submit(JobSpec inSpec);
	void Cancel(const std::string &inId);
	/// Lets time pass.
	void Run(Millis inMillis);
	/// Ends all trouble: what is open can finish.
	void Calm();
	/// How long runs of a job take, where that is not left to chance.
	std::map<std::string, Millis> run_ms;
	/// Jobs all of whose tasks crash their worker, this long after each start.
	std::map<std::string, Millis> crash_after_ms;
	/// The next life of a worker crashed by a task begins after this; 0: after 0.5 to 3.5 s, by chance.
	Millis back_after_ms = 0;
	/// A worker's process ends, and the next one at its address begins after `inBackMs`. `inCloses`: see WorldWorker.
	void Crash(WorldWorker &ioWorker, bool inCloses, Millis inBackMs);
	/// The same, and the next one has its id: it holds and knows nothing of before.
	void Restart(WorldWorker &ioWorker, bool inCloses, Millis inBackMs);
	/// Workers that have crashed under a task that crashes them.
	uint32 CrashesUnder(const TaskId &inTask) const;
	/// All rules that were broken, a line each.
	std::string Broken() const;
	/// Jobs shown as failed that could have been done, in words.
	std::string GivenUp() const;
	/// Whether the time to stop a cancelled job's run counts only while the owner knows the worker's address.
	bool needs_address = true;
	/// Workers take this long to stop a run.
	Millis stop_takes = 0;
	/// The owner is killed, and the next one begins at once. `inWhy`: in words, for what is broken of it.
	void ReplaceOwner(std::string_view inWhy = "replaced");
	/// The same, but its process goes on and hands in the ends that only it knows.
	void SucceedOwner(std::string_view inWhy);
	/// The owner hands over by plan as soon as it can.
	void HandOverSoon() { this->handing_over = true; }
	/// Workers that are crashed by a task start again under their ids.
	bool crashed_keep_ids = false;
	/// Looks wait for an end, as long as they say.
	bool looks_wait = false;
	/// The next owners give workers leases of this length: a rollout has changed the setting.
	void SetLease(Millis inMillis) { this->trouble.lease_ms = inMillis; }
	/// The store has just come back: entries that go now may only have lapsed.
	void StoreBack(Millis inTrustMs) { this->trust_until = this->now + inTrustMs; }

	/// Rules that were broken, in words.
	std::vector<std::string> broken;
	/// The phase that callers are shown.
	JobAnswer Shown(const std::string &inId) const;
	bool AllEnded() const { return this->Open().empty(); }
	/// Jobs that have not ended, in words.
	std::string Open() const;
	uint64 Starts() const { return this->starts; }
	uint64 Takeovers() const { return this->takeovers; }
	/// Runs that a worker began when their job had been cancelled.
	uint64 StartsAfterCancel() const { return this->starts_after_cancel; }
	Millis Now() const { return this->now; }
	Cell &Core() { return *this->cell; }
	std::map<std::string, WorldWorker> &Workers() { return this->workers; }
	/// The operator evacuates a zone, or takes it back. Every owner that is at work hears of it at once, later ones before they begin.
	void Evacuate(const std::string &inZone);
	void TakeBack(const std::string &inZone);

private:
	struct ListedEnd;
	/// A life of a worker ends; another begins on its host.
	void EndLife(WorldWorker &ioWorker);
	/// The next life of a worker begins under its id.
	void StartAgain(WorldWorker &ioWorker);
	/// How long after its end a worker starts again under its id.
	Millis UntilBack();
	/// Answers the looks that have waited for an end, or long enough.
	void AnswerWaiting(WorldWorker &ioWorker);
	void MakePlannedTrouble();
	void TroubleWorker(WorldWorker &ioWorker);
	void TakeDown();
	void HandOver();
	/// The cell has taken note of an end.
	void Note(const WorldWorker &inWorker, const EndedRow &inRow);
	OrderAnswer Look(WorldWorker &ioWorker, const Order &inOrder);
	/// As Chance; what never happens draws nothing, so that seeds found without it stay what they were.
	bool Hits(uint64 inPercent) { return inPercent > 0 && this->random.Chance(inPercent); }
	Millis UpTo(uint64 inMost) { return inMost > 0 ? static_cast<Millis>(this->random.Below(inMost)) : 0; }
	bool Stands() const { return this->now < this->stalled_until; }
	/// Something under way to a worker or back.
	struct Parcel
	{
		Millis at = 0;
		Order order;
		OrderAnswer answer;
		bool is_answer = false;
		bool mute = false;    ///< No answer follows.
		bool repeat = false;  ///< The same order has left before: that it finds nobody does not mean that it was not carried out.
		bool timeout = false; ///< No answer came in time.
		std::string life;     ///< Of the worker when the order left.
		Millis sent_at = 0;
		uint64 owner = 0; ///< Which owner sent it.
	};

	/// A look that waits at its worker. What it lets the worker forget is forgotten until it is answered.
	struct WaitingLook
	{
		Parcel look;
		std::string life; ///< Of the worker that it waits at.
		Millis until = 0;
	};
	/// Whether looks wait: where nothing starts again, they are answered at once, so that seeds found before stay what they were.
	bool LooksWait() const { return this->trouble.again + this->trouble.returns > 0 || this->looks_wait; }
	/// The owner reads an answer: remembers of which listed ends it has heard.
	void NoteRead(const Parcel &inAnswer);
	/// A former owner puts ends into the inbox; it takes as long as any append.
	void HandIn(EndReport inReport);
	/// Sends what the owner tells the host that keeps replicas of its ends.
	void TellEnds();
	/// What was told arrives; what owners that are gone have told is handed in.
	void KeepEnds();
	/// Another owner takes over while this one stands still.
	void TakeOver();
	/// Owners that slept through that wake, and hand in what only they know.
	void Wake();
	bool IsAsleep(uint64 inOwner) const;
	void TellZones();
	/// What has been handed in arrives.
	void TakeHandedIn();
	void Step();
	void Drive();
	void StartOwner();
	void KillOwner(std::string_view inWhy);
	/// Whether a listed end counts as taken note of by now.
	bool IsNoted(const ListedEnd &inEnd) const;
	/// How it came that an end was listed and its task started all the same.
	std::string StoryOf(const ListedEnd &inEnd) const;
	void MakeTrouble();
	void Send(const Order &inOrder);
	OrderAnswer CarryOut(WorldWorker &ioWorker, const Order &inOrder);
	OrderAnswer CarryOutStart(WorldWorker &ioWorker, const Order &inOrder);
	void Pass(WorldWorker &ioWorker);
	/// Crashes the workers whose runs do so now.
	void CrashByRuns();
	/// A process that has gone answers nothing; its host, or the next process there, may.
	std::optional<OrderAnswer> AnswerOfGone(const WorldWorker &inWorker) const;
	void End(WorldWorker &ioWorker, const RunId &inRun, ERunEnd inEnd);
	/// For what is broken: whether a start was meant for a former life of its worker.
	std::string MeantFor(const WorldWorker &inWorker) const;
	void CheckStart(const WorldWorker &inWorker, const Order &inOrder);
	/// No run of a job goes on after its cancel for longer than a worker in contact takes to stop it.
	void CheckCanceled(WorldWorker &ioWorker);
	void TellWorkers();
	void Break(const std::string &inWhat) { this->broken.push_back("at " + std::to_string(this->now) + ": " + inWhat); }

	Random random;
	Random hand_in_random; ///< By itself, so that seeds found before there were hand-ins stay what they were.
	Random life_random;    ///< Likewise, of workers that start again.
	Random replica_random; ///< Likewise, of what is told between hosts.
	Trouble trouble;
	bool unread_excused = false; ///< See Trouble; also in the calm.
	bool slow_stops = false;     ///< Whether stops may take long; one ordered before the calm goes on into it.
	Millis now = 1000;
	std::unique_ptr<Cell> cell;
	std::map<std::string, WorldWorker> workers;
	std::map<std::string, std::string> log;
	std::vector<InboxRecord> inbox;
	std::vector<std::pair<Millis, EndReport>> handed_in;     ///< On their way to the inbox, and when they are there.
	std::vector<std::pair<Millis, EndsUpdate>> ends_updates; ///< On their way to the host that keeps replicas, and when they are there.
	EndReplicas replicas;
	/// An owner that stands still while another is at work.
	struct Sleeper
	{
		uint64 epoch = 0;
		Millis until = 0;
		std::unique_ptr<Cell> cell;
	};
	std::vector<Sleeper> sleepers;
	std::set<uint64> alive_after; ///< Former owners whose processes go on.
	std::map<std::string, JobSpec> specs;
	std::map<std::string, Millis> canceled; ///< When the cancel was accepted.
	std::map<TaskId, uint32> failures_noted;
	std::map<TaskId, uint32> crashes_under;      ///< Workers that crashed by a run of the task.
	std::map<TaskId, uint32> starts_after_three; ///< Its starts after the third.
	std::set<TaskId> done_noted;
	std::set<TaskId> done_ever;
	std::map<std::pair<std::string, uint64>, Millis> ended_at; ///< By life of a worker and number of the end.
	std::map<TaskId, Millis> last_start;
	std::map<TaskId, std::string> last_start_meant; ///< See MeantFor.
	/// An end done that a look has shown, and what became of it.
	struct ListedEnd
	{
		Millis at = 0;
		uint64 owner = 0;    ///< Whose look it was.
		Millis read_at = -1; ///< When that owner read it; -1: it has not.
	};
	std::map<TaskId, ListedEnd> listed_done;
	std::map<uint64, std::string> owners_ended; ///< How each owner but the last went.
	std::vector<Parcel> parcels;
	std::vector<WaitingLook> waiting;
	std::map<std::string, Millis> evacuated;         ///< Zones, and since when.
	std::string meant_for;                           ///< Which life of its worker the order under way was sent to.
	std::set<std::pair<uint64, uint64>> open_orders; ///< Owner and serial of orders without an answer yet.
	std::vector<KeyedRecord> batch;
	Millis batch_at = -1;
	uint64 epoch = 0;
	Millis owner_back_at = 0;
	Millis workers_told_at = 0;
	Millis trust_until = 0;
	Millis stalled_until = 0;
	Millis stalled_at = 0;
	Millis disturbed_at = -10000; ///< When the owner last stood still, or the store was slow.
	bool handing_over = false;
	Millis retired_at = -1;
	size_t next_worker = 0;
	uint64 starts = 0;
	uint64 starts_after_cancel = 0;
	uint64 takeovers = 0;
};

/// A job of one or more like steps in a row.
JobSpec MakeJob(const std::string &inId, uint32 inSteps, uint32 inCount, int64 inCpuMilli, Millis inEstimateMs);

} // namespace Loomreach::Jobs
