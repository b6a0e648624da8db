// Decides which orders an owner has other hosts send for it. At peak load, an owner's processor is the first thing that a pool runs out
// of: a call to a worker costs 0.3 ms of a core, a datagram to a host that makes the call instead costs a sixth of that. So an owner that
// sends many orders hands them to hosts without cells; one that sends few sends them itself and depends on no other host. Pure: does no
// I/O, time is passed in.
//
// Designed for the peak of a queue, five times its mean: 2,000 starts and as many polls per second for one owner with 0.5 cores.

#pragma once

#include <Loomreach/Ownership/OwnerTable.h>
#include <Loomreach/Schedule/Worker.h>

namespace Loomreach::Jobs
{

/// Thresholds of forwarding.
struct ForwardTuning
{
	int64 processor_milli = 1000; ///< Processor capacity of this host, thousandths of a core.
	Millis order_cost_us = 300;   ///< Cost of an order to its sender, microseconds of a core: a call takes 0.31 ms (docs/CAPACITY.md).
	/// Forwarding begins when orders would take this share of the processor: the rest is for planning and the log.
	int64 begin_percent = 25;
	int64 end_percent = 12; ///< Forwarding ends when orders would take less than this.
	Millis window_ms = 500; ///< Orders are counted over this long: short compared with a load peak (4 s).
	/// First exclusion of an unresponsive host: a host that is cut off or killed is back after 2 to 10 s.
	Millis exclusion_ms = 5000;
	Millis direct_ms = 5000;          ///< Orders to a worker are sent directly for this long after a forwarded one had no answer.
	Millis max_exclusion_ms = 40'000; ///< The exclusion doubles each time that the host is unresponsive again, up to this.
	size_t min_idle_hosts = 4;        ///< With fewer idle hosts nothing is forwarded: they are the next owners.
};

/// A host that sends an order to its worker.
struct Forwarder
{
	Address address;
	uint64 incarnation = 0;
	Millis not_after = 0; ///< The expiry of the order on the clock of the forwarder, no later than on that of the sender.
};

/// Chooses forwarders; see the head of the file.
class ForwardPlan
{
public:
	explicit ForwardPlan(const ForwardTuning &inTuning) : tuning(inTuning) {}

	/// Sets the hosts that can forward now.
	void SetHosts(const std::vector<IdleHost> &inHosts);
	/// Hosts whose clock is unknown, to be queried: they cannot forward before it is heard. Each host is returned once.
	std::vector<Address> TakeHostsToQuery();
	/// Call when a host has told the time of its steady clock.
	void OnClock(const Address &inHost, Millis inClockMs, Millis inNow);
	/// Call when a host did not accept an order in time, or has accepted one and did not answer.
	void OnUnresponsive(const Address &inHost, Millis inNow);
	/// Call when a forwarded order to a worker had no answer: its next orders are sent directly, so that a second lost forwarder does not
	/// keep the worker from being heard until its lease expires.
	void OnOrderUnanswered(const std::string &inWorker, Millis inNow);
	/// Counts an order and chooses its forwarder; std::nullopt: this host sends it itself.
	std::optional<Forwarder> Choose(const Order &inOrder, Millis inNow);
	bool IsForwarding() const { return this->forwarding; }

private:
	/// A host that can forward.
	struct Host
	{
		IdleHost idle;
		bool asked = false;
		Millis clock_ms = -1;      ///< Its clock when last heard; -1: never.
		Millis clock_at = 0;       ///< The clock of this host at that time.
		Millis excluded_until = 0; ///< Until then nothing is forwarded to it.
		Millis exclusion_ms = 0;   ///< Length of its last exclusion; 0 once it has answered since.
	};

	/// Counts an order; at the end of a window decides whether to forward.
	void Count(Millis inNow);
	bool CanUse(const Host &inHost, Millis inNow) const { return inHost.clock_ms >= 0 && inNow >= inHost.excluded_until; }

	ForwardTuning tuning;
	std::map<Address, Host> hosts;
	std::map<std::string, std::vector<Address>> by_zone;
	std::map<std::string, Millis> direct_until; ///< Workers whose orders are not forwarded until then.
	Millis window_began = 0;                    ///< When the present window began.
	int64 orders_in_window = 0;                 ///< Orders counted in it.
	bool forwarding = false;
};

} // namespace Loomreach::Jobs
