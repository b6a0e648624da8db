// The sub-commands of loomreachctl, and the table by which they are found, documented and run.

#pragma once

#include <Loomreachctl/OperatorClient.h>

namespace Loomreach
{

/// Values of the flags.
struct CommandOptions
{
	bool json = false;   ///< --output=json.
	bool wait = false;   ///< --wait: wait until the change is in force everywhere.
	bool follow = false; ///< --follow: follow the wave until it ends.
	bool color = false;  ///< Standard output is a terminal.
	std::string base_version;
	std::string author;
	std::string pool;
	std::string availability_zone;
	std::string rack;
	Millis timeout_ms = 60'000;
};

/// One call of a sub-command.
struct CommandCall
{
	OperatorClient &client;
	const CommandOptions &options;
	std::vector<std::string> arguments; ///< Those after the command words.
};

/// A sub-command.
struct Command
{
	std::string_view group;
	std::string_view verb; ///< Empty if the group is the complete command.
	std::string_view arguments;
	size_t min_arguments;
	size_t max_arguments;
	std::string_view meaning;
	bool (*run)(CommandCall &ioCall); ///< False on failure, with the last reason set.
};

/// All sub-commands.
std::span<const Command> AllCommands();

/// The sub-command that the words begin with, or nullptr.
const Command *FindCommand(const std::vector<std::string> &inWords);

} // namespace Loomreach
