// What an entry host reads of the platform: the operator's records and the workers' entries.

namespace Loomreach::Jobs
{

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
							   this->operator_heard_at = this->store_heard_at;
							   for (const LogRecord &record : inAnswer.records)
								   this->OnOperatorRecord(record);
							   this->KeepZoneOrders(inAnswer);
							   this->FollowOperatorSoon(inAnswer.end);
						   });
}

template <class Hub>
Millis JobHost<Hub>::OperatorGap(Millis inNow) const
{
	// Owners decide by it, and are few
	if (this->Owned() > 0)
		return 0;
	const Millis spread = this->budget.Spread(this->owners.HostsAtWork(inNow), this->catalogue_bytes);
	// Looking more often than reads that wait come back would cost more calls than it saves
	return spread < cOperatorWaitMs ? 0 : std::min(spread, cMostOperatorGapMs);
}

template <class Hub>
void JobHost<Hub>::FollowOperatorSoon(uint64 inFrom)
{
	const Millis gap = this->OperatorGap(NowMillis());
	if (gap == 0)
		return this->FollowOperator(inFrom, cOperatorWaitMs);
	// Reads that wait are all answered at the moment of a change. Each host looks by itself instead, some sooner and some later
	this->operator_timer.Once(this->DrawPause(gap), [this, inFrom] { this->FollowOperator(inFrom, 0); });
}

template <class Hub>
void JobHost<Hub>::FollowOperator(uint64 inFrom, Millis inWaitMs)
{
	this->hub.store.Read(Hub::OperatorLog(), true, inFrom, inWaitMs,
						 [this, inFrom](const ReadAnswer &inAnswer)
						 {
							 if (inAnswer.result == ERead::Gone)
								 return this->LoadOperator();
							 if (inAnswer.result == ERead::Failed)
								 return this->operator_timer.Once(cFollowAgainMs, [this, inFrom] { this->FollowOperator(inFrom, 0); });
							 this->store_heard_at = NowMillis();
							 this->operator_heard_at = this->store_heard_at;
							 for (const LogRecord &record : inAnswer.records)
								 this->OnOperatorRecord(record);
							 this->FollowOperatorSoon(inAnswer.next);
						 });
}

template <class Hub>
void JobHost<Hub>::OnOperatorRecord(const LogRecord &inRecord)
{
	if (Hub::IsCatalogueKey(inRecord.key))
		return this->OnCatalogue(inRecord);
	if (Hub::IsZoneOrderKey(inRecord.key))
		return this->OnZoneOrder(inRecord);
	const std::optional<UpkeepWave> wave = inRecord.value.empty() ? std::nullopt : Hub::DecodeWave(inRecord.key, inRecord.value);
	if (!wave.has_value())
		return;
	this->waves[wave->number] = *wave;
	if (this->fleet != nullptr && this->fleet->IsHeld())
		this->fleet->SetWaves(this->waves);
}

template <class Hub>
void JobHost<Hub>::OnCatalogue(const LogRecord &inRecord)
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
		.Field("pools", read->pools.size())
		.Field("teams", read->teams.has_value() ? static_cast<int64>(read->teams->size()) : -1);
	this->catalogue_bytes = inRecord.value.size();
	this->catalogue = std::make_shared<const Catalogue>(std::move(*read));
	for (auto &[cell, seat] : this->seats)
		seat->SetCatalogue(this->catalogue);
	if (this->fleet != nullptr)
		this->fleet->SetCatalogue(this->catalogue);
}

template <class Hub>
void JobHost<Hub>::OnZoneOrder(const LogRecord &inRecord)
{
	const std::optional<ZoneOrder> order = Hub::DecodeZoneOrder(inRecord.key, inRecord.value);
	if (!order.has_value())
	{
		LogEvent(ELogLevel::Error, "zone_order_refused").Field("offset", inRecord.offset).Field("why", LastReasonText());
		return;
	}
	if (!this->evacuations.Note(*order, inRecord.offset))
		return;
	LogEvent(ELogLevel::Info, order->evacuate ? "zone_evacuated" : "zone_taken_back")
		.Field("zone", order->availability_zone)
		.Field("offset", inRecord.offset)
		.Field("cells", this->Owned());
	this->TellZones();
}

template <class Hub>
void JobHost<Hub>::KeepZoneOrders(const NewestAnswer &inAnswer)
{
	std::set<std::string> named;
	for (const LogRecord &record : inAnswer.records)
		if (Hub::IsZoneOrderKey(record.key))
			if (const std::optional<ZoneOrder> order = Hub::DecodeZoneOrder(record.key, record.value))
				named.insert(order->availability_zone);
	if (!this->evacuations.Keep(named, inAnswer.end))
		return;
	LogEvent(ELogLevel::Info, "zone_taken_back").Field("evacuated", this->evacuations.Zones().size()).Field("offset", inAnswer.end);
	this->TellZones();
}

template <class Hub>
void JobHost<Hub>::TellZones()
{
	for (auto &[cell, seat] : this->seats)
		seat->SetEvacuated(this->evacuations.Zones());
	if (this->fleet != nullptr)
		this->fleet->SetEvacuated(this->evacuations.Zones());
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
	this->workers_timer.Once(this->WorkersInterval(),
							 [this, inFrom, on_read] { this->hub.store.Read(Hub::WorkersLog(), true, inFrom, 0, on_read); });
}

template <class Hub>
Millis JobHost<Hub>::WorkersInterval() const
{
	// A host that has moved is of use once its worker is seen; but going through all of them costs the busiest owners most
	bool is_short = false;
	for (const auto &[cell, seat] : this->seats)
		is_short = is_short || seat->IsShort();
	const Millis spread = static_cast<Millis>(this->workers.size()) * cWorkersEachMs;
	return is_short ? std::clamp(spread, cWorkersShortMs, cWorkersEveryMs) : cWorkersEveryMs;
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
	// Entries of two lives may be written in any order
	auto known = this->workers.find(inRecord.key);
	if (entry.has_value() && known != this->workers.end() && IsBornAfter(known->second.born_ms, entry->born_ms))
		return;
	if (entry.has_value())
	{
		this->workers[inRecord.key] = std::move(*entry);
		return;
	}
	// It names no worker to use, until the worker itself writes the next
	this->workers.erase(inRecord.key);
	++this->entries_refused;
	const Millis now = NowMillis();
	if (now - this->entries_refused_told_at < cEntriesRefusedEveryMs)
		return;
	this->entries_refused_told_at = now;
	LogEvent(ELogLevel::Warning, "worker_entries_refused")
		.Field("count", std::exchange(this->entries_refused, 0))
		.Field("worker", inRecord.key)
		.Field("why", LastReasonText());
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
			seat->SetWorkers(all, this->store_back_at + cRelistedMs);
}

} // namespace Loomreach::Jobs
