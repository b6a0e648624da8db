// Limits of teams across several cells. The fleet's owner divides them among the cells' owners by messages that may be lost, duplicated or
// late, while owners stop and others take over.

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
constexpr Millis cTakeOverMs = 2000;
constexpr Millis cHandOverMs = 500; ///< Time without an owner of the fleet in a planned hand-over.
constexpr int64 cLimit = 10000;

Catalogue Limited(int64 inCpuMilli, int64 inVersion = 1)
{
	Catalogue catalogue;
	catalogue.version = inVersion;
	catalogue.teams.emplace();
	(*catalogue.teams)["a"] = {"a", {"key"}, {inCpuMilli, 0, 0}, 1};
	return catalogue;
}

/// Probabilities of faults, in percent.
struct ShareFaults
{
	uint64 lost = 0;
	uint64 late = 0;
	uint64 cell_owner_lost = 0;   ///< Per second and cell.
	uint64 fleet_owner_lost = 0;  ///< Per second.
	uint64 fleet_handed_over = 0; ///< Per second.
	uint64 record_unread = 0;     ///< Per new owner of the fleet.
};

/// Simulates the owners of several cells, which start tasks of one team as their shares allow, and the fleet's owner.
class ShareSimulation
{
public:
	ShareSimulation(uint64 inSeed, const ShareFaults &inFaults, size_t inCells) : random(inSeed), faults(inFaults), cells(inCells)
	{
		this->fleet.emplace(++this->fleet_epoch, this->now, cLongestRunMs);
		this->SetUp(*this->fleet);
		for (CellState &cell : this->cells)
			this->StartOwner(cell);
	}

	/// Adds `inTasks` waiting tasks of `inCpuMilli` each to a cell.
	void AddTasks(size_t inCell, size_t inTasks, int64 inCpuMilli)
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
	void ClearFaults() { this->faults = {}; }
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
		this->fleet_stops_at = -1;
		this->fleet_back_at = this->now + cTakeOverMs;
	}
	/// Lets the fleet's owner hand over. It answers for another `inAnswersMs`; the record stays in the log.
	void HandOverFleet(Millis inAnswersMs)
	{
		this->record = this->fleet->HandOver();
		this->fleet_stops_at = this->now + inAnswersMs;
	}
	void LoseOwner(size_t inCell)
	{
		this->cells[inCell].owner.reset();
		this->cells[inCell].back_at = this->now + cTakeOverMs;
	}
	std::string violations;
	int64 max_running = 0;
	bool announces = false; ///< Whether a new owner of the fleet tells the owners of the cells.

