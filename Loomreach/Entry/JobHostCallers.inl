// What callers ask of an entry host, and what other entry hosts ask on their behalf.

namespace Loomreach::Jobs
{

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
	// A key that came with a version not read yet is no stranger's: the caller is sent on, not turned away for good
	const bool may_be_behind = NowMillis() - this->operator_heard_at > cOperatorStaleMs;
	if (outError == EError::UnknownKey && may_be_behind)
		outError = EError::NotReady;
	if (!admission.has_value())
	{
		this->metrics.Count(ECounter::Refusals, AnswerOf(outError).name);
		LogEvent(ELogLevel::Info, "call_refused")
			.Field("path", inPath)
			.Field("version", this->catalogue == nullptr ? -1 : this->catalogue->version)
			.Field("operator_heard_ms_ago", NowMillis() - this->operator_heard_at)
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

/// When the last word is said to a caller: a little before its own deadline.
inline Millis GiveUpAt(const JobCall &inCall)
{
	return NowMillis() + inCall.deadline_ms - std::min(cEnterMarginMs, inCall.deadline_ms / 4);
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
	auto entering = std::make_shared<Entering>();
	entering->record = {EInbox::Submit, std::move(inSpec)};
	entering->cell = CellOf(queue.pool, this->Parts());
	entering->key_hash = inCall.admission.key_hash;
	entering->give_up_at = GiveUpAt(inCall);
	entering->reply = std::move(inReply);
	this->Enter(std::move(entering));
}

template <class Hub>
void JobHost<Hub>::Cancel(const JobCall &inCall, JobReply inReply)
{
	auto entering = std::make_shared<Entering>();
	entering->record.kind = EInbox::Cancel;
	entering->record.spec.id = inCall.id;
	entering->record.spec.queue = inCall.admission.queue.name;
	entering->record.spec.pool = inCall.admission.queue.pool;
	entering->record.spec.team = inCall.admission.team;
	entering->cell = CellOf(inCall.admission.queue.pool, this->Parts());
	entering->key_hash = inCall.admission.key_hash;
	entering->give_up_at = GiveUpAt(inCall);
	entering->reply = std::move(inReply);
	this->Enter(std::move(entering));
}

template <class Hub>
void JobHost<Hub>::Enter(std::shared_ptr<Entering> inEntering)
{
	// One host that appends for all waits for the store once; all in turn wait for each other
	if (this->IsSlowFor(inEntering->cell) && !inEntering->owner_silent && this->owners.LastOwnerOf(inEntering->cell).has_value())
		return this->EnterByHelper(inEntering, 0);
	const Millis sent_at = NowMillis();
	// What is sent into a silent store ends in doubt; another host may reach it, and if none does, the caller is told at once
	if (this->store_watch.IsSilent(sent_at))
		return this->EnterByHelper(inEntering, 0);
	this->store_watch.OnSent(sent_at);
	const Millis time_left = std::clamp<Millis>(inEntering->give_up_at - sent_at, cEnterLeastMs, cEnterTimeoutMs);
	InboxWriter<decltype(Hub::store)> &writer = this->WriterOf(inEntering->cell);
	std::string record = EncodeValue(inEntering->record);
	writer.Enter(std::move(record), time_left,
				 [this, entering = std::move(inEntering), sent_at](const AppendAnswer &inAnswer)
				 { this->OnEnterAnswer(entering, inAnswer, sent_at); });
}

template <class Hub>
bool JobHost<Hub>::IsSlowFor(uint32 inCell)
{
	return !this->seats.contains(inCell) && (this->store_read_ms > cSlowStoreMs || this->WriterOf(inCell).IsSlow());
}

template <class Hub>
InboxWriter<decltype(Hub::store)> &JobHost<Hub>::WriterOf(uint32 inCell)
{
	std::unique_ptr<InboxWriter<decltype(Hub::store)>> &writer = this->writers[inCell];
	if (writer == nullptr)
		writer = std::make_unique<InboxWriter<decltype(Hub::store)>>(this->hub.store, InboxLog(inCell, this->Parts()));
	return *writer;
}

template <class Hub>
void JobHost<Hub>::OnEnterAnswer(const std::shared_ptr<Entering> &inEntering, const AppendAnswer &inAnswer, Millis inSentAt)
{
	if (inAnswer.result == EAppend::Done)
	{
		this->store_heard_at = NowMillis();
		this->store_watch.OnAnswered(inSentAt, this->store_heard_at);
		const bool is_cancel = inEntering->record.kind == EInbox::Cancel;
		LogEvent(ELogLevel::Info, is_cancel ? "cancel_accepted" : "job_accepted")
			.Field("request", inEntering->record.spec.id)
			.Field("queue", inEntering->record.spec.queue)
			.Field("version", this->catalogue->version)
			.Field("cell", inEntering->cell)
			.Field("offset", inAnswer.offset);
		return this->Answer(inEntering->reply, JobOutcome{});
	}
	inEntering->in_doubt = inEntering->in_doubt || inAnswer.result == EAppend::Unknown;
	// A store that answers this host but not this call is lossy or behind: another host's call would only make its queue longer
	const bool answers_others = inAnswer.result == EAppend::Unknown && this->store_heard_at >= inSentAt;
	if (answers_others || std::exchange(inEntering->helped, true))
		return this->EnterAgainOrRefuse(inEntering);
	this->EnterByHelper(inEntering, 0);
}

template <class Hub>
std::vector<Address> JobHost<Hub>::HelpersFor(uint32 inCell) const
{
	const Millis now = NowMillis();
	return this->store_watch.IsSilent(now) ? this->helper_search.Known(now) : this->owners.Helpers(inCell);
}

template <class Hub>
void JobHost<Hub>::EnterByHelper(const std::shared_ptr<Entering> &inEntering, size_t inHelper)
{
	const std::vector<Address> helpers = this->HelpersFor(inEntering->cell);
	const Millis left = inEntering->give_up_at - NowMillis();
	const bool slow = this->IsSlowFor(inEntering->cell);
	const Millis patience = slow ? cHelperSlowMs : cHelperMs;
	if (inHelper >= std::min(helpers.size(), slow ? 1 : cMostHelpers) || left < cHelperMs / 2)
		return this->EnterAgainOrRefuse(inEntering);
	// The store may turn away this host alone
	PeerQuestion question;
	question.kind = EQuestion::Enter;
	question.cell = inEntering->cell;
	question.record = EncodeValue(inEntering->record);
	question.version = this->catalogue->version;
	question.key_hash = inEntering->key_hash;
	question.for_ms = std::min(left, patience);
	this->peers.Ask(helpers[inHelper], std::move(question), std::min(left, patience),
					[this, inEntering, inHelper](const std::optional<PeerAnswer> &inAnswer)
					{
						const bool entered = inAnswer.has_value() && inAnswer->entered;
						inEntering->owner_silent = inEntering->owner_silent || (inHelper == 0 && !inAnswer.has_value());
						inEntering->in_doubt = inEntering->in_doubt || !inAnswer.has_value() || (!entered && !inAnswer->not_entered);
						const EError refusal = inAnswer.has_value() ? inAnswer->refusal : EError::None;
						if (refusal != EError::None && !inEntering->in_doubt)
							return this->RefuseByNewer(inEntering, refusal);
						if (!entered)
							return this->EnterByHelper(inEntering, inHelper + 1);
						LogEvent(ELogLevel::Info, "job_accepted")
							.Field("request", inEntering->record.spec.id)
							.Field("queue", inEntering->record.spec.queue)
							.Field("cell", inEntering->cell)
							.Field("helper", inHelper);
						this->Answer(inEntering->reply, JobOutcome{});
					});
}

template <class Hub>
void JobHost<Hub>::EnterAgainOrRefuse(const std::shared_ptr<Entering> &inEntering)
{
	const bool is_cancel = inEntering->record.kind == EInbox::Cancel;
	const Millis now = NowMillis();
	// Nobody who reaches the store is known: the caller finds another way sooner than this host does
	const bool hopeless = this->store_watch.IsSilent(now) && this->helper_search.Known(now).empty();
	// What may have been appended is appended again: the id makes it one job, and only then is the answer known
	const bool time_left = now + cEnterAgainMs < inEntering->give_up_at;
	if ((inEntering->in_doubt || is_cancel) && time_left && !hopeless)
	{
		return After(cEnterAgainMs, [this, inEntering] { this->Enter(inEntering); });
	}
	JobOutcome outcome;
	outcome.error = inEntering->in_doubt ? EError::VerdictLost : EError::PlatformDown;
	LogEvent(ELogLevel::Warning, "job_not_accepted")
		.Field("request", inEntering->record.spec.id)
		.Field("queue", inEntering->record.spec.queue)
		.Field("outcome", AnswerOf(outcome.error).name)
		.Field("store_heard_ms_ago", now - this->store_heard_at)
		.Field("store_silent", this->store_watch.IsSilent(now) ? 1 : 0)
		.Field("helpers", this->helper_search.Known(now).size());
	this->Answer(inEntering->reply, outcome);
}

template <class Hub>
EError JobHost<Hub>::RefusalOf(const InboxRecord &inRecord, const PeerQuestion &inQuestion) const
{
	// Who asks may know less, being turned away by the store; who knows less than it has nothing to say
	if (this->catalogue == nullptr || this->catalogue->version <= inQuestion.version)
		return EError::None;
	const JobSpec &spec = inRecord.spec;
	return this->catalogue->StillAdmits(spec.queue, spec.pool, spec.team, inQuestion.key_hash) ? EError::None : LastReason().kind;
}

template <class Hub>
void JobHost<Hub>::RefuseByNewer(const std::shared_ptr<Entering> &inEntering, EError inRefusal)
{
	LogEvent(ELogLevel::Info, "job_not_accepted")
		.Field("request", inEntering->record.spec.id)
		.Field("queue", inEntering->record.spec.queue)
		.Field("version", this->catalogue->version)
		.Field("why", "another host has a newer configuration")
		.Field("outcome", AnswerOf(inRefusal).name);
	JobOutcome outcome;
	outcome.error = inRefusal;
	this->Answer(inEntering->reply, outcome);
}

template <class Hub>
void JobHost<Hub>::OnQuestion(const PeerQuestion &inQuestion, std::function<void(PeerAnswer)> inReply)
{
	if (inQuestion.kind == EQuestion::Forward)
		return this->orders.SendFor(inQuestion, this->life, std::move(inReply));
	if (inQuestion.kind != EQuestion::Enter)
		return inReply(this->AnswerPeer(inQuestion));
	// Only what decodes is passed on, only what the newest known configuration allows, and only to a store that answers
	const std::optional<InboxRecord> record = DecodeValue<InboxRecord>(inQuestion.record);
	const EError refusal = record.has_value() ? this->RefusalOf(*record, inQuestion) : EError::Corrupt;
	if (refusal != EError::None || this->store_watch.IsSilent(NowMillis()))
	{
		PeerAnswer answer;
		answer.not_entered = true;
		answer.refusal = record.has_value() ? refusal : EError::None;
		return inReply(answer);
	}
	this->WriterOf(inQuestion.cell)
		.Enter(inQuestion.record, std::clamp(inQuestion.for_ms, cEnterLeastMs, cHelperSlowMs),
			   [reply = std::move(inReply)](const AppendAnswer &inAnswer)
			   {
				   PeerAnswer answer;
				   answer.entered = inAnswer.result == EAppend::Done;
				   answer.not_entered = inAnswer.result == EAppend::Refused;
				   reply(answer);
			   });
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
			// What this host knows of owners may be old; whoever was asked may know better
			const bool elsewhere =
				inAnswer.has_value() && !inAnswer->owner && inAnswer->owner_address.port != 0 && inAnswer->owner_address != asked;
			if (!elsewhere)
				return done(inAnswer);
			this->peers.Ask(inAnswer->owner_address, inQuestion, inTimeoutMs, done);
		});
}

