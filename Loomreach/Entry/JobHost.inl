// Start, periodic work and stop of an entry host. Ownership of cells is in JobHostOwnership.inl, reads of the platform's logs in
// JobHostFeeds.inl, callers' requests in JobHostCallers.inl.

namespace Loomreach::Jobs
{

/// Long-poll time for the operator's records: together with the call's timeout it keeps the lag below 2 s.
inline constexpr Millis cOperatorReadWaitMs = 900;
/// When two reads in a row have failed, the operator's records may have changed without this host's knowledge.
inline constexpr Millis cOperatorStaleMs = 2000;
/// Hosts that spread their reads learn of a change within two of these delays.
inline constexpr Millis cMaxOperatorReadDelayMs = 2000;
inline constexpr Millis cReadRetryMs = 200;
/// Longest delay between an owner's reads of the workers' entries: drains must take effect within 2 s.
inline constexpr Millis cMaxWorkersReadDelayMs = 400;
inline constexpr Millis cMinWorkersReadDelayMs = 150; ///< Shortest such delay, used while tasks wait for capacity.
/// While tasks wait the delay is this much per worker, between the limits above: after each read the owner goes through all workers.
inline constexpr Millis cReadDelayPerWorkerMs = 3;
inline constexpr Millis cEntriesRefusedLogMs = 1000; ///< Entries that cannot be decoded are logged at most once in this time.
/// Heartbeats sent, and reads of other hosts' heartbeats, during one lease: three may be lost.
inline constexpr Millis cHeartbeatsPerLease = 4;
/// Sites of queues that go along with one heartbeat: some KB, a fraction of the time between two heartbeats on a narrow link.
inline constexpr size_t cMaxSitesPerHeartbeat = 64;
/// Shortest time between two heartbeats that are sent in order to register sites for which records wait.
inline constexpr Millis cMinRegistrationGapMs = 50;
/// Delay before a cell that never had an owner is claimed. All hosts start within 0.3 s, the smallest need 0.5 s to get ready, and
/// their heartbeats are seen at the next read. With a shorter delay the first few hosts to start would own all cells.
inline constexpr Millis cFirstClaimDelayMs = 3000;
inline constexpr Millis cSlowHeartbeatMs = 200; ///< Slower heartbeats of an owner are logged.
/// A store with a higher latency counts as slow: it usually answers in 4 ms, in 240 ms when slow.
inline constexpr Millis cSlowStoreMs = 100;
/// Factor by which hosts without cells stretch their heartbeat interval while the store is slow.
inline constexpr Millis cIdleSlowFactor = 4;
inline constexpr Millis cHeartbeatTimeoutMs = 1600;    ///< A later acknowledgement would be of no use: the owner's lease is over.
inline constexpr Millis cMinHeartbeatOverlapMs = 500;  ///< Another heartbeat may be sent this long after one that has no answer yet,
inline constexpr double cHeartbeatOverlapFactor = 2.0; ///< or after this many times the usual latency, if that is longer.
inline constexpr uint32 cMaxHeartbeatsInFlight = 3;    ///< Limit of heartbeats without an answer.
inline constexpr Millis cMinDelayPercent = 50;         ///< Random delays of hosts without cells: shortest, percentage of the mean,
inline constexpr Millis cMaxDelayPercent = 150;        ///< and longest.
/// Hosts that seldom read the heartbeats ask which hosts own which cells at this interval.
inline constexpr Millis cMinAskOwnersIntervalMs = 1000;
/// The interval is at least this much per host, so that the load on the few hosts that answer does not grow with the fleet.
inline constexpr Millis cAskOwnersPerHostMs = 2;
inline constexpr Millis cAskOwnersTimeoutMs = 300; ///< Without an answer the next question follows at its regular time.
inline constexpr Millis cLostHostsCheckMs = 2000;  ///< Interval at which lost hosts are looked for.
/// A host without heartbeats for this long is lost: six leases, and longer than a network partition of a zone is expected to last.
inline constexpr Millis cHostLostMs = 12000;
inline constexpr Millis cBroadcastRepeatMs = 60;       ///< Heartbeats are broadcast twice since datagrams may be lost.
inline constexpr double cHeartbeatLatencyWeight = 0.4; ///< Weight of a faster answer in the mean latency; a slower one counts in full.
inline constexpr Millis cFreeCellReadMs = 120;         ///< Interval between reads of the heartbeats while a cell seems free.
inline constexpr Millis cHostTickMs = 50;
inline constexpr Millis cLateTickMs = 200;     ///< A later tick means that the host lacks processor time: four ticks were missed.
inline constexpr Millis cCpuStarvedMs = 10000; ///< The host counts as starved for this long after a late tick.
inline constexpr Millis cProcessPauseMs = 400; ///< A later tick is logged: the process was paused or starved of processor time.
inline constexpr Millis cAnswerMarginMs = 150; ///< Callers get their final answer this long before their deadline.
inline constexpr Millis cMaxAppendTimeoutMs = 700;
/// Lower bound for the timeout of an append: a late answer serves a caller better than an unknown outcome.
inline constexpr Millis cMinAppendTimeoutMs = 200;
/// A collector repeats calls that the store refuses for this long: a partition with a backlog of 2 s refuses calls and accepts them again
/// soon. After this the store more likely turns this host away, and another one may reach it.
inline constexpr Millis cRetryRefusedMs = 1000;
inline constexpr Millis cAskTimeoutMs = 700;
inline constexpr Millis cAskSharesTimeoutMs = 300; ///< Timeout of a question for the teams' shares; the next one carries newer data.
/// A host that does not confirm within this time that it reaches the store is not used as a helper.
inline constexpr Millis cReachTimeoutMs = 200;
/// A collector that does not acknowledge a record within this time is skipped: two repeats may be lost.
inline constexpr Millis cCollectorAckMs = 150;
/// A collector that was silent for this long after an acknowledgement is skipped: two repeats of the question were not acknowledged.
inline constexpr Millis cCollectorSilenceMs = 600;
/// Limit of the time that a collector keeps a record; answers to repeated questions are kept longer than this.
inline constexpr Millis cMaxCollectMs = 8000;
/// An order to a host that was in flight when the fleet cell was released has arrived or failed after this: its call has timed out.
inline constexpr Millis cOrderInFlightMs = 1000;
inline constexpr Millis cStoreUnresponsiveMs = 1800; ///< The store counts as unresponsive after this long without an answer.
/// This many delays between reads of the operator's records are added; the delay is 0 for long polls.
inline constexpr Millis cReadsUntilUnresponsive = 2;
/// Workers whose entries expired while the store was down are listed again within this time, as specified.
inline constexpr Millis cRelistedMs = 2000;
/// A planned stop waits this long for appends in flight and for drain grants to expire, which last 1.5 s (cDrainGrantMs).
inline constexpr Millis cStopReleaseMs = cDrainGrantMs + 100;
/// A stopping host keeps answering this long: the load balancer notices after two failed checks, one second apart.
inline constexpr Millis cStopServeMs = 3200;

/// Limit for submitting and passing on run ends during a stop: a stop may take 6 s.
inline constexpr Millis cStopSubmitEndsMs = 5000;

inline constexpr int64 cKbPerMb = 1000;

inline LeaseTuning LeaseTuningOf(const JobHostConfig &inConfig)
{
	LeaseTuning tuning;
	tuning.lease_ms = inConfig.owner_lease_ms;
	tuning.slack_ms = inConfig.owner_slack_ms;
	tuning.heartbeat_interval_ms = inConfig.owner_short_lease_ms / cHeartbeatsPerLease;
	tuning.first_claim_delay_ms = cFirstClaimDelayMs;
	return tuning;
}

inline ForwardTuning ForwardTuningOf(const JobHostConfig &inConfig)
{
	ForwardTuning tuning;
	tuning.processor_milli = inConfig.processor_milli;
	return tuning;
}

template <class Hub>
JobHost<Hub>::JobHost(JobHostConfig inConfig)
	: config(std::move(inConfig)), budget(StoreLimits{config.store_reads_per_s, config.store_read_mb_per_s * cKbPerMb}),
	  lease_tuning(LeaseTuningOf(config)), lease(lease_tuning), owners(config.name, lease_tuning), open_appends(config.store_append_ms),
	  incarnation(HashBytes(config.name, static_cast<uint64>(g_get_real_time()) ^ (static_cast<uint64>(g_random_int()) << 32))),
	  random(incarnation), link(config.link_mbit_per_s), hub(config, link), caller_listener(*this),
	  peers(
		  config.peers, metrics,
		  [this](const PeerQuestion &inQuestion, std::function<void(PeerAnswer)> inReply)
		  { this->OnQuestion(inQuestion, std::move(inReply)); },
		  [this](EPeerMessage inKind, const std::string &inMessage) { this->OnPeerMessage(inKind, inMessage); }, &link),
	  orders(hub.workers, peers, ForwardTuningOf(config)),
	  ends_submitter([this](uint32 inCell) -> InboxWriter<decltype(Hub::store)> & { return this->WriterOf(inCell); })
{
}

template <class Hub>
bool JobHost<Hub>::Start()
{
	if (!this->peers.Open() || !this->caller_listener.Open(this->config))
		return false;
	LogEvent(ELogLevel::Info, "started")
		.Field("host", this->config.name)
		.Field("zone", this->config.availability_zone)
		.Field("life", this->incarnation)
		.Field("worker_lease_ms", this->config.worker_lease_ms)
		.Field("owner_lease_ms", this->config.owner_lease_ms);
	this->LoadOperator();
	this->LoadHosts();
	this->started_at = NowMillis();
	this->ticked_at = this->started_at;
	this->tick.Every(cHostTickMs, [this] { this->Tick(); });
	return true;
}

// ---- Periodic work ----

template <class Hub>
void JobHost<Hub>::Tick()
{
	const Millis now = NowMillis();
	if (now - this->ticked_at > cProcessPauseMs)
		LogEvent(ELogLevel::Warning, "stood_still").Field("ms", now - this->ticked_at).Field("cells", this->Owned());
	if (now - this->ticked_at > cLateTickMs)
		this->late_tick_at = now;
	this->ticked_at = now;
	this->link.LogIfBusy(now);
	for (uint32 cell : std::exchange(this->lost_cells, {}))
	{
		if (cell == cFleetCell)
			this->fleet_driver.reset();
		else
			this->ReleaseCell(cell);
	}
	if (this->Owned() > 0 && !this->lease.MayAct(now))
		this->AbandonCells("ownership lease expired");
	const bool others_reach_store = !this->helper_search.Reaching(now).empty();
	if (this->store_isolation.Update(this->store_watch.IsUnresponsive(now), others_reach_store, now) && this->Owned() > 0)
		this->AbandonCells("the store answers other hosts but not this host");
	// Hosts without cells send heartbeats too: a host that is known to be alive may take over immediately
	const Millis heartbeat_delay_percent = this->Owned() > 0 ? cPercent : this->heartbeat_delay_percent;
	if (now - this->heartbeat_sent_at >= this->HeartbeatInterval(now) * heartbeat_delay_percent / cPercent)
		this->SendHeartbeat();
	const Millis response_timeout = cStoreUnresponsiveMs + cReadsUntilUnresponsive * this->OperatorReadDelay(now);
	const bool responsive = this->store_answered_at >= 0 && now - this->store_answered_at <= response_timeout;
	if (responsive != this->store_responsive)
	{
		this->store_responsive = responsive;
		if (responsive)
			this->store_recovered_at = now;
		LogEvent(ELogLevel::Warning, responsive ? "store_back" : "store_silent").Field("heard_ms_ago", now - this->store_answered_at);
	}
	this->SearchHelpers(now);
	this->AskOwners(now);
	this->HurryRegistration();
	this->SubmitOrphanedEnds(now);
	if (!this->stopping)
		this->RebalanceCells(now);
	if (this->fleet_driver != nullptr && now - this->lost_hosts_checked_at >= cLostHostsCheckMs)
		this->RemoveLostHosts(now);
	if (this->stopping)
		this->FinishStop();
}

template <class Hub>
void JobHost<Hub>::RemoveLostHosts(Millis inNow)
{
	this->lost_hosts_checked_at = inNow;
	// While the store was down no host could send heartbeats
	const bool reliable = this->fleet_driver->IsHeld() && this->lease.MayAct(inNow) && this->store_responsive &&
						  inNow - std::max(this->store_recovered_at, this->started_at) > cHostLostMs;
	if (!reliable)
		return;
	for (const std::string &host : this->owners.UnresponsiveFor(cHostLostMs, inNow))
	{
		LogEvent(ELogLevel::Info, "host_gone").Field("host", host).Field("silent_for_ms_at_least", cHostLostMs);
		this->owners.Forget(host);
		for (uint32 part = 0; part < this->HeartbeatPartitionCount(); ++part)
		{
			AppendCall call;
			call.log = HeartbeatLog(part);
			call.keyed = true;
			call.records.push_back({host, "", 0});
			call.timeout_ms = cHeartbeatTimeoutMs;
			// A failed removal is harmless and is repeated by the next owner of the fleet cell
			this->hub.store.Append(call, [](const AppendAnswer &) {});
		}
	}
}

template <class Hub>
void JobHost<Hub>::SearchHelpers(Millis inNow)
{
	if (!this->store_watch.IsLate(inNow))
		return;
	for (const Address &host : this->helper_search.HostsToAsk(this->owners.Helpers(cFleetCell), inNow))
	{
		PeerQuestion question;
		question.kind = EQuestion::StoreReach;
		this->peers.Ask(host, std::move(question), cReachTimeoutMs,
						[this, host](const std::optional<PeerAnswer> &inAnswer)
						{ this->helper_search.OnAnswer(host, inAnswer.has_value() && inAnswer->reaches_store, NowMillis()); });
	}
}

// ---- Stop ----

template <class Hub>
void JobHost<Hub>::Stop(std::function<void()> inDone)
{
	LogEvent(ELogLevel::Info, "stopping").Field("cells", this->Owned()).Field("under_way", this->caller_listener.InFlight());
	this->on_stopped = std::move(inDone);
	this->stopping = true;
	this->stop_at = NowMillis();
	this->orders.StopForwarding();
}

template <class Hub>
void JobHost<Hub>::FinishStop()
{
	const Millis since = NowMillis() - this->stop_at;
	if (this->fleet_driver != nullptr)
		this->fleet_driver->BeginHandOver();
	const bool fleet_ready = this->fleet_driver != nullptr && this->fleet_driver->IsReadyToHandOver();
	bool quiet = this->fleet_driver == nullptr || fleet_ready;
	for (const auto &[cell, driver] : this->drivers)
	{
		// A cell may have been claimed after the stop began
		driver->BeginHandOver();
		quiet = quiet && driver->IsReadyToHandOver();
	}
	// A heartbeat without cells releases them immediately: successors need not wait for the lease to expire
	if (this->Owned() > 0 && (quiet || since >= cStopReleaseMs))
	{
		this->ReleaseAllCells();
		this->SendHeartbeat(true);
	}
	else if (fleet_ready)
	{
		// Does not wait for the other cells' drain grants: after the record of the teams' shares nothing is granted until the fleet cell
		// has a successor
		this->fleet_driver.reset();
		this->SendHeartbeat(true);
	}
	// Answers to orders sent for other hosts may list run ends too
	const bool ends_pending = (this->HasEndsToSubmit() || this->orders.ForwardedInFlight() > 0) && since < cStopSubmitEndsMs;
	if (since < cStopServeMs || ends_pending || this->caller_listener.InFlight() > 0 || this->on_stopped == nullptr)
		return;
	LogEvent(ELogLevel::Info, "stopped").Field("after_ms", since);
	const std::function<void()> done = std::exchange(this->on_stopped, nullptr);
	done();
}

} // namespace Loomreach::Jobs

#include <Loomreach/Entry/JobHostCallers.inl>
#include <Loomreach/Entry/JobHostFeeds.inl>
#include <Loomreach/Entry/JobHostOwnership.inl>
