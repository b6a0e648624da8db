// Which cells an entry host owns: the hosts' heartbeats, claims, its own lease, and letting cells go.

namespace Loomreach::Jobs
{

template <class Hub>
size_t JobHost<Hub>::Owned() const
{
	return this->seats.size() + (this->fleet == nullptr ? 0 : 1);
}

template <class Hub>
void JobHost<Hub>::LoadHosts()
{
	auto round = std::make_shared<HostsRound>();
	round->open = this->HostParts();
	round->in_turn = true;
	this->LoadHostPart(round, 0);
}

template <class Hub>
void JobHost<Hub>::LoadHostPart(const std::shared_ptr<HostsRound> &inRound, uint32 inPart)
{
	this->hub.store.Newest(HostsLog(inPart),
						   [this, round = inRound, part = inPart](const NewestAnswer &inAnswer)
						   {
							   round->all = round->all && inAnswer.good;
							   if (inAnswer.good)
								   this->OnHostRecords(inAnswer.records);
							   this->hosts_next[part] = inAnswer.end;
							   if (--round->open > 0)
								   return this->LoadHostPart(round, part + 1);
							   if (!round->all)
								   return this->hosts_timer.Once(cHostsClaimMs, [this] { this->LoadHosts(); });
							   // Whatever earlier starts of this host left behind is known now
							   if (this->start == 0)
								   this->start = this->owners.StartsOf(this->config.name) + 1;
							   this->OnHostsRead(true);
							   this->FollowHosts();
						   });
}

template <class Hub>
void JobHost<Hub>::FollowHosts()
{
	this->hosts_timer.Once(this->HostsGap(NowMillis()), [this] { this->ReadHosts(); });
}

template <class Hub>
Millis JobHost<Hub>::HostsGap(Millis inNow)
{
	if (this->cells_free)
		return this->FreeCellGap(inNow);
	const Millis mean = this->owners.ReadInterval(this->Owned() > 0, inNow);
	// What all hosts read at one moment, because they started at one, takes all that the store can give
	return this->IsWellInformed(inNow) ? mean : this->DrawPause(mean);
}

template <class Hub>
Millis JobHost<Hub>::DrawPausePercent()
{
	return cLeastPausePercent + static_cast<Millis>(this->random.Below(static_cast<uint64>(cMostPausePercent - cLeastPausePercent + 1)));
}

template <class Hub>
void JobHost<Hub>::AskOwners(Millis inNow)
{
	const Millis every = std::max(cOwnersLeastMs, static_cast<Millis>(this->owners.HostsAtWork(inNow)) * cOwnersEachMs);
	if (inNow - this->owners_asked_at < every || this->stopping || this->IsWellInformed(inNow))
		return;
	this->owners_asked_at = inNow;
	const std::vector<Address> informed = this->owners.WellInformed(inNow);
	if (informed.empty())
		return;
	PeerQuestion question;
	question.kind = EQuestion::Owners;
	this->peers.Ask(informed[this->random.Below(informed.size())], std::move(question), cAskOwnersMs,
					[this](const std::optional<PeerAnswer> &inAnswer)
					{
						if (!inAnswer.has_value() || inAnswer->record.empty())
							return;
						const std::optional<std::vector<HostBeat>> beats = DecodeValue<std::vector<HostBeat>>(inAnswer->record);
						for (const HostBeat &beat : beats.value_or(std::vector<HostBeat>{}))
							if (beat.host != this->config.name)
								this->owners.OnBeat(beat, NowMillis());
					});
}

template <class Hub>
Millis JobHost<Hub>::FreeCellGap(Millis inNow) const
{
	// The first in line take a free cell; the others only need to see that they do
	return this->IsWellInformed(inNow) ? cHostsClaimMs
									   : std::max(cHostsClaimMs, this->budget.RoundGap(this->owners.HostsAtWork(inNow), this->HostParts()));
}

template <class Hub>
void JobHost<Hub>::ReadHosts()
{
	auto round = std::make_shared<HostsRound>();
	round->open = this->HostParts();
	// At the start one after the other, over one connection: hosts that all start at once would overrun the store's queue of new ones.
	// Later all at once: one read without an answer must not hold up the others, and with them a cell's next owner
	round->in_turn = this->catalogue == nullptr;
	for (uint32 part = 0; part < (round->in_turn ? 1 : this->HostParts()); ++part)
		this->ReadHostPart(round, part);
}

template <class Hub>
void JobHost<Hub>::ReadHostPart(const std::shared_ptr<HostsRound> &inRound, uint32 inPart)
{
	const Millis sent_at = NowMillis();
	this->store_watch.OnSent(sent_at);
	this->hub.store.Read(HostsLog(inPart), true, this->hosts_next[inPart], 0,
						 [this, round = inRound, part = inPart, sent_at](const ReadAnswer &inAnswer)
						 {
							 round->all = round->all && inAnswer.result == ERead::Done;
							 this->store_read_ms = NowMillis() - sent_at;
							 round->gone = round->gone || inAnswer.result == ERead::Gone;
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
							 if (round->gone)
								 return this->LoadHosts();
							 this->OnHostsRead(round->all);
							 this->FollowHosts();
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
}

template <class Hub>
void JobHost<Hub>::OnHostsRead(bool inAll)
{
	this->DropSuperseded();
	if (!this->seats.empty())
		this->orders.SetHosts(this->owners.IdleHosts(NowMillis()));
	// In a partition that was not read there may be the heartbeat of an owner at work
	if (inAll)
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
	// Before the first configuration any cell may be free: all hosts should know each other when it comes
	this->cells_free = this->catalogue == nullptr && !this->stopping;
	if (this->catalogue == nullptr || this->stopping)
		return;
	const Millis now = NowMillis();
	std::set<uint32> cells;
	if (this->config.machines.has_value() || this->catalogue->teams.has_value())
		cells.insert(cFleetCell);
	for (const auto &[name, pool] : this->catalogue->pools)
		cells.insert(CellOf(name, this->Parts()));
	std::erase_if(cells, [this](uint32 inCell) { return inCell == cFleetCell ? this->fleet != nullptr : this->seats.contains(inCell); });
	for (uint32 cell : cells)
		this->cells_free = this->cells_free || this->owners.IsFree(cell, now);
	const std::vector<uint32> claims = this->owners.ToClaim(cells, now, this->Owned());
	if (claims.empty())
		return;
	// A lease of one's own comes first: hosts without cells beat less often than a lease lasts, and a free cell must not wait for the next
	if (!this->lease.MayAct(now))
		return this->Beat();
	LogEvent(ELogLevel::Info, "cells_claimed")
		.Field("claims", this->owners.ClaimText())
		.Field("owned", this->Owned())
		.Field("start", this->start);
	for (uint32 cell : claims)
	{
		this->owners.PutOff(cell, now);
		if (cell == cFleetCell)
			this->ClaimFleet();
		else
			this->ClaimCell(cell);
	}
}

template <class Hub>
SeatContext JobHost<Hub>::ContextOfSeat(uint32 inCell)
{
	const auto send = [this, inCell](const Order &inOrder, std::function<void(const OrderAnswer &)> inDone)
	{
		// Only looks list ends
		if (inOrder.kind != EOrder::Hold)
			return this->orders.Send(inOrder, std::move(inDone));
		++this->looks_under_way;
		this->orders.Send(
			inOrder,
			[this, inCell, worker = inOrder.worker, epoch = EpochOf(inOrder.token), done = std::move(inDone)](const OrderAnswer &inAnswer)
			{
				--this->looks_under_way;
				done(inAnswer);
				this->SaveEnds(inCell, epoch, worker, inAnswer.ended);
			});
	};
	const auto ask_fleet = [this](PeerQuestion inQuestion, PeerQuery::OnAnswer inDone)
	{ this->AskCell(cFleetCell, std::move(inQuestion), cAskSharesMs, std::move(inDone)); };
	const auto tell_ends = [this](const EndsUpdate &inUpdate)
	{ this->peers.Tell(this->owners.ReplicaHosts(NowMillis()), EPeerNews::Ends, EncodeValue(inUpdate)); };
	return {this->config, this->metrics, this->lease, this->owners, {this->config.name, this->life, this->start},
			send,         ask_fleet,     tell_ends};
}

template <class Hub>
void JobHost<Hub>::SaveEnds(uint32 inCell, uint64 inEpoch, const std::string &inWorker, const std::vector<EndedRow> &inEnded)
{
	if (inEnded.empty())
		return;
	auto seat = this->seats.find(inCell);
	const bool heard = seat != this->seats.end() && seat->second->Epoch() == inEpoch;
	// Read after the lease was over, because this process stood still or the cell was given on, it is the last that anybody hears of a
	// worker that leaves
	if (!heard)
		this->ends_hand_in.HandIn(inCell, {inWorker, inEpoch, inEnded});
}

template <class Hub>
void JobHost<Hub>::OnEndsUpdate(const std::string &inNews)
{
	std::optional<EndsUpdate> update = DecodeValue<EndsUpdate>(inNews);
	if (!update.has_value())
		return this->metrics.Count(ECounter::PeerRejects, "corrupt");
	this->end_replicas.OnUpdate(std::move(*update), NowMillis());
}

template <class Hub>
void JobHost<Hub>::HandInOrphans(Millis inNow)
{
	const auto is_gone = [this, inNow](uint32 inCell, uint64 inEpoch)
	{
		auto seat = this->seats.find(inCell);
		const bool succeeds = seat != this->seats.end() && seat->second->IsHeld() && seat->second->Epoch() > inEpoch;
		return succeeds || this->owners.IsSuperseded(inCell, inEpoch) || this->owners.IsFree(inCell, inNow);
	};
	for (OrphanedEnds &orphan : this->end_replicas.TakeOrphans(is_gone, inNow))
	{
		LogEvent(ELogLevel::Info, "ends_of_lost_owner")
			.Field("worker", orphan.report.worker)
			.Field("count", orphan.report.ended.size())
			.Field("cell", orphan.cell)
			.Field("epoch", orphan.report.epoch);
		this->ends_hand_in.HandIn(orphan.cell, std::move(orphan.report));
	}
}

template <class Hub>
void JobHost<Hub>::DropSeat(uint32 inCell)
{
	auto seat = this->seats.find(inCell);
	if (seat == this->seats.end())
		return;
	for (EndReport &report : seat->second->UnloggedEnds())
		this->ends_hand_in.HandIn(inCell, std::move(report));
	this->seats.erase(seat);
}

template <class Hub>
void JobHost<Hub>::DropAllSeats()
{
	while (!this->seats.empty())
		this->DropSeat(this->seats.begin()->first);
	this->fleet.reset();
}

template <class Hub>
void JobHost<Hub>::ClaimCell(uint32 inCell)
{
	auto seat = std::make_unique<CellSeat<Hub>>(this->hub, this->ContextOfSeat(inCell), inCell);
	seat->SetCatalogue(this->catalogue);
	seat->SetEvacuated(this->evacuations.Zones());
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
	this->fleet = std::make_unique<FleetSeat<Hub>>(this->hub, this->ContextOfSeat(cFleetCell),
												   [this](const std::string &inPool, PeerQuestion inQuestion, PeerQuery::OnAnswer inDone)
												   {
													   const uint32 cell = CellOf(inPool, this->Parts());
													   inQuestion.cell = cell;
													   this->AskCell(cell, inQuestion, cAskOwnerMs, std::move(inDone));
												   });
	this->fleet->SetCatalogue(this->catalogue);
	this->fleet->SetEvacuated(this->evacuations.Zones());
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
	if (this->Owned() > 0)
		return this->lease_tuning.beat_ms;
	// What hosts without cells append, owners wait for while the store is slow
	const bool slow = this->beat_answer_ms > cSlowStoreMs;
	return this->owners.IdleInterval(inNow) * (slow ? cIdleSlowTimes : 1);
}

template <class Hub>
Millis JobHost<Hub>::LeaseFor(Millis inNow) const
{
	// While the store is slow heartbeats wait for each other: a short lease would be over before the next one is acknowledged
	const bool slow_store = this->beat_answer_ms > cSlowStoreMs || this->store_read_ms > cSlowStoreMs || this->store_watch.IsLate(inNow);
	// And a host that is short of processor time sends its own late
	return slow_store || this->IsShortOfTime(inNow) ? this->config.owner_lease_ms : this->config.owner_short_lease_ms;
}

template <class Hub>
bool JobHost<Hub>::IsShortOfTime(Millis inNow) const
{
	return inNow - this->ticked_late_at < cSlowHostMs;
}

template <class Hub>
HostBeat JobHost<Hub>::NewBeat(Millis inNow)
{
	HostBeat beat;
	beat.host = this->config.name;
	beat.life = this->life;
	beat.start = this->start;
	beat.number = ++this->beat_number;
	beat.address = this->config.peers;
	beat.weight = static_cast<uint32>(this->config.processor_milli);
	beat.claims = !this->stopping;
	beat.short_of_time = this->IsShortOfTime(inNow);
	beat.availability_zone = this->config.availability_zone;
	beat.every_ms = this->BeatInterval(inNow);
	beat.lease_ms = this->LeaseFor(inNow);
	// Also in a planned stop: what is not told of counts as given back, and others begin on it
	for (const auto &[cell, seat] : this->seats)
		beat.cells.push_back({cell, seat->Epoch(), seat->IsHeld()});
	if (this->fleet != nullptr)
		beat.cells.push_back({cFleetCell, this->fleet->Epoch(), this->fleet->IsHeld()});
	return beat;
}

template <class Hub>
void JobHost<Hub>::OnNews(EPeerNews inKind, const std::string &inNews)
{
	if (inKind == EPeerNews::Ends)
		return this->OnEndsUpdate(inNews);
	const std::optional<HostBeat> beat = DecodeValue<HostBeat>(inNews);
	if (!beat.has_value() || beat->host == this->config.name)
		return this->metrics.Count(ECounter::PeerRejects, "corrupt");
	// A lease that is counted from here begins no earlier than its owner's, which counts from the sending
	this->owners.OnBeat(*beat, NowMillis());
}

template <class Hub>
void JobHost<Hub>::Beat(bool inAtOnce)
{
	const Millis sent_at = NowMillis();
	// One after the other, so that a slow store is not asked for more than it takes; but one lost answer must not cost the lease
	const Millis patience = std::clamp(static_cast<Millis>(this->beat_answer_ms * cBeatPatience), cBeatLeastPatienceMs, cBeatTimeoutMs);
	const bool may = this->beats_under_way == 0 || (this->beats_under_way < cMostBeats && sent_at - this->beat_sent_at >= patience);
	if (this->start == 0 || (!may && !inAtOnce))
		return;
	const HostBeat beat = this->NewBeat(sent_at);
	AppendCall call;
	const uint32 part = this->owners.BeatPart(this->HostParts(), this->Owned() > 0, sent_at) + this->beat_shift;
	call.log = HostsLog(part % this->HostParts());
	call.keyed = true;
	call.records.push_back({beat.host, EncodeValue(beat), 0});
	call.timeout_ms = cBeatTimeoutMs;
	this->beat_sent_at = sent_at;
	this->beat_percent = this->DrawPausePercent();
	++this->beats_under_way;
	this->store_watch.OnSent(sent_at);
	this->lease.OnSent(sent_at, beat.lease_ms);
	this->hub.store.Append(call, [this, sent_at, lease_ms = beat.lease_ms](const AppendAnswer &inAnswer)
						   { this->OnBeatAnswer(inAnswer, sent_at, lease_ms); });
}

template <class Hub>
void JobHost<Hub>::OnBeatAnswer(const AppendAnswer &inAnswer, Millis inSentAt, Millis inLeaseMs)
{
	--this->beats_under_way;
	const Millis now = NowMillis();
	const Millis took = now - inSentAt;
	// Up at once, down slowly: a second heartbeat sent too soon makes a slow store's queue longer
	const double fallen = this->beat_answer_ms + cBeatAnswerShare * (static_cast<double>(took) - this->beat_answer_ms);
	this->beat_answer_ms = inAnswer.result == EAppend::Unknown ? this->beat_answer_ms : std::max(fallen, static_cast<double>(took));
	if (took > cSlowBeatMs && this->Owned() > 0)
		LogEvent(ELogLevel::Warning, "heartbeat_slow").Field("ms", took).Field("result", NameOf(cAppendNames, inAnswer.result));
	if (inAnswer.result != EAppend::Done)
	{
		// A partition that is away, and not only behind, is passed over; what owners wait for is no way out for others
		this->beat_shift += this->Owned() > 0 || took < cSlowStoreMs ? 1 : 0;
		return;
	}
	this->store_watch.OnAnswered(inSentAt, now);
	const bool kept = this->lease.OnAcknowledged(inSentAt, inLeaseMs, now);
	if (!kept && this->Owned() > 0)
		this->DropSeats("heartbeat acknowledged too late");
}

template <class Hub>
void JobHost<Hub>::DropSeats(std::string_view inWhy)
{
	LogEvent(ELogLevel::Warning, "cells_dropped").Field("count", this->Owned()).Field("why", inWhy);
	// While an order to a host is under way, the next owner must wait: not every platform checks its token
	std::optional<OwnedCell> fleet_cell;
	if (this->fleet != nullptr && this->fleet->HasOrdersUnderWay())
		fleet_cell = OwnedCell{cFleetCell, this->fleet->Epoch(), this->fleet->IsHeld()};
	this->DropAllSeats();
	this->lost_seats.clear();
	this->TellLetGo(fleet_cell);
}

template <class Hub>
void JobHost<Hub>::GiveOn(Millis inNow)
{
	if (!this->giving_on.has_value())
	{
		if (!this->owners.ShouldGiveOn(this->Owned(), inNow) || this->seats.empty() || !this->seats.begin()->second->IsHeld())
			return;
		this->giving_on = this->seats.begin()->first;
		this->giving_since = inNow;
		this->seats.begin()->second->Retire();
		LogEvent(ELogLevel::Info, "cell_given_on").Field("cell", *this->giving_on).Field("owned", this->Owned());
		return;
	}
	auto seat = this->seats.find(*this->giving_on);
	// As in a planned stop: its successor begins at once
	if (seat != this->seats.end() && !seat->second->IsQuiet() && inNow - this->giving_since < cStopGiveBackMs)
		return;
	this->giving_on.reset();
	if (seat == this->seats.end())
		return;
	this->DropSeat(seat->first);
	this->Beat(true);
}

template <class Hub>
void JobHost<Hub>::TellLetGo(const std::optional<OwnedCell> &inFleetCell)
{
	if (this->start == 0)
		return;
	// Nothing more is done on these claims: successors need not wait for a lease that begins when they read of it
	const HostBeat beat = LetGoBeat(this->NewBeat(NowMillis()), inFleetCell, cOrderUnderWayMs);
	const std::string news = EncodeValue(beat);
	this->peers.Tell(this->owners.Others(), EPeerNews::Beat, news);
	After(cTellAgainMs, [this, news] { this->peers.Tell(this->owners.Others(), EPeerNews::Beat, news); });
}

} // namespace Loomreach::Jobs
