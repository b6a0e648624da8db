// Teams' limits over several cells: the fleet's owner shares them out by messages that get lost, doubled, late, between owners that come
// and go.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Invariant.h>
#include <Loomreach/Core/Random.h>
#include <Loomreach/Fleet/TeamShares.h>
#include <Loomreach/Schedule/TeamUse.h>
#include <UnitTests/CellWorld.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

constexpr Millis cStepMs = 5;
constexpr Millis cLongestRunMs = 1500;
constexpr Millis cOwnerGapMs = 2000;
constexpr int64 cLimit = 10000;

Catalogue Limited(int64 inCpuMilli, int64 inVersion = 1)
{
	Catalogue catalogue;
	catalogue.version = inVersion;
	catalogue.teams.emplace();
	(*catalogue.teams)["a"] = {"a", {"key"}, {inCpuMilli, 0, 0}, 1};
	return catalogue;
}

/// What may go wrong, in percent.
struct ShareTrouble
{
	uint64 lost = 0;
	uint64 late = 0;
	uint64 cell_owner_lost = 0;  ///< Per second and cell.
	uint64 fleet_owner_lost = 0; ///< Per second.
};

/// Cells whose owners start tasks of one team as their shares allow, and the fleet's owner.
class ShareWorld
{
public:
	ShareWorld(uint64 inSeed, const ShareTrouble &inTrouble, size_t inCells) : random(inSeed), trouble(inTrouble), cells(inCells)
	{
		this->fleet.emplace(++this->fleet_epoch, this->now, cLongestRunMs);
		this->SetUp(*this->fleet);
		for (CellState &cell : this->cells)
			this->StartOwner(cell);
	}

	/// Tasks of so much processor time wait in a cell.
	void Hand(size_t inCell, size_t inTasks, int64 inCpuMilli)
	{
		this->cells[inCell].waiting.insert(this->cells[inCell].waiting.end(), inTasks, inCpuMilli);
	}
	void SetLimit(int64 inLimit)
	{
		this->limit = inLimit;
		for (CellState &cell : this->cells)
			if (cell.owner.has_value())
				cell.owner->SetTeams(Limited(inLimit));
		if (this->fleet.has_value())
			this->fleet->SetTeams(Limited(inLimit));
	}
	void Run(Millis inMillis)
	{
		for (const Millis end = this->now + inMillis; this->now < end;)
			this->Step();
	}
	void Calm() { this->trouble = {}; }
	size_t Waiting() const
	{
		size_t waiting = 0;
		for (const CellState &cell : this->cells)
			waiting += cell.waiting.size();
		return waiting;
	}
	int64 Running() const
	{
		int64 running = 0;
		for (const CellState &cell : this->cells)
			for (const Task &task : cell.running)
				running += task.ends_at > this->now ? task.cpu_milli : 0;
		return running;
	}
	void LoseFleetOwner()
	{
		this->fleet.reset();
		this->fleet_back_at = this->now + cOwnerGapMs;
	}
	void LoseOwner(size_t inCell)
	{
		this->cells[inCell].owner.reset();
		this->cells[inCell].back_at = this->now + cOwnerGapMs;
	}
	std::string broken;
	int64 most = 0;

private:
	/// A task at work. Its owner hears of its end some time later.
	struct Task
	{
		int64 cpu_milli = 0;
		Millis ends_at = 0;
		Millis heard_at = 0;
	};
	struct CellState
	{
		std::optional<TeamUse> owner;
		uint64 epoch = 0;
		Millis back_at = 0;
		std::vector<int64> waiting;
		std::vector<Task> running;
	};
	/// A question or an answer under way.
	struct Parcel
	{
		Millis at = 0;
		bool is_answer = false;
		ShareQuestion question;
		ShareAnswer answer;
	};

