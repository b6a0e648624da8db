// Admission under a slow or unavailable store, over many hosts, in virtual time.

#include <Loomreach/Loomreach.h>

#include <UnitTests/AdmissionWorld.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

constexpr Millis cSlowFrom = 1000;
constexpr Millis cSlowUntil = 6500;

/// Submits records at a rate per second, spread over the hosts.
void SubmitAtRate(AdmissionWorld &ioWorld, Random &ioRandom, size_t inHosts, Millis inFrom, Millis inUntil, double inPerSecond)
{
	const double gap = 1000.0 / inPerSecond;
	for (double at = static_cast<double>(inFrom); at < static_cast<double>(inUntil); at += gap)
		ioWorld.Submit(ioRandom.Below(inHosts), static_cast<Millis>(at));
}

/// The arrivals of a day on which the store is 28 times slower for 5.5 s while one queue's demand rises.
void SlowStoreArrivals(AdmissionWorld &ioWorld, size_t inHosts, uint64 inSeed)
{
	Random random(inSeed);
	SubmitAtRate(ioWorld, random, inHosts, 0, cSlowFrom + 1100, 120.0);
	SubmitAtRate(ioWorld, random, inHosts, cSlowFrom + 1100, cSlowFrom + 4500, 300.0);
	SubmitAtRate(ioWorld, random, inHosts, cSlowFrom + 4500, cSlowUntil + 2000, 120.0);
	ioWorld.At(cSlowFrom, [&ioWorld] { ioWorld.append_ms = 112; });
	ioWorld.At(cSlowUntil, [&ioWorld] { ioWorld.append_ms = 4; });
}

} // namespace

/// Guards against a queue of seconds in the partition: with one call per host, 12, 8 and 5 records were accepted in six seconds.
TEST(Admission, ASlowStoreAcceptsNearlyEverythingWithinASecond)
{
	AdmissionWorld world(45, 1);
	SlowStoreArrivals(world, 45, 1);
	world.RunUntil(30000);
	EXPECT_EQ(world.Violations(), "");
	const double slow = world.Served(cSlowFrom, cSlowUntil, 1000);
	const double after = world.Served(cSlowUntil, cSlowUntil + 2000, 1000);
	std::printf("accepted/arrived by second: %s; served within 1 s: slow %.3f, after %.3f; most calls in the partition %zu, calls %zu, "
				"datagrams %zu\n",
				world.AcceptedBySecond(0, 10000).c_str(), slow, after, world.max_open_calls, world.calls, world.datagrams);
	EXPECT_GT(slow, 0.8);
	EXPECT_EQ(after, 1.0);
}

/// Guards against additional calls, datagrams or delays while the store is fast.
TEST(Admission, AFastStoreIsReachedDirectly)
{
	AdmissionWorld world(45, 5);
	Random random(5);
	SubmitAtRate(world, random, 45, 0, 5000, 120.0);
	world.RunUntil(8000);
	EXPECT_EQ(world.Violations(), "");
	EXPECT_EQ(world.datagrams, 0u);
	EXPECT_LE(world.calls, world.attempts.size());
	EXPECT_EQ(world.Served(0, 5000, 20), 1.0);
}

/// A world in which the store is slow, the hosts know it, and host 0 collects. One record arrives at host 5 at `cAskedAt`.
class AdmissionFailure : public ::testing::Test
{
protected:
	static constexpr size_t cAsking = 5;
	static constexpr Millis cAskedAt = 2000;

	AdmissionFailure()
	{
		this->world.append_ms = 112;
		for (size_t i = 0; i < 10; ++i)
			this->world.Submit(i, 0);
		this->world.RunUntil(cAskedAt - 1);
		EXPECT_EQ(this->world.PathsOf(cAsking).PathOf(0), EInboxPath::Collected);
		this->world.max_open_calls = 0;
		this->first = this->world.attempts.size();
		this->world.Submit(cAsking, cAskedAt);
	}
	/// The record's attempt, 6 s later.
	const AdmissionWorld::Attempt &Outcome()
	{
		this->world.RunUntil(cAskedAt + 6000);
		EXPECT_EQ(this->world.Violations(), "");
		EXPECT_LE(this->world.max_open_calls, 3u);
		return this->world.attempts[this->first];
	}
	static Millis Took(const AdmissionWorld::Attempt &inAttempt)
	{
		return inAttempt.error == EError::None ? inAttempt.answered_at - inAttempt.arrived_at : -1;
	}

