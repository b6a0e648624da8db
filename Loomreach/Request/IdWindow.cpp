// Remembers request ids within fixed bounds.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Invariant.h>
#include <Loomreach/Request/IdWindow.h>

#include <charconv>

namespace Loomreach
{

static constexpr std::string_view cIssuedPrefix = "issued:";

std::string IdWindow::IssuedKey(uint64 inSequence) { return std::string(cIssuedPrefix) + std::to_string(inSequence); }

IdUseResult IdWindow::Begin(Record &ioRecord)
{
	if (ioRecord.answer.has_value())
		return {EIdUse::Answered, &*ioRecord.answer};
	if (ioRecord.begun)
		return {EIdUse::Begun, nullptr};
	ioRecord.begun = true;
	return {EIdUse::MayRun, nullptr};
}

IdUseResult IdWindow::BeginIssued(uint64 inSequence)
{
	if (inSequence == 0 || inSequence > this->last_issued || inSequence <= this->forgotten_up_to)
		return {EIdUse::Forgotten, nullptr};
	const IdUseResult outcome = this->Begin(this->issued[inSequence]);
	if (this->issued.size() > cMaxIds)
		this->ForgetOldest();
	return outcome;
}

void IdWindow::ForgetOldest()
{
	auto oldest = this->issued.begin();
	LOOM_INVARIANT(oldest->first > this->forgotten_up_to, "the window only moves forward");
	this->forgotten_up_to = oldest->first;
	if (oldest->second.answer.has_value())
		this->answer_bytes -= oldest->second.answer->body.size();
	this->issued.erase(oldest);
}

IdUseResult IdWindow::BeginOwn(const std::string &inId)
{
	auto found = this->own.find(inId);
	if (found == this->own.end())
		return {EIdUse::Forgotten, nullptr};
	return this->Begin(found->second);
}

bool IdWindow::AddOwn(const std::string &inId)
{
	if (this->own.size() >= cMaxIds)
		return FailFalse(EError::NotAccepted, "the table of callers' own ids is full");
	this->own.try_emplace(inId);
	return true;
}

IdWindow::Record *IdWindow::FindKey(const std::string &inKey)
{
	if (!inKey.starts_with(cIssuedPrefix))
	{
		auto found = this->own.find(inKey);
		return found == this->own.end() ? nullptr : &found->second;
	}
	uint64 sequence = 0;
	std::from_chars(inKey.data() + cIssuedPrefix.size(), inKey.data() + inKey.size(), sequence);
	auto found = this->issued.find(sequence);
	return found == this->issued.end() ? nullptr : &found->second;
}

void IdWindow::NotRun(const std::string &inKey)
{
	Record *record = this->FindKey(inKey);
	if (record == nullptr)
		return;
	LOOM_INVARIANT(record->begun && !record->answer.has_value(), "only a taken id without an answer can turn out not to have run");
	record->begun = false;
}

void IdWindow::Ran(const std::string &inKey, KeptAnswer inAnswer)
{
	Record *record = this->FindKey(inKey);
	if (record == nullptr || inAnswer.body.size() > cMaxOneAnswer)
		return;
	LOOM_INVARIANT(record->begun && !record->answer.has_value(), "an id is answered once");
	this->answer_bytes += inAnswer.body.size();
	record->answer = std::move(inAnswer);
	this->answer_order.push_back(inKey);
	// Answers are dropped before ids: a repeat of a request whose answer was dropped is "unknown" and never runs again
	while (this->answer_bytes > cMaxAnswerBytes || this->answer_order.size() > cMaxIds)
	{
		Record *oldest = this->FindKey(this->answer_order.front());
		this->answer_order.pop_front();
		if (oldest == nullptr || !oldest->answer.has_value())
			continue;
		this->answer_bytes -= oldest->answer->body.size();
		oldest->answer.reset();
	}
}

} // namespace Loomreach
