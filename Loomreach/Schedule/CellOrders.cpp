// Orders to workers and the handling of their answers. What run ends mean for jobs is in CellEnds.cpp.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Invariant.h>
#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Schedule/Cell.h>
#include <Loomreach/Schedule/TaskText.h>

namespace Loomreach::Jobs
{

/// An unanswered stop is sent again after this.
static constexpr Millis cStopRetryMs = 500;
/// A stop takes a round trip and what the worker needs to end the run. What is still there after this is logged.
static constexpr Millis cStopOverdueMs = 1000;

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

std::string_view Cell::WhyNotDispatched(const CellWorker &inWorker, const RunId &inRun, Millis inNow)
{
	if (!this->inbox_fresh)
		return "its job may have been cancelled since the inbox was read";
	const CellJob *job = this->FindJob(inRun.task.job);
	const TaskRecord *task = this->FindTask(inRun.task);
	if (job == nullptr || IsFinal(job->record.phase) || task == nullptr || task->done)
		return "its task or job has ended";
	// The next incarnation may be of another kind, and its ticket would be refused
	auto run = inWorker.runs.find(inRun);
	if (run != inWorker.runs.end() && run->second.planned_for != inWorker.incarnation_number)
		return "the worker has started again since the run was planned";
	// The worker may report less capacity than when the run was planned
	if (!Resources{}.FitsInto(inWorker.Free()))
		return "the worker has less room than when the run was planned";
	if (this->IsEvacuated(inWorker))
		return "its zone is evacuated";
	const bool quarantine_run = inWorker.consecutive_failures >= cFailuresToQuarantine && inWorker.listed && !inWorker.entry.draining;
	return this->CanAcceptRuns(inWorker, inNow) || quarantine_run ? "" : "the worker accepts no runs now";
}

std::map<TaskId, size_t> Cell::DispatchableMembers(const std::vector<RunId> &inRuns, Millis inNow)
{
	std::map<TaskId, size_t> members;
	for (const RunId &id : inRuns)
	{
		const CellJob *job = this->FindJob(id.task.job);
		if (job == nullptr || !job->spec.steps[id.task.step].gang)
			continue;
		auto worker = this->workers.find(this->start_workers[id]);
		const bool is_placed = worker != this->workers.end() && worker->second.runs.contains(id);
		// Adds the entry even if the member cannot be dispatched, since it marks the task as a gang
		members[{id.task.job, id.task.round, id.task.step, 0}] +=
			is_placed && this->WhyNotDispatched(worker->second, id, inNow).empty() ? 1 : 0;
	}
	return members;
}

/// The checkpoint to start a task from. The members of a gang are dispatched together and must all bring the same one; any member's will
/// do.
static const std::string &CheckpointToStartFrom(const CellJob &inJob, const TaskId &inTask)
{
	const std::vector<TaskRecord> &tasks = inJob.record.steps[inJob.Unit(inTask.round, inTask.step)].tasks;
	const std::string &own = tasks[inTask.index].checkpoint;
	if (!inJob.spec.steps[inTask.step].gang)
		return own;
	const auto saved = std::find_if(tasks.begin(), tasks.end(), [](const TaskRecord &inMember) { return !inMember.checkpoint.empty(); });
	return saved == tasks.end() ? own : saved->checkpoint;
}

std::vector<Order> Cell::TakeOrders(Millis inNow, size_t inStartBytes)
{
	this->now = inNow;
	std::vector<Order> orders;
	std::vector<RunId> to_start = std::move(this->to_start);
	this->to_start.clear();
	const std::map<TaskId, size_t> members = this->DispatchableMembers(to_start, inNow);
	size_t start_bytes = 0;
	std::set<TaskId> gangs_begun;
	for (const RunId &id : to_start)
	{
		const TaskId gang{id.task.job, id.task.round, id.task.step, 0};
		if (start_bytes >= inStartBytes && !gangs_begun.contains(gang))
		{
			this->to_start.push_back(id);
			continue;
		}
		const std::string worker_id = this->start_workers[id];
		this->start_workers.erase(id);
		auto found = this->workers.find(worker_id);
		CellJob *job = this->FindJob(id.task.job);
		if (found == this->workers.end() || !found->second.runs.contains(id))
			continue;
		CellWorker &worker = found->second;
		// Conditions may have changed during the append. The worker has not seen the run, so it can be dropped
		std::string_view why = this->WhyNotDispatched(worker, id, inNow);
		const auto counted = members.find(gang);
		if (why.empty() && counted != members.end() && counted->second < job->spec.steps[id.task.step].count)
			why = "another member of the gang cannot be dispatched";
		if (!why.empty())
		{
			this->run_events.AddDropped(id, why);
			this->DropRun(worker, id);
			continue;
		}
		Run &run = worker.runs.at(id);
		this->run_events.AddDispatched(id);
		run.state = ERunState::Starting;
		run.since = inNow;
		Order order = this->NewOrder(EOrder::Start, worker, inNow);
		order.task = id.task;
		order.run = id.run;
		order.payload = job->spec.payload;
		order.checkpoint = CheckpointToStartFrom(*job, id.task);
		run.resumed = !order.checkpoint.empty();
		order.ticket = run.ticket;
		order.until_ms = worker.ClockAt(inNow) + this->leases.LeaseToGrant();
		worker.granted_until_ms = std::max(worker.granted_until_ms, order.until_ms);
		run.start_expires_at = order.until_ms;
		run.start_pending_until = inNow + cMaxOrderDelayMs;
		worker.leases_pending_until = run.start_pending_until;
		worker.lease_expires_at = std::max(worker.lease_expires_at, inNow + LongestLease(this->leases.LeaseToGrant()));
		start_bytes += order.payload.size() + order.checkpoint.size() + cStartOverheadBytes;
		if (counted != members.end())
			gangs_begun.insert(gang);
		orders.push_back(std::move(order));
	}
	for (auto &[id, worker] : this->workers)
	{
		this->TakeStops(worker, inNow, orders);
		this->TakePoll(worker, inNow, orders);
	}
	for (Order &order : this->throttle_orders)
		orders.push_back(std::move(order));
	this->throttle_orders.clear();
	this->run_events.FlushOrders();
	return orders;
}

void Cell::TakeStops(CellWorker &ioWorker, Millis inNow, std::vector<Order> &outOrders)
{
	// Known from the log only and not listed yet, so without an address
	const bool has_address = ioWorker.entry.address.port != 0;
	for (auto &[id, run] : ioWorker.runs)
	{
		if (run.state == ERunState::Stopping && !run.overdue_logged && inNow - run.since >= cStopOverdueMs)
			this->LogOverdueStop(ioWorker, id, run, inNow);
		if (!has_address)
			continue;
		const bool due = run.state == ERunState::Stopping && !run.stop_sent && run.stop_acked_at < 0 && inNow >= run.next_stop_at;
		// Other tasks may have become unavailable since the stop was decided or last sent
		if (!due || !this->MaySendStop(ioWorker, id, run, inNow))
			continue;
		Order order = this->NewOrder(EOrder::Stop, ioWorker, inNow);
		order.task = id.task;
		order.run = id.run;
		run.stop_sent = true;
		++run.stops_sent;
		outOrders.push_back(std::move(order));
	}
}

void Cell::LogOverdueStop(const CellWorker &inWorker, const RunId &inId, Run &ioRun, Millis inNow)
{
	ioRun.overdue_logged = true;
	++this->totals.overdue_stops;
	const CellJob *job = this->FindJob(inId.task.job);
	LogEvent(ELogLevel::Warning, "stop_overdue")
		.Field("request", inId.task.job)
		.Field("task", TaskText(inId.task))
		.Field("run", inId.run)
		.Field("worker", inWorker.entry.id)
		.Field("phase", job == nullptr ? "unknown" : NameOf(cJobPhaseNames, job->record.phase))
		.Field("stopping_ms", inNow - ioRun.since)
		.Field("sent", ioRun.stops_sent)
		.Field("in_flight", ioRun.stop_sent ? 1 : 0)
		.Field("acked_ms_ago", ioRun.stop_acked_at < 0 ? -1 : inNow - ioRun.stop_acked_at)
		.Field("confirmed_ms_ago", ioRun.confirmed_at < 0 ? -1 : inNow - ioRun.confirmed_at)
		.Field("inherited", ioRun.inherited ? 1 : 0)
		.Field("has_address", inWorker.entry.address.port != 0 ? 1 : 0)
		.Field("listed", inWorker.listed ? 1 : 0)
		.Field("draining", inWorker.entry.draining ? 1 : 0)
		.Field("reachable", inWorker.reachable ? 1 : 0)
		.Field("answer_ms_ago", inWorker.last_answer_at < 0 ? -1 : inNow - inWorker.last_answer_at)
		.Field("lease_left_ms", inWorker.lease_expires_at - inNow)
		.Field("cell", this->run_events.Cell())
		.Field("epoch", this->epoch);
}

void Cell::TakePoll(CellWorker &ioWorker, Millis inNow, std::vector<Order> &outOrders)
{
	// Minimum gap, also after a long poll that was answered early
	const Millis gap = Cell::HasJustStartedTrial(ioWorker) ? this->tuning.min_trial_poll_gap_ms : this->tuning.min_poll_gap_ms;
	if (inNow < ioWorker.last_poll_at + gap)
		return;
	// See CanHandOver
	if (this->retiring && !ioWorker.listed)
		return;
	if (ioWorker.poll_in_flight || ioWorker.ended || ioWorker.entry.address.port == 0 || inNow < ioWorker.next_poll_at)
		return;
	bool has_dispatched = false;
	bool has_unverified = false;
	bool short_wait = false;
	bool has_latency_sensitive = false;
	bool has_long_running = false;
	bool has_best_effort = false;
	bool has_trial = false;
	for (const auto &[id, run] : ioWorker.runs)
	{
		has_dispatched = has_dispatched || IsDispatched(run.state);
		has_unverified =
			has_unverified || run.state == ERunState::Unconfirmed || run.state == ERunState::Inherited || run.state == ERunState::Stopping;
		has_unverified = has_unverified || (run.long_running && run.percent < 100);
		has_trial = has_trial || (run.trial == ETrial::Start && ioWorker.open_trials > 0);
		has_latency_sensitive = has_latency_sensitive || run.latency_sensitive;
		has_long_running = has_long_running || run.long_running;
		has_best_effort = has_best_effort || run.best_effort;
	}
	// During a drain the state of long-running tasks elsewhere must be known
	short_wait = (has_latency_sensitive && has_best_effort) || (has_long_running && this->draining_until > inNow);
	const bool unlogged = ioWorker.recorded_seq > ioWorker.logged_seq;
	const bool first = ioWorker.clock_ms < 0 || !ioWorker.reachable;
	// Polls even without runs: ends count as acknowledged only once the worker has answered, and its host may be about to be removed
	const bool unacknowledged = ioWorker.logged_seq > ioWorker.acked_seq && ioWorker.reachable;
	const bool needs_poll =
		has_dispatched || unlogged || unacknowledged || (first && ioWorker.listed) || ioWorker.poll_once || ioWorker.restart_suspected;
	if (!needs_poll)
		return;
	Order order = this->NewOrder(EOrder::Poll, ioWorker, inNow);
	// Another incarnation reuses the same numbers. So ends are acknowledged only to a worker that was just heard, by a poll that does not
	// wait
	const bool acknowledges = unacknowledged && !ioWorker.restart_suspected;
	order.acknowledged_end = acknowledges ? ioWorker.logged_seq : 0;
	if (acknowledges && ioWorker.logged_seq > ioWorker.sent_ack_seq)
	{
		this->run_events.AddAcknowledged(ioWorker.entry.id, ioWorker.sent_ack_seq + 1, ioWorker.logged_seq,
										 inNow - ioWorker.ends_logged_at);
		ioWorker.sent_ack_seq = ioWorker.logged_seq;
	}
	// Leases are extended only for a worker that answers; otherwise they would never expire
	if (has_dispatched && ioWorker.clock_ms >= 0 && ioWorker.reachable)
	{
		order.until_ms = ioWorker.ClockAt(inNow) + this->leases.LeaseToGrant();
		ioWorker.granted_until_ms = std::max(ioWorker.granted_until_ms, order.until_ms);
		ioWorker.leases_pending_until = inNow + cMaxOrderDelayMs;
		ioWorker.lease_expires_at = std::max(ioWorker.lease_expires_at, inNow + LongestLease(this->leases.LeaseToGrant()));
	}
	const bool immediate =
		first || unlogged || has_unverified || acknowledges || ioWorker.restart_suspected || ioWorker.ends_truncated || !has_dispatched;
	if (!immediate)
		order.wait_ms = short_wait ? this->tuning.short_poll_wait_ms : this->tuning.poll_wait_ms;
	// Other starts wait until the trial run has survived its start, and a pending long poll shows a crash at once
	if (has_trial)
		order.wait_ms = std::min(order.wait_ms, this->tuning.trial_poll_wait_ms);
	ioWorker.poll_in_flight = true;
	ioWorker.newest_poll = order.serial;
	ioWorker.poll_once = false;
	ioWorker.last_poll_at = inNow;
	ioWorker.next_poll_at = inNow + (immediate ? this->tuning.poll_retry_ms : 0);
	outOrders.push_back(std::move(order));
}

void Cell::RecordContact(CellWorker &ioWorker, const OrderAnswer &inAnswer, bool inAnswered, Millis inNow)
{
	// An answer on behalf of another incarnation does not show that this one is up
	if (inAnswered && inAnswer.result != EOrderResult::OtherIncarnation)
	{
		ioWorker.last_answer_at = inNow;
		ioWorker.connections_closed_at = -1;
		ioWorker.unanswered_since = -1;
	}
	if (inAnswer.connection_closed && ioWorker.connections_closed_at < 0)
	{
		ioWorker.connections_closed_at = inNow;
		if (ioWorker.open_trials > 0)
			this->PollRack(ioWorker, inNow);
	}
	const bool unanswered = inAnswer.result == EOrderResult::Unknown && !inAnswer.connection_closed;
	if (unanswered && ioWorker.connections_closed_at < 0 && ioWorker.unanswered_since < 0)
		ioWorker.unanswered_since = inNow;
}

void Cell::LogReachable(const CellWorker &inWorker, const OrderAnswer &inAnswer, bool inReachable, Millis inSilentMs)
{
	LogEvent(inReachable ? ELogLevel::Info : ELogLevel::Warning, inReachable ? "worker_answers" : "worker_silent")
		.Field("worker", inWorker.entry.id)
		.Field("result", NameOf(cOrderResultNames, inAnswer.result))
		.Field("closed", inAnswer.connection_closed ? 1 : 0)
		.Field("runs", inWorker.runs.size())
		.Field("silent_ms", inSilentMs)
		.Field("unanswered_polls", inWorker.unanswered_polls)
		.Field("granted_until_ms", inWorker.granted_until_ms)
		.Field("clock_ms", inAnswer.clock_ms)
		.Field("cell", this->run_events.Cell())
		.Field("epoch", this->epoch);
}

void Cell::OnAnswer(const Order &inOrder, const OrderAnswer &inAnswer, Millis inSentAt, Millis inNow)
{
	this->now = inNow;
	auto found = this->workers.find(inOrder.worker);
	if (found == this->workers.end())
		return;
	CellWorker &worker = found->second;
	if (inOrder.token != this->TokenFor(worker) || this->DetectNewIncarnation(worker, inOrder, inAnswer, inSentAt, inNow))
		return this->OnPreviousIncarnationAnswer(worker, inOrder, inAnswer, inNow);
	if (inOrder.kind == EOrder::Poll && inOrder.serial == worker.newest_poll)
		worker.poll_in_flight = false;
	const bool answered = inAnswer.result != EOrderResult::Unknown && inAnswer.result != EOrderResult::NotSent;
	const Millis silent_ms = worker.last_answer_at < 0 ? -1 : inNow - worker.last_answer_at;
	// If another incarnation may have answered, the answer does not show that this one is up
	this->RecordContact(worker, inAnswer, answered && !worker.restart_suspected, inNow);
	if (answered && inAnswer.clock_ms >= 0 && !worker.restart_suspected)
	{
		worker.clock_ms = inAnswer.clock_ms;
		worker.clock_read_at = inNow;
		worker.clock_order_sent_at = inSentAt;
	}
	// Only a poll shows that a worker is healthy again; any order may show that it is not
	const bool well = answered && inAnswer.result != EOrderResult::Unhealthy;
	if (inOrder.kind == EOrder::Poll || !answered)
	{
		worker.unanswered_polls += inOrder.kind == EOrder::Poll && !answered ? 1 : 0;
		if (worker.reachable != well)
			this->LogReachable(worker, inAnswer, well, silent_ms);
		worker.reachable = well;
		worker.unanswered_polls = answered ? 0 : worker.unanswered_polls;
		if (!well)
			worker.next_poll_at = inNow + this->tuning.poll_retry_ms;
	}
	if (inAnswer.result == EOrderResult::OtherIncarnation)
	{
		// The other incarnation has not accepted it
		if (inOrder.kind == EOrder::Start)
			this->EndRun(worker, {inOrder.task, inOrder.run}, ERunEnd::Stopped, "", "its address is another life's", inNow);
		this->OnIncarnationEnded(worker, "its address is another life's", inNow);
		return;
	}
	if (inAnswer.result == EOrderResult::Done && !worker.restart_suspected)
		this->NoteTokenSeen(worker, inNow);
	switch (inOrder.kind)
	{
	case EOrder::Start: this->OnStartAnswer(worker, inOrder, inAnswer, inNow); break;
	case EOrder::Stop: this->OnStopAnswer(worker, inOrder, inAnswer, inNow); break;
	case EOrder::Poll: this->OnPollAnswer(worker, inOrder, inAnswer, inSentAt, inNow); break;
	case EOrder::Throttle:
	{
		auto run = worker.runs.find({inOrder.task, inOrder.run});
		if (run != worker.runs.end())
			run->second.throttle_in_flight = false;
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
	if (inAnswer.result != EOrderResult::Unknown)
		run.start_pending_until = 0;
	const bool open = run.state == ERunState::Starting || run.state == ERunState::Unconfirmed;
	// The poll in flight tells which incarnation has the run
	if (inAnswer.result == EOrderResult::Done && ioWorker.restart_suspected)
	{
		if (open)
		{
			run.state = ERunState::Unconfirmed;
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
			this->MarkChanged(*job);
		}
		// An immediately answered poll may have delayed the next one, but a crash in a trial run is evidence only if it is seen at once
		const bool on_trial = run.trial != ETrial::None;
		if (on_trial || (ioWorker.next_poll_at < inNow && !ioWorker.poll_in_flight))
			ioWorker.next_poll_at = inNow;
		return;
	}
	LogEvent(ELogLevel::Warning, "start_refused")
		.Field("request", inOrder.task.job)
		.Field("task", TaskText(inOrder.task))
		.Field("run", inOrder.run)
		.Field("worker", inOrder.worker)
		.Field("result", NameOf(cOrderResultNames, inAnswer.result))
		.Field("cell", this->run_events.Cell())
		.Field("epoch", this->epoch);
	if (inAnswer.result == EOrderResult::Unknown || inAnswer.result == EOrderResult::StaleRun)
	{
		// The order may still be carried out. A stale run may have started and ended, with an end that the worker lists. Either way the run
		// keeps its resources reserved until the worker reports
		if (open)
		{
			run.state = ERunState::Unconfirmed;
			run.since = inNow;
			// A stale run cannot start any more; only its end may follow
			if (inAnswer.result == EOrderResult::StaleRun)
				run.start_expires_at = 0;
		}
		ioWorker.next_poll_at = inNow;
		return;
	}
	// A ticket that was issued for a previous incarnation would be refused repeatedly
	if (CellJob *job = this->FindJob(inOrder.task.job); job != nullptr && inAnswer.result == EOrderResult::NoTicket)
		job->advice[job->Unit(inOrder.task.round, inOrder.task.step)].tickets.erase(inOrder.worker);
	if (inAnswer.result == EOrderResult::Unhealthy || inAnswer.result == EOrderResult::NoCapacity)
		ioWorker.backoff_until = inNow + this->tuning.refusal_backoff_ms;
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
	run.next_stop_at = inNow + cStopRetryMs;
	// From now on the run is either listed as ended or absent for good
	if (inAnswer.result == EOrderResult::Done || inAnswer.result == EOrderResult::StaleRun)
		run.stop_acked_at = inNow;
	if (!ioWorker.poll_in_flight)
		ioWorker.next_poll_at = inNow;
}

void Cell::OnPollAnswer(CellWorker &ioWorker, const Order &inOrder, const OrderAnswer &inAnswer, Millis inSentAt, Millis inNow)
{
	if (inAnswer.result != EOrderResult::Done)
		return;
	// A newer poll may have been answered first
	if (inOrder.serial != ioWorker.newest_poll)
		return this->ApplyPolledEnds(ioWorker, inAnswer.ended, inNow);
	this->LogRelistedEnds(ioWorker, inAnswer);
	ioWorker.acked_seq = std::max(ioWorker.acked_seq, inOrder.acknowledged_end);
	for (const EndedRun &row : inAnswer.ended)
	{
		if (row.sequence <= ioWorker.recorded_seq)
			continue;
		this->OnEnded(ioWorker, row, EEndSource::Poll, inNow);
		ioWorker.recorded_seq = row.sequence;
		ioWorker.unlogged_ends.push_back(row);
		this->replicator.Add(ioWorker.entry.id, row);
		this->unwritten_changes = true;
	}
	this->run_events.FlushUnmatched(ioWorker.entry.id, inNow - inSentAt);
	std::set<RunId> listed;
	std::vector<RunId> unwanted;
	for (const RunningRun &row : inAnswer.running)
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
		run.start_pending_until = 0;
		const bool confirms = run.state == ERunState::Unconfirmed || run.state == ERunState::Inherited || run.state == ERunState::Starting;
		if (confirms)
		{
			run.crash_counted = false;
			this->ForgetCountedCrash(ioWorker, id, run);
			run.state = ERunState::Confirmed;
			run.since = inNow;
			run.confirmed_at = inNow;
		}
		run.percent = row.percent;
		run.progress_at = inNow;
		this->RecordProgress(ioWorker, id, run, inNow);
		run.measurement = row.measurement;
		TaskRecord *task = this->FindTask(row.task);
		// Kept in memory only; logged with the next change of the record
		if (task != nullptr && !row.checkpoint.empty())
			task->checkpoint = row.checkpoint;
		const CellJob *job = this->FindJob(row.task.job);
		if (job == nullptr || IsFinal(job->record.phase))
			unwanted.push_back(id);
	}
	for (const RunId &id : unwanted)
		this->StopRun(ioWorker, id, "not wanted: its job has ended, or no record has the run", inNow);
	ioWorker.ends_truncated = inAnswer.partial;
	std::vector<RunId> absent;
	for (auto &[id, run] : ioWorker.runs)
	{
		if (listed.contains(id))
			continue;
		const bool was_there = run.state == ERunState::Confirmed && run.confirmed_at < inSentAt;
		const bool stopped = run.state == ERunState::Stopping && run.stop_acked_at >= 0 && run.stop_acked_at < inSentAt;
		// Once the worker has seen this owner's token, it refuses a previous owner's order
		const bool fenced = run.state == ERunState::Inherited && inNow >= run.predecessor_wait_until;
		const bool refused = stopped || fenced || run.state == ERunState::Fenced;
		if (refused && Cell::MayStartLater(ioWorker, run, inNow))
		{
			this->FenceRun(ioWorker, id, run, inNow);
			continue;
		}
		const bool over = was_there || refused;
		// If the list of ends is partial, this run's end may be missing from it
		if (over && !inAnswer.partial)
			absent.push_back(id);
		else if (!over && run.state == ERunState::Unconfirmed && run.since < inSentAt && this->MayStopUnconfirmed(ioWorker, id, run, inNow))
		{
			// The start may still arrive. A stop prevents it for good
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
		if (const Run &run = ioWorker.runs.at(id); run.predecessor_wait_until > 0 && !run.counted_crash.has_value())
			this->CountPreviousCrash(id);
		this->EndRun(ioWorker, id, ERunEnd::Stopped, "", "worker does not have it", inNow);
	}
	// A poll that acknowledges ends does not wait for new ones, so the next poll follows at once
	if (inOrder.acknowledged_end > 0 && ioWorker.recorded_seq == ioWorker.logged_seq)
	{
		ioWorker.last_poll_at = inNow - this->tuning.min_poll_gap_ms;
		ioWorker.next_poll_at = inNow;
	}
	if (inOrder.wait_ms > 0 || ioWorker.recorded_seq == ioWorker.logged_seq)
		ioWorker.next_poll_at = std::max(ioWorker.next_poll_at, inNow);
	if (ioWorker.recorded_seq > ioWorker.logged_seq)
		ioWorker.next_poll_at = inNow + this->tuning.poll_retry_ms;
}

} // namespace Loomreach::Jobs
