// What an entry host reads from the platform: the operator's records and the workers' entries.

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
								   return this->operator_timer.Once(cReadRetryMs, [this] { this->LoadOperator(); });
							   this->store_answered_at = NowMillis();
							   this->operator_read_at = this->store_answered_at;
							   for (const LogRecord &record : inAnswer.records)
								   this->OnOperatorRecord(record);
							   this->RemoveUnnamedZoneOrders(inAnswer);
							   this->ScheduleOperatorRead(inAnswer.end);
						   });
}

template <class Hub>
Millis JobHost<Hub>::OperatorReadDelay(Millis inNow) const
{
	// Owners base their decisions on these records, and there are few of them
	if (this->Owned() > 0)
		return 0;
	const Millis spread = this->budget.SpreadTime(this->owners.LiveHostCount(inNow), this->catalogue_bytes);
	// Reading more often than a long poll returns would cost more calls than it saves
	return spread < cOperatorReadWaitMs ? 0 : std::min(spread, cMaxOperatorReadDelayMs);
}

template <class Hub>
void JobHost<Hub>::ScheduleOperatorRead(uint64 inFrom)
{
	const Millis delay = this->OperatorReadDelay(NowMillis());
	if (delay == 0)
		return this->ReadOperator(inFrom, cOperatorReadWaitMs);
	// Long polls of all hosts would be answered at the same moment, when a record changes. Random delays spread the reads
	this->operator_timer.Once(this->RandomizeDelay(delay), [this, inFrom] { this->ReadOperator(inFrom, 0); });
}

template <class Hub>
void JobHost<Hub>::ReadOperator(uint64 inFrom, Millis inWaitMs)
{
	this->hub.store.Read(Hub::OperatorLog(), true, inFrom, inWaitMs,
						 [this, inFrom, sent_at = NowMillis()](const ReadAnswer &inAnswer)
						 {
							 if (inAnswer.result == ERead::Gone)
								 return this->LoadOperator();
							 if (inAnswer.result == ERead::Failed)
								 return this->operator_timer.Once(cReadRetryMs, [this, inFrom] { this->ReadOperator(inFrom, 0); });
							 this->store_answered_at = NowMillis();
							 this->operator_read_at = this->store_answered_at;
							 for (const LogRecord &record : inAnswer.records)
								 this->OnOperatorRecord(record);
							 if (inAnswer.next >= inAnswer.end)
								 for (const auto &[cell, driver] : this->drivers)
									 driver->Placements().OnCatalogueRead(sent_at);
							 this->ScheduleOperatorRead(inAnswer.next);
						 });
}

template <class Hub>
void JobHost<Hub>::OnOperatorRecord(const LogRecord &inRecord)
{
	if (Hub::IsCatalogueKey(inRecord.key))
		return this->OnCatalogue(inRecord);
	if (Hub::IsZoneOrderKey(inRecord.key))
		return this->OnZoneOrder(inRecord);
	if (inRecord.value.empty())
		return;
	const std::optional<MaintenanceWave> wave = Hub::DecodeWave(inRecord.key, inRecord.value);
	if (!wave.has_value())
	{
		if (LastReason().kind != EError::NotFound)
			LogEvent(ELogLevel::Error, "wave_refused").Field("key", inRecord.key).Field("why", LastReasonText());
		return;
	}
	this->waves[wave->number] = *wave;
	if (this->fleet_driver != nullptr && this->fleet_driver->IsHeld())
		this->fleet_driver->SetWaves(this->waves);
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
	// Versions never go back: a complete read and the reads that follow it may overlap
	if (this->catalogue != nullptr && read->version <= this->catalogue->version)
		return;
	LogEvent(ELogLevel::Info, "configuration")
		.Field("version", read->version)
		.Field("queues", read->queues.size())
		.Field("pools", read->pools.size())
		.Field("teams", read->teams.has_value() ? static_cast<int64>(read->teams->size()) : -1);
	this->catalogue_bytes = inRecord.value.size();
	this->catalogue = std::make_shared<const Catalogue>(std::move(*read));
	this->NoteMovedQueues();
	for (auto &[cell, driver] : this->drivers)
		driver->SetCatalogue(this->catalogue);
	if (this->fleet_driver != nullptr)
		this->fleet_driver->SetCatalogue(this->catalogue);
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
	if (!this->evacuations.Apply(*order, inRecord.offset))
		return;
	LogEvent(ELogLevel::Info, order->evacuate ? "zone_evacuated" : "zone_taken_back")
		.Field("zone", order->availability_zone)
		.Field("offset", inRecord.offset)
		.Field("cells", this->Owned());
	this->UpdateZones();
}

