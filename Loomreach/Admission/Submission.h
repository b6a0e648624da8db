// What a host does with one caller's record until the caller has its answer: a state machine without I/O. The host reports events, and
// carries out the step that each event returns.
//
// Rules:
//  * A record is in doubt while it is not known whether it has been appended. A record in doubt is never refused with 503.
//  * While this host's own append of a record has no outcome, the host does not append the record again.
//  * At most one collector is asked at a time.
//  * A collector's refusal is certain only if no other process at its address can have handled the request.

#pragma once

#include <Loomreach/Admission/CollectorChoice.h>
#include <Loomreach/Admission/InboxPaths.h>
#include <Loomreach/Core/Error.h>

namespace Loomreach::Jobs
{

/// What the host knows when an event occurs.
struct SubmissionView
{
	Millis now = 0;
	EInboxPath path = EInboxPath::Direct;
	/// This host's calls to the store get no responses: it appends nothing itself.
	bool store_unresponsive = false;
	/// Candidates in order, without those that are skipped. Only needed if the record may go to a collector.
	std::vector<CollectorHost> candidates;
	std::optional<CollectorHost> owner; ///< Last known owner of the cell, even if it is skipped now.
};

/// What the host does next with a record.
enum class ESubmissionStep : uint8
{
	Wait,     ///< Nothing; another event follows.
	Append,   ///< Append by this host's own writer.
	Ask,      ///< Ask `collector` to append.
	AskLater, ///< Report OnDelayOver after `delay_ms`.
	Accept,   ///< Tell the caller that the record was accepted.
	Refuse    ///< Tell the caller `error`.
};

/// The next step.
struct SubmissionStep
{
	ESubmissionStep kind = ESubmissionStep::Wait;
	CollectorHost collector;                ///< Ask.
	Millis limit_ms = 0;                    ///< Append and Ask: time left for it.
	Millis delay_ms = 0;                    ///< AskLater.
	EError error = EError::None;            ///< Refuse: PlatformDown only if the record is certainly not in the inbox.
	std::optional<Millis> expected_wait_ms; ///< Refuse: the collector's estimate of the wait, for Retry-After.
};

/// Outcome of this host's own append.
enum class EOwnAppend : uint8
{
	None,     ///< Not sent.
	InFlight, ///< Sent, without an outcome.
	Refused,  ///< Certainly not appended.
	Unknown   ///< May have been appended, or may still be.
};

/// Outcome of a request to a collector.
enum class ECollected : uint8
{
	Appended,
	Refused,     ///< A newer configuration does not allow the record, `refusal`.
	Busy,        ///< Not appended: the backlog would take `expected_wait_ms`.
	CannotReach, ///< Not appended: the collector does not reach the store.
	NotDone,     ///< Certainly not appended for another reason.
	Unknown,     ///< The collector's append got no response.
	NoAnswer,    ///< The request was not acknowledged.
	Silent,      ///< It was acknowledged, but nothing followed.
	OtherProcess ///< Another process answers at the collector's address, and has done nothing. `incarnation` is its own.
};

/// Names of the outcomes in log lines.
inline constexpr std::array cCollectedNames = {
	EnumName<ECollected>{ECollected::Appended, "appended"},
	EnumName<ECollected>{ECollected::Refused, "refused"},
	EnumName<ECollected>{ECollected::Busy, "busy"},
	EnumName<ECollected>{ECollected::CannotReach, "cannot-reach-store"},
	EnumName<ECollected>{ECollected::NotDone, "not-done"},
	EnumName<ECollected>{ECollected::Unknown, "unknown"},
	EnumName<ECollected>{ECollected::NoAnswer, "no-answer"},
	EnumName<ECollected>{ECollected::Silent, "silent"},
	EnumName<ECollected>{ECollected::OtherProcess, "other-process"},
};

/// A collector's answer.
struct CollectorReply
{
	ECollected outcome = ECollected::NoAnswer;
	EError refusal = EError::None;
	Millis expected_wait_ms = 0;
	/// Of an answer that nothing was done: no other process at the collector's address can have appended the record.
	bool certain = true;
	uint64 incarnation = 0; ///< OtherProcess.
};

/// One caller's record.
class Submission
{
public:
	/// `inGiveUpAt`: when the caller must have its answer. `inPersistent`: the record is tried until then even if it is certainly not in
	/// the inbox and no candidate is left, as cancellations are while the store responds.
	explicit Submission(Millis inGiveUpAt, bool inPersistent = false) : give_up_at(inGiveUpAt), persistent(inPersistent) {}

