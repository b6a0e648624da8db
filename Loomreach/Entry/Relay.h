// Sends requests to endpoints as the dispatcher decides, and their answers to the callers. Owns the exchanges of all open requests.
//
// Rules:
//  * An answer of less than 64 KiB is read whole before a byte of it goes to the caller, so that a failed attempt can still be repeated.
//    A larger one is streamed at the caller's speed, which bounds the memory of a request; if it breaks off, so does the caller's
//    connection, since the caller must not take the answer for a whole one.
//  * When its caller disconnects, only a repeatable request is cancelled. Any other may already have begun, so it runs to its end, and a
//    short answer is kept for repeats of its id.

#pragma once

#include <Loomreach/Core/Metrics.h>
#include <Loomreach/Entry/Exchange.h>
#include <Loomreach/Request/Dispatcher.h>
#include <Loomreach/Request/IdWindow.h>

namespace Loomreach
{

/// Runs the attempts at endpoints and the forwards to other entry hosts.
class Relay
{
public:
	Relay(Dispatcher &ioDispatcher, IdWindow &ioIds, Metrics &ioMetrics, Millis inConnectTimeout);
	~Relay();
	Relay(const Relay &) = delete;
	Relay &operator=(const Relay &) = delete;

	/// Takes a request that this entry host may dispatch.
	void Submit(std::shared_ptr<Exchange> inExchange);
	/// Forwards a request to the only entry host that may dispatch its id, and relays the answer.
	void Forward(std::shared_ptr<Exchange> inExchange, const Address &inTo);
	/// Carries out decisions of the dispatcher, in order.
	void Execute(std::vector<Decision> inDecisions);
	/// Number of requests that have not ended, including forwarded ones, pending ones and those whose answer is still being written.
	size_t OpenRequests() const { return this->exchanges.size() + this->closing.size() + this->open_forwards + this->pending_submits; }
	/// Counts a request that will be submitted or answered later, so that a graceful shutdown waits for it.
	void BeginPending() { ++this->pending_submits; }
	/// Ends what BeginPending() began: the request has been submitted or answered.
	void EndPending();
	/// Called when the last open request has ended.
	std::function<void()> on_idle;

private:
	struct Attempt;
	void StartAttempt(const std::shared_ptr<Exchange> &inExchange, const Decision &inDecision);
	void RefuseExchange(const std::shared_ptr<Exchange> &inExchange, const Decision &inDecision);
	/// Ends a request whose answer is final.
	void Close(RequestId inRequest);
	void OnCallerDisconnected(RequestId inRequest);
	void EndAttempt(const std::shared_ptr<Attempt> &inAttempt, EAttempt inResult, bool inRelayed);
	void CheckIdle();

	Dispatcher &dispatcher;
	IdWindow &ids;
	Metrics &metrics;
	Millis connect_timeout;
	ObjectPtr<SoupSession> session;
	std::unordered_map<RequestId, std::shared_ptr<Exchange>> exchanges;
	std::unordered_map<RequestId, std::shared_ptr<Exchange>> closing; ///< Answered, but not yet written to the caller in full.
	std::unordered_map<RequestId, std::weak_ptr<Attempt>> attempts;
	RequestId last_id = 0;
	size_t open_forwards = 0;
	size_t pending_submits = 0; ///< Requests between BeginPending() and EndPending().
	bool executing = false;     ///< Execute() is on the stack.
	std::deque<Decision> pending_decisions;
};

} // namespace Loomreach