	AdmissionWorld world{10, 3};
	size_t first = 0; ///< Index of the record's attempt.
};

/// Guards against waiting for a dead collector, or losing the record with it.
TEST_F(AdmissionFailure, CollectorKilledBeforeItAcknowledges)
{
	this->world.FaultsOf(0).killed = true;
	const AdmissionWorld::Attempt &attempt = this->Outcome();
	EXPECT_TRUE(attempt.tried.starts_with("h0:no-answer h")) << attempt.tried;
	EXPECT_GE(Took(attempt), 150);
	EXPECT_LE(Took(attempt), 150 + 30 + 4 * 112);
}

/// The call of the killed collector is carried out. Guards against a lost record and against a certain refusal.
TEST_F(AdmissionFailure, CollectorKilledAfterItAcknowledged)
{
	this->world.At(cAskedAt + 60, [this] { this->world.FaultsOf(0).killed = true; });
	const AdmissionWorld::Attempt &attempt = this->Outcome();
	EXPECT_TRUE(attempt.tried.starts_with("h0:silent h")) << attempt.tried;
	EXPECT_GE(Took(attempt), 600);
	EXPECT_LE(Took(attempt), 30 + 600 + 60 + 4 * 112);
}

/// Its answer comes after another host has appended the record. Guards against two answers to the caller.
TEST_F(AdmissionFailure, CollectorFrozenAfterItAcknowledged)
{
	this->world.At(cAskedAt + 60, [this] { this->world.FaultsOf(0).frozen = true; });
	this->world.At(cAskedAt + 2500, [this] { this->world.Thaw(0); });
	const AdmissionWorld::Attempt &attempt = this->Outcome();
	EXPECT_TRUE(attempt.tried.starts_with("h0:silent h")) << attempt.tried;
	EXPECT_LE(Took(attempt), 30 + 600 + 60 + 4 * 112);
}

/// Guards against a record in doubt where the collector can say that it was not appended.
TEST_F(AdmissionFailure, CollectorCutOffFromTheStore)
{
	this->world.FaultsOf(0).cut_off = true;
	this->world.Submit(0, cAskedAt);
	this->world.RunUntil(cAskedAt + 2500);
	this->world.Submit(cAsking, cAskedAt + 2500);
	this->Outcome();
	const AdmissionWorld::Attempt &attempt = this->world.attempts.back();
	EXPECT_TRUE(attempt.tried.starts_with("h0:cannot-reach-store h")) << attempt.tried;
	EXPECT_LE(Took(attempt), 10 + 4 * 112);
}

/// Two hosts then collect. Guards against more than that.
TEST_F(AdmissionFailure, CollectorCutOffFromOneHost)
{
	this->world.FaultsOf(0).no_link.insert(cAsking);
	for (Millis at = cAskedAt; at < cAskedAt + 2000; at += 10)
		this->world.Submit(at / 10 % 10, at);
	this->Outcome();
	EXPECT_EQ(this->world.Served(cAskedAt, cAskedAt + 2000, 150 + 30 + 4 * 112), 1.0);
}

/// Guards against a second collector while the first one responds.
TEST_F(AdmissionFailure, SlowCollector)
{
	this->world.FaultsOf(0).slow_ms = 550;
	const AdmissionWorld::Attempt &attempt = this->Outcome();
	EXPECT_EQ(attempt.tried, "h0:appended");
	EXPECT_GE(Took(attempt), 550);
}

/// The same, with a record that arrives at host 5 at `cLaterAt`, when the collector's first calls are over.
class AdmissionRestart : public AdmissionFailure
{
protected:
	static constexpr Millis cLaterAt = cAskedAt + 1500;

	AdmissionRestart() { this->world.Submit(cAsking, cLaterAt); }
	/// Restarts the collector.
	void RestartAt(Millis inAt, Millis inBackMs)
	{
		this->world.At(inAt, [this, inBackMs] { this->world.Restart(0, inBackMs, 1000); });
	}
	/// The store refuses calls in this time.
	void RefuseCalls(Millis inFrom, Millis inUntil)
	{
		this->world.At(inFrom, [this] { this->world.store_busy = true; });
		this->world.At(inUntil, [this] { this->world.store_busy = false; });
	}
	/// The record's attempt after all is over.
	const AdmissionWorld::Attempt &LaterOutcome()
	{
		this->Outcome();
		const auto is_later = [](const AdmissionWorld::Attempt &inAttempt) { return inAttempt.record == 11; };
		return *std::find_if(this->world.attempts.begin(), this->world.attempts.end(), is_later);
	}
};