private:
	/// A running task. Its owner learns of its end some time later.
	struct Task
	{
		int64 cpu_milli = 0;
		Millis ends_at = 0;
		Millis recorded_at = 0;
	};
	struct CellState
	{
		std::optional<TeamUsage> owner;
		uint64 epoch = 0;
		Millis back_at = 0;
		std::vector<int64> waiting;
		std::vector<Task> running;
	};
	/// A request or an answer in transit.
	struct Message
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
		// The log contains all runs whose end has not been recorded, whether they have ended or not
		for (Task &task : ioCell.running)
			ioCell.owner->Add("a", {task.cpu_milli, 0, 0});
	}
	void Send(Message inMessage)
	{
		const uint64 copies = this->random.Chance(this->faults.lost) ? 0 : 1 + (this->random.Chance(this->faults.late) ? 1 : 0);
		for (uint64 i = 0; i < copies; ++i)
		{
			const bool late = i > 0 || this->random.Chance(this->faults.late);
			inMessage.at = this->now + 1 + static_cast<Millis>(this->random.Below(late ? 3000 : 5));
			this->messages.push_back(inMessage);
		}
	}
	void InjectFaults()
	{
		if (this->now % 1000 != 0)
			return;
		if (this->fleet.has_value() && this->random.Chance(this->faults.fleet_owner_lost))
			this->LoseFleetOwner();
		const bool may_hand_over = this->faults.fleet_handed_over > 0 && this->fleet.has_value() && this->fleet_stops_at < 0;
		if (may_hand_over && this->random.Chance(this->faults.fleet_handed_over))
			this->HandOverFleet(static_cast<Millis>(this->random.Below(1500)));
		for (size_t i = 0; i < this->cells.size(); ++i)
			if (this->cells[i].owner.has_value() && this->random.Chance(this->faults.cell_owner_lost))
				this->LoseOwner(i);
	}
	void Deliver()
	{
		std::vector<Message> due;
		for (size_t i = 0; i < this->messages.size();)
		{
			if (this->messages[i].at > this->now)
			{
				++i;
				continue;
			}
			due.push_back(std::move(this->messages[i]));
			this->messages[i] = std::move(this->messages.back());
			this->messages.pop_back();
		}
		for (Message &message : due)
		{
			CellState &cell = this->cells[message.question.cell];
			if (message.is_answer && cell.owner.has_value() && cell.epoch == message.question.epoch)
				cell.owner->OnAnswer(message.answer, this->now);
			if (message.is_answer || !this->fleet.has_value())
				continue;
			message.answer = this->fleet->OnQuestion(message.question, this->now);
			message.is_answer = true;
			this->Send(message);
		}
	}
	void RunOwner(uint32 inNumber)
	{
		CellState &cell = this->cells[inNumber];
		std::erase_if(cell.running,
					  [&](const Task &inTask)
					  {
						  const bool recorded = cell.owner.has_value() && this->now >= inTask.recorded_at;
						  if (recorded)
							  cell.owner->Subtract("a", {inTask.cpu_milli, 0, 0});
						  return recorded;
					  });
		if (!cell.owner.has_value())
			return;
		bool lacks_share = false;
		while (!cell.waiting.empty() && !lacks_share)
		{
			const Resources need{cell.waiting.back(), 0, 0};
			lacks_share = !cell.owner->HasCapacity("a", need, this->now);
			if (lacks_share)
				break;
			const Millis ends_at = this->now + 300 + static_cast<Millis>(this->random.Below(static_cast<uint64>(cLongestRunMs - 300)));
			cell.running.push_back({need.cpu_milli, ends_at, ends_at + static_cast<Millis>(this->random.Below(150))});
			cell.owner->Add("a", need);
			cell.waiting.pop_back();
			this->max_running = std::max(this->max_running, this->Running());
			if (this->Running() > this->limit)
				this->violations += "at " + std::to_string(this->now) + ": " + std::to_string(this->Running()) + " running\n";
		}
		if (this->now < cell.owner->NextQuestionAt(lacks_share))
			return;
		std::map<std::string, Resources> wanted;
		for (int64 cpu_milli : cell.waiting)
			wanted["a"].Add({cpu_milli, 0, 0});
		ShareQuestion question = cell.owner->BuildQuestion(cell.epoch, wanted, this->now);
		question.cell = inNumber;
		this->Send({0, false, question, {}});
	}
	void Step()
	{
		this->now += cStepMs;
		this->InjectFaults();
		if (this->fleet.has_value() && this->fleet_stops_at >= 0 && this->now >= this->fleet_stops_at)
		{
			this->fleet.reset();
			this->fleet_stops_at = -1;
			this->fleet_back_at = this->now + cHandOverMs;
		}
		if (!this->fleet.has_value() && this->now >= this->fleet_back_at)
		{
			this->fleet.emplace(++this->fleet_epoch, this->now, cLongestRunMs);
			const bool unread = this->faults.record_unread > 0 && this->random.Chance(this->faults.record_unread);
			if (this->record.has_value() && !unread)
				this->fleet->TakeOver(*this->record, this->fleet_epoch - 1, this->now);
			this->SetUp(*this->fleet);
			for (CellState &cell : this->cells)
				if (this->announces && cell.owner.has_value())
					cell.owner->OnFleetOwner(this->fleet_epoch);
		}
		for (CellState &cell : this->cells)
			if (!cell.owner.has_value() && this->now >= cell.back_at)
				this->StartOwner(cell);
		this->Deliver();
		for (uint32 i = 0; i < this->cells.size(); ++i)
			this->RunOwner(i);
	}

	Random random;
	ShareFaults faults;
	Millis now = 1000;
	int64 limit = cLimit;
	std::vector<CellState> cells;
	std::optional<TeamShares> fleet;
	uint64 fleet_epoch = 0;
	Millis fleet_back_at = 0;
	Millis fleet_stops_at = -1;          ///< When an owner that hands over stops; -1: it does not hand over.
	std::optional<ShareHandOver> record; ///< The newest record in the fleet cell's log.
	std::vector<Message> messages;
};

} // namespace

TEST(TeamShares, TheOnlyBusyCellGetsTheWholeLimit)
{
	ShareSimulation simulation(1, {}, 4);
	simulation.Run(1000);
	// 20 tasks of 1 core under a limit of 10: half of them start at once, not as many as fit into a quarter of the limit
	simulation.AddTasks(2, 20, 1000);
	simulation.Run(250);
	EXPECT_EQ(simulation.Running(), cLimit);
	simulation.Run(6000);
	EXPECT_EQ(simulation.Waiting(), 0u);
	EXPECT_EQ(simulation.violations, "");
}

