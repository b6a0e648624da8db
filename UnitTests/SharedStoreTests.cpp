// Many entry hosts read one record through one store whose answers share its bandwidth, as on a change of the configuration.
//
// With 585 hosts a record of 50 KB is 29 MB: 0.37 s of all that the store can give. Reads that wait are all answered at that moment, and
// what else is read meanwhile takes longer than ten usual answers. At 2,340 hosts the last answers come after their reads' time is over.

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
constexpr Millis cSmallEveryMs = 1000;
constexpr Millis cWaitMs = 900;
constexpr Millis cReadTimeoutMs = 600;
constexpr Millis cAgainMs = 200;
constexpr Millis cChangeAt = 5000;
constexpr Millis cEndAt = 20'000;
constexpr Millis cCalmDelayMs = 100;

/// One host: it follows the record, and makes a small read now and then over the same kept connections.
struct Host
{
	PeerTrust trust;
	bool knows = false;
	Millis knew_at = -1;
	Millis follow_at = 0;        ///< The next read of the record leaves then; -1: one is under way.
	Millis follow_limit = 0;     ///< Its time is over then.
	Millis follow_until = 0;     ///< A waiting one is answered without news then.
	Millis follow_answer_at = 0; ///< Its answer arrives then; 0: none is on its way yet.
	bool is_anew = false;
	Millis small_at = 0;
	Millis small_answer_at = -1;
	Millis small_sent_at = 0;
};

/// What is seen of one change.
struct Seen
{
	size_t know = 0;       ///< Hosts that know it at the end,
	Millis last_knew = 0;  ///< and how long after it the last of them did.
	Millis calm_after = 0; ///< How long after it the store's answers were delayed for the last time.
};

