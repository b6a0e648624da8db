// Callers' requests, and questions that other entry hosts ask on behalf of callers or cells. Submission (Loomreach/Admission) decides how
// a caller's record reaches its inbox; this file carries out its steps.

#include <Loomreach/Admission/RetryAfter.h>
#include <Loomreach/Entry/CollectorAnswer.h>
#include <Loomreach/Schedule/CancelDetails.h>
#include <Loomreach/Schedule/InboxCodec.h>

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
	const uint32 cell = CellOf(queue.pool, this->PartitionCount());
	const Millis now = NowMillis();
	const std::optional<PoolRefusal> refusal = RefuseSubmission(queue.pool, inSpec.id, this->ClosedPoolsOf(cell, now));
	// While the store is slow an earlier submission of the job may still be on its way to the inbox, and a refusal could be untrue
	if (refusal.has_value() && this->inbox_paths.PathOf(cell) == EInboxPath::Direct)
		return this->RefuseUnlessKnown(inCall, std::move(inSpec), std::move(inReply), *refusal);
	this->SubmitToInbox(inCall, std::move(inSpec), std::move(inReply));
}

template <class Hub>
void JobHost<Hub>::RefuseUnlessKnown(const JobCall &inCall, JobSpec inSpec, JobReply inReply, const PoolRefusal &inRefusal)
{
	// The submission may repeat one that was accepted before the pool was closed. A refusal says that the job will never run
	this->AskQueue(inCall, EQuestion::Show,
				   [this, call = inCall, spec = std::move(inSpec), reply = std::move(inReply), refusal = inRefusal,
					asked_at = NowMillis()](const std::optional<PeerAnswer> &inAnswer) mutable
				   {
					   call.deadline_ms -= NowMillis() - asked_at;
					   if (!inAnswer.has_value() || inAnswer->known)
						   return this->SubmitToInbox(call, std::move(spec), std::move(reply));
					   JobOutcome outcome;
					   outcome.error = EError::NoEndpoint;
					   outcome.retry_after_s = refusal.retry_after_s;
					   LogEvent(ELogLevel::Info, "call_refused")
						   .Field("request", spec.id)
						   .Field("queue", call.admission.queue.name)
						   .Field("pool", call.admission.queue.pool)
						   .Field("evacuated_zones", this->evacuations.Zones().size())
						   .Field("heard_ms_ago", refusal.heard_ms_ago)
						   .Field("retry_after_s", refusal.retry_after_s)
						   .Field("outcome", AnswerOf(outcome.error).name);
					   this->Answer(reply, outcome);
				   });
}

template <class Hub>
void JobHost<Hub>::SubmitToInbox(const JobCall &inCall, JobSpec inSpec, JobReply &&inReply)
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
	this->AddPlacement(queue, request->record);
	request->key_hash = inCall.admission.key_hash;
	request->give_up_at = GiveUpAt(inCall);
	request->reply = std::move(inReply);
	if (!this->AwaitSite(queue, request))
		this->BeginRequest(std::move(request));
}

template <class Hub>
bool JobHost<Hub>::AwaitSite(const Queue &inQueue, const std::shared_ptr<PendingRequest> &inRequest)
{
	const QueueSite site{KeyOf(inQueue), inRequest->cell, this->catalogue->version, inQueue.pool};
	if (!this->moved_queues.contains(site.queue) || this->queue_registry.Contains(site))
		return false;
	std::vector<std::shared_ptr<PendingRequest>> &waiting = this->awaiting_site[{site.queue, site.cell}];
	waiting.push_back(inRequest);
	if (waiting.size() > 1)
		return true;
	AppendCall call;
	call.log = HeartbeatLog(static_cast<uint32>(this->random.Below(this->HeartbeatPartitionCount())));
	call.keyed = true;
	call.records.push_back({QueueRegistry::LogKey(site), EncodeValue(site), 0});
	call.timeout_ms = cMaxAppendTimeoutMs;
	this->hub.store.Append(call,
						   [this, site](const AppendAnswer &inAnswer) { this->OnSiteAppended(site, inAnswer.result == EAppend::Done); });
	return true;
}

