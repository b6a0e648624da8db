// Names of the HTTP headers by which callers, entry hosts and endpoints speak of a request.

#pragma once

namespace Loomreach
{

constexpr const char *cHeaderId = "Idempotency-Key";              ///< The request's id.
constexpr const char *cHeaderDeadline = "Loomreach-Deadline-Ms";  ///< Time that the caller gives, ms.
constexpr const char *cHeaderRepeatable = "Loomreach-Repeatable"; ///< yes or no; default from the method and the service.
constexpr const char *cHeaderPriority = "Loomreach-Priority";     ///< May only lower the service's own.
constexpr const char *cHeaderOutcome = "Loomreach-Outcome";       ///< ran, not-run or unknown.
constexpr const char *cHeaderReason = "Loomreach-Reason";         ///< Name of the error kind.
constexpr const char *cHeaderForwarded = "Loomreach-Forwarded";   ///< Set between entry hosts; a forwarded request is not forwarded again.
constexpr const char *cHeaderService = "Loomreach-Service";       ///< Towards the endpoint: the service asked for.
constexpr const char *cHeaderNotBegun = "Loomreach-Not-Begun";    ///< From the endpoint: yes when it did not begin.
constexpr const char *cHeaderLeaving = "Loomreach-Leaving";       ///< From the endpoint: yes when it takes no new work.
constexpr const char *cHeaderEntry = "Loomreach-Entry";           ///< The entry host that answered.

} // namespace Loomreach
