// Callers of the entry hosts in tests with real processes. They keep their connections open and use them until the host's process is gone,
// and what they send and are told goes into the ledger of the check against unrequested work.

#pragma once

#include <Loomreach/Core/GlibHandle.h>
#include <TestSupport/Platform/RequestLedger.h>

#include <libsoup/soup.h>

namespace Loomreach
{

/// Sends callers' requests on behalf of a test's script.
class FakeCallers
{
public:
	explicit FakeCallers(RequestLedger &ioRequests);

	/// Sends a request as "METHOD/PORT/LIMIT_MS/PATH..." says, with the body of the script's call, which is answered with the status that
	/// the caller got; 0 if it got none within the limit and left.
	void Forward(SoupServerMessage *inMessage, const std::string &inTarget);

private:
	struct Call;

	void OnAnswer(Call &inCall, uint32 inStatus);

	RequestLedger &requests;
	ObjectPtr<SoupSession> session;
};

} // namespace Loomreach