template <class Hub>
void JobHost<Hub>::RemoveUnnamedZoneOrders(const NewestAnswer &inAnswer)
{
	std::set<std::string> named;
	for (const LogRecord &record : inAnswer.records)
		if (Hub::IsZoneOrderKey(record.key))
			if (const std::optional<ZoneOrder> order = Hub::DecodeZoneOrder(record.key, record.value))
				named.insert(order->availability_zone);
	if (!this->evacuations.RetainNamed(named, inAnswer.end))
		return;
	LogEvent(ELogLevel::Info, "zone_taken_back").Field("evacuated", this->evacuations.Zones().size()).Field("offset", inAnswer.end);
	this->UpdateZones();
}

template <class Hub>
void JobHost<Hub>::UpdateZones()
{
	for (auto &[cell, driver] : this->drivers)
		driver->SetEvacuated(this->evacuations.Zones());
	if (this->fleet_driver != nullptr)
		this->fleet_driver->SetEvacuated(this->evacuations.Zones());
	this->AnnounceClosedPools();
}

// ---- The workers' entries ----

template <class Hub>
void JobHost<Hub>::LoadWorkers()
{
	// Only owners need the workers, and one load at a time is enough: a newer one replaces it
	const uint64 load = ++this->workers_load;
	this->hub.store.Newest(Hub::WorkersLog(),
						   [this, load](const NewestAnswer &inAnswer)
						   {
							   if (load != this->workers_load)
								   return;
							   if (!inAnswer.good)
								   return this->workers_timer.Once(cReadRetryMs, [this] { this->LoadWorkers(); });
							   this->workers.Clear();
							   for (const LogRecord &record : inAnswer.records)
								   this->OnWorkerRecord(record);
							   this->UpdateWorkers();
							   this->ScheduleWorkersRead(inAnswer.end, load);
						   });
}

template <class Hub>
void JobHost<Hub>::ScheduleWorkersRead(uint64 inFrom, uint64 inLoad)
{
	const auto on_read = [this, inFrom, inLoad](const ReadAnswer &inAnswer)
	{
		if (inLoad != this->workers_load || this->drivers.empty())
			return;
		if (inAnswer.result == ERead::Gone)
			return this->LoadWorkers();
		for (const LogRecord &record : inAnswer.records)
			this->OnWorkerRecord(record);
		if (!inAnswer.records.empty())
			this->UpdateWorkers();
		this->ScheduleWorkersRead(inAnswer.result == ERead::Done ? inAnswer.next : inFrom, inLoad);
	};
	this->workers_timer.Once(this->WorkersReadDelay(),
							 [this, inFrom, on_read] { this->hub.store.Read(Hub::WorkersLog(), true, inFrom, 0, on_read); });
}

template <class Hub>
Millis JobHost<Hub>::WorkersReadDelay() const
{
	// A host that was moved into a pool is of use as soon as its worker is seen; but going through all workers costs the busiest owners
	// most
	bool is_short = false;
	for (const auto &[cell, driver] : this->drivers)
		is_short = is_short || driver->IsShort();
	const Millis spread = static_cast<Millis>(this->workers.Size()) * cReadDelayPerWorkerMs;
	return is_short ? std::clamp(spread, cMinWorkersReadDelayMs, cMaxWorkersReadDelayMs) : cMaxWorkersReadDelayMs;
}

template <class Hub>
void JobHost<Hub>::OnWorkerRecord(const LogRecord &inRecord)
{
	// An empty record removes the worker from the list
	if (inRecord.value.empty())
	{
		this->workers.Remove(inRecord.key);
		return;
	}
	if (this->workers.Take(inRecord.key, Hub::DecodeWorker(inRecord.key, inRecord.value), WallMillis()))
		return;
	++this->entries_refused;
	const Millis now = NowMillis();
	if (now - this->entries_refused_logged_at < cEntriesRefusedLogMs)
		return;
	this->entries_refused_logged_at = now;
	LogEvent(ELogLevel::Warning, "worker_entries_refused")
		.Field("count", std::exchange(this->entries_refused, 0))
		.Field("worker", inRecord.key)
		.Field("why", LastReasonText());
}

template <class Hub>
void JobHost<Hub>::UpdateWorkers()
{
	if (this->drivers.empty())
		return;
	const std::vector<WorkerEntry> all = this->workers.All();
	for (auto &[cell, driver] : this->drivers)
		if (driver->IsHeld())
			driver->SetWorkers(all, this->store_recovered_at + cRelistedMs);
	this->AnnounceClosedPools();
}

} // namespace Loomreach::Jobs
