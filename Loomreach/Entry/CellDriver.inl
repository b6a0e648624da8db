// Driver of one cell: claim, inbox, planning, log and orders.

#include <Loomreach/State/Codec.h>

namespace Loomreach::Jobs
{

inline constexpr Millis cStepDelayMs = 20;      ///< Batches updates that arrive together into one planning step.
inline constexpr Millis cTickMs = 50;           ///< Resolution of the cell's timers.
inline constexpr Millis cAppendIntervalMs = 35; ///< Minimum time between two appends: each append is a call that is charged for.
/// An append takes no longer than this on the host's link: a fraction of the time between two heartbeats, which wait behind it.
inline constexpr Millis cMaxAppendTransferMs = 100;
/// Planning pauses while the starts that are not sent yet take this long on the host's link. Starts must be ready whenever the link is
/// free, although each waits for an append first.
inline constexpr Millis cStartBacklogMs = 300;
inline constexpr size_t cMinBatchBytes = 16000;   ///< Appends may be this long on any link: a few jobs with their payloads.
inline constexpr size_t cMaxWatchedBytes = 16384; ///< Appends up to this size show whether the store is slow.
inline constexpr double cSlowStepMs = 200.0;      ///< Slower steps are logged: half of the time that a lease leaves between heartbeats.
/// Long-poll time of inbox reads. Bounds the age of the information behind a "no such job" answer.
inline constexpr Millis cInboxReadWaitMs = 1000;
inline constexpr Millis cInboxRetryMs = 150;
/// Nothing is started when the inbox has not been read for this long: a cancellation must take effect within 3 s (the strictest limit).
/// Leaves time to repeat one lost read.
inline constexpr Millis cInboxStaleMs = 2500;

/// Wall clock, ms since 1970.
inline int64 WallMillis() { return g_get_real_time() / 1000; }

inline CellTuning CellTuningOf(const JobHostConfig &inConfig)
{
	CellTuning tuning;
	tuning.lease_ms = inConfig.worker_lease_ms;
	tuning.max_lease_ms = inConfig.worker_lease_ms;
	tuning.worker_lease_cap_ms = inConfig.worker_max_lease_ms;
	tuning.demand_hold_ms = inConfig.demand_hold_ms;
	const LinkUsage link(inConfig.link_mbit_per_s);
	tuning.batch_bytes = std::min(tuning.batch_bytes, std::max(link.BytesIn(cMaxAppendTransferMs), cMinBatchBytes));
	tuning.start_backlog_bytes = link.BytesIn(cStartBacklogMs);
	tuning.keep_ended_ms = inConfig.keep_ended_ms + inConfig.keep_ended_ms / 4;
	tuning.log_partitions = static_cast<uint32>(inConfig.log_partitions);
	tuning.records_name_queues = inConfig.records_name_queues != 0;
	return tuning;
}

/// The same for a driver: without a way to ask other cells queues do not move.
inline CellTuning CellTuningOf(const DriverContext &inContext)
{
	CellTuning tuning = CellTuningOf(inContext.config);
	if (!inContext.ask_cell)
		tuning.log_partitions = 0;
	return tuning;
}

template <class Hub>
CellDriver<Hub>::CellDriver(Hub &inHub, const DriverContext &inContext, uint32 inCell)
	: hub(inHub), context(inContext), number(inCell),
	  log(inHub.store, CellLog(inCell, static_cast<uint32>(inContext.config.log_partitions)), inContext.process),
	  cell(CellTuningOf(inContext))
{
}

template <class Hub>
void CellDriver<Hub>::Claim(uint64 inHeartbeatNumber, const OnOwnership &inDone)
{
	this->on_ownership = inDone;
	this->log.Claim(
		inHeartbeatNumber,
		[this](const ClaimRecord &inSeen)
		{
			const Millis now = NowMillis();
			if (inSeen.epoch != 0 && inSeen.by.incarnation != this->context.process.incarnation)
				this->context.owners.OnClaimSeen(this->number, inSeen, now);
			return this->context.lease.MayAct(now) && this->context.owners.IsFree(this->number, now);
		},
		this->Guard(
			[this](bool inWon, const typename OwnedLog<Store>::Records &inRecords)
			{
				if (inWon)
					this->Begin(inRecords);
				// The callback may destroy this object
				const OnOwnership done = this->on_ownership;
				done(inWon);
			}));
}

template <class Hub>
void CellDriver<Hub>::Begin(const typename OwnedLog<Store>::Records &inRecords)
{
	size_t damaged = 0;
	for (const auto &[key, value] : inRecords)
		damaged += this->cell.Restore(key, value) ? 0 : 1;
	this->cell.Begin(this->log.Epoch(), NowMillis(), this->number);
	this->held = true;
	this->claimed_at = NowMillis();
	const CellCounts figures = this->cell.Counts();
	LogEvent(ELogLevel::Info, "cell_owned")
		.Field("cell", this->number)
		.Field("epoch", this->log.Epoch())
		.Field("records", inRecords.size())
		.Field("damaged", damaged)
		.Field("jobs", figures.jobs)
		.Field("runs", figures.runs)
		.Field("inbox_next", this->cell.InboxNext());
	this->tick.Every(cTickMs, [this] { this->Step(); });
	this->ReadInbox();
}

template <class Hub>
void CellDriver<Hub>::SetEvacuated(const std::set<std::string> &inZones)
{
	this->cell.SetEvacuated(inZones, NowMillis());
	this->closure.SetEvacuated(inZones);
}

template <class Hub>
void CellDriver<Hub>::SetWorkers(const std::vector<WorkerEntry> &inWorkers, Millis inTrustUntil)
{
	std::vector<WorkerEntry> own_workers;
	for (const WorkerEntry &worker : inWorkers)
		if (CellOf(worker.pool, static_cast<uint32>(this->context.config.log_partitions)) == this->number)
			own_workers.push_back(worker);
	const Millis now = NowMillis();
	this->cell.SetWorkers(own_workers, now, inTrustUntil);
	this->closure.SetWorkers(own_workers, now < inTrustUntil);
	this->ScheduleStep(cStepDelayMs);
}

template <class Hub>
void CellDriver<Hub>::ReadInbox()
{
	const Millis sent_at = NowMillis();
	const LogName inbox = InboxLog(this->number, static_cast<uint32>(this->context.config.log_partitions));
	this->hub.store.Read(inbox, false, this->cell.InboxNext(), cInboxReadWaitMs,
						 this->Guard(
							 [this, sent_at](ReadAnswer inAnswer)
							 {
								 // One read returns at most 1 MB; more than that may have accumulated while the cell had no owner
								 if (inAnswer.result == ERead::Done && inAnswer.next >= inAnswer.end)
									 // An empty answer was held back for the whole long-poll time
									 this->inbox_read_at =
										 std::min(NowMillis(), sent_at + (inAnswer.records.empty() ? cInboxReadWaitMs : 0));
								 this->OnInbox(std::move(inAnswer));
							 }));
}

template <class Hub>
void CellDriver<Hub>::OnInbox(ReadAnswer inAnswer)
{
	if (inAnswer.result == ERead::Failed)
		return this->inbox_retry_timer.Once(cInboxRetryMs, [this] { this->ReadInbox(); });
	const Millis now = NowMillis();
	for (const LogRecord &record : inAnswer.records)
	{
		const std::optional<InboxRecord> decoded = DecodeInboxRecord(record.value);
		if (!decoded.has_value())
			LogEvent(ELogLevel::Error, "inbox_damaged").Field("cell", this->number).Field("offset", record.offset);
		this->cell.Ingest(decoded.value_or(InboxRecord{EInbox::Cancel, {}}), record.offset, now, WallMillis());
	}
	if (inAnswer.result == ERead::Gone)
	{
		LogEvent(ELogLevel::Error, "inbox_gone")
			.Field("cell", this->number)
			.Field("from", this->cell.InboxNext())
			.Field("first", inAnswer.first);
		this->cell.SkipInbox(inAnswer.first);
	}
	if (!inAnswer.records.empty())
		this->ScheduleStep(cStepDelayMs);
	this->ReadInbox();
}

template <class Hub>
void CellDriver<Hub>::ScheduleStep(Millis inDelayMs)
{
	if (!this->step_timer.IsRunning())
		this->step_timer.Once(inDelayMs, [this] { this->Step(); });
}

template <class Hub>
void CellDriver<Hub>::Step()
{
	const Millis now = NowMillis();
	// Without the lease another owner may already be acting on this cell
	if (!this->MayAct(now))
		return;
	this->CheckInboxFreshness(now);
	const double began = NowMillisExact();
	this->cell.Plan(now, WallMillis());
	const double planned = NowMillisExact();
	this->context.metrics.Observe(ETiming::Plan, planned - began);
	this->SendOrders();
	this->ReplicateEnds();
	this->FollowMoves(now);
	this->AskShares(now);
	const double sent = NowMillisExact();
	this->Write();
	const double written = NowMillisExact();
	if (written - began > cSlowStepMs)
		LogEvent(ELogLevel::Warning, "step_slow")
			.Field("cell", this->number)
			.Field("plan_ms", static_cast<int64>(planned - began))
			.Field("send_ms", static_cast<int64>(sent - planned))
			.Field("write_ms", static_cast<int64>(written - sent));
	for (const AdviceRequest &question : this->cell.TakeAdvice())
		this->hub.adviser.Ask(question, this->Guard(
											[this, question](const AdviceAnswer &inAnswer)
											{
												this->cell.OnAdvice(question, inAnswer, NowMillis());
												this->ScheduleStep(cStepDelayMs);
											}));
}

template <class Hub>
Millis CellDriver<Hub>::StartsUntil() const
{
	return std::max(this->inbox_read_at, this->claimed_at) + cInboxStaleMs;
}

template <class Hub>
void CellDriver<Hub>::CheckInboxFreshness(Millis inNow)
{
	// Checked separately from appends: the store may accept appends while reads fail
	const bool fresh = inNow < this->StartsUntil();
	if (fresh != this->inbox_fresh)
		LogEvent(ELogLevel::Warning, fresh ? "inbox_read_again" : "inbox_unread")
			.Field("cell", this->number)
			.Field("read_ms_ago", inNow - std::max(this->inbox_read_at, this->claimed_at));
	this->inbox_fresh = fresh;
	this->cell.SetInboxFresh(fresh);
}

template <class Hub>
void CellDriver<Hub>::FollowMoves(Millis inNow)
{
	for (const MoveQuestion &move : this->cell.Placements().TakeQuestions(inNow))
	{
		PeerQuestion question;
		question.kind = EQuestion::QueueMoved;
		question.record = EncodeValue(move);
		this->context.ask_cell(move.former, std::move(question),
							   this->Guard(
								   [this, move](const std::optional<PeerAnswer> &inAnswer)
								   {
									   const bool is_owner = inAnswer.has_value() && inAnswer->owner;
									   this->cell.Placements().OnAnswer(
										   move, is_owner ? DecodeValue<MoveAnswer>(inAnswer->record) : std::nullopt, NowMillis());
									   this->ScheduleStep(cStepDelayMs);
								   }));
	}
	for (const RedirectedRecord &redirected : this->cell.Placements().TakeRedirected())
		this->context.append_inbox(redirected.cell, EncodeInboxRecord(redirected.record),
								   redirected.record.kind == EInbox::Submit ? EInboxPriority::Bulk : EInboxPriority::Control,
								   this->Guard([this, number = redirected.number](bool inDone)
											   { this->cell.Placements().OnRedirected(number, inDone, NowMillis()); }));
}

template <class Hub>
void CellDriver<Hub>::AskShares(Millis inNow)
{
	if (this->awaited_shares != 0 || inNow < this->cell.NextSharesAt())
		return;
	std::optional<ShareQuestion> shares = this->cell.AskShares(inNow, WallMillis());
	if (!shares.has_value())
		return;
	PeerQuestion question;
	question.kind = EQuestion::Shares;
	question.cell = cFleetCell;
	this->awaited_shares = shares->number;
	question.shares = std::move(*shares);
	this->context.ask_fleet(std::move(question), this->Guard(
													 [this, number = this->awaited_shares](const std::optional<PeerAnswer> &inAnswer)
													 {
														 if (this->awaited_shares == number)
															 this->awaited_shares = 0;
														 if (!inAnswer.has_value() || !inAnswer->owner)
															 return;
														 this->cell.OnShares(inAnswer->shares, NowMillis());
														 this->ScheduleStep(cStepDelayMs);
													 }));
}

template <class Hub>
void CellDriver<Hub>::OnFleetOwner(uint64 inFleetEpoch)
{
	if (!this->held || !this->cell.OnFleetOwner(inFleetEpoch))
		return;
	// The question in flight went to the previous owner, and would be awaited until its timeout
	this->awaited_shares = 0;
	this->ScheduleStep(0);
}

template <class Hub>
void CellDriver<Hub>::Write()
{
	if (this->log.IsBusy() || !this->cell.HasUnwrittenChanges())
		return;
	// Behind a backlog an append would wait anyway; meanwhile more changes of a job go into one record
	const Millis interval = cAppendIntervalMs + (this->context.link == nullptr ? 0 : this->context.link->BacklogMs(NowMillis()));
	const Millis since = NowMillis() - this->log.LastSentAt();
	if (since < interval)
		return this->ScheduleStep(interval - since);
	std::vector<LogRecord> records;
	for (KeyedRecord &record : this->cell.TakeBatch(WallMillis()))
		records.push_back({std::move(record.key), std::move(record.value), 0});
	if (records.empty())
		return this->SendOrders();
	size_t bytes = 0;
	for (const LogRecord &record : records)
		bytes += record.key.size() + record.value.size();
	// Longer appends may take as long on a fast store, since a host's link has 10 Mbit/s
	std::shared_ptr<void> watch = bytes <= cMaxWatchedBytes && this->context.watch_append ? this->context.watch_append() : nullptr;
	this->log.Append(std::move(records), this->Guard(
											 [this, watch = std::move(watch)](bool inDone)
											 {
												 if (!inDone)
												 {
													 LogEvent(ELogLevel::Warning, "cell_lost")
														 .Field("cell", this->number)
														 .Field("why", "another owner has claimed the cell with a higher epoch");
													 this->held = false;
													 const OnOwnership on_lost = this->on_ownership;
													 return on_lost(false);
												 }
												 this->cell.OnAppended(NowMillis());
												 this->SendOrders();
												 this->ScheduleStep(cStepDelayMs);
											 }));
}

template <class Hub>
void CellDriver<Hub>::SendOrders()
{
	// One start is always sent, so that other traffic on the link cannot hold all of them back
	const size_t start_bytes =
		this->context.link == nullptr ? std::numeric_limits<size_t>::max() : std::max<size_t>(this->context.link->Room(NowMillis()), 1);
	for (Order &order : this->cell.TakeOrders(NowMillis(), start_bytes))
	{
		order.not_after = this->context.lease.Until();
		if (order.kind == EOrder::Start)
			order.not_after = std::min(order.not_after, this->StartsUntil());
		// The lease is checked again before each order: the process may have been paused since the previous one
		const Millis sent_at = NowMillis();
		if (!this->MayAct(sent_at))
		{
			OrderAnswer answer;
			answer.result = EOrderResult::NotSent;
			this->cell.OnAnswer(order, answer, sent_at, sent_at);
			continue;
		}
		this->context.send_order(order, this->Guard(
											[this, order, sent_at](const OrderAnswer &inAnswer)
											{
												this->context.metrics.Count(ECounter::Orders, NameOf(cOrderResultNames, inAnswer.result));
												this->cell.OnAnswer(order, inAnswer, sent_at, NowMillis());
												this->ReplicateEnds();
												this->ScheduleStep(cStepDelayMs);
											}));
	}
}

template <class Hub>
void CellDriver<Hub>::ReplicateEnds()
{
	while (const std::optional<RunEndsUpdate> update = this->cell.TakeEndsUpdate(NowMillis()))
		if (this->context.replicate_ends)
			this->context.replicate_ends(*update);
}

template <class Hub>
void CellDriver<Hub>::AddQueueStatus(const PeerQuestion &inQuestion, Millis inNow, PeerAnswer &ioAnswer) const
{
	if (this->cell.Placements().IsUndecided(inQuestion.id, inNow))
		ioAnswer.inbox_current = false;
	const QueueStatus status = this->cell.Placements().StatusOf(inQuestion.key_hash);
	// Most queues have never moved, and an answer for them carries nothing more
	if (!status.current || status.version < inQuestion.version || !status.others.empty())
		ioAnswer.record = EncodeValue(status);
}

template <class Hub>
PeerAnswer CellDriver<Hub>::Answer(const PeerQuestion &inQuestion)
{
	const Millis now = NowMillis();
	PeerAnswer answer;
	answer.owner = this->MayAct(now);
	if (!answer.owner)
		return answer;
	answer.inbox_current = this->inbox_read_at >= 0 && now - this->inbox_read_at < 2 * cInboxReadWaitMs;
	switch (inQuestion.kind)
	{
	case EQuestion::Show:
	{
		const JobAnswer job = this->cell.Query(inQuestion.queue, inQuestion.id, inQuestion.key_hash);
		answer.known = job.known;
		if (!job.known)
			this->AddQueueStatus(inQuestion, now, answer);
		answer.other_team = job.known && IsOtherTeam(job.team, inQuestion.team);
		answer.phase = job.phase;
		break;
	}
	case EQuestion::Count:
		answer.waiting = this->cell.Waiting(inQuestion.queue, inQuestion.key_hash);
		this->AddQueueStatus(inQuestion, now, answer);
		break;
	case EQuestion::QueueMoved:
		if (const std::optional<MoveQuestion> move = DecodeValue<MoveQuestion>(inQuestion.record))
			answer.record = EncodeValue(this->cell.OnQueueMoved(*move, now, WallMillis()));
		this->ScheduleStep(cStepDelayMs);
		break;
	case EQuestion::Demand:
		this->cell.OnWorkersRemoved(inQuestion.departed, now);
		answer.demand = this->cell.Demand(inQuestion.id, inQuestion.count, inQuestion.for_ms, now, WallMillis());
		break;
	case EQuestion::Shares:      // Answered by the fleet driver
	case EQuestion::AppendInbox: // Answered by the host itself; any host may append to an inbox
	case EQuestion::StoreReach:
	case EQuestion::Owners:
	case EQuestion::Forward: break;
	case EQuestion::Drain: answer.drained = this->cell.DrainWorker(inQuestion.id, inQuestion.for_ms, now); break;
	}
	return answer;
}

} // namespace Loomreach::Jobs
