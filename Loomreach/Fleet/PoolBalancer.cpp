// Computes the sizes of pools, and chooses the hosts that move between them.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Fleet/PoolBalancer.h>

namespace Loomreach::Jobs
{

/// Pool sizes are logged at most this often; demands arrive five times per second.
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
	this->demands[inPool] = {inDemand, inAskedAt};
}

bool PoolBalancer::IsSpare(const std::string &inPool) const
{
	auto pool = this->pools.find(inPool);
	return pool != this->pools.end() && pool->second.spare;
}

std::map<std::string, PoolBalancer::PoolSize> PoolBalancer::Sizes(EDemandScope inScope, Millis inNow) const
{
	std::map<std::string, int64> current;
	Resources total;
	int64 host_count = 0;
	for (const auto &[name, host] : this->hosts)
	{
		auto move = this->moves.find(name);
		const std::string &pool = move == this->moves.end() ? host.pool : move->second.to;
		const bool is_arriving = move != this->moves.end() || host.state == EHostState::Moving;
		if ((host.state == EHostState::Up || is_arriving) && !this->busy.contains(name) && !this->IsEvacuated(host))
			++current[pool];
		total.Add(host.capacity);
		++host_count;
	}
	std::map<std::string, PoolSize> sizes;
	for (const auto &[pool, latest] : this->demands)
	{
		if (inNow - latest.asked_at > this->tuning.fresh_ms || this->IsSpare(pool) || !this->pools.contains(pool) || host_count == 0)
			continue;
		// Number of hosts for the scarcer of processor and memory, at the mean capacity of a host
		const auto hosts_for = [&](int64 inNeed, int64 inTotal)
		{
			const int64 mean_capacity = std::max<int64>(1, inTotal / host_count);
			return (inNeed * this->tuning.headroom_percent / 100 + mean_capacity - 1) / mean_capacity;
		};
		Resources need = latest.demand.in_time;
		if (inScope == EDemandScope::All)
			need.Add(latest.demand.late);
		int64 wanted = std::max(hosts_for(need.cpu_milli, total.cpu_milli), hosts_for(need.memory_mb, total.memory_mb));
		wanted = std::max<int64>(wanted, latest.demand.min_hosts) + this->tuning.margin;
		sizes[pool] = {current[pool], wanted};
	}
	return sizes;
}

std::map<std::string, int64> PoolBalancer::Deficits(EDemandScope inScope, Millis inNow) const
{
	std::map<std::string, int64> deficits;
	for (const auto &[pool, size] : this->Sizes(inScope, inNow))
		deficits[pool] = size.wanted - size.current;
	return deficits;
}

void PoolBalancer::LogSizes(Millis inNow)
{
	if (inNow - this->logged_at < cLogSizesMs)
		return;
	this->logged_at = inNow;
	const std::map<std::string, PoolSize> late = this->Sizes(EDemandScope::All, inNow);
	for (const auto &[pool, size] : this->Sizes(EDemandScope::InTime, inNow))
	{
		if (this->logged[pool] == size)
			continue;
		this->logged[pool] = size;
		LogEvent(ELogLevel::Info, "pool_sized")
			.Field("pool", pool)
			.Field("hosts", size.current)
			.Field("wanted", size.wanted)
			.Field("wanted_with_late", late.at(pool).wanted)
			.Field("least", this->demands.at(pool).demand.min_hosts)
			.Field("asked_ms_ago", inNow - this->demands.at(pool).asked_at);
	}
}

