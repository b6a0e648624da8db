// Wires an entry host together: start, what is done at times, stop. Its share of the cells is in JobHostOwnership.inl, what it reads in
// JobHostFeeds.inl, what callers ask in JobHostCallers.inl.

namespace Loomreach::Jobs
{

inline constexpr Millis cOperatorWaitMs =
	900; ///< A read of the operator's records waits this long: with its timeout it bounds the lag under 2 s.
/// Unheard for this long, the operator's records may have changed unread: two reads have failed to come back.
inline constexpr Millis cOperatorStaleMs = 2000;
/// Hosts that spread their reads of a change come to know of it within two of these at the latest.
inline constexpr Millis cMostOperatorGapMs = 2000;
inline constexpr Millis cFollowAgainMs = 200;
inline constexpr Millis cWorkersEveryMs = 400;         ///< An owner looks for news of workers this often: drains count within 2 s.
inline constexpr Millis cWorkersShortMs = 150;         ///< And at most this often while something waits for room,
inline constexpr Millis cWorkersEachMs = 3;            ///< as far as so long for each worker allows.
inline constexpr Millis cEntriesRefusedEveryMs = 1000; ///< Entries that cannot be read are told of at most this often.
inline constexpr Millis cBeatsOfLease = 4;             ///< Heartbeats, and reads of the others', in one lease: three may be lost.
/// A cell that nobody has owned is claimed this long after it was first seen free: all machines start within 0.3 s (users' figure), the
/// smallest need half a second to begin, and are heard of at the next look. Sooner, the first few hosts to start own everything.
inline constexpr Millis cFirstClaimMs = 3000;
inline constexpr Millis cSlowBeatMs = 200;     ///< An owner's heartbeat that takes longer is told of.
inline constexpr Millis cSlowStoreMs = 100;    ///< A store that answers later than this is slow: 4 ms is usual, 240 ms the users' slow one.
inline constexpr Millis cIdleSlowTimes = 4;    ///< Hosts without cells then beat this many times as seldom.
inline constexpr Millis cBeatTimeoutMs = 1600; ///< Later than an owner's lease a heartbeat's answer is of no use.
inline constexpr Millis cBeatLeastPatienceMs = 500; ///< Another heartbeat leaves this long after one without an answer,
inline constexpr double cBeatPatience = 2.0;        ///< or after this many times the time that answers take.
inline constexpr uint32 cMostBeats = 3;             ///< So many under way at once.
inline constexpr Millis cLeastPausePercent = 50;    ///< Pauses of hosts without cells differ from this
inline constexpr Millis cMostPausePercent = 150;    ///< to this part of their mean.
inline constexpr Millis cOwnersLeastMs = 1000;      ///< Who owns what is asked for this often by hosts that read it seldom,
inline constexpr Millis cOwnersEachMs = 2;  ///< or once in so many ms for each host there is: the few that answer are as many in any fleet.
inline constexpr Millis cAskOwnersMs = 300; ///< One without an answer is followed by the next in its time.
inline constexpr Millis cSweepEveryMs = 2000;   ///< Hosts that are gone are looked for this often,
inline constexpr Millis cHostGoneMs = 12000;    ///< and are gone after this: six leases, and longer than the users' cuts of a zone.
inline constexpr Millis cTellAgainMs = 60;      ///< What must not be lost with a datagram is told twice.
inline constexpr double cBeatAnswerShare = 0.4; ///< Weight of a sooner answer in the time that answers take.
inline constexpr Millis cHostsClaimMs = 120;    ///< While a cell seems free.
inline constexpr Millis cHostTickMs = 50;
inline constexpr Millis cLateTickMs = 200;    ///< A later tick shows a host short of processor time: four ticks have passed,
inline constexpr Millis cSlowHostMs = 10000;  ///< and for this long it counts as such.
inline constexpr Millis cStoodStillMs = 400;  ///< A later tick is told of: the process was frozen, or out of processor time.
inline constexpr Millis cEnterAgainMs = 60;   ///< A submission without an answer is appended again after this; one id stays one job.
inline constexpr Millis cEnterMarginMs = 150; ///< Before the caller's deadline the last word is said.
inline constexpr Millis cEnterTimeoutMs = 700;
inline constexpr Millis cEnterLeastMs =
	200; ///< An append is never given up sooner: a caller with little time left is better answered late than in doubt.
inline constexpr Millis cAskTimeoutMs = 700;
inline constexpr Millis cAskSharesMs = 300;   ///< A question for teams' shares is asked anew with newer figures after this.
inline constexpr size_t cMostHelpers = 2;     ///< Hosts asked to put a record into an inbox for this one.
inline constexpr Millis cReachMs = 200;       ///< A host that does not say within this that it reaches the store is no helper.
inline constexpr Millis cHelperMs = 500;      ///< Each of them has this long,
inline constexpr Millis cHelperSlowMs = 1200; ///< and this long while the store is slow: its own call takes half a second.
/// An order to a host that is under way when the fleet is let go has arrived after this, or never will: its call is given up in this time.
inline constexpr Millis cOrderUnderWayMs = 1000;
inline constexpr Millis cStoreSilentMs = 1800; ///< Without an answer of the store for this long, callers are sent elsewhere.
inline constexpr Millis cLooksUntilSilent = 2; ///< Where reads come at times, so many must have failed as well.
inline constexpr Millis cRelistedMs = 2000;    ///< Workers whose entries lapsed with the store are listed again this soon (users' figure).
/// A planned stop waits this long for appends under way, and for promises of empty workers to run out: those last 1.5 s (cEmptyForMs).
inline constexpr Millis cStopGiveBackMs = cEmptyForMs + 100;
inline constexpr Millis cStopServeMs = 3200; ///< And goes on answering this long: the balancer needs two missed questions, a second apart.

/// And hands in ends for this long at most: the users give a stop 6 s.
inline constexpr Millis cStopHandInMs = 5000;

inline constexpr int64 cKbPerMb = 1000;

inline LeaseTuning LeaseTuningOf(const JobHostConfig &inConfig)
{
	LeaseTuning tuning;
	tuning.lease_ms = inConfig.owner_lease_ms;
	tuning.slack_ms = inConfig.owner_slack_ms;
	tuning.beat_ms = inConfig.owner_short_lease_ms / cBeatsOfLease;
	tuning.first_claim_ms = cFirstClaimMs;
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
	  lease_tuning(LeaseTuningOf(config)), lease(lease_tuning), owners(config.name, lease_tuning),
	  life(HashBytes(config.name, static_cast<uint64>(g_get_real_time()) ^ (static_cast<uint64>(g_random_int()) << 32))), random(life),
	  hub(config), door(*this), peers(
									config.peers, metrics,
									[this](const PeerQuestion &inQuestion, std::function<void(PeerAnswer)> inReply)
									{ this->OnQuestion(inQuestion, std::move(inReply)); },
									[this](EPeerNews inKind, const std::string &inNews) { this->OnNews(inKind, inNews); }),
	  orders(hub.workers, peers, ForwardTuningOf(config)),
	  ends_hand_in([this](uint32 inCell) -> InboxWriter<decltype(Hub::store)> & { return this->WriterOf(inCell); })
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
	this->started_at = NowMillis();
	this->tick_at = this->started_at;
	this->tick.Every(cHostTickMs, [this] { this->Tick(); });
	return true;
}

// ---- Work at times ----

template <class Hub>
void JobHost<Hub>::Tick()
{
	const Millis now = NowMillis();
	if (now - this->tick_at > cStoodStillMs)
		LogEvent(ELogLevel::Warning, "stood_still").Field("ms", now - this->tick_at).Field("cells", this->Owned());
	if (now - this->tick_at > cLateTickMs)
		this->ticked_late_at = now;
	this->tick_at = now;
	for (uint32 cell : std::exchange(this->lost_seats, {}))
	{
		if (cell == cFleetCell)
			this->fleet.reset();
		else
			this->DropSeat(cell);
	}
	if (this->Owned() > 0 && !this->lease.MayAct(now))
		this->DropSeats("lease over");
	const bool others_reach = !this->helper_search.Known(now).empty();
	if (this->turned_away.Note(this->store_watch.IsSilent(now), others_reach, now) && this->Owned() > 0)
		this->DropSeats("the store answers others, not this host");
	// Also without cells: a host that is heard of may take over at once
	const Millis beat_percent = this->Owned() > 0 ? cPercent : this->beat_percent;
	if (now - this->beat_sent_at >= this->BeatInterval(now) * beat_percent / cPercent)
		this->Beat();
	const Millis silent_after = cStoreSilentMs + cLooksUntilSilent * this->OperatorGap(now);
	const bool heard = this->store_heard_at >= 0 && now - this->store_heard_at <= silent_after;
	if (heard != this->store_heard)
	{
		this->store_heard = heard;
		if (heard)
			this->store_back_at = now;
		LogEvent(ELogLevel::Warning, heard ? "store_back" : "store_silent").Field("heard_ms_ago", now - this->store_heard_at);
	}
	this->SearchHelpers(now);
	this->AskOwners(now);
	this->HandInOrphans(now);
	if (!this->stopping)
		this->GiveOn(now);
	if (this->fleet != nullptr && now - this->swept_at >= cSweepEveryMs)
		this->SweepHosts(now);
	if (this->stopping)
		this->FinishStop();
}

template <class Hub>
void JobHost<Hub>::SweepHosts(Millis inNow)
{
	this->swept_at = inNow;
	// While the store was away nobody could be heard of
	const bool sure = this->fleet->IsHeld() && this->lease.MayAct(inNow) && this->store_heard &&
					  inNow - std::max(this->store_back_at, this->started_at) > cHostGoneMs;
	if (!sure)
		return;
	for (const std::string &host : this->owners.SilentFor(cHostGoneMs, inNow))
	{
		LogEvent(ELogLevel::Info, "host_gone").Field("host", host).Field("silent_for_ms_at_least", cHostGoneMs);
		this->owners.Forget(host);
		for (uint32 part = 0; part < this->HostParts(); ++part)
		{
			AppendCall call;
			call.log = HostsLog(part);
			call.keyed = true;
			call.records.push_back({host, "", 0});
			call.timeout_ms = cBeatTimeoutMs;
			// What fails is done again by the next owner that starts, or does no harm
			this->hub.store.Append(call, [](const AppendAnswer &) {});
		}
	}
}

template <class Hub>
void JobHost<Hub>::SearchHelpers(Millis inNow)
{
	if (!this->store_watch.IsLate(inNow))
		return;
	for (const Address &host : this->helper_search.ToAsk(this->owners.Helpers(cFleetCell), inNow))
	{
		PeerQuestion question;
		question.kind = EQuestion::Reach;
		this->peers.Ask(host, std::move(question), cReachMs,
						[this, host](const std::optional<PeerAnswer> &inAnswer)
						{ this->helper_search.OnAnswer(host, inAnswer.has_value() && inAnswer->reaches, NowMillis()); });
	}
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
	if (this->fleet != nullptr)
		this->fleet->Retire();
	bool quiet = this->fleet == nullptr || this->fleet->IsQuiet();
	for (const auto &[cell, seat] : this->seats)
	{
		// One may have been claimed since the stop began
		seat->Retire();
		quiet = quiet && seat->IsQuiet();
	}
	// A heartbeat without cells gives them back at once: successors need not wait for the lease
	if (this->Owned() > 0 && (quiet || since >= cStopGiveBackMs))
	{
		this->DropAllSeats();
		this->Beat(true);
	}
	const bool owes = this->OwesEnds() && since < cStopHandInMs;
	if (since < cStopServeMs || owes || this->door.UnderWay() > 0 || this->on_stopped == nullptr)
		return;
	LogEvent(ELogLevel::Info, "stopped").Field("after_ms", since);
	const std::function<void()> done = std::exchange(this->on_stopped, nullptr);
	done();
}

} // namespace Loomreach::Jobs

#include <Loomreach/Entry/JobHostCallers.inl>
#include <Loomreach/Entry/JobHostFeeds.inl>
#include <Loomreach/Entry/JobHostOwnership.inl>
