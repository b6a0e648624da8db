// Sends the orders of an owner, either directly or through idle hosts. Two hosts may send the same order: the worker recognizes the
// second one as a repeat.

#pragma once

#include <Loomreach/Core/GlibHandle.h>
#include <Loomreach/Core/Guarded.h>
#include <Loomreach/Entry/PeerQuery.h>
#include <Loomreach/Forward/ForwardPlan.h>

namespace Loomreach::Jobs
{

/// Sends and forwards orders. `Agent` is a WorkerAgent.
template <class Agent>
class OrderSender : private Guarded
{
public:
	using OnAnswer = std::function<void(const OrderAnswer &)>;

	OrderSender(Agent &inAgent, PeerQuery &inPeers, const ForwardTuning &inTuning) : agent(inAgent), peers(inPeers), plan(inTuning) {}

	/// Sets the hosts that can forward now.
	void SetHosts(const std::vector<IdleHost> &inHosts);
	/// Sends an order, not after `inOrder.not_after`, which is at most the end of the ownership of this host.
	void Send(const Order &inOrder, OnAnswer inDone);
	/// Sends an order on behalf of another host. `inReply` is called once.
	void SendFor(const PeerQuestion &inQuestion, uint64 inOwnIncarnation, std::function<void(PeerAnswer)> inReply);
	/// This host is stopping: orders of other hosts are refused from now on, so that their owners send them.
	void StopForwarding() { this->forwards = false; }
	/// Number of other hosts' orders that this host has sent and that have no answer yet.
	size_t ForwardedInFlight() const { return this->forwarded_in_flight; }

private:
	/// Hands the order to a forwarder, and sends it directly if that does not work out.
	void Forward(const Order &inOrder, const Forwarder &inBy, OnAnswer inDone);
	/// The forwarder has not answered in time. `inAccepted`: it had reported that it has the order.
	void OnUnanswered(const Order &inOrder, const Address &inBy, bool inAccepted, Millis inWaitedMs);

	Agent &agent;
	PeerQuery &peers;
	ForwardPlan plan;
	bool forwards = true; ///< See StopForwarding.
	size_t forwarded_in_flight = 0;
};

} // namespace Loomreach::Jobs

#include <Loomreach/Forward/OrderSender.inl>
