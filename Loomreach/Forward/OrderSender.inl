// Sends orders directly, through a forwarder, and on behalf of other hosts.

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/State/Codec.h>

namespace Loomreach::Jobs
{

/// A forwarder confirms within 30 ms that it has an order; two repeats of the datagram may be lost.
inline constexpr Millis cAcceptTimeoutMs = 200;
/// Added to the wait that the order asks for: a forwarder waits for the worker a second longer than that, as the sender would, and the
/// datagrams take time both ways.
inline constexpr Millis cForwardMarginMs = 1300;
/// Larger orders are sent directly: questions and answers are datagrams of at most 32 KB.
inline constexpr size_t cMaxForwardedBytes = 24000;
/// Time-out of the query for a forwarder's clock; the next heartbeat of the host repeats the query.
inline constexpr Millis cClockQueryTimeoutMs = 400;

/// The answer to an order that another host may have sent as well: a refusal of this sending does not exclude that the other one was
/// carried out. When such refusals counted as certain, a start that had not been sent from here was given to a second worker while the
/// first one was running it.
inline OrderAnswer AsUncertain(OrderAnswer inAnswer)
{
	const bool is_certain = inAnswer.result == EOrderResult::Done || inAnswer.result == EOrderResult::StaleRun ||
							inAnswer.result == EOrderResult::OtherIncarnation;
	inAnswer.result = is_certain ? inAnswer.result : EOrderResult::Unknown;
	return inAnswer;
}

template <class Agent>
void OrderSender<Agent>::SetHosts(const std::vector<IdleHost> &inHosts)
{
	this->plan.SetHosts(inHosts);
	for (const Address &host : this->plan.TakeHostsToQuery())
	{
		PeerQuestion question;
		question.kind = EQuestion::StoreReach;
		this->peers.Ask(host, std::move(question), cClockQueryTimeoutMs,
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
	question.incarnation = inBy.incarnation;
	question.record = EncodeValue(order);
	if (question.record.size() > cMaxForwardedBytes)
		return this->agent.Send(inOrder, std::move(inDone));
	const auto on_answer =
		[this, inOrder, by = inBy.address, sent_at = NowMillis(), done = std::move(inDone)](const std::optional<PeerAnswer> &inAnswer)
	{
		const Millis now = NowMillis();
		const bool accepted = inAnswer.has_value() && inAnswer->in_progress;
		if (accepted || !inAnswer.has_value())
			this->OnUnanswered(inOrder, by, accepted, now - sent_at);
		else
			this->plan.OnClock(by, inAnswer->clock_ms, now);
		const std::optional<OrderAnswer> answer = inAnswer.has_value() ? DecodeValue<OrderAnswer>(inAnswer->record) : std::nullopt;
		if (answer.has_value())
			return done(*answer);
		// No direct attempt once this host may no longer act
		if (now >= inOrder.not_after)
			return done(OrderAnswer{});
		// The forwarder may have sent it all the same; a second sending is the same order. A process that reports that it handles an order
		// never refuses it afterwards: such a refusal is a later process's. So may be one without a report, which may have been lost
		const bool refused = inAnswer.has_value() && inAnswer->not_done && !inAnswer->reported && inAnswer->IsFromOnlyHandler();
		const bool uncertain = accepted || !refused;
		this->agent.Send(inOrder, [uncertain, done](const OrderAnswer &inOwn) { done(uncertain ? AsUncertain(inOwn) : inOwn); });
	};
	// Two lost answers to polls use up a worker's lease, so an answer is asked for as soon as it is overdue
	this->peers.Ask(inBy.address, std::move(question), order.wait_ms + cForwardMarginMs, this->Guard(on_answer),
					{.report_within_ms = cAcceptTimeoutMs, .handling_ms = order.wait_ms});
}

template <class Agent>
void OrderSender<Agent>::OnUnanswered(const Order &inOrder, const Address &inBy, bool inAccepted, Millis inWaitedMs)
{
	LogEvent(ELogLevel::Warning, "forward_unanswered")
		.Field("host", inBy.Text())
		.Field("order", NameOf(cOrderNames, inOrder.kind))
		.Field("worker", inOrder.worker)
		.Field("run", inOrder.run)
		.Field("accepted", inAccepted ? 1 : 0)
		.Field("waited_ms", inWaitedMs)
		.Field("wait_ms", inOrder.wait_ms)
		.Field("token", inOrder.token);
	const Millis now = NowMillis();
	this->plan.OnUnresponsive(inBy, now);
	this->plan.OnOrderUnanswered(inOrder.worker, now);
}

template <class Agent>
void OrderSender<Agent>::SendFor(const PeerQuestion &inQuestion, uint64 inOwnIncarnation, std::function<void(PeerAnswer)> inReply)
{
	const std::optional<Order> order = DecodeValue<Order>(inQuestion.record);
	// Refused: stopping, meant for an earlier process at this address, damaged, or expired
	if (!this->forwards || !order.has_value() || inQuestion.incarnation != inOwnIncarnation || NowMillis() >= order->not_after)
	{
		PeerAnswer refusal;
		refusal.not_done = true;
		refusal.known = inQuestion.incarnation == inOwnIncarnation;
		return inReply(refusal);
	}
	++this->forwarded_in_flight;
	this->agent.Send(*order, this->Guard(
								 [this, reply = std::move(inReply)](const OrderAnswer &inAnswer)
								 {
									 --this->forwarded_in_flight;
									 PeerAnswer answer;
									 answer.record = EncodeValue(inAnswer);
									 if (answer.record.size() > cMaxForwardedBytes)
										 answer.record.clear();
									 reply(answer);
								 }));
}

} // namespace Loomreach::Jobs