	template <class T>
	void SetUp(T &ioShares)
	{
		std::set<uint32> numbers;
		for (uint32 i = 0; i < this->cells.size(); ++i)
			numbers.insert(i);
		ioShares.SetCells(numbers);
		ioShares.SetTeams(Limited(this->limit));
	}
	void StartOwner(CellState &ioCell)
	{
		ioCell.owner.emplace();
		ioCell.owner->SetTeams(Limited(this->limit));
		++ioCell.epoch;
		// What the log has of runs, ended or not
		for (Task &task : ioCell.running)
			ioCell.owner->Add("a", {task.cpu_milli, 0, 0});
	}
	void Send(Parcel inParcel)
	{
		const uint64 copies = this->random.Chance(this->trouble.lost) ? 0 : 1 + (this->random.Chance(this->trouble.late) ? 1 : 0);
		for (uint64 i = 0; i < copies; ++i)
		{
			const bool late = i > 0 || this->random.Chance(this->trouble.late);
			inParcel.at = this->now + 1 + static_cast<Millis>(this->random.Below(late ? 3000 : 5));
			this->parcels.push_back(inParcel);
		}
	}
	void MakeTrouble()
	{
		if (this->now % 1000 != 0)
			return;
		if (this->fleet.has_value() && this->random.Chance(this->trouble.fleet_owner_lost))
			this->LoseFleetOwner();
		for (size_t i = 0; i < this->cells.size(); ++i)
			if (this->cells[i].owner.has_value() && this->random.Chance(this->trouble.cell_owner_lost))
				this->LoseOwner(i);
	}
	void Deliver()
	{
		std::vector<Parcel> due;
		for (size_t i = 0; i < this->parcels.size();)
		{
			if (this->parcels[i].at > this->now)
			{
				++i;
				continue;
			}
			due.push_back(std::move(this->parcels[i]));
			this->parcels[i] = std::move(this->parcels.back());
			this->parcels.pop_back();
		}
		for (Parcel &parcel : due)
		{
			CellState &cell = this->cells[parcel.question.cell];
			if (parcel.is_answer && cell.owner.has_value() && cell.epoch == parcel.question.epoch)
				cell.owner->OnAnswer(parcel.answer, this->now);
			if (parcel.is_answer || !this->fleet.has_value())
				continue;
			parcel.answer = this->fleet->OnQuestion(parcel.question, this->now);
			parcel.is_answer = true;
			this->Send(parcel);
		}
	}
	void Drive(uint32 inNumber)
	{
		CellState &cell = this->cells[inNumber];
		std::erase_if(cell.running,
					  [&](const Task &inTask)
					  {
						  const bool heard = cell.owner.has_value() && this->now >= inTask.heard_at;
						  if (heard)
							  cell.owner->Subtract("a", {inTask.cpu_milli, 0, 0});
						  return heard;
					  });
		if (!cell.owner.has_value())
			return;
		bool is_short = false;
		while (!cell.waiting.empty() && !is_short)
		{
			const Resources need{cell.waiting.back(), 0, 0};
			is_short = !cell.owner->HasRoom("a", need, this->now);
			if (is_short)
				break;
			const Millis ends_at = this->now + 300 + static_cast<Millis>(this->random.Below(static_cast<uint64>(cLongestRunMs - 300)));
			cell.running.push_back({need.cpu_milli, ends_at, ends_at + static_cast<Millis>(this->random.Below(150))});
			cell.owner->Add("a", need);
			cell.waiting.pop_back();
			this->most = std::max(this->most, this->Running());
			if (this->Running() > this->limit)
				this->broken += "at " + std::to_string(this->now) + ": " + std::to_string(this->Running()) + " running\n";
		}
		if (this->now < cell.owner->NextAskAt(is_short))
			return;
		std::map<std::string, Resources> wanted;
		for (int64 cpu_milli : cell.waiting)
			wanted["a"].Add({cpu_milli, 0, 0});
		ShareQuestion question = cell.owner->Ask(cell.epoch, wanted, this->now);
		question.cell = inNumber;
		this->Send({0, false, question, {}});
	}
	void Step()
	{
		this->now += cStepMs;
		this->MakeTrouble();
		if (!this->fleet.has_value() && this->now >= this->fleet_back_at)
		{
			this->fleet.emplace(++this->fleet_epoch, this->now, cLongestRunMs);
			this->SetUp(*this->fleet);
		}
		for (CellState &cell : this->cells)
			if (!cell.owner.has_value() && this->now >= cell.back_at)
				this->StartOwner(cell);
		this->Deliver();
		for (uint32 i = 0; i < this->cells.size(); ++i)
			this->Drive(i);
	}

