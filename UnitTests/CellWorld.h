// A small world around one cell, for properties: workers that keep the platform's rules, a log, an owner that is killed and replaced,
// and a network that loses, doubles, delays and reorders. Everything is drawn from one seed; time is simulated.

#pragma once

#include <Loomreach/Core/Random.h>
#include <Loomreach/Schedule/Cell.h>

namespace Loomreach::Jobs
{

/// What may go wrong, in percent or ms.
struct Trouble
{
	uint64 lost_order = 0;          ///< An order never arrives.
	uint64 lost_answer = 0;         ///< It is carried out, the answer is lost.
	uint64 late_order = 0;          ///< It is carried out 2 to 12 s later, without an answer.
	uint64 failing = 0;             ///< A run ends as failed.
	uint64 cut = 0;                 ///< Per second and worker: cut off for some seconds.
	uint64 crash = 0;               ///< Per second and worker: replaced by a new life.
	uint64 kill = 0;                ///< Per second: the owner is killed, a new one comes after the lease.
	uint64 slow_log = 0;            ///< An append takes a second instead of milliseconds.
	int64 slow_clock_per_mille = 0; ///< Workers' clocks run up to this much slower.
};

/// A worker that keeps the platform's rules.
class WorldWorker
{
public:
	WorldWorker(std::string inId, Resources inCapacity, int64 inSlowPerMille)
		: id(std::move(inId)), capacity(inCapacity), slow(inSlowPerMille)
	{
	}

	Millis Clock(Millis inNow) const { return inNow * (1000 - this->slow) / 1000 + 5000; }

	std::string id;
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
		Millis stops_at = -1; ///< It was told to stop, and has stopped by then.
	};
	std::map<RunId, Work> running;
	std::map<TaskId, uint32> highest_over; ///< Highest run that was stopped or ended here.
	std::vector<EndedRow> ended;
	uint64 next_number = 1;
	uint64 void_below = 1; ///< Ends with lower numbers were followed by a lapse of the lease: noting them binds nobody.
	Millis cut_until = 0;
	bool crashed = false;
	bool unlisted = false;  ///< It lives, but the worker list does not show it.
	Millis slow_factor = 1; ///< Its runs take this many times as long.
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
	/// Workers take this long to stop a run.
	Millis stop_takes = 0;
	/// The owner is killed, and the next one begins at once.
	void ReplaceOwner();
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
	Cell &Core() { return *this->cell; }
	std::map<std::string, WorldWorker> &Workers() { return this->workers; }

private:
	/// Something under way to a worker or back.
	struct Parcel
	{
		Millis at = 0;
		Order order;
		OrderAnswer answer;
		bool is_answer = false;
		bool mute = false; ///< No answer follows.
		Millis sent_at = 0;
		uint64 owner = 0; ///< Which owner sent it.
	};

	void Step();
	void Drive();
	void StartOwner();
	void KillOwner();
	void MakeTrouble();
	void Send(const Order &inOrder);
	OrderAnswer CarryOut(WorldWorker &ioWorker, const Order &inOrder);
	OrderAnswer CarryOutStart(WorldWorker &ioWorker, const Order &inOrder);
	void Pass(WorldWorker &ioWorker);
	void End(WorldWorker &ioWorker, const RunId &inRun, ERunEnd inEnd);
	void CheckStart(const WorldWorker &inWorker, const Order &inOrder);
	void TellWorkers();
	void Break(const std::string &inWhat) { this->broken.push_back("at " + std::to_string(this->now) + ": " + inWhat); }

	Random random;
	Trouble trouble;
	Millis now = 1000;
	std::unique_ptr<Cell> cell;
	std::map<std::string, WorldWorker> workers;
	std::map<std::string, std::string> log;
	std::vector<InboxRecord> inbox;
	std::map<std::string, JobSpec> specs;
	std::set<std::string> canceled;
	std::map<TaskId, uint32> failures_noted;
	std::set<TaskId> done_noted;
	std::set<TaskId> done_ever;
	std::vector<Parcel> parcels;
	std::set<std::pair<uint64, uint64>> open_orders; ///< Owner and serial of orders without an answer yet.
	std::vector<KeyedRecord> batch;
	Millis batch_at = -1;
	uint64 epoch = 0;
	Millis owner_back_at = 0;
	Millis workers_told_at = 0;
	Millis trust_until = 0;
	size_t next_worker = 0;
	uint64 starts = 0;
	uint64 takeovers = 0;
};

/// A job of one or more like steps in a row.
JobSpec MakeJob(const std::string &inId, uint32 inSteps, uint32 inCount, int64 inCpuMilli, Millis inEstimateMs);

} // namespace Loomreach::Jobs
