// Many entry hosts read one record from one store whose answers share its bandwidth, as after a change of the configuration.
//
// With 585 hosts a record of 50 KB makes 29 MB, which takes 0.37 s of the store's whole bandwidth. All long polls are answered at that
// moment, and other reads meanwhile take more than ten times as long as usual. With 2,340 hosts the last answers arrive after their reads
// have timed out.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Random.h>
#include <Loomreach/Ownership/StoreBudget.h>
#include <Loomreach/Platform/PeerTrust.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

constexpr int64 cBytesPerMs = 80'000; ///< The store's bandwidth.
constexpr int64 cRecordBytes = 50'000;
constexpr int64 cSmallBytes = 200;
constexpr Millis cAnswerMs = 4;
constexpr Millis cSmallReadIntervalMs = 1000;
constexpr Millis cWaitMs = 900;
constexpr Millis cReadTimeoutMs = 600;
constexpr Millis cRetryMs = 200;
constexpr Millis cChangeAtMs = 5000;
constexpr Millis cEndAtMs = 20'000;
constexpr Millis cLongDelayMs = 100;

/// One host. It follows the record, and makes a small read every second over the same kept connections.
struct Host
{
	ResponseTimeTracker trust;
	bool is_informed = false;
	Millis informed_at = -1;
	Millis follow_at = 0;         ///< Time of the next read of the record; -1 while one is in flight.
	Millis follow_timeout_at = 0; ///< Time at which that read times out.
	Millis follow_poll_until = 0; ///< Time at which a long poll is answered without a change.
	Millis follow_answer_at = 0;  ///< Time at which the answer arrives; 0 until the store sends one.
	bool is_repeated = false;
	Millis small_at = 0;
	Millis small_answer_at = -1;
	Millis small_sent_at = 0;
};

/// How one change spreads.
struct ChangeResult
{
	size_t informed_hosts = 0;   ///< Hosts that know the change at the end.
	Millis last_informed_ms = 0; ///< Time from the change until the last of them knew it, ms.
	Millis last_delay_ms = 0;    ///< Time from the change until the last delayed answer of the store, ms.
};

