// What one entry host remembers of the ids that it alone may dispatch: the ones it issued, and callers' own ones that it has claimed.
// An id begins at most once; a repeat gets the first run's answer, or "unknown".

#pragma once

#include <Loomreach/Core/Error.h>

namespace Loomreach
{

/// An endpoint's whole answer, kept for repeats of its request.
struct KeptAnswer
{
	uint32 status = 0;
	std::string content_type;
	std::string body;
};

/// What a request with an id may do.
enum class EIdUse : uint8
{
	MayRun,   ///< It has certainly not begun.
	Answered, ///< It ran; the answer is kept.
	Begun,    ///< It began and has no kept answer: running, broken off, or too large to keep.
	Forgotten ///< It fell out of the window: it may have run.
};

/// A verdict on one id.
struct IdVerdict
{
	EIdUse use = EIdUse::Forgotten;
	const KeptAnswer *answer = nullptr; ///< With Answered; valid until the next call.
};

/// The window. Memory is bounded by cMaxIds and cMaxAnswerBytes; what falls out is never run again.
class IdWindow
{
public:
	static constexpr size_t cMaxIds = 100'000;
	static constexpr size_t cMaxAnswerBytes = 16U << 20;
	static constexpr size_t cMaxOneAnswer = 64U << 10;

	/// The next sequence number to issue.
	uint64 Issue() { return ++this->last_issued; }
	/// Takes an issued id for running. MayRun marks it as begun.
	IdVerdict BeginIssued(uint64 inSequence);
	/// Takes a claimed id of a caller's own for running. MayRun marks it as begun.
	IdVerdict BeginOwn(const std::string &inId);
	/// Whether a caller's own id has a record here.
	bool KnowsOwn(const std::string &inId) const { return this->own.count(inId) != 0; }
	/// Makes a record for a caller's own id that is about to be claimed. False when the window is full.
	bool AddOwn(const std::string &inId);
	/// The request certainly was not run after all: it may be taken again.
	void NotRun(const std::string &inKey);
	/// The request ran, with this answer.
	void Ran(const std::string &inKey, KeptAnswer inAnswer);
	/// The key under which NotRun and Ran know an issued id.
	static std::string IssuedKey(uint64 inSequence);

private:
	/// One id that began or is claimed.
	struct Record
	{
		bool begun = false;
		std::optional<KeptAnswer> answer;
	};

	IdVerdict Begin(Record &ioRecord);
	Record *FindKey(const std::string &inKey);
	void ForgetOldest();

	uint64 last_issued = 0;
	uint64 floor = 0; ///< Issued ids up to this one have fallen out.
	std::map<uint64, Record> issued;
	std::unordered_map<std::string, Record> own;
	size_t answer_bytes = 0;
	std::deque<std::string> answer_order; ///< Keys with kept answers, the oldest first.
};

} // namespace Loomreach