	Random random;
	ShareTrouble trouble;
	Millis now = 1000;
	int64 limit = cLimit;
	std::vector<CellState> cells;
	std::optional<TeamShares> fleet;
	uint64 fleet_epoch = 0;
	Millis fleet_back_at = 0;
	std::vector<Parcel> parcels;
};

} // namespace

TEST(TeamShares, OneCellInItsTurnGetsTheWholeLimit)
{
	ShareWorld world(1, {}, 4);
	world.Run(1000);
	// 20 tasks of 1 core under a limit of 10: half of them at once, not a quarter of the limit
	world.Hand(2, 20, 1000);
	world.Run(250);
	EXPECT_EQ(world.Running(), cLimit);
	world.Run(6000);
	EXPECT_EQ(world.Waiting(), 0u);
	EXPECT_EQ(world.broken, "");
}

TEST(TeamShares, TasksAlmostAsLargeAsTheLimitGoByTurns)
{
	// Cut into equal parts, the limit would let none of them start for good
	ShareWorld world(2, {}, 4);
	for (size_t cell = 0; cell < 4; ++cell)
		world.Hand(cell, 5, 7000);
	world.Run(60000);
	EXPECT_EQ(world.Waiting(), 0u);
	EXPECT_EQ(world.broken, "");
}

TEST(TeamShares, ACellThatComesLaterIsNotKeptOut)
{
	ShareWorld world(3, {}, 2);
	world.Hand(0, 200, 1000);
	world.Run(2000);
	world.Hand(1, 5, 1000);
	const size_t before = world.Waiting();
	// Its tasks go before those of the cell that has the whole limit, as room comes free
	world.Run(2500);
	EXPECT_LT(world.Waiting(), before);
	world.Run(60000);
	EXPECT_EQ(world.Waiting(), 0u);
	EXPECT_EQ(world.broken, "");
}

TEST(TeamShares, WhatIsHeldBridgesAFleetWithoutAnOwner)
{
	ShareWorld world(4, {}, 4);
	world.Hand(0, 400, 1000);
	world.Run(1000);
	world.LoseFleetOwner();
	world.Run(1900);
	EXPECT_GT(world.Running(), cLimit / 2);
	world.Run(120000);
	EXPECT_EQ(world.Waiting(), 0u);
	EXPECT_EQ(world.broken, "");
}

TEST(TeamShares, ANewFleetOwnerWaitsForACellThatItHasNotHeardOf)
{
	ShareWorld world(5, {}, 2);
	world.Hand(0, 30, 1000);
	world.Run(400);
	EXPECT_EQ(world.Running(), cLimit);
	// Cell 0 has no owner while its tasks run on; whoever shares out next must not give their part to cell 1
	world.LoseFleetOwner();
	world.Run(1000);
	world.LoseOwner(0);
	world.Hand(1, 30, 1000);
	world.Run(60000);
	EXPECT_EQ(world.broken, "");
	EXPECT_EQ(world.Waiting(), 0u);
}

TEST(TeamShares, NewWorkStartsWithinWhatWasDealtAhead)
{
	// Where each task waited for an answer first, five days with trouble were worth 0.313 in the mean, with this 0.344
	ShareWorld world(7, {}, 4);
	world.Hand(1, 1, 500);
	world.Run(3000);
	EXPECT_EQ(world.Running(), 0);
	world.Hand(1, 5, 500);
	world.Run(cStepMs);
	EXPECT_EQ(world.Running(), cLimit / 4);
}

TEST(TeamShares, AnOlderQuestionIsNotAnswered)
{
	TeamShares shares(3, 0, 1000);
	shares.SetCells({1});
	shares.SetTeams(Limited(cLimit));
	ShareQuestion question{1, 5, 2, 3, {{"a", {}, {}, {4000, 0, 0}}}};
	EXPECT_EQ(shares.OnQuestion(question, 10).shares.at(0).limit.cpu_milli, cLimit);
	question.number = 1;
	EXPECT_EQ(shares.OnQuestion(question, 20).number, 0u);
	question = {1, 4, 9, 3, {{"a", {}, {}, {4000, 0, 0}}}};
	EXPECT_EQ(shares.OnQuestion(question, 30).number, 0u);
}

