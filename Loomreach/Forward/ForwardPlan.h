// Which orders an owner has other hosts send for it. An owner's own processor is what a pool's worst turn of load runs out of first: a call
// to a worker costs 0.3 ms of a core, a datagram to a host that makes the call for it a sixth. So an owner that sends many orders hands
// them to hosts without cells; one that sends few sends them itself, and depends on nobody. Pure.
//
// The load it answers: a queue's turn, five times its mean, 2,000 starts and as many looks a second for one owner of 0.5 cores.

#pragma once

#include <Loomreach/Ownership/OwnerTable.h>
#include <Loomreach/Schedule/Worker.h>

namespace Loomreach::Jobs
{

/// Limits of forwarding.
struct ForwardTuning
{
	int64 processor_milli = 1000; ///< Processor of this host, thousandths of a core.
	Millis order_cost_us = 300;   ///< What an order costs its sender, microseconds of a core: 0.31 ms a call, measured (docs/CAPACITY.md).
	int64 begin_percent =
		25; ///< Orders are forwarded once they would take this share of the processor: the rest is for planning and the log,
	int64 end_percent = 12;      ///< and until they would take less than this.
	Millis window_ms = 500;      ///< Orders are counted over this long: short against a turn (4 s on the users' days).
	Millis out_ms = 5000;        ///< A host that was silent is left out this long: cuts and kills on the users' days last 2 to 10 s.
	Millis most_out_ms = 40'000; ///< If it is silent again each time, twice as long as the last, up to this.
	size_t least_hosts = 4;      ///< Fewer idle hosts are left alone: they are the next owners.
};

/// Where an order goes instead of to its worker.
struct Forwarder
{
	Address address;
	uint64 life = 0;
	Millis not_after = 0; ///< The order's own, on the forwarder's clock, no later than on the sender's.
};

/// See the head of the file.
class ForwardPlan
{
public:
	explicit ForwardPlan(const ForwardTuning &inTuning) : tuning(inTuning) {}

	/// The hosts that can forward, as known now.
	void SetHosts(const std::vector<IdleHost> &inHosts);
	/// Hosts whose clock has not been heard: they can't be used before. Each is named once.
	std::vector<Address> ToAsk();
	/// A host's steady clock was heard.
	void OnClock(const Address &inHost, Millis inClockMs, Millis inNow);
	/// A host did not take up what was sent to it.
	void OnSilent(const Address &inHost, Millis inNow);
	/// Counts an order, and says who is to send it; nothing: this host.
	std::optional<Forwarder> Choose(const Order &inOrder, Millis inNow);
	bool IsForwarding() const { return this->forwarding; }

private:
	/// A host that can forward.
	struct Host
	{
		IdleHost idle;
		bool asked = false;
		Millis clock_ms = -1; ///< Its clock when last heard; -1: never.
		Millis clock_at = 0;  ///< And ours.
		Millis out_until = 0;
		Millis out_ms = 0; ///< For how long it was left out last, with no answer since.
	};

	void Count(Millis inNow);
	bool CanUse(const Host &inHost, Millis inNow) const { return inHost.clock_ms >= 0 && inNow >= inHost.out_until; }

	ForwardTuning tuning;
	std::map<Address, Host> hosts;
	std::map<std::string, std::vector<Address>> by_zone;
	Millis window_at = 0; ///< When the window under way began.
	int64 in_window = 0;  ///< Orders in it.
	bool forwarding = false;
};

} // namespace Loomreach::Jobs
