// Table of error kinds and the last reason of each thread.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/EnumTable.h>
#include <Loomreach/Core/Error.h>

namespace Loomreach
{

static constexpr size_t cErrorCount = static_cast<size_t>(EError::Count);

static constexpr std::array<ErrorAnswer, cErrorCount> cAnswers = {{
	{EError::None, "none", 200, EOutcome::Ran, 0, false, "No error."},
	{EError::BadRequest, "bad-request", 400, EOutcome::NotRun, 2, false, "The request is malformed."},
	{EError::BadConfig, "bad-config", 400, EOutcome::NotRun, 3, false, "The daemon's configuration file is invalid."},
	{EError::BadSettings, "bad-settings", 422, EOutcome::NotRun, 4, false, "The settings are invalid; nothing was applied."},
	{EError::Unauthorized, "unauthorized", 401, EOutcome::NotRun, 5, false, "The operators' token is missing or wrong."},
	{EError::UnknownKey, "unknown-key", 401, EOutcome::NotRun, 5, false, "The API key is unknown: no team has this key."},
	{EError::OtherTeam, "other-team", 403, EOutcome::NotRun, 5, false, "The job belongs to another team."},
	{EError::NotFound, "not-found", 404, EOutcome::NotRun, 6, false, "There is no such resource."},
	{EError::NoSuchService, "no-such-service", 404, EOutcome::NotRun, 6, false, "No service of that name is configured."},
	{EError::Conflict, "conflict", 409, EOutcome::NotRun, 7, false,
	 "Somebody else changed it first; read again and apply your change to that."},
	{EError::QueueFull, "queue-full", 503, EOutcome::NotRun, 8, true, "The service's queue is full."},
	{EError::PushedOut, "pushed-out", 503, EOutcome::NotRun, 8, true, "A request of higher priority took its place in the queue."},
	{EError::DeadlineUnmet, "deadline-unmet", 503, EOutcome::NotRun, 8, true, "The request cannot begin before its deadline."},
	{EError::NoEndpoint, "no-endpoint", 503, EOutcome::NotRun, 8, true, "No endpoint of the service can accept work now."},
	{EError::Stopping, "stopping", 503, EOutcome::NotRun, 8, true, "This entry host is stopping; send the request to another one."},
	{EError::NotReady, "not-ready", 503, EOutcome::NotRun, 8, true, "This entry host has no state yet."},
	{EError::EndpointNotBegun, "endpoint-not-begun", 503, EOutcome::NotRun, 8, true,
	 "Every attempt failed before the endpoint began the request."},
	{EError::EndpointBroke, "endpoint-broke", 502, EOutcome::Unknown, 9, false,
	 "The exchange with the endpoint broke off before a complete answer; the request may have run."},
	{EError::EndpointTimeout, "endpoint-timeout", 504, EOutcome::Unknown, 9, false,
	 "The endpoint did not answer completely in time; the request may have run."},
	{EError::ForwardFailed, "forward-failed", 502, EOutcome::Unknown, 9, false,
	 "The entry host that issued the id did not answer; the request may have run."},
	{EError::DuplicateId, "duplicate-id", 409, EOutcome::Unknown, 9, false, "A request with this id already began; it is not sent again."},
	{EError::ForeignId, "foreign-id", 400, EOutcome::NotRun, 2, false, "Only ids issued by POST /v1/ids may name an unrepeatable request."},
	{EError::IdForgotten, "id-forgotten", 410, EOutcome::Unknown, 9, false,
	 "The id fell out of the window of ids that its issuer remembers."},
	{EError::IssuerGone, "issuer-gone", 410, EOutcome::Unknown, 9, false,
	 "The entry host that issued the id is no longer running; the request may have run."},
	{EError::TooLarge, "too-large", 413, EOutcome::NotRun, 2, false, "The request is larger than allowed."},
	{EError::PlatformDown, "platform-down", 503, EOutcome::NotRun, 10, true, "The platform's log cannot be reached."},
	{EError::NotAccepted, "not-accepted", 503, EOutcome::NotRun, 10, true,
	 "The change was not taken; a queue or table of this entry host is full."},
	{EError::OutcomeLost, "verdict-lost", 502, EOutcome::Unknown, 9, false,
	 "The change is in the log, but whether it was accepted is not known here. Read the state."},
	{EError::BudgetExceeded, "budget-exceeded", 409, EOutcome::NotRun, 7, true, "The pool's availability budget has no room."},
	{EError::QuotaExceeded, "quota-exceeded", 409, EOutcome::NotRun, 7, false, "The team's quota has no room."},
	{EError::CapacityExceeded, "capacity-exceeded", 409, EOutcome::NotRun, 7, true, "The host has no room for the replica."},
	{EError::WrongPhase, "wrong-phase", 409, EOutcome::NotRun, 7, false, "The step is not allowed in the present phase."},
	{EError::StaleGeneration, "stale-generation", 409, EOutcome::NotRun, 7, false, "The proposal was written for an older generation."},
	{EError::WrongPool, "wrong-pool", 409, EOutcome::NotRun, 7, false, "The host does not belong to that pool."},
	{EError::UnknownHost, "unknown-host", 404, EOutcome::NotRun, 6, false, "No such host is known."},
	{EError::UnknownJob, "unknown-job", 404, EOutcome::NotRun, 6, false, "No such job or replica is configured."},
	{EError::UnknownWave, "unknown-wave", 404, EOutcome::NotRun, 6, false, "No such wave is known."},
	{EError::DuplicateProposal, "duplicate-proposal", 409, EOutcome::NotRun, 7, false, "A proposal with this id has already been applied."},
	{EError::ViewRejected, "view-rejected", 409, EOutcome::NotRun, 7, false,
	 "The change of the membership view does not follow from the present one."},
	{EError::Corrupt, "corrupt", 400, EOutcome::NotRun, 2, false, "The data is cut short or damaged."},
	{EError::Forged, "forged", 401, EOutcome::NotRun, 5, false, "The message's authentication code is wrong."},
	{EError::Replayed, "replayed", 409, EOutcome::NotRun, 7, false, "The message was already received."},
	{EError::UnknownVersion, "unknown-version", 400, EOutcome::NotRun, 2, false,
	 "The message has a version that this program does not support."},
	{EError::JobGone, "job-gone", 410, EOutcome::NotRun, 6, false, "No such job is known here, or it ended too long ago."},
	{EError::Internal, "internal", 500, EOutcome::Unknown, 1, false, "An invariant failed; see the log."},
}};

static constexpr bool TableIsOrdered()
{
	for (size_t i = 0; i < cErrorCount; ++i)
		if (cAnswers[i].kind != static_cast<EError>(i))
			return false;
	return true;
}
static_assert(TableIsOrdered(), "one row for each kind, in the order of EError");

static constexpr std::array<EnumName<EOutcome>, 3> cOutcomeNames = {{
	{EOutcome::Ran, "ran"},
	{EOutcome::NotRun, "not-run"},
	{EOutcome::Unknown, "unknown"},
}};

static thread_local Reason sLastReason;

const ErrorAnswer &AnswerOf(EError inKind) { return cAnswers[std::min(static_cast<size_t>(inKind), cErrorCount - 1)]; }

std::optional<EError> ErrorOf(std::string_view inName)
{
	for (const ErrorAnswer &row : cAnswers)
		if (row.name == inName)
			return row.kind;
	return std::nullopt;
}

std::string_view OutcomeName(EOutcome inOutcome) { return NameOf(cOutcomeNames, inOutcome); }

std::nullopt_t Fail(EError inKind, std::string inDetail)
{
	sLastReason = {inKind, std::move(inDetail)};
	return std::nullopt;
}

bool FailFalse(EError inKind, std::string inDetail)
{
	sLastReason = {inKind, std::move(inDetail)};
	return false;
}

const Reason &LastReason() { return sLastReason; }

std::string LastReasonText() { return std::string(AnswerOf(sLastReason.kind).name) + ": " + sLastReason.detail; }

} // namespace Loomreach