template <class Hub>
void JobHost<Hub>::OnSiteAppended(const QueueSite &inSite, bool inDone)
{
	if (inDone)
		this->queue_registry.Add(inSite);
	LogEvent(inDone ? ELogLevel::Info : ELogLevel::Warning, "site_registered")
		.Field("cell", inSite.cell)
		.Field("pool", inSite.pool)
		.Field("version", inSite.version)
		.Field("done", inDone ? 1 : 0);
	auto waiting = this->awaiting_site.extract({inSite.queue, inSite.cell});
	for (const std::shared_ptr<PendingRequest> &request : waiting.mapped())
		if (inDone && NowMillis() < request->give_up_at)
			this->BeginRequest(request);
		else
		{
			JobOutcome outcome;
			outcome.error = EError::NotReady;
			this->Answer(request->reply, outcome);
		}
}

template <class Hub>
void JobHost<Hub>::AddPlacement(const Queue &inQueue, InboxRecord &ioRecord) const
{
	// The owner that reads the record may never read the version that placed the queue in its cell, or may have a newer one without it
	if (this->config.records_name_queues == 0)
		return;
	ioRecord.queue_key = KeyOf(inQueue);
	ioRecord.queue_version = this->catalogue->version;
}

template <class Hub>
void JobHost<Hub>::NoteMovedQueues()
{
	this->first_version = this->first_version < 0 ? this->catalogue->version : this->first_version;
	for (const Queue &queue : this->catalogue->queues)
	{
		const uint32 cell = CellOf(queue.pool, this->PartitionCount());
		const auto [known, is_new] = this->queue_cells.try_emplace(KeyOf(queue), cell);
		if ((is_new && this->first_version == this->catalogue->version) || (!is_new && known->second == cell))
			continue;
		known->second = cell;
		this->moved_queues.insert(known->first);
		LogEvent(ELogLevel::Info, is_new ? "queue_added" : "queue_has_other_pool")
			.Field("queue", queue.name)
			.Field("pool", queue.pool)
			.Field("cell", cell)
			.Field("version", this->catalogue->version);
	}
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
	request->record.spec.accepted_wall_ms = WallMillis();
	SetDetails(request->record, {inCall.admission.key_hash, false});
	this->AddPlacement(inCall.admission.queue, request->record);
	request->cell = CellOf(inCall.admission.queue.pool, this->PartitionCount());
	request->key_hash = inCall.admission.key_hash;
	request->give_up_at = GiveUpAt(inCall);
	request->reply = std::move(inReply);
	this->BeginRequest(std::move(request));
}

// ---- Submission of records to inboxes ----

template <class Hub>
void JobHost<Hub>::BeginRequest(std::shared_ptr<PendingRequest> inRequest)
{
	const bool is_cancel = inRequest->record.kind == EInbox::Cancel;
	inRequest->submission = Submission(inRequest->give_up_at, is_cancel);
	SubmissionView view = this->ViewOf(*inRequest, false);
	if (view.path == EInboxPath::Collected || view.store_unresponsive)
		view = this->ViewOf(*inRequest);
	this->Execute(inRequest, inRequest->submission.Begin(view));
}

template <class Hub>
SubmissionView JobHost<Hub>::ViewOf(const PendingRequest &inRequest, bool inWithCandidates) const
{
	SubmissionView view;
	view.now = NowMillis();
	view.path = this->inbox_paths.PathOf(inRequest.cell);
	view.store_unresponsive = this->store_watch.IsUnresponsive(view.now);
	if (!inWithCandidates)
		return view;
	view.candidates = this->Collectors(inRequest.cell, view.now);
	if (const std::optional<CellOwner> owner = this->owners.LastOwnerOf(inRequest.cell))
		view.owner = CollectorHost{.name = owner->host,
								   .address = owner->address,
								   .is_self = owner->host == this->config.name,
								   .is_owner = true,
								   .incarnation = owner->incarnation};
	return view;
}

