// Which cells an entry host owns: heartbeats of the hosts, claims, this host's own lease, and the release of cells.

namespace Loomreach::Jobs
{

template <class Hub>
size_t JobHost<Hub>::Owned() const
{
	return this->drivers.size() + (this->fleet_driver == nullptr ? 0 : 1);
}

template <class Hub>
void JobHost<Hub>::LoadHosts()
{
	auto round = std::make_shared<HostsRound>();
	round->open = this->HeartbeatPartitionCount();
	round->in_turn = true;
	round->began_at = NowMillis();
	this->LoadHostPart(round, 0);
}

template <class Hub>
void JobHost<Hub>::LoadHostPart(const std::shared_ptr<HostsRound> &inRound, uint32 inPart)
{
	this->hub.store.Newest(HeartbeatLog(inPart),
						   [this, round = inRound, part = inPart](const NewestAnswer &inAnswer)
						   {
							   round->all = round->all && inAnswer.good;
							   if (inAnswer.good)
								   this->OnHostRecords(inAnswer.records);
							   this->hosts_next[part] = inAnswer.end;
							   if (--round->open > 0)
								   return this->LoadHostPart(round, part + 1);
							   if (!round->all)
								   return this->hosts_timer.Once(cFreeCellReadMs, [this] { this->LoadHosts(); });
							   // All heartbeats of earlier starts of this host have been read now
							   if (this->start == 0)
								   this->start = this->owners.StartCountOf(this->config.name) + 1;
							   this->OnHostsRead(*round);
							   this->ScheduleHostsRead();
						   });
}

template <class Hub>
void JobHost<Hub>::ScheduleHostsRead()
{
	this->hosts_timer.Once(this->HostsReadDelay(NowMillis()), [this] { this->ReadHosts(); });
}

template <class Hub>
Millis JobHost<Hub>::HostsReadDelay(Millis inNow)
{
	if (this->any_cell_free)
		return this->FreeCellReadDelay(inNow);
	const Millis mean = this->owners.ReadInterval(this->Owned() > 0, inNow);
	// Hosts that started together would all read at the same moment and use up the read capacity of the store
	if (!this->IsWellInformed(inNow))
		return this->RandomizeDelay(mean);
	return std::min(mean, this->owners.NextLeaseExpiry(inNow).value_or(mean));
}

template <class Hub>
Millis JobHost<Hub>::RandomDelayPercent()
{
	return cMinDelayPercent + static_cast<Millis>(this->random.Below(static_cast<uint64>(cMaxDelayPercent - cMinDelayPercent + 1)));
}

template <class Hub>
void JobHost<Hub>::AskOwners(Millis inNow)
{
	const Millis interval = std::max(cMinAskOwnersIntervalMs, static_cast<Millis>(this->owners.LiveHostCount(inNow)) * cAskOwnersPerHostMs);
	if (inNow - this->owners_asked_at < interval || this->stopping || this->IsWellInformed(inNow))
		return;
	this->owners_asked_at = inNow;
	const std::vector<Address> informed = this->owners.FrequentReaders(inNow);
	if (informed.empty())
		return;
	PeerQuestion question;
	question.kind = EQuestion::Owners;
	this->peers.Ask(informed[this->random.Below(informed.size())], std::move(question), cAskOwnersTimeoutMs,
					[this](const std::optional<PeerAnswer> &inAnswer)
					{
						if (!inAnswer.has_value() || inAnswer->record.empty())
							return;
						const std::optional<std::vector<HostHeartbeat>> heartbeats =
							DecodeValue<std::vector<HostHeartbeat>>(inAnswer->record);
						for (const HostHeartbeat &heartbeat : heartbeats.value_or(std::vector<HostHeartbeat>{}))
							if (heartbeat.host != this->config.name)
								this->owners.OnHeartbeat(heartbeat, NowMillis());
					});
}

template <class Hub>
Millis JobHost<Hub>::FreeCellReadDelay(Millis inNow) const
{
	// Candidate successors claim a free cell; other hosts only need to learn the outcome
	return this->IsWellInformed(inNow)
			   ? cFreeCellReadMs
			   : std::max(cFreeCellReadMs, this->budget.RoundInterval(this->owners.LiveHostCount(inNow), this->HeartbeatPartitionCount()));
}

template <class Hub>
void JobHost<Hub>::ReadHosts()
{
	auto round = std::make_shared<HostsRound>();
	round->open = this->HeartbeatPartitionCount();
	round->began_at = NowMillis();
	// At the start one read after the other, over one connection: hosts that all start together would overrun the store's queue of new
	// connections. Later all reads in parallel: one without an answer must not delay the others, and with them the cell's next owner
	round->in_turn = this->catalogue == nullptr;
	for (uint32 part = 0; part < (round->in_turn ? 1 : this->HeartbeatPartitionCount()); ++part)
		this->ReadHostPart(round, part);
}

template <class Hub>
void JobHost<Hub>::ReadHostPart(const std::shared_ptr<HostsRound> &inRound, uint32 inPart)
{
	const Millis sent_at = NowMillis();
	this->store_watch.OnSent(sent_at);
	this->hub.store.Read(HeartbeatLog(inPart), true, this->hosts_next[inPart], 0,
						 [this, round = inRound, part = inPart, sent_at](const ReadAnswer &inAnswer)
						 {
							 round->all = round->all && inAnswer.result == ERead::Done;
							 this->store_read_latency_ms = NowMillis() - sent_at;
							 round->truncated = round->truncated || inAnswer.result == ERead::Gone;
							 if (inAnswer.result == ERead::Done)
							 {
								 this->store_watch.OnAnswered(sent_at, NowMillis());
								 this->OnHostRecords(inAnswer.records);
								 this->hosts_next[part] = inAnswer.next;
							 }
							 if (--round->open > 0)
							 {
								 if (round->in_turn)
									 this->ReadHostPart(round, part + 1);
								 return;
							 }
							 if (round->truncated)
								 return this->LoadHosts();
							 this->OnHostsRead(*round);
							 this->ScheduleHostsRead();
						 });
}

template <class Hub>
void JobHost<Hub>::OnHostRecords(const std::vector<LogRecord> &inRecords)
{
	const Millis now = NowMillis();
	this->store_answered_at = now;
	for (const LogRecord &record : inRecords)
	{
		if (QueueRegistry::IsLogKey(record.key))
		{
			if (const std::optional<QueueSite> site = DecodeValue<QueueSite>(record.value))
				this->queue_registry.Add(*site);
			continue;
		}
		const std::optional<HostHeartbeat> heartbeat = DecodeValue<HostHeartbeat>(record.value);
		if (heartbeat.has_value())
			this->owners.OnHeartbeat(*heartbeat, now);
	}
}

template <class Hub>
void JobHost<Hub>::OnHostsRead(const HostsRound &inRound)
{
	this->MarkSupersededCells();
	this->AskNewFleetOwner();
	if (!this->drivers.empty())
		this->orders.SetHosts(this->owners.IdleHosts(NowMillis()));
	// A partition that was not read may contain the heartbeat of an active owner, or a site of a queue
	if (!inRound.all)
		return;
	this->ConfirmSites(inRound.began_at);
	this->ConsiderClaims();
}

template <class Hub>
std::vector<QueueSite> JobHost<Hub>::SitesToRegister() const
{
	std::vector<QueueSite> sites;
	for (const auto &[cell, driver] : this->drivers)
		if (driver->IsHeld())
			for (QueueSite &site : driver->Placements().SitesToRegister(cMaxSitesPerHeartbeat - sites.size()))
				if (std::find(this->logged_sites.begin(), this->logged_sites.end(), site) == this->logged_sites.end())
					sites.push_back(std::move(site));
	return sites;
}

template <class Hub>
void JobHost<Hub>::OnSitesLogged(const std::vector<QueueSite> &inSites)
{
	if (inSites.empty())
		return;
	this->logged_sites.insert(this->logged_sites.end(), inSites.begin(), inSites.end());
	this->sites_logged_at = NowMillis();
	this->HurryRegistration();
}

template <class Hub>
void JobHost<Hub>::ConfirmSites(Millis inRoundBeganAt)
{
	if (std::exchange(this->registry_seen, this->queue_registry.Revision()) != this->queue_registry.Revision())
		for (const auto &[cell, driver] : this->drivers)
			if (driver->IsHeld())
				driver->Placements().OnRegistry(this->queue_registry, NowMillis());
	// A round that began before may have missed a site that another cell registered meanwhile
	if (this->logged_sites.empty() || inRoundBeganAt < this->sites_logged_at)
		return;
	const std::vector<QueueSite> sites = std::exchange(this->logged_sites, {});
	for (const auto &[cell, driver] : this->drivers)
		if (driver->IsHeld())
			driver->Placements().OnRegistered(sites, this->queue_registry, NowMillis());
}

template <class Hub>
void JobHost<Hub>::HurryRegistration()
{
	const bool is_urgent =
		std::any_of(this->drivers.begin(), this->drivers.end(),
					[](const auto &inDriver) { return inDriver.second->IsHeld() && inDriver.second->Placements().IsRegistrationUrgent(); });
	if (!is_urgent)
		return;
	if (!this->logged_sites.empty())
	{
		if (this->hosts_timer.IsRunning())
			this->hosts_timer.Once(0, [this] { this->ReadHosts(); });
		return;
	}
	if (this->sites_in_flight == 0 && NowMillis() - this->heartbeat_sent_at >= cMinRegistrationGapMs)
		this->SendHeartbeat(true);
}

template <class Hub>
void JobHost<Hub>::MarkSupersededCells()
{
	for (const auto &[cell, driver] : this->drivers)
		if (driver->IsHeld() && this->owners.IsSuperseded(cell, driver->Epoch()))
			this->lost_cells.push_back(cell);
	if (this->fleet_driver != nullptr && this->fleet_driver->IsHeld() && this->owners.IsSuperseded(cFleetCell, this->fleet_driver->Epoch()))
		this->lost_cells.push_back(cFleetCell);
	for (uint32 cell : this->lost_cells)
		LogEvent(ELogLevel::Warning, "cell_superseded").Field("cell", cell);
}

template <class Hub>
void JobHost<Hub>::ConsiderClaims()
{
	// Before the first configuration any cell may be free, and all hosts should know each other when the configuration arrives
	this->any_cell_free = this->catalogue == nullptr && !this->stopping;
	if (this->catalogue == nullptr || this->stopping)
		return;
	const Millis now = NowMillis();
	std::set<uint32> cells;
	if (this->config.machines.has_value() || this->catalogue->teams.has_value())
		cells.insert(cFleetCell);
	for (const auto &[name, pool] : this->catalogue->pools)
		cells.insert(CellOf(name, this->PartitionCount()));
	// Cells of pools that the configuration no longer has may still hold jobs
	cells.insert(this->queue_registry.Cells().begin(), this->queue_registry.Cells().end());
	std::erase_if(cells,
				  [this](uint32 inCell) { return inCell == cFleetCell ? this->fleet_driver != nullptr : this->drivers.contains(inCell); });
	for (uint32 cell : cells)
		this->any_cell_free = this->any_cell_free || this->owners.IsFree(cell, now);
	const std::vector<uint32> claims = this->owners.CellsToClaim(cells, now, this->Owned());
	if (claims.empty())
		return;
	// The own lease must be valid first. Hosts without cells send heartbeats less often than a lease lasts, and a free cell must not wait
	// for the next regular one
	if (!this->lease.MayAct(now))
		return this->SendHeartbeat();
	LogEvent(ELogLevel::Info, "cells_claimed")
		.Field("claims", this->owners.ClaimReasons())
		.Field("owned", this->Owned())
		.Field("start", this->start);
	for (uint32 cell : claims)
	{
		this->owners.RestartClaimWait(cell, now);
		if (cell == cFleetCell)
			this->ClaimFleet();
		else
			this->ClaimCell(cell);
	}
}

template <class Hub>
DriverContext JobHost<Hub>::DriverContextFor(uint32 inCell)
{
	const auto send = [this, inCell](const Order &inOrder, std::function<void(const OrderAnswer &)> inDone)
	{
		// Only answers to polls list run ends
		if (inOrder.kind != EOrder::Poll)
			return this->orders.Send(inOrder, std::move(inDone));
		++this->polls_in_flight;
		this->orders.Send(
			inOrder,
			[this, inCell, worker = inOrder.worker, epoch = EpochOf(inOrder.token), done = std::move(inDone)](const OrderAnswer &inAnswer)
			{
				--this->polls_in_flight;
				done(inAnswer);
				this->SubmitLateEnds(inCell, epoch, worker, inAnswer.ended);
			});
	};
	const auto ask_fleet = [this](PeerQuestion inQuestion, PeerQuery::OnAnswer inDone)
	{ this->AskCell(cFleetCell, std::move(inQuestion), cAskSharesTimeoutMs, std::move(inDone)); };
	const auto replicate_ends = [this](const RunEndsUpdate &inUpdate)
	{ this->peers.Notify(this->owners.ReplicaHosts(NowMillis()), EPeerMessage::Ends, EncodeValue(inUpdate)); };
	const auto ask_cell = [this](uint32 inOther, PeerQuestion inQuestion, PeerQuery::OnAnswer inDone)
	{ this->AskCell(inOther, std::move(inQuestion), cAskOwnerTimeoutMs, std::move(inDone)); };
	const auto append_inbox = [this](uint32 inOther, std::string inRecord, EInboxPriority inPriority, std::function<void(bool)> inDone)
	{
		this->WriterOf(inOther).Append(
			std::move(inRecord), cMaxAppendTimeoutMs,
			[done = std::move(inDone)](const AppendAnswer &inAnswer) { done(inAnswer.result == EAppend::Done); }, inPriority);
	};
	const auto watch_append = [this] { return this->WatchAppend(ESlowSign::CellLog); };
	return {this->config, this->metrics, this->lease,    this->owners, {this->config.name, this->incarnation, this->start},
			send,         ask_fleet,     replicate_ends, ask_cell,     append_inbox,
			watch_append, &this->link};
}

template <class Hub>
void JobHost<Hub>::SubmitLateEnds(uint32 inCell, uint64 inEpoch, const std::string &inWorker, const std::vector<EndedRun> &inEnded)
{
	if (inEnded.empty())
		return;
	auto driver = this->drivers.find(inCell);
	const bool received = driver != this->drivers.end() && driver->second->Epoch() == inEpoch;
	// The answer came after the lease was over, because the process was paused or the cell was handed over. If the worker is shutting down,
	// nobody else will receive these ends
	if (!received)
		this->ends_submitter.Submit(inCell, {inWorker, inEpoch, inEnded});
}

template <class Hub>
void JobHost<Hub>::OnEndsUpdate(const std::string &inMessage)
{
	std::optional<RunEndsUpdate> update = DecodeValue<RunEndsUpdate>(inMessage);
	if (!update.has_value())
		return this->metrics.Count(ECounter::PeerRejects, "corrupt");
	this->end_replicas.OnUpdate(std::move(*update), NowMillis());
}

template <class Hub>
void JobHost<Hub>::SubmitOrphanedEnds(Millis inNow)
{
	const auto has_stopped = [this, inNow](uint32 inCell, uint64 inEpoch)
	{
		auto driver = this->drivers.find(inCell);
		const bool is_successor = driver != this->drivers.end() && driver->second->IsHeld() && driver->second->Epoch() > inEpoch;
		return is_successor || this->owners.IsSuperseded(inCell, inEpoch) || this->owners.IsFree(inCell, inNow);
	};
	for (OrphanedRunEnds &orphan : this->end_replicas.TakeOrphans(has_stopped, inNow))
	{
		LogEvent(ELogLevel::Info, "ends_of_lost_owner")
			.Field("worker", orphan.report.worker)
			.Field("count", orphan.report.ended.size())
			.Field("cell", orphan.cell)
			.Field("epoch", orphan.report.epoch);
		this->ends_submitter.Submit(orphan.cell, std::move(orphan.report));
	}
}

template <class Hub>
void JobHost<Hub>::ReleaseCell(uint32 inCell)
{
	auto driver = this->drivers.find(inCell);
	if (driver == this->drivers.end())
		return;
	for (EndReport &report : driver->second->UnloggedEnds())
		this->ends_submitter.Submit(inCell, std::move(report));
	this->drivers.erase(driver);
}

template <class Hub>
void JobHost<Hub>::ReleaseAllCells()
{
	while (!this->drivers.empty())
		this->ReleaseCell(this->drivers.begin()->first);
	this->fleet_driver.reset();
}

template <class Hub>
void JobHost<Hub>::ClaimCell(uint32 inCell)
{
	auto driver = std::make_unique<CellDriver<Hub>>(this->hub, this->DriverContextFor(inCell), inCell);
	driver->SetCatalogue(this->catalogue);
	driver->SetEvacuated(this->evacuations.Zones());
	if (const std::optional<ClosedPoolsReport> news = this->owners.ClosedPoolsOf(inCell, NowMillis()))
		driver->InheritClosedPools(news->pools);
	CellDriver<Hub> *claimed = driver.get();
	this->drivers[inCell] = std::move(driver);
	claimed->Claim(this->heartbeat_number,
				   [this, inCell, claimed](bool inHeld)
				   {
					   this->metrics.Count(ECounter::Claims, inHeld ? "won" : "lost");
					   if (!inHeld)
						   return this->lost_cells.push_back(inCell);
					   // The cell's log may lack former cells of its queues that the previous owner had only just read of
					   claimed->Placements().OnRegistry(this->queue_registry, NowMillis());
					   this->SendHeartbeat();
					   this->LoadWorkers();
				   });
}

template <class Hub>
void JobHost<Hub>::ClaimFleet()
{
	this->fleet_driver =
		std::make_unique<FleetDriver<Hub>>(this->hub, this->DriverContextFor(cFleetCell),
										   [this](const std::string &inPool, PeerQuestion inQuestion, PeerQuery::OnAnswer inDone)
										   {
											   const uint32 cell = CellOf(inPool, this->PartitionCount());
											   inQuestion.cell = cell;
											   this->AskCell(cell, inQuestion, cAskOwnerTimeoutMs, std::move(inDone));
										   });
	this->fleet_driver->SetCatalogue(this->catalogue);
	this->fleet_driver->SetEvacuated(this->evacuations.Zones());
	this->fleet_driver->Claim(this->heartbeat_number,
							  [this](bool inHeld)
							  {
								  this->metrics.Count(ECounter::Claims, inHeld ? "won" : "lost");
								  if (!inHeld)
									  return this->lost_cells.push_back(cFleetCell);
								  this->AnnounceFleetOwner();
								  this->SendHeartbeat();
								  this->fleet_driver->SetWaves(this->waves);
							  });
}

template <class Hub>
Millis JobHost<Hub>::HeartbeatInterval(Millis inNow) const
{
	if (this->Owned() > 0)
		return this->lease_tuning.heartbeat_interval_ms;
	// A slow store handles appends one by one: owners' heartbeats would wait behind those of hosts without cells
	const bool slow = this->heartbeat_latency_ms > cSlowStoreMs;
	return this->owners.IdleInterval(inNow) * (slow ? cIdleSlowFactor : 1);
}

template <class Hub>
Millis JobHost<Hub>::HeartbeatLease(Millis inNow) const
{
	// Heartbeats queue up while the store is slow: a short lease would expire before the next one is acknowledged
	const bool slow_store =
		this->heartbeat_latency_ms > cSlowStoreMs || this->store_read_latency_ms > cSlowStoreMs || this->store_watch.IsLate(inNow);
	// A host without enough processor time sends its heartbeats late
	return slow_store || this->IsCpuStarved(inNow) ? this->config.owner_lease_ms : this->config.owner_short_lease_ms;
}

template <class Hub>
bool JobHost<Hub>::IsCpuStarved(Millis inNow) const
{
	return inNow - this->late_tick_at < cCpuStarvedMs;
}

template <class Hub>
HostHeartbeat JobHost<Hub>::NewHeartbeat(Millis inNow)
{
	HostHeartbeat heartbeat;
	heartbeat.host = this->config.name;
	heartbeat.incarnation = this->incarnation;
	heartbeat.start = this->start;
	heartbeat.number = ++this->heartbeat_number;
	heartbeat.address = this->config.peers;
	heartbeat.weight = static_cast<uint32>(this->config.processor_milli);
	heartbeat.claims = !this->stopping;
	heartbeat.short_of_processor_time = this->IsCpuStarved(inNow);
	heartbeat.availability_zone = this->config.availability_zone;
	heartbeat.interval_ms = this->HeartbeatInterval(inNow);
	heartbeat.lease_ms = this->HeartbeatLease(inNow);
	// Also during a planned stop: a cell that the heartbeat does not list counts as released, and other hosts claim it
	for (const auto &[cell, driver] : this->drivers)
		heartbeat.cells.push_back({cell, driver->Epoch(), driver->IsHeld(), driver->ClosedPools()});
	if (this->fleet_driver != nullptr)
		heartbeat.cells.push_back({cFleetCell, this->fleet_driver->Epoch(), this->fleet_driver->IsHeld()});
	return heartbeat;
}

template <class Hub>
void JobHost<Hub>::OnPeerMessage(EPeerMessage inKind, const std::string &inMessage)
{
	if (inKind == EPeerMessage::Ends)
		return this->OnEndsUpdate(inMessage);
	if (inKind == EPeerMessage::SlowStore)
		return this->OnSlowSign(ESlowSign::OtherHost, 0);
	const std::optional<HostHeartbeat> heartbeat = DecodeValue<HostHeartbeat>(inMessage);
	if (!heartbeat.has_value() || heartbeat->host == this->config.name)
		return this->metrics.Count(ECounter::PeerRejects, "corrupt");
	// The lease counted here starts at reception and the owner's own at sending, so the owner's ends first
	this->owners.OnHeartbeat(*heartbeat, NowMillis());
	this->AskNewFleetOwner();
}

template <class Hub>
void JobHost<Hub>::AnnounceFleetOwner()
{
	if (!this->catalogue->teams.has_value())
		return;
	const Millis now = NowMillis();
	HostHeartbeat heartbeat = this->NewHeartbeat(now);
	// An earlier heartbeat with the longest lease may still be acknowledged; challengers must not wait less than for that one
	heartbeat.lease_ms = this->config.owner_lease_ms;
	this->lease.OnSent(now, heartbeat.lease_ms);
	this->peers.Notify(this->owners.Others(), EPeerMessage::Heartbeat, EncodeValue(heartbeat));
	for (const auto &[cell, driver] : this->drivers)
		driver->OnFleetOwner(this->fleet_driver->Epoch());
}

template <class Hub>
void JobHost<Hub>::AskNewFleetOwner()
{
	if (this->drivers.empty())
		return;
	const std::optional<CellOwner> owner = this->owners.LastOwnerOf(cFleetCell);
	if (!owner.has_value())
		return;
	for (const auto &[cell, driver] : this->drivers)
		driver->OnFleetOwner(owner->epoch);
}

template <class Hub>
void JobHost<Hub>::SendHeartbeat(bool inForce)
{
	const Millis sent_at = NowMillis();
	// One heartbeat at a time, so that a slow store is not overloaded; but one lost answer must not cost the lease
	const Millis wait_ms =
		std::clamp(static_cast<Millis>(this->heartbeat_latency_ms * cHeartbeatOverlapFactor), cMinHeartbeatOverlapMs, cHeartbeatTimeoutMs);
	const bool may_send = this->heartbeats_in_flight == 0 ||
						  (this->heartbeats_in_flight < cMaxHeartbeatsInFlight && sent_at - this->heartbeat_sent_at >= wait_ms);
	if (this->start == 0 || (!may_send && !inForce))
		return;
	const HostHeartbeat heartbeat = this->NewHeartbeat(sent_at);
	AppendCall call;
	const uint32 part =
		this->owners.HeartbeatPartition(this->HeartbeatPartitionCount(), this->Owned() > 0, sent_at) + this->heartbeat_partition_shift;
	call.log = HeartbeatLog(part % this->HeartbeatPartitionCount());
	call.keyed = true;
	const std::string message = EncodeValue(heartbeat);
	call.records.push_back({heartbeat.host, message, 0});
	// Sites go along with a heartbeat, which is sent anyway
	std::vector<QueueSite> sites = this->sites_in_flight == 0 ? this->SitesToRegister() : std::vector<QueueSite>();
	for (const QueueSite &site : sites)
		call.records.push_back({QueueRegistry::LogKey(site), EncodeValue(site), 0});
	this->sites_in_flight += sites.size();
	call.timeout_ms = cHeartbeatTimeoutMs;
	call.traffic = ETraffic::Heartbeat;
	this->heartbeat_sent_at = sent_at;
	this->heartbeat_delay_percent = this->RandomDelayPercent();
	++this->heartbeats_in_flight;
	this->store_watch.OnSent(sent_at);
	this->lease.OnSent(sent_at, heartbeat.lease_ms);
	// Heartbeats of hosts without cells share a partition and wait for each other also while the store is fast
	this->hub.store.Append(call,
						   [this, sent_at, lease_ms = heartbeat.lease_ms, message, sites = std::move(sites),
							watch = this->Owned() > 0 ? this->WatchAppend(ESlowSign::Heartbeat) : nullptr](const AppendAnswer &inAnswer)
						   {
							   this->sites_in_flight -= sites.size();
							   if (inAnswer.result == EAppend::Done)
								   this->OnSitesLogged(sites);
							   this->OnHeartbeatAnswer(inAnswer, sent_at, lease_ms);
							   // Successors count the lease from when they hear of it: by datagram at once, otherwise at their next read. A
							   // heartbeat that was not acknowledged must not prolong their wait
							   if (inAnswer.result == EAppend::Done && this->Owned() > 0)
								   this->peers.Notify(this->owners.FrequentReaders(NowMillis()), EPeerMessage::Heartbeat, message);
						   });
}

template <class Hub>
void JobHost<Hub>::OnHeartbeatAnswer(const AppendAnswer &inAnswer, Millis inSentAt, Millis inLeaseMs)
{
	--this->heartbeats_in_flight;
	const Millis now = NowMillis();
	const Millis took = now - inSentAt;
	// Rises immediately and falls slowly: a second heartbeat sent too soon lengthens the queue of a slow store
	const double decayed = this->heartbeat_latency_ms + cHeartbeatLatencyWeight * (static_cast<double>(took) - this->heartbeat_latency_ms);
	this->heartbeat_latency_ms =
		inAnswer.result == EAppend::Unknown ? this->heartbeat_latency_ms : std::max(decayed, static_cast<double>(took));
	if (took > cSlowHeartbeatMs && this->Owned() > 0)
		LogEvent(ELogLevel::Warning, "heartbeat_slow").Field("ms", took).Field("result", NameOf(cAppendNames, inAnswer.result));
	if (inAnswer.result != EAppend::Done)
	{
		// After a failure owners use the next partition. Hosts without cells do so only after a quick failure (the partition is down, not
		// slow), so that they do not slow down the partitions that owners wait for
		this->heartbeat_partition_shift += this->Owned() > 0 || took < cSlowStoreMs ? 1 : 0;
		return;
	}
	this->store_watch.OnAnswered(inSentAt, now);
	const bool kept = this->lease.OnAcknowledged(inSentAt, inLeaseMs, now);
	if (!kept && this->Owned() > 0)
		this->AbandonCells("heartbeat acknowledged too late");
}

template <class Hub>
void JobHost<Hub>::AbandonCells(std::string_view inWhy)
{
	LogEvent(ELogLevel::Warning, "cells_dropped").Field("count", this->Owned()).Field("why", inWhy);
	// While an order to a host is in flight the next owner must wait: not every platform checks fencing tokens
	std::optional<OwnedCell> fleet_cell;
	if (this->fleet_driver != nullptr && this->fleet_driver->HasOrdersInFlight())
		fleet_cell = OwnedCell{cFleetCell, this->fleet_driver->Epoch(), this->fleet_driver->IsHeld()};
	this->ReleaseAllCells();
	this->lost_cells.clear();
	this->AnnounceRelease(fleet_cell);
}

template <class Hub>
void JobHost<Hub>::RebalanceCells(Millis inNow)
{
	if (!this->handover_cell.has_value())
	{
		if (!this->owners.ShouldHandOver(this->Owned(), inNow) || this->drivers.empty() || !this->drivers.begin()->second->IsHeld())
			return;
		this->handover_cell = this->drivers.begin()->first;
		this->handover_since = inNow;
		this->drivers.begin()->second->BeginHandOver();
		LogEvent(ELogLevel::Info, "cell_given_on").Field("cell", *this->handover_cell).Field("owned", this->Owned());
		return;
	}
	auto driver = this->drivers.find(*this->handover_cell);
	// As in a planned stop, the successor starts immediately
	if (driver != this->drivers.end() && !driver->second->IsReadyToHandOver() && inNow - this->handover_since < cStopReleaseMs)
		return;
	this->handover_cell.reset();
	if (driver == this->drivers.end())
		return;
	this->ReleaseCell(driver->first);
	this->SendHeartbeat(true);
}

template <class Hub>
void JobHost<Hub>::AnnounceRelease(const std::optional<OwnedCell> &inFleetCell)
{
	if (this->start == 0)
		return;
	// Nothing more is done under these claims, so successors need not wait for a lease counted from when they read of them
	this->BroadcastHeartbeat(MakeReleaseHeartbeat(this->NewHeartbeat(NowMillis()), inFleetCell, cOrderInFlightMs));
}

template <class Hub>
void JobHost<Hub>::BroadcastHeartbeat(const HostHeartbeat &inHeartbeat)
{
	const std::string message = EncodeValue(inHeartbeat);
	this->peers.Notify(this->owners.Others(), EPeerMessage::Heartbeat, message);
	After(cBroadcastRepeatMs, [this, message] { this->peers.Notify(this->owners.Others(), EPeerMessage::Heartbeat, message); });
}

template <class Hub>
void JobHost<Hub>::AnnounceClosedPools()
{
	const Millis now = NowMillis();
	std::map<uint32, std::vector<uint32>> closed;
	for (const auto &[cell, driver] : this->drivers)
		if (driver->IsHeld() && !driver->ClosedPools().empty())
			closed[cell] = driver->ClosedPools();
	if (closed == this->announced_closed_pools || this->start == 0 || !this->lease.MayAct(now))
		return;
	this->announced_closed_pools = std::move(closed);
	HostHeartbeat heartbeat = this->NewHeartbeat(now);
	// Not acknowledged, so it does not renew the lease. Challengers who hear it count from its arrival, and must not wait less than for a
	// heartbeat that was sent before and is acknowledged later
	heartbeat.lease_ms = this->config.owner_lease_ms;
	LogEvent(ELogLevel::Info, "closed_pools_announced")
		.Field("cells", this->announced_closed_pools.size())
		.Field("evacuated_zones", this->evacuations.Zones().size())
		.Field("heartbeat", heartbeat.number);
	this->BroadcastHeartbeat(heartbeat);
}

template <class Hub>
std::optional<ClosedPoolsReport> JobHost<Hub>::ClosedPoolsOf(uint32 inCell, Millis inNow) const
{
	auto driver = this->drivers.find(inCell);
	if (driver != this->drivers.end() && driver->second->MayAct(inNow))
		return ClosedPoolsReport{driver->second->ClosedPools(), 0};
	return this->owners.ClosedPoolsOf(inCell, inNow);
}

} // namespace Loomreach::Jobs