TEST(TeamShares, TasksAlmostAsLargeAsTheLimitTakeTurns)
{
	// With equal shares of the limit none of them could ever start
	ShareSimulation simulation(2, {}, 4);
	for (size_t cell = 0; cell < 4; ++cell)
		simulation.AddTasks(cell, 5, 7000);
	simulation.Run(60000);
	EXPECT_EQ(simulation.Waiting(), 0u);
	EXPECT_EQ(simulation.violations, "");
}

TEST(TeamShares, ACellThatComesLaterIsNotKeptOut)
{
	ShareSimulation simulation(3, {}, 2);
	simulation.AddTasks(0, 200, 1000);
	simulation.Run(2000);
	simulation.AddTasks(1, 5, 1000);
	const size_t before = simulation.Waiting();
	// As capacity becomes free, its tasks go before those of the cell that has the whole limit
	simulation.Run(2500);
	EXPECT_LT(simulation.Waiting(), before);
	simulation.Run(60000);
	EXPECT_EQ(simulation.Waiting(), 0u);
	EXPECT_EQ(simulation.violations, "");
}

TEST(TeamShares, HeldSharesBridgeATimeWithoutAFleetOwner)
{
	ShareSimulation simulation(4, {}, 4);
	simulation.AddTasks(0, 400, 1000);
	simulation.Run(1000);
	simulation.LoseFleetOwner();
	simulation.Run(1900);
	EXPECT_GT(simulation.Running(), cLimit / 2);
	simulation.Run(120000);
	EXPECT_EQ(simulation.Waiting(), 0u);
	EXPECT_EQ(simulation.violations, "");
}

TEST(TeamShares, ANewFleetOwnerWaitsForACellThatItHasNotHeardOf)
{
	ShareSimulation simulation(5, {}, 2);
	simulation.AddTasks(0, 30, 1000);
	simulation.Run(400);
	EXPECT_EQ(simulation.Running(), cLimit);
	// Cell 0 has no owner while its tasks run on; the next owner of the fleet must not grant their share to cell 1
	simulation.LoseFleetOwner();
	simulation.Run(1000);
	simulation.LoseOwner(0);
	simulation.AddTasks(1, 30, 1000);
	simulation.Run(60000);
	EXPECT_EQ(simulation.violations, "");
	EXPECT_EQ(simulation.Waiting(), 0u);
}

TEST(TeamShares, NewWorkStartsWithinTheShareGrantedInAdvance)
{
	// Guards against each new task waiting for an answer before it starts
	ShareSimulation simulation(7, {}, 4);
	simulation.AddTasks(1, 1, 500);
	simulation.Run(3000);
	EXPECT_EQ(simulation.Running(), 0);
	simulation.AddTasks(1, 5, 500);
	simulation.Run(cStepMs);
	EXPECT_EQ(simulation.Running(), cLimit / 4);
}

/// Guards against a late request, of an earlier number or epoch, that overwrites what the cell has claimed since.
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

/// Shares granted under the former limit must not outlast the longest running task.
TEST(TeamShares, ALowerLimitTakesEffectSoon)
{
	ShareSimulation simulation(6, {}, 3);
	for (size_t cell = 0; cell < 3; ++cell)
		simulation.AddTasks(cell, 300, 1000);
	simulation.Run(5000);
	simulation.SetLimit(3000);
	simulation.Run(cLongestRunMs + 400);
	EXPECT_LE(simulation.Running(), 3000);
	simulation.violations.clear();
	simulation.Run(20000);
	EXPECT_EQ(simulation.violations, "");
	EXPECT_GT(simulation.Running(), 0);
}

