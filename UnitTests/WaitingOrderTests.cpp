// The order of waiting jobs while more work arrives than a pool can do.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Random.h>
#include <Loomreach/Schedule/WaitingOrder.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

constexpr int64 cPoolMilli = 100'000;
constexpr int64 cPassMs = 50;
constexpr int64 cRunMs = 800;
/// Between the start of a job's tasks and the time at which its end is known.
constexpr int64 cDelayMs = 150;
constexpr int64 cSlackMs = 1400;

/// One job of one step: takes its capacity for the run time once started.
struct Arrival
{
	int64 at = 0;
	std::string team;
	int64 cpu_milli = 0;
	int64 started_at = -1;

	int64 Due() const { return this->at + cRunMs + cSlackMs; }
	bool InTime() const { return this->started_at >= 0 && this->started_at + cRunMs + cDelayMs <= this->Due(); }
};

/// Arrivals of one team at a mean load, thousandths of a core, from `inFrom` to `inTo`.
void AddArrivals(std::vector<Arrival> &ioArrivals, const std::string &inTeam, int64 inLoadMilli, int64 inFrom, int64 inTo, Random &ioRandom)
{
	int64 owed = 0;
	for (int64 at = inFrom; at < inTo; at += cPassMs)
		for (owed += inLoadMilli * cPassMs / cRunMs; owed > 0;)
		{
			const int64 cpu = 1000 + static_cast<int64>(ioRandom.Below(4000));
			ioArrivals.push_back({at, inTeam, cpu});
			owed -= cpu;
		}
}

/// Plans the arrivals on a pool of fixed capacity. `inDefers`: with the rules for a pool that is short of capacity.
void Play(std::vector<Arrival> &ioArrivals, bool inDefers, const TeamWeight &inWeight)
{
	const std::string pool = "pool";
	bool is_short = false;
	for (int64 now = 0; now < 20'000; now += cPassMs)
	{
		int64 free = cPoolMilli;
		std::vector<WaitingJob> waiting;
		PoolState state{cPoolMilli, inDefers && is_short, {}};
		for (Arrival &arrival : ioArrivals)
		{
			if (arrival.at > now)
				continue;
			if (arrival.started_at >= 0)
			{
				const int64 left = std::max<int64>(arrival.started_at + cRunMs + cDelayMs - now, 0);
				free -= left > 0 ? arrival.cpu_milli : 0;
				state.started_work[arrival.team] += arrival.cpu_milli * left / 1000;
				continue;
			}
			WaitingJob job;
			job.job = reinterpret_cast<CellJob *>(&arrival);
			job.pool = pool;
			job.team = arrival.team;
			job.has_deadline = true;
			job.deferrable = true;
			job.due_wall_ms = arrival.Due();
			job.earliest_end_wall_ms = now + cRunMs;
			job.work = arrival.cpu_milli * cRunMs / 1000;
			job.order_key = job.due_wall_ms;
			job.outlook = job.earliest_end_wall_ms <= job.due_wall_ms ? EDeadlineOutlook::InTime : EDeadlineOutlook::Late;
			waiting.push_back(job);
		}
		OrderWaitingJobs(waiting, {{pool, state}}, inWeight, now);
		is_short = false;
		for (const WaitingJob &job : waiting)
		{
			Arrival &arrival = *reinterpret_cast<Arrival *>(job.job);
			is_short = is_short || arrival.cpu_milli > free;
			if (arrival.cpu_milli > free)
				continue;
			free -= arrival.cpu_milli;
			arrival.started_at = now;
		}
	}
}

double ShareInTime(const std::vector<Arrival> &inArrivals, const std::function<bool(const Arrival &)> &inWhich)
{
	double all = 0.0;
	double in_time = 0.0;
	for (const Arrival &arrival : inArrivals)
		if (inWhich(arrival))
		{
			all += 1.0;
			in_time += arrival.InTime() ? 1.0 : 0.0;
		}
	return in_time / all;
}

int64 EqualWeight(std::string_view) { return 1; }

WaitingJob JobDueIn(int64 inDueMs, int64 inWork)
{
	WaitingJob job;
	job.pool = "pool";
	job.has_deadline = true;
	job.deferrable = true;
	job.due_wall_ms = inDueMs;
	job.order_key = inDueMs;
	job.work = inWork;
	return job;
}

} // namespace

