// Sends an owner's orders: itself, or through hosts that have nothing else to do. Every order may be sent twice, by two hosts: a worker
// takes the second for a repeat of the first.

#pragma once

#include <Loomreach/Core/GlibHandle.h>
#include <Loomreach/Core/Guarded.h>
#include <Loomreach/Entry/PeerQuery.h>
#include <Loomreach/Forward/ForwardPlan.h>

namespace Loomreach::Jobs
{

/// See the head of the file. `Agent` is a WorkerAgent.
template <class Agent>
class OrderSender : private Guarded
{
public:
	using OnAnswer = std::function<void(const OrderAnswer &)>;

	OrderSender(Agent &inAgent, PeerQuery &inPeers, const ForwardTuning &inTuning) : agent(inAgent), peers(inPeers), plan(inTuning) {}

	/// The hosts that can forward, as known now.
	void SetHosts(const std::vector<IdleHost> &inHosts);
	/// `inOrder.not_after` is the end of this host's ownership.
	void Send(const Order &inOrder, OnAnswer inDone);
	/// Sends an order for another host. `inReply` is called once.
	void SendFor(const PeerQuestion &inQuestion, uint64 inOwnLife, std::function<void(PeerAnswer)> inReply);

private:
	void Forward(const Order &inOrder, const Forwarder &inBy, OnAnswer inDone);

	Agent &agent;
	PeerQuery &peers;
	ForwardPlan plan;
};

} // namespace Loomreach::Jobs

#include <Loomreach/Forward/OrderSender.inl>
