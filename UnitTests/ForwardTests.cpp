// Orders that an owner sends through other hosts: when, through which, until when, and what happens if a forwarder is lost.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Forward/OrderSender.h>
#include <Loomreach/State/Codec.h>
#include <UnitTests/FakeLog.h>
#include <UnitTests/UdpSocket.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

constexpr Millis cLongTimeMs = 60'000;
/// Within this time an order is answered that is sent directly after its forwarder has refused it.
constexpr Millis cPromptAnswerMs = 150;

Address HostAt(uint32 inNumber) { return {"10.0.0." + std::to_string(inNumber), 7060}; }

std::vector<IdleHost> IdleIn(const std::vector<std::string> &inZones)
{
	std::vector<IdleHost> hosts;
	for (uint32 i = 0; i < inZones.size(); ++i)
		hosts.push_back({inZones[i], HostAt(i), 100 + i});
	return hosts;
}

Order OrderFor(const std::string &inWorker, const std::string &inZone)
{
	Order order;
	order.kind = EOrder::Start;
	order.worker = inWorker;
	order.availability_zone = inZone;
	order.not_after = cLongTimeMs;
	return order;
}

/// A plan that knows the clocks of all its hosts.
ForwardPlan ReadyPlan(const std::vector<IdleHost> &inHosts, int64 inProcessorMilli)
{
	ForwardTuning tuning;
	tuning.processor_milli = inProcessorMilli;
	ForwardPlan plan(tuning);
	plan.SetHosts(inHosts);
	for (const IdleHost &host : inHosts)
		plan.OnClock(host.address, 0, 0);
	return plan;
}

/// Plans `inPerSecond` orders per second from `inFrom` to `inTo`. Returns how many of them this host sends itself.
size_t PlanOrders(ForwardPlan &ioPlan, int64 inPerSecond, Millis inFrom, Millis inTo)
{
	size_t own = 0;
	for (int64 i = 0; i < inPerSecond * (inTo - inFrom) / 1000; ++i)
		own += ioPlan.Choose(OrderFor("w" + std::to_string(i % 200), "a"), inFrom + i * 1000 / inPerSecond).has_value() ? 0 : 1;
	return own;
}

const std::vector<std::string> cSixZones{"a", "a", "a", "b", "b", "c"};

} // namespace

TEST(ForwardPlan, APeakOfLoadIsForwardedAndTheRestIsNot)
{
	// The load: 4 s of 3,500 orders per second, then a twentieth of that for 12 s, for an owner with 0.5 cores. Sending a whole peak itself
	// would take 2.1 times its processor time; what it still sends itself here takes less than a third
	ForwardPlan plan = ReadyPlan(IdleIn(cSixZones), 500);
	const double cost_cores = 0.0003;
	EXPECT_EQ(PlanOrders(plan, 175, 0, 4000), 700u);
	const size_t own = PlanOrders(plan, 3500, 4000, 8000);
	EXPECT_GT(4 * 3500 * cost_cores / 4.0, 2 * 0.5);
	EXPECT_LT(static_cast<double>(own) * cost_cores / 4.0, 0.33 * 0.5);
	// Soon after the peak it sends all orders itself
	PlanOrders(plan, 175, 8000, 9000);
	EXPECT_EQ(PlanOrders(plan, 175, 9000, 12000), 525u);
}

/// 300 orders per second are too many for a host with 0.12 cores, but not for one with 0.5 cores.
TEST(ForwardPlan, ASmallHostForwardsSooner)
{
	ForwardPlan small = ReadyPlan(IdleIn(cSixZones), 120);
	ForwardPlan large = ReadyPlan(IdleIn(cSixZones), 500);
	PlanOrders(small, 300, 0, 2000);
	PlanOrders(large, 300, 0, 2000);
	EXPECT_TRUE(small.IsForwarding());
	EXPECT_FALSE(large.IsForwarding());
}

