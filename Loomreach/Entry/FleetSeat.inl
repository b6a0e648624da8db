// Driver of the fleet cell: maintenance waves, moves of hosts and teams' shares.

#include <Loomreach/Core/Hash.h>
#include <Loomreach/State/Codec.h>

namespace Loomreach::Jobs
{

inline constexpr Millis cFleetTickMs = 100;
inline constexpr Millis cListIntervalMs = 400; ///< Interval between host lists; the machine service takes tens of reads per second.
inline constexpr Millis cAskOwnerTimeoutMs = 400;
inline constexpr Millis cDemandsIntervalMs = 200; ///< Interval between questions for a pool's demand; a move takes 1.5 s.
inline constexpr uint32 cMaxSparedWorkers = 40;   ///< Limit of spared workers in one answer: their names must fit into a datagram.
/// A pool's owner is told of a departed worker for this long, since some questions may be lost.
inline constexpr Millis cReportDepartedMs = 900;
inline constexpr size_t cMaxDeparted = 100; ///< Limit of departed workers in one question: their names must fit into a datagram.
/// Orders to hosts are sent within this time or not at all; for one that needs a drained host it may be less (HostOrder::not_after).
inline constexpr Millis cHostOrderValidMs = 1200;
inline constexpr char cWaveKey = 'w';
inline constexpr char cHostOrderKey = 'd';
inline constexpr std::string_view cSharesKey = "s"; ///< Key of the ShareHandOver record.

/// Encodes a ShareHandOver with a hash of its bytes: a damaged number could exceed a limit without a failure to decode.
inline std::string EncodeHandOver(const ShareHandOver &inHandOver)
{
	std::string bytes = EncodeValue(inHandOver);
	const uint64 hash = HashBytes(bytes);
	return EncodeValue(std::pair(hash, std::move(bytes)));
}

/// Decodes it; nothing if it is damaged.
inline std::optional<ShareHandOver> DecodeHandOver(const std::string &inValue)
{
	const std::optional<std::pair<uint64, std::string>> hashed = DecodeValue<std::pair<uint64, std::string>>(inValue);
	if (!hashed.has_value() || HashBytes(hashed->second) != hashed->first)
		return std::nullopt;
	return DecodeValue<ShareHandOver>(hashed->second);
}

/// Parameters of the balancer, from the host's configuration.
inline BalanceTuning BalanceTuningOf(const JobHostConfig &inConfig)
{
	BalanceTuning tuning;
	tuning.headroom_percent = inConfig.balance_headroom_percent;
	tuning.margin = static_cast<uint32>(inConfig.balance_margin);
	tuning.slack = static_cast<uint32>(inConfig.balance_slack);
	return tuning;
}

template <class Hub>
FleetDriver<Hub>::FleetDriver(Hub &inHub, const DriverContext &inContext, AskOwner inAsk)
	: hub(inHub), context(inContext), ask(std::move(inAsk)), log(inHub.store, CellLog(cFleetCell, 1), inContext.process),
	  planner(MaintenanceTuning{inContext.config.maintenance_ms}), balancer(BalanceTuningOf(inContext.config))
{
}

template <class Hub>
void FleetDriver<Hub>::Claim(uint64 inHeartbeatNumber, const OnOwnership &inDone)
{
	this->on_ownership = inDone;
	this->log.Claim(
		inHeartbeatNumber,
		[this](const ClaimRecord &inSeen)
		{
			const Millis now = NowMillis();
			if (inSeen.epoch != 0 && inSeen.by.incarnation != this->context.process.incarnation)
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
							this->logged_hosts[std::strtoll(key.c_str() + 1, nullptr, 10)] = *done;
					}
					this->held = true;
					this->shares.emplace(this->log.Epoch(), NowMillis(), LongestLease(this->context.config.worker_lease_ms));
					this->TakeOverShares(inRecords);
					if (this->catalogue != nullptr)
						this->SetCatalogue(this->catalogue);
					LogEvent(ELogLevel::Info, "fleet_owned").Field("epoch", this->log.Epoch()).Field("waves", this->logged_hosts.size());
					this->tick.Every(cFleetTickMs, [this] { this->Step(); });
				}
				const OnOwnership done = this->on_ownership;
				done(inWon);
			}));
}

template <class Hub>
void FleetDriver<Hub>::TakeOverShares(const typename OwnedLog<Store>::Records &inRecords)
{
	auto found = inRecords.find(std::string(cSharesKey));
	if (found == inRecords.end() || found->second.empty())
		return;
	this->has_old_shares = true;
	const std::optional<ShareHandOver> left = DecodeHandOver(found->second);
	if (!left.has_value())
		LogEvent(ELogLevel::Error, "fleet_shares_damaged").Field("bytes", found->second.size());
	const bool valid = left.has_value() && this->shares->TakeOver(*left, this->log.PreviousEpoch(), NowMillis());
	LogEvent(ELogLevel::Info, "fleet_shares_taken_over")
		.Field("valid", valid ? 1 : 0)
		.Field("cells", left.has_value() ? left->cells.size() : 0)
		.Field("left_by", left.has_value() ? left->fleet_epoch : 0)
		.Field("previous", this->log.PreviousEpoch());
}

