// The table from error kind to answer, and the last reason of each thread.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/EnumTable.h>
#include <Loomreach/Core/Error.h>

namespace Loomreach
{

static constexpr size_t cErrorCount = static_cast<size_t>(EError::Count);

static constexpr std::array<ErrorAnswer, cErrorCount> cAnswers = {{
	{EError::None, "none", 200, EOutcome::Ran, 0, false, "No error."},
	{EError::BadRequest, "bad-request", 400, EOutcome::NotRun, 2, false, "The request is not well formed."},
	{EError::BadConfig, "bad-config", 400, EOutcome::NotRun, 3, false, "The daemon's configuration file is wrong."},
	{EError::BadSettings, "bad-settings", 422, EOutcome::NotRun, 4, false, "The settings are wrong; nothing was applied."},
	{EError::Unauthorized, "unauthorized", 401, EOutcome::NotRun, 5, false, "The operators' token is missing or wrong."},
	{EError::UnknownKey, "unknown-key", 401, EOutcome::NotRun, 5, false, "No team has this key."},
	{EError::OtherTeam, "other-team", 403, EOutcome::NotRun, 5, false, "The job is another team's."},
	{EError::NotFound, "not-found", 404, EOutcome::NotRun, 6, false, "There is no such thing."},
	{EError::NoSuchService, "no-such-service", 404, EOutcome::NotRun, 6, false, "No service of that name is declared."},
	{EError::Conflict, "conflict", 409, EOutcome::NotRun, 7, false, "Somebody else changed it first; read again and apply anew."},
	{EError::QueueFull, "queue-full", 503, EOutcome::NotRun, 8, true, "The service's queue is full."},
	{EError::PushedOut, "pushed-out", 503, EOutcome::NotRun, 8, true, "A request of higher priority took the place."},
	{EError::DeadlineUnmet, "deadline-unmet", 503, EOutcome::NotRun, 8, true, "The request cannot begin before its deadline."},
	{EError::NoEndpoint, "no-endpoint", 503, EOutcome::NotRun, 8, true, "No endpoint of the service can take work now."},
	{EError::Stopping, "stopping", 503, EOutcome::NotRun, 8, true, "This entry host is stopping; another one takes the request."},
	{EError::NotReady, "not-ready", 503, EOutcome::NotRun, 8, true, "This entry host has no state yet."},
	{EError::EndpointNotBegun, "endpoint-not-begun", 503, EOutcome::NotRun, 8, true, "Every attempt ended before the endpoint began."},
	{EError::EndpointBroke, "endpoint-broke", 502, EOutcome::Unknown, 9, false, "The endpoint's answer broke off; it may have run."},
	{EError::EndpointTimeout, "endpoint-timeout", 504, EOutcome::Unknown, 9, false, "No whole answer came in time; it may have run."},
	{EError::ForwardFailed, "forward-failed", 502, EOutcome::Unknown, 9, false, "The issuing entry host did not answer; it may have run."},
	{EError::DuplicateId, "duplicate-id", 409, EOutcome::Unknown, 9, false, "A request with this id already began; it is not sent again."},
	{EError::ForeignId, "foreign-id", 400, EOutcome::NotRun, 2, false, "Only ids issued by POST /v1/ids may name an unrepeatable request."},
	{EError::IdForgotten, "id-forgotten", 410, EOutcome::Unknown, 9, false, "The id fell out of its issuer's window."},
	{EError::IssuerGone, "issuer-gone", 410, EOutcome::Unknown, 9, false, "The entry host that issued the id is gone; it may have run."},
	{EError::TooLarge, "too-large", 413, EOutcome::NotRun, 2, false, "The request is larger than allowed."},
	{EError::PlatformDown, "platform-down", 503, EOutcome::NotRun, 10, true, "The platform's log cannot be reached."},
	{EError::NotAccepted, "not-accepted", 503, EOutcome::NotRun, 10, true, "The change was not taken; the queue towards the log is full."},
	{EError::VerdictLost, "verdict-lost", 502, EOutcome::Unknown, 9, false,
	 "The change stands in the log; whether it was accepted was not seen here. Read the state."},
	{EError::BudgetExceeded, "budget-exceeded", 409, EOutcome::NotRun, 7, true, "The pool's availability budget has no room."},
	{EError::QuotaExceeded, "quota-exceeded", 409, EOutcome::NotRun, 7, false, "The team's quota has no room."},
	{EError::CapacityExceeded, "capacity-exceeded", 409, EOutcome::NotRun, 7, true, "The host has no room for the replica."},
	{EError::WrongPhase, "wrong-phase", 409, EOutcome::NotRun, 7, false, "The step does not fit the present phase."},
	{EError::StaleGeneration, "stale-generation", 409, EOutcome::NotRun, 7, false, "The proposal was written against an older generation."},
	{EError::WrongPool, "wrong-pool", 409, EOutcome::NotRun, 7, false, "The host does not belong to that pool."},
	{EError::UnknownHost, "unknown-host", 404, EOutcome::NotRun, 6, false, "No such host is known."},
	{EError::UnknownJob, "unknown-job", 404, EOutcome::NotRun, 6, false, "No such job or replica is declared."},
	{EError::UnknownWave, "unknown-wave", 404, EOutcome::NotRun, 6, false, "No such wave is known."},
	{EError::DuplicateProposal, "duplicate-proposal", 409, EOutcome::NotRun, 7, false, "The proposal's id has already been folded."},
	{EError::ViewRejected, "view-rejected", 409, EOutcome::NotRun, 7, false, "The membership view does not follow from the present one."},
	{EError::Corrupt, "corrupt", 400, EOutcome::NotRun, 2, false, "The bytes are cut short or damaged."},
	{EError::Forged, "forged", 401, EOutcome::NotRun, 5, false, "The message's authentication code is wrong."},
	{EError::Replayed, "replayed", 409, EOutcome::NotRun, 7, false, "The message was already seen."},
	{EError::UnknownVersion, "unknown-version", 400, EOutcome::NotRun, 2, false,
	 "The message is of a version that this program does not know."},
	{EError::JobGone, "job-gone", 410, EOutcome::NotRun, 6, false, "No such job is kept here."},
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
