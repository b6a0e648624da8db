// Names of the HTTP headers that callers, entry hosts and endpoints exchange with a request and its answer.

#pragma once

namespace Loomreach
{

constexpr const char *cHeaderId = "Idempotency-Key";              ///< Id of the request, issued or chosen by the caller.
constexpr const char *cHeaderDeadline = "Loomreach-Deadline-Ms";  ///< Time that the caller allows for the answer, ms.
constexpr const char *cHeaderRepeatable = "Loomreach-Repeatable"; ///< yes or no; the default depends on the method and the service.
constexpr const char *cHeaderPriority = "Loomreach-Priority";     ///< Priority of the request; can only lower that of the service.
constexpr const char *cHeaderOutcome = "Loomreach-Outcome";       ///< ran, not-run or unknown.
constexpr const char *cHeaderReason = "Loomreach-Reason";         ///< Name of the error kind, as in the table of errors.
constexpr const char *cHeaderForwarded = "Loomreach-Forwarded";   ///< Set between entry hosts; a forwarded request is not forwarded again.
constexpr const char *cHeaderService = "Loomreach-Service";       ///< To the endpoint: name of the requested service.
constexpr const char *cHeaderNotBegun = "Loomreach-Not-Begun";    ///< From the endpoint: yes if it did not begin the request.
constexpr const char *cHeaderLeaving = "Loomreach-Leaving";       ///< From the endpoint: yes if it takes no new requests.
constexpr const char *cHeaderEntry = "Loomreach-Entry";           ///< Name of the entry host that answered.

} // namespace Loomreach
