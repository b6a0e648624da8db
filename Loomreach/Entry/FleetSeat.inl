// Drives waves of maintenance.

namespace Loomreach::Jobs
{

inline constexpr Millis cFleetTickMs = 100;
inline constexpr Millis cListEveryMs = 400; ///< While a wave is open; the service takes tens of reads a second.
inline constexpr Millis cAskOwnerMs = 400;
inline constexpr Millis cDemandsEveryMs = 200; ///< Pools' needs are asked for this often; a move takes 1.5 s.
inline constexpr uint32 cMostSpared = 40;      ///< Names of workers that fit one datagram.
inline constexpr Millis cTellLeftMs = 900;     ///< A pool's owner is told this long who has left: some questions may be lost.
inline constexpr size_t cMostLeft = 100;       ///< In one question: their names fit a datagram.
inline constexpr Millis cDutyGoodMs =
	1200; ///< An order to a host leaves within this, or not at all; one that needs an empty host sooner, see HostDuty::not_after.
inline constexpr char cWaveKey = 'w';
inline constexpr char cDutyKey = 'd';

/// The balancer's figures from the host's configuration.
inline BalanceTuning BalanceOf(const JobHostConfig &inConfig)
{
	BalanceTuning tuning;
	tuning.headroom_percent = inConfig.balance_headroom_percent;
	tuning.margin = static_cast<uint32>(inConfig.balance_margin);
	tuning.slack = static_cast<uint32>(inConfig.balance_slack);
	return tuning;
}

template <class Hub>
FleetSeat<Hub>::FleetSeat(Hub &inHub, const SeatContext &inContext, AskOwner inAsk)
	: hub(inHub), context(inContext), ask(std::move(inAsk)), log(inHub.store, CellLog(cFleetCell, 1), inContext.process),
	  planner(UpkeepTuning{inContext.config.maintenance_ms}), balancer(BalanceOf(inContext.config))
{
}

template <class Hub>
void FleetSeat<Hub>::Claim(uint64 inBeatNumber, const OnSeat &inDone)
{
	this->on_seat = inDone;
	this->log.Claim(
		inBeatNumber,
		[this](const ClaimRecord &inSeen)
		{
			const Millis now = NowMillis();
			if (inSeen.epoch != 0 && inSeen.by.life != this->context.process.life)
				this->context.owners.OnClaimSeen(cFleetCell, inSeen, now);
			return this->context.lease.MayAct(now) && this->context.owners.IsFree(cFleetCell, now);
		},
		this->Guard(
			[this](bool inWon, const typename OwnedLog<Store>::Records &inRecords)
			{
				if (inWon)
				{
					for (const auto &[key, value] : inRecords)
					{
						const std::optional<std::set<std::string>> done = DecodeValue<std::set<std::string>>(value);
						if (key.size() > 1 && key[0] == cWaveKey && done.has_value())
							this->logged[std::strtoll(key.c_str() + 1, nullptr, 10)] = *done;
					}
					this->held = true;
					this->shares.emplace(this->log.Epoch(), NowMillis(), LongestLease(this->context.config.worker_lease_ms));
					if (this->catalogue != nullptr)
						this->SetCatalogue(this->catalogue);
					LogEvent(ELogLevel::Info, "fleet_owned").Field("epoch", this->log.Epoch()).Field("waves", this->logged.size());
					this->tick.Every(cFleetTickMs, [this] { this->Step(); });
				}
				const OnSeat done = this->on_seat;
				done(inWon);
			}));
}

template <class Hub>
void FleetSeat<Hub>::SetCatalogue(const std::shared_ptr<const Catalogue> &inCatalogue)
{
	this->catalogue = inCatalogue;
	this->balancer.SetPools(*inCatalogue);
	std::set<std::string> spare;
	std::set<uint32> cells;
	for (const auto &[name, pool] : inCatalogue->pools)
	{
		if (pool.spare)
			spare.insert(name);
		else
			cells.insert(CellOf(name, static_cast<uint32>(this->context.config.log_parts)));
	}
	this->planner.SetSpare(std::move(spare));
	if (!this->shares.has_value())
		return;
	this->shares->SetCells(std::move(cells));
	this->shares->SetTeams(*inCatalogue);
}

template <class Hub>
PeerAnswer FleetSeat<Hub>::Answer(const PeerQuestion &inQuestion)
{
	const Millis now = NowMillis();
	PeerAnswer answer;
	answer.owner = this->held && this->context.lease.MayAct(now);
	if (answer.owner && inQuestion.kind == EQuestion::Shares)
		answer.shares = this->shares->OnQuestion(inQuestion.shares, now);
	return answer;
}

template <class Hub>
void FleetSeat<Hub>::SetWaves(const std::map<int64, UpkeepWave> &inWaves)
{
	for (const auto &[number, wave] : inWaves)
		if (!this->planner.HasWave(number))
			this->planner.AddWave(wave, this->logged[number], NowMillis());
}

template <class Hub>
void FleetSeat<Hub>::Step()
{
	const Millis now = NowMillis();
	if (!this->held || !this->context.lease.MayAct(now))
		return;
	for (int64 wave : this->planner.Waves())
		this->WriteStatus(wave, this->planner.IsCompleted(wave));
	const bool has_machines = this->context.config.machines.has_value();
	if (has_machines && !this->listing && now - this->listed_at >= cListEveryMs)
		this->ListHosts();
	this->AskToEmpty(now);
	this->AskDemands(now);
	this->Write(now);
}

template <class Hub>
void FleetSeat<Hub>::ListHosts()
{
	this->listing = true;
	this->hub.machines.List(this->Guard(
		[this](const std::optional<std::vector<HostEntry>> &inHosts)
		{
			this->listing = false;
			this->listed_at = NowMillis();
			if (inHosts.has_value())
			{
				this->planner.SetHosts(*inHosts, this->listed_at);
				this->balancer.SetHosts(*inHosts, this->planner.Busy(), this->listed_at);
			}
			else
				LogPlain(ELogLevel::Warning, "hosts_not_listed");
		}));
}

template <class Hub>
void FleetSeat<Hub>::AskToEmpty(Millis inNow)
{
	this->planner.SetTight(this->balancer.Tight(inNow));
	this->planner.SetMoving(this->balancer.Moving());
	std::vector<HostEntry> hosts = this->planner.ToEmpty(inNow);
	// A move whose outcome is unknown may be carried out late: its worker stays empty until then
	for (HostEntry &host : this->balancer.InDoubt())
		hosts.push_back(std::move(host));
	for (const HostEntry &host : hosts)
	{
		if (!this->asking.insert(host.name).second)
			continue;
		PeerQuestion question;
		question.kind = EQuestion::Empty;
		question.id = host.worker;
		question.for_ms = cEmptyForMs;
		this->ask(host.pool, question,
				  this->Guard(
					  [this, name = host.name, asked_at = inNow](const std::optional<PeerAnswer> &inAnswer)
					  {
						  this->asking.erase(name);
						  if (inAnswer.has_value() && inAnswer->owner && inAnswer->empty)
							  this->planner.OnEmpty(name, asked_at, NowMillis());
					  }));
	}
}

template <class Hub>
void FleetSeat<Hub>::AskDemands(Millis inNow)
{
	if (inNow - this->demands_at < cDemandsEveryMs)
		return;
	this->demands_at = inNow;
	for (const auto &[pool, spare] : this->balancer.ToAsk(inNow))
	{
		if (!this->asking_pools.insert(pool).second)
			continue;
		PeerQuestion question;
		question.kind = EQuestion::Demand;
		question.id = pool;
		question.count = std::min(spare, cMostSpared);
		question.for_ms = cEmptyForMs;
		question.left = this->LeftOf(pool, inNow);
		this->ask(pool, question,
				  this->Guard(
					  [this, name = pool, asked_at = inNow](const std::optional<PeerAnswer> &inAnswer)
					  {
						  this->asking_pools.erase(name);
						  if (inAnswer.has_value() && inAnswer->owner)
							  this->balancer.OnDemand(name, inAnswer->demand, asked_at);
					  }));
	}
}

template <class Hub>
std::vector<std::string> FleetSeat<Hub>::LeftOf(const std::string &inPool, Millis inNow)
{
	std::vector<std::string> workers;
	std::map<std::string, Millis> &gone = this->left[inPool];
	std::erase_if(gone, [inNow](const auto &inLeft) { return inNow - inLeft.second > cTellLeftMs; });
	for (const auto &[worker, at] : gone)
		if (workers.size() < cMostLeft)
			workers.push_back(worker);
	return workers;
}

template <class Hub>
void FleetSeat<Hub>::SendDuty(const HostDuty &inDuty)
{
	const auto tell = [this, duty = inDuty](EDutyResult inResult)
	{
		this->context.metrics.Count(ECounter::Duties, NameOf(cDutyResultNames, inResult));
		if (inResult == EDutyResult::Done && !duty.worker.empty())
			this->left[duty.from][duty.worker] = NowMillis();
		if (duty.kind == EDuty::Move)
			this->balancer.OnMove(duty, inResult, NowMillis());
		else
			this->planner.OnDuty(duty, inResult, NowMillis());
	};
	if (!this->held || !this->context.lease.MayAct(NowMillis()))
		return tell(EDutyResult::Refused);
	++this->duties_under_way;
	this->hub.machines.Send(inDuty, this->Guard(
										[this, tell](EDutyResult inResult)
										{
											--this->duties_under_way;
											if (inResult == EDutyResult::Unknown)
												this->doubt_at = NowMillis();
											tell(inResult);
										}));
}

template <class Hub>
void FleetSeat<Hub>::Write(Millis inNow)
{
	if (this->log.IsBusy())
		return;
	std::vector<LogRecord> records;
	for (int64 wave : this->planner.Waves())
	{
		std::set<std::string> done = this->planner.DoneOf(wave);
		if (done == this->logged[wave])
			continue;
		records.push_back({cWaveKey + std::to_string(wave), EncodeValue(done), 0});
		this->logged[wave] = std::move(done);
	}
	std::vector<HostDuty> duties = this->retiring ? std::vector<HostDuty>() : this->planner.TakeDuties(inNow);
	// What the waves have chosen since the last list is not to be moved
	this->balancer.SetBusy(this->planner.Busy());
	if (!this->retiring)
		for (HostDuty &move : this->balancer.TakeMoves(inNow))
			duties.push_back(std::move(move));
	for (HostDuty &duty : duties)
	{
		duty.holder = this->context.config.name;
		duty.token = this->log.Epoch();
		const Millis good_until = duty.not_after > 0 ? std::min(duty.not_after, inNow + cDutyGoodMs) : inNow + cDutyGoodMs;
		duty.not_after = std::min(this->context.lease.Until(), good_until);
		records.push_back({cDutyKey + duty.host, duty.pool, 0});
	}
	if (records.empty())
		return;
	// The platform does not check tokens here: an append that comes through proves that nobody else has claimed the fleet
	this->log.Append(std::move(records), this->Guard(
											 [this, duties](bool inDone)
											 {
												 if (!inDone)
													 this->held = false;
												 for (const HostDuty &duty : duties)
													 this->SendDuty(duty);
												 if (inDone)
													 return;
												 LogPlain(ELogLevel::Warning, "fleet_lost");
												 const OnSeat lost = this->on_seat;
												 lost(false);
											 }));
}

template <class Hub>
void FleetSeat<Hub>::WriteStatus(int64 inWave, bool inCompleted)
{
	auto told = this->told.find(inWave);
	const bool stands = told != this->told.end() && told->second == inCompleted;
	if (stands || !this->telling.insert(inWave).second)
		return;
	AppendCall call;
	call.log = Hub::StatusLog();
	call.keyed = true;
	call.records.push_back(Hub::EncodeWaveStatus(inWave, inCompleted));
	this->hub.store.Append(call,
						   this->Guard(
							   [this, inWave, inCompleted](const AppendAnswer &inAnswer)
							   {
								   this->telling.erase(inWave);
								   if (inAnswer.result != EAppend::Done)
									   return;
								   this->told[inWave] = inCompleted;
								   LogEvent(ELogLevel::Info, "wave_state").Field("wave", inWave).Field("completed", inCompleted ? 1 : 0);
							   }));
}

} // namespace Loomreach::Jobs
