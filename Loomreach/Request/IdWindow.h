// What one entry host remembers of the ids that only it may dispatch: the ids that it issued, and those that callers chose and it has
// claimed. A request begins at most once per id; a repeat gets the answer of the first run, or "unknown".

#pragma once

#include <Loomreach/Core/Error.h>

namespace Loomreach
{

/// A complete answer of an endpoint, kept for repeats of the request.
struct KeptAnswer
{
	uint32 status = 0;
	std::string content_type;
	std::string body;
};

/// What may be done with a request that has an id.
enum class EIdUse : uint8
{
	MayRun,   ///< It has certainly not begun and may run.
	Answered, ///< It has run and its answer is kept.
	Begun,    ///< It has begun and no answer is kept: still running, broken off, or the answer is too large.
	Forgotten ///< The id is no longer in the window: it may have run.
};

/// The result for one id.
struct IdUseResult
{
	EIdUse use = EIdUse::Forgotten;
	const KeptAnswer *answer = nullptr; ///< With Answered: the answer, valid until the next call.
};

/// The window of ids. Memory is bounded by cMaxIds and cMaxAnswerBytes; a request whose id was dropped never runs again.
class IdWindow
{
public:
	static constexpr size_t cMaxIds = 100'000;
	static constexpr size_t cMaxAnswerBytes = 16U << 20;
	static constexpr size_t cMaxOneAnswer = 64U << 10;

	/// The next sequence number to issue.
	uint64 Issue() { return ++this->last_issued; }
	/// Takes an issued id to run its request. MayRun marks it as begun.
	IdUseResult BeginIssued(uint64 inSequence);
	/// Takes an id that a caller chose and this host has claimed, to run its request. MayRun marks it as begun.
	IdUseResult BeginOwn(const std::string &inId);
	/// Whether there is a record of an id that a caller chose.
	bool KnowsOwn(const std::string &inId) const { return this->own.count(inId) != 0; }
	/// Adds a record of an id that a caller chose and that is about to be claimed. False, with the error not-accepted, when the table is
	/// full.
	bool AddOwn(const std::string &inId);
	/// Call when the request has certainly not run after all: the id may be taken again.
	void NotRun(const std::string &inKey);
	/// Call when the request has run with this answer.
	void Ran(const std::string &inKey, KeptAnswer inAnswer);
	/// The key of an issued id for NotRun and Ran.
	static std::string IssuedKey(uint64 inSequence);

private:
	/// An id that has begun or is claimed.
	struct Record
	{
		bool begun = false;
		std::optional<KeptAnswer> answer;
	};

	IdUseResult Begin(Record &ioRecord);
	Record *FindKey(const std::string &inKey);
	void ForgetOldest();

	uint64 last_issued = 0;
	uint64 forgotten_up_to = 0;                  ///< Issued ids up to this one have been dropped.
	std::map<uint64, Record> issued;             ///< By sequence number.
	std::unordered_map<std::string, Record> own; ///< Ids that callers chose.
	size_t answer_bytes = 0;                     ///< Total size of the kept answers.
	std::deque<std::string> answer_order;        ///< Keys with kept answers, oldest first.
};

} // namespace Loomreach