template <class Hub>
std::vector<CollectorHost> JobHost<Hub>::Collectors(uint32 inCell, Millis inNow) const
{
	std::vector<CollectorHost> hosts = this->owners.Collectors(inCell, inNow);
	// Which hosts are known to reach the store differs between hosts. It only counts where this host does not reach the store itself, so
	// that all others agree on the order. Hosts that did not confirm it may not have noticed yet that the store is down: a record that they
	// take is in doubt
	if (this->store_watch.IsUnresponsive(inNow))
	{
		const std::vector<Address> reaching = this->helper_search.Reaching(inNow);
		for (CollectorHost &host : hosts)
			host.reaches_store = std::find(reaching.begin(), reaching.end(), host.address) != reaching.end();
		std::erase_if(hosts, [](const CollectorHost &inHost) { return !inHost.reaches_store && !inHost.is_owner; });
	}
	else
	{
		auto driver = this->drivers.find(inCell);
		const bool is_owner = driver != this->drivers.end() && driver->second->IsHeld();
		for (CollectorHost &host : hosts)
			host.is_owner = host.is_owner && !is_owner;
		// A stopping host does not begin to collect
		if (!this->stopping || is_owner)
			hosts.push_back({this->config.name, this->config.peers, true, is_owner});
	}
	std::vector<CollectorHost> candidates = this->collector_choice.Candidates(inCell, hosts, inNow);
	if (candidates.empty() && this->stopping && !this->store_watch.IsUnresponsive(inNow))
		candidates.push_back({this->config.name, this->config.peers, true, false});
	return candidates;
}

template <class Hub>
void JobHost<Hub>::Execute(const std::shared_ptr<PendingRequest> &inRequest, const SubmissionStep &inStep)
{
	switch (inStep.kind)
	{
	case ESubmissionStep::Wait: break;
	case ESubmissionStep::Append: this->AppendOwn(inRequest, inStep.limit_ms); break;
	case ESubmissionStep::Ask: this->AskCollector(inRequest, inStep); break;
	case ESubmissionStep::AskLater:
		After(inStep.delay_ms,
			  [this, request = inRequest] { this->Execute(request, request->submission.OnDelayOver(this->ViewOf(*request))); });
		break;
	case ESubmissionStep::Accept: break; // Answered by the handler of the outcome, which knows what to log
	case ESubmissionStep::Refuse: this->Refuse(*inRequest, inStep); break;
	}
}

template <class Hub>
void JobHost<Hub>::AppendOwn(const std::shared_ptr<PendingRequest> &inRequest, Millis inLimitMs)
{
	if (this->KnowsJob(inRequest->cell, inRequest->record))
	{
		inRequest->submission.OnOwnAppend(true, EOwnAppend::None, {});
		return this->Accept(*inRequest, "known", "1");
	}
	std::string record = EncodeInboxRecord(inRequest->record);
	const bool collected = this->inbox_paths.PathOf(inRequest->cell) == EInboxPath::Collected;
	if (const Millis wait_ms = collected ? this->WriterOf(inRequest->cell).ExpectedWaitMs(record.size()) : 0; wait_ms > inLimitMs)
		return this->Execute(inRequest, inRequest->submission.OnOwnBusy(wait_ms, this->ViewOf(*inRequest)));
	const Millis sent_at = NowMillis();
	// In a slow store appends wait for each other, so that a late answer does not show that it is unresponsive
	if (collected)
		this->SetDeadlineTimer(inRequest, inLimitMs);
	else
		this->store_watch.OnSent(sent_at);
	this->own_appends.insert(inRequest);
	const Millis limit_ms = std::clamp<Millis>(inLimitMs, cMinAppendTimeoutMs, collected ? cMaxCollectMs : cMaxAppendTimeoutMs);
	this->WriterOf(inRequest->cell)
		.Append(
			std::move(record), limit_ms,
			[this, request = inRequest, sent_at, collected, watch = this->WatchAppend(ESlowSign::InboxAppend)](const AppendAnswer &inAnswer)
			{ this->OnAppendAnswer(request, inAnswer, sent_at, collected); },
			PriorityOf(inRequest->record.kind), collected ? cRetryRefusedMs : 0);
}

template <class Hub>
void JobHost<Hub>::OnAppendAnswer(const std::shared_ptr<PendingRequest> &inRequest, const AppendAnswer &inAnswer, Millis inSentAt,
								  bool inCollected)
{
	this->own_appends.erase(inRequest);
	const bool done = inAnswer.result == EAppend::Done;
	if (done)
	{
		this->store_answered_at = NowMillis();
		this->store_watch.OnAnswered(inSentAt, this->store_answered_at);
		if (inCollected && this->WriterOf(inRequest->cell).IsQuick())
			this->OnQuickAnswer(inRequest->cell, this->config.name);
	}
	if (inRequest->submission.IsEnded())
		return;
	const EOwnAppend outcome = inAnswer.result == EAppend::Unknown ? EOwnAppend::Unknown : EOwnAppend::Refused;
	const SubmissionStep step = inRequest->submission.OnOwnAppend(done, outcome, this->ViewOf(*inRequest, !done));
	if (done)
		return this->Accept(*inRequest, "offset", std::to_string(inAnswer.offset));
	this->Execute(inRequest, step);
}

