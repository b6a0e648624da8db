// Orders to workers and what their answers say. What ends mean for the jobs is in CellEnds.cpp.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Invariant.h>
#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Schedule/Cell.h>
#include <Loomreach/Schedule/TaskText.h>

namespace Loomreach::Jobs
{

/// A stop that got no answer is sent again after this.
static constexpr Millis cStopAgainMs = 500;
Order Cell::NewOrder(EOrder inKind, CellWorker &ioWorker, Millis)
{
	Order order;
	order.kind = inKind;
	order.serial = this->next_serial++;
	order.worker = ioWorker.entry.id;
	order.availability_zone = ioWorker.entry.availability_zone;
	order.address = ioWorker.entry.address;
	order.token = this->TokenFor(ioWorker);
	return order;
}

std::string_view Cell::WhyNotTold(const CellWorker &inWorker, const RunId &inRun, Millis inNow)
{
	if (!this->inbox_fresh)
		return "its job may have been cancelled since the inbox was read";
	const CellJob *job = this->FindJob(inRun.task.job);
	const TaskRecord *task = this->FindTask(inRun.task);
	if (job == nullptr || IsFinal(job->record.phase) || task == nullptr || task->done)
		return "its task or job is over";
	// It may say less of its room than when the run was planned
	if (!Resources{}.FitsInto(inWorker.Free()))
		return "its room has shrunk";
	if (this->IsEvacuated(inWorker))
		return "its zone is evacuated";
	const bool trial = inWorker.failures_in_row >= cFailuresToQuarantine && inWorker.listed && !inWorker.entry.draining;
	return this->CanTake(inWorker, inNow) || trial ? "" : "worker cannot take it now";
}

std::map<TaskId, size_t> Cell::TellableMembers(const std::vector<RunId> &inRuns, Millis inNow)
{
	std::map<TaskId, size_t> members;
	for (const RunId &id : inRuns)
	{
		const CellJob *job = this->FindJob(id.task.job);
		if (job == nullptr || !job->spec.steps[id.task.step].gang)
			continue;
		auto worker = this->workers.find(this->start_workers[id]);
		const bool there = worker != this->workers.end() && worker->second.runs.contains(id);
		// Also with none: the gang is then known to be one
		members[{id.task.job, id.task.round, id.task.step, 0}] += there && this->WhyNotTold(worker->second, id, inNow).empty() ? 1 : 0;
	}
	return members;
}

std::vector<Order> Cell::TakeOrders(Millis inNow)
{
	this->now = inNow;
	std::vector<Order> orders;
	std::vector<RunId> to_start = std::move(this->to_start);
	this->to_start.clear();
	const std::map<TaskId, size_t> members = this->TellableMembers(to_start, inNow);
	for (const RunId &id : to_start)
	{
		const std::string worker_id = this->start_workers[id];
		this->start_workers.erase(id);
		auto found = this->workers.find(worker_id);
		CellJob *job = this->FindJob(id.task.job);
		if (found == this->workers.end() || !found->second.runs.contains(id))
			continue;
		CellWorker &worker = found->second;
		// Things may have changed while the log was written; the worker was not told, so the run simply never was
		const TaskRecord *task = this->FindTask(id.task);
		std::string_view why = this->WhyNotTold(worker, id, inNow);
		const TaskId gang{id.task.job, id.task.round, id.task.step, 0};
		const auto counted = members.find(gang);
		if (why.empty() && counted != members.end() && counted->second < job->spec.steps[id.task.step].count)
			why = "another member cannot be told";
		if (!why.empty())
		{
			this->trail.Dropped(id, why);
			this->DropRun(worker, id);
			continue;
		}
		Run &run = worker.runs.at(id);
		this->trail.Told(id);
		run.state = ERunState::Starting;
		run.since = inNow;
		Order order = this->NewOrder(EOrder::Start, worker, inNow);
		order.task = id.task;
		order.run = id.run;
		order.payload = job->spec.payload;
		order.checkpoint = task->checkpoint;
		run.resumed = !task->checkpoint.empty();
		order.ticket = run.ticket;
		order.until_ms = worker.ClockAt(inNow) + this->leases.ToGive();
		run.void_at = order.until_ms;
		worker.lease_over_at = std::max(worker.lease_over_at, inNow + LongestLease(this->leases.ToGive()));
		orders.push_back(std::move(order));
	}
	for (auto &[id, worker] : this->workers)
	{
		this->TakeStops(worker, inNow, orders);
		this->TakeHold(worker, inNow, orders);
	}
	for (Order &pace : this->paces)
		orders.push_back(std::move(pace));
	this->paces.clear();
	this->trail.FlushOrders();
	return orders;
}

void Cell::TakeStops(CellWorker &ioWorker, Millis inNow, std::vector<Order> &outOrders)
{
	// Found in the log, and not in the worker list yet: a stop would reach nobody
	if (ioWorker.entry.address.port == 0)
		return;
	for (auto &[id, run] : ioWorker.runs)
	{
		const bool due = run.state == ERunState::Stopping && !run.stop_sent && run.stop_acked_at < 0 && inNow >= run.next_stop_at;
		// Others may have gone away since it was decided, or last sent
		if (!due || !this->MaySendStop(ioWorker, id, run, inNow))
			continue;
		Order order = this->NewOrder(EOrder::Stop, ioWorker, inNow);
		order.task = id.task;
		order.run = id.run;
		run.stop_sent = true;
		outOrders.push_back(std::move(order));
	}
}

void Cell::TakeHold(CellWorker &ioWorker, Millis inNow, std::vector<Order> &outOrders)
{
	// A waiting look that has just ended may be followed at once only if it waited
	const Millis gap = Cell::HasYoungTrial(ioWorker) ? this->tuning.trial_gap_ms : this->tuning.hold_gap_ms;
	if (inNow < ioWorker.hold_at + gap)
		return;
	// See CanHandOver
	if (this->retiring && !ioWorker.listed)
		return;
	if (ioWorker.hold_sent || ioWorker.gone || ioWorker.entry.address.port == 0 || inNow < ioWorker.next_hold_at)
		return;
	bool told_runs = false;
	bool doubt = false;
	bool watch = false;
	bool serves = false;
	bool lasts = false;
	bool fills = false;
	bool tries = false;
	for (const auto &[id, run] : ioWorker.runs)
	{
		told_runs = told_runs || IsTold(run.state);
		doubt = doubt || run.state == ERunState::Doubtful || run.state == ERunState::Inherited || run.state == ERunState::Stopping;
		doubt = doubt || (run.lasting && run.percent < 100);
		tries = tries || (run.trial == ETrial::Start && ioWorker.open_trials > 0);
		serves = serves || run.serves;
		lasts = lasts || run.lasting;
		fills = fills || run.fills;
	}
	// While a worker is emptied, what lasts elsewhere must be known to be at work
	watch = (serves && fills) || (lasts && this->emptying_until > inNow);
	const bool unacked = ioWorker.noted > ioWorker.last_seen;
	const bool first = ioWorker.clock_ms < 0 || !ioWorker.reachable;
	// Also with nothing left on it: ends are taken note of once the worker has been told so, and its host may be about to go
	const bool untold = ioWorker.last_seen > ioWorker.forgotten && ioWorker.reachable;
	const bool wanted = told_runs || unacked || untold || (first && ioWorker.listed) || ioWorker.look_once || ioWorker.doubted;
	if (!wanted)
		return;
	Order order = this->NewOrder(EOrder::Hold, ioWorker, inNow);
	// Another life's ends have the same numbers: only a worker that has just been heard is let forget, and by a look that does not wait
	// there
	const bool forgets = untold && !ioWorker.doubted;
	order.last_seen = forgets ? ioWorker.last_seen : 0;
	if (forgets && ioWorker.last_seen > ioWorker.covered)
	{
		this->trail.Covered(ioWorker.entry.id, ioWorker.covered + 1, ioWorker.last_seen, inNow - ioWorker.logged_at);
		ioWorker.covered = ioWorker.last_seen;
	}
	// A lease is extended only for a worker that answers: else it would never be over
	if (told_runs && ioWorker.clock_ms >= 0 && ioWorker.reachable)
	{
		order.until_ms = ioWorker.ClockAt(inNow) + this->leases.ToGive();
		ioWorker.lease_over_at = std::max(ioWorker.lease_over_at, inNow + LongestLease(this->leases.ToGive()));
	}
	const bool look_at_once = first || unacked || doubt || forgets || ioWorker.doubted || ioWorker.more_ends || !told_runs;
	if (!look_at_once)
		order.wait_ms = watch ? this->tuning.watch_wait_ms : this->tuning.hold_wait_ms;
	// Others wait until a run on trial has outlived its start; and a look that waits shows at once when its worker crashes
	if (tries)
		order.wait_ms = std::min(order.wait_ms, this->tuning.trial_wait_ms);
	ioWorker.hold_sent = true;
	ioWorker.newest_look = order.serial;
	ioWorker.look_once = false;
	ioWorker.hold_at = inNow;
	ioWorker.next_hold_at = inNow + (look_at_once ? this->tuning.retry_hold_ms : 0);
	outOrders.push_back(std::move(order));
}

void Cell::NoteContact(CellWorker &ioWorker, const OrderAnswer &inAnswer, bool inAnswered, Millis inNow)
{
	// What answers for another life is not this one
	if (inAnswered && inAnswer.result != EOrderResult::OtherLife)
	{
		ioWorker.last_answer_at = inNow;
		ioWorker.closed_at = -1;
		ioWorker.silent_at = -1;
	}
	if (inAnswer.closed && ioWorker.closed_at < 0)
	{
		ioWorker.closed_at = inNow;
		if (ioWorker.open_trials > 0)
			this->LookAtRack(ioWorker, inNow);
	}
	const bool unheard = inAnswer.result == EOrderResult::Unknown && !inAnswer.closed;
	if (unheard)
		ioWorker.unheard_at = inNow;
	if (unheard && ioWorker.closed_at < 0 && ioWorker.silent_at < 0)
		ioWorker.silent_at = inNow;
}

void Cell::OnAnswer(const Order &inOrder, const OrderAnswer &inAnswer, Millis inSentAt, Millis inNow)
{
	this->now = inNow;
	auto found = this->workers.find(inOrder.worker);
	if (found == this->workers.end())
		return;
	CellWorker &worker = found->second;
	if (inOrder.token != this->TokenFor(worker) || this->IsNextLife(worker, inOrder, inAnswer, inSentAt, inNow))
		return this->OnFormerAnswer(worker, inOrder, inAnswer, inNow);
	if (inOrder.kind == EOrder::Hold && inOrder.serial == worker.newest_look)
		worker.hold_sent = false;
	const bool answered = inAnswer.result != EOrderResult::Unknown && inAnswer.result != EOrderResult::NotSent;
	// An answer that may be another life's says nothing of when this one was last there
	this->NoteContact(worker, inAnswer, answered && !worker.doubted, inNow);
	if (answered && inAnswer.clock_ms >= 0 && !worker.doubted)
	{
		worker.clock_ms = inAnswer.clock_ms;
		worker.clock_at = inNow;
		worker.clock_asked_at = inSentAt;
	}
	// Only a hold proves a worker well again; any order can show that it is not
	const bool well = answered && inAnswer.result != EOrderResult::Unhealthy;
	if (inOrder.kind == EOrder::Hold || !answered)
	{
		if (worker.reachable != well)
			LogEvent(well ? ELogLevel::Info : ELogLevel::Warning, well ? "worker_answers" : "worker_silent")
				.Field("worker", inOrder.worker)
				.Field("result", NameOf(cOrderResultNames, inAnswer.result))
				.Field("closed", inAnswer.closed ? 1 : 0)
				.Field("runs", worker.runs.size())
				.Field("cell", this->trail.Cell())
				.Field("epoch", this->epoch);
		worker.reachable = well;
		if (!well)
			worker.next_hold_at = inNow + this->tuning.retry_hold_ms;
	}
	if (inAnswer.result == EOrderResult::OtherLife)
	{
		// The other life has not taken it up
		if (inOrder.kind == EOrder::Start)
			this->EndRun(worker, {inOrder.task, inOrder.run}, ERunEnd::Stopped, "", "its address is another life's", inNow);
		this->OnLifeOver(worker, "its address is another life's", inNow);
		return;
	}
	switch (inOrder.kind)
	{
	case EOrder::Start: this->OnStartAnswer(worker, inOrder, inAnswer, inNow); break;
	case EOrder::Stop: this->OnStopAnswer(worker, inOrder, inAnswer, inNow); break;
	case EOrder::Hold: this->OnHoldAnswer(worker, inOrder, inAnswer, inSentAt, inNow); break;
	case EOrder::Pace:
	{
		auto run = worker.runs.find({inOrder.task, inOrder.run});
		if (run != worker.runs.end())
			run->second.pace_sent = false;
		break;
	}
	}
}

void Cell::OnStartAnswer(CellWorker &ioWorker, const Order &inOrder, const OrderAnswer &inAnswer, Millis inNow)
{
	const RunId id{inOrder.task, inOrder.run};
	auto found = ioWorker.runs.find(id);
	if (found == ioWorker.runs.end())
		return;
	Run &run = found->second;
	const bool open = run.state == ERunState::Starting || run.state == ERunState::Doubtful;
	// Whichever life has it, the look under way tells
	if (inAnswer.result == EOrderResult::Done && ioWorker.doubted)
	{
		if (open)
		{
			run.state = ERunState::Doubtful;
			run.since = inNow;
		}
		return;
	}
	if (inAnswer.result == EOrderResult::Done)
	{
		if (open)
		{
			run.state = ERunState::Confirmed;
			run.since = inNow;
			run.confirmed_at = inNow;
		}
		CellJob *job = this->FindJob(inOrder.task.job);
		if (job != nullptr && !job->record.begun)
		{
			job->record.begun = true;
			this->Touch(*job);
		}
		// A look that was answered at once may have put off the next one: a crash on trial proves something only if it is seen at once
		const bool tries = run.trial != ETrial::None;
		if (tries || (ioWorker.next_hold_at < inNow && !ioWorker.hold_sent))
			ioWorker.next_hold_at = inNow;
		return;
	}
	LogEvent(ELogLevel::Warning, "start_refused")
		.Field("request", inOrder.task.job)
		.Field("task", TaskText(inOrder.task))
		.Field("run", inOrder.run)
		.Field("worker", inOrder.worker)
		.Field("result", NameOf(cOrderResultNames, inAnswer.result))
		.Field("cell", this->trail.Cell())
		.Field("epoch", this->epoch);
	if (inAnswer.result == EOrderResult::Unknown || inAnswer.result == EOrderResult::StaleRun)
	{
		// It may be carried out yet, or, where it is old, have been and be over, with an end that the worker lists: the run keeps its room
		// until the worker says
		if (open)
		{
			run.state = ERunState::Doubtful;
			run.since = inNow;
			// What is old comes no more: nothing is to be waited for but its end
			if (inAnswer.result == EOrderResult::StaleRun)
				run.void_at = 0;
		}
		ioWorker.next_hold_at = inNow;
		return;
	}
	// Given for a former life, it would be turned away again and again
	if (CellJob *job = this->FindJob(inOrder.task.job); job != nullptr && inAnswer.result == EOrderResult::NoTicket)
		job->advice[job->Unit(inOrder.task.round, inOrder.task.step)].tickets.erase(inOrder.worker);
	if (inAnswer.result == EOrderResult::Unhealthy || inAnswer.result == EOrderResult::NoRoom)
		ioWorker.refuse_until = inNow + this->tuning.refused_pause_ms;
	if (open)
		this->EndRun(ioWorker, id, ERunEnd::Stopped, "", NameOf(cOrderResultNames, inAnswer.result), inNow);
}

void Cell::OnStopAnswer(CellWorker &ioWorker, const Order &inOrder, const OrderAnswer &inAnswer, Millis inNow)
{
	auto found = ioWorker.runs.find({inOrder.task, inOrder.run});
	if (found == ioWorker.runs.end())
		return;
	Run &run = found->second;
	run.stop_sent = false;
	run.next_stop_at = inNow + cStopAgainMs;
	// From here on the run can only be listed as ended, or be absent for good
	if (inAnswer.result == EOrderResult::Done || inAnswer.result == EOrderResult::StaleRun)
		run.stop_acked_at = inNow;
	if (!ioWorker.hold_sent)
		ioWorker.next_hold_at = inNow;
}

void Cell::OnHoldAnswer(CellWorker &ioWorker, const Order &inOrder, const OrderAnswer &inAnswer, Millis inSentAt, Millis inNow)
{
	if (inAnswer.result != EOrderResult::Done)
		return;
	// A newer look may have been answered before this one
	if (inOrder.serial != ioWorker.newest_look)
		return this->TakeEndsOfLook(ioWorker, inAnswer.ended, inNow);
	this->LogPassedOver(ioWorker, inAnswer);
	ioWorker.forgotten = std::max(ioWorker.forgotten, inOrder.last_seen);
	for (const EndedRow &row : inAnswer.ended)
	{
		if (row.number <= ioWorker.noted)
			continue;
		this->OnEnded(ioWorker, row, inNow);
		ioWorker.noted = row.number;
		ioWorker.unlogged.push_back(row);
		this->replicator.Note(ioWorker.entry.id, row);
		this->news = true;
	}
	this->trail.FlushUnmatched(ioWorker.entry.id, inNow - inSentAt);
	std::set<RunId> listed;
	std::vector<RunId> unwanted;
	for (const RunningRow &row : inAnswer.running)
	{
		const RunId id{row.task, row.run};
		listed.insert(id);
		auto found = ioWorker.runs.find(id);
		if (found == ioWorker.runs.end())
		{
			this->LogUnknownRun(ioWorker, row, inSentAt);
			unwanted.push_back(id);
			continue;
		}
		Run &run = found->second;
		const bool proves = run.state == ERunState::Doubtful || run.state == ERunState::Inherited || run.state == ERunState::Starting;
		if (proves)
		{
			run.crash_counted = false;
			run.state = ERunState::Confirmed;
			run.since = inNow;
			run.confirmed_at = inNow;
		}
		run.percent = row.percent;
		run.progress_at = inNow;
		this->NoteProgress(ioWorker, id, run, inNow);
		run.figure = row.figure;
		TaskRecord *task = this->FindTask(row.task);
		// Kept in memory at once; the log gets it with the record's next change
		if (task != nullptr && !row.checkpoint.empty())
			task->checkpoint = row.checkpoint;
		const CellJob *job = this->FindJob(row.task.job);
		if (job == nullptr || IsFinal(job->record.phase))
			unwanted.push_back(id);
	}
	for (const RunId &id : unwanted)
		this->StopRun(ioWorker, id, "not wanted", inNow);
	ioWorker.more_ends = inAnswer.partial;
	std::vector<RunId> absent;
	for (auto &[id, run] : ioWorker.runs)
	{
		if (listed.contains(id))
			continue;
		const bool was_there = run.state == ERunState::Confirmed && run.confirmed_at < inSentAt;
		const bool stopped = run.state == ERunState::Stopping && run.stop_acked_at >= 0 && run.stop_acked_at < inSentAt;
		// A predecessor's order is refused by its token, once the worker has heard ours
		const bool fenced = run.state == ERunState::Inherited && inNow >= run.hand_in_until;
		const bool over = was_there || stopped || fenced;
		// While more ends may follow, one of them may be its own
		if (over && !inAnswer.partial)
			absent.push_back(id);
		else if (!over && run.state == ERunState::Doubtful && run.since < inSentAt && this->MayStopDoubtful(ioWorker, id, run, inNow))
		{
			// It may still come: a stop makes sure that it never does
			LogEvent(ELogLevel::Info, "run_doubted")
				.Field("request", id.task.job)
				.Field("task", TaskText(id.task))
				.Field("run", id.run)
				.Field("worker", ioWorker.entry.id)
				.Field("doubtful_ms", inNow - run.since);
			run.state = ERunState::Stopping;
			run.since = inNow;
		}
	}
	for (const RunId &id : absent)
	{
		if (ioWorker.runs.at(id).hand_in_until > 0)
			this->CountFormerCrash(id);
		this->EndRun(ioWorker, id, ERunEnd::Stopped, "", "worker does not have it", inNow);
	}
	// One that let the worker forget has not waited for ends: the next does, at once
	if (inOrder.last_seen > 0 && ioWorker.noted == ioWorker.last_seen)
	{
		ioWorker.hold_at = inNow - this->tuning.hold_gap_ms;
		ioWorker.next_hold_at = inNow;
	}
	if (inOrder.wait_ms > 0 || ioWorker.noted == ioWorker.last_seen)
		ioWorker.next_hold_at = std::max(ioWorker.next_hold_at, inNow);
	if (ioWorker.noted > ioWorker.last_seen)
		ioWorker.next_hold_at = inNow + this->tuning.retry_hold_ms;
}

} // namespace Loomreach::Jobs