std::vector<std::pair<std::string, uint32>> PoolBalancer::PoolsToAsk(Millis inNow) const
{
	std::vector<std::pair<std::string, uint32>> ask;
	// Jobs that can only be late yield hosts while another pool lacks hosts for jobs that can be in time
	const bool has_deficit = !this->PoolsInDeficit(inNow).empty();
	const std::map<std::string, int64> deficits = this->Deficits(has_deficit ? EDemandScope::InTime : EDemandScope::All, inNow);
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

std::set<std::string> PoolBalancer::PoolsInDeficit(Millis inNow) const
{
	std::set<std::string> pools_in_deficit;
	for (const auto &[pool, deficit] : this->Deficits(EDemandScope::InTime, inNow))
		if (deficit > 0)
			pools_in_deficit.insert(pool);
	return pools_in_deficit;
}

const HostEntry *PoolBalancer::SpareHost(const std::string &inPool, Millis) const
{
	for (const auto &[name, host] : this->hosts)
	{
		const bool free =
			this->IsSpare(host.pool) && host.state == EHostState::Up && !this->moves.contains(name) && !this->busy.contains(name);
		if (free && this->CanMove(host, inPool) && !this->IsEvacuated(host))
			return &host;
	}
	return nullptr;
}

const HostEntry *PoolBalancer::GrantedHost(const std::string &inFrom, const std::string &inTo, Millis inNow)
{
	auto found = this->demands.find(inFrom);
	if (found == this->demands.end() || inNow - found->second.asked_at > this->tuning.grant_trusted_ms)
		return nullptr;
	for (const std::string &worker : found->second.demand.releasable)
		for (const auto &[name, host] : this->hosts)
		{
			const bool free = host.worker == worker && host.pool == inFrom && host.state == EHostState::Up && !this->moves.contains(name) &&
							  !this->busy.contains(name);
			if (free && this->CanMove(host, inTo) && !this->IsEvacuated(host))
				return &host;
		}
	return nullptr;
}

Millis PoolBalancer::DrainGrantEnd(const std::string &inPool) const
{
	auto found = this->demands.find(inPool);
	return found == this->demands.end() ? 0 : found->second.asked_at + cDrainGrantMs - cHostOrderTransitMs;
}

void PoolBalancer::OrderMove(const HostEntry &inHost, const std::string &inTo, Millis inNow, Millis inNotAfter,
							 std::vector<HostOrder> &outOrders)
{
	HostOrder order;
	order.kind = EHostOrder::Move;
	order.host = inHost.name;
	order.from = inHost.pool;
	order.worker = inHost.worker;
	order.pool = inTo;
	order.not_after = inNotAfter;
	LogEvent(ELogLevel::Info, "host_moves").Field("host", inHost.name).Field("from", inHost.pool).Field("to", inTo);
	this->moves[inHost.name] = {inTo, inNow};
	outOrders.push_back(std::move(order));
}

void PoolBalancer::FillDeficits(std::map<std::string, int64> &ioDeficits, Millis inNow, std::vector<HostOrder> &outOrders)
{
	// One host at a time, to the pool with the largest deficit
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
			host = this->GrantedHost(it->first, worst->first, inNow);
			from = it->first;
		}
		if (host == nullptr)
		{
			worst->second = 0;
			continue;
		}
		this->OrderMove(*host, worst->first, inNow, from.empty() ? 0 : this->DrainGrantEnd(from), outOrders);
		--worst->second;
		if (!from.empty())
			++ioDeficits[from];
	}
}

std::vector<HostOrder> PoolBalancer::TakeMoves(Millis inNow)
{
	std::vector<HostOrder> orders;
	this->LogSizes(inNow);
	std::map<std::string, int64> in_time = this->Deficits(EDemandScope::InTime, inNow);
	this->FillDeficits(in_time, inNow, orders);
	std::map<std::string, int64> all = this->Deficits(EDemandScope::All, inNow);
	this->FillDeficits(all, inNow, orders);
	// Hosts that no pool needs cost nothing in a spare pool
	for (const auto &[name, pool] : this->pools)
	{
		if (!pool.spare)
			continue;
		for (auto &[from, deficit] : all)
			while (deficit < -static_cast<int64>(this->tuning.slack))
			{
				const HostEntry *host = this->GrantedHost(from, name, inNow);
				if (host == nullptr)
					break;
				this->OrderMove(*host, name, inNow, this->DrainGrantEnd(from), orders);
				++deficit;
			}
	}
	return orders;
}

std::vector<HostEntry> PoolBalancer::UncertainMoves() const
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

void PoolBalancer::OnMove(const HostOrder &inOrder, EHostOrderResult inResult, Millis inNow)
{
	LogEvent(ELogLevel::Info, "host_moved")
		.Field("host", inOrder.host)
		.Field("to", inOrder.pool)
		.Field("token", inOrder.token)
		.Field("result", NameOf(cHostOrderResultNames, inResult));
	auto host = this->hosts.find(inOrder.host);
	if (inResult == EHostOrderResult::Impossible && host != this->hosts.end())
		this->incompatible.insert({host->second.kind, inOrder.pool});
	const bool under_way = inResult == EHostOrderResult::Done || inResult == EHostOrderResult::Unknown;
	if (!under_way)
	{
		this->moves.erase(inOrder.host);
		return;
	}
	Move &move = this->moves[inOrder.host];
	move.to = inOrder.pool;
	move.since = inNow;
	move.done = inResult == EHostOrderResult::Done;
}

} // namespace Loomreach::Jobs