/// The store and its hosts, each with its own view of whether its connections can be trusted.
class SharedStore
{
public:
	SharedStore(size_t inHosts, bool inSpread) : hosts(inHosts)
	{
		const StoreBudget budget({16'000, cBytesPerMs});
		this->gap = inSpread ? std::min<Millis>(budget.Spread(inHosts, cRecordBytes), 2000) : 0;
		for (Host &host : this->hosts)
		{
			host.follow_at = static_cast<Millis>(this->random.Below(cWaitMs));
			host.small_at = static_cast<Millis>(this->random.Below(cSmallEveryMs));
		}
	}

	Seen Run()
	{
		for (this->now = 0; this->now < cEndAt; ++this->now)
			for (Host &host : this->hosts)
				this->Step(host);
		Seen seen;
		seen.calm_after = std::max<Millis>(this->delayed_at - cChangeAt, 0);
		for (const Host &host : this->hosts)
		{
			seen.know += host.knows ? 1 : 0;
			seen.last_knew = std::max(seen.last_knew, host.knew_at - cChangeAt);
		}
		return seen;
	}

private:
	/// When an answer of so many bytes, given now, has passed.
	Millis Pass(int64 inBytes)
	{
		this->free_at = std::max(this->free_at, static_cast<double>(this->now)) + static_cast<double>(inBytes) / cBytesPerMs;
		if (this->free_at - static_cast<double>(this->now) > cCalmDelayMs)
			this->delayed_at = this->now;
		return static_cast<Millis>(this->free_at) + cAnswerMs;
	}

	void Ask(Host &ioHost)
	{
		const Millis wait = this->gap == 0 ? cWaitMs : 0;
		ioHost.follow_at = -1;
		ioHost.is_anew = false;
		ioHost.follow_until = this->now + wait;
		ioHost.follow_limit = this->now + wait + cReadTimeoutMs;
		ioHost.follow_answer_at = 0;
		ioHost.trust.OnSent(&ioHost.follow_at, wait, this->now);
	}

	void Follow(Host &ioHost)
	{
		if (ioHost.follow_at >= 0)
		{
			if (this->now >= ioHost.follow_at)
				this->Ask(ioHost);
			return;
		}
		const bool news = this->now >= cChangeAt && !ioHost.knows;
		if (ioHost.follow_answer_at == 0 && (news || this->now >= ioHost.follow_until))
		{
			ioHost.follow_answer_at = this->Pass(news ? cRecordBytes : cSmallBytes);
			this->brings_news[&ioHost] = news;
		}
		const bool answered = ioHost.follow_answer_at > 0 && this->now >= ioHost.follow_answer_at;
		if (!answered && this->now < ioHost.follow_limit)
			return;
		ioHost.trust.OnOver(&ioHost.follow_at);
		if (answered && this->brings_news[&ioHost])
		{
			ioHost.knows = true;
			ioHost.knew_at = this->now;
		}
		const Millis pause = this->gap / 4 * 3 + static_cast<Millis>(this->random.Below(static_cast<uint64>(this->gap / 2 + 1)));
		ioHost.follow_at = this->now + (answered ? pause : cAgainMs);
	}

	void ReadSmall(Host &ioHost)
	{
		if (ioHost.small_answer_at < 0 && this->now >= ioHost.small_at)
		{
			ioHost.small_sent_at = this->now;
			ioHost.small_answer_at = this->Pass(cSmallBytes);
			ioHost.trust.OnSent(&ioHost.small_at, 0, this->now);
		}
		if (ioHost.small_answer_at < 0 || this->now < ioHost.small_answer_at)
			return;
		ioHost.trust.OnOver(&ioHost.small_at);
		ioHost.trust.OnAnswered(this->now - ioHost.small_sent_at);
		ioHost.small_answer_at = -1;
		ioHost.small_at = this->now + cSmallEveryMs;
	}

	void Step(Host &ioHost)
	{
		this->ReadSmall(ioHost);
		this->Follow(ioHost);
		const std::optional<Millis> overdue = ioHost.trust.OverdueAt();
		if (!overdue.has_value() || this->now < *overdue)
			return;
		ioHost.trust.OnGivenUp();
		// What waits is asked anew over another connection; the store has no way to know that the first answer is not wanted any more
		const bool waits = ioHost.follow_at < 0 && this->gap == 0 && !ioHost.is_anew;
		if (!waits)
			return;
		ioHost.is_anew = true;
		ioHost.follow_answer_at = 0;
		ioHost.trust.OnSent(&ioHost.follow_at, cWaitMs, this->now);
	}

	std::vector<Host> hosts;
	std::map<const Host *, bool> brings_news;
	Random random{1};
	Millis gap = 0;
	Millis now = 0;
	double free_at = 0.0;
	Millis delayed_at = 0;
};

} // namespace

/// A change of the configuration takes all of the store's bandwidth for a while.
TEST(SharedStore, AChangeReadByAllHostsDoesNotHoldUpTheStore)
{
	for (const size_t hosts : {585u, 1170u, 2340u})
	{
		const Seen seen = SharedStore(hosts, true).Run();
		EXPECT_EQ(seen.know, hosts);
		EXPECT_LT(seen.last_knew, 3000) << hosts;
		EXPECT_LT(seen.calm_after, 2000) << hosts;
	}
}

/// Where all hosts were answered at once all the same, the store is not asked for more and more.
TEST(SharedStore, RecoversWhenAllAreAnsweredAtOnce)
{
	for (const size_t hosts : {585u, 1170u})
	{
		const Seen seen = SharedStore(hosts, false).Run();
		EXPECT_EQ(seen.know, hosts);
		EXPECT_LT(seen.calm_after, 5000) << hosts;
	}
}

/// The pace of each host does not follow the number of hosts, and their sum grows with it.
TEST(StoreBudget, TheSumStaysTheSameWithMoreHosts)
{
	const StoreBudget budget({16'000, 80'000});
	for (const size_t hosts : {585u, 1170u, 2340u, 3215u})
	{
		const Millis gap = budget.RoundGap(hosts, 4);
		EXPECT_LE(static_cast<int64>(hosts) * 4 * 1000 / gap, 4100) << hosts;
		EXPECT_LE(static_cast<int64>(hosts) * cRecordBytes / budget.Spread(hosts, cRecordBytes), 20'100) << hosts;
	}
	// A small fleet need not wait
	EXPECT_LT(budget.RoundGap(9, 4), 20);
}

} // namespace Loomreach::Jobs
