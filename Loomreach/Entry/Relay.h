// Carries requests to endpoints as the dispatcher decides, and whole answers back. Owns the open exchanges.

#pragma once

#include <Loomreach/Core/Metrics.h>
#include <Loomreach/Entry/Exchange.h>
#include <Loomreach/Request/Dispatcher.h>
#include <Loomreach/Request/IdWindow.h>

namespace Loomreach
{

/// The relay.
class Relay
{
public:
	Relay(Dispatcher &ioDispatcher, IdWindow &ioIds, Metrics &ioMetrics, Millis inConnectTimeout);
	~Relay();
	Relay(const Relay &) = delete;
	Relay &operator=(const Relay &) = delete;

	/// Takes a request that may be dispatched here.
	void Submit(std::shared_ptr<Exchange> inExchange);
	/// Hands a request on to the entry host that alone may dispatch its id, and relays its answer.
	void Forward(std::shared_ptr<Exchange> inExchange, const Address &inTo);
	/// Carries out decisions.
	void Execute(std::vector<Decision> inDecisions);
	/// Requests that have not ended: forwarded ones, held ones, and answers that are still being written included.
	size_t Open() const { return this->exchanges.size() + this->closing.size() + this->forwards + this->held; }
	/// A request that is not submitted yet is under way: a planned stop waits for it.
	void Hold() { ++this->held; }
	/// It has been submitted or answered.
	void Release();
	/// Called when the last open request has ended.
	std::function<void()> on_idle;

private:
	struct Attempt;
	void StartAttempt(const std::shared_ptr<Exchange> &inExchange, const Decision &inDecision);
	void RefuseExchange(const std::shared_ptr<Exchange> &inExchange, const Decision &inDecision);
	void Close(RequestId inRequest);
	void OnGone(RequestId inRequest);
	void EndAttempt(const std::shared_ptr<Attempt> &inAttempt, EAttempt inResult, bool inRelayed);
	void CheckIdle();

	Dispatcher &dispatcher;
	IdWindow &ids;
	Metrics &metrics;
	Millis connect_timeout;
	ObjectPtr<SoupSession> session;
	std::unordered_map<RequestId, std::shared_ptr<Exchange>> exchanges;
	std::unordered_map<RequestId, std::shared_ptr<Exchange>> closing; ///< Answered, and not yet written to the caller.
	std::unordered_map<RequestId, std::weak_ptr<Attempt>> attempts;
	RequestId last_id = 0;
	size_t forwards = 0;
	size_t held = 0;
	bool executing = false;
	std::deque<Decision> pending;
};

} // namespace Loomreach
