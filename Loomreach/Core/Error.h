// Error kinds and the table of their responses. Functions that can fail return an empty std::optional (or false) and set the thread's last
// reason, as errno does.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach
{

/// Kinds of errors. The order is that of the table in Error.cpp.
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
	OutcomeLost,
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

/// What the caller of a failed or completed request can conclude about its execution.
enum class EOutcome : uint8
{
	Ran,    ///< The endpoint's response was relayed.
	NotRun, ///< The request certainly did not begin.
	Unknown ///< The request may have begun, so it is not sent again.
};

/// Row of the error table: name of a kind and how it is reported.
struct ErrorAnswer
{
	EError kind;
	std::string_view name;    ///< Value of the Loomreach-Reason header, log fields and metric labels.
	uint16 http_status;       ///< HTTP status sent to callers and operators.
	EOutcome outcome;         ///< Value of the Loomreach-Outcome header.
	uint8 exit_code;          ///< Exit code of a program that ends with this error.
	bool retryable;           ///< Whether the same request may succeed later; a Retry-After header is then sent.
	std::string_view meaning; ///< Description for people, one sentence.
};

/// Returns the row of a kind.
const ErrorAnswer &AnswerOf(EError inKind);

/// Returns the kind with a name, or nothing.
std::optional<EError> ErrorOf(std::string_view inName);

/// Returns the name of an outcome: ran, not-run or unknown.
std::string_view OutcomeName(EOutcome inOutcome);

/// Why the last failing call on this thread failed.
struct Reason
{
	EError kind = EError::None;
	std::string detail; ///< What exactly was wrong; text for people.
};

/// Sets the last reason and returns an empty optional: `return Fail(EError::Conflict, "...")`.
std::nullopt_t Fail(EError inKind, std::string inDetail);

/// Sets the last reason and returns false, for functions that return bool.
bool FailFalse(EError inKind, std::string inDetail);

/// Returns the reason set by the last failed call on this thread.
const Reason &LastReason();

/// Returns the last reason as "name: detail".
std::string LastReasonText();

} // namespace Loomreach