template <class Hub>
void JobHost<Hub>::SetDeadlineTimer(const std::shared_ptr<PendingRequest> &inRequest, Millis inLeftMs)
{
	if (std::exchange(inRequest->deadline_timer_set, true))
		return;
	After(inLeftMs,
		  [this, weak = std::weak_ptr<PendingRequest>(inRequest)]
		  {
			  if (const std::shared_ptr<PendingRequest> request = weak.lock())
				  this->Execute(request, request->submission.OnTimeUp());
		  });
}

template <class Hub>
void JobHost<Hub>::AskCollector(const std::shared_ptr<PendingRequest> &inRequest, const SubmissionStep &inStep)
{
	this->SetDeadlineTimer(inRequest, inStep.limit_ms);
	PeerQuestion question;
	question.kind = EQuestion::AppendInbox;
	question.cell = inRequest->cell;
	question.record = EncodeInboxRecord(inRequest->record);
	question.version = this->catalogue->version;
	question.key_hash = inRequest->key_hash;
	question.for_ms = inStep.limit_ms;
	question.incarnation = inStep.collector.incarnation;
	this->peers.Ask(inStep.collector.address, std::move(question), inStep.limit_ms,
					[this, request = inRequest, collector = inStep.collector](const std::optional<PeerAnswer> &inAnswer)
					{ this->OnCollectorAnswer(request, collector, inAnswer); },
					{.report_within_ms = cCollectorAckMs, .silence_ms = cCollectorSilenceMs});
}

template <class Hub>
void JobHost<Hub>::OnCollectorAnswer(const std::shared_ptr<PendingRequest> &inRequest, const CollectorHost &inCollector,
									 const std::optional<PeerAnswer> &inAnswer)
{
	const Millis now = NowMillis();
	const CollectorReply reply = CollectorReplyOf(inAnswer);
	// A request that ended because its time was up says nothing about the collector
	const bool silent = reply.outcome == ECollected::NoAnswer || reply.outcome == ECollected::Silent;
	if (silent && now < inRequest->give_up_at)
		this->collector_choice.OnSilent(inCollector.address, now);
	if (reply.outcome == ECollected::CannotReach)
		this->collector_choice.OnCannotReachStore(inCollector.address, now);
	if (inAnswer.has_value() && DecodeValue<CollectorStatus>(inAnswer->record).value_or(CollectorStatus{}).quick)
		this->OnQuickAnswer(inRequest->cell, inCollector.name);
	if (inRequest->submission.IsEnded())
		return;
	const bool appended = reply.outcome == ECollected::Appended;
	const SubmissionStep step = inRequest->submission.OnReply(reply, this->ViewOf(*inRequest, !appended));
	if (appended)
		return this->Accept(*inRequest, "collector", inCollector.name);
	this->Execute(inRequest, step);
}

template <class Hub>
void JobHost<Hub>::Accept(const PendingRequest &inRequest, std::string_view inKey, std::string_view inValue)
{
	const bool is_cancel = inRequest.record.kind == EInbox::Cancel;
	LogEvent(ELogLevel::Info, is_cancel ? "cancel_accepted" : "job_accepted")
		.Field("request", inRequest.record.spec.id)
		.Field("queue", inRequest.record.spec.queue)
		.Field("version", this->catalogue->version)
		.Field("cell", inRequest.cell)
		.Field(inKey, inValue);
	this->Answer(inRequest.reply, JobOutcome{});
}

template <class Hub>
void JobHost<Hub>::Refuse(const PendingRequest &inRequest, const SubmissionStep &inStep)
{
	const Millis now = NowMillis();
	const bool store_silent = this->store_watch.IsUnresponsive(now);
	JobOutcome outcome;
	outcome.error = inStep.error;
	outcome.retry_after_s =
		RetryAfterSeconds({inRequest.record.spec.id, inStep.expected_wait_ms, store_silent ? this->store_watch.UnansweredFor(now) : 0});
	LogEvent line(ELogLevel::Warning, "job_not_accepted");
	line.Field("request", inRequest.record.spec.id).Field("queue", inRequest.record.spec.queue);
	if (inStep.error != EError::PlatformDown && inStep.error != EError::OutcomeLost)
		line.Field("version", this->catalogue->version).Field("why", "another host has a newer configuration");
	line.Field("outcome", AnswerOf(outcome.error).name)
		.Field("store_heard_ms_ago", now - this->store_answered_at)
		.Field("store_silent", store_silent ? 1 : 0)
		.Field("helpers", this->helper_search.Reaching(now).size())
		.Field("retry_after_s", outcome.retry_after_s)
		.Field("path", NameOf(cInboxPathNames, this->inbox_paths.PathOf(inRequest.cell)))
		.Field("tried", inRequest.submission.TriedText());
	this->Answer(inRequest.reply, outcome);
}

