// Placement of a cell's queues: which records the cell decides on, which it holds and which it redirects.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Hash.h>
#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Schedule/CancelDetails.h>
#include <Loomreach/Schedule/QueuePlacements.h>
#include <Loomreach/State/Codec.h>

namespace Loomreach::Jobs
{

// Keys in the cell's log: one letter followed by the queue, the job or a number. Versions that do not know a key skip it.
static constexpr char cPlacementKey = 'q';
static constexpr char cHeldKey = 'h';
static constexpr char cRedirectedKey = 'o';
static constexpr Millis cAskRetryMs = 100;
/// A former cell is asked at this interval whether it still has jobs of the queue.
static constexpr Millis cCheckFormerMs = 10000;
/// After this the owner of the other cell has read its inbox: it says that a job does not exist only if its last read is 2 s old at most.
static constexpr Millis cRedirectSettledMs = 5000;
/// Job ids in one question, which is one datagram.
static constexpr size_t cMaxJobsAsked = 40;

static std::string PlacementLogKey(QueueKey inQueue) { return cPlacementKey + std::to_string(inQueue); }

// ---- Start ----

bool QueuePlacements::RestorePlacement(std::string_view inValue)
{
	std::optional<Placement> placement = DecodeValue<Placement>(inValue);
	if (placement.has_value())
		this->placements[placement->site.queue] = std::move(*placement);
	return placement.has_value();
}

bool QueuePlacements::RestoreHeld(const std::string &inJob, std::string_view inValue)
{
	if (inValue.empty())
	{
		this->held.erase(inJob);
		return true;
	}
	std::optional<HeldRecords> records = DecodeValue<HeldRecords>(inValue);
	if (!records.has_value())
		return false;
	for (InboxRecord &record : records->records)
		record.queue_key = records->queue == HashBytes(record.spec.queue) ? 0 : records->queue;
	this->held[inJob] = std::move(*records);
	return true;
}

bool QueuePlacements::RestoreRedirected(std::string_view inId, std::string_view inValue)
{
	if (inValue.empty())
	{
		std::erase_if(this->outgoing, [inId](const auto &inEntry) { return std::to_string(inEntry.first) == inId; });
		return true;
	}
	std::optional<RedirectedRecord> record = DecodeValue<RedirectedRecord>(inValue);
	if (record.has_value())
		this->outgoing[record->number] = std::move(*record);
	return record.has_value();
}

void QueuePlacements::Begin(uint32 inCell, const std::set<std::pair<std::string, QueueKey>> &inQueues, const Catalogue *inCatalogue,
							Millis inNow)
{
	this->cell = inCell;
	if (!this->IsEnabled())
		return;
	for (const auto &[number, record] : this->outgoing)
	{
		this->unsent.insert(number);
		this->logged.insert(cRedirectedKey + std::to_string(number));
		this->next_number = number + 1;
	}
	for (auto &[job, records] : this->held)
	{
		this->logged.insert(cHeldKey + job);
		records.arrived_at = inNow;
		// A placement is logged only once it is registered, and the configuration may no longer have the queue
		const JobSpec &spec = records.records.front().spec;
		if (records.queue != 0 && !this->placements.contains(records.queue))
			this->AddHere({records.queue, this->cell, 0, spec.pool}).names.insert(spec.queue);
	}
	for (auto &[queue, placement] : this->placements)
		placement.moved_at = inNow;
	const auto in_newest = [inCatalogue](const std::string &inName)
	{ return inCatalogue == nullptr ? nullptr : inCatalogue->FindQueue(inName); };
	// A log of a version without placements has jobs whose queues were not registered
	for (const auto &[name, known_key] : inQueues)
	{
		const Queue *queue = in_newest(name);
		const QueueKey named_key = queue != nullptr ? KeyOf(*queue) : this->KeyOfName(name);
		const QueueKey key = known_key != 0 ? known_key : named_key;
		if (!this->placements.contains(key))
			this->AddHere({key, this->cell, 0, ""}).names.insert(name);
	}
	if (inCatalogue != nullptr)
		this->SetCatalogue(*inCatalogue, inNow);
	for (auto &[number, redirected] : this->outgoing)
		this->RestoreQueueOf(redirected);
	for (const auto &[queue, placement] : this->placements)
		this->Review(placement);
}

void QueuePlacements::RestoreQueueOf(RedirectedRecord &ioRedirected) const
{
	// The layout of earlier versions has no room for it. A record is redirected only where its queue is known
	InboxRecord &record = ioRedirected.record;
	auto placement = this->placements.find(this->KeyOfName(record.spec.queue));
	if (!this->records_name_queues || placement == this->placements.end())
		return;
	record.queue_key = placement->first;
	record.queue_version = placement->second.site.cell == ioRedirected.cell ? placement->second.site.version : 0;
}

void QueuePlacements::SetCatalogue(const Catalogue &inCatalogue, Millis inNow)
{
	if (!this->IsEnabled())
		return;
	this->version = std::max(this->version, inCatalogue.version);
	this->newest_sites.clear();
	for (const Queue &queue : inCatalogue.queues)
	{
		const QueueSite site{KeyOf(queue), CellOf(queue.pool, this->partitions), inCatalogue.version, queue.pool};
		this->newest_sites[queue.name] = site;
		auto known = this->placements.find(site.queue);
		if (known == this->placements.end())
		{
			if (site.cell == this->cell)
				this->AddHere(site).names.insert(queue.name);
			continue;
		}
		if (known->second.names.insert(queue.name).second)
			this->OnPlacementChanged(known->second, false);
		this->Adopt(known->second, site, inNow);
	}
	this->ResolveNames(std::numeric_limits<Millis>::min());
}

void QueuePlacements::ResolveNames(Millis inAsOf)
{
	std::vector<std::string> resolved;
	for (auto &[job, records] : this->held)
	{
		if (records.queue != 0)
			continue;
		Placement *placement = this->PlacementOf(records.records.front());
		if (placement == nullptr && records.arrived_at < inAsOf)
		{
			const InboxRecord &record = records.records.front();
			const JobSpec &spec = record.spec;
			const QueueKey key = record.queue_key != 0 ? record.queue_key : HashBytes(spec.queue);
			placement = &this->AddHere({key, this->cell, this->version, spec.pool});
			placement->names.insert(spec.queue);
		}
		if (placement == nullptr)
			continue;
		records.queue = placement->site.queue;
		this->to_add.insert(cHeldKey + job);
		resolved.push_back(job);
	}
	for (const std::string &job : resolved)
		if (auto records = this->held.find(job); records != this->held.end())
			this->Review(this->placements.at(records->second.queue));
}

void QueuePlacements::OnCatalogueRead(Millis inAsOf)
{
	if (this->IsEnabled())
		this->ResolveNames(inAsOf);
}

QueuePlacements::Placement &QueuePlacements::AddHere(const QueueSite &inSite)
{
	Placement &placement = this->placements[inSite.queue];
	placement.site = inSite;
	placement.site_version = inSite.version;
	placement.registered = false;
	return placement;
}

QueueKey QueuePlacements::KeyOfName(const std::string &inName) const
{
	if (auto newest = this->newest_sites.find(inName); newest != this->newest_sites.end())
		return newest->second.queue;
	for (const auto &[queue, placement] : this->placements)
		if (placement.names.contains(inName))
			return queue;
	// Of a version that this host has never read
	return HashBytes(inName);
}

bool QueuePlacements::IsKnownName(const std::string &inName) const
{
	return this->newest_sites.contains(inName) ||
		   std::any_of(this->placements.begin(), this->placements.end(),
					   [&inName](const auto &inEntry)
					   { return inEntry.first != HashBytes(inName) && inEntry.second.names.contains(inName); });
}

QueuePlacements::Placement *QueuePlacements::PlacementOf(const InboxRecord &inRecord)
{
	const std::string &name = inRecord.spec.queue;
	const QueueKey queue = inRecord.queue_key != 0 ? inRecord.queue_key : this->KeyOfName(name);
	if (auto known = this->placements.find(queue); known != this->placements.end())
		return &known->second;
	auto newest = std::find_if(this->newest_sites.begin(), this->newest_sites.end(),
							   [queue](const auto &inSite) { return inSite.second.queue == queue; });
	if (newest == this->newest_sites.end())
		return nullptr;
	// This cell has no jobs of the queue, so there is nothing to register
	Placement &added = this->placements[queue];
	added.site = newest->second;
	added.names.insert(name);
	this->OnPlacementChanged(added, true);
	return &added;
}

void QueuePlacements::AdoptPlacement(const InboxRecord &inRecord, Millis inNow)
{
	const QueueSite site{inRecord.queue_key, this->cell, inRecord.queue_version, inRecord.spec.pool};
	auto known = this->placements.find(site.queue);
	if (known == this->placements.end())
	{
		const bool in_newest = std::any_of(this->newest_sites.begin(), this->newest_sites.end(),
										   [&site](const auto &inSite) { return inSite.second.queue == site.queue; });
		if (!in_newest)
			this->AddHere(site).names.insert(inRecord.spec.queue);
		return;
	}
	// The cell's jobs are known by the names that their queues had
	if (known->second.names.insert(inRecord.spec.queue).second)
		this->OnPlacementChanged(known->second, false);
	// If the cell is the current one already, a newer version must not make it sure of its former cells before it knows of moves in between
	if (site.version > known->second.site.version && !this->IsHere(known->second))
		this->Adopt(known->second, site, inNow);
}

void QueuePlacements::OnPlacementChanged(Placement &ioPlacement, bool inUrgent)
{
	// A fence waits until its revision is in the log, which may be long for a change that waits for other records
	ioPlacement.revision += inUrgent ? 1 : 0;
	(inUrgent ? this->to_add : this->to_add_lazy).insert(PlacementLogKey(ioPlacement.site.queue));
}

void QueuePlacements::Log(std::string_view inEvent, const Placement &inPlacement) const
{
	LogEvent(ELogLevel::Info, inEvent)
		.Field("queue", inPlacement.names.empty() ? "" : *inPlacement.names.rbegin())
		.Field("cell", this->cell)
		.Field("placed_in", inPlacement.site.cell)
		.Field("pool", inPlacement.site.pool)
		.Field("version", inPlacement.site.version)
		.Field("former_cells", inPlacement.former.size());
}

void QueuePlacements::Adopt(Placement &ioPlacement, const QueueSite &inSite, Millis inNow)
{
	if (inSite.version < ioPlacement.site.version)
		return;
	const bool moved = inSite.cell != ioPlacement.site.cell;
	ioPlacement.site = inSite;
	if (!moved)
		return;
	ioPlacement.confirmed = false;
	ioPlacement.former.clear();
	ioPlacement.left.clear();
	ioPlacement.moved_at = inNow;
	if (this->IsHere(ioPlacement))
	{
		ioPlacement.site_version = inSite.version;
		ioPlacement.registered = false;
	}
	this->OnPlacementChanged(ioPlacement, true);
	this->Log("queue_moved", ioPlacement);
	this->Review(ioPlacement);
}

// ---- Records ----

EArrival QueuePlacements::OnArrival(const InboxRecord &inRecord, Millis inNow)
{
	if (!this->IsEnabled())
		return EArrival::Take;
	if (inRecord.queue_version > 0)
		this->AdoptPlacement(inRecord, inNow);
	const Placement *placement = this->PlacementOf(inRecord);
	const std::string &job = inRecord.spec.id;
	const bool is_here = placement != nullptr && this->IsHere(*placement);
	const bool handed_on = inRecord.kind == EInbox::Cancel && DetailsOf(inRecord).handed_on;
	EArrival arrival = EArrival::Held;
	// The current cell has it too
	if (handed_on && !is_here)
		return EArrival::Take;
	if (placement != nullptr && !is_here)
		arrival = EArrival::Redirect;
	else if (placement != nullptr && placement->confirmed && placement->former.empty() && !this->held.contains(job))
		return EArrival::Take;
	LogEvent(ELogLevel::Info, "record_of_moved_queue")
		.Field("request", job)
		.Field("queue", inRecord.spec.queue)
		.Field("cell", this->cell)
		.Field("placed_in", placement == nullptr ? "unknown" : std::to_string(placement->site.cell))
		.Field("version", placement == nullptr ? this->version : placement->site.version)
		.Field("registered", placement != nullptr && placement->registered ? 1 : 0)
		.Field("former_cells", placement == nullptr ? 0 : placement->former.size())
		.Field("outcome", NameOf(cArrivalNames, arrival));
	if (arrival == EArrival::Redirect)
		this->Redirect(inRecord, placement->site);
	else
		this->Hold(inRecord, placement == nullptr ? 0 : placement->site.queue, inNow);
	return arrival;
}

void QueuePlacements::Hold(const InboxRecord &inRecord, QueueKey inQueue, Millis inNow)
{
	const std::string &job = inRecord.spec.id;
	HeldRecords &records = this->held[job];
	records.queue = inQueue;
	records.arrived_at = inNow;
	// Callers may repeat a request without limit, but the log record that holds the requests has one
	const auto repeats = [&inRecord](const InboxRecord &inOther)
	{
		const bool same_cancel = inOther.spec.team == inRecord.spec.team && inOther.spec.payload == inRecord.spec.payload;
		return inOther.kind == inRecord.kind && (inRecord.kind == EInbox::Submit || same_cancel);
	};
	if (std::none_of(records.records.begin(), records.records.end(), repeats))
		records.records.push_back(inRecord);
	this->to_remove.erase(cHeldKey + job);
	this->to_add.insert(cHeldKey + job);
	if (auto placement = this->placements.find(inQueue); placement != this->placements.end())
		this->HandOnCancels(placement->second, records);
}

void QueuePlacements::HandOnCancels(const Placement &inPlacement, HeldRecords &ioRecords)
{
	if (!this->IsHere(inPlacement))
		return;
	for (const uint32 former : inPlacement.former)
	{
		size_t &handed = ioRecords.handed_on[former];
		for (; handed < ioRecords.records.size(); ++handed)
		{
			InboxRecord record = ioRecords.records[handed];
			if (record.kind != EInbox::Cancel)
				continue;
			CancelDetails details = DetailsOf(record);
			if (std::exchange(details.handed_on, true))
				continue;
			SetDetails(record, details);
			const std::string pool = record.spec.pool;
			this->Redirect(std::move(record), {ioRecords.queue, former, 0, pool});
		}
	}
}

void QueuePlacements::Redirect(InboxRecord inRecord, const QueueSite &inSite)
{
	inRecord.spec.pool = inSite.pool;
	if (this->records_name_queues)
	{
		inRecord.queue_key = inSite.queue;
		inRecord.queue_version = inSite.version;
	}
	const uint64 number = this->next_number++;
	this->outgoing[number] = {number, inSite.cell, std::move(inRecord)};
	this->unsent.insert(number);
	this->to_add.insert(cRedirectedKey + std::to_string(number));
}

std::vector<RedirectedRecord> QueuePlacements::TakeRedirected()
{
	std::vector<RedirectedRecord> taken;
	for (const uint64 number : std::exchange(this->unsent, {}))
		taken.push_back(this->outgoing.at(number));
	return taken;
}

void QueuePlacements::OnRedirected(uint64 inNumber, bool inDone, Millis inNow)
{
	auto found = this->outgoing.find(inNumber);
	if (found == this->outgoing.end())
		return;
	if (!inDone)
	{
		this->unsent.insert(inNumber);
		return;
	}
	std::erase_if(this->redirected_at, [inNow](const auto &inEntry) { return inNow - inEntry.second > cRedirectSettledMs; });
	this->redirected_at[found->second.record.spec.id] = inNow;
	this->outgoing.erase(found);
	this->Remove(cRedirectedKey + std::to_string(inNumber));
}

void QueuePlacements::DropHeld(const std::string &inJob)
{
	this->held.erase(inJob);
	this->Remove(cHeldKey + inJob);
}

void QueuePlacements::Review(const Placement &inPlacement)
{
	std::vector<std::string> decided;
	for (auto &[job, records] : this->held)
	{
		if (records.queue != inPlacement.site.queue)
			continue;
		const std::set<uint32> &lacking = records.lacking;
		const bool is_cleared = this->IsHere(inPlacement) && inPlacement.confirmed &&
								std::all_of(inPlacement.former.begin(), inPlacement.former.end(),
											[&lacking](uint32 inFormer) { return lacking.contains(inFormer); });
		this->HandOnCancels(inPlacement, records);
		if (this->IsHere(inPlacement) && !is_cleared)
			continue;
		for (InboxRecord &record : records.records)
			if (is_cleared)
				this->cleared.push_back(std::move(record));
			else
				this->Redirect(std::move(record), inPlacement.site);
		decided.push_back(job);
	}
	for (const std::string &job : decided)
		this->DropHeld(job);
}

// ---- Register of sites ----

std::vector<QueueSite> QueuePlacements::SitesToRegister(size_t inMost) const
{
	std::set<QueueKey> awaited;
	for (const auto &[job, records] : this->held)
		awaited.insert(records.queue);
	std::vector<QueueSite> sites;
	for (const bool first : {true, false})
		for (const auto &[queue, placement] : this->placements)
			if (!placement.registered && awaited.contains(queue) == first && sites.size() < inMost)
				sites.push_back({queue, this->cell, placement.site_version, placement.site.pool});
	return sites;
}

bool QueuePlacements::IsRegistrationUrgent() const
{
	return std::any_of(this->held.begin(), this->held.end(),
					   [this](const auto &inEntry)
					   {
						   auto placement = this->placements.find(inEntry.second.queue);
						   return placement != this->placements.end() && !placement->second.registered;
					   });
}

void QueuePlacements::OnRegistered(const std::vector<QueueSite> &inSites, const QueueRegistry &inRegistry, Millis inNow)
{
	for (const QueueSite &own : inSites)
	{
		auto found = this->placements.find(own.queue);
		// The queue may have moved away and back since
		if (own.cell != this->cell || found == this->placements.end() || found->second.registered ||
			found->second.site_version != own.version)
			continue;
		Placement &placement = found->second;
		placement.registered = true;
		placement.confirmed = this->IsHere(placement);
		this->AddFormer(placement, inRegistry, inNow);
		this->OnPlacementChanged(placement, false);
		this->Log("queue_registered", placement);
		this->Review(placement);
	}
}

bool QueuePlacements::AddFormer(Placement &ioPlacement, const QueueRegistry &inRegistry, Millis inNow)
{
	bool is_changed = false;
	for (const QueueSite &other : inRegistry.SitesOf(ioPlacement.site.queue))
	{
		if (!this->IsHere(ioPlacement) || other.cell == this->cell)
			continue;
		if (other.version > ioPlacement.site.version)
		{
			this->Adopt(ioPlacement, other, inNow);
			return true;
		}
		auto left = ioPlacement.left.find(other.cell);
		const bool has_left = left != ioPlacement.left.end() && left->second >= other.version;
		const bool is_known = std::find(ioPlacement.former.begin(), ioPlacement.former.end(), other.cell) != ioPlacement.former.end();
		if (has_left || is_known)
			continue;
		ioPlacement.former.push_back(other.cell);
		is_changed = true;
	}
	return is_changed;
}

void QueuePlacements::OnRegistry(const QueueRegistry &inRegistry, Millis inNow)
{
	for (auto &[queue, placement] : this->placements)
		if (placement.confirmed && this->IsHere(placement) && this->AddFormer(placement, inRegistry, inNow))
		{
			this->OnPlacementChanged(placement, false);
			this->Log("queue_has_former_cells", placement);
			this->Review(placement);
		}
}

// ---- Questions between the cells of a queue ----

std::vector<MoveQuestion> QueuePlacements::TakeQuestions(Millis inNow)
{
	std::vector<MoveQuestion> questions;
	for (const auto &[queue, placement] : this->placements)
	{
		if (!this->IsHere(placement) || !placement.confirmed)
			continue;
		for (const uint32 former : placement.former)
		{
			AskedCell &ask = this->asked[{queue, former}];
			if (ask.in_flight || inNow < ask.retry_at)
				continue;
			MoveQuestion question{placement.site, former, {}};
			for (const auto &[job, records] : this->held)
				if (records.queue == queue && !records.lacking.contains(former) && question.jobs.size() < cMaxJobsAsked)
					question.jobs.push_back(job);
			if (question.jobs.empty() && inNow < ask.check_at)
				continue;
			ask.in_flight = true;
			questions.push_back(std::move(question));
		}
	}
	return questions;
}

void QueuePlacements::OnAnswer(const MoveQuestion &inQuestion, const std::optional<MoveAnswer> &inAnswer, Millis inNow)
{
	AskedCell &ask = this->asked[{inQuestion.site.queue, inQuestion.former}];
	ask.in_flight = false;
	const bool is_fenced = inAnswer.has_value() && inAnswer->fenced;
	ask.retry_at = is_fenced ? inNow : inNow + cAskRetryMs;
	if (is_fenced)
		ask.check_at = inNow + cCheckFormerMs;
	auto found = this->placements.find(inQuestion.site.queue);
	if (!inAnswer.has_value() || found == this->placements.end())
		return;
	Placement &placement = found->second;
	if (inAnswer->site.version > placement.site.version && inAnswer->site.cell != this->cell)
		return this->Adopt(placement, inAnswer->site, inNow);
	// The queue may have moved away and back since the question
	if (!is_fenced || !this->IsHere(placement) || inQuestion.site.version < placement.site_version)
		return;
	for (const std::string &job : inQuestion.jobs)
		this->OnJobAnswer(job, inQuestion.former, *inAnswer);
	if (!inAnswer->holds_jobs && std::erase(placement.former, inQuestion.former) > 0)
	{
		// A site that is registered again has a newer version
		placement.left[inQuestion.former] = inQuestion.site.version;
		this->OnPlacementChanged(placement, false);
		this->Log("queue_left_cell", placement);
	}
	this->Review(placement);
}

void QueuePlacements::OnJobAnswer(const std::string &inJob, uint32 inFormer, const MoveAnswer &inAnswer)
{
	auto found = this->held.find(inJob);
	if (found == this->held.end())
		return;
	if (std::find(inAnswer.known.begin(), inAnswer.known.end(), inJob) == inAnswer.known.end())
	{
		const bool is_new = found->second.lacking.insert(inFormer).second;
		if (auto early = inAnswer.canceled.find(inJob); is_new && early != inAnswer.canceled.end())
		{
			for (const EarlyCancel &cancel : early->second)
			{
				InboxRecord record = CancelRecord(inJob, cancel);
				SetDetails(record, {cancel.key_hash, true});
				found->second.records.push_back(std::move(record));
			}
			this->to_add.insert(cHeldKey + inJob);
		}
		return;
	}
	// The job stays in the former cell. A submission is a repeated one, and cancellations have been handed on unless another cell did so
	LogEvent(ELogLevel::Info, "job_in_former_cell").Field("request", inJob).Field("cell", this->cell).Field("former", inFormer);
	for (InboxRecord &record : found->second.records)
		if (record.kind == EInbox::Cancel && DetailsOf(record).handed_on)
		{
			const std::string pool = record.spec.pool;
			this->Redirect(std::move(record), {found->second.queue, inFormer, 0, pool});
		}
	this->DropHeld(inJob);
}

void QueuePlacements::Answer(const MoveQuestion &inQuestion, MoveAnswer &ioAnswer, Millis inNow)
{
	auto [found, is_new] = this->placements.try_emplace(inQuestion.site.queue);
	Placement &placement = found->second;
	if (is_new)
	{
		placement.site = inQuestion.site;
		placement.moved_at = inNow;
		this->OnPlacementChanged(placement, true);
	}
	this->Adopt(placement, inQuestion.site, inNow);
	ioAnswer.site = placement.site;
	ioAnswer.fenced = placement.site.cell == inQuestion.site.cell && placement.logged_revision == placement.revision;
	// A host with an older configuration may still hand jobs in here for a while
	ioAnswer.holds_jobs =
		ioAnswer.holds_jobs || this->CountUndecided(inQuestion.site.queue) > 0 || inNow - placement.moved_at < this->keep_ms;
}

QueueStatus QueuePlacements::StatusOf(QueueKey inQueue) const
{
	if (!this->IsEnabled())
		return {true, this->version, {}};
	auto found = this->placements.find(inQueue);
	if (found == this->placements.end())
		return {false, this->version, {}};
	const Placement &placement = found->second;
	if (!this->IsHere(placement))
		return {false, placement.site.version, {placement.site.cell}};
	return {placement.confirmed, std::max(this->version, placement.site.version), placement.former};
}

bool QueuePlacements::IsUndecided(const std::string &inJob, Millis inNow) const
{
	const auto is_job = [&inJob](const auto &inEntry) { return inEntry.second.record.spec.id == inJob; };
	if (this->held.contains(inJob) || std::any_of(this->outgoing.begin(), this->outgoing.end(), is_job))
		return true;
	const auto is_record = [&inJob](const InboxRecord &inRecord) { return inRecord.spec.id == inJob; };
	if (std::any_of(this->cleared.begin(), this->cleared.end(), is_record))
		return true;
	auto sent = this->redirected_at.find(inJob);
	return sent != this->redirected_at.end() && inNow - sent->second < cRedirectSettledMs;
}

uint32 QueuePlacements::CountUndecided(QueueKey inQueue) const
{
	uint32 count = 0;
	for (const auto &[job, records] : this->held)
		count += records.queue == inQueue ? 1 : 0;
	for (const auto &[number, record] : this->outgoing)
		count += record.record.kind == EInbox::Submit && this->KeyOfName(record.record.spec.queue) == inQueue ? 1 : 0;
	return count;
}

// ---- Log ----

std::string QueuePlacements::ValueOf(const std::string &inKey)
{
	const std::string id = inKey.substr(1);
	if (inKey[0] == cHeldKey)
		return this->held.contains(id) ? EncodeValue(this->held.at(id)) : "";
	if (inKey[0] == cRedirectedKey)
	{
		auto record = this->outgoing.find(std::stoull(id));
		return record == this->outgoing.end() ? "" : EncodeValue(record->second);
	}
	Placement &placement = this->placements.at(std::stoull(id));
	placement.appending_revision = placement.revision;
	return EncodeValue(placement);
}

void QueuePlacements::Remove(const std::string &inKey)
{
	this->to_add.erase(inKey);
	if (this->logged.contains(inKey))
		this->to_remove.insert(inKey);
}

bool QueuePlacements::AddRecords(size_t inBytes, bool inWhole, std::vector<KeyedRecord> &outBatch)
{
	size_t bytes = 0;
	const auto add = [&](std::set<std::string> &ioKeys)
	{
		while (!ioKeys.empty() && bytes < inBytes)
		{
			const std::string key = std::move(ioKeys.extract(ioKeys.begin()).value());
			outBatch.push_back({key, this->ValueOf(key)});
			bytes += outBatch.back().value.size();
			this->logged.insert(key);
		}
	};
	add(this->to_add);
	if (!outBatch.empty())
		add(this->to_add_lazy);
	if (!this->to_add.empty())
		return false;
	if (!inWhole)
		return true;
	for (const std::string &key : std::exchange(this->removable, {}))
		if (this->to_remove.erase(key) > 0)
		{
			this->logged.erase(key);
			outBatch.push_back({key, ""});
		}
	return true;
}

void QueuePlacements::OnAppended()
{
	for (auto &[queue, placement] : this->placements)
		placement.logged_revision = placement.appending_revision;
}

} // namespace Loomreach::Jobs
