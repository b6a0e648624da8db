// What a collector says of a record that another host asked it to append, and what the asking host may conclude. Datagrams go by address,
// and a host's next process has the address of the one before, whose appends it knows nothing of. So a question names the process that it
// asks: another one appends nothing, and says which one it is.
//
// Between versions: a host of an earlier version neither names a process nor reads the name. A record for which it was asked more than
// once, and which it says is not appended, is in doubt.

#pragma once

#include <Loomreach/Admission/Submission.h>
#include <Loomreach/Entry/PeerQuery.h>

namespace Loomreach::Jobs
{

/// Record of the refusal of a question that names another process: the answering one, so that it can be asked by name.
struct AnsweringProcess
{
	uint64 incarnation = 0;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->incarnation);
	}
};

/// Whether a question names another process than the one with this incarnation.
bool IsForOtherProcess(const PeerQuestion &inQuestion, uint64 inOwnIncarnation);
/// The refusal of such a question.
PeerAnswer RefuseForOtherProcess(PeerAnswer inAnswer, uint64 inOwnIncarnation);
/// What a collector's answer says about the record. Nothing: there was no answer.
CollectorReply CollectorReplyOf(const std::optional<PeerAnswer> &inAnswer);

} // namespace Loomreach::Jobs
