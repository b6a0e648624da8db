// Counts orders and chooses the forwarder of each.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Hash.h>
#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Forward/ForwardPlan.h>
#include <Loomreach/Schedule/CellTypes.h>

namespace Loomreach::Jobs
{

void ForwardPlan::SetHosts(const std::vector<IdleHost> &inHosts)
{
	std::map<Address, Host> known = std::move(this->hosts);
	this->hosts.clear();
	this->by_zone.clear();
	for (const IdleHost &idle : inHosts)
	{
		auto found = known.find(idle.address);
		// Another process may run on another clock, so its clock is queried again
		const bool same = found != known.end() && found->second.idle.incarnation == idle.incarnation;
		this->hosts[idle.address] = same ? found->second : Host{idle, false, -1, 0, 0, 0};
		this->by_zone[idle.availability_zone].push_back(idle.address);
	}
}

std::vector<Address> ForwardPlan::TakeHostsToQuery()
{
	std::vector<Address> ask;
	if (this->hosts.size() < this->tuning.min_idle_hosts)
		return ask;
	for (auto &[address, host] : this->hosts)
		if (host.clock_ms < 0 && !std::exchange(host.asked, true))
			ask.push_back(address);
	return ask;
}

void ForwardPlan::OnClock(const Address &inHost, Millis inClockMs, Millis inNow)
{
	auto found = this->hosts.find(inHost);
	if (found == this->hosts.end())
		return;
	Host &host = found->second;
	host.exclusion_ms = 0;
	// An answer that was sent again tells the time of its first sending. Its host would refuse orders as expired that are not
	const Millis known_ms = host.clock_ms < 0 ? -1 : host.clock_ms + (inNow - host.clock_at) * (1000 - cClockSlackPerMille) / 1000;
	if (inClockMs < known_ms)
		return;
	host.clock_ms = inClockMs;
	host.clock_at = inNow;
}

void ForwardPlan::OnUnresponsive(const Address &inHost, Millis inNow)
{
	auto found = this->hosts.find(inHost);
	if (found == this->hosts.end())
		return;
	Host &host = found->second;
	// Orders that were in flight at the same time report the same failure
	if (inNow < host.excluded_until)
		return;
	host.exclusion_ms = std::clamp(host.exclusion_ms * 2, this->tuning.exclusion_ms, this->tuning.max_exclusion_ms);
	host.excluded_until = inNow + host.exclusion_ms;
	LogEvent(ELogLevel::Warning, "forwarder_silent").Field("host", inHost.Text()).Field("out_ms", host.exclusion_ms);
}

void ForwardPlan::OnOrderUnanswered(const std::string &inWorker, Millis inNow)
{
	std::erase_if(this->direct_until, [inNow](const auto &inEntry) { return inNow >= inEntry.second; });
	this->direct_until[inWorker] = inNow + this->tuning.direct_ms;
}

void ForwardPlan::Count(Millis inNow)
{
	++this->orders_in_window;
	const Millis elapsed = inNow - this->window_began;
	if (elapsed < this->tuning.window_ms)
		return;
	// If no order arrived for more than a window, the count says nothing about the present load
	const int64 orders = elapsed < 2 * this->tuning.window_ms ? this->orders_in_window : 0;
	const int64 percent = orders * this->tuning.order_cost_us * 100 / std::max<int64>(1, elapsed * this->tuning.processor_milli);
	const bool was_forwarding = this->forwarding;
	this->forwarding = percent >= (was_forwarding ? this->tuning.end_percent : this->tuning.begin_percent);
	if (was_forwarding != this->forwarding)
		LogEvent(ELogLevel::Info, this->forwarding ? "forwarding_begins" : "forwarding_ends")
			.Field("orders", orders)
			.Field("in_ms", elapsed)
			.Field("percent", percent)
			.Field("hosts", this->hosts.size());
	this->window_began = inNow;
	this->orders_in_window = 0;
}

std::optional<Forwarder> ForwardPlan::Choose(const Order &inOrder, Millis inNow)
{
	this->Count(inNow);
	if (!this->forwarding || this->hosts.size() < this->tuning.min_idle_hosts)
		return std::nullopt;
	auto direct = this->direct_until.find(inOrder.worker);
	if (direct != this->direct_until.end() && inNow < direct->second)
		return std::nullopt;
	// The forwarder is in the zone of the worker: what cuts it off cuts off the worker as well. The same one is chosen as long as it is
	// usable, because it keeps connections to the worker open
	auto zone = this->by_zone.find(inOrder.availability_zone);
	if (zone == this->by_zone.end())
		return std::nullopt;
	const std::vector<Address> &near = zone->second;
	const size_t first = HashBytes(inOrder.worker) % near.size();
	for (size_t i = 0; i < near.size(); ++i)
	{
		const Host &host = this->hosts.at(near[(first + i) % near.size()]);
		if (!this->CanUse(host, inNow))
			continue;
		// Time has passed on its clock since it was heard, and it may run slower or faster than ours: the order must expire there no
		// later than here
		const Millis left = inOrder.not_after - host.clock_at;
		const Millis slack = std::abs(left) * cClockSlackPerMille / 1000 + 1;
		return Forwarder{host.idle.address, host.idle.incarnation, host.clock_ms + left - slack};
	}
	return std::nullopt;
}

} // namespace Loomreach::Jobs