template <class Hub>
InboxWriter<decltype(Hub::store)> &JobHost<Hub>::WriterOf(uint32 inCell)
{
	std::unique_ptr<InboxWriter<decltype(Hub::store)>> &writer = this->writers[inCell];
	if (writer == nullptr)
		writer = std::make_unique<InboxWriter<decltype(Hub::store)>>(this->hub.store, InboxLog(inCell, this->PartitionCount()),
																	 InboxLoad(static_cast<Millis>(this->config.store_append_ms)));
	return *writer;
}

template <class Hub>
bool JobHost<Hub>::KnowsJob(uint32 inCell, const InboxRecord &inRecord) const
{
	auto driver = this->drivers.find(inCell);
	return inRecord.kind == EInbox::Submit && driver != this->drivers.end() && driver->second->KnowsJob(inRecord.spec);
}

// ---- Slow stores ----

template <class Hub>
std::shared_ptr<void> JobHost<Hub>::WatchAppend(ESlowSign inSign)
{
	const Millis now = NowMillis();
	const uint64 number = this->open_appends.Add(inSign, now);
	if (!this->append_check.IsRunning())
	{
		this->append_check_due = now + this->open_appends.OverdueAfter();
		this->append_check.Once(this->open_appends.OverdueAfter(), [this] { this->CheckOpenAppends(); });
	}
	return {nullptr, [appends = &this->open_appends, number](void *) { appends->Remove(number); }};
}

template <class Hub>
void JobHost<Hub>::CheckOpenAppends()
{
	const Millis now = NowMillis();
	const OpenAppends::Verdict verdict = this->open_appends.Check(this->append_check_due, now);
	if (verdict.next_check_ms >= 0)
	{
		this->append_check_due = now + verdict.next_check_ms;
		this->append_check.Once(verdict.next_check_ms, [this] { this->CheckOpenAppends(); });
	}
	if (verdict.sign.has_value())
		this->OnSlowSign(*verdict.sign, verdict.waited_ms);
}

template <class Hub>
void JobHost<Hub>::OnSlowSign(ESlowSign inSign, Millis inWaitedMs)
{
	const Millis now = NowMillis();
	const InboxPaths::SignEffect effect = this->inbox_paths.OnSlowSign(inSign, now);
	if (effect.notify_all)
		this->peers.Notify(this->owners.Others(), EPeerMessage::SlowStore, "");
	if (!effect.changed)
		return;
	LogEvent(ELogLevel::Warning, "inbox_path")
		.Field("path", NameOf(cInboxPathNames, EInboxPath::Collected))
		.Field("cell", "all")
		.Field("why", NameOf(cSlowSignNames, inSign))
		.Field("waited_ms", inWaitedMs)
		.Field("limit_ms", this->open_appends.OverdueAfter())
		.Field("direct_before", effect.direct_before)
		.Field("own_appends", this->own_appends.size());
	// An owner collects for others, and should know soon whether the store is slow or down
	this->store_watch.OnSlow(now);
	if (this->Owned() > 0)
		this->SendHeartbeat();
	this->HandOverUnsent();
	for (const std::shared_ptr<PendingRequest> &request : std::set(this->own_appends))
		this->Execute(request, request->submission.OnCollected(this->ViewOf(*request)));
}

template <class Hub>
void JobHost<Hub>::HandOverUnsent()
{
	AppendAnswer unsent;
	unsent.result = EAppend::Refused;
	this->returning_unsent = true;
	for (const auto &entry : this->writers)
	{
		InboxWriter<decltype(Hub::store)> &writer = *entry.second;
		const std::vector<CollectorHost> collectors = this->Collectors(entry.first, NowMillis());
		if (!collectors.empty() && collectors.front().is_self)
			continue;
		for (const UnsentRecord &item : writer.TakeUnsent(EInboxPriority::Bulk))
			item.done(unsent);
	}
	this->returning_unsent = false;
}