TEST(TeamShares, ALowerLimitHoldsWithinMoments)
{
	ShareWorld world(6, {}, 3);
	for (size_t cell = 0; cell < 3; ++cell)
		world.Hand(cell, 300, 1000);
	world.Run(5000);
	world.SetLimit(3000);
	world.Run(cLongestRunMs + 400);
	EXPECT_LE(world.Running(), 3000);
	world.broken.clear();
	world.Run(20000);
	EXPECT_EQ(world.broken, "");
	EXPECT_GT(world.Running(), 0);
}

RC_GTEST_PROP(TeamShares, KeepTheLimitWhateverIsLost, ())
{
	SetInvariantsAbort(true);
	const uint64 seed = *rc::gen::inRange<uint64>(1, 1'000'000'000);
	Random random(seed);
	ShareTrouble trouble;
	trouble.lost = random.Below(40);
	trouble.late = random.Below(40);
	trouble.cell_owner_lost = random.Below(15);
	trouble.fleet_owner_lost = random.Below(20);
	const size_t cells = 1 + random.Below(5);
	ShareWorld world(seed, trouble, cells);
	for (int i = 0; i < 40; ++i)
	{
		world.Hand(random.Below(cells), random.Below(12), 300 + static_cast<int64>(random.Below(6000)));
		world.Run(100 + static_cast<Millis>(random.Below(1500)));
	}
	world.Calm();
	world.Run(300000);
	RC_ASSERT(world.broken == "");
	RC_ASSERT(world.Waiting() == 0);
}

TEST(TeamUse, ACellStartsNothingBeyondItsTeamsShare)
{
	static constexpr int64 cWall = 1'700'000'000'000;
	Cell cell(CellTuning{});
	cell.SetCatalogue(std::make_shared<const Catalogue>(Limited(cLimit)));
	cell.Begin(1, 1000);
	WorkerEntry worker;
	worker.id = "w";
	worker.pool = "pool";
	worker.address = {"127.0.0.1", 1};
	worker.capacity = {64000, 64000, 0};
	worker.clock_ms = 1;
	cell.SetWorkers({worker}, 1000);
	OrderAnswer well;
	well.result = EOrderResult::Done;
	well.clock_ms = 1;
	for (const Order &order : cell.TakeOrders(1000))
		cell.OnAnswer(order, well, 1000, 1001);
	JobSpec job = MakeJob("job", 1, 8, 3000, 100);
	job.team = "a";
	job.accepted_wall_ms = cWall;
	cell.Ingest({EInbox::Submit, job}, 0, 1001, cWall);
	cell.Plan(1002, cWall);
	EXPECT_EQ(cell.Figures().runs, 0u);
	// No host is wanted for what the team may not have running: 8 tasks of 3 cores
	EXPECT_EQ(cell.Demand("pool", 0, 100, 1002, cWall).need.cpu_milli, cLimit);
	const std::optional<ShareQuestion> question = cell.AskShares(1003, cWall);
	ASSERT_TRUE(question.has_value());
	EXPECT_EQ(question->claims.at(0).wanted.cpu_milli, 24000);
	cell.OnShares({question->number, 1, {{"a", {cLimit, 0, 0}}}}, 1005);
	cell.Plan(1006, cWall);
	EXPECT_EQ(cell.Figures().runs, 3u);
	// What the next owner finds in the log counts, and gives it no share
	std::vector<KeyedRecord> batch = cell.TakeBatch(cWall);
	Cell successor(CellTuning{});
	successor.SetCatalogue(std::make_shared<const Catalogue>(Limited(cLimit)));
	for (const KeyedRecord &record : batch)
		EXPECT_TRUE(successor.Restore(record.key, record.value));
	successor.Begin(2, 2000);
	const std::optional<ShareQuestion> next = successor.AskShares(2001, cWall);
	ASSERT_TRUE(next.has_value());
	EXPECT_EQ(next->claims.at(0).used.cpu_milli, 9000);
	EXPECT_EQ(next->claims.at(0).held.cpu_milli, 0);
}

} // namespace Loomreach::Jobs