/// Its append was carried out, and its next process answers the repeated question while the store is busy. Guards against a certain refusal
/// of a record that is in the inbox.
TEST_F(AdmissionRestart, CollectorRestartedAfterItAcknowledged)
{
	this->RestartAt(cLaterAt + 60, 200);
	this->RefuseCalls(cLaterAt + 70, cLaterAt + 4000);
	const AdmissionWorld::Attempt &attempt = this->LaterOutcome();
	EXPECT_TRUE(this->world.inbox.contains("r11")) << attempt.tried;
	EXPECT_TRUE(attempt.tried.starts_with("h0:other-process-in-doubt h0:not-done")) << attempt.tried;
	EXPECT_NE(attempt.error, EError::PlatformDown);
}

/// The same where the collector was killed before it acknowledged the question.
TEST_F(AdmissionRestart, CollectorRestartedBeforeItAcknowledges)
{
	this->RestartAt(cLaterAt + 20, 50);
	this->RefuseCalls(cLaterAt + 60, cLaterAt + 4000);
	const AdmissionWorld::Attempt &attempt = this->LaterOutcome();
	EXPECT_TRUE(this->world.inbox.contains("r11")) << attempt.tried;
	EXPECT_NE(attempt.error, EError::PlatformDown) << attempt.tried;
}

/// Guards against a caller that is told nothing certain although the store is back in time.
TEST_F(AdmissionRestart, CollectorRestartedAndTheStoreIsBackInTime)
{
	this->RestartAt(cLaterAt + 60, 200);
	this->RefuseCalls(cLaterAt + 70, cLaterAt + 1000);
	const AdmissionWorld::Attempt &attempt = this->LaterOutcome();
	EXPECT_TRUE(this->world.inbox.contains("r11")) << attempt.tried;
	EXPECT_EQ(attempt.error, EError::None) << attempt.tried;
}

/// Guards against refusing callers, or turning to other collectors, while heartbeats still name the former process.
TEST_F(AdmissionRestart, CollectorRestartedBeforeItIsAsked)
{
	this->RestartAt(cLaterAt - 100, 50);
	const AdmissionWorld::Attempt &attempt = this->LaterOutcome();
	EXPECT_EQ(attempt.tried, "h0:other-process h0:appended");
	EXPECT_LE(Took(attempt), 30 + 4 * 112);
}

/// Guards against callers that wait for a store that is down, and against callers that all return at once and exhaust their retries.
TEST(Admission, WhileTheStoreIsDownCallersAreRefusedAtOnceAndReturnSpread)
{
	AdmissionWorld world(45, 2);
	Random random(2);
	SubmitAtRate(world, random, 45, 0, 9000, 120.0);
	world.At(1000, [&world] { world.store_down = true; });
	world.At(6000, [&world] { world.store_down = false; });
	world.RunUntil(40000);
	EXPECT_EQ(world.Violations(), "");
	size_t refused = 0;
	size_t late = 0;
	std::map<int, size_t> told;
	std::set<size_t> accepted;
	for (const AdmissionWorld::Attempt &attempt : world.attempts)
	{
		if (attempt.error == EError::None)
			accepted.insert(attempt.record);
		// Two seconds later every host knows that the store does not respond
		if (attempt.arrived_at < 3000 || attempt.arrived_at >= 6000)
			continue;
		refused += attempt.error == EError::PlatformDown ? 1 : 0;
		late += attempt.error == EError::PlatformDown && attempt.answered_at - attempt.arrived_at > 100 ? 1 : 0;
		++told[attempt.retry_after_s];
	}
	std::printf("store down: accepted/arrived by second %s; refused %zu, of these %zu after more than 100 ms; told 3 s %zu, 4 s %zu\n",
				world.AcceptedBySecond(0, 14000).c_str(), refused, late, told[3], told[4]);
	EXPECT_GT(refused, 300u);
	EXPECT_LT(late, refused / 20);
	EXPECT_GT(told[3], refused / 4);
	EXPECT_GT(told[4], refused / 4);
	// Records that arrived before the hosts knew it may end with an unknown outcome; all others are accepted in the end
	for (const AdmissionWorld::Attempt &attempt : world.attempts)
		EXPECT_TRUE(attempt.arrived_at < 3000 || accepted.contains(attempt.record)) << attempt.record << ' ' << attempt.tried;
	EXPECT_GT(accepted.size(), 900u);
}