TEST(ForwardPlan, AWorkersOrdersUseOneForwarderInItsZone)
{
	ForwardPlan plan = ReadyPlan(IdleIn(cSixZones), 120);
	PlanOrders(plan, 2000, 0, 1000);
	std::map<std::string, std::set<Address>> used;
	for (int i = 0; i < 100; ++i)
		for (const char *worker : {"w1", "w2", "w3", "w4"})
			if (const std::optional<Forwarder> by = plan.Choose(OrderFor(worker, "b"), 1000 + i); by.has_value())
				used[worker].insert(by->address);
	ASSERT_EQ(used.size(), 4u);
	for (const auto &[worker, hosts] : used)
	{
		EXPECT_EQ(hosts.size(), 1u) << worker;
		EXPECT_TRUE(*hosts.begin() == HostAt(3) || *hosts.begin() == HostAt(4));
	}
	// Nobody forwards into a zone without idle hosts
	EXPECT_FALSE(plan.Choose(OrderFor("w1", "d"), 1100).has_value());
}

TEST(ForwardPlan, AnUnresponsiveHostIsLeftOut)
{
	ForwardPlan plan = ReadyPlan(IdleIn(cSixZones), 120);
	PlanOrders(plan, 2000, 0, 1000);
	const Address first = plan.Choose(OrderFor("w1", "b"), 1000)->address;
	plan.OnUnresponsive(first, 1000);
	const std::optional<Forwarder> second = plan.Choose(OrderFor("w1", "b"), 1001);
	ASSERT_TRUE(second.has_value());
	EXPECT_NE(second->address, first);
	plan.OnUnresponsive(second->address, 1001);
	EXPECT_FALSE(plan.Choose(OrderFor("w1", "b"), 1002).has_value());
	PlanOrders(plan, 2000, 1002, 6100);
	EXPECT_EQ(plan.Choose(OrderFor("w1", "b"), 6101)->address, first);
}