RC_GTEST_PROP(TeamShares, KeepTheLimitWhateverIsLost, ())
{
	SetInvariantsAbort(true);
	const uint64 seed = *rc::gen::inRange<uint64>(1, 1'000'000'000);
	Random random(seed);
	ShareFaults faults;
	faults.lost = random.Below(40);
	faults.late = random.Below(40);
	faults.cell_owner_lost = random.Below(15);
	faults.fleet_owner_lost = random.Below(20);
	const size_t cells = 1 + random.Below(5);
	ShareSimulation simulation(seed, faults, cells);
	for (int i = 0; i < 40; ++i)
	{
		simulation.AddTasks(random.Below(cells), random.Below(12), 300 + static_cast<int64>(random.Below(6000)));
		simulation.Run(100 + static_cast<Millis>(random.Below(1500)));
	}
	simulation.ClearFaults();
	simulation.Run(300000);
	RC_ASSERT(simulation.violations == "");
	RC_ASSERT(simulation.Waiting() == 0);
}

/// Guards against a stop of all starts until a cell without an owner, whose host is slow to read its log, has asked the new fleet owner.
TEST(TeamShares, AHandOverDoesNotWaitForACellWithoutAnOwner)
{
	ShareSimulation simulation(8, {}, 4);
	simulation.AddTasks(1, 2, 1000);
	simulation.Run(1000);
	simulation.HandOverFleet(50);
	simulation.LoseOwner(1);
	simulation.AddTasks(0, 60, 1000);
	simulation.Run(50 + cHandOverMs + 250);
	EXPECT_GE(simulation.Running(), cLimit / 2);
	simulation.Run(60000);
	EXPECT_EQ(simulation.Waiting(), 0u);
	EXPECT_EQ(simulation.violations, "");
}

/// Guards against a pause in the grants to all cells whenever one of them gets a new owner.
TEST(TeamShares, ANewOwnerOfACellDoesNotStopTheOthers)
{
	TeamShares shares(3, 0, 1000);
	shares.SetCells({1, 2});
	shares.SetTeams(Limited(cLimit));
	shares.OnQuestion({1, 5, 1, 3, {}}, 10);
	shares.OnQuestion({2, 5, 1, 3, {}}, 10);
	EXPECT_EQ(shares.OnQuestion({2, 6, 1, 0, {{"a", {}, {}, {4000, 0, 0}}}}, 20).shares.at(0).limit.cpu_milli, 0);
	EXPECT_EQ(shares.OnQuestion({1, 5, 2, 3, {{"a", {}, {}, {4000, 0, 0}}}}, 30).shares.at(0).limit.cpu_milli, 5000);
}

/// Guards against a share that is granted after the record, or on the basis of a record that lacks a later owner's grants.
TEST(TeamShares, ARecordHoldsForTheNextOwnerOnly)
{
	const ShareQuestion asked{1, 5, 2, 3, {{"a", {}, {}, {4000, 0, 0}}}};
	const auto start = [](uint64 inEpoch)
	{
		TeamShares shares(inEpoch, 0, 1000);
		shares.SetCells({1, 2});
		shares.SetTeams(Limited(cLimit));
		return shares;
	};
	TeamShares former = start(3);
	former.OnQuestion({1, 5, 1, 3, {}}, 10);
	former.OnQuestion({2, 5, 1, 3, {{"a", {2000, 0, 0}, {6000, 0, 0}, {}}}}, 10);
	const ShareHandOver record = former.HandOver();
	EXPECT_EQ(former.OnQuestion(asked, 20).shares.at(0).limit.cpu_milli, 0);
	TeamShares successor = start(4);
	ASSERT_TRUE(successor.TakeOver(record, 3, 0));
	// Cell 2 has not asked, and counts with the most that it held
	EXPECT_EQ(successor.OnQuestion(asked, 20).shares.at(0).limit.cpu_milli, 4000);
	TeamShares later = start(5);
	EXPECT_FALSE(later.TakeOver(record, 4, 0));
	EXPECT_EQ(later.OnQuestion(asked, 20).shares.at(0).limit.cpu_milli, 0);
}

/// Guards against a record that lists a cell by an old question, although it may hold what an earlier owner of the fleet has granted since.
TEST(TeamShares, ARecordLacksACellThatWasNotHeardFrom)
{
	TeamShares former(3, 0, 1000);
	former.SetCells({1, 2});
	former.SetTeams(Limited(cLimit));
	former.OnQuestion({1, 5, 1, 3, {}}, 10);
	former.OnQuestion({2, 5, 1, 2, {}}, 10);
	const ShareHandOver record = former.HandOver();
	ASSERT_EQ(record.cells.size(), 1u);
	EXPECT_EQ(record.cells[0].cell, 1u);
	TeamShares successor(4, 0, 1000);
	successor.SetCells({1, 2});
	successor.SetTeams(Limited(cLimit));
	ASSERT_TRUE(successor.TakeOver(record, 3, 0));
	EXPECT_EQ(successor.OnQuestion({1, 5, 2, 3, {{"a", {}, {}, {4000, 0, 0}}}}, 20).shares.at(0).limit.cpu_milli, 0);
}

/// Guards against a wait for the next regular question, 200 ms later, after the owner of the fleet was killed.
TEST(TeamShares, OwnersAskANewFleetOwnerAtOnce)
{
	// Mean time in ms from the claim until the waiting tasks have started
	const auto mean_wait = [](bool inAnnounces)
	{
		constexpr uint64 cSeeds = 50;
		Millis sum = 0;
		for (uint64 seed = 1; seed <= cSeeds; ++seed)
		{
			ShareSimulation simulation(seed, {}, 4);
			simulation.announces = inAnnounces;
			// The claim falls anywhere into the interval between questions
			simulation.Run(1000 + static_cast<Millis>(seed) * 4);
			simulation.LoseFleetOwner();
			simulation.Run(cTakeOverMs - cStepMs);
			simulation.AddTasks(0, 10, 1000);
			for (; simulation.Waiting() > 0; sum += cStepMs)
				simulation.Run(cStepMs);
		}
		return sum / static_cast<Millis>(cSeeds);
	};
	EXPECT_LT(2 * mean_wait(true), mean_wait(false));
}

RC_GTEST_PROP(TeamShares, KeepTheLimitThroughHandOvers, ())
{
	SetInvariantsAbort(true);
	const uint64 seed = *rc::gen::inRange<uint64>(1, 1'000'000'000);
	Random random(seed);
	ShareFaults faults;
	faults.lost = random.Below(40);
	faults.late = random.Below(40);
	faults.cell_owner_lost = random.Below(15);
	faults.fleet_owner_lost = random.Below(15);
	faults.fleet_handed_over = 10 + random.Below(40);
	faults.record_unread = random.Below(30);
	const size_t cells = 1 + random.Below(5);
	ShareSimulation simulation(seed, faults, cells);
	simulation.announces = random.Chance(50);
	for (int i = 0; i < 40; ++i)
	{
		simulation.AddTasks(random.Below(cells), random.Below(12), 300 + static_cast<int64>(random.Below(6000)));
		simulation.Run(100 + static_cast<Millis>(random.Below(1500)));
	}
	simulation.ClearFaults();
	simulation.Run(300000);
	RC_ASSERT(simulation.violations == "");
	RC_ASSERT(simulation.Waiting() == 0);
}

TEST(TeamUsage, ACellStartsNothingBeyondItsTeamsShare)
{
	static constexpr int64 cWallMs = 1'700'000'000'000;
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
	OrderAnswer done_answer;
	done_answer.result = EOrderResult::Done;
	done_answer.clock_ms = 1;
	for (const Order &order : cell.TakeOrders(1000))
		cell.OnAnswer(order, done_answer, 1000, 1001);
	JobSpec job = MakeJob("job", 1, 8, 3000, 100);
	job.team = "a";
	job.accepted_wall_ms = cWallMs;
	cell.Ingest({EInbox::Submit, job}, 0, 1001, cWallMs);
	cell.Plan(1002, cWallMs);
	EXPECT_EQ(cell.Counts().runs, 0u);
	// The pool has no demand for what the limit of the team does not let run: 8 tasks of 3 cores
	EXPECT_EQ(cell.Demand("pool", 0, 100, 1002, cWallMs).in_time.cpu_milli, cLimit);
	const std::optional<ShareQuestion> question = cell.AskShares(1003, cWallMs);
	ASSERT_TRUE(question.has_value());
	EXPECT_EQ(question->claims.at(0).wanted.cpu_milli, 24000);
	cell.OnShares({question->number, 1, {{"a", {cLimit, 0, 0}}}}, 1005);
	cell.Plan(1006, cWallMs);
	EXPECT_EQ(cell.Counts().runs, 3u);
	// The runs that the next owner finds in the log count as used, and give it no share
	std::vector<KeyedRecord> batch = cell.TakeBatch(cWallMs);
	Cell successor(CellTuning{});
	successor.SetCatalogue(std::make_shared<const Catalogue>(Limited(cLimit)));
	for (const KeyedRecord &record : batch)
		EXPECT_TRUE(successor.Restore(record.key, record.value));
	successor.Begin(2, 2000);
	const std::optional<ShareQuestion> next = successor.AskShares(2001, cWallMs);
	ASSERT_TRUE(next.has_value());
	EXPECT_EQ(next->claims.at(0).used.cpu_milli, 9000);
	EXPECT_EQ(next->claims.at(0).held.cpu_milli, 0);
}

} // namespace Loomreach::Jobs