	SubmissionStep Begin(const SubmissionView &inView);
	/// The own append ended. `inDone`: it succeeded; otherwise `inOutcome` says what is known.
	SubmissionStep OnOwnAppend(bool inDone, EOwnAppend inOutcome, const SubmissionView &inView);
	/// The own append was not sent: its backlog would take `inExpectedWaitMs`, which is longer than the time left.
	SubmissionStep OnOwnBusy(Millis inExpectedWaitMs, const SubmissionView &inView);
	/// The path of the inbox became collected.
	SubmissionStep OnCollected(const SubmissionView &inView);
	/// The collector that was asked answered, or failed to.
	SubmissionStep OnReply(const CollectorReply &inReply, const SubmissionView &inView);
	/// The delay of an AskLater step is over.
	SubmissionStep OnDelayOver(const SubmissionView &inView);
	/// The caller must be answered now.
	SubmissionStep OnTimeUp();

	/// Whether the record may be in the inbox, now or later.
	bool IsInDoubt() const { return this->own == EOwnAppend::InFlight || this->maybe_appended || this->asking; }
	bool IsEnded() const { return this->ended; }
	/// Candidates that were tried, with their outcomes, for log lines.
	const std::string &TriedText() const { return this->tried_text; }

private:
	static constexpr Millis cMinLeftMs = 50;      ///< A request with less time left could not be answered in time.
	static constexpr Millis cAskAgainMs = 120;    ///< Delay before a collector is asked again: about one append of a slow store.
	static constexpr Millis cMaxAskAgainMs = 480; ///< The delay doubles up to this.

	/// Turns to the next candidate, or ends the record's search for one.
	SubmissionStep Next(const SubmissionView &inView);
	SubmissionStep AppendStep(const SubmissionView &inView);
	SubmissionStep AskStep(const CollectorHost &inHost, const SubmissionView &inView);
	/// Another process answers at the address of the collector that was asked.
	SubmissionStep OnOtherProcess(uint64 inIncarnation, const SubmissionView &inView);
	SubmissionStep AskLater(const SubmissionView &inView);
	/// The partition's backlog is too long.
	SubmissionStep OnBusy(Millis inExpectedWaitMs, const SubmissionView &inView);
	SubmissionStep End(SubmissionStep inStep);
	SubmissionStep Accept();
	SubmissionStep RefuseWith(EError inError, std::optional<Millis> inExpectedWaitMs = std::nullopt);
	void Note(std::string_view inHost, std::string_view inOutcome);

	Millis give_up_at;
	bool persistent;
	bool ended = false;
	EOwnAppend own = EOwnAppend::None;
	bool asking = false;           ///< A collector is being asked.
	bool delayed = false;          ///< An AskLater step is under way.
	bool maybe_appended = false;   ///< An attempt without a certain outcome may have appended the record, or may do so later.
	CollectorHost asked;           ///< The collector that was asked last.
	bool asked_successor = false;  ///< It is the process that answered in place of the one that was asked first.
	std::set<std::string> tried;   ///< Names of the candidates that were tried since the last delay.
	bool own_append_tried = false; ///< Whether this host has tried to append since the last delay.
	size_t tries = 0;              ///< Candidates tried over all.
	Millis next_delay_ms = cAskAgainMs;
	std::string tried_text;
};

} // namespace Loomreach::Jobs