template <class Hub>
void JobHost<Hub>::OnQuickAnswer(uint32 inCell, std::string_view inCollector)
{
	const Millis collected_ms = this->inbox_paths.CollectedFor(inCell, NowMillis());
	if (!this->inbox_paths.OnQuickAnswer(inCell))
		return;
	LogEvent(ELogLevel::Info, "inbox_path")
		.Field("path", NameOf(cInboxPathNames, EInboxPath::Direct))
		.Field("cell", inCell)
		.Field("why", "collector-quick")
		.Field("collector", inCollector)
		.Field("collected_ms", collected_ms);
}

template <class Hub>
EError JobHost<Hub>::RefusalOf(const InboxRecord &inRecord, const PeerQuestion &inQuestion) const
{
	// The asking host may have an old configuration because it does not reach the store. Only a newer one than its own can add a refusal
	if (this->catalogue == nullptr || this->catalogue->version <= inQuestion.version)
		return EError::None;
	const JobSpec &spec = inRecord.spec;
	return this->catalogue->StillAdmits(spec.queue, spec.team, inQuestion.key_hash) ? EError::None : LastReason().kind;
}

template <class Hub>
void JobHost<Hub>::OnQuestion(const PeerQuestion &inQuestion, std::function<void(PeerAnswer)> inReply)
{
	if (inQuestion.kind == EQuestion::Forward)
		return this->orders.SendFor(inQuestion, this->incarnation, std::move(inReply));
	if (inQuestion.kind != EQuestion::AppendInbox)
		return inReply(this->AnswerPeer(inQuestion));
	// Appends only records that can be decoded and that the newest configuration known here allows, and only while the store answers
	const std::optional<InboxRecord> record = DecodeInboxRecord(inQuestion.record);
	const EError refusal = record.has_value() ? this->RefusalOf(*record, inQuestion) : EError::Corrupt;
	PeerAnswer answer;
	answer.reaches_store = !this->store_watch.IsUnresponsive(NowMillis());
	// Also spares the partition a second append after one whose response was lost
	answer.appended = record.has_value() && this->KnowsJob(inQuestion.cell, *record);
	if (answer.appended)
		return inReply(answer);
	if (IsForOtherProcess(inQuestion, this->incarnation))
		return inReply(RefuseForOtherProcess(std::move(answer), this->incarnation));
	answer.known = inQuestion.incarnation == this->incarnation;
	if (refusal != EError::None || !answer.reaches_store)
	{
		answer.not_done = true;
		answer.refusal = record.has_value() ? refusal : EError::None;
		return inReply(answer);
	}
	if (const Millis wait_ms = this->WriterOf(inQuestion.cell).ExpectedWaitMs(inQuestion.record.size()); wait_ms > inQuestion.for_ms)
	{
		answer.not_done = true;
		answer.record = EncodeValue(CollectorStatus{false, wait_ms});
		return inReply(answer);
	}
	this->AppendForPeer(inQuestion, NowMillis() + std::clamp(inQuestion.for_ms, cMinAppendTimeoutMs, cMaxCollectMs),
						PriorityOf(record->kind), std::move(inReply));
}

