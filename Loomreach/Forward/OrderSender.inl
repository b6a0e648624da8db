// Sends and forwards orders.

#include <Loomreach/Core/Clock.h>
#include <Loomreach/State/Codec.h>

namespace Loomreach::Jobs
{

/// A forwarder says within 30 ms that it has an order; two repeats may be lost on the way.
inline constexpr Millis cTakenUpMs = 200;
/// It waits for the worker as long as the sender would: a second beyond what the order asks for; and the ways to and fro.
inline constexpr Millis cForwardedMs = 1300;
/// Larger ones go by this host itself: questions and answers are datagrams of at most 32 KB.
inline constexpr size_t cMostForwardedBytes = 24000;
inline constexpr Millis cAskClockMs =
	400; ///< The question for a forwarder's clock is given up after this; its next heartbeat brings it back.

/// What an answer says of an order that somebody else may have sent as well: what was not done this time may have been done the other.
/// Taken for certain, a start that never left here was given to a second worker while the first had it.
inline OrderAnswer InDoubt(OrderAnswer inAnswer)
{
	const bool tells =
		inAnswer.result == EOrderResult::Done || inAnswer.result == EOrderResult::StaleRun || inAnswer.result == EOrderResult::OtherLife;
	inAnswer.result = tells ? inAnswer.result : EOrderResult::Unknown;
	return inAnswer;
}

template <class Agent>
void OrderSender<Agent>::SetHosts(const std::vector<IdleHost> &inHosts)
{
	this->plan.SetHosts(inHosts);
	for (const Address &host : this->plan.ToAsk())
	{
		PeerQuestion question;
		question.kind = EQuestion::Reach;
		this->peers.Ask(host, std::move(question), cAskClockMs,
						this->Guard(
							[this, host](const std::optional<PeerAnswer> &inAnswer)
							{
								if (inAnswer.has_value())
									this->plan.OnClock(host, inAnswer->clock_ms, NowMillis());
							}));
	}
}

template <class Agent>
void OrderSender<Agent>::Send(const Order &inOrder, OnAnswer inDone)
{
	const std::optional<Forwarder> by = this->plan.Choose(inOrder, NowMillis());
	if (by.has_value())
		return this->Forward(inOrder, *by, std::move(inDone));
	this->agent.Send(inOrder, std::move(inDone));
}

template <class Agent>
void OrderSender<Agent>::Forward(const Order &inOrder, const Forwarder &inBy, OnAnswer inDone)
{
	Order order = inOrder;
	order.not_after = inBy.not_after;
	PeerQuestion question;
	question.kind = EQuestion::Forward;
	question.life = inBy.life;
	question.record = EncodeValue(order);
	if (question.record.size() > cMostForwardedBytes)
		return this->agent.Send(inOrder, std::move(inDone));
	const auto on_answer = [this, inOrder, by = inBy.address, done = std::move(inDone)](const std::optional<PeerAnswer> &inAnswer)
	{
		const Millis now = NowMillis();
		if (!inAnswer.has_value())
			this->plan.OnSilent(by, now);
		else
			this->plan.OnClock(by, inAnswer->clock_ms, now);
		const std::optional<OrderAnswer> answer = inAnswer.has_value() ? DecodeValue<OrderAnswer>(inAnswer->record) : std::nullopt;
		if (answer.has_value())
			return done(*answer);
		// Not if this host may not act any more
		if (now >= inOrder.not_after)
			return done(OrderAnswer{});
		// It may have been sent all the same; sent once more it is the same order
		const bool in_doubt = !inAnswer.has_value() || !inAnswer->not_entered;
		this->agent.Send(inOrder, [in_doubt, done](const OrderAnswer &inOwn) { done(in_doubt ? InDoubt(inOwn) : inOwn); });
	};
	this->peers.Ask(inBy.address, std::move(question), order.wait_ms + cForwardedMs, this->Guard(on_answer), cTakenUpMs);
}

template <class Agent>
void OrderSender<Agent>::SendFor(const PeerQuestion &inQuestion, uint64 inOwnLife, std::function<void(PeerAnswer)> inReply)
{
	const std::optional<Order> order = DecodeValue<Order>(inQuestion.record);
	// Meant for an earlier process at this address, damaged, or too late
	if (!order.has_value() || inQuestion.life != inOwnLife || NowMillis() >= order->not_after)
	{
		PeerAnswer refusal;
		refusal.not_entered = true;
		return inReply(refusal);
	}
	this->agent.Send(*order,
					 [reply = std::move(inReply)](const OrderAnswer &inAnswer)
					 {
						 PeerAnswer answer;
						 answer.record = EncodeValue(inAnswer);
						 if (answer.record.size() > cMostForwardedBytes)
							 answer.record.clear();
						 reply(answer);
					 });
}

} // namespace Loomreach::Jobs
