// Callers' requests, and questions that other entry hosts ask on behalf of callers or cells.

namespace Loomreach::Jobs
{

/// Priority of a record in its inbox: jobs that end make room for those that are submitted.
inline EInboxPriority PriorityOf(EInbox inKind) { return inKind == EInbox::Submit ? EInboxPriority::Bulk : EInboxPriority::Control; }

// ---- Callers ----

template <class Hub>
std::optional<Admission> JobHost<Hub>::Admit(std::string_view inHost, std::string_view inPath, std::string_view inKey, EError &outError)
{
	std::optional<Admission> admission;
	outError = EError::NotReady;
	if (this->catalogue != nullptr)
	{
		admission = this->catalogue->Admit(inHost, inPath, inKey);
		outError = admission.has_value() ? EError::None : LastReason().kind;
	}
	// The key may belong to a configuration that this host has not read yet: the caller should try another host, not get a final refusal
	const bool may_be_behind = NowMillis() - this->operator_read_at > cOperatorStaleMs;
	if (outError == EError::UnknownKey && may_be_behind)
		outError = EError::NotReady;
	if (!admission.has_value())
	{
		this->metrics.Count(ECounter::Refusals, AnswerOf(outError).name);
		LogEvent(ELogLevel::Info, "call_refused")
			.Field("path", inPath)
			.Field("version", this->catalogue == nullptr ? -1 : this->catalogue->version)
			.Field("operator_heard_ms_ago", NowMillis() - this->operator_read_at)
			.Field("outcome", AnswerOf(outError).name);
	}
	return admission;
}

template <class Hub>
void JobHost<Hub>::Answer(const JobReply &inReply, JobOutcome inOutcome)
{
	inOutcome.close_connection = this->stopping;
	this->metrics.Count(ECounter::JobCalls, AnswerOf(inOutcome.error).name);
	if (inOutcome.error != EError::None)
		this->metrics.Count(ECounter::Refusals, AnswerOf(inOutcome.error).name);
	inReply(inOutcome);
}

/// When a caller gets its final answer: shortly before its own deadline.
inline Millis GiveUpAt(const JobCall &inCall)
{
	return NowMillis() + inCall.deadline_ms - std::min(cAnswerMarginMs, inCall.deadline_ms / 4);
}

template <class Hub>
void JobHost<Hub>::Submit(const JobCall &inCall, JobSpec inSpec, JobReply inReply)
{
	const Queue &queue = inCall.admission.queue;
	inSpec.team = inCall.admission.team;
	inSpec.queue = queue.name;
	inSpec.pool = queue.pool;
	inSpec.max_attempts = queue.max_attempts;
	inSpec.priority = queue.priority;
	inSpec.stretch = queue.stretch;
	inSpec.target_ms = queue.target_ms;
	inSpec.advised = queue.advice.has_value();
	inSpec.accepted_wall_ms = WallMillis();
	auto request = std::make_shared<PendingRequest>();
	request->record = {EInbox::Submit, std::move(inSpec)};
	request->cell = CellOf(queue.pool, this->PartitionCount());
	request->key_hash = inCall.admission.key_hash;
	request->give_up_at = GiveUpAt(inCall);
	request->reply = std::move(inReply);
	this->AppendToInbox(std::move(request));
}

template <class Hub>
void JobHost<Hub>::Cancel(const JobCall &inCall, JobReply inReply)
{
	auto request = std::make_shared<PendingRequest>();
	request->record.kind = EInbox::Cancel;
	request->record.spec.id = inCall.id;
	request->record.spec.queue = inCall.admission.queue.name;
	request->record.spec.pool = inCall.admission.queue.pool;
	request->record.spec.team = inCall.admission.team;
	request->cell = CellOf(inCall.admission.queue.pool, this->PartitionCount());
	request->key_hash = inCall.admission.key_hash;
	request->give_up_at = GiveUpAt(inCall);
	request->reply = std::move(inReply);
	this->AppendToInbox(std::move(request));
}

template <class Hub>
void JobHost<Hub>::AppendToInbox(std::shared_ptr<PendingRequest> inRequest)
{
	// The store handles appends to an inbox one by one. While it is slow, one host that appends for all waits for it once; hosts that
	// append separately wait for each other
	if (this->IsSlowFor(inRequest->cell) && !inRequest->owner_unresponsive && this->owners.LastOwnerOf(inRequest->cell).has_value())
		return this->AppendByHelper(inRequest, 0);
	const Millis sent_at = NowMillis();
	// The outcome of an append to an unresponsive store would be unknown. Another host may reach the store; if none does, the caller is
	// refused immediately
	if (this->store_watch.IsUnresponsive(sent_at))
		return this->AppendByHelper(inRequest, 0);
	this->store_watch.OnSent(sent_at);
	const Millis time_left = std::clamp<Millis>(inRequest->give_up_at - sent_at, cMinAppendTimeoutMs, cMaxAppendTimeoutMs);
	InboxWriter<decltype(Hub::store)> &writer = this->WriterOf(inRequest->cell);
	std::string record = EncodeValue(inRequest->record);
	const EInboxPriority priority = PriorityOf(inRequest->record.kind);
	writer.Append(
		std::move(record), time_left,
		[this, request = std::move(inRequest), sent_at](const AppendAnswer &inAnswer) { this->OnAppendAnswer(request, inAnswer, sent_at); },
		priority);
}

template <class Hub>
bool JobHost<Hub>::IsSlowFor(uint32 inCell)
{
	return !this->drivers.contains(inCell) && (this->store_read_latency_ms > cSlowStoreMs || this->WriterOf(inCell).IsSlow());
}

template <class Hub>
InboxWriter<decltype(Hub::store)> &JobHost<Hub>::WriterOf(uint32 inCell)
{
	std::unique_ptr<InboxWriter<decltype(Hub::store)>> &writer = this->writers[inCell];
	if (writer == nullptr)
		writer = std::make_unique<InboxWriter<decltype(Hub::store)>>(this->hub.store, InboxLog(inCell, this->PartitionCount()));
	return *writer;
}

template <class Hub>
void JobHost<Hub>::OnAppendAnswer(const std::shared_ptr<PendingRequest> &inRequest, const AppendAnswer &inAnswer, Millis inSentAt)
{
	if (inAnswer.result == EAppend::Done)
	{
		this->store_answered_at = NowMillis();
		this->store_watch.OnAnswered(inSentAt, this->store_answered_at);
		const bool is_cancel = inRequest->record.kind == EInbox::Cancel;
		LogEvent(ELogLevel::Info, is_cancel ? "cancel_accepted" : "job_accepted")
			.Field("request", inRequest->record.spec.id)
			.Field("queue", inRequest->record.spec.queue)
			.Field("version", this->catalogue->version)
			.Field("cell", inRequest->cell)
			.Field("offset", inAnswer.offset);
		return this->Answer(inRequest->reply, JobOutcome{});
	}
	inRequest->maybe_appended = inRequest->maybe_appended || inAnswer.result == EAppend::Unknown;
	// The store answers other calls of this host, so it loses or delays some: an append by another host would only lengthen its queue
	const bool answers_others = inAnswer.result == EAppend::Unknown && this->store_answered_at >= inSentAt;
	if (answers_others || std::exchange(inRequest->helpers_asked, true))
		return this->RetryOrRefuse(inRequest);
	this->AppendByHelper(inRequest, 0);
}

template <class Hub>
std::vector<Address> JobHost<Hub>::HelpersFor(uint32 inCell) const
{
	const Millis now = NowMillis();
	return this->store_watch.IsUnresponsive(now) ? this->helper_search.Reaching(now) : this->owners.Helpers(inCell);
}

template <class Hub>
void JobHost<Hub>::AppendByHelper(const std::shared_ptr<PendingRequest> &inRequest, size_t inHelper)
{
	const std::vector<Address> helpers = this->HelpersFor(inRequest->cell);
	const Millis left = inRequest->give_up_at - NowMillis();
	const bool slow = this->IsSlowFor(inRequest->cell);
	const Millis wait_ms = slow ? cSlowHelperTimeoutMs : cHelperTimeoutMs;
	if (inHelper >= std::min(helpers.size(), slow ? 1 : cMaxHelpers) || left < cHelperTimeoutMs / 2)
		return this->RetryOrRefuse(inRequest);
	// The store may be unreachable for this host alone
	PeerQuestion question;
	question.kind = EQuestion::AppendInbox;
	question.cell = inRequest->cell;
	question.record = EncodeValue(inRequest->record);
	question.version = this->catalogue->version;
	question.key_hash = inRequest->key_hash;
	question.for_ms = std::min(left, wait_ms);
	this->peers.Ask(helpers[inHelper], std::move(question), std::min(left, wait_ms),
					[this, inRequest, inHelper](const std::optional<PeerAnswer> &inAnswer)
					{
						const bool entered = inAnswer.has_value() && inAnswer->appended;
						inRequest->owner_unresponsive = inRequest->owner_unresponsive || (inHelper == 0 && !inAnswer.has_value());
						inRequest->maybe_appended = inRequest->maybe_appended || !inAnswer.has_value() || (!entered && !inAnswer->not_done);
						const EError refusal = inAnswer.has_value() ? inAnswer->refusal : EError::None;
						if (refusal != EError::None && !inRequest->maybe_appended)
							return this->RefuseByNewerConfig(inRequest, refusal);
						if (!entered)
							return this->AppendByHelper(inRequest, inHelper + 1);
						LogEvent(ELogLevel::Info, "job_accepted")
							.Field("request", inRequest->record.spec.id)
							.Field("queue", inRequest->record.spec.queue)
							.Field("cell", inRequest->cell)
							.Field("helper", inHelper);
						this->Answer(inRequest->reply, JobOutcome{});
					});
}

template <class Hub>
void JobHost<Hub>::RetryOrRefuse(const std::shared_ptr<PendingRequest> &inRequest)
{
	const bool is_cancel = inRequest->record.kind == EInbox::Cancel;
	const Millis now = NowMillis();
	// No host is known that reaches the store: the caller finds another way sooner than this host does
	const bool store_unreachable = this->store_watch.IsUnresponsive(now) && this->helper_search.Reaching(now).empty();
	// A record that may have been appended is appended again: its id keeps it one job, and only a confirmed append settles the outcome
	const bool time_left = now + cSubmissionRetryMs < inRequest->give_up_at;
	if ((inRequest->maybe_appended || is_cancel) && time_left && !store_unreachable)
	{
		return After(cSubmissionRetryMs, [this, inRequest] { this->AppendToInbox(inRequest); });
	}
	JobOutcome outcome;
	outcome.error = inRequest->maybe_appended ? EError::OutcomeLost : EError::PlatformDown;
	LogEvent(ELogLevel::Warning, "job_not_accepted")
		.Field("request", inRequest->record.spec.id)
		.Field("queue", inRequest->record.spec.queue)
		.Field("outcome", AnswerOf(outcome.error).name)
		.Field("store_heard_ms_ago", now - this->store_answered_at)
		.Field("store_silent", this->store_watch.IsUnresponsive(now) ? 1 : 0)
		.Field("helpers", this->helper_search.Reaching(now).size());
	this->Answer(inRequest->reply, outcome);
}

template <class Hub>
EError JobHost<Hub>::RefusalOf(const InboxRecord &inRecord, const PeerQuestion &inQuestion) const
{
	// The asking host may have an old configuration because it does not reach the store. Only a newer one than its own can add a refusal
	if (this->catalogue == nullptr || this->catalogue->version <= inQuestion.version)
		return EError::None;
	const JobSpec &spec = inRecord.spec;
	return this->catalogue->StillAdmits(spec.queue, spec.pool, spec.team, inQuestion.key_hash) ? EError::None : LastReason().kind;
}

template <class Hub>
void JobHost<Hub>::RefuseByNewerConfig(const std::shared_ptr<PendingRequest> &inRequest, EError inRefusal)
{
	LogEvent(ELogLevel::Info, "job_not_accepted")
		.Field("request", inRequest->record.spec.id)
		.Field("queue", inRequest->record.spec.queue)
		.Field("version", this->catalogue->version)
		.Field("why", "another host has a newer configuration")
		.Field("outcome", AnswerOf(inRefusal).name);
	JobOutcome outcome;
	outcome.error = inRefusal;
	this->Answer(inRequest->reply, outcome);
}

template <class Hub>
void JobHost<Hub>::OnQuestion(const PeerQuestion &inQuestion, std::function<void(PeerAnswer)> inReply)
{
	if (inQuestion.kind == EQuestion::Forward)
		return this->orders.SendFor(inQuestion, this->incarnation, std::move(inReply));
	if (inQuestion.kind != EQuestion::AppendInbox)
		return inReply(this->AnswerPeer(inQuestion));
	// Appends only records that can be decoded and that the newest configuration known here allows, and only while the store answers
	const std::optional<InboxRecord> record = DecodeValue<InboxRecord>(inQuestion.record);
	const EError refusal = record.has_value() ? this->RefusalOf(*record, inQuestion) : EError::Corrupt;
	if (refusal != EError::None || this->store_watch.IsUnresponsive(NowMillis()))
	{
		PeerAnswer answer;
		answer.not_done = true;
		answer.refusal = record.has_value() ? refusal : EError::None;
		return inReply(answer);
	}
	this->WriterOf(inQuestion.cell)
		.Append(
			inQuestion.record, std::clamp(inQuestion.for_ms, cMinAppendTimeoutMs, cSlowHelperTimeoutMs),
			[reply = std::move(inReply)](const AppendAnswer &inAnswer)
			{
				PeerAnswer answer;
				answer.appended = inAnswer.result == EAppend::Done;
				answer.not_done = inAnswer.result == EAppend::Refused;
				reply(answer);
			},
			PriorityOf(record->kind));
}

template <class Hub>
void JobHost<Hub>::AskCell(uint32 inCell, PeerQuestion inQuestion, Millis inTimeoutMs, PeerQuery::OnAnswer inDone)
{
	inQuestion.cell = inCell;
	const PeerAnswer own = this->AnswerPeer(inQuestion);
	if (own.owner)
		return inDone(own);
	const std::optional<CellOwner> owner = this->owners.LastOwnerOf(inCell);
	if (!owner.has_value() || owner->host == this->config.name)
		return inDone(std::nullopt);
	this->peers.Ask(
		owner->address, inQuestion, inTimeoutMs,
		[this, inQuestion, inTimeoutMs, done = std::move(inDone), asked = owner->address](const std::optional<PeerAnswer> &inAnswer)
		{
			// This host's view of the owners may be stale; the host that was asked may know the current one
			const bool redirected =
				inAnswer.has_value() && !inAnswer->owner && inAnswer->owner_address.port != 0 && inAnswer->owner_address != asked;
			if (!redirected)
				return done(inAnswer);
			this->peers.Ask(inAnswer->owner_address, inQuestion, inTimeoutMs, done);
		});
}

template <class Hub>
PeerAnswer JobHost<Hub>::AnswerPeer(const PeerQuestion &inQuestion)
{
	auto driver = this->drivers.find(inQuestion.cell);
	PeerAnswer answer;
	if (driver != this->drivers.end())
		answer = driver->second->Answer(inQuestion);
	if (inQuestion.cell == cFleetCell && this->fleet_driver != nullptr)
		answer = this->fleet_driver->Answer(inQuestion);
	answer.reaches_store = !this->stopping && !this->store_watch.IsUnresponsive(NowMillis());
	if (inQuestion.kind == EQuestion::Owners && this->IsWellInformed(NowMillis()))
		answer.record = EncodeValue(this->owners.OwnerHeartbeats(NowMillis()));
	const std::optional<CellOwner> owner = this->owners.OwnerOf(inQuestion.cell, NowMillis());
	if (!answer.owner && owner.has_value() && owner->host != this->config.name)
		answer.owner_address = owner->address;
	return answer;
}

template <class Hub>
void JobHost<Hub>::Show(const JobCall &inCall, JobReply inReply)
{
	PeerQuestion question;
	question.kind = EQuestion::Show;
	question.queue = inCall.admission.queue.name;
	question.id = inCall.id;
	question.team = inCall.admission.team;
	const uint32 cell = CellOf(inCall.admission.queue.pool, this->PartitionCount());
	this->AskCell(cell, question, std::min(cAskTimeoutMs, inCall.deadline_ms / 2),
				  [this, reply = std::move(inReply), id = inCall.id](const std::optional<PeerAnswer> &inAnswer)
				  {
					  JobOutcome outcome;
					  // Only an owner that has read its whole inbox can tell that a job does not exist
					  if (!inAnswer.has_value() || !inAnswer->owner || (!inAnswer->known && !inAnswer->inbox_current))
						  outcome.error = EError::NotReady;
					  else if (!inAnswer->known)
						  outcome.error = EError::JobGone;
					  else if (inAnswer->other_team)
						  outcome.error = EError::OtherTeam;
					  else
						  outcome.phase = inAnswer->phase;
					  LogEvent(ELogLevel::Info, "job_asked")
						  .Field("request", id)
						  .Field("answer",
								 outcome.phase.has_value() ? NameOf(cJobPhaseNames, *outcome.phase) : AnswerOf(outcome.error).name);
					  this->Answer(reply, outcome);
				  });
}

template <class Hub>
void JobHost<Hub>::Count(const JobCall &inCall, JobReply inReply)
{
	PeerQuestion question;
	question.kind = EQuestion::Count;
	question.queue = inCall.admission.queue.name;
	this->AskCell(CellOf(inCall.admission.queue.pool, this->PartitionCount()), question, std::min(cAskTimeoutMs, inCall.deadline_ms / 2),
				  [this, reply = std::move(inReply)](const std::optional<PeerAnswer> &inAnswer)
				  {
					  JobOutcome outcome;
					  if (inAnswer.has_value() && inAnswer->owner)
						  outcome.waiting = inAnswer->waiting;
					  else
						  outcome.error = EError::NotReady;
					  this->Answer(reply, outcome);
				  });
}

template <class Hub>
bool JobHost<Hub>::IsReady()
{
	return this->catalogue != nullptr && !this->stopping && !this->store_watch.IsUnresponsive(NowMillis());
}

template <class Hub>
std::string JobHost<Hub>::MetricsText()
{
	for (const auto &[cell, driver] : this->drivers)
	{
		const CellCounts figures = driver->Figures();
		const std::string name = "loomreach_cell" + std::to_string(cell);
		this->metrics.Gauge(name + "_jobs", static_cast<double>(figures.jobs));
		this->metrics.Gauge(name + "_active", static_cast<double>(figures.active));
		this->metrics.Gauge(name + "_runs", static_cast<double>(figures.runs));
		this->metrics.Gauge(name + "_workers", static_cast<double>(figures.workers));
	}
	for (const auto &[cell, writer] : this->writers)
	{
		const InboxFigures figures = writer->Figures();
		const std::string name = "loomreach_inbox" + std::to_string(cell);
		this->metrics.Gauge(name + "_in_flight", static_cast<double>(figures.in_flight));
		this->metrics.Gauge(name + "_waiting", static_cast<double>(figures.waiting));
		this->metrics.Gauge(name + "_waiting_bytes", static_cast<double>(figures.waiting_bytes));
		this->metrics.Gauge(name + "_oldest_ms", static_cast<double>(figures.oldest_ms));
		this->metrics.Gauge(name + "_latency_ms", static_cast<double>(figures.latency_ms));
		this->metrics.Gauge(name + "_abandoned", static_cast<double>(figures.abandoned));
		this->metrics.Gauge(name + "_refused", static_cast<double>(figures.refused));
		this->metrics.Gauge(name + "_done_late", static_cast<double>(figures.done_late));
	}
	this->metrics.Gauge("loomreach_cells_owned", static_cast<double>(this->Owned()));
	this->metrics.Gauge("loomreach_configuration_version",
						this->catalogue == nullptr ? 0.0 : static_cast<double>(this->catalogue->version));
	this->metrics.Gauge("loomreach_broken_invariants", static_cast<double>(BrokenInvariants()));
	return this->metrics.Prometheus();
}

} // namespace Loomreach::Jobs