/// Guards against an order by due time alone, in which each job starts when its slack is used up and is then late.
TEST(WaitingOrder, TwiceTheWorkThatAPoolCanDoLeavesHalfOfItInTime)
{
	const auto overload = [](const Arrival &inArrival) { return inArrival.at >= 2000 && inArrival.at < 8000; };
	for (uint64 seed = 1; seed <= 5; ++seed)
	{
		Random random(seed);
		std::vector<Arrival> arrivals;
		AddArrivals(arrivals, "team", cPoolMilli / 2, 0, 2000, random);
		AddArrivals(arrivals, "team", cPoolMilli * 2, 2000, 8000, random);
		std::vector<Arrival> by_due_time = arrivals;
		Play(by_due_time, false, EqualWeight);
		Play(arrivals, true, EqualWeight);
		EXPECT_LT(ShareInTime(by_due_time, overload), 0.5) << seed;
		EXPECT_GT(ShareInTime(arrivals, overload), 0.5) << seed;
	}
}

/// Guards against jobs that are deferred and then never started.
TEST(WaitingOrder, DeferredJobsAreStillStarted)
{
	Random random(7);
	std::vector<Arrival> arrivals;
	AddArrivals(arrivals, "team", cPoolMilli * 2, 0, 4000, random);
	Play(arrivals, true, EqualWeight);
	for (const Arrival &arrival : arrivals)
		EXPECT_GE(arrival.started_at, 0);
}

/// Guards against a team that sends ten times its usual load and thereby makes the jobs of other teams late.
TEST(WaitingOrder, AFloodOfOneTeamLeavesTheOthersInTime)
{
	for (uint64 seed = 1; seed <= 5; ++seed)
	{
		const auto play = [seed](bool inFlood)
		{
			Random random(seed);
			std::vector<Arrival> arrivals;
			for (int team = 0; team < 9; ++team)
				AddArrivals(arrivals, "team" + std::to_string(team), cPoolMilli / 13, 0, 12'000, random);
			if (inFlood)
				AddArrivals(arrivals, "flood", cPoolMilli * 10 / 13, 2000, 10'000, random);
			Play(arrivals, true, EqualWeight);
			return arrivals;
		};
		const std::vector<Arrival> calm = play(false);
		const std::vector<Arrival> flooded = play(true);
		for (int team = 0; team < 9; ++team)
		{
			const auto of_team = [team](const Arrival &inArrival) { return inArrival.team == "team" + std::to_string(team); };
			EXPECT_GT(ShareInTime(flooded, of_team), ShareInTime(calm, of_team) - 0.02) << seed << " team " << team;
		}
	}
}

/// Guards against a change of the order where there is room for all jobs.
TEST(WaitingOrder, APoolWithRoomKeepsTheOrderByDueTime)
{
	std::vector<WaitingJob> jobs = {JobDueIn(300, 9'000'000), JobDueIn(100, 1), JobDueIn(200, 9'000'000)};
	EXPECT_EQ(OrderWaitingJobs(jobs, {{"pool", {1000, false, {}}}}, EqualWeight, 0), 0u);
	EXPECT_EQ(jobs[0].due_wall_ms, 100);
	EXPECT_EQ(jobs[1].due_wall_ms, 200);
	EXPECT_EQ(jobs[2].due_wall_ms, 300);
}

/// Guards against deferring jobs whose capacity is already in use, or that have no due time.
TEST(WaitingOrder, StartedJobsAndJobsWithoutADeadlineAreNotDeferred)
{
	WaitingJob started = JobDueIn(1000, 9'000'000);
	started.deferrable = false;
	WaitingJob lasting = JobDueIn(0, 9'000'000);
	lasting.has_deadline = false;
	std::vector<WaitingJob> jobs = {started, lasting, JobDueIn(1000, 500)};
	EXPECT_EQ(OrderWaitingJobs(jobs, {{"pool", {1000, true, {}}}}, EqualWeight, 0), 1u);
	for (const WaitingJob &job : jobs)
		EXPECT_EQ(job.outlook == EDeadlineOutlook::Late, job.work == 500);
}

/// Guards against deferring many small jobs for one large one.
TEST(WaitingOrder, TheLargestJobIsDeferredFirst)
{
	std::vector<WaitingJob> jobs = {JobDueIn(1000, 100), JobDueIn(1100, 900), JobDueIn(1200, 100), JobDueIn(1300, 100)};
	EXPECT_EQ(OrderWaitingJobs(jobs, {{"pool", {1000, true, {}}}}, EqualWeight, 0), 1u);
	EXPECT_EQ(jobs.back().work, 900);
}

} // namespace Loomreach::Jobs