/// The store and its hosts, each with its own view of whether its connections can be trusted.
class SharedStore
{
public:
	SharedStore(size_t inHosts, bool inSpread) : hosts(inHosts)
	{
		const StoreBudget budget({16'000, cBytesPerMs});
		this->interval_ms = inSpread ? std::min<Millis>(budget.SpreadTime(inHosts, cRecordBytes), 2000) : 0;
		for (Host &host : this->hosts)
		{
			host.follow_at = static_cast<Millis>(this->random.Below(cWaitMs));
			host.small_at = static_cast<Millis>(this->random.Below(cSmallReadIntervalMs));
		}
	}

	ChangeResult Run()
	{
		for (this->now = 0; this->now < cEndAtMs; ++this->now)
			for (Host &host : this->hosts)
				this->Step(host);
		ChangeResult result;
		result.last_delay_ms = std::max<Millis>(this->delayed_at - cChangeAtMs, 0);
		for (const Host &host : this->hosts)
		{
			result.informed_hosts += host.is_informed ? 1 : 0;
			result.last_informed_ms = std::max(result.last_informed_ms, host.informed_at - cChangeAtMs);
		}
		return result;
	}

private:
	/// Returns when an answer of `inBytes` bytes that the store sends now has arrived.
	Millis Transmit(int64 inBytes)
	{
		this->free_at = std::max(this->free_at, static_cast<double>(this->now)) + static_cast<double>(inBytes) / cBytesPerMs;
		if (this->free_at - static_cast<double>(this->now) > cLongDelayMs)
			this->delayed_at = this->now;
		return static_cast<Millis>(this->free_at) + cAnswerMs;
	}

	void SendRead(Host &ioHost)
	{
		const Millis wait = this->interval_ms == 0 ? cWaitMs : 0;
		ioHost.follow_at = -1;
		ioHost.is_repeated = false;
		ioHost.follow_poll_until = this->now + wait;
		ioHost.follow_timeout_at = this->now + wait + cReadTimeoutMs;
		ioHost.follow_answer_at = 0;
		ioHost.trust.OnSent(&ioHost.follow_at, wait, this->now);
	}

	void Follow(Host &ioHost)
	{
		if (ioHost.follow_at >= 0)
		{
			if (this->now >= ioHost.follow_at)
				this->SendRead(ioHost);
			return;
		}
		const bool changed = this->now >= cChangeAtMs && !ioHost.is_informed;
		if (ioHost.follow_answer_at == 0 && (changed || this->now >= ioHost.follow_poll_until))
		{
			ioHost.follow_answer_at = this->Transmit(changed ? cRecordBytes : cSmallBytes);
			this->carries_change[&ioHost] = changed;
		}
		const bool answered = ioHost.follow_answer_at > 0 && this->now >= ioHost.follow_answer_at;
		if (!answered && this->now < ioHost.follow_timeout_at)
			return;
		ioHost.trust.OnFinished(&ioHost.follow_at);
		if (answered && this->carries_change[&ioHost])
		{
			ioHost.is_informed = true;
			ioHost.informed_at = this->now;
		}
		const Millis pause =
			this->interval_ms / 4 * 3 + static_cast<Millis>(this->random.Below(static_cast<uint64>(this->interval_ms / 2 + 1)));
		ioHost.follow_at = this->now + (answered ? pause : cRetryMs);
	}

	void ReadSmall(Host &ioHost)
	{
		if (ioHost.small_answer_at < 0 && this->now >= ioHost.small_at)
		{
			ioHost.small_sent_at = this->now;
			ioHost.small_answer_at = this->Transmit(cSmallBytes);
			ioHost.trust.OnSent(&ioHost.small_at, 0, this->now);
		}
		if (ioHost.small_answer_at < 0 || this->now < ioHost.small_answer_at)
			return;
		ioHost.trust.OnFinished(&ioHost.small_at);
		ioHost.trust.OnAnswered(this->now - ioHost.small_sent_at);
		ioHost.small_answer_at = -1;
		ioHost.small_at = this->now + cSmallReadIntervalMs;
	}

	void Step(Host &ioHost)
	{
		this->ReadSmall(ioHost);
		this->Follow(ioHost);
		const std::optional<Millis> overdue = ioHost.trust.OverdueAt();
		if (!overdue.has_value() || this->now < *overdue)
			return;
		ioHost.trust.OnConnectionsClosed();
		// A read that waits is repeated over another connection. The store can't know that the first answer is not wanted any more
		const bool waits = ioHost.follow_at < 0 && this->interval_ms == 0 && !ioHost.is_repeated;
		if (!waits)
			return;
		ioHost.is_repeated = true;
		ioHost.follow_answer_at = 0;
		ioHost.trust.OnSent(&ioHost.follow_at, cWaitMs, this->now);
	}

	std::vector<Host> hosts;
	std::map<const Host *, bool> carries_change;
	Random random{1};
	Millis interval_ms = 0;
	Millis now = 0;
	double free_at = 0.0;
	Millis delayed_at = 0;
};

} // namespace

/// Guards against a change of the configuration that takes all of the store's bandwidth for seconds.
TEST(SharedStore, AChangeReadByAllHostsDoesNotOverloadTheStore)
{
	for (const size_t hosts : {585u, 1170u, 2340u})
	{
		const ChangeResult result = SharedStore(hosts, true).Run();
		EXPECT_EQ(result.informed_hosts, hosts);
		EXPECT_LT(result.last_informed_ms, 3000) << hosts;
		EXPECT_LT(result.last_delay_ms, 2000) << hosts;
	}
}

/// If all hosts are answered at the same moment nevertheless, their repeated reads must not keep the store overloaded.
TEST(SharedStore, RecoversWhenAllAreAnsweredAtOnce)
{
	for (const size_t hosts : {585u, 1170u})
	{
		const ChangeResult result = SharedStore(hosts, false).Run();
		EXPECT_EQ(result.informed_hosts, hosts);
		EXPECT_LT(result.last_delay_ms, 5000) << hosts;
	}
}

/// Guards against a fixed rate of reads per host, whose sum grows with the number of hosts.
TEST(StoreBudget, TheSumStaysTheSameWithMoreHosts)
{
	const StoreBudget budget({16'000, 80'000});
	for (const size_t hosts : {585u, 1170u, 2340u, 3215u})
	{
		const Millis interval_ms = budget.RoundInterval(hosts, 4);
		EXPECT_LE(static_cast<int64>(hosts) * 4 * 1000 / interval_ms, 4100) << hosts;
		EXPECT_LE(static_cast<int64>(hosts) * cRecordBytes / budget.SpreadTime(hosts, cRecordBytes), 20'100) << hosts;
	}
	// A small fleet hardly waits
	EXPECT_LT(budget.RoundInterval(9, 4), 20);
}

} // namespace Loomreach::Jobs