/// Where hosts send heartbeats seldom, a lost host stays listed for long. Guards against orders that time out on it again and again.
TEST(ForwardPlan, AHostThatStaysUnresponsiveIsLeftOutLonger)
{
	ForwardPlan plan = ReadyPlan(IdleIn(cSixZones), 120);
	PlanOrders(plan, 2000, 0, 1000);
	const Address first = plan.Choose(OrderFor("w1", "b"), 1000)->address;
	plan.OnUnresponsive(first, 1000);
	PlanOrders(plan, 2000, 1002, 6100);
	ASSERT_EQ(plan.Choose(OrderFor("w1", "b"), 6101)->address, first);
	plan.OnUnresponsive(first, 6200);
	PlanOrders(plan, 2000, 6201, 11'300);
	EXPECT_NE(plan.Choose(OrderFor("w1", "b"), 11'301)->address, first);
	// Its answer ends that
	plan.OnClock(first, 20'000, 16'300);
	PlanOrders(plan, 2000, 11'302, 16'400);
	EXPECT_EQ(plan.Choose(OrderFor("w1", "b"), 16'401)->address, first);
}

/// A forwarder judges an order's deadline by its own clock, so the owner must know that clock first.
TEST(ForwardPlan, AHostIsUsedOnlyOnceItsClockIsKnown)
{
	ForwardTuning tuning;
	tuning.processor_milli = 120;
	ForwardPlan plan(tuning);
	std::vector<IdleHost> hosts = IdleIn(cSixZones);
	plan.SetHosts(hosts);
	EXPECT_EQ(plan.TakeHostsToQuery().size(), hosts.size());
	EXPECT_TRUE(plan.TakeHostsToQuery().empty());
	PlanOrders(plan, 2000, 0, 1000);
	EXPECT_FALSE(plan.Choose(OrderFor("w1", "a"), 1000).has_value());
	plan.OnClock(HostAt(1), 5000, 1000);
	EXPECT_EQ(plan.Choose(OrderFor("w1", "a"), 1001)->address, HostAt(1));
	// Another process at the address may have another clock
	hosts[1].incarnation = 999;
	plan.SetHosts(hosts);
	EXPECT_FALSE(plan.Choose(OrderFor("w1", "a"), 1002).has_value());
	EXPECT_EQ(plan.TakeHostsToQuery(), std::vector<Address>{HostAt(1)});
}

TEST(ForwardPlan, FewIdleHostsAreNotUsed)
{
	ForwardPlan plan = ReadyPlan(IdleIn({"a", "a", "a"}), 120);
	PlanOrders(plan, 2000, 0, 2000);
	EXPECT_FALSE(plan.Choose(OrderFor("w1", "a"), 2000).has_value());
	EXPECT_TRUE(plan.TakeHostsToQuery().empty());
}

TEST(ForwardPlan, AnAnswerThatWasSentAgainDoesNotSetTheClockBack)
{
	// An answer is lost and sent again 1600 ms later, with the time at which it was first sent. Guards against orders that end 1600 ms too
	// early at their forwarder: an owner's lease often has less left, and the forwarder would refuse each of them
	const std::vector<IdleHost> hosts = IdleIn({"a", "a", "a", "a"});
	ForwardPlan plan = ReadyPlan(hosts, 1);
	constexpr Millis cNow = 2000;
	for (const IdleHost &host : hosts)
	{
		plan.OnClock(host.address, cNow - 10, cNow - 10);
		plan.OnClock(host.address, cNow - 1600, cNow);
	}
	PlanOrders(plan, 1000, cNow - 1000, cNow);
	Order order = OrderFor("w", "a");
	order.not_after = cNow + 1000;
	const std::optional<Forwarder> by = plan.Choose(order, cNow);
	ASSERT_TRUE(by.has_value());
	EXPECT_GE(by->not_after, order.not_after - 50);
	EXPECT_LE(by->not_after, order.not_after);
}

RC_GTEST_PROP(ForwardPlan, AForwardedOrderEndsNoLaterThanItsOwn, ())
{
	// Clocks that differ by any offset and whose rates differ by up to 2%; the reading of the clock was up to 3 s in transit
	const Millis offset = *rc::gen::inRange<Millis>(-1'000'000, 1'000'000) + 2'000'000;
	const double rate = *rc::gen::inRange(980, 1021) / 1000.0;
	const Millis read_at = *rc::gen::inRange<Millis>(10'000, 15'000);
	const Millis way = *rc::gen::inRange<Millis>(0, 3000);
	const Millis sent_at = read_at + way + *rc::gen::inRange<Millis>(0, 20'000);
	const Millis left = *rc::gen::inRange<Millis>(0, 1700);
	const auto their_clock = [&](Millis inOurs)
	{ return static_cast<Millis>(static_cast<double>(offset) + rate * static_cast<double>(inOurs)); };
	ForwardTuning tuning;
	tuning.window_ms = 1;
	tuning.begin_percent = 0;
	ForwardPlan plan(tuning);
	plan.SetHosts(IdleIn(cSixZones));
	for (uint32 i = 0; i < cSixZones.size(); ++i)
		plan.OnClock(HostAt(i), their_clock(read_at), read_at + way);
	Order order = OrderFor("w1", "a");
	order.not_after = sent_at + left;
	plan.Choose(order, sent_at - 1);
	const std::optional<Forwarder> by = plan.Choose(order, sent_at);
	RC_ASSERT(by.has_value());
	RC_ASSERT(by->not_after <= their_clock(order.not_after) + 1);
}

namespace
{

/// An agent that records each order and answers it, at once unless told otherwise.
struct RecordingAgent
{
	void Send(const Order &inOrder, const std::function<void(const OrderAnswer &)> &inDone)
	{
		this->sent.push_back(inOrder);
		if (this->never_answers)
			return this->open.push_back(inDone);
		OrderAnswer answer;
		answer.result = this->result;
		answer.clock_ms = 77;
		answer.ended.push_back({5, {"job", 0, 1, 2}, 3, ERunEnd::Done, "saved"});
		if (this->delay_ms > 0)
			return After(this->delay_ms, [inDone, answer] { inDone(answer); });
		inDone(answer);
	}

	std::vector<Order> sent;
	std::vector<std::function<void(const OrderAnswer &)>> open;
	bool never_answers = false;
	Millis delay_ms = 0; ///< Above 0: each answer is given this late.
	EOrderResult result = EOrderResult::Done;
};

/// A link to a host that counts what it carries, and loses answers on demand.
class CountedLink
{
public:
	explicit CountedLink(uint16 inHostPort) : host_port(inHostPort)
	{
		this->timer.Every(1, [this] { this->Step(); });
	}

	Address At() const { return {"127.0.0.1", this->near.Port()}; }

	size_t questions = 0; ///< Datagrams to the host.
	size_t reports = 0;   ///< Reports of the host that it is handling a question.
	size_t answers = 0;   ///< Answers of the host, lost ones included.
	size_t answers_to_lose = 0;

private:
	void Step()
	{
		while (const std::optional<std::pair<std::string, uint16>> question = this->near.ReceiveFrom())
		{
			++this->questions;
			this->owner_port = question->second;
			this->far.Send(this->host_port, question->first);
		}
		while (const std::optional<std::pair<std::string, uint16>> datagram = this->far.ReceiveFrom())
		{
			const std::optional<PeerAnswer> answer = DecodeValue<PeerAnswer>(std::string_view(datagram->first).substr(1));
			if (answer.has_value() && answer->in_progress)
				++this->reports;
			else
			{
				++this->answers;
				if (this->answers_to_lose > 0)
				{
					--this->answers_to_lose;
					continue;
				}
			}
			this->near.Send(this->owner_port, datagram->first);
		}
	}

	uint16 host_port;
	uint16 owner_port = 0;
	UdpSocket near; ///< Towards the owner.
	UdpSocket far;  ///< Towards the host.
	Timer timer;
};

/// An owner and four hosts that forward for it, over real datagrams.
class ForwardingHosts
{
public:
	ForwardingHosts()
	{
		for (size_t i = 0; i < cHelperCount; ++i)
			this->helpers.push_back(std::make_unique<Helper>(100 + i));
		this->owner_peers = std::make_unique<PeerQuery>(
			Address{"127.0.0.1", FreePort()}, this->metrics, [](const PeerQuestion &, const std::function<void(PeerAnswer)> &) {},
			[](EPeerMessage, const std::string &) {});
		EXPECT_TRUE(this->owner_peers->Open());
		ForwardTuning tuning;
		tuning.window_ms = 1;
		tuning.begin_percent = 0;
		tuning.end_percent = 0;
		this->owner = std::make_unique<OrderSender<RecordingAgent>>(this->own_agent, *this->owner_peers, tuning);
		this->AnnounceHosts();
		FakeLog::RunMainLoopFor(60);
		// After the first window every order is forwarded
		size_t answered = 0;
		for (int i = 0; i < 4; ++i)
		{
			this->owner->Send(this->MakeOrder(), [&answered](const OrderAnswer &) { ++answered; });
			FakeLog::RunMainLoopFor(2);
		}
		// What is still under way would be counted with the orders of the test
		while (answered < 4)
			FakeLog::RunMainLoopFor(2);
		this->ResetCounts();
	}

	void AnnounceHosts()
	{
		std::vector<IdleHost> idle;
		for (const auto &helper : this->helpers)
			idle.push_back({"a", helper->link.At(), helper->announced_incarnation});
		this->owner->SetHosts(idle);
	}
	/// A long poll of `inWaitMs`.
	static Order MakePoll(Millis inWaitMs)
	{
		Order order = OrderFor("w1", "a");
		order.kind = EOrder::Poll;
		order.wait_ms = inWaitMs;
		order.not_after = NowMillis() + 1200;
		return order;
	}
	static Order MakeOrder()
	{
		Order order = OrderFor("w1", "a");
		order.not_after = NowMillis() + 1200;
		return order;
	}
	/// Sends an order and waits for its answer, for `inTimeoutMs` ms at most.
	std::optional<OrderAnswer> Ask(const Order &inOrder, Millis inTimeoutMs)
	{
		constexpr Millis cTurnMs = 5;
		std::optional<OrderAnswer> got;
		this->waited_ms = 0;
		this->longest_turn_ms = 0;
		this->owner->Send(inOrder, [&got](const OrderAnswer &inAnswer) { got = inAnswer; });
		while (this->waited_ms < inTimeoutMs && !got.has_value())
		{
			const Millis before = NowMillis();
			FakeLog::RunMainLoopFor(cTurnMs);
			const Millis turn_ms = NowMillis() - before;
			// A pause of this process delays everybody
			this->waited_ms += std::clamp(turn_ms, cTurnMs, 2 * cTurnMs);
			this->longest_turn_ms = std::max(this->longest_turn_ms, turn_ms);
		}
		return got;
	}
	/// Makes all workers answer this late.
	void DelayAnswers(Millis inDelayMs)
	{
		for (const auto &helper : this->helpers)
			helper->agent.delay_ms = inDelayMs;
	}
	/// Makes all links lose the next answers.
	void LoseAnswers(size_t inCount)
	{
		for (const auto &helper : this->helpers)
			helper->link.answers_to_lose = inCount;
	}
	/// Forgets what was counted.
	void ResetCounts()
	{
		this->own_agent.sent.clear();
		for (const auto &helper : this->helpers)
		{
			helper->agent.sent.clear();
			helper->link.questions = 0;
			helper->link.reports = 0;
			helper->link.answers = 0;
		}
	}
	size_t Questions() const
	{
		size_t questions = 0;
		for (const auto &helper : this->helpers)
			questions += helper->link.questions;
		return questions;
	}
	size_t Reports() const
	{
		size_t reports = 0;
		for (const auto &helper : this->helpers)
			reports += helper->link.reports;
		return reports;
	}
	size_t Answers() const
	{
		size_t answers = 0;
		for (const auto &helper : this->helpers)
			answers += helper->link.answers;
		return answers;
	}
	size_t SentByHelpers() const
	{
		size_t sent = 0;
		for (const auto &helper : this->helpers)
			sent += helper->agent.sent.size();
		return sent;
	}

	struct Helper
	{
		explicit Helper(uint64 inIncarnation)
			: address{"127.0.0.1", FreePort()}, link(address.port), incarnation(inIncarnation), announced_incarnation(inIncarnation)
		{
			this->Open();
		}
		/// Begins to answer questions, as a new process does that knows nothing of earlier ones.
		void Open()
		{
			this->sender.reset();
			this->peers.reset();
			this->peers = std::make_unique<PeerQuery>(
				this->address, this->metrics,
				[this](const PeerQuestion &inQuestion, std::function<void(PeerAnswer)> inReply)
				{
					if (inQuestion.kind == EQuestion::Forward)
						return this->sender->SendFor(inQuestion, this->incarnation, std::move(inReply));
					inReply(PeerAnswer{});
				},
				[](EPeerMessage, const std::string &) {});
			this->sender = std::make_unique<OrderSender<RecordingAgent>>(this->agent, *this->peers, ForwardTuning{});
			EXPECT_TRUE(this->peers->Open());
		}
		Metrics metrics;
		RecordingAgent agent;
		Address address;
		CountedLink link; ///< The owner's datagrams to this host and their answers go over it.
		uint64 incarnation;
		uint64 announced_incarnation;
		std::unique_ptr<PeerQuery> peers;
		std::unique_ptr<OrderSender<RecordingAgent>> sender;
	};

	static constexpr size_t cHelperCount = 4;
	Millis waited_ms = 0;       ///< How long the last `Ask` took, pauses of this process left out.
	Millis longest_turn_ms = 0; ///< Longest turn of the main loop in it; 5 or 6 unless the machine is busy.
	Metrics metrics;
	RecordingAgent own_agent;
	std::vector<std::unique_ptr<Helper>> helpers;
	std::unique_ptr<PeerQuery> owner_peers;
	std::unique_ptr<OrderSender<RecordingAgent>> owner;
};

} // namespace

TEST(OrderSender, AForwardedOrdersAnswerArrivesComplete)
{
	ForwardingHosts hosts;
	const std::optional<OrderAnswer> got = hosts.Ask(ForwardingHosts::MakeOrder(), 1000);
	ASSERT_TRUE(got.has_value());
	EXPECT_EQ(got->result, EOrderResult::Done);
	EXPECT_EQ(got->clock_ms, 77);
	ASSERT_EQ(got->ended.size(), 1u);
	EXPECT_EQ(got->ended[0].task.index, 2u);
	EXPECT_EQ(got->ended[0].end, ERunEnd::Done);
	EXPECT_EQ(hosts.SentByHelpers(), 1u);
	EXPECT_TRUE(hosts.own_agent.sent.empty());
}

TEST(OrderSender, ALostForwardersOrderIsSentByItsOwner)
{
	ForwardingHosts hosts;
	for (const auto &helper : hosts.helpers)
		helper->peers.reset();
	const Order order = ForwardingHosts::MakeOrder();
	const std::optional<OrderAnswer> got = hosts.Ask(order, 1000);
	ASSERT_TRUE(got.has_value());
	EXPECT_EQ(got->result, EOrderResult::Done);
	ASSERT_EQ(hosts.own_agent.sent.size(), 1u);
	EXPECT_EQ(hosts.own_agent.sent[0].not_after, order.not_after);
}

TEST(OrderSender, WhatAForwarderMayHaveSentIsNeverCalledNotSent)
{
	// A forwarder starts a run, a network partition delays its answer, and the owner's own attempt is never sent. Guards against taking
	// that for proof that nothing runs: the task would be started a second time after its first run had ended well
	for (const EOrderResult own : {EOrderResult::NotSent, EOrderResult::NoCapacity, EOrderResult::Unhealthy, EOrderResult::TooLate,
								   EOrderResult::StaleToken, EOrderResult::Rejected, EOrderResult::NoTicket})
	{
		ForwardingHosts hosts;
		for (const auto &helper : hosts.helpers)
			helper->peers.reset();
		hosts.own_agent.result = own;
		const std::optional<OrderAnswer> got = hosts.Ask(ForwardingHosts::MakeOrder(), 1000);
		ASSERT_TRUE(got.has_value());
		EXPECT_EQ(got->result, EOrderResult::Unknown) << NameOf(cOrderResultNames, own);
	}
}

TEST(OrderSender, WhatAForwarderRefusedIsAsCertainAsTheOwnersOwnTry)
{
	ForwardingHosts hosts;
	for (const auto &helper : hosts.helpers)
		helper->incarnation += 1000;
	hosts.own_agent.result = EOrderResult::NotSent;
	const std::optional<OrderAnswer> got = hosts.Ask(ForwardingHosts::MakeOrder(), 1000);
	ASSERT_TRUE(got.has_value());
	EXPECT_EQ(got->result, EOrderResult::NotSent);
}

TEST(OrderSender, AnOrderMeantForAnEarlierProcessIsNotSentByTheLater)
{
	// A paused or restarted host must not send an order whose deadline its clock can't judge
	ForwardingHosts hosts;
	for (const auto &helper : hosts.helpers)
		helper->incarnation += 1000;
	ASSERT_TRUE(hosts.Ask(ForwardingHosts::MakeOrder(), 1000).has_value());
	EXPECT_EQ(hosts.SentByHelpers(), 0u);
	EXPECT_EQ(hosts.own_agent.sent.size(), 1u);
}

TEST(OrderSender, AnOrderWhoseTimeIsOverIsSentByNobody)
{
	ForwardingHosts hosts;
	Order order = ForwardingHosts::MakeOrder();
	order.not_after = NowMillis() - 1;
	const std::optional<OrderAnswer> got = hosts.Ask(order, 1000);
	ASSERT_TRUE(got.has_value());
	EXPECT_EQ(got->result, EOrderResult::Unknown);
	EXPECT_EQ(hosts.SentByHelpers(), 0u);
	EXPECT_TRUE(hosts.own_agent.sent.empty());
}

TEST(OrderSender, AWorkerThatDoesNotAnswerIsNotItsForwardersFault)
{
	// The forwarder confirms that it has the order: a missing answer is then the worker's, and the order is not sent again meanwhile
	ForwardingHosts hosts;
	for (const auto &helper : hosts.helpers)
		helper->agent.never_answers = true;
	const std::optional<OrderAnswer> got = hosts.Ask(ForwardingHosts::MakeOrder(), 600);
	EXPECT_FALSE(got.has_value());
	EXPECT_EQ(hosts.SentByHelpers(), 1u);
	EXPECT_TRUE(hosts.own_agent.sent.empty());
}

/// A forwarder that ends takes along the answers to the orders that it still accepts while it stops.
TEST(OrderSender, AStoppingForwarderLeavesOrdersToTheirOwners)
{
	ForwardingHosts hosts;
	for (const auto &helper : hosts.helpers)
		helper->sender->StopForwarding();
	const std::optional<OrderAnswer> got = hosts.Ask(ForwardingHosts::MakeOrder(), cPromptAnswerMs);
	ASSERT_TRUE(got.has_value());
	EXPECT_EQ(got->result, EOrderResult::Done);
	EXPECT_EQ(hosts.SentByHelpers(), 0u);
	EXPECT_EQ(hosts.own_agent.sent.size(), 1u);
}

/// A stopping forwarder ends before the worker has answered, and the run ends in the answer are lost.
TEST(OrderSender, AForwarderKnowsWhichOrdersHaveNoAnswerYet)
{
	ForwardingHosts hosts;
	for (const auto &helper : hosts.helpers)
		helper->agent.never_answers = true;
	EXPECT_FALSE(hosts.Ask(ForwardingHosts::MakeOrder(), cPromptAnswerMs).has_value());
	size_t in_flight = 0;
	for (const auto &helper : hosts.helpers)
	{
		helper->sender->StopForwarding();
		in_flight += helper->sender->ForwardedInFlight();
		for (const auto &done : helper->agent.open)
			done(OrderAnswer{});
		EXPECT_EQ(helper->sender->ForwardedInFlight(), 0u);
	}
	EXPECT_EQ(in_flight, 1u);
}

/// Two forwarders that are lost one after the other keep a worker unheard for as long as its lease lasts.
TEST(ForwardPlan, TheOrdersAfterAnUnansweredOneAreNotForwarded)
{
	ForwardPlan plan = ReadyPlan(IdleIn(cSixZones), 120);
	PlanOrders(plan, 2000, 0, 1000);
	const std::optional<Forwarder> by = plan.Choose(OrderFor("w1", "a"), 1000);
	ASSERT_TRUE(by.has_value());
	plan.OnUnresponsive(by->address, 1000);
	plan.OnOrderUnanswered("w1", 1000);
	EXPECT_FALSE(plan.Choose(OrderFor("w1", "a"), 1001).has_value());
	EXPECT_TRUE(plan.Choose(OrderFor("w2", "a"), 1001).has_value());
	PlanOrders(plan, 2000, 1002, 6100);
	EXPECT_TRUE(plan.Choose(OrderFor("w1", "a"), 6101).has_value());
}

/// The answer to a poll must be heard this soon after the poll's wait although a datagram was lost: two such losses in a row must leave
/// most of a worker's lease (4 s).
static constexpr Millis cHeardWithinMs = 500;

/// The one datagram with a long poll's answer is lost, and the owner does not hear of the run ends in it until the poll times out.
TEST(OrderSender, ALostAnswerToALongPollIsHeardSoonAfterItWasDue)
{
	// The run ends just before the wait is over, or early in it
	for (const Millis answered_after : {1450, 200})
	{
		ForwardingHosts hosts;
		hosts.DelayAnswers(answered_after);
		hosts.LoseAnswers(1);
		Order poll = ForwardingHosts::MakePoll(1500);
		poll.not_after = NowMillis() + 2600;
		const std::optional<OrderAnswer> got = hosts.Ask(poll, 4000);
		RecordProperty("heard_after_ms_" + std::to_string(answered_after), static_cast<int>(hosts.waited_ms));
		RecordProperty("questions_" + std::to_string(answered_after), static_cast<int>(hosts.Questions()));
		EXPECT_LE(hosts.waited_ms, poll.wait_ms + cHeardWithinMs) << "answered after " << answered_after << " ms of " << poll.wait_ms;
		ASSERT_TRUE(got.has_value());
		EXPECT_EQ(got->result, EOrderResult::Done);
		EXPECT_EQ(got->ended.size(), 1u);
		// The repeated question does not send the order again
		EXPECT_GE(hosts.Questions(), 2u);
		EXPECT_EQ(hosts.SentByHelpers(), 1u);
		EXPECT_TRUE(hosts.own_agent.sent.empty());
	}
}

TEST(OrderSender, ALostRepeatOfALongPollsAnswerIsAskedForAgain)
{
	ForwardingHosts hosts;
	hosts.DelayAnswers(300);
	hosts.LoseAnswers(2);
	const Order poll = ForwardingHosts::MakePoll(300);
	const std::optional<OrderAnswer> got = hosts.Ask(poll, poll.wait_ms + 2 * cHeardWithinMs);
	ASSERT_TRUE(got.has_value()) << hosts.Questions() << " questions sent, " << hosts.Answers() << " answers given";
	EXPECT_EQ(got->result, EOrderResult::Done);
	EXPECT_EQ(hosts.SentByHelpers(), 1u);
	EXPECT_TRUE(hosts.own_agent.sent.empty());
}

TEST(OrderSender, APollThatIsAnsweredInTimeTakesOneQuestionAndOneAnswer)
{
	constexpr Millis cWaitMs = 300;
	constexpr int cMaxTries = 20;
	for (const Millis answered_after : {5, 100, 250, 300})
	{
		ForwardingHosts hosts;
		hosts.DelayAnswers(answered_after);
		// A pause of this process makes any answer late; such a try says nothing
		int tries = 0;
		do
		{
			ASSERT_LT(tries++, cMaxTries) << "this process pauses too often to play an answer in time";
			hosts.ResetCounts();
			ASSERT_TRUE(hosts.Ask(ForwardingHosts::MakePoll(cWaitMs), 1000).has_value());
			FakeLog::RunMainLoopFor(50);
		} while (hosts.longest_turn_ms > 30);
		EXPECT_EQ(hosts.Questions(), 1u) << "answered after " << answered_after << " ms";
		EXPECT_EQ(hosts.Answers(), 1u) << "answered after " << answered_after << " ms";
		EXPECT_EQ(hosts.SentByHelpers(), 1u);
		EXPECT_TRUE(hosts.own_agent.sent.empty());
	}
}

TEST(OrderSender, AWorkerThatAnswersLateIsWaitedForAndGetsItsOrderOnce)
{
	// While the forwarder waits for the worker it does not answer repeats. Its silence must not be taken for its loss
	ForwardingHosts hosts;
	hosts.DelayAnswers(1000);
	const Order poll = ForwardingHosts::MakePoll(300);
	const std::optional<OrderAnswer> got = hosts.Ask(poll, 1500);
	ASSERT_TRUE(got.has_value());
	EXPECT_EQ(got->result, EOrderResult::Done);
	// Repeated, but seldom: a worker that is lost costs its owner few datagrams
	EXPECT_GE(hosts.Questions(), 2u);
	EXPECT_LE(hosts.Questions(), 5u);
	EXPECT_EQ(hosts.SentByHelpers(), 1u);
	EXPECT_TRUE(hosts.own_agent.sent.empty());
	// Nor does it exclude the forwarder
	hosts.DelayAnswers(0);
	hosts.ResetCounts();
	ASSERT_TRUE(hosts.Ask(ForwardingHosts::MakeOrder(), 1000).has_value());
	EXPECT_EQ(hosts.SentByHelpers(), 1u);
}

TEST(OrderSender, WhatAnEarlierProcessMayHaveSentIsNeverCalledNotSent)
{
	// A forwarder reports that it has a start, sends it, and is replaced by another process, which refuses the repeated question. Guards
	// against taking this for proof that nothing runs
	ForwardingHosts hosts;
	for (const auto &helper : hosts.helpers)
		helper->agent.never_answers = true;
	hosts.own_agent.result = EOrderResult::NotSent;
	Order order = ForwardingHosts::MakeOrder();
	// Leaves time to replace the process before the question is repeated
	order.wait_ms = 300;
	order.not_after = NowMillis() + 60'000;
	std::optional<OrderAnswer> got;
	hosts.owner->Send(order, [&got](const OrderAnswer &inAnswer) { got = inAnswer; });
	for (Millis waited = 0; waited < 300 && hosts.Reports() == 0; waited += 5)
		FakeLog::RunMainLoopFor(5);
	FakeLog::RunMainLoopFor(20);
	ASSERT_EQ(hosts.Reports(), 1u);
	EXPECT_EQ(hosts.SentByHelpers(), 1u);
	for (const auto &helper : hosts.helpers)
	{
		helper->incarnation += 1000;
		helper->Open();
	}
	for (Millis waited = 0; waited < 3000 && !got.has_value(); waited += 5)
		FakeLog::RunMainLoopFor(5);
	ASSERT_TRUE(got.has_value());
	EXPECT_EQ(got->result, EOrderResult::Unknown);
	EXPECT_EQ(hosts.SentByHelpers(), 1u);
}

/// The same where the process is replaced before it has reported that it has the order.
TEST(OrderSender, WhatAnEarlierProcessMayHaveSentWithoutAReportIsNeverCalledNotSent)
{
	ForwardingHosts hosts;
	for (const auto &helper : hosts.helpers)
		helper->agent.never_answers = true;
	hosts.own_agent.result = EOrderResult::NotSent;
	std::optional<OrderAnswer> got;
	hosts.owner->Send(ForwardingHosts::MakeOrder(), [&got](const OrderAnswer &inAnswer) { got = inAnswer; });
	for (Millis waited = 0; waited < 300 && hosts.SentByHelpers() == 0; waited += 1)
		FakeLog::RunMainLoopFor(1);
	ASSERT_EQ(hosts.SentByHelpers(), 1u);
	ASSERT_EQ(hosts.Reports(), 0u);
	for (const auto &helper : hosts.helpers)
	{
		helper->incarnation += 1000;
		helper->Open();
	}
	for (Millis waited = 0; waited < 3000 && !got.has_value(); waited += 5)
		FakeLog::RunMainLoopFor(5);
	ASSERT_TRUE(got.has_value());
	EXPECT_EQ(got->result, EOrderResult::Unknown);
	EXPECT_EQ(hosts.SentByHelpers(), 1u);
}

} // namespace Loomreach::Jobs
