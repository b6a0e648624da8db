// Chooses the hosts of a wave to drain and to take down: idle hosts first, as many at a time as the wave allows.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Fleet/Upkeep.h>

namespace Loomreach::Jobs
{

void MaintenancePlanner::AddWave(const MaintenanceWave &inWave, const std::set<std::string> &inDone, Millis inNow)
{
	if (this->waves.contains(inWave.number))
		return;
	Wave &wave = this->waves[inWave.number];
	wave.asked = inWave;
	wave.begun_at = inNow;
	for (const std::string &host : inWave.hosts)
	{
		Item &item = wave.items[host];
		item.since = inNow;
		if (inDone.contains(host))
			item.step = EMaintenanceStep::Done;
	}
	LogEvent(ELogLevel::Info, "wave_begun")
		.Field("wave", inWave.number)
		.Field("hosts", inWave.hosts.size())
		.Field("done", inDone.size())
		.Field("at_most", inWave.max_down)
		.Field("within_ms", inWave.within_ms);
}

size_t MaintenancePlanner::CountWavesOf(const std::string &inHost) const
{
	size_t count = 0;
	for (const auto &[number, wave] : this->waves)
		count += wave.items.contains(inHost) ? 1 : 0;
	return count;
}

void MaintenancePlanner::SetHosts(const std::vector<HostEntry> &inHosts, Millis inNow)
{
	this->listed = true;
	this->hosts.clear();
	for (const HostEntry &host : inHosts)
		this->hosts[host.name] = host;
	for (auto &[number, wave] : this->waves)
		for (auto &[name, item] : wave.items)
		{
			auto host = this->hosts.find(name);
			// The host may be down on the order of an earlier owner. If several waves contain it, it is not known for which one: ordering
			// it again is safe, counting it as done for a wave that has not had it is not
			const bool shown_down = host != this->hosts.end() && host->second.state == EHostState::Maintenance;
			const bool taken_down = shown_down && this->CountWavesOf(name) == 1;
			// An order that has not been carried out after this long will not be any more
			if (!shown_down && item.uncertain_since >= 0 && inNow - item.uncertain_since > this->tuning.resend_after_ms)
				item.uncertain_since = -1;
			const bool uncertain = item.step == EMaintenanceStep::Ordered && !item.sent;
			if (taken_down && (uncertain || item.step == EMaintenanceStep::Waiting || item.step == EMaintenanceStep::Draining ||
							   item.step == EMaintenanceStep::Done))
			{
				item.step = EMaintenanceStep::Down;
				item.since = inNow;
			}
			const bool up = host != this->hosts.end() && host->second.state == EHostState::Up;
			// The order was carried out, so its maintenance is over when the list shows the host as up again
			const bool over = item.step == EMaintenanceStep::Down && inNow - item.since > this->tuning.down_ms + this->tuning.settle_ms;
			if (over && (up || host == this->hosts.end()))
				item.step = EMaintenanceStep::Done;
		}
}

uint32 MaintenancePlanner::CountDown(const Wave &inWave) const
{
	uint32 down = 0;
	for (const auto &[name, item] : inWave.items)
		down += item.step == EMaintenanceStep::Ordered || item.step == EMaintenanceStep::Down ? 1 : 0;
	return down;
}

bool MaintenancePlanner::IsBehindSchedule(const Wave &inWave, Millis inNow) const
{
	int64 left = 0;
	for (const auto &[name, item] : inWave.items)
		left += item.step == EMaintenanceStep::Done ? 0 : 1;
	const int64 rounds = (left + inWave.asked.max_down - 1) / inWave.asked.max_down;
	return inNow + rounds * this->tuning.per_host_ms + this->tuning.reserve_ms >= inWave.begun_at + inWave.asked.within_ms;
}

std::vector<HostEntry> MaintenancePlanner::HostsToDrain(Millis inNow)
{
	std::vector<HostEntry> wanted;
	for (auto &[number, wave] : this->waves)
	{
		const uint32 max_under_way = wave.asked.max_down + this->tuning.drains_ahead;
		const bool behind_schedule = this->IsBehindSchedule(wave, inNow);
		uint32 under_way = this->CountDown(wave);
		for (const auto &[name, item] : wave.items)
			under_way += item.step == EMaintenanceStep::Draining ? 1 : 0;
		// Idle hosts first: nothing is displaced there
		for (const bool idle : {true, false})
			for (auto &[name, item] : wave.items)
			{
				auto host = this->hosts.find(name);
				const bool is_up = host != this->hosts.end() && host->second.state == EHostState::Up;
				if (!is_up || this->moving.contains(name) || this->IsIdle(host->second) != idle)
					continue;
				const bool may_drain = behind_schedule || idle || !this->pools_in_deficit.contains(host->second.pool);
				if (item.step == EMaintenanceStep::Waiting && under_way < max_under_way && may_drain)
				{
					item.step = EMaintenanceStep::Draining;
					item.since = inNow;
					++under_way;
				}
				// An order may be carried out late: the host stays drained until the outcome is known
				if (item.step != EMaintenanceStep::Draining && item.step != EMaintenanceStep::Ordered)
					continue;
				// A host on which nothing runs need not be drained
				if (!idle)
				{
					wanted.push_back(host->second);
					continue;
				}
				item.empty_until = inNow + this->tuning.ready_for_ms;
				item.asked_at = -1;
			}
	}
	return wanted;
}

void MaintenancePlanner::OnDrained(const std::string &inHost, Millis inAskedAt, Millis)
{
	for (auto &[number, wave] : this->waves)
	{
		auto item = wave.items.find(inHost);
		const bool counts =
			item != wave.items.end() && (item->second.step == EMaintenanceStep::Draining || item->second.step == EMaintenanceStep::Ordered);
		if (!counts)
			continue;
		item->second.empty_until = inAskedAt + this->tuning.ready_for_ms;
		item->second.asked_at = inAskedAt;
	}
}

bool MaintenancePlanner::ShouldResend(const std::string &inHost, const Item &inItem, Millis inNow) const
{
	const bool due = inItem.step == EMaintenanceStep::Ordered && !inItem.sent && inNow - inItem.since > this->tuning.resend_after_ms;
	auto host = this->hosts.find(inHost);
	// If the first order never arrived, the host may have received work since: it must be as empty as for a first order. A host that is
	// not up runs nothing
	const bool up = host != this->hosts.end() && host->second.state == EHostState::Up;
	return due && (!up || inNow < inItem.empty_until);
}

std::vector<HostOrder> MaintenancePlanner::TakeHostOrders(Millis inNow)
{
	std::vector<HostOrder> orders;
	for (auto &[number, wave] : this->waves)
	{
		uint32 down = this->CountDown(wave);
		for (auto &[name, item] : wave.items)
		{
			const bool resend = this->ShouldResend(name, item, inNow);
			const bool first = item.step == EMaintenanceStep::Draining && inNow < item.empty_until && down < wave.asked.max_down;
			if (!resend && !first)
				continue;
			down += first ? 1 : 0;
			item.step = EMaintenanceStep::Ordered;
			item.since = inNow;
			item.sent = true;
			HostOrder order;
			order.kind = EHostOrder::Maintain;
			order.host = name;
			order.wave = number;
			if (item.asked_at >= 0 && inNow < item.empty_until)
				order.not_after = item.asked_at + cDrainGrantMs - cHostOrderTransitMs;
			auto host = this->hosts.find(name);
			if (host != this->hosts.end())
			{
				order.from = host->second.pool;
				order.worker = host->second.worker;
			}
			orders.push_back(std::move(order));
		}
	}
	return orders;
}

void MaintenancePlanner::OnHostOrderResult(const HostOrder &inOrder, EHostOrderResult inResult, Millis inNow)
{
	auto wave = this->waves.find(inOrder.wave);
	if (wave == this->waves.end())
		return;
	auto found = wave->second.items.find(inOrder.host);
	if (found == wave->second.items.end() || found->second.step != EMaintenanceStep::Ordered)
		return;
	Item &item = found->second;
	item.sent = false;
	item.since = inNow;
	LogEvent(ELogLevel::Info, "host_maintained")
		.Field("host", inOrder.host)
		.Field("wave", inOrder.wave)
		.Field("token", inOrder.token)
		.Field("result", NameOf(cHostOrderResultNames, inResult));
	switch (inResult)
	{
	case EHostOrderResult::Done: item.step = EMaintenanceStep::Down; break;
	case EHostOrderResult::NotOfWave:
	case EHostOrderResult::Impossible: item.step = EMaintenanceStep::Done; break;
	case EHostOrderResult::Busy:
	case EHostOrderResult::Refused:
	case EHostOrderResult::StaleToken:
		// This order was not carried out, but an earlier one with an unknown outcome may still be
		if (item.uncertain_since >= 0)
			break;
		item.step = EMaintenanceStep::Waiting;
		item.empty_until = 0;
		break;
	case EHostOrderResult::Unknown: item.uncertain_since = inNow; break;
	}
}

std::set<std::string> MaintenancePlanner::DoneOf(int64 inWave) const
{
	std::set<std::string> done;
	auto wave = this->waves.find(inWave);
	if (wave == this->waves.end())
		return done;
	for (const auto &[name, item] : wave->second.items)
		if (item.step == EMaintenanceStep::Done || item.step == EMaintenanceStep::Down)
			done.insert(name);
	return done;
}

bool MaintenancePlanner::IsCompleted(int64 inWave) const
{
	auto wave = this->waves.find(inWave);
	if (wave == this->waves.end() || !this->listed)
		return false;
	for (const auto &[name, item] : wave->second.items)
	{
		// A host that is no longer on the list has been removed: nothing is left to maintain
		const bool removed = !this->hosts.contains(name) && item.step == EMaintenanceStep::Waiting;
		if (item.step != EMaintenanceStep::Done && !removed)
			return false;
	}
	return true;
}

std::vector<int64> MaintenancePlanner::Waves() const
{
	std::vector<int64> numbers;
	for (const auto &[number, wave] : this->waves)
		numbers.push_back(number);
	return numbers;
}

std::set<std::string> MaintenancePlanner::Busy() const
{
	std::set<std::string> names;
	for (const auto &[number, wave] : this->waves)
		for (const auto &[name, item] : wave.items)
			if (item.step == EMaintenanceStep::Draining || item.step == EMaintenanceStep::Ordered || item.step == EMaintenanceStep::Down)
				names.insert(name);
	return names;
}

bool MaintenancePlanner::IsBusy() const
{
	for (const auto &[number, wave] : this->waves)
		if (!this->IsCompleted(number))
			return true;
	return false;
}

} // namespace Loomreach::Jobs