/// The requirement for any slow store, number of hosts and arrival rate. Guards against a queue in the partition that grows with the hosts.
RC_GTEST_PROP(Admission, KeepsUpWithAnySlowStore, ())
{
	const Millis append_ms = *rc::gen::inRange<Millis>(4, 251);
	const size_t hosts = *rc::gen::elementOf(std::vector<size_t>{10, 45, 300, 585});
	const auto per_second = *rc::gen::inRange<int>(20, 400);
	AdmissionWorld world(hosts, 4);
	Random random(4);
	SubmitAtRate(world, random, hosts, 0, 8000, per_second);
	world.At(1000, [&world, append_ms] { world.append_ms = append_ms; });
	// Appends that were sent before the store became slow have left the queue after 2 s
	world.At(4000, [&world] { world.max_open_calls = 0; });
	world.RunUntil(8000);
	const size_t most = world.max_open_calls;
	world.RunUntil(20000);
	RC_ASSERT(world.Violations() == "");
	// Three calls of each of two collectors
	RC_ASSERT(most <= 6);
	RC_ASSERT(world.Served(4000, 8000, 4 * append_ms + 200) >= 0.99);
}

/// Any order of faults. Guards against lost records, records refused with 503 that were appended, and repeated appends in flight.
RC_GTEST_PROP(Admission, LosesNothingUnderRandomFaults, ())
{
	const uint64 seed = *rc::gen::inRange<uint64>(1, 1'000'000'000);
	constexpr size_t cHosts = 8;
	AdmissionWorld world(cHosts, seed);
	Random random(seed);
	SubmitAtRate(world, random, cHosts, 0, 8000, 60.0);
	for (Millis at = 200; at < 8000; at += 50 + static_cast<Millis>(random.Below(400)))
		world.At(at,
				 [&world, kind = random.Below(8), host = random.Below(cHosts), other = random.Below(cHosts)]
				 {
					 AdmissionWorld::Faults &faults = world.FaultsOf(host);
					 switch (kind)
					 {
					 case 0: world.append_ms = world.append_ms == 4 ? 112 : 4; break;
					 case 1: world.store_down = !world.store_down; break;
					 case 2: faults.frozen = host != 1; break;
					 case 3: world.Thaw(host); break;
					 case 4: faults.cut_off = !faults.cut_off; break;
					 case 5: faults.no_link.contains(other) ? faults.no_link.clear() : void(faults.no_link.insert(other)); break;
					 case 6: faults.slow_ms = faults.slow_ms == 0 ? 300 : 0; break;
					 default: world.owner = host; break;
					 }
				 });
	world.At(8000,
			 [&world]
			 {
				 world.append_ms = 4;
				 world.store_down = false;
				 for (size_t i = 0; i < cHosts; ++i)
				 {
					 world.Thaw(i);
					 world.FaultsOf(i) = {};
				 }
			 });
	world.RunUntil(40000);
	RC_ASSERT(world.Violations() == "");
}

/// Any order of restarts, with datagrams that are late. Guards against records refused with 503 that an earlier or a later process at the
/// collector's address appends.
RC_GTEST_PROP(Admission, RefusesNothingForCertainThatAnotherProcessAppends, ())
{
	const uint64 seed = *rc::gen::inRange<uint64>(1, 1'000'000'000);
	constexpr size_t cHosts = 4;
	AdmissionWorld world(cHosts, seed);
	Random random(seed);
	world.jitter_ms = 120;
	world.retries = 0;
	SubmitAtRate(world, random, cHosts, 0, 8000, 60.0);
	world.At(300, [&world] { world.append_ms = 112; });
	for (Millis at = 600; at < 8000; at += 50 + static_cast<Millis>(random.Below(300)))
		world.At(at,
				 [&world, kind = random.Below(4), host = random.Below(cHosts), back = static_cast<Millis>(20 + random.Below(400)),
				  heard = static_cast<Millis>(random.Below(1500))]
				 {
					 switch (kind)
					 {
					 case 0: world.store_busy = !world.store_busy; break;
					 case 1: world.owner = host; break;
					 default: world.Restart(world.owner, back, heard); break;
					 }
				 });
	world.At(8000, [&world] { world.store_busy = false; });
	world.RunUntil(20000);
	RC_ASSERT(world.Violations() == "");
}

} // namespace Loomreach::Jobs
