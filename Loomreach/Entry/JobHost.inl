// Wires an entry host together.

namespace Loomreach::Jobs
{

inline constexpr Millis cOperatorWaitMs =
	900; ///< A read of the operator's records waits this long: with its timeout it bounds the lag under 2 s.
inline constexpr Millis cFollowAgainMs = 200;
inline constexpr Millis cWorkersEveryMs = 400; ///< An owner looks for news of workers this often: drains count within 2 s.
inline constexpr Millis cWorkersShortMs = 150; ///< And this often while work waits for room.
inline constexpr Millis cBeatsOfLease = 4;     ///< Heartbeats, and reads of the others', in one lease: three may be lost.
inline constexpr Millis cHostsClaimMs = 120;   ///< While a cell seems free.
inline constexpr Millis cHostTickMs = 50;
inline constexpr Millis cEnterAgainMs = 60;   ///< A submission without an answer is appended again after this; one id stays one job.
inline constexpr Millis cEnterMarginMs = 150; ///< Before the caller's deadline the last word is said.
inline constexpr Millis cEnterTimeoutMs = 700;
inline constexpr Millis cEnterLeastMs =
	200; ///< An append is never given up sooner: a caller with little time left is better answered late than in doubt.
inline constexpr Millis cAskTimeoutMs = 700;
inline constexpr size_t cMostHelpers = 2;      ///< Hosts asked to put a record into an inbox for this one.
inline constexpr Millis cHelperMs = 500;       ///< Each of them has this long.
inline constexpr Millis cStoreSilentMs = 1800; ///< Without an answer of the store for this long, callers are sent elsewhere.
inline constexpr Millis cStopGiveBackMs = 400; ///< A planned stop waits this long for appends under way.
inline constexpr Millis cStopServeMs = 3200; ///< And goes on answering this long: the balancer needs two missed questions, a second apart.

inline LeaseTuning LeaseTuningOf(const JobHostConfig &inConfig)
{
	LeaseTuning tuning;
	tuning.lease_ms = inConfig.owner_lease_ms;
	tuning.slack_ms = inConfig.owner_slack_ms;
	tuning.beat_ms = inConfig.owner_lease_ms / cBeatsOfLease;
	return tuning;
}

template <class Hub>
JobHost<Hub>::JobHost(JobHostConfig inConfig)
	: config(std::move(inConfig)), lease_tuning(LeaseTuningOf(config)), lease(lease_tuning), owners(config.name, lease_tuning),
	  life(HashBytes(config.name, static_cast<uint64>(g_get_real_time()) ^ (static_cast<uint64>(g_random_int()) << 32))), hub(config),
	  door(*this), peers(config.peers, metrics,
						 [this](const PeerQuestion &inQuestion, std::function<void(PeerAnswer)> inReply)
						 { this->OnQuestion(inQuestion, std::move(inReply)); })
{
}

template <class Hub>
bool JobHost<Hub>::Start()
{
	if (!this->peers.Open() || !this->door.Open(this->config.callers, this->config.ready, static_cast<uint16>(this->config.metrics_port)))
		return false;
	LogEvent(ELogLevel::Info, "started")
		.Field("host", this->config.name)
		.Field("zone", this->config.availability_zone)
		.Field("life", this->life)
		.Field("worker_lease_ms", this->config.worker_lease_ms)
		.Field("owner_lease_ms", this->config.owner_lease_ms);
	this->LoadOperator();
	this->LoadHosts();
	this->tick.Every(cHostTickMs, [this] { this->Tick(); });
	return true;
}

// ---- The operator's records ----

template <class Hub>
void JobHost<Hub>::LoadOperator()
{
	this->hub.store.Newest(Hub::OperatorLog(),
						   [this](const NewestAnswer &inAnswer)
						   {
							   if (!inAnswer.good)
								   return this->operator_timer.Once(cFollowAgainMs, [this] { this->LoadOperator(); });
							   this->store_heard_at = NowMillis();
							   for (const LogRecord &record : inAnswer.records)
								   this->OnOperatorRecord(record);
							   this->FollowOperator(inAnswer.end);
						   });
}

template <class Hub>
void JobHost<Hub>::FollowOperator(uint64 inFrom)
{
	this->hub.store.Read(Hub::OperatorLog(), true, inFrom, cOperatorWaitMs,
						 [this, inFrom](const ReadAnswer &inAnswer)
						 {
							 if (inAnswer.result == ERead::Gone)
								 return this->LoadOperator();
							 if (inAnswer.result == ERead::Failed)
								 return this->operator_timer.Once(cFollowAgainMs, [this, inFrom] { this->FollowOperator(inFrom); });
							 this->store_heard_at = NowMillis();
							 for (const LogRecord &record : inAnswer.records)
								 this->OnOperatorRecord(record);
							 this->FollowOperator(inAnswer.next);
						 });
}

template <class Hub>
void JobHost<Hub>::OnOperatorRecord(const LogRecord &inRecord)
{
	if (Hub::IsCatalogueKey(inRecord.key))
	{
		std::optional<Catalogue> read = Hub::DecodeCatalogue(inRecord.value);
		if (!read.has_value())
		{
			LogEvent(ELogLevel::Error, "configuration_refused").Field("why", LastReasonText());
			return;
		}
		// Never back: pages and records may overlap
		if (this->catalogue != nullptr && read->version <= this->catalogue->version)
			return;
		LogEvent(ELogLevel::Info, "configuration")
			.Field("version", read->version)
			.Field("queues", read->queues.size())
			.Field("pools", read->pools.size());
		this->catalogue = std::make_shared<const Catalogue>(std::move(*read));
		for (auto &[cell, seat] : this->seats)
			seat->SetCatalogue(this->catalogue);
		if (this->fleet != nullptr)
			this->fleet->SetCatalogue(this->catalogue);
		return;
	}
	const std::optional<UpkeepWave> wave = inRecord.value.empty() ? std::nullopt : Hub::DecodeWave(inRecord.key, inRecord.value);
	if (!wave.has_value())
		return;
	this->waves[wave->number] = *wave;
	if (this->fleet != nullptr && this->fleet->IsHeld())
		this->fleet->SetWaves(this->waves);
}

// ---- The workers' entries ----

template <class Hub>
void JobHost<Hub>::LoadWorkers()
{
	// Only owners need the workers, and one reading at a time is enough
	const uint64 reading = ++this->workers_reading;
	this->hub.store.Newest(Hub::WorkersLog(),
						   [this, reading](const NewestAnswer &inAnswer)
						   {
							   if (reading != this->workers_reading)
								   return;
							   if (!inAnswer.good)
								   return this->workers_timer.Once(cFollowAgainMs, [this] { this->LoadWorkers(); });
							   this->workers.clear();
							   for (const LogRecord &record : inAnswer.records)
								   this->OnWorkerRecord(record);
							   this->TellWorkers();
							   this->FollowWorkers(inAnswer.end, reading);
						   });
}

template <class Hub>
void JobHost<Hub>::FollowWorkers(uint64 inFrom, uint64 inReading)
{
	const auto on_read = [this, inFrom, inReading](const ReadAnswer &inAnswer)
	{
		if (inReading != this->workers_reading || this->seats.empty())
			return;
		if (inAnswer.result == ERead::Gone)
			return this->LoadWorkers();
		for (const LogRecord &record : inAnswer.records)
			this->OnWorkerRecord(record);
		if (!inAnswer.records.empty())
			this->TellWorkers();
		this->FollowWorkers(inAnswer.result == ERead::Done ? inAnswer.next : inFrom, inReading);
	};
	this->workers_timer.Once(cWorkersEveryMs,
							 [this, inFrom, on_read] { this->hub.store.Read(Hub::WorkersLog(), true, inFrom, 0, on_read); });
}

template <class Hub>
void JobHost<Hub>::OnWorkerRecord(const LogRecord &inRecord)
{
	// An empty record takes the worker off the list
	if (inRecord.value.empty())
	{
		this->workers.erase(inRecord.key);
		return;
	}
	std::optional<WorkerEntry> entry = Hub::DecodeWorker(inRecord.key, inRecord.value);
	if (entry.has_value())
		this->workers[inRecord.key] = std::move(*entry);
	else
		LogEvent(ELogLevel::Warning, "worker_entry_refused").Field("worker", inRecord.key).Field("why", LastReasonText());
}

template <class Hub>
void JobHost<Hub>::TellWorkers()
{
	if (this->seats.empty())
		return;
	std::vector<WorkerEntry> all;
	for (const auto &[id, entry] : this->workers)
		all.push_back(entry);
	for (auto &[cell, seat] : this->seats)
		if (seat->IsHeld())
			seat->SetWorkers(all);
}

// ---- Ownership ----

template <class Hub>
size_t JobHost<Hub>::Owned() const
{
	return this->seats.size() + (this->fleet == nullptr ? 0 : 1);
}

template <class Hub>
void JobHost<Hub>::LoadHosts()
{
	this->hub.store.Newest(HostsLog(),
						   [this](const NewestAnswer &inAnswer)
						   {
							   if (!inAnswer.good)
								   return this->hosts_timer.Once(cHostsClaimMs, [this] { this->LoadHosts(); });
							   this->OnHostRecords(inAnswer.records);
							   this->FollowHosts(inAnswer.end);
						   });
}

template <class Hub>
void JobHost<Hub>::FollowHosts(uint64 inFrom)
{
	// A host that could take a free cell looks again soon
	const Millis gap = this->cells_free ? cHostsClaimMs : this->BeatInterval(NowMillis());
	this->hosts_timer.Once(gap,
						   [this, inFrom]
						   {
							   this->hub.store.Read(HostsLog(), true, inFrom, 0,
													[this, inFrom](const ReadAnswer &inAnswer)
													{
														if (inAnswer.result == ERead::Gone)
															return this->LoadHosts();
														if (inAnswer.result == ERead::Done)
															this->OnHostRecords(inAnswer.records);
														this->FollowHosts(inAnswer.result == ERead::Done ? inAnswer.next : inFrom);
													});
						   });
}

template <class Hub>
void JobHost<Hub>::OnHostRecords(const std::vector<LogRecord> &inRecords)
{
	const Millis now = NowMillis();
	this->store_heard_at = now;
	for (const LogRecord &record : inRecords)
	{
		const std::optional<HostBeat> beat = DecodeValue<HostBeat>(record.value);
		if (beat.has_value())
			this->owners.OnBeat(*beat, now);
	}
	this->DropSuperseded();
	this->ConsiderClaims();
}

template <class Hub>
void JobHost<Hub>::DropSuperseded()
{
	for (const auto &[cell, seat] : this->seats)
		if (seat->IsHeld() && this->owners.IsSuperseded(cell, seat->Epoch()))
			this->lost_seats.push_back(cell);
	if (this->fleet != nullptr && this->fleet->IsHeld() && this->owners.IsSuperseded(cFleetCell, this->fleet->Epoch()))
		this->lost_seats.push_back(cFleetCell);
	for (uint32 cell : this->lost_seats)
		LogEvent(ELogLevel::Warning, "cell_superseded").Field("cell", cell);
}

template <class Hub>
void JobHost<Hub>::ConsiderClaims()
{
	this->cells_free = false;
	if (this->catalogue == nullptr || this->stopping)
		return;
	const Millis now = NowMillis();
	std::set<uint32> cells;
	if (this->config.machines.has_value())
		cells.insert(cFleetCell);
	for (const auto &[name, pool] : this->catalogue->pools)
		cells.insert(CellOf(name, this->Parts()));
	std::erase_if(cells, [this](uint32 inCell) { return inCell == cFleetCell ? this->fleet != nullptr : this->seats.contains(inCell); });
	for (uint32 cell : cells)
		this->cells_free = this->cells_free || this->owners.IsFree(cell, now);
	// A lease of one's own comes first
	if (!this->lease.MayAct(now))
		return;
	for (uint32 cell : this->owners.ToClaim(cells, now))
	{
		this->owners.PutOff(cell, now);
		if (cell == cFleetCell)
			this->ClaimFleet();
		else
			this->ClaimCell(cell);
	}
}

template <class Hub>
void JobHost<Hub>::ClaimCell(uint32 inCell)
{
	const SeatContext context{this->config, this->metrics, this->lease, this->owners, this->life};
	auto seat = std::make_unique<CellSeat<Hub>>(this->hub, context, inCell);
	seat->SetCatalogue(this->catalogue);
	CellSeat<Hub> *claimed = seat.get();
	this->seats[inCell] = std::move(seat);
	claimed->Claim(this->beat_number,
				   [this, inCell](bool inHeld)
				   {
					   this->metrics.Count(ECounter::Claims, inHeld ? "won" : "lost");
					   if (!inHeld)
						   return this->lost_seats.push_back(inCell);
					   this->Beat();
					   this->LoadWorkers();
				   });
}

template <class Hub>
void JobHost<Hub>::ClaimFleet()
{
	const SeatContext context{this->config, this->metrics, this->lease, this->owners, this->life};
	this->fleet = std::make_unique<FleetSeat<Hub>>(this->hub, context,
												   [this](const std::string &inPool, PeerQuestion inQuestion, PeerQuery::OnAnswer inDone)
												   {
													   const uint32 cell = CellOf(inPool, this->Parts());
													   inQuestion.cell = cell;
													   this->AskCell(cell, inQuestion, cAskOwnerMs, std::move(inDone));
												   });
	this->fleet->SetCatalogue(this->catalogue);
	this->fleet->Claim(this->beat_number,
					   [this](bool inHeld)
					   {
						   this->metrics.Count(ECounter::Claims, inHeld ? "won" : "lost");
						   if (!inHeld)
							   return this->lost_seats.push_back(cFleetCell);
						   this->Beat();
						   this->fleet->SetWaves(this->waves);
					   });
}

template <class Hub>
Millis JobHost<Hub>::BeatInterval(Millis inNow) const
{
	return this->Owned() > 0 ? this->lease_tuning.beat_ms : this->owners.IdleInterval(inNow);
}

template <class Hub>
void JobHost<Hub>::Beat()
{
	if (this->beat_under_way)
		return;
	HostBeat beat;
	beat.host = this->config.name;
	beat.life = this->life;
	beat.number = ++this->beat_number;
	beat.address = this->config.peers;
	beat.weight = static_cast<uint32>(this->config.processor_milli);
	beat.claims = !this->stopping;
	beat.every_ms = this->BeatInterval(NowMillis());
	if (!this->stopping)
	{
		for (const auto &[cell, seat] : this->seats)
			beat.cells.push_back({cell, seat->Epoch(), seat->IsHeld()});
		if (this->fleet != nullptr)
			beat.cells.push_back({cFleetCell, this->fleet->Epoch(), this->fleet->IsHeld()});
	}
	AppendCall call;
	call.log = HostsLog();
	call.keyed = true;
	call.records.push_back({beat.host, EncodeValue(beat), 0});
	call.timeout_ms = cEnterTimeoutMs;
	const Millis sent_at = NowMillis();
	this->beat_sent_at = sent_at;
	this->beat_under_way = true;
	this->hub.store.Append(call,
						   [this, sent_at](const AppendAnswer &inAnswer)
						   {
							   this->beat_under_way = false;
							   if (inAnswer.result != EAppend::Done)
								   return;
							   const bool kept = this->lease.OnAcknowledged(sent_at, NowMillis());
							   if (!kept && this->Owned() > 0)
								   this->DropSeats("heartbeat acknowledged too late");
						   });
}

template <class Hub>
void JobHost<Hub>::DropSeats(std::string_view inWhy)
{
	LogEvent(ELogLevel::Warning, "cells_dropped").Field("count", this->Owned()).Field("why", inWhy);
	this->seats.clear();
	this->fleet.reset();
	this->lost_seats.clear();
}

template <class Hub>
void JobHost<Hub>::Tick()
{
	const Millis now = NowMillis();
	for (uint32 cell : std::exchange(this->lost_seats, {}))
	{
		if (cell == cFleetCell)
			this->fleet.reset();
		else
			this->seats.erase(cell);
	}
	if (this->Owned() > 0 && !this->lease.MayAct(now))
		this->DropSeats("lease over");
	// Also without cells: a host that is heard of may take over at once
	if (now - this->beat_sent_at >= this->BeatInterval(now))
		this->Beat();
	const bool heard = this->store_heard_at >= 0 && now - this->store_heard_at <= cStoreSilentMs;
	if (heard != this->store_heard)
	{
		this->store_heard = heard;
		LogEvent(ELogLevel::Warning, heard ? "store_back" : "store_silent").Field("heard_ms_ago", now - this->store_heard_at);
	}
	if (this->stopping)
		this->FinishStop();
}

// ---- Callers ----

template <class Hub>
std::optional<Queue> JobHost<Hub>::FindQueue(std::string_view inHost, std::string_view inPath, EError &outError)
{
	outError = this->catalogue == nullptr ? EError::NotReady : EError::NoSuchService;
	const Queue *queue = this->catalogue == nullptr ? nullptr : this->catalogue->Find(inHost, inPath);
	if (queue == nullptr)
		return Fail(outError, std::string(inHost) + std::string(inPath));
	return *queue;
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
	const Queue &queue = inCall.queue;
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
	entering->record.spec.queue = inCall.queue.name;
	entering->cell = CellOf(inCall.queue.pool, this->Parts());
	entering->give_up_at = GiveUpAt(inCall);
	entering->reply = std::move(inReply);
	this->Enter(std::move(entering));
}

template <class Hub>
void JobHost<Hub>::Enter(std::shared_ptr<Entering> inEntering)
{
	// A store that has been silent to this host for long is not waited for again; once no helper has helped, it is
	if (!this->store_heard && !std::exchange(inEntering->helped, true))
		return this->EnterByHelper(inEntering, 0);
	inEntering->tried = true;
	AppendCall call;
	call.log = InboxLog(inEntering->cell, this->Parts());
	call.records.push_back({"", EncodeValue(inEntering->record), 0});
	call.timeout_ms = std::clamp<Millis>(inEntering->give_up_at - NowMillis(), cEnterLeastMs, cEnterTimeoutMs);
	this->hub.store.Append(call,
						   [this, entering = std::move(inEntering)](const AppendAnswer &inAnswer)
						   {
							   const bool is_cancel = entering->record.kind == EInbox::Cancel;
							   JobOutcome outcome;
							   if (inAnswer.result == EAppend::Done)
							   {
								   LogEvent(ELogLevel::Info, is_cancel ? "cancel_accepted" : "job_accepted")
									   .Field("request", entering->record.spec.id)
									   .Field("queue", entering->record.spec.queue)
									   .Field("version", this->catalogue->version)
									   .Field("cell", entering->cell)
									   .Field("offset", inAnswer.offset);
								   return this->Answer(entering->reply, outcome);
							   }
							   entering->in_doubt = entering->in_doubt || inAnswer.result == EAppend::Unknown;
							   if (std::exchange(entering->helped, true))
								   return this->EnterAgainOrRefuse(entering);
							   this->EnterByHelper(entering, 0);
						   });
}

template <class Hub>
void JobHost<Hub>::EnterByHelper(const std::shared_ptr<Entering> &inEntering, size_t inHelper)
{
	const std::vector<Address> helpers = this->owners.Helpers(inEntering->cell);
	const Millis left = inEntering->give_up_at - NowMillis();
	if (inHelper >= std::min(helpers.size(), cMostHelpers) || left < cHelperMs / 2)
		return inEntering->tried ? this->EnterAgainOrRefuse(inEntering) : this->Enter(inEntering);
	// The store may turn away this host alone
	PeerQuestion question;
	question.kind = EQuestion::Enter;
	question.cell = inEntering->cell;
	question.record = EncodeValue(inEntering->record);
	this->peers.Ask(helpers[inHelper], std::move(question), std::min(left, cHelperMs),
					[this, inEntering, inHelper](const std::optional<PeerAnswer> &inAnswer)
					{
						const bool entered = inAnswer.has_value() && inAnswer->entered;
						inEntering->in_doubt = inEntering->in_doubt || !inAnswer.has_value() || (!entered && !inAnswer->not_entered);
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
	// What may have been appended is appended again: the id makes it one job, and only then is the answer known
	const bool time_left = NowMillis() + cEnterAgainMs < inEntering->give_up_at;
	if ((inEntering->in_doubt || is_cancel) && time_left)
	{
		return After(cEnterAgainMs, [this, inEntering] { this->Enter(inEntering); });
	}
	JobOutcome outcome;
	outcome.error = inEntering->in_doubt ? EError::VerdictLost : EError::PlatformDown;
	LogEvent(ELogLevel::Warning, "job_not_accepted")
		.Field("request", inEntering->record.spec.id)
		.Field("queue", inEntering->record.spec.queue)
		.Field("outcome", AnswerOf(outcome.error).name)
		.Field("store_heard_ms_ago", NowMillis() - this->store_heard_at);
	this->Answer(inEntering->reply, outcome);
}

template <class Hub>
void JobHost<Hub>::OnQuestion(const PeerQuestion &inQuestion, std::function<void(PeerAnswer)> inReply)
{
	if (inQuestion.kind != EQuestion::Enter)
		return inReply(this->AnswerPeer(inQuestion));
	// Only what decodes is passed on
	if (!DecodeValue<InboxRecord>(inQuestion.record).has_value())
	{
		PeerAnswer refusal;
		refusal.not_entered = true;
		return inReply(refusal);
	}
	AppendCall call;
	call.log = InboxLog(inQuestion.cell, this->Parts());
	call.records.push_back({"", inQuestion.record, 0});
	call.timeout_ms = cHelperMs;
	this->hub.store.Append(call,
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
	question.queue = inCall.queue.name;
	question.id = inCall.id;
	const uint32 cell = CellOf(inCall.queue.pool, this->Parts());
	this->AskCell(cell, question, std::min(cAskTimeoutMs, inCall.deadline_ms / 2),
				  [this, reply = std::move(inReply), id = inCall.id](const std::optional<PeerAnswer> &inAnswer)
				  {
					  JobOutcome outcome;
					  // Without an owner that has read all, nobody can say that there is no such job
					  if (!inAnswer.has_value() || !inAnswer->owner || (!inAnswer->known && !inAnswer->sure))
						  outcome.error = EError::NotReady;
					  else if (!inAnswer->known)
						  outcome.error = EError::JobGone;
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
	question.queue = inCall.queue.name;
	this->AskCell(CellOf(inCall.queue.pool, this->Parts()), question, std::min(cAskTimeoutMs, inCall.deadline_ms / 2),
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
	return this->catalogue != nullptr && !this->stopping && this->store_heard;
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

// ---- Stop ----

template <class Hub>
void JobHost<Hub>::Stop(std::function<void()> inDone)
{
	LogEvent(ELogLevel::Info, "stopping").Field("cells", this->Owned()).Field("under_way", this->door.UnderWay());
	this->on_stopped = std::move(inDone);
	this->stopping = true;
	this->stop_at = NowMillis();
}

template <class Hub>
void JobHost<Hub>::FinishStop()
{
	const Millis since = NowMillis() - this->stop_at;
	bool quiet = this->fleet == nullptr || this->fleet->IsQuiet();
	for (const auto &[cell, seat] : this->seats)
		quiet = quiet && seat->IsQuiet();
	// A heartbeat without cells gives them back at once: successors need not wait for the lease
	if (this->Owned() > 0 && (quiet || since >= cStopGiveBackMs))
	{
		this->seats.clear();
		this->fleet.reset();
		this->Beat();
	}
	if (since < cStopServeMs || this->door.UnderWay() > 0 || this->on_stopped == nullptr)
		return;
	LogEvent(ELogLevel::Info, "stopped").Field("after_ms", since);
	const std::function<void()> done = std::exchange(this->on_stopped, nullptr);
	done();
}

} // namespace Loomreach::Jobs