template <class Hub>
void FleetDriver<Hub>::BeginHandOver()
{
	this->retiring = true;
	const Millis now = NowMillis();
	if (this->HasSharesToHandOver() && !this->HasOrdersInFlight() && this->context.lease.MayAct(now))
		this->Write(now);
}

template <class Hub>
void FleetDriver<Hub>::SetCatalogue(const std::shared_ptr<const Catalogue> &inCatalogue)
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
			cells.insert(CellOf(name, static_cast<uint32>(this->context.config.log_partitions)));
	}
	this->planner.SetSpare(std::move(spare));
	if (!this->shares.has_value())
		return;
	this->shares->SetCells(std::move(cells));
	this->shares->SetTeams(*inCatalogue);
}

template <class Hub>
PeerAnswer FleetDriver<Hub>::Answer(const PeerQuestion &inQuestion)
{
	const Millis now = NowMillis();
	PeerAnswer answer;
	answer.owner = this->held && this->context.lease.MayAct(now);
	if (answer.owner && inQuestion.kind == EQuestion::Shares)
		answer.shares = this->shares->OnQuestion(inQuestion.shares, now);
	return answer;
}

template <class Hub>
void FleetDriver<Hub>::SetWaves(const std::map<int64, MaintenanceWave> &inWaves)
{
	for (const auto &[number, wave] : inWaves)
		if (!this->planner.HasWave(number))
			this->planner.AddWave(wave, this->logged_hosts[number], NowMillis());
}

template <class Hub>
void FleetDriver<Hub>::Step()
{
	const Millis now = NowMillis();
	if (!this->held || !this->context.lease.MayAct(now))
		return;
	for (int64 wave : this->planner.Waves())
		this->WriteStatus(wave, this->planner.IsCompleted(wave));
	const bool has_machines = this->context.config.machines.has_value();
	if (has_machines && !this->listing && now - this->listed_at >= cListIntervalMs)
		this->ListHosts();
	this->RequestDrains(now);
	this->RequestDemands(now);
	this->Write(now);
}

template <class Hub>
void FleetDriver<Hub>::ListHosts()
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
void FleetDriver<Hub>::RequestDrains(Millis inNow)
{
	this->planner.SetPoolsInDeficit(this->balancer.PoolsInDeficit(inNow));
	this->planner.SetMoving(this->balancer.Moving());
	std::vector<HostEntry> hosts = this->planner.HostsToDrain(inNow);
	// A move with an unknown outcome may still be carried out, so its worker must stay drained until then
	for (HostEntry &host : this->balancer.UncertainMoves())
		hosts.push_back(std::move(host));
	for (const HostEntry &host : hosts)
	{
		if (!this->awaiting_drain.insert(host.name).second)
			continue;
		PeerQuestion question;
		question.kind = EQuestion::Drain;
		question.id = host.worker;
		question.for_ms = cDrainGrantMs;
		this->ask(host.pool, question,
				  this->Guard(
					  [this, name = host.name, asked_at = inNow](const std::optional<PeerAnswer> &inAnswer)
					  {
						  this->awaiting_drain.erase(name);
						  if (inAnswer.has_value() && inAnswer->owner && inAnswer->drained)
							  this->planner.OnDrained(name, asked_at, NowMillis());
					  }));
	}
}

template <class Hub>
void FleetDriver<Hub>::RequestDemands(Millis inNow)
{
	if (inNow - this->demands_asked_at < cDemandsIntervalMs)
		return;
	this->demands_asked_at = inNow;
	for (const auto &[pool, spare] : this->balancer.PoolsToAsk(inNow))
	{
		if (!this->awaiting_demand.insert(pool).second)
			continue;
		PeerQuestion question;
		question.kind = EQuestion::Demand;
		question.id = pool;
		question.count = std::min(spare, cMaxSparedWorkers);
		question.for_ms = cDrainGrantMs;
		question.departed = this->RecentlyDeparted(pool, inNow);
		this->ask(pool, question,
				  this->Guard(
					  [this, name = pool, asked_at = inNow](const std::optional<PeerAnswer> &inAnswer)
					  {
						  this->awaiting_demand.erase(name);
						  if (inAnswer.has_value() && inAnswer->owner)
							  this->balancer.OnDemand(name, inAnswer->demand, asked_at);
					  }));
	}
}

