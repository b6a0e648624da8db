// Balances hosts over pools.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Fleet/PoolBalancer.h>

namespace Loomreach::Jobs
{

/// Sizes are told of at most this often: needs are heard five times a second.
static constexpr Millis cLogSizesMs = 500;

void PoolBalancer::SetHosts(const std::vector<HostEntry> &inHosts, const std::set<std::string> &inBusy, Millis inNow)
{
	this->hosts.clear();
	this->busy = inBusy;
	for (const HostEntry &host : inHosts)
		this->hosts[host.name] = host;
	std::erase_if(this->moves,
				  [&](const auto &inMove)
				  {
					  auto host = this->hosts.find(inMove.first);
					  const bool there =
						  host != this->hosts.end() && host->second.pool == inMove.second.to && host->second.state == EHostState::Up;
					  return there || inNow - inMove.second.since > this->tuning.moving_ms;
				  });
}

std::set<std::string> PoolBalancer::Moving() const
{
	std::set<std::string> names;
	for (const auto &[name, move] : this->moves)
		names.insert(name);
	return names;
}

void PoolBalancer::OnDemand(const std::string &inPool, const PoolDemand &inDemand, Millis inAskedAt)
{
	this->known[inPool] = {inDemand, inAskedAt};
}

bool PoolBalancer::IsSpare(const std::string &inPool) const
{
	auto pool = this->pools.find(inPool);
	return pool != this->pools.end() && pool->second.spare;
}

std::map<std::string, PoolBalancer::PoolSize> PoolBalancer::Sizes(ECount inCount, Millis inNow) const
{
	std::map<std::string, int64> has;
	Resources total;
	int64 hosts_up = 0;
	for (const auto &[name, host] : this->hosts)
	{
		auto move = this->moves.find(name);
		const std::string &pool = move == this->moves.end() ? host.pool : move->second.to;
		const bool comes = move != this->moves.end() || host.state == EHostState::Moving;
		if ((host.state == EHostState::Up || comes) && !this->busy.contains(name) && !this->IsEvacuated(host))
			++has[pool];
		total.Add(host.capacity);
		++hosts_up;
	}
	std::map<std::string, PoolSize> sizes;
	for (const auto &[pool, known] : this->known)
	{
		if (inNow - known.asked_at > this->tuning.fresh_ms || this->IsSpare(pool) || !this->pools.contains(pool) || hosts_up == 0)
			continue;
		// Hosts by the scarcer of processor and memory, at the mean size of a host
		const auto by = [&](int64 inNeed, int64 inTotal)
		{
			const int64 each = std::max<int64>(1, inTotal / hosts_up);
			return (inNeed * this->tuning.headroom_percent / 100 + each - 1) / each;
		};
		Resources need = known.demand.need;
		if (inCount == ECount::All)
			need.Add(known.demand.late);
		int64 wanted = std::max(by(need.cpu_milli, total.cpu_milli), by(need.memory_mb, total.memory_mb));
		wanted = std::max<int64>(wanted, known.demand.least_hosts) + this->tuning.margin;
		sizes[pool] = {has[pool], wanted};
	}
	return sizes;
}

std::map<std::string, int64> PoolBalancer::Deficits(ECount inCount, Millis inNow) const
{
	std::map<std::string, int64> deficits;
	for (const auto &[pool, size] : this->Sizes(inCount, inNow))
		deficits[pool] = size.wanted - size.has;
	return deficits;
}

void PoolBalancer::LogSizes(Millis inNow)
{
	if (inNow - this->logged_at < cLogSizesMs)
		return;
	this->logged_at = inNow;
	const std::map<std::string, PoolSize> late = this->Sizes(ECount::All, inNow);
	for (const auto &[pool, size] : this->Sizes(ECount::InTime, inNow))
	{
		if (this->logged[pool] == size)
			continue;
		this->logged[pool] = size;
		LogEvent(ELogLevel::Info, "pool_sized")
			.Field("pool", pool)
			.Field("hosts", size.has)
			.Field("wanted", size.wanted)
			.Field("wanted_with_late", late.at(pool).wanted)
			.Field("least", this->known.at(pool).demand.least_hosts)
			.Field("asked_ms_ago", inNow - this->known.at(pool).asked_at);
	}
}

std::vector<std::pair<std::string, uint32>> PoolBalancer::ToAsk(Millis inNow) const
{
	std::vector<std::pair<std::string, uint32>> ask;
	// What can only be late gives way where others can be in time
	const bool lacking = !this->Tight(inNow).empty();
	const std::map<std::string, int64> deficits = this->Deficits(lacking ? ECount::InTime : ECount::All, inNow);
	for (const auto &[name, pool] : this->pools)
	{
		if (pool.spare)
			continue;
		auto deficit = deficits.find(name);
		const int64 over = deficit == deficits.end() ? 0 : -deficit->second - static_cast<int64>(this->tuning.slack);
		ask.emplace_back(name, static_cast<uint32>(std::max<int64>(over, 0)));
	}
	return ask;
}

std::set<std::string> PoolBalancer::Tight(Millis inNow) const
{
	std::set<std::string> tight;
	for (const auto &[pool, deficit] : this->Deficits(ECount::InTime, inNow))
		if (deficit > 0)
			tight.insert(pool);
	return tight;
}

const HostEntry *PoolBalancer::SpareHost(const std::string &inPool, Millis) const
{
	for (const auto &[name, host] : this->hosts)
	{
		const bool free =
			this->IsSpare(host.pool) && host.state == EHostState::Up && !this->moves.contains(name) && !this->busy.contains(name);
		if (free && this->CanGo(host, inPool) && !this->IsEvacuated(host))
			return &host;
	}
	return nullptr;
}

const HostEntry *PoolBalancer::PromisedHost(const std::string &inFrom, const std::string &inTo, Millis inNow)
{
	auto known = this->known.find(inFrom);
	if (known == this->known.end() || inNow - known->second.asked_at > this->tuning.promise_ms)
		return nullptr;
	for (const std::string &worker : known->second.demand.spared)
		for (const auto &[name, host] : this->hosts)
		{
			const bool free = host.worker == worker && host.pool == inFrom && host.state == EHostState::Up && !this->moves.contains(name) &&
							  !this->busy.contains(name);
			if (free && this->CanGo(host, inTo) && !this->IsEvacuated(host))
				return &host;
		}
	return nullptr;
}

Millis PoolBalancer::PromiseEnd(const std::string &inPool) const
{
	auto known = this->known.find(inPool);
	return known == this->known.end() ? 0 : known->second.asked_at + cEmptyForMs - cDutyWayMs;
}

void PoolBalancer::Order(const HostEntry &inHost, const std::string &inTo, Millis inNow, Millis inNotAfter,
						 std::vector<HostDuty> &outDuties)
{
	HostDuty duty;
	duty.kind = EDuty::Move;
	duty.host = inHost.name;
	duty.from = inHost.pool;
	duty.worker = inHost.worker;
	duty.pool = inTo;
	duty.not_after = inNotAfter;
	LogEvent(ELogLevel::Info, "host_moves").Field("host", inHost.name).Field("from", inHost.pool).Field("to", inTo);
	this->moves[inHost.name] = {inTo, inNow};
	outDuties.push_back(std::move(duty));
}

void PoolBalancer::FillDeficits(std::map<std::string, int64> &ioDeficits, Millis inNow, std::vector<HostDuty> &outDuties)
{
	// The pool that lacks most is served first, host by host
	for (;;)
	{
		auto worst = std::max_element(ioDeficits.begin(), ioDeficits.end(),
									  [](const auto &inA, const auto &inB) { return inA.second < inB.second; });
		if (worst == ioDeficits.end() || worst->second <= 0)
			return;
		const HostEntry *host = this->SpareHost(worst->first, inNow);
		std::string from;
		for (auto it = ioDeficits.begin(); host == nullptr && it != ioDeficits.end(); ++it)
		{
			if (it->second >= -static_cast<int64>(this->tuning.slack))
				continue;
			host = this->PromisedHost(it->first, worst->first, inNow);
			from = it->first;
		}
		if (host == nullptr)
		{
			worst->second = 0;
			continue;
		}
		this->Order(*host, worst->first, inNow, from.empty() ? 0 : this->PromiseEnd(from), outDuties);
		--worst->second;
		if (!from.empty())
			++ioDeficits[from];
	}
}

std::vector<HostDuty> PoolBalancer::TakeMoves(Millis inNow)
{
	std::vector<HostDuty> duties;
	this->LogSizes(inNow);
	std::map<std::string, int64> in_time = this->Deficits(ECount::InTime, inNow);
	this->FillDeficits(in_time, inNow, duties);
	std::map<std::string, int64> all = this->Deficits(ECount::All, inNow);
	this->FillDeficits(all, inNow, duties);
	// What nobody needs costs nothing in a spare pool
	for (const auto &[name, pool] : this->pools)
	{
		if (!pool.spare)
			continue;
		for (auto &[from, deficit] : all)
			while (deficit < -static_cast<int64>(this->tuning.slack))
			{
				const HostEntry *host = this->PromisedHost(from, name, inNow);
				if (host == nullptr)
					break;
				this->Order(*host, name, inNow, this->PromiseEnd(from), duties);
				++deficit;
			}
	}
	return duties;
}

std::vector<HostEntry> PoolBalancer::InDoubt() const
{
	std::vector<HostEntry> in_doubt;
	for (const auto &[name, move] : this->moves)
	{
		auto host = this->hosts.find(name);
		const bool there = host != this->hosts.end() && host->second.state == EHostState::Up && !host->second.worker.empty();
		if (there && !move.done && host->second.pool != move.to && !this->IsSpare(host->second.pool))
			in_doubt.push_back(host->second);
	}
	return in_doubt;
}

void PoolBalancer::OnMove(const HostDuty &inDuty, EDutyResult inResult, Millis inNow)
{
	LogEvent(ELogLevel::Info, "host_moved")
		.Field("host", inDuty.host)
		.Field("to", inDuty.pool)
		.Field("token", inDuty.token)
		.Field("result", NameOf(cDutyResultNames, inResult));
	auto host = this->hosts.find(inDuty.host);
	if (inResult == EDutyResult::Impossible && host != this->hosts.end())
		this->impossible.insert({host->second.kind, inDuty.pool});
	const bool under_way = inResult == EDutyResult::Done || inResult == EDutyResult::Unknown;
	if (!under_way)
	{
		this->moves.erase(inDuty.host);
		return;
	}
	Move &move = this->moves[inDuty.host];
	move.to = inDuty.pool;
	move.since = inNow;
	move.done = inResult == EDutyResult::Done;
}

} // namespace Loomreach::Jobs
