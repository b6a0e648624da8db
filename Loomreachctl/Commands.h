// The sub-commands of loomreachctl and the table that finds, documents and runs them.

#pragma once

#include <Loomreachctl/OperatorClient.h>

namespace Loomreach
{

/// What the flags say.
struct CommandOptions
{
	bool json = false;   ///< --output=json.
	bool wait = false;   ///< --wait: until in force everywhere.
	bool follow = false; ///< --follow: until the wave ends.
	bool color = false;  ///< Standard output is a terminal.
	std::string base_version;
	std::string author;
	std::string pool;
	std::string availability_zone;
	std::string rack;
	Millis timeout_ms = 60'000;
};

/// A sub-command's call.
struct CommandCall
{
	OperatorClient &client;
	const CommandOptions &options;
	std::vector<std::string> arguments; ///< After the two command words.
};

/// A sub-command.
struct Command
{
	std::string_view group;
	std::string_view verb; ///< Empty where the group stands alone.
	std::string_view arguments;
	size_t min_arguments;
	size_t max_arguments;
	std::string_view meaning;
	bool (*run)(CommandCall &ioCall); ///< False leaves the last reason.
};

/// All sub-commands.
std::span<const Command> AllCommands();

/// The sub-command that words begin with, or nullptr.
const Command *FindCommand(const std::vector<std::string> &inWords);

} // namespace Loomreach
