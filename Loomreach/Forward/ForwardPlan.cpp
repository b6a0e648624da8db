// Counts orders, chooses forwarders.

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
		// Another process may run on another clock
		const bool same = found != known.end() && found->second.idle.life == idle.life;
		this->hosts[idle.address] = same ? found->second : Host{idle, false, -1, 0, 0, 0};
		this->by_zone[idle.availability_zone].push_back(idle.address);
	}
}

std::vector<Address> ForwardPlan::ToAsk()
{
	std::vector<Address> ask;
	if (this->hosts.size() < this->tuning.least_hosts)
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
	found->second.out_ms = 0;
	found->second.clock_ms = inClockMs;
	found->second.clock_at = inNow;
}

void ForwardPlan::OnSilent(const Address &inHost, Millis inNow)
{
	auto found = this->hosts.find(inHost);
	if (found == this->hosts.end())
		return;
	Host &host = found->second;
	// Orders that were under way together tell of one silence
	if (inNow < host.out_until)
		return;
	host.out_ms = std::clamp(host.out_ms * 2, this->tuning.out_ms, this->tuning.most_out_ms);
	host.out_until = inNow + host.out_ms;
	LogEvent(ELogLevel::Warning, "forwarder_silent").Field("host", inHost.Text()).Field("out_ms", host.out_ms);
}

void ForwardPlan::Count(Millis inNow)
{
	++this->in_window;
	const Millis passed = inNow - this->window_at;
	if (passed < this->tuning.window_ms)
		return;
	// A window without orders may be long over: what came before says nothing of now
	const int64 orders = passed < 2 * this->tuning.window_ms ? this->in_window : 0;
	const int64 percent = orders * this->tuning.order_cost_us * 100 / std::max<int64>(1, passed * this->tuning.processor_milli);
	const bool was = this->forwarding;
	this->forwarding = percent >= (was ? this->tuning.end_percent : this->tuning.begin_percent);
	if (was != this->forwarding)
		LogEvent(ELogLevel::Info, this->forwarding ? "forwarding_begins" : "forwarding_ends")
			.Field("orders", orders)
			.Field("in_ms", passed)
			.Field("percent", percent)
			.Field("hosts", this->hosts.size());
	this->window_at = inNow;
	this->in_window = 0;
}

std::optional<Forwarder> ForwardPlan::Choose(const Order &inOrder, Millis inNow)
{
	this->Count(inNow);
	if (!this->forwarding || this->hosts.size() < this->tuning.least_hosts)
		return std::nullopt;
	// One in the worker's zone: what cuts it off cuts off the worker as well. Always the same while it can be used: it keeps connections
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
		// Its clock is past what it was when heard, and may run slower or faster than ours: the order ends no later there than here
		const Millis left = inOrder.not_after - host.clock_at;
		const Millis slack = std::abs(left) * cClockSlackPerMille / 1000 + 1;
		return Forwarder{host.idle.address, host.idle.life, host.clock_ms + left - slack};
	}
	return std::nullopt;
}

} // namespace Loomreach::Jobs
