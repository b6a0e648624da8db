// What the world's workers do with orders, runs and crashes, and the users' rules that they judge.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/TaskText.h>
#include <UnitTests/CellWorld.h>

namespace Loomreach::Jobs
{

/// Room that has shrunk binds starts after `cContactMs` and a heartbeat (the users' rule).
static constexpr Millis cBeatMs = 1500;
/// A crashed worker's entry stays for three heartbeats of 1.5 s (the users' figures).
static constexpr Millis cEntryStaysMs = 4500;
/// A task is not started for the third time after this many workers have crashed under it (the users' rule).
static constexpr uint32 cCrashesBorne = 3;
static constexpr uint32 cStartsTooMany = 3;
/// An address is another life's this soon (the users' `addrReuseS`).
static constexpr Millis cReuseMs = 2000;
/// An end counts as taken note of this long after it was listed (the users' rule).
static constexpr Millis cListedMs = 100;
/// A cancelled job's runs are to be gone this long after the cancel (the users' figures: `cancel_ms`, and `contactMs` for a run that began
/// later), and the time of a stop (0.4 s, or 0.9 s) on top. Two messages and two steps of the world come to it.
/// A start reaches a zone no later than this after its evacuation: the longest standstill of an owner that keeps its cell.
static constexpr Millis cEvacuateMs = 1500;
static constexpr Millis cCancelMs = 3000;
static constexpr Millis cContactMs = 3000;
static constexpr Millis cStopMs = 400;
static constexpr Millis cSlowStopMs = 900;
static constexpr Millis cStopSlackMs = 50;
/// A worker cuts a longer lease down to this (the users' `maxHoldMs`).
static constexpr Millis cMostLeaseMs = 10000;
/// A life's clock begins anywhere below this.
static constexpr uint64 cMostClockBaseMs = 8'000'000;
/// A worker that starts again under its id does so soon, or up to this much later.
static constexpr uint64 cSoonBackMs = 300;
static constexpr uint64 cLateBackMs = 5000;

Resources WorldWorker::BindingRoom(Millis inNow) const
{
	return this->shrunk_at >= 0 && inNow < this->shrunk_at + cContactMs + cBeatMs ? this->room_before : this->capacity;
}

void CellWorld::Crash(WorldWorker &ioWorker, bool inCloses, Millis inBackMs)
{
	for (const auto &[id, work] : ioWorker.running)
		if (work.crashes_at >= 0 && this->now >= work.crashes_at)
			++this->crashes_under[id.task];
	ioWorker.crashed = true;
	ioWorker.running.clear();
	ioWorker.closes = inCloses;
	ioWorker.back_at = this->now + inBackMs;
	ioWorker.listed_until = this->now + cEntryStaysMs;
}

void CellWorld::Restart(WorldWorker &ioWorker, bool inCloses, Millis inBackMs)
{
	this->Crash(ioWorker, inCloses, inBackMs);
	ioWorker.keeps_id = true;
}

void CellWorld::StartAgain(WorldWorker &ioWorker)
{
	WorldWorker life(ioWorker.id, {cWorldCpuMilli, 32768, 0}, ioWorker.slow);
	life.rack = ioWorker.rack;
	life.born = this->now;
	life.clock_base = static_cast<Millis>(this->life_random.Below(cMostClockBaseMs));
	life.contact_since = this->now;
	ioWorker = std::move(life);
}

uint32 CellWorld::CrashesUnder(const TaskId &inTask) const
{
	auto found = this->crashes_under.find(inTask);
	return found == this->crashes_under.end() ? 0 : found->second;
}

std::string CellWorld::Broken() const
{
	std::string text;
	for (const std::string &line : this->broken)
		text += line + '\n';
	return text;
}

std::string CellWorld::GivenUp() const
{
	std::string given_up;
	for (const auto &[id, spec] : this->specs)
		if (this->Shown(id).phase == EJobPhase::Failed && !this->crash_after_ms.contains(id))
			given_up += "given up: " + id + '\n';
	return given_up;
}

void CellWorld::CrashByRuns()
{
	std::vector<std::string> crashing;
	std::vector<std::string> back;
	for (const auto &[id, worker] : this->workers)
	{
		for (const auto &[run, work] : worker.running)
			if (work.crashes_at >= 0 && this->now >= work.crashes_at && (crashing.empty() || crashing.back() != id))
				crashing.push_back(id);
		if (worker.crashed && this->now == worker.back_at)
			back.push_back(id);
	}
	for (const std::string &id : crashing)
	{
		const Millis back_ms =
			this->back_after_ms > 0 ? this->back_after_ms : cWorldStepMs * (50 + static_cast<Millis>(this->random.Below(300)));
		this->Crash(this->workers.at(id), true, back_ms);
		this->workers.at(id).keeps_id = this->crashed_keep_ids;
	}
	for (const std::string &id : back)
	{
		WorldWorker &old = this->workers.at(id);
		if (old.keeps_id)
		{
			this->StartAgain(old);
			continue;
		}
		const std::string next = "w" + std::to_string(this->next_worker++);
		WorldWorker life(next, old.capacity, old.slow);
		life.rack = old.rack;
		this->workers.emplace(next, std::move(life));
	}
}

std::optional<OrderAnswer> CellWorld::AnswerOfGone(const WorldWorker &inWorker) const
{
	OrderAnswer answer;
	const bool is_next = inWorker.back_at >= 0 && this->now >= inWorker.back_at;
	if (is_next || (inWorker.reused_at >= 0 && this->now >= inWorker.reused_at))
		answer.result = EOrderResult::OtherLife;
	else if (inWorker.closes || !inWorker.crashed)
		answer = OrderAnswer{EOrderResult::NotSent, -1, {}, {}, false, true};
	else
		return std::nullopt;
	return answer;
}

void CellWorld::EndLife(WorldWorker &ioWorker)
{
	ioWorker.crashed = true;
	ioWorker.running.clear();
	if (this->trouble.reused)
		ioWorker.reused_at = this->now + cReuseMs;
	if (this->trouble.returns > 0 && this->life_random.Chance(this->trouble.returns))
	{
		this->Restart(ioWorker, true, this->UntilBack());
		// It leaves by plan: its entry goes with it
		ioWorker.listed_until = -1;
		return;
	}
	const std::string next = "w" + std::to_string(this->next_worker++);
	this->workers.emplace(next, WorldWorker(next, {cWorldCpuMilli, 32768, 0}, ioWorker.slow));
}

void CellWorld::Pass(WorldWorker &ioWorker)
{
	if (ioWorker.crashed)
		return;
	const bool lapsed = ioWorker.Clock(this->now) > ioWorker.until;
	std::vector<std::pair<RunId, ERunEnd>> over;
	for (const auto &[id, work] : ioWorker.running)
	{
		if (lapsed)
			over.emplace_back(id, ERunEnd::Lapsed);
		else if (work.stops_at >= 0 && this->now >= work.stops_at)
			over.emplace_back(id, ERunEnd::Stopped);
		else if (work.ends_at >= 0 && this->now >= work.ends_at)
			over.emplace_back(id, work.fails ? ERunEnd::Failed : ERunEnd::Done);
	}
	for (const auto &[id, end] : over)
		this->End(ioWorker, id, end);
	if (lapsed)
		ioWorker.void_below = ioWorker.next_number;
}

void CellWorld::End(WorldWorker &ioWorker, const RunId &inRun, ERunEnd inEnd)
{
	ioWorker.running.erase(inRun);
	if (inEnd == ERunEnd::Done)
		this->done_ever.insert(inRun.task);
	this->ended_at[{ioWorker.Life(), ioWorker.next_number}] = this->now;
	ioWorker.ended.push_back({ioWorker.next_number++, inRun.task, inRun.run, inEnd, ""});
	uint32 &highest = ioWorker.highest_over[inRun.task];
	highest = std::max(highest, inRun.run);
}

OrderAnswer CellWorld::CarryOut(WorldWorker &ioWorker, const Order &inOrder)
{
	OrderAnswer answer;
	answer.clock_ms = ioWorker.Clock(this->now);
	if (inOrder.token < ioWorker.token)
	{
		answer.result = EOrderResult::StaleToken;
		return answer;
	}
	ioWorker.token = inOrder.token;
	if (inOrder.until_ms >= 0)
		ioWorker.until = std::max(ioWorker.until, std::min(inOrder.until_ms, answer.clock_ms + cMostLeaseMs));
	const RunId id{inOrder.task, inOrder.run};
	answer.result = EOrderResult::Done;
	switch (inOrder.kind)
	{
	case EOrder::Start: return this->CarryOutStart(ioWorker, inOrder);
	case EOrder::Stop:
	{
		uint32 &highest = ioWorker.highest_over[inOrder.task];
		highest = std::max(highest, inOrder.run);
		auto running = ioWorker.running.find(id);
		Millis takes = this->stop_takes;
		if (this->Hits(this->trouble.slow_stop))
			takes = 400 + static_cast<Millis>(this->random.Below(500));
		if (running != ioWorker.running.end() && takes > 0 && running->second.stops_at < 0)
			running->second.stops_at = this->now + takes;
		else if (running != ioWorker.running.end() && running->second.stops_at < 0)
			this->End(ioWorker, id, ERunEnd::Stopped);
		break;
	}
	case EOrder::Hold: return this->Look(ioWorker, inOrder);
	case EOrder::Pace: break;
	}
	return answer;
}

void CellWorld::Note(const WorldWorker &inWorker, const EndedRow &inRow)
{
	if (inRow.end == ERunEnd::Failed)
		++this->failures_noted[inRow.task];
	if (inRow.end != ERunEnd::Done)
		return;
	this->done_noted.insert(inRow.task);
	// It binds from the end on, also where the note comes later
	const StepSpec &step = this->specs.at(inRow.task.job).steps[inRow.task.step];
	if (!step.may_copy && this->last_start[inRow.task] > this->ended_at[{inWorker.Life(), inRow.number}])
		this->Break("started after an end done, noted later: " + TaskText(inRow.task) + " on " + inWorker.id +
					this->last_start_meant[inRow.task]);
}

std::string CellWorld::StoryOf(const ListedEnd &inEnd) const
{
	auto ended = this->owners_ended.find(inEnd.owner);
	return "listed at " + std::to_string(inEnd.at) + ", " +
		   (inEnd.read_at < 0 ? "never read" : "read at " + std::to_string(inEnd.read_at)) + ", its owner " +
		   (ended == this->owners_ended.end() ? "is at work" : ended->second);
}

bool CellWorld::IsNoted(const ListedEnd &inEnd) const
{
	auto ended = this->owners_ended.find(inEnd.owner);
	const bool killed = ended != this->owners_ended.end() && ended->second.starts_with(cKilled);
	const bool excused = this->unread_excused && killed && inEnd.read_at < 0;
	return !excused && this->now > inEnd.at + cListedMs;
}

void CellWorld::NoteRead(const Parcel &inAnswer)
{
	for (const EndedRow &row : inAnswer.answer.ended)
	{
		auto listed = this->listed_done.find(row.task);
		if (listed != this->listed_done.end() && listed->second.owner == inAnswer.owner && listed->second.read_at < 0)
			listed->second.read_at = this->now;
	}
}

OrderAnswer CellWorld::Look(WorldWorker &ioWorker, const Order &inOrder)
{
	OrderAnswer answer;
	answer.clock_ms = ioWorker.Clock(this->now);
	answer.born_ms = ioWorker.born;
	answer.result = EOrderResult::Done;
	for (const EndedRow &row : ioWorker.ended)
		if (row.number >= ioWorker.void_below && row.number <= inOrder.last_seen)
			this->Note(ioWorker, row);
	std::erase_if(ioWorker.ended, [&](const EndedRow &inRow) { return inRow.number <= inOrder.last_seen; });
	for (const auto &[run, work] : ioWorker.running)
	{
		const Millis whole = std::max<Millis>(1, work.ends_at - work.began_at);
		const int64 percent = work.ends_at < 0 ? 100 : (this->now - work.began_at) * 100 / whole;
		answer.running.push_back({run.task, run.run, "", percent, 0});
	}
	answer.ended = ioWorker.ended;
	answer.partial = this->trouble.ends_page > 0 && answer.ended.size() >= this->trouble.ends_page;
	if (answer.partial)
		answer.ended.resize(this->trouble.ends_page);
	for (const EndedRow &row : answer.ended)
		if (this->trouble.listing_counts && row.end == ERunEnd::Done && row.number >= ioWorker.void_below)
			this->listed_done.emplace(row.task, ListedEnd{this->now, EpochOf(inOrder.token), -1});
	return answer;
}

Millis CellWorld::UntilBack()
{
	const uint64 most = this->life_random.Chance(50) ? cSoonBackMs : cLateBackMs;
	return cWorldStepMs * static_cast<Millis>(2 + this->life_random.Below(most / cWorldStepMs));
}

void CellWorld::AnswerWaiting(WorldWorker &ioWorker)
{
	for (size_t i = 0; i < this->waiting.size();)
	{
		const WaitingLook &waiting_look = this->waiting[i];
		const bool here = waiting_look.look.order.worker == ioWorker.id;
		const auto is_news = [&waiting_look](const EndedRow &inRow) { return inRow.number > waiting_look.look.order.last_seen; };
		const bool news = std::any_of(ioWorker.ended.begin(), ioWorker.ended.end(), is_news);
		const bool lost = ioWorker.crashed || ioWorker.Life() != waiting_look.life;
		if (!here || (!lost && !news && this->now < waiting_look.until))
		{
			++i;
			continue;
		}
		Parcel back = waiting_look.look;
		back.is_answer = true;
		back.at = this->now + 1 + static_cast<Millis>(this->life_random.Below(15));
		if (lost)
			back.answer = OrderAnswer{EOrderResult::Unknown, -1, {}, {}, false, true};
		else
			back.answer = this->Look(ioWorker, back.order);
		// A dark host says nothing, also of what waited there
		if (!lost || ioWorker.closes || !ioWorker.crashed)
			this->parcels.push_back(std::move(back));
		this->waiting.erase(this->waiting.begin() + static_cast<std::ptrdiff_t>(i));
	}
}

OrderAnswer CellWorld::CarryOutStart(WorldWorker &ioWorker, const Order &inOrder)
{
	OrderAnswer answer;
	answer.clock_ms = ioWorker.Clock(this->now);
	answer.result = EOrderResult::Done;
	const RunId id{inOrder.task, inOrder.run};
	if (ioWorker.running.contains(id))
		return answer;
	auto over = ioWorker.highest_over.find(inOrder.task);
	if (over != ioWorker.highest_over.end() && inOrder.run <= over->second)
	{
		answer.result = EOrderResult::StaleRun;
		return answer;
	}
	if (inOrder.until_ms <= ioWorker.Clock(this->now))
	{
		answer.result = EOrderResult::TooLate;
		return answer;
	}
	this->CheckStart(ioWorker, inOrder);
	++this->starts;
	this->starts_after_cancel += this->canceled.contains(inOrder.task.job) ? 1 : 0;
	this->last_start[inOrder.task] = this->now;
	this->last_start_meant[inOrder.task] = this->MeantFor(ioWorker);
	const StepSpec &step = this->specs.at(inOrder.task.job).steps[inOrder.task.step];
	WorldWorker::Work work;
	work.room = step.need;
	work.began_at = this->now;
	work.meant_for = this->MeantFor(ioWorker);
	const Millis takes = this->run_ms.contains(inOrder.task.job)
							 ? this->run_ms.at(inOrder.task.job)
							 : (200 + static_cast<Millis>(this->random.Below(2000))) * ioWorker.slow_factor;
	work.ends_at = step.lasting ? -1 : this->now + takes;
	work.fails = this->random.Chance(this->trouble.failing);
	auto crashes = this->crash_after_ms.find(inOrder.task.job);
	work.crashes_at = crashes == this->crash_after_ms.end() ? -1 : this->now + crashes->second;
	ioWorker.running.emplace(id, work);
	return answer;
}

void CellWorld::CheckCanceled(WorldWorker &ioWorker)
{
	// An owner that stands still tells nobody, and one that has never seen a worker's entry does not know its address
	const bool has_address = !this->needs_address || ioWorker.shown_to == this->epoch;
	if (this->cell == nullptr || this->Stands() || this->now < ioWorker.cut_until || !has_address)
		ioWorker.contact_since = std::max(ioWorker.contact_since, this->now);
	const Millis stop = std::max(this->slow_stops ? cSlowStopMs : cStopMs, this->stop_takes);
	for (auto &[id, work] : ioWorker.running)
	{
		auto canceled = this->canceled.find(id.task.job);
		if (canceled == this->canceled.end() || ioWorker.crashed || work.blamed)
			continue;
		const Millis due = std::max({canceled->second + cCancelMs, work.began_at + cContactMs, ioWorker.contact_since + cContactMs});
		if (this->now <= due + stop + cStopSlackMs)
			continue;
		work.blamed = true;
		this->Break("runs on after its job's cancel at " + std::to_string(canceled->second) + ": " + TaskText(id.task) + " run " +
					std::to_string(id.run) + " on " + ioWorker.id + ", begun at " + std::to_string(work.began_at));
	}
}

std::string CellWorld::MeantFor(const WorldWorker &inWorker) const
{
	if (this->meant_for == inWorker.Life())
		return "";
	return " (meant for " + this->meant_for + ", carried out by " + inWorker.Life() + ')';
}

void CellWorld::CheckStart(const WorldWorker &inWorker, const Order &inOrder)
{
	const std::string what =
		TaskText(inOrder.task) + " run " + std::to_string(inOrder.run) + " on " + inWorker.id + this->MeantFor(inWorker);
	const JobSpec &spec = this->specs.at(inOrder.task.job);
	const StepSpec &step = spec.steps[inOrder.task.step];
	// Room
	Resources used = step.need;
	uint32 beside = 1;
	std::string strays;
	for (const auto &[id, work] : inWorker.running)
	{
		strays += work.meant_for;
		used.Add(work.room);
		beside += id.task.job == inOrder.task.job && id.task.step == inOrder.task.step ? 1 : 0;
	}
	auto closed = this->evacuated.find(inWorker.availability_zone);
	if (closed != this->evacuated.end() && this->now > closed->second + cEvacuateMs)
		this->Break("in a zone that was evacuated at " + std::to_string(closed->second) + ": " + what);
	if (!used.FitsInto(inWorker.BindingRoom(this->now)))
		this->Break("no room for " + what + strays);
	if (step.max_per_worker > 0 && beside > step.max_per_worker)
		this->Break("too many beside each other: " + what);
	// One run at a time
	for (const auto &[id, worker] : this->workers)
		for (const auto &[run, work] : worker.running)
			if (run.task == inOrder.task && !worker.crashed && !step.may_copy)
				this->Break("two runs at once: " + what + work.meant_for);
	if (this->done_noted.contains(inOrder.task))
		this->Break("start after done: " + what);
	auto listed = this->listed_done.find(inOrder.task);
	if (!step.may_copy && listed != this->listed_done.end() && this->IsNoted(listed->second))
		this->Break("start after an end done was listed: " + what + " (" + this->StoryOf(listed->second) + ")");
	if (!step.lasting && this->failures_noted[inOrder.task] >= spec.max_attempts)
		this->Break("attempts used up: " + what);
	// It binds owners in touch: neither they nor the store were disturbed for `cContactMs` (the users' rule)
	const bool in_touch = this->now - this->disturbed_at >= cContactMs;
	if (in_touch && this->CrashesUnder(inOrder.task) >= cCrashesBorne && ++this->starts_after_three[inOrder.task] >= cStartsTooMany)
		this->Break("crashes its workers, and started again: " + what);
	// Steps in order
	for (uint32 before : step.after)
		for (uint32 index = 0; index < spec.steps[before].count; ++index)
			if (!this->done_ever.contains(TaskId{inOrder.task.job, inOrder.task.round, before, index}))
				this->Break("step out of order: " + what);
	if (inOrder.payload != spec.payload)
		this->Break("another payload: " + what);
}

} // namespace Loomreach::Jobs