template <class Hub>
std::vector<std::string> FleetDriver<Hub>::RecentlyDeparted(const std::string &inPool, Millis inNow)
{
	std::vector<std::string> workers;
	std::map<std::string, Millis> &departed_at = this->departed[inPool];
	std::erase_if(departed_at, [inNow](const auto &inLeft) { return inNow - inLeft.second > cReportDepartedMs; });
	for (const auto &[worker, at] : departed_at)
		if (workers.size() < cMaxDeparted)
			workers.push_back(worker);
	return workers;
}

template <class Hub>
void FleetDriver<Hub>::SendHostOrder(const HostOrder &inHostOrder)
{
	const auto report = [this, host_order = inHostOrder](EHostOrderResult inResult)
	{
		this->context.metrics.Count(ECounter::HostOrders, NameOf(cHostOrderResultNames, inResult));
		if (inResult == EHostOrderResult::Done && !host_order.worker.empty())
			this->departed[host_order.from][host_order.worker] = NowMillis();
		if (host_order.kind == EHostOrder::Move)
			this->balancer.OnMove(host_order, inResult, NowMillis());
		else
			this->planner.OnHostOrderResult(host_order, inResult, NowMillis());
	};
	if (!this->held || !this->context.lease.MayAct(NowMillis()))
		return report(EHostOrderResult::Refused);
	++this->host_orders_in_flight;
	this->hub.machines.Send(inHostOrder, this->Guard(
											 [this, report](EHostOrderResult inResult)
											 {
												 --this->host_orders_in_flight;
												 if (inResult == EHostOrderResult::Unknown)
													 this->last_unknown_at = NowMillis();
												 report(inResult);
											 }));
}

template <class Hub>
void FleetDriver<Hub>::Write(Millis inNow)
{
	if (this->log.IsBusy())
		return;
	std::vector<LogRecord> records;
	for (int64 wave : this->planner.Waves())
	{
		std::set<std::string> done = this->planner.DoneOf(wave);
		if (done == this->logged_hosts[wave])
			continue;
		records.push_back({cWaveKey + std::to_string(wave), EncodeValue(done), 0});
		this->logged_hosts[wave] = std::move(done);
	}
	std::vector<HostOrder> host_orders = this->retiring ? std::vector<HostOrder>() : this->planner.TakeHostOrders(inNow);
	// Hosts that a wave has chosen since the last host list must not be moved
	this->balancer.SetBusy(this->planner.Busy());
	if (!this->retiring)
		for (HostOrder &move : this->balancer.TakeMoves(inNow))
			host_orders.push_back(std::move(move));
	for (HostOrder &host_order : host_orders)
	{
		host_order.holder = this->context.config.name;
		host_order.token = this->log.Epoch();
		const Millis valid_until =
			host_order.not_after > 0 ? std::min(host_order.not_after, inNow + cHostOrderValidMs) : inNow + cHostOrderValidMs;
		host_order.not_after = std::min(this->context.lease.Until(), valid_until);
		records.push_back({cHostOrderKey + host_order.host, host_order.pool, 0});
	}
	if (this->HasSharesToHandOver() && !this->HasOrdersInFlight())
	{
		records.push_back({std::string(cSharesKey), EncodeHandOver(this->shares->HandOver()), 0});
		this->shares_handed_over = true;
	}
	else if (this->has_old_shares)
		records.push_back({std::string(cSharesKey), "", 0});
	this->has_old_shares = false;
	if (records.empty())
		return;
	// The platform does not check fencing tokens here: a successful append proves that no other host has claimed the fleet cell
	this->log.Append(std::move(records), this->Guard(
											 [this, host_orders](bool inDone)
											 {
												 if (!inDone)
													 this->held = false;
												 for (const HostOrder &host_order : host_orders)
													 this->SendHostOrder(host_order);
												 if (inDone)
													 return;
												 LogPlain(ELogLevel::Warning, "fleet_lost");
												 const OnOwnership on_lost = this->on_ownership;
												 on_lost(false);
											 }));
}

template <class Hub>
void FleetDriver<Hub>::WriteStatus(int64 inWave, bool inCompleted)
{
	auto reported = this->reported.find(inWave);
	const bool up_to_date = reported != this->reported.end() && reported->second == inCompleted;
	if (up_to_date || !this->reporting.insert(inWave).second)
		return;
	AppendCall call;
	call.log = Hub::StatusLog();
	call.keyed = true;
	call.records.push_back(Hub::EncodeWaveStatus(inWave, inCompleted));
	this->hub.store.Append(call,
						   this->Guard(
							   [this, inWave, inCompleted](const AppendAnswer &inAnswer)
							   {
								   this->reporting.erase(inWave);
								   if (inAnswer.result != EAppend::Done)
									   return;
								   this->reported[inWave] = inCompleted;
								   LogEvent(ELogLevel::Info, "wave_state").Field("wave", inWave).Field("completed", inCompleted ? 1 : 0);
							   }));
}

} // namespace Loomreach::Jobs