template <class Hub>
void JobHost<Hub>::AppendForPeer(const PeerQuestion &inQuestion, Millis inUntil, EInboxPriority inPriority,
								 std::function<void(PeerAnswer)> inReply)
{
	const Millis sent_at = NowMillis();
	this->WriterOf(inQuestion.cell)
		.Append(
			inQuestion.record, std::max(inUntil - sent_at, cMinAppendTimeoutMs),
			[this, inQuestion, inUntil, inPriority, sent_at, reply = std::move(inReply),
			 watch = this->WatchAppend(ESlowSign::InboxAppend)](const AppendAnswer &inAnswer)
			{
				// Another host has chosen this one as the collector: the record stays here
				if (inAnswer.result == EAppend::Refused && this->returning_unsent)
					return this->AppendForPeer(inQuestion, inUntil, inPriority, reply);
				const Millis now = NowMillis();
				PeerAnswer answer;
				answer.appended = inAnswer.result == EAppend::Done;
				answer.not_done = inAnswer.result == EAppend::Refused;
				answer.known = inQuestion.incarnation == this->incarnation;
				answer.reaches_store = !this->store_watch.IsUnresponsive(now);
				if (answer.appended)
				{
					this->store_watch.OnAnswered(sent_at, now);
					answer.record = EncodeValue(CollectorStatus{this->WriterOf(inQuestion.cell).IsQuick(), 0});
				}
				reply(answer);
			},
			inPriority, cRetryRefusedMs);
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
void JobHost<Hub>::AskQueue(const JobCall &inCall, EQuestion inKind, PeerQuery::OnAnswer inDone)
{
	PeerQuestion question;
	question.kind = inKind;
	question.queue = inCall.admission.queue.name;
	question.key_hash = KeyOf(inCall.admission.queue);
	question.id = inCall.id;
	question.team = inCall.admission.team;
	const QueueSearch search(CellOf(inCall.admission.queue.pool, this->PartitionCount()), this->catalogue->version);
	this->AskNextCells(
		std::make_shared<PendingSearch>(PendingSearch{std::move(question), search, GiveUpAt(inCall), 0, 0, std::move(inDone)}));
}

template <class Hub>
void JobHost<Hub>::AskNextCells(const std::shared_ptr<PendingSearch> &inSearch)
{
	const std::vector<uint32> cells = inSearch->search.TakeCells();
	inSearch->open += cells.size();
	inSearch->question.version = inSearch->search.Version();
	// An answer may name further cells, for which there must be time left
	const Millis timeout_ms = std::clamp<Millis>((inSearch->give_up_at - NowMillis()) / 2, 1, cAskTimeoutMs);
	for (const uint32 cell : cells)
		this->AskCell(cell, inSearch->question, timeout_ms,
					  [this, inSearch, version = inSearch->question.version](const std::optional<PeerAnswer> &inAnswer)
					  { this->OnCellAnswer(inSearch, version, inAnswer); });
}

template <class Hub>
void JobHost<Hub>::OnCellAnswer(const std::shared_ptr<PendingSearch> &inSearch, int64 inVersion, const std::optional<PeerAnswer> &inAnswer)
{
	--inSearch->open;
	if (inSearch->done == nullptr)
		return;
	const bool is_owner = inAnswer.has_value() && inAnswer->owner;
	if (is_owner && inAnswer->known)
		return std::exchange(inSearch->done, nullptr)(inAnswer);
	// Only an owner that has read its whole inbox can tell that a job does not exist. A count may be a little old
	const bool is_sure = is_owner && (inSearch->question.kind == EQuestion::Count || inAnswer->inbox_current);
	QueueStatus status{is_owner, inVersion, {}};
	if (is_owner && !inAnswer->record.empty())
		status = DecodeValue<QueueStatus>(inAnswer->record).value_or(QueueStatus{});
	inSearch->search.OnAnswer(is_sure, status);
	inSearch->waiting += is_owner ? inAnswer->waiting : 0;
	this->AskNextCells(inSearch);
	if (inSearch->open > 0 || inSearch->done == nullptr)
		return;
	const PeerQuery::OnAnswer done = std::exchange(inSearch->done, nullptr);
	if (!inSearch->search.IsCertain())
		return done(std::nullopt);
	PeerAnswer answer;
	answer.waiting = inSearch->waiting;
	done(answer);
}

template <class Hub>
void JobHost<Hub>::Show(const JobCall &inCall, JobReply inReply)
{
	this->AskQueue(inCall, EQuestion::Show,
				   [this, reply = std::move(inReply), id = inCall.id](const std::optional<PeerAnswer> &inAnswer)
				   {
					   JobOutcome outcome;
					   if (!inAnswer.has_value())
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
	this->AskQueue(inCall, EQuestion::Count,
				   [this, reply = std::move(inReply)](const std::optional<PeerAnswer> &inAnswer)
				   {
					   JobOutcome outcome;
					   if (inAnswer.has_value())
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
		this->metrics.Gauge(name + "_omitted_records", static_cast<double>(driver->OmittedRecords()));
		this->metrics.Gauge(name + "_jobs_too_long", static_cast<double>(figures.jobs_too_long));
		this->metrics.Gauge(name + "_overdue_stops", static_cast<double>(figures.overdue_stops));
		for (const EnumName<ECancelOutcome> &outcome : cCancelOutcomeNames)
			this->metrics.Gauge(name + "_cancels_" + std::string(outcome.name),
								static_cast<double>(figures.cancels[static_cast<size_t>(outcome.value)]));
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
