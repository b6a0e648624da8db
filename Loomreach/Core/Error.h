// The closed list of error kinds and the table from kind to answer.
// Functions that can fail return std::optional (or bool) and leave the last reason behind, one per thread.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach
{

/// Every kind of failure that the system answers with. The order is that of the table in Error.cpp.
enum class EError : uint8
{
	None,
	BadRequest,
	BadConfig,
	BadSettings,
	Unauthorized,
	UnknownKey,
	OtherTeam,
	NotFound,
	NoSuchService,
	Conflict,
	QueueFull,
	PushedOut,
	DeadlineUnmet,
	NoEndpoint,
	Stopping,
	NotReady,
	EndpointNotBegun,
	EndpointBroke,
	EndpointTimeout,
	ForwardFailed,
	DuplicateId,
	ForeignId,
	IdForgotten,
	IssuerGone,
	TooLarge,
	PlatformDown,
	NotAccepted,
	VerdictLost,
	BudgetExceeded,
	QuotaExceeded,
	CapacityExceeded,
	WrongPhase,
	StaleGeneration,
	WrongPool,
	UnknownHost,
	UnknownJob,
	UnknownWave,
	DuplicateProposal,
	ViewRejected,
	Corrupt,
	Forged,
	Replayed,
	UnknownVersion,
	JobGone,
	Internal,
	Count
};

/// What the caller may conclude about its request.
enum class EOutcome : uint8
{
	Ran,    ///< The endpoint's own answer was relayed.
	NotRun, ///< The request certainly never began.
	Unknown ///< The request may have begun; it is never sent again.
};

/// One row of the table from kind to answer.
struct ErrorAnswer
{
	EError kind;
	std::string_view name;    ///< Value of the Loomreach-Reason header, of log fields and of metric labels.
	uint16 http_status;       ///< Status towards callers and operators.
	EOutcome outcome;         ///< Value of the Loomreach-Outcome header.
	uint8 exit_code;          ///< Exit code of the two programs.
	bool come_back;           ///< Whether the same request may succeed later; a Retry-After goes with it.
	std::string_view meaning; ///< One sentence for people.
};

/// The row for a kind.
const ErrorAnswer &AnswerOf(EError inKind);

/// The kind called by a name, or nothing.
std::optional<EError> ErrorOf(std::string_view inName);

/// The word for an outcome: ran, not-run or unknown.
std::string_view OutcomeName(EOutcome inOutcome);

/// Why the last failing call on this thread failed.
struct Reason
{
	EError kind = EError::None;
	std::string detail; ///< What exactly was wrong, for people.
};

/// Leaves a reason behind and returns the empty optional: `return Fail(EError::Conflict, "...")`.
std::nullopt_t Fail(EError inKind, std::string inDetail);

/// Leaves a reason behind and returns false, for functions that return bool.
bool FailFalse(EError inKind, std::string inDetail);

/// The reason left behind by the last failing call on this thread.
const Reason &LastReason();

/// The last reason as one line: its name, a colon, its detail.
std::string LastReasonText();

} // namespace Loomreach