template <class Hub>
PeerAnswer JobHost<Hub>::AnswerPeer(const PeerQuestion &inQuestion)
{
	auto seat = this->seats.find(inQuestion.cell);
	PeerAnswer answer;
	if (seat != this->seats.end())
		answer = seat->second->Answer(inQuestion);
	if (inQuestion.cell == cFleetCell && this->fleet != nullptr)
		answer = this->fleet->Answer(inQuestion);
	answer.reaches = !this->stopping && !this->store_watch.IsSilent(NowMillis());
	if (inQuestion.kind == EQuestion::Owners && this->IsWellInformed(NowMillis()))
		answer.record = EncodeValue(this->owners.OwnersBeats(NowMillis()));
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
	const uint32 cell = CellOf(inCall.admission.queue.pool, this->Parts());
	this->AskCell(cell, question, std::min(cAskTimeoutMs, inCall.deadline_ms / 2),
				  [this, reply = std::move(inReply), id = inCall.id](const std::optional<PeerAnswer> &inAnswer)
				  {
					  JobOutcome outcome;
					  // Without an owner that has read all, nobody can say that there is no such job
					  if (!inAnswer.has_value() || !inAnswer->owner || (!inAnswer->known && !inAnswer->sure))
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
	this->AskCell(CellOf(inCall.admission.queue.pool, this->Parts()), question, std::min(cAskTimeoutMs, inCall.deadline_ms / 2),
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
	return this->catalogue != nullptr && !this->stopping && !this->store_watch.IsSilent(NowMillis());
}

template <class Hub>
std::string JobHost<Hub>::MetricsText()
{
	for (const auto &[cell, seat] : this->seats)
	{
		const CellFigures figures = seat->Figures();
		const std::string name = "loomreach_cell" + std::to_string(cell);
		this->metrics.Gauge(name + "_jobs", static_cast<double>(figures.jobs));
		this->metrics.Gauge(name + "_active", static_cast<double>(figures.active));
		this->metrics.Gauge(name + "_runs", static_cast<double>(figures.runs));
		this->metrics.Gauge(name + "_workers", static_cast<double>(figures.workers));
	}
	this->metrics.Gauge("loomreach_cells_owned", static_cast<double>(this->Owned()));
	this->metrics.Gauge("loomreach_configuration_version",
						this->catalogue == nullptr ? 0.0 : static_cast<double>(this->catalogue->version));
	this->metrics.Gauge("loomreach_broken_invariants", static_cast<double>(BrokenInvariants()));
	return this->metrics.Prometheus();
}

} // namespace Loomreach::Jobs
